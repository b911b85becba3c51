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
	plainBegin := func(o statement.Operation) bool { b, ok := o.(statement.Begin); return ok && !b.ReadOnly }
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	g.SetMaxOpen(1)
	s := newMemorySession(g, 1, routes.BoundedAge)
	d.repeatOnce(plainBegin, repetition{before: plainBegin, slow: true})
	requireServed(t, s, "begin-1", statement.Begin{})
	requireServed(t, s, "read-1", statement.Read{Text: "READ a"})
	requireServed(t, s, "end-1", statement.Commit{})
	d.setFail(func(o statement.Operation) *statement.Failure {
		if !plainBegin(o) {
			return nil
		}
		return &statement.Failure{Code: statement.CodeReadOnly, Text: "a"}
	})
	// The status that follows the opening of a connection is a proof.
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.statuses > 0 && g.Pool("a").Stats().Idle == 1
	}, time.Second, time.Millisecond)
	d.mu.Lock()
	d.replica = true
	d.mu.Unlock()
	led := g.LedAt()
	backend.Sleep(2)
	requireServed(t, s, "begin-2", statement.Begin{})
	require.NotNil(t, s.request("read-2", statement.Read{Text: "READ a"}))
	require.Equal(t, led, g.LedAt())
}

// COMMIT of a transaction that had failed panicked if the rollback at its database failed.
func TestCommitOfAFailedTransactionWhoseRollbackFails(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	s := newMemorySession(g, 1, routes.BoundedAge)
	requireServed(t, s, "begin", statement.Begin{})
	d.setFail(failAll(func(o statement.Operation) bool { return isWrite(o) || isRollback(o) }))
	require.NotNil(t, s.request("write", statement.Write{Text: "WRITE a b"}))
	f := s.request("commit", statement.Commit{})
	require.NotNil(t, f)
	require.Equal(t, statement.CodeAborted, f.Code)
}

// After the second answer to an earlier BEGIN, a write ran outside a transaction, was
// committed, and its caller was told ABORTED (REFUSED).
func TestWriteBehindASecondDeliveryOfABeginIsInDoubt(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	g.SetMaxOpen(1)
	s := newMemorySession(g, 1, routes.BoundedAge)
	d.repeatOnce(isBegin, repetition{before: isBegin, slow: true})
	requireServed(t, s, "begin-1", statement.Begin{})
	requireServed(t, s, "read-1", statement.Read{Text: "READ a"})
	requireServed(t, s, "end-1", statement.Commit{})
	d.failOnce(isBegin, statement.CodeBusy)
	requireServed(t, s, "begin-2", statement.Begin{})
	f := s.request("write-2", statement.Write{Text: "WRITE a b"})
	if len(d.commits()) > 0 {
		require.NotNil(t, f)
		require.Equal(t, statement.CodeInDoubt, f.Code)
	}
}
