package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/oleanderflow/oleanderflow/internal/connection/caller"
	connection "github.com/oleanderflow/oleanderflow/internal/connection/database"
	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

const (
	// maxConfirmationAge is the age up to which the confirmation of a commit is
	// trusted; an older one is obtained again. It is the shortest time in which a
	// primary can be replaced.
	maxConfirmationAge = 250 * clock.Millisecond
	// codeFenced is the SQLSTATE of a write refused because a later term has
	// begun.
	codeFenced = "OF409"
	// cancelTimeout limits the time to forward a cancel request.
	cancelTimeout = 5 * time.Second
)

// request is one batch, or one query for an outcome, while it is being run.
type request struct {
	group *database.ServedGroup
	read  database.ReadRequirements
	began clock.Time
	ctx   context.Context
	tries database.Tries
	route database.Route
	// sentSeq and sentAt are the event number and the time at which the request,
	// or a status query for it, was last sent to a database.
	sentSeq uint64
	sentAt  clock.Time
	// id is the request id, "" for none.
	id string
	// class is the index of the request's class. deadline limits the wait for a
	// connection; if zero, only ctx does.
	class    int
	deadline clock.Duration
	// priority is that of the workspace of the session's user.
	priority int
	// term is the primary's term when the request was last routed, and retries
	// is the number of failed attempts.
	term    uint64
	retries int
	// tagged is set if the statement's own comment carries the id.
	tagged bool
	// mayHaveCommitted is set once an attempt with an id may have committed.
	mayHaveCommitted bool
}

// acquire waits for a connection, no longer than the deadline of the request's
// class.
func (r *request) acquire(pool *connection.Pool) (*connection.Conn, error) {
	if r.deadline == 0 {
		return pool.AcquireFor(r.ctx, r.class, r.priority)
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.deadline.Std())
	defer cancel()
	return pool.AcquireFor(ctx, r.class, r.priority)
}

// runOutsideTransaction routes a batch of a session without an open
// transaction.
func (w *worker) runOutsideTransaction() error {
	group := w.groups.Serving(w.session.Group)
	if group == nil {
		return w.refuseBatch(outcome.NewRefused(outcome.CodeNoGroup, "database group "+w.session.Group+" is not declared any more"), false)
	}
	ctx, cancel := context.WithTimeout(context.Background(), group.WriteWait.Std())
	defer cancel()
	w.session.BeginWait(cancel)
	defer w.session.EndWait()
	r := &request{group: group, began: w.clock.Now(), ctx: ctx, class: connection.NoClass, priority: group.Priorities[w.session.ActingUser()]}
	r.read.Arrived = w.sequence.Next()
	group.Retries.Deposit()
	if group.Homes.Forwards() && !w.session.Forwarded {
		tags, err := ParseTags(w.batch.query)
		if err != nil {
			return w.refuseBatch(err, false)
		}
		w.takeRequestID(r, tags)
		return w.runForwarded(r)
	}
	return w.runDirect(r)
}

// runDirect runs a batch on this proxy's own connections to the group.
func (w *worker) runDirect(r *request) error {
	r.group.Monitor.MarkUsed()
	if err := w.resolveOptions(r); err != nil {
		return w.refuseBatch(err, false)
	}
	if w.batch.kind != KindRead {
		defer w.leaveGate()
		if err := w.enterGate(r); err != nil {
			return w.refuseBatch(err, false)
		}
	}
	switch {
	case r.id != "" && w.batch.kind != KindBegin && w.batch.runsStatement:
		return w.runWithID(r)
	case w.batch.kind != KindRead:
		return w.runOnPrimary(r, database.ReasonWrite)
	}
	return w.runRead(r)
}

// enterGate enters the group's gate for a write or a transaction, unless the
// session has entered it already. It returns an *outcome.Error if the gate
// does not open in time.
func (w *worker) enterGate(r *request) error {
	if w.gate != nil {
		return nil
	}
	if err := r.group.Gate.Enter(r.ctx, w.clock); err != nil {
		return outcome.NewRefused(outcome.CodeRefused, "the group's primary is being moved")
	}
	w.gate = r.group.Gate
	return nil
}

