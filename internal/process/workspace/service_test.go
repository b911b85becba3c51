package workspace

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// maxCalmLoss is the share of operations that may be refused below the limit while
// nothing is wrong.
const maxCalmLoss = 0.005

// A workspace below its limit must not be refused because its callers are spread over
// many proxies, however large it is.
func TestUsualDemandIsServed(t *testing.T) {
	for _, askers := range []int{1, 6, fleet} {
		for seed := range uint64(3) {
			w := newWorld(seed, fleet, limits())
			w.run(5 * clock.Second)
			w.loadAll(w.nodes[:askers], usualDemand, 60*clock.Second)
			w.run(60 * clock.Second)
			w.report(t)
			for name, s := range w.spaces {
				// Of few operations, one is more than the share.
				require.LessOrEqual(t, float64(s.owed), max(float64(s.offered)*maxCalmLoss, 1), "%s, %d proxies ask", name, askers)
			}
		}
	}
}

// When demand rises to just under the limit, the first second must not be refused because
// proxies ask for what they needed before.
func TestDemandThatRisesIsServed(t *testing.T) {
	for _, askers := range []int{6, fleet} {
		for seed := range uint64(3) {
			w := newWorld(seed, fleet, limits())
			w.run(5 * clock.Second)
			w.loadAll(w.nodes[:askers], usualDemand/4, settled)
			w.run(settled)
			offered, owed := 0, 0
			for _, s := range w.spaces {
				offered, owed = offered-s.offered, owed-s.owed
			}
			w.loadAll(w.nodes[:askers], 0.97, 3*clock.Second)
			w.run(3 * clock.Second)
			for _, s := range w.spaces {
				offered, owed = offered+s.offered, owed+s.owed
			}
			t.Logf("%d asking proxies: %d of %d", askers, owed, offered)
			require.LessOrEqual(t, float64(owed), float64(offered)*maxCalmLoss)
		}
	}
}

// cutOff divides the network, and returns what was offered and refused of a workspace in
// the part that is cut off, and in the rest, from settle after that on.
func cutOff(w *world, workspace string, part func(i int, n *node) int, settle clock.Duration) (offered, refused [2]int) {
	var parts [2][]*node
	for i, n := range w.nodes {
		n.part = part(i, n)
		parts[n.part] = append(parts[n.part], n)
	}
	s := w.spaces[workspace]
	for _, p := range []int{1, 0} {
		rate := w.limits[workspace].Rate * usualDemand * float64(len(parts[p])) / float64(len(w.nodes))
		w.load(workspace, parts[p], rate, settle+10*clock.Second)
		w.run(settle)
		before := *s
		w.run(10 * clock.Second)
		offered[p], refused[p] = s.offered-before.offered, s.refused-before.refused
	}
	return offered, refused
}

// A part of the network that has lost the accountant of a workspace is served by a deputy,
// and the rest as if nothing had happened.
func TestDeputyServesAPartWithoutTheAccountant(t *testing.T) {
	for seed := range uint64(3) {
		w := settledWorld(seed, fleet)
		ranked := RankAccountants(nameOf(300), ChooseAccountants(w.nodes[0].members))
		offered, refused := cutOff(w, nameOf(300), func(i int, n *node) int {
			if i < fleet/3 && n.name != ranked[0] || n.name == ranked[2] {
				return 1
			}
			return 0
		}, 2*clock.Second)
		t.Logf("offered and refused, accountant's part first: %v, %v", offered, refused)
		require.LessOrEqual(t, float64(refused[0]), maxCalmLoss*float64(offered[0]))
		require.LessOrEqual(t, float64(refused[1]), 0.5*float64(offered[1]))
	}
}

// A proxy that has found the accountant silent for a while must not go on asking its
// deputy, which grants nothing, once both are reached again.
func TestReunitedNetworkIsServed(t *testing.T) {
	for _, askers := range []int{6, fleet} {
		for seed := range uint64(5) {
			w := settledWorld(seed, fleet)
			ranked := RankAccountants(nameOf(300), ChooseAccountants(w.nodes[0].members))
			w.load(nameOf(300), w.nodes[:askers], 300*usualDemand, 8*clock.Second)
			for i, n := range w.nodes {
				if i%3 == 0 && n.name != ranked[0] || n.name == ranked[1] {
					n.part = 1
				}
			}
			w.run(6 * clock.Second)
			for _, n := range w.nodes {
				n.part = 0
			}
			s := w.spaces[nameOf(300)]
			before := *s
			w.run(clock.Second)
			offered, refused := s.offered-before.offered, s.refused-before.refused
			t.Logf("%d asking proxies: %d of %d refused in the first second", askers, refused, offered)
			require.LessOrEqual(t, float64(refused), 0.1*float64(offered))
		}
	}
}

