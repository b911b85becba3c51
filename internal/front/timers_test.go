package front

import (
	"context"
	"sync"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// at returns a version of the store's first era.
func at(number uint64) store.Version { return store.Version{Era: store.FirstEra, Number: number} }

// manualClock is a clock that only Advance moves, so that no load on the machine
// can make a wait end early or late.
type manualClock struct {
	mu      sync.Mutex
	now     clock.Time
	pending []manualTimer
	started int
}

type manualTimer struct {
	at   clock.Time
	fire func()
}

func newManualClock() *manualClock { return &manualClock{now: 1_000_000} }

// Now implements clock.Clock.
func (c *manualClock) Now() clock.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock and ends the waits that are due.
func (c *manualClock) Advance(d clock.Duration) {
	c.mu.Lock()
	c.now = c.now.Add(d)
	var due []func()
	kept := c.pending[:0]
	for _, timer := range c.pending {
		if timer.at <= c.now {
			due = append(due, timer.fire)
		} else {
			kept = append(kept, timer)
		}
	}
	c.pending = kept
	c.mu.Unlock()
	for _, fire := range due {
		fire()
	}
}

func (c *manualClock) add(d clock.Duration, fire func()) {
	c.mu.Lock()
	at := c.now.Add(d)
	due := at <= c.now
	if !due {
		c.pending = append(c.pending, manualTimer{at: at, fire: fire})
	}
	c.mu.Unlock()
	if due {
		fire()
	}
}

// waits returns how many calls of WaitOrTimeout have begun.
func (c *manualClock) waits() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

// WaitOrTimeout implements timers.
func (c *manualClock) WaitOrTimeout(ch <-chan struct{}, d clock.Duration) bool {
	timeout := make(chan struct{})
	c.add(d, func() { close(timeout) })
	c.mu.Lock()
	c.started++
	c.mu.Unlock()
	select {
	case <-ch:
		return true
	case <-timeout:
		return false
	}
}

// WithTimeout implements timers. The context ends with a cause of
// context.DeadlineExceeded.
func (c *manualClock) WithTimeout(d clock.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.Background())
	c.add(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() { cancel(context.Canceled) }
}
