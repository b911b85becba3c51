package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
)

// text is a message for tests.
type text string

func (s text) MarshalMsg(b []byte) ([]byte, error) {
	if s == "unencodable" {
		panic("unencodable")
	}
	return msgp.AppendString(b, string(s)), nil
}

func (s *text) UnmarshalMsg(b []byte) ([]byte, error) {
	v, rest, err := msgp.ReadStringBytes(b)
	*s = text(v)
	return rest, err
}

// runReceiver answers requests of frames with run, and those of calls with the
// request after "call ".
type runReceiver struct {
	run func(request text) (msgp.Marshaler, error)
}

func (r *runReceiver) Receive(_ context.Context, method string, params json.RawMessage) (any, error) {
	var request text
	if err := json.Unmarshal(params, &request); err != nil || method != MethodRun {
		return nil, errors.Errorf("method %s: %v", method, err)
	}
	return "call " + request, nil
}

func (r *runReceiver) Run(_ context.Context, payload []byte) (msgp.Marshaler, error) {
	var request text
	if _, err := request.UnmarshalMsg(payload); err != nil {
		return nil, &DecodeError{Cause: err}
	}
	return r.run(request)
}

// echo answers each request with itself.
func echo(request text) (msgp.Marshaler, error) { return request, nil }

// connectTo returns peers that know the address under the name "a".
func connectTo(t *testing.T, address string) *Peers {
	p := newTestPeers(t, &countingReceiver{})
	p.SetPeers([]Peer{{Name: "a", Address: address}})
	return p
}

// runText sends a request and returns the answer.
func runText(p *Peers, request text, limit time.Duration) (text, error) {
	var response text
	err := p.Run(context.Background(), "a", request, &response, limit)
	return response, err
}

// requireMayHaveRun checks that an error does not state that nothing was sent.
func requireMayHaveRun(t *testing.T, err error) {
	require.Error(t, err)
	var unreachable *UnreachableError
	var unknown *UnknownPeerError
	require.False(t, errors.As(err, &unreachable) || errors.As(err, &unknown), "%v", err)
}

// framesOf returns the open connection with frames to "a".
func framesOf(p *Peers) *outgoing {
	p.mu.Lock()
	l := p.links["a"]
	p.mu.Unlock()
	return l.openFrames()
}

// acceptRaw listens, and passes each connection to serve.
func acceptRaw(t *testing.T, serve func(c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// earlierBuild serves only calls, as builds without frames do.
func earlierBuild(t *testing.T) string {
	return acceptRaw(t, func(c net.Conn) {
		handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
			return (&runReceiver{}).Receive(ctx, r.Method, *r.Params)
		}))
		jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(c), handler, discardLogs)
	})
}

// unfitText is a text that JSON would change.
type unfitText struct{ text }

func (unfitText) FitsJSON() bool { return false }

// A peer of an earlier build got other bytes than those of a request that are no UTF-8.
func TestEarlierBuildIsNotSentAChangedText(t *testing.T) {
	p := connectTo(t, earlierBuild(t))
	p.mu.Lock()
	p.earlier["a"] = time.Now().Add(time.Hour)
	p.mu.Unlock()
	answer, err := runText(p, "a", time.Second)
	require.NoError(t, err)
	require.Equal(t, text("call a"), answer)
	var changed *ChangedTextError
	require.ErrorAs(t, p.Run(context.Background(), "a", unfitText{"a\xff"}, &answer, time.Second), &changed)
}

// Answers find their requests in whatever order they arrive, with many in flight on
// one connection.
func TestAnswersOutOfOrder(t *testing.T) {
	const count = 1000
	var mu sync.Mutex
	var waiting []chan struct{}
	server := newTestPeers(t, &runReceiver{run: func(request text) (msgp.Marshaler, error) {
		turn := make(chan struct{})
		mu.Lock()
		waiting = append(waiting, turn)
		mu.Unlock()
		<-turn
		return "answer to " + request, nil
	}})
	p := connectTo(t, server.Address())
	errs := make(chan error, count)
	for i := range count {
		go func() {
			request := text(fmt.Sprint(i))
			response, err := runText(p, request, callTimeout)
			if err == nil && response != "answer to "+request {
				err = errors.Errorf("request %s got %q", request, response)
			}
			errs <- err
		}()
	}
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(waiting) == count
	}, 10*time.Second, time.Millisecond)
	require.Len(t, server.incoming, 1)
	for i := range waiting {
		close(waiting[len(waiting)-1-i])
	}
	for range count {
		require.NoError(t, <-errs)
	}
	require.Empty(t, framesOf(p).pending)
}

