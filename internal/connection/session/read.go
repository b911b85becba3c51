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
	// ageMargin is subtracted from the maximum age of a read to allow for the
	// granularity of the clock.
	ageMargin = 5 * clock.Millisecond
	// minReadAttemptTimeout and maxAttemptTimeout bound how long a read waits for
	// one database before it is sent to another. maxAttemptTimeout also limits the
	// wait for one answer of the primary.
	minReadAttemptTimeout = 120 * clock.Millisecond
	maxAttemptTimeout     = 700 * clock.Millisecond
	// lagPause is how long reads avoid a replica whose log did not contain the
	// floor of a read, and how long a read waits if it expects the replica to
	// catch up.
	lagPause = 30 * clock.Millisecond
	// farBehindPause is how long reads avoid a replica that is behind by more than
	// twice the maximum age of a read.
	farBehindPause = 500 * clock.Millisecond
	// maxReadRetryPause is the maximum pause after a read has been tried at all
	// databases. The pause starts at retryPause and doubles each time.
	maxReadRetryPause = 60 * clock.Millisecond
)

// read runs a statement that only reads and is not part of a transaction.
func (s *Session) read(g *backend.GroupClient, r *statement.Request) {
	deadline := s.arrived.Add(s.route.Timeout)
	if needsPrimary(s.route, false) {
		s.readPrimary(g, r, deadline)
		return
	}
	floor, ok := s.readFloor(g, deadline)
	if !ok {
		s.fail(statement.CodeBusy, "no recent position of the group is known")
		return
	}
	if c, p := s.readAnywhere(g, r, floor, deadline); c != nil {
		c.Release()
		s.logRead(g, p, floor)
	}
}

// needsPrimary reports whether only the primary may serve a request on a route. writes is
// set if the request is a write or begins a transaction that may write.
func needsPrimary(route *routes.Route, writes bool) bool {
	return writes || route.Consistency == routes.Primary
}

// knownFloor returns the position that a read of this session must see, as readFloor does,
// from what is known now.
func (s *Session) knownFloor(g *backend.GroupClient) (position.Position, bool) {
	since := s.arrived.Add(ageMargin - s.route.MaxAge)
	floor, source := g.Floor(since, s.Clock.Now())
	s.floorSource = source
	if s.route.Consistency == routes.ReadYourWrites {
		floor = floor.Max(s.floor)
	}
	return floor, source != group.FloorUnknown
}

// readFloor returns the position that a read of this session must see. It covers
// every commit acknowledged more than the route's maximum age ago and, on
// ReadYourWrites routes, the session's own commits. It returns false if no
// recent position is known in time.
func (s *Session) readFloor(g *backend.GroupClient, deadline clock.Time) (position.Position, bool) {
	var floor position.Position
	var ok bool
	known := func() bool {
		floor, ok = s.knownFloor(g)
		return ok
	}
	if !known() {
		prefer := g.FastestReplicas()
		if m, leads := g.Primary(); leads {
			prefer = append(prefer, m.ID)
		}
		if !g.Await(min(deadline, s.arrived.Add(s.leadershipWait(g))), prefer, known) {
			g.RecordUnproven(s.Clock.Now())
		}
	}
	if m, leads := g.Primary(); leads && min(g.SampledAt(), g.LedAt()) < s.arrived.Add(-s.route.MaxAge/2) {
		// Sample the primary's position for later reads. They need a position that is
		// old enough for the replicas to have reached it, but not older than the
		// maximum age, and proof that the primary still led then.
		g.RequestStatus(m.ID)
	}
	return floor, ok
}

