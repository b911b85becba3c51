package front

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func TestLateTimersIndicateStrain(t *testing.T) {
	var s strainDetector
	now := clock.Time(1000)
	for range 20 {
		now = now.Add(tickInterval)
		strained, changed := s.observe(now, 2)
		require.False(t, strained || changed)
	}
	_, changed := s.observe(now, 60)
	require.False(t, changed, "one late timer is no strain")
	strained := false
	for i := 0; i < 5 && !strained; i++ {
		now = now.Add(tickInterval)
		strained, changed = s.observe(now, 60)
	}
	require.True(t, strained && changed)
	for range 20 {
		now = now.Add(tickInterval)
		strained, _ = s.observe(now, 1)
	}
	require.True(t, strained, "it does not end before minStrainedTime")
	now = now.Add(minStrainedTime)
	strained, changed = s.observe(now, 1)
	require.True(t, !strained && changed)
}
