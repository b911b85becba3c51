package database

import (
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// leader returns the database that leads the highest term heard of, or -1.
func (f *Failover) leader() int {
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

// led reports whether the leader accepts writes that a majority would
// receive.
func (f *Failover) hasWritableLeader() bool {
	leader := f.leader()
	if leader < 0 || !f.views[leader].status.AcceptsWrites() {
		return false
	}
	fenced := 0
	for _, v := range f.views {
		if v.reported && v.status.Fenced > f.views[leader].status.Term {
			fenced++
		}
	}
	return fenced < f.majority()
}

// judge updates this watcher's own suspicion and shares it when it changes
// or ages.
func (f *Failover) updateSuspicion(now clock.Time, dst []Action) []Action {
	suspect := f.suspectsLeader(now)
	changed := suspect != f.suspect
	f.suspect = suspect
	if changed || (suspect && now.Sub(f.sharedAt) >= f.settings.ProbeInterval) {
		f.sharedAt = now
		dst = append(dst, ShareOpinion{Opinion: Opinion{Watcher: f.self, Term: f.highestTerm(), Suspect: suspect}})
	}
	return dst
}

func (f *Failover) suspectsLeader(now clock.Time) bool {
	leader := f.leader()
	if leader < 0 || !f.hasWritableLeader() {
		// A promoter at work does not heal what it has only fenced.
		return f.suspect || now.Sub(f.lastHealthyAt) >= f.settings.SuspectAfter
	}
	v := f.views[leader]
	silent := now.Sub(v.lastAliveAt) >= f.settings.SuspectAfter
	refused := v.refusing && now.Sub(v.refusingSince) >= f.settings.RefusedAfter
	if !silent && !refused {
		f.lastHealthyAt = v.lastAliveAt
	}
	return silent || refused
}

// agree reports whether a majority of the watchers, of more than one zone
// where they stand in several, suspect the primary.
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

func (f *Failover) watcherSuspects(w Watcher, now clock.Time) bool {
	if w == f.self {
		return f.suspect
	}
	o, ok := f.opinions[w.Name]
	return ok && o.opinion.Suspect && now.Sub(o.at) <= 5*f.settings.ProbeInterval && o.opinion.Term >= f.leaderTerm()
}

func (f *Failover) leaderTerm() uint64 {
	if leader := f.leader(); leader >= 0 {
		return f.views[leader].status.Term
	}
	return 0
}

func (f *Failover) reachesMajority(now clock.Time) bool {
	reached := 0
	for _, v := range f.views {
		if v.reported && !v.refusing && now.Sub(v.lastAliveAt) < f.settings.SuspectAfter {
			reached++
		}
	}
	return reached >= f.majority()
}
