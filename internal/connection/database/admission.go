package database

import "github.com/oleanderflow/oleanderflow/pkg/clock"

// Class is how requests of one kind are admitted. Classes that come first
// are served first.
type Class struct {
	Name string
	// Reserved is the share of the connections, in percent, that other
	// classes cannot take.
	Reserved int
}

// Admission decides which class may take a connection, and whether a request
// has a chance to get one in time. It keeps no requests itself.
type Admission struct {
	limit    int
	maxQueue int
	classes  []Class
	lent     []int
	queued   []int
	// held is the average time for which a connection is lent, in
	// milliseconds.
	held float64
}

// holdWeight is the weight of one more observation in the average.
const holdWeight = 0.05

// NewAdmission returns the admission to limit connections with queues of at
// most maxQueue for each class. The last class is that of requests which no
// other class claims.
func NewAdmission(limit, maxQueue int, classes []Class) *Admission {
	return &Admission{limit: limit, maxQueue: maxQueue, classes: classes, lent: make([]int, len(classes)), queued: make([]int, len(classes))}
}

// Resize changes the number of connections and the length of the queues.
func (a *Admission) Resize(limit, maxQueue int) { a.limit, a.maxQueue = limit, maxQueue }

// Limit returns the number of connections.
func (a *Admission) Limit() int { return a.limit }

// Queued returns how many requests wait.
func (a *Admission) Queued() int {
	total := 0
	for _, n := range a.queued {
		total += n
	}
	return total
}

// Admits reports whether a class may take a connection now.
func (a *Admission) Admits(class int) bool {
	total, withheld := 0, 0
	for i, n := range a.lent {
		total += n
		if i != class {
			withheld += max(a.reserved(i)-n, 0)
		}
	}
	return total+withheld < a.limit
}

// reserved is how many connections a class has for itself. At least one is
// left to each other class.
func (a *Admission) reserved(class int) int {
	share := a.limit * a.classes[class].Reserved / 100
	return min(share, a.limit-len(a.classes)+1)
}

// Acquire counts a connection that a class has taken.
func (a *Admission) Acquire(class int) { a.lent[class]++ }

// Release counts a connection that a class has given back after d.
func (a *Admission) Release(class int, d clock.Duration) {
	a.lent[class]--
	a.held += holdWeight * (float64(d) - a.held)
}

// Enqueue counts a request that waits, unless the queue is full or the wait
// would outlast left.
func (a *Admission) Enqueue(class int, left clock.Duration) bool {
	if a.queued[class] >= a.maxQueue || a.expectedWait(class) > left {
		return false
	}
	a.queued[class]++
	return true
}

// expectedWait estimates how long one more request of a class waits behind
// those that are served before it.
func (a *Admission) expectedWait(class int) clock.Duration {
	ahead := 0
	for i := range class + 1 {
		ahead += a.queued[i]
	}
	return clock.Duration(float64(ahead+1) * a.held / float64(max(a.limit, 1)))
}

// Dequeue counts a request that waits no more.
func (a *Admission) Dequeue(class int) { a.queued[class]-- }

// Next returns the class whose first request is served next, or a negative
// number if none may be.
func (a *Admission) Next() int {
	for i, n := range a.queued {
		if n > 0 && a.Admits(i) {
			return i
		}
	}
	return -1
}
