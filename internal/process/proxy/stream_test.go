package proxy

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// newLoggedPeers returns peers whose log is recorded.
func newLoggedPeers(t *testing.T, r Receiver) (*Peers, *observer.ObservedLogs) {
	core, logged := observer.New(zap.InfoLevel)
	p, err := NewPeers("127.0.0.1:0", r, zap.New(core))
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p, logged
}

// A frame that cannot be decoded closes its connection with a log line, and other
// connections continue.
func TestBrokenFramesCloseTheirConnectionOnly(t *testing.T) {
	server, logged := newLoggedPeers(t, &runReceiver{run: echo})
	p := connectTo(t, server.Address())
	_, err := runText(p, "a", callTimeout)
	require.NoError(t, err)
	o := framesOf(p)
	for i, sent := range [][]byte{
		{0xff, 0xff, 0xff, 0xff},
		{0, 0, 0, 1, 0},
		encodeFrame(1, frameAnswer, nil),
		encodeFrame(1, 77, nil),
		encodeFrame(1, frameRequest, []byte{0xc1}),
	} {
		c, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		_, err = c.Write(append(opening[:], sent...))
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		buffer := make([]byte, 100)
		n, err := c.Read(buffer)
		require.NoError(t, err)
		require.Equal(t, opening[:], buffer[:n])
		_, err = c.Read(buffer)
		require.Error(t, err)
		require.NotErrorIs(t, err, context.DeadlineExceeded)
		require.Eventually(t, func() bool { return logged.FilterMessage("connection of peer closed").Len() == i+1 }, 10*time.Second, time.Millisecond)
		_ = c.Close()
	}
	_, err = runText(p, "b", callTimeout)
	require.NoError(t, err)
	require.Same(t, o, framesOf(p))
}

// An answer that cannot be decoded closes the connection with a log line: the request
// may have run. The next one opens a new connection.
func TestBrokenAnswersCloseTheConnection(t *testing.T) {
	for _, sent := range [][]byte{
		{0xff, 0xff, 0xff, 0xff},
		encodeFrame(1, frameRequest, nil),
		encodeFrame(1, frameAnswer, []byte{0xc1}),
		encodeFrame(1, frameAnswer, []byte{0xa0, 0xa0}),
	} {
		address := acceptRaw(t, func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1000))
			_, _ = c.Write(append(opening[:], sent...))
		})
		p, logged := newLoggedPeers(t, &countingReceiver{})
		p.SetPeers([]Peer{{Name: "a", Address: address}})
		_, err := runText(p, "a", callTimeout)
		requireMayHaveRun(t, err)
		require.Empty(t, p.earlier)
		require.Eventually(t, func() bool {
			return logged.FilterMessage("connection to peer closed").Len() == 1 && !framesOf(p).isOpen()
		}, 10*time.Second, time.Millisecond)
	}
}

// Drop, the removal of a peer and Close end the connection with frames, and the
// requests on it.
func TestFramesAreClosed(t *testing.T) {
	done := make(chan struct{})
	server := newTestPeers(t, &runReceiver{run: func(request text) (msgp.Marshaler, error) {
		if request == "slow" {
			<-done
		}
		return request, nil
	}})
	defer close(done)
	ends := []func(p *Peers){
		func(p *Peers) { p.Drop("a"); p.Close() }, func(p *Peers) { p.SetPeers(nil); p.Close() }, (*Peers).Close,
	}
	for _, end := range ends {
		p, err := NewPeers("127.0.0.1:0", &countingReceiver{}, zap.NewNop())
		require.NoError(t, err)
		p.SetPeers([]Peer{{Name: "a", Address: server.Address()}})
		failed := make(chan error)
		go func() {
			_, err := runText(p, "slow", callTimeout)
			failed <- err
		}()
		require.Eventually(t, func() bool {
			p.mu.Lock()
			l := p.links["a"]
			p.mu.Unlock()
			if l == nil || l.openFrames() == nil {
				return false
			}
			o := l.openFrames()
			o.mu.Lock()
			defer o.mu.Unlock()
			return len(o.pending) == 1
		}, 10*time.Second, time.Millisecond)
		end(p)
		err = <-failed
		requireMayHaveRun(t, err)
		require.ErrorIs(t, err, errDropped)
		require.Empty(t, p.earlier)
	}
	require.Eventually(t, func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.incoming)+len(server.accepted) == 0
	}, 10*time.Second, time.Millisecond)
}

// A process that stops must not wait for connections whose peers stay.
func TestCloseEndsAcceptedConnections(t *testing.T) {
	server, err := NewPeers("127.0.0.1:0", &runReceiver{run: echo}, zap.NewNop())
	require.NoError(t, err)
	p := connectTo(t, server.Address())
	_, err = runText(p, "a", callTimeout)
	require.NoError(t, err)
	var response text
	require.NoError(t, p.Call(context.Background(), "a", MethodRun, text("a"), &response))
	silent, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	defer silent.Close()
	closed := make(chan struct{})
	go func() {
		server.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		require.Fail(t, "Close waits for its peers")
	}
	require.Empty(t, server.accepted)
	require.Empty(t, server.incoming)
}

// A peer that does not read must not make the queued frames grow without limit, nor
// keep a writer for good.
func TestConnectionWhosePeerDoesNotReadIsClosed(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	address := acceptRaw(t, func(c net.Conn) {
		<-done
		_ = c.Close()
	})
	request := text(strings.Repeat("x", 1_000_000))
	// More than the kernel buffers, and less than maxQueuedBytes.
	p := connectTo(t, address)
	sendAll := func(count int) {
		var wg sync.WaitGroup
		for range count {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, err := runText(p, request, 300*time.Millisecond)
				require.Error(t, err)
			}()
		}
		wg.Wait()
	}
	sendAll(14)
	o := framesOf(p)
	require.True(t, o.isOpen())
	p.closeStuck()
	require.True(t, o.isOpen(), "the write may have begun just before")
	// The write in progress may have taken the first ones from the queue.
	sendAll(20)
	require.False(t, o.isOpen(), "more than maxQueuedBytes are queued")
	require.ErrorIs(t, o.err, errNotReading)

	p = connectTo(t, address)
	sendAll(14)
	o = framesOf(p)
	require.True(t, o.isOpen())
	p.closeStuck()
	p.closeStuck()
	require.False(t, o.isOpen())
	require.ErrorIs(t, o.err, errNotReading)
}

// BenchmarkCapacityIdleFrames measures the memory of both ends of an idle connection
// with frames, on which requests have run. It includes the stacks of its goroutines.
func BenchmarkCapacityIdleFrames(b *testing.B) {
	const count = 200
	server, err := NewPeers("127.0.0.1:0", &runReceiver{run: echo}, zap.NewNop())
	require.NoError(b, err)
	defer server.Close()
	p, err := NewPeers("127.0.0.1:0", &countingReceiver{}, zap.NewNop())
	require.NoError(b, err)
	defer p.Close()
	var known []Peer
	for i := range count {
		known = append(known, Peer{Name: fmt.Sprint(i), Address: server.Address()})
	}
	p.SetPeers(known)
	inUse := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc + m.StackInuse)
	}
	before := inUse()
	for _, peer := range known {
		for range 10 {
			var response text
			require.NoError(b, p.Run(context.Background(), peer.Name, text("request"), &response, callTimeout))
		}
	}
	b.ReportMetric((inUse()-before)/count, "heldBytes/pair")
	for range b.N {
		var response text
		require.NoError(b, p.Run(context.Background(), "0", text("request"), &response, callTimeout))
	}
}
