package database

import "github.com/oleanderflow/oleanderflow/pkg/clock"

// Class is a class of requests and its admission settings. Classes are served
// in the order in which they are listed.
type Class struct {
	Name string
	// Reserved is the share of the connections, in percent, that is kept for
	// this class.
	Reserved int
}

// Admission decides which class may use a connection next and whether a
// request is likely to get one in time. It counts requests but does not store
// them. It is not safe for concurrent use.
type Admission struct {
	limit    int
	maxQueue int
	classes  []Class
	inUse    []int
	queued   []int
	// avgHold is the moving average of the time for which a request holds a
	// connection, in milliseconds.
	avgHold float64
}

// holdWeight is the weight of a new observation in the moving average.
const holdWeight = 0.05

// NewAdmission returns an Admission for at most limit connections, with a queue
// of at most maxQueue requests for each class. The last class is for requests
// that match no other class.
func NewAdmission(limit, maxQueue int, classes []Class) *Admission {
	return &Admission{limit: limit, maxQueue: maxQueue, classes: classes, inUse: make([]int, len(classes)), queued: make([]int, len(classes))}
}

// Resize changes the largest number of connections and the largest length of
// each queue.
func (a *Admission) Resize(limit, maxQueue int) { a.limit, a.maxQueue = limit, maxQueue }

// Limit returns the largest number of connections.
func (a *Admission) Limit() int { return a.limit }

// Queued returns the number of waiting requests of all classes.
func (a *Admission) Queued() int {
	total := 0
	for _, n := range a.queued {
		total += n
	}
	return total
}

// Admits reports whether a request of a class may use a connection now. The
// unused reserve of the other classes is not available to it.
func (a *Admission) Admits(class int) bool {
	total, reserve := 0, 0
	for i, n := range a.inUse {
		total += n
		if i != class {
			reserve += max(a.reserved(i)-n, 0)
		}
	}
	return total+reserve < a.limit
}

// reserved returns the number of connections kept for a class. It leaves at
// least one to each other class.
func (a *Admission) reserved(class int) int {
	share := a.limit * a.classes[class].Reserved / 100
	return min(share, a.limit-len(a.classes)+1)
}

// Acquire records that a request of a class uses one more connection.
func (a *Admission) Acquire(class int) { a.inUse[class]++ }

// Release records that a request of a class has given back a connection after
// holding it for d.
func (a *Admission) Release(class int, d clock.Duration) {
	a.inUse[class]--
	a.avgHold += holdWeight * (float64(d) - a.avgHold)
}

// Full reports whether no more requests of a class may wait.
func (a *Admission) Full(class int) bool { return a.queued[class] >= a.maxQueue }

// Enqueue records that a request of a class waits, with the time left until its
// deadline. It overtakes behind of the waiting requests of its class. Enqueue
// returns false, and records nothing, if the queue is full or the expected wait
// is longer than left.
func (a *Admission) Enqueue(class, behind int, left clock.Duration) bool {
	if a.Full(class) || a.expectedWait(class, behind) > left {
		return false
	}
	a.queued[class]++
	return true
}

// expectedWait estimates how long one more request of a class waits behind the
// queued requests that are served before it. It overtakes behind of its class.
func (a *Admission) expectedWait(class, behind int) clock.Duration {
	ahead := -behind
	for i := range class + 1 {
		ahead += a.queued[i]
	}
	return clock.Duration(float64(ahead+1) * a.avgHold / float64(max(a.limit, 1)))
}

// Dequeue records that a request of a class waits no longer.
func (a *Admission) Dequeue(class int) { a.queued[class]-- }

// Next returns the first class that has a waiting request and may use a
// connection now, or -1 if there is none.
func (a *Admission) Next() int {
	for i, n := range a.queued {
		if n > 0 && a.Admits(i) {
			return i
		}
	}
	return -1
}
