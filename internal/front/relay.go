package front

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/freshness"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// relayPollWait is how long a relay holds a poll open until something
	// changes, and rootPollWait how long a root holds that of a relay. A source
	// that has not responded relayPollGrace after that is not used for
	// relayCooldown. The sums of the waits and the grace, which are the delays
	// due to one unresponsive source, are a fraction of the time within which
	// changes have to be known. That of the relays is the shorter, since the
	// proxies that follow them are delayed too.
	relayPollWait  = 2 * clock.Second
	rootPollWait   = 1 * clock.Second
	relayPollGrace = 500 * clock.Millisecond
	relayCooldown  = 4 * clock.Second
	// initialPollWait and initialPollGrace replace relayPollWait and
	// relayPollGrace for the first poll of a table: callers wait until the
	// process has it. The grace leaves time to a relay that is asked for its
	// tables by all proxies of a fleet at once.
	initialPollWait  = 25 * clock.Millisecond
	initialPollGrace = 100 * clock.Millisecond
	// heartbeatWait is how long the store may hold open a relay's feed of the
	// configuration. A relay that has had no response from the store for
	// heartbeatGrace longer may be cut off from the store. It reports this to
	// its followers, which may still reach the store and have to know a change
	// within seconds.
	heartbeatWait  = 2 * clock.Second
	heartbeatGrace = 500 * clock.Millisecond
	// rootHeartbeatWait replaces heartbeatWait for roots that other relays
	// follow. With the wait of the relays' polls it is less than heartbeatWait
	// and heartbeatGrace, so that relays do not take a root for cut off.
	rootHeartbeatWait = 1 * clock.Second
	// relayFeedWait replaces heartbeatWait for the other tables.
	relayFeedWait = 10 * clock.Second
	// baseRelayAttempts is how many relays are polled before the store is
	// called. More are polled as long as all attempts together took no longer
	// than extraAttemptsLimit: a relay on the same side of a network partition
	// saves the store a call.
	baseRelayAttempts  = 2
	extraAttemptsLimit = 300 * clock.Millisecond
)

var (
	errNoRelay   = errors.New("no relay responds")
	errStoreLost = errors.New("the store does not respond to the relays")
)

// methodFollow is the peer method that polls a relay for changes of a table.
const methodFollow = "follow"

// followParams tells a relay which version of a table the polling proxy has.
type followParams struct {
	Table string `json:"table"`
	Known bool   `json:"known"`
	store.Version
	// Compact is set if the polling proxy can expand patches and compressed
	// values, which earlier builds cannot. Sums has the checksums of the large
	// values that it has.
	Compact bool              `json:"compact,omitempty"`
	Sums    map[string]uint64 `json:"sums,omitempty"`
	// WaitMillis is how long the relay may wait for a change, in milliseconds.
	WaitMillis int64 `json:"waitMillis"`
}

// followResult is the answer of a relay.
type followResult struct {
	store.Changes
	// ContactAge is how long ago the store last responded to the relay or to its
	// source. Since it adds up over tiers, proxies that follow each other, with
	// different views of the members, notice that none of them hears of the
	// store.
	ContactAge clock.Duration `json:"contactAge,omitempty"`
	// ProofAge is how long ago all changes of the registry had been applied, zero for
	// another table, or if it is not known.
	ProofAge clock.Duration `json:"proofAge,omitempty"`
	// Lost is set if the answering proxy cannot serve the table: it is not a
	// relay, or the store does not respond to it.
	Lost bool `json:"lost,omitempty"`
}

// setMissingEra sets the era of what an earlier build has sent, which knows only one.
func (r *followResult) setMissingEra() {
	if r.Era != 0 {
		return
	}
	r.Era = store.FirstEra
	for i := range r.Rows {
		r.Rows[i].Era = store.FirstEra
	}
}

// relays follows the store through other proxies, and passes its changes on if
// this proxy is a relay itself. With many proxies, one call from each of them per
// change would be most of the store's load, so only a few roots follow it. No
// other lock is taken while its lock is held.
type relays struct {
	self  proxy.Peer
	clock timers
	log   *zap.Logger
	// peers is set before the first poll of a relay.
	peers  *proxy.Peers
	copies map[string]*store.Cache
	// registry is the proof of the registry's table, nil if that is not followed.
	registry      *group.RegistryProof
	registryTable string

	mu sync.Mutex
	// sources has the proxies to poll, sorted by preference.
	sources     []proxy.Peer
	tiers       tiers
	selfIsRelay bool
	selfIsRoot  bool
	avoidUntil  map[string]clock.Time
	// proofs is whom this proxy asks for proofs of freshness. followRoots is set if a
	// root that the store does not answer follows other roots, so that it has in force
	// what their proofs are of.
	proofs      freshness.Role
	followRoots bool
	// storeAnsweredAt is when the store last responded to this process, zero if
	// never.
	storeAnsweredAt clock.Time
	// sourceContactAt is when the store last responded to the source of this
	// process's changes, zero if never.
	sourceContactAt clock.Time
	// sourceProof is the time as of which the source last knew the registry, zero if it has
	// not said so.
	sourceProof clock.Time
}