// readAnywhere sends a read, or the BEGIN of a read-only transaction, to one
// database after another until one answers, starting with the one that is
// expected to answer first. It returns the connection that answered and its
// pool; if none answered, the connection is nil and the answer fails with
// CodeBusy. A read that has no room for its floor runs at the primary, as on Primary
// routes, and the connection is nil too. A read may run more than once.
func (s *Session) readAnywhere(g *backend.GroupClient, r *statement.Request, floor position.Position, deadline clock.Time) (*backend.PooledConn, *backend.Pool) {
	var exclude []string
	cause := "no database of the group is known"
	request := *r
	request.Floor = floor
	until := min(deadline, s.arrived.Add(s.route.TargetLatency))
	policy, slotUntil := s.readSlot(deadline)
	_, shared := policy.(backend.ByShare)
	// noSlot is the error of the last database tried, noSlotAt, if it gave no slot.
	// refused counts the databases that were excluded for that.
	var noSlot error
	noSlotAt, refused := "", 0
	wait := retryPause
	for tries := 0; ; tries++ {
		now := s.Clock.Now()
		if now >= deadline || tries > 0 && now >= until && (noSlot == nil || !shared) {
			break
		}
		if noSlot != nil && now >= slotUntil {
			// Another attempt would not wait for a slot either.
			break
		}
		m, p := g.SelectForRead(s.workspace, exclude)
		if p == nil {
			if len(exclude) == 0 || shared && refused == len(exclude) {
				break
			}
			// All databases have been tried. During the pause replicas may catch up and
			// the load may fall.
			exclude, refused = exclude[:0], 0
			backend.Sleep(min(wait, deadline.Sub(now)))
			wait = min(2*wait, maxReadRetryPause)
			continue
		}
		timeout := min(p.AttemptTimeout(minReadAttemptTimeout, maxAttemptTimeout), deadline.Sub(now))
		if !s.takeToken() {
			return nil, nil
		}
		if noSlot = s.reserveSlot(p, policy, slotUntil); noSlot != nil {
			cause = m.ID + ": " + noSlot.Error()
			exclude = append(exclude, m.ID)
			noSlotAt = m.ID
			refused++
			continue
		}
		if shared {
			// The wait for the slot may have used up most of the time.
			timeout = max(min(timeout, deadline.Sub(s.Clock.Now())), 1)
		}
		c, err := p.AcquireFor(s.Clock.Now().Add(timeout), s.workspace, s.valueTexts)
		if err != nil {
			s.recordShortage(p)
			s.releaseSlot(p)
			p.Latency.Avoid(now.Add(busyPause))
			cause = m.ID + ": " + err.Error()
			exclude = append(exclude, m.ID)
			continue
		}
		if !s.loadVariables(g, c, p, timeout) {
			s.releaseSlot(p)
			p.Latency.Avoid(s.Clock.Now().Add(busyPause))
			cause = m.ID + ": the session's variables could not be set"
			exclude = append(exclude, m.ID)
			continue
		}
		// After the waits for a slot, a connection and its variables, the token may be
		// too old.
		if !s.takeToken() {
			c.Release()
			s.releaseSlot(p)
			return nil, nil
		}
		switch s.exchange(g, c, p, &request, timeout) {
		case notSent:
			c.Discard()
			cause = m.ID + ": the connection cannot be used"
			continue
		case unanswered, misanswered:
			c.Discard()
			cause = m.ID + " has not answered"
			exclude = append(exclude, m.ID)
			continue
		case noRoom:
			c.Release()
			s.withoutFloor = true
			s.readPrimary(g, r, deadline)
			return nil, nil
		}
		f := s.answer.Failure
		if f == nil || !f.Code.NotRun() && f.Code != statement.CodeFailed {
			return c, p
		}
		c.Release()
		if s.willCatchUp(g, f) {
			backend.Sleep(lagPause)
			continue
		}
		if now := s.Clock.Now(); f.Code == statement.CodeLagging && g.LagsBeyond(s.answer.Position, now, 2*s.route.MaxAge) {
			p.Latency.MarkLagging(now.Add(farBehindPause))
		}
		cause = m.ID + ": " + f.Error()
		exclude = append(exclude, m.ID)
		p.Latency.Avoid(s.Clock.Now().Add(pauseAfter(f.Code)))
	}
	s.logNoSlot(noSlotAt, noSlot)
	s.fail(statement.CodeBusy, cause)
	return nil, nil
}

// readSlot returns the policy for the slots of reads, and until when a read may wait for one.
func (s *Session) readSlot(deadline clock.Time) (backend.Policy, clock.Time) {
	policy := s.slotPolicy()
	return policy, s.slotUntil(policy, deadline)
}

// willCatchUp reports whether a replica whose log did not contain the read's
// floor is likely to reach it soon. Waiting for it takes load off the primary.
func (s *Session) willCatchUp(g *backend.GroupClient, f *statement.Failure) bool {
	now := s.Clock.Now()
	return f.Code == statement.CodeLagging &&
		now.Sub(s.arrived) < clock.Duration(float64(s.route.TargetLatency)*catchUpShare) &&
		!g.LagsBeyond(s.answer.Position, now, 2*s.route.TargetLatency)
}

