package group

import (
	"encoding/json"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// claimTTL is how long the holder of a claim may act on it, counted from
	// when it sent the request for the claim.
	claimTTL = 3 * clock.Second
	// takeoverDelay is how much longer other proxies wait before they take over
	// an open claim: by then, every command that the holder sent in time has
	// arrived or failed.
	takeoverDelay = 1500 * clock.Millisecond
	// holderReclaimDelay is how long the proxy that promoted a new primary
	// waits before it may claim again, so that the new primary becomes known
	// first.
	holderReclaimDelay = 800 * clock.Millisecond
	// otherReclaimDelay is how long other proxies wait after a holder has
	// promoted a primary, so that two holders do not send commands in
	// alternation.
	otherReclaimDelay = 3300 * clock.Millisecond
	// voteTTL is how long another proxy's vote counts.
	voteTTL = 2500 * clock.Millisecond
)

// Claim is the stored row that names the proxy that may replace a group's
// primary. The row's version is the fencing token of the commands that the
// holder sends.
type Claim struct {
	Holder string `json:"holder"`
	// Nonce distinguishes the holder's claims from each other.
	Nonce uint64 `json:"nonce"`
	// Open is set until the holder closes the claim.
	Open bool `json:"open"`
	// Promoted and Term are the new primary and its term, set when the claim is
	// closed after a promotion.
	Promoted string `json:"promoted,omitempty"`
	Term     uint64 `json:"term,omitempty"`
}

// Vote is the stored row in which a proxy reports that it suspects a primary.
type Vote struct {
	Primary string `json:"primary"`
	Term    uint64 `json:"term"`
}

// Agreement tracks the claim and the votes that the proxies have stored for one
// group.
type Agreement struct {
	claim   Claim
	version uint64
	seenAt  clock.Time
	votes   map[string]observedVote
}

type observedVote struct {
	Vote
	version uint64
	seenAt  clock.Time
}

// NewAgreement returns an Agreement without a claim or votes.
func NewAgreement() *Agreement { return &Agreement{votes: make(map[string]observedVote)} }

// ObserveClaim records the claim's row unless a version at least as new is
// known. It returns an error if the row cannot be decoded.
func (a *Agreement) ObserveClaim(now clock.Time, value []byte, version uint64) error {
	if version <= a.version {
		return nil
	}
	var c Claim
	if err := json.Unmarshal(value, &c); err != nil {
		return err
	}
	a.claim, a.version, a.seenAt = c, version, now
	return nil
}

// ObserveVote records a proxy's vote unless a version at least as new is known.
// It returns an error if the row cannot be decoded.
func (a *Agreement) ObserveVote(now clock.Time, from string, value []byte, version uint64) error {
	if version <= a.votes[from].version {
		return nil
	}
	var v Vote
	if err := json.Unmarshal(value, &v); err != nil {
		return err
	}
	a.votes[from] = observedVote{Vote: v, version: version, seenAt: now}
	return nil
}

// Claimable returns the version that the claim's row must have for a new claim
// to succeed, zero for no row, and whether self may attempt a claim now. It may
// not as long as a holder can still act on its claim, or some proxies may not
// know the primary that the last holder promoted.
func (a *Agreement) Claimable(now clock.Time, self string) (uint64, bool) {
	delay := clock.Duration(0)
	switch {
	case a.claim.Open:
		delay = claimTTL + takeoverDelay
	case a.claim.Promoted != "" && a.claim.Holder == self:
		delay = holderReclaimDelay
	case a.claim.Promoted != "":
		delay = otherReclaimDelay
	}
	return a.version, a.version == 0 || now.Sub(a.seenAt) >= delay
}

// Agrees reports whether a vote equal to v was received from a proxy other than
// self within the last voteTTL.
func (a *Agreement) Agrees(now clock.Time, self string, v Vote) bool {
	for from, other := range a.votes {
		if from != self && other.Vote == v && now.Sub(other.seenAt) < voteTTL {
			return true
		}
	}
	return false
}

// Lease is a claim that this process holds.
type Lease struct {
	Token uint64
	// Until is when the holder must stop acting on the claim.
	Until clock.Time
}

// NewLease returns the lease of a claim that was requested at askedAt.
func NewLease(token uint64, askedAt clock.Time) Lease {
	return Lease{Token: token, Until: askedAt.Add(claimTTL)}
}
