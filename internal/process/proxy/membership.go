package proxy

import (
	"math/bits"
	"math/rand/v2"
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// State is the liveness state of a member.
type State uint8

// The states of a member. Of two updates with the same incarnation, the one
// with the higher state wins.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the name of the state as shown in status output and logs.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "left"
	}
}

// Member is the membership entry of one proxy.
type Member struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Zone    string `cbor:"2,keyasint" json:"zone"`
	Address string `cbor:"3,keyasint" json:"address"`
	// Incarnation increases with each restart, with each change that a member
	// announces about itself, and when it refutes a report that it is suspect
	// or dead.
	Incarnation uint64 `cbor:"4,keyasint" json:"incarnation"`
	State       State  `cbor:"5,keyasint" json:"state"`
	// Leaving is set once the proxy accepts no new work.
	Leaving bool `cbor:"6,keyasint,omitempty" json:"leaving,omitempty"`
	// Callers is the address that callers connect to. It is empty while the
	// member is known only from the platform's instance list.
	Callers string `cbor:"7,keyasint,omitempty" json:"callers,omitempty"`
}

// DatagramKind is the type of a datagram.
type DatagramKind uint8

// The kinds of datagrams.
const (
	Ping DatagramKind = iota
	Ack
	// PingRequest asks the receiver to ping Target on the sender's behalf.
	PingRequest
)

// Datagram is a membership protocol message.
type Datagram struct {
	Kind    DatagramKind `cbor:"1,keyasint"`
	From    string       `cbor:"2,keyasint"`
	SeqNo   uint64       `cbor:"3,keyasint"`
	Target  string       `cbor:"4,keyasint,omitempty"`
	Updates []Member     `cbor:"5,keyasint,omitempty"`
	// Digest is the hash of the live members in the sender's table.
	Digest uint64 `cbor:"6,keyasint"`
}

// MembershipSettings are the parameters of the membership protocol.
type MembershipSettings struct {
	// PingInterval is the time between two pings sent by one proxy. A ping
	// without an acknowledgment after this time makes its target suspect.
	PingInterval clock.Duration
	// AckTimeout is how long to wait for an acknowledgment before other
	// members are asked to ping the target.
	AckTimeout clock.Duration
	// SuspicionTimeout is how long a suspect member may neither refute the
	// suspicion nor acknowledge a ping before it is declared dead.
	SuspicionTimeout clock.Duration
	// ForgetAfter is how long the entry of a dead or left member is kept.
	ForgetAfter clock.Duration
	// SyncInterval is the minimum time between two table syncs that are
	// started because of a differing digest.
	SyncInterval clock.Duration
	// IndirectPings is the maximum number of random members that are asked to
	// ping a member that does not respond.
	IndirectPings int
}

// DefaultMembershipSettings returns the settings used in production.
func DefaultMembershipSettings() MembershipSettings {
	return MembershipSettings{
		PingInterval: clock.Second, AckTimeout: 300 * clock.Millisecond, SuspicionTimeout: 3 * clock.Second,
		ForgetAfter: 10 * clock.Minute, SyncInterval: 10 * clock.Second, IndirectPings: 3,
	}
}

const (
	// maxUpdates is the maximum number of updates in one datagram.
	maxUpdates = 6
	// retransmitFactor sets how often one update is sent: this factor times the
	// binary logarithm of the number of known members.
	retransmitFactor = 3
)

// MembershipAction is an action that the code driving a Membership has to
// carry out.
type MembershipAction interface{ membershipAction() }

// Send sends a datagram to a member.
type Send struct {
	Address  string
	Datagram Datagram
}

// Sync requests from a member the rows of all buckets whose digests differ from
// Buckets.
type Sync struct {
	Peer    Member
	Buckets []uint64
}

// Changed reports that the set of live members or their attributes may have
// changed.
type Changed struct{}

func (Send) membershipAction()    {}
func (Sync) membershipAction()    {}
func (Changed) membershipAction() {}

type memberRow struct {
	member Member
	// since is when the member was last updated or, while it is suspect, when it
	// last acknowledged a ping.
	since clock.Time
}

// queuedUpdate is a member whose entry is to be sent to other members.
type queuedUpdate struct {
	name string
	// sent is the number of datagrams that the entry was sent in.
	sent int
}