// catchUpShare is the fraction of a route's target latency for which a read
// waits for replicas that lag slightly before it goes to the primary.
const catchUpShare = 0.4

func pauseAfter(c statement.Code) clock.Duration {
	if c == statement.CodeLagging {
		return lagPause
	}
	return busyPause
}

// readPrimary runs a read that must see every acknowledged commit. While the
// primary runs the read, other databases are asked for proof that it was still
// the primary after the read had arrived.
func (s *Session) readPrimary(g *backend.GroupClient, r *statement.Request, deadline clock.Time) {
	for tries := 0; ; tries++ {
		m, p, c := s.acquirePrimary(g, r, deadline)
		if c == nil {
			return
		}
		prefer := g.FastestReplicas()
		s.requestLeadershipProof(g, prefer)
		if s.exchange(g, c, p, r, s.attemptTimeout(p, deadline)) != answered {
			c.Discard()
			s.fail(statement.CodeTimeout, "database "+p.ID+" has not answered")
			if tries < maxRetries && s.Clock.Now().Add(retryPause) < deadline {
				continue
			}
			return
		}
		c.Release()
		if f := s.answer.Failure; f != nil {
			if f.Code.NotRun() && s.prepareRetry(g, m, p, f, tries, deadline) {
				continue
			}
			return
		}
		if s.awaitLeadership(g, m, c.OpenedAt, prefer, deadline) {
			s.logRead(g, p, position.Position{})
			return
		}
		if tries >= maxRetries || s.Clock.Now().Add(retryPause) >= deadline || s.leadershipWait(g) < leadershipTimeout {
			s.fail(statement.CodeBusy, "the primary is not confirmed by another database")
			return
		}
	}
}

// requestLeadershipProof asks the databases in prefer for proof of the
// primary's leadership, unless there already is proof from after the request
// arrived. It is called before the primary runs the request, so that the waits
// for both overlap.
func (s *Session) requestLeadershipProof(g *backend.GroupClient, prefer []string) {
	if g.PrimaryProvenAt(s.Clock.Now()) >= s.arrived {
		return
	}
	for _, id := range prefer {
		g.RequestStatus(id)
	}
}

// leadershipWait returns how long to wait for proof that a database is still
// the primary. If all such waits have failed for a while, the other databases
// are probably unreachable from here, and the caller should get an error soon:
// another proxy may reach them.
func (s *Session) leadershipWait(g *backend.GroupClient) clock.Duration {
	if g.ProofUnavailable(s.Clock.Now(), shortLeadershipTimeoutAfter) {
		return shortLeadershipTimeout
	}
	return leadershipTimeout
}

// awaitLeadership waits for proof that m was still the primary after the
// request had arrived, and reports whether it was. openedAt is when the connection on
// which the request has run, or is to run, was opened.
func (s *Session) awaitLeadership(g *backend.GroupClient, m group.Member, openedAt clock.Time, prefer []string, deadline clock.Time) bool {
	proven := func() bool {
		return g.PrimaryProvenAt(s.Clock.Now()) >= s.arrived && g.LeadKnown(m.ID, m.Term, openedAt)
	}
	if g.LedAt() < s.arrived || !g.LeadKnown(m.ID, m.Term, openedAt) {
		prefer = append(prefer, m.ID)
	}
	limit := min(deadline, s.Clock.Now().Add(s.leadershipWait(g)))
	if !g.Await(limit, prefer, func() bool { return g.Term() != m.Term || proven() }) {
		g.MarkPrimaryInDoubt(s.Clock.Now())
		g.RecordUnproven(s.Clock.Now())
	}
	return g.Term() == m.Term && proven()
}

// minPrimaryAttemptTimeout is the minimum time that the primary is given to
// answer a request that can be sent again.
const minPrimaryAttemptTimeout = 300 * clock.Millisecond

// attemptTimeout returns how long to wait for the answer to a request that can
// be sent again if no answer arrives.
func (s *Session) attemptTimeout(p *backend.Pool, deadline clock.Time) clock.Duration {
	return min(p.AttemptTimeout(minPrimaryAttemptTimeout, maxAttemptTimeout), deadline.Sub(s.Clock.Now()))
}
