package backend

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// class is a class of requests of site A.
type class struct {
	target, deadline clock.Duration
	inTime, late     float64
}

var siteA = []class{
	{100, 1000, 3.5, 0.14},
	{200, 1000, 1.9, 0.093},
	{600, 3000, 0.47, 0.07},
}

// demand is what one workspace sends of one class.
type demand struct {
	workspace string
	class     int
	// rate is the number of requests per second. It is multiplied by factor between
	// from and to.
	rate, factor float64
	from, to     clock.Time
	// limit refuses what exceeds the workspace's limit, before it waits for a slot.
	// Nil means that there is none.
	limit *bucket
	// random is the demand's own source, so that the requests of one workspace do
	// not depend on what others send.
	random *rand.Rand
}

// bucket is the limit of a workspace: a token bucket whose depth is half of the burst
// of one second.
type bucket struct {
	rate, tokens float64
	at           clock.Time
}

func (b *bucket) take(now clock.Time) bool {
	if b == nil {
		return true
	}
	b.tokens = min(b.tokens+b.rate*float64(now.Sub(b.at))/1000, max(b.rate/2, 1))
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// tally counts the outcomes of one workspace's requests of one class.
type tally struct {
	sent, inTime, late, refused int
	credit                      float64
	longest                     clock.Duration
}

func (t *tally) add(o tally) {
	t.sent += o.sent
	t.inTime += o.inTime
	t.late += o.late
	t.refused += o.refused
	t.credit += o.credit
	t.longest = max(t.longest, o.longest)
}

// share returns the share of the requests that were answered within their target.
func (t *tally) share() float64 { return float64(t.inTime) / float64(max(t.sent, 1)) }

type who struct {
	workspace string
	class     int
}

// call is a request in the simulation.
type call struct {
	Request
	home       *home
	until      clock.Time
	sent, ends clock.Time
}

// home is a process that may have a fixed number of requests in flight.
type home struct {
	scheduler       Scheduler
	inFlight, limit int
	waiting         map[uint64]*call
}

// schedulerSimulation simulates, in virtual time, the homes of a database of site
// A: 4 slots, a queue of 32, and service times from 3 to 34 ms. The homes share
// nothing.
type schedulerSimulation struct {
	seed   uint64
	random *rand.Rand
	now    clock.Time
	homes  []*home
	slots  [4]*call
	queue  []*call
	// count is what happened to the requests that arrived from since on, and before
	// until if that is not zero.
	count        map[who]*tally
	since, until clock.Time
	// weights are the declared rates of workspaces.
	weights map[string]float64
	// idleRefusals are refusals at a time at which the home could have sent the
	// request.
	idleRefusals int
	reasons      map[Reason]int
}

const (
	databaseQueue = 32
	// inFlightLimit is how many requests all homes together may have in flight: those
	// in the slots, and two that wait for one.
	inFlightLimit = 6
	minService    = 3
	maxService    = 34
	// siteCapacity is how many requests per second the database can answer.
	siteCapacity = 4 * 1000 / (float64(minService+maxService) / 2)
)

func newSchedulerSimulation(seed uint64, homes int, p Policy) *schedulerSimulation {
	s := &schedulerSimulation{
		seed: seed, random: rand.New(rand.NewPCG(seed, 1000)), now: 1000,
		count: make(map[who]*tally), reasons: make(map[Reason]int),
	}
	for range homes {
		s.homes = append(s.homes, &home{scheduler: Scheduler{policy: p}, limit: inFlightLimit / homes, waiting: make(map[uint64]*call)})
	}
	return s
}

func (s *schedulerSimulation) tally(c *call) *tally {
	if c.Arrived < s.since || s.until != 0 && c.Arrived >= s.until {
		return &tally{}
	}
	key := who{c.Workspace, c.Class}
	if s.count[key] == nil {
		s.count[key] = &tally{}
	}
	return s.count[key]
}

// run sends the demands for the given time.
func (s *schedulerSimulation) run(d clock.Duration, demands []demand) {
	for end := s.now.Add(d); s.now < end; s.now++ {
		for i := range demands {
			d := &demands[i]
			rate := d.rate
			if s.now >= d.from && s.now < d.to {
				rate *= d.factor
			}
			if d.random == nil {
				d.random = rand.New(rand.NewPCG(s.seed, uint64(i)))
			}
			if d.random.Float64() < rate/1000 {
				s.arrive(d)
			}
		}
		s.step()
	}
}

func (s *schedulerSimulation) arrive(d *demand) {
	k := siteA[d.class]
	c := &call{home: s.homes[d.random.IntN(len(s.homes))], Request: Request{
		Class: d.class, Workspace: d.workspace, Weight: s.weights[d.workspace], Arrived: s.now,
		Target: s.now.Add(k.target), Deadline: s.now.Add(k.deadline), Until: s.now.Add(k.deadline),
	}}
	t := s.tally(c)
	t.sent++
	if !d.limit.take(s.now) {
		t.refused++
		return
	}
	h := c.home
	if h.scheduler.Len() == 0 && h.inFlight < h.limit {
		s.send(c)
		return
	}
	id, refused := h.scheduler.Arrive(s.now, c.Request)
	c.until = s.now.Add(h.scheduler.WaitLimit(s.now, c.Request))
	h.waiting[id] = c
	s.refuse(h, refused...)
}

// send begins a request that has got a slot of its home.
func (s *schedulerSimulation) send(c *call) {
	t := s.tally(c)
	t.longest = max(t.longest, s.now.Sub(c.Arrived))
	if len(s.queue) >= databaseQueue {
		t.refused++
		return
	}
	c.home.inFlight++
	c.sent = s.now
	s.queue = append(s.queue, c)
}

func (s *schedulerSimulation) refuse(h *home, refused ...Refusal) {
	for _, r := range refused {
		c := h.waiting[r.ID]
		delete(h.waiting, r.ID)
		t := s.tally(c)
		t.refused++
		t.longest = max(t.longest, s.now.Sub(c.Arrived))
		s.reasons[r.Err.Reason]++
		if h.inFlight < h.limit {
			s.idleRefusals++
		}
	}
}

func (s *schedulerSimulation) step() {
	for i, c := range s.slots {
		if c != nil && s.now >= c.ends {
			s.slots[i] = nil
			s.finish(c)
		}
		if s.slots[i] == nil && len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next.ends = s.now.Add(minService + clock.Duration(s.random.IntN(maxService-minService+1)))
			s.slots[i] = next
		}
	}
	for _, h := range s.homes {
		for _, id := range slices.Sorted(maps.Keys(h.waiting)) {
			if s.now < h.waiting[id].until {
				continue
			}
			if r := h.scheduler.End(s.now, id); r != nil {
				s.refuse(h, *r)
			}
		}
	}
}

