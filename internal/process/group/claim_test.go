package group

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func claimRow(t *testing.T, c Claim) []byte {
	t.Helper()
	value, err := json.Marshal(c)
	require.NoError(t, err)
	return value
}

// A proxy that has waited before it claims must not take over a claim that it
// has learned of meanwhile.
func TestOpenClaimIsNotFree(t *testing.T) {
	a := NewAgreement()
	now := clock.Time(10_000)
	version, free := a.Claimable(now, "self")
	require.True(t, free)
	require.Zero(t, version)

	require.NoError(t, a.ObserveClaim(now, claimRow(t, Claim{Holder: "other", Open: true}), 15))
	_, free = a.Claimable(now.Add(100), "self")
	require.False(t, free, "the holder may be at work")
	_, free = a.Claimable(now.Add(claimLife), "self")
	require.False(t, free, "an order that was sent in time may be under way")
	version, free = a.Claimable(now.Add(claimLife+claimRest), "self")
	require.True(t, free, "the holder has stopped acting")
	require.Equal(t, uint64(15), version)

	require.NoError(t, a.ObserveClaim(now, claimRow(t, Claim{Holder: "other"}), 17))
	_, free = a.Claimable(now.Add(1), "self")
	require.True(t, free, "the holder has given up")
	require.NoError(t, a.ObserveClaim(now, claimRow(t, Claim{Holder: "other", Promoted: "b", Term: 2}), 18))
	_, free = a.Claimable(now.Add(100), "self")
	require.False(t, free, "the new primary is not known everywhere yet")
	_, free = a.Claimable(now.Add(settleRest), "self")
	require.False(t, free, "two holders would act by turns")
	_, free = a.Claimable(now.Add(settleRest), "other")
	require.True(t, free, "the last holder may act again")
	_, free = a.Claimable(now.Add(turnRest), "self")
	require.True(t, free)
}

func TestVotesCountOnceAndForATime(t *testing.T) {
	a := NewAgreement()
	now := clock.Time(10_000)
	v := Vote{Primary: "a", Term: 1}
	value, err := json.Marshal(v)
	require.NoError(t, err)
	require.NoError(t, a.ObserveVote(now, "self", value, 3))
	require.False(t, a.Agrees(now, "self", v), "a proxy does not agree with itself")
	require.NoError(t, a.ObserveVote(now, "other", value, 4))
	require.True(t, a.Agrees(now, "self", v))
	require.False(t, a.Agrees(now, "self", Vote{Primary: "a", Term: 2}))
	later := now.Add(suspicionLife)
	require.False(t, a.Agrees(later, "self", v))
	require.NoError(t, a.ObserveVote(later, "other", value, 4))
	require.False(t, a.Agrees(later, "self", v), "a row read again is no new vote")
}
