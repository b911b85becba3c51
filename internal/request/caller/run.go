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
	"github.com/oleanderflow/oleanderflow/pkg/position"
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
	r.id, r.tagged = tags.RequestID, tags.RequestID != ""
	if r.id == "" && w.session.RequestID != "" && w.batch.executed && w.batch.kind != KindRead {
		r.id = w.session.RequestID
		w.session.RequestID = ""
	}
}

// learnFloor samples the floor of a session that brought no token.
func (w *worker) learnFloor(r *request) error {
	after := w.session.Arrived
	if w.session.Shared != "" {
		after = r.read.Arrived
	} else if w.session.FloorKnown {
		return nil
	}
	sample, err := r.serving.Monitor.AwaitFresh(r.ctx, after)
	if err != nil {
		return err
	}
	w.session.RaiseFloor(sample.Position)
	w.session.FloorKnown = true
	return nil
}

// runRead tries the databases that may serve a read, until one's answer
// passes its verification.
func (w *worker) runRead(r *request) error {
	for {
		var choice database.Choice
		now := w.clock.Now()
		r.serving.Monitor.View(func(g *process.Group) {
			choice = r.serving.Router.Read(now, r.read, g, &r.tries, &r.use)
			_, r.term = g.Primary()
		})
		switch c := choice.(type) {
		case database.Hold:
			if err := w.awaitPrimary(r, c.Reason); err != nil {
				return w.refuseBatch(err, false)
			}
		case *database.Use:
			done, err := w.tryRead(r, *c)
			if done || err != nil {
				return err
			}
		}
	}
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

// tryRead runs a read on one database. It returns false if the read must go
// to another.
func (w *worker) tryRead(r *request, use database.Use) (bool, error) {
	primary := w.isPrimary(r, use.Database)
	r.tries.Waited(use.Wait)
	if use.Wait > 0 && !pause(r.ctx, use.Wait) {
		return true, w.refuseBatch(outcome.NewRefused(outcome.CodeOverloaded, "no replica qualified in time"), false)
	}
	pool := r.serving.Pools[use.Database]
	conn, err := r.acquire(pool)
	if err != nil {
		return w.notAcquired(r, use.Database, primary, err)
	}
	x := &w.x
	x.prepare(w.session, conn, &w.batch)
	x.verify = func() error { return w.verifyRead(r, primary) }
	if r.read.MaxAge == 0 {
		// The primary's own word comes with the read.
		r.serving.Monitor.RefreshReplicas()
	}
	r.sent, r.sentAt = w.sequence.Next(), w.clock.Now()
	err = x.assemble(true, primary && !w.batch.copies)
	if err == nil {
		err = w.runExchange(conn)
	}
	switch {
	case err != nil:
		return w.readFailed(r, use.Database, primary, pool, conn, err)
	case x.failedCode == codeReadOnly && !primary && !x.flushed:
		pool.Release(conn)
		return true, w.runRefusedWrite(r)
	case !x.verifyOnce():
		return w.readDropped(r, use.Database, primary, pool, conn)
	}
	r.serving.Monitor.View(func(*process.Group) { r.serving.Router.Succeeded(use.Database) })
	w.decided(r, r.serving.Monitor.Members()[use.Database].Name, use.Reason, "answered")
	return true, w.finish(r, pool, conn, use.Database)
}

// runRefusedWrite runs on the primary what a replica refused as a write. It
// did not run there.
func (w *worker) runRefusedWrite(r *request) error {
	defer w.leaveUnlessHeld()
	if err := w.enter(r); err != nil {
		return w.refuseBatch(err, false)
	}
	return w.runOnPrimary(r, database.ReasonRefusedWrite)
}

func (w *worker) isPrimary(r *request, i int) bool {
	var is bool
	r.serving.Monitor.View(func(g *process.Group) {
		primary, _ := g.Primary()
		is = primary == i
	})
	return is
}

// runExchange runs the prepared exchange, with the connection open to
// cancel requests.
func (w *worker) runExchange(conn *connection.Conn) error {
	w.session.SetRunning(conn)
	defer w.session.SetRunning(nil)
	return w.x.run()
}

// verifyRead decides whether the answer may be passed on. A fresh read
// waits for a sample taken after its arrival.
func (w *worker) verifyRead(r *request, primary bool) error {
	if !w.x.hasBefore {
		return errDropped
	}
	status := w.x.before
	w.report(r, status)
	if w.verifies(r, status) {
		return nil
	}
	if r.read.MaxAge > 0 && !primary {
		return errDropped
	}
	if _, err := r.serving.Monitor.AwaitFresh(r.ctx, r.read.Arrived); err != nil {
		return err
	}
	if w.verifies(r, status) {
		return nil
	}
	return errDropped
}

// report feeds a status that came with a statement to the monitor.
func (w *worker) report(r *request, status process.Status) {
	r.serving.Monitor.Observe(process.Report{Database: r.use.Database, Sent: r.sent, SentAt: r.sentAt, Status: status})
}

func (w *worker) verifies(r *request, status process.Status) bool {
	var ok bool
	now := w.clock.Now()
	r.serving.Monitor.View(func(g *process.Group) { ok = database.Verify(now, r.read, status, g) })
	return ok
}

// notAcquired handles a database that lends no connection. The request has
// not been sent.
func (w *worker) notAcquired(r *request, i int, primary bool, err error) (bool, error) {
	var refused *outcome.Error
	if errors.As(err, &refused) && primary {
		w.decided(r, "", database.ReasonFresh, "refused")
		return true, w.refuseBatch(err, false)
	}
	if !primary {
		r.serving.Monitor.View(func(*process.Group) { r.serving.Router.Failed(w.clock.Now(), i) })
		r.tries.Exclude(i)
		return false, nil
	}
	return w.retryLater(r)
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

// readFailed handles a connection lost during a read. A replica cannot
// have written, so that the read may run elsewhere; on a primary it may have
// written.
func (w *worker) readFailed(r *request, i int, primary bool, pool *connection.Pool, conn *connection.Conn, err error) (bool, error) {
	conn.Doubtful = true
	pool.Release(conn)
	if primary || w.x.flushed {
		w.decided(r, r.serving.Monitor.Members()[i].Name, database.ReasonFresh, "unknown")
		return true, w.refuseBatch(outcome.NewUnknown(err.Error()), false)
	}
	r.serving.Monitor.View(func(*process.Group) { r.serving.Router.Failed(w.clock.Now(), i) })
	r.tries.Exclude(i)
	return false, nil
}

// readDropped handles an answer that did not pass its verification. No byte
// of it has reached the caller.
func (w *worker) readDropped(r *request, i int, primary bool, pool *connection.Pool, conn *connection.Conn) (bool, error) {
	if w.x.txStatus != 'I' {
		conn.Doubtful = true
	}
	pool.Release(conn)
	if !primary {
		r.tries.Missed(i)
		return false, nil
	}
	if w.x.hasAfter && w.x.before.Applied == w.x.after.Applied {
		return w.retryLater(r)
	}
	return true, w.refuseBatch(outcome.NewUnknown("the primary was replaced while the statement ran"), false)
}

// runOnPrimary runs a batch that may write. It is sent once, unless the
// database itself refuses it.
func (w *worker) runOnPrimary(r *request, reason database.Reason) error {
	for {
		var choice database.Choice
		r.serving.Monitor.View(func(g *process.Group) {
			choice = r.serving.Router.Write(g, &r.use)
			_, r.term = g.Primary()
		})
		switch c := choice.(type) {
		case database.Hold:
			if err := w.awaitPrimary(r, c.Reason); err != nil {
				return w.refuseBatch(err, false)
			}
		case *database.Use:
			done, err := w.tryWrite(r, c.Database, reason)
			if done || err != nil {
				return err
			}
		}
	}
}

func (w *worker) tryWrite(r *request, i int, reason database.Reason) (bool, error) {
	pool := r.serving.Pools[i]
	conn, err := r.acquire(pool)
	if err != nil {
		var refused *outcome.Error
		if errors.As(err, &refused) {
			w.decided(r, "", reason, "refused")
			return true, w.refuseBatch(err, false)
		}
		return w.retryLater(r)
	}
	x := &w.x
	x.prepare(w.session, conn, &w.batch)
	begins := w.batch.kind == KindBegin
	r.sent, r.sentAt = w.sequence.Next(), w.clock.Now()
	if err = x.assemble(begins, !w.batch.copies && !begins && !x.midBatch); err == nil {
		err = w.runExchange(conn)
	}
	name := r.serving.Monitor.Members()[i].Name
	if err != nil {
		conn.Doubtful = true
		pool.Release(conn)
		w.decided(r, name, reason, "unknown")
		return true, w.refuseBatch(outcome.NewUnknown(err.Error()), false)
	}
	if w.refusedByDatabase() {
		pool.Release(conn)
		return w.retryLater(r)
	}
	if begins && x.txStatus != 'I' && w.verifyBegin(r) != nil {
		// Closing the connection rolls back what the batch may have done.
		conn.Doubtful = true
		pool.Release(conn)
		if x.flushed || w.batch.ends {
			return true, w.refuseBatch(outcome.NewRefused(outcome.CodeRefused, "the transaction was begun on a primary that has been replaced"), false)
		}
		return w.retryLater(r)
	}
	w.decided(r, name, reason, "answered")
	return true, w.finish(r, pool, conn, i)
}

// refusedByDatabase reports whether the database refused the whole batch
// because it leads no more, so that it did not run.
func (w *worker) refusedByDatabase() bool {
	refused := w.x.failedCode == codeReadOnly || w.x.failedCode == codeFenced
	return refused && !w.x.flushed && !w.x.wrote && w.x.txStatus == 'I' && w.batch.kind != KindBegin && !w.batch.ends
}

// finish ends an exchange: an open transaction keeps the connection, a
// commit waits for its confirmation without one.
func (w *worker) finish(r *request, pool *connection.Pool, conn *connection.Conn, i int) error {
	x := &w.x
	if x.midBatch || x.txStatus != 'I' {
		return w.hold(r, pool, conn, i)
	}
	w.midBatch = false
	w.session.Transaction = nil
	commit, needed, err := w.commitPosition(conn)
	pool.Release(conn)
	if err != nil {
		return w.refuseBatch(outcome.NewUnknown(err.Error()), false)
	}
	if needed && x.hasAfter && r.sent > 0 {
		w.report(r, x.after)
	}
	if needed {
		if err := w.acknowledge(r, commit); err != nil {
			return w.refuseBatch(err, false)
		}
	}
	if needed {
		w.session.RaiseFloor(commit)
		w.session.FloorKnown = true
	}
	return w.deliver()
}

// hold keeps the connection for an open transaction.
func (w *worker) hold(r *request, pool *connection.Pool, conn *connection.Conn, i int) error {
	w.midBatch = w.x.midBatch
	held := &caller.Held{Conn: conn, Pool: pool, Database: i}
	w.session.Transaction = held
	if w.batch.kind == KindBegin && r.id != "" {
		if err := w.beginLedgered(r); err != nil {
			w.abandonTransaction()
			return w.refuseBatch(err, false)
		}
	}
	return w.deliver()
}

// verifyBegin makes sure that a transaction reads from a primary that had
// not been replaced when the transaction arrived.
func (w *worker) verifyBegin(r *request) error {
	if !w.x.hasBefore || !w.x.before.Applied.AtLeast(w.session.Floor) {
		return errDropped
	}
	sample, err := r.serving.Monitor.AwaitFresh(r.ctx, r.read.Arrived)
	if err != nil {
		return err
	}
	if !w.x.before.Leads() || sample.Position.Term != w.x.before.Term {
		return errDropped
	}
	return nil
}

// commitPosition returns the position that must be confirmed before the
// answer is passed on, and whether there is one.
func (w *worker) commitPosition(conn *connection.Conn) (position.Position, bool, error) {
	x := &w.x
	hidden := x.hasBefore && x.hasAfter && x.before.Applied != x.after.Applied
	if !x.wrote && !hidden {
		return position.Position{}, false, nil
	}
	status := x.after
	if !x.hasAfter {
		var err error
		if status, err = askStatus(conn); err != nil {
			return position.Position{}, true, err
		}
	}
	if !status.Leads() {
		return position.Position{}, true, errors.New("the primary was replaced while the statement ran")
	}
	return status.Applied, true, nil
}

// askStatus asks for the status on a connection that is at rest.
func askStatus(conn *connection.Conn) (process.Status, error) {
	var status process.Status
	conn.Frontend.Send(&pgproto3.Query{String: connection.StatusStatement})
	if err := conn.Frontend.Flush(); err != nil {
		conn.Doubtful = true
		return status, err
	}
	for {
		msg, err := conn.Frontend.Receive()
		if err != nil {
			conn.Doubtful = true
			return status, err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			if status, err = connection.ParseStatus(m.Values); err != nil {
				conn.Doubtful = true
				return status, err
			}
		case *pgproto3.ReadyForQuery:
			return status, nil
		}
	}
}

// acknowledge waits until a commit is confirmed by enough of its group.
func (w *worker) acknowledge(r *request, p position.Position) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.serving.CommitWait.Std())
	defer cancel()
	verdict, err := r.serving.Monitor.AwaitCommit(ctx, p)
	if err == nil && verdict.Verdict == process.Confirmed && w.clock.Now().Sub(verdict.At) > confirmationLife {
		err = w.confirmAnew(ctx, r, p)
	}
	switch {
	case err != nil:
		w.decided(r, "", "commit not confirmed in time", "unknown")
		return outcome.NewUnknown("the commit was not confirmed by the group in time")
	case verdict.Verdict == process.Lost:
		w.decided(r, "", "primary replaced before the commit was confirmed", "unknown")
		return outcome.NewUnknown("the primary was replaced before the commit was confirmed")
	}
	return nil
}

