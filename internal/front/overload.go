package front

import "github.com/oleanderflow/oleanderflow/pkg/clock"

const (
	// overloadedAbove is the smoothed timer delay, in ms, above which the
	// process stops serving requests for other proxies.
	overloadedAbove = 25.0
	// recoveredBelow is the smoothed timer delay, in ms, below which it starts
	// to serve them again, but not before minOverloadedTime has passed.
	recoveredBelow    = 8.0
	minOverloadedTime = 2 * clock.Second
	// smoothingWeight is the weight of a new measurement in the moving average.
	smoothingWeight = 0.3
)

// overloadDetector detects from late timers that the process gets too little
// processor time. A home proxy that becomes slow then stops serving the
// requests of other proxies.
type overloadDetector struct {
	delay       float64
	active      bool
	activeSince clock.Time
}

// observe records how late a timer was. It returns whether the process is short
// of processor time, and whether this has changed.
func (d *overloadDetector) observe(now clock.Time, late clock.Duration) (overloaded, changed bool) {
	d.delay += smoothingWeight * (float64(late) - d.delay)
	switch {
	case !d.active && d.delay > overloadedAbove:
		d.active, d.activeSince = true, now
		return true, true
	case d.active && d.delay < recoveredBelow && now.Sub(d.activeSince) >= minOverloadedTime:
		d.active = false
		return false, true
	}
	return d.active, false
}
