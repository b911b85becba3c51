package proxy

import (
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
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
	require.Eventually(t, func() bool { return pendingRequests(p) == 1 }, 10*time.Second, time.Millisecond)
	answer, err := runText(p, "other", callTimeout)
	requireMayHaveRun(t, <-long)
	require.NoError(t, err, "another request on the connection")
	require.Equal(t, text("other"), answer)
	require.Zero(t, calls.Load(), "the request was sent again")
}

// A repeated answer is that of no other request.
func TestRepeatedAnswersAreDropped(t *testing.T) {
	address := acceptRaw(t, func(c net.Conn) {
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			return
		}
		_, _ = c.Write(opening[:])
		r := newFrameReader(c)
		if r.readOpening(1) != nil {
			return
		}
		var sent []byte
		for {
			f, err := r.next()
			if err != nil {
				return
			}
			answer := encodeFrame(f.number, frameAnswer, f.payload)
			// All earlier answers are sent again before and after the right one.
			repeated := encodeFrame(f.number-1, framePart, []byte("part"))
			repeated = append(repeated, sent...)
			_, _ = c.Write(append(append(repeated, answer...), repeated...))
			sent = append(sent, answer...)
		}
	})
	p := connectTo(t, address)
	for _, request := range []text{"a", "b", "c", "d"} {
		answer, err := runText(p, request, callTimeout)
		require.NoError(t, err)
		require.Equal(t, request, answer)
	}
}

// Long answers that wait to be written must not end the other requests on their connection.
func TestLongAnswersBesideOthers(t *testing.T) {
	long := text(make([]byte, maxQueuedBytes+1))
	release := make(chan struct{})
	server := newTestPeers(t, &runReceiver{run: func(request text) (msgp.Marshaler, error) {
		<-release
		if request == "long" {
			return long, nil
		}
		return request, nil
	}})
	p := connectTo(t, server.Address())
	results := make(chan error, 40)
	for i := range 40 {
		go func() {
			request, expected := text("a"), text("a")
			if i%10 == 0 {
				request, expected = "long", long
			}
			answer, err := runText(p, request, callTimeout)
			var remote *RemoteError
			if request == "long" && errors.As(err, &remote) {
				results <- nil
				return
			}
			if err == nil && answer != expected {
				err = errors.New("the answer of another request")
			}
			results <- err
		}()
	}
	require.Eventually(t, func() bool { return pendingRequests(p) == 40 }, 10*time.Second, time.Millisecond)
	close(release)
	for range 40 {
		require.NoError(t, <-results)
	}
}

// pendingRequests returns how many requests wait for answers of the peer "a".
func pendingRequests(p *Peers) int {
	p.mu.Lock()
	l := p.links["a"]
	p.mu.Unlock()
	if l == nil {
		return 0
	}
	o := l.openFrames()
	if o == nil {
		return 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending)
}
