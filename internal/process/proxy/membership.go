package proxy

import (
	"math/bits"
	"math/rand/v2"
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// State is what is held of a member.
type State uint8

// The states of a member. Of two words on the same incarnation, the higher
// state wins.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String names the state as status and logs show it.
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

// Member is what is known of one proxy.
type Member struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Zone    string `cbor:"2,keyasint" json:"zone"`
	Address string `cbor:"3,keyasint" json:"address"`
	// Incarnation grows with each restart, and when a member refutes its own
	// death.
	Incarnation uint64 `cbor:"4,keyasint" json:"incarnation"`
	State       State  `cbor:"5,keyasint" json:"state"`
	// Leaving is set once the proxy takes no new work.
	Leaving bool `cbor:"6,keyasint,omitempty" json:"leaving,omitempty"`
	// Callers is where callers connect, "" while only the list names it.
	Callers string `cbor:"7,keyasint,omitempty" json:"callers,omitempty"`
}

// DatagramKind is what a datagram asks or answers.
type DatagramKind uint8

// The kinds of datagrams.
const (
	Ping DatagramKind = iota
	Ack
	// PingRequest asks the receiver to ping Target on the sender's behalf.
	PingRequest
)

// Datagram is a message between memberships.
type Datagram struct {
	Kind   DatagramKind `cbor:"1,keyasint"`
	From   string       `cbor:"2,keyasint"`
	SeqNo uint64       `cbor:"3,keyasint"`
	Target string       `cbor:"4,keyasint,omitempty"`
	Updates []Member     `cbor:"5,keyasint,omitempty"`
	// Digest is the hash of the sender's whole table.
	Digest uint64 `cbor:"6,keyasint"`
}

// MembershipSettings are the figures of the membership.
type MembershipSettings struct {
	// PingInterval is the time between two pings of one proxy.
	PingInterval clock.Duration
	// AckTimeout is how long an answer may take before others are asked.
	AckTimeout clock.Duration
	// SuspicionTimeout is how long a suspect may refute its death.
	SuspicionTimeout clock.Duration
	// ForgetAfter is how long a dead member is remembered.
	ForgetAfter clock.Duration
	// SyncInterval is the least time between two comparisons of tables.
	SyncInterval clock.Duration
	// IndirectPings is how many others are asked to ping a silent member.
	IndirectPings int
}

// DefaultMembershipSettings returns the figures in use.
func DefaultMembershipSettings() MembershipSettings {
	return MembershipSettings{
		PingInterval: clock.Second, AckTimeout: 300 * clock.Millisecond, SuspicionTimeout: 3 * clock.Second,
		ForgetAfter: 10 * clock.Minute, SyncInterval: 10 * clock.Second, IndirectPings: 3,
	}
}

const (
	// maxRumors bounds the rumors of one datagram.
	maxRumors = 6
	// rumorFactor times the logarithm of the size is how often a rumor is
	// sent on.
	rumorFactor = 3
)

// MembershipAction is what a membership asks its driver to do.
type MembershipAction interface{ membershipAction() }

// Send sends a datagram to a member.
type Send struct {
	Address  string
	Datagram Datagram
}

// Sync asks a member for the rows of the buckets that differ.
type Sync struct {
	Peer    Member
	Buckets []uint64
}

// Changed tells that the set of live members has changed.
type Changed struct{}

func (Send) membershipAction()    {}
func (Sync) membershipAction()    {}
func (Changed) membershipAction() {}

type memberRow struct {
	member Member
	since  clock.Time
}

type rumor struct {
	name string
	sent int
}

// pinged is a ping that waits for its answer.
type pinged struct {
	number uint64
	name   string
	at     clock.Time
	helped bool
	// asker is who asked for the ping on its own behalf, "" for nobody.
	asker       string
	askerNumber uint64
}

// Membership decides for one proxy who lives, by pings in turn, help from
// others, and rumors that travel with them.
type Membership struct {
	settings MembershipSettings
	self     Member
	rand     *rand.Rand
	rows     map[string]*memberRow
	// fading are the rows that are suspect, dead or left.
	fading   map[string]*memberRow
	order    []string
	next     int
	rumors   []rumor
	waiting  []pinged
	number   uint64
	pingedAt clock.Time
	syncedAt clock.Time
	digest   uint64
	started  bool
	// joined is set once another's rows were taken in.
	joined bool
}

// NewMembership returns a membership that knows only itself. The
// incarnation must be greater than that of any earlier life of the proxy.
func NewMembership(self Member, s MembershipSettings, r *rand.Rand) *Membership {
	m := &Membership{settings: s, self: self, rand: r, rows: make(map[string]*memberRow), fading: make(map[string]*memberRow)}
	m.put(self, 0)
	m.spread(self.Name)
	return m
}

