package database

import (
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// maybeStartFencing starts a failover once a majority of the watchers, this one
// included, suspects the primary and the delay for this watcher's rank has
// passed. It does nothing while this watcher reaches no majority of the
// databases or must still wait before its next attempt.
func (f *Failover) maybeStartFencing(now clock.Time, dst []Action) []Action {
	if !f.suspect || !f.majoritySuspects(now) {
		f.agreed = false
		return dst
	}
	if !f.agreed {
		f.agreed, f.agreedSince = true, now
	}
	earliest := f.agreedSince.Add(clock.Duration(f.rank) * f.settings.RankDelay)
	if now < earliest || now < f.notBefore || !f.reachesMajority(now) || f.rank >= len(f.watchers) {
		return dst
	}
	return f.startFencing(now, f.highestTerm()+1, dst)
}

func (f *Failover) startFencing(now clock.Time, term uint64, dst []Action) []Action {
	f.phase, f.term, f.phaseSince, f.stepSentAt, f.target = Fencing, term, now, now, -1
	return f.fenceRemaining(dst)
}

// maybePromote promotes the fenced database with the longest log once a
// majority is fenced.
func (f *Failover) maybePromote(now clock.Time, dst []Action) []Action {
	fenced, best := 0, -1
	for i, v := range f.views {
		if v.ownFenceTerm != f.term {
			continue
		}
		fenced++
		if best < 0 || v.status.Received.Compare(f.views[best].status.Received) > 0 {
			best = i
		}
	}
	if fenced < f.majority() {
		return dst
	}
	f.phase, f.phaseSince, f.stepSentAt, f.target = Promoting, now, now, best
	return append(dst, Promote{Database: best, Term: f.term})
}

// maybeAbandon handles the status s of a database that refused the fence. It
// abandons the attempt if s shows a later term or that the attempt's term
// already has a primary, or if too many databases are unreachable or fenced by
// another watcher for the same or a later term.
func (f *Failover) maybeAbandon(now clock.Time, s Status, dst []Action) []Action {
	fencedElsewhere := 0
	for i := range f.views {
		if f.views[i].reported && f.views[i].status.Fenced >= f.term && f.views[i].ownFenceTerm != f.term {
			fencedElsewhere++
		}
	}
	if s.Fenced > f.term || s.Term >= f.term || fencedElsewhere > len(f.views)-f.majority() || f.cannotFenceMajority(now) {
		f.abandon(now)
	}
	return dst
}

// cannotFenceMajority reports whether fewer than a majority of the databases
// are reachable and not fenced by another watcher for the same or a later term.
func (f *Failover) cannotFenceMajority(now clock.Time) bool {
	available := 0
	for _, v := range f.views {
		fencedElsewhere := v.status.Fenced >= f.term && v.ownFenceTerm != f.term
		reachable := v.reported && !v.refusing && now.Sub(v.lastAliveAt) < f.settings.SuspectAfter
		if !fencedElsewhere && reachable {
			available++
		}
	}
	return available < f.majority()
}

// completePromotion ends a successful failover: it makes the other databases
// follow the new primary and announces the new primary.
func (f *Failover) completePromotion(now clock.Time, dst []Action) []Action {
	f.phase, f.agreed, f.suspect = Watching, false, false
	f.lastHealthyAt = now
	f.views[f.target].lastAliveAt = now
	for i := range f.views {
		if i != f.target {
			f.views[i].followedAt = now
			dst = append(dst, Follow{Database: i, Term: f.term, Primary: f.target})
		}
	}
	f.announced = f.term
	return append(dst, Announce{Term: f.term, Primary: f.target},
		SendOpinion{Opinion: Opinion{Watcher: f.self, Term: f.term}})
}

// abandon ends an attempt that another watcher has overtaken or whose answers
// are missing. The next attempt waits for RetryDelay plus a random delay.
func (f *Failover) abandon(now clock.Time) {
	f.phase, f.target = Watching, -1
	jitter := clock.Duration(f.rand.Int64N(int64(f.settings.RetryDelay) + 1))
	f.notBefore = now.Add(f.settings.RetryDelay + jitter)
}

// repeatOrExpireStep sends the requests of the current phase again, every
// quarter of StepTimeout, to the databases whose answer is missing. It abandons
// the attempt once the phase has lasted StepTimeout.
func (f *Failover) repeatOrExpireStep(now clock.Time, dst []Action) []Action {
	if now.Sub(f.phaseSince) >= f.settings.StepTimeout {
		f.abandon(now)
		return dst
	}
	if now.Sub(f.stepSentAt) < f.settings.StepTimeout/4 {
		return dst
	}
	f.stepSentAt = now
	if f.phase == Promoting {
		return append(dst, Promote{Database: f.target, Term: f.term})
	}
	return f.fenceRemaining(dst)
}

// fenceRemaining fences the databases that have not accepted the fence yet.
func (f *Failover) fenceRemaining(dst []Action) []Action {
	for i := range f.views {
		if f.views[i].ownFenceTerm != f.term {
			dst = append(dst, Fence{Database: i, Term: f.term})
		}
	}
	return dst
}

// strandedFactor times SuspectAfter is how long a database may be stranded
// before the first watcher starts a promotion that recovers it. Each further
// watcher waits one SuspectAfter longer. The wait keeps the recovery from
// disturbing a promotion in progress.
const strandedFactor = 3

// recoverStranded starts a new promotion, usually of the current primary, if a
// live database is stranded: it is fenced for a term that has no primary and
// therefore receives no log.
func (f *Failover) recoverStranded(now clock.Time, dst []Action) []Action {
	primary := f.findPrimary()
	if primary < 0 || !f.hasWritablePrimary() {
		return dst
	}
	wait := (strandedFactor + clock.Duration(f.rank)) * f.settings.SuspectAfter
	stranded := false
	for i := range f.views {
		v := &f.views[i]
		alive := v.reported && !v.refusing && now.Sub(v.lastAliveAt) < f.settings.SuspectAfter
		if i == primary || !alive || v.status.Fenced <= f.views[primary].status.Term {
			v.strandedSince = 0
			continue
		}
		if v.strandedSince == 0 {
			v.strandedSince = now
		}
		stranded = stranded || now.Sub(v.strandedSince) >= wait
	}
	if !stranded || now < f.notBefore || f.rank >= len(f.watchers) || !f.reachesMajority(now) {
		return dst
	}
	return f.startFencing(now, f.highestTerm()+1, dst)
}

// repairReplicas makes databases that are still in an earlier term follow the
// current primary. This also fences a primary that was replaced.
func (f *Failover) repairReplicas(now clock.Time, dst []Action) []Action {
	primary := f.findPrimary()
	if primary < 0 || !f.hasWritablePrimary() {
		return dst
	}
	interval := f.settings.SuspectAfter + clock.Duration(f.rank)*f.settings.RankDelay
	term := f.views[primary].status.Term
	for i := range f.views {
		v := &f.views[i]
		behind := v.reported && (v.status.Term < term || v.status.Fenced < term)
		if i == primary || !behind || v.status.Fenced > term || now.Sub(v.lastAliveAt) >= f.settings.SuspectAfter || now.Sub(v.followedAt) < interval {
			continue
		}
		v.followedAt = now
		dst = append(dst, Follow{Database: i, Term: term, Primary: primary})
	}
	return dst
}
