package group

import (
	"slices"
	"strings"
	"sync"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Group is one proxy's knowledge of a database group. Its lock is taken
// before no other.
type Group struct {
	Name string
	// DrainLimit is how long a database that leaves may get requests, zero for
	// no limit. It is set before the group is used.
	DrainLimit clock.Duration

	mu      sync.Mutex
	members map[string]*Member
	// term is the highest term heard of.
	term uint64
	// size is how many databases the group had when it was last complete, and
	// shortSince is since when there have been fewer.
	size       int
	shortSince clock.Time
	ring       *database.Samples
	// sampledAt is the time of the newest sample in the ring.
	sampledAt clock.Time
	// unconfirmedAt is when the primary's word was last not confirmed in time.
	unconfirmedAt clock.Time
	// unprovenSince is when a proof that the primary leads was first waited for
	// in vain.
	unprovenSince clock.Time
	// lastPrimary is the database that was last known to lead.
	lastPrimary     string
	leaderlessSince clock.Time
	heldSince       clock.Time
	// changed is closed at the next change of what is known.
	changed chan struct{}
}

// New returns a group of which nothing is known.
func New(name string) *Group {
	return &Group{
		Name: name, members: make(map[string]*Member), ring: database.NewSamples(),
		changed: make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change.
func (g *Group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *Group) signalLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// List takes in a registry entry and reports whether it is a database, or an
// incarnation of one, that was not known.
func (g *Group) List(now clock.Time, e Entry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.signalLocked()
	m, known := g.members[e.ID]
	if !known || m.Born != e.Born || m.Address != e.Address {
		m = &Member{Entry: e, AnsweredAt: now}
		g.members[e.ID] = m
		known = false
	}
	if e.Role != m.Role {
		// Which term it leads or follows from now on is for its status to say.
		m.Term, m.UnfencedAt = 0, 0
	}
	m.Entry = e
	m.LapsedAt = 0
	switch {
	case e.Leaving && m.LeavingAt == 0:
		m.LeavingAt = now
	case !e.Leaving:
		m.LeavingAt = 0
	}
	g.resizeLocked(now)
	return !known
}

// Lapse notes that a database's entry is missing.
func (g *Group) Lapse(now clock.Time, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.members[id]; ok && m.LapsedAt == 0 {
		m.LapsedAt = now
		g.signalLocked()
	}
}

// Expire drops databases whose entries have been missing for too long and
// returns their ids.
func (g *Group) Expire(now clock.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var gone []string
	for id, m := range g.members {
		if m.LapsedAt != 0 && now.Sub(m.LapsedAt) >= lapsedLife {
			gone = append(gone, id)
			delete(g.members, id)
		}
	}
	for _, m := range g.members {
		m.Closed = m.LeavingAt != 0 && g.DrainLimit > 0 && now.Sub(m.LeavingAt) >= g.DrainLimit
	}
	g.resizeLocked(now)
	if len(gone) > 0 {
		g.signalLocked()
	}
	return gone
}

// raiseLocked begins a later term: what was known of the earlier one proves
// nothing any more.
func (g *Group) raiseLocked(term uint64) {
	if term <= g.term {
		return
	}
	g.term = term
	g.ring, g.sampledAt = database.NewSamples(), 0
	g.unprovenSince = 0
}

// sampleLocked keeps a position that the primary showed. The ring takes
// samples in the order of their times only.
func (g *Group) sampleLocked(p position.Position, at clock.Time) {
	if at >= g.sampledAt {
		g.sampledAt = at
		g.ring.Add(database.Sample{Position: p, At: at})
	}
}

// ObserveStatus takes in a database's status that was asked for at a time.
func (g *Group) ObserveStatus(id string, askedAt, now clock.Time, s database.Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[id]
	if !ok || askedAt < m.AskedAt {
		return
	}
	m.answered(now)
	m.AskedAt = askedAt
	m.Role, m.Term, m.Held, m.Received = s.Role, s.Term, s.Fenced, s.Received
	g.raiseLocked(s.Term)
	switch {
	case m.Term != g.term || m.Held > m.Term:
		m.UnfencedAt = 0
	case m.Role == database.RoleReplica:
		m.UnfencedAt = askedAt
	case m.Role == database.RolePrimary:
		g.sampleLocked(s.Received, askedAt)
	}
	g.signalLocked()
}

// ObservePosition takes in the position that came with an answer to a
// request sent at a time.
func (g *Group) ObservePosition(id string, sentAt, now clock.Time, p position.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[id]
	if !ok {
		return
	}
	m.answered(now)
	if p.Term > g.term {
		g.raiseLocked(p.Term)
		g.signalLocked()
	}
	if m.Role == database.RolePrimary && m.Term == g.term {
		g.sampleLocked(p, sentAt)
		return
	}
	if p.Term != g.term || m.Term != g.term || m.Held > m.Term {
		return
	}
	// An entry that the primary had not written when it was last asked before
	// t was received after t, so the database was not fenced at t.
	if t, ok := g.ring.LastBelow(p); ok && t > m.UnfencedAt {
		m.UnfencedAt = t
	}
}

// Answered notes that a database answered.
func (g *Group) Answered(id string, now clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.members[id]; ok {
		m.answered(now)
	}
}

// AnsweredSince reports whether a database has answered anything after a time.
func (g *Group) AnsweredSince(id string, t clock.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[id]
	return ok && m.AnsweredAt > t
}

// Failed notes that an attempt to reach a database failed. It returns true
// for the first failure after an answer.
func (g *Group) Failed(id string, now clock.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[id]
	if !ok {
		return false
	}
	m.Failures++
	if m.FailingSince != 0 {
		return false
	}
	m.FailingSince = now
	g.signalLocked()
	return true
}

// Deposed notes that a database said that it does not lead.
func (g *Group) Deposed(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.members[id]; ok && m.Role == database.RolePrimary {
		m.Role, m.Term = database.RoleUnknown, 0
		g.signalLocked()
	}
}

// Members returns what is known of each database, in the order of their ids.
func (g *Group) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membersLocked()
}

func (g *Group) membersLocked() []Member {
	list := make([]Member, 0, len(g.members))
	for _, m := range g.members {
		list = append(list, *m)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Term returns the highest term heard of.
func (g *Group) Term() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term
}

// Primary returns the database that leads the highest term heard of.
func (g *Group) Primary() (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.primaryLocked(); m != nil {
		return *m, true
	}
	return Member{}, false
}

func (g *Group) primaryLocked() *Member {
	for _, m := range g.members {
		if m.Role == database.RolePrimary && m.Term == g.term && g.term > 0 && !m.Closed {
			return m
		}
	}
	return nil
}

// Confirming returns how many replicas have to confirm what the primary of a
// group of some size says alone. Fencing size - Confirming databases meets
// them all.
func Confirming(size int) int { return size / 2 }

// shortLife is how long a missing database is still counted. A proxy that the
// registry does not reach must not take the few that it knows for the whole
// group while others take in a new one.
const shortLife = 10 * clock.Second

// resizeLocked follows the number of databases that stay.
func (g *Group) resizeLocked(now clock.Time) {
	staying := 0
	for _, m := range g.members {
		if !m.Leaving {
			staying++
		}
	}
	switch {
	case staying >= g.size:
		g.size, g.shortSince = staying, 0
	case g.shortSince == 0:
		g.shortSince = now
	case now.Sub(g.shortSince) >= shortLife:
		g.size, g.shortSince = staying, 0
	}
}

// sizeLocked returns how many databases have to be reckoned with.
func (g *Group) sizeLocked() int { return max(g.size, len(g.members)) }

// Size returns how many databases have to be reckoned with, including some
// that are missing.
func (g *Group) Size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sizeLocked()
}

// evidenceLocked returns the latest moment at which no replacement of the
// term's primary can have taken effect.
func (g *Group) evidenceLocked(now clock.Time) clock.Time {
	need := Confirming(g.sizeLocked())
	if need == 0 {
		return now
	}
	var moments []clock.Time
	for _, m := range g.members {
		if m.Role == database.RoleReplica && m.Term == g.term && m.UnfencedAt > 0 {
			moments = append(moments, m.UnfencedAt)
		}
	}
	if len(moments) < need {
		return 0
	}
	slices.SortFunc(moments, func(a, b clock.Time) int { return int(b - a) })
	return moments[need-1]
}

// Unconfirmed notes that the primary's word was not confirmed in time.
func (g *Group) Unconfirmed(now clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unconfirmedAt = now
}

// Unproven notes that a proof that the primary leads was waited for in vain.
func (g *Group) Unproven(now clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unprovenSince == 0 || g.evidenceLocked(now) > g.unprovenSince {
		g.unprovenSince = now
	}
}

// OutOfReach reports whether every proof that the primary leads has been
// waited for in vain for a time.
func (g *Group) OutOfReach(now clock.Time, least clock.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unprovenSince != 0 && now.Sub(g.unprovenSince) >= least && g.evidenceLocked(now) <= g.unprovenSince
}

// InDoubt reports whether the primary's word was not confirmed the last time
// that it had to be.
func (g *Group) InDoubt(now clock.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unconfirmedAt != 0 && g.evidenceLocked(now) <= g.unconfirmedAt
}

// Evidence returns the latest moment at which the primary of the highest term
// heard of is known to have led, zero for none.
func (g *Group) Evidence(now clock.Time) clock.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primaryLocked() == nil {
		return 0
	}
	return g.evidenceLocked(now)
}

// Floor returns a position that covers every commit acknowledged before a
// moment. It returns false if what is known is too old to tell.
func (g *Group) Floor(since, now clock.Time) (position.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primaryLocked() != nil && g.evidenceLocked(now) >= since {
		if p, ok := g.ring.Floor(now, now.Sub(since)+clock.Millisecond); ok {
			return p, true
		}
	}
	return g.commonFloorLocked(since)
}

// SampledAt returns when the primary's position was last asked for.
func (g *Group) SampledAt() clock.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sampledAt
}

