package group

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

func at(term, offset uint64) position.Position { return position.Position{Term: term, Offset: offset} }

// newTrio returns a group of a primary a and replicas b and c that all
// answered at a time.
func newTrio(now clock.Time) *Group {
	g := New("shop1")
	for _, id := range []string{"a", "b", "c"} {
		role := database.RoleReplica
		if id == "a" {
			role = database.RolePrimary
		}
		g.ObserveEntry(now, Entry{ID: id, Group: "shop1", Address: id, Slots: 3, Role: role})
		status(g, id, now, role, 1, 0, at(1, 10))
	}
	return g
}

func status(g *Group, id string, asked clock.Time, role database.Role, term, held uint64, received position.Position) {
	g.ObserveStatus(id, asked, asked.Add(2), database.Status{Role: role, Term: term, Fenced: held, Received: received, Applied: received})
}

// A proxy that a partition leaves with the old primary must not answer reads
// by the primary's word alone, although it has seen another database go.
func TestFloorNeedsMoreThanTheOldPrimary(t *testing.T) {
	now := clock.Time(1000)
	g := newTrio(now)
	g.MarkLapsed(now, "c")
	now = now.Add(lapsedLife)
	require.Equal(t, []string{"c"}, g.Expire(now))
	status(g, "a", now, database.RolePrimary, 1, 0, at(1, 20))
	_, ok := g.Floor(now, now.Add(5))
	require.False(t, ok, "b and a database that joined may have confirmed commits of a later term")
	status(g, "b", now, database.RoleReplica, 1, 0, at(1, 20))
	floor, ok := g.Floor(now, now.Add(5))
	require.True(t, ok)
	require.Equal(t, at(1, 20), floor)

	// Nor after the group has been short for so long that two count as whole.
	now = now.Add(shortLife)
	g.Expire(now)
	require.Equal(t, 2, g.Size())
	status(g, "a", now, database.RolePrimary, 1, 0, at(1, 30))
	_, ok = g.Floor(now, now.Add(5))
	require.False(t, ok)
}

func TestReplicaThatIsHeldIsNoEvidence(t *testing.T) {
	now := clock.Time(1000)
	g := newTrio(now)
	require.Equal(t, now, g.PrimaryProvenAt(now))
	later := now.Add(100)
	status(g, "b", later, database.RoleReplica, 1, 2, at(1, 10))
	require.Equal(t, now, g.PrimaryProvenAt(later), "c was free at that time")
	status(g, "c", later, database.RoleReplica, 1, 2, at(1, 10))
	require.Zero(t, g.PrimaryProvenAt(later))
}

// A replica that shows an entry which the primary wrote after a moment was
// not held at that moment.
func TestPositionsAreEvidence(t *testing.T) {
	now := clock.Time(1000)
	g := newTrio(now)
	sent := now.Add(50)
	g.ObservePosition("a", sent, sent.Add(2), at(1, 12))
	g.ObservePosition("b", sent.Add(10), sent.Add(12), at(1, 12))
	require.Equal(t, now, g.PrimaryProvenAt(sent.Add(12)), "entry 12 may have been written before the primary was asked")
	g.ObservePosition("b", sent.Add(20), sent.Add(22), at(1, 13))
	require.Equal(t, sent, g.PrimaryProvenAt(sent.Add(22)))
}

func TestCommitNeedsAReplicaOfItsTerm(t *testing.T) {
	now := clock.Time(1000)
	g := newTrio(now)
	require.Equal(t, CommitConfirmed, g.CheckCommit(at(1, 10)))
	require.Equal(t, CommitPending, g.CheckCommit(at(1, 11)))
	status(g, "b", now.Add(5), database.RoleReplica, 1, 0, at(1, 11))
	require.Equal(t, CommitConfirmed, g.CheckCommit(at(1, 11)))
	status(g, "c", now.Add(10), database.RolePrimary, 2, 0, at(1, 10))
	require.Equal(t, CommitSuperseded, g.CheckCommit(at(1, 11)))
	require.False(t, g.TermEstablished(2))
	status(g, "b", now.Add(15), database.RoleReplica, 2, 0, at(1, 10))
	require.True(t, g.TermEstablished(2))
}

