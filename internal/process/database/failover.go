package database

import (
	"math/rand/v2"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// FailoverSettings configure the detection of a failed primary and the
// promotion of a replica.
type FailoverSettings struct {
	// ProbeInterval is the time between two probes of a watched database.
	ProbeInterval clock.Duration
	// SuspectAfter is how long a primary may leave probes unanswered before
	// it is suspected to have failed.
	SuspectAfter clock.Duration
	// RefusedAfter is how long a primary may refuse connections before it is
	// suspected. A live server does not refuse them for long.
	RefusedAfter clock.Duration
	// StepTimeout is the maximum duration of each of the phases Fencing and
	// Promoting, and of each operation that a failover performs on a database.
	StepTimeout clock.Duration
	// RankDelay times a watcher's rank is how long the watcher waits before it
	// acts, so that one watcher acts first.
	RankDelay clock.Duration
	// RetryDelay is the minimum time between two attempts of one watcher. A
	// random delay of up to the same length is added.
	RetryDelay clock.Duration
}

// DefaultFailoverSettings returns settings for sites within one region.
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

// Watcher is a proxy that monitors a group and can start a failover.
type Watcher struct {
	Name string
	Zone string
}

// Opinion is a watcher's view of the health of a group's primary.
type Opinion struct {
	Watcher Watcher
	// Term is the highest term that the watcher knows.
	Term uint64
	// Suspect is set while the watcher suspects that the primary has failed.
	Suspect bool
}

// Action is an operation that a Failover asks its driver to perform.
type Action interface{ action() }

// Probe requests the status of a database.
type Probe struct{ Database int }

// SendOpinion sends an opinion to the group's other watchers.
type SendOpinion struct{ Opinion Opinion }

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

// Announce notifies the other proxies of a new primary and records it in the
// table service.
type Announce struct {
	Term    uint64
	Primary int
}

func (Probe) action()       {}
func (SendOpinion) action() {}
func (Fence) action()       {}
func (Promote) action()     {}
func (Follow) action()      {}
func (Announce) action()    {}

// Phase is the current stage of a Failover.
type Phase uint8

// The phases of a failover.
const (
	// Watching monitors the primary.
	Watching Phase = iota
	// Fencing fences the databases for a new term.
	Fencing
	// Promoting promotes the chosen database.
	Promoting
)

// String returns the name of the phase for logs.
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

// databaseView is what a watcher knows about one database.
type databaseView struct {
	status   Status
	reported bool
	// lastAliveAt is when the database last answered. It also advances when
	// a new primary is announced and when this process resumes after a pause.
	lastAliveAt clock.Time
	// refusingSince is when the database began to refuse connections, valid
	// while refusing is set.
	refusingSince clock.Time
	refusing      bool
	probedAt      clock.Time
	// ownFenceTerm is the last term for which the database accepted a fence
	// from this watcher.
	ownFenceTerm uint64
	// followedAt is when Follow was last sent to the database.
	followedAt clock.Time
	// strandedSince is when the database was first seen fenced for a term that
	// has no primary, zero if it is not.
	strandedSince clock.Time
}

// opinionView is another watcher's opinion and when it arrived.
type opinionView struct {
	opinion Opinion
	at      clock.Time
}

// Failover decides for one watcher of one group when to replace the primary,
// and with which database. It relies on no lease and on no other process's
// clock: a watcher wins a term by fencing a majority of the databases for it.
// It is not safe for concurrent use.
type Failover struct {
	settings FailoverSettings
	self     Watcher
	// rank is the index of self in watchers, or their number if self is not
	// among them.
	rank     int
	watchers []Watcher
	rand     *rand.Rand
	views    []databaseView
	opinions map[string]opinionView

	phase Phase
	term  uint64
	// target is the database last chosen for promotion, -1 if the attempt has
	// not chosen one yet or was abandoned.
	target     int
	phaseSince clock.Time
	// stepSentAt is when the requests of the current phase were last sent.
	stepSentAt clock.Time
	// notBefore is the earliest start of the next attempt.
	notBefore clock.Time
	// agreedSince is when a majority of the watchers, this one included, began
	// to suspect the primary, valid while agreed is set.
	agreedSince clock.Time
	agreed      bool
	// suspect is this watcher's own suspicion.
	suspect bool
	// sharedAt is when this watcher last sent its opinion.
	sharedAt clock.Time
	lastTick clock.Time
	ticked   bool
	// lastHealthyAt is when the primary was last known to be healthy.
	lastHealthyAt clock.Time
	// announced is the last term for which this watcher announced a primary.
	announced uint64
}

// NewFailover returns the failover state of the watcher self for a group of
// size databases. The order of watchers is the order in which they act. r is
// used only to randomize the delay before a retry.
func NewFailover(size int, self Watcher, watchers []Watcher, s FailoverSettings, r *rand.Rand) *Failover {
	f := &Failover{
		settings: s, self: self, rand: r, target: -1,
		views: make([]databaseView, size), opinions: make(map[string]opinionView),
	}
	f.SetWatchers(watchers)
	return f
}

// SetWatchers replaces the watchers, in the order in which they act.
func (f *Failover) SetWatchers(watchers []Watcher) {
	f.watchers = watchers
	f.rank = len(watchers)
	for i, w := range watchers {
		if w == f.self {
			f.rank = i
		}
	}
}

// Phase returns the current phase and the term of the last attempt.
func (f *Failover) Phase() (Phase, uint64) { return f.phase, f.term }

// Tick advances the time to now and appends the actions that are due to dst.
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

// resetAfterPause restarts failure detection at the first tick and after a
// pause of this process: answers that are missing because of its own pause say
// nothing about the primary.
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

// HandleReport handles a database's answer to a probe.
func (f *Failover) HandleReport(now clock.Time, r Report, dst []Action) []Action {
	v := &f.views[r.Database]
	v.status, v.reported = r.Status, true
	v.lastAliveAt, v.refusing = now, false
	if f.phase == Promoting && r.Database == f.target && r.Status.AcceptsWrites() && r.Status.Term == f.term {
		return f.completePromotion(now, dst)
	}
	return f.updateSuspicion(now, dst)
}

// HandleRefused handles a connection that a database refused.
func (f *Failover) HandleRefused(now clock.Time, database int, dst []Action) []Action {
	v := &f.views[database]
	if !v.refusing {
		v.refusing, v.refusingSince = true, now
	}
	return f.updateSuspicion(now, dst)
}

// HandleOpinion handles the opinion of another watcher.
func (f *Failover) HandleOpinion(now clock.Time, o Opinion, dst []Action) []Action {
	f.opinions[o.Watcher.Name] = opinionView{opinion: o, at: now}
	if f.phase != Watching {
		return dst
	}
	return f.maybeStartFencing(now, dst)
}

// HandleFence handles a database's answer to Fence.
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

// HandlePromote handles a database's answer to Promote.
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

// HandleAnnounce handles the announcement of a promotion by another watcher. An
// announcement of a term lower than the highest known one is ignored.
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
