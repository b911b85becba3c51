package group

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Any majority of holders meets any set of databases that suffices for a promotion.
func TestPreservedEntriesAreAmongAllFences(t *testing.T) {
	for size := 1; size <= 7; size++ {
		for holders := range 1 << size {
			var evidence []Evidence
			for i := range size {
				evidence = append(evidence, Evidence{Holds: holders&(1<<i) != 0, Unbroken: true})
			}
			missed := false
			for fenced := range 1 << size {
				missed = missed || fencesSuffice(newMembership(1<<size-1), fenced) && fenced&holders == 0
			}
			require.Equal(t, !missed, Preserves(evidence, size), "size %d, holders %b", size, holders)
		}
	}
}

// A database that may have lost a fence counts only if all databases have the entry.
func TestRestartedDatabasesPreserveOnlyWhatAllHave(t *testing.T) {
	unbroken, restarted, lacking := Evidence{Holds: true, Unbroken: true}, Evidence{Holds: true}, Evidence{Unbroken: true}
	for _, c := range []struct {
		evidence  []Evidence
		preserved bool
	}{
		{[]Evidence{unbroken, unbroken, lacking}, true},
		{[]Evidence{unbroken, restarted, lacking}, false},
		{[]Evidence{restarted, restarted, restarted}, true},
		{[]Evidence{unbroken, restarted, restarted, lacking, lacking}, false},
		{[]Evidence{unbroken, unbroken, restarted, restarted, lacking}, false},
		{[]Evidence{unbroken, unbroken, unbroken, lacking, lacking}, true},
	} {
		require.Equal(t, c.preserved, Preserves(c.evidence, len(c.evidence)), "%+v", c.evidence)
		require.True(t, mayBePreserved(c.evidence, RequiredConfirmations(len(c.evidence))+1))
	}
}

// The check must not wait until a commit needs it: beside a replacement, nothing tells that
// databases which have started again before are not fenced.
func TestReplacementIsCheckedAfterARestart(t *testing.T) {
	now := clock.Time(20_000)
	g := newTestGroup(now)
	require.False(t, g.ReplacementUnchecked())
	later := now.Add(100)
	g.ObserveUptime("b", later, later.Add(10))
	require.True(t, g.ReplacementUnchecked())
	g.ObserveUptime("b", later, later.Add(replacementLimit))
	require.False(t, g.ReplacementUnchecked(), "what was claimed before the restart has ended")
	later = later.Add(2 * replacementLimit)
	g.ObserveUptime("b", later, later.Add(10))
	require.True(t, g.ReplacementUnchecked())
	g.ObserveNoReplacement(later.Add(20), later.Add(20))
	require.False(t, g.ReplacementUnchecked())
}
