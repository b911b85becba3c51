package front

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// leastSpacing is the least time between two questions to the store for
	// changes of one table. It doubles while changes come one after the other,
	// so that many cost few calls, and starts anew after followRest without one.
	leastSpacing = 150 * clock.Millisecond
	followRest   = 2 * clock.Second
	// followSpacing bounds the doubling: changes are known within a fraction
	// of the seconds that they may take.
	followSpacing = 1200 * clock.Millisecond
	// agreementSpacing bounds it for claims and votes.
	agreementSpacing = 400 * clock.Millisecond
	// leastRetry is the wait after a failed call to the store. It doubles up to
	// mostRetry, a fraction of the time in which changes have to be known once
	// the store is back. Up to as much again is added at random.
	leastRetry = 300 * clock.Millisecond
	mostRetry  = 600 * clock.Millisecond
	// followerRetry takes their place where relays say that the store is lost:
	// with up to as much again it leaves a second of the five in which a
	// configuration has to be in force, should only the relays be cut off.
	followerRetry = 1500 * clock.Millisecond
	// trialWait is how long the store may hold a feed open that is to tell
	// whether it answers.
	trialWait = 1 * clock.Millisecond
	// tableLimit bounds the reading of a whole table.
	tableLimit = 3 * clock.Second
	// storeWait is how long a proxy that follows the store for itself lets it
	// hold a feed open: as long as the store likes.
	storeWait = clock.Minute
	// ownPulse takes its place in the configuration's table, ownRegistryWait in
	// that of the databases. A store that went silent may be back for a while
	// before the answer to an earlier call is given up: both leave seconds of
	// the times in which a configuration has to be in force and a leaving
	// database gets no more requests.
	ownPulse        = 4 * clock.Second
	ownRegistryWait = 8 * clock.Second
)

// outage spaces the calls to a store that does not answer, for all tables
// together: one that tries speaks for the others. Its lock is taken before no
// other.
type outage struct {
	mu      sync.Mutex
	backoff clock.Duration
	nextTry clock.Time
	// told is set if relays answer that the store is lost to them as well.
	told bool
	// over is closed once a call was answered.
	over chan struct{}
	// spell lasts from one failure to the next, and end ends it.
	spell context.Context
	end   context.CancelFunc
}

// untilFailed returns a context that ends with the next failure.
func (o *outage) untilFailed() context.Context {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.end == nil {
		o.spell, o.end = context.WithCancel(context.Background())
	}
	return o.spell
}

// turn returns how long a call to the store has to wait, and what is closed
// once that is not needed any more. In an outage, only one call in a while
// may try.
func (o *outage) turn(now clock.Time) (clock.Duration, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.backoff == 0 {
		return 0, nil
	}
	if now >= o.nextTry {
		o.nextTry = now.Add(o.backoff)
		return 0, nil
	}
	return o.nextTry.Sub(now), o.over
}

// on reports whether the last call was not answered.
func (o *outage) on() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.backoff > 0
}

// suspect notes that the relays say that the store is lost to them. One call
// of this process then tries for all its tables. While the relays answer, few
// more follow: the relays try the store themselves, and are asked all the time.
func (o *outage) suspect(now clock.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.told = true
	if o.backoff == 0 {
		o.over = make(chan struct{})
		o.backoff, o.nextTry = leastRetry, now
	}
}

// failed notes that a call was not answered.
func (o *outage) failed(now clock.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.backoff == 0 {
		o.over = make(chan struct{})
	}
	o.backoff = min(max(2*o.backoff, leastRetry), mostRetry)
	if o.told {
		o.backoff = followerRetry
	}
	o.told = false
	o.nextTry = now.Add(o.backoff + clock.Duration(rand.Int64N(int64(o.backoff))))
	if o.end != nil {
		o.end()
		o.end = nil
	}
}

// answered notes that a call was answered.
func (o *outage) answered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.backoff > 0 {
		o.backoff, o.told = 0, false
		close(o.over)
	}
}

