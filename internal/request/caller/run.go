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
	// confirmationLife is the shortest time in which a primary can be
	// replaced. A confirmation that has waited longer is taken anew.
	confirmationLife = 250 * clock.Millisecond
	// codeFenced is a database's refusal because a later term has begun.
	codeFenced = "OF409"
	// cancelTimeout bounds the time to pass a cancel request on.
	cancelTimeout = 5 * time.Second
)

// request is one statement or batch outside of a transaction.
type request struct {
	serving *database.Serving
	read    database.Read
	began   clock.Time
	ctx     context.Context
	tries   database.Tries
	use     database.Use
	// sent and sentAt are when the read was last sent to a database.
	sent   uint64
	sentAt clock.Time
	// id is the request id, "" for none.
	id string
	// class is the index of the request's class, and deadline how long it
	// may wait for a connection, zero for as long as the request.
	class    int
	deadline clock.Duration
	// term is the term of the primary that was last tried, and retries how
	// often the request has been tried in vain.
	term    uint64
	retries int
	// tagged is set if the statement itself carries the id.
	tagged bool
	// doubtful is set once a try with an id may have committed.
	doubtful bool
}

// acquire waits for a connection as long as the request's class may.
func (r *request) acquire(pool *connection.Pool) (*connection.Conn, error) {
	if r.deadline == 0 {
		return pool.Acquire(r.ctx, r.class)
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.deadline.Std())
	defer cancel()
	return pool.Acquire(ctx, r.class)
}

// runNew routes a batch that no transaction holds.
func (w *worker) runNew() error {
	serving := w.groups.Serving(w.session.Group)
	if serving == nil {
		return w.refuseBatch(outcome.NewRefused(outcome.CodeNoGroup, "database group "+w.session.Group+" is not declared any more"), false)
	}
	ctx, cancel := context.WithTimeout(context.Background(), serving.WriteWait.Std())
	defer cancel()
	w.session.BeginWait(cancel)
	defer w.session.EndWait()
	r := &request{serving: serving, began: w.clock.Now(), ctx: ctx, class: connection.NoClass}
	r.read.Arrived = w.sequence.Next()
	serving.Retries.Earn()
	if serving.Homes.Forwards() && !w.session.Forwarded {
		tags, err := ParseTags(w.batch.query)
		if err != nil {
			return w.refuseBatch(err, false)
		}
		w.takeRequestID(r, tags)
		return w.runForwarded(r)
	}
	return w.runServed(r)
}

// runServed runs a batch on this proxy's own connections to the group.
func (w *worker) runServed(r *request) error {
	r.serving.Monitor.Use()
	if err := w.declare(r); err != nil {
		return w.refuseBatch(err, false)
	}
	if w.batch.kind != KindRead {
		defer w.leaveUnlessHeld()
		if err := w.enter(r); err != nil {
			return w.refuseBatch(err, false)
		}
	}
	switch {
	case r.id != "" && w.batch.kind != KindBegin && w.batch.executed:
		return w.runLedgered(r)
	case w.batch.kind != KindRead:
		return w.runOnPrimary(r, database.ReasonWrite)
	}
	return w.runRead(r)
}

// enter passes the group's gate for a write or a transaction.
func (w *worker) enter(r *request) error {
	if w.gate != nil {
		return nil
	}
	if err := r.serving.Gate.Enter(r.ctx, w.clock); err != nil {
		return outcome.NewRefused(outcome.CodeRefused, "the group's primary is being moved")
	}
	w.gate = r.serving.Gate
	return nil
}

// leaveUnlessHeld leaves the gate, unless a transaction goes on.
func (w *worker) leaveUnlessHeld() {
	if w.gate != nil && w.session.Transaction == nil {
		w.gate.Leave()
		w.gate = nil
	}
}

// declare works out what age and floor hold for a read.
func (w *worker) declare(r *request) error {
	tags, err := ParseTags(w.batch.query)
	if err != nil {
		return err
	}
	w.takeRequestID(r, tags)
	r.class, r.deadline = r.serving.ClassOf(w.session.Application, tags.Class, w.batch.kind != KindRead)
	if w.batch.kind != KindRead {
		return nil
	}
	age := database.Tighter(w.session.MaxAge, tags.MaxAge)
	r.read.MaxAge = database.Tighter(age, r.serving.DeclaredAge(w.session.Application, tags.Read))
	if r.read.MaxAge == 0 {
		r.read.Floor = w.session.Floor
		return nil
	}
	if err := w.learnFloor(r); err != nil {
		return outcome.NewRefused(outcome.CodeRefused, "no primary confirmed the session's floor in time")
	}
	r.read.Floor = w.session.Floor
	w.awaitReports(r)
	return nil
}

// reportWait bounds the wait for reports of a group that was not in use.
const reportWait = 50 * clock.Millisecond

