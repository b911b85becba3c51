package backend

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

var eightWorkspaces = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

const (
	warmUp   = 3 * clock.Second
	measured = 30 * clock.Second
)

// simulateLoad returns the simulation of a load, counted after the warm-up.
func simulateLoad(seed uint64, homes int, load float64) *schedulerSimulation {
	s := newSchedulerSimulation(seed, homes, ByShare{})
	demands := evenly(load, eightWorkspaces...)
	s.run(warmUp, demands)
	s.since = s.now
	s.run(measured, demands)
	return s
}

// Goodput must not fall when more is sent than the database can answer: requests
// that are answered late, or wait and are refused, take what others need.
func TestGoodputAtOverload(t *testing.T) {
	for _, homes := range []int{1, 2} {
		peak, goodput, credit := 0.0, map[float64]float64{}, map[float64]float64{}
		for _, load := range []float64{0.7, 0.9, 1, 2, 4} {
			s := simulateLoad(1, homes, load)
			sum := s.total(everything)
			goodput[load], credit[load] = float64(sum.inTime), sum.credit
			require.Zero(t, s.idleRefusals)
			peak = max(peak, goodput[load])
			if load <= 1 {
				// On a calm day, 7% of class 1 of site A may be late.
				for _, name := range eightWorkspaces {
					require.GreaterOrEqual(t, share(s, func(w who) bool { return w.class == 0 && w.workspace == name }), 0.93, "workspace %s", name)
				}
			}
			t.Logf("%d homes, load %.1f: within target %d of %d (class 0 %.3f, 1 %.3f, 2 %.3f), late %d, refused %d, credit %.0f, %v", homes, load,
				sum.inTime, sum.sent, share(s, ofClass(0)), share(s, ofClass(1)), share(s, ofClass(2)), sum.late, sum.refused, sum.credit, s.reasons)
		}
		for _, load := range []float64{2, 4} {
			require.GreaterOrEqual(t, goodput[load], 0.95*peak, "%d homes, load %g", homes, load)
			require.GreaterOrEqual(t, credit[load], 0.95*credit[1], "%d homes, load %g", homes, load)
		}
	}
}

func share(s *schedulerSimulation, accept func(who) bool) float64 {
	t := s.total(accept)
	return t.share()
}

// sizes are the parts of the usual demand that workspaces have.
type sizes map[string]float64

// usualLimit is the declared rate of a workspace divided by its usual demand.
const usualLimit = 1 / 0.6

// simulateBurst returns the credit of each workspace for what it sends while the
// workspace "a" sends factor times its usual demand for 6 s. Together, all usually
// send load times what the database can answer.
func simulateBurst(homes int, load, factor float64, limited bool, parts sizes) map[string]float64 {
	const burst = 6 * clock.Second
	credit := make(map[string]float64)
	for seed := range uint64(4) {
		s := newSchedulerSimulation(seed, homes, ByShare{})
		s.weights = make(map[string]float64)
		var demands []demand
		for _, name := range slices.Sorted(maps.Keys(parts)) {
			s.weights[name] = parts[name] * load * siteCapacity * usualLimit
			var limit *bucket
			if limited {
				limit = &bucket{rate: s.weights[name]}
			}
			for _, d := range evenly(load*parts[name], name) {
				d.limit = limit
				demands = append(demands, d)
			}
		}
		s.run(warmUp, demands)
		s.since, s.until = s.now, s.now.Add(burst)
		for i := range demands {
			if demands[i].workspace == "a" {
				demands[i].factor, demands[i].from, demands[i].to = factor, s.since, s.until
			}
		}
		s.run(burst+3*clock.Second, demands)
		for name := range parts {
			sum := s.total(ofWorkspace(name))
			credit[name] += sum.credit
		}
	}
	return credit
}

