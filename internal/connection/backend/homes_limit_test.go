package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// forEachSharing runs f for databases with 4 slots that are fast, medium and slow, with
// 1 to 15 homes.
func forEachSharing(t *testing.T, f func(*testing.T, homesModel)) {
	for _, service := range []clock.Duration{3, 9, 18} {
		// A fast database runs enough requests in less time.
		measured := min(service*700, 5000) * clock.Millisecond
		for _, homes := range []int{1, 2, 7, 15} {
			for _, seed := range []uint64{1, 4} {
				t.Run(fmt.Sprintf("%d ms, %d homes, seed %d", service, homes, seed), func(t *testing.T) {
					t.Parallel()
					f(t, homesModel{seed: seed, homes: homes, slots: 4, service: service, warmUp: 2000, measured: measured})
				})
			}
		}
	}
}

// simulateLoad simulates a load, and logs the result.
func (m homesModel) simulateLoad(t *testing.T, load float64) homesResult {
	m.load = load
	r := m.simulate(t)
	t.Logf("load %.1f: within target %.0f (class 0 %.3f, 1 %.3f, 2 %.3f); refused while a slot was idle %d, slots idle while requests waited %.4f; the database refused %d, its queue was %.1f; sum of the limits %.1f",
		load, r.goodput(), r.share(0), r.share(1), r.share(2), r.refusedIdle, r.idle, r.refused, r.queued, r.limit)
	return r
}

// Requests cannot overtake in the database's own queue. If the limits of its homes let
// too many into it, urgent requests are late and goodput falls.
func TestGoodputAtOverloadOfHomes(t *testing.T) {
	forEachSharing(t, func(t *testing.T, m homesModel) {
		peak, results := 0.0, make(map[float64]homesResult)
		for _, load := range []float64{0.7, 0.9, 1, 2, 4} {
			results[load] = m.simulateLoad(t, load)
			peak = max(peak, results[load].goodput())
		}
		for _, load := range []float64{0.7, 0.9} {
			// On a calm day, 7% of class 1 of site A may be late.
			require.GreaterOrEqual(t, results[load].share(0), 0.93, "load %g", load)
		}
		for _, load := range []float64{2, 4} {
			r := results[load]
			require.GreaterOrEqual(t, r.goodput(), 0.95*peak, "load %g", load)
			require.Greater(t, r.share(0), r.share(1), "load %g: class 0 goes first", load)
			require.GreaterOrEqual(t, r.share(1), r.share(2), "load %g: class 1 goes before class 2", load)
		}
	})
}

// A limit that is too low leaves slots of the database idle while requests that could
// use them are refused.
func TestNothingIsRefusedWhileADatabaseSlotIsIdle(t *testing.T) {
	forEachSharing(t, func(t *testing.T, m homesModel) {
		for _, load := range []float64{0.9, 2, 4} {
			require.Zero(t, m.simulateLoad(t, load).refusedIdle, "load %g", load)
		}
	})
}

// A sole home must keep any number of slots busy, also where the service time alone
// exceeds the part of the target latency that requests may spend at the database.
func TestSoleHomeKeepsSlotsBusy(t *testing.T) {
	for _, slots := range []int{1, 2, 8, 16} {
		for _, service := range []clock.Duration{18, 34, 60} {
			t.Run(fmt.Sprintf("%d slots, %d ms", slots, service), func(t *testing.T) {
				t.Parallel()
				m := homesModel{seed: 1, homes: 1, slots: slots, service: service, warmUp: 3000, measured: 10_000}
				for _, load := range []float64{2, 4} {
					require.Zero(t, m.simulateLoad(t, load).refusedIdle, "load %g", load)
				}
			})
		}
	}
}

// A database that becomes three times as slow must not be taken for one with a queue:
// the slots would stay idle.
func TestSoleHomeKeepsSlotsBusyAtASlowerDatabase(t *testing.T) {
	m := homesModel{seed: 1, homes: 1, slots: 4, service: 18, slower: 3, slowFrom: 5000, warmUp: 3000, measured: 10_000}
	for _, load := range []float64{2, 4} {
		require.Zero(t, m.simulateLoad(t, load).refusedIdle, "load %g", load)
	}
}

// Where no workspaces are declared, the limit must be what it always was, and no
// request may wait for a pause.
func TestLimitByArrivalIsUnchanged(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 5))
		l := &Limiter{}
		var before steadyLimit
		now := clock.Time(1000)
		for range 5000 {
			now += clock.Time(random.IntN(30))
			class := random.IntN(3)
			r := ofSite(now, class, "")
			r.Until = now.Add(siteA[class].target / 4)
			if w := l.enqueue(now, ByArrival{}, r); w == nil {
				l.Begin(true)
			}
			if before.limit == 0 {
				before.limit = initialLimit
			}
			require.Nil(t, l.pause)
			if l.scheduler.Len() > 0 {
				require.GreaterOrEqual(t, float64(l.inFlight+l.reserved), l.pace.limit, "seed %d", seed)
			}
			for l.reserved > 0 {
				l.Begin(true)
			}
			if l.inFlight > 0 && random.IntN(3) > 0 {
				took, busy := clock.Duration(1+random.IntN(20+int(now/2000)%80)), random.IntN(40) == 0
				used := l.inFlight
				l.End(now, took, busy)
				before.end(now, float64(took), float64(used), busy)
				for l.reserved > 0 {
					l.Begin(true)
				}
			}
			p := &l.pace
			require.Equal(t, before, steadyLimit{p.limit, p.latency, p.baseline, p.refusalDecreasedAt, p.latencyDecreasedAt})
		}
	}
}

// A configuration that no longer declares workspaces must not leave a limit behind that
// is lower than any without them.
func TestLimitIsRaisedWhenWorkspacesAreRemoved(t *testing.T) {
	p := Pace{limit: 0.4}
	p.Arrive(1000, true, 100)
	require.True(t, p.AllowsUrgent(1))
	p.Arrive(1001, false, 100)
	require.Equal(t, 1.0, p.limit)
	require.False(t, p.AllowsUrgent(1))
	require.Zero(t, p.End(1002, 20, 1, false))
}
