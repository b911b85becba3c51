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

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// proxiesPerRelay is how many proxies share a relay at least: a call each
	// from so many every few seconds is little for the smallest machine.
	proxiesPerRelay = 25
	// fewRelays is below how many relays each proxy follows the store itself.
	fewRelays = 2
	// relayWait is how long a relay holds a question until something changes.
	// A relay that is silent for longer, by relayGrace, is not asked again for
	// relayPause; the sum is a fraction of the time in which changes have to be
	// known.
	relayWait  = 2 * clock.Second
	relayGrace = 500 * clock.Millisecond
	relayPause = 4 * clock.Second
	// firstWait and firstGrace take their places in the first question of a
	// process that knows nothing yet: callers wait for it.
	firstWait  = 25 * clock.Millisecond
	firstGrace = 25 * clock.Millisecond
	// pulse is how long the store may hold open a relay's feed of the
	// configuration. A relay that has heard nothing of the store for longer, by
	// pulseGrace, may be cut off from it, and says so: those who follow it are
	// not, and have to know a change within seconds.
	pulse      = 2 * clock.Second
	pulseGrace = 500 * clock.Millisecond
	// relayStoreWait takes the place of pulse in the other tables.
	relayStoreWait = 10 * clock.Second
	// relaysAsked is how many relays are asked before the store, and more if
	// those have taken no longer than quickRound: a relay in the same part of
	// the network spares the store a call.
	relaysAsked = 2
	quickRound  = 300 * clock.Millisecond
)

var (
	errNoRelay   = errors.New("no relay answers")
	errStoreLost = errors.New("the store does not answer the relays")
)

// methodFollow asks a relay for the changes of a table.
const methodFollow = "follow"

// followParams are what the asking proxy knows.
type followParams struct {
	Table   string `json:"table"`
	Known   bool   `json:"known"`
	Version uint64 `json:"version"`
	// WaitMillis is how long the relay may wait for a change, in ms.
	WaitMillis int64 `json:"waitMillis"`
}

// followResult is a relay's answer.
type followResult struct {
	store.Changes
	// Lost is set if the answering proxy is no relay, or the store does not
	// answer it.
	Lost bool `json:"lost,omitempty"`
}

// relays are the proxies that follow the store for the others. With many
// proxies, a call of each for every change is most of what the store does; a
// few relays in each availability zone pass the changes on. Its lock is taken
// before no other.
type relays struct {
	self  proxy.Peer
	clock clock.Clock
	log   *zap.Logger
	// peers is set before the first question to a relay.
	peers  *proxy.Peers
	copies map[string]*store.Cache

	mu      sync.Mutex
	ordered []proxy.Peer
	relay   bool
	avoided map[string]clock.Time
	// heardAt is when the store last answered this process.
	heardAt clock.Time
}

func newRelays(self proxy.Peer, tables []string, c clock.Clock, log *zap.Logger) *relays {
	r := &relays{self: self, clock: c, log: log, copies: make(map[string]*store.Cache), avoided: make(map[string]clock.Time)}
	for _, t := range tables {
		r.copies[t] = store.NewCache()
	}
	return r
}

// chooseRelays returns the relays among the live proxies, none if these are
// few. Every proxy that knows the same proxies chooses alike.
func chooseRelays(members []proxy.Peer) []proxy.Peer {
	n := len(members) / proxiesPerRelay
	if n < fewRelays {
		return nil
	}
	return proxy.ChooseWatchers("relays", members, n+1)
}

// inOrder sorts relays as one proxy asks them: those of its own zone first,
// each proxy in an order of its own, so that the relays share the work.
func inOrder(self proxy.Peer, list []proxy.Peer) []proxy.Peer {
	ordered := slices.Clone(list)
	rank := func(p proxy.Peer) uint64 { return xxhash.Sum64String(p.Name + "/" + self.Name) }
	slices.SortFunc(ordered, func(a, b proxy.Peer) int {
		near, other := a.Zone == self.Zone, b.Zone == self.Zone
		switch {
		case near == other:
			return cmp.Compare(rank(a), rank(b))
		case near:
			return -1
		default:
			return 1
		}
	})
	return ordered
}

// setMembers takes in the live proxies.
func (r *relays) setMembers(members []proxy.Peer) {
	list := chooseRelays(members)
	relay := proxy.ContainsPeer(list, r.self.Name)
	r.mu.Lock()
	changed := relay != r.relay
	r.ordered, r.relay = inOrder(r.self, list), relay
	r.mu.Unlock()
	if changed {
		r.log.Info("following the store for others", zap.Bool("relay", relay), zap.Int("relays", len(list)))
	}
}