// commonFloorLocked returns the end of the longest log among databases asked
// since a moment, if they are so many that each commit acknowledged before
// has been received by one of them. It needs no primary.
func (g *Group) commonFloorLocked(since clock.Time) (position.Position, bool) {
	var longest position.Position
	term := uint64(0)
	asked := 0
	for _, m := range g.members {
		if m.AskedAt < since || m.Term == 0 {
			continue
		}
		asked++
		if m.Term > term || m.Term == term && m.Received.Compare(longest) > 0 {
			longest, term = m.Received, m.Term
		}
	}
	return longest, asked > Confirming(g.sizeLocked())
}

// Verdict is what is known of a commit.
type Verdict uint8

// The verdicts on a commit.
const (
	// Waiting: too few databases are known to have received it.
	Waiting Verdict = iota
	// Confirmed: any replacement keeps it.
	Confirmed
	// Overtaken: a later term has begun, and whether its log contains the
	// commit has to be asked.
	Overtaken
)

// Received tells what is known of a commit at p.
func (g *Group) Received(p position.Position) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term > p.Term {
		return Overtaken
	}
	count := 0
	for _, m := range g.members {
		if m.Role == database.RoleReplica && m.Term == p.Term && m.Received.AtLeast(p) {
			count++
		}
	}
	if count >= Confirming(g.sizeLocked()) {
		return Confirmed
	}
	return Waiting
}

// FarBehind reports whether a database that has applied p has lacked something
// for more than a time. After a rest it is not behind for the length of the
// rest.
func (g *Group) FarBehind(p position.Position, now clock.Time, most clock.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	passed, known := g.ring.PassedAt(p)
	return known && now.Sub(passed) > most
}

// Followed reports whether enough databases follow a term that any later
// replacement continues its log.
func (g *Group) Followed(term uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, m := range g.members {
		if m.Role == database.RoleReplica && m.Term == term && m.Held <= term {
			count++
		}
	}
	return count >= Confirming(g.sizeLocked())
}
