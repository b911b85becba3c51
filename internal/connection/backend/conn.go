// Package backend keeps connections to databases on backend servers: opens
// them, shares them between sessions and notes how fast each database
// answers.
package backend

import (
	"context"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Target names a database and where it is.
type Target struct {
	Group   string
	ID      string
	Address string
}

// Dialer opens connections.
type Dialer interface {
	// Dial returns a connection and the database's greeting. A refusal by
	// the database is a *statement.Failure.
	Dial(ctx context.Context, to Target) (Conn, statement.Answer, error)
}

// Conn is a connection to a database.
type Conn interface {
	// Exchange sends requests at once and reads the answers in order, within
	// limit. It returns how many were answered; after an error the
	// connection is of no further use.
	Exchange(limit clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error)
	// DecodeStatus reads the answer to statement.Status.
	DecodeStatus(a *statement.Answer) (database.Status, error)
	// Close ends the connection and rolls back what is open on it.
	Close()
}

// PooledConn is a pooled connection together with the session state that is loaded
// on it.
type PooledConn struct {
	Conn
	// Values are the session values that are set on the connection, by name.
	Values map[string]string
	// Prepared holds the names that are known on the connection.
	Prepared map[string]struct{}
	// NeedsReset is set when the state of the connection is not known, so that
	// it has to be reset before its next use.
	NeedsReset bool
	// UsedAt is when the connection last answered.
	UsedAt clock.Time
	pool   *Pool
}

// MarkReset notes that the connection has been reset.
func (l *PooledConn) MarkReset() {
	clear(l.Values)
	clear(l.Prepared)
	l.NeedsReset = false
}

// CanAdopt reports whether the connection can take on values without a reset.
func (l *PooledConn) CanAdopt(values map[string]string) bool {
	if l.NeedsReset || len(l.Values) > len(values) {
		return false
	}
	for name := range l.Values {
		if _, ok := values[name]; !ok {
			return false
		}
	}
	return true
}

// holds reports whether exactly these values are set.
func (l *PooledConn) holds(values map[string]string) bool {
	if l.NeedsReset || len(l.Values) != len(values) {
		return false
	}
	for name, text := range values {
		if l.Values[name] != text {
			return false
		}
	}
	return true
}
