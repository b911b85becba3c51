package backend

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// primaryLoad simulates, in virtual time, transactions of several statements
// that several processes send to a database with three slots, which refuses
// requests when 24 are waiting.
type primaryLoad struct {
	limiters  []*Limiter
	random    *rand.Rand
	now       clock.Time
	running   [3]*job
	queue     []*job
	retrying  []*job
	completed int
	refused   int
	aborted   int
	wasted    int
	// queued is the sum of the queue's length over all steps.
	queued int
}

type job struct {
	process int
	left    int
	done    int
	sent    clock.Time
	ends    clock.Time
	// retries counts how often the current statement was refused; it is sent
	// again at due.
	retries int
	due     clock.Time
}

// TryReserve reserves a place for new work if one is free.
func (l *Limiter) TryReserve() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tryReserveLocked()
}

// A refused statement of an open transaction is retried as sessions do it.
const (
	retryPause = 15 * clock.Millisecond
	maxRetries = 4
)

const statementTime = 18 * clock.Millisecond

func (l *primaryLoad) arrive(useLimiter bool) {
	p := l.random.IntN(len(l.limiters))
	if useLimiter && !l.limiters[p].TryReserve() {
		l.refused++
		return
	}
	l.send(&job{process: p, left: 5}, useLimiter)
}

func (l *primaryLoad) send(j *job, reserved bool) {
	l.limiters[j.process].Begin(reserved)
	j.sent = l.now
	if len(l.queue) >= 24 {
		l.limiters[j.process].End(l.now, 1, true)
		if j.done > 0 && j.retries < maxRetries {
			j.retries++
			j.due = l.now.Add(retryPause)
			l.retrying = append(l.retrying, j)
			return
		}
		if j.done > 0 {
			l.aborted++
			l.wasted += j.done
			return
		}
		l.refused++
		return
	}
	l.queue = append(l.queue, j)
}

func (l *primaryLoad) step() {
	l.now++
	l.queued += len(l.queue)
	retrying := l.retrying
	l.retrying = nil
	for _, j := range retrying {
		if l.now >= j.due {
			l.send(j, false)
		} else {
			l.retrying = append(l.retrying, j)
		}
	}
	for i, j := range l.running {
		if j != nil && l.now >= j.ends {
			l.running[i] = nil
			l.limiters[j.process].End(l.now, l.now.Sub(j.sent), false)
			j.done++
			j.retries = 0
			if j.left--; j.left == 0 {
				l.completed++
			} else {
				l.send(j, false)
			}
		}
		if l.running[i] == nil && len(l.queue) > 0 {
			next := l.queue[0]
			l.queue = l.queue[1:]
			next.ends = l.now.Add(statementTime)
			l.running[i] = next
		}
	}
}

func simulatePrimary(load float64, useLimiter bool) *primaryLoad {
	l := &primaryLoad{random: rand.New(rand.NewPCG(1, 2)), now: 1000}
	for range 14 {
		l.limiters = append(l.limiters, &Limiter{})
	}
	// Transactions per millisecond that just keep all slots busy.
	peak := 3.0 / float64(5*statementTime)
	for range 20_000 {
		if l.random.Float64() < peak*load {
			l.arrive(useLimiter)
		}
		l.step()
	}
	return l
}

// At up to four times the load that the slots can run, transactions that have
// begun are finished: goodput stays at 95% of the capacity. Without the limiter
// most of the work is wasted on transactions that are aborted.
func TestGoodputUnderOverload(t *testing.T) {
	const capacity = 20_000 * 3.0 / float64(5*statementTime)
	for _, load := range []float64{1.2, 2, 4} {
		with, without := simulatePrimary(load, true), simulatePrimary(load, false)
		t.Logf("load %.1f: completed %d of %.0f with the limiter (%d aborted), %d without (%d aborted, %d statements wasted)",
			load, with.completed, capacity, with.aborted, without.completed, without.aborted, without.wasted)
		require.GreaterOrEqual(t, float64(with.completed), 0.95*capacity)
		require.Greater(t, with.completed, without.completed)
	}
}