// A request must not wait for the peer's opening: that would add a round trip to the
// first statement of each connection.
func TestFirstRequestIsSentWithTheOpening(t *testing.T) {
	address := acceptRaw(t, func(c net.Conn) {
		buffer := make([]byte, 1000)
		n, _ := c.Read(buffer)
		f, size, err := decodeFrame(buffer[len(opening):n])
		if err != nil || size == 0 || [4]byte(buffer) != opening {
			_ = c.Close()
			return
		}
		_, _ = c.Write(append(opening[:], encodeFrame(f.number, frameAnswer, f.payload)...))
	})
	response, err := runText(connectTo(t, address), "a", callTimeout)
	require.NoError(t, err)
	require.Equal(t, text("a"), response)
}

// A connection that ends before the opening may be one of an earlier build, or of a
// newer one that has run the request.
func TestConnectionCutBeforeTheOpening(t *testing.T) {
	address := acceptRaw(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1000))
		_ = c.Close()
	})
	p := connectTo(t, address)
	_, err := runText(p, "a", callTimeout)
	requireMayHaveRun(t, err)
	require.Contains(t, p.earlier, "a")
}

// A connection that ends after the opening is of a build with frames: the outcome is
// unknown, and the next request opens a new connection with frames.
func TestConnectionCutAfterTheOpening(t *testing.T) {
	var connections atomic.Int64
	address := acceptRaw(t, func(c net.Conn) {
		connection := connections.Add(1)
		buffer := make([]byte, 1000)
		n, _ := c.Read(buffer)
		_, _ = c.Write(opening[:])
		if f, _, _ := decodeFrame(buffer[len(opening):n]); connection > 1 {
			_, _ = c.Write(encodeFrame(f.number, frameAnswer, f.payload))
			return
		}
		// Closed only when the opening has arrived, so that the requests fail after it.
		time.Sleep(50 * time.Millisecond)
		_ = c.Close()
	})
	p := connectTo(t, address)
	_, err := runText(p, "a", callTimeout)
	requireMayHaveRun(t, err)
	var broken *BrokenError
	require.ErrorAs(t, err, &broken)
	require.Empty(t, p.earlier)
	response, err := runText(p, "b", callTimeout)
	require.NoError(t, err)
	require.Equal(t, text("b"), response)
}

// A proxy of an earlier build is served by calls after the first request, and is
// examined without risking a request.
func TestPeerOfAnEarlierBuild(t *testing.T) {
	p := connectTo(t, earlierBuild(t))
	_, err := runText(p, "a", callTimeout)
	requireMayHaveRun(t, err)
	for range 3 {
		response, err := runText(p, "b", callTimeout)
		require.NoError(t, err)
		require.Equal(t, text("call b"), response)
	}
	due := time.Now().Add(-time.Millisecond)
	for range 3 {
		p.mu.Lock()
		p.earlier["a"] = due
		p.mu.Unlock()
		response, err := runText(p, "c", callTimeout)
		require.NoError(t, err)
		require.Equal(t, text("call c"), response)
	}
	p.mu.Lock()
	require.True(t, p.earlier["a"].After(time.Now()))
	p.mu.Unlock()
}

// A proxy that was restarted with a newer build gets frames once it is examined.
func TestPeerThatWasUpgraded(t *testing.T) {
	server := newTestPeers(t, &runReceiver{run: echo})
	p := connectTo(t, server.Address())
	p.mu.Lock()
	p.earlier["a"] = time.Now().Add(time.Hour)
	p.mu.Unlock()
	response, err := runText(p, "a", callTimeout)
	require.NoError(t, err)
	require.Equal(t, text("call a"), response)
	p.mu.Lock()
	p.earlier["a"] = time.Now().Add(-time.Millisecond)
	p.mu.Unlock()
	require.Eventually(t, func() bool {
		response, err := runText(p, "a", callTimeout)
		require.NoError(t, err)
		return response == "a"
	}, 10*time.Second, time.Millisecond)
	require.Empty(t, p.earlier)
	p.mu.Lock()
	p.earlier["a"] = time.Now()
	p.mu.Unlock()
	p.SetPeers(nil)
	require.Empty(t, p.earlier, "no state is kept of a peer that is gone")
}

// A proxy of an earlier build calls this one as before.
func TestCallsOfAnEarlierBuildAreServed(t *testing.T) {
	server := newTestPeers(t, &runReceiver{run: echo})
	var response text
	require.NoError(t, CallAddress(context.Background(), server.Address(), MethodRun, text("a"), &response))
	require.Equal(t, text("call a"), response)
}

