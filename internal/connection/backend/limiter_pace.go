package backend

import (
	"time"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Causes for which a database is probed, as they are logged.
const (
	causeStarted   = "started"
	causeAnswers   = "answers again"
	causePromoted  = "promoted"
	causeDrained   = "returned from a drain"
	causeFailures  = "attempts failed"
	causeResponses = "answers and refusals"
)

// stateChanged is the log line for a change of a pace's state.
const stateChanged = "in-flight limit: state changed"

// LimiterStats describes the limit of a Limiter.
type LimiterStats struct {
	// Limit may be below 1. It is zero before the first request.
	Limit float64
	// Latency and Baseline are in ms, zero before the first answer.
	Latency, Baseline float64
	State             PaceState
}

// Stats returns the current limit and what it follows from.
func (l *Limiter) Stats() LimiterStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LimiterStats{Limit: l.pace.limit, Latency: l.pace.latency, Baseline: l.pace.baseline, State: l.pace.state}
}

// Hint returns what is known for the next return of the database.
func (l *Limiter) Hint(now clock.Time) PaceHint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pace.Hint(now)
}

// Return records that the database has started, been promoted or returned from a
// drain.
func (l *Limiter) Return(now clock.Time, cause string, h PaceHint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.probes {
		return
	}
	l.decideLocked(now, cause, func() clock.Duration { return l.pace.Return(now, h) })
	l.awaitBacklogLocked(now)
	l.wakeLocked(now)
}

// Fail records a failed attempt to reach the database.
func (l *Limiter) Fail(now clock.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.probes {
		return
	}
	l.decideLocked(now, causeFailures, func() clock.Duration {
		l.pace.Fail()
		return 0
	})
	l.wakeLocked(now)
}

// Answer records any answer of the database.
func (l *Limiter) Answer(now clock.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pace.failures > 0 {
		l.decideLocked(now, causeAnswers, func() clock.Duration { return l.pace.Answer(now) })
		l.awaitBacklogLocked(now)
		l.wakeLocked(now)
	}
}

// decideLocked lets the pace decide, begins the pause that it asks for and logs a
// change of its state.
func (l *Limiter) decideLocked(now clock.Time, cause string, decide func() clock.Duration) {
	before := l.pace.state
	pause := decide()
	if pause > 0 || l.pause != nil {
		l.pauseLocked(now, pause)
	}
	if l.pace.state != before && l.log != nil {
		l.log.Info(stateChanged, zap.Stringer("state", l.pace.state), zap.Stringer("before", before),
			zap.String("cause", cause), zap.Float64("limit", l.pace.limit), zap.Float64("latencyMilliseconds", l.pace.latency),
			zap.Float64("baselineMilliseconds", l.pace.baseline))
	}
}

// pauseLocked keeps new work from getting a slot for d, or ends a pause if d is
// zero.
func (l *Limiter) pauseLocked(now clock.Time, d clock.Duration) {
	if l.pause != nil {
		l.pause.Stop()
		l.pause = nil
	}
	if d <= 0 {
		return
	}
	l.pauseWanted = l.scheduler.Len() > 0
	var timer *time.Timer
	timer = l.after(d, func() {
		if l.pause == timer {
			l.pause = nil
			l.wakeLocked(now.Add(d))
		}
	})
	l.pause = timer
}

// awaitBacklogLocked ends the pause after backlogPeriod if it has kept no new
// work waiting by then.
func (l *Limiter) awaitBacklogLocked(now clock.Time) {
	timer := l.pause
	if timer == nil {
		return
	}
	l.after(backlogPeriod, func() {
		if l.pause == timer && !l.pauseWanted {
			l.pauseLocked(now.Add(backlogPeriod), 0)
		}
	})
}

// after calls f with the lock held once d has passed.
func (l *Limiter) after(d clock.Duration, f func()) *time.Timer {
	return time.AfterFunc(d.Std(), func() {
		contain.Run(l.log, "pause of a limiter", func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			f()
		})
	})
}
