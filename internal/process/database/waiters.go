package database

import (
	"container/heap"

	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// CommitOutcome tells whether a waiting commit may be acknowledged. The zero
// value means that this is not known yet.
type CommitOutcome uint8

// The outcomes of a commit.
const (
	// CommitConfirmed means that the commit may be acknowledged. With
	// DurabilityGroup, every majority then contains a database with the
	// commit, so that any promotion keeps it.
	CommitConfirmed CommitOutcome = iota + 1
	// CommitLost means that the commit's term ended and the commit is not
	// known to be in the next one.
	CommitLost
)

// CommitRelease is the outcome of one waiting commit.
type CommitRelease struct {
	// Waiter is the id under which the commit was registered.
	Waiter  uint64
	Outcome CommitOutcome
}

type waiter struct {
	id       uint64
	position position.Position
	index    int
}

// Waiters holds commits, ordered by position, until their outcome is known.
type Waiters struct {
	queue waiterHeap
	byID  map[uint64]*waiter
}

// NewWaiters returns an empty set of waiters.
func NewWaiters() *Waiters { return &Waiters{byID: make(map[uint64]*waiter)} }

// Add adds a commit at p under id.
func (w *Waiters) Add(id uint64, p position.Position) {
	item := &waiter{id: id, position: p}
	w.byID[id] = item
	heap.Push(&w.queue, item)
}

// Remove removes the commit with id, if it still waits.
func (w *Waiters) Remove(id uint64) {
	if item, ok := w.byID[id]; ok {
		heap.Remove(&w.queue, item.index)
		delete(w.byID, id)
	}
}

// Len returns the number of waiting commits.
func (w *Waiters) Len() int { return len(w.queue) }

// confirm removes the commits of p's term at or before p, which a majority has
// received, and appends them to dst.
func (w *Waiters) confirm(p position.Position, dst []CommitRelease) []CommitRelease {
	for len(w.queue) > 0 && w.queue[0].position.Term == p.Term && p.AtLeast(w.queue[0].position) {
		dst = w.pop(dst, CommitConfirmed)
	}
	return dst
}

// advanceTerm handles the start of a new term at the promotion point start.
// Commits of earlier terms that start contains are moved to start; the others
// are appended to dst as lost.
func (w *Waiters) advanceTerm(start position.Position, dst []CommitRelease) []CommitRelease {
	for len(w.queue) > 0 && w.queue[0].position.Term < start.Term {
		item := w.queue[0]
		if !promotionContains(start, item.position) {
			dst = w.pop(dst, CommitLost)
			continue
		}
		item.position = start
		heap.Fix(&w.queue, 0)
	}
	return dst
}

// promotionContains reports whether the promotion point start of a term is
// known to contain position p of an earlier term. Only the directly preceding
// term can be compared: across more than one promotion it is not known.
func promotionContains(start, p position.Position) bool {
	return p.Term+1 == start.Term && p.Offset < start.Offset
}

func (w *Waiters) pop(dst []CommitRelease, outcome CommitOutcome) []CommitRelease {
	item := heap.Pop(&w.queue).(*waiter)
	delete(w.byID, item.id)
	return append(dst, CommitRelease{Waiter: item.id, Outcome: outcome})
}

type waiterHeap []*waiter

func (q waiterHeap) Len() int           { return len(q) }
func (q waiterHeap) Less(i, j int) bool { return q[i].position.Compare(q[j].position) < 0 }
func (q waiterHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waiterHeap) Push(x any) {
	item := x.(*waiter)
	item.index = len(*q)
	*q = append(*q, item)
}

// Pop implements heap.Interface.
func (q *waiterHeap) Pop() any {
	old := *q
	item := old[len(old)-1]
	*q = old[:len(old)-1]
	return item
}
