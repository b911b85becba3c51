package session

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// failAll returns the failure of a memoryDatabase that fails all requests that match.
func failAll(matches func(statement.Operation) bool) func(statement.Operation) *statement.Failure {
	return func(o statement.Operation) *statement.Failure {
		if matches(o) {
			return &statement.Failure{Code: statement.CodeFailed, Text: "a"}
		}
		return nil
	}
}

func isSet(o statement.Operation) bool { _, ok := o.(statement.Set); return ok }

func isRollback(o statement.Operation) bool { _, ok := o.(statement.Rollback); return ok }

// A connection on which the database has opened a transaction must not be given back,
// whatever the answers said (PINNED): the statements of the next caller ran in it.
func TestConnectionWithAnOpenTransactionIsNotReused(t *testing.T) {
	t.Run("BEGIN after a SET that failed", func(t *testing.T) {
		d := &memoryDatabase{}
		g := newMemoryGroup(t, d)
		first, second := newMemorySession(g, 1, routes.BoundedAge), newMemorySession(g, 2, routes.BoundedAge)
		first.setValue(statement.Set{Name: "tag", Text: "SET tag first"})
		require.Nil(t, first.request("begin", statement.Begin{ReadOnly: true}))
		d.setFail(failAll(isSet))
		require.NotNil(t, first.request("read-1", statement.Read{Text: "READ a"}))
		d.setFail(nil)
		requireServed(t, second, "read-2", statement.Read{Text: "READ a"})
		require.Empty(t, d.runs("read-2")[0].transaction)
		require.False(t, d.runs("read-2")[0].inTransaction)
	})
	t.Run("ROLLBACK that failed", func(t *testing.T) {
		d := &memoryDatabase{}
		g := newMemoryGroup(t, d)
		s := newMemorySession(g, 1, routes.Primary)
		d.setFail(failAll(isRollback))
		m, ok := g.Primary()
		require.True(t, ok)
		_, err := s.logContains(g, m, position.Position{Term: 1}, s.Clock.Now().Add(1000))
		require.NoError(t, err)
		requireServed(t, s, "read", statement.Read{Text: "READ a"})
		require.False(t, d.runs("read")[0].inTransaction)
	})
}

// A statement must not run with the session values of another caller (PINNED). Statements
// were sent together with RESET and SET, and ran though these had failed.
func TestStatementWaitsForTheSessionState(t *testing.T) {
	isReset := func(o statement.Operation) bool { _, ok := o.(statement.Reset); return ok }
	isState := func(o statement.Operation) bool { return isSet(o) || isReset(o) }
	for name, fails := range map[string]func(statement.Operation) bool{"RESET": isReset, "SET": isSet, "both": isState} {
		for kind, route := range map[string]routes.Consistency{"bounded": routes.BoundedAge, "own": routes.ReadYourWrites, "primary": routes.Primary} {
			t.Run(name+" on a "+kind+" route", func(t *testing.T) {
				d := &memoryDatabase{}
				g := newMemoryGroup(t, d)
				sessions := []*Session{newMemorySession(g, 1, route), newMemorySession(g, 2, route), newMemorySession(g, 3, route)}
				sessions[0].setValue(statement.Set{Name: "tag", Text: "SET tag first"})
				sessions[1].setValue(statement.Set{Name: "tag", Text: "SET tag second"})
				for _, s := range sessions {
					s.prepare(statement.Prepare{Name: "p", Shape: "READ"})
				}
				read := func(s *Session, id string) {
					failures := []*statement.Failure{
						s.request(id+"-read", statement.Read{Text: "READ a"}), s.request(id+"-execute", statement.Execute{Name: "p"}),
						s.request(id+"-begin", statement.Begin{ReadOnly: true}), s.request(id+"-in", statement.Read{Text: "READ a"}),
						s.request(id+"-end", statement.Rollback{}),
					}
					for _, run := range []string{id + "-read", id + "-execute", id + "-in"} {
						for _, r := range d.runs(run) {
							require.Equal(t, len(s.values), len(r.values), "%s, answers %v", run, failures)
							for _, v := range s.values {
								require.Equal(t, v.Text, r.values[v.Name], run)
							}
						}
					}
				}
				read(sessions[0], "calm")
				count := 0
				d.setFail(func(o statement.Operation) *statement.Failure {
					if count++; fails(o) && count%2 == 0 {
						return &statement.Failure{Code: statement.CodeFailed, Text: "a"}
					}
					return nil
				})
				for i := range 6 {
					read(sessions[(i+1)%3], fmt.Sprint("failing-", i))
				}
				d.setFail(nil)
				for i, s := range sessions {
					id := fmt.Sprint("after-", i)
					requireServed(t, s, id, statement.Read{Text: "READ a"})
					require.Len(t, d.runs(id), 1)
					require.Equal(t, len(s.values), len(d.runs(id)[0].values))
				}
			})
		}
	}
}
