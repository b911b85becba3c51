package database

import (
	"context"
	"sync"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Gate blocks new writes of a group while an operator moves its primary, and
// counts the running ones. A transaction counts as one write until it ends.
type Gate struct {
	mu          sync.Mutex
	pausedUntil clock.Time
	running     int
	// changed is closed and replaced to wake all waiters.
	changed chan struct{}
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{changed: make(chan struct{})} }

// Enter waits until new writes are no longer blocked and counts one as running.
// It returns the context's error if the context ends first. Each Enter that
// succeeds needs one Leave.
func (g *Gate) Enter(ctx context.Context, c clock.Clock) error {
	for {
		g.mu.Lock()
		left := g.pausedUntil.Sub(c.Now())
		if left <= 0 {
			g.running++
			g.mu.Unlock()
			return nil
		}
		changed := g.changed
		g.mu.Unlock()
		wait, cancel := context.WithTimeout(ctx, left.Std())
		select {
		case <-changed:
		case <-wait.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// Leave ends a write that was counted by Enter.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.notifyLocked()
}

// Pause blocks new writes until the given time, after which they start without a
// call of Resume.
func (g *Gate) Pause(until clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pausedUntil = until
}

// Resume lets blocked writes start at once.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pausedUntil = 0
	g.notifyLocked()
}

// notifyLocked wakes all waiters, which then check the state again.
func (g *Gate) notifyLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Running returns the number of running writes.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// AwaitIdle waits until no write runs and returns 0. If the context ends
// first, it returns the number of writes that still run.
func (g *Gate) AwaitIdle(ctx context.Context) int {
	for {
		g.mu.Lock()
		running, changed := g.running, g.changed
		g.mu.Unlock()
		if running == 0 {
			return 0
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return running
		}
	}
}