// leaveGate leaves the gate unless a transaction is still open.
func (w *worker) leaveGate() {
	if w.gate != nil && w.session.Transaction == nil {
		w.gate.Leave()
		w.gate = nil
	}
}

// resolveOptions determines the request's id and class and, for a read, its
// maximum age and floor.
func (w *worker) resolveOptions(r *request) error {
	tags, err := ParseTags(w.batch.query)
	if err != nil {
		return err
	}
	w.takeRequestID(r, tags)
	r.class, r.deadline = r.group.ClassOf(w.session.Application, tags.Class, w.batch.kind != KindRead)
	if w.batch.kind != KindRead {
		return nil
	}
	age := database.StricterAge(w.session.MaxAge, tags.MaxAge)
	r.read.MaxAge = database.StricterAge(age, r.group.DeclaredAge(w.session.Application, tags.Read))
	if r.read.MaxAge == 0 {
		r.read.Floor = w.session.Floor
		return nil
	}
	if err := w.sampleFloor(r); err != nil {
		return outcome.NewRefused(outcome.CodeRefused, "no primary confirmed the session's floor in time")
	}
	r.read.Floor = w.session.Floor
	w.awaitSample(r)
	return nil
}

// sampleTimeout limits the wait for a sample of a group that was not in use.
const sampleTimeout = 50 * clock.Millisecond

// awaitSample waits for a fresh sample if none is recent enough for the read's
// maximum age, so that the first reads of a group that was not in use can go to
// replicas.
func (w *worker) awaitSample(r *request) {
	var known bool
	r.group.Monitor.View(func(g *process.Group) {
		_, known = g.Samples().Floor(w.clock.Now(), r.read.MaxAge)
	})
	if known {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, sampleTimeout.Std())
	defer cancel()
	// If no sample arrives in time, the router decides without it.
	_, _ = r.group.Monitor.AwaitFreshSample(ctx, r.read.Arrived)
}

// takeRequestID sets the request's id from its tags or the session. An id that
// was set for the session applies only to the next writing request.
func (w *worker) takeRequestID(r *request, tags Tags) {
	if r.id != "" {
		// Already set before the attempt to forward the request.
		return
	}
	r.id, r.tagged = tags.RequestID, tags.RequestID != ""
	if r.id == "" && w.session.RequestID != "" && w.batch.runsStatement && w.batch.kind != KindRead {
		r.id = w.session.RequestID
		w.session.RequestID = ""
	}
}

// sampleFloor raises the session's floor to a fresh sample unless the floor is
// known, as it is for a session that sent a token. A session that runs on
// several connections needs a sample for each read.
func (w *worker) sampleFloor(r *request) error {
	after := w.session.StartSeq
	switch {
	case w.session.SharedID != "":
		after = r.read.Arrived
	case w.session.FloorKnown:
		return nil
	case w.session.Forwarded:
		// StartSeq is that of the connection from another proxy, which may be
		// older than the caller's session.
		after = r.read.Arrived
	}
	sample, err := r.group.Monitor.AwaitFreshSample(r.ctx, after)
	if err != nil {
		return err
	}
	w.session.RaiseFloor(sample.Position)
	w.session.FloorKnown = true
	return nil
}

// awaitPrimary waits until the group has a primary that accepts writes. It
// returns an *outcome.Error if there is none in time.
func (w *worker) awaitPrimary(r *request, reason database.Reason) error {
	err := r.group.Monitor.Await(r.ctx, (*process.Group).Writable)
	if err != nil {
		w.recordDecision(r, "", reason, "refused")
		return outcome.NewRefused(outcome.CodeRefused, "group "+r.group.Name+" has no primary that accepts writes")
	}
	return nil
}

// errCancelled is the outcome of a request that was cancelled before it was
// sent.
var errCancelled = outcome.NewRefused(outcome.CodeCancelled, "the request was cancelled before it ran")

