package workspace

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// A proxy that held back as the new accountant was frozen while the store went back to a
// copy. It granted when its hold had ended, although the others had another accountant.
func TestHoldDoesNotEndWithoutARecentProof(t *testing.T) {
	w := rankedWorkspace("self", "before")
	for _, released := range []bool{false, true} {
		a := newTestAccountant("self")
		a.Assign(worldStart, []string{"before"}, false)
		taken := worldStart.Add(clock.Second)
		a.Assign(taken, []string{"before", "self"}, false)
		require.True(t, grantOf(a, taken, w).Holding)
		m := a.Messages(taken)[0]
		end := taken.Add(2 * SpreadTime)
		if released {
			a.Answered(taken.Add(5), m, []Grant{{Workspace: w, Holding: true, HeldMillis: 2*SpreadTime - 5}})
		}
		a.SetProof(taken, taken)
		a.SetProof(end.Add(-SpreadTime), end.Add(-SpreadTime-1))
		require.True(t, grantOf(a, end, w).Holding)
		require.True(t, grantOf(a, end.Add(clock.Second), w).Holding)
		proved := end.Add(1500)
		a.SetProof(proved, proved.Add(-100))
		g := grantOf(a, proved, w)
		require.False(t, g.Holding)
		require.Zero(t, g.Tokens, "the bucket has not filled before")
		require.Positive(t, grantOf(a, proved.Add(100), w).Tokens)
	}
}

// With proofs of the usual age, an accountant grants as soon as its hold has ended.
func TestHoldEndsInTimeWithUsualProofs(t *testing.T) {
	w := rankedWorkspace("self")
	a := newTestAccountant("self")
	a.Assign(worldStart, []string{"self"}, false)
	end := worldStart.Add(2 * SpreadTime)
	for now := worldStart; now <= end.Add(clock.Minute); now = now.Add(50) {
		// Proofs are 1,900 ms old at most.
		at := worldStart.Add(now.Sub(worldStart) / 1800 * 1800)
		a.SetProof(now, at.Add(-100))
		require.Equal(t, now < end, grantOf(a, now, w).Holding, now)
	}
	require.Equal(t, end, a.buckets[w].from)
}

// A proxy that has accounted for a workspace goes on while it is served from an old proof,
// as long as that counts.
func TestProofIsNeededOnlyAtTheEndOfAHold(t *testing.T) {
	w := rankedWorkspace("self")
	a := newTestAccountant("self")
	a.Assign(worldStart, []string{"self"}, false)
	end := worldStart.Add(2 * SpreadTime)
	a.SetProof(end, end)
	require.Positive(t, grantOf(a, end.Add(clock.Second), w).Tokens)
	require.Positive(t, grantOf(a, end.Add(2*SpreadTime), w).Tokens)
	a.SetProof(end.Add(3*SpreadTime), end.Add(3*SpreadTime))
	require.Positive(t, grantOf(a, end.Add(3*SpreadTime), w).Tokens)
	require.Equal(t, end, a.buckets[w].from)
}
