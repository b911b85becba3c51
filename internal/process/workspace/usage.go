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

// average is an exponentially weighted average of events a second.
type average struct {
	value float64
	at    clock.Time
}

func (a *average) decay(now clock.Time) {
	if elapsed := now.Sub(a.at); elapsed > 0 {
		a.value *= math.Exp(-seconds(elapsed) / seconds(usualSpan))
	}
	a.at = max(a.at, now)
}

func (a *average) add(now clock.Time) { a.addN(now, 1) }

func (a *average) addN(now clock.Time, n float64) {
	a.decay(now)
	a.value += n / seconds(usualSpan)
}

func (a *average) perSecond(now clock.Time) float64 {
	a.decay(now)
	return a.value
}
