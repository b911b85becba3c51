// Package routes provides one version of the configuration: which database
// names exist, which group serves each and how.
package routes

import (
	"sync/atomic"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Consistency is what a route promises its readers.
type Consistency uint8

// The kinds of route.
const (
	// Primary: reads see every acknowledged commit.
	Primary Consistency = iota
	// BoundedAge: reads see every commit acknowledged longer than MaxAge ago.
	BoundedAge
	// ReadYourWrites: as BoundedAge, and every commit of the same session.
	ReadYourWrites
)

// String names the kind as logs show it.
func (k Consistency) String() string {
	switch k {
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

// Route is how one database name is served.
type Route struct {
	Name     string
	Database string
	Group    string
	Consistency     Consistency
	// Timeout limits one statement.
	Timeout clock.Duration
	// TargetLatency is the latency aimed at for a whole operation.
	TargetLatency clock.Duration
	// Priority orders requests under load; 0 is the highest.
	Priority int
	// MaxAge is how old the rows of a read may be, except on Primary routes.
	MaxAge clock.Duration
}

// Group is what is declared of a database group.
type Group struct {
	Name string
	// ConnectionLimit is how many connections each database grants to all
	// proxies together.
	ConnectionLimit int
}

// Version is one accepted configuration. It is not changed once accepted.
type Version struct {
	Number uint64
	// Routes are keyed by database name.
	Routes map[string]*Route
	Groups map[string]Group
	// TransactionIdleTimeout is how long a transaction may rest between two
	// statements.
	TransactionIdleTimeout clock.Duration
	// StartupTimeout is how long a caller may take to open its session.
	StartupTimeout clock.Duration
}

// Current is the version in force in this process. It never goes back.
type Current struct {
	version atomic.Pointer[Version]
}

// Load returns the version in force, nil before the first.
func (c *Current) Load() *Version { return c.version.Load() }

// Accept puts v in force unless one as new already is.
func (c *Current) Accept(v *Version) bool {
	for {
		old := c.version.Load()
		if old != nil && old.Number >= v.Number {
			return false
		}
		if c.version.CompareAndSwap(old, v) {
			return true
		}
	}
}