func TestPrimaryOfAnEarlierTermIsNotBelieved(t *testing.T) {
	now := clock.Time(1000)
	g := newTrio(now)
	m, ok := g.Primary()
	require.True(t, ok)
	require.Equal(t, "a", m.ID)
	status(g, "b", now.Add(5), database.RolePrimary, 2, 0, at(1, 10))
	m, ok = g.Primary()
	require.True(t, ok)
	require.Equal(t, "b", m.ID)
	ids, term := g.StalePrimaries()
	require.Equal(t, []string{"a"}, ids)
	require.Equal(t, uint64(2), term)
	// The registry still says that a leads; only its status can say of what.
	g.ObserveEntry(now.Add(6), Entry{ID: "a", Group: "shop1", Address: "a", Slots: 3, Role: database.RoleReplica})
	g.ObserveEntry(now.Add(7), Entry{ID: "a", Group: "shop1", Address: "a", Slots: 3, Role: database.RolePrimary})
	m, _ = g.Primary()
	require.Equal(t, "b", m.ID)
}

func TestRebornDatabaseIsAnother(t *testing.T) {
	now := clock.Time(1000)
	g := newTrio(now)
	require.True(t, g.ObserveEntry(now, Entry{ID: "b", Group: "shop1", Address: "b", Slots: 3, Role: database.RoleReplica, Incarnation: 7}))
	require.Equal(t, now, g.PrimaryProvenAt(now), "c still confirms")
	status(g, "c", now.Add(1), database.RoleReplica, 1, 2, at(1, 10))
	require.Zero(t, g.PrimaryProvenAt(now), "what b said before its rebirth counts no more")
}

func TestSuspicionNeedsRepeatedFailures(t *testing.T) {
	now := clock.Time(1000)
	g := newTrio(now)
	g.RecordFailure("a", now)
	require.Equal(t, NoReason, g.Suspect(now.Add(lostAfter)).Reason, "one failure is no proof")
	g.RecordFailure("a", now.Add(lostAfter))
	require.Equal(t, Unreachable, g.Suspect(now.Add(lostAfter)).Reason)
	g.MarkAnswered("a", now.Add(lostAfter+1))
	require.Equal(t, NoReason, g.Suspect(now.Add(lostAfter+1)).Reason)
	g.ObserveEntry(now, Entry{ID: "a", Group: "shop1", Address: "a", Slots: 3, Role: database.RolePrimary, Leaving: true})
	require.Equal(t, PrimaryLeaving, g.Suspect(now).Reason)
}

func TestSuccessorHasReceivedMost(t *testing.T) {
	fences := []Fence{
		{ID: "a", Status: database.Status{Term: 1, Received: at(1, 9)}},
		{ID: "b", Status: database.Status{Term: 1, Received: at(1, 10)}, Leaving: true},
		{ID: "c", Status: database.Status{Term: 1, Received: at(1, 10)}},
	}
	best, ok := Successor(fences)
	require.True(t, ok)
	require.Equal(t, "c", best.ID)
	best, _ = Successor(fences[:2])
	require.Equal(t, "b", best.ID, "an acknowledged commit goes before a longer stay")
	tied := []Fence{{ID: "c", Status: fences[2].Status}, {ID: "b", Status: fences[2].Status}}
	first, _ := Successor(tied)
	second, _ := Successor([]Fence{tied[1], tied[0]})
	require.Equal(t, first.ID, second.ID, "the order of the fences does not matter")
	require.True(t, HasFenceQuorum(fences[:2], 3))
	require.False(t, HasFenceQuorum(fences[:1], 3))
	_, ok = Successor(nil)
	require.False(t, ok)
}

// A primary that grants no more connections answers neither yes nor no.
func TestPrimaryWithoutFreeConnectionsIsNotMissing(t *testing.T) {
	now := clock.Time(1000)
	g := New("shop1")
	for _, id := range []string{"a", "b", "c"} {
		g.ObserveEntry(now, Entry{ID: id, Group: "shop1", Address: id, Slots: 3, Role: database.RoleReplica})
	}
	require.Equal(t, NoReason, g.Suspect(now).Reason)
	later := now.Add(2 * leaderlessAfter)
	status(g, "b", later, database.RoleReplica, 1, 0, at(1, 10))
	status(g, "c", later, database.RoleReplica, 1, 0, at(1, 10))
	g.MarkAnswered("a", later)
	require.Equal(t, NoReason, g.Suspect(later).Reason)
	g.RecordFailure("a", later)
	g.RecordFailure("a", later)
	require.Equal(t, Leaderless, g.Suspect(later).Reason)
}

