package backend

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// A second refusal has no channel to go to and blocks with the lock of the limiter held.
func TestRequestIsRefusedOnceAfterSharesAreWithdrawn(t *testing.T) {
	const now = clock.Time(1)
	l := &Limiter{}
	measured := smoothed{mean: 10, n: minMeasurements}
	l.scheduler.estimate = waitEstimate{between: measured, measuredAt: now, took: measured}
	for l.scheduler.Len() <= maxWaiting {
		if l.enqueue(now, ByShare{}, Request{Arrived: now, Target: 1000, Until: 100_000}) == nil {
			l.Begin(true)
		}
	}
	waiting := l.scheduler.Len()

	hopeless := Request{Arrived: now, Target: 2, Until: 1000, Deadline: 2}
	refused := make(chan *waiter, 1)
	go func() { refused <- l.enqueue(now, ByArrival{}, hopeless) }()
	select {
	case w := <-refused:
		var e *TooManyWaitingError
		require.ErrorAs(t, <-w.result, &e)
		require.Equal(t, DeadlineUnreachable, e.Reason)
		require.Nil(t, l.scheduler.End(now, w.id))
	case <-time.After(5 * time.Second):
		require.FailNow(t, "the limiter is blocked")
	}
	require.Equal(t, waiting, l.scheduler.Len(), "requests that wait already stay")
	full := l.enqueue(now, ByArrival{}, Request{Arrived: now, Target: 1000, Until: 100_000, Deadline: 100_000})
	var e *TooManyWaitingError
	require.ErrorAs(t, <-full.result, &e)
	require.Equal(t, QueueFull, e.Reason)
	require.Len(t, l.results, waiting)
}

// Whatever the policies, each request is granted or refused once.
func TestEachRequestHasOneResultWhilePoliciesChange(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := &Scheduler{}
		results := make(map[uint64]int)
		record := func(refused []Refusal) {
			for _, r := range refused {
				results[r.ID]++
			}
		}
		now := clock.Time(1)
		for range 2000 {
			now = now.Add(clock.Duration(random.IntN(4)))
			if random.IntN(50) == 0 {
				s.SetPolicy([]Policy{ByShare{}, ByArrival{}}[random.IntN(2)])
			}
			switch random.IntN(5) {
			case 0, 1, 2:
				r := Request{Class: random.IntN(3), Arrived: now, Target: now.Add(clock.Duration(random.IntN(100)))}
				r.Until = now.Add(clock.Duration(random.IntN(600)))
				if random.IntN(2) == 0 {
					r.Deadline = now.Add(clock.Duration(random.IntN(600)))
				}
				id, refused := s.Arrive(now, r)
				results[id] += 0
				record(refused)
			case 3:
				if id, ok := s.Next(now); ok {
					results[id]++
					s.Completed(now, clock.Duration(1+random.IntN(9)))
				}
			default:
				record(s.Refuse(now))
				if r := s.End(now, 1+random.Uint64N(s.lastID+1)); r != nil {
					results[r.ID]++
				}
			}
		}
		for _, w := range s.waiting {
			results[w.id]++
		}
		for id, n := range results {
			require.Equal(t, 1, n, "seed %d, request %d", seed, id)
		}
	}
}
