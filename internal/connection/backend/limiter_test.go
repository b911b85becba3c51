package backend

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// primarySimulation simulates, in virtual time, transactions of several
// statements that several processes send to a database with three slots, which
// refuses requests when 24 are waiting.
type primarySimulation struct {
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

// TryReserve reserves a slot for new work if one is free.
func (l *Limiter) TryReserve() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tryReserveLocked()
}

// A refused statement of an open transaction is retried as often, and at the
// same intervals, as by a session.
const (
	retryPause = 15 * clock.Millisecond
	maxRetries = 4
)

const statementTime = 18 * clock.Millisecond

func (s *primarySimulation) arrive(useLimiter bool) {
	p := s.random.IntN(len(s.limiters))
	if useLimiter && !s.limiters[p].TryReserve() {
		s.refused++
		return
	}
	s.send(&job{process: p, left: 5}, useLimiter)
}

func (s *primarySimulation) send(j *job, reserved bool) {
	s.limiters[j.process].Begin(reserved)
	j.sent = s.now
	if len(s.queue) >= 24 {
		s.limiters[j.process].End(s.now, 1, true)
		if j.done > 0 && j.retries < maxRetries {
			j.retries++
			j.due = s.now.Add(retryPause)
			s.retrying = append(s.retrying, j)
			return
		}
		if j.done > 0 {
			s.aborted++
			s.wasted += j.done
			return
		}
		s.refused++
		return
	}
	s.queue = append(s.queue, j)
}

func (s *primarySimulation) step() {
	s.now++
	s.queued += len(s.queue)
	retrying := s.retrying
	s.retrying = nil
	for _, j := range retrying {
		if s.now >= j.due {
			s.send(j, false)
		} else {
			s.retrying = append(s.retrying, j)
		}
	}
	for i, j := range s.running {
		if j != nil && s.now >= j.ends {
			s.running[i] = nil
			s.limiters[j.process].End(s.now, s.now.Sub(j.sent), false)
			j.done++
			j.retries = 0
			if j.left--; j.left == 0 {
				s.completed++
			} else {
				s.send(j, false)
			}
		}
		if s.running[i] == nil && len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next.ends = s.now.Add(statementTime)
			s.running[i] = next
		}
	}
}

func simulatePrimary(load float64, useLimiter bool) *primarySimulation {
	s := &primarySimulation{random: rand.New(rand.NewPCG(1, 2)), now: 1000}
	for range 14 {
		s.limiters = append(s.limiters, &Limiter{})
	}
	// Transactions per millisecond that just keep all slots busy.
	peak := 3.0 / float64(5*statementTime)
	for range 20_000 {
		if s.random.Float64() < peak*load {
			s.arrive(useLimiter)
		}
		s.step()
	}
	return s
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
	require.LessOrEqual(t, limiter.pace.limit, initialLimit)
	for range 50 {
		serve(int(limiter.pace.limit))
	}
	require.Greater(t, limiter.pace.limit, 2*initialLimit)
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
	require.Greater(t, limiter.pace.latency, maxLatencyRatio*limiter.pace.baseline)
	serve(500, 60)
	require.Less(t, limiter.pace.latency, maxLatencyRatio*limiter.pace.baseline)
}

// request returns a request of a class that waits until the given time.
func request(class int, now, until clock.Time) Request {
	return Request{Class: class, Arrived: now, Target: until, Until: until}
}

func TestLimiterPrefersUrgentWork(t *testing.T) {
	limiter := &Limiter{pace: Pace{limit: 1}}
	require.NoError(t, limiter.Reserve(1000, ByArrival{}, request(1, 1000, 2000)))
	limiter.Begin(true)
	order := make(chan int, 2)
	for _, priority := range []int{2, 0} {
		go func() {
			if limiter.Reserve(1000, ByArrival{}, request(priority, 1000, 6000)) == nil {
				order <- priority
				limiter.Begin(true)
				limiter.End(1, 1, true)
			}
		}()
		require.Eventually(t, func() bool {
			limiter.mu.Lock()
			defer limiter.mu.Unlock()
			return limiter.scheduler.Len() > 0 && (priority == 2 || limiter.scheduler.Len() == 2)
		}, 5e9, 1e6)
	}
	limiter.End(1, 1, true)
	require.Equal(t, 0, <-order)
	require.Equal(t, 2, <-order)
}

func TestLimiterRefusesAtOnceWithoutTimeToWait(t *testing.T) {
	limiter := &Limiter{pace: Pace{limit: 1}}
	require.True(t, limiter.TryReserve())
	var refused *TooManyWaitingError
	require.ErrorAs(t, limiter.Reserve(1000, ByArrival{}, request(1, 1000, 1000)), &refused)
	require.Equal(t, WaitEnded, refused.Reason)
	limiter.Cancel(1000)
	require.NoError(t, limiter.Reserve(1000, ByArrival{}, request(1, 1000, 1000)))
}

// A wait that ends without a slot must leave neither a request in the queue nor a
// channel: a later slot would be given to a request that has gone.
func TestLimiterForgetsRequestsWhoseWaitHasEnded(t *testing.T) {
	limiter := &Limiter{pace: Pace{limit: 1}}
	require.True(t, limiter.TryReserve())
	var refused *TooManyWaitingError
	require.ErrorAs(t, limiter.Reserve(1000, ByArrival{}, request(1, 1000, 1005)), &refused)
	require.Equal(t, WaitEnded, refused.Reason)
	require.Zero(t, limiter.scheduler.Len())
	require.Empty(t, limiter.results)
	limiter.Cancel(1010)
	require.True(t, limiter.TryReserve())
}