// follow takes in a table and then its changes, for as long as the process
// lives.
func (f *Front) follow(table string, spacing clock.Duration, accept func(rows []store.Row, whole bool)) {
	log := f.log.With(zap.String("table", table))
	known, lost := false, false
	var version uint64
	wait := leastSpacing
	for !f.isDone() {
		began := f.clock.Now()
		changes, from, err := f.changes(table, known, version)
		switch {
		case errors.Is(err, store.ErrHistoryGone):
			log.Info("history dropped; reading the table anew", zap.Uint64("version", version))
			known = false
			continue
		case err != nil:
			if !lost {
				log.Warn("store lost", logs.Error(err))
			}
			lost = true
			continue
		}
		if lost {
			log.Info("store regained", zap.Uint64("version", changes.Version), zap.String("from", from))
			lost = false
		}
		if len(changes.Rows) > 0 || !known {
			log.Debug("changes", zap.String("from", from), zap.Int("rows", len(changes.Rows)),
				zap.Bool("whole", changes.Whole), zap.Uint64("version", changes.Version))
			accept(changes.Rows, changes.Whole)
		}
		known, version = true, max(version, changes.Version)
		if from != "" {
			continue
		}
		took := f.clock.Now().Sub(began)
		if took >= followRest {
			wait = leastSpacing
		}
		if took < wait {
			backend.Sleep(wait - took)
		}
		wait = min(2*wait, spacing)
	}
}

// changes returns the whole table, or what has changed since a version, and
// the relay that it is from, empty for the store.
func (f *Front) changes(table string, known bool, version uint64) (store.Changes, string, error) {
	for {
		changes, from, err := f.relays.follow(table, known, version)
		if err == nil {
			f.relays.take(table, changes)
			return changes, from, nil
		}
		now := f.clock.Now()
		if errors.Is(err, errStoreLost) && !f.relays.heardLately(now) {
			f.outage.suspect(now)
		}
		wait, over := f.outage.turn(now)
		if wait == 0 {
			break
		}
		// A relay may hear of the store before it is this process's turn.
		backend.WaitOrTimeout(over, min(wait, leastRetry))
	}
	changes, err := f.stored(table, known, version)
	now := f.clock.Now()
	switch {
	case err == nil:
		f.outage.answered()
		f.relays.heard(now)
		f.relays.take(table, changes)
	case errors.Is(err, store.ErrHistoryGone):
		f.outage.answered()
		f.relays.heard(now)
	case errors.Is(err, context.Canceled):
		err = errors.Wrap(err, "ended as another table's call has failed")
	default:
		f.outage.failed(now)
		f.relays.lose()
	}
	return changes, "", err
}

// stored asks the store.
func (f *Front) stored(table string, known bool, version uint64) (store.Changes, error) {
	f.metrics.StoreCalled()
	var err error
	changes := store.Changes{Whole: !known}
	if !known {
		ctx, cancel := context.WithTimeout(context.Background(), tableLimit.Std())
		defer cancel()
		changes.Rows, changes.Version, err = f.peers.Store.Table(ctx, table)
		return changes, err
	}
	ctx, wait := f.outage.untilFailed(), f.holdTime(table)
	switch {
	case f.outage.on():
		ctx, wait = context.Background(), trialWait
	case wait < relayStoreWait:
		// A feed that is to end soon must not last for the client's own grace.
		limited, cancel := context.WithTimeout(ctx, (wait + pulseGrace).Std())
		defer cancel()
		ctx = limited
	}
	changes.Rows, changes.Version, err = f.peers.Store.Feed(ctx, table, version, wait)
	return changes, err
}

// holdTime returns how long the store may hold a feed of a table open. The
// configuration's feeds also show soon that the store has gone silent; the
// other tables' feeds end with them.
func (f *Front) holdTime(table string) clock.Duration {
	switch {
	case !f.relays.exist():
		switch table {
		case f.peers.ConfigurationTable:
			return ownPulse
		case f.peers.RegistryTable:
			return ownRegistryWait
		default:
			return storeWait
		}
	case !f.relays.isRelay(), table == f.peers.ConfigurationTable:
		// One that no relay answers asks a store that may be silent.
		return pulse
	default:
		return relayStoreWait
	}
}

func (f *Front) isDone() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}