// A part of the network without any accountant is still served to some extent.
func TestReservesServeAPartWithoutAnyAccountant(t *testing.T) {
	for seed := range uint64(3) {
		w := settledWorld(seed, fleet)
		accountants := w.accountants()
		offered, refused := cutOff(w, nameOf(300), func(i int, n *node) int {
			if i < fleet/3 && !slices.Contains(accountants, n) {
				return 1
			}
			return 0
		}, clock.Second)
		t.Logf("offered and refused, accountants' part first: %v, %v", offered, refused)
		require.LessOrEqual(t, float64(refused[0]), maxCalmLoss*float64(offered[0]))
		require.LessOrEqual(t, float64(refused[1]), 0.7*float64(offered[1]))
	}
}

// An accountant that was killed, and whose row stays in the members table, must not leave
// its workspaces to the reserves.
func TestDeputyReplacesAKilledAccountant(t *testing.T) {
	for seed := range uint64(3) {
		w := settledWorld(seed, fleet)
		ranked := RankAccountants(nameOf(300), ChooseAccountants(w.nodes[0].members))
		w.byName[ranked[0]].kill()
		s := w.spaces[nameOf(300)]
		before := *s
		w.load(nameOf(300), w.nodes, 300*usualDemand, 12*clock.Second)
		w.run(2 * clock.Second)
		t.Logf("first 2 s: %d of %d refused", s.refused-before.refused, s.offered-before.offered)
		require.LessOrEqual(t, float64(s.refused-before.refused), 0.25*float64(s.offered-before.offered))
		before = *s
		w.run(10 * clock.Second)
		require.LessOrEqual(t, float64(s.refused-before.refused), maxCalmLoss*float64(s.offered-before.offered))
	}
}

// When the accountant moves, operations must not be refused until all proxies know it.
func TestMovedAccountantIsReleased(t *testing.T) {
	for seed := range uint64(3) {
		w := settledWorld(seed, fleet)
		gone := w.byName[first(RankAccountants(nameOf(300), ChooseAccountants(w.nodes[0].members)))]
		left := without(w.nodes[0].members, gone.name)
		s := w.spaces[nameOf(300)]
		before := *s
		w.load(nameOf(300), w.nodes, 300*usualDemand, 6*clock.Second)
		for _, n := range w.nodes {
			w.after(clock.Duration(w.rand.IntN(2000)), func() { n.setMembers(left) })
		}
		w.run(6 * clock.Second)
		offered, refused := s.offered-before.offered, s.refused-before.refused
		t.Logf("%d of %d refused", refused, offered)
		require.LessOrEqual(t, float64(refused), 0.05*float64(offered))
	}
}

// The number of messages must not grow with the number of proxies beyond the operations
// that need them, and there are none where no workspace is in use.
func TestMessagesPerSecond(t *testing.T) {
	const span = 10
	for _, n := range []int{15, 115, 300, 4900} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			for _, askers := range []int{6, n} {
				w := newWorld(1, n, limits())
				w.run(5 * clock.Second)
				require.Zero(t, w.asks+w.probes)
				w.loadAll(w.nodes[:askers], usualDemand, span*clock.Second)
				w.run(span * clock.Second)
				operations := 0
				for _, s := range w.spaces {
					operations += s.offered
				}
				calm, probes := w.asks/span, w.probes/span
				w.asks, w.probes = 0, 0
				w.surge(w.nodes[:askers], span*clock.Second)
				w.run(span * clock.Second)
				t.Logf("%d proxies, %d ask, %d operations/s: calm %d messages/s and %d signs of life/s; surge %d and %d", n, askers, operations/span, calm, probes, w.asks/span, w.probes/span)
				require.LessOrEqual(t, calm, 2*operations/span, "an ask and its answer for each operation")
				// The asks of each proxy for the six workspaces go to at most five
				// accountants, ten times a second; with many, the accountants space them.
				require.LessOrEqual(t, w.asks/span, 2*min(askers*5*10, len(rates)*1000))
				require.LessOrEqual(t, w.probes/span, 2*accountantCount*sampleSize*2)
				kept := 0
				for _, nd := range w.nodes {
					kept += nd.allowance.Len()
				}
				require.LessOrEqual(t, kept, askers*len(rates))
			}
		})
	}
}
