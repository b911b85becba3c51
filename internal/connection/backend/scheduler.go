package backend

import (
	"fmt"
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// maxWaiting bounds the number of waiting requests with ByArrival.
	maxWaiting = 24
	// maxWaitingShared bounds them with ByShare, where each may wait until its
	// deadline. It also bounds the cost of a decision, which sorts the requests.
	maxWaitingShared = 64
	// fifoPeriod is how long a queue is served in the order of arrival with
	// ByArrival. In a queue that persists for longer, the newest requests go
	// first: the oldest are late already, and in the order of arrival all would
	// be late.
	fifoPeriod = 100 * clock.Millisecond
	// promotionShare is the fraction of its target latency after which a waiting
	// request moves up by one class.
	promotionShare = 0.5
	// promotedDivisor divides the weight of requests that have moved up. Without
	// it, a class that gets more than there is room for would take half of the
	// slots of the class above it; with it, at most 1/17 while both wait.
	promotedDivisor = 16
	// maxAhead is how many requests a workspace may be ahead of the one that has got
	// least for its share. Beyond, its requests follow those of others, whatever
	// their classes. With the order of classes alone, others lost up to 20% of their
	// credit to the urgent requests of one that sent seven times its usual demand.
	maxAhead = 8
	// maxClasses bounds the number of classes that a Scheduler tells apart for
	// moving up. Deployments have three.
	maxClasses = 16
	// maxIdleFlows is the number of finish tags from which on those of flows that
	// have no claim any more are removed.
	maxIdleFlows = 256
)

// Policy is how a Scheduler orders the waiting requests, and how many may wait.
type Policy interface{ policy() }

// ByArrival serves the requests of each class in the order of arrival, or the
// newest first in a queue that persists. A full queue refuses every arrival. It
// is used where no workspaces are declared, and by a Scheduler that was given no
// policy.
type ByArrival struct{}

// ByShare orders requests by class, by the priority of their workspace, and by
// fair shares between workspaces. Requests that can still meet their target go
// before all others. A request that has waited for half of its target latency moves
// up by one class. A full queue refuses the least urgent request. ByShare is used
// where workspaces are declared.
type ByShare struct{}

func (ByArrival) policy() {}
func (ByShare) policy()   {}

// Request is a request for a slot at a database.
type Request struct {
	// Class is the priority of the request's class, and WorkspacePriority that of
	// its workspace. A lower number is more urgent.
	Class             int
	Workspace         string
	WorkspacePriority int
	// Weight is the size of the workspace's share relative to those of others.
	// Zero counts as 1.
	Weight float64
	// Arrived is when the request arrived, Target when its target latency is
	// reached.
	Arrived, Target clock.Time
	// Until is when the request stops waiting. Deadline is when its answer is
	// too late; zero means that there is no deadline.
	Until, Deadline clock.Time
}

// Reason is why a request was refused.
type Reason uint8

// Reasons of a refusal.
const (
	// QueueFull means that too many requests waited when the request arrived.
	QueueFull Reason = iota
	// Displaced means that the request has given its place in a full queue to one
	// that goes before it.
	Displaced
	// DeadlineUnreachable means that the request cannot be answered by its
	// deadline.
	DeadlineUnreachable
	// WaitEnded means that the request has waited for as long as it may.
	WaitEnded
)

// String returns the name of the reason as it appears in logs and metrics.
func (r Reason) String() string {
	switch r {
	case QueueFull:
		return "full"
	case Displaced:
		return "displaced"
	case DeadlineUnreachable:
		return "deadline"
	case WaitEnded:
		return "waitEnded"
	default:
		return "invalid"
	}
}

// TooManyWaitingError reports that a request got no slot at a database. Nothing
// was sent.
type TooManyWaitingError struct {
	Reason Reason
	// Waiting is how many other requests waited.
	Waiting int
	// Retry is the estimated time after which there is room.
	Retry clock.Duration
}

func (e *TooManyWaitingError) Error() string {
	return fmt.Sprintf("too many requests wait for the database (%d, %s); retry after %d ms", e.Waiting, e.Reason, e.Retry/clock.Millisecond)
}