// A caller that gives up must not get the answer of another request, and its late
// answer is dropped. The connection stays.
func TestLateAnswersAreDropped(t *testing.T) {
	release := make(chan struct{})
	server := newTestPeers(t, &runReceiver{run: func(request text) (msgp.Marshaler, error) {
		if request == "slow" {
			<-release
		}
		return request, nil
	}})
	p := connectTo(t, server.Address())
	began := time.Now()
	_, err := runText(p, "slow", 50*time.Millisecond)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	requireMayHaveRun(t, err)
	require.GreaterOrEqual(t, time.Since(began), 50*time.Millisecond)

	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	var late text
	err = p.Run(ctx, "a", text("slow"), &late, callTimeout)
	require.ErrorIs(t, err, context.Canceled)
	o := framesOf(p)
	require.Empty(t, o.pending)
	close(release)
	for i := range 100 {
		request := text(fmt.Sprint(i))
		response, err := runText(p, request, callTimeout)
		require.NoError(t, err)
		require.Equal(t, request, response)
	}
	require.Empty(t, late)
	require.Same(t, o, framesOf(p))
}

// Requests with different limits share one timer, and each ends at its own limit.
func TestEachRequestHasItsOwnLimit(t *testing.T) {
	done := make(chan struct{})
	server := newTestPeers(t, &runReceiver{run: func(text) (msgp.Marshaler, error) {
		<-done
		return text(""), nil
	}})
	defer close(done)
	p := connectTo(t, server.Address())
	took := make(chan time.Duration, 3)
	limits := []time.Duration{400 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond}
	for _, limit := range limits {
		go func() {
			began := time.Now()
			_, _ = runText(p, "a", limit)
			took <- time.Since(began) - limit
		}()
		time.Sleep(5 * time.Millisecond)
	}
	for range limits {
		late := <-took
		require.GreaterOrEqual(t, late, time.Duration(0))
		require.Less(t, late, 2*time.Second)
	}
}

// A request that panics fails alone.
func TestPanicEndsOneRequestOnly(t *testing.T) {
	server := newTestPeers(t, &runReceiver{run: func(request text) (msgp.Marshaler, error) {
		switch request {
		case "bad":
			panic("unexpected request")
		case "error":
			return nil, errors.New("refused")
		default:
			return request, nil
		}
	}})
	p := connectTo(t, server.Address())
	var remote *RemoteError
	_, err := runText(p, "bad", callTimeout)
	require.ErrorAs(t, err, &remote)
	require.Contains(t, remote.Text, "unexpected request")
	requireMayHaveRun(t, err)
	_, err = runText(p, "error", callTimeout)
	require.ErrorContains(t, err, "refused")
	o := framesOf(p)
	response, err := runText(p, "good", callTimeout)
	require.NoError(t, err)
	require.Equal(t, text("good"), response)
	require.Same(t, o, framesOf(p))

	panicking := newTestPeers(t, &runReceiver{run: func(text) (msgp.Marshaler, error) { return text("unencodable"), nil }})
	_, err = runText(connectTo(t, panicking.Address()), "a", callTimeout)
	require.ErrorContains(t, err, "unencodable")
}

// Answers and requests that are too long for a frame pass, as they did in calls.
func TestLongMessages(t *testing.T) {
	long := text(strings.Repeat("0123456789", 350_000))
	server := newTestPeers(t, &runReceiver{run: func(request text) (msgp.Marshaler, error) {
		if request == "long" {
			return long, nil
		}
		return request, nil
	}})
	p := connectTo(t, server.Address())
	response, err := runText(p, "long", callTimeout)
	require.NoError(t, err)
	require.True(t, response == long)
	request := long[:maxFrameLength]
	response, err = runText(p, request, callTimeout)
	require.NoError(t, err)
	require.True(t, response == "call "+request)
	response, err = runText(p, "a", callTimeout)
	require.NoError(t, err)
	require.Equal(t, text("a"), response)
}

// Nothing was sent to a peer that does not listen or is not known.
func TestUnreachablePeers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	p := connectTo(t, l.Addr().String())
	_, err = runText(p, "a", callTimeout)
	var unreachable *UnreachableError
	require.ErrorAs(t, err, &unreachable)
	p.SetPeers(nil)
	_, err = runText(p, "a", callTimeout)
	var unknown *UnknownPeerError
	require.ErrorAs(t, err, &unknown)
}
