package database_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/oleanderflow/oleanderflow/internal/standin/database"
	"github.com/oleanderflow/oleanderflow/internal/standin/virtual"
)

// At each step of a promotion in turn, the promoter dies, stands still for 3
// s, or loses the answer after its effect. Writes come back, no term has two
// primaries, and the old primary follows when it returns.
func TestMishapAtEachStepOfAPromotion(t *testing.T) {
	for mishap, name := range map[virtual.Fault]string{
		virtual.FaultCrash: "dies", virtual.FaultPause: "pauses", virtual.FaultLoseResponse: "loses the answer",
	} {
		for step := 1; step <= 6; step++ {
			t.Run(fmt.Sprintf("%s at step %d", name, step), func(t *testing.T) {
				for seed := range uint64(2) {
					runMishap(t, seed, mishap, step)
				}
			})
		}
	}
}

func runMishap(t *testing.T, seed uint64, mishap virtual.Fault, step int) {
	t.Helper()
	y := newSystem(seed, cascade, 3)
	befallen := false
	for _, p := range y.proxies {
		p.FaultAt = func(s virtual.Step) virtual.Fault {
			if befallen || s.Number != step {
				return virtual.FaultNone
			}
			befallen = true
			return mishap
		}
	}
	y.write()
	y.world.Run(time.Second, nil)
	lost := y.group.Leader()
	lost.Stopped = true
	leaders := make(map[uint64]string)
	check := func() {
		for _, d := range y.group.Databases {
			if s := d.State.Status(); s.Role == standin.Primary {
				if other, ok := leaders[s.Term]; ok {
					require.Equal(t, other, s.Name, "seed %d: term %d has two primaries", seed, s.Term)
				}
				leaders[s.Term] = s.Name
			}
		}
	}
	y.world.Run(6*time.Second, check)
	gap, ok := y.gap(time.Second)
	require.True(t, ok, "seed %d: writes did not come back", seed)
	require.Less(t, gap, gapBound)
	lost.Stopped = false
	y.world.Run(10*time.Second, check)
	status := lost.State.Status()
	require.Equal(t, standin.Replica, status.Role, "seed %d: the old primary was not fenced", seed)
	require.Equal(t, y.group.Leader().State.Status().Term, status.Term, "seed %d: the old primary does not follow", seed)
}
