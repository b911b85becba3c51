package backend

import (
	"math"
	"sync"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// trackerWeight is the weight of a new measurement in the smoothed values.
	trackerWeight = 0.15
	// defaultLatency is assumed for a peer that has not answered yet, in ms.
	defaultLatency = 20.0
	// latencyDecay is the time in which the part of an unused peer's expected
	// latency that exceeds defaultLatency falls to about a third (1/e).
	latencyDecay = 4 * clock.Second
)

// LatencyTracker tracks how fast its peer, a database or another proxy, has
// recently answered.
type LatencyTracker struct {
	mu sync.Mutex
	// latency is the smoothed latency, and deviation the smoothed deviation
	// from it, in ms.
	latency   float64
	deviation float64
	// observedAt is when the last measurement was recorded, zero if none was.
	observedAt clock.Time
	inFlight   int
	// silentSince is when the peer was sent the first request that it has not
	// answered since its last answer, zero if it owes none.
	silentSince clock.Time
	// abandonedAt is when a request was last abandoned, zero if none was.
	abandonedAt clock.Time
	avoidUntil  clock.Time
	// laggingUntil is until when the database is considered too far behind.
	laggingUntil clock.Time
	// misses counts the requests that were abandoned since the last answer,
	// except those abandoned while the peer was avoided already.
	misses int
	// tokens is the budget for requests that are abandoned before their
	// deadline.
	tokens float64
}

const (
	// tokensPerAnswer is how many requests may be abandoned early and sent
	// elsewhere for each answered one. With a larger value, the repeated
	// requests would add to an overload.
	tokensPerAnswer = 0.1
	// maxMisses bounds misses, and with it how often the time for which an
	// unresponsive peer is avoided doubles.
	maxMisses = 4
	// maxTokens bounds how many requests may be abandoned in a row.
	maxTokens = 5
	// silenceMemory is how long after a request was abandoned its missing answer
	// still counts as silence of a peer that was idle since.
	silenceMemory = 4 * clock.Second
)

// NewLatencyTracker returns a tracker without measurements. It allows one
// request to be abandoned early before the peer has answered any.
func NewLatencyTracker() *LatencyTracker { return &LatencyTracker{tokens: 1} }

// Begin records that a request is sent.
func (t *LatencyTracker) Begin(now clock.Time) {
	t.mu.Lock()
	t.inFlight++
	if t.silentSince == 0 || t.inFlight == 1 && now.Sub(t.abandonedAt) >= silenceMemory {
		t.silentSince = now
	}
	t.mu.Unlock()
}

// End records the latency of an answered request.
func (t *LatencyTracker) End(now clock.Time, took clock.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.silentSince = 0
	if t.inFlight > 0 {
		t.silentSince = now
	}
	t.tokens = min(t.tokens+tokensPerAnswer, maxTokens)
	t.misses = 0
	t.observeLocked(now, float64(took))
}

// Abandon records that a request was abandoned without an answer after waited,
// and avoids the peer for at least avoid, which doubles with each further miss,
// up to a bound. It records 2*waited as a latency, unless waited is zero.
func (t *LatencyTracker) Abandon(now clock.Time, waited, avoid clock.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.abandonedAt = now
	t.tokens = max(t.tokens-1, 0)
	if waited > 0 {
		t.observeLocked(now, float64(2*waited))
	}
	if now >= t.avoidUntil {
		t.misses = min(t.misses+1, maxMisses)
	}
	t.avoidUntil = max(t.avoidUntil, now.Add(avoid<<max(t.misses-1, 0)))
}

// Avoid keeps requests that can be sent elsewhere away from the peer until the
// given time.
func (t *LatencyTracker) Avoid(until clock.Time) {
	t.mu.Lock()
	t.avoidUntil = max(t.avoidUntil, until)
	t.mu.Unlock()
}

// MarkLagging records that the database lags so far behind what reads need that
// it should not be asked before the given time.
func (t *LatencyTracker) MarkLagging(until clock.Time) {
	t.mu.Lock()
	t.laggingUntil = max(t.laggingUntil, until)
	t.mu.Unlock()
}

// IsLagging reports whether the database is considered too far behind.
func (t *LatencyTracker) IsLagging(now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now < t.laggingUntil
}

func (t *LatencyTracker) observeLocked(now clock.Time, took float64) {
	if t.observedAt == 0 {
		t.latency, t.deviation = took, took/2
	} else {
		diff := took - t.latency
		t.latency += trackerWeight * diff
		t.deviation += trackerWeight * (max(diff, -diff) - t.deviation)
	}
	t.observedAt = now
}

// ExpectedLatency returns how long a request sent now to a peer with the given
// number of slots is expected to take, in ms, and whether the peer should be
// avoided.
func (t *LatencyTracker) ExpectedLatency(now clock.Time, slots int) (float64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	latency := t.latency
	switch {
	case t.observedAt == 0:
		latency = defaultLatency
	case latency > defaultLatency:
		latency = defaultLatency + (latency-defaultLatency)*math.Exp(-float64(now.Sub(t.observedAt))/float64(latencyDecay))
	}
	return latency * (1 + float64(t.inFlight)/float64(max(slots, 1))), now < t.avoidUntil
}

// AttemptTimeout returns how long to wait for an answer before a request that
// can safely be repeated is sent elsewhere. It returns maxTimeout while the
// budget for abandoned requests is used up. Before the first measurement it
// returns twice minTimeout, but at most maxTimeout.
func (t *LatencyTracker) AttemptTimeout(minTimeout, maxTimeout clock.Duration) clock.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tokens < 1 {
		return maxTimeout
	}
	if t.observedAt == 0 {
		return min(2*minTimeout, maxTimeout)
	}
	return min(max(clock.Duration(t.latency+5*t.deviation), minTimeout), maxTimeout)
}

// Unresponsive reports whether a request is in flight and the peer has answered
// nothing for at least after, counted from the first request that it owes an
// answer to, abandoned ones included.
func (t *LatencyTracker) Unresponsive(now clock.Time, after clock.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight > 0 && now.Sub(t.silentSince) >= after
}
