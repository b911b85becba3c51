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
	// unmetDecay is the time in which the memory of wants that were not met decays.
	unmetDecay = 250 * clock.Millisecond
	// maxPollDelay is the longest that an asking proxy waits because of the wants of
	// others, and minRetry the shortest time that is stated.
	maxPollDelay = 250 * clock.Millisecond
	minRetry     = 10 * clock.Millisecond
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
	// unmet is the recent number of tokens that were wanted in vain.
	unmet   float64
	unmetAt clock.Time
}

// NewAccountant returns an Accountant that accounts for nothing.
func NewAccountant(q Quota, now clock.Time) *Accountant {
	slot := (q.Life(Limit{})+q.SendTime())/(slotCount-2) + 1
	return &Accountant{quota: q, slot: slot, buckets: make(map[string]*bucket), sweptAt: now}
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
	b.takeBack(a, now, float64(min(max(ask.Unused, 0), math.MaxInt32)))
	n := max(math.Floor(min(float64(want), b.level)), 0)
	b.level -= n
	b.granted[b.lastSlot%slotCount] += n
	g.Tokens, g.LifeMillis = int(n), a.quota.Life(l)
	b.unmet *= math.Exp(-seconds(now.Sub(b.unmetAt)) / seconds(unmetDecay))
	b.unmetAt = now
	if g.Tokens < want {
		// Others that ask at the same time get their turn first, which also bounds the
		// number of messages while a workspace is over its limit.
		b.unmet += float64(want) - n
		wait := max(millis((1-b.level)/l.Rate), min(millis(b.unmet/l.Rate), maxPollDelay), minRetry)
		g.RetryMillis = wait
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
		b.level += seconds(elapsed) * b.limit.Rate
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
		if idle >= sweepInterval && b.level+seconds(idle)*b.limit.Rate >= a.quota.Depth(b.limit) {
			delete(a.buckets, w)
		}
	}
}

// Len returns the number of buckets.
func (a *Accountant) Len() int { return len(a.buckets) }
