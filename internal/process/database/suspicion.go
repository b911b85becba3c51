package database

import (
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// findPrimary returns the primary with the highest term reported, or -1.
func (f *Failover) findPrimary() int {
	best := -1
	for i, v := range f.views {
		if v.reported && v.status.Role == RolePrimary && (best < 0 || v.status.Term > f.views[best].status.Term) {
			best = i
		}
	}
	return best
}

func (f *Failover) highestTerm() uint64 {
	var term uint64
	for _, v := range f.views {
		term = max(term, v.status.Term, v.status.Fenced)
	}
	return term
}

func (f *Failover) majority() int { return len(f.views)/2 + 1 }

// hasWritablePrimary reports whether the primary accepts writes and fewer than
// a majority of the databases are fenced for a later term. Fenced databases
// receive no log, so the writes of such a primary can still reach a majority.
func (f *Failover) hasWritablePrimary() bool {
	primary := f.findPrimary()
	if primary < 0 || !f.views[primary].status.AcceptsWrites() {
		return false
	}
	fenced := 0
	for _, v := range f.views {
		if v.reported && v.status.Fenced > f.views[primary].status.Term {
			fenced++
		}
	}
	return fenced < f.majority()
}

// updateSuspicion updates this watcher's own suspicion. It sends the opinion to
// the other watchers when the suspicion changes, and again every ProbeInterval
// while the suspicion lasts.
func (f *Failover) updateSuspicion(now clock.Time, dst []Action) []Action {
	suspect := f.suspectsPrimary(now)
	changed := suspect != f.suspect
	f.suspect = suspect
	if changed || (suspect && now.Sub(f.sharedAt) >= f.settings.ProbeInterval) {
		f.sharedAt = now
		dst = append(dst, SendOpinion{Opinion: Opinion{Watcher: f.self, Term: f.highestTerm(), Suspect: suspect}})
	}
	return dst
}

// suspectsPrimary reports whether this watcher itself suspects the primary: it
// has been silent for SuspectAfter or has refused connections for RefusedAfter.
func (f *Failover) suspectsPrimary(now clock.Time) bool {
	primary := f.findPrimary()
	if primary < 0 || !f.hasWritablePrimary() {
		// Without a writable primary, a suspicion stays, and a new one begins
		// SuspectAfter after the primary was last healthy. A group that another
		// watcher has only fenced does not count as healthy.
		return f.suspect || now.Sub(f.lastHealthyAt) >= f.settings.SuspectAfter
	}
	v := f.views[primary]
	silent := now.Sub(v.lastAliveAt) >= f.settings.SuspectAfter
	refused := v.refusing && now.Sub(v.refusingSince) >= f.settings.RefusedAfter
	if !silent && !refused {
		f.lastHealthyAt = v.lastAliveAt
	}
	return silent || refused
}

// majoritySuspects reports whether a majority of the watchers suspects the
// primary. If the watchers are in several zones, the suspecting ones must be in
// more than one.
func (f *Failover) majoritySuspects(now clock.Time) bool {
	suspects := 0
	suspectZones, allZones := make(map[string]bool), make(map[string]bool)
	for _, w := range f.watchers {
		allZones[w.Zone] = true
		if f.watcherSuspects(w, now) {
			suspects++
			suspectZones[w.Zone] = true
		}
	}
	return suspects >= len(f.watchers)/2+1 && (len(suspectZones) > 1 || len(allZones) == 1)
}

// watcherSuspects reports whether watcher w suspects the primary. The opinion of
// another watcher counts for 5 probe intervals, and only if its term is not
// lower than the primary's.
func (f *Failover) watcherSuspects(w Watcher, now clock.Time) bool {
	if w == f.self {
		return f.suspect
	}
	o, ok := f.opinions[w.Name]
	return ok && o.opinion.Suspect && now.Sub(o.at) <= 5*f.settings.ProbeInterval && o.opinion.Term >= f.primaryTerm()
}

func (f *Failover) primaryTerm() uint64 {
	if primary := f.findPrimary(); primary >= 0 {
		return f.views[primary].status.Term
	}
	return 0
}

// reachesMajority reports whether this watcher reaches a majority of the
// databases.
func (f *Failover) reachesMajority(now clock.Time) bool {
	reached := 0
	for _, v := range f.views {
		if v.reported && !v.refusing && now.Sub(v.lastAliveAt) < f.settings.SuspectAfter {
			reached++
		}
	}
	return reached >= f.majority()
}
