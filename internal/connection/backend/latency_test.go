package backend

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// A peer that answers nothing is silent, also if each request to it is given up
// before the next one is sent.
func TestAbandonedRequestsDoNotHideSilence(t *testing.T) {
	l := NewLatencyTracker()
	now := clock.Time(1000)
	l.Begin(now)
	l.End(now.Add(5), 5)
	began := clock.Time(2000)
	for now = began; now < began.Add(clock.Second); now = now.Add(300) {
		l.Begin(now)
		require.Equal(t, now.Sub(began) >= 500, l.Unresponsive(now, 500*clock.Millisecond))
		l.Abandon(now.Add(250), 250, 0)
		require.False(t, l.Unresponsive(now.Add(250), 500*clock.Millisecond), "no request is in flight")
	}
	// An answer ends the silence, for requests in flight too.
	l.Begin(now)
	l.Begin(now)
	l.End(now.Add(10), 10)
	require.False(t, l.Unresponsive(now.Add(500), 500*clock.Millisecond))
	require.True(t, l.Unresponsive(now.Add(510), 500*clock.Millisecond))
	l.Abandon(now.Add(510), 510, 0)
	// A request that was given up long ago does not count.
	now = now.Add(10 * clock.Second)
	l.Begin(now)
	require.False(t, l.Unresponsive(now, 500*clock.Millisecond))
}
