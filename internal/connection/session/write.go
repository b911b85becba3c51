package session

import (
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

const (
	// holdShare is the part of a statement's time limit for which it may wait
	// for a primary; the rest is left to run it.
	holdShare = 0.6
	// retryPause is the wait before a request that a database refused is sent
	// there again.
	retryPause = 15 * clock.Millisecond
	// discoverEvery is the time between two questions to a group that has no
	// known primary.
	discoverEvery = 100 * clock.Millisecond
	// confirmLeast is the least time that a commit is given to be confirmed,
	// however late it was answered.
	confirmLeast = 400 * clock.Millisecond
	// leadLimit bounds the wait for the proof that a primary leads, which is
	// a question to a database.
	leadLimit = 300 * clock.Millisecond
	// proofSoon, a few round trips, takes its place once no proof has come for
	// proofHope of such waits.
	proofSoon = 60 * clock.Millisecond
	proofHope = 700 * clock.Millisecond
)

// write runs a single statement that writes.
func (s *Session) write(g *backend.GroupClient, r *statement.Request) {
	deadline := s.arrived.Add(s.route.Timeout)
	for tries := 0; ; tries++ {
		m, p, l := s.primary(g, r, deadline)
		if l == nil {
			return
		}
		if !s.mayCommit(g, m) {
			s.leave(p)
			l.Release()
			s.fail(statement.CodeBusy, "the primary is not confirmed by another database")
			return
		}
		switch s.exchange(g, l, p, r, deadline.Sub(s.Clock.Now())) {
		case unanswered:
			l.Discard()
			s.fail(statement.CodeInDoubt, "the answer of database "+p.ID+" is missing")
			return
		default:
			l.Release()
		}
		f := s.answer.Failure
		switch {
		case f == nil:
			s.acknowledge(g, s.answer.Position, deadline)
			return
		case !f.Code.NotRun() || !s.retry(g, m, p, f, tries, deadline):
			return
		}
	}
}

// retry prepares for sending a request again that did not run, and reports
// whether it may be.
func (s *Session) retry(g *backend.GroupClient, m group.Member, p *backend.Pool, f *statement.Failure, tries int, deadline clock.Time) bool {
	now := s.Clock.Now()
	switch f.Code {
	case statement.CodeReadOnly:
		g.MarkNotPrimary(m.ID)
	case statement.CodeBusy:
		p.Latency.Avoid(now.Add(busyPause))
	}
	if !s.triesLeft(tries, deadline) {
		return false
	}
	s.Log.Info("request sent again", zap.String("request", s.request), zap.String("group", g.Name),
		zap.String("database", m.ID), zap.Stringer("code", f.Code), zap.Int("tries", tries+1), zap.Stringer("left", deadline.Sub(now)))
	backend.Sleep(retryPause)
	return true
}

// triesLeft reports whether a statement may be sent again after a number of
// tries.
func (s *Session) triesLeft(tries int, deadline clock.Time) bool {
	return tries < maxRetries && deadline.Sub(s.Clock.Now()) >= 2*retryPause
}

const (
	// maxRetries bounds how often one statement is sent again.
	maxRetries = 4
	// busyPause keeps reads away from a database that refused one because of
	// load.
	busyPause = 50 * clock.Millisecond
)

// primary waits for the primary and a connection to it that is ready for r.
// Without one, the answer says that nothing ran.
func (s *Session) primary(g *backend.GroupClient, r *statement.Request, deadline clock.Time) (group.Member, *backend.Pool, *backend.PooledConn) {
	until := s.arrived.Add(clock.Duration(float64(s.route.Timeout) * holdShare))
	var cause error = errors.New("no primary is known")
	for {
		m, ok := s.awaitPrimary(g, until)
		if !ok {
			break
		}
		p := g.Pool(m.ID)
		if p == nil {
			break
		}
		if err := s.enter(p, min(until, s.turnUntil())); err != nil {
			cause = err
			break
		}
		l, err := p.Acquire(min(until, deadline), s.texts)
		if err == nil && s.ready(g, l, p, r) {
			return m, p, l
		}
		s.leave(p)
		if err != nil {
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
		g.DiscoverPrimary(discoverEvery)
		backend.WaitOrTimeout(changed, min(until.Sub(now), discoverEvery))
	}
}

// acknowledge holds back the success of a commit until any replacement of
// the primary would keep it.
func (s *Session) acknowledge(g *backend.GroupClient, p position.Position, deadline clock.Time) {
	deadline = max(deadline, s.Clock.Now().Add(confirmLeast))
	verdict := group.CommitPending
	g.Await(deadline, g.FastestReplicas(), func() bool {
		verdict = g.CheckCommit(p)
		return verdict != group.CommitPending
	})
	if verdict == group.CommitSuperseded {
		verdict = s.settle(g, p, deadline)
	}
	switch verdict {
	case group.CommitConfirmed:
		s.floor = p
	case group.CommitSuperseded:
		s.Log.Info("commit dropped by a replacement", zap.String("request", s.request), zap.String("group", g.Name), zap.Stringer("position", p))
		s.fail(statement.CodeAborted, "the primary was replaced before the commit reached another database")
	default:
		g.MarkPrimaryInDoubt(s.Clock.Now())
		s.Log.Info("commit not confirmed", zap.String("request", s.request), zap.String("group", g.Name), zap.Stringer("position", p))
		s.fail(statement.CodeInDoubt, "no other database is known to have received the commit")
	}
}

// mayCommit reports whether a commit sent now can be expected to be confirmed.
// If the last one was not, the primary has to be confirmed first: one that is
// cut off from its group would take the commit and could not keep it.
func (s *Session) mayCommit(g *backend.GroupClient, m group.Member) bool {
	if !g.PrimaryInDoubt(s.Clock.Now()) {
		return true
	}
	prefer := g.FastestReplicas()
	s.confirmLead(g, prefer)
	return s.leadConfirmed(g, m, prefer, s.Clock.Now().Add(s.proofLimit(g)))
}

// settle asks the new primary whether its log contains a commit of an
// earlier term.
func (s *Session) settle(g *backend.GroupClient, at position.Position, deadline clock.Time) group.CommitStatus {
	for s.Clock.Now() < deadline {
		m, ok := s.awaitPrimary(g, deadline)
		if !ok || m.Term <= at.Term {
			return group.CommitPending
		}
		// Only a term that enough databases follow is sure to be continued.
		followed := g.Await(deadline, g.FastestReplicas(), func() bool { return g.TermEstablished(m.Term) || g.Term() > m.Term })
		if !followed || g.Term() > m.Term {
			continue
		}
		contained, err := s.contains(g, m, at, deadline)
		switch {
		case err != nil:
			backend.Sleep(retryPause)
		case contained:
			return group.CommitConfirmed
		default:
			return group.CommitSuperseded
		}
	}
	return group.CommitPending
}

// contains asks a database whether its log has an entry, by opening a
// transaction there that needs it.
func (s *Session) contains(g *backend.GroupClient, m group.Member, at position.Position, deadline clock.Time) (bool, error) {
	p := g.Pool(m.ID)
	if p == nil {
		return false, backend.ErrClosed
	}
	l, err := p.Acquire(deadline, nil)
	if err != nil {
		return false, err
	}
	requests := []statement.Request{
		{Floor: at, Operation: statement.Begin{ReadOnly: true}},
		{Operation: statement.Rollback{}},
	}
	answers := make([]statement.Answer, len(requests))
	if _, err := l.Exchange(deadline.Sub(s.Clock.Now()), requests, answers); err != nil {
		l.Discard()
		return false, err
	}
	l.Release()
	switch f := answers[0].Failure; {
	case f == nil:
		return true, nil
	case f.Code == statement.CodeLagging:
		return false, nil
	default:
		return false, f
	}
}
