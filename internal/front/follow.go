package front

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// minPollInterval is the minimum time between two calls to the store for
	// changes of one table. The interval doubles while changes keep arriving,
	// so that many changes need few calls. It is reset after a call that took
	// at least pollIntervalReset, since no changes arrived during that time.
	minPollInterval   = 150 * clock.Millisecond
	pollIntervalReset = 2 * clock.Second
	// maxPollInterval is the upper bound of the doubled interval. It is a
	// fraction of the seconds within which a change has to be known.
	maxPollInterval = 1200 * clock.Millisecond
	// maxAgreementPollInterval is the upper bound for claims and votes.
	maxAgreementPollInterval = 400 * clock.Millisecond
	// minRetryDelay is the delay after a failed call to the store. It doubles
	// up to maxRetryDelay, which is a fraction of the time within which changes
	// have to be known once the store is back. A random jitter of up to the
	// same length is added.
	minRetryDelay = 300 * clock.Millisecond
	maxRetryDelay = 600 * clock.Millisecond
	// followerRetryDelay replaces both while relays report that they cannot
	// reach the store. In case only the relays are cut off, the delay and its
	// jitter of up to the same length leave one of the five seconds within
	// which a configuration has to be in force.
	followerRetryDelay = 1500 * clock.Millisecond
	// probeFeedWait is how long the store may hold open a feed that only tests
	// whether the store responds.
	probeFeedWait = 1 * clock.Millisecond
	// tableReadTimeout is the timeout for reading a whole table, and
	// startReadTimeout that of a process that has no table yet. Such a process
	// serves nobody, and the store may have just come back.
	tableReadTimeout = 3 * clock.Second
	startReadTimeout = 600 * clock.Millisecond
	// startRetryDelay replaces minRetryDelay and maxRetryDelay for a process that
	// has no table yet.
	startRetryDelay = 150 * clock.Millisecond
	// startPatience is how long a process that has no table yet asks only the
	// relays for it. When all start at once, the relays are ready within it.
	startPatience = 400 * clock.Millisecond
	// rereadPatience replaces it for a process that has to read a table again, from
	// which it goes on serving. After an outage the relays reach the store within
	// twice maxRetryDelay.
	rereadPatience = 1200 * clock.Millisecond
	// maxFeedWait is the wait that a proxy requests when it follows the store
	// directly. It is so long that the store decides when the feed ends.
	maxFeedWait = clock.Minute
	// directHeartbeatWait replaces maxFeedWait for the configuration table, and
	// directRegistryWait for the registry table. A store that stopped
	// responding may be back for a while before the pending call times out:
	// both waits leave some seconds of the time within which a configuration
	// has to be in force and a leaving database must stop getting requests.
	directHeartbeatWait = 4 * clock.Second
	directRegistryWait  = 8 * clock.Second
)

// errEraBegun reports a feed that was given up because the store has begun a new era.
var errEraBegun = errors.New("the store has begun a new era")

// outage limits the calls to a store that does not respond. It is shared by all
// tables: one call tests the store for all of them. No other lock is taken
// while its lock is held.
type outage struct {
	mu          sync.Mutex
	backoff     clock.Duration
	nextAttempt clock.Time
	// reportedByRelays is set if relays respond that they cannot reach the
	// store either.
	reportedByRelays bool
	// recovered is closed once a call succeeds.
	recovered chan struct{}
	// untilFailureCtx is cancelled by cancelUntilFailure at the next failure.
	untilFailureCtx    context.Context
	cancelUntilFailure context.CancelFunc
}

// untilFailure returns a context that is cancelled at the next failure.
func (o *outage) untilFailure() context.Context {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cancelUntilFailure == nil {
		o.untilFailureCtx, o.cancelUntilFailure = context.WithCancel(context.Background())
	}
	return o.untilFailureCtx
}

// reserveAttempt returns how long the caller has to wait before it calls the
// store, and a channel that is closed once the store responds again, when the
// wait is no longer needed. During an outage only one call per backoff period
// gets a wait of zero.
func (o *outage) reserveAttempt(now clock.Time) (clock.Duration, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.backoff == 0 {
		return 0, nil
	}
	if now >= o.nextAttempt {
		o.nextAttempt = now.Add(o.backoff)
		return 0, nil
	}
	return o.nextAttempt.Sub(now), o.recovered
}

// active reports whether the last call failed, or the relays have reported an
// outage since the last success.
func (o *outage) active() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.backoff > 0
}

