// Package freshness decides whether the configuration that a process has in force is
// proved to be new enough for a caller's key to be taken for valid, and whom the process
// asks for the next proof. It answers the load of one check for each statement and of one
// question in flight for each process. It opens no socket and reads no clock.
package freshness

import (
	"sync"
	"sync/atomic"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Margin is the part of the limit that is left for the granularity of clocks, up to 1 ms
// for each process that passes a proof on, and for clocks of different speed.
const Margin = 100 * clock.Millisecond

const (
	// answerTime is how long after a question its answer is expected.
	answerTime = 50 * clock.Millisecond
	// maxRetryAfter is what a refused caller is told at most, and also while no
	// question is scheduled.
	maxRetryAfter = 1000 * clock.Millisecond
)

// State is what is proved, and what is in force.
type State struct {
	// At is the time up to which the configuration in force is proved to be the
	// newest, zero if it never was.
	At clock.Time
	// Table is the version of the configuration table whose changes are all in force,
	// and Newest that of its newest row, or a higher one if that is not known.
	Table, Newest store.Version
}

// Proof records up to which time the configuration in force is proved to be the newest.
// It is safe for concurrent use. Admits loads one pointer.
type Proof struct {
	maxAge  clock.Duration
	created clock.Time

	// mu is held while state is replaced.
	mu    sync.Mutex
	state atomic.Pointer[State]
	// next is when the next question is sent, zero if that is not known.
	next     atomic.Int64
	refusals atomic.Uint64
}

// NewProof returns a Proof that admits nothing yet. limit is the time within which a
// removed key must have stopped working.
func NewProof(limit clock.Duration, now clock.Time) *Proof {
	p := &Proof{maxAge: limit - Margin, created: now}
	p.state.Store(&State{})
	return p
}

// State returns what is proved and in force, of one moment.
func (p *Proof) State() State { return *p.state.Load() }

// Proved reports whether there ever was a proof.
func (p *Proof) Proved() bool { return p.state.Load().At != 0 }

// Admits reports whether a statement may run whose last byte had arrived before the time
// c was read. The caller must load the configuration after this call, so that it is at
// least as new as what was proved.
func (p *Proof) Admits(c clock.Time) bool {
	s := p.state.Load()
	return s.At != 0 && c.Sub(s.At) <= p.maxAge
}

// MaxAge returns the age up to which statements are admitted.
func (p *Proof) MaxAge() clock.Duration { return p.maxAge }

// Age returns the age of the proof at a time, or the time since the creation of p if there
// was none.
func (p *Proof) Age(now clock.Time) clock.Duration {
	at := p.state.Load().At
	if at == 0 {
		at = p.created
	}
	return max(now.Sub(at), 0)
}

// RetryAfter returns after how long a refused caller may expect the next proof.
func (p *Proof) RetryAfter(now clock.Time) clock.Duration {
	after := clock.Time(p.next.Load()).Add(answerTime).Sub(now)
	if after <= 0 {
		return maxRetryAfter
	}
	return min(after, maxRetryAfter)
}

// Expect records when the next question is sent.
func (p *Proof) Expect(at clock.Time) { p.next.Store(int64(at)) }

// CountRefusal counts a statement that was refused because the proof was too old.
func (p *Proof) CountRefusal() { p.refusals.Add(1) }

// Refusals returns how many statements were refused.
func (p *Proof) Refusals() uint64 { return p.refusals.Load() }

// Apply records that all changes of the configuration table up to the version of changes
// are in force. It must be called only after they are. Changes of an earlier era are
// ignored. A later era begins with its whole table, or with what differs from the one
// before.
func (p *Proof) Apply(changes store.Changes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := *p.state.Load()
	switch {
	case changes.Era < next.Table.Era:
		return
	case changes.Era > next.Table.Era && !changes.Whole && changes.Base == nil:
		return
	case changes.Era > next.Table.Era:
		next.Newest = store.Version{Era: changes.Era}
	}
	if changes.Base != nil {
		// The rows that are as they were in the era before have versions that are not
		// known.
		next.Newest = store.Latest(next.Newest, changes.Version)
	}
	next.Table = store.Latest(next.Table, changes.Version)
	for _, r := range changes.Rows {
		if r.Era == changes.Era {
			next.Newest = store.Latest(next.Newest, r.Version)
		}
	}
	next.Table = store.Latest(next.Table, next.Newest)
	p.state.Store(&next)
}

// Outcome tells what an answer has proved.
type Outcome uint8

const (
	// Proved means that the proof is younger now.
	Proved Outcome = iota
	// NotNewer means that the proof was as young before.
	NotNewer
	// NotInForce means that the answer is about changes that are not in force yet.
	NotInForce
	// EarlierEra means that the answer is of an era before that of the configuration
	// in force.
	EarlierEra
)

// Prove records that at the time at, the configuration table had no row newer than the
// given version. That counts only if all changes up to the version are in force, in the
// same era.
func (p *Proof) Prove(at clock.Time, newest store.Version) Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state.Load()
	switch {
	case newest.Era < s.Table.Era:
		return EarlierEra
	case s.Table.Era == 0 || s.Table.Before(newest):
		return NotInForce
	case at <= s.At:
		return NotNewer
	}
	next := *s
	next.At = at
	p.state.Store(&next)
	return Proved
}
