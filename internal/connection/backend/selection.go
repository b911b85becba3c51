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
	// CostJitter is the share by which costs are randomly increased, so that
	// proxies do not all choose the same database.
	CostJitter = 0.3
	// usualMembers is for how many databases of a group a choice needs no allocation.
	usualMembers = 5
)

// Obstacle is why a database gets no reads.
type Obstacle uint8

// Obstacles.
const (
	// NoObstacle means that the database may get reads.
	NoObstacle Obstacle = iota
	// NoPool means that the database has just joined or left the group.
	NoPool
	// Leaving means that the database is leaving its group.
	Leaving
	// Lagging means that the database has recently lagged too far behind. It gets reads
	// if no other database may.
	Lagging
)

// String returns the name of the obstacle as it appears in explanations.
func (o Obstacle) String() string {
	switch o {
	case NoObstacle:
		return "none"
	case NoPool:
		return "noPool"
	case Leaving:
		return "leaving"
	case Lagging:
		return "lagging"
	default:
		return "invalid"
	}
}

// Candidate is a database that a read may be sent to.
type Candidate struct {
	Member *group.Member
	// Pool is nil if the obstacle is NoPool.
	Pool     *Pool
	Obstacle Obstacle
	Cost     Cost
}

// candidate returns a database of the group for the reads of a workspace.
func (g *GroupClient) candidate(now clock.Time, m *group.Member, workspace string) Candidate {
	c := Candidate{Member: m, Pool: g.Pool(m.ID)}
	switch {
	case c.Pool == nil:
		c.Obstacle = NoPool
		return c
	case !m.Usable():
		c.Obstacle = Leaving
	case c.Pool.Latency.IsLagging(now):
		c.Obstacle = Lagging
	}
	c.Cost = readCost(now, m, c.Pool, g.Zone, c.Pool.OpenFor(workspace))
	return c
}

// Candidates returns the databases of the group as they are now for the reads of a
// workspace, ordered by ID.
func (g *GroupClient) Candidates(workspace string) []Candidate {
	now, members := g.clock.Now(), g.Members()
	list := make([]Candidate, len(members))
	for i := range members {
		list[i] = g.candidate(now, &members[i], workspace)
	}
	return list
}

// SelectForRead returns the database with the lowest expected latency for a
// read of a workspace, and its pool, among those that are not excluded. Databases that lag too
// far behind are considered only if exclude is empty and no other database is
// usable. The pool is nil if there is no such database.
func (g *GroupClient) SelectForRead(workspace string, exclude []string) (group.Member, *Pool) {
	s := selection{exclude: exclude}
	now, members := g.clock.Now(), g.Members()
	for i := range members {
		s.add(g.candidate(now, &members[i], workspace), 1+CostJitter*rand.Float64())
	}
	best := s.result()
	if best.Pool == nil {
		return group.Member{}, nil
	}
	return *best.Member, best.Pool
}

// SelectFrom selects among candidates like SelectForRead, but without chance: costs are
// not increased at random. It returns false if there is no such database.
func SelectFrom(candidates []Candidate, exclude []string) (Candidate, bool) {
	s := selection{exclude: exclude}
	for i := range candidates {
		s.add(candidates[i], 1)
	}
	best := s.result()
	return best, best.Pool != nil
}

// selection finds the candidate for a read that has the lowest cost.
type selection struct {
	exclude []string
	// best is the best candidate without an obstacle, and lagging the best one that lags.
	best, lagging         Candidate
	lowest, lowestLagging float64
}

// add adds a candidate whose cost is multiplied by factor.
func (s *selection) add(c Candidate, factor float64) {
	if slices.Contains(s.exclude, c.Member.ID) {
		return
	}
	cost := c.Cost.Total * factor
	switch {
	case c.Obstacle == NoObstacle && (s.best.Pool == nil || cost < s.lowest):
		s.best, s.lowest = c, cost
	case c.Obstacle == Lagging && (s.lagging.Pool == nil || cost < s.lowestLagging):
		s.lagging, s.lowestLagging = c, cost
	}
}

// result returns the selected candidate, whose pool is nil if there is none.
func (s *selection) result() Candidate {
	if s.best.Pool == nil && len(s.exclude) == 0 {
		return s.lagging
	}
	return s.best
}

// Cost is the expected latency of a read at a database, and what is added to it for
// properties that make the database a worse choice. All times are in ms.
type Cost struct {
	Expected, Total float64
	// CrossZone is set for a database in another availability zone, Dial if a connection
	// has to be opened first, Saturated if requests wait for the limiter, and Avoided if
	// the database has recently not answered, refused requests or lagged.
	CrossZone, Dial, Saturated, Avoided bool
}

// readCost returns the cost of a read. open is the number of connections that may serve
// the read.
func readCost(now clock.Time, m *group.Member, p *Pool, zone string, open int) Cost {
	var c Cost
	c.Expected, c.Avoided = p.Latency.ExpectedLatency(now, m.Slots)
	c.Avoided = c.Avoided || m.FailingSince != 0
	c.CrossZone, c.Dial, c.Saturated = m.Zone != zone, open == 0, p.Limiter.Saturated()
	c.Total = c.Expected
	if c.CrossZone {
		c.Total += crossZoneCost
	}
	if c.Dial {
		c.Total += dialCost
	}
	if m.Role == database.RolePrimary {
		c.Total *= primaryFactor
	}
	if c.Saturated {
		c.Total += saturatedCost
		if m.Role == database.RolePrimary {
			// The other databases cannot take over the requests that only the
			// primary can serve.
			c.Total += avoidCost
		}
	}
	if c.Avoided {
		c.Total += avoidCost
	}
	return c
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
