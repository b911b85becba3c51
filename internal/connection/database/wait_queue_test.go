package database

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/outcome"
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

// A request that is displaced must be told at once that it was refused, so that its caller
// may send it again, and not that the pool is closed. The others keep their places.
func TestDisplacedRequestIsRefused(t *testing.T) {
	p := NewPool(Target{}, PoolSettings{MaxConnections: 1, MaxQueue: 1})
	p.admission.Acquire(0)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	wait := func(priority int) chan error {
		done := make(chan error, 1)
		go func() {
			_, err := p.AcquireFor(ctx, NoClass, priority)
			done <- err
		}()
		return done
	}
	low := wait(4)
	require.Eventually(t, func() bool { _, _, n := p.Stats(); return n == 1 }, 5*time.Second, time.Millisecond)
	var refused *outcome.Error
	require.ErrorAs(t, <-wait(4), &refused, "an equal was displaced")
	high := wait(1)
	require.ErrorAs(t, <-low, &refused)
	_, _, waiting := p.Stats()
	require.Equal(t, 1, waiting)
	p.Close()
	require.ErrorIs(t, <-high, errPoolClosed)
}

// The expected wait of a request is not that of those it overtakes: it would be refused
// although it is served in time.
func TestExpectedWaitLeavesOutWhoIsOvertaken(t *testing.T) {
	a := NewAdmission(2, 100, []Class{{Name: "other"}})
	for range 200 {
		a.Acquire(0)
		a.Release(0, 50)
	}
	for range 15 {
		require.True(t, a.Enqueue(0, 0, 500))
	}
	require.False(t, a.Enqueue(0, 0, 200))
	require.True(t, a.Enqueue(0, 15, 200))
}
