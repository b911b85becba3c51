package database

import (
	connection "github.com/oleanderflow/oleanderflow/internal/connection/database"
	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// AgeRule declares the staleness that matching reads accept. An empty
// Application or Tag matches every read.
type AgeRule struct {
	Application string
	Tag         string
	MaxAge      clock.Duration
}

// Class declares a class of requests. Classes are listed in the order in which
// they are served. An empty Application or Tag matches every request.
type Class struct {
	Application string
	Tag         string
	// Writes restricts the class to requests that may write.
	Writes bool
	// Deadline limits the wait of a request for a connection, zero for no limit
	// but the request's own.
	Deadline clock.Duration
}

// ClassOf returns the index and the deadline of the first class that matches
// a request, or connection.NoClass and the queue timeout if none does.
func (s *ServedGroup) ClassOf(application, tag string, writes bool) (int, clock.Duration) {
	for i, c := range s.Classes {
		if c.Application != "" && c.Application != application {
			continue
		}
		if c.Tag != "" && c.Tag != tag || c.Writes && !writes {
			continue
		}
		return i, c.Deadline
	}
	return connection.NoClass, s.QueueTimeout
}

// ServedGroup is a database group as one version of the configuration defines
// it. A request uses the same ServedGroup from start to end.
type ServedGroup struct {
	Name    string
	Monitor *process.Monitor
	Pools   []*connection.Pool
	Router  *Router
	// Gate blocks writes while an operator moves the primary.
	Gate *Gate
	// Retries limits the retries of requests that did not run.
	Retries *RetryBudget
	// Homes are the home proxies to which requests are forwarded.
	Homes   *Homes
	Ages    []AgeRule
	Classes []Class
	// Priorities has the priorities of the workspaces' users. 0 is the highest, and
	// that of users of no workspace.
	Priorities map[string]int
	Durability process.Durability
	// QueueTimeout limits how long a request that matches no class waits for a
	// connection.
	QueueTimeout clock.Duration
	// CommitWait limits the wait for a commit's confirmation.
	CommitWait clock.Duration
	// WriteWait limits the total time for which a request waits for paused
	// writes to resume, for a primary and for a connection.
	WriteWait clock.Duration
}

// DeclaredAge returns the strictest staleness bound that the configuration
// declares for a read, zero for none.
func (s *ServedGroup) DeclaredAge(application, tag string) clock.Duration {
	var strictest clock.Duration
	for _, a := range s.Ages {
		if a.Application != "" && a.Application != application {
			continue
		}
		if a.Tag != "" && a.Tag != tag {
			continue
		}
		strictest = StricterAge(strictest, a.MaxAge)
	}
	return strictest
}

// StricterAge returns the smaller of two staleness bounds, where zero stands
// for no bound.
func StricterAge(a, b clock.Duration) clock.Duration {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	default:
		return min(a, b)
	}
}
