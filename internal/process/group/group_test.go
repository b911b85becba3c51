package group

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

func pos(term, offset uint64) position.Position { return position.Position{Term: term, Offset: offset} }

// newTestGroup returns a group with primary a and replicas b and c, all of
// which answered at now.
func newTestGroup(now clock.Time) *Group {
	g := New("shop1")
	for _, id := range []string{"a", "b", "c"} {
		role := database.RoleReplica
		if id == "a" {
			role = database.RolePrimary
		}
		g.ObserveEntry(now, Entry{ID: id, Group: "shop1", Address: id, Slots: 3, Role: role})
		observeStatus(g, id, now, role, 1, 0, pos(1, 10))
	}
	g.ObserveNoReplacement(now, now)
	return g
}

// observeStatus records a status that was asked for on a connection that has been open
// from the start.
func observeStatus(g *Group, id string, asked clock.Time, role database.Role, term, fencedTerm uint64, received position.Position) {
	g.ObserveUptime(id, 1, asked)
	g.ObserveStatus(id, asked, asked.Add(2), database.Status{Role: role, Term: term, Fenced: fencedTerm, Received: received, Applied: received})
}

// A proxy that can reach only the old primary in a network partition must not
// take a read floor from it alone, even after another database has expired.
func TestFloorNeedsMoreThanTheOldPrimary(t *testing.T) {
	now := clock.Time(1000)
	g := newTestGroup(now)
	g.MarkLapsed(now, "c")
	now = now.Add(lapsedTTL)
	require.Equal(t, []string{"c"}, g.Expire(now))
	observeStatus(g, "a", now, database.RolePrimary, 1, 0, pos(1, 20))
	_, source := g.Floor(now, now.Add(5))
	require.Equal(t, FloorUnknown, source, "b and a database that joined may have confirmed commits of a later term")
	observeStatus(g, "b", now, database.RoleReplica, 1, 0, pos(1, 20))
	floor, source := g.Floor(now, now.Add(5))
	require.Equal(t, FloorOfPrimary, source)
	require.Equal(t, pos(1, 20), floor)

	// The same holds once the group has been short for so long that two
	// databases count as the whole group.
	now = now.Add(shrinkDelay)
	g.Expire(now)
	require.Equal(t, 2, g.Size())
	observeStatus(g, "a", now, database.RolePrimary, 1, 0, pos(1, 30))
	_, source = g.Floor(now, now.Add(5))
	require.Equal(t, FloorUnknown, source)
}

func TestFencedReplicaDoesNotProvePrimary(t *testing.T) {
	now := clock.Time(1000)
	g := newTestGroup(now)
	require.Equal(t, now, g.PrimaryProvenAt(now))
	later := now.Add(100)
	observeStatus(g, "b", later, database.RoleReplica, 1, 2, pos(1, 10))
	require.Equal(t, now, g.PrimaryProvenAt(later), "c was not fenced at that time")
	observeStatus(g, "c", later, database.RoleReplica, 1, 2, pos(1, 10))
	require.Zero(t, g.PrimaryProvenAt(later))
}

// A replica that has received an entry which the primary wrote after t was not
// fenced at t.
func TestPositionsProvePrimary(t *testing.T) {
	now := clock.Time(1000)
	g := newTestGroup(now)
	sent := now.Add(50)
	g.ObservePosition("a", now, sent, sent.Add(2), pos(1, 12))
	g.ObservePosition("b", now, sent.Add(10), sent.Add(12), pos(1, 12))
	require.Equal(t, now, g.PrimaryProvenAt(sent.Add(12)), "entry 12 may have been written before the primary was asked")
	g.ObservePosition("b", now, sent.Add(20), sent.Add(22), pos(1, 13))
	require.Equal(t, sent, g.PrimaryProvenAt(sent.Add(22)))
}

