package front

import (
	"fmt"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// claimedError reports that an earlier claim on the replacement may still be in
// effect.
type claimedError struct {
	Group string
	// Token is the fencing token of the earlier claim.
	Token uint64
}

func (e *claimedError) Error() string {
	return fmt.Sprintf("the replacement in group %s is claimed with token %d", e.Group, e.Token)
}

// eraError reports a row that was written or read in another era than the one that
// the caller has read the table in.
type eraError struct {
	Key           string
	Era, Expected uint64
}

func (e *eraError) Error() string {
	return fmt.Sprintf("row %q is of era %d of the store, expected era %d", e.Key, e.Era, e.Expected)
}

// leaseExpiredError reports that too little time is left of the claim's lease.
type leaseExpiredError struct {
	Token uint64
	// Left is the rest of the lease, and Needed what the next step may take.
	Left, Needed clock.Duration
}

func (e *leaseExpiredError) Error() string {
	return fmt.Sprintf("the claim with token %d ends in %s, and the next step may take %s", e.Token, e.Left, e.Needed)
}

// supersededError reports that another replacement has taken effect first.
type supersededError struct {
	Database string
	// Term is the term of the database, and Planned that of this replacement.
	Term, Planned uint64
}

func (e *supersededError) Error() string {
	return fmt.Sprintf("database %s is in term %d already, expected one before %d", e.Database, e.Term, e.Planned)
}
