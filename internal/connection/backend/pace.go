package backend

import (
	"math"
	"sync"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// paceWeight is the share of a new measurement in the smoothed ones.
	paceWeight = 0.15
	// firstPace is assumed of a database that has not answered yet, in ms.
	firstPace = 20.0
	// forgetting is the time in which what a slow peer is expected to take
	// beyond firstPace falls to a third while it is not used.
	forgetting = 4 * clock.Second
)

// LatencyTracker is how fast a database has answered of late.
type LatencyTracker struct {
	mu        sync.Mutex
	latency   float64
	deviation float64
	at        clock.Time
	inFlight  int
	// busySince is when the first of the requests in flight was sent.
	busySince clock.Time
	avoidTill clock.Time
	// behindTill is until when the database is taken for too far behind.
	behindTill clock.Time
	// misses counts the requests that were abandoned since the last answer.
	misses int
	// tokens allow requests to be given up before their time is over.
	tokens float64
}

const (
	// tokenShare is the part of the answered requests that may be given up
	// early and sent elsewhere. More would add to an overload what is given up.
	tokenShare = 0.1
	// maxMisses bounds how often the time for which a silent peer is avoided
	// doubles.
	maxMisses = 4
	// maxTokens bounds how many may be given up at once.
	maxTokens = 5
)

// NewLatencyTracker returns a pace of which nothing is known. Each peer that is not
// known to be slow may be given up early once.
func NewLatencyTracker() *LatencyTracker { return &LatencyTracker{tokens: 1} }

// Begin counts a request that is sent.
func (p *LatencyTracker) Begin(now clock.Time) {
	p.mu.Lock()
	if p.inFlight++; p.inFlight == 1 {
		p.busySince = now
	}
	p.mu.Unlock()
}

// End takes in the latency of a request that was answered.
func (p *LatencyTracker) End(now clock.Time, took clock.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	p.tokens = min(p.tokens+tokenShare, maxTokens)
	p.misses = 0
	p.observe(now, float64(took))
}

// Abandon counts a request that was not answered after a time.
func (p *LatencyTracker) Abandon(now clock.Time, after, avoid clock.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	p.tokens = max(p.tokens-1, 0)
	if after > 0 {
		p.observe(now, float64(2*after))
	}
	if now >= p.avoidTill {
		p.misses = min(p.misses+1, maxMisses)
	}
	p.avoidTill = max(p.avoidTill, now.Add(avoid<<max(p.misses-1, 0)))
}

// Avoid keeps requests that can go elsewhere away for a time.
func (p *LatencyTracker) Avoid(till clock.Time) {
	p.mu.Lock()
	p.avoidTill = max(p.avoidTill, till)
	p.mu.Unlock()
}

// MarkLagging tells that the database lacks what reads need, by so much that it
// need not be asked for a time.
func (p *LatencyTracker) MarkLagging(till clock.Time) {
	p.mu.Lock()
	p.behindTill = max(p.behindTill, till)
	p.mu.Unlock()
}

// IsLagging reports whether the database is taken for too far behind.
func (p *LatencyTracker) IsLagging(now clock.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now < p.behindTill
}

func (p *LatencyTracker) observe(now clock.Time, took float64) {
	if p.at == 0 {
		p.latency, p.deviation = took, took/2
	} else {
		diff := took - p.latency
		p.latency += paceWeight * diff
		p.deviation += paceWeight * (max(diff, -diff) - p.deviation)
	}
	p.at = now
}

// ExpectedLatency returns how long a request sent now is expected to take, in ms,
// and whether the database is to be avoided.
func (p *LatencyTracker) ExpectedLatency(now clock.Time, slots int) (float64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	latency := p.latency
	switch {
	case p.at == 0:
		latency = firstPace
	case latency > firstPace:
		latency = firstPace + (latency-firstPace)*math.Exp(-float64(now.Sub(p.at))/float64(forgetting))
	}
	return latency * (1 + float64(p.inFlight)/float64(max(slots, 1))), now < p.avoidTill
}

// AttemptTimeout returns how long to wait for an answer before the request, which
// can be sent twice, is tried elsewhere. It returns most while too many were
// given up, and twice the least while nothing is known of the pace.
func (p *LatencyTracker) AttemptTimeout(least, most clock.Duration) clock.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tokens < 1 {
		return most
	}
	if p.at == 0 {
		return min(2*least, most)
	}
	return min(max(clock.Duration(p.latency+5*p.deviation), least), most)
}

// Unresponsive reports whether requests have been in flight for a time in which
// none was answered.
func (p *LatencyTracker) Unresponsive(now clock.Time, after clock.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight > 0 && now.Sub(max(p.at, p.busySince)) >= after
}
