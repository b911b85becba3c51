package session

import (
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
		require.Equal(t, 1, d.dials)
		requireServed(t, s, "read", statement.Read{Text: "READ a"})
		require.Equal(t, 2, d.dials)
	})
}
