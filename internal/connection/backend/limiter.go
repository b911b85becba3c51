package backend

import (
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// initialLimit is how many requests a process may have in flight at a
	// database that has not answered yet.
	initialLimit = 2.0
	// maxLimit bounds the limit, however fast the database answers.
	maxLimit = 24.0
	// refusalDecrease multiplies the limit, or its used part if that is lower,
	// when the database refuses a request because of load, at most once per
	// decreaseInterval.
	refusalDecrease  = 0.7
	decreaseInterval = 100 * clock.Millisecond
	// limitIncrease divided by the limit is added to the limit for each answer.
	limitIncrease = 0.05
	// stableLimitIncrease replaces limitIncrease once the limit has not been
	// decreased for stableAfter.
	stableLimitIncrease = 0.5
	stableAfter         = clock.Second
	// minUtilization is the part of the limit that must be in use for the limit
	// to grow: a limit that was never reached says nothing about what the
	// database can run.
	minUtilization = 0.6
	// A smoothed latency above maxLatencyRatio times the baseline means that
	// requests queue at the database, where urgent ones cannot overtake. The
	// limit, or its used part, is then multiplied by latencyDecrease, at most
	// once per decreaseInterval.
	maxLatencyRatio = 3.0
	latencyDecrease = 0.9
	// latencyWeight is the weight of a new answer in the smoothed latency.
	// baselineWeight is the weight of the smoothed latency in the baseline
	// while it is higher, so that a database that has become slower is not
	// compared with its latency of minutes ago.
	latencyWeight  = 0.1
	baselineWeight = 0.002
	// maxWaiting bounds the number of waiting requests.
	maxWaiting = 24
	// fifoPeriod is how long a queue is served in the order of arrival. In a
	// queue that persists for longer, the newest requests go first: the oldest
	// are late already, and in the order of arrival all would be late.
	fifoPeriod = 100 * clock.Millisecond
)

// Limiter limits the requests that a process has in flight at one database, for
// databases that get more requests than they can run. New work needs a slot, of
// which there are as many as the limit; it waits for one or is refused.
// Statements of open transactions always pass, since aborting a transaction
// wastes the work it has done. The limit falls when the database refuses
// requests or its latency rises, and grows with answers while it is used.
type Limiter struct {
	mu       sync.Mutex
	pace     Pace
	inFlight int
	// reserved is the number of slots whose request has not begun yet.
	reserved int
	// pause ends the current pause, in which no new work gets a slot. It is nil
	// if there is none.
	pause *time.Timer
	// pauseWanted is set if new work has asked for a slot during the pause.
	pauseWanted bool
	// log is nil if changes of the pace's state are not logged.
	log *zap.Logger
	// waiting is in the order of arrival, and has not been empty since
	// queuedSince.
	waiting     []waiter
	queuedSince clock.Time
}

type waiter struct {
	priority int
	ch       chan struct{}
}

// errTooManyWaiting is returned when too many requests wait for a database, or
// when a request has got no slot before its timeout.
var errTooManyWaiting = errors.New("too many requests wait for the database")

// tryReserveLocked reserves a slot for new work if one is free.
func (l *Limiter) tryReserveLocked() bool {
	l.pace.Begin()
	if l.pause != nil || !l.pace.Allows(l.inFlight+l.reserved) {
		l.pauseWanted = true
		return false
	}
	l.reserved++
	return true
}

// Reserve waits up to timeout for a slot for new work. More urgent requests go
// first; a lower priority number is more urgent. It returns an error if the
// queue is full or no slot becomes free in time.
func (l *Limiter) Reserve(now clock.Time, timeout clock.Duration, priority int) error {
	l.mu.Lock()
	if len(l.waiting) == 0 && l.tryReserveLocked() {
		l.mu.Unlock()
		return nil
	}
	if timeout <= 0 || len(l.waiting) >= maxWaiting {
		l.mu.Unlock()
		return errTooManyWaiting
	}
	if len(l.waiting) == 0 {
		l.queuedSince = now
	}
	w := waiter{priority: priority, ch: make(chan struct{}, 1)}
	l.waiting = append(l.waiting, w)
	l.mu.Unlock()
	if WaitOrTimeout(w.ch, timeout) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.waiting {
		if l.waiting[i].ch == w.ch {
			l.waiting = slices.Delete(l.waiting, i, i+1)
			return errTooManyWaiting
		}
	}
	// The slot was granted just after the timeout.
	return nil
}

// Cancel gives back a reserved slot that was not used.
func (l *Limiter) Cancel(now clock.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved--
	l.wakeLocked(now)
}

// Begin counts a request as in flight. If reserved is false, the request
// bypasses the limit.
func (l *Limiter) Begin(reserved bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reserved {
		l.reserved--
	}
	l.inFlight++
}

// End records the end of a request that took the given time, and whether the
// database refused it because of load.
func (l *Limiter) End(now clock.Time, took clock.Duration, busy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := l.inFlight + l.reserved
	l.inFlight--
	l.decideLocked(now, causeResponses, func() clock.Duration { return l.pace.End(now, took, used, busy) })
	l.wakeLocked(now)
}

func (l *Limiter) wakeLocked(now clock.Time) {
	for len(l.waiting) > 0 && l.tryReserveLocked() {
		i := nextWaiter(l.waiting, now.Sub(l.queuedSince) >= fifoPeriod)
		l.waiting[i].ch <- struct{}{}
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
}

// nextWaiter returns the index of the waiter that goes first: the most urgent
// one, and among these the newest or the oldest.
func nextWaiter(waiting []waiter, newest bool) int {
	next := 0
	for i, w := range waiting {
		p := waiting[next].priority
		if w.priority < p || newest && w.priority == p {
			next = i
		}
	}
	return next
}

// RecentlyRefused reports whether the database has recently refused requests
// because of load. Such a database is alive, but its answers take long.
func (l *Limiter) RecentlyRefused(now clock.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pace.RecentlyRefused(now)
}

// Saturated reports whether new work would have to wait.
func (l *Limiter) Saturated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0 || l.pause != nil || l.pace.Saturated(l.inFlight+l.reserved)
}