// Refusal tells that a request is to be refused.
type Refusal struct {
	ID  uint64
	Err *TooManyWaitingError
}

// Scheduler holds the requests that wait at one process for one database. It
// decides which of them gets the next slot, and which are refused. It is designed
// for up to 64 waiting requests and 1,000 arrivals a second. A decision sorts the
// waiting requests, and the state grows only with what waits and with the
// workspaces that were served since the queue was last empty.
type Scheduler struct {
	policy Policy
	// waiting has not been empty since queuedSince.
	waiting     []*waiting
	queuedSince clock.Time
	lastID      uint64
	estimate    waitEstimate
	// classes are the classes of all requests so far, in ascending order.
	classes []int
	// virtual is the virtual time of each level: the start tag of the request
	// served last. finish is the finish tag of each flow.
	virtual map[level]float64
	finish  map[flow]float64
	// use is how much each workspace has got for its share, over all levels. leastUse
	// is that of the waiting workspace that has got least.
	use      map[string]float64
	leastUse float64
}

// level is what is served before fair shares matter.
type level struct{ class, priority int }

// flow is a workspace's requests in a level. Those that have moved up from the
// class below are a flow of their own.
type flow struct {
	level
	workspace string
	promoted  bool
}

type waiting struct {
	Request
	id uint64
	// flow, late and tag are set by sort. late is set if the request is unlikely
	// to meet its target, and tag is its start tag.
	flow  flow
	late  bool
	ahead bool
	tag   float64
}

// cost returns how much of its share a request costs its workspace.
func (w *waiting) cost() float64 {
	if w.Weight <= 0 {
		return 1
	}
	return 1 / w.Weight
}

// flowCost returns how much it costs its flow.
func (w *waiting) flowCost() float64 {
	if w.flow.promoted {
		return w.cost() * promotedDivisor
	}
	return w.cost()
}

// SetPolicy sets the policy. Requests that wait already stay.
func (s *Scheduler) SetPolicy(p Policy) { s.policy = p }

// Len returns the number of waiting requests.
func (s *Scheduler) Len() int { return len(s.waiting) }

// Arrive adds a request for which no slot is free. It returns the request's ID,
// and the requests that are refused, of which it may be one.
func (s *Scheduler) Arrive(now clock.Time, r Request) (uint64, []Refusal) {
	s.lastID++
	w := &waiting{Request: r, id: s.lastID}
	if now >= r.Until {
		return w.id, []Refusal{s.refusal(now, w, WaitEnded)}
	}
	if len(s.waiting) == 0 {
		s.queuedSince = now
		s.estimate.begin(now)
	}
	s.waiting = append(s.waiting, w)
	s.learnClass(r.Class)
	refused := s.refuseHopeless(now)
	if len(s.waiting) <= s.maxWaiting() || !slices.Contains(s.waiting, w) {
		// Even without w, the queue may be longer than a changed policy allows.
		return w.id, refused
	}
	displaced := w
	if _, shared := s.policy.(ByShare); shared {
		s.sort(now)
		displaced = s.waiting[len(s.waiting)-1]
	}
	s.remove(displaced)
	reason := Displaced
	if displaced == w {
		reason = QueueFull
	}
	return w.id, append(refused, s.refusal(now, displaced, reason))
}

func (s *Scheduler) maxWaiting() int {
	if _, shared := s.policy.(ByShare); shared {
		return maxWaitingShared
	}
	return maxWaiting
}

// Next removes the request that gets a slot that has become free, and returns its
// ID. It returns false if none waits. It prefers requests that can still meet
// their deadline, but does not leave the slot idle if there are only others.
func (s *Scheduler) Next(now clock.Time) (uint64, bool) {
	if len(s.waiting) == 0 {
		return 0, false
	}
	s.sort(now)
	next := s.waiting[0]
	for _, w := range s.waiting {
		if !s.missesDeadline(now, w) {
			next = w
			break
		}
	}
	if _, shared := s.policy.(ByShare); shared {
		s.charge(next)
	}
	s.estimate.granted(now)
	s.remove(next)
	return next.id, true
}