// pendingPing is a ping that has not been acknowledged yet.
type pendingPing struct {
	seqNo  uint64
	name   string
	sentAt clock.Time
	// indirect is set once other members were asked to ping the target, and for
	// a ping that was itself requested.
	indirect bool
	// requester is the member that asked for this ping with a PingRequest, or
	// "" if none did.
	requester      string
	requesterSeqNo uint64
}

// Membership is a SWIM-style failure detector: it pings the other members in
// turn, asks others to ping a member that does not respond, and piggybacks
// membership updates on these datagrams. It performs no I/O and is not safe for
// concurrent use. Methods that take dst append the resulting actions to it.
type Membership struct {
	settings MembershipSettings
	self     Member
	rand     *rand.Rand
	rows     map[string]*memberRow
	// notAlive holds the rows that are suspect, dead or left.
	notAlive     map[string]*memberRow
	pingOrder    []string
	nextPing     int
	updates      []queuedUpdate
	pendingPings []pendingPing
	seqNo        uint64
	pingedAt     clock.Time
	syncedAt     clock.Time
	digest       uint64
	started      bool
	// joined is set once rows from another member's table were received.
	joined bool
}

// NewMembership returns a membership that knows only self. The incarnation
// of self must be greater than any that an earlier process of this proxy used.
func NewMembership(self Member, s MembershipSettings, r *rand.Rand) *Membership {
	m := &Membership{settings: s, self: self, rand: r, rows: make(map[string]*memberRow), notAlive: make(map[string]*memberRow)}
	m.put(self, 0)
	m.queueUpdate(self.Name)
	return m
}

// Tick expires pings, suspicions and the entries of dead and left members. Once
// per PingInterval it pings the next member and, until another member's table
// was received, requests one.
func (m *Membership) Tick(now clock.Time, dst []MembershipAction) []MembershipAction {
	dst = m.expirePings(now, dst)
	dst = m.expireMembers(now, dst)
	if !m.started || now.Sub(m.pingedAt) >= m.settings.PingInterval {
		m.started = true
		m.pingedAt = now
		dst = m.pingNext(now, dst)
		if !m.joined {
			dst = m.join(now, dst)
		}
	}
	return dst
}

// join requests the table of a random member.
func (m *Membership) join(now clock.Time, dst []MembershipAction) []MembershipAction {
	first := m.rand.IntN(len(m.pingOrder))
	for i := range m.pingOrder {
		row := m.rows[m.pingOrder[(first+i)%len(m.pingOrder)]]
		if row.member.Name != m.self.Name && row.member.State < Dead {
			m.syncedAt = now
			return append(dst, Sync{Peer: row.member, Buckets: m.buckets()})
		}
	}
	return dst
}

// AnnounceLeaving announces to other members that this proxy accepts no new work.
func (m *Membership) AnnounceLeaving(now clock.Time, dst []MembershipAction) []MembershipAction {
	m.self.Incarnation++
	m.self.Leaving = true
	return m.announceSelf(now, dst)
}

// AnnounceLeft announces to other members that this proxy has shut down.
func (m *Membership) AnnounceLeft(now clock.Time, dst []MembershipAction) []MembershipAction {
	m.self.Incarnation++
	m.self.State = Left
	return m.announceSelf(now, dst)
}

// announceSelf sends this proxy's changed entry at once to the next members in
// the ping order, one more than IndirectPings.
func (m *Membership) announceSelf(now clock.Time, dst []MembershipAction) []MembershipAction {
	m.put(m.self, now)
	m.queueUpdate(m.self.Name)
	for range m.settings.IndirectPings + 1 {
		dst = m.pingNext(now, dst)
	}
	return append(dst, Changed{})
}

// HandleList processes the platform's instance list. The list is stale, so it
// only adds members and marks them as leaving; it never declares one dead.
func (m *Membership) HandleList(now clock.Time, list []Member, dst []MembershipAction) []MembershipAction {
	changed := false
	for _, entry := range list {
		row, ok := m.rows[entry.Name]
		switch {
		case entry.Name == m.self.Name:
		case !ok:
			m.put(entry, now)
			changed = true
		case entry.Leaving && !row.member.Leaving && row.member.State == Alive:
			row.member.Leaving = true
			changed = true
		}
	}
	if changed {
		dst = append(dst, Changed{})
	}
	return dst
}

