package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func makeProxies(n int) []proxy.Peer {
	var list []proxy.Peer
	for i := range n {
		list = append(list, proxy.Peer{Name: fmt.Sprintf("p%03d", i), Zone: []string{"a", "b", "c"}[i%3]})
	}
	return list
}

// A few proxies follow the store directly. With many, the load on the store
// grows only with the number of relays, and every zone has one.
func TestRelaysAreFewAndInEveryZone(t *testing.T) {
	require.Empty(t, chooseTiers(makeProxies(25)).relays)
	for _, n := range []int{26, 27, 49} {
		require.Len(t, chooseTiers(makeProxies(n)).relays, 3)
	}
	for _, n := range []int{50, 121, 1000, 4900} {
		list := chooseTiers(makeProxies(n)).relays
		require.GreaterOrEqual(t, len(list), n/proxiesPerRelay)
		require.LessOrEqual(t, len(list), n/proxiesPerRelay+1)
		zones := make(map[string]bool)
		for _, p := range list {
			zones[p.Zone] = true
		}
		require.Len(t, zones, 3)
	}
}

// Each proxy polls a relay of its own zone first, and the proxies are spread
// over the relays.
func TestProxiesSpreadOverRelaysOfTheirZone(t *testing.T) {
	members := makeProxies(600)
	list := chooseTiers(members).relays
	asked := make(map[string]int)
	for _, p := range members {
		first := sortByPreference(p, list)[0]
		require.Equal(t, p.Zone, first.Zone)
		asked[first.Name]++
	}
	for name, n := range asked {
		require.LessOrEqual(t, n, 2*proxiesPerRelay, name)
	}
	require.GreaterOrEqual(t, len(asked), len(list)*3/4)
}

// newRelayPair returns a relay and a proxy that polls it over the loopback
// interface. Both use the clock c.
func newRelayPair(t *testing.T, c timers) (follower, relay *relays) {
	members := makeProxies(60)
	list := chooseTiers(members).relays
	log := zap.NewNop()
	relay = newRelays(list[0], []string{"t"}, c, log)
	server, err := proxy.NewPeers("127.0.0.1:0", &peerHandler{relays: relay}, log)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	var self proxy.Peer
	for i := range members {
		switch members[i].Name {
		case list[0].Name:
			members[i].Address = server.Address()
		default:
			members[i].Address = "127.0.0.1:1" // refuses connections
			if self = members[i]; proxy.ContainsPeer(list, self.Name) {
				self = proxy.Peer{}
			}
		}
	}
	require.NotEmpty(t, self.Name)
	follower = newRelays(self, []string{"t"}, c, log)
	follower.peers, err = proxy.NewPeers("127.0.0.1:0", &peerHandler{relays: follower}, log)
	require.NoError(t, err)
	t.Cleanup(follower.peers.Close)
	follower.peers.SetPeers(members)
	relay.setMembers(members)
	relay.markStoreAnswered(c.Now())
	follower.setMembers(members)
	// Poll only the relay that is running.
	follower.mu.Lock()
	follower.sources = list[:1]
	follower.mu.Unlock()
	return follower, relay
}

// polled is the outcome of a poll.
type polled struct {
	changes store.Changes
	from    string
	err     error
}

// startPoll polls the relay in the background and returns once the relay holds
// the poll.
func startPoll(c *manualClock, follower *relays, known bool, version store.Version) <-chan polled {
	result := make(chan polled, 1)
	held := c.waits()
	go func() {
		changes, from, err := follower.poll("t", known, version)
		result <- polled{changes, from, err}
	}()
	for c.waits() == held && len(result) == 0 {
		time.Sleep(time.Millisecond)
	}
	return result
}

func TestRelayForwardsChanges(t *testing.T) {
	c := newManualClock()
	follower, relay := newRelayPair(t, c)
	result := startPoll(c, follower, false, at(0))
	c.Advance(initialPollWait)
	require.ErrorIs(t, (<-result).err, errStoreLost, "the relay knows nothing yet")
	c.Advance(minRetryDelay)

	// An initial poll waits for a relay that has just started.
	whole := store.Changes{Rows: []store.Row{{Key: "a", Value: []byte("1"), Version: at(4)}}, Whole: true, Version: at(4)}
	result = startPoll(c, follower, false, at(0))
	c.Advance(initialPollWait / 2)
	relay.update("t", whole)
	require.Equal(t, polled{changes: whole, from: relay.self.Name}, <-result)

	// Later polls are held open until something changes.
	result = startPoll(c, follower, true, at(4))
	c.Advance(relayPollWait - 1)
	require.Empty(t, result)
	relay.markStoreAnswered(c.Now())
	relay.update("t", store.Changes{Rows: []store.Row{{Key: "a", Version: at(6), Deleted: true}}, Version: at(6)})
	got := <-result
	require.NoError(t, got.err)
	require.Equal(t, at(6), got.changes.Version)
	require.True(t, got.changes.Rows[0].Deleted)

	// A relay that has lost the store reports it at once.
	result = startPoll(c, follower, true, at(6))
	require.Empty(t, result)
	relay.markStoreLost()
	require.ErrorIs(t, (<-result).err, errStoreLost)
	require.Empty(t, follower.candidates())
}

