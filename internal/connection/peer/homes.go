package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// usableShare is the part of a database's connections that the proxies
	// plan with; the rest is for those that change places.
	usableShare = 0.75
	// A proxy needs a few connections to each database to serve a group itself.
	// Below homesBelow each, homes are chosen; they are given up again above
	// directAbove, so that a proxy that comes or goes does not change the plan.
	homesBelow  = 2.1
	directAbove = 2.6
	// homeConnections is how many connections to each database a home is
	// planned with.
	homeConnections = 5
	// proxiesPerHome is how many proxies share a home at least. With more homes
	// each one sees too little of the primary to know recent positions, and
	// together they begin with more requests than its queue holds.
	proxiesPerHome = 20
	// fewHomes is below how many homes the connections alone decide.
	fewHomes = 7
	// leastHomes are chosen where a database grants very few connections.
	leastHomes = 3
	// mostConnections bounds what one proxy opens to one database.
	mostConnections = 12
	// otherZoneCost is added to the expected latency of a home in another
	// availability zone, in ms: the way there and back, and the price of the
	// request's bytes, which are most of those between the zones.
	otherZoneCost = 25.0
	// unreachedCost is added, in ms, where another proxy has lately not reached
	// a home: with the network in parts, a home that answers is in this part,
	// and what it does not reach is in another.
	unreachedCost = 1000.0
	// unreachedLife is how long such news counts: a little longer than the
	// first pause after a failure.
	unreachedLife = 1500 * clock.Millisecond
	// absentPause keeps requests away from a home that could not be reached.
	absentPause = clock.Second
	// silentLimit is how long a home may leave all requests unanswered before
	// the connection to it is given up.
	silentLimit = clock.Second
	// silentPause keeps requests away from a home that did not answer.
	silentPause = 500 * clock.Millisecond
)

// Plan is how the connections to a group's databases are divided.
type Plan struct {
	// Homes is how many proxies keep connections, zero for all.
	Homes int
	// Connections is how many each of them opens to one database.
	Connections int
}

// NewPlan divides the connections that each database grants among proxies,
// after a plan that had homes or not.
func NewPlan(granted, proxies int, hadHomes bool) Plan {
	usable := int(float64(granted) * usableShare)
	proxies = max(proxies, 1)
	least := homesBelow
	if hadHomes {
		least = directAbove
	}
	if share := float64(usable) / float64(proxies); share >= least {
		return Plan{Connections: min(int(share), mostConnections)}
	}
	homes := min(usable/homeConnections, max(proxies/proxiesPerHome+1, fewHomes), proxies)
	homes = min(max(homes, leastHomes), proxies)
	return Plan{Homes: homes, Connections: min(max(usable/homes, 1), mostConnections)}
}

// Homes chooses the proxies that requests are passed on to. Its lock is taken
// before no other.
type Homes struct {
	self  string
	zone  string
	peers *proxy.Peers
	clock clock.Clock

	mu      sync.Mutex
	members []proxy.Peer
	granted map[string]int
	chosen  map[string]choice
	// divided tells which groups have homes by the plan in force.
	divided map[string]bool
	known   map[string]*knowledge
}

// knowledge is what is known of one proxy as a home.
type knowledge struct {
	pace *backend.Pace
	// failedAt is when it was last not reached, or did not answer in time; zero
	// once it has answered.
	failedAt clock.Time
	// hintedAt is when another proxy last said that it does not reach it.
	hintedAt clock.Time
}

// lately reports whether the news of a home out of reach still counts.
func lately(at, now clock.Time) bool { return at != 0 && now.Sub(at) < unreachedLife }

type choice struct {
	plan  Plan
	homes []proxy.Peer
	// own is set if this proxy serves the group itself.
	own bool
}

// NewHomes returns no homes: the proxy serves every group itself.
func NewHomes(self, zone string, peers *proxy.Peers, c clock.Clock) *Homes {
	return &Homes{
		self: self, zone: zone, peers: peers, clock: c, granted: make(map[string]int),
		chosen: make(map[string]choice), divided: make(map[string]bool), known: make(map[string]*knowledge),
	}
}

// SetMembers replaces the set of live proxies.
func (h *Homes) SetMembers(members []proxy.Peer) {
	h.peers.SetPeers(members)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members = members
	clear(h.chosen)
	for name := range h.known {
		if !proxy.ContainsPeer(members, name) {
			delete(h.known, name)
		}
	}
}

// SetGranted declares how many connections each database of a group grants.
func (h *Homes) SetGranted(granted map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.granted = granted
	clear(h.chosen)
}

