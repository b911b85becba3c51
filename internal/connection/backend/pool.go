package backend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Settings are the parameters of a pool.
type Settings struct {
	// MaxOpen is the maximum number of connections that this process opens to
	// one database.
	MaxOpen int
	// MinOpen is how many connections are kept open ahead of need.
	MinOpen int
	// DialTimeout bounds the opening of one connection.
	DialTimeout clock.Duration
	// MaxDials bounds how many connections are opened concurrently, since each
	// occupies a slot of the database while it is set up.
	MaxDials int
	// MinRetryDelay is the wait after a failed attempt to connect. It doubles
	// with each further failure, up to MaxRetryDelay.
	MinRetryDelay, MaxRetryDelay clock.Duration
	// MaxFullRetryDelay is the longest wait after the database has refused a
	// connection because it has too many. The wait is random, since other
	// proxies wait too.
	MaxFullRetryDelay clock.Duration
	// MinIdleTime and MaxIdleTime bound how long an unused connection is kept.
	// The time grows with each reuse and falls when the database refuses a
	// connection because it has too many.
	MinIdleTime, MaxIdleTime clock.Duration
	// MaxWaiting is how many requests may wait for a connection.
	MaxWaiting int
	// ProbeReturned is set if a database that has started, recovered, been promoted or
	// returned from a drain is probed before it gets its usual load.
	ProbeReturned bool
}

// DefaultSettings returns settings for databases with a few slots that are
// shared by many small proxies.
func DefaultSettings() Settings {
	return Settings{
		MaxOpen: 3, MinOpen: 1, DialTimeout: 400 * clock.Millisecond, MaxDials: 2,
		MinRetryDelay: 25 * clock.Millisecond, MaxRetryDelay: 200 * clock.Millisecond,
		MaxFullRetryDelay: 60 * clock.Millisecond, MinIdleTime: 150 * clock.Millisecond, MaxIdleTime: 60 * clock.Second, MaxWaiting: 24,
	}
}

// The following errors are returned instead of a connection, so nothing was
// sent to the database that they name.

// ClosedError reports that the database has left its group.
type ClosedError struct{ Database string }

func (e *ClosedError) Error() string { return "database " + e.Database + " has gone" }

// QueueFullError reports that too many requests wait for a connection already.
type QueueFullError struct {
	Database string
	// Waiting is how many requests wait.
	Waiting int
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d requests already wait for a connection to %s", e.Waiting, e.Database)
}

// AcquireTimeoutError reports that no connection became free in time.
type AcquireTimeoutError struct {
	Database string
	Waited   clock.Duration
}

func (e *AcquireTimeoutError) Error() string {
	return fmt.Sprintf("no connection to %s became free within %s", e.Database, e.Waited)
}

// NoConnectionsError reports that this process may open no connection to the
// database.
type NoConnectionsError struct {
	Database string
	// Limit is the number of connections that the process may open.
	Limit int
}

func (e *NoConnectionsError) Error() string {
	return fmt.Sprintf("no connection to %s is open, and %d may be opened", e.Database, e.Limit)
}

// DialError is returned when a database could not be reached.
type DialError struct {
	Target Target
	Cause  error
}

func (e *DialError) Error() string { return "connect to " + e.Target.ID + ": " + e.Cause.Error() }

// Unwrap returns the cause of the failed dial.
func (e *DialError) Unwrap() error { return e.Cause }

// Pool keeps the connections to one database. No other lock is taken while its
// lock is held.
type Pool struct {
	Target
	Latency LatencyTracker
	Limiter Limiter

	settings Settings
	dialer   Dialer
	clock    clock.Clock
	log      *zap.Logger
	onDial   func(statement.Answer, clock.Time, error)
	// exchangePart names an exchange with the database in logs of a contained panic.
	exchangePart string
	faults       faultCounts
	// malformed is set while the last bytes of the database were no answer. That it greets new
	// connections is no sign of life then.
	malformed atomic.Bool

	mu      sync.Mutex
	idle    []*PooledConn
	open    int
	dialing int
	// openFor and dialingFor count the connections that are open and being opened
	// by workspace.
	openFor    map[string]int
	dialingFor map[string]int
	// waiting is in the order of arrival.
	waiting []connWaiter
	closed  bool
	// dialErr is why the last attempt to connect failed. No other attempt is
	// made before retryAt.
	dialErr error
	backoff clock.Duration
	retryAt clock.Time
	// idleTimeout is how long an unused connection is currently kept.
	idleTimeout clock.Duration
}

