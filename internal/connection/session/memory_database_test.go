package session

import (
	"context"
	"fmt"
	"maps"
	"slices"
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
	// tooLong reports whether a request is longer than a message may be, nil if none is.
	tooLong func(*statement.Request) bool
	// ran has the statements of callers that have run.
	ran []ranStatement
	// committed has the texts of the writes that were committed.
	committed []string
	dials     int
	closes    int
	// keepOpen is set if BUSY leaves a transaction open and a COMMIT that failed ends it.
	keepOpen bool
	// replica is set once the database does not lead.
	replica bool
	// repeat returns how the answer to an operation is sent a second time, if it is.
	repeat func(statement.Operation, *statement.Answer) repetition
	// connections has the connections that were dialed.
	connections []*memoryConn
	// answered counts the answers, for their signatures.
	answered int
	// statuses counts the status requests and fences the BEGIN READs of the proxy itself.
	// strayFences counts those of them that do not belong to the fence behind a status, or
	// behind requests that load a session's state.
	statuses, fences, strayFences int
	// slow is that of the last repetition.
	slow bool
	// takes returns how long the answer to an operation takes, nil if none takes any time.
	// Nothing waits for it: an answer that is later than the limit is missing at once.
	takes func(statement.Operation) clock.Duration
}

// repetition is how an answer is sent a second time.
type repetition struct {
	// atOnce is set if it follows the first.
	atOnce bool
	// before matches the operation before whose answer it arrives, unless atOnce is set.
	before func(statement.Operation) bool
	// unread is set if it is found unread before that.
	unread bool
	// slow is set if answers that were not awaited are found with a later exchange only.
	slow bool
}

func (r repetition) happens() bool { return r.atOnce || r.before != nil }

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
	// arrived are the answers that were not read yet.
	arrived []statement.Answer
	// late are repeated answers that have not arrived yet.
	late []lateAnswer
	// mayHaveFence is set after a request whose answer may be fenced, until one that is no
	// part of a fence.
	mayHaveFence bool
}

// loadsState reports whether a request is of the proxy itself, and loads a session's state.
func loadsState(r statement.Request) bool {
	switch o := r.Operation.(type) {
	case statement.Set, statement.Reset:
		return r.ID == ""
	case statement.Prepare:
		return r.ID == "" && o.Name != "fence"
	default:
		return false
	}
}

// isFence reports whether a request may be part of a fence.
func isFence(r statement.Request) bool {
	switch o := r.Operation.(type) {
	case statement.Begin:
		return r.ID == "" && o.ReadOnly
	case statement.Rollback:
		return r.ID == ""
	case statement.Prepare:
		return o.Name == "fence"
	case statement.Deallocate:
		return o.Name == "fence"
	default:
		return false
	}
}

// lateAnswer is a repeated answer that has not arrived yet.
type lateAnswer struct {
	statement.Answer
	repetition
}

func cloneAnswer(a *statement.Answer) statement.Answer {
	b := *a
	b.Rows, b.Signature = slices.Clone(a.Rows), slices.Clone(a.Signature)
	return b
}

// Dial implements backend.Dialer.
func (d *memoryDatabase) Dial(context.Context, backend.Target) (backend.Conn, statement.Answer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dials++
	c := &memoryConn{memoryDatabase: d, values: make(map[string]string), prepared: make(map[string]statement.Prepare)}
	d.connections = append(d.connections, c)
	return c, statement.Answer{}, nil
}

// openTransactions returns the number of connections on which a transaction is open.
func (d *memoryDatabase) openTransactions() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, c := range d.connections {
		if c.state != statement.Idle {
			n++
		}
	}
	return n
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
func (c *memoryConn) Exchange(limit clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range requests {
		a := c.answer(r)
		if c.takes != nil && c.takes(r.Operation) > limit {
			return 0, context.DeadlineExceeded
		}
		c.late = slices.DeleteFunc(c.late, func(l lateAnswer) bool {
			if l.before(r.Operation) {
				c.arrived = append(c.arrived, l.Answer)
				return true
			}
			return false
		})
		c.arrived = append(c.arrived, a)
		if c.repeat == nil {
			continue
		}
		l := lateAnswer{cloneAnswer(&a), c.repeat(r.Operation, &a)}
		c.memoryDatabase.slow = c.memoryDatabase.slow || l.slow
		if l.atOnce {
			c.arrived = append(c.arrived, l.Answer)
		} else if l.happens() {
			c.late = append(c.late, l)
		}
	}
	for i := range requests {
		a := &c.arrived[0]
		b := &answers[i]
		b.Reset()
		b.Rows, b.Signature = append(b.Rows, a.Rows...), append(b.Signature, a.Signature...)
		b.Failure, b.State, b.Position = a.Failure, a.State, a.Position
		c.arrived = c.arrived[1:]
	}
	return len(requests), nil
}

// answer runs a request and returns its answer. The row of a read is the request's ID.
func (c *memoryConn) answer(r statement.Request) statement.Answer {
	a := statement.Answer{Failure: c.run(r)}
	a.State = c.state
	a.Position = position.Position{Term: 1, Offset: uint64(len(c.committed))}
	c.answered++
	_, status := r.Operation.(statement.Status)
	c.mayHaveFence = status || loadsState(r) || c.mayHaveFence && isFence(r)
	if a.Failure != nil {
		return a
	}
	signature := fmt.Appendf(nil, "%d.%s", c.answered, r.ID)
	switch o := r.Operation.(type) {
	case statement.Read, statement.Execute:
		a.Rows, a.Signature = []byte("ROW "+r.ID+"\r\n"), signature
	case statement.Write, statement.Commit:
		a.Signature = signature
	case statement.Begin:
		if o.ReadOnly && r.ID == "" {
			c.fences++
			if !c.mayHaveFence {
				c.strayFences++
			}
		}
	case statement.Status:
		c.statuses++
		role := database.RolePrimary
		if c.replica {
			role = database.RoleReplica
		}
		a.Rows = fmt.Appendf(nil, "ROW %v\r\n", role)
	}
	return a
}

func (c *memoryConn) run(r statement.Request) *statement.Failure {
	if c.fail != nil {
		if f := c.fail(r.Operation); f != nil {
			_, commits := r.Operation.(statement.Commit)
			switch {
			case c.state != statement.InTransaction || c.keepOpen && f.Code == statement.CodeBusy:
			case commits && c.keepOpen:
				c.end()
			default:
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
		if c.tooLong != nil && c.tooLong(&requests[i]) {
			return &backend.TooLongError{Cause: errors.New("longer than 1 MiB")}
		}
	}
	return nil
}

// DecodeStatus implements backend.Conn.
func (c *memoryConn) DecodeStatus(a *statement.Answer) (database.Status, error) {
	if a.Failure != nil {
		return database.Status{}, a.Failure
	}
	role := database.RolePrimary
	if string(a.Rows) != fmt.Sprintf("ROW %v\r\n", role) {
		role = database.RoleReplica
	}
	return database.Status{Role: role, Term: 1, Received: a.Position, Applied: a.Position}, nil
}

// Buffered implements backend.Conn.
func (c *memoryConn) Buffered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memoryDatabase.slow {
		return 0
	}
	return len(c.arrived)
}

// Unread implements backend.Conn.
func (c *memoryConn) Unread() (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memoryDatabase.slow {
		return 0, nil
	}
	n := len(c.arrived)
	for _, l := range c.late {
		if l.unread {
			n++
		}
	}
	return n, nil
}

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
