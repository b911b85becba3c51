package backend

import (
	"math"
	"math/rand/v2"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// firstShare multiplies a process's usual use of a database and gives its first
	// limit after the return. With 1, 15 processes that send 80% of what the
	// database can run served 13% less in the first second than without probing;
	// with 2, 5%.
	firstShare = 2.0
	// minFirstLimit is the first limit of a process that has hardly used the
	// database. With a lower one, its first request could wait for seconds.
	minFirstLimit = 1.0 / 64
	// backlogPeriod is how long after a return the requests arrive that waited for
	// it. A process that gets none in it does not wait any longer. Without this
	// rule, 300 processes that send half of what the database can run lost 57% of
	// their requests in the first second.
	backlogPeriod = 100 * clock.Millisecond
	// minFailures is how many attempts in a row must fail before the next answer
	// counts as a return. A single one may be due to a broken connection.
	minFailures = 2
	// queueRatio is the ratio of the latency in a round to the baseline above
	// which requests queue at the database. With 1.5, a single process made up to
	// 10 requests wait at 4 slots, with 1.25 up to 8.
	queueRatio = 1.25
	// queueDeviations is how many average deviations the latency in a round must
	// exceed the baseline by, too. Without it, a single process got 36% of what a
	// database with service times of 3 to 34 ms at random can run.
	queueDeviations = 2.0
	// typicalWeight is the weight of an answer in the typical latency, which
	// counts as the baseline up to maxTypicalRatio times the lowest smoothed
	// latency. Above that, requests queued before the return, too.
	typicalWeight   = 0.02
	maxTypicalRatio = 1.5
	// minRound is the least number of answers in a round while the limit is 1 or
	// more.
	minRound = 2
	// coldRatio is the ratio of latency to the baseline before the return above
	// which the limit grows only by slowIncrease in each round. The database may
	// be very cold, or requests may have queued there from the first one on.
	coldRatio = 2.0
	// slowIncrease is the part by which the limit then grows in each round, and the
	// most by which a limit below 1 grows after the probing.
	slowIncrease = 0.25
	// fractionIncrease is the part by which a limit below 1 grows with an answer
	// during the probing, by minIncrease at least. Several processes that double
	// it overload the database before one of them sees a queue. Without
	// minIncrease, 300 processes that send 80% of what the database can run
	// served 16% less in the second and third second than without probing.
	fractionIncrease = 0.5
	minIncrease      = 0.1
	// targetRatio is the ratio of latency to the baseline at which a limit below 1
	// stays as it is after the probing.
	targetRatio = 1.4
	// probingDecrease multiplies the limit, or its used part, at the end of the
	// probing.
	probingDecrease = 0.5
	// maxReturn bounds the time after which a returned database is treated like
	// any other.
	maxReturn = 3 * clock.Second
	// usePeriod is the time over which the use of a database is averaged.
	usePeriod = 10 * clock.Second
	// minUseWeight bounds the correction of an average over less than usePeriod.
	minUseWeight = 0.1
)

// PaceState tells how the limit changes.
type PaceState uint8

// States of a database.
const (
	// PaceSteady is the state of a database that has been in use.
	PaceSteady PaceState = iota
	// PaceUnreachable follows several failed attempts. The limit stays as it is.
	PaceUnreachable
	// PaceProbing doubles the limit until requests queue at the database.
	PaceProbing
	// PaceIncreasing increases the limit by small steps after the probing. It
	// may be below 1.
	PaceIncreasing
)

func (s PaceState) String() string {
	switch s {
	case PaceUnreachable:
		return "unreachable"
	case PaceProbing:
		return "probing"
	case PaceIncreasing:
		return "increasing"
	default:
		return "steady"
	}
}

