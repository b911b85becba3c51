package backend

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// countingDialer counts the connections that it opens; they answer nothing.
type countingDialer struct{ dials atomic.Int64 }

func (d *countingDialer) Dial(context.Context, Target) (Conn, statement.Answer, error) {
	d.dials.Add(1)
	return silentConn{}, statement.Answer{}, nil
}

// errSilent is the error of a connection on which no answer arrives.
var errSilent = errors.New("no answer")

type silentConn struct{}

func (silentConn) Exchange(clock.Duration, []statement.Request, []statement.Answer) (int, error) {
	return 0, errSilent
}

func (silentConn) Check([]statement.Request) error { return nil }

func (silentConn) DecodeStatus(*statement.Answer) (database.Status, error) {
	return database.Status{}, errSilent
}

func (silentConn) Buffered() int { return 0 }

func (silentConn) Unread() (int, error) { return 0, nil }

func (silentConn) Close() {}

// newTestClient returns a client of a group with primary a and replicas b and
// c.
func newTestClient(t testing.TB, d Dialer) *GroupClient {
	g := NewGroupClient("shop", "z", DefaultSettings(), d, clock.NewBoot(), zap.NewNop(), func() {})
	t.Cleanup(g.Close)
	for _, id := range []string{"a", "b", "c"} {
		role := database.RoleReplica
		if id == "a" {
			role = database.RolePrimary
		}
		g.Update(group.Entry{ID: id, Group: "shop", Zone: "z", Address: id, Slots: 3, Role: role})
		now := g.clock.Now()
		g.ObserveStatus(id, now, now, database.Status{Role: role, Term: 1, Received: position.Position{Term: 1, Offset: 1}})
	}
	return g
}

func acquire(t *testing.T, p *Pool, n int) []*PooledConn {
	var conns []*PooledConn
	for range n {
		c, err := p.Acquire(p.clock.Now().Add(clock.Second), nil)
		require.NoError(t, err)
		conns = append(conns, c)
	}
	return conns
}

// A burst reuses the connections of the last one instead of opening new ones,
// whose setup would take slots of the database.
func TestConnectionsOfABurstAreKept(t *testing.T) {
	d := &countingDialer{}
	g := newTestClient(t, d)
	g.SetMaxOpen(5)
	p := g.Pool("b")
	for range 3 {
		for _, c := range acquire(t, p, 5) {
			c.Release()
		}
	}
	require.Equal(t, int64(5), d.dials.Load())
	require.Equal(t, 5, p.Stats().Idle)
	// With a lower limit, the connections beyond it are closed when they are
	// released.
	g.SetMaxOpen(2)
	for _, c := range acquire(t, p, 5) {
		c.Release()
	}
	require.Equal(t, 2, p.Stats().Open)
}

// A missing answer does not make the other connections suspect if the database
// has answered since the request was sent.
func TestBusyDatabaseKeepsItsConnections(t *testing.T) {
	g := newTestClient(t, &countingDialer{})
	p := g.Pool("b")
	for _, c := range acquire(t, p, 2) {
		c.Release()
	}
	now := g.clock.Now()
	g.MarkAnswered("b", now)
	g.RecordConnectionLoss("b", now.Add(-100))
	require.Equal(t, 2, p.Stats().Idle)
	require.Zero(t, memberOf(g, "b").FailingSince)

	g.RecordConnectionLoss("b", now.Add(100))
	require.Zero(t, p.Stats().Idle)
	require.NotZero(t, memberOf(g, "b").FailingSince)
}

func memberOf(g *GroupClient, id string) group.Member {
	for _, m := range g.Members() {
		if m.ID == id {
			return m
		}
	}
	return group.Member{}
}

// Reads avoid a saturated primary, whose capacity is needed for requests that
// only it can serve, and replicas that are far behind, unless no other database
// is left.
func TestReadsAvoidSaturatedPrimaryAndLaggingReplicas(t *testing.T) {
	g := newTestClient(t, &countingDialer{})
	now := g.clock.Now()
	primary := g.Pool("a")
	for primary.Limiter.TryReserve() {
	}
	for _, id := range []string{"b", "c"} {
		latency := &g.Pool(id).Latency
		latency.Begin(now)
		latency.End(now, 200)
	}
	for range 50 {
		m, _ := g.SelectForRead("", nil)
		require.NotEqual(t, "a", m.ID)
	}
	g.Pool("b").Latency.MarkLagging(now.Add(clock.Minute))
	for range 50 {
		m, _ := g.SelectForRead("", nil)
		require.Equal(t, "c", m.ID)
	}
	g.Pool("c").Latency.MarkLagging(now.Add(clock.Minute))
	m, _ := g.SelectForRead("", nil)
	require.Equal(t, "a", m.ID)
	_, p := g.SelectForRead("", []string{"a"})
	require.Nil(t, p)
	primary.Latency.MarkLagging(now.Add(clock.Minute))
	_, p = g.SelectForRead("", nil)
	require.NotNil(t, p, "all databases lag")
}

// A request to a peer without measurements may be abandoned early once, further
// ones only after the peer has answered often enough.
func TestAttemptTimeoutOfUnknownPeers(t *testing.T) {
	const minTimeout, maxTimeout = 250 * clock.Millisecond, 800 * clock.Millisecond
	p := NewLatencyTracker()
	require.Equal(t, 2*minTimeout, p.AttemptTimeout(minTimeout, maxTimeout))
	p.Begin(1000)
	p.Abandon(1500, 500, clock.Second)
	require.Equal(t, maxTimeout, p.AttemptTimeout(minTimeout, maxTimeout))
	require.Equal(t, maxTimeout, (&LatencyTracker{}).AttemptTimeout(minTimeout, maxTimeout))
}
