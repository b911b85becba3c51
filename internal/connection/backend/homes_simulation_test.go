package backend

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// homesModel describes a database, the homes that share it, and what they are sent.
type homesModel struct {
	seed         uint64
	homes, slots int
	// service is the mean service time. Service times are between a sixth of it and
	// eleven sixths, which is 3 to 33 ms for 18 ms.
	service clock.Duration
	// slower multiplies the service time from slowFrom on, unless it is zero.
	slower   float64
	slowFrom clock.Time
	// load is what is sent in relation to what the slots can run, in equal parts of
	// each class of site A.
	load float64
	// warmUp is how long nothing is counted, and measured for how long it is.
	warmUp, measured clock.Duration
}

// homesResult counts the requests that arrived after the warm-up.
type homesResult struct {
	sent, inTime [3]float64
	// refusedIdle is the number of refusals in a ms at whose end a slot was idle.
	// idle is the part of the slots that was idle while requests waited.
	refusedIdle int
	idle        float64
	// refused is the number of requests that the database refused, and queued the
	// average length of its queue.
	refused int
	queued  float64
	// limit is the sum of the limits at the end.
	limit float64
}

func (r homesResult) goodput() float64 { return r.inTime[0] + r.inTime[1] + r.inTime[2] }

func (r homesResult) share(class int) float64 { return r.inTime[class] / max(r.sent[class], 1) }

// homesSimulation simulates the homes in virtual time. Each has a Limiter that adapts
// its limit; they share nothing.
type homesSimulation struct {
	homesModel
	homesResult
	random    *rand.Rand
	now, from clock.Time
	processes []*limitedHome
	running   []*limitedCall
	queue     []*limitedCall
	refusals  int
}

type limitedHome struct {
	Limiter
	calls []*limitedCall
	// due is when the first wait ends.
	due clock.Time
}

// simulate runs the model. The pauses of limiters are timers, so it runs in a bubble
// with its own clock.
func (m homesModel) simulate(t *testing.T) homesResult {
	t.Helper()
	s := &homesSimulation{
		homesModel: m, random: rand.New(rand.NewPCG(m.seed, 7)), now: 1000,
		running: make([]*limitedCall, m.slots),
	}
	s.from = s.now.Add(m.warmUp)
	for range m.homes {
		h := &limitedHome{}
		h.pace.random = s.random.Float64
		h.SetSlots(m.slots, m.homes)
		s.processes = append(s.processes, h)
	}
	synctest.Test(t, func(*testing.T) {
		for end := s.from.Add(m.measured); s.now < end; s.now++ {
			s.step()
			time.Sleep(time.Millisecond)
			synctest.Wait()
		}
		s.stop()
	})
	for _, h := range s.processes {
		s.limit += h.pace.limit
	}
	s.queueMean()
	return s.homesResult
}

func (s *homesSimulation) queueMean() {
	s.queued /= float64(s.measured)
	s.idle /= float64(s.measured) * float64(s.slots)
}

// stop ends the pauses, which would otherwise outlive the bubble.
func (s *homesSimulation) stop() {
	for _, h := range s.processes {
		h.mu.Lock()
		h.pauseLocked(s.now, 0)
		h.mu.Unlock()
	}
}

func (s *homesSimulation) step() {
	s.refusals = 0
	for i, c := range s.running {
		if c != nil && s.now >= c.ends {
			s.running[i] = nil
			s.finish(c)
		}
	}
	for class := range siteA {
		rate := s.load * float64(s.slots) / float64(s.service) / float64(len(siteA))
		for ; rate > 0; rate-- {
			if s.random.Float64() < rate {
				s.arrive(class)
			}
		}
	}
	waiting := 0
	for _, h := range s.processes {
		s.collect(h)
		waiting += len(h.calls)
	}
	s.fill()
	s.count(waiting)
}

// count measures the state at the end of a step.
func (s *homesSimulation) count(waiting int) {
	if s.now < s.from {
		return
	}
	s.queued += float64(len(s.queue))
	idle := 0
	for _, c := range s.running {
		if c == nil {
			idle++
		}
	}
	if waiting > 0 {
		s.idle += float64(idle)
	}
	if idle > 0 {
		s.refusedIdle += s.refusals
	}
}

func (s *homesSimulation) arrive(class int) {
	h := s.processes[s.random.IntN(len(s.processes))]
	k := siteA[class]
	c := &limitedCall{home: h, class: class, arrived: s.now}
	if s.now >= s.from {
		s.sent[class]++
	}
	deadline := s.now.Add(k.deadline)
	c.wait = h.enqueue(s.now, ByShare{}, Request{Class: class, Arrived: s.now, Target: s.now.Add(k.target), Deadline: deadline, Until: deadline})
	if c.wait == nil {
		s.send(c)
		return
	}
	if len(h.calls) == 0 {
		h.due = s.now.Add(c.wait.limit)
	}
	h.calls = append(h.calls, c)
	h.due = min(h.due, s.now.Add(c.wait.limit))
	s.collect(h)
}

func (s *homesSimulation) send(c *limitedCall) {
	c.home.Begin(true)
	c.sent = s.now
	if len(s.queue) < databaseQueue {
		s.queue = append(s.queue, c)
		s.fill()
		return
	}
	if s.now >= s.from {
		s.refused++
	}
	c.home.End(s.now, 1, true)
}

// fill gives idle slots to the requests that have waited longest at the database.
func (s *homesSimulation) fill() {
	for i := range s.running {
		if s.running[i] != nil || len(s.queue) == 0 {
			continue
		}
		s.running[i], s.queue = s.queue[0], s.queue[1:]
		least := max(s.service/6, 1)
		took := least + clock.Duration(s.random.IntN(int(2*(s.service-least))+1))
		if s.slower > 0 && s.now >= s.slowFrom {
			took = clock.Duration(float64(took) * s.slower)
		}
		s.running[i].ends = s.now.Add(took)
	}
}

func (s *homesSimulation) finish(c *limitedCall) {
	if c.arrived >= s.from && s.now.Sub(c.arrived) <= siteA[c.class].target {
		s.inTime[c.class]++
	}
	c.home.End(s.now, s.now.Sub(c.sent), false)
	s.collect(c.home)
}

// collect sends the requests of a home that have got their slot, and drops those that
// were refused.
func (s *homesSimulation) collect(h *limitedHome) {
	if h.scheduler.Len() == len(h.calls) && (len(h.calls) == 0 || s.now < h.due) {
		return
	}
	calls := h.calls
	h.calls = nil
	for _, c := range calls {
		ends := c.arrived.Add(c.wait.limit)
		if s.now >= ends {
			h.stopWaiting(s.now, c.wait.id)
		}
		select {
		case err := <-c.wait.result:
			if err == nil {
				s.send(c)
			} else {
				s.refusals++
			}
		default:
			if len(h.calls) == 0 {
				h.due = ends
			}
			h.calls, h.due = append(h.calls, c), min(h.due, ends)
		}
	}
}