// awaitReports has a group that was not in use asked anew, so that the
// first reads find its replicas.
func (w *worker) awaitReports(r *request) {
	var known bool
	r.serving.Monitor.View(func(g *process.Group) {
		_, known = g.Ring().Floor(w.clock.Now(), r.read.MaxAge)
	})
	if known {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, reportWait.Std())
	defer cancel()
	// Without a sample in time, the router goes by what it knows.
	_, _ = r.serving.Monitor.AwaitFresh(ctx, r.read.Arrived)
}

// takeRequestID finds the id of a writing request. One that was set for the
// session names the next writing request alone.
func (w *worker) takeRequestID(r *request, tags Tags) {
	if r.id != "" {
		// Taken before the request was to be forwarded.
		return
	}
	r.id, r.tagged = tags.RequestID, tags.RequestID != ""
	if r.id == "" && w.session.RequestID != "" && w.batch.executed && w.batch.kind != KindRead {
		r.id = w.session.RequestID
		w.session.RequestID = ""
	}
}

// learnFloor samples the floor of a session that brought no token.
func (w *worker) learnFloor(r *request) error {
	after := w.session.StartSeq
	switch {
	case w.session.SharedID != "":
		after = r.read.Arrived
	case w.session.FloorKnown:
		return nil
	case w.session.Forwarded:
		// The connection is another proxy's and older than its caller.
		after = r.read.Arrived
	}
	sample, err := r.serving.Monitor.AwaitFresh(r.ctx, after)
	if err != nil {
		return err
	}
	w.session.RaiseFloor(sample.Position)
	w.session.FloorKnown = true
	return nil
}

// awaitPrimary waits until the group has a primary that accepts writes.
func (w *worker) awaitPrimary(r *request, reason database.Reason) error {
	err := r.serving.Monitor.Await(r.ctx, (*process.Group).Writable)
	if err != nil {
		w.decided(r, "", reason, "refused")
		return outcome.NewRefused(outcome.CodeRefused, "group "+r.serving.Name+" has no primary that accepts writes")
	}
	return nil
}

// errCancelled is the end of a request that was cancelled before it was
// sent.
var errCancelled = outcome.NewRefused(outcome.CodeCancelled, "the request was cancelled before it ran")

// lostOutcome is what is known of a request whose exchange has failed.
func lostOutcome(err error) *outcome.Error {
	if errors.Is(err, errCancelled) {
		return errCancelled
	}
	return outcome.NewUnknown(err.Error())
}

// runExchange runs the prepared exchange, with the connection open to
// cancel requests.
func (w *worker) runExchange(conn *connection.Conn) error {
	if !w.session.SetRunningConn(conn) {
		return errCancelled
	}
	defer w.session.SetRunningConn(nil)
	return w.x.run()
}

// retryLater waits before a request that did not run is routed again: until
// the group's primary changes, or for a time that grows with the tries and is
// spread at random.
func (w *worker) retryLater(r *request) (bool, error) {
	refused := outcome.NewRefused(outcome.CodeRefused, "group "+r.serving.Name+" cannot be reached")
	backoff := firstRetry << min(r.retries, maxRetryDoublings)
	r.retries++
	if !r.serving.Retries.Take() {
		backoff = retryWithoutBudget
	}
	ctx, cancel := context.WithTimeout(r.ctx, (backoff/2 + clock.Duration(rand.Int64N(int64(backoff)))).Std())
	defer cancel()
	// Either end of the wait leads to another try.
	_ = r.serving.Monitor.Await(ctx, changedFrom(r.term))
	if r.ctx.Err() != nil {
		return true, w.refuseBatch(w.inDoubt(r, refused), false)
	}
	return false, nil
}

const (
	// firstRetry is the average wait before the first retry. Each further one
	// doubles it, up to maxRetryDoublings times.
	firstRetry        = 10 * clock.Millisecond
	maxRetryDoublings = 3
	// retryWithoutBudget is the average wait once the group's retries are used
	// up.
	retryWithoutBudget = 500 * clock.Millisecond
)

// changedFrom holds once a group's primary leads another term than term.
func changedFrom(term uint64) func(*process.Group) bool {
	return func(g *process.Group) bool {
		_, current := g.Primary()
		return current != term && g.Writable()
	}
}

// retryInterval is the time between two looks for an outcome.
const retryInterval = 10 * clock.Millisecond

// deliver passes the gathered answer on, with the session's token before
// ReadyForQuery if the floor has changed.
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

// withToken puts the session's token before the ReadyForQuery that ends an
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

// pause waits for d. It returns false if the context ends first.
func pause(ctx context.Context, d clock.Duration) bool {
	timer := time.NewTimer(d.Std())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// decided records one decision.
func (w *worker) decided(r *request, name string, reason database.Reason, result string) {
	w.record(Decision{
		Group: r.serving.Name, Database: name, Reason: reason,
		Waited: w.clock.Now().Sub(r.began), Kind: w.batch.kind, Outcome: result, Declared: r.read.MaxAge > 0,
	})
}

// Cancel passes a cancel request on to the connection on which the
// session's request runs, or ends its wait for one.
func Cancel(s *caller.Session) error {
	conn := s.Cancel()
	if conn == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return conn.Cancel(ctx)
}
