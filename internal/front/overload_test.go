package front

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func TestLateTimersIndicateOverload(t *testing.T) {
	var s overloadDetector
	now := clock.Time(1000)
	for range 20 {
		now = now.Add(tickInterval)
		overloaded, changed := s.observe(now, 2)
		require.False(t, overloaded || changed)
	}
	_, changed := s.observe(now, 60)
	require.False(t, changed, "one late timer does not indicate overload")
	overloaded := false
	for i := 0; i < 5 && !overloaded; i++ {
		now = now.Add(tickInterval)
		overloaded, changed = s.observe(now, 60)
	}
	require.True(t, overloaded && changed)
	for range 20 {
		now = now.Add(tickInterval)
		overloaded, _ = s.observe(now, 1)
	}
	require.True(t, overloaded, "overload does not end before minOverloadedTime")
	now = now.Add(minOverloadedTime)
	overloaded, changed = s.observe(now, 1)
	require.True(t, !overloaded && changed)
}