// lostOutcome returns the outcome of a request whose exchange failed with err.
func lostOutcome(err error) *outcome.Error {
	if errors.Is(err, errCancelled) {
		return errCancelled
	}
	var settings *settingsError
	if errors.As(err, &settings) {
		return outcome.NewRefused(settings.Code, settings.Error())
	}
	return outcome.NewUnknown(err.Error())
}

// runExchange runs the prepared exchange. Until it returns, cancel requests go
// to conn.
func (w *worker) runExchange(conn *connection.Conn) error {
	if !w.session.SetRunningConn(conn) {
		return errCancelled
	}
	defer w.session.SetRunningConn(nil)
	return w.x.run()
}

// awaitRetry delays the next attempt of a request until the group has a primary
// of another term or a randomized exponential backoff ends. It returns true if
// it has refused the request because its time limit was reached.
func (w *worker) awaitRetry(r *request) (bool, error) {
	refused := outcome.NewRefused(outcome.CodeRefused, "group "+r.group.Name+" cannot be reached")
	backoff := initialBackoff << min(r.retries, maxBackoffDoublings)
	r.retries++
	if !r.group.Retries.TryWithdraw() {
		backoff = backoffWithoutBudget
	}
	ctx, cancel := context.WithTimeout(r.ctx, (backoff/2 + clock.Duration(rand.Int64N(int64(backoff)))).Std())
	defer cancel()
	// The request is tried again whether the primary changed or not.
	_ = r.group.Monitor.Await(ctx, termChangedFrom(r.term))
	if r.ctx.Err() != nil {
		return true, w.refuseBatch(w.refusalOrUnknown(r, refused), false)
	}
	return false, nil
}

const (
	// initialBackoff is the average wait before the first retry. Each further
	// retry doubles it, at most maxBackoffDoublings times.
	initialBackoff      = 10 * clock.Millisecond
	maxBackoffDoublings = 3
	// backoffWithoutBudget is the average wait while the group's retry budget is
	// used up.
	backoffWithoutBudget = 500 * clock.Millisecond
)

// termChangedFrom returns a condition that holds once the group accepts writes
// in another term than term.
func termChangedFrom(term uint64) func(*process.Group) bool {
	return func(g *process.Group) bool {
		_, current := g.Primary()
		return current != term && g.Writable()
	}
}

// retryInterval is the time between two attempts to query an outcome or to
// reach a home proxy.
const retryInterval = 10 * clock.Millisecond

// deliver sends the gathered answer to the caller, with the session's token
// before ReadyForQuery if the floor has changed.
func (w *worker) deliver() error {
	x := &w.x
	if x.callerErr != nil {
		return x.callerErr
	}
	out, err := w.withToken(x.out)
	if err != nil {
		return err
	}
	x.out = out
	return w.session.Write(out)
}

// withToken inserts the session's token before the ReadyForQuery that ends an
// answer, if the caller does not have it yet.
func (w *worker) withToken(out []byte) ([]byte, error) {
	if len(out) < readySize || out[len(out)-readySize] != 'Z' {
		return out, nil
	}
	value, changed := w.session.TakeToken()
	if !changed {
		return out, nil
	}
	ready := [readySize]byte(out[len(out)-readySize:])
	token := &pgproto3.ParameterStatus{Name: tokenParameter, Value: value}
	out, err := token.Encode(out[:len(out)-readySize])
	return append(out, ready[:]...), err
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d clock.Duration) bool {
	timer := time.NewTimer(d.Std())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordDecision passes one routing decision and its result to the recorder.
func (w *worker) recordDecision(r *request, name string, reason database.Reason, result string) {
	w.record(Decision{
		Group: r.group.Name, Database: name, Reason: reason,
		Waited: w.clock.Now().Sub(r.began), Kind: w.batch.kind, Outcome: result, MaxAgeSet: r.read.MaxAge > 0,
	})
}

// Cancel forwards a cancel request to the connection on which the session's
// request runs. If the request has not been sent yet, it ends the request's
// wait instead.
func Cancel(s *caller.Session) error {
	conn := s.Cancel()
	if conn == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return conn.Cancel(ctx)
}