// SetMaxOpen changes how many connections may be open.
func (p *Pool) SetMaxOpen(n int) {
	p.mu.Lock()
	p.settings.MaxOpen = n
	p.mu.Unlock()
}

// initialIdleTimeout is how long an unused connection is kept before any
// connection was reused or refused.
const initialIdleTimeout = 2 * clock.Second

// NewPool returns an empty pool. onDial is called after each attempt to connect
// with the greeting, the time at which the attempt began, and the error.
func NewPool(to Target, s Settings, d Dialer, c clock.Clock, log *zap.Logger, onDial func(statement.Answer, clock.Time, error)) *Pool {
	return &Pool{
		Target: to, settings: s, dialer: d, clock: c, log: log, onDial: onDial, idleTimeout: initialIdleTimeout,
		openFor: make(map[string]int), dialingFor: make(map[string]int), exchangePart: "exchange with database " + to.ID,
		Limiter: Limiter{probes: s.ProbeReturned, log: log.With(zap.String("database", to.ID))},
	}
}

// Acquire returns any connection, for a request of the proxy itself. It waits and
// fails as AcquireFor does.
func (p *Pool) Acquire(deadline clock.Time, values map[string]string) (*PooledConn, error) {
	return p.acquire(deadline, connWaiter{anyWorkspace: true}, values)
}

// AcquireFor returns a connection of a workspace for a session with the given
// values, preferring one that needs the least work to set them. If none is free,
// it opens another one as far as the limits allow, for which an idle one of
// another workspace may be closed, and waits until the deadline for whichever
// connection is free first. It returns one of the errors above, or that of the
// last attempt to connect.
func (p *Pool) AcquireFor(deadline clock.Time, workspace string, values map[string]string) (*PooledConn, error) {
	return p.acquire(deadline, connWaiter{workspace: workspace}, values)
}

// acquire returns a connection on which nothing is unread. It returns a *NotSentError if
// that is not so on one that was just opened, which counts as a failed attempt to connect.
func (p *Pool) acquire(deadline clock.Time, w connWaiter, values map[string]string) (*PooledConn, error) {
	for {
		c, err := p.acquireUnprobed(deadline, w, values)
		if err != nil {
			return nil, err
		}
		err = c.Probe()
		if err == nil {
			return c, nil
		}
		p.log.Info("unused connection closed", zap.String("database", p.ID), logs.Error(err))
		c.Discard()
		if !c.exchanged {
			p.mu.Lock()
			p.dialFailedLocked(err)
			p.mu.Unlock()
			return nil, err
		}
	}
}

// acquireUnprobed returns a connection on which bytes may have arrived while it was
// unused.
func (p *Pool) acquireUnprobed(deadline clock.Time, w connWaiter, values map[string]string) (*PooledConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &ClosedError{Database: p.ID}
	}
	if c := p.takeIdleLocked(&w, values); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if waiting := len(p.waiting); waiting >= p.settings.MaxWaiting {
		p.mu.Unlock()
		return nil, &QueueFullError{Database: p.ID, Waiting: waiting}
	}
	w.ch, w.since = make(chan grant, 1), p.clock.Now()
	p.waiting = append(p.waiting, w)
	p.dialMoreLocked()
	if p.open+p.dialing == 0 {
		p.waiting = p.waiting[:len(p.waiting)-1]
		err := p.noConnectionErrorLocked()
		p.mu.Unlock()
		return nil, err
	}
	p.mu.Unlock()
	return p.wait(w.ch, deadline)
}

// OpenFor returns how many connections of a workspace are open or being opened.
func (p *Pool) OpenFor(workspace string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openFor[workspace] + p.dialingFor[workspace]
}

