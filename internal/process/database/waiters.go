package database

import (
	"container/heap"

	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// CommitOutcome is what became of a commit that waited for its acknowledgement.
type CommitOutcome uint8

// The verdicts on a commit.
const (
	// CommitConfirmed: any promotion's fence set holds the commit.
	CommitConfirmed CommitOutcome = iota + 1
	// CommitLost: the commit's term ended without it.
	CommitLost
)

// CommitRelease tells a waiter its verdict.
type CommitRelease struct {
	Waiter  uint64
	Outcome CommitOutcome
}

type waiter struct {
	id       uint64
	position position.Position
	index    int
}

// Waiters holds commits until their positions are confirmed.
type Waiters struct {
	queue waiterHeap
	byID  map[uint64]*waiter
}

// NewWaiters returns an empty table.
func NewWaiters() *Waiters { return &Waiters{byID: make(map[uint64]*waiter)} }

// Add holds a commit at p.
func (w *Waiters) Add(id uint64, p position.Position) {
	item := &waiter{id: id, position: p}
	w.byID[id] = item
	heap.Push(&w.queue, item)
}

// Remove drops a waiter that has given up.
func (w *Waiters) Remove(id uint64) {
	if item, ok := w.byID[id]; ok {
		heap.Remove(&w.queue, item.index)
		delete(w.byID, id)
	}
}

// Len returns how many commits wait.
func (w *Waiters) Len() int { return len(w.queue) }

// release appends to dst all waiters confirmed by a majority's log up to p.
func (w *Waiters) confirm(p position.Position, dst []CommitRelease) []CommitRelease {
	for len(w.queue) > 0 && w.queue[0].position.Term == p.Term && p.AtLeast(w.queue[0].position) {
		dst = w.pop(dst, CommitConfirmed)
	}
	return dst
}

// settle moves the waiters of earlier terms to the promotion point of a new
// term, where it contains them. Those it does not contain are lost.
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

// containsAcross reports whether the promotion point start of a term is
// known to contain p of an earlier term. Across more than one promotion it is
// not known.
func promotionContains(start, p position.Position) bool {
	return p.Term+1 == start.Term && p.Offset < start.Offset
}

func (w *Waiters) pop(dst []CommitRelease, v CommitOutcome) []CommitRelease {
	item := heap.Pop(&w.queue).(*waiter)
	delete(w.byID, item.id)
	return append(dst, CommitRelease{Waiter: item.id, Outcome: v})
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
