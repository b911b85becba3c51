package peer

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// usableShare is the fraction of a database's connections that is divided
	// among the proxies. The rest is reserved for connections that move from one
	// proxy to another.
	usableShare = 0.75
	// A proxy needs a few connections to each database to serve a group itself.
	// Homes are assigned if there are fewer than minDirectShare connections per
	// proxy, and dropped again at minDirectShareAfterHomes. The gap keeps the plan
	// stable when a single proxy joins or leaves.
	minDirectShare           = 2.1
	minDirectShareAfterHomes = 2.6
	// homeConnections is the planned number of connections from a home to each
	// database.
	homeConnections = 5
	// proxiesPerHome is about how many proxies share a home once there are more
	// than uncappedHomes homes. With more homes, each one has too little traffic
	// with the primary to know recent log positions, and together they begin with
	// more requests in flight than the primary's queue holds.
	proxiesPerHome = 20
	// uncappedHomes is the number of homes up to which only the available
	// connections limit the number of homes.
	uncappedHomes = 7
	// minHomes is the number of homes if a database accepts very few connections.
	minHomes = 3
	// maxConnections is the maximum number of connections from one proxy to one
	// database.
	maxConnections = 12
	// homeConcurrency is how many requests of one proxy a home runs without
	// making them wait for each other. With more in flight, other homes become
	// the better choice, at the price of the traffic between zones and of one
	// more connection.
	homeConcurrency = 4
	// crossZoneCost is added to the expected latency of a home in another
	// availability zone, in ms. It stands for the round trip between the zones
	// and for the price of the transferred bytes: forwarded requests are most of
	// the traffic between zones.
	crossZoneCost = 25.0
	// unreachableCost is added to the expected latency of a home, in ms, if
	// another home has recently reported it as unreachable. In a network
	// partition, a home that answers is on this side, and homes that it cannot
	// reach are on the other side.
	unreachableCost = 1000.0
	// unreachableTTL is how long a failure to reach a home, or another home's
	// report of one, counts as recent. It is a little longer than
	// unreachablePause, the first pause after a failure.
	unreachableTTL = 1500 * clock.Millisecond
	// unreachablePause is how long a home is avoided after it could not be
	// reached.
	unreachablePause = clock.Second
	// silenceTimeout is how long a home may leave all requests unanswered before
	// the connection to it is closed.
	silenceTimeout = clock.Second
	// unansweredPause is how long a home is avoided after it did not answer.
	unansweredPause = 500 * clock.Millisecond
)

// Plan defines how the connections to a group's databases are divided among the
// proxies.
type Plan struct {
	// Homes is the number of proxies that hold connections. Zero means that all
	// proxies do.
	Homes int
	// Connections is the number of connections that each of them opens to one
	// database.
	Connections int
}

// NewPlan divides the connections that each database accepts among the given
// number of proxies. hadHomes tells whether the previous plan had homes.
func NewPlan(connectionLimit, proxies int, hadHomes bool) Plan {
	usable := int(float64(connectionLimit) * usableShare)
	proxies = max(proxies, 1)
	minShare := minDirectShare
	if hadHomes {
		minShare = minDirectShareAfterHomes
	}
	if share := float64(usable) / float64(proxies); share >= minShare {
		return Plan{Connections: min(int(share), maxConnections)}
	}
	homes := min(usable/homeConnections, max(proxies/proxiesPerHome+1, uncappedHomes), proxies)
	homes = min(max(homes, minHomes), proxies)
	return Plan{Homes: homes, Connections: min(max(usable/homes, 1), maxConnections)}
}

// Homes assigns home proxies to database groups and forwards requests to them.
// While its lock is held, no lock other than that of a LatencyTracker is
// acquired.
type Homes struct {
	self  string
	zone  string
	peers *proxy.Peers
	clock clock.Clock
	// rollbacks has a lock of its own.
	rollbacks rollbacks

	mu               sync.Mutex
	members          []proxy.Peer
	connectionLimits map[string]int
	assignments      map[string]assignment
	// usesHomes tells which groups have homes according to the current plan.
	usesHomes map[string]bool
	states    map[string]*homeState
	// workspaces is nil if the configuration declares none.
	workspaces *routes.Workspaces
	// primaryZone returns the availability zone of a group's primary, empty if it is
	// not known.
	primaryZone func(group string) string
}

