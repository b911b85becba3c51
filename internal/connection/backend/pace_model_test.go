package backend

import (
	"math/rand/v2"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// paceModel simulates, in virtual time, a database with slots and a queue that
// returns, and the processes that send to it.
type paceModel struct {
	slots, queue int
	// service returns the service time of a request that begins at a time after
	// the return, negative before it.
	service func(clock.Time) clock.Duration
	// serviceSpread is by how much a service time may be shorter or longer, as a
	// part of it.
	serviceSpread float64
	processes     []paceProcess
	// load is the number of arrivals in relation to what the slots can run.
	load   float64
	random *rand.Rand

	// fixedLimit replaces the limit of the processes unless it is zero.
	fixedLimit float64

	now     clock.Time
	running []*paceRequest
	waiting []*paceRequest
	result  paceResult
}

type paceProcess struct {
	pace     Pace
	inFlight int
	pausedTo clock.Time
	// windowTo is when the pause ends if nothing was wanted during it.
	windowTo clock.Time
	wanted   bool
	// arrivals are the requests that wait at the process.
	arrivals []clock.Time
}

type paceRequest struct {
	process    int
	sent, ends clock.Time
}

type paceResult struct {
	// completed and longest have the number of completed requests and the length
	// of the database's queue for each ms after the return.
	completed, longest []int
	refused            int
}

// maxPaceWait is how long a request waits at its process.
const maxPaceWait = 250 * clock.Millisecond

// newPaceModel returns a model in which the database has never been used.
func newPaceModel(processes, slots, queue int, service func(clock.Time) clock.Duration, seed uint64) *paceModel {
	m := &paceModel{
		slots: slots, queue: queue, service: service, processes: make([]paceProcess, processes),
		random: rand.New(rand.NewPCG(seed, 1)), running: make([]*paceRequest, slots), now: 1_000_000,
	}
	for i := range m.processes {
		m.processes[i].pace.random = m.random.Float64
		m.processes[i].pace.Begin()
	}
	return m
}

// run simulates the time up to the given one, which counts from the return.
func (m *paceModel) run(from, to clock.Time) {
	origin := m.now - from
	for t := from; t < to; t++ {
		m.now = origin + t
		m.complete()
		for chance := m.load * float64(m.slots) / float64(m.service(t)); chance > 0; chance-- {
			if m.random.Float64() < chance {
				p := &m.processes[m.random.IntN(len(m.processes))]
				p.arrivals = append(p.arrivals, m.now)
			}
		}
		for _, i := range m.random.Perm(len(m.processes)) {
			m.send(i)
		}
		for i := range m.running {
			if m.running[i] == nil && len(m.waiting) > 0 {
				m.running[i], m.waiting = m.waiting[0], m.waiting[1:]
				mean, varied := float64(m.service(t)), 1+m.serviceSpread*(2*m.random.Float64()-1)
				m.running[i].ends = m.now.Add(clock.Duration(mean*varied + 0.5))
			}
		}
		m.result.longest = append(m.result.longest, len(m.waiting))
	}
	m.now = origin + to
}

func (m *paceModel) send(i int) {
	p := &m.processes[i]
	for len(p.arrivals) > 0 && m.now.Sub(p.arrivals[0]) > maxPaceWait {
		p.arrivals = p.arrivals[1:]
	}
	p.wanted = p.wanted || len(p.arrivals) > 0
	if m.now == p.windowTo && !p.wanted {
		p.pausedTo = 0
	}
	for len(p.arrivals) > 0 && m.allows(p) {
		// Newest first, as in a queue that persists.
		p.arrivals = p.arrivals[:len(p.arrivals)-1]
		p.inFlight++
		if len(m.waiting) >= m.queue {
			m.result.refused++
			m.end(&paceRequest{process: i, sent: m.now}, true)
			return
		}
		m.waiting = append(m.waiting, &paceRequest{process: i, sent: m.now})
	}
}

func (m *paceModel) allows(p *paceProcess) bool {
	if m.fixedLimit > 0 {
		return float64(p.inFlight) < m.fixedLimit
	}
	return m.now >= p.pausedTo && p.pace.Allows(p.inFlight)
}

func (m *paceModel) complete() {
	done := 0
	for i, r := range m.running {
		if r != nil && m.now >= r.ends {
			m.running[i] = nil
			m.end(r, false)
			done++
		}
	}
	m.result.completed = append(m.result.completed, done)
}

func (m *paceModel) end(r *paceRequest, busy bool) {
	p := &m.processes[r.process]
	pause := p.pace.End(m.now, m.now.Sub(r.sent), p.inFlight, busy)
	p.inFlight--
	p.pausedTo = max(p.pausedTo, m.now.Add(pause))
}

// fail loses all requests at the database, and makes every process notice.
func (m *paceModel) fail() {
	clear(m.running)
	m.waiting = nil
	for i := range m.processes {
		m.processes[i].inFlight = 0
		for range minFailures {
			m.processes[i].pace.Fail()
		}
	}
}

// answer makes every process notice that the database has returned, at the same
// time, and starts new measurements.
func (m *paceModel) answer() {
	for i := range m.processes {
		p := &m.processes[i]
		p.pausedTo = m.now.Add(p.pace.Answer(m.now))
		p.windowTo, p.wanted = m.now.Add(backlogPeriod), false
	}
	m.result = paceResult{}
}

// begin lets the database return to processes that probe it, to some that keep
// their limits, or to some that begin with new limits.
func (m *paceModel) begin(how string) {
	switch how {
	case "pace":
		m.answer()
	case "new limit":
		m.forget()
	default:
		for i := range m.processes {
			m.processes[i].pace.state = PaceSteady
		}
		m.result = paceResult{}
	}
}

// forget makes every process begin without knowledge, as it does without Pace
// when the database has a new incarnation.
func (m *paceModel) forget() {
	for i := range m.processes {
		p := &m.processes[i]
		p.pace, p.pausedTo = Pace{random: m.random.Float64}, 0
		p.pace.Begin()
	}
	m.result = paceResult{}
}
