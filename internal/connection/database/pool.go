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

// errPoolClosed is returned by a pool that has been closed.
var errPoolClosed = errors.New("connection pool is closed")

// dialTimeout bounds the start of one connection.
const dialTimeout = time.Second

// PoolSettings bound a pool.
type PoolSettings struct {
	// MaxConnections is this proxy's share of the database's connections.
	MaxConnections int
	// MaxQueue is how many requests of each class may wait for a connection.
	MaxQueue int
}

// loan is a connection that is lent, and to which class since when.
type loan struct {
	class int
	since time.Time
}

// turn is a request that waits for a connection. A nil connection is the
// right to open one.
type turn struct {
	class int
	ready chan *Conn
}

// Pool lends connections to one database. A connection belongs to one
// borrower at a time.
type Pool struct {
	target Target

	mu        sync.Mutex
	admission *Admission
	idle      []*Conn
	lent      map[*Conn]loan
	open      int
	queues    [][]*turn
	closed    bool
}

// NewPool returns an empty pool for requests of the given classes and of
// none, which come last.
func NewPool(t Target, s PoolSettings, classes ...Class) *Pool {
	all := append(slices.Clone(classes), Class{Name: "other"})
	return &Pool{
		target: t, admission: NewAdmission(s.MaxConnections, s.MaxQueue, all),
		lent: make(map[*Conn]loan), queues: make([][]*turn, len(all)),
	}
}

// NoClass is the class of requests which no declared class claims.
const NoClass = -1

// Resize changes the pool's bounds. Connections over the new bound are
// closed as they are given back.
func (p *Pool) Resize(s PoolSettings) {
	p.mu.Lock()
	p.admission.Resize(s.MaxConnections, s.MaxQueue)
	var over []*Conn
	for len(p.idle) > 0 && p.open > p.admission.Limit() {
		over = append(over, p.idle[len(p.idle)-1])
		p.idle = p.idle[:len(p.idle)-1]
		p.open--
	}
	p.grantLocked()
	p.mu.Unlock()
	for _, c := range over {
		c.Close()
	}
}

// Stats returns how many connections are open, idle and waited for.
func (p *Pool) Stats() (open, idle, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle), p.admission.Queued()
}

// Acquire lends a connection to a request of a class. It returns an
// *outcome.Error of kind Refused if none will be free before the context
// ends or the class's queue is full.
func (p *Pool) Acquire(ctx context.Context, class int) (*Conn, error) {
	p.mu.Lock()
	if class < 0 || class >= len(p.queues) {
		class = len(p.queues) - 1
	}
	if p.closed {
		p.mu.Unlock()
		return nil, errPoolClosed
	}
	if len(p.queues[class]) == 0 && p.admission.Admits(class) {
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
	if !p.admission.Enqueue(class, timeLeft(ctx)) {
		p.mu.Unlock()
		return nil, outcome.NewRefused(outcome.CodeOverloaded, "too many requests wait for a connection to the database")
	}
	t := &turn{class: class, ready: make(chan *Conn, 1)}
	p.queues[class] = append(p.queues[class], t)
	p.mu.Unlock()
	return p.awaitTurn(ctx, t)
}

// longestWait stands for a request without a deadline.
const longestWait = 24 * clock.Hour

func timeLeft(ctx context.Context) clock.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return longestWait
	}
	return clock.Duration(time.Until(deadline).Milliseconds())
}

// takeIdleLocked lends an idle connection that is still good. Without one,
// the caller has the right to open a connection.
func (p *Pool) takeIdleLocked(class int) (good *Conn, dead []*Conn) {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.alive() {
			p.lent[c] = loan{class: class, since: time.Now()}
			return c, dead
		}
		dead = append(dead, c)
		p.open--
	}
	p.open++
	return nil, dead
}

func (p *Pool) awaitTurn(ctx context.Context, t *turn) (*Conn, error) {
	select {
	case c, ok := <-t.ready:
		return p.takeTurn(ctx, t, c, ok)
	case <-ctx.Done():
	}
	if !p.leaveQueue(t) {
		if c, ok := <-t.ready; ok {
			p.giveBack(t, c)
		}
	}
	return nil, outcome.NewRefused(outcome.CodeOverloaded, "no connection to the database became free in time")
}

func (p *Pool) takeTurn(ctx context.Context, t *turn, c *Conn, ok bool) (*Conn, error) {
	switch {
	case !ok:
		return nil, errPoolClosed
	case c == nil:
		return p.dial(ctx, t.class)
	default:
		return c, nil
	}
}

// giveBack returns a connection, or the right to open one, that came after
// its waiter had left.
func (p *Pool) giveBack(t *turn, c *Conn) {
	if c != nil {
		p.Release(c)
		return
	}
	p.forget(t.class)
}

func (p *Pool) leaveQueue(t *turn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.queues[t.class], t)
	if at < 0 {
		return false
	}
	p.queues[t.class] = slices.Delete(p.queues[t.class], at, at+1)
	p.admission.Dequeue(t.class)
	return true
}

func (p *Pool) dial(ctx context.Context, class int) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := Dial(ctx, p.target)
	if err != nil {
		p.forget(class)
		return nil, err
	}
	p.mu.Lock()
	p.lent[c] = loan{class: class, since: time.Now()}
	p.mu.Unlock()
	return c, nil
}

// forget frees the place of a connection that was not opened.
func (p *Pool) forget(class int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.admission.Release(class, 0)
	p.grantLocked()
}

// grantLocked lends idle connections, and rights to open some, to those
// that wait.
func (p *Pool) grantLocked() {
	for {
		class := p.admission.Next()
		if class < 0 || p.closed {
			return
		}
		t := p.queues[class][0]
		p.queues[class] = p.queues[class][1:]
		p.admission.Dequeue(class)
		p.admission.Acquire(class)
		c, dead := p.takeIdleLocked(class)
		for _, d := range dead {
			go d.Close()
		}
		t.ready <- c
	}
}

// Release takes a connection back. One that is doubtful, or over the
// pool's bound, is closed.
func (p *Pool) Release(c *Conn) {
	p.mu.Lock()
	l := p.lent[c]
	delete(p.lent, c)
	p.admission.Release(l.class, clock.FromStd(time.Since(l.since)))
	closes := c.StateUnknown || c.closed.Load() || p.closed || p.open > p.admission.Limit()
	if closes {
		p.open--
	} else {
		p.idle = append(p.idle, c)
	}
	p.grantLocked()
	p.mu.Unlock()
	if closes {
		c.Close()
	}
}

// CloseIdle closes all idle connections, as after the database changed its
// role.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.grantLocked()
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// CloseAll closes all connections, the lent ones too. What runs on them
// ends with a lost connection.
func (p *Pool) CloseAll() {
	p.mu.Lock()
	for c := range p.lent {
		c.Close()
	}
	p.mu.Unlock()
	p.CloseIdle()
}

// Close closes the idle connections and makes the others close as they are
// given back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for class, queue := range p.queues {
		for _, t := range queue {
			p.admission.Dequeue(class)
			close(t.ready)
		}
		p.queues[class] = nil
	}
	p.mu.Unlock()
	p.CloseIdle()
}
