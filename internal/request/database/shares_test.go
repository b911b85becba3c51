package database_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/standin/virtual"
)

const (
	shareInstances   = 16
	shareBudget      = 50
	shareHomes       = 4
	serviceTime      = 2 * time.Millisecond
	shareRun         = 20 * time.Second
	zoneHop          = 500 * time.Microsecond
	newConnection    = 10 * time.Millisecond
	rebalanceEvery   = time.Second
	maxQueued        = 64
	demandLeastShare = 1
)

// station is a proxy with its connections to one database.
type station struct {
	limit   int
	open    int
	idle    int
	queue   []*asked
	arrived int
}

type asked struct {
	began time.Duration
	hop   time.Duration
}

// shareWorld is one database's connections divided in one way.
type shareWorld struct {
	world    *virtual.World
	stations []*station
	times    []time.Duration
	refused  int
	highest  int
}

func (w *shareWorld) open() int {
	total := 0
	for _, s := range w.stations {
		total += s.open
	}
	return total
}

// arrive asks a station for a connection.
func (w *shareWorld) arrive(s *station, a *asked) {
	s.arrived++
	if len(s.queue) >= maxQueued {
		w.refused++
		return
	}
	s.queue = append(s.queue, a)
	w.serve(s)
}

func (w *shareWorld) serve(s *station) {
	for len(s.queue) > 0 && s.idle > 0 {
		s.idle--
		a := s.queue[0]
		s.queue = s.queue[1:]
		service := time.Duration(w.world.Rand.ExpFloat64() * float64(serviceTime))
		w.world.After(service, func() {
			w.times = append(w.times, w.world.Elapsed()+a.hop-a.began)
			w.release(s)
		})
	}
	if len(s.queue) > 0 && s.open < s.limit && w.open() < shareBudget {
		s.open++
		w.highest = max(w.highest, w.open())
		w.world.After(newConnection, func() {
			s.idle++
			w.serve(s)
		})
	}
}

func (w *shareWorld) release(s *station) {
	if s.open > s.limit {
		s.open--
	} else {
		s.idle++
	}
	w.serve(s)
}

// rebalance moves the limits to where the requests arrive.
func (w *shareWorld) rebalance() {
	w.world.After(rebalanceEvery, func() {
		total := 0
		for _, s := range w.stations {
			total += s.arrived
		}
		for _, s := range w.stations {
			s.limit = demandLeastShare
			if total > 0 {
				s.limit += (shareBudget - len(w.stations)*demandLeastShare) * s.arrived / total
			}
			s.arrived = 0
			for s.open > s.limit && s.idle > 0 {
				s.open--
				s.idle--
			}
			w.serve(s)
		}
		w.rebalance()
	})
}

type shareResult struct {
	p50, p99 time.Duration
	refused  float64
}

// runShares gives the time of requests at a load, given as the part of the
// database's connections that would be busy. With skew, three proxies get
// seven tenths of the requests.
func runShares(way string, load float64, skew bool) shareResult {
	w := &shareWorld{world: virtual.NewWorld(1, virtual.Network{})}
	count, limit := shareInstances, shareBudget/shareInstances
	if way == "homes" {
		count, limit = shareHomes, shareBudget/shareHomes
	}
	for range count {
		w.stations = append(w.stations, &station{limit: limit})
	}
	if way == "demand" {
		w.rebalance()
	}
	interval := float64(serviceTime) / (load * shareBudget)
	var next func()
	arrivals := 0
	next = func() {
		w.world.After(time.Duration(w.world.Rand.ExpFloat64()*interval), func() {
			arrivals++
			i := w.world.Rand.IntN(shareInstances)
			if skew && w.world.Rand.Float64() < 0.7 {
				i = w.world.Rand.IntN(3)
			}
			a := &asked{began: w.world.Elapsed()}
			if way == "homes" {
				a.hop = zoneHop
				home := w.stations[w.world.Rand.IntN(shareHomes)]
				w.world.After(zoneHop, func() { w.arrive(home, a) })
			} else {
				w.arrive(w.stations[i], a)
			}
			next()
		})
	}
	next()
	w.world.Run(shareRun, nil)
	slices.Sort(w.times)
	return shareResult{
		p50: w.times[len(w.times)/2], p99: w.times[len(w.times)*99/100], refused: float64(w.refused) / float64(arrivals),
	}
}

// TestConnectionShares weighs the ways to divide a database's connections
// among the proxies.
func TestConnectionShares(t *testing.T) {
	for _, skew := range []bool{false, true} {
		for _, load := range []float64{0.3, 0.6, 0.8, 0.9} {
			for _, way := range []string{"equal", "demand", "homes"} {
				r := runShares(way, load, skew)
				t.Logf("skew %-5v load %.1f %-6s p50 %v, p99 %v, refused %.2f%%", skew, load, way,
					r.p50.Round(100*time.Microsecond), r.p99.Round(100*time.Microsecond), 100*r.refused)
				if way == "homes" && load <= 0.8 {
					require.Zero(t, r.refused)
				}
			}
		}
	}
}
