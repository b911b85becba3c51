package proxy_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/standin/virtual"
	"github.com/oleanderflow/oleanderflow/internal/version/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// activationBound is the target time for a change to become active on all
	// proxies.
	activationBound = 9 * time.Second
	spreadTick      = 20 * time.Millisecond
	storeLatency    = 10 * time.Millisecond
)

var spreadSettings = proxy.Settings{
	PollInterval: clock.Second, GossipInterval: 500 * clock.Millisecond, Fanout: 3, FetchTimeout: 400 * clock.Millisecond,
}

// simProxy is one simulated proxy.
type simProxy struct {
	node        virtual.Node
	spread      *proxy.Spread
	contents    map[string]bool
	highest     uint64
	activatedAt map[uint64]time.Duration
}

// spreadSim simulates a set of proxies and the platform's service in virtual time.
type spreadSim struct {
	t         *testing.T
	world     *virtual.World
	proxies   []*simProxy
	store     proxy.Head
	storeDown bool
	messages  int
	polls     int
	cut       map[string]bool
}

func newSpreadSim(t *testing.T, seed uint64, count int) *spreadSim {
	w := &spreadSim{
		t: t, world: virtual.NewWorld(seed, virtual.Network{InterZoneDelay: 1500 * time.Microsecond, IntraZoneDelay: 100 * time.Microsecond}),
		cut: make(map[string]bool),
	}
	w.world.Network.Partitioned = func(from, to *virtual.Node) bool { return w.cut[from.Name] != w.cut[to.Name] }
	for i := range count {
		w.proxies = append(w.proxies, w.newSimProxy(i))
	}
	for i := range w.proxies {
		w.start(i)
	}
	return w
}

func (w *spreadSim) newSimProxy(i int) *simProxy {
	source := rand.New(rand.NewPCG(w.world.Rand.Uint64(), uint64(i)))
	return &simProxy{
		node:   virtual.Node{Name: fmt.Sprint("proxy", i), Zone: string(rune('a' + i%4))},
		spread: proxy.NewSpread(spreadSettings, source), contents: make(map[string]bool),
		activatedAt: make(map[uint64]time.Duration),
	}
}

func (w *spreadSim) start(i int) {
	s := w.proxies[i]
	var peers []string
	for j, other := range w.proxies {
		if j != i {
			peers = append(peers, other.node.Name)
		}
	}
	s.spread.SetPeers(peers, i < 3)
	w.world.Every(&s.node, spreadTick, func() { w.execute(s, s.spread.Tick(w.world.Now(), nil)) })
}

// replace stops a proxy and starts a new one without any state in its place.
func (w *spreadSim) replace(i int) {
	w.proxies[i].node.Down = true
	w.proxies[i] = w.newSimProxy(i)
	w.start(i)
}

func (w *spreadSim) find(name string) *simProxy {
	for _, s := range w.proxies {
		if s.node.Name == name {
			return s
		}
	}
	return nil
}

func (w *spreadSim) execute(s *simProxy, actions []proxy.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case proxy.Poll:
			w.polls++
			w.fromStore(s, func() { w.execute(s, s.spread.HandlePolled(w.world.Now(), w.store, nil)) })
		case proxy.FetchFromStore:
			w.fromStore(s, func() { w.deliver(s, a.Hash) })
		case proxy.FetchFromPeer:
			peer := w.find(a.Peer)
			w.send(s, peer, func() {
				if peer.contents[a.Hash] {
					w.send(peer, s, func() { w.deliver(s, a.Hash) })
				}
			})
		case proxy.SendHead:
			peer := w.find(a.Peer)
			w.send(s, peer, func() {
				w.execute(peer, peer.spread.HandlePeerHead(w.world.Now(), s.node.Name, a.Head, nil))
				answer := peer.spread.Active()
				w.send(peer, s, func() {
					w.execute(s, s.spread.HandlePeerHead(w.world.Now(), peer.node.Name, answer, nil))
				})
			})
		case proxy.Activate:
			require.Greater(w.t, a.Head.Version, s.highest, "%s returned to a lower version", s.node.Name)
			s.highest = a.Head.Version
			s.contents[a.Head.Hash] = true
			s.activatedAt[a.Head.Version] = w.world.Elapsed()
		}
	}
}

func (w *spreadSim) send(from, to *simProxy, f func()) {
	w.messages++
	w.world.Send(&from.node, &to.node, f)
}

func (w *spreadSim) fromStore(s *simProxy, f func()) {
	w.world.AfterOn(&s.node, storeLatency, func() {
		if !w.storeDown && !w.cut[s.node.Name] {
			f()
		}
	})
}

func (w *spreadSim) deliver(s *simProxy, hash string) {
	w.execute(s, s.spread.HandleContent(hash, []byte(hash), true, nil))
}

func (w *spreadSim) accept() {
	v := w.store.Version + 1
	w.store = proxy.Head{Version: v, Hash: fmt.Sprint("hash", v), ChangeID: fmt.Sprint("change", v)}
}