func (s *schedulerSimulation) finish(c *call) {
	t, k := s.tally(c), siteA[c.Class]
	switch {
	case s.now <= c.Target:
		t.inTime++
		t.credit += k.inTime
	case s.now <= c.Deadline:
		t.late++
		t.credit += k.late
	}
	h := c.home
	h.inFlight--
	h.scheduler.Completed(s.now, s.now.Sub(c.sent))
	for h.scheduler.Len() > 0 && h.inFlight < h.limit {
		id, _ := h.scheduler.Next(s.now)
		next := h.waiting[id]
		delete(h.waiting, id)
		s.send(next)
	}
	s.refuse(h, h.scheduler.Refuse(s.now)...)
}

// total sums the counts that accept selects.
func (s *schedulerSimulation) total(accept func(who) bool) tally {
	var sum tally
	for key, t := range s.count {
		if accept(key) {
			sum.add(*t)
		}
	}
	return sum
}

func everything(who) bool { return true }

func ofClass(class int) func(who) bool { return func(w who) bool { return w.class == class } }

func ofWorkspace(name string) func(who) bool { return func(w who) bool { return w.workspace == name } }

// evenly returns the demands of workspaces that all send the same amount of each
// class, in total load times what the database can answer.
func evenly(load float64, workspaces ...string) []demand {
	var list []demand
	for _, name := range workspaces {
		for class := range siteA {
			list = append(list, demand{workspace: name, class: class, rate: load * siteCapacity / float64(len(workspaces)*len(siteA))})
		}
	}
	return list
}
