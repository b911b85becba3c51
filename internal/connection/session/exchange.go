package session

import (
	"slices"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// probeTimeout limits how long prepareConn waits for a connection to answer.
const probeTimeout = 150 * clock.Millisecond

// exchangeOutcome tells whether a request was sent and got an answer.
type exchangeOutcome uint8

const (
	// answered means that the database has answered, with success or a failure, or that
	// the request could not be sent to any, which is a failure too.
	answered exchangeOutcome = iota
	// unanswered means that the request was sent but its answer is missing.
	unanswered
	// misanswered means that the request was sent and an answer of another one was read.
	misanswered
	// notSent means that the request was not sent, since the connection cannot be used.
	notSent
	// noRoom means that the request was not sent, since it is too long together with its
	// floor.
	noRoom
)

// exchange sends r on a connection and stores its answer in s.answer. The request that
// prepares the statement of an EXECUTE goes ahead of it: if that fails, the EXECUTE
// does not run. Outside a transaction, prepareConn or loadVariables must have loaded the
// session's variables before, since a statement that is sent together with a SET runs
// whether the SET succeeds or not.
func (s *Session) exchange(g *backend.GroupClient, c *backend.PooledConn, p *backend.Pool, r *statement.Request, limit clock.Duration) exchangeOutcome {
	if err := c.Probe(); err != nil {
		s.releaseSlot(p)
		g.RecordExchangeError(p.ID, s.Clock.Now(), err)
		return notSent
	}
	requests := s.stateRequests(c, r)
	loaded := len(requests)
	withStatus := s.needsStatus(g, c, p, r)
	if withStatus {
		requests = append(requests, statement.Request{Operation: statement.Status{}})
	}
	requests = append(requests, s.withSharedName(r))
	s.requests = requests
	if err := c.Check(requests); err != nil {
		if requests, loaded, err = s.shorten(c, r, requests, loaded, err); err != nil {
			return s.failInvalid(c, p, r, loaded > 0, err)
		}
	}
	answers := slices.Grow(s.answers[:0], len(requests))[:len(requests)]
	s.requests, s.answers = requests, answers
	// No buffer may be used by two answers of a later exchange.
	defer clear(answers)
	last := len(requests) - 1
	s.answer.Reset()
	answers[last] = s.answer
	sent := s.Clock.Now()
	p.Latency.Begin(sent)
	p.Limiter.Begin(s.slotReserved)
	s.slotReserved = false
	s.useToken(sent)
	n, err := c.Exchange(limit, requests, answers)
	now := s.Clock.Now()
	s.answer = answers[last]
	p.Limiter.End(now, now.Sub(sent), err == nil && s.answer.Failure != nil && s.answer.Failure.Code == statement.CodeBusy)
	if err != nil {
		p.Latency.Abandon(now, now.Sub(sent), unansweredPause)
		g.RecordExchangeError(p.ID, sent, err)
		var unexpected *backend.UnexpectedAnswerError
		var unsent *backend.NotSentError
		switch {
		case errors.As(err, &unexpected):
			return misanswered
		case errors.As(err, &unsent):
			return notSent
		default:
			return unanswered
		}
	}
	p.Latency.End(now, now.Sub(sent))
	if withStatus && !c.Ambiguous() {
		s.observeStatus(g, c, p, sent, now, &answers[loaded])
	}
	if f := firstFailure(answers[:loaded]); f != nil {
		// The statement was not prepared, or a variable was not set in a transaction,
		// which has failed.
		c.NeedsReset = true
		s.answer.Failure = f
	}
	if s.answer.Failure != nil && c.Ambiguous() && !s.settleFailure(c, p, r, limit-now.Sub(sent)) {
		g.MarkAnswered(p.ID, now)
		return unanswered
	}
	if c.Ambiguous() {
		g.MarkAnswered(p.ID, now)
	} else {
		g.ObservePosition(p.ID, c.OpenedAt, sent, now, answers[n-1].Position)
	}
	return answered
}

// shorten returns requests with a shorter form of r, which is the last of them, if cause is
// that r is too long with what the proxy has added to it. The first loaded ones load the
// session's state; shorten returns their new number.
func (s *Session) shorten(c *backend.PooledConn, r *statement.Request, requests []statement.Request, loaded int, cause error) ([]statement.Request, int, error) {
	var tooLong *backend.TooLongError
	if !errors.As(cause, &tooLong) {
		return requests, loaded, cause
	}
	last := &requests[len(requests)-1]
	switch o := r.Operation.(type) {
	case statement.Begin:
		// The caller's BEGIN has been answered already, so that this one is the proxy's own.
		last.ID = ""
	case statement.Execute:
		name, load, ok := s.prepareShort(c, o.Name)
		if !ok {
			return requests, loaded, cause
		}
		o.Name = name
		last.Operation = o
		requests = slices.Insert(requests, loaded, load...)
		loaded += len(load)
	default:
		return requests, loaded, cause
	}
	return requests, loaded, c.Check(requests)
}

// failInvalid fails a request that cannot be encoded, and which no other database would
// be sent either. One that could be sent without its floor does not fail. loading is set if
// requests that load the session's state, which is recorded on the connection, have gone
// ahead of it.
func (s *Session) failInvalid(c *backend.PooledConn, p *backend.Pool, r *statement.Request, loading bool, cause error) exchangeOutcome {
	s.releaseSlot(p)
	c.NeedsReset = c.NeedsReset || loading
	var tooLong *backend.TooLongError
	if !r.Floor.IsZero() && errors.As(cause, &tooLong) {
		return noRoom
	}
	s.Log.Info("request not sent", append(s.callerFields(s.workspace), logs.Error(cause))...)
	s.fail(statement.CodeMalformed, "the request cannot be sent to a database: "+cause.Error())
	return answered
}

// settleFailure reports whether a failure that may be a repetition of an earlier answer can
// be acted upon. That of a write or a COMMIT can be a promise that nothing is kept, and is
// verified first, within limit or minConfirmWait. In an open transaction it cannot be
// verified, and the transaction is to end. What follows on the connection shows any other
// repetition.
func (s *Session) settleFailure(c *backend.PooledConn, p *backend.Pool, r *statement.Request, limit clock.Duration) bool {
	_, commits := r.Operation.(statement.Commit)
	switch {
	case s.answer.State == statement.InTransaction, commits && s.answer.State != statement.Idle:
		return false
	case commits, s.tx == nil && s.writes(r):
		err := c.Verify(max(limit, minConfirmWait))
		if err != nil {
			p.RecordUnverified(r.ID, err)
		}
		return err == nil
	default:
		return true
	}
}

// needsStatus reports whether the database has to be asked together with r whether it
// leads. A read at the primary must see all commits, and any other database would run it
// too: one that has stepped down, or a process that has started in place of the primary
// without its log.
func (s *Session) needsStatus(g *backend.GroupClient, c *backend.PooledConn, p *backend.Pool, r *statement.Request) bool {
	if s.route == nil || s.route.Consistency != routes.Primary && !s.withoutFloor {
		return false
	}
	switch o := r.Operation.(type) {
	case statement.Begin:
		if !o.ReadOnly {
			return false
		}
	case statement.Read, statement.Execute:
		if s.tx != nil || s.writes(r) {
			return false
		}
	default:
		return false
	}
	return g.LedAt() < s.arrived || !g.LeadKnown(p.ID, g.Term(), c.OpenedAt)
}

// observeStatus records the status that came with a request.
func (s *Session) observeStatus(g *backend.GroupClient, c *backend.PooledConn, p *backend.Pool, sent, now clock.Time, a *statement.Answer) {
	status, err := c.DecodeStatus(a)
	if err != nil {
		s.Log.Debug("status with a read failed", zap.String("group", p.Group), zap.String("database", p.ID), logs.Error(err))
		return
	}
	g.ObserveUptime(p.ID, c.OpenedAt, sent)
	g.ObserveStatus(p.ID, sent, now, status)
}

// loadVariables sets the session's variables on a connection on which no transaction
// is open, within limit, and waits for the answers. It returns false, with the
// connection given back, if it cannot be used.
func (s *Session) loadVariables(g *backend.GroupClient, c *backend.PooledConn, p *backend.Pool, limit clock.Duration) bool {
	requests := s.variableRequests(c)
	if len(requests) == 0 {
		return true
	}
	answered, f := s.exchangeState(g, c, p, requests, limit)
	if f != nil {
		c.NeedsReset = true
		c.Release()
	}
	return answered && f == nil
}

// exchangeState sends requests that load the session's state, and returns whether they
// were answered and the first failure among the answers. A connection without an answer
// is closed.
func (s *Session) exchangeState(g *backend.GroupClient, c *backend.PooledConn, p *backend.Pool, requests []statement.Request, limit clock.Duration) (bool, *statement.Failure) {
	answers := make([]statement.Answer, len(requests))
	sent := s.Clock.Now()
	if _, err := c.ExchangeVerified(limit, requests, answers); err != nil {
		c.Discard()
		g.RecordExchangeError(p.ID, sent, err)
		return false, nil
	}
	f := firstFailure(answers)
	if f != nil {
		s.Log.Warn("cannot load the session state", zap.String("group", p.Group), zap.String("database", p.ID), zap.Uint64("session", s.id),
			zap.Int("variables", len(s.values)), zap.Int("prepared", len(s.prepared)), logs.Error(f))
	}
	return true, f
}

// releaseSlot gives back a reserved slot that was not used.
func (s *Session) releaseSlot(p *backend.Pool) {
	if s.slotReserved {
		s.slotReserved = false
		p.Limiter.Cancel(s.Clock.Now())
	}
}

// unansweredPause is how long reads avoid a database that did not answer.
const unansweredPause = 300 * clock.Millisecond

// prepareConn brings a connection into the session's state before r is sent. A
// connection that may be dead is probed, since the outcome of a write that is
// sent on a dead connection is unknown. prepareConn reports whether the
// connection can be used, and closes it otherwise.
func (s *Session) prepareConn(g *backend.GroupClient, c *backend.PooledConn, p *backend.Pool, r *statement.Request) bool {
	requests := s.stateRequests(c, r)
	if len(requests) == 0 {
		if !g.MayBeDead(c) {
			return true
		}
		requests = append(requests, s.probeRequest(c))
	}
	answered, f := s.exchangeState(g, c, p, requests, probeTimeout)
	if f != nil {
		c.Discard()
	}
	if !answered || f != nil {
		return false
	}
	c.UsedAt = s.Clock.Now()
	return true
}

// probeRequest returns a request that keeps the session variables of a
// connection that has the session's state. A Reset drops its prepared
// statements, which exchange prepares again when they are needed.
func (s *Session) probeRequest(c *backend.PooledConn) statement.Request {
	if len(s.values) > 0 {
		return statement.Request{Operation: s.values[0]}
	}
	c.MarkReset()
	return statement.Request{Operation: statement.Reset{}}
}
