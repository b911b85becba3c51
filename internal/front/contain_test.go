package front

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// panickingCaller panics over the first message of its caller.
type panickingCaller struct {
	session.Caller
	conn net.Conn
}

func (c panickingCaller) ReadStartup(clock.Duration) (session.Startup, error) {
	panic("unexpected message")
}

func (c panickingCaller) Close() { _ = c.conn.Close() }

// A message of one caller that makes its session panic ends that session alone.
func TestPanicInASessionEndsOnlyThatSession(t *testing.T) {
	p := Platform{WrapCaller: func(c net.Conn) session.Caller { return panickingCaller{conn: c} }}
	f := New(Settings{Name: "self"}, p, clock.NewBoot(), zap.NewNop(), NewMetrics())
	before := contain.Count()
	for range 3 {
		server, caller := net.Pipe()
		f.serveCaller(server)
		require.NoError(t, caller.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err := caller.Read(make([]byte, 1))
		require.Error(t, err)
		require.NotErrorIs(t, err, context.DeadlineExceeded, "the connection of the caller was left open")
	}
	require.Eventually(t, func() bool { return len(f.allSessions()) == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, before+3, contain.Count())
}

// A row of the store that makes a decoder panic counts as an invalid one; the
// others are applied.
func TestPanicOverARowLeavesTheOthers(t *testing.T) {
	p := Platform{
		DecodeVersion: func(store.Row) (*routes.Version, error) { panic("unexpected configuration") },
		DecodeEntry: func(row store.Row) (group.Entry, error) {
			if row.Key == "bad" {
				panic("unexpected entry")
			}
			return group.Entry{ID: row.Key, Group: "shop", Address: "127.0.0.1:1", Zone: "a", Slots: 1}, nil
		},
	}
	f := New(Settings{Name: "self"}, p, clock.NewBoot(), zap.NewNop(), NewMetrics())
	f.applyEntries(store.Changes{Rows: []store.Row{{Key: "a"}, {Key: "bad"}, {Key: "b"}}, Whole: true})
	require.Len(t, f.Group("shop").Members(), 2)
	f.applyVersions(store.Changes{Rows: []store.Row{{Key: "config"}}})
	require.Nil(t, f.versions.Load())
}

// panickingReceiver panics over one method.
type panickingReceiver struct{ proxy.CallsOnly }

func (panickingReceiver) Receive(_ context.Context, method string, _ json.RawMessage) (any, error) {
	if method == "bad" {
		panic("unexpected params")
	}
	return struct{}{}, nil
}

// A call of a peer that panics fails, and the connection serves the next one.
func TestPanicInAPeerCallFailsOnlyThatCall(t *testing.T) {
	peers, err := proxy.NewPeers("127.0.0.1:0", panickingReceiver{}, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(peers.Close)
	caller, err := proxy.NewPeers("127.0.0.1:0", panickingReceiver{}, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(caller.Close)
	caller.SetPeers([]proxy.Peer{{Name: "p", Address: peers.Address()}})
	err = caller.Call(context.Background(), "p", "bad", nil, nil)
	require.ErrorContains(t, err, "unexpected params")
	require.NoError(t, caller.Call(context.Background(), "p", "good", nil, nil))
}
