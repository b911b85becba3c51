package group

import (
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// CommitStatus is what is known about a commit.
type CommitStatus uint8

// The states of a commit.
const (
	// CommitPending: nothing is known yet.
	CommitPending CommitStatus = iota
	// CommitUnproven: enough databases have the commit, but some of them may have
	// started again after a replacement has fenced them.
	CommitUnproven
	// CommitConfirmed: any replacement of the primary preserves the commit.
	CommitConfirmed
	// CommitSuperseded: a later term has begun, and its primary must be asked whether
	// its log contains the commit.
	CommitSuperseded
	// CommitLost: no present or later primary has the commit.
	CommitLost
)

// Decided reports whether the status is final as long as no later term begins.
func (s CommitStatus) Decided() bool { return s == CommitConfirmed || s == CommitLost }

// Commit is a commit that a database has made.
type Commit struct {
	// Database is the ID of the database.
	Database string
	// SentAt is when the request was sent to the database.
	SentAt clock.Time
	position.Position
}

// CheckCommit returns what is known about a commit.
func (g *Group) CheckCommit(c Commit) CommitStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term > c.Term {
		return CommitSuperseded
	}
	counted := g.electorateLocked()
	var room [usualSize]Evidence
	evidence := room[:0]
	known := false
	for _, m := range g.sorted {
		shown := m.Term == c.Term && m.Received.AtLeast(c.Position)
		e := Evidence{Holds: shown && m.Role == database.RoleReplica, Unbroken: shown && g.unbrokenLocked(m, m.AskedAt)}
		if m.ID == c.Database {
			known = true
			e = Evidence{Holds: true, Unbroken: e.Unbroken || g.unbrokenLocked(m, c.SentAt)}
		}
		if counted.has(m.ID) {
			evidence = append(evidence, e)
		}
	}
	if !known && counted.has(c.Database) {
		// Its registry entry has been missing for too long.
		evidence = append(evidence, Evidence{Holds: true})
	}
	return statusOf(evidence, counted)
}

// statusOf returns what is known about an entry of the current term.
func statusOf(evidence []Evidence, e electorate) CommitStatus {
	switch {
	case Preserves(evidence, len(e.membership)) && !e.expired, preservedByAll(evidence, len(e.membership)):
		return CommitConfirmed
	case mayBePreserved(evidence, e.quorum):
		return CommitUnproven
	default:
		return CommitPending
	}
}

// CheckSuperseded returns what is known about the commit at p, of an earlier term, if
// contained tells whether the log of the primary of term contains it. It returns
// CommitSuperseded if that term has ended too. If nothing is written in the term, the
// commit stays CommitPending: until enough databases have an entry of the term, an earlier
// primary that returns may be promoted again with its own log.
func (g *Group) CheckSuperseded(p position.Position, term uint64, contained bool) CommitStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term != term {
		return CommitSuperseded
	}
	if contained && term == p.Term+1 {
		// No primary of a term in between can have written entries to a log without the
		// commit.
		return g.entryStatusLocked(func(m *Member) bool {
			return m.hasEntryOf(p.Term) && m.Received.AtLeast(p) || m.hasEntryOf(term)
		})
	}
	status := g.entryStatusLocked(func(m *Member) bool { return m.hasEntryOf(term) })
	if status == CommitConfirmed && !contained {
		return CommitLost
	}
	return status
}

// hasEntryOf reports whether the last entry of the database's log is of the term. The
// log of a database that follows a term has no entry of it at first.
func (m *Member) hasEntryOf(term uint64) bool {
	return m.Received.Term == term && m.Received.Offset > 0
}

// entryStatusLocked returns what is known about an entry that the databases have whose
// status satisfies holds.
func (g *Group) entryStatusLocked(holds func(*Member) bool) CommitStatus {
	counted := g.electorateLocked()
	var room [usualSize]Evidence
	evidence := room[:0]
	for _, m := range g.sorted {
		if counted.has(m.ID) {
			evidence = append(evidence, Evidence{Holds: holds(m), Unbroken: g.unbrokenLocked(m, m.AskedAt)})
		}
	}
	return statusOf(evidence, counted)
}

// usualSize is the size of groups up to which a check allocates nothing.
const usualSize = 8
