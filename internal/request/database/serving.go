package database

import (
	connection "github.com/oleanderflow/oleanderflow/internal/connection/database"
	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// AgeRule is a declared age of reads. Empty fields match every read.
type AgeRule struct {
	Application string
	Tag         string
	MaxAge      clock.Duration
}

// Class is a declared kind of requests, in the order in which the classes
// are served. Empty fields match every request.
type Class struct {
	Application string
	Tag         string
	Writes      bool
	Deadline    clock.Duration
}

// ClassOf returns the index of the first class that claims a request, and
// the class's deadline.
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

// ServedGroup is a database group as one accepted configuration serves it. A
// request keeps the one that it began with.
type ServedGroup struct {
	Name    string
	Monitor *process.Monitor
	Pools   []*connection.Pool
	Router  *Router
	// Gate holds back writes while an operator moves the primary.
	Gate *Gate
	// Retries bounds how often requests that did not run are tried again.
	Retries *RetryBudget
	// Homes are where requests are forwarded to.
	Homes      *Homes
	Ages       []AgeRule
	Classes    []Class
	Durability process.Durability
	// QueueTimeout bounds the wait for a connection of a request that no class
	// claims.
	QueueTimeout clock.Duration
	// CommitWait bounds the wait for a commit's confirmation.
	CommitWait clock.Duration
	// WriteWait bounds the wait for a primary and a connection.
	WriteWait clock.Duration
}

// DeclaredAge returns the tightest age that the operators declare for a
// read, zero for none.
func (s *ServedGroup) DeclaredAge(application, tag string) clock.Duration {
	var tightest clock.Duration
	for _, a := range s.Ages {
		if a.Application != "" && a.Application != application {
			continue
		}
		if a.Tag != "" && a.Tag != tag {
			continue
		}
		tightest = StricterAge(tightest, a.MaxAge)
	}
	return tightest
}

// StricterAge returns the smaller of two ages, of which zero is none.
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