// confirmAnew settles a commit whose confirmation was taken before this
// process stood still.
func (w *worker) confirmAnew(ctx context.Context, r *request, p position.Position) error {
	sample, err := r.serving.Monitor.AwaitFresh(ctx, w.sequence.Next())
	if err == nil && !sample.Position.AtLeast(p) {
		err = errDropped
	}
	return err
}

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

// runHeld runs a batch on the connection that the session holds.
func (w *worker) runHeld() error {
	defer w.leaveUnlessHeld()
	held := w.session.Transaction
	serving := w.groups.Serving(w.session.Group)
	if serving == nil {
		w.abandonTransaction()
		return w.refuseBatch(outcome.NewRefused(outcome.CodeNoGroup, "the database group is not declared any more"), false)
	}
	ctx, cancel := context.WithTimeout(context.Background(), serving.WriteWait.Std())
	defer cancel()
	r := &request{serving: serving, began: w.clock.Now(), ctx: ctx}
	x := &w.x
	wrote := x.wrote && w.midBatch
	x.prepare(w.session, held.Conn, &w.batch)
	x.wrote = wrote
	if w.batch.kind == KindSet || w.batch.kind == KindWrite && containsFold(w.batch.query, "set ") {
		held.Conn.Settings = settingsUnknown
	}
	err := w.assembleHeld(held)
	if err == nil {
		err = w.runExchange(held.Conn)
	}
	if err != nil {
		return w.heldFailed(r, err)
	}
	if held.Forwarded {
		w.decided(r, "", database.ReasonForwarded, "answered")
		return w.finishForwarded(database.Home{Pool: held.Pool}, held.Conn)
	}
	w.decided(r, serving.Monitor.Members()[held.Database].Name, database.ReasonTransaction, "answered")
	return w.finish(r, held.Pool, held.Conn, held.Database)
}

// assembleHeld builds the request for a held connection, whose settings are
// the transaction's own.
func (w *worker) assembleHeld(held *caller.Held) error {
	if err := w.x.addBatch(); err != nil {
		return err
	}
	if !held.Forwarded && w.batch.ends && !w.batch.copies && !w.x.midBatch {
		return w.x.addQuery(phaseAfter, connection.StatusStatement)
	}
	return nil
}

// heldFailed handles the loss of a transaction's connection. Only a batch
// that may have committed has an unknown outcome.
func (w *worker) heldFailed(r *request, err error) error {
	implicit := w.midBatch
	w.midBatch = false
	w.abandonTransaction()
	if w.batch.ends || implicit {
		w.decided(r, "", database.ReasonTransaction, "unknown")
		return w.refuseBatch(outcome.NewUnknown(err.Error()), false)
	}
	w.decided(r, "", database.ReasonTransaction, "refused")
	return w.refuseBatch(outcome.NewRefused("40001", "the transaction was rolled back: "+err.Error()), false)
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
// session's request runs, if there is one.
func Cancel(s *caller.Session) error {
	conn := s.Running()
	if conn == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return conn.Cancel(ctx)
}
