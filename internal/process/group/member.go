// Package group tracks what a proxy knows about one database group whose
// databases come and go: which of them is the primary, when its leadership was
// last proven, how far the replicas have received its log, when the primary has
// to be replaced, and which proxy may do so.
package group

import (
	"math"
	"slices"
	"strings"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// lapsedTTL is how long a database whose entry is missing is still counted and
// used. Entries that lapsed during an outage of the registry are back within
// two seconds of its return.
const lapsedTTL = 3 * clock.Second

// Member is what is known about one database of the group.
type Member struct {
	Entry
	// LapsedAt is when the entry went missing, zero while it is listed.
	LapsedAt clock.Time
	// LeavingAt is when the database was first seen to be leaving, zero if it
	// is not.
	LeavingAt clock.Time
	// DrainExpired is set once the database has been leaving for so long that
	// it must not get any more requests.
	DrainExpired bool
	// Term is the term whose log the database writes or receives, zero if
	// unknown.
	Term uint64
	// FencedTerm is the term below which the database accepts no log entries.
	FencedTerm uint64
	// Received is the end of the log that the database has received.
	Received position.Position
	// AskedAt is when the newest known status was requested.
	AskedAt clock.Time
	// UnfencedAt is the latest time at which the database is known to have
	// followed Term without being fenced.
	UnfencedAt clock.Time
	// FailingSince is when the uninterrupted run of failed attempts to reach
	// the database began, zero while it answers.
	FailingSince clock.Time
	// Failures is the number of failed attempts in that run.
	Failures int
	// AnsweredAt is when the database last answered.
	AnsweredAt clock.Time
	// Behind is set after the database has joined the group or started again, until it is
	// known to have received the log: it may lack what others, or its earlier process, had
	// confirmed. restartedAt is when that became known.
	Behind      bool
	restartedAt clock.Time
	// uptime has when its processes have run.
	uptime uptime
}

// isPrimaryOf reports whether the database has said that it leads the term, when asked at
// openedAt or later.
func (m *Member) isPrimaryOf(term uint64, openedAt clock.Time) bool {
	return m.Role == database.RolePrimary && m.Term == term && m.AskedAt >= openedAt
}

// absence returns what is known about the database once its entry is missing.
func (m *Member) absence() absence {
	return absence{since: m.LapsedAt, address: m.Address, received: m.Received, leavingSince: m.LeavingAt}
}

// recordAnswer records an answer received at now, which ends a run of failures.
func (m *Member) recordAnswer(now clock.Time) {
	m.AnsweredAt, m.FailingSince, m.Failures = now, 0, 0
}

// Usable reports whether new requests may be sent to the database.
func (m *Member) Usable() bool { return !m.Leaving }

// AnyTerm makes Releasable match the fences of all terms.
const AnyTerm = math.MaxUint64

// Releasable reports whether the database is a replica that cannot receive the
// log because it is fenced for term or an earlier one. A fence for a later term
// belongs to another replacement.
func (m *Member) Releasable(term uint64) bool {
	return m.Role == database.RoleReplica && m.FencedTerm > m.Term && m.FencedTerm <= term
}

// LastEntry returns the last entry of a database that is in the group or has
// been removed from it.
func (g *Group) LastEntry(id string) (Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.members[id]; ok {
		return m.Entry, true
	}
	e, ok := g.removed[id]
	return e, ok
}

// sortLocked sets sorted after a change of the members.
func (g *Group) sortLocked() {
	g.sorted = g.sorted[:0]
	for _, m := range g.members {
		g.sorted = append(g.sorted, m)
	}
	slices.SortFunc(g.sorted, func(a, b *Member) int { return strings.Compare(a.ID, b.ID) })
}

// AppendMembers appends what Members returns to list. With room in list, which is made
// for each statement, it allocates nothing.
func (g *Group) AppendMembers(list []Member) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	list = slices.Grow(list, len(g.sorted))
	for _, m := range g.sorted {
		list = append(list, *m)
	}
	return list
}

// PrimaryZone returns the availability zone of the primary, or else of the first database
// whose entry says that it is the primary. It is empty if there is none.
func (g *Group) PrimaryZone() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.primaryLocked(); m != nil {
		return m.Zone
	}
	for _, m := range g.sorted {
		if m.Role == database.RolePrimary {
			return m.Zone
		}
	}
	return ""
}
