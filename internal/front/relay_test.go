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

func someProxies(n int) []proxy.Peer {
	var list []proxy.Peer
	for i := range n {
		list = append(list, proxy.Peer{Name: fmt.Sprintf("p%03d", i), Zone: []string{"a", "b", "c"}[i%3]})
	}
	return list
}

// A few proxies follow the store themselves. With many, the calls to the store
// grow with the relays only, of which each zone has one.
func TestRelaysAreFewAndInEveryZone(t *testing.T) {
	require.Empty(t, chooseRelays(someProxies(17)))
	for _, n := range []int{50, 121, 1000, 4900} {
		list := chooseRelays(someProxies(n))
		require.GreaterOrEqual(t, len(list), n/proxiesPerRelay)
		require.LessOrEqual(t, len(list), n/proxiesPerRelay+1)
		zones := make(map[string]bool)
		for _, p := range list {
			zones[p.Zone] = true
		}
		require.Len(t, zones, 3)
	}
}

// The proxies of a zone ask a relay of their own zone and share them.
func TestRelaysShareTheWork(t *testing.T) {
	members := someProxies(600)
	list := chooseRelays(members)
	asked := make(map[string]int)
	for _, p := range members {
		first := inOrder(p, list)[0]
		require.Equal(t, p.Zone, first.Zone)
		asked[first.Name]++
	}
	for name, n := range asked {
		require.LessOrEqual(t, n, 2*proxiesPerRelay, name)
	}
	require.GreaterOrEqual(t, len(asked), len(list)*3/4)
}

// relayPair are a relay and a proxy that asks it over the loopback.
func relayPair(t *testing.T) (asking, relay *relays) {
	members := someProxies(60)
	list := chooseRelays(members)
	c, log := clock.NewBoot(), zap.NewNop()
	relay = newRelays(list[0], []string{"t"}, c, log)
	server, err := proxy.NewPeers("127.0.0.1:0", &receiver{relays: relay}, log)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	var self proxy.Peer
	for i := range members {
		switch members[i].Name {
		case list[0].Name:
			members[i].Address = server.Address()
		default:
			members[i].Address = "127.0.0.1:1" // refuses
			if self = members[i]; proxy.ContainsPeer(list, self.Name) {
				self = proxy.Peer{}
			}
		}
	}
	require.NotEmpty(t, self.Name)
	asking = newRelays(self, []string{"t"}, c, log)
	asking.peers, err = proxy.NewPeers("127.0.0.1:0", &receiver{relays: asking}, log)
	require.NoError(t, err)
	t.Cleanup(asking.peers.Close)
	asking.peers.SetPeers(members)
	relay.setMembers(members)
	relay.heard(c.Now())
	asking.setMembers(members)
	// Only the relay that lives is asked.
	asking.mu.Lock()
	asking.ordered = list[:1]
	asking.mu.Unlock()
	return asking, relay
}

func TestRelayHandsOnChanges(t *testing.T) {
	asking, relay := relayPair(t)
	now := relay.clock.Now
	_, _, err := asking.follow("t", false, 0)
	require.ErrorIs(t, err, errStoreLost, "the relay knows nothing yet")
	time.Sleep((leastRetry + 10).Std())

	// A first question waits for a relay that has just started.
	go func() {
		time.Sleep((firstWait / 2).Std())
		relay.take("t", store.Changes{Rows: []store.Row{{Key: "a", Value: []byte("1"), Version: 4}}, Whole: true, Version: 4})
	}()
	changes, from, err := asking.follow("t", false, 0)
	require.NoError(t, err)
	require.Equal(t, relay.self.Name, from)
	require.Equal(t, store.Changes{Rows: []store.Row{{Key: "a", Value: []byte("1"), Version: 4}}, Whole: true, Version: 4}, changes)

	// Later ones are held until something changes.
	began := now()
	go func() {
		time.Sleep(100 * time.Millisecond)
		relay.take("t", store.Changes{Rows: []store.Row{{Key: "a", Version: 6, Deleted: true}}, Version: 6})
	}()
	changes, _, err = asking.follow("t", true, 4)
	require.NoError(t, err)
	require.Equal(t, uint64(6), changes.Version)
	require.True(t, changes.Rows[0].Deleted)
	require.Less(t, now().Sub(began), clock.Second)

	// One that has lost the store says so at once.
	go func() {
		time.Sleep(100 * time.Millisecond)
		relay.lose()
	}()
	began = now()
	_, _, err = asking.follow("t", true, 6)
	require.ErrorIs(t, err, errStoreLost)
	require.Less(t, now().Sub(began), clock.Second)
	require.Empty(t, asking.candidates())
}

// A relay that does not answer costs one wait, and then the store is asked.
func TestSilentRelayIsAvoided(t *testing.T) {
	asking, relay := relayPair(t)
	asking.mu.Lock()
	asking.ordered = []proxy.Peer{{Name: "p059"}, relay.self}
	asking.mu.Unlock()
	relay.take("t", store.Changes{Whole: true, Version: 4})
	// A process that knows nothing asks one relay only, since callers wait.
	_, _, err := asking.follow("t", false, 0)
	require.ErrorIs(t, err, errNoRelay)
	require.Equal(t, []string{relay.self.Name}, asking.candidates())
	_, from, err := asking.follow("t", false, 0)
	require.NoError(t, err)
	require.Equal(t, relay.self.Name, from)
}

// A proxy that is no relay, or has not heard of the store for long, sends
// those who ask it to the store.
func TestOnlyFreshRelaysAnswer(t *testing.T) {
	r := newRelays(proxy.Peer{Name: "self", Zone: "a"}, []string{"t"}, clock.NewBoot(), zap.NewNop())
	r.take("t", store.Changes{Whole: true, Version: 4})
	require.True(t, r.await(r.copies["t"], followParams{Known: true, Version: 4}).Lost)
	r.relay = true
	r.heard(r.clock.Now())
	require.False(t, r.await(r.copies["t"], followParams{Known: true, Version: 4}).Lost)
	r.heard(r.clock.Now().Add(-pulse - pulseGrace))
	require.True(t, r.await(r.copies["t"], followParams{Known: true, Version: 4}).Lost)
}
