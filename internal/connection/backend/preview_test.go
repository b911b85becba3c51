package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// A preview must tell what a request would get, and must not take a slot, refuse anybody or
// change what requests get afterwards. Seeds 0 to 199, 300 steps each, under both policies.
func TestPreviewTellsWhatReserveDoes(t *testing.T) {
	outcomes := make(map[string]int)
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var policy Policy = ByShare{}
		if seed%2 == 0 {
			policy = ByArrival{}
		}
		// The twin is treated alike, but without previews.
		l, twin := &Limiter{}, &Limiter{}
		for _, x := range []*Limiter{l, twin} {
			x.pace.limit = 2
			// Both must round limits alike.
			x.pace.random = func() float64 { return 0.5 }
		}
		now := clock.Time(1000)
		for range 300 {
			now += clock.Time(r.IntN(4))
			if l.inFlight > 0 && r.IntN(3) == 0 {
				took, busy := clock.Duration(1+r.IntN(30)), r.IntN(20) == 0
				l.End(now, took, busy)
				twin.End(now, took, busy)
				continue
			}
			request := Request{
				Class: r.IntN(3), Workspace: fmt.Sprint("w", r.IntN(3)), Weight: float64(1 + r.IntN(3)), Arrived: now,
				Target: now.Add(100), Until: now.Add(clock.Duration(r.IntN(400))), Deadline: now.Add(clock.Duration(50 + r.IntN(400))),
			}
			preview := l.Preview(now, policy, request)
			require.Equal(t, preview, l.Preview(now, policy, request), "seed %d: a preview has changed the state", seed)
			w, same := l.enqueue(now, policy, request), twin.enqueue(now, policy, request)
			require.Equal(t, w == nil, same == nil, "seed %d", seed)
			var refused *TooManyWaitingError
			free := w == nil
			if w != nil {
				select {
				case err := <-w.result:
					// An urgent request may get a slot beyond the limit.
					if free = err == nil; !free {
						require.ErrorAs(t, err, &refused)
					}
				default:
				}
			}
			require.Equal(t, free, preview.Free, "seed %d", seed)
			require.Equal(t, refused, preview.Refused, "seed %d", seed)
			switch {
			case free:
				outcomes["free"]++
			case refused != nil:
				outcomes[refused.Reason.String()]++
			default:
				outcomes["waits"]++
			}
			// Slots that were given to this request or to those that waited begin.
			for l.reserved > 0 {
				l.Begin(true)
				twin.Begin(true)
			}
			require.Equal(t, twin.inFlight, l.inFlight, "seed %d", seed)
			require.Equal(t, twin.scheduler.Len(), l.scheduler.Len(), "seed %d", seed)
			require.Equal(t, twin.pace.limit, l.pace.limit, "seed %d", seed)
		}
	}
	t.Log(outcomes)
	for _, outcome := range []string{"free", "waits", "full", "deadline", "waitEnded"} {
		require.Positive(t, outcomes[outcome], "%s: not covered", outcome)
	}
}
