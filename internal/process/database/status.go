// Package database decides from what the databases of a group report: which
// one leads, how far each has come, which commits may be acknowledged and
// when a primary is replaced. Its types open no socket and read no clock.
package database

import (
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Role is what a database does in its group.
type Role uint8

// The roles of a database.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// String returns the role's name as the database reports it.
func (r Role) String() string {
	switch r {
	case RolePrimary:
		return "primary"
	case RoleReplica:
		return "replica"
	default:
		return "unknown"
	}
}

// Status is one database's word on itself.
type Status struct {
	Role Role
	// Term is the term of the log that the database writes or receives.
	Term uint64
	// Fenced is the highest term that the database has seen. Above Term, it
	// neither accepts writes nor receives log.
	Fenced uint64
	// Received is the end of the log that the database holds.
	Received position.Position
	// Applied is the end of the log that its reads see.
	Applied position.Position
	// TermStart is the promotion point of Term.
	TermStart position.Position
}

// AcceptsWrites reports whether the database accepts writes in its term.
func (s Status) AcceptsWrites() bool { return s.Role == RolePrimary && s.Fenced <= s.Term }

// Report is a status together with when it was asked for.
type Report struct {
	// Database is the index of the database in its group.
	Database int
	// SentSeq orders the question among all events of this process.
	SentSeq uint64
	// SentAt is the time before the question was sent.
	SentAt clock.Time
	Status Status
}
