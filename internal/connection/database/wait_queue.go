package database

import (
	"slices"
	"time"
)

// waiter is a request that waits for a connection. A nil connection on ready
// permits the request to open one.
type waiter struct {
	class int
	// priority is that of the request's workspace, 0 for the highest and for requests
	// of no workspace. From urgentAt on, it counts as the highest, so that no request is
	// overtaken for its whole time.
	priority int
	urgentAt time.Time
	ready    chan *Conn
	// displaced is set before ready is closed if a request of a higher priority has taken
	// the place in a full queue.
	displaced bool
}

func (w *waiter) priorityAt(now time.Time) int {
	if w.priority > 0 && !now.Before(w.urgentAt) {
		return 0
	}
	return w.priority
}

// waitQueue has the waiting requests of one class, in order of arrival. Those of a higher
// priority are served first. Without workspaces all have the same one, and nothing is
// searched.
type waitQueue struct {
	list []*waiter
	// lower is the number of requests with a priority other than 0.
	lower int
}

func (q *waitQueue) push(w *waiter) {
	q.list = append(q.list, w)
	if w.priority > 0 {
		q.lower++
	}
}

// remove removes a request. It returns false if the request does not wait any more.
func (q *waitQueue) remove(w *waiter) bool {
	i := slices.Index(q.list, w)
	if i < 0 {
		return false
	}
	q.removeAt(i)
	return true
}

func (q *waitQueue) removeAt(i int) *waiter {
	w := q.list[i]
	if i == 0 {
		q.list = q.list[1:]
	} else {
		q.list = slices.Delete(q.list, i, i+1)
	}
	if w.priority > 0 {
		q.lower--
	}
	return w
}

// takeNext removes and returns the request that is served next. The queue must not be
// empty.
func (q *waitQueue) takeNext(now time.Time) *waiter {
	if q.lower == 0 {
		return q.removeAt(0)
	}
	next := 0
	for i, w := range q.list {
		if w.priorityAt(now) < q.list[next].priorityAt(now) {
			next = i
		}
		if q.list[next].priorityAt(now) == 0 {
			break
		}
	}
	return q.removeAt(next)
}

// behind returns how many waiting requests a new one of the given priority overtakes.
func (q *waitQueue) behind(priority int, now time.Time) int {
	if q.lower == 0 {
		return 0
	}
	n := 0
	for _, w := range q.list {
		if w.priorityAt(now) > priority {
			n++
		}
	}
	return n
}

// displace removes and returns the request that would be served last, if a new one of the
// given priority overtakes it, and nil otherwise.
func (q *waitQueue) displace(priority int, now time.Time) *waiter {
	if q.lower == 0 {
		return nil
	}
	last, lowest := -1, priority
	for i, w := range q.list {
		if p := w.priorityAt(now); p > priority && p >= lowest {
			last, lowest = i, p
		}
	}
	if last < 0 {
		return nil
	}
	return q.removeAt(last)
}
