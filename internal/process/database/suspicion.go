package database

import (
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// leader returns the database that leads the highest term heard of, or -1.
func (f *Failover) leader() int {
	best := -1
	for i, v := range f.views {
		if v.heard && v.status.Role == RolePrimary && (best < 0 || v.status.Term > f.views[best].status.Term) {
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
func (f *Failover) led() bool {
	lead := f.leader()
	if lead < 0 || !f.views[lead].status.AcceptsWrites() {
		return false
	}
	fenced := 0
	for _, v := range f.views {
		if v.heard && v.status.Fenced > f.views[lead].status.Term {
			fenced++
		}
	}
	return fenced < f.majority()
}

// judge updates this watcher's own suspicion and shares it when it changes
// or ages.
func (f *Failover) judge(now clock.Time, dst []Action) []Action {
	suspect := f.ownSuspicion(now)
	changed := suspect != f.suspect
	f.suspect = suspect
	if changed || (suspect && now.Sub(f.sharedAt) >= f.settings.ProbeInterval) {
		f.sharedAt = now
		dst = append(dst, ShareOpinion{Opinion: Opinion{Watcher: f.self, Term: f.highestTerm(), Suspect: suspect}})
	}
	return dst
}

func (f *Failover) ownSuspicion(now clock.Time) bool {
	lead := f.leader()
	if lead < 0 || !f.led() {
		// A promoter at work does not heal what it has only fenced.
		return f.suspect || now.Sub(f.healthySince) >= f.settings.SuspectAfter
	}
	v := f.views[lead]
	silent := now.Sub(v.aliveAt) >= f.settings.SuspectAfter
	refused := v.refusing && now.Sub(v.refusedAt) >= f.settings.RefusedAfter
	if !silent && !refused {
		f.healthySince = v.aliveAt
	}
	return silent || refused
}

// agree reports whether a majority of the watchers, of more than one zone
// where they stand in several, suspect the primary.
func (f *Failover) agree(now clock.Time) bool {
	suspects := 0
	zones, all := make(map[string]bool), make(map[string]bool)
	for _, w := range f.watchers {
		all[w.Zone] = true
		if f.suspects(w, now) {
			suspects++
			zones[w.Zone] = true
		}
	}
	return suspects >= len(f.watchers)/2+1 && (len(zones) > 1 || len(all) == 1)
}

func (f *Failover) suspects(w Watcher, now clock.Time) bool {
	if w == f.self {
		return f.suspect
	}
	o, ok := f.opinions[w.Name]
	return ok && o.opinion.Suspect && now.Sub(o.at) <= 5*f.settings.ProbeInterval && o.opinion.Term >= f.leaderTerm()
}

func (f *Failover) leaderTerm() uint64 {
	if lead := f.leader(); lead >= 0 {
		return f.views[lead].status.Term
	}
	return 0
}

func (f *Failover) reachesMajority(now clock.Time) bool {
	reached := 0
	for _, v := range f.views {
		if v.heard && !v.refusing && now.Sub(v.aliveAt) < f.settings.SuspectAfter {
			reached++
		}
	}
	return reached >= f.majority()
}
