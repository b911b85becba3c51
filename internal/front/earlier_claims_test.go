package front

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// A lost primary was not replaced for seconds after a restore.
func TestClaimsOfEarlierErasAreAskedFor(t *testing.T) {
	none := func(context.Context, string, uint64) (earlierClaimsResult, error) { return earlierClaimsResult{}, nil }
	for name, c := range map[string]struct {
		ask  func(context.Context, string, uint64) (earlierClaimsResult, error)
		free bool
	}{
		"none acts": {none, true},
		"one acts": {func(_ context.Context, name string, _ uint64) (earlierClaimsResult, error) {
			return earlierClaimsResult{Acting: name == "b"}, nil
		}, false},
		"one is silent": {func(ctx context.Context, name string, _ uint64) (earlierClaimsResult, error) {
			if name == "b" {
				<-ctx.Done()
				return earlierClaimsResult{}, ctx.Err()
			}
			return earlierClaimsResult{}, nil
		}, false},
		"one is of an earlier build": {func(_ context.Context, name string, _ uint64) (earlierClaimsResult, error) {
			return earlierClaimsResult{}, errors.New("method not found")
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, r := claimsIn(&restoredStore{}, 2)
			r.earlierClaims = earlierClaims{claimants: func() ([]string, error) { return []string{"a", "b"}, nil }, ask: c.ask}
			now := f.clock.Now()
			require.True(t, r.agreement.AwaitsEarlierClaims(now))
			r.mu.Lock()
			r.askEarlierClaimsLocked(now)
			r.mu.Unlock()
			claimable := func() bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				_, free := r.agreement.Claimable(now, "self")
				return free
			}
			if c.free {
				require.Eventually(t, claimable, clock.Minute.Std(), clock.Millisecond.Std())
				return
			}
			require.Never(t, claimable, (2 * earlierClaimsTimeout).Std(), clock.Millisecond.Std())
		})
	}
}

// An answer about an earlier era must not end the wait of a later one.
func TestAnswersOfTheEraBeforeDoNotEndTheWait(t *testing.T) {
	f, r := claimsIn(&restoredStore{}, 2)
	r.beginEra(3, f.clock.Now())
	r.agreement.EndEarlierClaims(2)
	_, free := r.agreement.Claimable(f.clock.Now(), "self")
	require.False(t, free)
}

// A proxy that claims or acts says so, but not of a claim of the era that is asked for.
func TestActingProxySaysSo(t *testing.T) {
	f, r := claimsIn(&restoredStore{}, 1)
	acting := func(params string) bool {
		answer, err := f.handleEarlierClaims([]byte(params))
		require.NoError(t, err)
		return answer.(earlierClaimsResult).Acting
	}
	require.False(t, acting(`{"group":"shop","era":2}`))
	r.running, r.runningEra = true, 1
	require.True(t, acting(`{"group":"shop","era":2}`))
	require.False(t, acting(`{"group":"shop","era":1}`))
	require.False(t, acting(`{"group":"unknown","era":2}`))
	_, err := f.handleEarlierClaims([]byte(`[`))
	require.Error(t, err)
}

// In a large fleet only the homes of a group are asked.
func TestFewProxiesAreAskedForClaims(t *testing.T) {
	for count, asked := range map[int]int{15: 14, 60: 59} {
		f := New(Settings{Name: "p000", Zone: "a"}, Platform{Store: &hangingStore{}}, clock.NewBoot(), zap.NewNop(), NewMetrics())
		require.NoError(t, f.startPeers("127.0.0.1:0"))
		t.Cleanup(f.peerConns.Close)
		for _, p := range makeProxies(count) {
			f.roster.listed[p.Name] = p
		}
		f.homes.SetMembers(f.roster.live())
		names, err := f.claimants("shop")
		require.NoError(t, err)
		require.Len(t, names, asked)
		require.NotContains(t, names, "p000")
	}
	f := New(Settings{Name: "p000", Zone: "a"}, Platform{Store: &hangingStore{}}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	require.NoError(t, f.startPeers("127.0.0.1:0"))
	t.Cleanup(f.peerConns.Close)
	for _, p := range makeProxies(295) {
		f.roster.listed[p.Name] = p
	}
	f.homes.SetMembers(f.roster.live())
	f.relays.setMembers(f.roster.live())
	_, err := f.claimants("shop")
	var many *tooManyError
	require.ErrorAs(t, err, &many, "any of them may claim")
	f.homes.SetConnectionLimits(map[string]int{"shop": 162})
	homes := f.homes.Homes("shop")
	require.NotEmpty(t, homes)
	require.Less(t, len(homes), 30)
	names, err := f.claimants("shop")
	require.NoError(t, err)
	for _, name := range names {
		require.True(t, proxy.ContainsPeer(homes, name))
	}
	require.Len(t, f.relays.nearest(maxAskedRelays), maxAskedRelays)
}
