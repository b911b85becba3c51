package database_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// report returns a report of database i, which has received and applied the log
// up to p.
func report(i int, sent uint64, role database.Role, p, start position.Position) database.Report {
	return database.Report{Database: i, SentSeq: sent, Status: database.Status{
		Role: role, Term: p.Term, Fenced: p.Term, Received: p, Applied: p, TermStart: start,
	}}
}

func groupOfThree(t *testing.T) *database.Group {
	t.Helper()
	g := database.NewGroup(3, database.DurabilityGroup)
	start := position.Position{Term: 1, Offset: 1}
	g.Observe(report(0, 1, database.RolePrimary, position.Position{Term: 1, Offset: 10}, start), nil)
	g.Observe(report(1, 2, database.RoleReplica, position.Position{Term: 1, Offset: 9}, start), nil)
	return g
}

func TestCommitIsConfirmedByMajorityOnly(t *testing.T) {
	g := groupOfThree(t)
	p := position.Position{Term: 1, Offset: 10}
	require.Zero(t, g.RegisterCommit(1, p))
	require.Empty(t, g.Observe(report(0, 3, database.RolePrimary, position.Position{Term: 1, Offset: 12}, position.Position{}), nil))
	got := g.Observe(report(2, 4, database.RoleReplica, p, position.Position{}), nil)
	require.Equal(t, []database.CommitRelease{{Waiter: 1, Outcome: database.CommitConfirmed}}, got)
}

// Guards against a commit that blocks all later ones. The response of a paused
// primary reaches the proxy after its term has ended; such a commit used to stay
// at the head of the queue.
func TestLateCommitOfEndedTermDoesNotBlockOthers(t *testing.T) {
	g := groupOfThree(t)
	start := position.Position{Term: 2, Offset: 10}
	g.Observe(report(1, 3, database.RolePrimary, position.Position{Term: 2, Offset: 10}, start), nil)
	require.Equal(t, database.CommitLost, g.RegisterCommit(1, position.Position{Term: 1, Offset: 10}))
	require.Zero(t, g.RegisterCommit(2, position.Position{Term: 1, Offset: 9}), "contained in the new term, not confirmed there yet")
	require.Zero(t, g.RegisterCommit(3, position.Position{Term: 2, Offset: 11}))
	got := g.Observe(report(2, 4, database.RoleReplica, position.Position{Term: 2, Offset: 10}, start), nil)
	require.Equal(t, []database.CommitRelease{{Waiter: 2, Outcome: database.CommitConfirmed}}, got)
	g.Observe(report(1, 5, database.RolePrimary, position.Position{Term: 2, Offset: 11}, start), nil)
	got = g.Observe(report(2, 6, database.RoleReplica, position.Position{Term: 2, Offset: 11}, start), nil)
	require.Equal(t, []database.CommitRelease{{Waiter: 3, Outcome: database.CommitConfirmed}}, got)
}

func TestUncontainedCommitIsLostAtPromotion(t *testing.T) {
	g := groupOfThree(t)
	require.Zero(t, g.RegisterCommit(1, position.Position{Term: 1, Offset: 10}))
	start := position.Position{Term: 2, Offset: 10}
	got := g.Observe(report(1, 3, database.RolePrimary, start, start), nil)
	require.Equal(t, []database.CommitRelease{{Waiter: 1, Outcome: database.CommitLost}}, got)
}
