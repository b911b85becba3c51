package database_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/oleanderflow/oleanderflow/internal/standin/database"
	"github.com/oleanderflow/oleanderflow/internal/standin/virtual"
)

// Guards against a promotion that is interrupted at any of its steps: the
// promoter dies, pauses for 3 s, or loses the answer to an operation that took
// effect. Writes must resume, no term may have two primaries, and the old primary
// must follow the new one when it returns.
func TestPromoterFaultAtEachStep(t *testing.T) {
	for fault, name := range map[virtual.Fault]string{
		virtual.FaultCrash: "dies", virtual.FaultPause: "pauses", virtual.FaultLoseResponse: "loses the answer",
	} {
		for step := 1; step <= 6; step++ {
			t.Run(fmt.Sprintf("%s at step %d", name, step), func(t *testing.T) {
				for seed := range uint64(2) {
					runPromoterFault(t, seed, fault, step)
				}
			})
		}
	}
}

func runPromoterFault(t *testing.T, seed uint64, fault virtual.Fault, step int) {
	t.Helper()
	sys := newSystem(seed, cascade, 3)
	injected := false
	for _, p := range sys.proxies {
		p.FaultAt = func(s virtual.Step) virtual.Fault {
			if injected || s.Number != step {
				return virtual.FaultNone
			}
			injected = true
			return fault
		}
	}
	sys.write()
	sys.world.Run(time.Second, nil)
	oldPrimary := sys.group.Primary()
	oldPrimary.Stopped = true
	leaders := make(map[uint64]string)
	check := func() {
		for _, d := range sys.group.Databases {
			if s := d.State.Status(); s.Role == standin.Primary {
				if other, ok := leaders[s.Term]; ok {
					require.Equal(t, other, s.Name, "seed %d: term %d has two primaries", seed, s.Term)
				}
				leaders[s.Term] = s.Name
			}
		}
	}
	sys.world.Run(6*time.Second, check)
	gap, ok := sys.gap(time.Second)
	require.True(t, ok, "seed %d: no write was accepted after the fault", seed)
	require.Less(t, gap, maxGap)
	oldPrimary.Stopped = false
	sys.world.Run(10*time.Second, check)
	status := oldPrimary.State.Status()
	require.Equal(t, standin.Replica, status.Role, "seed %d: the old primary was not fenced", seed)
	require.Equal(t, sys.group.Primary().State.Status().Term, status.Term, "seed %d: the old primary does not follow", seed)
}
