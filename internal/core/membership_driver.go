package core

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	dbprocess "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/platform"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// listInterval is the time between two reads of the platform's instance
	// list, which names the other proxies and the leaving backend servers.
	listInterval = 2 * clock.Second
	// listTimeout bounds a read of the list and a table sync with a peer.
	listTimeout = 5 * time.Second
)

// membershipDriver runs a proxy's membership protocol: it passes time, datagrams
// and instance lists to proxy.Membership and carries out the resulting actions.
// While mu is held, no lock other than Proxy.mu may be taken.
type membershipDriver struct {
	proxy     *Proxy
	list      platform.InstanceList
	datagrams *proxy.UDPTransport

	// publishMu is held from reading the live members until the proxy uses them, so
	// that they are passed on in the order of their changes. Lock order: before mu.
	publishMu sync.Mutex

	mu             sync.Mutex
	membership     *proxy.Membership
	lastListed     clock.Time
	listInProgress bool
	closed         bool
}

// newMembershipDriver starts to exchange membership messages with the proxies
// that the platform's instance list names.
func newMembershipDriver(p *Proxy, list platform.InstanceList) (*membershipDriver, error) {
	self := proxy.Member{
		Name: p.instance.Name, Zone: p.instance.Zone, Address: p.peers.Address(), Callers: p.Address(),
		// With the wall-clock time, the incarnation grows with each restart.
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	rng := rand.New(rand.NewPCG(self.Incarnation, uint64(pidPrefix(p.instance.Name))))
	m := &membershipDriver{
		proxy: p, list: list, lastListed: clock.Time(-listInterval),
		membership: proxy.NewMembership(self, proxy.DefaultMembershipSettings(), rng),
	}
	var err error
	m.datagrams, err = proxy.NewUDPTransport(p.peers.Address(), m.handleDatagram, p.log)
	if err != nil {
		return nil, err
	}
	p.scheduler.Add(m)
	return m, nil
}

// Tick implements dbprocess.Tickable.
func (m *membershipDriver) Tick(now clock.Time) {
	m.advance(func(dst []proxy.MembershipAction) []proxy.MembershipAction { return m.membership.Tick(now, dst) })
	m.mu.Lock()
	due := m.list != nil && !m.listInProgress && now.Sub(m.lastListed) >= listInterval
	if due {
		m.listInProgress, m.lastListed = true, now
	}
	m.mu.Unlock()
	if due {
		m.proxy.workers.Submit(m.readInstances)
	}
}

func (m *membershipDriver) readInstances() {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	defer func() {
		m.mu.Lock()
		m.listInProgress = false
		m.mu.Unlock()
	}()
	instances, err := m.list.Instances(ctx)
	if err != nil {
		m.proxy.log.Info("cannot read the instance list", zap.Error(err))
		return
	}
	var list []proxy.Member
	leaving := make(map[string]bool)
	for _, in := range instances {
		if in.Backend {
			leaving[in.Address] = in.Leaving
			continue
		}
		list = append(list, proxy.Member{Name: in.Name, Zone: in.Zone, Address: in.Address, Leaving: in.Leaving})
	}
	m.proxy.groups.setLeaving(leaving)
	m.advance(func(dst []proxy.MembershipAction) []proxy.MembershipAction {
		return m.membership.HandleList(m.proxy.clock.Now(), list, dst)
	})
}

func (m *membershipDriver) handleDatagram(d proxy.Datagram) {
	m.advance(func(dst []proxy.MembershipAction) []proxy.MembershipAction {
		return m.membership.HandleDatagram(m.proxy.clock.Now(), d, dst)
	})
}

// announceLeaving tells the peers that this proxy takes no new work.
func (m *membershipDriver) announceLeaving() {
	m.advance(func(dst []proxy.MembershipAction) []proxy.MembershipAction {
		return m.membership.AnnounceLeaving(m.proxy.clock.Now(), dst)
	})
}

// announceLeft tells the peers that this proxy has stopped serving.
func (m *membershipDriver) announceLeft() {
	m.advance(func(dst []proxy.MembershipAction) []proxy.MembershipAction {
		return m.membership.AnnounceLeft(m.proxy.clock.Now(), dst)
	})
}

// table returns all known members with their states.
func (m *membershipDriver) table() []proxy.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.Table()
}

// differing compares the hashes of a peer's table buckets with this proxy's table
// and returns the members in the buckets that differ.
func (m *membershipDriver) differing(buckets []uint64) []proxy.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.DifferingRows(buckets)
}

// advance runs one step of the membership protocol under the lock, then carries
// out the returned actions without it. It does nothing after close.
func (m *membershipDriver) advance(step func([]proxy.MembershipAction) []proxy.MembershipAction) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return
	}
	actions := step(nil)
	m.mu.Unlock()
	changed := false
	for _, a := range actions {
		switch a := a.(type) {
		case proxy.Send:
			m.datagrams.Send(a.Address, a.Datagram)
		case proxy.Sync:
			m.proxy.workers.Submit(func() { m.syncWithPeer(a) })
		case proxy.Changed:
			changed = true
		}
	}
	if changed {
		m.proxy.workers.Submit(m.publishLive)
	}
}

// syncWithPeer fetches the members that differ from a peer's table and merges
// them.
func (m *membershipDriver) syncWithPeer(a proxy.Sync) {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	var answer proxy.MembersAnswer
	err := proxy.CallAddress(ctx, a.Peer.Address, proxy.MethodMembers, proxy.MembersMessage{Buckets: a.Buckets}, &answer)
	if err != nil {
		m.proxy.log.Debug("cannot synchronize the member table with a peer", zap.String("peer", a.Peer.Name), zap.Error(err))
		return
	}
	m.advance(func(dst []proxy.MembershipAction) []proxy.MembershipAction {
		return m.membership.HandleTable(m.proxy.clock.Now(), answer.Members, dst)
	})
}

// publishLive passes the live members to the proxy.
func (m *membershipDriver) publishLive() {
	m.publishMu.Lock()
	defer m.publishMu.Unlock()
	m.mu.Lock()
	live := m.membership.Members()
	m.mu.Unlock()
	peers := make([]proxy.Peer, len(live))
	for i, member := range live {
		peers[i] = proxy.Peer{Name: member.Name, Zone: member.Zone, Address: member.Address, Callers: member.Callers, Leaving: member.Leaving}
	}
	m.proxy.SetLivePeers(peers)
}

func (m *membershipDriver) close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.datagrams.Close()
}

var _ dbprocess.Tickable = (*membershipDriver)(nil)
