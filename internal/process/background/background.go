// Package background divides long work into pieces, between which a process answers
// statements.
package background

import (
	"runtime"
	"sync/atomic"
	"time"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// maxRest is the longest rest between two pieces. A piece takes 0.1 to 0.2 ms of
// processor time, so that work with such rests takes about 3% of a core, a quarter of
// what the smallest machines have.
const maxRest = 5 * clock.Millisecond

// Schedule decides how long work rests between its pieces, so that it ends within a
// time limit. It is designed for work of 1 to 100 ms of processor time, done every few
// seconds at most.
type Schedule struct {
	// Began is when the work began, and Limit how long it may take.
	Began clock.Time
	Limit clock.Duration
}

// Rest returns how long to rest at a time when done of total units of the work are
// done, the last piece of which had the given size. It returns zero once the work is
// done or late.
func (s Schedule) Rest(now clock.Time, piece, done, total int) clock.Duration {
	left := s.Limit - now.Sub(s.Began)
	if left <= 0 || done >= total || piece <= 0 {
		return 0
	}
	pieces := (total - done + piece - 1) / piece
	return min(left/clock.Duration(pieces), maxRest)
}

// Pause is called after each piece of long work with the size of the piece, what is
// done and the total, all in the same unit. It lets statements run. A nil Pause cannot
// be called; None does nothing.
type Pause func(piece, done, total int)

// None is a Pause for work that delays nobody.
func None(_, _, _ int) {}

// Pacer hands out pauses for the long work of a process. It is safe for concurrent use.
// A nil Pacer hands out pauses without rests.
type Pacer struct {
	serving atomic.Bool
}

// SetServing makes work rest between its pieces from now on. Before, callers wait for
// the work of a process that starts.
func (p *Pacer) SetServing() {
	if p != nil {
		p.serving.Store(true)
	}
}

// Begin returns a Pause for work that begins now and has to end within limit. The pause
// yields the processor, and rests if the process serves callers.
func (p *Pacer) Begin(limit clock.Duration) Pause {
	c := clock.NewSystem()
	s := Schedule{Began: c.Now(), Limit: limit}
	return func(piece, done, total int) {
		if p == nil || !p.serving.Load() {
			runtime.Gosched()
			return
		}
		if rest := s.Rest(c.Now(), piece, done, total); rest > 0 {
			time.Sleep(rest.Std())
			return
		}
		runtime.Gosched()
	}
}
