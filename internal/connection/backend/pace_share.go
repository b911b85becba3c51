package backend

import (
	"math"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// queueShare is the part of the shortest target latency that requests may spend at
	// the database, on average. Beyond, the order of service at the process has too
	// little effect: with 0.45, a sole process answered less than 95% of the peak at 4
	// times the load of a database with a service time of 9 ms.
	queueShare = 0.4
	// urgentShare is that part for requests of the most urgent class, which may exceed
	// the limit by one. As the limits of all processes follow queueShare, less urgent
	// requests of other processes give way. Without it, 15 processes answered 0.44 of
	// class 0 and 0.59 of class 1 in time at twice the load of a database with 18 ms.
	urgentShare = 0.65
	// slotRatio is how many requests all processes together may have in flight for each
	// slot, whatever the latency. With 1, slots are idle until the next request arrives;
	// the service time alone may exceed queueShare of the target latency.
	slotRatio = 1.75
	// sharedRound is the number of answers that decide about a change of a limit of 1
	// or more. The mean of fewer differs too much where service times vary.
	sharedRound = 8
	// minSharedFactor and maxSharedFactor bound the change of the limit by one round.
	minSharedFactor = 0.7
	maxSharedFactor = 1.25
	// recentWeight is the weight of an answer in the recent latency.
	recentWeight = 0.3
	// targetMemory is how long the target latency of a request counts.
	targetMemory = 5 * clock.Second
)

// sharedPace is the part of a Pace that decides where workspaces are declared. It
// keeps the latency at a steady database within a part of the shortest target latency
// of what arrives, so that requests wait at the process, where urgent ones overtake.
// It is designed for 1 to 15 processes with 4 slots. All see the same latency, and
// additive increase with multiplicative decrease makes their limits similar.
type sharedPace struct {
	on bool
	// slots is this process's part of the database's slots, zero if unknown.
	slots float64
	// target is the shortest target latency of the requests that have arrived within
	// targetMemory, and targetAt when the last one with it arrived.
	target   clock.Duration
	targetAt clock.Time
	// recent is the smoothed latency of the last few answers, in ms.
	recent float64
	// dither decides how a limit between 1 and 2 is rounded until the next answer.
	dither float64
}

// Arrive records that new work with the given target latency has arrived, under the
// policy ByShare if shared is set.
func (p *Pace) Arrive(now clock.Time, shared bool, target clock.Duration) {
	s := &p.shared
	if !shared {
		if s.on {
			p.limit, p.shared = max(p.limit, 1), sharedPace{slots: s.slots}
		}
		return
	}
	s.on = true
	if target > 0 && (s.target == 0 || target <= s.target || now.Sub(s.targetAt) > targetMemory) {
		s.target, s.targetAt = target, now
	}
}

// AllowsUrgent reports whether a request of the most urgent class may be sent although the
// limit is reached.
func (p *Pace) AllowsUrgent(used int) bool {
	s := &p.shared
	return s.on && p.state == PaceSteady && float64(used) < p.limit+1 && s.recent < urgentShare*float64(s.target)
}

// adjustShared changes the limit of a steady database after a refusal or a round of
// answers. It returns for how long no new work may be sent.
func (p *Pace) adjustShared(now clock.Time, took, used float64, busy bool) clock.Duration {
	s := &p.shared
	s.dither = p.float()
	switch {
	case busy && p.refusalDecreasedAt != 0 && now.Sub(p.refusalDecreasedAt) < decreaseInterval:
	case busy:
		p.refusalDecreasedAt = now
		p.limit = max(min(p.limit, used)*refusalDecrease, min(p.limit, 1))
		p.beginRound(now)
	default:
		p.countShared(now, took, used)
	}
	if p.limit >= 1 {
		return 0
	}
	return clock.Duration(s.recent * (1/p.limit - 1) * p.jitter())
}

// countShared adds an answer to the round, and changes the limit if the round has
// ended. A round ends early if its mean latency would be too high however fast the
// other answers were.
func (p *Pace) countShared(now clock.Time, took, used float64) {
	s := &p.shared
	if s.recent == 0 {
		s.recent = took
	}
	s.recent += recentWeight * (took - s.recent)
	if now.Add(-clock.Duration(took)) < p.roundFrom {
		return
	}
	p.roundAnswers++
	p.roundTime += took
	p.roundUsed = max(p.roundUsed, used)
	// Below 1, a round of sharedRound answers would take seconds.
	size := max(math.Ceil(p.limit), min(math.Ceil(sharedRound*p.limit), sharedRound))
	allowed := queueShare * float64(s.target)
	if float64(p.roundAnswers) < size && p.roundTime <= allowed*size {
		return
	}
	p.changeShared(now, p.roundTime/float64(p.roundAnswers), allowed)
	p.beginRound(now)
}

// changeShared changes the limit by the mean latency of a round and the allowed one.
func (p *Pace) changeShared(now clock.Time, latency, allowed float64) {
	least := p.leastShared()
	switch {
	case latency > allowed && p.limit > least:
		p.latencyDecreasedAt = now
		factor := max(minSharedFactor, min(allowed/latency, latencyDecrease))
		p.limit = max(p.limit*factor, least)
	case p.roundUsed < math.Floor(p.limit):
	case latency > allowed:
		p.limit = min(p.limit*maxSharedFactor, least)
	default:
		p.increaseShared(now)
	}
}

// leastShared returns the limit below which latency does not decrease it.
func (p *Pace) leastShared() float64 {
	if p.shared.slots == 0 {
		return 1
	}
	return min(p.shared.slots*slotRatio, maxLimit)
}

// increaseShared increases the limit by as much as in a deployment without workspaces,
// except that a round does not increase it by more than maxSharedFactor.
func (p *Pace) increaseShared(now clock.Time) {
	step := limitIncrease
	if now.Sub(max(p.refusalDecreasedAt, p.latencyDecreasedAt)) >= stableAfter {
		step = stableLimitIncrease
	}
	p.limit = min(p.limit+step*float64(p.roundAnswers)/p.limit, p.limit*maxSharedFactor, maxLimit)
}

// setSlots sets the number of the database's slots, zero if unknown, and the number of
// processes that share them.
func (p *Pace) setSlots(slots, processes int) {
	p.shared.slots = float64(slots) / float64(max(processes, 1))
}
