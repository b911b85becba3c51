package clock

import (
	"golang.org/x/sys/unix"
)

// Boot is a monotonic clock that also counts the time during which the machine
// was suspended. Its origin is 1 ms before the machine's boot.
type Boot struct{}

// NewBoot returns a Boot clock.
func NewBoot() *Boot { return &Boot{} }

// Now returns the time since the clock's origin. It panics if the system has no
// CLOCK_BOOTTIME.
func (*Boot) Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	// With the origin before boot, zero is never returned and can mean "never".
	return Time(ts.Nano()/1e6) + 1
}