func TestPrimaryOfAnEarlierTermIsIgnored(t *testing.T) {
	now := clock.Time(1000)
	g := newTestGroup(now)
	m, ok := g.Primary()
	require.True(t, ok)
	require.Equal(t, "a", m.ID)
	observeStatus(g, "b", now.Add(5), database.RolePrimary, 2, 0, pos(1, 10))
	m, ok = g.Primary()
	require.True(t, ok)
	require.Equal(t, "b", m.ID)
	ids, term := g.StalePrimaries()
	require.Equal(t, []string{"a"}, ids)
	require.Equal(t, uint64(2), term)
	// A registry entry tells the role but not the term: a is not the primary
	// again until its status says so.
	g.ObserveEntry(now.Add(6), Entry{ID: "a", Group: "shop1", Address: "a", Slots: 3, Role: database.RoleReplica})
	g.ObserveEntry(now.Add(7), Entry{ID: "a", Group: "shop1", Address: "a", Slots: 3, Role: database.RolePrimary})
	m, _ = g.Primary()
	require.Equal(t, "b", m.ID)
}

func TestNewIncarnationIsANewDatabase(t *testing.T) {
	now := clock.Time(1000)
	g := newTestGroup(now)
	require.True(t, g.ObserveEntry(now, Entry{ID: "b", Group: "shop1", Address: "b", Slots: 3, Role: database.RoleReplica, Incarnation: 7}))
	require.Equal(t, now, g.PrimaryProvenAt(now), "c still confirms")
	observeStatus(g, "c", now.Add(1), database.RoleReplica, 1, 2, pos(1, 10))
	require.Zero(t, g.PrimaryProvenAt(now), "the status of b's earlier incarnation does not count")
}

func TestSuspicionNeedsRepeatedFailures(t *testing.T) {
	now := clock.Time(1000)
	g := newTestGroup(now)
	g.RecordFailure("a", now)
	require.Equal(t, NoReason, g.Suspect(now.Add(unreachableAfter)).Reason, "one failure is not enough")
	g.RecordFailure("a", now.Add(unreachableAfter))
	require.Equal(t, Unreachable, g.Suspect(now.Add(unreachableAfter)).Reason)
	g.MarkAnswered("a", now.Add(unreachableAfter+1))
	require.Equal(t, NoReason, g.Suspect(now.Add(unreachableAfter+1)).Reason)
	g.ObserveEntry(now, Entry{ID: "a", Group: "shop1", Address: "a", Slots: 3, Role: database.RolePrimary, Leaving: true})
	require.Equal(t, PrimaryLeaving, g.Suspect(now).Reason)
}

func TestSuccessorHasReceivedMost(t *testing.T) {
	fences := []Fence{
		{ID: "a", Status: database.Status{Term: 1, Received: pos(1, 9)}},
		{ID: "b", Status: database.Status{Term: 1, Received: pos(1, 10)}, Leaving: true},
		{ID: "c", Status: database.Status{Term: 1, Received: pos(1, 10)}},
	}
	best, ok := Successor(fences)
	require.True(t, ok)
	require.Equal(t, "c", best.ID)
	best, _ = Successor(fences[:2])
	require.Equal(t, "b", best.ID, "preserving an acknowledged commit takes precedence over staying in the group")
	tied := []Fence{{ID: "c", Status: fences[2].Status}, {ID: "b", Status: fences[2].Status}}
	first, _ := Successor(tied)
	second, _ := Successor([]Fence{tied[1], tied[0]})
	require.Equal(t, first.ID, second.ID, "the order of the fences does not matter")
	joined := Fence{ID: "b", Status: database.Status{Term: 2, Received: pos(1, 5)}}
	best, _ = Successor([]Fence{joined, fences[0]})
	require.Equal(t, "a", best.ID, "b follows the later term and has not received its log")
	g := newTestGroup(1000)
	require.True(t, g.FencesSuffice(fences[:2]))
	require.False(t, g.FencesSuffice(fences[:1]))
	_, ok = Successor(nil)
	require.False(t, ok)
}

