package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
)

// The second answer to an earlier BEGIN was taken for proof that the database leads.
func TestSecondDeliveryOfABeginIsNoProof(t *testing.T) {
	isBegin := func(o statement.Operation) bool { _, ok := o.(statement.Begin); return ok }
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	g.SetMaxOpen(1)
	s := newMemorySession(g, 1, routes.BoundedAge)
	d.repeatOnce(isBegin, repetition{before: isBegin, slow: true})
	requireServed(t, s, "begin-1", statement.Begin{})
	requireServed(t, s, "read-1", statement.Read{Text: "READ a"})
	requireServed(t, s, "end-1", statement.Rollback{})
	d.failOnce(isBegin, statement.CodeReadOnly)
	// The status that follows the opening of a connection is a proof.
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.statuses > 0 && g.Pool("a").Stats().Idle == 1
	}, time.Second, time.Millisecond)
	led := g.LedAt()
	backend.Sleep(2)
	requireServed(t, s, "begin-2", statement.Begin{})
	require.NotNil(t, s.request("read-2", statement.Read{Text: "READ a"}))
	require.Equal(t, led, g.LedAt())
}