// NextIsUrgent reports whether the next request is of the most urgent class, can meet
// its target, and is of a workspace that is not ahead of its share. It is false with
// ByArrival.
func (s *Scheduler) NextIsUrgent(now clock.Time) bool {
	if _, shared := s.policy.(ByShare); !shared || len(s.waiting) == 0 {
		return false
	}
	s.sort(now)
	next := s.waiting[0]
	return next.Class == s.classes[0] && !next.late && !next.ahead
}

// Refuse removes and returns the requests that can no longer meet their deadline.
func (s *Scheduler) Refuse(now clock.Time) []Refusal { return s.refuseHopeless(now) }

// End removes a request whose wait has ended, and returns its refusal. It returns
// nil if the request does not wait any more.
func (s *Scheduler) End(now clock.Time, id uint64) *Refusal {
	i := slices.IndexFunc(s.waiting, func(w *waiting) bool { return w.id == id })
	if i < 0 {
		return nil
	}
	w := s.waiting[i]
	s.remove(w)
	reason := WaitEnded
	if w.Deadline != 0 && now.Add(s.estimate.service()) >= w.Deadline {
		reason = DeadlineUnreachable
	}
	r := s.refusal(now, w, reason)
	return &r
}

// Completed records that the database has answered a request after took.
func (s *Scheduler) Completed(now clock.Time, took clock.Duration) { s.estimate.served(now, took) }

// WaitLimit returns how long a request that has just been added may wait. A
// request that gets its slot later cannot be answered by its deadline.
func (s *Scheduler) WaitLimit(now clock.Time, r Request) clock.Duration {
	until := r.Until
	if r.Deadline != 0 {
		until = min(until, r.Deadline.Add(-s.estimate.service()))
	}
	return max(until.Sub(now), 0)
}

// refuseHopeless removes the requests that cannot be answered by their deadline if
// those before them are served first. A slot that becomes free serves the first
// request, whatever its estimate.
func (s *Scheduler) refuseHopeless(now clock.Time) []Refusal {
	interval, measured := s.estimate.interval(now)
	if !measured {
		return nil
	}
	longest := now.Add(clock.Duration(interval * float64(len(s.waiting)))).Add(s.estimate.service())
	if !slices.ContainsFunc(s.waiting, func(w *waiting) bool { return s.missesDeadline(longest, w) }) {
		return nil
	}
	s.sort(now)
	var refused []Refusal
	kept := make([]*waiting, 0, len(s.waiting))
	for _, w := range s.waiting {
		expected := now.Add(clock.Duration(interval * float64(len(kept)+1)))
		if s.missesDeadline(expected, w) {
			refused = append(refused, s.refusal(now, w, DeadlineUnreachable))
		} else {
			kept = append(kept, w)
		}
	}
	s.waiting = kept
	s.emptied()
	return refused
}

// missesDeadline reports whether a request that gets its slot at the given time is
// expected to be answered too late. With ByShare, it also reports whether the request
// may not wait for that long, so that it does not wait in vain.
func (s *Scheduler) missesDeadline(at clock.Time, w *waiting) bool {
	if _, shared := s.policy.(ByShare); shared && at > w.Until {
		return true
	}
	return w.Deadline != 0 && at.Add(s.estimate.service()) > w.Deadline
}

// refusal returns the refusal of a request that does not wait any more. There is
// room for it once those that wait are served.
func (s *Scheduler) refusal(now clock.Time, w *waiting, reason Reason) Refusal {
	return Refusal{ID: w.id, Err: &TooManyWaitingError{
		Reason: reason, Waiting: len(s.waiting), Retry: s.estimate.wait(now, len(s.waiting)),
	}}
}

func (s *Scheduler) remove(w *waiting) {
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	s.emptied()
}

// emptied ends the busy period if no request waits: no workspace has a claim on
// later slots.
func (s *Scheduler) emptied() {
	if len(s.waiting) == 0 {
		s.estimate.end()
		clear(s.virtual)
		clear(s.finish)
		clear(s.use)
		s.leastUse = 0
	}
}
