package database

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

// errPoolClosed is the error that Acquire returns if the pool is closed.
var errPoolClosed = errors.New("connection pool is closed")

// dialTimeout limits the time to open one connection.
const dialTimeout = time.Second

// PoolSettings are the limits of a pool.
type PoolSettings struct {
	// MaxConnections is this proxy's share of the connections that the database
	// accepts.
	MaxConnections int
	// MaxQueue is the number of requests of each class that may wait for a
	// connection.
	MaxQueue int
}

// lease describes a connection in use: the class of its request and when it
// was acquired.
type lease struct {
	class int
	since time.Time
}

// Pool holds connections to one database. A connection is used by one request
// at a time.
type Pool struct {
	target Target

	mu        sync.Mutex
	admission *Admission
	idle      []*Conn
	leased    map[*Conn]lease
	// open counts idle and leased connections and those being opened.
	open   int
	queues []waitQueue
	closed bool
}

// NewPool returns an empty pool for requests of the given classes. Requests that
// match none of them are served last.
func NewPool(t Target, s PoolSettings, classes ...Class) *Pool {
	all := append(slices.Clone(classes), Class{Name: "other"})
	return &Pool{
		target: t, admission: NewAdmission(s.MaxConnections, s.MaxQueue, all),
		leased: make(map[*Conn]lease), queues: make([]waitQueue, len(all)),
	}
}

// NoClass is the class of requests that match no declared class.
const NoClass = -1

// Resize changes the pool's limits. Idle connections over the new limit are
// closed at once, connections in use when they are released.
func (p *Pool) Resize(s PoolSettings) {
	p.mu.Lock()
	p.admission.Resize(s.MaxConnections, s.MaxQueue)
	var excess []*Conn
	for len(p.idle) > 0 && p.open > p.admission.Limit() {
		excess = append(excess, p.idle[len(p.idle)-1])
		p.idle = p.idle[:len(p.idle)-1]
		p.open--
	}
	p.serveWaitersLocked()
	p.mu.Unlock()
	for _, c := range excess {
		c.Close()
	}
}

// Stats returns the numbers of open connections, of idle connections and of
// requests waiting for a connection.
func (p *Pool) Stats() (open, idle, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle), p.admission.Queued()
}

// Acquire returns a connection for a request of a class and of no workspace. The
// caller must give the connection back with Release. Acquire returns an
// *outcome.Error of kind Refused if the class's queue is full, or if no connection
// becomes free before the context ends or is expected to. If it opens a
// connection, it returns the errors of Dial.
func (p *Pool) Acquire(ctx context.Context, class int) (*Conn, error) {
	return p.AcquireFor(ctx, class, 0)
}

// AcquireFor is like Acquire, for a request of a workspace with the given
// priority, which orders the requests of a class: 0 is the highest, and that of
// requests of no workspace. A request that has waited for half of its time is
// served like one of the highest. If the class's queue is full, the request
// that would be served last is refused in place of one that overtakes it.
func (p *Pool) AcquireFor(ctx context.Context, class, priority int) (*Conn, error) {
	p.mu.Lock()
	if class < 0 || class >= len(p.queues) {
		class = len(p.queues) - 1
	}
	if p.closed {
		p.mu.Unlock()
		return nil, errPoolClosed
	}
	q := &p.queues[class]
	if len(q.list) == 0 && p.admission.Admits(class) {
		p.admission.Acquire(class)
		c, dead := p.takeIdleLocked(class)
		p.mu.Unlock()
		for _, d := range dead {
			d.Close()
		}
		if c != nil {
			return c, nil
		}
		return p.dial(ctx, class)
	}
	now, left := time.Now(), timeLeft(ctx)
	if p.admission.Full(class) {
		if last := q.displace(priority, now); last != nil {
			p.admission.Dequeue(class)
			last.displaced = true
			close(last.ready)
		}
	}
	if !p.admission.Enqueue(class, q.behind(priority, now), left) {
		p.mu.Unlock()
		return nil, errTooManyWait()
	}
	w := &waiter{class: class, priority: priority, urgentAt: now.Add(left.Std() / 2), ready: make(chan *Conn, 1)}
	q.push(w)
	p.mu.Unlock()
	return p.awaitConn(ctx, w)
}

func errTooManyWait() error {
	return outcome.NewRefused(outcome.CodeOverloaded, "too many requests wait for a connection to the database")
}

// noDeadline is the time left of a request whose context has no deadline.
const noDeadline = 24 * clock.Hour

func timeLeft(ctx context.Context) clock.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return noDeadline
	}
	return clock.Duration(time.Until(deadline).Milliseconds())
}