// exist reports whether some proxies follow the store for others.
func (r *relays) exist() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ordered) > 0
}

func (r *relays) isRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relay
}

// candidates returns the relays to ask now, none for a proxy that follows the
// store itself.
func (r *relays) candidates() []string {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.relay {
		return nil
	}
	var names []string
	for _, p := range r.ordered {
		if now >= r.avoided[p.Name] {
			names = append(names, p.Name)
		}
	}
	return names
}

func (r *relays) avoid(name string, pause clock.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoided[name] = r.clock.Now().Add(pause)
}

// follow asks the relays for what has changed, and returns the one that told.
// The error is errStoreLost if relays answer and the store does not answer
// them, and errNoRelay if none answers.
func (r *relays) follow(table string, known bool, version uint64) (store.Changes, string, error) {
	names := r.candidates()
	wait, grace := relayWait, relayGrace
	if !known {
		names = names[:min(len(names), 1)]
		wait, grace = firstWait, firstGrace
	}
	failure := errNoRelay
	began := r.clock.Now()
	for i, name := range names {
		if i >= relaysAsked && r.clock.Now().Sub(began) > quickRound {
			break
		}
		p := followParams{Table: table, Known: known, Version: version, WaitMillis: int64(wait)}
		result, err := r.ask(name, p, wait+grace)
		switch {
		case err != nil:
			r.log.Info("relay lost", zap.String("relay", name), zap.String("table", table), logs.Error(err))
			r.avoid(name, relayPause)
		case result.Lost:
			r.log.Debug("relay without the store", zap.String("relay", name), zap.String("table", table))
			r.avoid(name, leastRetry)
			failure = errStoreLost
		default:
			return result.Changes, name, nil
		}
	}
	return store.Changes{}, "", failure
}

func (r *relays) ask(name string, p followParams, limit clock.Duration) (followResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit.Std())
	defer cancel()
	var result followResult
	err := r.peers.Call(ctx, name, methodFollow, p, &result)
	if errors.Is(err, context.DeadlineExceeded) {
		// A connection that has gone silent is not used again.
		r.peers.Drop(name)
	}
	return result, err
}

// take takes in what the store or a relay has answered, so that this process
// can serve others once it is a relay itself.
func (r *relays) take(table string, t store.Changes) { r.copies[table].Apply(t) }

// heard notes that the store has answered.
func (r *relays) heard(now clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heardAt = now
}

// lose notes that the store does not answer. Nobody may rely on any table
// until it was asked for again.
func (r *relays) lose() {
	for _, c := range r.copies {
		c.MarkUnavailable()
	}
}

// hears reports whether this process is a relay that the store answers.
func (r *relays) hears(now clock.Time) bool { return r.isRelay() && r.heardLately(now) }

// heardLately reports whether the store has answered this process of late.
func (r *relays) heardLately(now clock.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heardAt != 0 && now.Sub(r.heardAt) < pulse+pulseGrace
}

// serve answers another proxy's question.
func (r *relays) serve(params json.RawMessage) (any, error) {
	var p followParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	c := r.copies[p.Table]
	if c == nil {
		return nil, errors.Errorf("unknown table %q", p.Table)
	}
	return r.await(c, p), nil
}

// await waits until there is something to tell.
func (r *relays) await(c *store.Cache, p followParams) followResult {
	until := r.clock.Now().Add(min(clock.Duration(p.WaitMillis), relayWait))
	for {
		changed := c.Changed()
		now := r.clock.Now()
		fresh := c.Usable() && r.hears(now)
		if fresh {
			if t := c.Since(p.Known, p.Version); len(t.Rows) > 0 || t.Whole || now >= until {
				return followResult{Changes: t}
			}
		}
		// A relay that has just started will soon know the table.
		if !fresh && (p.Known || now >= until) {
			return followResult{Lost: true}
		}
		backend.Pause(changed, until.Sub(now))
	}
}

// receiver passes calls of other proxies on to the part that serves them.
type receiver struct {
	relays *relays
	host   proxy.Receiver
}

// Receive implements proxy.Receiver.
func (r *receiver) Receive(ctx context.Context, method string, params json.RawMessage) (any, error) {
	if method == methodFollow {
		return r.relays.serve(params)
	}
	return r.host.Receive(ctx, method, params)
}
