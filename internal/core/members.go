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
	// listInterval is the time between two reads of the platform's list, which
	// tells of other proxies and of backend servers that leave.
	listInterval = 2 * clock.Second
	listTimeout  = 5 * time.Second
)

// members drives the membership of one proxy. Its mutex is taken before
// none but the proxy's own.
type membershipDriver struct {
	proxy     *Proxy
	list      platform.List
	datagrams *proxy.Datagrams

	mu             sync.Mutex
	membership     *proxy.Membership
	lastListed     clock.Time
	listInProgress bool
	closed         bool
}

// newMembers joins the proxies that the platform's list names.
func newMembershipDriver(p *Proxy, list platform.List) (*membershipDriver, error) {
	self := proxy.Member{
		Name: p.instance.Name, Zone: p.instance.Zone, Address: p.peers.Address(), Callers: p.Address(),
		// Wall time makes each life's incarnation greater than the last's.
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	source := rand.New(rand.NewPCG(self.Incarnation, uint64(pidPrefix(p.instance.Name))))
	m := &membershipDriver{
		proxy: p, list: list, lastListed: clock.Time(-listInterval),
		membership: proxy.NewMembership(self, proxy.DefaultMembershipSettings(), source),
	}
	var err error
	m.datagrams, err = proxy.NewDatagrams(p.peers.Address(), m.handleDatagram, p.log)
	if err != nil {
		return nil, err
	}
	p.registry.Add(m)
	return m, nil
}

// Tick implements the registry's row.
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
	instances, err := m.list.Instances(ctx)
	m.mu.Lock()
	m.listInProgress = false
	m.mu.Unlock()
	if err != nil {
		m.proxy.log.Info("list of instances not read", zap.Error(err))
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

// leave announces that the proxy takes no new work.
func (m *membershipDriver) announceLeaving() {
	m.advance(func(dst []proxy.MembershipAction) []proxy.MembershipAction {
		return m.membership.Leave(m.proxy.clock.Now(), dst)
	})
}

// left announces that the proxy has ended.
func (m *membershipDriver) announceLeft() {
	m.advance(func(dst []proxy.MembershipAction) []proxy.MembershipAction {
		return m.membership.Left(m.proxy.clock.Now(), dst)
	})
}

// table returns all that is known of the members.
func (m *membershipDriver) table() []proxy.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.Table()
}

// differing answers another's comparison of tables.
func (m *membershipDriver) differing(buckets []uint64) []proxy.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.Differing(buckets)
}

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

func (m *membershipDriver) syncWithPeer(a proxy.Sync) {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	var answer proxy.MembersAnswer
	err := proxy.CallAddress(ctx, a.Peer.Address, proxy.MethodMembers, proxy.MembersMessage{Buckets: a.Buckets}, &answer)
	if err != nil {
		m.proxy.log.Debug("members not compared", zap.String("peer", a.Peer.Name), zap.Error(err))
		return
	}
	m.advance(func(dst []proxy.MembershipAction) []proxy.MembershipAction {
		return m.membership.HandleTable(m.proxy.clock.Now(), answer.Members, dst)
	})
}

// publish hands the live members to the parts that depend on them.
func (m *membershipDriver) publishLive() {
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

var _ dbprocess.Ticked = (*membershipDriver)(nil)
