package front

import (
	"context"
	"strings"
	"sync"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// replacementCheckDelay is the time from the beginning of a check that was not answered, or
// that has found a claim which may take effect, to the next one.
const replacementCheckDelay = 200 * clock.Millisecond

// minReplacementCheckInterval is the minimum time between the beginnings of two checks.
const minReplacementCheckInterval = 20 * clock.Millisecond

// replacementCheck asks the store whether replacements may take effect. One call serves all
// groups.
type replacementCheck struct {
	mu        sync.Mutex
	running   bool
	notBefore clock.Time
	// applied is the version up to which the agreement table has been applied.
	applied store.Version
}

// begin returns the version whose changes are to be read, or false if no check is due.
func (c *replacementCheck) begin(now clock.Time) (store.Version, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running || now < c.notBefore || c.applied.Era == 0 {
		return store.Version{}, false
	}
	c.running = true
	return c.applied, true
}

// end ends a check. The next one has to wait until notBefore, unless a claim changes.
func (c *replacementCheck) end(notBefore clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running, c.notBefore = false, notBefore
}

// allow lets the next check begin at once, since a claim has changed.
func (c *replacementCheck) allow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notBefore = 0
}

// setApplied records that the agreement table has been applied up to a version.
func (c *replacementCheck) setApplied(v store.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applied = store.Latest(c.applied, v)
}

// checkReplacements asks the store in the background for claims that this process does not
// know yet. While the store does not respond, its next response tells. Relays are not asked:
// they do not say how old their copy of the table is.
func (f *Front) checkReplacements() {
	if f.outage.active() {
		return
	}
	now := f.clock.Now()
	after, due := f.replacementCheck.begin(now)
	if !due {
		return
	}
	go contain.Run(f.log, "check for replacements", func() {
		next := now.Add(replacementCheckDelay)
		defer func() { f.replacementCheck.end(next) }()
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Std())
		defer cancel()
		rows, version, err := f.platform.Store.Feed(ctx, agreementTable, after, probeFeedWait)
		f.log.Debug("checked for replacements", zap.Stringer("after", after), zap.Stringer("version", version), zap.Int("rows", len(rows)), logs.Error(err))
		if err != nil || version.Era != after.Era {
			return
		}
		// The feed of the table delivers the other rows, too.
		for _, row := range rows {
			if strings.HasPrefix(row.Key, claimPrefix) {
				f.applyAgreement(store.Changes{Rows: []store.Row{row}, Version: version})
			}
		}
		if f.recordAgreementRead(now) {
			next = now.Add(minReplacementCheckInterval)
		}
	})
}

// recordAgreementRead records that what is known of the agreement table includes all that
// was written before at. It reports whether no replacement may take effect in any group.
func (f *Front) recordAgreementRead(at clock.Time) bool {
	clear := true
	for _, g := range f.allGroups() {
		clear = g.replacement.recordAgreementRead(at) && clear
	}
	return clear
}

// recordAgreementRead tells the group that no replacement claimed before at may take
// effect, and reports whether that is so.
func (r *replacement) recordAgreementRead(at clock.Time) bool {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.agreement.MayReplace(now, r.client.Term()) {
		return false
	}
	r.client.ObserveNoReplacement(at, now)
	return true
}