func newRelays(self proxy.Peer, tables []string, c timers, log *zap.Logger, options ...store.CacheOption) *relays {
	r := &relays{self: self, clock: c, log: log, copies: make(map[string]*store.Cache), avoidUntil: make(map[string]clock.Time)}
	for _, t := range tables {
		r.copies[t] = store.NewCache(options...)
	}
	return r
}

// setMembers updates the tiers from the list of live proxies.
func (r *relays) setMembers(members []proxy.Peer) {
	chosen := chooseTiers(members)
	sources := chosen.sources(r.self)
	proofs := proofRole(r.self, members, chosen)
	isRelay, isRoot := proxy.ContainsPeer(chosen.relays, r.self.Name), proxy.ContainsPeer(chosen.roots, r.self.Name)
	r.mu.Lock()
	changed := isRelay != r.selfIsRelay || isRoot != r.selfIsRoot
	r.tiers, r.sources = chosen, sources
	r.selfIsRelay, r.selfIsRoot = isRelay, isRoot
	r.proofs = proofs
	r.mu.Unlock()
	for _, c := range r.copies {
		c.KeepHistory(isRelay)
	}
	if changed {
		r.log.Info("relay role changed", zap.Bool("relay", isRelay), zap.Bool("root", isRoot),
			zap.Int("relays", len(chosen.relays)), zap.Int("roots", len(chosen.roots)))
	}
}

// exist reports whether there are relays.
func (r *relays) exist() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tiers.relays) > 0
}

func (r *relays) isRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selfIsRelay
}

func (r *relays) isRoot() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selfIsRoot
}

// heartbeat returns how long the store may hold open this proxy's feed of the
// configuration, and whether this proxy is a root.
func (r *relays) heartbeat() (clock.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.selfIsRoot && len(r.tiers.relays) > len(r.tiers.roots) {
		return rootHeartbeatWait, true
	}
	return heartbeatWait, r.selfIsRoot
}

// proofRole returns whom this proxy asks for proofs of freshness.
func (r *relays) proofRole() freshness.Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proofs
}

// isProver reports whether this proxy asks the store for proofs of freshness.
func (r *relays) isProver() bool { return r.proofRole().Interval > 0 }

// hasSources reports whether this proxy follows others.
func (r *relays) hasSources() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sources) > 0
}

// nearest returns up to n relays, those of the own availability zone first.
func (r *relays) nearest(n int) []proxy.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := sortByPreference(r.self, r.tiers.relays)
	return list[:min(n, len(list))]
}

// candidates returns the sources that may be polled now. A root has none while the
// store answers it.
func (r *relays) candidates() []string {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	sources := r.sources
	if r.selfIsRoot && r.followRoots && now.Sub(r.storeAnsweredAt) >= heartbeatWait {
		sources = slices.DeleteFunc(sortByPreference(r.self, r.tiers.roots), func(p proxy.Peer) bool { return p.Name == r.self.Name })
	}
	var names []string
	for _, p := range sources {
		if now >= r.avoidUntil[p.Name] {
			names = append(names, p.Name)
		}
	}
	return names
}

func (r *relays) avoid(name string, pause clock.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidUntil[name] = r.clock.Now().Add(pause)
}

// poll asks the sources for changes of a table, and returns these and the name
// of the source that sent them. The error is errStoreLost if a source responds
// but cannot reach the store, and errNoRelay if none responds or may be polled.
func (r *relays) poll(table string, known bool, version store.Version) (store.Changes, string, error) {
	names := r.candidates()
	wait, grace, cooldown := relayPollWait, relayPollGrace, relayCooldown
	if r.isRelay() {
		wait = rootPollWait
	}
	if !known {
		names = names[:min(len(names), 1)]
		wait, grace, cooldown = initialPollWait, initialPollGrace, minRetryDelay
		if version.Era != 0 {
			// Callers are served from the table that is to be replaced.
			grace = relayPollGrace
		}
	}
	failure := errNoRelay
	began := r.clock.Now()
	for i, name := range names {
		if i >= baseRelayAttempts && r.clock.Now().Sub(began) > extraAttemptsLimit {
			break
		}
		p := followParams{Table: table, Known: known, Version: version, Compact: true, WaitMillis: int64(wait)}
		if known {
			p.Sums = r.copies[table].Sums()
		}
		sent := r.clock.Now()
		result, err := r.call(name, p, wait+grace)
		if err == nil && !result.Lost {
			result.setMissingEra()
			err = r.copies[table].Expand(&result.Changes)
		}
		switch {
		case err != nil:
			r.log.Info("relay not responding", zap.String("relay", name), zap.String("table", table), logs.Error(err))
			r.avoid(name, cooldown)
		case result.Lost || known && result.Era < version.Era:
			// A relay that answers from an earlier era has not heard from the store
			// since that was restored.
			r.log.Debug("relay cannot reach the store", zap.String("relay", name), zap.String("table", table))
			r.avoid(name, minRetryDelay)
			failure = errStoreLost
		default:
			r.recordContact(r.clock.Now().Add(-result.ContactAge))
			if table == r.registryTable {
				r.recordSourceProof(sent, result.ProofAge)
			}
			return result.Changes, name, nil
		}
	}
	return store.Changes{}, "", failure
}

