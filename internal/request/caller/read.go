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
		r.group.Monitor.View(func(g *process.Group) {
			choice = r.group.Router.Read(now, r.read, g, &r.tries, &r.route)
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
func (w *worker) tryRead(r *request, route database.Route) (bool, error) {
	primary := w.isPrimary(r, route.Database)
	r.tries.AddWait(route.Wait)
	if route.Wait > 0 && !sleep(r.ctx, route.Wait) {
		return true, w.refuseBatch(outcome.NewRefused(outcome.CodeOverloaded, "no replica qualified in time"), false)
	}
	pool := r.group.Pools[route.Database]
	conn, err := r.acquire(pool)
	if err != nil {
		return w.acquireFailed(r, route.Database, primary, err)
	}
	x := &w.x
	x.prepare(w.session, conn, &w.batch)
	x.verify = func() error { return w.verifyRead(r, primary) }
	if r.read.MaxAge == 0 {
		// The primary is left out: its status is queried together with the read.
		r.group.Monitor.RefreshReplicas()
	}
	r.sentSeq, r.sentAt = w.sequence.Next(), w.clock.Now()
	err = x.assemble(true, primary && !w.batch.hasCopy)
	if err == nil {
		err = w.runExchange(conn)
	}
	switch {
	case err != nil:
		return w.readFailed(r, route.Database, primary, pool, conn, err)
	case x.failedCode == codeReadOnly && !primary && !x.flushed:
		pool.Release(conn)
		return true, w.runRefusedWrite(r)
	case !x.verifyOnce():
		return w.readDropped(r, route.Database, primary, pool, conn)
	}
	r.group.Monitor.View(func(*process.Group) { r.group.Router.Succeeded(route.Database) })
	w.recordDecision(r, r.group.Monitor.Members()[route.Database].Name, route.Reason, "answered")
	return true, w.finish(r, pool, conn, route.Database)
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
	r.group.Monitor.View(func(g *process.Group) {
		primary, _ := g.Primary()
		is = primary == i
	})
	return is
}

// verifyRead returns an error if the answer must not be sent to the caller. A
// read without a maximum age, or on the primary, may wait for a sample taken
// after its arrival.
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
	if _, err := r.group.Monitor.AwaitFreshSample(r.ctx, r.read.Arrived); err != nil {
		return err
	}
	if w.satisfiesRead(r, status) {
		return nil
	}
	return errDropped
}

// report passes a status that came with a statement to the monitor.
func (w *worker) report(r *request, status process.Status) {
	r.group.Monitor.Observe(process.Report{Database: r.route.Database, SentSeq: r.sentSeq, SentAt: r.sentAt, Status: status})
}

// satisfiesRead reports whether a database that showed status may answer the
// read.
func (w *worker) satisfiesRead(r *request, status process.Status) bool {
	var ok bool
	now := w.clock.Now()
	r.group.Monitor.View(func(g *process.Group) { ok = database.Verify(now, r.read, status, g) })
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
		r.group.Monitor.View(func(*process.Group) { r.group.Router.Failed(w.clock.Now(), i) })
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
		w.recordDecision(r, r.group.Monitor.Members()[i].Name, database.ReasonFresh, "unknown")
		return true, w.refuseBatch(lostOutcome(err), false)
	}
	r.group.Monitor.View(func(*process.Group) { r.group.Router.Failed(w.clock.Now(), i) })
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
