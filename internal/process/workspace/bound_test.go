package workspace

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// usualDemand is the usual demand as a share of the rate, and surgeFactor by how much
	// a workspace may exceed it for surgeTime.
	usualDemand = 0.62
	surgeFactor = 7.5
	surgeTime   = 6 * clock.Second
	// settled is the time after which averages over 20 s have become steady.
	settled = 40 * clock.Second
	fleet   = 115
)

var rates = []float64{1, 3, 10, 30, 100, 300}

func nameOf(rate float64) string { return fmt.Sprintf("w%g", rate) }

// limits are workspaces of all sizes, with a burst of one second.
func limits() map[string]Limit {
	m := make(map[string]Limit)
	for _, r := range rates {
		m[nameOf(r)] = Limit{Rate: r, Burst: r}
	}
	return m
}

// loadAll lets all workspaces send a share of their rates for d.
func (w *world) loadAll(nodes []*node, share float64, d clock.Duration) {
	for _, r := range rates {
		w.load(nameOf(r), nodes, r*share, d)
	}
}

// settledWorld returns proxies whose workspaces have had their usual demand for a while.
// Callers are spread over all proxies.
func settledWorld(seed uint64, n int) *world {
	w := newWorld(seed, n, limits())
	w.run(5 * clock.Second)
	w.loadAll(w.nodes, usualDemand, settled)
	w.run(settled)
	return w
}

// surge lets all workspaces send surgeFactor times their usual demand.
func (w *world) surge(nodes []*node, d clock.Duration) {
	w.loadAll(nodes, usualDemand*surgeFactor, d)
}

// without returns the members less one.
func without(members []proxy.Peer, name string) []proxy.Peer {
	return slices.DeleteFunc(slices.Clone(members), func(p proxy.Peer) bool { return p.Name == name })
}

// accountants returns the proxies that account for any workspace.
func (w *world) accountants() []*node {
	var list []*node
	for _, name := range ChooseAccountants(w.nodes[0].members) {
		list = append(list, w.byName[name])
	}
	return list
}

// report logs what was seen of each workspace.
func (w *world) report(t *testing.T) {
	t.Helper()
	for _, r := range rates {
		s := w.spaces[nameOf(r)]
		t.Logf("%s offered %d refused %d owed %d worst window %d of %.0f", nameOf(r), s.offered, s.refused, s.owed, s.worst(w.quota.Window), w.quota.Allowed(w.limits[nameOf(r)]))
	}
}

// forSeeds runs a scenario with several seeds, and checks the bound after each.
func forSeeds(t *testing.T, scenario func(t *testing.T, w *world)) {
	t.Helper()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			w := settledWorld(seed, fleet)
			scenario(t, w)
			w.report(t)
			w.requireBound(t)
		})
	}
}

// A workspace that suddenly sends 7.5 times its usual demand must not get more than its
// bound, but all of its rate and burst.
func TestSurgeStaysWithinTheBound(t *testing.T) {
	forSeeds(t, func(t *testing.T, w *world) {
		before := make(map[string]int)
		for name, s := range w.spaces {
			before[name] = s.owed
		}
		w.surge(w.nodes, surgeTime)
		w.run(surgeTime)
		for name, s := range w.spaces {
			l := w.limits[name]
			served := l.Rate*seconds(surgeTime) + l.Burst
			require.LessOrEqual(t, float64(s.owed-before[name]), 0.06*served+1, name)
		}
		w.loadAll(w.nodes, usualDemand, 10*clock.Second)
		w.run(10 * clock.Second)
	})
}

// The parts of a divided network must not admit together more than the bound, wherever
// the accountants are and however large the part is that reaches none.
func TestDividedNetworkStaysWithinTheBound(t *testing.T) {
	for _, cut := range []float64{0.35, 0.65} {
		for _, split := range []string{"together", "apart"} {
			t.Run(fmt.Sprint(cut, split), func(t *testing.T) {
				forSeeds(t, func(t *testing.T, w *world) {
					for i, n := range w.nodes {
						if float64(i) < cut*float64(len(w.nodes)) {
							n.part = 1
						}
					}
					if split == "together" {
						for _, n := range w.accountants() {
							n.part = 0
						}
					}
					w.surge(w.nodes, surgeTime)
					w.run(surgeTime)
					w.loadAll(w.nodes, usualDemand, 4*clock.Second)
					w.run(2 * clock.Second)
					for _, n := range w.nodes {
						n.part = 0
					}
					w.run(2 * clock.Second)
					w.surge(w.nodes, surgeTime)
					w.run(surgeTime)
				})
			})
		}
	}
}

// A network that divides in the middle of a surge, when the burst has been used already.
func TestNetworkDividedDuringASurgeStaysWithinTheBound(t *testing.T) {
	forSeeds(t, func(t *testing.T, w *world) {
		w.surge(w.nodes, 2*surgeTime)
		w.run(clock.Second)
		for i, n := range w.nodes {
			if i%3 != 0 {
				n.part = 1
			}
		}
		w.run(2*surgeTime - clock.Second)
	})
}

// An accountant that starts anew knows nothing of what it granted before.
func TestKilledAccountantStaysWithinTheBound(t *testing.T) {
	for _, away := range []clock.Duration{300, clock.Second, 3 * clock.Second} {
		t.Run(away.String(), func(t *testing.T) {
			forSeeds(t, func(t *testing.T, w *world) {
				w.surge(w.nodes, 2*surgeTime)
				w.run(clock.Second)
				for _, n := range w.accountants() {
					n.kill()
				}
				w.run(away)
				for _, n := range w.accountants() {
					n.start(n.members)
				}
				w.run(2*surgeTime - away - clock.Second)
			})
		})
	}
}

