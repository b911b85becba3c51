package front

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// proxiesPerRelay is the upper bound of the average number of proxies per
	// relay. One call from each of them every few seconds is a small load for
	// the smallest machine.
	proxiesPerRelay = 25
	// minRelays is the number of relays below which every proxy follows the
	// store directly.
	minRelays = 2
	// relayPollWait is how long a relay holds a poll open until something
	// changes. A relay that has not responded relayPollGrace after that is not
	// used for relayCooldown. The sum of relayPollWait and relayPollGrace, which
	// is the delay due to one unresponsive relay, is a fraction of the time
	// within which changes have to be known.
	relayPollWait  = 2 * clock.Second
	relayPollGrace = 500 * clock.Millisecond
	relayCooldown  = 4 * clock.Second
	// initialPollWait and initialPollGrace replace relayPollWait and
	// relayPollGrace for the first poll of a table: callers wait until the
	// process has it.
	initialPollWait  = 25 * clock.Millisecond
	initialPollGrace = 25 * clock.Millisecond
	// heartbeatWait is how long the store may hold open a relay's feed of the
	// configuration. A relay that has had no response from the store for
	// heartbeatGrace longer may be cut off from the store. It reports this to
	// its followers, which may still reach the store and have to know a change
	// within seconds.
	heartbeatWait  = 2 * clock.Second
	heartbeatGrace = 500 * clock.Millisecond
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
	Table   string `json:"table"`
	Known   bool   `json:"known"`
	Version uint64 `json:"version"`
	// WaitMillis is how long the relay may wait for a change, in milliseconds.
	WaitMillis int64 `json:"waitMillis"`
}

// followResult is the answer of a relay.
type followResult struct {
	store.Changes
	// Lost is set if the answering proxy cannot serve the table: it is not a
	// relay, or the store does not respond to it.
	Lost bool `json:"lost,omitempty"`
}

// relays chooses the relays, which are the proxies that follow the store on
// behalf of the others. It polls them, and answers polls if this proxy is a
// relay itself. With many proxies, one call from each of them per change would
// be most of the store's load, so a few relays in each availability zone
// forward the changes. No other lock is taken while its lock is held.
type relays struct {
	self  proxy.Peer
	clock timers
	log   *zap.Logger
	// peers is set before the first poll of a relay.
	peers  *proxy.Peers
	copies map[string]*store.Cache

	mu sync.Mutex
	// preferred has all relays, sorted by preference.
	preferred   []proxy.Peer
	selfIsRelay bool
	avoidUntil  map[string]clock.Time
	// storeAnsweredAt is when the store last responded to this process, zero if
	// never.
	storeAnsweredAt clock.Time
}

func newRelays(self proxy.Peer, tables []string, c timers, log *zap.Logger) *relays {
	r := &relays{self: self, clock: c, log: log, copies: make(map[string]*store.Cache), avoidUntil: make(map[string]clock.Time)}
	for _, t := range tables {
		r.copies[t] = store.NewCache()
	}
	return r
}

// chooseRelays selects the relays among the live proxies, or none if there are
// too few proxies. The choice depends only on the members, so proxies with the
// same view choose the same relays.
func chooseRelays(members []proxy.Peer) []proxy.Peer {
	n := len(members) / proxiesPerRelay
	if n < minRelays {
		return nil
	}
	return proxy.ChoosePeers("relays", members, n+1)
}

// sortByPreference returns the relays in the order in which one proxy polls
// them: relays of its own zone first. Within a zone and among the others, the
// order differs between proxies, which spreads the load.
func sortByPreference(self proxy.Peer, list []proxy.Peer) []proxy.Peer {
	ordered := slices.Clone(list)
	rank := func(p proxy.Peer) uint64 { return xxhash.Sum64String(p.Name + "/" + self.Name) }
	slices.SortFunc(ordered, func(a, b proxy.Peer) int {
		aLocal, bLocal := a.Zone == self.Zone, b.Zone == self.Zone
		switch {
		case aLocal == bLocal:
			return cmp.Compare(rank(a), rank(b))
		case aLocal:
			return -1
		default:
			return 1
		}
	})
	return ordered
}

