package backend

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// statusTimeout bounds one status request to a database.
	statusTimeout = 400 * clock.Millisecond
	// preferredPeriod is how long Await asks only the preferred databases
	// before it asks the others too.
	preferredPeriod = 40 * clock.Millisecond
	// minStatusInterval is the time between the first two rounds of status
	// requests when the answers do not suffice. It doubles up to
	// maxStatusInterval.
	minStatusInterval = 8 * clock.Millisecond
	maxStatusInterval = 128 * clock.Millisecond
)

// GroupClient is this process's access to a database group: what is known about
// the group, and the connections to its databases. Its lock is taken before
// that of a pool.
type GroupClient struct {
	*group.Group
	Zone string
	// CheckReplacements finds out in the background whether a replacement of the primary
	// may take effect. It must be set before the group is used; nil if there are none.
	CheckReplacements func()

	dialer          Dialer
	settings        Settings
	clock           clock.Clock
	log             *zap.Logger
	onStatusRequest func()

	// connLostAt is the clock.Time at which a connection was last lost, zero if
	// none was.
	connLostAt atomic.Int64

	mu    sync.Mutex
	pools map[string]*Pool
	polls map[string]*statusPoll
	// createdAt is when the process began to serve the group.
	createdAt clock.Time
	// primaryID is the ID of the last known primary, empty if none was known.
	primaryID string
	// discoveredAt is when all databases were last asked for a primary.
	discoveredAt clock.Time
}

// statusPoll is the state of the status requests to one database.
type statusPoll struct {
	running bool
	// again is set when another request is to follow the running one.
	again bool
}

// NewGroupClient returns a client of a group without databases. onStatusRequest
// is called before each operation that returns a status.
func NewGroupClient(name, zone string, s Settings, d Dialer, c clock.Clock, log *zap.Logger, onStatusRequest func()) *GroupClient {
	return &GroupClient{
		Group: group.New(name), Zone: zone, dialer: d, settings: s, clock: c, onStatusRequest: onStatusRequest,
		log:   log.With(zap.String("group", name)),
		pools: make(map[string]*Pool), polls: make(map[string]*statusPoll),
		createdAt: c.Now(),
	}
}

// Update applies a registry entry. It creates a new pool for a database that is
// new or has a new incarnation or address. It ignores an entry that the database has
// replaced since.
func (g *GroupClient) Update(e group.Entry) {
	if g.Outdated(e) {
		g.log.Info("older database entry ignored", zap.String("database", e.ID), zap.Int64("incarnation", e.Incarnation),
			zap.Uint64("sequence", e.Sequence), zap.Bool("leaving", e.Leaving))
		return
	}
	now := g.clock.Now()
	last, known := g.LastEntry(e.ID)
	added := g.ObserveEntry(now, e)
	g.mu.Lock()
	cause, hint := g.returnLocked(now, e, last, known)
	old := g.pools[e.ID]
	if added || old == nil {
		to := Target{Group: g.Name, ID: e.ID, Address: e.Address}
		g.pools[e.ID] = NewPool(to, g.settings, g.dialer, g.clock, g.log, g.dialObserver(e.ID))
		g.polls[e.ID] = &statusPoll{}
	} else {
		old = nil
	}
	p := g.pools[e.ID]
	g.mu.Unlock()
	if old != nil {
		old.Close()
	}
	if cause != "" {
		p.Limiter.Return(now, cause, hint)
	}
	g.log.Info("database entry applied", zap.String("database", e.ID), zap.String("address", e.Address),
		zap.Stringer("role", e.Role), zap.Bool("leaving", e.Leaving), zap.Bool("new", added))
}

// SetMaxOpen changes how many connections to each database may be open.
func (g *GroupClient) SetMaxOpen(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.settings.MaxOpen == n {
		return
	}
	g.settings.MaxOpen = n
	for _, p := range g.pools {
		p.SetMaxOpen(n)
	}
}

// SetProcesses sets how many processes share the databases' slots.
func (g *GroupClient) SetProcesses(n int) {
	for _, m := range g.Members() {
		if p := g.Pool(m.ID); p != nil {
			p.Limiter.SetSlots(m.Slots, n)
		}
	}
}

// Sweep closes connections that have been unused for too long. With warm set, a
// few are kept open to each usable database.
func (g *GroupClient) Sweep(now clock.Time, warm bool) {
	for _, m := range g.Members() {
		if p := g.Pool(m.ID); p != nil {
			p.Sweep(now, warm && m.Usable() && m.LapsedAt == 0 && m.FailingSince == 0)
		}
	}
}

