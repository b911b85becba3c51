package session

import (
	"strconv"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// leastHomePatience and mostHomePatience bound how long a read waits for
	// one home before it is sent to another. A home may itself wait for a turn
	// at a database, for as long as the route aims at, and for a replacement of
	// the primary.
	leastHomePatience = 250 * clock.Millisecond
	mostHomePatience  = 800 * clock.Millisecond
	// forwardSlack is added to a request's time limit for the way to a home
	// and back.
	forwardSlack = 100 * clock.Millisecond
	// maxHomes bounds the homes that one request is tried at before it is
	// served here.
	maxHomes = 2
)

// forwards reports whether the request goes to a home of its group. An open
// transaction stays where it has begun.
func (s *Session) forwards(group string) bool {
	if s.Homes == nil || s.fixed != nil {
		return false
	}
	if s.tx != nil && s.tx.placed {
		return s.tx.home != ""
	}
	own, _ := s.Homes.ServesLocally(group)
	return !own
}

// forward passes a request on to a home. It returns false if no home can be
// reached and nothing has run, so that the request may be served here.
func (s *Session) forward(r *statement.Request) bool {
	run, ok := s.packed(r, s.route, s.tx != nil && s.tx.home == "")
	if !ok {
		return false
	}
	deadline := s.arrived.Add(s.route.Timeout)
	var exclude []string
	for range maxHomes {
		home, found := s.home(exclude)
		if !found {
			break
		}
		run.Timeout = max(deadline.Sub(s.Clock.Now()), confirmLeast)
		limit := max(deadline.Sub(s.Clock.Now()), confirmLeast) + forwardSlack
		if s.repeatable(r) {
			least := max(leastHomePatience, s.route.TargetLatency+forwardSlack)
			limit = min(limit, s.Homes.AttemptTimeout(home, least, mostHomePatience))
		}
		ran, err := s.Homes.Forward(home, run, limit)
		if err == nil {
			s.unpack(r, ran, home)
			return true
		}
		s.Log.Info("request not answered by home", zap.String("request", r.ID), zap.String("home", home), logs.Error(err))
		var unsent *peer.NotSentError
		if s.tx != nil && s.tx.home == "" && !errors.As(err, &unsent) {
			s.rollbackAt(home)
		}
		switch {
		case s.tx != nil && s.tx.home != "":
			s.lostHome(r, home)
			return true
		case !errors.As(err, &unsent) && !s.repeatable(r):
			s.fail(statement.CodeInDoubt, "home "+home+" has not answered")
			return true
		}
		exclude = append(exclude, home)
		if s.Clock.Now() >= deadline {
			s.fail(statement.CodeBusy, "no home has answered")
			return true
		}
	}
	return false
}

// home returns where the request goes: a transaction's statements go where
// the first one went.
func (s *Session) home(exclude []string) (string, bool) {
	if s.tx != nil && s.tx.home != "" {
		return s.tx.home, len(exclude) == 0
	}
	return s.Homes.Choose(s.route.Group, exclude)
}

// repeatable reports whether a request can be sent to another home after one
// has not answered. The first statement of a transaction can: what a home
// that does not answer has begun is never committed.
func (s *Session) repeatable(r *statement.Request) bool {
	if s.tx != nil {
		_, commit := r.Operation.(statement.Commit)
		return s.tx.home == "" && !commit
	}
	return !s.writes(r)
}

// lostHome ends a transaction whose home does not answer.
func (s *Session) lostHome(r *statement.Request, home string) {
	t := s.tx
	_, commit := r.Operation.(statement.Commit)
	if commit && t.wrote {
		s.fail(statement.CodeInDoubt, "home "+home+" has not answered COMMIT")
		return
	}
	t.failure = &statement.Failure{Code: statement.CodeAborted, Text: "home " + home + " was lost"}
	t.home = ""
	s.answer.Reset()
	s.answer.Failure = t.failure
}

// packed returns a request with what the session brings along. begins tells
// that the home has to begin the open transaction.
func (s *Session) packed(r *statement.Request, route *routes.Route, begins bool) (*peer.RunRequest, bool) {
	operation, ok := peer.Encode(r.Operation)
	if !ok {
		return nil, false
	}
	run := &peer.RunRequest{
		Session: s.Self + "/" + strconv.FormatUint(s.id, 10),
		Route:   route.Name, Group: route.Group, Consistency: route.Consistency, Timeout: route.Timeout,
		TargetLatency: route.TargetLatency, Priority: route.Priority, MaxAge: route.MaxAge,
		Floor: s.floor, ID: r.ID, Operation: operation,
	}
	if t := s.tx; t != nil {
		run.Transaction = t.number
		if begins {
			run.Begin = &peer.Begin{ID: t.id, ReadOnly: t.readOnly}
		}
	}
	if s.tx == nil || begins {
		run.Values = s.values
	}
	if e, ok := r.Operation.(statement.Execute); ok {
		if p, known := s.prepared[e.Name]; known {
			run.Prepared = &peer.Prepared{Name: p.Name, Writes: p.Writes, Shape: p.Shape}
		}
	}
	return run, true
}

// unpack takes in a home's answer.
func (s *Session) unpack(r *statement.Request, ran *peer.RunResponse, home string) {
	s.answer.Reset()
	s.answer.Rows = append(s.answer.Rows, ran.Rows...)
	s.answer.Signature = append(s.answer.Signature, ran.Signature...)
	s.answer.Position = ran.Position
	if ran.Failed {
		s.answer.Failure = &statement.Failure{Code: ran.Code, Text: ran.Text}
	}
	s.floor = s.floor.Max(ran.Floor)
	t := s.tx
	if t == nil {
		return
	}
	t.placed, t.home = true, home
	if ran.State == statement.Failed {
		t.failure = s.answer.Failure
		if t.failure == nil {
			t.failure = &statement.Failure{Code: statement.CodeAborted, Text: "the transaction has failed"}
		}
	}
	if s.answer.Failure == nil && s.writes(r) {
		t.wrote = true
	}
}

// rollbackAtHome tells the transaction's home that it has ended, without
// waiting for it.
func (s *Session) rollbackAtHome() {
	t := s.tx
	if t == nil || t.home == "" {
		return
	}
	s.rollbackAt(t.home)
	t.home = ""
}

// rollbackAt tells a home that the transaction is not continued there. Without
// it a home that was only slow would keep what it has begun for seconds.
func (s *Session) rollbackAt(home string) {
	run, _ := s.packed(&statement.Request{Operation: statement.Rollback{}}, s.tx.route, false)
	homes := s.Homes
	go func() {
		if _, err := homes.Forward(home, run, forwardSlack+confirmLeast); err != nil {
			s.Log.Debug("home not told of a rollback", zap.String("home", home), logs.Error(err))
		}
	}()
}

// endAtHome serves COMMIT and ROLLBACK of a transaction whose statements are
// passed on. It returns false if the transaction has to be ended here.
func (s *Session) endAtHome(r *statement.Request) bool {
	t := s.tx
	_, commit := r.Operation.(statement.Commit)
	switch {
	case !commit || t.failure != nil:
		s.rollbackAtHome()
		s.answer.Reset()
		if commit {
			s.fail(statement.CodeAborted, "the transaction had failed: "+t.failure.Text)
		}
	case !s.forward(r):
		t.placed = true
		return false
	}
	s.tx = nil
	return true
}
