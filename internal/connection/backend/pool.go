package backend

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Settings are the figures of a pool.
type Settings struct {
	// Limit is the most connections that this process opens to one database.
	Limit int
	// Warm is how many connections are kept open ahead of need.
	Warm int
	// DialLimit bounds the opening of one connection.
	DialLimit clock.Duration
	// DialsAtOnce bounds how many connections are opened at a time, since
	// each holds a place at the database while it is made.
	DialsAtOnce int
	// RetryLeast is the wait after an attempt to connect has failed. It doubles
	// up to RetryMost.
	RetryLeast, RetryMost clock.Duration
	// FullRetry is the longest wait after the database has granted no more
	// connections; the wait is random, since other proxies wait too.
	FullRetry clock.Duration
	// KeepLeast and KeepMost bound how long an unused connection is kept. The
	// time grows with each reuse and falls when a database grants no more.
	KeepLeast, KeepMost clock.Duration
	// QueueLimit is how many requests may wait for a connection.
	QueueLimit int
}

// DefaultSettings returns figures for databases with a few slots that many
// small proxies share.
func DefaultSettings() Settings {
	return Settings{
		Limit: 3, Warm: 1, DialLimit: 400 * clock.Millisecond, DialsAtOnce: 2,
		RetryLeast: 25 * clock.Millisecond, RetryMost: 200 * clock.Millisecond,
		FullRetry: 60 * clock.Millisecond, KeepLeast: 150 * clock.Millisecond, KeepMost: 60 * clock.Second, QueueLimit: 24,
	}
}

// Errors of a pool. All of them tell that nothing was sent.
var (
	ErrClosed    = errors.New("the database has gone")
	ErrQueueFull = errors.New("too many requests wait for a connection")
	ErrWait      = errors.New("no connection became free in time")
)

// DialError tells that a database could not be reached.
type DialError struct {
	Target Target
	Cause  error
}

func (e *DialError) Error() string { return "connect to " + e.Target.ID + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Pool keeps the connections to one database. Its lock is taken before no
// other.
type Pool struct {
	Target
	Pace Pace
	Gate Gate

	settings Settings
	dialer   Dialer
	clock    clock.Clock
	observe  func(statement.Answer, clock.Time, error)

	mu      sync.Mutex
	idle    []*Link
	open    int
	dialing int
	waiting []chan grant
	closed  bool
	// failure is why the last attempt to connect failed; until retryAt no other
	// is made.
	failure error
	backoff clock.Duration
	retryAt clock.Time
	// keep is how long an unused connection is kept at present.
	keep clock.Duration
}

// SetLimit changes how many connections may be open.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	p.settings.Limit = n
	p.mu.Unlock()
}

// keepFirst is how long an unused connection is kept before any was used
// again or refused.
const keepFirst = 2 * clock.Second

// NewPool returns an empty pool. observe is handed the greeting or the error
// of each attempt to connect and the time at which it began.
func NewPool(to Target, s Settings, d Dialer, c clock.Clock, observe func(statement.Answer, clock.Time, error)) *Pool {
	return &Pool{Target: to, settings: s, dialer: d, clock: c, observe: observe, keep: keepFirst}
}

// Acquire lends a connection for a session with some values, preferably one
// that needs the least to take them on. If none is free, one more is opened
// as far as the limits allow, and the request waits for whichever is free
// first, until the deadline.
func (p *Pool) Acquire(deadline clock.Time, values map[string]string) (*Link, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if len(p.idle) > 0 {
		l := p.takeIdleLocked(values)
		p.mu.Unlock()
		return l, nil
	}
	if len(p.waiting) >= p.settings.QueueLimit {
		p.mu.Unlock()
		return nil, ErrQueueFull
	}
	p.dialMoreLocked(1)
	if p.open+p.dialing == 0 {
		err := p.failure
		p.mu.Unlock()
		return nil, err
	}
	ch := make(chan grant, 1)
	p.waiting = append(p.waiting, ch)
	p.mu.Unlock()
	return p.wait(ch, deadline)
}

// Patience returns how long to wait for the answer to a request that can be
// sent elsewhere. What a busy database has taken on, it will run in any case.
func (p *Pool) Patience(least, most clock.Duration) clock.Duration {
	if p.Gate.Refusing(p.clock.Now()) {
		return most
	}
	return p.Pace.Patience(least, most)
}

// keepGrowth is the part of the present time by which the keeping of unused
// connections grows with each reuse.
const keepGrowth = 8