// Pace decides how many requests a process may have in flight at one database.
// It is designed for 1 to 300 processes that share a database with a few slots
// and tell each other nothing. In PaceSteady, the limit falls when the database
// refuses requests or its latency rises, and grows with answers while it is
// used. A database that returns is probed first. The limit may then be below 1:
// one request may be in flight for that part of the time, on average. The zero
// value is ready for use.
type Pace struct {
	state PaceState
	// limit is zero before the first request.
	limit              float64
	refusalDecreasedAt clock.Time
	latencyDecreasedAt clock.Time
	// latency is the smoothed latency, and baseline the estimated latency
	// without queueing at the database, in ms.
	latency, baseline float64
	// typical is the average latency while the database was steady, and deviation
	// the average deviation from it, in ms. baseline is lower where service times
	// vary.
	typical, deviation float64
	// use is the average number of requests in flight while the database was
	// steady, until usedAt. It is a hint of this process's share of what the
	// database can run.
	use    float64
	usedAt clock.Time
	// usedSince is when the first request ended.
	usedSince clock.Time
	// failures counts the failed attempts since the last answer.
	failures int
	// returnedAt is when the probing began, and earlierBaseline the baseline
	// before it, zero if there was none.
	returnedAt      clock.Time
	earlierBaseline float64
	// spread is the deviation of the latency before the return, in ms.
	spread float64
	// A round ends with as many answers to requests sent since roundFrom as the
	// limit.
	roundFrom    clock.Time
	roundAnswers int
	roundTime    float64
	roundUsed    float64
	// shared is used where workspaces are declared.
	shared sharedPace
	// random replaces rand.Float64 in tests.
	random func() float64
}

// PaceHint is what a process knows of a database from before its return.
type PaceHint struct {
	// Baseline is the latency without queueing, in ms, zero if unknown.
	Baseline float64
	// Deviation is the average deviation of a single latency, in ms.
	Deviation float64
	// Use is the average number of requests in flight.
	Use float64
}

// Hint returns what is known for the next return of the database.
func (p *Pace) Hint(now clock.Time) PaceHint {
	h := PaceHint{Baseline: min(p.typical, maxTypicalRatio*p.baseline), Use: p.use}
	h.Deviation = min(p.deviation, h.Baseline/2)
	if p.returnedAt != 0 && now.Sub(p.returnedAt) < maxReturn && p.earlierBaseline > 0 {
		h.Baseline, h.Deviation = p.earlierBaseline, p.spread
	}
	if p.state == PaceSteady {
		h.Use *= decay(p.usedAt, now)
	}
	// The average of a short time lacks its part before that time.
	if p.usedSince != 0 {
		h.Use /= max(1-decay(p.usedSince, now), minUseWeight)
	}
	return h
}

func decay(from, to clock.Time) float64 {
	return math.Exp(-float64(max(to.Sub(from), 0)) / float64(usePeriod))
}

// Begin sets the limit before the first request.
func (p *Pace) Begin() {
	if p.limit == 0 {
		p.limit = initialLimit
	}
}

// Allows reports whether new work may be sent while used requests are in
// flight, apart from any pause.
func (p *Pace) Allows(used int) bool {
	if p.shared.on && p.limit > 1 && p.limit < 2 {
		return used == 0 || used == 1 && p.shared.dither < p.limit-1
	}
	return float64(used) < max(p.limit, 1)
}

// Saturated reports whether used requests in flight leave no room for others.
func (p *Pace) Saturated(used int) bool {
	return used > 0 && p.limit > 0 && float64(used) >= p.limit
}

// RecentlyRefused reports whether the database has recently refused requests.
func (p *Pace) RecentlyRefused(now clock.Time) bool {
	return p.refusalDecreasedAt != 0 && now.Sub(p.refusalDecreasedAt) < stableAfter
}

