package session

import (
	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

const (
	// ageMargin is taken off the stated age of a read, for the granularity of
	// the clock.
	ageMargin = 5 * clock.Millisecond
	// leastPatience and mostPatience bound how long a read waits for one
	// database before it is tried at another.
	leastPatience = 120 * clock.Millisecond
	mostPatience  = 700 * clock.Millisecond
	// lagPause keeps reads away from a replica that lacked their floor.
	lagPause = 30 * clock.Millisecond
	// behindPause is how long a replica is not asked that is behind by more than
	// twice the age that a read allows.
	behindPause = 500 * clock.Millisecond
	// mostReadWait bounds the growing wait between two rounds over the
	// databases.
	mostReadWait = 60 * clock.Millisecond
)

// read runs a single statement that reads.
func (s *Session) read(g *backend.Serving, r *statement.Request) {
	deadline := s.arrived.Add(s.route.Timeout)
	if s.route.Consistency == routes.Primary {
		s.readPrimary(g, r, deadline)
		return
	}
	floor, ok := s.readFloor(g, deadline)
	if !ok {
		s.fail(statement.CodeBusy, "no recent position of the group is known")
		return
	}
	if l, _ := s.readAnywhere(g, r, floor, deadline); l != nil {
		l.Release()
	}
}

// readFloor returns the position that a read of this session must see: every
// commit that was acknowledged before the stated age, and the session's own.
func (s *Session) readFloor(g *backend.Serving, deadline clock.Time) (position.Position, bool) {
	since := s.arrived.Add(ageMargin - s.route.MaxAge)
	var floor position.Position
	var ok bool
	known := func() bool {
		floor, ok = g.Floor(since, s.Clock.Now())
		return ok
	}
	if !known() {
		prefer := g.Preferred()
		if m, leads := g.Primary(); leads {
			prefer = append(prefer, m.ID)
		}
		if !g.Await(min(deadline, s.arrived.Add(s.proofLimit(g))), prefer, known) {
			g.Unproven(s.Clock.Now())
		}
	}
	if m, leads := g.Primary(); leads && g.SampledAt() < s.arrived.Add(-s.route.MaxAge/2) {
		// A later read needs a position between the age and the lag of replicas.
		g.Ask(m.ID)
	}
	if s.route.Consistency == routes.ReadYourWrites {
		floor = floor.Max(s.floor)
	}
	return floor, ok
}

// readAnywhere sends a read with a floor to the databases expected to answer
// first, one after the other, until one does. It returns the connection that
// answered, nil for none. A read may run more than once.
func (s *Session) readAnywhere(g *backend.Serving, r *statement.Request, floor position.Position, deadline clock.Time) (*backend.Link, *backend.Pool) {
	var exclude []string
	cause := "no database of the group is known"
	request := *r
	request.Floor = floor
	until := min(deadline, s.arrived.Add(s.route.TargetLatency))
	turn := min(until, s.turnUntil())
	wait := retryPause
	for tries := 0; ; tries++ {
		now := s.Clock.Now()
		if now >= deadline || tries > 0 && now >= until {
			break
		}
		m, p := g.Place(exclude)
		if p == nil {
			if len(exclude) == 0 {
				break
			}
			// Replicas go on to apply what the read needs, and load passes.
			exclude = exclude[:0]
			backend.Sleep(min(wait, deadline.Sub(now)))
			wait = min(2*wait, mostReadWait)
			continue
		}
		patience := min(p.Patience(leastPatience, mostPatience), deadline.Sub(now))
		if err := s.enter(p, turn); err != nil {
			cause = m.ID + ": " + err.Error()
			exclude = append(exclude, m.ID)
			continue
		}
		l, err := p.Acquire(s.Clock.Now().Add(patience), s.texts)
		if err != nil {
			s.leave(p)
			p.Pace.Avoid(now.Add(busyPause))
			cause = m.ID + ": " + err.Error()
			exclude = append(exclude, m.ID)
			continue
		}
		if s.exchange(g, l, p, &request, patience) == unanswered {
			l.Discard()
			cause = m.ID + " has not answered"
			exclude = append(exclude, m.ID)
			continue
		}
		f := s.answer.Failure
		if f == nil || !f.Code.NotRun() && f.Code != statement.CodeFailed {
			return l, p
		}
		l.Release()
		if s.willCatchUp(g, f) {
			backend.Sleep(lagPause)
			continue
		}
		if now := s.Clock.Now(); f.Code == statement.CodeLagging && g.FarBehind(s.answer.Position, now, 2*s.route.MaxAge) {
			p.Pace.Behind(now.Add(behindPause))
		}
		cause = m.ID + ": " + f.Error()
		exclude = append(exclude, m.ID)
		p.Pace.Avoid(s.Clock.Now().Add(pauseAfter(f.Code)))
	}
	s.fail(statement.CodeBusy, cause)
	return nil, nil
}

// willCatchUp reports whether a replica that lacked the read's floor is likely
// to have it soon. Waiting there spares the primary.
func (s *Session) willCatchUp(g *backend.Serving, f *statement.Failure) bool {
	now := s.Clock.Now()
	return f.Code == statement.CodeLagging &&
		now.Sub(s.arrived) < clock.Duration(float64(s.route.TargetLatency)*catchUpShare) &&
		!g.FarBehind(s.answer.Position, now, 2*s.route.TargetLatency)
}

// catchUpShare is the part of a route's target latency for which a read waits
// for replicas that lag by little before it goes to the primary.
const catchUpShare = 0.4

func pauseAfter(c statement.Code) clock.Duration {
	if c == statement.CodeLagging {
		return lagPause
	}
	return busyPause
}

// readPrimary runs a read that must see every acknowledged commit. While the
// primary answers, other databases confirm that it still led after the read
// had arrived.
func (s *Session) readPrimary(g *backend.Serving, r *statement.Request, deadline clock.Time) {
	for tries := 0; ; tries++ {
		m, p, l := s.primary(g, r, deadline)
		if l == nil {
			return
		}
		prefer := g.Preferred()
		s.confirmLead(g, prefer)
		if s.exchange(g, l, p, r, s.patience(p, deadline)) == unanswered {
			l.Discard()
			s.fail(statement.CodeTimeout, "database "+p.ID+" has not answered")
			if tries < maxRetries && s.Clock.Now().Add(retryPause) < deadline {
				continue
			}
			return
		}
		l.Release()
		if f := s.answer.Failure; f != nil {
			if f.Code.NotRun() && s.retry(g, m, p, f, tries, deadline) {
				continue
			}
			return
		}
		if s.leadConfirmed(g, m, prefer, deadline) {
			return
		}
		if tries >= maxRetries || s.Clock.Now().Add(retryPause) >= deadline || s.proofLimit(g) < leadLimit {
			s.fail(statement.CodeBusy, "the primary is not confirmed by another database")
			return
		}
	}
}

// confirmLead asks for the proof that the primary leads, so that it comes
// while the primary is at work.
func (s *Session) confirmLead(g *backend.Serving, prefer []string) {
	if g.Evidence(s.Clock.Now()) >= s.arrived {
		return
	}
	for _, id := range prefer {
		g.Ask(id)
	}
}

// proofLimit returns how long to wait for the proof that a primary leads. Where
// none has come for long, the others are likely out of reach, and the caller is
// told so at once: another proxy may reach them.
func (s *Session) proofLimit(g *backend.Serving) clock.Duration {
	if g.OutOfReach(s.Clock.Now(), proofHope) {
		return proofSoon
	}
	return leadLimit
}

// leadConfirmed waits for the proof that m led after the request had
// arrived.
func (s *Session) leadConfirmed(g *backend.Serving, m group.Member, prefer []string, deadline clock.Time) bool {
	limit := min(deadline, s.Clock.Now().Add(s.proofLimit(g)))
	if !g.Await(limit, prefer, func() bool {
		return g.Term() != m.Term || g.Evidence(s.Clock.Now()) >= s.arrived
	}) {
		g.Unconfirmed(s.Clock.Now())
		g.Unproven(s.Clock.Now())
	}
	return g.Term() == m.Term && g.Evidence(s.Clock.Now()) >= s.arrived
}

// primaryPatience is the least time that the primary is given to answer what
// can be sent again.
const primaryPatience = 300 * clock.Millisecond

// patience returns how long to wait for an answer to a request that can be
// sent again if it is missing.
func (s *Session) patience(p *backend.Pool, deadline clock.Time) clock.Duration {
	return min(p.Patience(primaryPatience, mostPatience), deadline.Sub(s.Clock.Now()))
}
