package proxy

import (
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request that has arrived must not be sent again because the answer to it, or to
// another one on the connection, has an invalid length: a write would run twice.
func TestRequestIsNotRepeatedAfterAnAnswerOfInvalidLength(t *testing.T) {
	var calls atomic.Int32
	address := acceptRaw(t, func(c net.Conn) {
		first := make([]byte, 1)
		if _, err := io.ReadFull(c, first); err != nil || first[0] != opening[0] {
			calls.Add(1)
			return
		}
		_, _ = c.Write(opening[:])
		r := newFrameReader(c)
		if r.readOpening(1) != nil {
			return
		}
		if _, err := r.next(); err == nil {
			_, _ = c.Write(binary.BigEndian.AppendUint32(nil, maxFrameLength+1))
		}
	})
	p := connectTo(t, address)
	_, err := runText(p, "write", time.Second)
	requireMayHaveRun(t, err)
	time.Sleep(50 * time.Millisecond)
	require.Zero(t, calls.Load(), "the request was sent again")
}

// An answer that is too long ends its request only, without a second run.
func TestAnswerThatIsTooLongEndsItsRequestOnly(t *testing.T) {
	var calls atomic.Int32
	address := acceptRaw(t, func(c net.Conn) {
		first := make([]byte, 1)
		if _, err := io.ReadFull(c, first); err != nil || first[0] != opening[0] {
			calls.Add(1)
			return
		}
		_, _ = c.Write(opening[:])
		r := newFrameReader(c)
		if r.readOpening(1) != nil {
			return
		}
		long, err := r.next()
		if err != nil {
			return
		}
		other, err := r.next()
		if err != nil {
			return
		}
		part := encodeFrame(long.number, framePart, make([]byte, maxFramePayload))
		for range maxAnswerSize/maxFramePayload + 2 {
			_, _ = c.Write(part)
		}
		_, _ = c.Write(encodeFrame(long.number, frameAnswer, nil))
		answer, _ := text("other").MarshalMsg(nil)
		_, _ = c.Write(encodeFrame(other.number, frameAnswer, answer))
	})
	p := connectTo(t, address)
	long := make(chan error, 1)
	go func() {
		_, err := runText(p, "long", callTimeout)
		long <- err
	}()
	require.Eventually(t, func() bool {
		p.mu.Lock()
		l := p.links["a"]
		p.mu.Unlock()
		if l == nil {
			return false
		}
		o := l.openFrames()
		if o == nil {
			return false
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		return len(o.pending) == 1
	}, 10*time.Second, time.Millisecond)
	answer, err := runText(p, "other", callTimeout)
	requireMayHaveRun(t, <-long)
	require.NoError(t, err, "another request on the connection")
	require.Equal(t, text("other"), answer)
	require.Zero(t, calls.Load(), "the request was sent again")
}
