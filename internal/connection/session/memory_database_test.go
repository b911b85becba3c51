package session

import (
	"context"
	"maps"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// memoryDatabase is a database in memory, the primary of a group of its own. It keeps
// the session state and the transaction of each connection.
type memoryDatabase struct {
	mu sync.Mutex
	// fail returns the failure that a request is answered with, nil to run it.
	fail func(statement.Operation) *statement.Failure
	// invalid reports whether a request has no encoding, nil if all have one.
	invalid func(*statement.Request) bool
	// ran has the statements of callers that have run.
	ran []ranStatement
	// committed has the texts of the writes that were committed.
	committed []string
	dials     int
	closes    int
	// replica is set once the database does not lead.
	replica bool
}

// ranStatement is a statement with the state of its connection when it ran.
type ranStatement struct {
	id     string
	values map[string]string
	// transaction is the request ID of the BEGIN of the open transaction.
	transaction   string
	inTransaction bool
	// prepared is the prepared statement that has run.
	prepared statement.Prepare
}

// memoryConn is a connection to a memoryDatabase.
type memoryConn struct {
	*memoryDatabase
	values      map[string]string
	prepared    map[string]statement.Prepare
	state       statement.State
	transaction string
	writes      []string
}

// Dial implements backend.Dialer.
func (d *memoryDatabase) Dial(context.Context, backend.Target) (backend.Conn, statement.Answer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dials++
	return &memoryConn{memoryDatabase: d, values: make(map[string]string), prepared: make(map[string]statement.Prepare)}, statement.Answer{}, nil
}

func (d *memoryDatabase) setFail(f func(statement.Operation) *statement.Failure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail = f
}

func (d *memoryDatabase) runs(id string) []ranStatement {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []ranStatement
	for _, r := range d.ran {
		if r.id == id {
			list = append(list, r)
		}
	}
	return list
}

func (d *memoryDatabase) dialCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dials
}

func (d *memoryDatabase) commits() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string{}, d.committed...)
}

// Exchange implements backend.Conn. It runs each request, whatever the one before
// has led to.
func (c *memoryConn) Exchange(_ clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, r := range requests {
		answers[i].Reset()
		answers[i].Failure = c.run(r)
		answers[i].State = c.state
		answers[i].Position = position.Position{Term: 1, Offset: uint64(len(c.committed))}
	}
	return len(requests), nil
}

func (c *memoryConn) run(r statement.Request) *statement.Failure {
	if c.fail != nil {
		if f := c.fail(r.Operation); f != nil {
			if c.state == statement.InTransaction {
				c.state = statement.Failed
			}
			return f
		}
	}
	switch o := r.Operation.(type) {
	case statement.Begin:
		c.state, c.transaction = statement.InTransaction, r.ID
	case statement.Commit:
		c.committed = append(c.committed, c.writes...)
		c.end()
	case statement.Rollback:
		c.end()
	case statement.Reset:
		clear(c.values)
		clear(c.prepared)
	case statement.Set:
		c.values[o.Name] = o.Text
	case statement.Prepare:
		c.prepared[o.Name] = o
	case statement.Execute:
		p, ok := c.prepared[o.Name]
		if !ok {
			return &statement.Failure{Code: statement.CodeUnprepared}
		}
		c.record(r.ID)
		c.ran[len(c.ran)-1].prepared = p
	case statement.Read:
		c.record(r.ID)
	case statement.Write:
		c.record(r.ID)
		c.writes = append(c.writes, o.Text)
		if c.state == statement.Idle {
			c.committed = append(c.committed, c.writes...)
			c.writes = nil
		}
	}
	return nil
}

func (c *memoryConn) record(id string) {
	c.ran = append(c.ran, ranStatement{id: id, values: maps.Clone(c.values), transaction: c.transaction, inTransaction: c.state != statement.Idle})
}

func (c *memoryConn) end() { c.state, c.transaction, c.writes = statement.Idle, "", nil }

// Check implements backend.Conn.
func (c *memoryConn) Check(requests []statement.Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range requests {
		if c.invalid != nil && c.invalid(&requests[i]) {
			return errors.New("longer than 1 MiB")
		}
	}
	return nil
}

// DecodeStatus implements backend.Conn.
func (c *memoryConn) DecodeStatus(a *statement.Answer) (database.Status, error) {
	if a.Failure != nil {
		return database.Status{}, a.Failure
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	role := database.RolePrimary
	if c.replica {
		role = database.RoleReplica
	}
	return database.Status{Role: role, Term: 1, Received: a.Position, Applied: a.Position}, nil
}

// Buffered implements backend.Conn.
func (*memoryConn) Buffered() int { return 0 }

// Unread implements backend.Conn.
func (*memoryConn) Unread() (int, error) { return 0, nil }

// Close implements backend.Conn.
func (c *memoryConn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closes++
	c.end()
}

// newMemoryGroup returns the client of a group whose only database is d.
func newMemoryGroup(t *testing.T, d *memoryDatabase) *backend.GroupClient {
	c := clock.NewBoot()
	g := backend.NewGroupClient("shop", "z", backend.DefaultSettings(), d, c, zap.NewNop(), func() {})
	g.Update(group.Entry{ID: "a", Group: "shop", Address: "a", Slots: 4, Role: database.RolePrimary})
	now := c.Now()
	g.ObserveStatus("a", now, now, database.Status{Role: database.RolePrimary, Term: 1})
	t.Cleanup(g.Close)
	return g
}

// newMemorySession returns a session on a route of the given kind to g.
func newMemorySession(g *backend.GroupClient, id uint64, kind routes.Consistency) *Session {
	current := &routes.Current{}
	route := &routes.Route{Database: "fills", Group: "shop", Consistency: kind, Timeout: 400, TargetLatency: 60, MaxAge: clock.Second}
	current.Accept(&routes.Version{Number: 1, Routes: map[string]*routes.Route{"fills": route}, TransactionIdleTimeout: 3 * clock.Second})
	s := New(&Dependencies{
		Clock: clock.NewBoot(), Log: zap.NewNop(), Configuration: current, Recorder: noRecorder{},
		Group: func(string) *backend.GroupClient { return g },
	}, id, nil)
	s.database = "fills"
	return s
}

// request serves one request of the caller as Run does.
func (s *Session) request(id string, o statement.Operation) *statement.Failure {
	s.arrived = s.Clock.Now()
	s.serve(&statement.Request{ID: id, Operation: o})
	s.route = nil
	return s.answer.Failure
}

func requireServed(t *testing.T, s *Session, id string, o statement.Operation) {
	t.Helper()
	if f := s.request(id, o); f != nil {
		require.Fail(t, "request failed", "%s %T: %v", id, o, f)
	}
}
