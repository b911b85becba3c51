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
	clock clock.Clock
	done  chan struct{}
	ended chan struct{}

	mu   sync.Mutex
	rows map[Tickable]struct{}
}

// NewTickScheduler starts a registry without rows.
func NewTickScheduler(c clock.Clock) *TickScheduler {
	r := &TickScheduler{clock: c, done: make(chan struct{}), ended: make(chan struct{}), rows: make(map[Tickable]struct{})}
	go r.run()
	return r
}

// Add starts to tick a row.
func (r *TickScheduler) Add(row Tickable) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows[row] = struct{}{}
}

// Remove stops ticking a row.
func (r *TickScheduler) Remove(row Tickable) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.rows, row)
}

func (r *TickScheduler) run() {
	defer close(r.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var rows []Tickable
	for {
		select {
		case <-ticker.C:
		case <-r.done:
			return
		}
		rows = r.snapshot(rows[:0])
		now := r.clock.Now()
		for _, row := range rows {
			row.Tick(now)
		}
	}
}

func (r *TickScheduler) snapshot(rows []Tickable) []Tickable {
	r.mu.Lock()
	defer r.mu.Unlock()
	for row := range r.rows {
		rows = append(rows, row)
	}
	return rows
}

// Close stops ticking.
func (r *TickScheduler) Close() {
	close(r.done)
	<-r.ended
}