// A primary that grants no more connections neither confirms nor denies that it
// leads, so the group is not leaderless.
func TestPrimaryWithoutFreeConnectionsIsNotLeaderless(t *testing.T) {
	now := clock.Time(1000)
	g := New("shop1")
	for _, id := range []string{"a", "b", "c"} {
		g.ObserveEntry(now, Entry{ID: id, Group: "shop1", Address: id, Slots: 3, Role: database.RoleReplica})
	}
	require.Equal(t, NoReason, g.Suspect(now).Reason)
	later := now.Add(2 * leaderlessAfter)
	observeStatus(g, "b", later, database.RoleReplica, 1, 0, pos(1, 10))
	observeStatus(g, "c", later, database.RoleReplica, 1, 0, pos(1, 10))
	g.MarkAnswered("a", later)
	require.Equal(t, NoReason, g.Suspect(later).Reason)
	g.RecordFailure("a", later)
	g.RecordFailure("a", later)
	require.Equal(t, Leaderless, g.Suspect(later).Reason)
}

// A proxy that had never reached the new primary replaced it alone. The registry states which
// database leads, so that another proxy has to agree (review/11, LOST).
func TestUnreachablePrimaryOfTheRegistryNeedsAgreement(t *testing.T) {
	now := clock.Time(1000)
	g := newTestGroup(now)
	require.Equal(t, NoReason, g.Suspect(now).Reason, "a leads term 1")
	list := func(id string, role database.Role) {
		g.ObserveEntry(now, Entry{ID: id, Group: "shop1", Address: id, Slots: 3, Role: role})
	}
	list("a", database.RoleReplica)
	list("b", database.RolePrimary)
	require.Equal(t, NoReason, g.Suspect(now).Reason)
	later := now.Add(2 * leaderlessAfter)
	observeStatus(g, "a", later, database.RoleReplica, 2, 0, pos(1, 10))
	observeStatus(g, "c", later, database.RoleReplica, 2, 0, pos(1, 10))
	require.Equal(t, NoReason, g.Suspect(later).Reason, "b has not been tried")
	g.RecordFailure("b", later)
	g.RecordFailure("b", later)
	s := g.Suspect(later)
	require.Equal(t, Suspicion{Reason: Unreachable, Primary: "b", Listed: true}, s)
	require.True(t, s.Reason.NeedsAgreement())

	g.MarkLapsed(later, "b")
	require.False(t, g.Suspect(later).Listed, "without an entry it needs none")
	list("b", database.RoleReplica)
	g.RecordFailure("b", later)
	g.RecordFailure("b", later)
	require.Equal(t, Leaderless, g.Suspect(later).Reason)
}

// A leaving primary serves requests until it is replaced, but not past the
// drain limit.
func TestLeavingPrimaryIsUsedForATime(t *testing.T) {
	now := clock.Time(1000)
	g := newTestGroup(now)
	g.DrainLimit = 5 * clock.Second
	g.ObserveEntry(now, Entry{ID: "a", Group: "shop1", Address: "a", Slots: 3, Role: database.RolePrimary, Leaving: true})
	g.Expire(now.Add(4 * clock.Second))
	_, ok := g.Primary()
	require.True(t, ok)
	g.Expire(now.Add(5 * clock.Second))
	_, ok = g.Primary()
	require.False(t, ok)
}

// After an unconfirmed commit, or a claim to replace the primary, the next
// commit waits for newer proof that the primary leads.
func TestDoubtEndsWithNewerProof(t *testing.T) {
	now := clock.Time(1000)
	g := newTestGroup(now)
	require.False(t, g.PrimaryInDoubt(now))
	g.MarkPrimaryInDoubt(now.Add(10))
	require.True(t, g.PrimaryInDoubt(now.Add(20)))
	observeStatus(g, "b", now.Add(5), database.RoleReplica, 1, 0, pos(1, 10))
	require.True(t, g.PrimaryInDoubt(now.Add(20)), "the status was requested before the doubt arose")
	observeStatus(g, "b", now.Add(15), database.RoleReplica, 1, 0, pos(1, 10))
	require.False(t, g.PrimaryInDoubt(now.Add(20)))
}

