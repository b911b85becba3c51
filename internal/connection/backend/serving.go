package backend

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// askLimit bounds one question for a database's status.
	askLimit = 400 * clock.Millisecond
	// askMore is how long a question to the preferred databases is given
	// before the others are asked too.
	askMore = 40 * clock.Millisecond
	// askSpacing is the time between the first two questions to one database
	// when the answer does not suffice; it doubles up to askMost.
	askSpacing = 8 * clock.Millisecond
	askMost    = 128 * clock.Millisecond
)

// Serving is a database group as this process serves it: what is known of it
// and the connections to its databases. Its lock is taken before that of a
// pool.
type Serving struct {
	*group.Group
	Zone string

	dialer   Dialer
	settings Settings
	clock    clock.Clock
	log      *zap.Logger
	asked    func()

	// lostAt is when a connection was last lost.
	lostAt atomic.Int64

	mu    sync.Mutex
	pools map[string]*Pool
	asks  map[string]*ask
	// discoveredAt is when all databases were last asked for a primary.
	discoveredAt clock.Time
}

// ask is the state of the questions to one database.
type ask struct {
	running bool
	again   bool
}

// NewServing returns a group without databases. asked is called for each
// question for a status.
func NewServing(name, zone string, s Settings, d Dialer, c clock.Clock, log *zap.Logger, asked func()) *Serving {
	return &Serving{
		Group: group.New(name), Zone: zone, dialer: d, settings: s, clock: c, asked: asked,
		log:   log.With(zap.String("group", name)),
		pools: make(map[string]*Pool), asks: make(map[string]*ask),
	}
}

// Update takes in a registry entry.
func (s *Serving) Update(e group.Entry) {
	now := s.clock.Now()
	fresh := s.List(now, e)
	s.mu.Lock()
	old := s.pools[e.ID]
	if fresh || old == nil {
		to := Target{Group: s.Name, ID: e.ID, Address: e.Address}
		s.pools[e.ID] = NewPool(to, s.settings, s.dialer, s.clock, s.greeted(e.ID))
		s.asks[e.ID] = &ask{}
	} else {
		old = nil
	}
	s.mu.Unlock()
	if old != nil {
		old.Close()
	}
	s.log.Info("database listed", zap.String("database", e.ID), zap.String("address", e.Address),
		zap.Stringer("role", e.Role), zap.Bool("leaving", e.Leaving), zap.Bool("new", fresh))
}

// SetLimit changes how many connections to each database may be open.
func (s *Serving) SetLimit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.Limit == n {
		return
	}
	s.settings.Limit = n
	for _, p := range s.pools {
		p.SetLimit(n)
	}
}

// Sweep closes connections that have been unused for too long. With warm set,
// a few are kept open to each database that can be used.
func (s *Serving) Sweep(now clock.Time, warm bool) {
	for _, m := range s.Members() {
		if p := s.Pool(m.ID); p != nil {
			p.Sweep(now, warm && m.Usable() && m.LapsedAt == 0 && m.FailingSince == 0)
		}
	}
}

// Drop ends the use of databases that have gone.
func (s *Serving) Drop() {
	for _, id := range s.Expire(s.clock.Now()) {
		s.mu.Lock()
		p := s.pools[id]
		delete(s.pools, id)
		delete(s.asks, id)
		s.mu.Unlock()
		if p != nil {
			p.Close()
		}
		s.log.Info("database gone", zap.String("database", id))
	}
}

// greeted takes in the result of an attempt to connect.
func (s *Serving) greeted(id string) func(statement.Answer, clock.Time, error) {
	return func(hello statement.Answer, began clock.Time, err error) {
		now := s.clock.Now()
		var refused *statement.Failure
		switch {
		case err == nil:
			s.ObservePosition(id, began, now, hello.Position)
		case errors.As(err, &refused) && refused.Code == statement.CodeTooManyConnections:
			s.Answered(id, now)
		default:
			if s.Failed(id, now) {
				s.log.Info("database lost", zap.String("database", id), logs.Error(err))
			}
		}
	}
}

// Pool returns the connections to a database, nil if it has gone.
func (s *Serving) Pool(id string) *Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools[id]
}

// Ask questions a database for its status. One question serves all that
// wanted it before it was sent.
func (s *Serving) Ask(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.asks[id]
	if a == nil {
		return
	}
	if a.running {
		a.again = true
		return
	}
	a.running = true
	go s.ask(id, a)
}

func (s *Serving) ask(id string, a *ask) {
	for {
		if _, err := s.Command(id, statement.Status{}, askLimit); err != nil {
			s.log.Debug("status not answered", zap.String("database", id), logs.Error(err))
		}
		s.mu.Lock()
		if !a.again {
			a.running = false
			s.mu.Unlock()
			return
		}
		a.again = false
		s.mu.Unlock()
	}
}