// setMembers updates the relays from the list of live proxies.
func (r *relays) setMembers(members []proxy.Peer) {
	list := chooseRelays(members)
	isRelay := proxy.ContainsPeer(list, r.self.Name)
	r.mu.Lock()
	changed := isRelay != r.selfIsRelay
	r.preferred, r.selfIsRelay = sortByPreference(r.self, list), isRelay
	r.mu.Unlock()
	if changed {
		r.log.Info("relay role changed", zap.Bool("relay", isRelay), zap.Int("relays", len(list)))
	}
}

// exist reports whether there are relays.
func (r *relays) exist() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.preferred) > 0
}

func (r *relays) isRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selfIsRelay
}

// candidates returns the relays that may be polled now. A relay itself has
// none, since it follows the store directly.
func (r *relays) candidates() []string {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.selfIsRelay {
		return nil
	}
	var names []string
	for _, p := range r.preferred {
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

// poll asks the relays for changes of a table, and returns these and the name
// of the relay that sent them. The error is errStoreLost if a relay responds
// but cannot reach the store, and errNoRelay if no relay responds or may be
// polled.
func (r *relays) poll(table string, known bool, version uint64) (store.Changes, string, error) {
	names := r.candidates()
	wait, grace := relayPollWait, relayPollGrace
	if !known {
		names = names[:min(len(names), 1)]
		wait, grace = initialPollWait, initialPollGrace
	}
	failure := errNoRelay
	began := r.clock.Now()
	for i, name := range names {
		if i >= baseRelayAttempts && r.clock.Now().Sub(began) > extraAttemptsLimit {
			break
		}
		p := followParams{Table: table, Known: known, Version: version, WaitMillis: int64(wait)}
		result, err := r.call(name, p, wait+grace)
		switch {
		case err != nil:
			r.log.Info("relay not responding", zap.String("relay", name), zap.String("table", table), logs.Error(err))
			r.avoid(name, relayCooldown)
		case result.Lost:
			r.log.Debug("relay cannot reach the store", zap.String("relay", name), zap.String("table", table))
			r.avoid(name, minRetryDelay)
			failure = errStoreLost
		default:
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
	if errors.Is(err, context.DeadlineExceeded) {
		// The connection may be broken, so it is not reused.
		r.peers.Drop(name)
	}
	return result, err
}

// update adds changes from the store or a relay to the local copy of a table,
// so that this process can serve the table once it is a relay.
func (r *relays) update(table string, changes store.Changes) { r.copies[table].Apply(changes) }

// markStoreAnswered records that the store has responded.
func (r *relays) markStoreAnswered(now clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeAnsweredAt = now
}

// markStoreLost records that the store does not respond. The copy of a table is
// not served to other proxies until the table has been updated again.
func (r *relays) markStoreLost() {
	for _, c := range r.copies {
		c.MarkUnavailable()
	}
}

// canServe reports whether this process is a relay with recent store contact.
func (r *relays) canServe(now clock.Time) bool { return r.isRelay() && r.storeAnsweredRecently(now) }

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
		fresh := c.Usable() && r.canServe(now)
		if fresh {
			if changes := c.Since(p.Known, p.Version); len(changes.Rows) > 0 || changes.Whole || now >= until {
				return followResult{Changes: changes}
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

// peerHandler dispatches calls of other proxies to the relay or to the session
// host.
type peerHandler struct {
	relays *relays
	host   proxy.Receiver
}

// Receive implements proxy.Receiver.
func (r *peerHandler) Receive(ctx context.Context, method string, params json.RawMessage) (any, error) {
	if method == methodFollow {
		return r.relays.handleFollow(params)
	}
	return r.host.Receive(ctx, method, params)
}