// Tick advances time.
func (m *Membership) Tick(now clock.Time, dst []MembershipAction) []MembershipAction {
	dst = m.expirePings(now, dst)
	dst = m.expireSuspects(now, dst)
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

// join asks a member chosen at random for its table.
func (m *Membership) join(now clock.Time, dst []MembershipAction) []MembershipAction {
	first := m.rand.IntN(len(m.order))
	for i := range m.order {
		row := m.rows[m.order[(first+i)%len(m.order)]]
		if row.member.Name != m.self.Name && row.member.State < Dead {
			m.syncedAt = now
			return append(dst, Sync{Peer: row.member, Buckets: m.buckets()})
		}
	}
	return dst
}

// AnnounceLeaving announces that this proxy takes no new work.
func (m *Membership) AnnounceLeaving(now clock.Time, dst []MembershipAction) []MembershipAction {
	m.self.Incarnation++
	m.self.Leaving = true
	return m.proclaim(now, dst)
}

// AnnounceLeft announces that this proxy has ended.
func (m *Membership) AnnounceLeft(now clock.Time, dst []MembershipAction) []MembershipAction {
	m.self.Incarnation++
	m.self.State = Left
	return m.proclaim(now, dst)
}

// proclaim sends this proxy's own change to several members at once.
func (m *Membership) proclaim(now clock.Time, dst []MembershipAction) []MembershipAction {
	m.put(m.self, now)
	m.spread(m.self.Name)
	for range m.settings.IndirectPings + 1 {
		dst = m.pingNext(now, dst)
	}
	return append(dst, Changed{})
}

// HandleList takes in the platform's list, which lags: it makes members
// known and tells which are leaving, and declares none dead.
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

// HandleTable takes in rows of another's table.
func (m *Membership) HandleTable(now clock.Time, table []Member, dst []MembershipAction) []MembershipAction {
	m.joined = true
	return m.hear(now, table, dst)
}

// HandleDatagram takes in a datagram of another membership.
func (m *Membership) HandleDatagram(now clock.Time, d Datagram, dst []MembershipAction) []MembershipAction {
	dst = m.hear(now, d.Updates, dst)
	from, known := m.rows[d.From]
	if !known {
		return dst
	}
	switch d.Kind {
	case Ping:
		dst = append(dst, Send{Address: from.member.Address, Datagram: m.datagram(Ack, d.SeqNo, "")})
	case Ack:
		dst = m.acknowledged(now, d, dst)
	case PingRequest:
		dst = m.pingFor(now, d, dst)
	}
	if d.Digest != m.digest && now.Sub(m.syncedAt) >= m.settings.SyncInterval {
		m.syncedAt = now
		dst = append(dst, Sync{Peer: from.member, Buckets: m.buckets()})
	}
	return dst
}

func (m *Membership) acknowledged(now clock.Time, d Datagram, dst []MembershipAction) []MembershipAction {
	for i, p := range m.waiting {
		if p.number != d.SeqNo {
			continue
		}
		m.waiting = slices.Delete(m.waiting, i, i+1)
		if asker, ok := m.rows[p.asker]; ok {
			answer := m.datagram(Ack, p.askerNumber, "")
			dst = append(dst, Send{Address: asker.member.Address, Datagram: answer})
		}
		if row, ok := m.rows[p.name]; ok && row.member.State == Suspect && p.asker == "" {
			row.since = now
		}
		break
	}
	return dst
}

func (m *Membership) pingFor(now clock.Time, d Datagram, dst []MembershipAction) []MembershipAction {
	target, ok := m.rows[d.Target]
	if !ok {
		return dst
	}
	m.number++
	m.waiting = append(m.waiting, pinged{number: m.number, name: d.Target, at: now, helped: true, asker: d.From, askerNumber: d.SeqNo})
	return append(dst, Send{Address: target.member.Address, Datagram: m.datagram(Ping, m.number, "")})
}

// pingNext pings the next member of a random order that covers all.
func (m *Membership) pingNext(now clock.Time, dst []MembershipAction) []MembershipAction {
	for range len(m.order) {
		if m.next >= len(m.order) {
			m.next = 0
			m.rand.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
		}
		row, ok := m.rows[m.order[m.next]]
		m.next++
		if !ok || row.member.Name == m.self.Name || row.member.State >= Dead {
			continue
		}
		m.number++
		m.waiting = append(m.waiting, pinged{number: m.number, name: row.member.Name, at: now})
		return append(dst, Send{Address: row.member.Address, Datagram: m.datagram(Ping, m.number, "")})
	}
	return dst
}

func (m *Membership) expirePings(now clock.Time, dst []MembershipAction) []MembershipAction {
	kept := m.waiting[:0]
	for _, p := range m.waiting {
		waited := now.Sub(p.at)
		switch {
		case waited >= m.settings.PingInterval:
			if p.asker == "" {
				dst = m.suspect(now, p.name, dst)
			}
			continue
		case waited >= m.settings.AckTimeout && !p.helped:
			p.helped = true
			dst = m.askHelpers(p, dst)
		}
		kept = append(kept, p)
	}
	m.waiting = kept
	return dst
}

func (m *Membership) askHelpers(p pinged, dst []MembershipAction) []MembershipAction {
	for range m.settings.IndirectPings {
		row := m.rows[m.order[m.rand.IntN(len(m.order))]]
		if row == nil || row.member.Name == p.name || row.member.Name == m.self.Name || row.member.State >= Dead {
			continue
		}
		dst = append(dst, Send{Address: row.member.Address, Datagram: m.datagram(PingRequest, p.number, p.name)})
	}
	return dst
}

func (m *Membership) suspect(now clock.Time, name string, dst []MembershipAction) []MembershipAction {
	row, ok := m.rows[name]
	if !ok || row.member.State != Alive {
		return dst
	}
	m.setState(row, Suspect)
	row.since = now
	m.spread(name)
	return dst
}

func (m *Membership) expireSuspects(now clock.Time, dst []MembershipAction) []MembershipAction {
	changed := false
	for name, row := range m.fading {
		switch {
		case row.member.State == Suspect && now.Sub(row.since) >= m.settings.SuspicionTimeout:
			m.setState(row, Dead)
			row.since = now
			m.spread(name)
			changed = true
		case row.member.State >= Dead && name != m.self.Name && now.Sub(row.since) >= m.settings.ForgetAfter:
			delete(m.rows, name)
			delete(m.fading, name)
			m.order = slices.DeleteFunc(m.order, func(n string) bool { return n == name })
			changed = true
		}
	}
	if changed {
		dst = append(dst, Changed{})
	}
	return dst
}

// hear takes in words on members, of which the newer ones count.
func (m *Membership) hear(now clock.Time, words []Member, dst []MembershipAction) []MembershipAction {
	changed := false
	for _, w := range words {
		if w.Name == m.self.Name {
			changed = m.refute(now, w) || changed
			continue
		}
		row, ok := m.rows[w.Name]
		switch {
		case !ok && w.State >= Dead:
			continue
		case !ok || newer(w, row.member):
			m.put(w, now)
			m.spread(w.Name)
			changed = true
		}
	}
	if changed {
		dst = append(dst, Changed{})
	}
	return dst
}

func newer(w, held Member) bool {
	if w.Incarnation != held.Incarnation {
		return w.Incarnation > held.Incarnation
	}
	return w.State > held.State
}

// refute answers a word that this proxy is suspect or dead, or a word of an
// earlier life that is newer than its own.
func (m *Membership) refute(now clock.Time, w Member) bool {
	if w.Incarnation < m.self.Incarnation || (w.Incarnation == m.self.Incarnation && w.State <= m.self.State) {
		return false
	}
	m.self.Incarnation = w.Incarnation + 1
	m.put(m.self, now)
	m.spread(m.self.Name)
	return true
}

func (m *Membership) put(w Member, now clock.Time) {
	row, ok := m.rows[w.Name]
	if !ok {
		row = &memberRow{}
		m.rows[w.Name] = row
		// New members join the round at a random place.
		at := m.rand.IntN(len(m.order) + 1)
		m.order = slices.Insert(m.order, at, w.Name)
	}
	m.change(row, w)
	row.since = now
}

// spread queues a member's state to travel with the next datagrams.
func (m *Membership) spread(name string) {
	for i := range m.rumors {
		if m.rumors[i].name == name {
			m.rumors[i].sent = 0
			return
		}
	}
	m.rumors = append(m.rumors, rumor{name: name})
}

// datagram builds a message with the rumors that were sent the least.
func (m *Membership) datagram(kind DatagramKind, number uint64, target string) Datagram {
	d := Datagram{Kind: kind, From: m.self.Name, SeqNo: number, Target: target, Digest: m.digest}
	slices.SortStableFunc(m.rumors, func(a, b rumor) int { return a.sent - b.sent })
	limit := rumorFactor * bits.Len(uint(len(m.rows)))
	for i := 0; i < len(m.rumors) && len(d.Updates) < maxRumors; i++ {
		if row, ok := m.rows[m.rumors[i].name]; ok {
			d.Updates = append(d.Updates, row.member)
		}
		m.rumors[i].sent++
	}
	m.rumors = slices.DeleteFunc(m.rumors, func(r rumor) bool { return r.sent >= limit })
	return d
}