// Command sends one of the operations that a database answers with its
// status, and takes the status in.
func (s *Serving) Command(id string, o statement.Operation, limit clock.Duration) (database.Status, error) {
	p := s.Pool(id)
	if p == nil {
		return database.Status{}, ErrClosed
	}
	l, err := p.Acquire(s.clock.Now().Add(limit), nil)
	if err != nil {
		return database.Status{}, err
	}
	s.asked()
	sent := s.clock.Now()
	var answers [1]statement.Answer
	if _, err := l.Exchange(limit, []statement.Request{{Operation: o}}, answers[:]); err != nil {
		l.Discard()
		s.Lost(id, sent)
		return database.Status{}, err
	}
	now := s.clock.Now()
	status, err := l.DecodeStatus(&answers[0])
	l.Release()
	if err != nil {
		s.Answered(id, now)
		return status, err
	}
	s.ObserveStatus(id, sent, now, status)
	s.log.Debug("status", zap.String("database", id), zap.Stringer("role", status.Role), zap.Uint64("term", status.Term),
		zap.Uint64("held", status.Fenced), zap.Stringer("received", status.Received), zap.Stringer("applied", status.Applied))
	return status, nil
}

// Doubtful reports whether an unused connection may be dead: another one was
// lost after its last answer.
func (s *Serving) Doubtful(l *Link) bool {
	lost := clock.Time(s.lostAt.Load())
	return lost != 0 && l.UsedAt <= lost && s.clock.Now().Sub(lost) < doubtLife
}

// doubtLife is how long a lost connection puts the others in doubt. Dead ones
// are found by the probes of the transport within it.
const doubtLife = 10 * clock.Second

// Lost notes that a connection to a database broke, or that an answer did
// not come. Its other unused connections may be dead too, unless the database
// has answered on one of them meanwhile: new connections would take the places
// of statements at a database that is only busy.
func (s *Serving) Lost(id string, sent clock.Time) {
	s.lostAt.Store(int64(s.clock.Now()))
	if s.AnsweredSince(id, sent) {
		return
	}
	if p := s.Pool(id); p != nil {
		p.DiscardIdle()
	}
	if s.Failed(id, sent) {
		s.log.Info("database lost", zap.String("database", id), zap.String("error", "a connection broke, or an answer is missing"))
	}
}

// Await waits until a condition holds, asking the databases whose word may
// bring it about: the preferred ones first, later all of them, at growing
// intervals.
func (s *Serving) Await(deadline clock.Time, prefer []string, condition func() bool) bool {
	began := s.clock.Now()
	next, spacing := began, askSpacing
	for {
		changed := s.Changed()
		if condition() {
			return true
		}
		now := s.clock.Now()
		if now >= deadline {
			return false
		}
		if now >= next {
			if now.Sub(began) < askMore {
				s.askAll(prefer)
			} else {
				s.AskAll()
			}
			next, spacing = now.Add(spacing), min(2*spacing, askMost)
		}
		// A change wakes the wait early, a question does not repeat for it.
		Pause(changed, min(deadline, next).Sub(now))
	}
}

func (s *Serving) askAll(ids []string) {
	for _, id := range ids {
		s.Ask(id)
	}
}

// AskAll questions every database for its status.
func (s *Serving) AskAll() {
	for _, m := range s.Members() {
		s.Ask(m.ID)
	}
}

// Discover asks all databases for their roles, unless it was done within
// every.
func (s *Serving) Discover(every clock.Duration) {
	now := s.clock.Now()
	s.mu.Lock()
	due := now.Sub(s.discoveredAt) >= every
	if due {
		s.discoveredAt = now
	}
	s.mu.Unlock()
	if due {
		s.AskAll()
	}
}

// Preferred returns the databases other than the primary that answer
// soonest, as many as have to confirm the primary's word.
func (s *Serving) Preferred() []string {
	members := s.Members()
	now := s.clock.Now()
	type option struct {
		id   string
		cost float64
	}
	var options []option
	for _, m := range members {
		p := s.Pool(m.ID)
		if p == nil || m.Role == database.RolePrimary {
			continue
		}
		cost := placeCost(now, &m, p, s.Zone)
		options = append(options, option{m.ID, cost})
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	need := min(group.Confirming(s.Size()), len(options))
	ids := make([]string, 0, need)
	for _, o := range options[:need] {
		ids = append(ids, o.id)
	}
	return ids
}

// Counts returns the figures of each database's connections.
func (s *Serving) Counts() map[string]Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]Counts, len(s.pools))
	for id, p := range s.pools {
		counts[id] = p.Counts()
	}
	return counts
}

// Close ends all connections.
func (s *Serving) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.Close()
	}
}

// Log returns the group's logger.
func (s *Serving) Log() *zap.Logger { return s.log }
