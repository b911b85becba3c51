package database

import (
	"sync"
	"time"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// tickInterval is the time between two rounds of ticks.
const tickInterval = 20 * time.Millisecond

// Tickable does periodic work.
type Tickable interface {
	// Tick does the work that is due at now.
	Tick(now clock.Time)
}

// TickScheduler calls Tick on all registered items at a fixed interval, one
// after the other. It does not hold its mutex while it calls them.
type TickScheduler struct {
	clock   clock.Clock
	stop    chan struct{}
	stopped chan struct{}

	mu    sync.Mutex
	items map[Tickable]struct{}
}

// NewTickScheduler starts a scheduler without items.
func NewTickScheduler(c clock.Clock) *TickScheduler {
	s := &TickScheduler{clock: c, stop: make(chan struct{}), stopped: make(chan struct{}), items: make(map[Tickable]struct{})}
	go s.run()
	return s
}

// Add starts ticking item.
func (s *TickScheduler) Add(item Tickable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items[item] = struct{}{}
}

// Remove stops ticking item. A round of ticks that has begun may still tick it
// once.
func (s *TickScheduler) Remove(item Tickable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, item)
}

func (s *TickScheduler) run() {
	defer close(s.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var items []Tickable
	for {
		select {
		case <-ticker.C:
		case <-s.stop:
			return
		}
		items = s.snapshot(items[:0])
		now := s.clock.Now()
		for _, item := range items {
			item.Tick(now)
		}
	}
}

func (s *TickScheduler) snapshot(items []Tickable) []Tickable {
	s.mu.Lock()
	defer s.mu.Unlock()
	for item := range s.items {
		items = append(items, item)
	}
	return items
}

// Close stops the scheduler and waits for the current round of ticks to end.
func (s *TickScheduler) Close() {
	close(s.stop)
	<-s.stopped
}