func (r *relays) call(name string, p followParams, limit clock.Duration) (followResult, error) {
	ctx, cancel := r.clock.WithTimeout(limit)
	defer cancel()
	var result followResult
	err := r.peers.Call(ctx, name, methodFollow, p, &result)
	if errors.Is(err, context.DeadlineExceeded) && p.Known {
		// The connection may be broken, so it is not reused. After the short
		// limit of an initial poll that is not likely, and the polls of other
		// tables use it too.
		r.peers.Drop(name)
	}
	return result, err
}

// update adds changes from the store or a relay to the local copy of a table,
// so that this process can serve the table once it is a relay. It reports whether
// they could be added.
func (r *relays) update(table string, changes store.Changes) bool {
	return r.copies[table].Apply(changes)
}

// markStoreAnswered records that the store has responded.
func (r *relays) markStoreAnswered(now clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeAnsweredAt = now
}

// recordContact records that a source had a response of the store at the given
// time.
func (r *relays) recordContact(at clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sourceContactAt = max(r.sourceContactAt, at)
}

// recordSourceProof records the age of the proof that came with the answer to a poll sent at
// the given time.
func (r *relays) recordSourceProof(sent clock.Time, age clock.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sourceProof = 0
	if age > 0 {
		r.sourceProof = sent.Add(-age)
	}
}

// registryProof returns the time as of which the source of the last changes of the registry
// knew it, zero if it has not said so.
func (r *relays) registryProof() clock.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sourceProof
}

// proofAge returns the age of the proof that is sent with changes of a table.
func (r *relays) proofAge(table string) clock.Duration {
	if table != r.registryTable || r.registry == nil {
		return 0
	}
	return r.registry.Age()
}

// markStoreLost records that the store does not respond. The copy of a table is
// not served to other proxies until the table has been updated again.
func (r *relays) markStoreLost() {
	for _, c := range r.copies {
		c.MarkUnavailable()
	}
}

// contactAge returns how long ago the store last responded to this process or
// to its source, and whether this process is a relay that may serve its copies of
// the tables.
func (r *relays) contactAge(now clock.Time) (clock.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	contactAt := max(r.storeAnsweredAt, r.sourceContactAt)
	age := now.Sub(contactAt)
	return age, r.selfIsRelay && contactAt != 0 && age < heartbeatWait+heartbeatGrace
}

// storeAnsweredRecently reports whether the store has responded to this process
// within the last heartbeatWait plus heartbeatGrace.
func (r *relays) storeAnsweredRecently(now clock.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeAnsweredAt != 0 && now.Sub(r.storeAnsweredAt) < heartbeatWait+heartbeatGrace
}

// handleFollow answers the poll of another proxy. It returns an error for an
// unknown table.
func (r *relays) handleFollow(params json.RawMessage) (any, error) {
	var p followParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	c := r.copies[p.Table]
	if c == nil {
		return nil, errors.Errorf("unknown table %q", p.Table)
	}
	if p.Era == 0 {
		// An earlier build compares versions by their number.
		p.Era = c.Version().Era
	}
	return r.awaitChanges(c, p), nil
}

// awaitChanges waits for changes up to the requested time, which is capped at
// relayPollWait. It reports the store as lost if this process cannot serve the
// table.
func (r *relays) awaitChanges(c *store.Cache, p followParams) followResult {
	until := r.clock.Now().Add(min(clock.Duration(p.WaitMillis), relayPollWait))
	for {
		changed := c.Changed()
		now := r.clock.Now()
		// A whole table must not be older than what the polling proxy had, and no
		// changes of an earlier era.
		age, contact := r.contactAge(now)
		// The age is read before the changes, which are at least as new.
		proofAge := r.proofAge(p.Table)
		version := c.Version()
		fresh := c.Usable() && contact && (p.Known && version.Era >= p.Era || !version.Before(p.Version))
		if fresh {
			if changes := c.Since(p.Known, p.Version); len(changes.Rows) > 0 || changes.Whole || changes.Base != nil || now >= until {
				if p.Compact {
					c.Compact(&changes, p.Sums)
				}
				return followResult{Changes: changes, ContactAge: age, ProofAge: proofAge}
			}
		}
		// An initial poll waits: a relay that has just started will soon have
		// read the table.
		if !fresh && (p.Known || now >= until) {
			return followResult{Lost: true}
		}
		r.clock.WaitOrTimeout(changed, until.Sub(now))
	}
}