// reportByRelays records that the relays cannot reach the store. One call of
// this process then tests the store for all tables. As long as the relays
// respond, few further calls follow, since the relays retry the store
// themselves and are polled all the time.
func (o *outage) reportByRelays(now clock.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reportedByRelays = true
	if o.backoff == 0 {
		o.recovered = make(chan struct{})
		o.backoff, o.nextAttempt = minRetryDelay, now
	}
}

// recordFailure records a failed call, schedules the next attempt and cancels
// the contexts returned by untilFailure. starting is set if the call was for a
// table that this process does not have yet.
func (o *outage) recordFailure(now clock.Time, starting bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.backoff == 0 {
		o.recovered = make(chan struct{})
	}
	o.backoff = min(max(2*o.backoff, minRetryDelay), maxRetryDelay)
	if o.reportedByRelays {
		o.backoff = followerRetryDelay
	}
	if starting {
		o.backoff = startRetryDelay
	}
	o.reportedByRelays = false
	o.nextAttempt = now.Add(o.backoff + clock.Duration(rand.Int64N(int64(o.backoff))))
	if o.cancelUntilFailure != nil {
		o.cancelUntilFailure()
		o.cancelUntilFailure = nil
	}
}

// recordSuccess ends the outage.
func (o *outage) recordSuccess() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.backoff > 0 {
		o.backoff, o.reportedByRelays = 0, false
		close(o.recovered)
	}
}

// every returns a function for an interval that never changes.
func every(d clock.Duration) func() clock.Duration { return func() clock.Duration { return d } }

// follow reads a table and then its changes, and hands them to apply, until the
// instance has stopped. While changes keep arriving, the time between two calls to the
// store doubles up to maxInterval.
func (f *Front) follow(table string, maxInterval func() clock.Duration, apply func(store.Changes)) {
	log := f.log.With(zap.String("table", table))
	known, lost := false, false
	// rereads counts the reads of the whole table since the last changes.
	rereads := 0
	var reported uint64
	var version store.Version
	interval := minPollInterval
	for !f.isStopped() {
		began := f.clock.Now()
		changes, from, err := f.fetchChanges(table, known, version)
		switch {
		case errors.Is(err, store.ErrHistoryGone):
			log.Info("history no longer available, reading the whole table", zap.Stringer("version", version), zap.Uint64("storeEra", changes.Era))
			known = false
			backend.Sleep(rereadDelay(rereads))
			rereads++
			continue
		case err != nil:
			if !lost {
				log.Warn("store not responding", logs.Error(err))
			}
			lost = true
			continue
		}
		if lost {
			log.Info("store responding again", zap.Stringer("version", changes.Version), zap.String("from", from))
			lost = false
		}
		if changes.Whole && changes.Before(version) {
			// The source has an older table than this proxy had.
			log.Info("older table ignored", zap.String("from", from), zap.Stringer("version", changes.Version), zap.Stringer("known", version))
			if from == "" {
				backend.Sleep(minRetryDelay + clock.Duration(rand.Int64N(int64(minRetryDelay))))
			} else {
				f.relays.avoid(from, minRetryDelay)
			}
			continue
		}
		if version.Era != 0 && changes.Era > version.Era {
			log.Warn("store has gone back to an older copy, its table replaces the one known", zap.String("from", from),
				zap.Stringer("version", changes.Version), zap.Stringer("known", version))
			f.metrics.CountRestore(table)
		}
		if !changes.Whole {
			rereads = 0
		}
		applied := true
		if len(changes.Rows) > 0 || !known {
			log.Debug("changes", zap.String("from", from), zap.Int("rows", len(changes.Rows)),
				zap.Bool("whole", changes.Whole), zap.Stringer("version", changes.Version))
			applied = contain.Call(log, "changes of table "+table, func() error {
				apply(changes)
				return nil
			}) == nil
		}
		if applied && table == f.platform.ConfigurationTable {
			f.confirmApplied(began, from, changes)
		}
		if applied && table == agreementTable {
			f.replacementCheck.setApplied(changes.Version)
			if from == "" {
				f.recordAgreementRead(began)
			}
		}
		if applied && table == f.platform.RegistryTable {
			f.recordRegistryRead(began, from, changes.Version)
		}
		if dropped := f.relays.copies[table].Dropped(); dropped != reported {
			log.Info("rows older than known ones dropped", zap.String("from", from), zap.Uint64("rows", dropped-reported), zap.Stringer("version", changes.Version))
			reported = dropped
		}
		known, version = true, store.Latest(version, changes.Version)
		if from != "" {
			continue
		}
		took := f.clock.Now().Sub(began)
		if took >= pollIntervalReset {
			interval = minPollInterval
		}
		if took < interval {
			backend.Sleep(interval - took)
		}
		interval = min(2*interval, maxInterval())
	}
}