// A proxy that reaches only the old primary stops making callers wait the full
// time for proof, and resumes once proof arrives.
func TestWaitsForMissingProofEnd(t *testing.T) {
	const wait = 700
	now := clock.Time(1000)
	g := newTestGroup(now)
	require.False(t, g.ProofUnavailable(now.Add(10_000), wait), "nobody has waited for a proof")
	now = now.Add(5000)
	g.RecordUnproven(now)
	require.False(t, g.ProofUnavailable(now.Add(wait-1), wait))
	g.RecordUnproven(now.Add(300))
	require.True(t, g.ProofUnavailable(now.Add(wait), wait))
	observeStatus(g, "b", now.Add(wait+5), database.RoleReplica, 1, 0, pos(1, 20))
	require.False(t, g.ProofUnavailable(now.Add(wait+10), wait))
	g.RecordUnproven(now.Add(wait + 300))
	require.False(t, g.ProofUnavailable(now.Add(wait+310), wait))
	require.True(t, g.ProofUnavailable(now.Add(wait+300+wait), wait))
	// Timeouts in one term say nothing about the next.
	observeStatus(g, "c", now.Add(wait+300+wait), database.RolePrimary, 2, 0, pos(2, 21))
	require.False(t, g.ProofUnavailable(now.Add(wait+300+wait+1), wait))
}

// After a time without writes, a replica that lacks the first new entry lags by
// no more than that entry's age.
func TestIdleTimeIsNotReplicaLag(t *testing.T) {
	now := clock.Time(1000)
	g := newTestGroup(now)
	now = now.Add(10 * clock.Second)
	observeStatus(g, "a", now, database.RolePrimary, 1, 0, pos(1, 11))
	require.False(t, g.LagsBeyond(pos(1, 10), now.Add(50), 500))
	require.True(t, g.LagsBeyond(pos(1, 10), now.Add(600), 500))
	require.False(t, g.LagsBeyond(pos(1, 11), now.Add(600), 500))
}

// A replacement that gives up releases its own fences, not those that a later
// one relies on.
func TestOnlyOwnFencesAreReleased(t *testing.T) {
	fencedMember := func(role database.Role, term, fencedTerm uint64) *Member {
		return &Member{Entry: Entry{Role: role}, Term: term, FencedTerm: fencedTerm}
	}
	require.True(t, fencedMember(database.RoleReplica, 1, 2).Releasable(2))
	require.False(t, fencedMember(database.RoleReplica, 1, 3).Releasable(2), "another replacement has fenced for term 3")
	require.True(t, fencedMember(database.RoleReplica, 1, 3).Releasable(AnyTerm))
	require.False(t, fencedMember(database.RoleReplica, 2, 2).Releasable(2), "it follows the term that it was fenced for")
	require.False(t, fencedMember(database.RolePrimary, 1, 2).Releasable(2))
}

// Whoever waits for a change must learn that a leaving primary may get no more
// requests, as it does when the primary's entry expires.
func TestExpiredDrainWakesWaiters(t *testing.T) {
	now := clock.Time(1000)
	g := newTestGroup(now)
	g.DrainLimit = 5 * clock.Second
	g.ObserveEntry(now, Entry{ID: "a", Group: "shop1", Address: "a", Slots: 3, Role: database.RolePrimary, Leaving: true})
	changed := g.Changed()
	g.Expire(now.Add(4 * clock.Second))
	select {
	case <-changed:
		require.Fail(t, "nothing has changed yet")
	default:
	}
	g.Expire(now.Add(5 * clock.Second))
	select {
	case <-changed:
	default:
		require.Fail(t, "the expired drain was not notified")
	}
}

// A database that was leaving, or gone, was used again after a restore.
func TestEntryThatIsOlderThanAKnownOneIsOutdated(t *testing.T) {
	now := clock.Time(10_000)
	g := New("shop")
	ready := Entry{ID: "a", Group: "shop", Incarnation: 700, Sequence: 3}
	leaving := ready
	leaving.Sequence, leaving.Leaving = 15, true
	require.False(t, g.Outdated(ready), "nothing is known of the database")
	g.ObserveEntry(now, leaving)
	require.True(t, g.Outdated(ready))
	require.False(t, g.Outdated(leaving), "read again")
	g.MarkLapsed(now, "a")
	require.Equal(t, []string{"a"}, g.Expire(now.Add(lapsedTTL)))
	require.True(t, g.Outdated(ready), "the database is gone")
	require.False(t, g.Outdated(leaving), "it may have been silent only")

	restarted := ready
	restarted.Incarnation, restarted.Sequence = 800, 1
	require.False(t, g.Outdated(restarted))
	g.ObserveEntry(now, restarted)
	require.True(t, g.Outdated(leaving), "an entry of the earlier incarnation")
	for _, unknown := range []Entry{{ID: "a"}, {ID: "a", Incarnation: 800}} {
		require.False(t, g.Outdated(unknown), "nothing tells the age of %v", unknown)
	}
}

