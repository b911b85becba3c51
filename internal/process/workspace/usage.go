package workspace

import (
	"math"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// usageSlots and usageSlot divide the last second, over which use is counted.
	usageSlots = 8
	usageSlot  = 125 * clock.Millisecond
	// usualSpan is the time over which usual demand is averaged.
	usualSpan = 20 * clock.Second
)

// usage counts events of the last second.
type usage struct {
	counts [usageSlots]uint32
	last   int64
}

func (u *usage) advance(now clock.Time) {
	slot := int64(now) / int64(usageSlot)
	if slot-u.last >= usageSlots {
		u.counts, u.last = [usageSlots]uint32{}, slot
	}
	for u.last < slot {
		u.last++
		u.counts[u.last%usageSlots] = 0
	}
}

func (u *usage) add(now clock.Time) {
	u.advance(now)
	u.counts[u.last%usageSlots]++
}

// perSecond returns the number of events of the last second. If those of the last
// quarter come faster than that, as after a jump in demand, their rate counts.
func (u *usage) perSecond(now clock.Time) float64 {
	u.advance(now)
	sum, recent := uint32(0), uint32(0)
	for i, n := range u.counts {
		sum += n
		if age := (u.last - int64(i)) % usageSlots; age == 0 || age == 1 {
			recent += n
		}
	}
	if recent < minRecent {
		return float64(sum)
	}
	return max(float64(sum), float64(recent)*usageSlots/2)
}

// minRecent is the least number of events of a quarter of a second that say something
// about the rate: fewer come together by chance.
const minRecent = 8

// average is an exponentially weighted average of events a second. Until usualSpan has
// passed since the first event, it is that of the time since then: at first, the weights
// of a plain one sum to little.
type average struct {
	sum float64
	// weight is the sum of the weights of the time since the first event.
	weight float64
	at     clock.Time
}

// minWeight is the least weight that an average is divided by, that of a second. A few
// events that come together at first are not usual.
const minWeight = 0.05

func (a *average) decay(now clock.Time) {
	if a.weight == 0 {
		a.weight, a.at = math.SmallestNonzeroFloat64, now
	}
	if elapsed := now.Sub(a.at); elapsed > 0 {
		kept := math.Exp(-seconds(elapsed) / seconds(usualSpan))
		a.sum *= kept
		a.weight = 1 - (1-a.weight)*kept
		a.at = now
	}
}

func (a *average) add(now clock.Time) { a.addN(now, 1) }

func (a *average) addN(now clock.Time, n float64) {
	a.decay(now)
	a.sum += n / seconds(usualSpan)
}

// skip leaves the time since the last event out.
func (a *average) skip(now clock.Time) { a.at = max(a.at, now) }

func (a *average) perSecond(now clock.Time) float64 {
	a.decay(now)
	return a.value()
}

// value returns the average as of the last event.
func (a *average) value() float64 { return a.sum / max(a.weight, minWeight) }
