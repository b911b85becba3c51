package group

import (
	"encoding/json"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
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
	// PromotionEffectLimit is how long a promotion that was called for may take until the
	// database leads.
	PromotionEffectLimit = 4 * clock.Second
	// replacementLimit is how long after its first fence a replacement may still take
	// effect.
	replacementLimit = claimTTL + takeoverDelay + PromotionEffectLimit
	// voteTTL is how long another proxy's vote counts.
	voteTTL = 2500 * clock.Millisecond
)

// Claim is the stored row that names the proxy that may replace a group's
// primary. The fencing token of the holder's commands follows from the row's
// version.
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
	// Led is set if the holder has seen that the new primary leads. Otherwise the
	// promotion may yet take effect.
	Led bool `json:"led,omitempty"`
}

// Vote is the stored row in which a proxy reports that it suspects a primary.
type Vote struct {
	Primary string `json:"primary"`
	Term    uint64 `json:"term"`
}

// Agreement tracks the claim and the votes that the proxies have stored for one
// group in one era of the store.
type Agreement struct {
	// era is zero until the rows of an era have been read.
	era uint64
	// earlierClaimsUntil is how long claims of earlier eras may be in effect. The
	// store may have lost their rows.
	earlierClaimsUntil clock.Time
	claim              Claim
	version            store.Version
	seenAt             clock.Time
	votes              map[string]observedVote
}

type observedVote struct {
	Vote
	version store.Version
	seenAt  clock.Time
}

// NewAgreement returns an Agreement without a claim or votes, in which nothing can
// be claimed before BeginEra.
func NewAgreement() *Agreement { return &Agreement{votes: make(map[string]observedVote)} }

// BeginEra forgets the claim and the votes of earlier eras. learnedAt is when this
// process first heard of the era: claims of earlier ones were made before that.
func (a *Agreement) BeginEra(era uint64, learnedAt clock.Time) {
	if era <= a.era {
		return
	}
	*a = Agreement{era: era, votes: make(map[string]observedVote)}
	if era > store.FirstEra {
		a.earlierClaimsUntil = learnedAt.Add(claimTTL + takeoverDelay)
	}
}

// AwaitsEarlierClaims reports whether nothing but claims of earlier eras, which may be
// in effect, keeps the group from being claimed.
func (a *Agreement) AwaitsEarlierClaims(now clock.Time) bool {
	return a.era != 0 && a.version.Number == 0 && now < a.earlierClaimsUntil
}

// EndEarlierClaims records that no claim from before an era is in effect.
func (a *Agreement) EndEarlierClaims(era uint64) {
	if era == a.era {
		a.earlierClaimsUntil = 0
	}
}

// Era returns the era whose rows are tracked, zero if none have been read.
func (a *Agreement) Era() uint64 { return a.era }

// ObserveClaim records the claim's row unless it is of another era or a version at
// least as new is known. It returns an error if the row cannot be decoded.
func (a *Agreement) ObserveClaim(now clock.Time, value []byte, version store.Version) error {
	if version.Era != a.era || !a.version.Before(version) {
		return nil
	}
	var c Claim
	if err := json.Unmarshal(value, &c); err != nil {
		return err
	}
	a.claim, a.version, a.seenAt = c, version, now
	return nil
}

// ObserveVote records a proxy's vote unless it is of another era or a version at
// least as new is known. It returns an error if the row cannot be decoded.
func (a *Agreement) ObserveVote(now clock.Time, from string, value []byte, version store.Version) error {
	if version.Era != a.era || !a.votes[from].version.Before(version) {
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
// to succeed, with the number zero for no row, and whether self may attempt a claim
// now. It may not as long as a holder can still act on its claim, or some proxies
// may not know the primary that the last holder promoted.
func (a *Agreement) Claimable(now clock.Time, self string) (store.Version, bool) {
	if a.version.Number == 0 {
		return store.Version{Era: a.era}, a.era != 0 && now >= a.earlierClaimsUntil
	}
	delay := clock.Duration(0)
	switch {
	case a.claim.Open:
		delay = claimTTL + takeoverDelay
	case a.claim.Promoted != "" && a.claim.Holder == self:
		delay = holderReclaimDelay
	case a.claim.Promoted != "":
		delay = otherReclaimDelay
	}
	return a.version, now.Sub(a.seenAt) >= delay
}

// MayReplace reports whether a replacement that was claimed may still take effect, or has
// just begun a term later than the given one. It is true until the rows of an era have been
// read.
func (a *Agreement) MayReplace(now clock.Time, term uint64) bool {
	c, age := &a.claim, now.Sub(a.seenAt)
	switch {
	case a.era == 0 || a.earlierClaimsUntil != 0 && now < a.earlierClaimsUntil.Add(PromotionEffectLimit):
		return true
	case c.Open:
		// That the term is a later one does not tell: the holder may know an earlier one.
		return age < replacementLimit
	case c.Promoted == "":
		return false
	case c.Led:
		return c.Term > term && age < replacementLimit
	default:
		return age < PromotionEffectLimit
	}
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

// tokensPerEra is more than the transactions that a store makes in one era: at
// 4,900 proxies, 3,000 a second for ten years are fewer.
const tokensPerEra = 1 << 40

// FencingToken returns the token of a claim whose row has the given version. It
// rises with the version, also across eras.
func FencingToken(v store.Version) uint64 {
	return (max(v.Era, store.FirstEra)-store.FirstEra)*tokensPerEra + v.Number
}

// Lease is a claim that this process holds.
type Lease struct {
	// Version is that of the claim's row.
	Version store.Version
	Token   uint64
	// Until is when the holder must stop acting on the claim.
	Until clock.Time
}

// NewLease returns the lease of a claim whose row has the given version and was
// requested at askedAt.
func NewLease(v store.Version, askedAt clock.Time) Lease {
	return Lease{Version: v, Token: FencingToken(v), Until: askedAt.Add(claimTTL)}
}
