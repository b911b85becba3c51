package workspace

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// rankedWorkspace returns a workspace whose accountants rank as given.
func rankedWorkspace(names ...string) string {
	for i := 0; ; i++ {
		w := fmt.Sprint("w", i)
		if slices.Equal(RankAccountants(w, names), names) {
			return w
		}
	}
}

var testLimit = Limit{Rate: 100, Burst: 100}

// newTestAccountant returns an accountant that is the only proxy of its network.
func newTestAccountant(self string) *Accountant {
	return NewAccountant(self, DefaultQuota(), NewReach(), worldStart)
}

func grantOf(a *Accountant, now clock.Time, w string) Grant {
	return a.Grant(now, Ask{Workspace: w, Want: 1}, testLimit, true)
}

func releaseOf(a *Accountant, now clock.Time, w string, confirmed bool) Grant {
	return a.Grant(now, Ask{Workspace: w, Release: true}, testLimit, confirmed)
}

// A proxy that had just started, and held back itself, released a workspace at once
// although another proxy granted for it.
func TestProxyThatHoldsBackReleasesNothing(t *testing.T) {
	w := rankedWorkspace("next", "self")
	a := newTestAccountant("self")
	a.Assign(worldStart, []string{"self"}, false)
	require.True(t, grantOf(a, worldStart.Add(500), w).Holding)
	changed := worldStart.Add(clock.Second)
	a.Assign(changed, []string{"next", "self"}, false)
	for _, d := range []clock.Duration{0, clock.Second, SpreadTime, 3 * SpreadTime} {
		require.False(t, releaseOf(a, changed.Add(d), w, true).Released, d)
	}
	// A proxy that never accounted for the workspace cannot release it either.
	other := newTestAccountant("other")
	other.Assign(worldStart, []string{"next", "self", "other"}, true)
	require.False(t, releaseOf(other, worldStart.Add(10*clock.Second), w, true).Released)
}

// The accountant of before must release at once, so that grants go on, also if the answer
// is lost and it is asked again.
func TestAccountantReleasesWhatItMayGrant(t *testing.T) {
	w := rankedWorkspace("next", "self")
	start := func() (*Accountant, clock.Time) {
		a := newTestAccountant("self")
		a.Assign(worldStart, []string{"self"}, true)
		changed := worldStart.Add(10 * clock.Second)
		require.Positive(t, grantOf(a, changed, w).Tokens)
		a.Assign(changed, []string{"next", "self"}, false)
		require.Positive(t, grantOf(a, changed.Add(100), w).Tokens)
		return a, changed
	}
	a, changed := start()
	require.False(t, releaseOf(a, changed.Add(200), w, false).Released, "its configuration is not confirmed")
	for range 2 {
		g := releaseOf(a, changed.Add(300), w, true)
		require.True(t, g.Released)
		require.True(t, g.Holding)
	}
	require.True(t, grantOf(a, changed.Add(400), w).Holding)
	a, changed = start()
	require.False(t, releaseOf(a, changed.Add(SpreadTime), w, true).Released, "it may not grant any more")
}

// An answer without the field is that of an earlier build, or of a proxy that cannot
// answer for what was granted: the new accountant must wait as for a silent one.
func TestNewAccountantWaitsUnlessReleased(t *testing.T) {
	w := rankedWorkspace("self", "before")
	for _, released := range []bool{false, true} {
		a := newTestAccountant("self")
		a.Assign(worldStart, []string{"before"}, false)
		taken := worldStart.Add(clock.Second)
		a.Assign(taken, []string{"before", "self"}, false)
		require.True(t, grantOf(a, taken, w).Holding)
		messages := a.Messages(taken)
		require.Len(t, messages, 1)
		a.Answered(taken.Add(5), messages[0], []Grant{{Workspace: w, Holding: true, Released: released}})
		require.Equal(t, !released, grantOf(a, taken.Add(100), w).Holding)
		require.Equal(t, !released, grantOf(a, taken.Add(2*SpreadTime-1), w).Holding)
		require.False(t, grantOf(a, taken.Add(2*SpreadTime), w).Holding)
	}
}

