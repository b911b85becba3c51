package session

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Two prepared statements that are one name at the databases run each other's shape.
func TestPreparedStatementsOfOneConnectionStayApart(t *testing.T) {
	for name, pair := range map[string][2]statement.Prepare{
		"kind and shape": {{Name: "s", Shape: "\x01q2c"}, {Name: "s", Writes: true, Shape: "q2c"}},
		"kind as shape":  {{Name: "s", Shape: "rq2c"}, {Name: "s", Shape: "q2c"}},
		"FNV":            {{Name: "s", Shape: "8yn0iYCKYHlIj4-BwPqk"}, {Name: "s", Shape: "GReLUrM4wMqfg9yzV3KQ"}},
		"blanks":         {{Name: "s", Shape: "q2c"}, {Name: "s", Shape: "q2c "}},
	} {
		t.Run(name, func(t *testing.T) {
			d := &memoryDatabase{}
			g := newMemoryGroup(t, d)
			sessions := [2]*Session{newMemorySession(g, 1, routes.Primary), newMemorySession(g, 2, routes.Primary)}
			for i, s := range sessions {
				requireServed(t, s, "prepare", pair[i])
			}
			ids := [2]string{"1", "2"}
			for range 8 {
				for i, s := range sessions {
					requireServed(t, s, ids[i], statement.Execute{Name: "s", Arguments: "a"})
				}
			}
			require.Less(t, d.dialCount(), 8, "the sessions share connections")
			for i, id := range ids {
				ran := d.runs(id)
				require.Len(t, ran, 8)
				for _, r := range ran {
					require.Equal(t, pair[i].Shape, r.prepared.Shape)
					require.Equal(t, pair[i].Writes, r.prepared.Writes)
				}
			}
		})
	}
}

// The name of an EXECUTE that its session has not prepared must not be that of a
// statement that another session has prepared on the same connection.
func TestUnpreparedNameRunsNoStatementOfAnotherSession(t *testing.T) {
	p := statement.Prepare{Name: "s", Writes: true, Shape: "q2c"}
	for _, name := range []string{sharedName(p), "s"} {
		d := &memoryDatabase{}
		g := newMemoryGroup(t, d)
		owner, other := newMemorySession(g, 1, routes.Primary), newMemorySession(g, 2, routes.Primary)
		requireServed(t, owner, "prepare", p)
		for range 8 {
			requireServed(t, owner, "1", statement.Execute{Name: "s", Arguments: "a"})
			f := other.request("2", statement.Execute{Name: name, Arguments: "a"})
			require.Empty(t, d.runs("2"), name)
			require.NotNil(t, f)
			require.Equal(t, statement.CodeUnprepared, f.Code)
		}
	}
}

// A home must not run a statement that the session has since deallocated.
func TestDeallocatedStatementDoesNotRunAtAHome(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient { return g }})
	process := startForwardingProcesses(t, h, 1)[0]
	defer process.peers.Close()
	s := process.session(g, "p1")
	requireServed(t, s, "prepare", statement.Prepare{Name: "s", Shape: "q2c"})
	requireServed(t, s, "begin", statement.Begin{})
	requireServed(t, s, "1", statement.Execute{Name: "s", Arguments: "a"})
	requireServed(t, s, "deallocate", statement.Deallocate{Name: "s"})
	f := s.request("2", statement.Execute{Name: "s", Arguments: "a"})
	require.Len(t, d.runs("1"), 1)
	require.Empty(t, d.runs("2"))
	require.NotNil(t, f)
	require.Equal(t, statement.CodeUnprepared, f.Code)
}
