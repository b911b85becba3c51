package backend

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// steadyLimit is the rule for a database in steady use as it was before databases
// that return were probed.
type steadyLimit struct {
	limit, latency, baseline               float64
	refusalDecreasedAt, latencyDecreasedAt clock.Time
}

func (l *steadyLimit) end(now clock.Time, took, used float64, busy bool) {
	if !busy {
		if l.latency == 0 {
			l.latency, l.baseline = took, min(took, defaultLatency)
		}
		l.latency += latencyWeight * (took - l.latency)
		l.baseline = min(l.baseline, l.latency)
		l.baseline += baselineWeight * (l.latency - l.baseline)
	}
	switch {
	case l.limit == 0:
		l.limit = initialLimit
	case !busy && l.latency > maxLatencyRatio*l.baseline:
		if now.Sub(l.latencyDecreasedAt) >= decreaseInterval {
			l.latencyDecreasedAt = now
			l.limit = max(min(l.limit, used)*latencyDecrease, 1)
		}
	case !busy && used < l.limit*minUtilization:
	case !busy:
		step := limitIncrease
		if now.Sub(max(l.refusalDecreasedAt, l.latencyDecreasedAt)) >= stableAfter {
			step = stableLimitIncrease
		}
		l.limit = min(l.limit+step/max(l.limit, 1), maxLimit)
	case now.Sub(l.refusalDecreasedAt) >= decreaseInterval || l.refusalDecreasedAt == 0:
		l.refusalDecreasedAt = now
		l.limit = max(min(l.limit, used)*refusalDecrease, 1)
	}
}

// The limit of a database in steady use must be what it was before databases that
// return were probed, also while it is unreachable.
func TestSteadyLimitIsUnchanged(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		var p Pace
		var l steadyLimit
		now := clock.Time(1000)
		for range 20_000 {
			now += clock.Time(random.IntN(30))
			took, used, busy := 1+random.IntN(20+int(now/2000)%80), 1+random.IntN(12), random.IntN(40) == 0
			if random.IntN(500) == 0 {
				p.Fail()
			}
			require.Zero(t, p.End(now, clock.Duration(took), used, busy))
			l.end(now, float64(took), float64(used), busy)
			require.Equal(t, l, steadyLimit{p.limit, p.latency, p.baseline, p.refusalDecreasedAt, p.latencyDecreasedAt})
		}
	}
}