// While a change of the members spreads, two proxies may take themselves for the
// accountant of a workspace.
func TestMovedAccountantStaysWithinTheBound(t *testing.T) {
	forSeeds(t, func(t *testing.T, w *world) {
		w.surge(w.nodes, 3*surgeTime)
		for range 3 {
			w.run(2 * clock.Second)
			gone := w.accountants()[0].name
			left := without(w.nodes[0].members, gone)
			for _, n := range w.nodes {
				w.after(clock.Duration(w.rand.IntN(2000)), func() { n.setMembers(left) })
			}
			w.run(2 * clock.Second)
		}
		w.run(2 * clock.Second)
	})
}

// A proxy that was frozen must not use the tokens that it holds, as others have had the
// fill of that time.
func TestFrozenProxiesStayWithinTheBound(t *testing.T) {
	for _, who := range []string{"proxies", "accountants"} {
		t.Run(who, func(t *testing.T) {
			forSeeds(t, func(t *testing.T, w *world) {
				w.surge(w.nodes, 2*surgeTime)
				w.run(clock.Second)
				frozen := w.nodes[:fleet/2]
				if who == "accountants" {
					frozen = w.accountants()
				}
				for _, n := range frozen {
					n.frozen = w.now.Add(3 * clock.Second)
				}
				w.run(2*surgeTime - clock.Second)
			})
		})
	}
}

// One window after a limit was lowered, no window exceeds the bound of the new limit.
func TestLoweredLimitIsBinding(t *testing.T) {
	for seed := range uint64(3) {
		w := settledWorld(seed, fleet)
		w.surge(w.nodes, 3*surgeTime)
		w.run(2 * clock.Second)
		for name, l := range w.limits {
			w.limits[name] = Limit{Rate: l.Rate / 5, Burst: l.Burst / 5}
		}
		w.run(w.quota.Window)
		for _, s := range w.spaces {
			s.arrivals = s.arrivals[:0]
		}
		w.run(2 * surgeTime)
		w.report(t)
		w.requireBound(t)
	}
}

// Messages that are lost or late must neither raise what is admitted nor stop it.
func TestLostAndLateMessagesStayWithinTheBound(t *testing.T) {
	forSeeds(t, func(t *testing.T, w *world) {
		w.loss, w.late = 0.05, 0.2
		w.surge(w.nodes, surgeTime)
		w.run(surgeTime)
		w.loadAll(w.nodes, usualDemand, 10*clock.Second)
		w.run(10 * clock.Second)
	})
}

// An accountant that answers too late for all must not add its grants to the reserves.
func TestSlowAccountantStaysWithinTheBound(t *testing.T) {
	forSeeds(t, func(t *testing.T, w *world) {
		w.late = 1
		w.surge(w.nodes, 2*surgeTime)
		w.run(2 * surgeTime)
	})
}

// A workspace that always runs near its rate has large reserves.
func TestDividedNetworkAtHighUsualDemandStaysWithinTheBound(t *testing.T) {
	for seed := range uint64(3) {
		w := newWorld(seed, fleet, limits())
		w.run(5 * clock.Second)
		w.loadAll(w.nodes, 0.95, settled)
		w.run(settled)
		w.surge(w.nodes, 2*surgeTime)
		for i, n := range w.nodes {
			if i%3 != 0 {
				n.part = 1
			}
		}
		w.run(2 * surgeTime)
		w.report(t)
		w.requireBound(t)
	}
}

// An accountant that comes back finds its bucket full, while its deputies have granted in
// the meantime.
func TestReturningAccountantStaysWithinTheBound(t *testing.T) {
	for _, how := range []string{"frozen", "restarted", "reconnected"} {
		t.Run(how, func(t *testing.T) {
			forSeeds(t, func(t *testing.T, w *world) {
				w.surge(w.nodes, 3*surgeTime)
				for _, n := range w.accountants()[:3] {
					w.run(clock.Second)
					switch how {
					case "frozen":
						n.frozen = w.now.Add(3 * clock.Second)
						w.run(3 * clock.Second)
					case "restarted":
						n.kill()
						w.run(3 * clock.Second)
						n.start(n.members)
					default:
						n.part = 1
						w.run(3 * clock.Second)
						n.part = 0
					}
				}
				w.run(6 * clock.Second)
			})
		})
	}
}

// In a network that has been divided for long, no part may save up what it has not used.
func TestSurgeInADividedNetworkStaysWithinTheBound(t *testing.T) {
	for _, idle := range []float64{0, 0.1, usualDemand} {
		t.Run(fmt.Sprint("demand", idle), func(t *testing.T) {
			forSeeds(t, func(t *testing.T, w *world) {
				for i, n := range w.nodes {
					if i%3 != 0 {
						n.part = 1
					}
				}
				if idle > 0 {
					w.loadAll(w.nodes, idle, 15*clock.Second)
				}
				w.run(15 * clock.Second)
				w.surge(w.nodes, surgeTime)
				w.run(surgeTime)
			})
		})
	}
}

// A proxy whose configuration is not confirmed grants nothing, and others use reserves.
func TestUnconfirmedAccountantGrantsNothing(t *testing.T) {
	w := settledWorld(1, fleet)
	for _, n := range w.accountants() {
		n.unconfirmed = true
	}
	w.run(clock.Second)
	before := len(w.spaces[nameOf(300)].arrivals)
	w.surge(w.nodes, surgeTime)
	w.run(surgeTime)
	served := len(w.spaces[nameOf(300)].arrivals) - before
	require.LessOrEqual(t, float64(served), 300*usualDemand*reserveShare*seconds(surgeTime)*1.1+fleet)
	w.requireBound(t)
}
