package workspace

import (
	"math"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

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
	// gatedShare is the share of a bucket's depth that is there only while the accountant
	// is known to reach nearly all proxies, and reachShare the share of the depth below
	// which that is found out. Between both lies the round trip of a round.
	gatedShare = 0.5
	reachShare = 0.65
	// partShare is the share of the rate that a part of a divided network may run, for
	// each of its proxies. It is more than their usual demand, of which reserves are a
	// share.
	partShare = 0.75
)

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
	// usual is the average of the tokens granted, and told the usual demand that an
	// earlier accountant has told the asking proxies.
	usual average
	told  float64
	// deputy is set if this proxy is not the first accountant.
	deputy bool
}

// grant takes up to want tokens from the bucket, after it takes back those that are not
// used. It returns the time after which there is capacity, if there are fewer.
func (b *bucket) grant(a *Accountant, now clock.Time, want, unused float64) (tokens float64, retry clock.Duration) {
	b.refill(a, now)
	back := b.takeBack(a, now, unused)
	gate := b.gate(a, now)
	usable := b.level - gate
	tokens = max(math.Floor(min(want, usable)), 0)
	b.level -= tokens
	b.granted[b.lastSlot%slotCount] += tokens
	if cut := a.reach.CutOff(now); cut.Known && !cut.Reached {
		// What is granted to a part of the network is not what is usual.
		b.usual.skip(now)
	} else {
		b.usual.addN(now, tokens-min(back, tokens))
	}
	b.unmet *= math.Exp(-seconds(now.Sub(b.unmetAt)) / seconds(unmetDecay))
	b.unmetAt = now
	if tokens >= want {
		return tokens, 0
	}
	if gate > 0 && b.level >= 1 {
		// The round that is under way takes a round trip.
		return tokens, minRetry
	}
	b.unmet++
	retry = max(min(clock.Duration(b.unmet*float64(pollSpacing)), maxPollDelay), minRetry)
	if left := usable - tokens; left < 1 {
		retry = max(retry, min(millis((1-left)/max(b.fillRate(a, now), minFillRate)), maxRetry))
	}
	return tokens, retry
}

const (
	// minFillRate and maxRetry bound the time that is stated while nothing fills a bucket.
	minFillRate = 0.1
	maxRetry    = 10 * clock.Second
)

// gate returns the part of the bucket that must not be granted now, because it is unknown
// whether the accountant reaches nearly all proxies.
func (b *bucket) gate(a *Accountant, now clock.Time) float64 {
	depth := a.quota.Depth(b.limit)
	a.reachNeeded = a.reachNeeded || b.level < reachShare*depth
	if a.reach.CutOff(now).Known {
		return 0
	}
	return gatedShare * depth
}

// depth returns how many tokens there may be in the bucket and under way. Unless the
// accountant reaches nearly all proxies, others may be granted tokens by a deputy, or use
// their reserves.
func (b *bucket) depth(a *Accountant, now clock.Time) float64 {
	depth := a.quota.Depth(b.limit)
	switch cut := a.reach.CutOff(now); {
	case !cut.Known || cut.Reached:
		return depth
	case cut.Majority:
		return max(depth*gatedShare, 1)
	default:
		return max(depth*gatedShare*(1-cut.High), 1)
	}
}

// fillRate returns the tokens a second that come in: the rate less what the proxies that
// are cut off may be running, or, if most are cut off, the others' part of it. Parts are
// taken of the rate and not of the usual demand, which is not known before a workspace
// has been in use for a while, and not while nothing could be admitted.
func (b *bucket) fillRate(a *Accountant, now clock.Time) float64 {
	rate := b.limit.Rate
	cut := a.reach.CutOff(now)
	if !cut.Majority {
		return partShare * rate * (1 - cut.High)
	}
	return rate * (1 - cut.High*partShare)
}

// usualRate returns the usual demand as far as it is known.
func (b *bucket) usualRate(now clock.Time) float64 {
	usual := b.usual.value()
	if b.deputy || now.Sub(b.from) < usualSpan {
		usual = max(usual, b.told)
	}
	return min(usual, b.limit.Rate)
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
	b.capLevel(a, now)
}

func (b *bucket) capLevel(a *Accountant, now clock.Time) {
	b.level = min(b.level, max(b.depth(a, now)-b.underWay(a), 0))
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

// takeBack puts up to n tokens back that were granted recently and will not be used. It
// returns their number.
func (b *bucket) takeBack(a *Accountant, now clock.Time, n float64) float64 {
	left := n
	for i := int64(0); i < slotCount && left > 0 && b.lastSlot >= i; i++ {
		slot := &b.granted[(b.lastSlot-i)%slotCount]
		back := min(*slot, left)
		*slot -= back
		b.level += back
		left -= back
	}
	b.capLevel(a, now)
	return n - left
}
