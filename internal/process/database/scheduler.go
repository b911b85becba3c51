package database

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
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

	mu sync.Mutex
	// log is where the panics of ticks are logged.
	log   *zap.Logger
	items map[Tickable]struct{}
}

// NewTickScheduler starts a scheduler without items.
func NewTickScheduler(c clock.Clock) *TickScheduler {
	s := &TickScheduler{log: zap.NewNop(), clock: c, stop: make(chan struct{}), stopped: make(chan struct{}), items: make(map[Tickable]struct{})}
	go s.run()
	return s
}

// SetLog sets where the panics of ticks are logged. An item whose tick panics is
// ticked again in the next round.
func (s *TickScheduler) SetLog(log *zap.Logger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = log
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
		var log *zap.Logger
		items, log = s.snapshot(items[:0])
		now := s.clock.Now()
		for _, item := range items {
			contain.Run(log, "tick", func() { item.Tick(now) })
		}
	}
}

func (s *TickScheduler) snapshot(items []Tickable) ([]Tickable, *zap.Logger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for item := range s.items {
		items = append(items, item)
	}
	return items, s.log
}

// Close stops the scheduler and waits for the current round of ticks to end.
func (s *TickScheduler) Close() {
	close(s.stop)
	<-s.stopped
}