// choiceLocked returns the homes of a group, which every proxy that knows the
// same members chooses alike.
func (h *Homes) choiceLocked(group string) choice {
	c, ok := h.chosen[group]
	if ok {
		return c
	}
	granted, declared := h.granted[group]
	if !declared {
		return choice{}
	}
	c = choice{plan: NewPlan(granted, len(h.members), h.divided[group]), own: true}
	h.divided[group] = c.plan.Homes > 0
	if granted > 0 && len(h.members) > 0 && c.plan.Homes > 0 {
		c.homes = proxy.ChooseWatchers("home/"+group, h.members, c.plan.Homes)
		c.own = proxy.ContainsPeer(c.homes, h.self)
	}
	h.chosen[group] = c
	return c
}

// Own reports whether this proxy serves a group itself, and how many
// connections to each database it may open. Nobody serves a group before it is
// known how many connections its databases grant.
func (h *Homes) Own(group string) (bool, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.choiceLocked(group)
	if !c.own {
		return false, 1
	}
	return true, max(c.plan.Connections, 1)
}

// Choose returns the home that is expected to answer first, among those that
// are not excluded.
func (h *Homes) Choose(group string, exclude []string) (string, bool) {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	best, lowest := "", 0.0
	for _, p := range h.choiceLocked(group).homes {
		if slices.Contains(exclude, p.Name) {
			continue
		}
		k := h.knowledgeLocked(p.Name)
		cost, avoid := k.pace.Expected(now, 1)
		if avoid {
			continue
		}
		if lately(k.hintedAt, now) {
			cost += unreachedCost
		}
		if p.Zone != h.zone {
			cost += otherZoneCost
		}
		cost *= 1 + 0.3*rand.Float64()
		if best == "" || cost < lowest {
			best, lowest = p.Name, cost
		}
	}
	return best, best != ""
}

func (h *Homes) knowledgeLocked(name string) *knowledge {
	k, ok := h.known[name]
	if !ok {
		k = &knowledge{pace: backend.NewPace()}
		h.known[name] = k
	}
	return k
}

func (h *Homes) pace(name string) *backend.Pace {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.knowledgeLocked(name).pace
}

// answered notes that a home has answered, and which homes it does not reach.
func (h *Homes) answered(name string, now clock.Time, unreachable []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.knowledgeLocked(name)
	k.failedAt, k.hintedAt = 0, 0
	for _, other := range unreachable {
		if proxy.ContainsPeer(h.members, other) {
			h.knowledgeLocked(other).hintedAt = now
		}
	}
}

// unreached notes that a home was not reached, or did not answer in time.
func (h *Homes) unreached(name string, now clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.knowledgeLocked(name).failedAt = now
}

// Unreachable returns the homes of a group that were lately not reached from
// here.
func (h *Homes) Unreachable(group string) []string {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for _, p := range h.choiceLocked(group).homes {
		if k, ok := h.known[p.Name]; ok && lately(k.failedAt, now) {
			names = append(names, p.Name)
		}
	}
	return names
}

// Patience returns how long to wait for a home's answer to a request that can
// be sent elsewhere.
func (h *Homes) Patience(name string, least, most clock.Duration) clock.Duration {
	return h.pace(name).Patience(least, most)
}

// NotSentError tells that a request has not reached another proxy.
type NotSentError struct {
	Home  string
	Cause error
}

func (e *NotSentError) Error() string { return "proxy " + e.Home + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

var errRefused = errors.New("it serves no requests for others")

// Run passes a request on. After a *NotSentError nothing has run; after any
// other error it may have.
func (h *Homes) Run(home string, run *Run, limit clock.Duration) (*Ran, error) {
	pace := h.pace(home)
	began := h.clock.Now()
	pace.Begin(began)
	ctx, cancel := context.WithTimeout(context.Background(), limit.Std())
	defer cancel()
	var ran Ran
	err := h.peers.Call(ctx, home, MethodRun, run, &ran)
	now := h.clock.Now()
	var unreached *proxy.UnreachableError
	var unknown *proxy.UnknownPeerError
	switch {
	case err == nil && ran.Refused:
		pace.Abandon(now, 0, absentPause)
		return nil, &NotSentError{Home: home, Cause: errRefused}
	case err == nil:
		pace.End(now, now.Sub(began))
		h.answered(home, now, ran.Unreachable)
		return &ran, nil
	case errors.As(err, &unreached), errors.As(err, &unknown):
		h.unreached(home, now)
		pace.Abandon(now, now.Sub(began), absentPause)
		return nil, &NotSentError{Home: home, Cause: err}
	default:
		h.unreached(home, now)
		if pace.Silent(now, silentLimit) {
			// A connection that has gone silent is not used again.
			h.peers.Drop(home)
		}
		pace.Abandon(now, now.Sub(began), silentPause)
		return nil, err
	}
}