// RemoveExpired removes databases whose registry entries have been missing for
// too long, and closes their pools.
func (g *GroupClient) RemoveExpired() {
	for _, id := range g.Expire(g.clock.Now()) {
		g.mu.Lock()
		p := g.pools[id]
		delete(g.pools, id)
		delete(g.polls, id)
		g.mu.Unlock()
		if p != nil {
			p.Close()
		}
		g.log.Info("database removed", zap.String("database", id))
	}
}

// dialObserver returns a function that records the result of an attempt to
// connect to a database.
func (g *GroupClient) dialObserver(id string) func(statement.Answer, clock.Time, error) {
	return func(greeting statement.Answer, began clock.Time, err error) {
		now := g.clock.Now()
		var refused *statement.Failure
		switch {
		case err == nil:
			if p := g.Pool(id); p == nil || !p.malformed.Load() {
				g.ObservePosition(id, now, began, now, greeting.Position)
			}
			if m, leads := g.Primary(); leads && m.ID == id {
				// The process behind the connection has not said yet that it leads.
				g.RequestStatus(id)
			}
		case errors.As(err, &refused) && refused.Code == statement.CodeTooManyConnections:
			g.MarkAnswered(id, now)
		default:
			if g.RecordFailure(id, now) {
				g.log.Info("database unreachable", zap.String("database", id), logs.Error(err))
			}
		}
	}
}

// Pool returns the connection pool of a database, nil if the database is not in
// the group.
func (g *GroupClient) Pool(id string) *Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[id]
}

// RequestStatus requests a database's status without waiting for it. One
// request serves all callers that asked before it was sent.
func (g *GroupClient) RequestStatus(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	poll := g.polls[id]
	if poll == nil {
		return
	}
	if poll.running {
		poll.again = true
		return
	}
	poll.running = true
	go contain.Run(g.log, "status request", func() { g.pollStatus(id, poll) })
}

func (g *GroupClient) pollStatus(id string, poll *statusPoll) {
	for {
		if _, err := g.Command(id, statement.Status{}, statusTimeout); err != nil {
			g.log.Debug("status request failed", zap.String("database", id), logs.Error(err))
		}
		g.mu.Lock()
		if !poll.again {
			poll.running = false
			g.mu.Unlock()
			return
		}
		poll.again = false
		g.mu.Unlock()
	}
}

// Command sends an operation that a database answers with its status, and
// records the status.
func (g *GroupClient) Command(id string, op statement.Operation, limit clock.Duration) (database.Status, error) {
	p := g.Pool(id)
	if p == nil {
		return database.Status{}, &ClosedError{Database: id}
	}
	c, err := p.Acquire(g.clock.Now().Add(limit), nil)
	if err != nil {
		return database.Status{}, err
	}
	g.onStatusRequest()
	sent := g.clock.Now()
	x := exchanges.Get().(*exchange)
	defer exchanges.Put(x)
	x.requests[0] = statement.Request{Operation: op}
	for i := range x.answers {
		x.answers[i].Reset()
	}
	if err := c.exchangeStatus(limit, x); err != nil {
		c.Discard()
		g.RecordExchangeError(id, sent, err)
		return database.Status{}, err
	}
	now := g.clock.Now()
	status, err := c.DecodeStatus(&x.answers[0])
	if err == nil || x.answers[0].Failure != nil {
		c.Release()
	} else {
		// The rows may be those of another request.
		c.Discard()
	}
	if err != nil {
		g.MarkAnswered(id, now)
		return status, err
	}
	g.ObserveUptime(id, c.OpenedAt, sent)
	g.ObserveStatus(id, sent, now, status)
	if line := g.log.Check(zap.DebugLevel, "status"); line != nil {
		line.Write(zap.String("database", id), zap.Stringer("role", status.Role), zap.Uint64("term", status.Term),
			zap.Uint64("held", status.Fenced), zap.Stringer("received", status.Received), zap.Stringer("applied", status.Applied))
	}
	return status, nil
}

// exchange holds the request and the answer of one Command, and those of a fence.
type exchange struct {
	requests [1 + maxFrequentFenceSize]statement.Request
	answers  [1 + maxFrequentFenceSize]statement.Answer
}

var exchanges = sync.Pool{New: func() any { return new(exchange) }}

// MayBeDead reports whether an unused connection may be dead because another
// one was lost recently and this one has not been used since.
func (g *GroupClient) MayBeDead(c *PooledConn) bool {
	lost := clock.Time(g.connLostAt.Load())
	return lost != 0 && c.UsedAt <= lost && g.clock.Now().Sub(lost) < lossDoubtPeriod
}

// lossDoubtPeriod is how long after the loss of a connection the others are
// suspected to be dead too. TCP keepalive finds dead connections within this
// time.
const lossDoubtPeriod = 10 * clock.Second

