package database

import (
	"math/rand/v2"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
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

// Share sends an opinion to the group's other watchers.
type Share struct{ Opinion Opinion }

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

func (Probe) action()    {}
func (Share) action()    {}
func (Fence) action()    {}
func (Promote) action()  {}
func (Follow) action()   {}
func (Announce) action() {}

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
	status    Status
	heard     bool
	aliveAt   clock.Time
	refusedAt clock.Time
	refusing  bool
	askedAt   clock.Time
	fencedBy  uint64
	followed  clock.Time
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

	phase        Phase
	term         uint64
	target       int
	phaseSince   clock.Time
	askedAt      clock.Time
	notBefore    clock.Time
	agreedSince  clock.Time
	agreed       bool
	suspect      bool
	sharedAt     clock.Time
	lastTick     clock.Time
	ticked       bool
	healthySince clock.Time
	announced    uint64
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

// Suspects reports whether this watcher holds the primary to be lost.
func (f *Failover) Suspects() bool { return f.suspect }

// Tick advances time and appends to dst what is to be done.
func (f *Failover) Tick(now clock.Time, dst []Action) []Action {
	f.forgiveOwnPause(now)
	dst = f.probe(now, dst)
	dst = f.judge(now, dst)
	switch f.phase {
	case Watching:
		dst = f.repair(now, dst)
		dst = f.considerFencing(now, dst)
		if f.phase == Watching {
			dst = f.takeBackStranded(now, dst)
		}
	case Fencing, Promoting:
		dst = f.expireStep(now, dst)
	}
	return dst
}

// forgiveOwnPause restarts the watch if this process itself stood still:
// silence during its own pause says nothing of the primary.
func (f *Failover) forgiveOwnPause(now clock.Time) {
	gap := now.Sub(f.lastTick)
	if !f.ticked || gap >= f.settings.SuspectAfter/2 {
		for i := range f.views {
			f.views[i].aliveAt = now
			f.views[i].refusing = false
		}
		f.healthySince = now
		f.agreed = false
		f.opinions = make(map[string]opinionView)
	}
	f.lastTick, f.ticked = now, true
}

func (f *Failover) probe(now clock.Time, dst []Action) []Action {
	for i := range f.views {
		v := &f.views[i]
		if v.askedAt == 0 || now.Sub(v.askedAt) >= f.settings.ProbeInterval {
			v.askedAt = now
			dst = append(dst, Probe{Database: i})
		}
	}
	return dst
}

// HandleReport takes in a database's answer to a probe.
func (f *Failover) HandleReport(now clock.Time, r Report, dst []Action) []Action {
	v := &f.views[r.Database]
	v.status, v.heard = r.Status, true
	v.aliveAt, v.refusing = now, false
	if f.phase == Promoting && r.Database == f.target && r.Status.Leads() && r.Status.Term == f.term {
		return f.finish(now, dst)
	}
	return f.judge(now, dst)
}

// HandleRefused takes in that a database refused a connection.
func (f *Failover) HandleRefused(now clock.Time, database int, dst []Action) []Action {
	v := &f.views[database]
	if !v.refusing {
		v.refusing, v.refusedAt = true, now
	}
	return f.judge(now, dst)
}

// HandleOpinion takes in another watcher's view.
func (f *Failover) HandleOpinion(now clock.Time, o Opinion, dst []Action) []Action {
	f.opinions[o.Watcher.Name] = opinionView{opinion: o, at: now}
	if f.phase != Watching {
		return dst
	}
	return f.considerFencing(now, dst)
}

// HandleFence takes in a database's answer to Fence.
func (f *Failover) HandleFence(now clock.Time, database int, term uint64, s Status, accepted bool, dst []Action) []Action {
	v := &f.views[database]
	v.status, v.heard, v.aliveAt = s, true, now
	if f.phase != Fencing || term != f.term {
		return dst
	}
	if !accepted {
		return f.considerRetreat(now, s, dst)
	}
	v.fencedBy = term
	return f.considerPromoting(now, dst)
}

// considerRetreat gives an attempt up once a later term is known, or too
// many databases are fenced for another promoter in the same term.
func (f *Failover) considerRetreat(now clock.Time, s Status, dst []Action) []Action {
	lost := 0
	for i := range f.views {
		if f.views[i].heard && f.views[i].status.Fenced >= f.term && f.views[i].fencedBy != f.term {
			lost++
		}
	}
	if s.Fenced > f.term || s.Term >= f.term || lost > len(f.views)-f.majority() || f.cannotWin(now) {
		f.retreat(now)
	}
	return dst
}

// cannotWin reports whether the databases that can be reached and are not
// fenced for another promoter are fewer than a majority.
func (f *Failover) cannotWin(now clock.Time) bool {
	open := 0
	for _, v := range f.views {
		taken := v.status.Fenced >= f.term && v.fencedBy != f.term
		reachable := v.heard && !v.refusing && now.Sub(v.aliveAt) < f.settings.SuspectAfter
		if !taken && reachable {
			open++
		}
	}
	return open < f.majority()
}

// HandlePromote takes in a database's answer to Promote.
func (f *Failover) HandlePromote(now clock.Time, database int, term uint64, s Status, accepted bool, dst []Action) []Action {
	v := &f.views[database]
	v.status, v.heard, v.aliveAt = s, true, now
	if f.phase != Promoting || term != f.term {
		return dst
	}
	if !accepted {
		f.retreat(now)
		return dst
	}
	return f.finish(now, dst)
}

// HandleAnnounce takes in that another watcher has promoted a database.
func (f *Failover) HandleAnnounce(now clock.Time, a Announce) {
	if a.Term < f.highestTerm() {
		return
	}
	if f.phase != Watching && a.Term >= f.term {
		f.retreat(now)
	}
	f.healthySince = now
	f.views[a.Primary].aliveAt = now
	f.views[a.Primary].refusing = false
	f.agreed = false
}

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
	if lead < 0 || !f.views[lead].status.Leads() {
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
		dst = append(dst, Share{Opinion: Opinion{Watcher: f.self, Term: f.highestTerm(), Suspect: suspect}})
	}
	return dst
}