// The queue at an overloaded database stays short, since urgent requests cannot
// overtake there. The most urgent route has a target latency of 150 ms, of
// which 45 ms are left for the longest statement and 5 ms for the network.
func TestQueueAtTheDatabaseStaysShort(t *testing.T) {
	const steps, bound = 20_000, 150 - 45 - 5
	for _, load := range []float64{1.2, 2, 4} {
		mean := float64(simulatePrimary(load, true).queued) / steps
		wait := mean * float64(statementTime) / 3
		t.Logf("load %.1f: %.1f requests wait at the database, for %.0f ms", load, mean, wait)
		require.Less(t, wait, float64(bound))
	}
}

// The answers to a few requests at a time do not show how many more the
// database could run, so the limit must not grow beyond what is used.
func TestLimitGrowsOnlyWhileItIsUsed(t *testing.T) {
	limiter := &Limiter{}
	now := clock.Time(1000)
	serve := func(atOnce int) {
		for range atOnce {
			require.True(t, limiter.TryReserve())
			limiter.Begin(true)
		}
		for range atOnce {
			now += 20
			limiter.End(now, 20, false)
		}
	}
	for range 1000 {
		serve(1)
	}
	require.LessOrEqual(t, limiter.limit, initialLimit)
	for range 50 {
		serve(int(limiter.limit))
	}
	require.Greater(t, limiter.limit, 2*initialLimit)
}

func TestNewestGoFirstInAPersistentQueue(t *testing.T) {
	waiting := []waiter{{priority: 2}, {priority: 1}, {priority: 1}, {priority: 2}}
	require.Equal(t, 1, nextWaiter(waiting, false))
	require.Equal(t, 2, nextWaiter(waiting, true))
	require.Equal(t, 1, nextWaiter([]waiter{{priority: 2}, {priority: 2}}, true))
	require.Equal(t, 0, nextWaiter([]waiter{{priority: 2}, {priority: 2}}, false))
}

// A database that has become slower for good is not compared with its earlier
// latency forever.
func TestLimitRecoversAtASlowerDatabase(t *testing.T) {
	limiter := &Limiter{}
	now := clock.Time(1000)
	serve := func(n int, took clock.Duration) {
		for range n {
			if limiter.TryReserve() {
				limiter.Begin(true)
				now = now.Add(took)
				limiter.End(now, took, false)
			}
		}
	}
	serve(200, 10)
	serve(20, 60)
	require.Greater(t, limiter.latency, maxLatencyRatio*limiter.baseline)
	serve(500, 60)
	require.Less(t, limiter.latency, maxLatencyRatio*limiter.baseline)
}

func TestLimiterPrefersUrgentWork(t *testing.T) {
	limiter := &Limiter{limit: 1}
	require.NoError(t, limiter.Reserve(1000, clock.Second, 1))
	limiter.Begin(true)
	order := make(chan int, 2)
	for _, priority := range []int{2, 0} {
		go func() {
			if limiter.Reserve(1000, 5*clock.Second, priority) == nil {
				order <- priority
				limiter.Begin(true)
				limiter.End(1, 1, true)
			}
		}()
		require.Eventually(t, func() bool {
			limiter.mu.Lock()
			defer limiter.mu.Unlock()
			return len(limiter.waiting) > 0 && (priority == 2 || len(limiter.waiting) == 2)
		}, 5e9, 1e6)
	}
	limiter.End(1, 1, true)
	require.Equal(t, 0, <-order)
	require.Equal(t, 2, <-order)
}

func TestLimiterRefusesAtOnceWithoutWaitLimit(t *testing.T) {
	limiter := &Limiter{limit: 1}
	require.True(t, limiter.TryReserve())
	require.ErrorIs(t, limiter.Reserve(1000, 0, 1), errTooManyWaiting)
	limiter.Cancel(1000)
	require.NoError(t, limiter.Reserve(1000, 0, 1))
}
