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
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

const (
	// minHomeAttemptTimeout and maxHomeAttemptTimeout bound how long a request
	// that is safe to repeat waits for one home before it is sent to another. A
	// home may itself wait for slots at databases, up to the route's target
	// latency, and for a replacement of the primary.
	minHomeAttemptTimeout = 250 * clock.Millisecond
	maxHomeAttemptTimeout = 800 * clock.Millisecond
	// forwardOverhead is added to the timeout of a forwarded request for the
	// round trip to the home.
	forwardOverhead = 100 * clock.Millisecond
	// maxHomes is the maximum number of homes to which a request is sent before
	// this proxy serves it itself.
	maxHomes = 2
)

// shouldForward reports whether a request is forwarded to a home of its group. A
// transaction stays where it has begun.
func (s *Session) shouldForward(group string) bool {
	if s.Homes == nil || s.hostedRoute != nil {
		return false
	}
	if s.tx != nil && s.tx.begun {
		return s.tx.home != ""
	}
	return !s.Homes.ServesWorkspace(group, s.workspace)
}

// forward sends a request to a home and stores the answer in s.answer. It
// returns false if no home answered and the request can safely be served here.
func (s *Session) forward(r *statement.Request) bool {
	run, ok := s.newRunRequest(r, s.route, s.tx != nil && s.tx.home == "")
	if !ok {
		return false
	}
	deadline := s.arrived.Add(s.route.Timeout)
	var exclude []string
	begins := s.beginsOperation()
	for range maxHomes {
		home, found := s.chooseHome(exclude)
		if !found {
			break
		}
		// A home that commits late still waits up to minConfirmWait for the
		// confirmation.
		left := deadline.Sub(s.Clock.Now())
		run.Timeout = max(left, minConfirmWait)
		limit := run.Timeout + forwardOverhead
		if s.safeToRepeat(r) {
			minTimeout := max(minHomeAttemptTimeout, s.route.TargetLatency+forwardOverhead)
			limit = min(limit, s.Homes.AttemptTimeout(home, minTimeout, maxHomeAttemptTimeout))
		}
		run.AnswerWithin = s.forwardWithin(min(limit, left), run.Timeout)
		run.Reserve = begins && s.Limits.Reserve(s.workspace)
		response, err := s.Homes.Forward(home, run, limit)
		if err == nil && response.NoGrant && s.mayUseReserve(run) {
			run.Reserve = true
			response, err = s.Homes.Forward(home, run, limit)
		}
		if err == nil {
			if begins && (!response.Failed || response.Code != statement.CodeBusy) {
				s.Limits.Entered(s.workspace)
			}
			s.applyRunResponse(r, response, home)
			return true
		}
		s.Log.Info("home did not answer a request", zap.String("request", r.ID), zap.String("home", home), logs.Error(err))
		var notRun *peer.NotRunError
		if s.tx != nil && s.tx.home == "" && !errors.As(err, &notRun) {
			s.rollbackAt(home)
			s.numberTransaction()
			run.Transaction = s.tx.number
		}
		switch {
		case s.tx != nil && s.tx.home != "":
			s.handleLostHome(r, home, !errors.As(err, &notRun))
			return true
		case !errors.As(err, &notRun) && !s.safeToRepeat(r):
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

// forwardWithin returns the time to tell a home in which this proxy waits for the
// answer, or zero if the home need not know: it is the timeout, or there are no
// workspaces, where requests wait for slots briefly.
func (s *Session) forwardWithin(wait, timeout clock.Duration) clock.Duration {
	if s.workspace == "" || wait >= timeout {
		return 0
	}
	return max(wait, 1)
}

// mayUseReserve reports whether a request that its home has refused, because no
// accountant answers, may be sent again from this proxy's reserve.
func (s *Session) mayUseReserve(run *peer.RunRequest) bool {
	if !s.beginsOperation() || run.Reserve {
		return false
	}
	s.Limits.ReportSilence(s.workspace)
	return s.Limits.Reserve(s.workspace)
}

// chooseHome returns the home for the request. All statements of a transaction
// go to the same home.
func (s *Session) chooseHome(exclude []string) (string, bool) {
	if s.tx != nil && s.tx.home != "" {
		return s.tx.home, len(exclude) == 0
	}
	return s.Homes.Choose(s.route.Group, s.workspace, exclude)
}

// safeToRepeat reports whether a request can be sent to another home after one
// has not answered. The first statement of a transaction can: the transaction has
// another number then, and the one that was begun at the home that did not answer is
// never committed.
func (s *Session) safeToRepeat(r *statement.Request) bool {
	if s.tx != nil {
		_, commit := r.Operation.(statement.Commit)
		return s.tx.home == "" && !commit
	}
	return !s.writes(r)
}

// handleLostHome fails the request r in a transaction whose home does not
// answer. A COMMIT after a write is in doubt then, if it may have run.
func (s *Session) handleLostHome(r *statement.Request, home string, mayHaveRun bool) {
	t := s.tx
	s.rollbackAt(home)
	_, commit := r.Operation.(statement.Commit)
	if commit && t.wrote && mayHaveRun {
		s.fail(statement.CodeInDoubt, "home "+home+" has not answered COMMIT")
		return
	}
	t.failure = &statement.Failure{Code: statement.CodeAborted, Text: "home " + home + " was lost"}
	t.home = ""
	s.answer.Reset()
	s.answer.Failure = t.failure
}

// newRunRequest returns the request to forward for r, with the session state
// that the home needs. begins tells the home to begin the open transaction. It
// returns false if r cannot be forwarded.
func (s *Session) newRunRequest(r *statement.Request, route *routes.Route, begins bool) (*peer.RunRequest, bool) {
	operation, ok := peer.Encode(r.Operation)
	if !ok {
		return nil, false
	}
	if s.forwardedAs == "" {
		s.forwardedAs = s.Self + "/" + s.Process + "/" + strconv.FormatUint(s.id, 10)
	}
	run := &peer.RunRequest{
		Session:   s.forwardedAs,
		Workspace: s.workspace, Route: route.Name, Group: route.Group, Consistency: route.Consistency, Timeout: route.Timeout,
		TargetLatency: route.TargetLatency, Priority: route.Priority, MaxAge: route.MaxAge,
		Floor: peer.Position(s.floor), ID: r.ID, Operation: operation,
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
			run.Prepared = &peer.Prepared{Name: e.Name, Writes: p.Writes, Shape: p.Shape}
		}
	}
	return run, true
}

// applyRunResponse stores a home's response in s.answer and updates the session
// and the transaction.
func (s *Session) applyRunResponse(r *statement.Request, response *peer.RunResponse, home string) {
	s.answeredBy = home
	if response.NoGrant {
		s.countRefusal(s.workspace, ReasonLimit)
	}
	s.answer.Reset()
	s.answer.Rows, s.answer.Signature = response.Rows, response.Signature
	s.answer.Position = position.Position(response.Position)
	if response.Failed {
		s.answer.Failure = &statement.Failure{Code: response.Code, Text: response.Text}
	}
	s.floor = s.floor.Max(position.Position(response.Floor))
	t := s.tx
	if t == nil {
		return
	}
	t.begun, t.home = true, home
	if response.State == statement.Failed {
		t.failure = s.answer.Failure
		if t.failure == nil {
			t.failure = &statement.Failure{Code: statement.CodeAborted, Text: "the transaction has failed"}
		}
	}
	if s.answer.Failure == nil && s.writes(r) {
		t.wrote = true
	}
}

// rollbackAtHome tells the transaction's home, if any, to roll back.
func (s *Session) rollbackAtHome() {
	t := s.tx
	if t == nil || t.home == "" {
		return
	}
	s.rollbackAt(t.home)
	t.home = ""
}

// rollbackAt tells a home to roll back the transaction and does not wait for
// the response. Otherwise a home that was only slow, or has not got the last
// statement, would keep the transaction open for seconds. As long as the home does not
// answer, it is told again, until it has rolled the transaction back by itself.
func (s *Session) rollbackAt(home string) {
	run, _ := s.newRunRequest(&statement.Request{Operation: statement.Rollback{}}, s.tx.route, false)
	s.Homes.RollBack(peer.Rollback{
		Home: home, Request: run, Limit: forwardOverhead + minConfirmWait, Until: s.Clock.Now().Add(hostedIdleTimeout), Log: s.Log,
	})
}

// endAtHome serves COMMIT and ROLLBACK of a transaction that is forwarded. It
// returns false if the transaction has to be ended here.
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
		t.begun = true
		return false
	}
	s.tx = nil
	return true
}
