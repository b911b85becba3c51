package backend

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// otherZoneCost is added to the expected latency of a database in another
	// availability zone, in ms: the way there and back, and the price of its
	// bytes.
	otherZoneCost = 8.0
	// openCost is added where a connection has to be opened first, in ms.
	openCost = 15.0
	// crowdedCost is added where a request has to wait for its turn, in ms.
	crowdedCost = 60.0
	// primaryFactor multiplies the expected latency of the primary, which is
	// kept for what only it can do.
	primaryFactor = 2.0
	// avoidCost puts databases that answer badly behind all others, in ms.
	avoidCost = 10_000.0
	// spread is the share by which expected latencies are varied, so that
	// proxies do not all choose the same database.
	spread = 0.3
)

// SelectForRead returns the database expected to answer a read first, among those
// that are not excluded. Databases that are too far behind are left out if
// there are others.
func (s *GroupClient) SelectForRead(exclude []string) (group.Member, *Pool) {
	m, p := s.place(exclude, false)
	if p == nil && len(exclude) == 0 {
		m, p = s.place(nil, true)
	}
	return m, p
}

func (s *GroupClient) place(exclude []string, behind bool) (group.Member, *Pool) {
	now := s.clock.Now()
	var best group.Member
	var bestPool *Pool
	lowest := 0.0
	for _, m := range s.Members() {
		p := s.Pool(m.ID)
		if p == nil || !m.Usable() || slices.Contains(exclude, m.ID) || !behind && p.Latency.IsLagging(now) {
			continue
		}
		cost := placeCost(now, &m, p, s.Zone)
		cost *= 1 + spread*rand.Float64()
		if bestPool == nil || cost < lowest {
			best, bestPool, lowest = m, p, cost
		}
	}
	return best, bestPool
}

// placeCost is the expected latency of a read, in ms, raised by what speaks
// against the database.
func placeCost(now clock.Time, m *group.Member, p *Pool, zone string) float64 {
	cost, avoid := p.Latency.ExpectedLatency(now, m.Slots)
	if m.Zone != zone {
		cost += otherZoneCost
	}
	if p.Stats().Open == 0 {
		cost += openCost
	}
	if m.Role == database.RolePrimary {
		cost *= primaryFactor
	}
	if p.Limiter.Saturated() {
		cost += crowdedCost
		if m.Role == database.RolePrimary {
			// What only the primary can do has none of the other databases.
			cost += avoidCost
		}
	}
	if avoid || m.FailingSince != 0 {
		cost += avoidCost
	}
	return cost
}

// WaitOrTimeout waits until ch is closed or sent to, or a time has passed, and reports
// whether it was the former.
func WaitOrTimeout(ch <-chan struct{}, d clock.Duration) bool {
	timer := time.NewTimer(max(d, 0).Std())
	defer timer.Stop()
	select {
	case <-ch:
		return true
	case <-timer.C:
		return false
	}
}

// Sleep waits for a time.
func Sleep(d clock.Duration) { time.Sleep(d.Std()) }