func TestRemovedDatabasesAreBounded(t *testing.T) {
	g := New("shop")
	for i := range 999 {
		g.rememberLocked(Entry{ID: string(rune(i + 1))})
	}
	require.Len(t, g.removed, maxRemoved)
}

// A database that has started again under its ID in place of the primary, without its log,
// must not be taken for the primary by what is known of the earlier process: primary reads
// ran on its empty log, and floors were taken from it (STALE).
func TestRestartedPrimaryIsNotTakenForThePrimary(t *testing.T) {
	now := clock.Time(1000)
	g := newTestGroup(now)
	require.True(t, g.LeadKnown("a", 1, now))
	restarted := now.Add(50)
	require.False(t, g.LeadKnown("a", 1, restarted))
	g.ObservePosition("a", restarted, restarted.Add(10), restarted.Add(12), pos(1, 30))
	g.ObserveLead("a", 1, restarted, restarted.Add(10))
	require.Equal(t, now, g.SampledAt(), "the position is of another process")
	require.Equal(t, now, g.LedAt())
	observeStatus(g, "a", restarted.Add(20), database.RolePrimary, 1, 0, pos(1, 30))
	require.True(t, g.LeadKnown("a", 1, restarted))
	require.Equal(t, restarted.Add(20), g.SampledAt())
	observeStatus(g, "a", restarted.Add(30), database.RoleReplica, 0, 0, pos(0, 0))
	require.False(t, g.LeadKnown("a", 1, restarted))
}

// One replica that was not fenced does not prove that a primary leads which may have
// stepped down: a replacement fences the others and promotes one of them. Reads ran on the
// old primary, which had stepped down, or took floors from it (STALE).
func TestPrimaryThatMayHaveSteppedDownIsNotProven(t *testing.T) {
	now := clock.Time(1000)
	g := newTestGroup(now)
	// a steps down and b is fenced and promoted. c has heard of nothing.
	later := now.Add(500)
	g.ObservePosition("a", now, later, later.Add(2), pos(1, 10))
	observeStatus(g, "c", later.Add(10), database.RoleReplica, 1, 0, pos(1, 10))
	require.Equal(t, now, g.PrimaryProvenAt(later.Add(12)))
	_, source := g.Floor(later, later.Add(12))
	require.Equal(t, FloorUnknown, source)
	// Both replicas: no replacement can have fenced enough.
	observeStatus(g, "b", later.Add(5), database.RoleReplica, 1, 0, pos(1, 10))
	require.Equal(t, later.Add(5), g.PrimaryProvenAt(later.Add(12)))
	// The primary says that it leads, or does what only a primary does.
	g.ObserveLead("a", 1, now, later.Add(8))
	require.Equal(t, later.Add(8), g.PrimaryProvenAt(later.Add(12)))
	observeStatus(g, "a", later.Add(9), database.RolePrimary, 1, 0, pos(1, 10))
	require.Equal(t, later.Add(9), g.PrimaryProvenAt(later.Add(12)))
}

// A database that follows the newest term may not have received its log: the floor of a
// majority must cover a longer log of an earlier term (STALE).
func TestFloorOfAMajorityIsTheLongestLog(t *testing.T) {
	now := clock.Time(1000)
	g := newTestGroup(now)
	later := now.Add(500)
	observeStatus(g, "a", later, database.RoleReplica, 1, 0, pos(1, 30))
	observeStatus(g, "c", later, database.RoleReplica, 2, 0, pos(1, 10))
	floor, source := g.Floor(later, later.Add(5))
	require.Equal(t, FloorOfMajority, source)
	require.Equal(t, pos(1, 30), floor)
}

