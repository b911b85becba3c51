package session

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// A statement that arrived while its transaction was rolled back ran outside of it, for good.
func TestStatementBehindARunningRollbackDoesNotRunForItself(t *testing.T) {
	for name, o := range map[string]statement.Operation{"write": statement.Write{Text: "WRITE a late"}, "read": statement.Read{Text: "READ a"}} {
		t.Run(name, func(t *testing.T) {
			d := &memoryDatabase{}
			g := newMemoryGroup(t, d)
			var blocked atomic.Bool
			asked, release := make(chan struct{}, 1), make(chan struct{})
			h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient {
				if blocked.CompareAndSwap(true, false) {
					asked <- struct{}{}
					<-release
				}
				return g
			}})
			run := func(begin *peer.Begin, r *statement.Request) *peer.RunResponse {
				return h.run(&peer.RunRequest{Session: "front/p1/1", Transaction: 1, Begin: begin, Group: "shop", Timeout: 5 * clock.Second}, r)
			}
			require.False(t, run(&peer.Begin{ID: "begin"}, &statement.Request{ID: "first", Operation: statement.Write{Text: "WRITE a b"}}).Failed)
			blocked.Store(true)
			go run(nil, &statement.Request{Operation: statement.Rollback{}})
			<-asked
			late := make(chan *peer.RunResponse, 1)
			go func() { late <- run(nil, &statement.Request{ID: "late", Operation: o}) }()
			// The transaction and two requests.
			require.Eventually(t, func() bool { return h.Len() == 3 }, 5*time.Second, time.Millisecond)
			close(release)
			response := <-late
			require.Empty(t, d.commits())
			require.Empty(t, d.runs("late"))
			require.Equal(t, statement.CodeAborted, response.Code)
		})
	}
}

// stallingHost holds a write back until the rollback of its transaction runs.
type stallingHost struct {
	*Host
	text    string
	stalled chan struct{}
}

// Run implements proxy.Receiver.
func (h stallingHost) Run(ctx context.Context, request []byte) (msgp.Marshaler, error) {
	var run peer.RunRequest
	if _, err := run.UnmarshalMsg(request); err == nil && run.Operation.Text == h.text {
		<-h.stalled
	}
	return h.Host.Run(ctx, request)
}

// A write whose answer to the caller was ABORTED was kept.
func TestWriteThatArrivesWithItsRollbackIsNotKept(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	var blocked atomic.Bool
	stalled := make(chan struct{})
	h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient {
		if blocked.CompareAndSwap(true, false) {
			// The rollback runs, and the write arrives.
			close(stalled)
			time.Sleep(20 * time.Millisecond)
		}
		return g
	}})
	process := startForwardingProcesses(t, stallingHost{h, "WRITE a late", stalled}, 1)[0]
	defer process.peers.Close()
	s := process.session(g, "p1")
	requireServed(t, s, "begin", statement.Begin{})
	requireServed(t, s, "write", statement.Write{Text: "WRITE a b"})
	blocked.Store(true)
	f := s.request("late", statement.Write{Text: "WRITE a late"})
	require.NotNil(t, f)
	require.Equal(t, statement.CodeAborted, f.Code)
	require.Eventually(t, func() bool { return !blocked.Load() && h.Len() == 0 }, 10*time.Second, time.Millisecond)
	require.Empty(t, d.commits(), "the caller was told that nothing is kept")
}

// A rollback that was answered before the first statement of its transaction arrived was not
// repeated, and the transaction stayed open until its idle timeout.
func TestRollbackAheadOfTheFirstStatementLeavesNoTransaction(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient { return g }})
	h.run(&peer.RunRequest{Session: "front/p1/1", Transaction: 1, Group: "shop", Timeout: clock.Second}, &statement.Request{Operation: statement.Rollback{}})
	begin := &peer.RunRequest{Session: "front/p1/1", Transaction: 1, Begin: &peer.Begin{ID: "begin"}, Group: "shop", Timeout: clock.Second}
	h.run(begin, &statement.Request{ID: "write", Operation: statement.Write{Text: "WRITE a b"}})
	require.Eventually(t, func() bool { return d.openTransactions() == 0 && h.Len() == 0 }, time.Second, time.Millisecond, "the rollback was answered and is not sent again")
}