// noConnectionErrorLocked returns why no connection is open or being opened.
func (p *Pool) noConnectionErrorLocked() error {
	if p.dialErr != nil && p.settings.MaxOpen > 0 {
		return p.dialErr
	}
	return &NoConnectionsError{Database: p.ID, Limit: p.settings.MaxOpen}
}

// AttemptTimeout returns how long to wait for the answer to a request that can
// be sent elsewhere. It returns maxTimeout for a database that recently refused
// requests because of load: it runs every request that it has accepted, so
// abandoning one saves nothing.
func (p *Pool) AttemptTimeout(minTimeout, maxTimeout clock.Duration) clock.Duration {
	if p.Limiter.RecentlyRefused(p.clock.Now()) {
		return maxTimeout
	}
	return p.Latency.AttemptTimeout(minTimeout, maxTimeout)
}

// idleGrowthDivisor sets the growth of the idle timeout: each reuse of a
// connection adds 1/idleGrowthDivisor of the timeout to it.
const idleGrowthDivisor = 8

// Sweep closes connections that have been unused for longer than the idle
// timeout. With warm set, MinOpen connections are kept, and opened if there are
// fewer: a burst of requests should not have to wait for connections, whose
// setup takes database slots away from statements.
func (p *Pool) Sweep(now clock.Time, warm bool) {
	p.mu.Lock()
	minOpen := 0
	if warm && !p.closed {
		minOpen = min(p.settings.MinOpen, p.settings.MaxOpen)
	}
	if p.open+p.dialing < minOpen && p.mayDialLocked() {
		p.startDialLocked("")
	}
	var expired []*PooledConn
	kept := p.idle[:0]
	for i, c := range p.idle {
		needed := len(kept)+len(p.idle)-i <= minOpen
		if now.Sub(c.UsedAt) >= p.idleTimeout && !needed {
			expired = append(expired, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
}

// takeIdleLocked removes and returns the idle connection for w that needs the
// least work to set values, the most recently used one among equals. It returns
// nil if there is none.
func (p *Pool) takeIdleLocked(w *connWaiter, values map[string]string) *PooledConn {
	best, rank := -1, -1
	for i := len(p.idle) - 1; i >= 0 && rank < 2; i-- {
		if !w.accepts(p.idle[i]) {
			continue
		}
		r := 0
		if p.idle[i].CanAdopt(values) {
			r = 1
		}
		if p.idle[i].hasExactly(values) {
			r = 2
		}
		if r > rank {
			best, rank = i, r
		}
	}
	if best < 0 {
		return nil
	}
	c := p.idle[best]
	p.idleTimeout = min(p.idleTimeout+p.idleTimeout/idleGrowthDivisor, p.settings.MaxIdleTime)
	p.idle = append(p.idle[:best], p.idle[best+1:]...)
	return c
}

// connWaiter is a request that waits for a connection.
type connWaiter struct {
	workspace string
	// anyWorkspace is set if connections of all workspaces serve the request.
	anyWorkspace bool
	since        clock.Time
	ch           chan grant
}

// accepts reports whether a connection serves the request.
func (w *connWaiter) accepts(c *PooledConn) bool { return w.anyWorkspace || w.workspace == c.Workspace }

// mayDialLocked reports whether another connection may be opened now.
func (p *Pool) mayDialLocked() bool {
	return p.dialing < p.settings.MaxDials && p.clock.Now() >= p.retryAt
}

// dialMoreLocked starts opening connections, one for each waiting request, as far
// as the limits allow. If the pool may open no more, it closes idle connections
// of other workspaces instead.
func (p *Pool) dialMoreLocked() {
	needed := make(map[string]int, len(p.dialingFor))
	for i := range p.waiting {
		w := &p.waiting[i]
		if needed[w.workspace]++; needed[w.workspace] <= p.dialingFor[w.workspace] {
			continue
		}
		if !p.mayDialLocked() || p.open+p.dialing >= p.settings.MaxOpen && !p.evictIdleLocked(w.workspace) {
			return
		}
		p.startDialLocked(w.workspace)
	}
}

func (p *Pool) startDialLocked(workspace string) {
	p.dialing++
	p.dialingFor[workspace]++
	go p.dial(workspace)
}

// evictIdleLocked closes the idle connection that has been unused for longest
// among those of other workspaces. It reports whether there was one.
func (p *Pool) evictIdleLocked(workspace string) bool {
	oldest := -1
	for i, c := range p.idle {
		if c.Workspace != workspace && (oldest < 0 || c.UsedAt < p.idle[oldest].UsedAt) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	c := p.idle[oldest]
	p.idle = append(p.idle[:oldest], p.idle[oldest+1:]...)
	p.forgetLocked(c)
	go c.Close()
	return true
}

// forgetLocked stops counting a connection that is being closed.
func (p *Pool) forgetLocked(c *PooledConn) {
	p.open--
	if p.openFor[c.Workspace]--; p.openFor[c.Workspace] <= 0 {
		delete(p.openFor, c.Workspace)
	}
}

func (p *Pool) wait(ch chan grant, deadline clock.Time) (*PooledConn, error) {
	limit := max(deadline.Sub(p.clock.Now()), 0)
	timer := time.NewTimer(limit.Std())
	defer timer.Stop()
	select {
	case g := <-ch:
		return g.conn, g.err
	case <-timer.C:
	}
	if !p.stopWaiting(ch) {
		if g := <-ch; g.conn != nil {
			g.conn.Release()
		}
	}
	return nil, &AcquireTimeoutError{Database: p.ID, Waited: limit}
}

// stopWaiting removes ch from the queue. It returns false if a grant was already
// sent to ch.
func (p *Pool) stopWaiting(ch chan grant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.waiting {
		if p.waiting[i].ch == ch {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// dial opens a connection. It continues even if the request that needed the
// connection gives up, since the database has already spent a slot on it by
// then.
func (p *Pool) dial(workspace string) {
	began := p.clock.Now()
	target := p.Target
	target.Workspace = workspace
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.DialTimeout.Std())
	var conn Conn
	var greeting statement.Answer
	err := contain.Call(p.log, "connection setup", func() (err error) {
		conn, greeting, err = p.dialer.Dial(ctx, target)
		return err
	})
	cancel()
	opened := p.clock.Now()
	p.onDial(greeting, began, err)
	p.mu.Lock()
	p.dialing--
	if p.dialingFor[workspace]--; p.dialingFor[workspace] <= 0 {
		delete(p.dialingFor, workspace)
	}
	if err != nil {
		p.dialFailedLocked(err)
		p.mu.Unlock()
		return
	}
	p.open++
	p.openFor[workspace]++
	p.backoff = 0
	p.mu.Unlock()
	c := &PooledConn{Conn: conn, Workspace: workspace, OpenedAt: opened, pool: p, Values: make(map[string]string), Prepared: make(map[string]struct{})}
	c.Release()
}

// dialFailedLocked sets the time of the next attempt to connect. It passes the
// error to the waiting requests, unless a connection that is open or being
// opened may still serve them.
func (p *Pool) dialFailedLocked(err error) {
	var refused *statement.Failure
	full := errors.As(err, &refused) && refused.Code == statement.CodeTooManyConnections
	if refused == nil {
		err = &DialError{Target: p.Target, Cause: err}
	}
	p.dialErr = err
	p.backoff = min(max(2*p.backoff, p.settings.MinRetryDelay), p.settings.MaxRetryDelay)
	wait := p.backoff
	if full {
		p.idleTimeout = max(p.idleTimeout/2, p.settings.MinIdleTime)
		p.backoff, wait = 0, 1+clock.Duration(rand.Int64N(int64(p.settings.MaxFullRetryDelay)))
		if len(p.waiting) > 0 && p.evictIdleLocked(p.waiting[0].workspace) {
			// The closed connection makes room at the database.
			wait = evictedRetryDelay
		}
	}
	p.retryAt = p.clock.Now().Add(wait)
	p.refuseWaitingLocked()
	if len(p.waiting) > 0 && p.waiting[0].workspace != "" {
		// Connections of other workspaces are open, but none that is released
		// serves this request.
		time.AfterFunc(wait.Std(), p.dialAgain)
	}
}

// dialAgain opens connections for waiting requests after a failed attempt.
func (p *Pool) dialAgain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.dialMoreLocked()
	}
}

// refuseWaitingLocked refuses the waiting requests if no connection that is open
// or being opened can serve them.
func (p *Pool) refuseWaitingLocked() {
	if p.open+p.dialing > 0 {
		return
	}
	err := p.noConnectionErrorLocked()
	p.refuseAllLocked(err)
}

// refuseAllLocked passes an error to all waiting requests.
func (p *Pool) refuseAllLocked(err error) {
	for _, w := range p.waiting {
		w.ch <- grant{err: err}
	}
	p.waiting = nil
}

// grant is the result that a waiting request receives.
type grant struct {
	conn *PooledConn
	err  error
}

const (
	// evictedRetryDelay is the wait before the next attempt to connect after an idle
	// connection was closed because the database has too many: a round trip.
	evictedRetryDelay = 5 * clock.Millisecond
	// maxForeignWait is how long a request waits while connections keep serving other
	// workspaces. Then the next one to be released is closed for it, which costs the
	// database the setup of another.
	maxForeignWait = 30 * clock.Millisecond
)

// grantLocked passes a connection to the request that has waited longest among
// those that it serves. It reports whether there was one.
func (p *Pool) grantLocked(c *PooledConn) bool {
	for i := range p.waiting {
		if w := &p.waiting[i]; w.accepts(c) {
			ch := w.ch
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			ch <- grant{conn: c}
			return true
		}
	}
	return false
}

// starvingLocked reports whether the request that has waited longest needs a
// connection of another workspace than c's, and gets none because all are in use.
func (p *Pool) starvingLocked(c *PooledConn) bool {
	if len(p.waiting) == 0 || p.open+p.dialing < p.settings.MaxOpen {
		return false
	}
	w := &p.waiting[0]
	return !w.accepts(c) && p.dialingFor[w.workspace] == 0 && c.UsedAt.Sub(w.since) >= maxForeignWait
}

// Release returns the connection to the pool. A connection on which a transaction is
// open is closed instead, which rolls the transaction back.
func (c *PooledConn) Release() {
	p := c.pool
	if c.answers.state != statement.Idle {
		p.log.Info("connection closed: a transaction is open on it", zap.String("database", p.ID))
		c.Discard()
		return
	}
	c.UsedAt = p.clock.Now()
	p.mu.Lock()
	if p.closed || p.starvingLocked(c) {
		p.mu.Unlock()
		c.Discard()
		return
	}
	if p.grantLocked(c) {
		p.mu.Unlock()
		return
	}
	if p.open > p.settings.MaxOpen {
		p.mu.Unlock()
		c.Discard()
		return
	}
	p.idle = append(p.idle, c)
	if len(p.waiting) > 0 {
		p.dialMoreLocked()
	}
	p.mu.Unlock()
}

// Discard closes the connection instead of returning it to the pool. If requests
// are waiting, it opens others, or refuses the requests if it was the last
// connection and no other may be opened now.
func (c *PooledConn) Discard() {
	c.Close()
	p := c.pool
	p.mu.Lock()
	p.forgetLocked(c)
	if !p.closed {
		p.dialMoreLocked()
		p.refuseWaitingLocked()
	}
	p.mu.Unlock()
}

// DiscardIdle closes all unused connections. It is called when the failure of
// another connection suggests that they are broken too.
func (p *Pool) DiscardIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Discard()
	}
}

// Close closes the pool. Connections in use are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.refuseAllLocked(&ClosedError{Database: p.ID})
	p.mu.Unlock()
	p.DiscardIdle()
}

// Stats are the connection counts of a pool. MaxOpen is how many may be open.
type Stats struct{ Open, Idle, Waiting, MaxOpen int }

// Stats returns the current connection counts of the pool.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Open: p.open, Idle: len(p.idle), Waiting: len(p.waiting), MaxOpen: p.settings.MaxOpen}
}