// A relay that does not respond costs one wait before the store is called. It
// is then avoided for a while, and the next poll goes to another relay.
func TestFailedRelayIsAvoided(t *testing.T) {
	follower, relay := newRelayPair(t, systemTimers{clock.NewBoot()})
	follower.mu.Lock()
	follower.sources = []proxy.Peer{{Name: "p059"}, relay.self}
	follower.mu.Unlock()
	relay.update("t", store.Changes{Whole: true, Version: at(4)})
	// A process without data polls only one relay, since callers wait.
	_, _, err := follower.poll("t", false, at(0))
	require.ErrorIs(t, err, errNoRelay)
	require.Equal(t, []string{relay.self.Name}, follower.candidates())
	_, from, err := follower.poll("t", false, at(0))
	require.NoError(t, err)
	require.Equal(t, relay.self.Name, from)
}

// A proxy that is not a relay, or has had no recent contact with the store,
// must report the store as lost, so that its followers call the store
// themselves.
func TestOnlyRelaysWithRecentStoreContactAnswer(t *testing.T) {
	r := newRelays(proxy.Peer{Name: "self", Zone: "a"}, []string{"t"}, systemTimers{clock.NewBoot()}, zap.NewNop())
	r.update("t", store.Changes{Whole: true, Version: at(4)})
	require.True(t, r.awaitChanges(r.copies["t"], followParams{Known: true, Version: at(4)}).Lost)
	r.selfIsRelay = true
	r.markStoreAnswered(r.clock.Now())
	require.False(t, r.awaitChanges(r.copies["t"], followParams{Known: true, Version: at(4)}).Lost)
	r.markStoreAnswered(r.clock.Now().Add(-heartbeatWait - heartbeatGrace))
	require.True(t, r.awaitChanges(r.copies["t"], followParams{Known: true, Version: at(4)}).Lost)
}

// A follower took the registry for as recent as the answer of its relay, which may itself not
// have heard of the store for a while.
func TestProofOfTheRegistryIsPassedOnWithItsAge(t *testing.T) {
	c := newManualClock()
	follower, relay := newRelayPair(t, c)
	relay.update("t", store.Changes{Whole: true, Version: at(4)})
	poll := func() {
		t.Helper()
		_, _, err := follower.poll("t", false, at(0))
		require.NoError(t, err)
	}
	follower.registryTable = "t"
	poll()
	require.Zero(t, follower.registryProof(), "the relay does not follow the registry")

	relay.registry, relay.registryTable = group.NewRegistryProof(c), "t"
	poll()
	require.Zero(t, follower.registryProof(), "the relay has not read the registry")

	read := c.Now()
	relay.registry.Prove(read)
	c.Advance(300)
	relay.markStoreAnswered(c.Now())
	poll()
	require.Equal(t, read, follower.registryProof())
}

// Only what the store, or a relay with its age, has answered proves the registry.
func TestRegistryIsProvenAsOfTheCall(t *testing.T) {
	f := New(Settings{}, Platform{RegistryTable: "servers"}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	f.relays = newRelays(proxy.Peer{Name: "self"}, []string{"servers"}, systemTimers{f.clock}, f.log)
	f.recordRegistryRead(1000, "relay", at(4))
	require.Zero(t, f.registry.proof.At(), "the relay did not say how old its copy is")
	f.relays.recordSourceProof(1000, 300)
	f.recordRegistryRead(1000, "relay", at(4))
	require.EqualValues(t, 700, f.registry.proof.At())
	f.recordRegistryRead(2000, "", at(5))
	require.EqualValues(t, 2000, f.registry.proof.At())
	f.recordRegistryRead(1500, "", at(5))
	require.EqualValues(t, 2000, f.registry.proof.At(), "calls may end in another order")
	require.Equal(t, at(5), f.registry.appliedVersion())
}
