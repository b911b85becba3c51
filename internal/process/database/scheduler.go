package database

import (
	"sync"
	"time"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// tickInterval is the time between two looks at the tables.
const tickInterval = 20 * time.Millisecond

// Tickable is a row whose time is advanced regularly.
type Tickable interface {
	Tick(now clock.Time)
}

// TickScheduler advances the time of all monitors and watches of a process. Its
// mutex is released before a row is ticked.
type TickScheduler struct {
	clock   clock.Clock
	stop    chan struct{}
	stopped chan struct{}

	mu    sync.Mutex
	items map[Tickable]struct{}
}

// NewTickScheduler starts a registry without rows.
func NewTickScheduler(c clock.Clock) *TickScheduler {
	s := &TickScheduler{clock: c, stop: make(chan struct{}), stopped: make(chan struct{}), items: make(map[Tickable]struct{})}
	go s.run()
	return s
}

// Add starts to tick a row.
func (s *TickScheduler) Add(item Tickable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items[item] = struct{}{}
}

// Remove stops ticking a row.
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

// Close stops ticking.
func (s *TickScheduler) Close() {
	close(s.stop)
	<-s.stopped
}
