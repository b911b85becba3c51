package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The clock follows CLOCK_BOOTTIME and never goes back. An offset that was read too late
// or is replaced by a lower one would break either.
func TestBootFollowsTheBootClock(t *testing.T) {
	b := NewBoot()
	last, exact := Time(0), false
	for began := time.Now(); time.Since(began) < 3*maxOffsetAge; {
		before := bootTime()
		now := b.Now()
		after := bootTime()
		require.GreaterOrEqual(t, now, last)
		require.LessOrEqual(t, now, Time(after.Milliseconds())+1)
		// A goroutine that is preempted during update makes the clock late until the next one.
		exact = exact || now >= Time(before.Milliseconds())
		last = now
	}
	require.True(t, exact)
}

// A suspension, which the monotonic clock does not count, is noticed at the next reading
// by the wall clock, and without it after maxOffsetAge.
func TestBootOffsetNoticesSuspensions(t *testing.T) {
	const (
		start = 5 * time.Second
		slept = 3 * time.Second
	)
	o := (*bootOffset)(nil).updated(start, reading{monotonic: start, wall: 100 * time.Second})
	require.Zero(t, o.boot)
	later := reading{monotonic: start + time.Millisecond, wall: 100*time.Second + time.Millisecond}
	require.True(t, o.holds(later))
	resumed := reading{monotonic: later.monotonic, wall: later.wall + slept}
	require.False(t, o.holds(resumed))
	o = o.updated(resumed.monotonic+slept, resumed)
	require.Equal(t, slept, o.boot)
	require.True(t, o.holds(resumed))

	old := reading{monotonic: resumed.monotonic + maxOffsetAge + 1, wall: resumed.wall + maxOffsetAge + 1}
	require.False(t, o.holds(old))
}

// The wall clock being set, or a preempted reading, changes nothing: the offset only grows.
func TestBootOffsetNeverFalls(t *testing.T) {
	o := (*bootOffset)(nil).updated(9*time.Second, reading{monotonic: 5 * time.Second, wall: time.Hour})
	require.Equal(t, 4*time.Second, o.boot)
	set := reading{monotonic: 6 * time.Second, wall: time.Minute}
	require.False(t, o.holds(set))
	preempted := reading{monotonic: set.monotonic + 50*time.Millisecond, wall: set.wall + 50*time.Millisecond}
	o = o.updated(set.monotonic+4*time.Second, preempted)
	require.Equal(t, 4*time.Second, o.boot)
	require.True(t, o.holds(preempted))
}

func BenchmarkBootNow(b *testing.B) {
	c := NewBoot()
	for b.Loop() {
		c.Now()
	}
}
