package group

import (
	"encoding/json"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// claimLife is how long the holder of a claim may act on it, from before
	// it was asked for.
	claimLife = 3 * clock.Second
	// claimRest is how much longer others wait before they take a claim over:
	// an order that was sent in time has arrived or failed by then.
	claimRest = 1500 * clock.Millisecond
	// settleRest is how long a new primary is given to become known before the
	// proxy that brought it may act again.
	settleRest = 800 * clock.Millisecond
	// turnRest is how long others wait after a holder has acted, so that two
	// holders do not give orders by turns.
	turnRest = 3300 * clock.Millisecond
	// suspicionLife is how long another proxy's suspicion counts.
	suspicionLife = 2500 * clock.Millisecond
)

// Claim is the row that says who replaces a group's primary. Its version is
// the token of the orders that the holder gives.
type Claim struct {
	Holder string `json:"holder"`
	// Nonce tells the holder's own claims apart.
	Nonce uint64 `json:"nonce"`
	Open  bool   `json:"open"`
	// Promoted is the database that leads since the claim was closed.
	Promoted string `json:"promoted,omitempty"`
	Term     uint64 `json:"term,omitempty"`
}

// Vote is the row in which a proxy says that it suspects a primary.
type Vote struct {
	Primary string `json:"primary"`
	Term    uint64 `json:"term"`
}

// Agreement is what the proxies have said of one group.
type Agreement struct {
	claim   Claim
	version uint64
	seenAt  clock.Time
	votes   map[string]vote
}

type vote struct {
	Vote
	version uint64
	seenAt  clock.Time
}

// NewAgreement returns one without claims or votes.
func NewAgreement() *Agreement { return &Agreement{votes: make(map[string]vote)} }

// ObserveClaim takes in the claim's row.
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

// ObserveVote takes in another proxy's vote.
func (a *Agreement) ObserveVote(now clock.Time, from string, value []byte, version uint64) error {
	if version <= a.votes[from].version {
		return nil
	}
	var v Vote
	if err := json.Unmarshal(value, &v); err != nil {
		return err
	}
	a.votes[from] = vote{Vote: v, version: version, seenAt: now}
	return nil
}

// Claimable returns the version that the claim's row must have for a new claim,
// zero for no row. It returns false while somebody may be acting on a claim,
// or the proxies may not have learned yet of the primary that it brought.
func (a *Agreement) Claimable(now clock.Time, self string) (uint64, bool) {
	rest := clock.Duration(0)
	switch {
	case a.claim.Open:
		rest = claimLife + claimRest
	case a.claim.Promoted != "" && a.claim.Holder == self:
		rest = settleRest
	case a.claim.Promoted != "":
		rest = turnRest
	}
	return a.version, a.version == 0 || now.Sub(a.seenAt) >= rest
}

// Agrees reports whether another proxy than self has lately suspected the
// same primary.
func (a *Agreement) Agrees(now clock.Time, self string, v Vote) bool {
	for from, other := range a.votes {
		if from != self && other.Vote == v && now.Sub(other.seenAt) < suspicionLife {
			return true
		}
	}
	return false
}

// Lease is a claim that this process holds.
type Lease struct {
	Token uint64
	// Until is when the holder stops acting.
	Until clock.Time
}

// NewLease returns the lease of a claim that was asked for at a time.
func NewLease(token uint64, askedAt clock.Time) Lease {
	return Lease{Token: token, Until: askedAt.Add(claimLife)}
}
