package workspace

import "github.com/oleanderflow/oleanderflow/pkg/clock"

// proofs tells until when this proxy is known to have heard of the store. An accountant
// that holds back must not begin to grant on the ground of members that it has not heard
// of for longer than SpreadTime: meanwhile the store may have gone back to an older copy,
// and others may have another accountant.
type proofs struct {
	// used is set if there are proofs. latest is the time that the latest one is of.
	used   bool
	latest clock.Time
	// gapFrom and gapUntil bound the last time in which the latest proof was older than
	// SpreadTime.
	gapFrom, gapUntil clock.Time
}

// add takes in that the proxy has heard of the store at the time at.
func (p *proofs) add(now, at clock.Time) {
	if stale := p.latest.Add(SpreadTime); p.used && at > p.latest && stale < now {
		p.gapFrom, p.gapUntil = stale, now
	}
	p.used, p.latest = true, max(p.latest, at)
}

// endOfHold returns when an accountant that holds back until a time may begin to grant. That
// is later if it has not heard of the store shortly before.
func (p *proofs) endOfHold(now, until clock.Time) clock.Time {
	switch {
	case !p.used || now < until:
		return until
	case p.latest.Add(SpreadTime) < until:
		return now.Add(2 * SpreadTime)
	case p.gapFrom < until && until < p.gapUntil:
		return p.gapUntil
	}
	return until
}

// SetProof records that this proxy's configuration is proved to have been the newest at the
// time at. It is called often. Without proofs an accountant grants once its hold has ended.
func (a *Accountant) SetProof(now, at clock.Time) { a.proofs.add(now, at) }
