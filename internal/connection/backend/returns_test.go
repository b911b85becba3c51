package backend

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// shiftedClock is a boot clock that a test sets forward.
type shiftedClock struct{ shift clock.Duration }

func (c *shiftedClock) Now() clock.Time { return clock.NewBoot().Now().Add(c.shift) }

// newReturnsClient returns a client of a group whose databases a, the primary, and
// b are in use.
func newReturnsClient(t *testing.T, log *zap.Logger) (*GroupClient, *shiftedClock) {
	c := &shiftedClock{}
	settings := DefaultSettings()
	settings.ProbeReturned = true
	g := NewGroupClient("shop", "z", settings, &countingDialer{}, c, log, func() {})
	t.Cleanup(g.Close)
	for _, id := range []string{"a", "b"} {
		g.Update(entryOf(id, 1))
		reportRole(g, id, map[string]database.Role{"a": database.RolePrimary, "b": database.RoleReplica}[id], 1)
		useDatabase(g, id)
	}
	return g, c
}

func entryOf(id string, incarnation int64) group.Entry {
	return group.Entry{ID: id, Group: "shop", Zone: "z", Address: id, Slots: 3, Incarnation: incarnation}
}

func reportRole(g *GroupClient, id string, role database.Role, term uint64) {
	now := g.clock.Now()
	g.ObserveStatus(id, now, now, database.Status{Role: role, Term: term, Received: position.Position{Term: term, Offset: 1}})
}

func useDatabase(g *GroupClient, id string) {
	l := &g.Pool(id).Limiter
	for range 100 {
		l.Begin(false)
		l.End(g.clock.Now(), 20, false)
	}
}

func stateOf(g *GroupClient, id string) PaceState { return g.Pool(id).Limiter.Stats().State }

// All databases are new to a process that has just started, and may have been in
// use by others for long: it must not probe them.
func TestProcessStartProbesNothing(t *testing.T) {
	g, _ := newReturnsClient(t, zap.NewNop())
	for _, id := range []string{"a", "b"} {
		require.Equal(t, PaceSteady, stateOf(g, id))
	}
	g.Update(entryOf("c", 1))
	require.Equal(t, PaceSteady, stateOf(g, "c"))
}

// A restarted database must be probed, with what was known of it before.
func TestNewIncarnationIsProbed(t *testing.T) {
	g, _ := newReturnsClient(t, zap.NewNop())
	g.Update(entryOf("b", 1))
	require.Equal(t, PaceSteady, stateOf(g, "b"), "the entry has not changed")
	g.Update(entryOf("b", 2))
	require.Equal(t, PaceProbing, stateOf(g, "b"))
	require.InDelta(t, 20, g.Pool("b").Limiter.Hint(g.clock.Now()).Baseline, 1)
}

// A database that joins a group served for long has just started. One that is
// back after a gap in the registry has not.
func TestNewDatabaseIsProbed(t *testing.T) {
	g, c := newReturnsClient(t, zap.NewNop())
	c.shift = newDatabaseAfter
	g.MarkLapsed(g.clock.Now(), "b")
	c.shift += 10 * clock.Second
	g.RemoveExpired()
	require.Nil(t, g.Pool("b"))
	g.Update(entryOf("b", 1))
	require.Equal(t, PaceSteady, stateOf(g, "b"))
	g.Update(entryOf("c", 1))
	require.Equal(t, PaceProbing, stateOf(g, "c"))
}

// A database whose connections and attempts failed must be probed once it
// answers. The log has one line for each change.
func TestAnswerAfterFailuresIsProbed(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	g, _ := newReturnsClient(t, zap.New(core))
	sent := g.clock.Now().Add(1000)
	g.RecordConnectionLoss("b", sent)
	g.MarkAnswered("b", sent)
	require.Equal(t, PaceSteady, stateOf(g, "b"), "one lost connection is no outage")
	g.RecordConnectionLoss("b", sent)
	g.RecordFailure("b", sent)
	require.Equal(t, PaceUnreachable, stateOf(g, "b"))
	g.ObservePosition("b", sent, sent, sent.Add(20), position.Position{})
	require.Equal(t, PaceProbing, stateOf(g, "b"))
	changes := lines.FilterMessage(stateChanged).All()
	require.Len(t, changes, 2)
	require.Equal(t, "unreachable", changes[0].ContextMap()["state"])
	require.Equal(t, "probing", changes[1].ContextMap()["state"])
	require.Equal(t, causeAnswers, changes[1].ContextMap()["cause"])
	require.Equal(t, "b", changes[1].ContextMap()["database"])
}

// A promoted database gets the load of the previous primary, too. The first
// primary that a process hears of has not just been promoted.
func TestPromotedDatabaseIsProbed(t *testing.T) {
	g, _ := newReturnsClient(t, zap.NewNop())
	use := g.Pool("a").Limiter.Hint(g.clock.Now()).Use
	reportRole(g, "a", database.RolePrimary, 1)
	require.Equal(t, PaceSteady, stateOf(g, "a"))
	reportRole(g, "b", database.RolePrimary, 2)
	require.Equal(t, PaceProbing, stateOf(g, "b"))
	require.Greater(t, g.Pool("b").Limiter.Hint(g.clock.Now()).Use, 1.5*use)
}

// A database whose drain was ended must be probed: its caches are cold.
func TestDatabaseIsProbedAfterDrain(t *testing.T) {
	g, _ := newReturnsClient(t, zap.NewNop())
	e := entryOf("b", 1)
	e.Leaving = true
	g.Update(e)
	require.Equal(t, PaceSteady, stateOf(g, "b"))
	e.Leaving = false
	g.Update(e)
	require.Equal(t, PaceProbing, stateOf(g, "b"))
}