// HandleTable merges rows received from another member's table.
func (m *Membership) HandleTable(now clock.Time, table []Member, dst []MembershipAction) []MembershipAction {
	m.joined = true
	return m.merge(now, table, dst)
}

// HandleDatagram processes a datagram from another member.
func (m *Membership) HandleDatagram(now clock.Time, d Datagram, dst []MembershipAction) []MembershipAction {
	dst = m.merge(now, d.Updates, dst)
	from, known := m.rows[d.From]
	if !known {
		return dst
	}
	switch d.Kind {
	case Ping:
		dst = append(dst, Send{Address: from.member.Address, Datagram: m.newDatagram(Ack, d.SeqNo, "")})
	case Ack:
		dst = m.handleAck(now, d, dst)
	case PingRequest:
		dst = m.handlePingRequest(now, d, dst)
	}
	if d.Digest != m.digest && now.Sub(m.syncedAt) >= m.settings.SyncInterval {
		m.syncedAt = now
		dst = append(dst, Sync{Peer: from.member, Buckets: m.buckets()})
	}
	return dst
}

func (m *Membership) handleAck(now clock.Time, d Datagram, dst []MembershipAction) []MembershipAction {
	for i, p := range m.pendingPings {
		if p.seqNo != d.SeqNo {
			continue
		}
		m.pendingPings = slices.Delete(m.pendingPings, i, i+1)
		if requester, ok := m.rows[p.requester]; ok {
			ack := m.newDatagram(Ack, p.requesterSeqNo, "")
			dst = append(dst, Send{Address: requester.member.Address, Datagram: ack})
		}
		if row, ok := m.rows[p.name]; ok && row.member.State == Suspect && p.requester == "" {
			row.since = now
		}
		break
	}
	return dst
}

func (m *Membership) handlePingRequest(now clock.Time, d Datagram, dst []MembershipAction) []MembershipAction {
	target, ok := m.rows[d.Target]
	if !ok {
		return dst
	}
	m.seqNo++
	m.pendingPings = append(m.pendingPings, pendingPing{seqNo: m.seqNo, name: d.Target, sentAt: now, indirect: true, requester: d.From, requesterSeqNo: d.SeqNo})
	return append(dst, Send{Address: target.member.Address, Datagram: m.newDatagram(Ping, m.seqNo, "")})
}

// pingNext pings the next member. Each round covers all members in a new random
// order.
func (m *Membership) pingNext(now clock.Time, dst []MembershipAction) []MembershipAction {
	for range len(m.pingOrder) {
		if m.nextPing >= len(m.pingOrder) {
			m.nextPing = 0
			m.rand.Shuffle(len(m.pingOrder), func(i, j int) { m.pingOrder[i], m.pingOrder[j] = m.pingOrder[j], m.pingOrder[i] })
		}
		row, ok := m.rows[m.pingOrder[m.nextPing]]
		m.nextPing++
		if !ok || row.member.Name == m.self.Name || row.member.State >= Dead {
			continue
		}
		m.seqNo++
		m.pendingPings = append(m.pendingPings, pendingPing{seqNo: m.seqNo, name: row.member.Name, sentAt: now})
		return append(dst, Send{Address: row.member.Address, Datagram: m.newDatagram(Ping, m.seqNo, "")})
	}
	return dst
}

func (m *Membership) expirePings(now clock.Time, dst []MembershipAction) []MembershipAction {
	kept := m.pendingPings[:0]
	for _, p := range m.pendingPings {
		waited := now.Sub(p.sentAt)
		switch {
		case waited >= m.settings.PingInterval:
			if p.requester == "" {
				dst = m.markSuspect(now, p.name, dst)
			}
			continue
		case waited >= m.settings.AckTimeout && !p.indirect:
			p.indirect = true
			dst = m.sendPingRequests(p, dst)
		}
		kept = append(kept, p)
	}
	m.pendingPings = kept
	return dst
}

func (m *Membership) sendPingRequests(p pendingPing, dst []MembershipAction) []MembershipAction {
	for range m.settings.IndirectPings {
		row := m.rows[m.pingOrder[m.rand.IntN(len(m.pingOrder))]]
		if row == nil || row.member.Name == p.name || row.member.Name == m.self.Name || row.member.State >= Dead {
			continue
		}
		dst = append(dst, Send{Address: row.member.Address, Datagram: m.newDatagram(PingRequest, p.seqNo, p.name)})
	}
	return dst
}

