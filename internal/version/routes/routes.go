// Package routes holds the versioned routing configuration: which database
// names exist, which database group serves each of them, and with which limits
// and consistency.
package routes

import (
	"sync/atomic"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Consistency is the consistency level that a route guarantees for reads.
type Consistency uint8

// Consistency levels.
const (
	// Primary guarantees that reads see every acknowledged commit.
	Primary Consistency = iota
	// BoundedAge guarantees that reads see every commit that was acknowledged
	// more than MaxAge ago.
	BoundedAge
	// ReadYourWrites guarantees the same as BoundedAge, and that reads see every
	// commit of their own session.
	ReadYourWrites
)

// String returns the name of the level as it appears in logs and metrics.
func (c Consistency) String() string {
	switch c {
	case Primary:
		return "primary"
	case BoundedAge:
		return "boundedAge"
	case ReadYourWrites:
		return "readYourWrites"
	default:
		return "invalid"
	}
}

// Route defines how requests for one database name are served.
type Route struct {
	Name        string
	Database    string
	Group       string
	Consistency Consistency
	// Timeout is the time limit for one statement.
	Timeout clock.Duration
	// TargetLatency is the latency goal for a whole request.
	TargetLatency clock.Duration
	// Priority orders requests under load. 0 is the highest priority.
	Priority int
	// MaxAge is the maximum staleness of a read. Primary routes ignore it.
	MaxAge clock.Duration
	// Public routes serve callers without a key, on behalf of no workspace.
	Public bool
}

// Group is the configuration of a database group.
type Group struct {
	Name string
	// ConnectionLimit is the maximum number of connections that each database
	// accepts from all proxies together.
	ConnectionLimit int
}

// Version is one version of the routing configuration. It is immutable once
// accepted.
type Version struct {
	Number uint64
	// Era is the era of the store in which the version was read.
	Era uint64
	// Routes maps database names to routes.
	Routes map[string]*Route
	Groups map[string]Group
	// Workspaces is nil if the configuration declares none, in which case callers
	// need no keys.
	Workspaces *Workspaces
	// Problems tells what was left out of the version, because nothing could use it.
	Problems []error
	// TransactionIdleTimeout is how long a transaction may be idle between two
	// statements.
	TransactionIdleTimeout clock.Duration
	// StartupTimeout is how long a caller may take to open its session. Zero
	// selects a default.
	StartupTimeout clock.Duration
}

// Current holds the active version of this process. It is never replaced by an
// older version.
type Current struct {
	version atomic.Pointer[Version]
}

// Load returns the active version, or nil if none has been accepted yet.
func (c *Current) Load() *Version { return c.version.Load() }

// Accept makes v the active version and returns true, unless the active version
// is the same or newer. A number that is given to another version after the store
// has lost the first one stands for the version of the later era.
func (c *Current) Accept(v *Version) bool {
	for {
		old := c.version.Load()
		if old != nil && (old.Number > v.Number || old.Number == v.Number && old.Era >= v.Era) {
			return false
		}
		if c.version.CompareAndSwap(old, v) {
			return true
		}
	}
}
