package front

import "github.com/oleanderflow/oleanderflow/pkg/clock"

const (
	// strainedAbove is how late the process's own timers may fire, smoothed and
	// in ms, before it stops serving requests for others.
	strainedAbove = 25.0
	// relaxedBelow is how late they may fire for it to begin again, in ms, once
	// strainRest has passed.
	relaxedBelow = 8.0
	strainRest   = 2 * clock.Second
	// strainWeight is the share of a new measurement in the smoothed one.
	strainWeight = 0.3
)

// strain tells from late timers that the process gets too little processor
// time. It answers machines that turn slow while they are homes of a group.
type strain struct {
	late  float64
	on    bool
	since clock.Time
}

// observe takes in how late a timer was. It returns whether the process is
// short of processor time, and whether that has changed.
func (s *strain) observe(now clock.Time, late clock.Duration) (strained, changed bool) {
	s.late += strainWeight * (float64(late) - s.late)
	switch {
	case !s.on && s.late > strainedAbove:
		s.on, s.since = true, now
		return true, true
	case s.on && s.late < relaxedBelow && now.Sub(s.since) >= strainRest:
		s.on = false
		return false, true
	}
	return s.on, false
}
