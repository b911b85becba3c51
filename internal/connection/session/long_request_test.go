package session

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
)

// flooredRoutes are the kinds of routes whose reads have a floor.
var flooredRoutes = map[string]routes.Consistency{"bounded": routes.BoundedAge, "own": routes.ReadYourWrites}

// newFlooredSession returns a session whose reads have a floor, on a route of the given kind.
func newFlooredSession(t *testing.T, g *backend.GroupClient, kind routes.Consistency) *Session {
	s := newMemorySession(g, 1, kind)
	s.Configuration.Load().Routes["fills"].MaxAge = 50
	requireServed(t, s, "first", statement.Write{Text: "WRITE a b"})
	s.route = s.resolve()
	require.Eventually(t, func() bool {
		now := s.Clock.Now()
		g.ObserveStatus("a", now, now, database.Status{Role: database.RolePrimary, Term: 1, Received: s.floor, Applied: s.floor})
		s.arrived = now
		floor, known := s.knownFloor(g)
		return known && !floor.IsZero()
	}, time.Second, time.Millisecond)
	return s
}

// A read within the limit of a message was MALFORMED on routes whose reads have a floor.
func TestLongestReadIsServedWithoutItsFloor(t *testing.T) {
	for kind, route := range flooredRoutes {
		t.Run(kind, func(t *testing.T) {
			d := &memoryDatabase{tooLong: func(r *statement.Request) bool { return r.ID == "long" && !r.Floor.IsZero() }}
			g := newMemoryGroup(t, d)
			s := newFlooredSession(t, g, route)
			s.setValue(statement.Set{Name: "zone", Text: "SET zone west"})
			s.prepare(statement.Prepare{Name: "r", Shape: "a"})
			// More reads than the database has slots, so that none may keep its slot.
			for i := range 12 {
				requireServed(t, s, "long", []statement.Operation{statement.Read{Text: "READ a"}, statement.Execute{Name: "r"}}[i%2])
				require.Equal(t, "ROW long\r\n", string(s.answer.Rows))
			}
			for _, r := range d.runs("long") {
				require.Equal(t, map[string]string{"zone": "SET zone west"}, r.values)
			}
			require.Len(t, d.runs("long"), 12)
		})
	}
}

// A read without its floor must not run at a database that has stepped down.
func TestReadWithoutItsFloorIsNotStale(t *testing.T) {
	for kind, route := range flooredRoutes {
		t.Run(kind, func(t *testing.T) {
			d := &memoryDatabase{tooLong: func(r *statement.Request) bool { return r.ID == "long" && !r.Floor.IsZero() }}
			g := newMemoryGroup(t, d)
			s := newFlooredSession(t, g, route)
			requireServed(t, s, "long", statement.Read{Text: "READ a"})
			time.Sleep(5 * time.Millisecond)
			d.mu.Lock()
			d.replica = true
			d.mu.Unlock()
			f := s.request("long", statement.Read{Text: "READ a"})
			require.NotNil(t, f, "a read that no primary has confirmed was served")
			require.Equal(t, statement.CodeBusy, f.Code)
			now := s.Clock.Now()
			g.ObserveStatus("a", now, now, database.Status{Role: database.RoleReplica, Term: 1})
			f = s.request("long", statement.Read{Text: "READ a"})
			require.NotNil(t, f)
			require.Equal(t, statement.CodeBusy, f.Code)
		})
	}
}

// The id of a transaction is the caller's, and left no room for the floor of its BEGIN.
func TestLongestBeginKeepsItsFloor(t *testing.T) {
	for kind, route := range flooredRoutes {
		for _, readOnly := range []bool{true, false} {
			d := &memoryDatabase{tooLong: func(r *statement.Request) bool {
				_, begins := r.Operation.(statement.Begin)
				return begins && r.ID == "long"
			}}
			s := newFlooredSession(t, newMemoryGroup(t, d), route)
			requireServed(t, s, "long", statement.Begin{ReadOnly: readOnly})
			requireServed(t, s, "read", statement.Read{Text: "READ a"})
			requireServed(t, s, "end", statement.Commit{})
			require.Len(t, d.runs("read"), 1, kind)
			require.True(t, d.runs("read")[0].inTransaction, kind)
		}
	}
}

// An EXECUTE within the limit was MALFORMED if the name at databases is longer than the
// caller's. A name that takes its place must not run the statement of an earlier EXECUTE.
func TestLongestExecuteRunsItsStatement(t *testing.T) {
	for kind, route := range map[string]routes.Consistency{"bounded": routes.BoundedAge, "primary": routes.Primary} {
		t.Run(kind, func(t *testing.T) {
			d := &memoryDatabase{tooLong: func(r *statement.Request) bool {
				o, executes := r.Operation.(statement.Execute)
				return executes && strings.HasPrefix(r.ID, "long") && len(o.Name) > 1
			}}
			s := newMemorySession(newMemoryGroup(t, d), 1, route)
			names := []string{"w", "r"}
			s.prepare(statement.Prepare{Name: "w", Shape: "a", Writes: true})
			s.prepare(statement.Prepare{Name: "r", Shape: "b"})
			short := s.request("short", statement.Execute{Name: "a"})
			require.NotNil(t, short)
			for i := range 40 {
				requireServed(t, s, "long-"+names[i%2], statement.Execute{Name: names[i%2]})
				if i%10 != 0 {
					continue
				}
				f := s.request("long", statement.Execute{Name: "a"})
				require.NotNil(t, f)
				require.Equal(t, short.Code, f.Code)
				require.Empty(t, d.runs("long"))
			}
			for i := range 3 {
				requireServed(t, s, "begin", statement.Begin{})
				for j := range 12 {
					requireServed(t, s, "long-"+names[(i+j)%2], statement.Execute{Name: names[(i+j)%2]})
				}
				requireServed(t, s, "end", statement.Commit{})
			}
			for _, r := range d.runs("long-w") {
				require.Equal(t, "a", r.prepared.Shape)
			}
			for _, r := range d.runs("long-r") {
				require.Equal(t, "b", r.prepared.Shape)
			}
			require.Len(t, append(d.runs("long-w"), d.runs("long-r")...), 76)

			// A PREPARE that fails lets its EXECUTE fail.
			d.setFail(func(o statement.Operation) *statement.Failure {
				if p, ok := o.(statement.Prepare); ok && len(p.Name) == 1 {
					return &statement.Failure{Code: statement.CodeOther, Text: "no"}
				}
				return nil
			})
			require.NotNil(t, s.request("long-w", statement.Execute{Name: "w"}))
			d.setFail(nil)
			requireServed(t, s, "long-w", statement.Execute{Name: "w"})
			require.Len(t, d.runs("long-w"), 39)
		})
	}
}
