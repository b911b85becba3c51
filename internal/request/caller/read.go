package caller

import (
	"github.com/go-faster/errors"

	connection "github.com/oleanderflow/oleanderflow/internal/connection/database"
	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

// runRead tries the databases that may serve a read until an answer passes
// verification.
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
		case *database.Route:
			done, err := w.tryRead(r, *c)
			if done || err != nil {
				return err
			}
		}
	}
}

// tryRead runs a read on one database. It returns false if the read must be
// routed again.
func (w *worker) tryRead(r *request, use database.Route) (bool, error) {
	primary := w.isPrimary(r, use.Database)
	r.tries.AddWait(use.Wait)
	if use.Wait > 0 && !sleep(r.ctx, use.Wait) {
		return true, w.refuseBatch(outcome.NewRefused(outcome.CodeOverloaded, "no replica qualified in time"), false)
	}
	pool := r.serving.Pools[use.Database]
	conn, err := r.acquire(pool)
	if err != nil {
		return w.acquireFailed(r, use.Database, primary, err)
	}
	x := &w.x
	x.prepare(w.session, conn, &w.batch)
	x.verify = func() error { return w.verifyRead(r, primary) }
	if r.read.MaxAge == 0 {
		// The primary's status is queried together with the read.
		r.serving.Monitor.RefreshReplicas()
	}
	r.sent, r.sentAt = w.sequence.Next(), w.clock.Now()
	err = x.assemble(true, primary && !w.batch.hasCopy)
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
	w.recordDecision(r, r.serving.Monitor.Members()[use.Database].Name, use.Reason, "answered")
	return true, w.finish(r, pool, conn, use.Database)
}

// runRefusedWrite runs on the primary a batch that a replica refused as a
// write. Nothing of it ran on the replica.
func (w *worker) runRefusedWrite(r *request) error {
	defer w.leaveGate()
	if err := w.enterGate(r); err != nil {
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

// verifyRead returns an error if the answer must not be sent to the caller. A
// fresh read may wait for a sample taken after its arrival.
func (w *worker) verifyRead(r *request, primary bool) error {
	if !w.x.hasBefore {
		return errDropped
	}
	status := w.x.before
	w.report(r, status)
	if w.satisfiesRead(r, status) {
		return nil
	}
	if r.read.MaxAge > 0 && !primary {
		return errDropped
	}
	if _, err := r.serving.Monitor.AwaitFreshSample(r.ctx, r.read.Arrived); err != nil {
		return err
	}
	if w.satisfiesRead(r, status) {
		return nil
	}
	return errDropped
}

// report passes a status that came with a statement to the monitor.
func (w *worker) report(r *request, status process.Status) {
	r.serving.Monitor.Observe(process.Report{Database: r.use.Database, SentSeq: r.sent, SentAt: r.sentAt, Status: status})
}

// satisfiesRead reports whether a database that showed status may answer the
// read.
func (w *worker) satisfiesRead(r *request, status process.Status) bool {
	var ok bool
	now := w.clock.Now()
	r.serving.Monitor.View(func(g *process.Group) { ok = database.Verify(now, r.read, status, g) })
	return ok
}

// acquireFailed handles a failure to get a connection to database i. The
// request has not been sent.
func (w *worker) acquireFailed(r *request, i int, primary bool, err error) (bool, error) {
	var refused *outcome.Error
	if errors.As(err, &refused) && primary {
		w.recordDecision(r, "", database.ReasonFresh, "refused")
		return true, w.refuseBatch(err, false)
	}
	if !primary {
		r.serving.Monitor.View(func(*process.Group) { r.serving.Router.Failed(w.clock.Now(), i) })
		r.tries.Exclude(i)
		return false, nil
	}
	return w.awaitRetry(r)
}

// readFailed handles a connection lost during a read. A replica cannot have
// written, so the read may run elsewhere; a primary may have written.
func (w *worker) readFailed(r *request, i int, primary bool, pool *connection.Pool, conn *connection.Conn, err error) (bool, error) {
	conn.StateUnknown = true
	pool.Release(conn)
	if primary || w.x.flushed {
		w.recordDecision(r, r.serving.Monitor.Members()[i].Name, database.ReasonFresh, "unknown")
		return true, w.refuseBatch(lostOutcome(err), false)
	}
	r.serving.Monitor.View(func(*process.Group) { r.serving.Router.Failed(w.clock.Now(), i) })
	r.tries.Exclude(i)
	return false, nil
}

// readDropped handles an answer that failed verification. No byte of it has
// been sent to the caller.
func (w *worker) readDropped(r *request, i int, primary bool, pool *connection.Pool, conn *connection.Conn) (bool, error) {
	if w.x.txStatus != 'I' {
		conn.StateUnknown = true
	}
	pool.Release(conn)
	if !primary {
		r.tries.VerificationFailed(i)
		return false, nil
	}
	if w.x.hasAfter && w.x.before.Applied == w.x.after.Applied {
		return w.awaitRetry(r)
	}
	return true, w.refuseBatch(outcome.NewUnknown("the primary was replaced while the statement ran"), false)
}
