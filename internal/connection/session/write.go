package session

import (
	"fmt"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

const (
	// primaryWaitShare is the fraction of a statement's timeout for which it may
	// wait for a primary. The rest is left for running the statement.
	primaryWaitShare = 0.6
	// retryPause is the wait before a rejected request is sent again to the same
	// database.
	retryPause = 15 * clock.Millisecond
	// discoverInterval is the interval at which the databases of a group without
	// a known primary are asked for their roles.
	discoverInterval = 100 * clock.Millisecond
	// minConfirmWait is the minimum time that a commit is given to be confirmed
	// by other databases, no matter how late the primary answered it.
	minConfirmWait = 400 * clock.Millisecond
	// leadershipTimeout limits the wait for proof that a database is still the
	// primary, which takes one status request to another database.
	leadershipTimeout = 300 * clock.Millisecond
	// shortLeadershipTimeout, a few round trips, replaces leadershipTimeout once
	// all such waits have failed for shortLeadershipTimeoutAfter.
	shortLeadershipTimeout      = 60 * clock.Millisecond
	shortLeadershipTimeoutAfter = 700 * clock.Millisecond
)

// unprovenPatience is how long a commit that enough databases have received may stay
// unproven before the store is asked for claims. Mostly an older connection answers, or
// another database confirms the commit, before that.
const unprovenPatience = 40 * clock.Millisecond

// write runs a statement that may write and is not part of a transaction.
func (s *Session) write(g *backend.GroupClient, r *statement.Request) {
	deadline := s.arrived.Add(s.route.Timeout)
	for tries := 0; ; tries++ {
		m, p, c := s.acquirePrimary(g, r, deadline)
		if c == nil {
			return
		}
		if !s.mayCommit(g, m, c.OpenedAt) {
			s.releaseSlot(p)
			c.Release()
			s.fail(statement.CodeBusy, "the primary is not confirmed by another database")
			return
		}
		// mayCommit may have waited for longer than a token lasts.
		if !s.takeToken() {
			s.releaseSlot(p)
			c.Release()
			return
		}
		sent := s.Clock.Now()
		switch s.exchange(g, c, p, r, deadline.Sub(sent)) {
		case unanswered, misanswered:
			c.Discard()
			s.fail(statement.CodeInDoubt, "the answer of database "+p.ID+" is missing")
			return
		case notSent:
			c.Discard()
			if s.canRetry(tries, deadline) {
				continue
			}
			s.fail(statement.CodeBusy, "no connection to database "+p.ID+" can be used")
			return
		default:
			c.Release()
		}
		f := s.answer.Failure
		switch {
		case f == nil:
			g.ObserveLead(m.ID, m.Term, c.OpenedAt, sent)
			s.confirmCommit(g, group.Commit{Database: m.ID, SentAt: sent, Position: s.answer.Position}, deadline)
			return
		case !f.Code.NotRun() || !s.prepareRetry(g, m, p, f, tries, deadline):
			return
		}
	}
}

// prepareRetry handles the failure f of a request that did not run at m. It
// reports whether the request may be sent again, and waits for retryPause first.
func (s *Session) prepareRetry(g *backend.GroupClient, m group.Member, p *backend.Pool, f *statement.Failure, tries int, deadline clock.Time) bool {
	now := s.Clock.Now()
	switch f.Code {
	case statement.CodeReadOnly:
		g.MarkNotPrimary(m.ID)
	case statement.CodeBusy:
		p.Latency.Avoid(now.Add(busyPause))
	}
	if !s.canRetry(tries, deadline) {
		return false
	}
	s.Log.Info("request sent again", zap.String("request", s.requestID), zap.String("group", g.Name),
		zap.String("database", m.ID), zap.Stringer("code", f.Code), zap.Int("tries", tries+1), zap.Stringer("left", deadline.Sub(now)))
	backend.Sleep(retryPause)
	return true
}

// canRetry reports whether a statement that has already been sent again tries
// times may be sent once more before the deadline.
func (s *Session) canRetry(tries int, deadline clock.Time) bool {
	return tries < maxRetries && deadline.Sub(s.Clock.Now()) >= 2*retryPause
}

const (
	// maxRetries is the maximum number of times that a statement is sent again.
	maxRetries = 4
	// busyPause is how long reads avoid a database that rejected a request
	// because of load.
	busyPause = 50 * clock.Millisecond
)

// errNoPrimary is made once, since it records where that was.
var errNoPrimary = errors.New("no primary is known")

// acquirePrimary waits for the primary and for a connection to it that is
// prepared for r. If there is none in time, the returned connection is nil and
// the answer fails with CodeBusy: nothing ran.
func (s *Session) acquirePrimary(g *backend.GroupClient, r *statement.Request, deadline clock.Time) (group.Member, *backend.Pool, *backend.PooledConn) {
	until, policy, slotUntil := s.primarySlot()
	cause := errNoPrimary
	for {
		m, ok := s.awaitPrimary(g, until)
		if !ok {
			break
		}
		p := g.Pool(m.ID)
		if p == nil {
			break
		}
		// A refused operation must not take a slot or a connection. After the waits for
		// these, the token may be too old.
		if !s.takeToken() {
			return group.Member{}, nil, nil
		}
		if err := s.reserveSlot(p, policy, slotUntil); err != nil {
			s.logNoSlot(p.ID, err)
			cause = err
			break
		}
		c, err := p.AcquireFor(min(until, deadline), s.workspace, s.valueTexts)
		if err == nil && s.prepareConn(g, c, p, r) {
			if s.takeToken() {
				return m, p, c
			}
			c.Release()
			s.releaseSlot(p)
			return group.Member{}, nil, nil
		}
		s.releaseSlot(p)
		if err != nil {
			s.recordShortage(p)
			cause = err
		}
		if s.Clock.Now().Add(retryPause) >= until {
			break
		}
		backend.Sleep(retryPause)
	}
	s.fail(statement.CodeBusy, "primary not available: "+cause.Error())
	return group.Member{}, nil, nil
}

// primarySlot returns until when a request may wait for a primary, the policy for its
// slots, and until when the request may wait for one of these.
func (s *Session) primarySlot() (until clock.Time, policy backend.Policy, slotUntil clock.Time) {
	until = s.arrived.Add(clock.Duration(float64(s.route.Timeout) * primaryWaitShare))
	policy = s.slotPolicy()
	return until, policy, s.slotUntil(policy, until)
}

func (s *Session) awaitPrimary(g *backend.GroupClient, until clock.Time) (group.Member, bool) {
	for {
		changed := g.Changed()
		if m, ok := g.Primary(); ok {
			return m, true
		}
		now := s.Clock.Now()
		if now >= until {
			return group.Member{}, false
		}
		g.DiscoverPrimary(discoverInterval)
		backend.WaitOrTimeout(changed, min(until.Sub(now), discoverInterval))
	}
}

// confirmCommit delays the answer to a commit until enough databases have received it
// that any replacement of the primary keeps it. If that stays unconfirmed until the
// deadline, the answer becomes a failure.
func (s *Session) confirmCommit(g *backend.GroupClient, c group.Commit, deadline clock.Time) {
	if c.IsZero() {
		// No database can be asked whether it has the commit.
		s.Log.Info("commit without a position", zap.String("request", s.requestID), zap.String("group", g.Name))
		s.fail(statement.CodeInDoubt, "the database has not told the position of the commit")
		return
	}
	deadline = max(deadline, s.Clock.Now().Add(minConfirmWait))
	status := s.awaitCommitStatus(g, g.FastestReplicas(), deadline, func() group.CommitStatus { return g.CheckCommit(c) })
	superseded := status == group.CommitSuperseded
	if superseded {
		status = s.resolveSuperseded(g, c.Position, deadline)
	}
	switch status {
	case group.CommitConfirmed:
		s.floor = c.Position
	case group.CommitLost:
		s.Log.Info("commit lost: the primary was replaced", zap.String("request", s.requestID), zap.String("group", g.Name), zap.Stringer("position", c.Position))
		s.fail(statement.CodeAborted, "the primary was replaced before the commit reached another database")
	default:
		g.MarkPrimaryInDoubt(s.Clock.Now())
		reason := "no other database is known to have received the commit"
		switch {
		case superseded:
			reason = "the primary was replaced, and whether the commit is kept is not known"
		case status == group.CommitUnproven:
			reason = "a replacement of the primary may not keep the commit"
		}
		s.Log.Info("commit not confirmed", zap.String("request", s.requestID), zap.String("group", g.Name), zap.Stringer("position", c.Position), zap.String("reason", reason))
		s.fail(statement.CodeInDoubt, reason)
	}
}

// awaitCommitStatus waits until the status that check returns is decided, or changes to
// group.CommitSuperseded, and returns the last one. Databases in prefer are asked first.
func (s *Session) awaitCommitStatus(g *backend.GroupClient, prefer []string, deadline clock.Time, check func() group.CommitStatus) group.CommitStatus {
	status, began := group.CommitPending, s.Clock.Now()
	g.Await(deadline, prefer, func() bool {
		status = check()
		if status == group.CommitUnproven && s.Clock.Now().Sub(began) >= unprovenPatience {
			g.RequestReplacementCheck()
		}
		return status == group.CommitSuperseded || status.Decided()
	})
	return status
}

// mayCommit reports whether a commit that is sent now can be expected to be
// confirmed. If the last one was not confirmed, or a replacement may have begun, the
// primary first has to be proven to lead and its replicas not to be fenced: a primary that
// is partitioned from its group would accept the commit but could not keep it.
func (s *Session) mayCommit(g *backend.GroupClient, m group.Member, openedAt clock.Time) bool {
	now := s.Clock.Now()
	if !g.PrimaryInDoubt(now) {
		return true
	}
	prefer := g.FastestReplicas()
	s.requestLeadershipProof(g, prefer)
	until := now.Add(s.leadershipWait(g))
	return s.awaitLeadership(g, m, openedAt, prefer, until) &&
		g.Await(until, prefer, func() bool { return !g.PrimaryInDoubt(s.Clock.Now()) })
}

// resolveSuperseded finds out whether a commit of an earlier term is kept. It asks the new
// primary whether its log contains the commit, and waits until any later primary would
// give the same answer. What it returns is not decided if that stays unknown until the
// deadline.
func (s *Session) resolveSuperseded(g *backend.GroupClient, at position.Position, deadline clock.Time) group.CommitStatus {
	for s.Clock.Now() < deadline {
		m, ok := s.awaitPrimary(g, deadline)
		if !ok || m.Term <= at.Term {
			return group.CommitPending
		}
		contained, err := s.logContains(g, m, at, deadline)
		if err != nil {
			s.Log.Debug("new primary not asked for a commit", zap.String("request", s.requestID), zap.String("group", g.Name),
				zap.String("database", m.ID), zap.Stringer("position", at), logs.Error(err))
			backend.Sleep(retryPause)
			continue
		}
		status := s.awaitCommitStatus(g, append(g.FastestReplicas(), m.ID), deadline, func() group.CommitStatus {
			return g.CheckSuperseded(at, m.Term, contained)
		})
		if status != group.CommitSuperseded {
			return status
		}
	}
	return group.CommitPending
}

// notLeadingError reports that a database does not lead a term.
type notLeadingError struct {
	Database string
	Term     uint64
	Status   database.Status
}

func (e *notLeadingError) Error() string {
	return fmt.Sprintf("database %s does not lead term %d, it is %s in term %d", e.Database, e.Term, e.Status.Role, e.Status.Term)
}

// logContains asks a primary whether its log contains an entry, by beginning a transaction
// with the entry's position as its floor. The database says on the same connection that it
// leads the term of m: one that has started again in its place may have lost its log. It
// returns a *notLeadingError otherwise.
func (s *Session) logContains(g *backend.GroupClient, m group.Member, at position.Position, deadline clock.Time) (bool, error) {
	p := g.Pool(m.ID)
	if p == nil {
		return false, &backend.ClosedError{Database: m.ID}
	}
	c, err := p.Acquire(deadline, nil)
	if err != nil {
		return false, err
	}
	requests := []statement.Request{
		{Operation: statement.Status{}},
		{Floor: at, Operation: statement.Begin{ReadOnly: true}},
		{Operation: statement.Rollback{}},
	}
	answers := make([]statement.Answer, len(requests))
	sent := s.Clock.Now()
	// The fence behind ROLLBACK shows whether an answer is a repetition.
	if _, err := c.Exchange(deadline.Sub(sent), requests, answers); err != nil {
		c.Discard()
		return false, err
	}
	c.Release()
	status, err := c.DecodeStatus(&answers[0])
	if err != nil {
		return false, err
	}
	g.ObserveUptime(m.ID, c.OpenedAt, sent)
	g.ObserveStatus(m.ID, sent, s.Clock.Now(), status)
	if status.Role != database.RolePrimary || status.Term != m.Term {
		return false, &notLeadingError{Database: m.ID, Term: m.Term, Status: status}
	}
	switch f := answers[1].Failure; {
	case f == nil:
		return true, nil
	case f.Code == statement.CodeLagging:
		return false, nil
	default:
		return false, f
	}
}
