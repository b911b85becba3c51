package backend

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// newPausedLimiter returns a limiter of a database that has just returned, whose
// pause is several times as long as backlogPeriod.
func newPausedLimiter(now clock.Time) *Limiter {
	l := &Limiter{probes: true, log: zap.NewNop(), pace: Pace{random: func() float64 { return 0.5 }}}
	l.Return(now, causeStarted, PaceHint{Baseline: 20, Use: 0.02})
	return l
}

// A request that waits for a slot at a returned database must get it when the
// pause ends, without the end of another request.
func TestPauseEndsForWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.NewSystem()
		l := newPausedLimiter(c.Now())
		require.True(t, l.Saturated(), "reads must prefer other databases")
		require.NoError(t, l.Reserve(c.Now(), ByArrival{}, request(0, c.Now(), c.Now().Add(5*clock.Second))))
		require.Greater(t, c.Now(), clock.Time(backlogPeriod))
	})
}

// Without requests that waited for the return, there is no reason to delay later
// ones.
func TestPauseEndsWithoutBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.NewSystem()
		l := newPausedLimiter(c.Now())
		Sleep(backlogPeriod + 1)
		require.NoError(t, l.Reserve(c.Now(), ByArrival{}, request(0, c.Now(), c.Now())))
	})
}

// A request that was refused during the first moments belongs to a backlog, so the
// pause must go on for its callers.
func TestPauseGoesOnWithBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.NewSystem()
		l := newPausedLimiter(c.Now())
		require.ErrorAs(t, l.Reserve(c.Now(), ByArrival{}, request(0, c.Now(), c.Now())), new(*TooManyWaitingError))
		Sleep(backlogPeriod + 1)
		require.ErrorAs(t, l.Reserve(c.Now(), ByArrival{}, request(0, c.Now(), c.Now())), new(*TooManyWaitingError))
	})
}

// Statements of open transactions must pass during a pause.
func TestTransactionsPassDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.NewSystem()
		l := newPausedLimiter(c.Now())
		l.Begin(false)
		l.End(c.Now(), 20, false)
		require.Zero(t, l.inFlight)
	})
}
