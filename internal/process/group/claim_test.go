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

// A proxy that learns of an open claim while it waits to claim must not take
// that claim over before its holder has stopped acting.
func TestOpenClaimIsNotClaimable(t *testing.T) {
	a := NewAgreement()
	now := clock.Time(10_000)
	version, free := a.Claimable(now, "self")
	require.True(t, free)
	require.Zero(t, version)

	require.NoError(t, a.ObserveClaim(now, claimRow(t, Claim{Holder: "other", Open: true}), 15))
	_, free = a.Claimable(now.Add(100), "self")
	require.False(t, free, "the holder may still act on its claim")
	_, free = a.Claimable(now.Add(claimTTL), "self")
	require.False(t, free, "a command that was sent in time may still be in flight")
	version, free = a.Claimable(now.Add(claimTTL+takeoverDelay), "self")
	require.True(t, free, "the holder has stopped acting")
	require.Equal(t, uint64(15), version)

	require.NoError(t, a.ObserveClaim(now, claimRow(t, Claim{Holder: "other"}), 17))
	_, free = a.Claimable(now.Add(1), "self")
	require.True(t, free, "the holder has closed its claim")
	require.NoError(t, a.ObserveClaim(now, claimRow(t, Claim{Holder: "other", Promoted: "b", Term: 2}), 18))
	_, free = a.Claimable(now.Add(100), "self")
	require.False(t, free, "the new primary is not known everywhere yet")
	_, free = a.Claimable(now.Add(holderReclaimDelay), "self")
	require.False(t, free, "two holders would send commands in alternation")
	_, free = a.Claimable(now.Add(holderReclaimDelay), "other")
	require.True(t, free, "the last holder may act again")
	_, free = a.Claimable(now.Add(otherReclaimDelay), "self")
	require.True(t, free)
}

func TestVotesCountOnceAndExpire(t *testing.T) {
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
	later := now.Add(voteTTL)
	require.False(t, a.Agrees(later, "self", v))
	require.NoError(t, a.ObserveVote(later, "other", value, 4))
	require.False(t, a.Agrees(later, "self", v), "a row that is read again is not a new vote")
}