// rereadDelay returns how long to wait before a table is read as a whole, after the
// given number of such reads in a row. The delay is random, since all processes that
// follow the store need the table at the same moment.
func rereadDelay(rereads int) clock.Duration {
	limit := minPollInterval
	if rereads > 0 {
		limit = maxRetryDelay
	}
	return clock.Duration(rand.Int64N(int64(limit)))
}

// fetchChanges returns the whole table, or its changes since a version, and the
// name of the relay that sent them, which is empty if they come from the store.
func (f *Front) fetchChanges(table string, known bool, version store.Version) (store.Changes, string, error) {
	began := f.clock.Now()
	for {
		changes, from, err := f.relays.poll(table, known, version)
		if err == nil {
			f.eras.observe(changes.Version)
			if !f.relays.update(table, changes) && changes.Base != nil {
				return changes, from, store.ErrHistoryGone
			}
			return changes, from, nil
		}
		now := f.clock.Now()
		patience := startPatience
		if version.Era != 0 {
			patience = rereadPatience
		}
		if !known && f.relays.hasSources() && now.Sub(began) < patience {
			// Relays that have started at the same time, or read the table again, will
			// soon have it. All of them may have refused just now.
			backend.Sleep(initialPollWait)
			continue
		}
		// Roots try the store at the usual interval, whatever other roots say.
		if errors.Is(err, errStoreLost) && !f.relays.isRoot() && !f.relays.storeAnsweredRecently(now) {
			f.outage.reportByRelays(now)
		}
		wait, recovered := f.outage.reserveAttempt(now)
		if wait == 0 {
			break
		}
		// A relay may reach the store before this process may try again.
		backend.WaitOrTimeout(recovered, min(wait, minRetryDelay))
	}
	changes, err := f.fetchFromStore(table, known, version)
	now := f.clock.Now()
	switch {
	case err == nil:
		f.outage.recordSuccess()
		f.relays.markStoreAnswered(now)
		f.relays.update(table, changes)
	case errors.Is(err, store.ErrHistoryGone):
		f.outage.recordSuccess()
		f.relays.markStoreAnswered(now)
	case errors.Is(err, errEraBegun):
		// The feed was given up, which says nothing about the store.
		err = store.ErrHistoryGone
	case errors.Is(err, context.Canceled):
		err = errors.Wrap(err, "cancelled because a call for another table failed")
	default:
		f.outage.recordFailure(now, !known)
		f.relays.markStoreLost()
	}
	return changes, "", err
}

// fetchFromStore reads the whole table or its changes from the store.
func (f *Front) fetchFromStore(table string, known bool, version store.Version) (store.Changes, error) {
	var err error
	changes := store.Changes{Whole: !known}
	if !known {
		limit := tableReadTimeout
		if version == (store.Version{}) {
			limit = startReadTimeout
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit.Std())
		defer cancel()
		changes.Rows, changes.Version, err = f.platform.Store.Table(ctx, table)
		return changes, err
	}
	ctx, wait := f.outage.untilFailure(), f.feedWait(table)
	switch {
	case f.outage.active():
		ctx, wait = context.Background(), probeFeedWait
	case wait < relayFeedWait:
		// The store client's own timeout adds a grace to the wait that is too
		// long for a short feed.
		limited, cancel := context.WithTimeout(ctx, (wait + heartbeatGrace).Std())
		defer cancel()
		ctx = limited
	}
	ctx, release := f.eras.within(ctx, version)
	defer release()
	changes.Rows, changes.Version, err = f.platform.Store.Feed(ctx, table, version, wait)
	if era := f.eras.newest(); errors.Is(err, context.Canceled) && era > version.Era {
		changes.Era, err = era, errEraBegun
	}
	return changes, err
}

// feedWait returns how long the store may hold open a feed of a table. Feeds of
// the configuration are short, so that a store that stopped responding is
// noticed soon. When such a feed fails, the feeds of the other tables are
// cancelled.
func (f *Front) feedWait(table string) clock.Duration {
	if wait, ok := f.proofFeedWait(table); ok {
		return wait
	}
	switch {
	case !f.relays.exist():
		switch table {
		case f.platform.ConfigurationTable:
			return directHeartbeatWait
		case f.platform.RegistryTable:
			return directRegistryWait
		default:
			return maxFeedWait
		}
	}
	heartbeat, root := f.relays.heartbeat()
	if !root || table == f.platform.ConfigurationTable {
		// A proxy whose sources do not respond calls a store that may not
		// respond either.
		return heartbeat
	}
	return relayFeedWait
}

func (f *Front) isStopped() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}