// RecordConnectionLoss records that a request sent at the given time got no
// answer, or that its connection broke. Unless the database has answered since
// then, it discards the unused connections, which may be dead too. It keeps
// those to a database that is only busy, where setting up new ones would take
// slots away from statements.
func (g *GroupClient) RecordConnectionLoss(id string, sent clock.Time) {
	g.connLostAt.Store(int64(g.clock.Now()))
	if g.AnsweredSince(id, sent) {
		return
	}
	if p := g.Pool(id); p != nil {
		p.DiscardIdle()
	}
	if g.RecordFailure(id, sent) {
		g.log.Info("database unreachable", zap.String("database", id), zap.String("error", "connection broke or answer missing"))
	}
}

// RecordExchangeError records that an exchange that began at the given time failed with
// err. A database that has sent bytes that nobody waits for, or an answer of another request,
// is not lost, but these may have been sent long ago. One whose bytes are no answer is lost
// unless it has answered since then; its other connections are not dead.
func (g *GroupClient) RecordExchangeError(id string, began clock.Time, err error) {
	var notSent *NotSentError
	var unexpected *UnexpectedAnswerError
	switch {
	case errors.As(err, &notSent) && notSent.Unread > 0:
	case !errors.As(err, &unexpected):
		g.RecordConnectionLoss(id, began)
	case unexpected.Fault == FaultForm && !g.AnsweredSince(id, began) && g.RecordFailure(id, began):
		g.log.Info("database unreachable", zap.String("database", id), zap.String("error", "its bytes are no answers"))
	}
}

// Await waits until condition holds or the deadline has passed, and reports
// whether it holds. It requests the statuses that may fulfill the condition at
// growing intervals, first from the databases in prefer, later from all.
func (g *GroupClient) Await(deadline clock.Time, prefer []string, condition func() bool) bool {
	began := g.clock.Now()
	next, wait := began, minStatusInterval
	for {
		changed := g.Changed()
		if condition() {
			return true
		}
		now := g.clock.Now()
		if now >= deadline {
			return false
		}
		if now >= next {
			if now.Sub(began) < preferredPeriod {
				g.requestStatuses(prefer)
			} else {
				g.RequestAllStatuses()
			}
			next, wait = now.Add(wait), min(2*wait, maxStatusInterval)
		}
		// A change ends the wait early, but does not repeat the status
		// requests.
		WaitOrTimeout(changed, min(deadline, next).Sub(now))
	}
}

func (g *GroupClient) requestStatuses(ids []string) {
	for _, id := range ids {
		g.RequestStatus(id)
	}
}

// RequestAllStatuses requests the status of every database.
func (g *GroupClient) RequestAllStatuses() {
	for _, m := range g.Members() {
		g.RequestStatus(m.ID)
	}
}

// RequestReplacementCheck calls CheckReplacements, if there is one.
func (g *GroupClient) RequestReplacementCheck() {
	if g.CheckReplacements != nil {
		g.CheckReplacements()
	}
}

// DiscoverPrimary requests the status of all databases to learn their roles,
// unless it has done so within interval.
func (g *GroupClient) DiscoverPrimary(interval clock.Duration) {
	now := g.clock.Now()
	g.mu.Lock()
	due := now.Sub(g.discoveredAt) >= interval
	if due {
		g.discoveredAt = now
	}
	g.mu.Unlock()
	if due {
		g.RequestAllStatuses()
	}
}

// FastestReplicas returns the IDs of the databases other than the primary with
// the lowest expected latency, as many as are required to confirm the primary's
// leadership.
func (g *GroupClient) FastestReplicas() []string {
	now := g.clock.Now()
	type candidate struct {
		id   string
		cost float64
	}
	var room [usualMembers]group.Member
	var candidateRoom [usualMembers]candidate
	candidates := candidateRoom[:0]
	for _, m := range g.AppendMembers(room[:0]) {
		p := g.Pool(m.ID)
		if p == nil || m.Role == database.RolePrimary {
			continue
		}
		cost := readCost(now, &m, p, g.Zone, p.Stats().Open)
		candidates = append(candidates, candidate{m.ID, cost.Total})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	count := min(g.ReplicasToConfirm(), len(candidates))
	ids := make([]string, 0, count)
	for _, c := range candidates[:count] {
		ids = append(ids, c.id)
	}
	return ids
}

// Stats returns the connection counts of each database.
func (g *GroupClient) Stats() map[string]Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := make(map[string]Stats, len(g.pools))
	for id, p := range g.pools {
		counts[id] = p.Stats()
	}
	return counts
}

// Close closes the pools of all databases.
func (g *GroupClient) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		p.Close()
	}
}

// Log returns the group's logger.
func (g *GroupClient) Log() *zap.Logger { return g.log }