func (f *Failover) ownSuspicion(now clock.Time) bool {
	lead := f.leader()
	if lead < 0 || !f.led() {
		return now.Sub(f.healthySince) >= f.settings.SuspectAfter
	}
	v := f.views[lead]
	silent := now.Sub(v.aliveAt) >= f.settings.SuspectAfter
	refused := v.refusing && now.Sub(v.refusedAt) >= f.settings.RefusedAfter
	if !silent && !refused {
		f.healthySince = v.aliveAt
	}
	return silent || refused
}

// considerFencing starts a failover once enough watchers agree and this
// one's turn has come.
func (f *Failover) considerFencing(now clock.Time, dst []Action) []Action {
	if !f.suspect || !f.agree(now) {
		f.agreed = false
		return dst
	}
	if !f.agreed {
		f.agreed, f.agreedSince = true, now
	}
	turn := f.agreedSince.Add(clock.Duration(f.rank) * f.settings.RankDelay)
	if now < turn || now < f.notBefore || !f.reachesMajority(now) || f.rank >= len(f.watchers) {
		return dst
	}
	return f.startFencing(now, f.highestTerm()+1, dst)
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

func (f *Failover) startFencing(now clock.Time, term uint64, dst []Action) []Action {
	f.phase, f.term, f.phaseSince, f.askedAt, f.target = Fencing, term, now, now, -1
	return f.fenceRest(dst)
}

// considerPromoting promotes the fenced database with the longest log, once
// a majority is fenced.
func (f *Failover) considerPromoting(now clock.Time, dst []Action) []Action {
	fenced, best := 0, -1
	for i, v := range f.views {
		if v.fencedBy != f.term {
			continue
		}
		fenced++
		if best < 0 || f.better(v.status.Received, f.views[best].status.Received) {
			best = i
		}
	}
	if fenced < f.majority() {
		return dst
	}
	f.phase, f.phaseSince, f.askedAt, f.target = Promoting, now, now, best
	return append(dst, Promote{Database: best, Term: f.term})
}

func (f *Failover) better(a, b position.Position) bool { return a.Compare(b) > 0 }

// finish ends a failover that succeeded: the rest follows the new primary.
func (f *Failover) finish(now clock.Time, dst []Action) []Action {
	f.phase, f.agreed, f.suspect = Watching, false, false
	f.healthySince = now
	f.views[f.target].aliveAt = now
	for i := range f.views {
		if i != f.target {
			f.views[i].followed = now
			dst = append(dst, Follow{Database: i, Term: f.term, Primary: f.target})
		}
	}
	f.announced = f.term
	return append(dst, Announce{Term: f.term, Primary: f.target},
		Share{Opinion: Opinion{Watcher: f.self, Term: f.term}})
}

// retreat ends an attempt that another promoter or a lost answer has
// overtaken.
func (f *Failover) retreat(now clock.Time) {
	f.phase, f.target = Watching, -1
	jitter := clock.Duration(f.rand.Int64N(int64(f.settings.RetryDelay) + 1))
	f.notBefore = now.Add(f.settings.RetryDelay + jitter)
}

// strandedFactor times SuspectAfter is how long a database may be stranded
// before a promotion takes it back, so that a promoter at work is not
// disturbed.
const strandedFactor = 3

// takeBackStranded promotes anew, usually the primary itself, when a live
// database is fenced for a term that nobody leads and so takes no log.
func (f *Failover) takeBackStranded(now clock.Time, dst []Action) []Action {
	lead := f.leader()
	if lead < 0 || !f.led() {
		return dst
	}
	wait := (strandedFactor + clock.Duration(f.rank)) * f.settings.SuspectAfter
	stranded := false
	for i := range f.views {
		v := &f.views[i]
		alive := v.heard && !v.refusing && now.Sub(v.aliveAt) < f.settings.SuspectAfter
		if i == lead || !alive || v.status.Fenced <= f.views[lead].status.Term {
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

// expireStep repeats a step whose answer is missing, and gives it up after
// its timeout.
func (f *Failover) expireStep(now clock.Time, dst []Action) []Action {
	if now.Sub(f.phaseSince) >= f.settings.StepTimeout {
		f.retreat(now)
		return dst
	}
	if now.Sub(f.askedAt) < f.settings.StepTimeout/4 {
		return dst
	}
	f.askedAt = now
	if f.phase == Promoting {
		return append(dst, Promote{Database: f.target, Term: f.term})
	}
	return f.fenceRest(dst)
}

// fenceRest asks the databases that have not accepted the fence yet.
func (f *Failover) fenceRest(dst []Action) []Action {
	for i := range f.views {
		if f.views[i].fencedBy != f.term {
			dst = append(dst, Fence{Database: i, Term: f.term})
		}
	}
	return dst
}

// repair points databases that lag a term behind at the current primary. A
// primary that was replaced is fenced by the same step.
func (f *Failover) repair(now clock.Time, dst []Action) []Action {
	lead := f.leader()
	if lead < 0 || !f.led() {
		return dst
	}
	interval := f.settings.SuspectAfter + clock.Duration(f.rank)*f.settings.RankDelay
	term := f.views[lead].status.Term
	for i := range f.views {
		v := &f.views[i]
		behind := v.heard && (v.status.Term < term || v.status.Fenced < term)
		if i == lead || !behind || v.status.Fenced > term || now.Sub(v.aliveAt) >= f.settings.SuspectAfter || now.Sub(v.followed) < interval {
			continue
		}
		v.followed = now
		dst = append(dst, Follow{Database: i, Term: term, Primary: lead})
	}
	return dst
}