func (w *spreadSim) run(d time.Duration) { w.world.Run(w.world.Elapsed()+d, nil) }

func (w *spreadSim) requireAllActive(version uint64) {
	w.t.Helper()
	for _, s := range w.proxies {
		require.Equal(w.t, version, s.spread.Active().Version, s.node.Name)
	}
}

// lastActivation returns when the last proxy activated a version.
func (w *spreadSim) lastActivation(version uint64) time.Duration {
	var last time.Duration
	for _, s := range w.proxies {
		last = max(last, s.activatedAt[version])
	}
	return last
}

func TestActivationTime(t *testing.T) {
	for _, count := range []int{16, 64, 256} {
		var times []time.Duration
		for seed := range uint64(30) {
			w := newSpreadSim(t, seed, count)
			w.accept()
			w.run(5 * time.Second)
			w.requireAllActive(1)
			w.run(time.Duration(w.world.Rand.Int64N(int64(time.Second))))
			began := w.world.Elapsed()
			w.accept()
			w.run(activationBound)
			w.requireAllActive(2)
			times = append(times, w.lastActivation(2)-began)
		}
		slices.Sort(times)
		t.Logf("%d proxies: active everywhere after median %v, worst %v of %d changes", count,
			times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond), len(times))
		require.Less(t, times[len(times)-1], activationBound)
	}
}

func TestNewProxyFetchesFromPeersWhileStoreIsDown(t *testing.T) {
	w := newSpreadSim(t, 1, 16)
	w.accept()
	w.run(5 * time.Second)
	w.storeDown = true
	w.run(time.Hour)
	w.replace(5)
	w.replace(0)
	w.run(2 * time.Second)
	w.requireAllActive(1)
}

func TestPartitionedProxyCatchesUp(t *testing.T) {
	w := newSpreadSim(t, 2, 16)
	w.accept()
	w.run(5 * time.Second)
	w.cut["proxy7"] = true
	w.accept()
	w.run(20 * time.Second)
	require.Equal(t, uint64(1), w.proxies[7].spread.Active().Version)
	delete(w.cut, "proxy7")
	w.run(activationBound)
	w.requireAllActive(2)
}

// All proxies are replaced while the store is down. The new ones must have no
// version until it is back, and then the accepted one.
func TestAllProxiesReplacedWhileStoreIsDown(t *testing.T) {
	w := newSpreadSim(t, 3, 16)
	w.accept()
	w.accept()
	w.run(5 * time.Second)
	w.storeDown = true
	for i := range w.proxies {
		w.replace(i)
	}
	w.run(3 * time.Second)
	w.requireAllActive(0)
	w.storeDown = false
	w.run(activationBound)
	w.requireAllActive(2)
}

func TestStaleHeadIsIgnored(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 1))
	s := proxy.NewSpread(spreadSettings, source)
	s.SetPeers([]string{"stale"}, false)
	newer := proxy.Head{Version: 5, Hash: "new"}
	s.HandlePeerHead(0, "other", newer, nil)
	require.NotEmpty(t, s.HandleContent("new", nil, true, nil))
	older := proxy.Head{Version: 4, Hash: "old"}
	require.Empty(t, s.HandlePeerHead(10, "stale", older, nil))
	require.Empty(t, s.HandlePolled(20, older, nil), "a stale read of the table must be ignored")
	require.Empty(t, s.HandleContent("old", nil, true, nil))
	require.Equal(t, newer, s.Active())
}

func TestUnusableContentKeepsActiveVersion(t *testing.T) {
	s := proxy.NewSpread(spreadSettings, rand.New(rand.NewPCG(1, 1)))
	s.HandlePolled(0, proxy.Head{Version: 1, Hash: "one"}, nil)
	s.HandleContent("one", nil, true, nil)
	s.HandlePolled(0, proxy.Head{Version: 2, Hash: "two"}, nil)
	require.Empty(t, s.HandleContent("two", nil, false, nil))
	require.Equal(t, uint64(1), s.Active().Version)
	require.Equal(t, uint64(2), s.Refused().Version)
}

// A table that went back is reported, and does not take proxies back.
func TestTableThatWentBackIsReported(t *testing.T) {
	s := proxy.NewSpread(spreadSettings, rand.New(rand.NewPCG(1, 1)))
	activate := func(h proxy.Head) {
		s.HandlePolled(0, h, nil)
		require.NotEmpty(t, s.HandleContent(h.Hash, nil, true, nil))
	}
	active := proxy.Head{Version: 5, Hash: "five", ChangeID: "e"}
	activate(active)
	require.Zero(t, s.Behind())
	for _, h := range []proxy.Head{{Version: 3, Hash: "three", ChangeID: "c"}, {Version: 5, Hash: "other", ChangeID: "x"}} {
		require.Empty(t, s.HandlePolled(10, h, nil))
		require.Equal(t, h, s.Behind())
		require.Equal(t, active, s.Active())
	}
	activate(proxy.Head{Version: 6, Hash: "six", ChangeID: "y"})
	s.HandlePolled(20, s.Active(), nil)
	require.Zero(t, s.Behind())
}
