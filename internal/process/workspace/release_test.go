package workspace

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
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
	return a.Grant(now, Ask{Workspace: w, Release: true, Successor: "next"}, testLimit, confirmed)
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
	for _, d := range []clock.Duration{0, clock.Second, 2*SpreadTime - clock.Second - 1} {
		g := releaseOf(a, changed.Add(d), w, true)
		require.False(t, g.Released, d)
		require.Equal(t, 2*SpreadTime-clock.Second-d, g.HeldMillis, "it may have granted after that time")
	}
	a = newTestAccountant("self")
	a.Assign(worldStart, []string{"self"}, false)
	a.Assign(changed, []string{"next", "self"}, false)
	require.Equal(t, Grant{Workspace: w, Holding: true, RetryMillis: holdingRetry}, releaseOf(a, changed.Add(SpreadTime), w, true), "it has stopped, and may have done so for another one")
	// A proxy that never accounted for the workspace cannot release it either.
	other := newTestAccountant("other")
	other.Assign(worldStart, []string{"next", "self", "other"}, true)
	other.Assign(worldStart.Add(clock.Second), []string{"next", "other"}, true)
	g := releaseOf(other, worldStart.Add(clock.Second), w, true)
	require.False(t, g.Released)
	require.Zero(t, g.HeldMillis)
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

// A process with the members of a restored copy asked the accountant of before to release
// a workspace for which that one knew another accountant. Both granted then.
func TestAccountantReleasesToOneProxyOnly(t *testing.T) {
	w := rankedWorkspace("next", "other", "self")
	a := newTestAccountant("self")
	a.Assign(worldStart, []string{"self"}, true)
	changed := worldStart.Add(clock.Second)
	require.Positive(t, grantOf(a, changed, w).Tokens)
	a.Assign(changed, []string{"next", "self"}, false)
	ask := Ask{Workspace: w, Release: true, Successor: "other"}
	require.False(t, a.Grant(changed.Add(5), ask, testLimit, true).Released)
	require.Positive(t, grantOf(a, changed.Add(10), w).Tokens, "it goes on until the next one asks")
	ask.Successor = "next"
	require.True(t, a.Grant(changed.Add(15), ask, testLimit, true).Released)
	ask.Successor = "other"
	require.False(t, a.Grant(changed.Add(20), ask, testLimit, true).Released)
}

