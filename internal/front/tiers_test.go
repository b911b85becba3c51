package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// The number of proxies that follow the store grows with the fleet only where one
// root would have too many relays.
func TestFewRootsFollowTheStore(t *testing.T) {
	for n, roots := range map[int]int{60: 3, 124: 5, 138: 3, 295: 3, 1000: 3, 4900: 7} {
		chosen := chooseTiers(makeProxies(n))
		require.Len(t, chosen.roots, roots, n)
		zones := make(map[string]bool)
		for _, p := range chosen.roots {
			zones[p.Zone] = true
		}
		require.Len(t, zones, 3, "the roots of %d proxies are in too few zones", n)
		for _, p := range chosen.relays {
			sources := chosen.sources(p)
			if proxy.ContainsPeer(chosen.roots, p.Name) {
				require.Empty(t, sources)
				continue
			}
			require.ElementsMatch(t, chosen.roots, sources)
		}
		require.ElementsMatch(t, chosen.relays, chosen.sources(proxy.Peer{Name: "new", Zone: "a"}))
	}
}

// startTier starts a proxy with the given relays' view on the loopback interface.
func startTier(t *testing.T, self string, c timers) *relays {
	r := newRelays(proxy.Peer{Name: self, Zone: "a"}, []string{"t"}, c, zap.NewNop())
	peers, err := proxy.NewPeers("127.0.0.1:0", &peerHandler{relays: r}, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(peers.Close)
	r.peers, r.self.Address = peers, peers.Address()
	return r
}

// connectTiers makes root the source of relay, and relay that of follower.
func connectTiers(root, relay, follower *relays) {
	all := []proxy.Peer{root.self, relay.self, follower.self}
	chosen := tiers{relays: all[:2], roots: all[:1]}
	for i, r := range []*relays{root, relay, follower} {
		r.peers.SetPeers(all)
		r.tiers, r.sources = chosen, chosen.sources(r.self)
		r.selfIsRelay, r.selfIsRoot = i < 2, i == 0
		for _, c := range r.copies {
			c.KeepHistory(r.selfIsRelay)
		}
	}
}

// pass polls the sources of r once and keeps what they answer.
func pass(t *testing.T, r *relays, known bool, version store.Version) store.Changes {
	changes, _, err := r.poll("t", known, version)
	require.NoError(t, err)
	r.update("t", changes)
	return changes
}

// A change passes from the root over the relay to the follower, a change of a
// large row as a patch.
func TestChangesPassThroughTiers(t *testing.T) {
	c := newManualClock()
	root, relay, follower := startTier(t, "root", c), startTier(t, "relay", c), startTier(t, "follower", c)
	connectTiers(root, relay, follower)
	value := largeValue(400)
	root.markStoreAnswered(c.Now())
	root.update("t", store.Changes{Rows: []store.Row{{Key: "config", Value: value, Version: at(3)}}, Whole: true, Version: at(3)})
	require.Equal(t, value, pass(t, relay, false, at(0)).Rows[0].Value)
	require.Equal(t, value, pass(t, follower, false, at(0)).Rows[0].Value)

	changed := append([]byte(nil), value...)
	copy(changed[len(changed)/2:], "changed")
	root.update("t", store.Changes{Rows: []store.Row{{Key: "config", Value: changed, Version: at(9)}}, Version: at(9)})
	for _, r := range []*relays{relay, follower} {
		source := root
		if r == follower {
			source = relay
		}
		sent := source.copies["t"].Since(true, at(3))
		source.copies["t"].Compact(&sent, r.copies["t"].Sums())
		require.NotNil(t, sent.Rows[0].Patch, "the whole value was sent")
		require.Less(t, sent.Rows[0].Patch.Size(), len(value)/20)
		got := pass(t, r, true, at(3))
		require.Equal(t, store.Row{Key: "config", Value: changed, Version: at(9)}, got.Rows[0])
	}
}

// A root that has lost the store is noticed by the relay, and by its followers,
// though the relay itself is well.
func TestLostRootIsNoticedBelowItsRelays(t *testing.T) {
	c := newManualClock()
	root, relay, follower := startTier(t, "root", c), startTier(t, "relay", c), startTier(t, "follower", c)
	connectTiers(root, relay, follower)
	root.markStoreAnswered(c.Now())
	root.update("t", store.Changes{Whole: true, Version: at(3)})
	pass(t, relay, false, at(0))
	pass(t, follower, false, at(0))
	root.markStoreLost()
	_, _, err := relay.poll("t", true, at(3))
	require.ErrorIs(t, err, errStoreLost)
	c.Advance(heartbeatWait + heartbeatGrace)
	_, _, err = follower.poll("t", true, at(3))
	require.ErrorIs(t, err, errStoreLost)
}

// With different views of the members, two relays may take each other for a root.
// They must not keep each other fresh without hearing of the store.
func TestRelaysThatFollowEachOtherNoticeTheLostStore(t *testing.T) {
	c := newManualClock()
	a, b := startTier(t, "a", c), startTier(t, "b", c)
	both := []proxy.Peer{a.self, b.self}
	for i, r := range []*relays{a, b} {
		r.peers.SetPeers(both)
		r.selfIsRelay, r.sources = true, both[1-i:2-i]
		r.update("t", store.Changes{Whole: true, Version: at(3)})
	}
	a.markStoreAnswered(c.Now())
	lost := false
	for range 20 {
		for _, r := range []*relays{b, a} {
			done := make(chan struct{})
			go func() {
				defer close(done)
				changes, _, err := r.poll("t", true, at(3))
				lost = lost || err != nil
				if err == nil {
					r.update("t", changes)
				}
			}()
			for waiting := true; waiting; {
				select {
				case <-done:
					waiting = false
				case <-time.After(time.Millisecond):
					c.Advance(50 * clock.Millisecond)
				}
			}
		}
	}
	require.True(t, lost)
	_, contact := a.contactAge(c.Now())
	require.False(t, contact)
}

// A process whose table is to be read anew must not be given an older one than it
// had: rows that were removed since would be back.
func TestWholeTableIsNotOlderThanTheFollowers(t *testing.T) {
	c := newManualClock()
	r := newRelays(proxy.Peer{Name: "relay"}, []string{"t"}, c, zap.NewNop())
	r.selfIsRelay = true
	r.markStoreAnswered(c.Now())
	r.update("t", store.Changes{Rows: []store.Row{{Key: "left", Version: at(4)}}, Whole: true, Version: at(4)})
	require.True(t, r.awaitChanges(r.copies["t"], followParams{Version: at(7)}).Lost)
	require.Len(t, r.awaitChanges(r.copies["t"], followParams{Version: at(4)}).Rows, 1)
}

// largeValue returns a value of n segments that is sent as a patch once it
// changes.
func largeValue(n int) []byte {
	var value []byte
	for i := range n {
		value = fmt.Appendf(value, `{"route":%d},`, i)
	}
	return value
}

// During an upgrade, proxies of an earlier build follow this one. They know neither
// patches nor compressed values, and would take such a row for an empty one.
func TestEarlierBuildsAreSentWholeValues(t *testing.T) {
	r := newRelays(proxy.Peer{Name: "relay"}, []string{"t"}, newManualClock(), zap.NewNop())
	r.selfIsRelay = true
	r.copies["t"].KeepHistory(true)
	r.markStoreAnswered(r.clock.Now())
	rows := []store.Row{{Key: "config", Value: largeValue(400), Version: at(4)}}
	r.update("t", store.Changes{Rows: rows, Whole: true, Version: at(4)})
	for _, params := range []string{`{"table":"t"}`, `{"table":"t","known":true,"version":3}`} {
		answer, err := r.handleFollow([]byte(params))
		require.NoError(t, err)
		require.Equal(t, rows, answer.(followResult).Rows)
	}
	answer, err := r.handleFollow([]byte(`{"table":"t","compact":true}`))
	require.NoError(t, err)
	require.NotEmpty(t, answer.(followResult).Rows[0].Packed)
}

// A root that the store turns away must go on learning of changes from other roots: their
// proofs are of configurations that it would otherwise lack, so that it could confirm
// nothing as accountant of workspaces.
func TestRootWithoutTheStoreFollowsOtherRoots(t *testing.T) {
	c := newManualClock()
	root, cut, follower := startTier(t, "root", c), startTier(t, "cut", c), startTier(t, "follower", c)
	connectTiers(root, cut, follower)
	for _, r := range []*relays{root, cut} {
		r.tiers.roots, r.sources, r.selfIsRoot, r.followRoots = r.tiers.relays, nil, true, true
	}
	cut.markStoreAnswered(c.Now())
	require.Empty(t, cut.candidates(), "the store answers")
	c.Advance(heartbeatWait)
	root.markStoreAnswered(c.Now())
	root.update("t", store.Changes{Rows: []store.Row{{Key: "config", Value: []byte("{}"), Version: at(3)}}, Whole: true, Version: at(3)})
	require.Equal(t, at(3), pass(t, cut, false, at(0)).Version)
	cut.followRoots = false
	require.Empty(t, cut.candidates(), "no proofs are needed")
}
