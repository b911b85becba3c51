package database_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/standin/virtual"
)

const (
	// shareInstances is the number of proxies if each has its own connections.
	shareInstances = 16
	// shareBudget is the number of connections that the database accepts.
	shareBudget = 50
	// shareHomes is the number of home proxies if only they have connections.
	shareHomes = 4
	// serviceTime is the mean service time of a request.
	serviceTime   = 2 * time.Millisecond
	shareDuration = 20 * time.Second
	// zoneLatency is the one-way latency from a proxy to a home proxy.
	zoneLatency       = 500 * time.Microsecond
	connectTime       = 10 * time.Millisecond
	rebalanceInterval = time.Second
	maxShareQueue     = 64
	// minDemandShare is the number of connections that each proxy keeps when
	// shares follow the demand.
	minDemandShare = 1
)

// simProxy is a simulated proxy and its connections to one database.
type simProxy struct {
	limit   int
	open    int
	idle    int
	queue   []*shareRequest
	arrived int
}

// shareRequest is a request of the simulation.
type shareRequest struct {
	arrivedAt time.Duration
	// extraLatency is the latency of the answer's way back from a home proxy.
	extraLatency time.Duration
}

// connShareSim simulates proxies that share the connections of one database
// according to one strategy.
type connShareSim struct {
	world     *virtual.World
	proxies   []*simProxy
	latencies []time.Duration
	refused   int
	maxOpen   int
}

// open returns the number of open connections of all proxies.
func (sim *connShareSim) open() int {
	total := 0
	for _, p := range sim.proxies {
		total += p.open
	}
	return total
}

// arrive queues a request at a proxy, or refuses it if the queue is full.
func (sim *connShareSim) arrive(p *simProxy, r *shareRequest) {
	p.arrived++
	if len(p.queue) >= maxShareQueue {
		sim.refused++
		return
	}
	p.queue = append(p.queue, r)
	sim.serve(p)
}

func (sim *connShareSim) serve(p *simProxy) {
	for len(p.queue) > 0 && p.idle > 0 {
		p.idle--
		r := p.queue[0]
		p.queue = p.queue[1:]
		service := time.Duration(sim.world.Rand.ExpFloat64() * float64(serviceTime))
		sim.world.After(service, func() {
			sim.latencies = append(sim.latencies, sim.world.Elapsed()+r.extraLatency-r.arrivedAt)
			sim.release(p)
		})
	}
	if len(p.queue) > 0 && p.open < p.limit && sim.open() < shareBudget {
		p.open++
		sim.maxOpen = max(sim.maxOpen, sim.open())
		sim.world.After(connectTime, func() {
			p.idle++
			sim.serve(p)
		})
	}
}

func (sim *connShareSim) release(p *simProxy) {
	if p.open > p.limit {
		p.open--
	} else {
		p.idle++
	}
	sim.serve(p)
}

// rebalance divides the connections among the proxies in proportion to their
// recent requests, at regular intervals.
func (sim *connShareSim) rebalance() {
	sim.world.After(rebalanceInterval, func() {
		total := 0
		for _, p := range sim.proxies {
			total += p.arrived
		}
		for _, p := range sim.proxies {
			p.limit = minDemandShare
			if total > 0 {
				p.limit += (shareBudget - len(sim.proxies)*minDemandShare) * p.arrived / total
			}
			p.arrived = 0
			for p.open > p.limit && p.idle > 0 {
				p.open--
				p.idle--
			}
			sim.serve(p)
		}
		sim.rebalance()
	})
}

// shareResult is the result of one run. The field refused is the fraction of
// refused requests.
type shareResult struct {
	p50, p99 time.Duration
	refused  float64
}

// runShares measures the latency of requests under a strategy: "equal" shares,
// shares by "demand", or all connections at a few "homes". The load is the
// fraction of the database's connections that would be busy. With skew, 70% of
// the requests go to three of the proxies and the others to any proxy.
func runShares(strategy string, load float64, skew bool) shareResult {
	sim := &connShareSim{world: virtual.NewWorld(1, virtual.Network{})}
	count, limit := shareInstances, shareBudget/shareInstances
	if strategy == "homes" {
		count, limit = shareHomes, shareBudget/shareHomes
	}
	for range count {
		sim.proxies = append(sim.proxies, &simProxy{limit: limit})
	}
	if strategy == "demand" {
		sim.rebalance()
	}
	interval := float64(serviceTime) / (load * shareBudget)
	var next func()
	arrivals := 0
	next = func() {
		sim.world.After(time.Duration(sim.world.Rand.ExpFloat64()*interval), func() {
			arrivals++
			i := sim.world.Rand.IntN(shareInstances)
			if skew && sim.world.Rand.Float64() < 0.7 {
				i = sim.world.Rand.IntN(3)
			}
			r := &shareRequest{arrivedAt: sim.world.Elapsed()}
			if strategy == "homes" {
				r.extraLatency = zoneLatency
				home := sim.proxies[sim.world.Rand.IntN(shareHomes)]
				sim.world.After(zoneLatency, func() { sim.arrive(home, r) })
			} else {
				sim.arrive(sim.proxies[i], r)
			}
			next()
		})
	}
	next()
	sim.world.Run(shareDuration, nil)
	slices.Sort(sim.latencies)
	return shareResult{
		p50: sim.latencies[len(sim.latencies)/2], p99: sim.latencies[len(sim.latencies)*99/100], refused: float64(sim.refused) / float64(arrivals),
	}
}

// TestConnectionShares compares strategies for dividing a database's connections
// among proxies. With home proxies, no request may be refused at up to 80% load.
func TestConnectionShares(t *testing.T) {
	for _, skew := range []bool{false, true} {
		for _, load := range []float64{0.3, 0.6, 0.8, 0.9} {
			for _, strategy := range []string{"equal", "demand", "homes"} {
				r := runShares(strategy, load, skew)
				t.Logf("skew %-5v load %.1f %-6s p50 %v, p99 %v, refused %.2f%%", skew, load, strategy,
					r.p50.Round(100*time.Microsecond), r.p99.Round(100*time.Microsecond), 100*r.refused)
				if strategy == "homes" && load <= 0.8 {
					require.Zero(t, r.refused)
				}
			}
		}
	}
}
