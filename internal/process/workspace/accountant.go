package workspace

import (
	"maps"
	"math"
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// SpreadTime is how far apart proxies learn of a change of the members. For so long the
// previous accountant of a workspace goes on after it has learned of the change, unless the
// new one asks it to release the workspace. Until it has, the new one grants nothing, for
// twice that time at most, since the previous one may learn of the change so much later.
const SpreadTime = 2 * clock.Second

const (
	// holdingRetry is stated while the accountant grants nothing, and checkRetry while it
	// finds out whether it may.
	holdingRetry = 200 * clock.Millisecond
	checkRetry   = 50 * clock.Millisecond
	// assignmentTime is how long a change of the assignment is remembered, and
	// maxAssignments how many are.
	assignmentTime = clock.Minute
	maxAssignments = 64
	// sweepInterval is the time between two searches for buckets that are not in use.
	sweepInterval = 5 * clock.Second
)

// Accountant counts the operations of the workspaces that one proxy accounts for, or is
// the deputy of a silent accountant for. A bucket that nobody has asked for is as full as
// if it had filled since the accountant started, so that buckets are kept only while they
// are in use. It is not safe for concurrent use.
type Accountant struct {
	self  string
	quota Quota
	slot  clock.Duration
	// assignments has the changes of the accountants, by their times. Those that are
	// older than assignmentTime are merged into the first.
	assignments []assignment
	// ranks has the ranked accountants of the workspaces in use.
	ranks   map[string][]string
	buckets map[string]*bucket
	sweptAt clock.Time
	// released has the workspaces whose previous accountant has stopped for this one, and
	// handed those that this one has been released from, with the times of that.
	released map[string]release
	handed   map[string]handover
	others   map[string]*colleague
	// reach tells which share of the proxies this one does not reach. reachNeeded is set
	// if that has to be known.
	reach       *Reach
	reachNeeded bool
	proofs      proofs
}

// release is the answer of a previous accountant that has stopped: it was asked at askedAt,
// and the new one may grant from then on. held is set if the previous one held back itself.
type release struct {
	askedAt, from clock.Time
	held          bool
}

// handover is the release of a workspace to its next accountant, which is not known if it
// runs an earlier build.
type handover struct {
	at clock.Time
	to string
}

// assignment has the accountants since a time.
type assignment struct {
	at    clock.Time
	names []string
	// started is set if nobody else may have granted before.
	started bool
}

// NewAccountant returns the Accountant of the proxy with the given name. It accounts for
// nothing yet.
func NewAccountant(self string, q Quota, r *Reach, now clock.Time) *Accountant {
	return &Accountant{
		self: self, quota: q, reach: r, slot: (q.Life(Limit{})+q.SendTime())/(slotCount-2) + 1, sweptAt: now,
		ranks: make(map[string][]string), buckets: make(map[string]*bucket), released: make(map[string]release), handed: make(map[string]handover), others: make(map[string]*colleague),
	}
}

// Assign sets the names of the accountants from now on. Workspaces that this proxy takes
// over are held back, unless started is set: this proxy accounted for them before its
// process started, or no proxy has granted before. Their buckets are empty then, whatever
// was granted before.
func (a *Accountant) Assign(now clock.Time, names []string, started bool) {
	a.assignments = append(a.assignments, assignment{at: now, names: names, started: started})
	for len(a.assignments) > 1 && (now.Sub(a.assignments[1].at) > assignmentTime || len(a.assignments) > maxAssignments) {
		a.assignments = a.assignments[1:]
		a.assignments[0].started = true
	}
	clear(a.ranks)
	old := func(_ string, at clock.Time) bool { return now.Sub(at) > assignmentTime }
	maps.DeleteFunc(a.released, func(w string, r release) bool { return old(w, r.askedAt) })
	maps.DeleteFunc(a.handed, func(w string, h handover) bool { return old(w, h.at) })
	maps.DeleteFunc(a.others, func(name string, c *colleague) bool {
		return !slices.Contains(names, name) && !c.busy && now.Sub(c.sentAt) > assignmentTime
	})
}

func (a *Accountant) ranked(workspace string) []string {
	r, ok := a.ranks[workspace]
	if !ok && len(a.assignments) > 0 {
		r = RankAccountants(workspace, a.assignments[len(a.assignments)-1].names)
		a.ranks[workspace] = r
	}
	return r
}

// filledFrom returns since when the bucket of a workspace fills, of which this proxy is
// the first accountant, and the accountant before it if that time is still to come.
func (a *Accountant) filledFrom(now clock.Time, workspace string) (clock.Time, string) {
	return a.filledFromAs(now, workspace, len(a.assignments)-1)
}

// filledFromAs is filledFrom as of the assignment with the index i.
func (a *Accountant) filledFromAs(now clock.Time, workspace string, i int) (clock.Time, string) {
	i = a.firstSince(workspace, i, a.self)
	taken := a.assignments[i]
	if taken.started {
		return taken.at, ""
	}
	from := taken.at.Add(2 * SpreadTime)
	r, released := a.released[workspace]
	if released = released && r.askedAt >= taken.at; released {
		from = min(r.from, from)
	}
	switch {
	case released && !r.held:
		return from, ""
	case released || i == 0 || now >= from:
		return a.proofs.endOfHold(now, from), ""
	}
	before := first(RankAccountants(workspace, a.assignments[i-1].names))
	if c, ok := a.others[before]; ok && c.silent && c.silentSince.Add(2*SpreadTime) <= now && now.Sub(c.failedAt) < silenceTime {
		// This proxy was its deputy.
		return c.silentSince, ""
	}
	return from, before
}

// firstSince returns the index of the earliest assignment from which on, up to that with
// the index i, the named proxy is the first accountant of a workspace. It is the first
// accountant as of i.
func (a *Accountant) firstSince(workspace string, i int, name string) int {
	for i > 0 && first(RankAccountants(workspace, a.assignments[i-1].names)) == name {
		i--
	}
	return i
}

// lostBy returns the index of the assignment by which this proxy ceased to be the first
// accountant of a workspace, and zero if it has not been or still is.
func (a *Accountant) lostBy(workspace string) int {
	i := len(a.assignments) - 1
	for i > 0 && first(RankAccountants(workspace, a.assignments[i-1].names)) != a.self {
		i--
	}
	if i > 0 && first(RankAccountants(workspace, a.assignments[i].names)) == a.self {
		return 0
	}
	return max(i, 0)
}

// outgoing returns since when the bucket of a workspace has filled whose accountant this
// proxy was until recently, and whether it goes on until the new one asks it to release the
// workspace. It does not if it held back itself.
func (a *Accountant) outgoing(now clock.Time, workspace string) (clock.Time, bool) {
	i := a.lostBy(workspace)
	if i < 1 || now.Sub(a.assignments[i].at) >= SpreadTime || a.handed[workspace].at >= a.assignments[i].at {
		return 0, false
	}
	from, _ := a.filledFromAs(now, workspace, i-1)
	return from, from <= now
}

// release stops this proxy from granting tokens of a workspace, for the accountant after it.
// It returns false if it was not the accountant until recently, or has released the workspace
// to another one: it cannot answer for others then, which may still grant. If it held back
// itself, it returns for how long it would have held back.
func (a *Accountant) release(now clock.Time, workspace, successor string) (bool, clock.Duration) {
	i := a.lostBy(workspace)
	if i < 1 {
		return false, 0
	}
	if h := a.handed[workspace]; h.at >= a.assignments[i].at {
		if h.to != successor {
			return false, 0
		}
	} else {
		if now.Sub(a.assignments[i].at) >= SpreadTime {
			return false, 0
		}
		a.handed[workspace] = handover{at: now, to: successor}
	}
	from, _ := a.filledFromAs(now, workspace, i-1)
	return from <= now, max(from.Sub(now), 0)
}

// deputyHeld reports whether the first accountant of a workspace holds back, as this proxy
// sees it. Its deputy must hold back as well then: the accountant of before may grant.
func (a *Accountant) deputyHeld(now clock.Time, workspace, accountant string) bool {
	taken := a.assignments[a.firstSince(workspace, len(a.assignments)-1, accountant)]
	return !taken.started && now < a.proofs.endOfHold(now, taken.at.Add(2*SpreadTime))
}

// Grant answers an ask for a workspace with the given limit. confirmed tells whether this
// proxy's configuration is proved to be recent enough, which the limit depends on.
func (a *Accountant) Grant(now clock.Time, ask Ask, l Limit, confirmed bool) Grant {
	a.sweep(now)
	g := Grant{Workspace: ask.Workspace}
	ranked := a.ranked(ask.Workspace)
	rank := slices.Index(ranked, a.self)
	hold := func(retry clock.Duration) Grant {
		g.Holding, g.RetryMillis = true, max(retry, minRetry)
		return g
	}
	if ask.Release && rank != 0 {
		switch {
		case ask.Successor == "":
			// An earlier build takes any answer for a release.
			a.handed[ask.Workspace] = handover{at: now}
		case confirmed && ask.Successor == first(ranked):
			// Others with different members may take themselves for the next accountant.
			g.Released, g.HeldMillis = a.release(now, ask.Workspace, ask.Successor)
		}
		return hold(holdingRetry)
	}
	var from clock.Time
	outgoing := false
	if rank != 0 {
		from, outgoing = a.outgoing(now, ask.Workspace)
	}
	if !confirmed || !outgoing && (rank < 0 || rank > 0 && !ask.Deputy) {
		if rank != 0 {
			g.Moved = first(ranked)
		}
		return hold(holdingRetry)
	}
	if outgoing {
		if _, ok := a.buckets[ask.Workspace]; !ok {
			return hold(holdingRetry)
		}
		rank = 0
	} else if rank == 0 {
		var before string
		if from, before = a.filledFrom(now, ask.Workspace); now < from {
			a.check(before, Ask{Workspace: ask.Workspace, Release: true, Successor: a.self})
			return hold(min(from.Sub(now), checkRetry))
		}
	} else {
		since, alone := a.silentSince(now, ranked[:rank])
		a.reachNeeded = true
		if !alone || !a.reach.CutOff(now).Known || a.deputyHeld(now, ask.Workspace, ranked[0]) {
			return hold(checkRetry)
		}
		from = since
	}
	want := min(max(ask.Want, 0), math.MaxInt32)
	if g.LifeMillis = a.quota.Life(l); l.Rate <= 0 {
		// The asking proxy has another configuration, with a limit.
		g.Tokens = want
		return g
	}
	b := a.bucket(now, from, ask.Workspace, l)
	b.deputy = rank > 0
	b.told = max(b.told, min(max(ask.Usual, 0), l.Rate))
	if b.deputy && b.fillRate(a, now) < minFillRate {
		// The asking proxy may use its reserve.
		return hold(holdingRetry)
	}
	tokens, retry := b.grant(a, now, float64(want), float64(min(max(ask.Unused, 0), math.MaxInt32)))
	g.Tokens, g.RetryMillis = int(tokens), retry
	g.Usual = math.Ceil(b.usualRate(now)*10) / 10
	if g.Tokens > 0 {
		a.recordDeputy(now, ask.Workspace, ranked[:rank])
	}
	return g
}

// bucket returns the bucket of a workspace, and creates it as full as it would be.
func (a *Accountant) bucket(now, from clock.Time, w string, l Limit) *bucket {
	b, ok := a.buckets[w]
	if !ok || b.from != from && b.at < from {
		b = &bucket{from: from, at: from, lastSlot: int64(now) / int64(a.slot), unmetAt: now}
		a.buckets[w] = b
	}
	if l.Rate < b.limit.Rate {
		b.told = 0
	}
	b.limit = l
	return b
}

// Drain empties the bucket of a workspace, for which a deputy has granted while this proxy
// was silent.
func (a *Accountant) Drain(now clock.Time, w string, l Limit) {
	var from clock.Time
	if first(a.ranked(w)) == a.self {
		if from, _ = a.filledFrom(now, w); now < from {
			return
		}
	} else {
		var outgoing bool
		if from, outgoing = a.outgoing(now, w); !outgoing {
			return
		}
	}
	b := a.bucket(now, from, w, l)
	b.refill(a, now)
	b.level = 0
}

// ReachNeeded reports whether a round of Reach is needed, and forgets that.
func (a *Accountant) ReachNeeded() bool {
	needed := a.reachNeeded
	a.reachNeeded = false
	return needed
}

// sweep forgets the buckets that are full.
func (a *Accountant) sweep(now clock.Time) {
	if now.Sub(a.sweptAt) < sweepInterval {
		return
	}
	a.sweptAt = now
	for w, b := range a.buckets {
		idle := now.Sub(b.at)
		// Until then the usual demand is remembered, as other proxies do.
		if idle >= idleTime && b.level+seconds(idle)*b.limit.Rate >= a.quota.Depth(b.limit) {
			delete(a.buckets, w)
		}
	}
	for w := range a.ranks {
		if _, used := a.buckets[w]; !used {
			delete(a.ranks, w)
		}
	}
}

// Len returns the number of buckets.
func (a *Accountant) Len() int { return len(a.buckets) }
