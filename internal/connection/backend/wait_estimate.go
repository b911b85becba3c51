package backend

import "github.com/oleanderflow/oleanderflow/pkg/clock"

const (
	// estimateWeight is the weight of a new measurement in the smoothed values.
	estimateWeight = 0.1
	// minMeasurements is how many measurements an estimate needs. The mean of
	// fewer differs too much from one moment to the next to refuse requests by.
	minMeasurements = 10
	// estimateMemory is how long measurements count. A database that was slow
	// during a failure may be fast when the next queue forms.
	estimateMemory = 5 * clock.Second
)

// waitEstimate estimates how long requests wait for a slot, from the time
// between the slots that became free while requests waited. This is the time
// between completions, without those after which no slot was free for new work,
// because a statement of an open transaction had taken it or the limit had
// fallen.
type waitEstimate struct {
	between    smoothed
	measuredAt clock.Time
	// grantedAt is when a waiting request last got a slot, or when the queue
	// began. It is zero while no request waits.
	grantedAt clock.Time
	took      smoothed
	// deviation is the smoothed deviation of took.
	deviation float64
}

// smoothed is a mean of measurements in ms, in which late ones weigh more.
type smoothed struct {
	mean float64
	n    int
}

func (m *smoothed) observe(v float64) {
	m.n = min(m.n+1, 1/estimateWeight)
	m.mean += (v - m.mean) / float64(m.n)
}

// begin records that requests wait from now on.
func (e *waitEstimate) begin(now clock.Time) {
	if e.between.n > 0 && now.Sub(e.measuredAt) > estimateMemory {
		e.between = smoothed{}
	}
	e.grantedAt = now
}

// end records that no request waits.
func (e *waitEstimate) end() { e.grantedAt = 0 }

// granted records that a waiting request gets a slot.
func (e *waitEstimate) granted(now clock.Time) {
	e.between.observe(float64(now.Sub(e.grantedAt)))
	e.grantedAt, e.measuredAt = now, now
}

// served records that a request was answered.
func (e *waitEstimate) served(_ clock.Time, took clock.Duration) {
	e.took.observe(float64(took))
	diff := float64(took) - e.took.mean
	e.deviation += estimateWeight * (max(diff, -diff) - e.deviation)
}

// interval returns the expected time between two slots in ms, and whether it and
// the service time are measured. A wait that already takes longer than usual is
// part of it.
func (e *waitEstimate) interval(now clock.Time) (float64, bool) {
	interval := e.between.mean
	if e.grantedAt != 0 {
		if waited := float64(now.Sub(e.grantedAt)); waited > interval {
			interval += estimateWeight * (waited - interval)
		}
	}
	return interval, e.between.n >= minMeasurements && e.took.n >= minMeasurements
}

// wait returns the expected wait of a request with the given number of requests
// before it.
func (e *waitEstimate) wait(now clock.Time, before int) clock.Duration {
	interval, _ := e.interval(now)
	if e.between.n == 0 {
		interval = defaultLatency
	}
	return max(clock.Duration(interval*float64(before+1)), 1)
}

// service returns the expected time from a slot to the answer, zero if it is not
// measured.
func (e *waitEstimate) service() clock.Duration {
	if e.took.n < minMeasurements {
		return 0
	}
	return clock.Duration(e.took.mean)
}

// longService is the time within which nearly all requests are answered: in a normal
// distribution, three mean deviations above the mean cover 99%. At 4 times the load,
// urgent requests get their slot just before they count as late; with two mean
// deviations, 5% of them were late then.
func (e *waitEstimate) longService() clock.Duration {
	if e.took.n < minMeasurements {
		return 0
	}
	return clock.Duration(e.took.mean + 3*e.deviation)
}