var burstCases = func() []burstCase {
	equal := make(sizes)
	for _, name := range eightWorkspaces {
		equal[name] = 1.0 / 8
	}
	large := sizes{"a": 0.1, "large": 0.6, "b": 0.1, "c": 0.1, "d": 0.1}
	byLarge := sizes{"a": 0.4, "b": 0.2, "c": 0.2, "d": 0.1, "e": 0.1}
	var list []burstCase
	for _, homes := range []int{1, 2} {
		list = append(list, burstCase{"equal", homes, 0.7, equal}, burstCase{"equal", homes, 0.8, equal},
			burstCase{"small beside large", homes, 0.8, large}, burstCase{"large beside small", homes, 0.8, byLarge})
	}
	return list
}()

type burstCase struct {
	name  string
	homes int
	load  float64
	parts sizes
}

func requireCreditKept(t *testing.T, limited bool) {
	for _, c := range burstCases {
		usual, beside := simulateBurst(c.homes, c.load, 1, limited, c.parts), simulateBurst(c.homes, c.load, 7, limited, c.parts)
		for _, name := range slices.Sorted(maps.Keys(c.parts)) {
			kept := beside[name] / usual[name]
			t.Logf("%s, %d homes, usual load %.1f: workspace %s gets %.3f of its usual credit of %.0f", c.name, c.homes, c.load, name, kept, usual[name])
			if name != "a" {
				require.GreaterOrEqual(t, kept, 0.95, "%s, %d homes, usual load %g, workspace %s", c.name, c.homes, c.load, name)
			}
		}
	}
}

// A workspace within its limit must not pay for another that sends seven times its
// usual demand, whatever the size of either.
func TestOthersKeepTheirCreditBesideABurst(t *testing.T) { requireCreditKept(t, true) }

// The same must hold where the other workspace has no limit, so that the order of
// service alone protects the others.
func TestOthersKeepTheirCreditBesideABurstWithoutLimit(t *testing.T) { requireCreditKept(t, false) }

// The least urgent request must not wait for as long as more urgent ones arrive: it
// is answered or refused by its deadline.
func TestLeastUrgentWaitsForABoundedTime(t *testing.T) {
	for _, homes := range []int{1, 2} {
		for _, load := range []float64{1.2, 2} {
			s := newSchedulerSimulation(1, homes, ByShare{})
			demands := []demand{
				{workspace: "a", class: 1, rate: load * siteCapacity},
				{workspace: "b", class: 2, rate: 0.02 * siteCapacity},
			}
			s.run(warmUp, demands)
			s.since, s.until = s.now, s.now.Add(measured)
			s.run(measured+5*clock.Second, demands)
			sum := s.total(ofClass(2))
			t.Logf("%d homes, load %.1f: %d sent, %d within target, %d late, %d refused, longest wait %s",
				homes, load, sum.sent, sum.inTime, sum.late, sum.refused, sum.longest)
			require.Less(t, sum.longest, siteA[2].deadline)
			require.Equal(t, sum.sent, sum.inTime+sum.late+sum.refused)
		}
	}
}

// Whatever the load, no request is refused while its home could send it, and none
// waits beyond its deadline. All get a result.
func TestNothingIsRefusedWhileASlotIsIdle(t *testing.T) {
	for _, policy := range []Policy{ByArrival{}, ByShare{}} {
		for _, homes := range []int{1, 2} {
			s := newSchedulerSimulation(3, homes, policy)
			for _, load := range []float64{0.5, 4, 1, 2} {
				s.run(4*clock.Second, evenly(load, eightWorkspaces...))
			}
			s.run(5*clock.Second, nil)
			require.NotEmpty(t, s.reasons)
			require.Zero(t, s.idleRefusals, "%T, %d homes", policy, homes)
			for _, h := range s.homes {
				require.Empty(t, h.waiting)
				require.Zero(t, h.inFlight)
			}
			for class, k := range siteA {
				sum := s.total(ofClass(class))
				require.LessOrEqual(t, sum.longest, k.deadline)
			}
		}
	}
}
