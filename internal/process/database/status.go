// Package database monitors the databases of a group: which one is primary, how
// far each has applied the log, and which commits may be acknowledged. It also
// replaces a failed primary. Its types open no sockets, and they read the time
// only through an injected clock.
package database

import (
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Role is the replication role of a database in its group.
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

// Status is the replication state that a database reports about itself.
type Status struct {
	Role Role
	// Term is the term of the log that the database writes or receives.
	Term uint64
	// Fenced is the highest term that the database has seen. While it is
	// greater than Term, the database neither accepts writes nor receives log.
	Fenced uint64
	// Received is the end of the log that the database has stored.
	Received position.Position
	// Applied is the end of the log that is visible to reads.
	Applied position.Position
	// TermStart is the log position at which Term began, its promotion point.
	TermStart position.Position
}

// AcceptsWrites reports whether the database is a primary that is not fenced
// for a later term.
func (s Status) AcceptsWrites() bool { return s.Role == RolePrimary && s.Fenced <= s.Term }

// Report is a status of a database and the time at which it was requested.
type Report struct {
	// Database is the index of the database in its group.
	Database int
	// SentSeq is the sequence number of the request among all events of this
	// process.
	SentSeq uint64
	// SentAt is the time just before the request was sent.
	SentAt clock.Time
	Status Status
}
