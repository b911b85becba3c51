package database

import (
	"math/rand/v2"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// FailoverSettings are the declared figures of watching and promotion.
type FailoverSettings struct {
	// ProbeInterval is the time between two probes of a watched database.
	ProbeInterval clock.Duration
	// SuspectAfter is the longest silence of a primary that is tolerated.
	SuspectAfter clock.Duration
	// RefusedAfter is the longest time that a primary may refuse
	// connections, which a live server does not do for long.
	RefusedAfter clock.Duration
	// StepTimeout bounds each of fencing and promoting.
	StepTimeout clock.Duration
	// RankDelay holds back each further watcher, so that one acts first.
	RankDelay clock.Duration
	// RetryDelay is the least time between two attempts of one watcher. Up
	// to as much again is added at random.
	RetryDelay clock.Duration
}

// DefaultFailoverSettings returns figures for sites of one region.
func DefaultFailoverSettings() FailoverSettings {
	return FailoverSettings{
		ProbeInterval: 100 * clock.Millisecond,
		SuspectAfter:  800 * clock.Millisecond,
		RefusedAfter:  300 * clock.Millisecond,
		StepTimeout:   400 * clock.Millisecond,
		RankDelay:     100 * clock.Millisecond,
		RetryDelay:    150 * clock.Millisecond,
	}
}

// Watcher is a proxy that watches a group.
type Watcher struct {
	Name string
	Zone string
}

// Opinion is a watcher's view of a group's primary.
type Opinion struct {
	Watcher Watcher
	// Term is the highest term that the watcher has heard of.
	Term uint64
	// Suspect is set while the watcher holds the primary to be lost.
	Suspect bool
}

// Action is what a decision asks its driver to do.
type Action interface{ action() }

// Probe asks a database for its status.
type Probe struct{ Database int }

// ShareOpinion sends an opinion to the group's other watchers.
type ShareOpinion struct{ Opinion Opinion }

// Fence makes a database refuse all earlier terms.
type Fence struct {
	Database int
	Term     uint64
}

// Promote makes a fenced database the primary of Term.
type Promote struct {
	Database int
	Term     uint64
}

// Follow makes a database a replica of Primary.
type Follow struct {
	Database int
	Term     uint64
	Primary  int
}

// Announce tells all proxies of a new primary and records it in the table
// service.
type Announce struct {
	Term    uint64
	Primary int
}

func (Probe) action()        {}
func (ShareOpinion) action() {}
func (Fence) action()        {}
func (Promote) action()      {}
func (Follow) action()       {}
func (Announce) action()     {}

// Phase is what a Failover is doing.
type Phase uint8

// The phases of a failover.
const (
	Watching Phase = iota
	Fencing
	Promoting
)

// String names the phase as logs show it.
func (p Phase) String() string {
	switch p {
	case Watching:
		return "watching"
	case Fencing:
		return "fencing"
	default:
		return "promoting"
	}
}

type databaseView struct {
	status        Status
	reported      bool
	lastAliveAt   clock.Time
	refusingSince clock.Time
	refusing      bool
	probedAt      clock.Time
	ownFenceTerm  uint64
	followedAt    clock.Time
	// strandedSince is since when the database has been fenced for a term that
	// nobody leads, zero if it is not.
	strandedSince clock.Time
}

type opinionView struct {
	opinion Opinion
	at      clock.Time
}

// Failover decides for one watcher of one group when to replace the
// primary, and by which database. It never acts on a lease or a clock of
// another process: a term is won by fencing a majority.
type Failover struct {
	settings FailoverSettings
	self     Watcher
	rank     int
	watchers []Watcher
	rand     *rand.Rand
	views    []databaseView
	opinions map[string]opinionView

	phase         Phase
	term          uint64
	target        int
	phaseSince    clock.Time
	stepSentAt    clock.Time
	notBefore     clock.Time
	agreedSince   clock.Time
	agreed        bool
	suspect       bool
	sharedAt      clock.Time
	lastTick      clock.Time
	ticked        bool
	lastHealthyAt clock.Time
	announced     uint64
}

// NewFailover returns the decisions of the watcher self among watchers,
// which are in the order in which they act. The random source only spreads
// retries.
func NewFailover(size int, self Watcher, watchers []Watcher, s FailoverSettings, r *rand.Rand) *Failover {
	f := &Failover{
		settings: s, self: self, rand: r, target: -1,
		views: make([]databaseView, size), opinions: make(map[string]opinionView),
	}
	f.SetWatchers(watchers)
	return f
}

// SetWatchers replaces the set of watchers.
func (f *Failover) SetWatchers(watchers []Watcher) {
	f.watchers = watchers
	f.rank = len(watchers)
	for i, w := range watchers {
		if w == f.self {
			f.rank = i
		}
	}
}

// Phase returns what the failover is doing, and in which term.
func (f *Failover) Phase() (Phase, uint64) { return f.phase, f.term }

// Tick advances time and appends to dst what is to be done.
func (f *Failover) Tick(now clock.Time, dst []Action) []Action {
	f.resetAfterPause(now)
	dst = f.probe(now, dst)
	dst = f.updateSuspicion(now, dst)
	switch f.phase {
	case Watching:
		dst = f.repairReplicas(now, dst)
		dst = f.maybeStartFencing(now, dst)
		if f.phase == Watching {
			dst = f.recoverStranded(now, dst)
		}
	case Fencing, Promoting:
		dst = f.repeatOrExpireStep(now, dst)
	}
	return dst
}

// forgiveOwnPause restarts the watch if this process itself stood still:
// silence during its own pause says nothing of the primary.
func (f *Failover) resetAfterPause(now clock.Time) {
	gap := now.Sub(f.lastTick)
	if !f.ticked || gap >= f.settings.SuspectAfter/2 {
		for i := range f.views {
			f.views[i].lastAliveAt = now
			f.views[i].refusing = false
		}
		f.lastHealthyAt = now
		f.agreed = false
		f.opinions = make(map[string]opinionView)
	}
	f.lastTick, f.ticked = now, true
}

func (f *Failover) probe(now clock.Time, dst []Action) []Action {
	for i := range f.views {
		v := &f.views[i]
		if v.probedAt == 0 || now.Sub(v.probedAt) >= f.settings.ProbeInterval {
			v.probedAt = now
			dst = append(dst, Probe{Database: i})
		}
	}
	return dst
}

// HandleReport takes in a database's answer to a probe.
func (f *Failover) HandleReport(now clock.Time, r Report, dst []Action) []Action {
	v := &f.views[r.Database]
	v.status, v.reported = r.Status, true
	v.lastAliveAt, v.refusing = now, false
	if f.phase == Promoting && r.Database == f.target && r.Status.AcceptsWrites() && r.Status.Term == f.term {
		return f.completePromotion(now, dst)
	}
	return f.updateSuspicion(now, dst)
}

// HandleRefused takes in that a database refused a connection.
func (f *Failover) HandleRefused(now clock.Time, database int, dst []Action) []Action {
	v := &f.views[database]
	if !v.refusing {
		v.refusing, v.refusingSince = true, now
	}
	return f.updateSuspicion(now, dst)
}

// HandleOpinion takes in another watcher's view.
func (f *Failover) HandleOpinion(now clock.Time, o Opinion, dst []Action) []Action {
	f.opinions[o.Watcher.Name] = opinionView{opinion: o, at: now}
	if f.phase != Watching {
		return dst
	}
	return f.maybeStartFencing(now, dst)
}

// HandleFence takes in a database's answer to Fence.
func (f *Failover) HandleFence(now clock.Time, database int, term uint64, s Status, accepted bool, dst []Action) []Action {
	v := &f.views[database]
	v.status, v.reported, v.lastAliveAt = s, true, now
	if f.phase != Fencing || term != f.term {
		return dst
	}
	if !accepted {
		return f.maybeAbandon(now, s, dst)
	}
	v.ownFenceTerm = term
	return f.maybePromote(now, dst)
}

// HandlePromote takes in a database's answer to Promote.
func (f *Failover) HandlePromote(now clock.Time, database int, term uint64, s Status, accepted bool, dst []Action) []Action {
	v := &f.views[database]
	v.status, v.reported, v.lastAliveAt = s, true, now
	if f.phase != Promoting || term != f.term {
		return dst
	}
	if !accepted {
		f.abandon(now)
		return dst
	}
	return f.completePromotion(now, dst)
}

// HandleAnnounce takes in that another watcher has promoted a database.
func (f *Failover) HandleAnnounce(now clock.Time, a Announce) {
	if a.Term < f.highestTerm() {
		return
	}
	if f.phase != Watching && a.Term >= f.term {
		f.abandon(now)
	}
	f.lastHealthyAt = now
	f.views[a.Primary].lastAliveAt = now
	f.views[a.Primary].refusing = false
	f.agreed = false
}
