// Package group holds what a proxy believes of one database group whose
// databases come and go: which of them leads, since when that is certain, how
// far the others have received its log, and when the primary is replaced.
package group

import (
	"math"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Entry is what a database says of itself in the platform's registry.
type Entry struct {
	ID      string
	Group   string
	Address string
	Zone    string
	// Incarnation tells two incarnations of one ID apart.
	Incarnation int64
	// Slots is how many statements run at once.
	Slots   int
	Leaving bool
	Role    database.Role
	// WarmupRemaining is how much longer the database is slow after its start.
	WarmupRemaining clock.Duration
}

// lapsedLife is how long a database whose entry has gone is still counted and
// used: entries that lapsed during an outage of the registry are back within
// two seconds of its return.
const lapsedLife = 3 * clock.Second

// Member is what is known of one database of the group.
type Member struct {
	Entry
	// LapsedAt is since when the entry is missing, zero while it is listed.
	LapsedAt clock.Time
	// LeavingAt is when the database was first seen to leave.
	LeavingAt clock.Time
	// DrainExpired is set once the database has been leaving for so long that it must
	// not get requests any more.
	DrainExpired bool
	// Term is the term whose log the database writes or receives, zero if
	// unknown.
	Term uint64
	// FencedTerm is the term below which the database takes no log.
	FencedTerm uint64
	// Received is the end of the log that the database holds.
	Received position.Position
	// AskedAt is when the newest status was asked for.
	AskedAt clock.Time
	// UnfencedAt is the latest moment at which the database is known to have
	// followed Term without a hold.
	UnfencedAt clock.Time
	// FailingSince is since when every attempt to reach the database failed,
	// zero while it answers.
	FailingSince clock.Time
	// Failures counts the attempts that failed since then.
	Failures int
	// AnsweredAt is when the database last answered.
	AnsweredAt clock.Time
}

// answered notes that the database has answered.
func (m *Member) answered(now clock.Time) {
	m.AnsweredAt, m.FailingSince, m.Failures = now, 0, 0
}

// Usable reports whether new requests may be sent to the database.
func (m *Member) Usable() bool { return !m.Leaving }

// AnyTerm stands for the fences of every term.
const AnyTerm = math.MaxUint64

// Releasable reports whether the database is held back by a fence of a term or
// an earlier one. A later fence is another replacement's.
func (m *Member) Releasable(term uint64) bool {
	return m.Role == database.RoleReplica && m.FencedTerm > m.Term && m.FencedTerm <= term
}
