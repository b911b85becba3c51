package database

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

// errPoolClosed is returned by a pool that has been closed.
var errPoolClosed = errors.New("connection pool is closed")

// PoolSettings bound a pool.
type PoolSettings struct {
	// MaxConnections is this proxy's share of the database's connections.
	MaxConnections int
	// MaxQueue is how many requests may wait for a connection.
	MaxQueue int
}

// Pool lends connections to one database. A connection belongs to one
// borrower at a time.
type Pool struct {
	target Target

	mu       sync.Mutex
	settings PoolSettings
	idle     []*Conn
	lent     map[*Conn]struct{}
	open     int
	queue    []chan *Conn
	closed   bool
}

// NewPool returns an empty pool.
func NewPool(t Target, s PoolSettings) *Pool {
	return &Pool{target: t, settings: s, lent: make(map[*Conn]struct{})}
}

// Resize changes the pool's bounds. Connections over the new bound are
// closed as they are given back.
func (p *Pool) Resize(s PoolSettings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings = s
	p.grantLocked()
}

// Stats returns how many connections are open, idle and waited for.
func (p *Pool) Stats() (open, idle, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle), len(p.queue)
}

// Acquire lends a connection. It returns an *outcome.Error of kind Refused
// if none becomes free before the context ends or the queue is full.
func (p *Pool) Acquire(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	switch {
	case p.closed:
		p.mu.Unlock()
		return nil, errPoolClosed
	case len(p.idle) > 0:
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !c.alive() {
			p.open--
			p.mu.Unlock()
			c.Close()
			return p.Acquire(ctx)
		}
		p.lent[c] = struct{}{}
		p.mu.Unlock()
		return c, nil
	case p.open < p.settings.MaxConnections:
		p.open++
		p.mu.Unlock()
		return p.dial(ctx)
	case len(p.queue) >= p.settings.MaxQueue:
		p.mu.Unlock()
		return nil, outcome.NewRefused(outcome.CodeOverloaded, "too many requests wait for a connection to the database")
	}
	turn := make(chan *Conn, 1)
	p.queue = append(p.queue, turn)
	p.mu.Unlock()
	return p.awaitTurn(ctx, turn)
}

func (p *Pool) awaitTurn(ctx context.Context, turn chan *Conn) (*Conn, error) {
	select {
	case c, ok := <-turn:
		if !ok {
			return nil, errPoolClosed
		}
		if c == nil {
			return p.dial(ctx)
		}
		return c, nil
	case <-ctx.Done():
	}
	if p.leaveQueue(turn) {
		return nil, outcome.NewRefused(outcome.CodeOverloaded, "no connection to the database became free in time")
	}
	if c, ok := <-turn; ok {
		p.giveBack(c)
	}
	return nil, outcome.NewRefused(outcome.CodeOverloaded, "no connection to the database became free in time")
}

// giveBack returns a connection, or the right to open one, that came after
// its waiter had left.
func (p *Pool) giveBack(c *Conn) {
	if c != nil {
		p.Release(c)
		return
	}
	p.forget()
}

func (p *Pool) leaveQueue(turn chan *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.queue {
		if other == turn {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return true
		}
	}
	return false
}

// dialTimeout bounds the start of one connection.
const dialTimeout = time.Second

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := Dial(ctx, p.target)
	if err != nil {
		p.forget()
		return nil, err
	}
	p.mu.Lock()
	p.lent[c] = struct{}{}
	p.mu.Unlock()
	return c, nil
}

// forget frees the place of a connection that was closed or not opened.
func (p *Pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.grantLocked()
}

// grantLocked lets the first waiters open connections while there is room.
func (p *Pool) grantLocked() {
	for len(p.queue) > 0 && p.open < p.settings.MaxConnections {
		p.open++
		p.queue[0] <- nil
		p.queue = p.queue[1:]
	}
}

// Release takes a connection back. One that is doubtful, or over the
// pool's bound, is closed.
func (p *Pool) Release(c *Conn) {
	p.mu.Lock()
	delete(p.lent, c)
	if c.Doubtful || c.closed.Load() || p.closed || p.open > p.settings.MaxConnections {
		p.mu.Unlock()
		c.Close()
		p.forget()
		return
	}
	if len(p.queue) > 0 {
		p.lent[c] = struct{}{}
		p.queue[0] <- c
		p.queue = p.queue[1:]
		p.mu.Unlock()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// Reset closes all idle connections, as after the database changed its
// role.
func (p *Pool) Reset() {
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

// Interrupt closes all connections, the lent ones too. What runs on them
// ends with a lost connection.
func (p *Pool) Interrupt() {
	p.mu.Lock()
	for c := range p.lent {
		c.Close()
	}
	p.mu.Unlock()
	p.Reset()
}

// Close closes the idle connections and makes the others close as they are
// given back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for _, turn := range p.queue {
		close(turn)
	}
	p.queue = nil
	p.mu.Unlock()
	p.Reset()
}
