package workspace

import (
	"math"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// reserveShare is the share of its usual demand that a proxy serves while no
	// accountant answers.
	reserveShare = 0.75
	// reserveTime is how long an operation may be run after it has come into the reserve.
	// Proxies that had nothing to run for a while must not have one each then.
	reserveTime = clock.Second
	// reportedSilence is how long an accountant counts as silent after a home has
	// reported it.
	reportedSilence = clock.Second
)

// reserve is what a proxy may run for a workspace while no accountant answers. It belongs
// to the proxy that callers are connected to: if homes had reserves too, the same demand
// would count twice, and a home that takes over for another would have none.
type reserve struct {
	// usual is the usual demand of the callers that are connected to this proxy.
	usual average
	level float64
	// rate is the number of operations a second. It fills the reserve while on is set,
	// since at and, unless until is zero, up to until.
	rate      float64
	on        bool
	at, until clock.Time
}

// start begins to fill the reserve, or extends how long it fills. It does not fill while
// an accountant answers, and keeps its rate until one does: what is served until then is
// not what is usual.
func (r *reserve) start(now clock.Time, rate float64, until clock.Time) {
	r.fill(now)
	switch {
	case !r.on:
		r.on, r.at, r.rate, r.until = true, now, rate, until
	case until == 0 || r.until != 0:
		r.until = until
	}
}

func (r *reserve) stop(now clock.Time) {
	r.fill(now)
	r.on = false
}

func (r *reserve) fill(now clock.Time) {
	if !r.on {
		return
	}
	to := now
	if r.until != 0 {
		to = min(to, r.until)
	}
	if elapsed := to.Sub(r.at); elapsed > 0 {
		r.level += r.rate * seconds(elapsed)
		kept := r.rate * seconds(reserveTime)
		if part := r.level - math.Floor(r.level); r.level >= 1 && kept < 1 {
			// The last operation has come in when the level was whole.
			r.level = part
			if part < kept {
				r.level++
			}
		} else if r.level >= 1 {
			r.level = min(r.level, kept+part)
		}
	}
	r.at = now
	r.on = to == now
}

func (r *reserve) take(now clock.Time) bool {
	r.fill(now)
	if !r.on || r.level < 1 {
		return false
	}
	r.level--
	return true
}

// wait returns the time until the next operation may run.
func (r *reserve) wait() clock.Duration {
	if r.rate <= 0 {
		return clock.Second
	}
	return min(millis(max(1-r.level, 0)/r.rate), clock.Second)
}

// Entered records an operation of a caller that is connected to this proxy, which was
// admitted here or at a home.
func (a *Allowance) Entered(now clock.Time, w string, l Limit) {
	a.share(now, w, l).reserve.usual.add(now)
}

func (s *share) reserveRate(now clock.Time) float64 {
	return s.reserve.usual.perSecond(now) * reserveShare
}

// Reserved records that an operation was run here from the reserve of another proxy.
func (a *Allowance) Reserved(now clock.Time, w string, l Limit) {
	a.share(now, w, l).debt++
}

// Reserve takes an operation from the reserve, if no accountant answers this proxy or,
// as they have reported, its homes.
func (a *Allowance) Reserve(now clock.Time, w string, l Limit) bool {
	return a.share(now, w, l).reserve.take(now)
}

// ReportSilence records that a home has found the accountant silent.
func (a *Allowance) ReportSilence(now clock.Time, w string, l Limit) {
	s := a.share(now, w, l)
	s.reserve.start(now, s.reserveRate(now), now.Add(reportedSilence))
}
