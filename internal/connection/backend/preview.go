package backend

import (
	"maps"
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Preview is what would become of a request for a slot.
type Preview struct {
	// Free is set if the request would get a slot at once. Otherwise, it would be refused
	// for the reason of Refused, or wait if that is nil.
	Free    bool
	Refused *TooManyWaitingError
	// Waiting is how many other requests wait, and InFlight how many slots are taken.
	Waiting, InFlight int
	// Wait is the estimated time until all that wait and the request have a slot.
	Wait clock.Duration
	// Paused is set if no new work is sent for a moment to a database that has returned.
	Paused bool
	LimiterStats
}

// Preview returns what would become of a request that asked for a slot now. It decides
// like Reserve, on a copy of the state.
func (l *Limiter) Preview(now clock.Time, policy Policy, r Request) Preview {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, pace, used := l.scheduler.clone(), l.pace, l.inFlight+l.reserved
	v := Preview{Waiting: s.Len(), InFlight: used, Paused: l.pause != nil}
	v.LimiterStats = LimiterStats{Limit: pace.limit, Latency: pace.latency, Baseline: pace.baseline, State: pace.state}
	pace.Begin()
	s.SetPolicy(policy)
	_, shared := policy.(ByShare)
	pace.Arrive(now, shared, r.Target.Sub(r.Arrived))
	for s.Len() > 0 && l.allowsLocked(&pace, used) {
		s.Next(now)
		used++
	}
	for pace.AllowsUrgent(used) && s.NextIsUrgent(now) {
		s.Next(now)
		used++
	}
	s.Refuse(now)
	if s.Len() == 0 && l.allowsLocked(&pace, used) {
		v.Free = true
		return v
	}
	v.Wait = s.estimate.wait(now, s.Len())
	id, refused := s.Arrive(now, r)
	for i := range refused {
		if refused[i].ID == id {
			v.Refused = refused[i].Err
		}
	}
	for pace.AllowsUrgent(used) && s.NextIsUrgent(now) {
		next, _ := s.Next(now)
		v.Free = v.Free || next == id
		used++
	}
	return v
}

// clone returns a copy that decides like the original and leaves it as it is.
func (s *Scheduler) clone() *Scheduler {
	c := *s
	c.waiting = make([]*waiting, len(s.waiting))
	for i, w := range s.waiting {
		copied := *w
		c.waiting[i] = &copied
	}
	c.classes = slices.Clone(s.classes)
	c.virtual, c.finish, c.use = maps.Clone(s.virtual), maps.Clone(s.finish), maps.Clone(s.use)
	return &c
}
