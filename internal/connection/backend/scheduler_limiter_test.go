package backend

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// limitedCall is a request that a Limiter has admitted or that waits for that.
type limitedCall struct {
	home                *limitedHome
	class               int
	wait                *waiter
	arrived, sent, ends clock.Time
}

// simulateLimiter returns how many requests are answered within their target, and the
// share of class 0, at a database of site A with one home whose Limiter adapts its
// limit. It fails the test if requests wait although the limit is not reached.
func simulateLimiter(t *testing.T, load float64) (goodput, urgent float64) {
	const warmUp, end = 5000, 35_000
	random := rand.New(rand.NewPCG(1, 2))
	limiter := &Limiter{}
	var slots [4]*limitedCall
	var queue, waiting []*limitedCall
	var sent, inTime [3]float64
	send := func(now clock.Time, c *limitedCall) {
		limiter.Begin(true)
		c.sent = now
		if len(queue) >= databaseQueue {
			limiter.End(now, 1, true)
			return
		}
		queue = append(queue, c)
	}
	for now := clock.Time(1); now < end; now++ {
		for class, k := range siteA {
			if random.Float64() >= load*siteCapacity/3000 {
				continue
			}
			c := &limitedCall{class: class, arrived: now}
			if now > warmUp {
				sent[class]++
			}
			deadline := now.Add(k.deadline)
			c.wait = limiter.enqueue(now, ByShare{}, Request{Class: class, Arrived: now, Target: now.Add(k.target), Deadline: deadline, Until: deadline})
			if c.wait == nil {
				send(now, c)
			} else {
				waiting = append(waiting, c)
			}
		}
		for i, c := range slots {
			if c != nil && now >= c.ends {
				slots[i] = nil
				if c.arrived > warmUp && now.Sub(c.arrived) <= siteA[c.class].target {
					inTime[c.class]++
				}
				limiter.End(now, now.Sub(c.sent), false)
			}
			if slots[i] == nil && len(queue) > 0 {
				slots[i], queue = queue[0], queue[1:]
				slots[i].ends = now.Add(minService + clock.Duration(random.IntN(maxService-minService+1)))
			}
		}
		var still []*limitedCall
		for _, c := range waiting {
			if now >= c.arrived.Add(c.wait.limit) {
				limiter.stopWaiting(now, c.wait.id)
			}
			select {
			case err := <-c.wait.result:
				if err == nil {
					send(now, c)
				}
			default:
				still = append(still, c)
			}
		}
		waiting = still
		if limiter.scheduler.Len() > 0 {
			require.True(t, limiter.Saturated())
			require.GreaterOrEqual(t, float64(limiter.inFlight+limiter.reserved), limiter.pace.limit, "requests wait although a slot is free")
		}
	}
	goodput, urgent = inTime[0]+inTime[1]+inTime[2], inTime[0]/sent[0]
	t.Logf("load %.1f: within target %.0f (class 0 %.3f, 1 %.3f, 2 %.3f); limit %.1f",
		load, goodput, urgent, inTime[1]/sent[1], inTime[2]/sent[2], limiter.pace.limit)
	return goodput, urgent
}

// While the database has capacity for all, the order of service must keep urgent
// requests within their target. On a calm day, 7% of class 1 of site A may be late.
func TestUrgentRequestsMeetTheirTargetWithAnAdaptedLimit(t *testing.T) {
	for _, load := range []float64{0.5, 0.7, 0.9} {
		_, urgent := simulateLimiter(t, load)
		require.GreaterOrEqual(t, urgent, 0.93, "load %g", load)
	}
}

// Requests cannot overtake in the database's own queue. If the limit lets requests of
// all classes into it, the order of service at the home is without effect.
func TestGoodputAtOverloadWithAnAdaptedLimit(t *testing.T) {
	peak, goodput := 0.0, make(map[float64]float64)
	for _, load := range []float64{0.7, 0.9, 1, 2, 4} {
		goodput[load], _ = simulateLimiter(t, load)
		peak = max(peak, goodput[load])
	}
	for _, load := range []float64{2, 4} {
		require.GreaterOrEqual(t, goodput[load], 0.95*peak, "load %g", load)
	}
}