// takeIdleLocked leases a live idle connection. It also returns the dead ones
// that it found, which the caller must close. If there is no live connection, it
// returns nil and the caller may open one, which open already counts.
func (p *Pool) takeIdleLocked(class int) (live *Conn, dead []*Conn) {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.Idle() {
			c.noteSettings()
			p.leased[c] = lease{class: class, since: time.Now()}
			return c, dead
		}
		dead = append(dead, c)
		p.open--
	}
	p.open++
	return nil, dead
}

func (p *Pool) awaitConn(ctx context.Context, w *waiter) (*Conn, error) {
	select {
	case c, ok := <-w.ready:
		return p.acceptConn(ctx, w, c, ok)
	case <-ctx.Done():
	}
	if !p.leaveQueue(w) {
		if c, ok := <-w.ready; ok {
			p.returnUnused(w, c)
		}
	}
	return nil, outcome.NewRefused(outcome.CodeOverloaded, "no connection to the database became free in time")
}

// acceptConn handles the value that a waiter received from its channel. A nil
// connection permits it to open one; ok is false if the pool was closed.
func (p *Pool) acceptConn(ctx context.Context, w *waiter, c *Conn, ok bool) (*Conn, error) {
	switch {
	case !ok && w.displaced:
		return nil, errTooManyWait()
	case !ok:
		return nil, errPoolClosed
	case c == nil:
		return p.dial(ctx, w.class)
	default:
		return c, nil
	}
}

// returnUnused gives back a connection, or the permission to open one, that
// was assigned to a waiter whose context has ended.
func (p *Pool) returnUnused(w *waiter, c *Conn) {
	if c != nil {
		p.Release(c)
		return
	}
	p.releaseUnopened(w.class)
}

// leaveQueue removes a waiter from its queue. It returns false if the waiter
// has already been served or the pool was closed.
func (p *Pool) leaveQueue(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.queues[w.class].remove(w) {
		return false
	}
	p.admission.Dequeue(w.class)
	return true
}

func (p *Pool) dial(ctx context.Context, class int) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := Dial(ctx, p.target)
	if err != nil {
		p.releaseUnopened(class)
		return nil, err
	}
	p.mu.Lock()
	p.leased[c] = lease{class: class, since: time.Now()}
	p.mu.Unlock()
	return c, nil
}

// releaseUnopened gives back the permission to open a connection.
func (p *Pool) releaseUnopened(class int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.admission.Release(class, 0)
	p.serveWaitersLocked()
}

// serveWaitersLocked hands idle connections, or the permission to open one, to
// waiting requests as long as the limits allow it.
func (p *Pool) serveWaitersLocked() {
	for {
		class := p.admission.Next()
		if class < 0 || p.closed {
			return
		}
		w := p.queues[class].takeNext(time.Now())
		p.admission.Dequeue(class)
		p.admission.Acquire(class)
		c, dead := p.takeIdleLocked(class)
		for _, d := range dead {
			go d.Close()
		}
		w.ready <- c
	}
}

// unknownSettings is the text of Conn.Settings if the settings are unknown. It
// differs from the text of any session, so that they are reset before the next
// use.
const unknownSettings = "unknown"

// noteSettings has the settings reset before the next use if they have changed.
func (c *Conn) noteSettings() {
	if c.SettingsChanged {
		c.Settings, c.SettingsChanged = unknownSettings, false
	}
}

// Release returns a connection to the pool. A connection that is over the
// pool's limit, whose protocol state is unknown, on which a transaction is open,
// with unread data or for which a cancel request was sent is closed instead.
func (p *Pool) Release(c *Conn) {
	// The socket is looked at before the next use.
	unread := !c.StateUnknown && !c.Settled()
	c.noteSettings()
	p.mu.Lock()
	l := p.leased[c]
	delete(p.leased, c)
	p.admission.Release(l.class, clock.FromStd(time.Since(l.since)))
	discard := c.StateUnknown || unread || c.cancelled.Load() || c.InTransaction || c.closed.Load() || p.closed || p.open > p.admission.Limit()
	if discard {
		p.open--
	} else {
		p.idle = append(p.idle, c)
	}
	p.serveWaitersLocked()
	p.mu.Unlock()
	if discard {
		c.Close()
	}
}

// CloseIdle closes all idle connections, for example after the database
// changed its role. The pool stays usable.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.serveWaitersLocked()
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// CloseAll closes all connections, including those in use, whose requests then
// fail because the connection is lost. The pool stays usable.
func (p *Pool) CloseAll() {
	p.mu.Lock()
	for c := range p.leased {
		c.Close()
	}
	p.mu.Unlock()
	p.CloseIdle()
}

// Close closes the pool and its idle connections and fails all waiting
// requests. Connections in use are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for class, queue := range p.queues {
		for _, w := range queue.list {
			p.admission.Dequeue(class)
			close(w.ready)
		}
		p.queues[class] = waitQueue{}
	}
	p.mu.Unlock()
	p.CloseIdle()
}
