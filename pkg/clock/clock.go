// Package clock provides time in milliseconds and clocks that are passed in as
// an interface, so that all time-dependent decisions can also run in virtual
// time.
package clock

import "time"

// Time is a point on one clock, in milliseconds since that clock's origin.
// Times of two clocks are not comparable.
type Time int64

// Duration is a length of time in milliseconds.
type Duration int64

// Units of Duration.
const (
	Millisecond Duration = 1
	Second               = 1000 * Millisecond
	Minute               = 60 * Second
	Hour                 = 60 * Minute
)

// Add returns t moved by d.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) Duration { return Duration(t - u) }

// Std converts d for use with the standard library.
func (d Duration) Std() time.Duration { return time.Duration(d) * time.Millisecond }

// String formats d as the standard library does, such as "1.5s".
func (d Duration) String() string { return d.Std().String() }

// FromStd converts a standard duration, rounding away from zero to a whole
// millisecond. A negative one stays negative, so that it does not pass as zero.
func FromStd(d time.Duration) Duration {
	if d < 0 {
		return -FromStd(-d)
	}
	return Duration((d + time.Millisecond - 1) / time.Millisecond)
}

// Clock returns the current time.
type Clock interface {
	Now() Time
}

// System is a monotonic clock. Its origin is the time of its creation.
type System struct {
	origin time.Time
}

// NewSystem returns a System clock with the present as its origin.
func NewSystem() *System { return &System{origin: time.Now()} }

// Now returns the time elapsed since the clock was created.
func (s *System) Now() Time { return Time(time.Since(s.origin).Milliseconds()) }
