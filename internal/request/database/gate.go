package database

import (
	"context"
	"sync"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Gate holds back new writes of a group while an operator moves its primary,
// and counts those that run.
type Gate struct {
	mu      sync.Mutex
	until   clock.Time
	running int
	changed chan struct{}
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{changed: make(chan struct{})} }

// Enter waits until writes may begin and counts one more. It returns the
// context's error if that ends first.
func (g *Gate) Enter(ctx context.Context, c clock.Clock) error {
	for {
		g.mu.Lock()
		left := g.until.Sub(c.Now())
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

// Leave counts a write that has ended.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.signal()
}

// Pause holds back new writes until a time, after which they begin by
// themselves.
func (g *Gate) Pause(until clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.until = until
}

// Resume lets writes begin.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.until = 0
	g.signal()
}

func (g *Gate) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Running returns how many writes and transactions run.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// AwaitIdle waits until no write runs. It returns how many still do when
// the context ends.
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
