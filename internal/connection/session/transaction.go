package session

import (
	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// transaction is a caller's open transaction. It begins at a database with
// its first statement and stays on one connection.
type transaction struct {
	route    *routes.Route
	readOnly bool
	arrived  clock.Time
	// id is that of the caller's BEGIN, and number that of the transaction in
	// its session.
	id     string
	number uint64
	// placed is set once the transaction has begun somewhere; home is the proxy
	// that it runs at, empty for this one.
	placed bool
	home   string
	// link is the connection, nil before the first statement and after a
	// failure.
	link   *backend.Link
	pool   *backend.Pool
	member group.Member
	// unproven is set until it is known that the primary led when the
	// transaction began, where its reads need that.
	unproven bool
	wrote    bool
	// changed is set once values were changed on the connection.
	changed bool
	// failure is why the transaction can only be rolled back.
	failure *statement.Failure
}

// breakOff ends the transaction at its database by closing the connection.
func (t *transaction) breakOff(why *statement.Failure) {
	if t.link != nil {
		t.link.Discard()
		t.link = nil
	}
	t.failure = why
}

// finish gives the connection back after the transaction has ended there.
func (t *transaction) finish() {
	if t.link == nil {
		return
	}
	if t.changed {
		// Whether a rollback takes changed values back is the database's affair.
		t.link.Unclear = true
	}
	t.link.Release()
	t.link = nil
}

func (s *Session) begin(id string, o statement.Begin) {
	if s.tx != nil {
		s.fail(statement.CodeMalformed, "a transaction is open")
		return
	}
	route := s.resolve()
	if route == nil {
		s.fail(statement.CodeNoDatabase, s.database)
		return
	}
	s.begun++
	s.tx = &transaction{number: s.begun, route: route, id: id, readOnly: o.ReadOnly, arrived: s.arrived}
}

// runInTransaction runs a statement on the transaction's connection.
func (s *Session) runInTransaction(g *backend.Serving, r *statement.Request) {
	t := s.tx
	if t.failure != nil {
		s.fail(statement.CodeMalformed, "the transaction has failed")
		return
	}
	deadline := s.arrived.Add(s.route.Timeout)
	if t.link == nil && !s.startTransaction(g, deadline) {
		t.failure = s.answer.Failure
		return
	}
	if !s.exchangeInTransaction(g, r, deadline) {
		return
	}
	if s.answer.Failure == nil && s.writes(r) {
		t.wrote = true
	}
	if t.unproven && s.answer.Failure == nil && !s.proveLead(g, deadline) {
		t.breakOff(&statement.Failure{Code: statement.CodeAborted, Text: "the primary is not confirmed by another database"})
		s.answer.Reset()
		s.answer.Failure = t.failure
	}
}

// proveLead waits until it is known that the primary led when the
// transaction began.
func (s *Session) proveLead(g *backend.Serving, deadline clock.Time) bool {
	arrived := s.arrived
	s.arrived = s.tx.arrived
	s.tx.unproven = !s.leadConfirmed(g, s.tx.member, g.Preferred(), deadline)
	s.arrived = arrived
	return !s.tx.unproven
}

// exchangeInTransaction sends a statement, again while the database refuses
// it because of load. It returns false if the connection is lost.
func (s *Session) exchangeInTransaction(g *backend.Serving, r *statement.Request, deadline clock.Time) bool {
	t := s.tx
	for tries := 0; ; tries++ {
		if s.exchange(g, t.link, t.pool, r, s.patience(t.pool, deadline)) == unanswered {
			t.breakOff(&statement.Failure{Code: statement.CodeAborted, Text: "the connection to database " + t.pool.ID + " was lost"})
			s.answer.Reset()
			s.answer.Failure = t.failure
			return false
		}
		f := s.answer.Failure
		if f == nil {
			return true
		}
		again := f.Code == statement.CodeBusy && s.answer.State == statement.InTransaction
		if !again || !s.triesLeft(tries, deadline) {
			t.failure = f
			if f.Code == statement.CodeReadOnly {
				g.Deposed(t.member.ID)
			}
			return true
		}
		backend.Sleep(retryPause)
	}
}

// startTransaction begins the transaction at a database. On failure the
// answer says why, and nothing has run.
func (s *Session) startTransaction(g *backend.Serving, deadline clock.Time) bool {
	t := s.tx
	begin := statement.Request{ID: t.id, Operation: statement.Begin{ReadOnly: t.readOnly}}
	if t.route.Consistency == routes.Primary {
		return s.startAtPrimary(g, &begin, deadline)
	}
	floor, ok := s.readFloor(g, deadline)
	if !ok {
		s.fail(statement.CodeBusy, "no recent position of the group is known")
		return false
	}
	begin.Floor = floor
	if !t.readOnly {
		return s.startAtPrimary(g, &begin, deadline)
	}
	t.link, t.pool = s.readAnywhere(g, &begin, floor, deadline)
	return s.started()
}

// started checks that the database has opened the transaction.
func (s *Session) started() bool {
	t := s.tx
	if t.link == nil {
		return false
	}
	if s.answer.Failure != nil {
		t.link.Discard()
		t.link = nil
		return false
	}
	return true
}

func (s *Session) startAtPrimary(g *backend.Serving, begin *statement.Request, deadline clock.Time) bool {
	t := s.tx
	for tries := 0; ; tries++ {
		m, p, l := s.primary(g, begin, deadline)
		if l == nil {
			return false
		}
		t.pool, t.member = p, m
		if t.unproven = t.route.Consistency == routes.Primary; t.unproven {
			s.confirmLead(g, g.Preferred())
		}
		if s.exchange(g, l, p, begin, s.patience(p, deadline)) == unanswered {
			l.Discard()
			s.fail(statement.CodeBusy, "database "+p.ID+" has not answered")
			if tries < maxRetries && s.Clock.Now().Add(retryPause) < deadline {
				continue
			}
			return false
		}
		f := s.answer.Failure
		if f == nil {
			t.link = l
			return true
		}
		l.Release()
		if !f.Code.NotRun() || !s.retry(g, m, p, f, tries, deadline) {
			return false
		}
	}
}

// setInTransaction sets a value at once where the transaction runs, if it has
// begun there. It returns false if that failed.
func (s *Session) setInTransaction(r *statement.Request, o statement.Set) bool {
	t := s.tx
	if t.home != "" {
		s.route = t.route
		if !s.forward(r) || s.answer.Failure != nil {
			return false
		}
		s.answer.Reset()
		return true
	}
	if t.link == nil {
		return true
	}
	g := s.Group(t.route.Group)
	t.changed = true
	if !s.exchangeInTransaction(g, r, s.arrived.Add(t.route.Timeout)) || s.answer.Failure != nil {
		return false
	}
	t.link.Values[o.Name] = o.Text
	// The caller is told the same as outside a transaction.
	s.answer.Reset()
	return true
}

// end serves COMMIT and ROLLBACK.
func (s *Session) end(r *statement.Request) {
	t := s.tx
	if t == nil {
		s.fail(statement.CodeMalformed, "no transaction is open")
		return
	}
	s.route = t.route
	if s.forwards(t.route.Group) && s.endAtHome(r) {
		return
	}
	_, commit := r.Operation.(statement.Commit)
	g := s.Group(t.route.Group)
	deadline := s.arrived.Add(t.route.Timeout)
	switch {
	case !commit:
		s.rollback(g, r, deadline)
	case t.failure != nil:
		s.rollback(g, &statement.Request{Operation: statement.Rollback{}}, deadline)
		s.fail(statement.CodeAborted, "the transaction had failed: "+t.failure.Text)
	default:
		s.commit(g, r, deadline)
	}
	if t.link != nil {
		t.breakOff(nil)
	}
	s.tx = nil
}

// rollback ends the transaction. Whatever becomes of the connection, nothing
// of it is kept.
func (s *Session) rollback(g *backend.Serving, r *statement.Request, deadline clock.Time) {
	t := s.tx
	if t.link == nil {
		s.answer.Reset()
		return
	}
	ran := s.exchange(g, t.link, t.pool, r, deadline.Sub(s.Clock.Now()))
	if ran == answered && s.answer.Failure == nil && s.answer.State == statement.Idle {
		t.finish()
	} else {
		t.breakOff(nil)
	}
	s.answer.Reset()
}

func (s *Session) commit(g *backend.Serving, r *statement.Request, deadline clock.Time) {
	t := s.tx
	if t.link == nil && (g == nil || !s.startTransaction(g, deadline)) {
		if s.answer.Failure == nil {
			s.fail(statement.CodeBusy, "no database of the group is known")
		}
		return
	}
	if t.wrote && !s.mayCommit(g, t.member) {
		s.rollback(g, &statement.Request{Operation: statement.Rollback{}}, deadline)
		s.fail(statement.CodeAborted, "the primary is not confirmed by another database")
		return
	}
	for tries := 0; ; tries++ {
		if s.exchange(g, t.link, t.pool, r, deadline.Sub(s.Clock.Now())) == unanswered {
			t.breakOff(nil)
			if t.wrote {
				s.fail(statement.CodeInDoubt, "the answer to COMMIT of database "+t.pool.ID+" is missing")
				return
			}
			s.fail(statement.CodeAborted, "the connection to database "+t.pool.ID+" was lost; nothing was written")
			return
		}
		f := s.answer.Failure
		switch {
		case f == nil:
			at := s.answer.Position
			t.finish()
			if t.unproven && !s.proveLead(g, deadline) {
				s.fail(statement.CodeInDoubt, "the primary is not confirmed by another database")
				return
			}
			if t.wrote {
				s.acknowledge(g, at, deadline)
			}
			return
		case f.Code != statement.CodeBusy || s.answer.State != statement.InTransaction || !s.triesLeft(tries, deadline):
			if f.Code == statement.CodeReadOnly {
				g.Deposed(t.member.ID)
			}
			return
		}
		backend.Sleep(retryPause)
	}
}
