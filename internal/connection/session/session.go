// Package session serves the sessions of callers: their values and prepared
// names, their transactions, and what they are told of each request.
package session

import (
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Errors of Caller.Next.
var (
	ErrEnded = errors.New("the caller has ended the session")
	ErrIdle    = errors.New("the caller has sent nothing for too long")
)

// Caller is the connection to one caller.
type Caller interface {
	// ReadStartup reads the name of the database that the caller wants.
	ReadStartup(limit clock.Duration) (string, error)
	// Accept accepts the session.
	Accept() error
	// Refuse answers the opening with a failure.
	Refuse(f *statement.Failure) error
	// Next reads the next request. It returns ErrIdle if none begins within
	// idle, which is zero for no limit; the caller can be asked again.
	Next(idle clock.Duration) (statement.Request, error)
	// Reply answers the last request.
	Reply(a *statement.Answer) error
	// Interrupt makes a pending or later Next return an error.
	Interrupt()
	Close()
}

// Recorder counts what callers were answered.
type Recorder interface {
	Answered(route *routes.Route, a *statement.Answer, took clock.Duration)
}

// Dependencies is what all sessions of a process use.
type Dependencies struct {
	Clock         clock.Clock
	Configuration *routes.Current
	// Group returns a database group, nil for an unknown one.
	Group    func(name string) *backend.Serving
	Log      *zap.Logger
	Recorder Recorder
	// Self is this instance's name.
	Self string
	// Homes are the proxies that requests of some groups are passed on to; nil
	// for none.
	Homes *peer.Homes
}

// Session is a caller's session.
type Session struct {
	*Dependencies
	id       uint64
	caller   Caller
	database string

	// values and prepared are the session's state; texts holds the values by
	// name.
	values   []statement.Set
	texts    map[string]string
	prepared map[string]statement.Prepare

	// floor is the session's last acknowledged commit.
	floor position.Position
	tx    *transaction
	// begun counts the session's transactions.
	begun uint64
	// fixed is the route of a session that is hosted for another proxy.
	fixed *routes.Route

	// entered is set while the session holds a place at a database that it has
	// not used yet.
	entered bool

	// request is the id of the request that is being served.
	request string
	answer  statement.Answer
	arrived clock.Time
	route   *routes.Route

	mu      sync.Mutex
	resting bool
	leaving bool
}

// New returns the session of a caller. id is unique in this process.
func New(s *Dependencies, id uint64, c Caller) *Session {
	return &Session{Dependencies: s, id: id, caller: c, prepared: make(map[string]statement.Prepare), texts: make(map[string]string)}
}

// Run serves the session until it ends.
func (s *Session) Run() {
	defer s.caller.Close()
	defer s.abandon()
	if !s.open() {
		return
	}
	for {
		request, err := s.next()
		if err != nil {
			if !errors.Is(err, ErrEnded) {
				s.Log.Debug("session ended", zap.Uint64("session", s.id), logs.Error(err))
			}
			return
		}
		s.arrived = s.Clock.Now()
		s.serve(&request)
		if err := s.caller.Reply(&s.answer); err != nil {
			s.Log.Debug("answer not delivered", zap.Uint64("session", s.id), zap.String("request", request.ID), logs.Error(err))
			return
		}
		s.record(&request)
	}
}

// defaultOpeningLimit is how long a caller may take to open its session while
// no configuration says so.
const defaultOpeningLimit = 3 * clock.Second

func (s *Session) open() bool {
	limit := defaultOpeningLimit
	v := s.Configuration.Load()
	if v != nil && v.StartupTimeout > 0 {
		limit = v.StartupTimeout
	}
	name, err := s.caller.ReadStartup(limit)
	if err != nil {
		s.Log.Debug("session not opened", zap.Uint64("session", s.id), logs.Error(err))
		return false
	}
	s.database = name
	if v = s.awaitConfiguration(); v == nil {
		s.Log.Info("session refused: no configuration yet", zap.String("database", name))
		_ = s.caller.Refuse(&statement.Failure{Code: statement.CodeBusy, Text: "no configuration is known yet"})
		return false
	}
	if v.Routes[name] == nil {
		s.Log.Info("session refused: no such database", zap.String("database", name), zap.Uint64("version", number(v)))
		_ = s.caller.Refuse(&statement.Failure{Code: statement.CodeNoDatabase, Text: name})
		return false
	}
	return s.caller.Accept() == nil
}

// startLimit is how long a caller's opening or request may wait for a process
// that has just started to learn the configuration and the databases.
const startLimit = 1500 * clock.Millisecond

// startPause is the time between two looks while that is awaited.
const startPause = 20 * clock.Millisecond

// awaitConfiguration returns the version in force. A process that has just
// started does not know yet which names exist.
func (s *Session) awaitConfiguration() *routes.Version {
	return awaitKnown(s.Clock, s.Clock.Now().Add(startLimit), s.Configuration.Load)
}

// awaitGroup returns a database group, nil if none of its databases becomes
// known in time.
func (s *Session) awaitGroup(name string) *backend.Serving {
	until := s.arrived.Add(min(startLimit, s.route.Timeout/2))
	return awaitKnown(s.Clock, until, func() *backend.Serving { return s.Group(name) })
}

// awaitKnown looks again and again until there is something, or a time has
// come. It returns nil then.
func awaitKnown[T any](c clock.Clock, until clock.Time, look func() *T) *T {
	for {
		found := look()
		if found != nil || c.Now() >= until {
			return found
		}
		backend.Sleep(startPause)
	}
}

func number(v *routes.Version) uint64 {
	if v == nil {
		return 0
	}
	return v.Number
}

// next reads a request. A transaction that rests for too long is rolled
// back; the caller learns it with its next statement.
func (s *Session) next() (statement.Request, error) {
	for {
		if !s.rest() {
			return statement.Request{}, ErrEnded
		}
		var idle clock.Duration
		if s.tx != nil && (s.tx.link != nil || s.tx.home != "") {
			idle = s.Configuration.Load().TransactionIdleTimeout
		}
		request, err := s.caller.Next(idle)
		s.wake()
		if !errors.Is(err, ErrIdle) {
			return request, err
		}
		s.Log.Info("transaction rolled back: idle", zap.Uint64("session", s.id), zap.Stringer("idle", idle))
		s.breakOff(&statement.Failure{Code: statement.CodeAborted, Text: "idle in a transaction"})
	}
}

// rest marks the session as waiting for its caller. It returns false if the
// session is to end instead.
func (s *Session) rest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resting = s.tx == nil
	return !s.leaving || s.tx != nil
}

