// Package session serves the sessions of callers: their session variables,
// prepared statements and transactions, and the answers to their requests.
package session

import (
	"cmp"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Errors returned by Caller.Next.
var (
	ErrEnded = errors.New("the session was ended")
	ErrIdle  = errors.New("no request from the caller within the idle timeout")
)

// MessageError is returned by Caller.ReadStartup and Caller.Next for a message that cannot
// be understood. Cause must not hold the caller's key.
type MessageError struct{ Cause error }

func (e *MessageError) Error() string { return e.Cause.Error() }

// Unwrap returns Cause.
func (e *MessageError) Unwrap() error { return e.Cause }

// Startup is the content of a caller's startup message.
type Startup struct {
	// Database is the name of the database that the caller asks for.
	Database string
	// Key identifies the caller's workspace. It must not be logged.
	Key string
}

// Caller is the connection to a caller.
type Caller interface {
	// ReadStartup reads the startup message. It returns an error if the message
	// does not arrive within limit.
	ReadStartup(limit clock.Duration) (Startup, error)
	// Accept accepts the session.
	Accept() error
	// Refuse rejects the session with a failure.
	Refuse(f *statement.Failure) error
	// Next reads the next request. It returns ErrIdle if none begins within
	// idle; Next may be called again then. An idle of zero means no limit. It
	// returns ErrEnded once the session is ended.
	Next(idle clock.Duration) (statement.Request, error)
	// Reply sends the answer to the last request.
	Reply(a *statement.Answer) error
	// Interrupt makes the pending or next call of Next return an error, unless a
	// request has arrived already.
	Interrupt()
	// Resume undoes an Interrupt that has not made Next return an error. It is not called
	// during Next.
	Resume()
	// Arrived reports whether a part of a further request has arrived.
	Arrived() bool
	// HasRead reports whether a whole further request was read from the connection.
	HasRead() bool
	Close()
}

// Recorder collects metrics of the answers sent to callers.
type Recorder interface {
	Answered(route *routes.Route, a *statement.Answer, took clock.Duration)
}

// Freshness is the proof that the configuration in force is the newest, or was until a
// short time ago. *freshness.Proof implements it.
type Freshness interface {
	// Proved reports whether there ever was a proof.
	Proved() bool
	// Admits reports whether the proof is young enough for a request that had arrived
	// before the given time was read.
	Admits(arrived clock.Time) bool
	// Age returns the age of the proof, and RetryAfter after how long a refused caller
	// may expect the next one.
	Age(now clock.Time) clock.Duration
	RetryAfter(now clock.Time) clock.Duration
	// CountRefusal counts a request that was refused because the proof was too old.
	CountRefusal()
	// MaxAge is the age up to which the proof admits requests.
	MaxAge() clock.Duration
}

// Dependencies holds what all sessions of a process share.
type Dependencies struct {
	Clock         clock.Clock
	Configuration *routes.Current
	// Freshness proves that Configuration is new enough. If it is nil, no proof is
	// required.
	Freshness Freshness
	// Group returns the database group with the given name, or nil if it is
	// unknown.
	Group    func(name string) *backend.GroupClient
	Log      *zap.Logger
	Recorder Recorder
	// Waits records the waits for slots at databases, if it is not nil.
	Waits WaitRecorder
	// Self is the name of this instance.
	Self string
	// Process distinguishes this process from all others that run, or have run, under
	// the name of the instance. Session IDs begin anew in each of them.
	Process string
	// Homes forwards the requests of groups that home proxies serve. If it is
	// nil, nothing is forwarded.
	Homes *peer.Homes
	// Limits limits the operations of workspaces. If it is nil, they have no limits.
	Limits Limits
	// Usage counts the requests of workspaces. If it is nil, they are not counted.
	Usage Usage
	// Reads bounds the log lines of reads. If it is nil, they are not logged.
	Reads *ReadLog
}

// Session serves the requests of one caller, which may be connected to another
// proxy. Its methods must be called from one goroutine, except Drain and
// StopAfterRequest.
type Session struct {
	*Dependencies
	id       uint64
	caller   Caller
	database string
	// key is the caller's key. It must not be logged, nor sent to other processes.
	key string

	// values holds the session variables and prepared the prepared statements, with
	// their shared names, by the caller's name; both together are the session's state.
	// valueTexts maps the names in values to their statement texts. The maps are nil while they are empty: most
	// sessions hosted for other proxies serve one statement without state.
	values     []statement.Set
	valueTexts map[string]string
	prepared   map[string]statement.Prepare

	// requests and answers are those of the current exchange, kept for reuse.
	requests []statement.Request
	answers  []statement.Answer
	// forwardedAs is the name of the session at homes, empty until it is needed.
	forwardedAs string

	// floor is the position of the session's last acknowledged commit.
	floor position.Position
	tx    *transaction
	// transactionCount is the last number of a transaction of the session.
	transactionCount uint64
	// hostedRoute is the route of a session that is hosted for another proxy,
	// and nil otherwise. origin names that proxy and its session.
	hostedRoute *routes.Route
	origin      string

	// slotReserved is set while the session holds a slot that a database's Limiter
	// has reserved for it and that no request has used yet.
	slotReserved bool

	// These fields belong to the current request. route is nil until the request
	// needs it.
	requestID string
	answer    statement.Answer
	arrived   clock.Time
	route     *routes.Route
	// answerWithin is how long the proxy that has forwarded the request waits for the
	// answer. It is zero if that is the route's timeout.
	answerWithin clock.Duration
	// floorSource is what the floor of the request was taken from.
	floorSource group.FloorSource
	// withoutFloor is set if the request has no room for its floor, so that it needs the
	// primary.
	withoutFloor bool
	// workspace is the name of the workspace on whose behalf the request runs, or the
	// last one did if this one is refused. It is empty on public routes and where no
	// workspaces are declared.
	workspace string
	// token is the token of the operation that the request begins. limited is the
	// reason if the operation was refused for its workspace's limit.
	token   token
	limited *LimitError
	// refused is set if this process has refused the request and has written a log line
	// about it, shortOfCapacity if it was refused for lack of capacity. shortage is what
	// was last lacking, and answeredBy the home that has answered the request.
	refused, shortOfCapacity bool
	shortage                 shortage
	answeredBy               string

	mu       sync.Mutex
	waiting  bool
	draining bool
	// ending is set if the session must end after the requests that were read, and after
	// the current one if a transaction is open.
	ending bool
}

// New returns the session of a caller. The id must be unique in this process,
// except that a session hosted for another proxy has id zero and a nil Caller.
func New(deps *Dependencies, id uint64, c Caller) *Session {
	return &Session{Dependencies: deps, id: id, caller: c}
}

// Run serves the session until it ends, then closes the caller's connection.
func (s *Session) Run() {
	defer s.caller.Close()
	defer s.rollbackOpen()
	if !s.open() {
		return
	}
	for {
		request, err := s.nextRequest()
		if err != nil {
			if !errors.Is(err, ErrEnded) {
				s.Log.Debug("session ended", zap.Uint64("session", s.id), logs.Error(err))
				s.refuseMessage(err)
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

// refuseMessage tells the caller that its message was not understood, if that is what err
// reports. The session has to end, since it is not known where the next message begins.
func (s *Session) refuseMessage(err error) {
	var invalid *MessageError
	if !errors.As(err, &invalid) {
		return
	}
	if err := s.caller.Refuse(&statement.Failure{Code: statement.CodeMalformed, Text: invalid.Error()}); err != nil {
		s.Log.Debug("refusal not delivered", zap.Uint64("session", s.id), logs.Error(err))
	}
}

// refusalTimeout is how long a caller that is refused may take to send its
// startup message.
const refusalTimeout = clock.Second

// Refuse ends a session that has not been run. It reads the startup message
// first, since a close with unread bytes could discard the failure.
func (s *Session) Refuse(f *statement.Failure) {
	defer s.caller.Close()
	if _, err := s.caller.ReadStartup(refusalTimeout); err == nil {
		_ = s.caller.Refuse(f)
	}
}

// Close closes the caller's connection without an answer.
func (s *Session) Close() { s.caller.Close() }

// defaultStartupTimeout is how long a caller may take to open its session if no
// configuration sets a timeout.
const defaultStartupTimeout = 3 * clock.Second

func (s *Session) open() bool {
	limit := defaultStartupTimeout
	v := s.Configuration.Load()
	if v != nil && v.StartupTimeout > 0 {
		limit = v.StartupTimeout
	}
	startup, err := s.caller.ReadStartup(limit)
	if err != nil {
		s.Log.Debug("session not opened", zap.Uint64("session", s.id), logs.Error(err))
		s.refuseMessage(err)
		return false
	}
	name := startup.Database
	s.database, s.key = name, startup.Key
	if v = s.awaitConfiguration(); v == nil {
		s.Log.Info("session refused: no configuration yet", zap.String("database", name))
		_ = s.caller.Refuse(&statement.Failure{Code: statement.CodeBusy, Text: "no configuration is known yet"})
		return false
	}
	if v.Routes[name] == nil {
		s.Log.Info("session refused: no such database", zap.String("database", name), zap.Uint64("version", versionNumber(v)))
		_ = s.caller.Refuse(&statement.Failure{Code: statement.CodeNoDatabase, Text: name})
		return false
	}
	s.arrived = s.Clock.Now()
	if f := s.authorizeStart(v.Routes[name]); f != nil {
		_ = s.caller.Refuse(f)
		return false
	}
	return s.caller.Accept() == nil
}

// maxStartWait is how long a new session or a request may wait for a process
// that has just started to learn the configuration and the databases.
const maxStartWait = 1500 * clock.Millisecond

// startPollInterval is the interval at which pollUntil calls lookup.
const startPollInterval = 20 * clock.Millisecond

// awaitConfiguration returns the active configuration, or nil if none becomes
// known within maxStartWait. A process that has just started does not know the
// database names yet.
func (s *Session) awaitConfiguration() *routes.Version {
	return pollUntil(s.Clock, s.Clock.Now().Add(maxStartWait), s.Configuration.Load)
}

// awaitGroup returns a database group, or nil if none of its databases becomes
// known within maxStartWait or half of the route's timeout, whichever is
// shorter.
func (s *Session) awaitGroup(name string) *backend.GroupClient {
	return pollUntil(s.Clock, s.arrived.Add(s.groupWait()), func() *backend.GroupClient { return s.Group(name) })
}

func (s *Session) groupWait() clock.Duration { return min(maxStartWait, s.route.Timeout/2) }

// pollUntil calls lookup until it returns a value other than nil or the time
// until is reached. It returns the result of the last call.
func pollUntil[T any](c clock.Clock, until clock.Time, lookup func() *T) *T {
	for {
		found := lookup()
		if found != nil || c.Now() >= until {
			return found
		}
		backend.Sleep(startPollInterval)
	}
}

func versionNumber(v *routes.Version) uint64 {
	if v == nil {
		return 0
	}
	return v.Number
}

// nextRequest reads a request. If a transaction is idle for longer than its idle
// timeout, it is rolled back, and the caller's next statement fails.
func (s *Session) nextRequest() (statement.Request, error) {
	for {
		if !s.markWaiting() {
			return statement.Request{}, ErrEnded
		}
		var idle clock.Duration
		if s.tx != nil && (s.tx.conn != nil || s.tx.home != "") {
			idle = s.Configuration.Load().TransactionIdleTimeout
		}
		request, err := s.caller.Next(idle)
		s.markActive()
		if !errors.Is(err, ErrIdle) {
			return request, err
		}
		s.Log.Info("transaction rolled back after its idle timeout", zap.Uint64("session", s.id), zap.Stringer("idle", idle))
		s.abortTransaction(&statement.Failure{Code: statement.CodeAborted, Text: "idle in a transaction"})
	}
}

// markWaiting marks the session as waiting for a request outside a transaction.
// It returns false if the session has to end. Outside transactions, a draining session still
// takes the requests that have arrived, and after StopAfterRequest those that were read.
func (s *Session) markWaiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = s.tx == nil
	switch {
	case s.tx != nil:
		return !s.ending
	case !s.draining:
		return true
	case s.ending && !s.caller.HasRead(), !s.caller.Arrived():
		return false
	}
	// The rest of the request is not awaited without a limit.
	s.caller.Interrupt()
	return true
}

// markActive marks the session as serving a request.
func (s *Session) markActive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting && s.draining && !s.ending {
		// The request may begin a transaction, whose end a draining session awaits.
		s.caller.Resume()
	}
	s.waiting = false
}

// Drain ends the session as soon as no request and no transaction is in
// progress, and no request has arrived.
func (s *Session) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.waiting {
		s.caller.Interrupt()
	}
}

// StopAfterRequest ends the session after the current request and those that were read
// with it. An open transaction is rolled back after the current request.
func (s *Session) StopAfterRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.ending = true, true
	s.caller.Interrupt()
}

// rollbackOpen rolls back the open transaction, if any, when the session ends.
func (s *Session) rollbackOpen() {
	if s.tx != nil {
		s.abortTransaction(nil)
		s.tx = nil
	}
}

// abortTransaction aborts the open transaction at its home or at its database.
func (s *Session) abortTransaction(reason *statement.Failure) {
	s.rollbackAtHome()
	s.tx.abort(reason)
}

// serve handles a request and stores the answer in s.answer.
func (s *Session) serve(r *statement.Request) {
	s.requestID, s.limited, s.floorSource = r.ID, nil, group.FloorUnknown
	s.refused, s.shortOfCapacity, s.shortage, s.answeredBy = false, false, shortage{}, ""
	s.withoutFloor = false
	s.answer.Reset()
	defer s.putBackToken()
	defer s.countShortage()
	switch o := r.Operation.(type) {
	case statement.Begin:
		s.beginTransaction(r.ID, o)
	case statement.Commit, statement.Rollback:
		s.endTransaction(r)
	case statement.Set, statement.Prepare, statement.Deallocate:
		s.changeState(r)
	case statement.Read, statement.Write, statement.Execute:
		s.run(r)
	case statement.Unknown:
		s.fail(statement.CodeMalformed, cmp.Or(o.Reason, "the request is not understood"))
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

// fail sets the answer to a failure that the proxy itself reports.
func (s *Session) fail(c statement.Code, text string) {
	s.answer.Reset()
	s.answer.Failure = &statement.Failure{Code: c, Text: text}
}

// resolve returns the route for the session, or nil if there is none. A
// transaction keeps the route that it began with.
func (s *Session) resolve() *routes.Route {
	switch {
	case s.tx != nil:
		return s.tx.route
	case s.hostedRoute != nil:
		return s.hostedRoute
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
	if !s.admit(s.route) {
		return
	}
	if s.tx != nil && s.tx.failure != nil {
		s.fail(statement.CodeMalformed, "the transaction has failed")
		return
	}
	if s.shouldForward(s.route.Group) && s.forward(r) {
		return
	}
	g := s.awaitGroup(s.route.Group)
	if s.tx != nil {
		s.tx.begun = true
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
		// An unknown prepared statement runs nowhere: any database rejects it, so
		// it need not go to the primary.
		return s.prepared[o.Name].Writes
	default:
		return false
	}
}

// changeState serves a request that changes the session's state. Databases get
// the new state with the next statement, except that a variable set within a
// transaction that has begun is also set at its home or database at once.
func (s *Session) changeState(r *statement.Request) {
	if s.tx != nil && s.tx.failure != nil {
		s.fail(statement.CodeMalformed, "the transaction has failed")
		return
	}
	if o, ok := r.Operation.(statement.Prepare); ok && len(o.Shape) > maxShapeSize {
		s.fail(statement.CodeMalformed, "the statement is too long to be prepared at a database")
		return
	}
	if o, ok := r.Operation.(statement.Set); ok && s.tx != nil && !s.setInTransaction(r, o) {
		return
	}
	switch o := r.Operation.(type) {
	case statement.Set:
		s.setValue(o)
	case statement.Prepare:
		s.prepare(o)
	case statement.Deallocate:
		delete(s.prepared, o.Name)
	}
}

func (s *Session) prepare(o statement.Prepare) {
	if s.prepared == nil {
		s.prepared = make(map[string]statement.Prepare)
	}
	name := o.Name
	o.Name = sharedName(o)
	s.prepared[name] = o
}

func (s *Session) setValue(o statement.Set) {
	if s.valueTexts == nil {
		s.valueTexts = make(map[string]string)
	}
	s.valueTexts[o.Name] = o.Text
	for i := range s.values {
		if s.values[i].Name == o.Name {
			s.values[i] = o
			return
		}
	}
	s.values = append(s.values, o)
}
