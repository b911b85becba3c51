package session

import (
	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// transaction is the open transaction of a session. It begins at a database
// with its first statement and stays on one connection.
type transaction struct {
	route *routes.Route
	// workspace is the name of the workspace that began the transaction.
	workspace string
	readOnly  bool
	// arrived is when the caller's BEGIN arrived.
	arrived clock.Time
	// id is the request ID of the caller's BEGIN. number is its number within the
	// session, by which homes know it. It changes until a home has answered.
	id     string
	number uint64
	// begun is set once the transaction has begun at a home or at this proxy.
	// home is the name of the home, or empty for this proxy.
	begun bool
	home  string
	// conn is the connection to the database. It is nil before the first statement
	// and after the transaction was aborted.
	conn   *backend.PooledConn
	pool   *backend.Pool
	member group.Member
	// openedAt is when conn was opened.
	openedAt clock.Time
	// leadershipPending is set on Primary routes until it is proven that the
	// database was still the primary after BEGIN had arrived. The transaction's
	// reads require that.
	leadershipPending bool
	// leadsAt is when the database leads if its answer to BEGIN was not a repetition of an
	// earlier one, which the next answer tells. It is zero once that is known.
	leadsAt clock.Time
	wrote   bool
	// valuesChanged is set once session variables were changed on the connection, or
	// statements prepared under short names, within the transaction.
	valuesChanged bool
	// failure is the reason why the transaction can only be rolled back, or nil.
	failure *statement.Failure
}

// abort ends the transaction at its database by closing the connection. The
// transaction fails with reason, if it is not nil.
func (t *transaction) abort(reason *statement.Failure) {
	if t.conn != nil {
		t.conn.Discard()
		t.conn = nil
	}
	t.failure = reason
}

// releaseConn returns the connection to its pool after the transaction has
// ended at the database.
func (t *transaction) releaseConn() {
	if t.conn == nil {
		return
	}
	if t.valuesChanged {
		// It depends on the database whether a rollback reverts session variables.
		t.conn.NeedsReset = true
	}
	t.conn.Release()
	t.conn = nil
}

func (s *Session) beginTransaction(id string, o statement.Begin) {
	if s.tx != nil {
		s.fail(statement.CodeMalformed, "a transaction is open")
		return
	}
	route := s.resolve()
	if route == nil {
		s.fail(statement.CodeNoDatabase, s.database)
		return
	}
	if !s.admit(route) {
		return
	}
	s.tx = &transaction{route: route, workspace: s.workspace, id: id, readOnly: o.ReadOnly, arrived: s.arrived}
	s.numberTransaction()
}

// numberTransaction gives the open transaction a number that no other one of the session
// has, or has had.
func (s *Session) numberTransaction() {
	s.transactionCount++
	s.tx.number = s.transactionCount
}

// runInTransaction runs a statement on the transaction's connection.
func (s *Session) runInTransaction(g *backend.GroupClient, r *statement.Request) {
	t := s.tx
	deadline := s.arrived.Add(s.route.Timeout)
	if t.conn == nil && !s.beginAtDatabase(g, deadline) {
		t.failure = s.answer.Failure
		return
	}
	if !s.exchangeInTransaction(g, r, deadline) {
		return
	}
	if s.answer.Failure == nil && s.writes(r) {
		t.wrote = true
	}
	if t.leadershipPending && s.answer.Failure == nil && !s.awaitTransactionLeadership(g, deadline) {
		t.abort(&statement.Failure{Code: statement.CodeAborted, Text: "the primary is not confirmed by another database"})
		s.answer.Reset()
		s.answer.Failure = t.failure
	}
}

// awaitTransactionLeadership waits for proof that the database was still the
// primary after the transaction's BEGIN had arrived, and reports whether there
// is any.
func (s *Session) awaitTransactionLeadership(g *backend.GroupClient, deadline clock.Time) bool {
	arrived := s.arrived
	s.arrived = s.tx.arrived
	s.tx.leadershipPending = !s.awaitLeadership(g, s.tx.member, s.tx.openedAt, g.FastestReplicas(), deadline)
	s.arrived = arrived
	return !s.tx.leadershipPending
}

// exchangeInTransaction sends a statement, and sends it again, up to maxRetries
// times, while the database rejects it because of load. It returns false if the
// connection is lost.
func (s *Session) exchangeInTransaction(g *backend.GroupClient, r *statement.Request, deadline clock.Time) bool {
	t := s.tx
	for tries := 0; ; tries++ {
		aligned := t.conn.Aligned()
		if outcome := s.exchange(g, t.conn, t.pool, r, s.attemptTimeout(t.pool, deadline)); outcome != answered {
			f := &statement.Failure{Code: statement.CodeAborted, Text: "the connection to database " + t.pool.ID + " was lost"}
			if outcome == misanswered && !aligned && s.writes(r) {
				// BEGIN may have failed, and the statement has run for itself then.
				f = &statement.Failure{Code: statement.CodeInDoubt, Text: "database " + t.pool.ID + " has mixed up its answers"}
			}
			t.abort(f)
			s.answer.Reset()
			s.answer.Failure = t.failure
			return false
		}
		f := s.answer.Failure
		if f == nil {
			s.observeLead(g)
			return true
		}
		retryable := f.Code == statement.CodeBusy && s.answer.State == statement.InTransaction
		if !retryable || !s.canRetry(tries, deadline) {
			t.failure = f
			if f.Code == statement.CodeReadOnly {
				g.MarkNotPrimary(t.member.ID)
			}
			return true
		}
		backend.Sleep(retryPause)
	}
}

// observeLead records that the transaction's database leads, once that is known.
func (s *Session) observeLead(g *backend.GroupClient) {
	t := s.tx
	if t.leadsAt != 0 && !t.conn.Ambiguous() {
		g.ObserveLead(t.member.ID, t.member.Term, t.openedAt, t.leadsAt)
		t.leadsAt = 0
	}
}

// beginAtDatabase begins the transaction at a database. If it returns false, the
// answer holds the failure and no statement has run.
func (s *Session) beginAtDatabase(g *backend.GroupClient, deadline clock.Time) bool {
	t := s.tx
	begin := statement.Request{ID: t.id, Operation: statement.Begin{ReadOnly: t.readOnly}}
	if t.route.Consistency == routes.Primary {
		return s.beginAtPrimary(g, &begin, deadline)
	}
	floor, ok := s.readFloor(g, deadline)
	if !ok {
		s.fail(statement.CodeBusy, "no recent position of the group is known")
		return false
	}
	begin.Floor = floor
	if needsPrimary(t.route, !t.readOnly) {
		return s.beginAtPrimary(g, &begin, deadline)
	}
	t.conn, t.pool = s.readAnywhere(g, &begin, floor, deadline)
	if !s.checkBegun() {
		return false
	}
	s.logRead(g, t.pool, floor)
	return true
}

// checkBegun reports whether the database has opened the transaction, and closes
// the connection if it answered with a failure.
func (s *Session) checkBegun() bool {
	t := s.tx
	if t.conn == nil {
		return false
	}
	if s.answer.Failure != nil {
		t.conn.Discard()
		t.conn = nil
		return false
	}
	return true
}

func (s *Session) beginAtPrimary(g *backend.GroupClient, begin *statement.Request, deadline clock.Time) bool {
	t := s.tx
	for tries := 0; ; tries++ {
		m, p, c := s.acquirePrimary(g, begin, deadline)
		if c == nil {
			return false
		}
		t.pool, t.member = p, m
		if t.leadershipPending = t.route.Consistency == routes.Primary; t.leadershipPending {
			s.requestLeadershipProof(g, g.FastestReplicas())
		}
		sent := s.Clock.Now()
		if s.exchange(g, c, p, begin, s.attemptTimeout(p, deadline)) != answered {
			c.Discard()
			s.fail(statement.CodeBusy, "database "+p.ID+" has not answered")
			if tries < maxRetries && s.Clock.Now().Add(retryPause) < deadline {
				continue
			}
			return false
		}
		f := s.answer.Failure
		if f == nil {
			t.conn, t.openedAt = c, c.OpenedAt
			if !t.readOnly {
				t.leadsAt = sent
				s.observeLead(g)
			}
			return true
		}
		c.Release()
		if !f.Code.NotRun() || !s.prepareRetry(g, m, p, f, tries, deadline) {
			return false
		}
	}
}

// setInTransaction sets a session variable at the home or the database of the
// transaction, if the transaction has begun there. It returns false if that
// failed.
func (s *Session) setInTransaction(r *statement.Request, o statement.Set) bool {
	t := s.tx
	if (t.home != "" || t.conn != nil) && !s.admit(t.route) {
		return false
	}
	if t.home != "" {
		s.route = t.route
		if !s.forward(r) || s.answer.Failure != nil {
			return false
		}
		s.answer.Reset()
		return true
	}
	if t.conn == nil {
		return true
	}
	g := s.Group(t.route.Group)
	t.valuesChanged = true
	if !s.exchangeInTransaction(g, r, s.arrived.Add(t.route.Timeout)) || s.answer.Failure != nil {
		return false
	}
	t.conn.Values[o.Name] = o.Text
	// The caller gets the same answer as outside a transaction.
	s.answer.Reset()
	return true
}

// endTransaction serves COMMIT and ROLLBACK.
func (s *Session) endTransaction(r *statement.Request) {
	t := s.tx
	if t == nil {
		s.fail(statement.CodeMalformed, "no transaction is open")
		return
	}
	s.route = t.route
	_, commit := r.Operation.(statement.Commit)
	if commit && t.failure == nil && !s.admit(t.route) {
		s.tx = nil
		return
	}
	if s.shouldForward(t.route.Group) && s.endAtHome(r) {
		return
	}
	g := s.Group(t.route.Group)
	deadline := s.arrived.Add(t.route.Timeout)
	switch {
	case !commit:
		s.rollback(g, r, deadline)
	case t.failure != nil:
		// A rollback that fails closes the connection and forgets the failure.
		reason, code := t.failure.Text, statement.CodeAborted
		if t.failure.Code == statement.CodeInDoubt {
			code = statement.CodeInDoubt
		}
		s.rollback(g, &statement.Request{Operation: statement.Rollback{}}, deadline)
		s.fail(code, "the transaction had failed: "+reason)
	default:
		s.commit(g, r, deadline)
	}
	if t.conn != nil {
		t.abort(nil)
	}
	s.tx = nil
}

// rollback rolls back the transaction. If the connection is lost or closed, the
// database rolls it back as well, so the answer is always a success.
func (s *Session) rollback(g *backend.GroupClient, r *statement.Request, deadline clock.Time) {
	t := s.tx
	if t.conn == nil {
		s.answer.Reset()
		return
	}
	outcome := s.exchange(g, t.conn, t.pool, r, deadline.Sub(s.Clock.Now()))
	if outcome == answered && s.answer.Failure == nil && s.answer.State == statement.Idle {
		t.releaseConn()
	} else {
		t.abort(nil)
	}
	s.answer.Reset()
}

// commit commits the transaction at its database. A transaction in which no
// statement ran begins there only now.
func (s *Session) commit(g *backend.GroupClient, r *statement.Request, deadline clock.Time) {
	t := s.tx
	if t.conn == nil && (g == nil || !s.beginAtDatabase(g, deadline)) {
		if s.answer.Failure == nil {
			s.fail(statement.CodeBusy, "no database of the group is known")
		}
		return
	}
	if t.wrote && !s.mayCommit(g, t.member, t.openedAt) {
		s.rollback(g, &statement.Request{Operation: statement.Rollback{}}, deadline)
		s.fail(statement.CodeAborted, "the primary is not confirmed by another database")
		return
	}
	for tries := 0; ; tries++ {
		sent := s.Clock.Now()
		if outcome := s.exchange(g, t.conn, t.pool, r, deadline.Sub(sent)); outcome != answered {
			t.abort(nil)
			if outcome != notSent && t.wrote {
				s.fail(statement.CodeInDoubt, "the answer to COMMIT of database "+t.pool.ID+" is missing")
				return
			}
			s.fail(statement.CodeAborted, "the connection to database "+t.pool.ID+" was lost; nothing is kept")
			return
		}
		f := s.answer.Failure
		switch {
		case f == nil:
			at := s.answer.Position
			t.releaseConn()
			if t.leadershipPending && !s.awaitTransactionLeadership(g, deadline) {
				s.fail(statement.CodeInDoubt, "the primary is not confirmed by another database")
				return
			}
			if t.wrote {
				s.confirmCommit(g, group.Commit{Database: t.member.ID, SentAt: sent, Position: at}, deadline)
			}
			return
		case f.Code != statement.CodeBusy || s.answer.State != statement.InTransaction || !s.canRetry(tries, deadline):
			if f.Code == statement.CodeReadOnly {
				g.MarkNotPrimary(t.member.ID)
			}
			return
		}
		backend.Sleep(retryPause)
	}
}