// An earlier build takes any answer for a release, so that this proxy must stop.
func TestEarlierBuildIsReleasedAtOnce(t *testing.T) {
	w := rankedWorkspace("next", "self")
	a := newTestAccountant("self")
	a.Assign(worldStart, []string{"self"}, true)
	changed := worldStart.Add(clock.Second)
	require.Positive(t, grantOf(a, changed, w).Tokens)
	a.Assign(changed, []string{"next", "self"}, false)
	require.True(t, a.Grant(changed.Add(5), Ask{Workspace: w, Release: true}, testLimit, false).Holding)
	require.True(t, grantOf(a, changed.Add(10), w).Holding)
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

// When the members change often, each new accountant held back for the whole time again.
func TestNewAccountantHoldsBackNoLongerThanTheOneBefore(t *testing.T) {
	w := rankedWorkspace("self", "before")
	start := func() (*Accountant, clock.Time, Message) {
		a := newTestAccountant("self")
		a.Assign(worldStart, []string{"before"}, false)
		taken := worldStart.Add(clock.Second)
		a.Assign(taken, []string{"before", "self"}, false)
		require.True(t, grantOf(a, taken, w).Holding)
		return a, taken, a.Messages(taken)[0]
	}
	a, taken, m := start()
	answered := taken.Add(5)
	a.Answered(answered, m, []Grant{{Workspace: w, Holding: true, HeldMillis: 1500}})
	require.True(t, grantOf(a, answered.Add(1499), w).Holding)
	require.False(t, grantOf(a, answered.Add(1500), w).Holding)

	a, taken, m = start()
	a.Answered(taken.Add(5), m, []Grant{{Workspace: w, Holding: true, HeldMillis: clock.Hour}})
	require.False(t, grantOf(a, taken.Add(2*SpreadTime), w).Holding, "never longer than without an answer")

	// What another one had to answer for says nothing of the time after.
	a, taken, m = start()
	a.Answered(taken.Add(5), m, []Grant{{Workspace: w, Holding: true, HeldMillis: 1500}})
	a.Assign(taken.Add(500), []string{"before"}, false)
	again := taken.Add(600)
	a.Assign(again, []string{"before", "self"}, false)
	require.True(t, grantOf(a, again.Add(1500), w).Holding)
	a, taken, m = start()
	a.Assign(taken.Add(5), []string{"before"}, false)
	a.Assign(taken.Add(10), []string{"before", "self"}, false)
	a.Answered(taken.Add(15), m, []Grant{{Workspace: w, Holding: true, Released: true}})
	require.True(t, grantOf(a, taken.Add(20), w).Holding)
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

// rollingRestart restarts accountants and a quarter of the other proxies, one every 700 ms,
// and returns what was offered and refused of a workspace meanwhile.
func rollingRestart(seed uint64) (w *world, offered, refused int) {
	w = settledWorld(seed, fleet)
	all := w.nodes[0].members
	gone := make(map[string]bool)
	left := func(but string) []proxy.Peer {
		return slices.DeleteFunc(slices.Clone(all), func(p proxy.Peer) bool { return gone[p.Name] || p.Name == but })
	}
	// spread tells all proxies that run of the members, within a poll of a relay.
	spread := func() {
		members := left("")
		for _, n := range w.nodes {
			w.after(clock.Duration(w.rand.IntN(1200)), func() {
				if !n.dead {
					n.setMembers(members)
				}
			})
		}
	}
	var restarting, others []*node
	for i, n := range w.nodes {
		if i%4 == 0 || slices.Contains(w.accountants(), n) {
			restarting = append(restarting, n)
		} else {
			others = append(others, n)
		}
	}
	const restarts = 24
	for i := range restarts {
		n := restarting[i%len(restarting)]
		began := clock.Duration(i) * 700
		w.after(began, func() { gone[n.name] = true; spread() })
		// A process lives for a while after it has left the members.
		w.after(began+4800, n.kill)
		w.after(began+5400, func() {
			gone[n.name] = false
			n.startFrom(left(n.name), false)
			spread()
		})
	}
	s := w.spaces[nameOf(300)]
	before := *s
	w.load(nameOf(300), others[:6], 300*usualDemand, (restarts+8)*700)
	w.run((restarts + 8) * 700)
	return w, s.offered - before.offered, s.refused - before.refused
}

// While proxies restart in turn, the accountants change more often than all learn of it. An
// accountant whose workspace was taken over released it only until the next change of any
// accountant, so that the one after it held back for 4 s, and only the accountant before the
// last change was asked.
func TestRollingRestartIsServed(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			_, offered, refused := rollingRestart(seed)
			t.Logf("%d of %d refused", refused, offered)
			require.LessOrEqual(t, float64(refused), 0.05*float64(offered))
		})
	}
}

// Accountants that follow each other quickly must not grant at the same time.
func TestRollingRestartStaysWithinTheBound(t *testing.T) {
	for seed := range uint64(10) {
		w, _, _ := rollingRestart(seed)
		w.requireBound(t)
	}
}

// A proxy that has released a workspace to one accountant must not release it to another one
// as well, which may follow it before all know the first.
func TestWorkspaceIsReleasedToOneProxy(t *testing.T) {
	w := rankedWorkspace("third", "second", "self")
	a := newTestAccountant("self")
	a.Assign(worldStart, []string{"self"}, true)
	changed := worldStart.Add(clock.Minute / 2)
	require.False(t, grantOf(a, changed, w).Holding)
	a.Assign(changed, []string{"second", "self"}, false)
	require.True(t, a.Grant(changed, Ask{Workspace: w, Release: true, Successor: "second"}, testLimit, true).Released)
	a.Assign(changed.Add(300), []string{"third", "second", "self"}, false)
	require.False(t, a.Grant(changed.Add(300), Ask{Workspace: w, Release: true, Successor: "third"}, testLimit, true).Released)
}
