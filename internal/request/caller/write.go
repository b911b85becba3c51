package caller

import (
	"context"

	"github.com/go-faster/errors"

	connection "github.com/oleanderflow/oleanderflow/internal/connection/database"
	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// choosePrimary chooses the database for a request that may write and notes
// the primary's term.
func (r *request) choosePrimary() database.Choice {
	var choice database.Choice
	r.group.Monitor.View(func(g *process.Group) {
		choice = r.group.Router.Write(g, &r.route)
		_, r.term = g.Primary()
	})
	return choice
}

// runOnPrimary runs a batch that may write. It is sent again only if the last
// attempt had no effect, such as when the database refused it.
func (w *worker) runOnPrimary(r *request, reason database.Reason) error {
	for {
		switch c := r.choosePrimary().(type) {
		case database.Hold:
			if err := w.awaitPrimary(r, c.Reason); err != nil {
				return w.refuseBatch(err, false)
			}
		case *database.Route:
			done, err := w.tryWrite(r, c.Database, reason)
			if done || err != nil {
				return err
			}
		}
	}
}

// tryWrite makes one attempt on database i. It returns false if the batch must
// be routed again.
func (w *worker) tryWrite(r *request, i int, reason database.Reason) (bool, error) {
	pool := r.group.Pools[i]
	conn, err := r.acquire(pool)
	if err != nil {
		var refused *outcome.Error
		if errors.As(err, &refused) {
			w.recordDecision(r, "", reason, "refused")
			return true, w.refuseBatch(err, false)
		}
		return w.awaitRetry(r)
	}
	x := &w.x
	x.prepare(w.session, conn, &w.batch)
	begins := w.batch.kind == KindBegin
	r.sentSeq, r.sentAt = w.sequence.Next(), w.clock.Now()
	if err = x.assemble(begins, !w.batch.hasCopy && !begins && !x.awaitingSync); err == nil {
		err = w.runExchange(conn)
	}
	name := r.group.Monitor.Members()[i].Name
	if err != nil {
		conn.StateUnknown = true
		pool.Release(conn)
		w.recordDecision(r, name, reason, "unknown")
		return true, w.refuseBatch(lostOutcome(err), false)
	}
	if w.refusedByDatabase() {
		pool.Release(conn)
		return w.awaitRetry(r)
	}
	if begins && x.txStatus != 'I' && w.verifyBegin(r) != nil {
		// Closing the connection rolls back anything the batch did.
		conn.StateUnknown = true
		pool.Release(conn)
		if x.flushed || w.batch.endsTransaction {
			return true, w.refuseBatch(outcome.NewRefused(outcome.CodeRefused, "the transaction was begun on a primary that has been replaced"), false)
		}
		return w.awaitRetry(r)
	}
	w.recordDecision(r, name, reason, "answered")
	return true, w.finish(r, pool, conn, i)
}

// refusedByDatabase reports whether the database refused the whole batch
// because it is no longer the primary. Nothing of the batch ran then.
func (w *worker) refusedByDatabase() bool {
	refused := w.x.failedCode == codeReadOnly || w.x.failedCode == codeFenced
	return refused && !w.x.flushed && !w.x.wrote && w.x.txStatus == 'I' && w.batch.kind != KindBegin && !w.batch.endsTransaction
}

// finish ends an exchange. An open transaction keeps the connection; a commit
// releases it before waiting for confirmation.
func (w *worker) finish(r *request, pool *connection.Pool, conn *connection.Conn, i int) error {
	x := &w.x
	if x.awaitingSync || x.txStatus != 'I' {
		return w.holdConnection(r, pool, conn, i)
	}
	w.awaitingSync = false
	w.session.Transaction = nil
	commit, needed, err := w.commitPosition(r, conn)
	pool.Release(conn)
	if err != nil {
		return w.refuseBatch(outcome.NewUnknown(err.Error()), false)
	}
	if needed {
		if err := w.awaitCommit(r, commit); err != nil {
			return w.refuseBatch(err, false)
		}
		w.session.RaiseFloor(commit)
		w.session.FloorKnown = true
	}
	return w.deliver()
}

// commitPosition returns the position that must be confirmed before the answer
// is sent to the caller, and whether there is one.
func (w *worker) commitPosition(r *request, conn *connection.Conn) (position.Position, bool, error) {
	x := &w.x
	// A SELECT may write too, which shows in the applied position.
	hiddenWrite := x.hasBefore && x.hasAfter && x.before.Applied != x.after.Applied
	if !x.wrote && !hiddenWrite {
		return position.Position{}, false, nil
	}
	status := x.after
	if x.hasAfter {
		w.report(r, status)
	} else {
		var err error
		if status, err = w.queryAndReportStatus(r, conn); err != nil {
			return position.Position{}, true, err
		}
	}
	if !status.AcceptsWrites() {
		return position.Position{}, true, errors.New("the primary was replaced while the statement ran")
	}
	return status.Applied, true, nil
}

// queryAndReportStatus queries the status on an idle connection and reports it
// to the monitor, because the database that ran a commit is one of those that
// confirm it.
func (w *worker) queryAndReportStatus(r *request, conn *connection.Conn) (process.Status, error) {
	r.sentSeq, r.sentAt = w.sequence.Next(), w.clock.Now()
	status, err := conn.QueryStatus(connection.StatusStatement)
	if err == nil {
		w.report(r, status)
	}
	return status, err
}

// awaitCommit waits until enough databases of the group confirm the commit at
// p. It returns an *outcome.Error of kind Unknown if they do not in time or if
// the primary is replaced first.
func (w *worker) awaitCommit(r *request, p position.Position) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.group.CommitWait.Std())
	defer cancel()
	result, err := r.group.Monitor.AwaitCommit(ctx, p)
	if err == nil && result.Outcome == process.CommitConfirmed && w.clock.Now().Sub(result.At) > maxConfirmationAge {
		err = w.reconfirm(ctx, r, p)
	}
	switch {
	case err != nil:
		w.recordDecision(r, "", "commit not confirmed in time", "unknown")
		return outcome.NewUnknown("the commit was not confirmed by the group in time")
	case result.Outcome == process.CommitLost:
		w.recordDecision(r, "", "primary replaced before the commit was confirmed", "unknown")
		return outcome.NewUnknown("the primary was replaced before the commit was confirmed")
	}
	return nil
}

// reconfirm confirms a commit by a fresh sample. It is needed if the process
// was suspended after the first confirmation.
func (w *worker) reconfirm(ctx context.Context, r *request, p position.Position) error {
	sample, err := r.group.Monitor.AwaitFreshSample(ctx, w.sequence.Next())
	if err == nil && !sample.Position.AtLeast(p) {
		err = errDropped
	}
	return err
}
