package backend

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	modelSlots = 4
	modelQueue = 32
	// maxOverrun is a slot's part of the database's queue.
	maxOverrun = modelQueue / modelSlots
	// peakPart of the peak goodput must be reached within reachTime of a single
	// client that knows the number of slots.
	peakPart  = 0.9
	reachTime = 1000
	// peakWindow is the time over which goodput is measured, in ms.
	peakWindow = 200
	usualLoad  = 0.6
	returnLoad = 2
)

// modelDatabase is a kind of database. After its return, its service time is cold
// for coldTime.
type modelDatabase struct {
	name       string
	warm, cold clock.Duration
	// spread is how much service times vary, as a part of them.
	spread float64
}

const coldTime = 4000

var modelDatabases = []modelDatabase{
	{"fast", 3, 3, 0}, {"medium", 18, 18, 0}, {"slow", 34, 34, 0}, {"cold", 18, 29, 0}, {"very cold", 18, 54, 0},
}

func (d modelDatabase) service(at clock.Time) clock.Duration {
	if at >= 0 && at < coldTime {
		return d.cold
	}
	return d.warm
}

// newUsedModel returns a model whose database has been used for 30 s and has then
// been unreachable for 1 s, and is about to return to twice the load that it can
// run.
func newUsedModel(d modelDatabase, processes int, seed uint64) *paceModel {
	m := newPaceModel(processes, modelSlots, modelQueue, d.service, seed)
	m.serviceSpread = d.spread
	m.load = usualLoad
	m.run(-30_000, -1000)
	m.fail()
	m.now += 1000
	m.load = returnLoad
	return m
}

// peakTime returns when the goodput of the last peakWindow ms first is peakPart
// of what the slots can run, in ms after the return, or the length of the run if
// it never is.
func (m *paceModel) peakTime() int {
	done, most := 0.0, 0.0
	for t, n := range m.result.completed {
		done += float64(n)
		most += float64(m.slots) / float64(m.service(clock.Time(t)))
		if old := t - peakWindow; old >= 0 {
			done -= float64(m.result.completed[old])
			most -= float64(m.slots) / float64(m.service(clock.Time(old)))
			if done >= peakPart*most {
				return t
			}
		}
	}
	return len(m.result.completed)
}

// goodput returns the number of requests completed between two times.
func (m *paceModel) goodput(from, to int) int {
	n := 0
	for _, done := range m.result.completed[from:to] {
		n += done
	}
	return n
}

// overrun returns the longest queue before the given time.
func (m *paceModel) overrun(to int) int {
	longest := 0
	for _, n := range m.result.longest[:to] {
		longest = max(longest, n)
	}
	return longest
}

// fullKnowledge returns the peak time of a single client that knows the number
// of slots.
func fullKnowledge(d modelDatabase, seed uint64) int {
	m := newUsedModel(d, 1, seed)
	m.answer()
	m.fixedLimit = modelSlots
	m.run(0, 3000)
	return m.peakTime()
}

func forEachReturn(t *testing.T, processes int, seeds uint64, f func(*testing.T, modelDatabase, uint64)) {
	for _, d := range modelDatabases {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%s/%d processes/seed %d", d.name, processes, seed), func(t *testing.T) {
				t.Parallel()
				f(t, d, seed)
			})
		}
	}
}

// A database that has returned must not be left idle. The log compares the pace
// with limits that stay as they were, and with new ones.
func TestPeakIsReachedAfterReturn(t *testing.T) {
	for _, processes := range []int{1, 15, 300} {
		forEachReturn(t, processes, 3, func(t *testing.T, d modelDatabase, seed uint64) {
			figures := ""
			for _, before := range []string{"limit kept", "new limit", "pace"} {
				m := newUsedModel(d, processes, seed)
				m.begin(before)
				m.run(0, 4000)
				figures += fmt.Sprintf("%s: peak after %d ms, %.0f%% of 3 s, overrun %d, refused %d; ", before, m.peakTime(),
					100*float64(m.goodput(0, 3000))*float64(d.cold)/(3000*modelSlots), m.overrun(int(maxReturn)), m.result.refused)
				if before == "pace" {
					known := fullKnowledge(d, seed)
					figures += fmt.Sprintf("full knowledge: peak after %d ms", known)
					require.LessOrEqual(t, m.peakTime(), known+reachTime)
				}
			}
			t.Log(figures)
		})
	}
}

// requireNoOverrun checks that a returned database is not overloaded: at most a
// slot's queue waits there until the return ends.
func requireNoOverrun(t *testing.T, processes int, seeds uint64) {
	forEachReturn(t, processes, seeds, func(t *testing.T, d modelDatabase, seed uint64) {
		m := newUsedModel(d, processes, seed)
		m.answer()
		m.run(0, clock.Time(maxReturn))
		require.LessOrEqual(t, m.overrun(int(maxReturn)), maxOverrun)
	})
}

func TestNoOverrunByOneProcess(t *testing.T)   { requireNoOverrun(t, 1, 20) }
func TestNoOverrunBy15Processes(t *testing.T)  { requireNoOverrun(t, 15, 20) }
func TestNoOverrunBy300Processes(t *testing.T) { requireNoOverrun(t, 300, 3) }