// Return begins the probing of a database that has started, recovered, been
// promoted or returned from a drain. It returns for how long no new work may be
// sent. This time ends after backlogPeriod if there has been no new work by then.
//
// The first limit is the process's usual use. All processes together then send as
// much as the database ran before, however many they are. A process without a
// hint gets the usual initial limit: it cannot tell what its share is, and a low
// limit would only delay its callers.
func (p *Pace) Return(now clock.Time, h PaceHint) clock.Duration {
	p.failures = 0
	p.use, p.usedAt, p.usedSince = h.Use, now, now-clock.Time(10*usePeriod)
	if h == (PaceHint{}) {
		p.state, p.limit = PaceSteady, initialLimit
		p.usedSince = 0
		return 0
	}
	p.earlierBaseline, p.spread, p.returnedAt = h.Baseline, h.Deviation, now
	p.latency, p.baseline = 0, 0
	p.refusalDecreasedAt, p.latencyDecreasedAt = 0, 0
	p.state = PaceProbing
	p.beginRound(now)
	p.limit = min(max(h.Use*firstShare, minFirstLimit), initialLimit)
	if p.float() < p.limit {
		return 0
	}
	roundTrip := h.Baseline
	if roundTrip == 0 {
		roundTrip = defaultLatency
	}
	return p.pause(roundTrip)
}

// pause returns how long no new work may be sent so that a request that takes
// roundTrip is in flight for a part of the time that is the limit. The time is
// random, so that processes do not send together.
func (p *Pace) pause(roundTrip float64) clock.Duration {
	if p.limit >= 1 {
		return 0
	}
	mean := roundTrip * (1/p.limit - 1)
	return clock.Duration(math.Ceil(-math.Log(1-p.float()) * mean))
}

// Fail records a failed attempt to reach the database.
func (p *Pace) Fail() {
	if p.failures++; p.failures >= minFailures {
		p.state = PaceUnreachable
	}
}

// Answer records that the database has answered, and returns for how long no
// new work may be sent.
func (p *Pace) Answer(now clock.Time) clock.Duration {
	if p.state == PaceUnreachable {
		return p.Return(now, p.Hint(now))
	}
	p.failures = 0
	return 0
}

// End records the end of a request that took the given time while used requests
// were in flight, and whether the database refused it because of load. It
// returns for how long no new work may be sent.
func (p *Pace) End(now clock.Time, took clock.Duration, used int, busy bool) clock.Duration {
	if p.state == PaceSteady || p.state == PaceUnreachable {
		p.observe(float64(took), busy)
		p.recordUse(now, float64(took))
		if p.shared.target > 0 {
			return p.adjustShared(now, float64(took), float64(used), busy)
		}
		p.adjust(now, float64(used), busy)
		return 0
	}
	p.probe(now, float64(took), float64(used), busy)
	if now.Sub(p.returnedAt) >= maxReturn {
		p.state, p.limit, p.usedAt = PaceSteady, max(p.limit, 1), now
	}
	// A refusal takes less time than a request that is run.
	return p.pause(max(float64(took), p.baseline, p.earlierBaseline))
}

// probe changes the limit of a database that has returned: at once after a
// refusal, otherwise after each round.
func (p *Pace) probe(now clock.Time, took, used float64, busy bool) {
	if busy {
		if now.Sub(p.refusalDecreasedAt) >= decreaseInterval || p.refusalDecreasedAt == 0 {
			p.refusalDecreasedAt = now
			p.decrease(now, used, refusalDecrease)
		}
		return
	}
	if now.Add(-clock.Duration(took)) < p.roundFrom {
		return
	}
	p.roundAnswers++
	p.roundTime += took
	p.roundUsed = max(p.roundUsed, used)
	size := 1.0
	if p.limit >= 1 {
		size = max(math.Ceil(p.limit), minRound)
	}
	usual := max(p.baseline, p.earlierBaseline)
	// The average of a few answers may be high without a queue.
	most := usual + max((queueRatio-1)*usual, queueDeviations*p.spread/math.Sqrt(size))
	queued := p.baseline > 0 && p.roundTime > most*size
	if float64(p.roundAnswers) < size && !queued {
		return
	}
	answers := float64(p.roundAnswers)
	p.latency = p.roundTime / answers
	first := p.baseline == 0
	if first {
		p.baseline = p.latency
	}
	p.baseline = min(p.baseline, p.latency)
	cold := p.earlierBaseline > 0 && p.latency > coldRatio*p.earlierBaseline
	switch {
	case p.state == PaceIncreasing && p.limit < 1:
		factor := min(max(targetRatio*usual/p.latency, probingDecrease), 1+slowIncrease)
		p.limit = min(max(p.limit*factor, p.leastLimit()), 1)
	case queued:
		p.decrease(now, used, max(min(latencyDecrease, queueRatio*usual/p.latency), probingDecrease))
		return
	case p.roundUsed < p.limit*minUtilization:
	case p.state == PaceIncreasing:
		p.limit += limitIncrease * answers / p.limit * p.jitter()
	case cold && first && p.limit < 1:
		// The next answer tells whether requests of other processes queue.
	case cold:
		p.limit *= 1 + slowIncrease*p.jitter()
	case p.limit < 1:
		p.limit = min(p.limit+max(p.limit*fractionIncrease, minIncrease)*p.jitter(), 1)
	default:
		p.limit *= 1 + p.jitter()
	}
	p.limit = min(p.limit, maxLimit)
	p.beginRound(now)
}

