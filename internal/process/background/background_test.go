package background

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Guards against work that takes all of a small share of a core, and against rests that
// delay a large configuration beyond its time limit.
func TestScheduleEndsInTimeAtALowShare(t *testing.T) {
	const piece = 8 << 10
	for _, c := range []struct {
		total  int
		limit  clock.Duration
		perRun clock.Duration
	}{{700 << 10, 400, 0}, {700 << 10, 400, 2}, {8 << 20, 400, 0}, {1 << 10, 400, 0}, {700 << 10, 0, 0}} {
		s := Schedule{Began: 1000, Limit: c.limit}
		now, rested, pieces := s.Began, clock.Duration(0), 0
		for done := piece; done < c.total; done += piece {
			now = now.Add(c.perRun)
			rest := s.Rest(now, piece, done, c.total)
			require.LessOrEqual(t, rest, maxRest)
			if rest > 0 {
				require.LessOrEqual(t, now.Add(rest).Sub(s.Began), c.limit, "%+v", c)
			}
			now, rested = now.Add(rest), rested+rest
			pieces++
		}
		if pieces > 0 && pieces < 100 && c.limit > 0 {
			require.GreaterOrEqual(t, rested, clock.Duration(pieces), "%+v: it rests", c)
		}
	}
	s := Schedule{Began: 0, Limit: 100}
	require.Zero(t, s.Rest(0, piece, 10, 10), "done")
	require.Zero(t, s.Rest(100, piece, 10, 20), "late")
	require.Zero(t, s.Rest(0, 0, 10, 20))
	require.Equal(t, maxRest, s.Rest(0, 5, 10, 20))
}