// The database must not refuse more than with limits that begin anew, with which
// each process may send two requests at once.
func TestFewerRefusalsThanWithNewLimits(t *testing.T) {
	for _, processes := range []int{15, 300} {
		forEachReturn(t, processes, 3, func(t *testing.T, d modelDatabase, seed uint64) {
			var refused [2]int
			for i, before := range []string{"new limit", "pace"} {
				m := newUsedModel(d, processes, seed)
				m.begin(before)
				m.run(0, clock.Time(maxReturn))
				refused[i] = m.result.refused
			}
			require.LessOrEqual(t, refused[1], refused[0])
		})
	}
}

// requirePeakOfVarying checks the time of the peak at a database whose service
// times vary by 0.84 of them: by chance, a few slow ones look like a queue.
func requirePeakOfVarying(t *testing.T, cold clock.Duration) {
	d := modelDatabase{"varying", 18, cold, 0.84}
	for _, processes := range []int{1, 15} {
		for seed := range uint64(10) {
			m := newUsedModel(d, processes, seed)
			m.answer()
			m.run(0, 3000)
			t.Logf("%d processes, seed %d: peak after %d ms, %.0f%% of 3 s", processes, seed, m.peakTime(),
				100*float64(m.goodput(0, 3000))*float64(cold)/(3000*modelSlots))
			require.LessOrEqual(t, m.peakTime(), fullKnowledge(d, seed)+reachTime, "%d processes, seed %d", processes, seed)
		}
	}
}

func TestPeakWithVaryingServiceTimes(t *testing.T)       { requirePeakOfVarying(t, 18) }
func TestPeakOfColdWithVaryingServiceTimes(t *testing.T) { requirePeakOfVarying(t, 29) }

// A database that fails again while it is probed is probed anew, with the hints
// from before the first failure.
func TestPeakIsReachedAfterSecondFailure(t *testing.T) {
	for _, processes := range []int{1, 15, 300} {
		forEachReturn(t, processes, 3, func(t *testing.T, d modelDatabase, seed uint64) {
			m := newUsedModel(d, processes, seed)
			m.answer()
			m.run(0, 500)
			m.fail()
			m.now += 500
			m.answer()
			m.run(0, 3000)
			require.LessOrEqual(t, m.peakTime(), fullKnowledge(d, seed)+reachTime)
		})
	}
}

// The first requests of many processes must not arrive together.
func TestFirstLimitsOfManyProcesses(t *testing.T) {
	m := newUsedModel(modelDatabases[1], 300, 1)
	m.answer()
	sum, paused := 0.0, 0
	for i := range m.processes {
		p := &m.processes[i]
		sum += p.pace.limit
		if p.pausedTo > m.now {
			paused++
		}
	}
	t.Logf("sum of limits %.1f, %d of 300 processes wait", sum, paused)
	require.Less(t, sum, 300.0)
	require.Greater(t, paused, 300-modelSlots-maxOverrun)
}

// A process that has just started knows nothing of a database that others may
// have used for long, and must not wait longer than without probing.
func TestNoPauseWithoutHint(t *testing.T) {
	var p Pace
	require.Zero(t, p.Return(1000, PaceHint{}))
	require.Equal(t, PaceSteady, p.state)
	require.Equal(t, initialLimit, p.limit)
}

// A single broken connection is no outage of the database.
func TestOneFailureIsNoOutage(t *testing.T) {
	p := Pace{limit: 7}
	p.Fail()
	require.Zero(t, p.Answer(1000))
	p.Fail()
	require.Zero(t, p.Answer(1000))
	require.Equal(t, PaceSteady, p.state)
	require.Equal(t, 7.0, p.limit)
}

// A returned database is in the end treated like any other, and no process stays
// below one request.
func TestReturnEnds(t *testing.T) {
	m := newUsedModel(modelDatabases[1], 15, 1)
	m.answer()
	m.run(0, 6000)
	for i := range m.processes {
		require.Equal(t, PaceSteady, m.processes[i].pace.state)
		require.GreaterOrEqual(t, m.processes[i].pace.limit, 1.0)
	}
}

// Callers must be served after a return as without probing if the database can
// run what they send: at 90% after the time in which the peak must be reached.
func TestServedBelowCapacityAfterReturn(t *testing.T) {
	for _, processes := range []int{1, 15, 300} {
		for _, load := range []float64{0.2, 0.5, 0.8} {
			t.Run(fmt.Sprintf("%d processes/load %.1f", processes, load), func(t *testing.T) {
				t.Parallel()
				var first, later [2]int
				for i, before := range []string{"new limit", "pace"} {
					for seed := range uint64(5) {
						m := newUsedModel(modelDatabases[1], processes, seed)
						m.load = load
						m.begin(before)
						m.run(0, 3000)
						first[i] += m.goodput(0, reachTime)
						later[i] += m.goodput(reachTime, 3000)
					}
				}
				t.Logf("served in the first second: %d, %d without probing; in the next two: %d, %d without probing",
					first[1], first[0], later[1], later[0])
				require.GreaterOrEqual(t, float64(later[1]), peakPart*float64(later[0]))
			})
		}
	}
}
