package proxy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/standin/virtual"
)

const membershipTick = 50 * time.Millisecond

type memberNode struct {
	node       virtual.Node
	membership *proxy.Membership
}

type memberSim struct {
	world     *virtual.World
	nodes     []*memberNode
	datagrams int
	syncs     int
}

func newMemberSim(seed uint64, count int) *memberSim {
	w := &memberSim{world: virtual.NewWorld(seed, virtual.Network{InterZoneDelay: time.Millisecond, IntraZoneDelay: 100 * time.Microsecond})}
	for i := range count {
		w.nodes = append(w.nodes, w.newNode(i, 1))
	}
	for _, n := range w.nodes {
		w.join(n)
	}
	return w
}

func (w *memberSim) newNode(i int, incarnation uint64) *memberNode {
	name := fmt.Sprint("proxy", i)
	n := &memberNode{node: virtual.Node{Name: name, Zone: string(rune('a' + i%3))}}
	self := proxy.Member{Name: name, Zone: n.node.Zone, Address: name, Incarnation: incarnation}
	n.membership = proxy.NewMembership(self, proxy.DefaultMembershipSettings(), rand.New(rand.NewPCG(w.world.Rand.Uint64(), 1)))
	return n
}

// join passes the platform's instance list, which contains only the first three
// nodes, to a node and starts its ticks.
func (w *memberSim) join(n *memberNode) {
	var list []proxy.Member
	for _, other := range w.nodes[:3] {
		list = append(list, proxy.Member{Name: other.node.Name, Zone: other.node.Zone, Address: other.node.Name})
	}
	w.execute(n, n.membership.HandleList(w.world.Now(), list, nil))
	w.world.Every(&n.node, membershipTick, func() { w.execute(n, n.membership.Tick(w.world.Now(), nil)) })
}

func (w *memberSim) find(address string) *memberNode {
	for _, n := range w.nodes {
		if n.node.Name == address {
			return n
		}
	}
	return nil
}

func (w *memberSim) execute(n *memberNode, actions []proxy.MembershipAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case proxy.Send:
			w.datagrams++
			to := w.find(a.Address)
			w.world.Send(&n.node, &to.node, func() {
				w.execute(to, to.membership.HandleDatagram(w.world.Now(), a.Datagram, nil))
			})
		case proxy.Sync:
			w.syncs++
			to := w.find(a.Peer.Address)
			w.world.Send(&n.node, &to.node, func() {
				answer := to.membership.DifferingRows(a.Buckets)
				w.world.Send(&to.node, &n.node, func() {
					w.execute(n, n.membership.HandleTable(w.world.Now(), answer, nil))
				})
			})
		}
	}
}

func (w *memberSim) run(d time.Duration) { w.world.Run(w.world.Elapsed()+d, nil) }

// allKnow reports whether every running node knows exactly count members.
func (w *memberSim) allKnow(count int) bool {
	for _, n := range w.nodes {
		if !n.node.Down && len(n.membership.Members()) != count {
			return false
		}
	}
	return true
}

// runUntil runs the simulation until condition holds, for at most limit. It
// returns the time that it took and whether the condition holds.
func (w *memberSim) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	began := w.world.Elapsed()
	for w.world.Elapsed()-began < limit {
		if condition() {
			return w.world.Elapsed() - began, true
		}
		w.run(100 * time.Millisecond)
	}
	return limit, condition()
}

func TestMembersJoinAndDetectFailure(t *testing.T) {
	for _, count := range []int{16, 64} {
		w := newMemberSim(1, count)
		joined, ok := w.runUntil(time.Minute, func() bool { return w.allKnow(count) })
		require.True(t, ok)
		w.nodes[7].node.Down = true
		detected, ok := w.runUntil(time.Minute, func() bool { return w.allKnow(count - 1) })
		require.True(t, ok)
		before := w.datagrams
		w.run(20 * time.Second)
		t.Logf("%d members: joined after %v, failure known to all after %v, %.1f datagrams per second and member", count, joined, detected,
			float64(w.datagrams-before)/20/float64(count))
	}
}