func (m *Membership) markSuspect(now clock.Time, name string, dst []MembershipAction) []MembershipAction {
	row, ok := m.rows[name]
	if !ok || row.member.State != Alive {
		return dst
	}
	m.setState(row, Suspect)
	row.since = now
	m.queueUpdate(name)
	return dst
}

// expireMembers declares suspect members dead after SuspicionTimeout and removes
// the entries of dead and left members after ForgetAfter.
func (m *Membership) expireMembers(now clock.Time, dst []MembershipAction) []MembershipAction {
	changed := false
	for name, row := range m.notAlive {
		switch {
		case row.member.State == Suspect && now.Sub(row.since) >= m.settings.SuspicionTimeout:
			m.setState(row, Dead)
			row.since = now
			m.queueUpdate(name)
			changed = true
		case row.member.State >= Dead && name != m.self.Name && now.Sub(row.since) >= m.settings.ForgetAfter:
			delete(m.rows, name)
			delete(m.notAlive, name)
			m.pingOrder = slices.DeleteFunc(m.pingOrder, func(n string) bool { return n == name })
			changed = true
		}
	}
	if changed {
		dst = append(dst, Changed{})
	}
	return dst
}

// merge applies the updates that supersede the known entries.
func (m *Membership) merge(now clock.Time, updates []Member, dst []MembershipAction) []MembershipAction {
	changed := false
	for _, u := range updates {
		if u.Name == m.self.Name {
			changed = m.refute(now, u) || changed
			continue
		}
		row, ok := m.rows[u.Name]
		switch {
		case !ok && u.State >= Dead:
			continue
		case !ok || supersedes(u, row.member):
			m.put(u, now)
			m.queueUpdate(u.Name)
			changed = true
		}
	}
	if changed {
		dst = append(dst, Changed{})
	}
	return dst
}

func supersedes(member, current Member) bool {
	if member.Incarnation != current.Incarnation {
		return member.Incarnation > current.Incarnation
	}
	return member.State > current.State
}

// refute overrides a report that this proxy is suspect or dead, or an update of
// an earlier process of this proxy that has a higher incarnation than the
// current one. It reports whether it did.
func (m *Membership) refute(now clock.Time, member Member) bool {
	if member.Incarnation < m.self.Incarnation || (member.Incarnation == m.self.Incarnation && member.State <= m.self.State) {
		return false
	}
	m.self.Incarnation = member.Incarnation + 1
	m.put(m.self, now)
	m.queueUpdate(m.self.Name)
	return true
}

func (m *Membership) put(member Member, now clock.Time) {
	row, ok := m.rows[member.Name]
	if !ok {
		row = &memberRow{}
		m.rows[member.Name] = row
		// New members are inserted into the ping order at a random position.
		at := m.rand.IntN(len(m.pingOrder) + 1)
		m.pingOrder = slices.Insert(m.pingOrder, at, member.Name)
	}
	m.replaceMember(row, member)
	row.since = now
}

// queueUpdate queues the entry of a member to be sent with the next datagrams.
func (m *Membership) queueUpdate(name string) {
	for i := range m.updates {
		if m.updates[i].name == name {
			m.updates[i].sent = 0
			return
		}
	}
	m.updates = append(m.updates, queuedUpdate{name: name})
}

// newDatagram builds a datagram with the queued updates that were sent the
// fewest times. It drops updates from the queue that were sent often enough.
func (m *Membership) newDatagram(kind DatagramKind, seqNo uint64, target string) Datagram {
	d := Datagram{Kind: kind, From: m.self.Name, SeqNo: seqNo, Target: target, Digest: m.digest}
	slices.SortStableFunc(m.updates, func(a, b queuedUpdate) int { return a.sent - b.sent })
	limit := retransmitFactor * bits.Len(uint(len(m.rows)))
	for i := 0; i < len(m.updates) && len(d.Updates) < maxUpdates; i++ {
		if row, ok := m.rows[m.updates[i].name]; ok {
			d.Updates = append(d.Updates, row.member)
		}
		m.updates[i].sent++
	}
	m.updates = slices.DeleteFunc(m.updates, func(u queuedUpdate) bool { return u.sent >= limit })
	return d
}
