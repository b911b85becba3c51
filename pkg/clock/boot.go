package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxSkewChange is by how much the difference between the wall clock and the
	// monotonic clock may change before the offset of the boot clock is read again. The
	// end of a suspension changes it by the time of the suspension. A goroutine that is
	// preempted between the readings of both causes a needless reading of the offset.
	maxSkewChange = 500 * time.Microsecond
	// maxOffsetAge is the longest time for which an offset is used. It bounds the error
	// if the wall clock is set back by just the time of a suspension.
	maxOffsetAge = 100 * time.Millisecond
)

// Boot is a monotonic clock that also counts the time during which the machine
// was suspended. Its origin is 1 ms before the machine's boot.
//
// CLOCK_BOOTTIME takes a system call, of which a statement would need two dozen. Boot
// adds the time of suspensions to the monotonic clock, which takes none, and reads
// CLOCK_BOOTTIME again once that time may have changed.
type Boot struct {
	// origin is the time from which the monotonic time is counted.
	origin time.Time
	offset atomic.Pointer[bootOffset]
	// mu is held while the offset is read again.
	mu sync.Mutex
}

// NewBoot returns a Boot clock.
func NewBoot() *Boot { return &Boot{origin: time.Now()} }

// Now returns the time since the clock's origin. It panics if the system has no
// CLOCK_BOOTTIME.
func (b *Boot) Now() Time {
	r := b.read()
	o := b.offset.Load()
	if o == nil || !o.holds(r) {
		r, o = b.update()
	}
	// With the origin before boot, zero is never returned and can mean "never".
	return Time((r.monotonic + o.boot).Milliseconds()) + 1
}

func (b *Boot) read() reading {
	now := time.Now()
	return reading{monotonic: now.Sub(b.origin), wall: time.Duration(now.UnixNano())}
}

// update reads the offset again, and returns it with a reading to which it applies.
func (b *Boot) update() (reading, *bootOffset) {
	b.mu.Lock()
	defer b.mu.Unlock()
	boot := bootTime()
	r := b.read()
	o := b.offset.Load().updated(boot, r)
	b.offset.Store(o)
	return r, o
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// reading is a reading of the monotonic clock and of the wall clock.
type reading struct{ monotonic, wall time.Duration }

// bootOffset is what the monotonic clock lacks to the boot clock. It was read at at.
type bootOffset struct {
	boot time.Duration
	at   reading
}

// holds reports whether the offset still applies to a reading.
func (o *bootOffset) holds(r reading) bool {
	change := (r.wall - r.monotonic) - (o.at.wall - o.at.monotonic)
	return max(change, -change) <= maxSkewChange && r.monotonic-o.at.monotonic <= maxOffsetAge
}

// updated returns the offset after the boot clock was read, and r after that. o is nil
// if there was none before. The difference of both is at most the true offset, which never
// falls, so that the largest one is the closest, and the clock never goes back.
func (o *bootOffset) updated(boot time.Duration, r reading) *bootOffset {
	next := &bootOffset{boot: boot - r.monotonic, at: r}
	if o != nil {
		next.boot = max(next.boot, o.boot)
	}
	return next
}
