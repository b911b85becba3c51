package database

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A second is enough for no test of the order to reach it.
var queueStart = time.Unix(1_000_000, 0)

func queued(q *waitQueue, priorities ...int) []*waiter {
	var list []*waiter
	for _, p := range priorities {
		w := &waiter{priority: p, urgentAt: queueStart.Add(time.Second)}
		q.push(w)
		list = append(list, w)
	}
	return list
}

func order(q *waitQueue, now time.Time, of []*waiter) []int {
	var taken []int
	for len(q.list) > 0 {
		taken = append(taken, slices.Index(of, q.takeNext(now)))
	}
	return taken
}

// A workspace of a higher priority must be served first, and requests of no workspace as
// before: in order of arrival, behind nobody.
func TestHigherPrioritiesAreServedFirst(t *testing.T) {
	var q waitQueue
	require.Equal(t, []int{1, 4, 2, 5, 0, 3}, order(&q, queueStart, queued(&q, 3, 0, 1, 3, 0, 1)))
	require.Zero(t, q.lower)
	require.Equal(t, []int{0, 1, 2}, order(&q, queueStart, queued(&q, 0, 0, 0)))
}

// A request of the lowest priority must not be overtaken for its whole time.
func TestLowPrioritiesWaitForABoundedTime(t *testing.T) {
	var q waitQueue
	list := queued(&q, 9, 5, 0)
	list = append(list, &waiter{priority: 5, urgentAt: queueStart.Add(time.Hour)})
	q.push(list[3])
	require.Equal(t, []int{0, 1, 2, 3}, order(&q, queueStart.Add(time.Second), list))
}

// A full queue of low priorities must not refuse a high one, and the request that it
// displaces is the one that would be served last. None displaces its equals.
func TestFullQueueDisplacesTheLast(t *testing.T) {
	var q waitQueue
	list := queued(&q, 3, 0, 5, 1, 5)
	require.Equal(t, 3, q.behind(1, queueStart))
	require.Equal(t, 4, q.behind(0, queueStart))
	require.Zero(t, q.behind(5, queueStart))
	require.Nil(t, q.displace(5, queueStart))
	require.Same(t, list[4], q.displace(3, queueStart))
	require.Same(t, list[2], q.displace(0, queueStart))
	require.Same(t, list[0], q.displace(1, queueStart))
	require.Nil(t, q.displace(1, queueStart))
	require.Same(t, list[3], q.displace(0, queueStart))
	require.Nil(t, q.displace(0, queueStart))
	require.Zero(t, q.lower)
	list = queued(&q, 5)
	require.Nil(t, q.displace(0, queueStart.Add(time.Second)), "it has waited for half of its time")
	require.True(t, q.remove(list[0]))
	require.False(t, q.remove(list[0]))
}