// homeState holds the latency and the failures of one proxy as a home.
type homeState struct {
	latency *backend.LatencyTracker
	// failedAt is when it last could not be reached or did not answer in time.
	// It is zero after an answer.
	failedAt clock.Time
	// answeredAt is when it last answered.
	answeredAt clock.Time
	// reportedAt is when another proxy last reported it as unreachable.
	reportedAt clock.Time
}

// isRecent reports whether at, the time of a failure or of a report, is set and
// less than unreachableTTL ago.
func isRecent(at, now clock.Time) bool { return at != 0 && now.Sub(at) < unreachableTTL }

// assignment is the plan for one group and the homes chosen by it.
type assignment struct {
	plan  Plan
	homes []proxy.Peer
	// local is set if this proxy serves the group itself.
	local bool
	// placements has the orders of homes that were asked for.
	placements map[placementKey]placement
}

// NewHomes returns a Homes without members and connection limits. No group
// is served, here or at a home, before its connection limit is set. As long as
// there are no members, this proxy serves all groups with a limit itself.
func NewHomes(self, zone string, peers *proxy.Peers, c clock.Clock, options ...Option) *Homes {
	h := &Homes{
		self: self, zone: zone, peers: peers, clock: c, connectionLimits: make(map[string]int),
		assignments: make(map[string]assignment), usesHomes: make(map[string]bool), states: make(map[string]*homeState),
		primaryZone: func(string) string { return "" },
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// Option configures a Homes.
type Option func(*Homes)

// WithPrimaryZone sets the function that returns the availability zone of a
// group's primary, or an empty string. It is called without a lock.
func WithPrimaryZone(f func(group string) string) Option {
	return func(h *Homes) { h.primaryZone = f }
}

// SetMembers replaces the set of live proxies.
func (h *Homes) SetMembers(members []proxy.Peer) {
	h.peers.SetPeers(members)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members = members
	clear(h.assignments)
	for name := range h.states {
		if !proxy.ContainsPeer(members, name) {
			delete(h.states, name)
		}
	}
}

// SetConnectionLimits sets, by group name, how many connections each database
// of the group accepts from all proxies together. Groups whose limit is the same keep
// their homes: choosing them again would delay the next requests of all groups.
func (h *Homes) SetConnectionLimits(limits map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.assignments, func(group string, _ assignment) bool {
		before, had := h.connectionLimits[group]
		now, has := limits[group]
		return had != has || before != now
	})
	h.connectionLimits = limits
}

// assignmentLocked returns the assignment of a group. All proxies that know the
// same members choose the same homes.
func (h *Homes) assignmentLocked(group string) assignment {
	a, ok := h.assignments[group]
	if ok {
		return a
	}
	limit, declared := h.connectionLimits[group]
	if !declared {
		return assignment{}
	}
	a = assignment{plan: NewPlan(limit, len(h.members), h.usesHomes[group]), local: true, placements: make(map[placementKey]placement)}
	h.usesHomes[group] = a.plan.Homes > 0
	if limit > 0 && len(h.members) > 0 && a.plan.Homes > 0 {
		a.homes = proxy.Choose("home/"+group, h.members, a.plan.Homes)
		if h.workspaces != nil {
			a.plan.Connections = workspaceConnections(limit, len(a.homes))
		}
		a.local = proxy.ContainsPeer(a.homes, h.self)
	}
	h.assignments[group] = a
	return a
}

// ServesLocally reports whether this proxy serves a group itself, and returns
// how many connections it may open to each database: one if it does not serve
// the group. No proxy serves a group before the connection limit of the group
// is known.
func (h *Homes) ServesLocally(group string) (bool, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.assignmentLocked(group)
	if !a.local {
		return false, 1
	}
	return true, max(a.plan.Connections, 1)
}

// Processes returns how many proxies serve a group themselves.
func (h *Homes) Processes(group string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.assignmentLocked(group).homes); n > 0 {
		return n
	}
	return max(len(h.members), 1)
}

// Homes returns the homes of a group, none if all proxies serve it.
func (h *Homes) Homes(group string) []proxy.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.assignmentLocked(group).homes)
}

// Choose returns the home of a group that is expected to answer first for a
// workspace, or for requests of no workspace if that is empty, among those that
// are not excluded. It returns false if there is none.
func (h *Homes) Choose(group, workspace string, exclude []string) (string, bool) {
	now := h.clock.Now()
	primaryZone := h.placementZone(group, workspace)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.chooseLocked(now, h.placementLocked(group, workspace, primaryZone), exclude, randomFactor)
}

