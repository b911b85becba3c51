package session

import (
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// WaitRecorder collects metrics of the waits for slots at databases.
type WaitRecorder interface {
	// Waited records for how long a request of a class waited before it got a slot.
	Waited(class int, waited clock.Duration)
	// Refused counts a request of a class that got none, with the reason.
	Refused(class int, reason backend.Reason)
}

// maxQueueShare is the fraction of a route's target latency for which a request
// may wait for slots at databases where no workspaces are declared. There, a
// request that waits longer at a busy database misses the target anyway, since
// each of its statements queues there too.
const maxQueueShare = 0.25

// workspaces returns the workspaces of the configuration in force, or nil if it
// declares none.
func (s *Session) workspaces() *routes.Workspaces {
	if s.Configuration == nil {
		return nil
	}
	if v := s.Configuration.Load(); v != nil {
		return v.Workspaces
	}
	return nil
}

// slotPolicy returns how databases' slots are given to waiting requests.
func (s *Session) slotPolicy() backend.Policy {
	if s.workspaces() == nil {
		return backend.ByArrival{}
	}
	return backend.ByShare{}
}

// answerDeadline returns the time after which nobody waits for the answer.
func (s *Session) answerDeadline() clock.Time {
	if s.answerWithin > 0 {
		return s.arrived.Add(min(s.answerWithin, s.route.Timeout))
	}
	return s.arrived.Add(s.route.Timeout)
}

// slotUntil returns the time until which the request may wait for a slot, at most
// the given limit. Where workspaces are declared, it may wait until its deadline; the
// scheduler refuses it once it cannot be answered by then.
func (s *Session) slotUntil(p backend.Policy, limit clock.Time) clock.Time {
	switch p.(type) {
	case backend.ByShare:
		return min(limit, s.answerDeadline())
	default:
		return min(limit, s.arrived.Add(clock.Duration(float64(s.route.TargetLatency)*maxQueueShare)))
	}
}

// slotRequest returns the request for a slot, which may wait until the given time.
// The priority and the share of its workspace are those of the configuration in
// force at the proxy that holds the connections.
func (s *Session) slotRequest(until clock.Time) backend.Request {
	r := backend.Request{
		Class: s.route.Priority, Workspace: s.workspace,
		Arrived: s.arrived, Target: s.arrived.Add(s.route.TargetLatency), Deadline: s.answerDeadline(), Until: until,
	}
	w := s.workspaces()
	if found := w.Find(s.workspace); found != nil {
		r.WorkspacePriority = found.Priority
	}
	r.Weight = w.Weight(s.workspace)
	return r
}

// reserveSlot waits until the given time for a slot for new work at a database. It
// returns a *backend.TooManyWaitingError if the request gets none.
func (s *Session) reserveSlot(p *backend.Pool, policy backend.Policy, until clock.Time) error {
	began := s.Clock.Now()
	s.countWaiting(1)
	defer s.countWaiting(-1)
	err := p.Limiter.Reserve(began, policy, s.slotRequest(until))
	if err == nil {
		s.slotReserved = true
		if s.Waits != nil {
			s.Waits.Waited(s.route.Priority, s.Clock.Now().Sub(began))
		}
		return nil
	}
	s.recordShortage(p)
	var refused *backend.TooManyWaitingError
	if errors.As(err, &refused) && s.Waits != nil {
		s.Waits.Refused(s.route.Priority, refused.Reason)
	}
	return err
}

// logNoSlot logs that the request is refused because it got no slot. Other errors
// are logged with the answer.
func (s *Session) logNoSlot(database string, err error) {
	var refused *backend.TooManyWaitingError
	if !errors.As(err, &refused) {
		return
	}
	s.Log.Info("request refused: no slot at the database", zap.String("request", s.requestID), zap.String("group", s.route.Group),
		zap.String("database", database), zap.String("workspace", s.workspace), zap.Int("class", s.route.Priority),
		zap.Stringer("reason", refused.Reason), zap.Int("waiting", refused.Waiting), zap.Stringer("waited", s.Clock.Now().Sub(s.arrived)),
		zap.Stringer("retry", refused.Retry))
}