// Sweep closes connections that have been unused for too long. With warm set,
// a few are kept in any case, and opened if there are fewer: a rush of requests
// should not have to wait for connections, whose making takes the place of
// statements.
func (p *Pool) Sweep(now clock.Time, warm bool) {
	p.mu.Lock()
	least := 0
	if warm && !p.closed {
		least = min(p.settings.Warm, p.settings.Limit)
	}
	if p.open+p.dialing < least {
		p.dialMoreLocked(1)
	}
	var old []*Link
	kept := p.idle[:0]
	for i, l := range p.idle {
		needed := len(kept)+len(p.idle)-i <= least
		if now.Sub(l.UsedAt) >= p.keep && !needed {
			old = append(old, l)
		} else {
			kept = append(kept, l)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, l := range old {
		l.Discard()
	}
}

// takeIdleLocked removes the unused connection that suits best, the one used
// last among equals.
func (p *Pool) takeIdleLocked(values map[string]string) *Link {
	best, rank := len(p.idle)-1, -1
	for i := len(p.idle) - 1; i >= 0 && rank < 2; i-- {
		r := 0
		if p.idle[i].Suits(values) {
			r = 1
		}
		if p.idle[i].holds(values) {
			r = 2
		}
		if r > rank {
			best, rank = i, r
		}
	}
	l := p.idle[best]
	p.keep = min(p.keep+p.keep/keepGrowth, p.settings.KeepMost)
	p.idle = append(p.idle[:best], p.idle[best+1:]...)
	return l
}

// dialMoreLocked opens connections for the requests that wait and extra
// ones.
func (p *Pool) dialMoreLocked(extra int) {
	for p.dialing < len(p.waiting)+extra && p.dialing < p.settings.DialsAtOnce &&
		p.open+p.dialing < p.settings.Limit && p.clock.Now() >= p.retryAt {
		p.dialing++
		go p.dial()
	}
}

func (p *Pool) wait(ch chan grant, deadline clock.Time) (*Link, error) {
	timer := time.NewTimer(max(deadline.Sub(p.clock.Now()), 0).Std())
	defer timer.Stop()
	select {
	case g := <-ch:
		return g.link, g.err
	case <-timer.C:
	}
	if !p.stopWaiting(ch) {
		if g := <-ch; g.link != nil {
			g.link.Release()
		}
	}
	return nil, ErrWait
}

func (p *Pool) stopWaiting(ch chan grant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.waiting {
		if w == ch {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// dial opens a connection. It outlives the request that asked for it, since
// the database has spent a place on it by then.
func (p *Pool) dial() {
	began := p.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.DialLimit.Std())
	conn, hello, err := p.dialer.Dial(ctx, p.Target)
	cancel()
	p.observe(hello, began, err)
	p.mu.Lock()
	p.dialing--
	if err != nil {
		p.dialFailedLocked(err)
		p.mu.Unlock()
		return
	}
	p.open++
	p.backoff = 0
	p.mu.Unlock()
	l := &Link{Conn: conn, pool: p, Values: make(map[string]string), Prepared: make(map[string]struct{})}
	l.Release()
}

// dialFailedLocked tells the requests that wait, unless a connection that is
// open or being opened may still serve them.
func (p *Pool) dialFailedLocked(err error) {
	var refused *statement.Failure
	full := errors.As(err, &refused) && refused.Code == statement.CodeTooManyConnections
	if refused == nil {
		err = &DialError{Target: p.Target, Cause: err}
	}
	p.failure = err
	p.backoff = min(max(2*p.backoff, p.settings.RetryLeast), p.settings.RetryMost)
	wait := p.backoff
	if full {
		p.keep = max(p.keep/2, p.settings.KeepLeast)
		p.backoff, wait = 0, 1+clock.Duration(rand.Int64N(int64(p.settings.FullRetry)))
	}
	p.retryAt = p.clock.Now().Add(wait)
	if p.open+p.dialing > 0 {
		return
	}
	for p.wakeLocked(grant{err: err}) {
	}
}

// grant is what a waiting request gets.
type grant struct {
	link *Link
	err  error
}

// wakeLocked answers the request that has waited longest. It reports whether
// there was one.
func (p *Pool) wakeLocked(g grant) bool {
	if len(p.waiting) == 0 {
		return false
	}
	ch := p.waiting[0]
	p.waiting = p.waiting[1:]
	ch <- g
	return true
}

// Release returns the connection for others to use.
func (l *Link) Release() {
	p := l.pool
	l.UsedAt = p.clock.Now()
	p.mu.Lock()
	if !p.closed && p.wakeLocked(grant{link: l}) {
		p.mu.Unlock()
		return
	}
	if p.closed || p.open > p.settings.Limit {
		p.mu.Unlock()
		l.Discard()
		return
	}
	p.idle = append(p.idle, l)
	p.mu.Unlock()
}

// Discard closes the connection.
func (l *Link) Discard() {
	l.Close()
	p := l.pool
	p.mu.Lock()
	p.open--
	if !p.closed {
		p.dialMoreLocked(0)
	}
	p.mu.Unlock()
}

// DiscardIdle closes all unused connections, whose state a failure of
// another one has put in doubt.
func (p *Pool) DiscardIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, l := range idle {
		l.Discard()
	}
}

// Close drops the pool. Connections that are lent are closed when they come
// back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for p.wakeLocked(grant{err: ErrClosed}) {
	}
	p.mu.Unlock()
	p.DiscardIdle()
}

// Counts are the figures of a pool.
type Counts struct{ Open, Idle, Waiting int }

// Counts returns the pool's present figures.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Counts{Open: p.open, Idle: len(p.idle), Waiting: len(p.waiting)}
}
