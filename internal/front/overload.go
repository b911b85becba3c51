package front

import "github.com/oleanderflow/oleanderflow/pkg/clock"

const (
	// strainedAbove is the smoothed timer delay, in ms, above which the process
	// stops serving requests for other proxies.
	strainedAbove = 25.0
	// recoveredBelow is the smoothed timer delay, in ms, below which it starts
	// to serve them again, but not before minStrainedTime has passed.
	recoveredBelow  = 8.0
	minStrainedTime = 2 * clock.Second
	// smoothingWeight is the weight of a new measurement in the moving average.
	smoothingWeight = 0.3
)

// strainDetector detects from late timers that the process gets too little
// processor time. With it, a machine that becomes slow while it is a home proxy
// of a group stops serving requests for others.
type strainDetector struct {
	delay       float64
	active      bool
	activeSince clock.Time
}

// observe records the delay of a timer. It returns whether the process is
// short of processor time, and whether this has changed.
func (s *strainDetector) observe(now clock.Time, late clock.Duration) (strained, changed bool) {
	s.delay += smoothingWeight * (float64(late) - s.delay)
	switch {
	case !s.active && s.delay > strainedAbove:
		s.active, s.activeSince = true, now
		return true, true
	case s.active && s.delay < recoveredBelow && now.Sub(s.activeSince) >= minStrainedTime:
		s.active = false
		return false, true
	}
	return s.active, false
}
