package backend

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// crossZoneCost is added to the expected latency of a database in another
	// availability zone, in ms. It accounts for the network round trip and the
	// price of cross-zone traffic, and is about the time of one statement: a read
	// leaves its zone when the database there has several requests in flight.
	crossZoneCost = 24.0
	// dialCost is added where a connection has to be opened first, in ms.
	dialCost = 15.0
	// saturatedCost is added where a request has to wait for the limiter, in
	// ms.
	saturatedCost = 60.0
	// primaryFactor multiplies the expected latency of the primary, whose
	// capacity is kept for requests that only it can serve.
	primaryFactor = 2.0
	// avoidCost ranks databases that should be avoided behind all others, in
	// ms.
	avoidCost = 10_000.0
	// costJitter is the share by which costs are randomly increased, so that
	// proxies do not all choose the same database.
	costJitter = 0.3
	// usualMembers is for how many databases of a group a choice needs no allocation.
	usualMembers = 5
)

// SelectForRead returns the database with the lowest expected latency for a
// read of a workspace, and its pool, among those that are not excluded. Databases that lag too
// far behind are considered only if exclude is empty and no other database is
// usable. The pool is nil if there is no such database.
func (g *GroupClient) SelectForRead(workspace string, exclude []string) (group.Member, *Pool) {
	m, p := g.selectMember(workspace, exclude, false)
	if p == nil && len(exclude) == 0 {
		m, p = g.selectMember(workspace, nil, true)
	}
	return m, p
}

func (g *GroupClient) selectMember(workspace string, exclude []string, includeLagging bool) (group.Member, *Pool) {
	now := g.clock.Now()
	var best group.Member
	var bestPool *Pool
	lowest := 0.0
	var room [usualMembers]group.Member
	for _, m := range g.AppendMembers(room[:0]) {
		p := g.Pool(m.ID)
		if p == nil || !m.Usable() || slices.Contains(exclude, m.ID) || !includeLagging && p.Latency.IsLagging(now) {
			continue
		}
		cost := readCost(now, &m, p, g.Zone, p.OpenFor(workspace))
		cost *= 1 + costJitter*rand.Float64()
		if bestPool == nil || cost < lowest {
			best, bestPool, lowest = m, p, cost
		}
	}
	return best, bestPool
}

// readCost returns the expected latency of a read, in ms, plus penalties for
// properties that make the database a worse choice. open is the number of
// connections that may serve the read.
func readCost(now clock.Time, m *group.Member, p *Pool, zone string, open int) float64 {
	cost, avoid := p.Latency.ExpectedLatency(now, m.Slots)
	if m.Zone != zone {
		cost += crossZoneCost
	}
	if open == 0 {
		cost += dialCost
	}
	if m.Role == database.RolePrimary {
		cost *= primaryFactor
	}
	if p.Limiter.Saturated() {
		cost += saturatedCost
		if m.Role == database.RolePrimary {
			// The other databases cannot take over the requests that only the
			// primary can serve.
			cost += avoidCost
		}
	}
	if avoid || m.FailingSince != 0 {
		cost += avoidCost
	}
	return cost
}

// WaitOrTimeout waits until ch is closed or receives a value, or d has passed.
// It reports whether ch was first.
func WaitOrTimeout(ch <-chan struct{}, d clock.Duration) bool {
	timer := idleTimers.Get().(*time.Timer)
	timer.Reset(max(d, 0).Std())
	// A stopped timer sends no value that it has not sent yet.
	defer func() {
		timer.Stop()
		idleTimers.Put(timer)
	}()
	select {
	case <-ch:
		return true
	case <-timer.C:
		return false
	}
}

// idleTimers has stopped timers of WaitOrTimeout, which each write calls.
var idleTimers = sync.Pool{New: func() any { return time.NewTimer(time.Hour) }}

// Sleep pauses the calling goroutine for d.
func Sleep(d clock.Duration) { time.Sleep(d.Std()) }
