package caller

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	connection "github.com/oleanderflow/oleanderflow/internal/connection/database"
	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// choosePrimary chooses the database for a request that may write.
func (r *request) choosePrimary() database.Choice {
	var choice database.Choice
	r.serving.Monitor.View(func(g *process.Group) {
		choice = r.serving.Router.Write(g, &r.use)
		_, r.term = g.Primary()
	})
	return choice
}

// runOnPrimary runs a batch that may write. It is sent once, unless the
// database itself refuses it.
func (w *worker) runOnPrimary(r *request, reason database.Reason) error {
	for {
		switch c := r.choosePrimary().(type) {
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
			w.recordDecision(r, "", reason, "refused")
			return true, w.refuseBatch(err, false)
		}
		return w.awaitRetry(r)
	}
	x := &w.x
	x.prepare(w.session, conn, &w.batch)
	begins := w.batch.kind == KindBegin
	r.sent, r.sentAt = w.sequence.Next(), w.clock.Now()
	if err = x.assemble(begins, !w.batch.hasCopy && !begins && !x.awaitingSync); err == nil {
		err = w.runExchange(conn)
	}
	name := r.serving.Monitor.Members()[i].Name
	if err != nil {
		conn.Doubtful = true
		pool.Release(conn)
		w.recordDecision(r, name, reason, "unknown")
		return true, w.refuseBatch(lostOutcome(err), false)
	}
	if w.refusedByDatabase() {
		pool.Release(conn)
		return w.awaitRetry(r)
	}
	if begins && x.txStatus != 'I' && w.verifyBegin(r) != nil {
		// Closing the connection rolls back what the batch may have done.
		conn.Doubtful = true
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
// because it leads no more, so that it did not run.
func (w *worker) refusedByDatabase() bool {
	refused := w.x.failedCode == codeReadOnly || w.x.failedCode == codeFenced
	return refused && !w.x.flushed && !w.x.wrote && w.x.txStatus == 'I' && w.batch.kind != KindBegin && !w.batch.endsTransaction
}

// finish ends an exchange: an open transaction keeps the connection, a
// commit waits for its confirmation without one.
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

// commitPosition returns the position that must be confirmed before the
// answer is passed on, and whether there is one.
func (w *worker) commitPosition(r *request, conn *connection.Conn) (position.Position, bool, error) {
	x := &w.x
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
	if !status.Leads() {
		return position.Position{}, true, errors.New("the primary was replaced while the statement ran")
	}
	return status.Applied, true, nil
}

// queryAndReportStatus asks for the status on a connection that is at rest, and feeds
// it to the monitor: a commit's own database is one of those that confirm it.
func (w *worker) queryAndReportStatus(r *request, conn *connection.Conn) (process.Status, error) {
	r.sent, r.sentAt = w.sequence.Next(), w.clock.Now()
	status, err := queryStatus(conn)
	if err == nil {
		w.report(r, status)
	}
	return status, err
}

// queryStatus asks for the status on a connection that is at rest.
func queryStatus(conn *connection.Conn) (process.Status, error) {
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

// awaitCommit waits until a commit is confirmed by enough of its group.
func (w *worker) awaitCommit(r *request, p position.Position) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.serving.CommitWait.Std())
	defer cancel()
	verdict, err := r.serving.Monitor.AwaitCommit(ctx, p)
	if err == nil && verdict.Verdict == process.Confirmed && w.clock.Now().Sub(verdict.At) > maxConfirmationAge {
		err = w.reconfirm(ctx, r, p)
	}
	switch {
	case err != nil:
		w.recordDecision(r, "", "commit not confirmed in time", "unknown")
		return outcome.NewUnknown("the commit was not confirmed by the group in time")
	case verdict.Verdict == process.Lost:
		w.recordDecision(r, "", "primary replaced before the commit was confirmed", "unknown")
		return outcome.NewUnknown("the primary was replaced before the commit was confirmed")
	}
	return nil
}

// reconfirm settles a commit whose confirmation was taken before this
// process stood still.
func (w *worker) reconfirm(ctx context.Context, r *request, p position.Position) error {
	sample, err := r.serving.Monitor.AwaitFresh(ctx, w.sequence.Next())
	if err == nil && !sample.Position.AtLeast(p) {
		err = errDropped
	}
	return err
}
