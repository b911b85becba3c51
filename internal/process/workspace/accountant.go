package workspace

import (
	"math"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// HoldBack is how long a proxy that becomes accountant by a change of the members grants
// nothing. Proxies learn of the change at different times, up to this one apart, and the
// previous accountant grants until it learns of it.
const HoldBack = 2 * clock.Second

const (
	// slotCount is the number of slots of time for which a bucket remembers its grants.
	slotCount = 18
	// unmetDecay is the time in which the memory of asks that were not met decays.
	unmetDecay = 250 * clock.Millisecond
	// pollSpacing is added to the time until the next ask of a proxy for each ask that was
	// not met recently, up to maxPollDelay. It bounds the messages for a workspace over its
	// limit: 6 proxies that ask do so every 90 ms, and 115 every 250 ms.
	pollSpacing  = 5 * clock.Millisecond
	maxPollDelay = 250 * clock.Millisecond
	// minRetry is the shortest time that is stated.
	minRetry = 10 * clock.Millisecond
	// gatedShare is the share of a bucket's depth that is granted only while the
	// accountant is known to reach the others, and reachShare the share of it below which
	// that is found out.
	gatedShare = 0.5
	reachShare = 0.85
	// minFill is the share of the rate at which a bucket fills at least.
	minFill = 0.25
	// holdingRetry is stated while the accountant grants nothing at all.
	holdingRetry = 200 * clock.Millisecond
	// assignmentTime is how long a change of the assignment is remembered, and
	// maxAssignments how many are.
	assignmentTime = clock.Minute
	maxAssignments = 64
	// sweepInterval is the time between two searches for buckets that are not in use.
	sweepInterval = 5 * clock.Second
)

// Ask asks an accountant for tokens of a workspace.
type Ask struct {
	Workspace string `json:"workspace"`
	// Want is the number of tokens wanted. Unused is the number of tokens that the
	// asking proxy gives back: they have not expired, and it will not use them.
	Want   int `json:"want"`
	Unused int `json:"unused,omitempty"`
}

// Grant answers an Ask.
type Grant struct {
	Workspace string `json:"workspace"`
	Tokens    int    `json:"tokens"`
	// LifeMillis is how long after the request was sent the tokens may be taken.
	LifeMillis clock.Duration `json:"lifeMillis,omitempty"`
	// RetryMillis is the time after which there is capacity again, if Tokens is less
	// than what was wanted.
	RetryMillis clock.Duration `json:"retryMillis,omitempty"`
	// Holding is set if the answering proxy does not account for the workspace now.
	Holding bool `json:"holding,omitempty"`
}

// Accountant counts the operations of the workspaces that one proxy accounts for. A
// bucket that nobody has asked for is as full as if it had filled since the accountant
// started, so that buckets are kept only while they are in use. It is not safe for
// concurrent use.
type Accountant struct {
	quota Quota
	slot  clock.Duration
	// assignments has the changes of what this proxy accounts for, by their times. Those
	// that are older than assignmentTime are merged into the first.
	assignments []assignment
	buckets     map[string]*bucket
	sweptAt     clock.Time
	// reach tells which share of the proxies uses reserves. reachNeeded is set if it has
	// to be known, as of the last Grant.
	reach       *Reach
	reachNeeded bool
}

// assignment tells what a proxy accounts for since a time.
type assignment struct {
	at   clock.Time
	mine func(workspace string) bool
	// started is set if nobody else may have granted before.
	started bool
}

// bucket is the token bucket of a workspace.
type bucket struct {
	limit Limit
	// from is when the bucket began to fill.
	from clock.Time
	// level is the number of tokens at the time at.
	level float64
	at    clock.Time
	// granted has the tokens granted in the slots of time up to lastSlot, as a ring.
	granted  [slotCount]float64
	lastSlot int64
	// unmet is the recent number of asks that were not met.
	unmet   float64
	unmetAt clock.Time
	// usual is the average of the tokens granted.
	usual average
}

// NewAccountant returns an Accountant that accounts for nothing.
func NewAccountant(q Quota, r *Reach, now clock.Time) *Accountant {
	slot := (q.Life(Limit{})+q.SendTime())/(slotCount-2) + 1
	return &Accountant{quota: q, reach: r, slot: slot, buckets: make(map[string]*bucket), sweptAt: now}
}

// Assign sets which workspaces this proxy accounts for from now on. Those that it takes
// over are held back, unless started is set: this proxy accounted for them before its
// process started, or no proxy has granted before. Their buckets are empty then, whatever
// was granted before.
func (a *Accountant) Assign(now clock.Time, mine func(workspace string) bool, started bool) {
	a.assignments = append(a.assignments, assignment{at: now, mine: mine, started: started})
	for len(a.assignments) > 1 && (now.Sub(a.assignments[1].at) > assignmentTime || len(a.assignments) > maxAssignments) {
		a.assignments = a.assignments[1:]
		a.assignments[0].started = true
	}
}

// filledFrom returns since when the bucket of a workspace fills and may be granted from.
// It returns false if this proxy does not account for the workspace.
func (a *Accountant) filledFrom(workspace string) (clock.Time, bool) {
	i := len(a.assignments) - 1
	if i < 0 || !a.assignments[i].mine(workspace) {
		return 0, false
	}
	for i > 0 && a.assignments[i-1].mine(workspace) {
		i--
	}
	if first := a.assignments[i]; !first.started {
		return first.at.Add(HoldBack), true
	}
	return a.assignments[i].at, true
}

// Grant answers an ask for a workspace with the given limit. confirmed tells whether this
// proxy's configuration is proved to be recent enough, which the limit depends on.
func (a *Accountant) Grant(now clock.Time, ask Ask, l Limit, confirmed bool) Grant {
	g := Grant{Workspace: ask.Workspace}
	from, mine := a.filledFrom(ask.Workspace)
	want := min(max(ask.Want, 0), math.MaxInt32)
	switch {
	case !confirmed || !mine:
		g.Holding, g.RetryMillis = true, holdingRetry
		return g
	case now < from:
		g.Holding, g.RetryMillis = true, max(from.Sub(now), minRetry)
		return g
	case l.Rate <= 0:
		// The asking proxy has another configuration, with a limit.
		g.Tokens, g.LifeMillis = want, a.quota.Life(l)
		return g
	}
	a.sweep(now)
	b := a.bucket(now, from, ask.Workspace, l)
	b.refill(a, now)
	back := float64(min(max(ask.Unused, 0), math.MaxInt32))
	b.takeBack(a, now, back)
	gate, unknown := b.gate(a, now)
	usable := b.level - gate
	n := max(math.Floor(min(float64(want), usable)), 0)
	b.level -= n
	b.granted[b.lastSlot%slotCount] += n
	b.usual.addN(now, n-min(back, n))
	g.Tokens, g.LifeMillis = int(n), a.quota.Life(l)
	b.unmet *= math.Exp(-seconds(now.Sub(b.unmetAt)) / seconds(unmetDecay))
	b.unmetAt = now
	switch {
	case g.Tokens < want && unknown && b.level >= 1:
		// The round that is under way takes a round trip.
		g.RetryMillis = minRetry
	case g.Tokens < want:
		// Others that ask at the same time get their turn first, which also bounds the
		// number of messages while a workspace is over its limit.
		b.unmet++
		wait := min(clock.Duration(b.unmet*float64(pollSpacing)), maxPollDelay)
		if b.level < 1 {
			wait = max(wait, millis((1-b.level)/l.Rate))
		}
		g.RetryMillis = max(wait, minRetry)
	}
	return g
}

// ReachNeeded reports whether a round of Reach is needed.
func (a *Accountant) ReachNeeded() bool { return a.reachNeeded }

// gate returns the part of the bucket that must not be granted now, and whether that is
// because it is unknown which proxies the accountant reaches. Unless it reaches nearly all,
// others may be using their reserves.
func (b *bucket) gate(a *Accountant, now clock.Time) (gate float64, unknown bool) {
	depth := a.quota.Depth(b.limit)
	a.reachNeeded = a.quota.reservesCompete(b.limit) && b.level < reachShare*max(depth-b.usualUnderWay(a, now), 0)
	if !a.quota.reservesCompete(b.limit) {
		return 0, false
	}
	cut, reached := a.reach.CutOff(now)
	if reached {
		return 0, false
	}
	return gatedShare * depth, cut == 0
}

// fillRate returns the rate less what the proxies that are cut off may be using.
func (b *bucket) fillRate(a *Accountant, now clock.Time) float64 {
	cut, _ := a.reach.CutOff(now)
	if cut == 0 || !a.quota.reservesCompete(b.limit) {
		return b.limit.Rate
	}
	usual := min(b.usual.perSecond(now), b.limit.Rate)
	if now.Sub(b.from) < usualSpan {
		usual = b.limit.Rate
	}
	return max(b.limit.Rate-cut*reserveShare*usual, b.limit.Rate*minFill)
}

// bucket returns the bucket of a workspace, and creates it as full as it would be.
func (a *Accountant) bucket(now, from clock.Time, w string, l Limit) *bucket {
	b, ok := a.buckets[w]
	if !ok || b.from != from && b.at < from {
		b = &bucket{from: from, at: from, lastSlot: int64(now) / int64(a.slot), unmetAt: now}
		a.buckets[w] = b
	}
	b.limit = l
	return b
}

// refill adds the tokens that have come in since the last call, up to the depth less the
// tokens that may still be used. This bounds what arrives in any window by the depth and
// the rate, however often tokens are given back and granted again.
func (b *bucket) refill(a *Accountant, now clock.Time) {
	slot := int64(now) / int64(a.slot)
	for n := 0; b.lastSlot < slot; n++ {
		if n == slotCount {
			b.lastSlot = slot
			break
		}
		b.lastSlot++
		b.granted[b.lastSlot%slotCount] = 0
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += seconds(elapsed) * b.fillRate(a, now)
		b.at = now
	}
	b.capLevel(a)
}

func (b *bucket) capLevel(a *Accountant) {
	b.level = min(b.level, max(a.quota.Depth(b.limit)-b.underWay(a), 0))
}

// underWay returns the number of tokens that were granted and may still be used.
func (b *bucket) underWay(a *Accountant) float64 {
	// The oldest slot counts as a whole.
	span := int64((a.quota.Life(b.limit)+a.quota.SendTime())/a.slot) + 1
	sum := 0.0
	for i := range min(span+1, slotCount) {
		if b.lastSlot >= i {
			sum += b.granted[(b.lastSlot-i)%slotCount]
		}
	}
	return sum
}

// usualUnderWay returns underWay at the usual demand.
func (b *bucket) usualUnderWay(a *Accountant, now clock.Time) float64 {
	return b.usual.perSecond(now) * seconds(a.quota.Life(b.limit)+a.quota.SendTime()+a.slot)
}

// takeBack puts tokens back that were granted recently and will not be used.
func (b *bucket) takeBack(a *Accountant, now clock.Time, n float64) {
	for i := int64(0); i < slotCount && n > 0 && b.lastSlot >= i; i++ {
		slot := &b.granted[(b.lastSlot-i)%slotCount]
		back := min(*slot, n)
		*slot -= back
		b.level += back
		n -= back
	}
	b.capLevel(a)
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
}

// Len returns the number of buckets.
func (a *Accountant) Len() int { return len(a.buckets) }