// decrease ends the probing, or multiplies a later limit by factor.
func (p *Pace) decrease(now clock.Time, used, factor float64) {
	if p.state == PaceProbing {
		p.state, factor = PaceIncreasing, probingDecrease
	}
	p.limit = max(min(p.limit, used)*factor, p.leastLimit())
	p.beginRound(now)
}

// leastLimit is half of the usual use, which the database ran before: a sign of a
// queue may be due to a few slow requests.
func (p *Pace) leastLimit() float64 { return min(max(p.use/2, minFirstLimit), initialLimit) }

// beginRound makes the requests that are sent from now on decide about the next
// change.
func (p *Pace) beginRound(now clock.Time) {
	p.roundFrom, p.roundAnswers, p.roundTime, p.roundUsed = now, 0, 0, 0
}

// adjust changes the limit of a steady database after each answer.
func (p *Pace) adjust(now clock.Time, used float64, busy bool) {
	switch {
	case p.limit == 0:
		p.limit = initialLimit
	case !busy && p.latency > maxLatencyRatio*p.baseline:
		if now.Sub(p.latencyDecreasedAt) >= decreaseInterval {
			p.latencyDecreasedAt = now
			p.limit = max(min(p.limit, used)*latencyDecrease, 1)
		}
	case !busy && used < p.limit*minUtilization:
	case !busy:
		step := limitIncrease
		if now.Sub(max(p.refusalDecreasedAt, p.latencyDecreasedAt)) >= stableAfter {
			step = stableLimitIncrease
		}
		p.limit = min(p.limit+step/max(p.limit, 1), maxLimit)
	case now.Sub(p.refusalDecreasedAt) >= decreaseInterval || p.refusalDecreasedAt == 0:
		p.refusalDecreasedAt = now
		p.limit = max(min(p.limit, used)*refusalDecrease, 1)
	}
}

func (p *Pace) observe(took float64, busy bool) {
	if busy {
		return
	}
	if p.latency == 0 {
		// The first answer may itself have waited in a queue.
		p.latency, p.baseline = took, min(took, defaultLatency)
	}
	p.latency += latencyWeight * (took - p.latency)
	p.baseline = min(p.baseline, p.latency)
	p.baseline += baselineWeight * (p.latency - p.baseline)
	if p.typical == 0 {
		p.typical = took
	}
	if took <= maxLatencyRatio*p.baseline {
		p.typical += typicalWeight * (took - p.typical)
		p.deviation += typicalWeight * (math.Abs(took-p.typical) - p.deviation)
	}
}

// recordUse adds the time of a request to the average use. A request that timed
// out counts like a slow one.
func (p *Pace) recordUse(now clock.Time, took float64) {
	if p.state != PaceSteady {
		return
	}
	if p.usedSince == 0 {
		p.usedSince = now
	}
	if p.latency > 0 {
		took = min(took, p.baseline)
	}
	p.use = p.use*decay(p.usedAt, now) + took/float64(usePeriod)
	p.usedAt = now
}

// jitter returns a factor of 1 on average, which keeps processes from changing
// their limits together.
func (p *Pace) jitter() float64 { return 0.75 + p.float()/2 }

func (p *Pace) float() float64 {
	if p.random != nil {
		return p.random()
	}
	return rand.Float64()
}