func (s *Session) wake() {
	s.mu.Lock()
	s.resting = false
	s.mu.Unlock()
}

// Drain ends the session as soon as nothing is in progress.
func (s *Session) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	if s.resting {
		s.caller.Interrupt()
	}
}

// Stop ends the session after the request that is being served.
func (s *Session) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.caller.Interrupt()
}

// abandon rolls back what the caller has left open.
func (s *Session) abandon() {
	if s.tx != nil {
		s.breakOff(nil)
		s.tx = nil
	}
}

// breakOff ends the open transaction wherever it runs.
func (s *Session) breakOff(why *statement.Failure) {
	s.rollbackAtHome()
	s.tx.breakOff(why)
}

// serve carries a request out and leaves its answer in s.answer.
func (s *Session) serve(r *statement.Request) {
	s.request = r.ID
	s.answer.Reset()
	switch o := r.Operation.(type) {
	case statement.Begin:
		s.begin(r.ID, o)
	case statement.Commit, statement.Rollback:
		s.end(r)
	case statement.Set, statement.Prepare, statement.Deallocate:
		s.change(r)
	case statement.Read, statement.Write, statement.Execute:
		s.run(r)
	default:
		s.fail(statement.CodeMalformed, "the request is not understood")
	}
	s.answer.State = s.state()
}

func (s *Session) state() statement.State {
	switch {
	case s.tx == nil:
		return statement.Idle
	case s.tx.failure != nil:
		return statement.Failed
	default:
		return statement.InTransaction
	}
}

// fail answers with a failure of the proxy's own.
func (s *Session) fail(c statement.Code, text string) {
	s.answer.Reset()
	s.answer.Failure = &statement.Failure{Code: c, Text: text}
}