// A primary that leaves serves until it is replaced, but not past the limit.
func TestLeavingPrimaryIsUsedForATime(t *testing.T) {
	now := clock.Time(1000)
	g := newTrio(now)
	g.DrainLimit = 5 * clock.Second
	g.ObserveEntry(now, Entry{ID: "a", Group: "shop1", Address: "a", Slots: 3, Role: database.RolePrimary, Leaving: true})
	g.Expire(now.Add(4 * clock.Second))
	_, ok := g.Primary()
	require.True(t, ok)
	g.Expire(now.Add(5 * clock.Second))
	_, ok = g.Primary()
	require.False(t, ok)
}

// After a commit that was not confirmed, or once a replacement is claimed, the
// next one waits for newer evidence.
func TestDoubtEndsWithNewEvidence(t *testing.T) {
	now := clock.Time(1000)
	g := newTrio(now)
	require.False(t, g.PrimaryInDoubt(now))
	g.MarkPrimaryInDoubt(now.Add(10))
	require.True(t, g.PrimaryInDoubt(now.Add(20)))
	status(g, "b", now.Add(5), database.RoleReplica, 1, 0, at(1, 10))
	require.True(t, g.PrimaryInDoubt(now.Add(20)), "asked before the doubt arose")
	status(g, "b", now.Add(15), database.RoleReplica, 1, 0, at(1, 10))
	require.False(t, g.PrimaryInDoubt(now.Add(20)))
}

// A proxy that only reaches the old primary stops making callers wait, and goes
// on once a proof comes.
func TestProofsThatDoNotComeAreNotAwaitedForLong(t *testing.T) {
	const hope = 700
	now := clock.Time(1000)
	g := newTrio(now)
	require.False(t, g.ProofUnavailable(now.Add(10_000), hope), "nobody has waited for a proof")
	now = now.Add(5000)
	g.RecordUnproven(now)
	require.False(t, g.ProofUnavailable(now.Add(hope-1), hope))
	g.RecordUnproven(now.Add(300))
	require.True(t, g.ProofUnavailable(now.Add(hope), hope))
	status(g, "b", now.Add(hope+5), database.RoleReplica, 1, 0, at(1, 20))
	require.False(t, g.ProofUnavailable(now.Add(hope+10), hope))
	g.RecordUnproven(now.Add(hope + 300))
	require.False(t, g.ProofUnavailable(now.Add(hope+310), hope))
	require.True(t, g.ProofUnavailable(now.Add(hope+300+hope), hope))
	// What is true of one term says nothing of the next.
	status(g, "c", now.Add(hope+300+hope), database.RolePrimary, 2, 0, at(2, 21))
	require.False(t, g.ProofUnavailable(now.Add(hope+300+hope+1), hope))
}

// After a rest, a replica that lacks the first new entry is behind by no more
// than that entry's age.
func TestReplicaIsNotFarBehindAfterARest(t *testing.T) {
	now := clock.Time(1000)
	g := newTrio(now)
	now = now.Add(10 * clock.Second)
	status(g, "a", now, database.RolePrimary, 1, 0, at(1, 11))
	require.False(t, g.LagsBeyond(at(1, 10), now.Add(50), 500))
	require.True(t, g.LagsBeyond(at(1, 10), now.Add(600), 500))
	require.False(t, g.LagsBeyond(at(1, 11), now.Add(600), 500))
}

// A replacement that gives up lets go of its own fences, not of those that a
// later one relies on.
func TestOnlyOwnFencesAreReleased(t *testing.T) {
	held := func(role database.Role, term, held uint64) *Member {
		return &Member{Entry: Entry{Role: role}, Term: term, FencedTerm: held}
	}
	require.True(t, held(database.RoleReplica, 1, 2).Releasable(2))
	require.False(t, held(database.RoleReplica, 1, 3).Releasable(2), "another replacement has fenced for term 3")
	require.True(t, held(database.RoleReplica, 1, 3).Releasable(AnyTerm))
	require.False(t, held(database.RoleReplica, 2, 2).Releasable(2), "it follows the term that it was held for")
	require.False(t, held(database.RolePrimary, 1, 2).Releasable(2))
}
