package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFromStdRoundsAwayFromZero(t *testing.T) {
	for d, want := range map[time.Duration]Duration{
		0: 0, time.Nanosecond: 1, time.Millisecond: 1, time.Millisecond + 1: 2, 1500 * time.Microsecond: 2,
		-time.Nanosecond: -1, -time.Millisecond: -1, -1500 * time.Microsecond: -2,
	} {
		require.Equal(t, want, FromStd(d), d)
	}
}