// resolve finds the route in force. A transaction keeps the one that it
// began with.
func (s *Session) resolve() *routes.Route {
	switch {
	case s.tx != nil:
		return s.tx.route
	case s.fixed != nil:
		return s.fixed
	}
	return s.Configuration.Load().Routes[s.database]
}

// run serves a statement that needs a database.
func (s *Session) run(r *statement.Request) {
	s.route = s.resolve()
	if s.route == nil {
		s.fail(statement.CodeNoDatabase, s.database)
		return
	}
	if s.forwards(s.route.Group) && s.forward(r) {
		return
	}
	g := s.awaitGroup(s.route.Group)
	if s.tx != nil {
		s.tx.placed = true
	}
	if g == nil {
		s.fail(statement.CodeBusy, "no database of the group is known")
		return
	}
	if s.tx != nil {
		s.runInTransaction(g, r)
		return
	}
	if s.writes(r) {
		s.write(g, r)
		return
	}
	s.read(g, r)
}

// writes reports whether a request may write.
func (s *Session) writes(r *statement.Request) bool {
	switch o := r.Operation.(type) {
	case statement.Write:
		return true
	case statement.Execute:
		// A name that was never prepared runs nowhere, and any database says so.
		return s.prepared[o.Name].Writes
	default:
		return false
	}
}

// change serves a request for the session's own state, which no database
// needs to see before the next statement. Within a transaction that has begun
// at a database, the state there changes at once.
func (s *Session) change(r *statement.Request) {
	if s.tx != nil && s.tx.failure != nil {
		s.fail(statement.CodeMalformed, "the transaction has failed")
		return
	}
	if o, ok := r.Operation.(statement.Set); ok && s.tx != nil && !s.setInTransaction(r, o) {
		return
	}
	switch o := r.Operation.(type) {
	case statement.Set:
		s.set(o)
	case statement.Prepare:
		s.prepared[o.Name] = o
	case statement.Deallocate:
		delete(s.prepared, o.Name)
	}
}

func (s *Session) set(o statement.Set) {
	s.texts[o.Name] = o.Text
	for i := range s.values {
		if s.values[i].Name == o.Name {
			s.values[i] = o
			return
		}
	}
	s.values = append(s.values, o)
}

// record counts the answer, and logs it unless it was a success in time.
func (s *Session) record(r *statement.Request) {
	route := s.route
	s.route = nil
	if route == nil {
		if f := s.answer.Failure; f != nil {
			s.Log.Info("request failed", zap.String("request", r.ID), zap.Uint64("session", s.id),
				zap.String("database", s.database), zap.Stringer("code", f.Code), zap.String("cause", f.Text),
				zap.Uint64("version", number(s.Configuration.Load())))
		}
		return
	}
	took := s.Clock.Now().Sub(s.arrived)
	s.Recorder.Answered(route, &s.answer, took)
	f := s.answer.Failure
	if f == nil && took <= route.TargetLatency {
		return
	}
	fields := []zap.Field{zap.String("request", r.ID), zap.Uint64("session", s.id), zap.String("route", route.Name),
		zap.String("group", route.Group), zap.Stringer("kind", route.Consistency), zap.Stringer("took", took),
		zap.Uint64("version", number(s.Configuration.Load()))}
	fields = append(fields, s.beliefs(route.Group)...)
	if f == nil {
		s.Log.Info("request late", fields...)
		return
	}
	s.Log.Info("request failed", append(fields, zap.Stringer("code", f.Code), zap.String("cause", f.Text))...)
}

// beliefs are the inputs that decide on requests of a group, for the log.
func (s *Session) beliefs(name string) []zap.Field {
	g := s.Group(name)
	if g == nil {
		return []zap.Field{zap.String("primary", "")}
	}
	now := s.Clock.Now()
	m, _ := g.Primary()
	fields := []zap.Field{zap.String("primary", m.ID), zap.Uint64("term", g.Term()), zap.Stringer("floor", s.floor)}
	if e := g.Evidence(now); e > 0 {
		fields = append(fields, zap.Stringer("evidenceAge", now.Sub(e)))
	}
	if at := g.SampledAt(); at > 0 {
		fields = append(fields, zap.Stringer("sampleAge", now.Sub(at)))
	}
	return fields
}
