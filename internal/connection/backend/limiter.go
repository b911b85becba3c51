package backend

import (
	"sync"
	"time"

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
	// probes is set if a database that returns is probed.
	probes bool
	// log is nil if changes of the pace's state are not logged.
	log *zap.Logger
	// scheduler holds the waiting requests, and results the channel of each.
	scheduler Scheduler
	results   map[uint64]chan error
}

// SetSlots sets the number of the database's slots, zero if unknown, and the number of
// processes that share them.
func (l *Limiter) SetSlots(slots, processes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pace.setSlots(slots, processes)
}

// tryReserveLocked reserves a slot for new work if one is free.
func (l *Limiter) tryReserveLocked() bool {
	l.pace.Begin()
	if !l.allowsLocked(&l.pace, l.inFlight+l.reserved) {
		l.pauseWanted = true
		return false
	}
	l.reserved++
	return true
}

// allowsLocked reports whether new work may be sent while used slots are taken.
func (l *Limiter) allowsLocked(p *Pace, used int) bool { return l.pause == nil && p.Allows(used) }

// Reserve waits for a slot for new work, until r.Until at the latest. The policy
// decides which of the waiting requests goes first, and which are refused. It
// returns a *TooManyWaitingError if the request is refused; nothing was sent then.
func (l *Limiter) Reserve(now clock.Time, p Policy, r Request) error {
	w := l.enqueue(now, p, r)
	if w == nil {
		return nil
	}
	timer := time.NewTimer(w.limit.Std())
	defer timer.Stop()
	select {
	case err := <-w.result:
		return err
	case <-timer.C:
	}
	l.stopWaiting(now.Add(w.limit), w.id)
	return <-w.result
}

// waiter is a request in the queue, with the channel that receives its result, and
// for how long it may wait.
type waiter struct {
	id     uint64
	result chan error
	limit  clock.Duration
}

// enqueue reserves a slot and returns nil if one is free. Otherwise it adds the
// request to the queue.
func (l *Limiter) enqueue(now clock.Time, p Policy, r Request) *waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.SetPolicy(p)
	_, shared := p.(ByShare)
	l.pace.Arrive(now, shared, r.Target.Sub(r.Arrived))
	l.wakeLocked(now)
	if l.scheduler.Len() == 0 && l.tryReserveLocked() {
		return nil
	}
	if l.results == nil {
		l.results = make(map[uint64]chan error)
	}
	id, refused := l.scheduler.Arrive(now, r)
	w := &waiter{id: id, result: make(chan error, 1), limit: l.scheduler.WaitLimit(now, r)}
	l.results[id] = w.result
	l.refuseLocked(refused)
	l.wakeUrgentLocked(now)
	return w
}

// stopWaiting refuses a request whose wait has ended, unless it has its result.
func (l *Limiter) stopWaiting(now clock.Time, id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.scheduler.End(now, id); r != nil {
		l.resolveLocked(r.ID, r.Err)
	}
}

func (l *Limiter) refuseLocked(refused []Refusal) {
	for _, r := range refused {
		l.resolveLocked(r.ID, r.Err)
	}
}

func (l *Limiter) resolveLocked(id uint64, err error) {
	l.results[id] <- err
	delete(l.results, id)
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
	if !busy {
		l.scheduler.Completed(now, took)
	}
	used := l.inFlight + l.reserved
	l.inFlight--
	l.decideLocked(now, causeResponses, func() clock.Duration { return l.pace.End(now, took, used, busy) })
	l.wakeLocked(now)
}

// wakeLocked gives free slots to waiting requests, and refuses those that can no
// longer meet their deadline.
func (l *Limiter) wakeLocked(now clock.Time) {
	for l.scheduler.Len() > 0 && l.tryReserveLocked() {
		id, _ := l.scheduler.Next(now)
		l.resolveLocked(id, nil)
	}
	l.wakeUrgentLocked(now)
	l.refuseLocked(l.scheduler.Refuse(now))
}

// wakeUrgentLocked gives slots beyond the limit to waiting requests of the most urgent
// class, as far as the pace allows it.
func (l *Limiter) wakeUrgentLocked(now clock.Time) {
	for l.pace.AllowsUrgent(l.inFlight+l.reserved) && l.scheduler.NextIsUrgent(now) {
		l.reserved++
		id, _ := l.scheduler.Next(now)
		l.resolveLocked(id, nil)
	}
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
	return l.scheduler.Len() > 0 || l.pause != nil || l.pace.Saturated(l.inFlight+l.reserved)
}
