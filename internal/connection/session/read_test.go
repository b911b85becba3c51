package session

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// unusedDialer fails the test's expectation that nothing is sent.
type unusedDialer struct{ dials int }

func (d *unusedDialer) Dial(context.Context, backend.Target) (backend.Conn, statement.Answer, error) {
	d.dials++
	return nil, statement.Answer{}, errors.New("not expected")
}

// A read that gets no slot at any database must be refused once it may not wait for one
// any longer. It was tried again and again until its target latency had passed, while the
// caller could have tried another proxy: on a day with an overloaded group, half of these
// callers were told after more than half of their time.
func TestReadWithoutASlotIsRefusedInTime(t *testing.T) {
	s := slotSession(t, nil, zap.NewNop())
	s.route.TargetLatency, s.route.Timeout = 800, 4000
	dialer := &unusedDialer{}
	g := backend.NewGroupClient("g", "a", backend.DefaultSettings(), dialer, s.Clock, zap.NewNop(), func() {})
	for _, id := range []string{"x", "y"} {
		g.Update(group.Entry{ID: id, Group: "g", Address: "127.0.0.1:1", Zone: "a", Slots: 1, Role: database.RoleReplica})
		for s.reserveSlot(g.Pool(id), backend.ByArrival{}, s.Clock.Now()) == nil {
		}
	}
	s.arrived = s.Clock.Now()
	c, _ := s.readAnywhere(g, &statement.Request{Operation: statement.Read{Text: "q"}}, position.Position{}, s.arrived.Add(s.route.Timeout))
	require.Nil(t, c)
	require.Equal(t, statement.CodeBusy, s.answer.Failure.Code)
	// A quarter of the target latency, and the pause of a read that has tried all databases.
	require.LessOrEqual(t, s.Clock.Now().Sub(s.arrived), s.route.TargetLatency/4+2*maxReadRetryPause)
	require.Zero(t, dialer.dials)
}

// A read that must see all commits must not be answered by a database that is taken for
// the primary by what was known before (STALE): one that has stepped down, or a process
// that has started in its place without its log.
func TestReadsAskThePrimaryWhetherItLeads(t *testing.T) {
	for _, restarted := range []bool{true, false} {
		d := &memoryDatabase{}
		g := newMemoryGroup(t, d)
		s := newMemorySession(g, 1, routes.Primary)
		requireServed(t, s, "before", statement.Read{Text: "READ a"})
		time.Sleep(20 * time.Millisecond) // the status that a new connection is asked for
		d.mu.Lock()
		d.replica = true
		d.mu.Unlock()
		if restarted {
			g.Pool("a").DiscardIdle()
		}
		// Nothing is known of the millisecond in which the read arrives.
		time.Sleep(3 * time.Millisecond)
		require.NotNil(t, s.request("read", statement.Read{Text: "READ a"}))
		require.Nil(t, s.request("begin", statement.Begin{ReadOnly: true}))
		require.NotNil(t, s.request("in", statement.Read{Text: "READ a"}))
	}
}
