package proxy

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// countingReceiver counts the calls that it answers.
type countingReceiver struct {
	CallsOnly
	calls atomic.Int64
}

func (r *countingReceiver) Receive(context.Context, string, json.RawMessage) (any, error) {
	r.calls.Add(1)
	return struct{}{}, nil
}

func newTestPeers(t *testing.T, r Receiver) *Peers {
	p, err := NewPeers("127.0.0.1:0", r, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

// Messages that are still queued for a proxy when it leaves the set of known
// ones must not connect to its old address again: another proxy may use it.
func TestRemovedLinkDoesNotReconnect(t *testing.T) {
	server := newTestPeers(t, &countingReceiver{})
	p := newTestPeers(t, &countingReceiver{})
	p.SetPeers([]Peer{{Name: "a", Address: server.Address()}})
	require.NoError(t, p.Call(context.Background(), "a", "ping", nil, nil))
	p.mu.Lock()
	l := p.links["a"]
	p.mu.Unlock()
	p.SetPeers(nil)
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.conn == nil
	}, 10*time.Second, time.Millisecond)
	_, err := p.connect(context.Background(), l)
	var unknown *UnknownPeerError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "a", unknown.Name)
	require.Nil(t, l.conn)
}

// failingListener fails its first calls of Accept, as a listener does for which
// no file descriptor is left.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

var errNoDescriptors = errors.New("too many open files")

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, errNoDescriptors
	}
	return l.Listener.Accept()
}

func TestListenerSurvivesFailedAccepts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failing := &failingListener{Listener: l}
	failing.failures.Store(3)
	receiver := &countingReceiver{}
	server := newPeers(failing, receiver, zap.NewNop())
	defer server.Close()
	require.Eventually(t, func() bool {
		return CallAddress(context.Background(), server.Address(), "ping", nil, nil) == nil
	}, 10*time.Second, 10*time.Millisecond)
	require.NotZero(t, receiver.calls.Load())
}