func (h *Homes) stateLocked(name string) *homeState {
	state, ok := h.states[name]
	if !ok {
		state = &homeState{latency: backend.NewLatencyTracker()}
		h.states[name] = state
	}
	return state
}

func (h *Homes) latencyTracker(name string) *backend.LatencyTracker {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stateLocked(name).latency
}

// recordAnswer records that a home has answered, and which homes it reported as
// unreachable.
func (h *Homes) recordAnswer(name string, now clock.Time, unreachable []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.stateLocked(name)
	state.answeredAt, state.failedAt, state.reportedAt = now, 0, 0
	for _, other := range unreachable {
		if proxy.ContainsPeer(h.members, other) {
			h.stateLocked(other).reportedAt = now
		}
	}
}

// recordUnreachable records that a home could not be reached or did not answer
// in time.
func (h *Homes) recordUnreachable(name string, now clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stateLocked(name).failedAt = now
}

// Unreachable returns the names of the homes of a group that this proxy could
// not reach recently.
func (h *Homes) Unreachable(group string) []string {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for _, p := range h.assignmentLocked(group).homes {
		if state, ok := h.states[p.Name]; ok && isRecent(state.failedAt, now) {
			names = append(names, p.Name)
		}
	}
	return names
}

// AttemptTimeout returns how long to wait for a home's answer to a request that
// can be sent to another home, between minTimeout and maxTimeout.
func (h *Homes) AttemptTimeout(name string, minTimeout, maxTimeout clock.Duration) clock.Duration {
	return h.latencyTracker(name).AttemptTimeout(minTimeout, maxTimeout)
}

// NotRunError reports that a request did not run at another proxy: the proxy
// could not be reached or refused it.
type NotRunError struct {
	Home  string
	Cause error
}

func (e *NotRunError) Error() string { return "proxy " + e.Home + ": " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

var errRefused = errors.New("it serves no requests for others")

// Forward sends a request to a home and waits up to limit for the response. A
// *NotRunError means that the request did not run; after any other error it may
// have run.
func (h *Homes) Forward(home string, run *RunRequest, limit clock.Duration) (*RunResponse, error) {
	return h.forward(home, run, limit, false)
}

// forward is Forward. If again is set, the home is known not to answer, and another
// failure is not counted against it.
func (h *Homes) forward(home string, run *RunRequest, limit clock.Duration, again bool) (*RunResponse, error) {
	latency := h.latencyTracker(home)
	began := h.clock.Now()
	latency.Begin(began)
	var response RunResponse
	err := h.peers.Run(context.Background(), home, run, &response, limit.Std())
	now := h.clock.Now()
	if err != nil {
		if again {
			return nil, h.repeatFailed(home, latency, now, err)
		}
		return nil, h.forwardFailed(home, latency, now, now.Sub(began), err)
	}
	if response.Refused {
		latency.Abandon(now, 0, unreachablePause)
		return nil, &NotRunError{Home: home, Cause: errRefused}
	}
	latency.End(now, now.Sub(began))
	h.recordAnswer(home, now, response.Unreachable)
	return &response, nil
}

// forwardFailed records that a home did not answer a request, and returns the error
// that Forward returns.
func (h *Homes) forwardFailed(home string, latency *backend.LatencyTracker, now clock.Time, took clock.Duration, err error) error {
	var changed *proxy.ChangedTextError
	if errors.As(err, &changed) {
		// Nothing is wrong with the home.
		latency.Abandon(now, 0, 0)
		return &NotRunError{Home: home, Cause: err}
	}
	h.recordUnreachable(home, now)
	var unreachable *proxy.UnreachableError
	var unknown *proxy.UnknownPeerError
	if errors.As(err, &unreachable) || errors.As(err, &unknown) {
		latency.Abandon(now, took, unreachablePause)
		return &NotRunError{Home: home, Cause: err}
	}
	if latency.Unresponsive(now, silenceTimeout) {
		// The connection may be dead; the next request opens a new one.
		h.peers.Drop(home)
	}
	latency.Abandon(now, took, unansweredPause)
	return err
}

// repeatFailed is forwardFailed for a home that is known not to answer.
func (h *Homes) repeatFailed(home string, latency *backend.LatencyTracker, now clock.Time, err error) error {
	if latency.Unresponsive(now, silenceTimeout) {
		h.peers.Drop(home)
	}
	latency.Abandon(now, 0, 0)
	return err
}
