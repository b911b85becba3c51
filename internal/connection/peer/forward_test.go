package peer

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// A statement counts as not run only if nothing was sent or the home has said so.
// Otherwise it could run twice.
func TestForwardTellsWhatCannotHaveRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	cutting, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer cutting.Close()
	go func() {
		for {
			c, err := cutting.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1000))
			_ = c.Close()
		}
	}()
	server, err := proxy.NewPeers("127.0.0.1:0", &benchReceiver{response: sampleResponse()}, zap.NewNop())
	require.NoError(t, err)
	defer server.Close()
	refusing, err := proxy.NewPeers("127.0.0.1:0", &benchReceiver{response: &RunResponse{Refused: true}}, zap.NewNop())
	require.NoError(t, err)
	defer refusing.Close()
	peers, err := proxy.NewPeers("127.0.0.1:0", nil, zap.NewNop())
	require.NoError(t, err)
	defer peers.Close()
	h := NewHomes("self", "a", peers, clock.NewBoot())
	h.SetMembers([]proxy.Peer{
		{Name: "good", Address: server.Address()}, {Name: "closed", Address: closed.Addr().String()},
		{Name: "cutting", Address: cutting.Addr().String()}, {Name: "refusing", Address: refusing.Address()},
	})
	response, err := h.Forward("good", sampleRequest(), clock.Second)
	require.NoError(t, err)
	require.Equal(t, sampleResponse(), response)
	for home, expected := range map[string]bool{"closed": true, "unknown": true, "refusing": true, "cutting": false} {
		_, err := h.Forward(home, sampleRequest(), clock.Second)
		var notRun *NotRunError
		require.Error(t, err)
		require.Equal(t, expected, errors.As(err, &notRun), home)
	}
}

// A request that fits into no frame is sent as JSON, which changed bytes that are no UTF-8.
// Nothing is sent then, and the home does not count as unreachable.
func TestRequestWithBytesIsNotSentAsJSON(t *testing.T) {
	receiver := &countingCalls{benchReceiver: benchReceiver{response: sampleResponse()}}
	server, err := proxy.NewPeers("127.0.0.1:0", receiver, zap.NewNop())
	require.NoError(t, err)
	defer server.Close()
	peers, err := proxy.NewPeers("127.0.0.1:0", nil, zap.NewNop())
	require.NoError(t, err)
	defer peers.Close()
	h := NewHomes("self", "a", peers, clock.NewBoot())
	h.SetMembers([]proxy.Peer{{Name: "home", Address: server.Address()}})
	run := sampleRequest()
	run.Operation.Text = "WRITE a " + strings.Repeat("x", 1<<20)
	_, err = h.Forward("home", run, clock.Second)
	require.NoError(t, err)
	require.EqualValues(t, 1, receiver.calls.Load())
	run.Operation.Text += "\xff"
	_, err = h.Forward("home", run, clock.Second)
	var notRun *NotRunError
	var changed *proxy.ChangedTextError
	require.ErrorAs(t, err, &notRun)
	require.ErrorAs(t, err, &changed)
	require.EqualValues(t, 1, receiver.calls.Load())
	require.Zero(t, h.states["home"].failedAt)
	run.Operation.Text = "WRITE a \xff"
	_, err = h.Forward("home", run, clock.Second)
	require.NoError(t, err)
	require.EqualValues(t, 1, receiver.calls.Load())
}

// countingCalls counts the requests that arrive as JSON.
type countingCalls struct {
	benchReceiver
	calls atomic.Int64
}

func (r *countingCalls) Receive(context.Context, string, json.RawMessage) (any, error) {
	r.calls.Add(1)
	return r.response, nil
}