// A database that has started again may have lost what it had confirmed. It must not count
// for the floor of a majority until it has received the log anew (STALE).
func TestRestartedDatabaseDoesNotVouchForItsLog(t *testing.T) {
	for _, listed := range []bool{true, false} {
		now := clock.Time(1000)
		g := newTestGroup(now)
		g.ObserveEntry(now, Entry{ID: "b", Group: "shop1", Address: "b", Slots: 3, Role: database.RoleReplica, Incarnation: 1})
		observeStatus(g, "b", now.Add(10), database.RoleReplica, 1, 0, pos(1, 20))
		restarted := now.Add(100)
		if listed {
			g.ObserveEntry(restarted, Entry{ID: "b", Group: "shop1", Address: "b", Slots: 3, Role: database.RoleReplica, Incarnation: 2})
		}
		observeStatus(g, "b", restarted, database.RoleReplica, 1, 0, pos(1, 0))
		observeStatus(g, "c", restarted, database.RoleReplica, 1, 0, pos(1, 10))
		_, ok := g.majorityFloorLocked(restarted)
		require.False(t, ok, "b had confirmed entry 20")
		// The primary is seen, and b has received what it had.
		observeStatus(g, "a", restarted.Add(20), database.RolePrimary, 1, 0, pos(1, 21))
		observeStatus(g, "b", restarted.Add(30), database.RoleReplica, 1, 0, pos(1, 20))
		require.True(t, g.members["b"].Behind)
		observeStatus(g, "b", restarted.Add(40), database.RoleReplica, 1, 0, pos(1, 21))
		require.False(t, g.members["b"].Behind)
	}
}

// A database that came back after its removal, or a new one, counted for the floor of a
// majority before it had the log: two databases without a commit of the others sufficed (STALE).
func TestDatabaseThatJoinsDoesNotVouchForItsLog(t *testing.T) {
	for name, test := range map[string]struct {
		id          string
		incarnation int64
		vouches     bool
	}{
		"new database":        {id: "d", incarnation: 2},
		"back, started again": {id: "a", incarnation: 2},
		"back, start unknown": {id: "a"},
		"back with its log":   {id: "a", incarnation: 1, vouches: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := clock.Time(1000)
			g := newTestGroup(now)
			g.ObserveEntry(now, Entry{ID: "a", Group: "shop1", Address: "a", Slots: 3, Role: database.RolePrimary, Incarnation: 1})
			observeStatus(g, "a", now.Add(10), database.RolePrimary, 1, 0, pos(1, 20))
			g.MarkLapsed(now.Add(20), "a")
			removed := now.Add(20 + lapsedTTL)
			require.Equal(t, []string{"a"}, g.Expire(removed))
			// a and b had confirmed entry 20, which c lacks.
			e := Entry{ID: test.id, Group: "shop1", Address: test.id, Slots: 3, Role: database.RoleReplica, Incarnation: test.incarnation}
			require.True(t, g.ObserveEntry(removed, e))
			later := removed.Add(100)
			observeStatus(g, test.id, later, database.RoleReplica, 1, 0, pos(1, 5))
			observeStatus(g, "c", later, database.RoleReplica, 1, 0, pos(1, 10))
			_, ok := g.majorityFloorLocked(later)
			require.Equal(t, test.vouches, ok)
			// b leads, and the database has received what b had.
			observeStatus(g, "b", later.Add(10), database.RolePrimary, 2, 0, pos(2, 21))
			observeStatus(g, test.id, later.Add(20), database.RoleReplica, 2, 0, pos(2, 21))
			require.False(t, g.members[test.id].Behind)
		})
	}
}

// What a process knows of a group when it starts is no news of databases that join.
func TestDatabasesKnownFromTheStartVouchForTheirLogs(t *testing.T) {
	now := clock.Time(1000)
	g := New("shop1")
	for _, id := range []string{"a", "b", "c"} {
		g.ObserveEntry(now, Entry{ID: id, Group: "shop1", Address: id, Slots: 3, Role: database.RoleReplica, Incarnation: 1})
	}
	observeStatus(g, "a", now, database.RoleReplica, 1, 0, pos(1, 10))
	observeStatus(g, "b", now, database.RoleReplica, 1, 0, pos(1, 12))
	floor, ok := g.majorityFloorLocked(now)
	require.True(t, ok)
	require.Equal(t, pos(1, 12), floor)
}