// A proxy that has been accountant only while it held back must not go on as the outgoing
// one.
func TestProxyThatHoldsBackIsNotOutgoing(t *testing.T) {
	w := rankedWorkspace("next", "first", "self")
	a := newTestAccountant("self")
	a.Assign(worldStart, []string{"first", "self"}, true)
	deputize := func(now clock.Time) Grant {
		for _, m := range a.Messages(now) {
			a.Unanswered(now, m)
		}
		return a.Grant(now, Ask{Workspace: w, Want: 1, Deputy: true}, testLimit, true)
	}
	now := worldStart
	for ; now < worldStart.Add(clock.Second); now = now.Add(100) {
		deputize(now)
	}
	require.False(t, deputize(now).Holding, "the accountant is silent")
	a.Assign(now, []string{"self"}, false)
	require.True(t, grantOf(a, now.Add(100), w).Holding)
	a.Assign(now.Add(200), []string{"next", "self"}, false)
	require.True(t, grantOf(a, now.Add(300), w).Holding, "the bucket is that of a deputy")
}

// A process that had just started beside a restored store took a silent proxy for the
// accountant and granted as its deputy, while the accountant that the copy lacks granted
// as well.
func TestDeputyOfAnAccountantThatHoldsBackHoldsBack(t *testing.T) {
	w := rankedWorkspace("first", "self")
	for _, started := range []bool{false, true} {
		a := newTestAccountant("self")
		a.Assign(worldStart, []string{"first", "self"}, started)
		var grantedAt clock.Time
		for now := worldStart; grantedAt == 0 && now < worldStart.Add(4*SpreadTime); now = now.Add(50) {
			for _, m := range a.Messages(now) {
				a.Unanswered(now, m)
			}
			if g := a.Grant(now, Ask{Workspace: w, Want: 1, Deputy: true}, testLimit, true); g.Tokens > 0 {
				grantedAt = now
			}
		}
		require.NotZero(t, grantedAt)
		if held := grantedAt.Sub(worldStart); started {
			require.Less(t, held, clock.Second)
		} else {
			require.GreaterOrEqual(t, held, 2*SpreadTime)
		}
	}
}

// An accountant that was silent goes on as the outgoing one with what its deputy has left
// of its bucket.
func TestOutgoingAccountantIsDrained(t *testing.T) {
	w := rankedWorkspace("next", "self")
	a := newTestAccountant("self")
	a.Assign(worldStart, []string{"self"}, true)
	changed := worldStart.Add(10 * clock.Second)
	require.Positive(t, grantOf(a, changed, w).Tokens)
	a.Assign(changed, []string{"next", "self"}, false)
	a.Drain(changed.Add(10), w, testLimit)
	require.Zero(t, grantOf(a, changed.Add(10), w).Tokens)
}

// After a restore to a copy of the members table that lacks the accountant, processes that
// start with that copy granted beside the accountant, which has the members of before for
// a while.
func TestStartBesideARestoredTableStaysWithinTheBound(t *testing.T) {
	for _, n := range []int{3, 5, 15} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(n, " proxies, seed", seed), func(t *testing.T) {
				w := settledWorld(seed, n)
				w.surge(w.nodes, 3*surgeTime)
				w.run(2 * clock.Second)
				all := w.nodes[0].members
				// The copy lacks the accountant of the largest workspace, and the next one in
				// rank. That one and the one after it start.
				ranked := RankAccountants(nameOf(300), ChooseAccountants(all))
				copied := without(all, ranked[0])
				next, second := w.byName[ranked[1]], w.byName[ranked[2]]
				next.kill()
				second.kill()
				w.run(200)
				second.startFrom(without(copied, next.name), false)
				next.startFrom(without(copied, next.name), false)
				w.run(300)
				next.setMembers(copied)
				second.setMembers(copied)
				w.run(SpreadTime)
				next.setMembers(all)
				second.setMembers(all)
				w.run(2 * surgeTime)
				w.report(t)
				w.requireBound(t)
			})
		}
	}
}

// After a restart of all processes with the rows that they have written, grants must go on
// at once.
func TestRestartOfAllGrantsAtOnce(t *testing.T) {
	w := settledWorld(1, 15)
	members := w.nodes[0].members
	for _, n := range w.nodes {
		n.kill()
	}
	w.run(clock.Second)
	for _, n := range w.nodes {
		n.startFrom(slices.Clone(members), true)
	}
	s := w.spaces[nameOf(300)]
	before := len(s.arrivals)
	w.load(nameOf(300), w.nodes, 300*usualDemand, clock.Second)
	w.run(clock.Second)
	require.Greater(t, float64(len(s.arrivals)-before), 0.9*300*usualDemand)
}