func TestPausedMemberRejoins(t *testing.T) {
	w := newMemberSim(2, 16)
	_, ok := w.runUntil(time.Minute, func() bool { return w.allKnow(16) })
	require.True(t, ok)
	w.world.Pause(&w.nodes[5].node, 15*time.Second)
	w.run(12 * time.Second)
	require.Len(t, w.nodes[0].membership.Members(), 15)
	_, ok = w.runUntil(time.Minute, func() bool { return w.allKnow(16) })
	require.True(t, ok, "the paused member did not rejoin")
}

func TestPacketLossCausesNoFalseDeath(t *testing.T) {
	w := newMemberSim(3, 16)
	_, ok := w.runUntil(time.Minute, func() bool { return w.allKnow(16) })
	require.True(t, ok)
	w.world.Network.Drop = 0.05
	for range 60 {
		w.run(time.Second)
		require.True(t, w.allKnow(16), "a live member was declared dead")
	}
}

func TestRestartedMemberRejoins(t *testing.T) {
	w := newMemberSim(4, 16)
	_, ok := w.runUntil(time.Minute, func() bool { return w.allKnow(16) })
	require.True(t, ok)
	w.nodes[9].node.Down = true
	_, ok = w.runUntil(time.Minute, func() bool { return w.allKnow(15) })
	require.True(t, ok)
	w.nodes[9] = w.newNode(9, 2)
	w.join(w.nodes[9])
	_, ok = w.runUntil(time.Minute, func() bool { return w.allKnow(16) })
	require.True(t, ok)
}

func TestLeavingReachesAllMembers(t *testing.T) {
	w := newMemberSim(5, 16)
	_, ok := w.runUntil(time.Minute, func() bool { return w.allKnow(16) })
	require.True(t, ok)
	w.execute(w.nodes[4], w.nodes[4].membership.AnnounceLeaving(w.world.Now(), nil))
	took, ok := w.runUntil(10*time.Second, func() bool {
		for _, n := range w.nodes {
			for _, m := range n.membership.Members() {
				if m.Name == "proxy4" && !m.Leaving {
					return false
				}
			}
		}
		return true
	})
	require.True(t, ok)
	t.Logf("leaving state known to all 16 members after %v", took)
}

func TestWatchersAreInDifferentZones(t *testing.T) {
	var live []proxy.Peer
	for i := range 15 {
		live = append(live, proxy.Peer{Name: fmt.Sprint("proxy", i), Zone: string(rune('a' + i%3))})
	}
	counts := make(map[string]int)
	for g := range 300 {
		watchers := proxy.ChoosePeers(fmt.Sprint("group", g), live, 3)
		require.Len(t, watchers, 3)
		zones := make(map[string]bool)
		for _, w := range watchers {
			zones[w.Zone] = true
			counts[w.Name]++
		}
		require.Len(t, zones, 3)
	}
	for name, n := range counts {
		require.Less(t, n, 120, "%s watches too many groups", name)
	}
	live[3].Leaving = true
	for _, w := range proxy.ChoosePeers("group1", live, 3) {
		require.NotEqual(t, "proxy3", w.Name)
	}
}

// Assignments that are updated incrementally must equal those computed from
// scratch; otherwise proxies that saw different membership changes would choose
// different watchers.
func TestIncrementalAssignmentsMatchFreshChoice(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 2))
	var groups []string
	for g := range 200 {
		groups = append(groups, fmt.Sprint("group", g))
	}
	kept := proxy.NewAssignments(3)
	kept.SetGroups(groups)
	var live []proxy.Peer
	for step := range 120 {
		if len(live) > 4 && source.IntN(2) == 0 {
			at := source.IntN(len(live))
			live = append(live[:at:at], live[at+1:]...)
		} else {
			live = append(live, proxy.Peer{Name: fmt.Sprint("proxy", step), Zone: string(rune('a' + source.IntN(4)))})
		}
		kept.SetLive(live)
		for _, g := range groups {
			require.Equal(t, proxy.ChoosePeers(g, live, 3), kept.Watchers(g), "step %d", step)
		}
	}
}
