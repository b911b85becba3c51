package backend

import (
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// firstLimit is how many requests a process has in flight at one database
	// before it knows better.
	firstLimit = 2.0
	// mostInFlight bounds the limit.
	mostInFlight = 24.0
	// cutFactor multiplies the limit when the database refuses a request
	// because of load, at most once in cutEvery.
	cutFactor = 0.7
	cutEvery  = 100 * clock.Millisecond
	// growth is added to the limit for each answer, over the limit.
	growth = 0.05
	// calmGrowth takes its place once the limit has not fallen for calmAfter.
	calmGrowth = 0.5
	calmAfter  = clock.Second
	// usedShare is the part of the limit that has to be in use for it to grow: a
	// limit that was never reached says nothing of what the database can run.
	usedShare = 0.6
	// A smoothed latency of slowFactor times the least known one tells that
	// requests queue at the database, where the urgent ones cannot overtake:
	// the limit is multiplied by slowCut, at most once in cutEvery.
	slowFactor = 3.0
	slowCut    = 0.9
	// latencyWeight is the share of a new answer in the smoothed latency, and
	// leastWeight that of the smoothed latency in the least known one while it
	// is higher, so that a database that has become slow is not held to what it
	// could do minutes ago.
	latencyWeight = 0.1
	leastWeight   = 0.002
	// mostWaiting bounds the requests that wait.
	mostWaiting = 24
	// orderlyFor is how long requests wait in the order of their arrival once
	// there is a queue. In one that stands for longer, the newest go first: the
	// oldest are late already, and all would be.
	orderlyFor = 100 * clock.Millisecond
)

// Limiter bounds the requests that a process has in flight at one database. It
// answers databases that more is asked of than they can run: statements of
// open transactions always pass, since giving them up wastes what has run, and
// new work waits or is refused. The limit falls when the database refuses
// requests or takes long, and rises with its answers while it is used.
type Limiter struct {
	mu       sync.Mutex
	limit    float64
	inFlight int
	reserved int
	cutAt    clock.Time
	slowedAt clock.Time
	// latency is how long the database has taken of late, and least how long it
	// takes without a queue, in ms.
	latency, least float64
	// waiting is in the order of arrival, and not empty since queuedAt.
	waiting  []entrant
	queuedAt clock.Time
}

type entrant struct {
	priority int
	ch       chan struct{}
}

// errCrowded tells that too many requests wait for a database.
var errCrowded = errors.New("too many requests wait for the database")

// tryEnterLocked reserves a place for new work if one is free.
func (g *Limiter) tryEnterLocked() bool {
	if g.limit == 0 {
		g.limit = firstLimit
	}
	if float64(g.inFlight+g.reserved) >= max(g.limit, 1) {
		return false
	}
	g.reserved++
	return true
}

// Reserve waits for a place for new work. The more urgent go first; a lower
// priority number is more urgent.
func (g *Limiter) Reserve(now clock.Time, limit clock.Duration, priority int) error {
	g.mu.Lock()
	if len(g.waiting) == 0 && g.tryEnterLocked() {
		g.mu.Unlock()
		return nil
	}
	if limit <= 0 || len(g.waiting) >= mostWaiting {
		g.mu.Unlock()
		return errCrowded
	}
	if len(g.waiting) == 0 {
		g.queuedAt = now
	}
	e := entrant{priority: priority, ch: make(chan struct{}, 1)}
	g.waiting = append(g.waiting, e)
	g.mu.Unlock()
	if WaitOrTimeout(e.ch, limit) {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.waiting {
		if g.waiting[i].ch == e.ch {
			g.waiting = slices.Delete(g.waiting, i, i+1)
			return errCrowded
		}
	}
	// The place was granted meanwhile.
	return nil
}

// Cancel returns a reserved place that was not used.
func (g *Limiter) Cancel(now clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reserved--
	g.wakeLocked(now)
}

// Begin counts a request that is sent, on a reserved place or past the limit.
func (g *Limiter) Begin(reserved bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reserved {
		g.reserved--
	}
	g.inFlight++
}

// End counts the end of a request after a time, and whether the database
// refused it because of load.
func (g *Limiter) End(now clock.Time, took clock.Duration, busy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !busy {
		g.observeLocked(float64(took))
	}
	used := float64(g.inFlight + g.reserved)
	g.inFlight--
	switch {
	case g.limit == 0:
		g.limit = firstLimit
	case !busy && g.latency > slowFactor*g.least:
		if now.Sub(g.slowedAt) >= cutEvery {
			g.slowedAt = now
			g.limit = max(min(g.limit, used)*slowCut, 1)
		}
	case !busy && used < g.limit*usedShare:
	case !busy:
		step := growth
		if now.Sub(max(g.cutAt, g.slowedAt)) >= calmAfter {
			step = calmGrowth
		}
		g.limit = min(g.limit+step/max(g.limit, 1), mostInFlight)
	case now.Sub(g.cutAt) >= cutEvery || g.cutAt == 0:
		g.cutAt = now
		g.limit = max(min(g.limit, used)*cutFactor, 1)
	}
	g.wakeLocked(now)
}

func (g *Limiter) observeLocked(took float64) {
	if g.latency == 0 {
		// A first answer may have waited in a queue itself.
		g.latency, g.least = took, min(took, firstPace)
	}
	g.latency += latencyWeight * (took - g.latency)
	g.least = min(g.least, g.latency)
	g.least += leastWeight * (g.latency - g.least)
}

func (g *Limiter) wakeLocked(now clock.Time) {
	for len(g.waiting) > 0 && g.tryEnterLocked() {
		i := nextOf(g.waiting, now.Sub(g.queuedAt) >= orderlyFor)
		g.waiting[i].ch <- struct{}{}
		g.waiting = slices.Delete(g.waiting, i, i+1)
	}
}

// nextOf returns which of the waiting goes first.
func nextOf(waiting []entrant, newest bool) int {
	next := 0
	for i, e := range waiting {
		p := waiting[next].priority
		if e.priority < p || newest && e.priority == p {
			next = i
		}
	}
	return next
}

// RecentlyRefused reports whether the database has refused requests because of load
// of late. It is alive then, and answers take long.
func (g *Limiter) RecentlyRefused(now clock.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cutAt != 0 && now.Sub(g.cutAt) < calmAfter
}

// Saturated reports whether new work would have to wait.
func (g *Limiter) Saturated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting) > 0 || g.limit > 0 && float64(g.inFlight+g.reserved) >= g.limit
}
