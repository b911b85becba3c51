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
		case *database.Route:
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
		conn.StateUnknown = true
		pool.Release(conn)
		w.decided(r, name, reason, "unknown")
		return true, w.refuseBatch(lostOutcome(err), false)
	}
	if w.refusedByDatabase() {
		pool.Release(conn)
		return w.retryLater(r)
	}
	if begins && x.txStatus != 'I' && w.verifyBegin(r) != nil {
		// Closing the connection rolls back what the batch may have done.
		conn.StateUnknown = true
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
	commit, needed, err := w.commitPosition(r, conn)
	pool.Release(conn)
	if err != nil {
		return w.refuseBatch(outcome.NewUnknown(err.Error()), false)
	}
	if needed {
		if err := w.acknowledge(r, commit); err != nil {
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
	hidden := x.hasBefore && x.hasAfter && x.before.Applied != x.after.Applied
	if !x.wrote && !hidden {
		return position.Position{}, false, nil
	}
	status := x.after
	if x.hasAfter {
		w.report(r, status)
	} else {
		var err error
		if status, err = w.askReported(r, conn); err != nil {
			return position.Position{}, true, err
		}
	}
	if !status.AcceptsWrites() {
		return position.Position{}, true, errors.New("the primary was replaced while the statement ran")
	}
	return status.Applied, true, nil
}

// askReported asks for the status on a connection that is at rest, and feeds
// it to the monitor: a commit's own database is one of those that confirm it.
func (w *worker) askReported(r *request, conn *connection.Conn) (process.Status, error) {
	r.sent, r.sentAt = w.sequence.Next(), w.clock.Now()
	status, err := askStatus(conn)
	if err == nil {
		w.report(r, status)
	}
	return status, err
}

// askStatus asks for the status on a connection that is at rest.
func askStatus(conn *connection.Conn) (process.Status, error) {
	var status process.Status
	conn.Frontend.Send(&pgproto3.Query{String: connection.StatusStatement})
	if err := conn.Frontend.Flush(); err != nil {
		conn.StateUnknown = true
		return status, err
	}
	for {
		msg, err := conn.Frontend.Receive()
		if err != nil {
			conn.StateUnknown = true
			return status, err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			if status, err = connection.ParseStatus(m.Values); err != nil {
				conn.StateUnknown = true
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
	if err == nil && verdict.Outcome == process.CommitConfirmed && w.clock.Now().Sub(verdict.At) > confirmationLife {
		err = w.confirmAnew(ctx, r, p)
	}
	switch {
	case err != nil:
		w.decided(r, "", "commit not confirmed in time", "unknown")
		return outcome.NewUnknown("the commit was not confirmed by the group in time")
	case verdict.Outcome == process.CommitLost:
		w.decided(r, "", "primary replaced before the commit was confirmed", "unknown")
		return outcome.NewUnknown("the primary was replaced before the commit was confirmed")
	}
	return nil
}

// confirmAnew settles a commit whose confirmation was taken before this
// process stood still.
func (w *worker) confirmAnew(ctx context.Context, r *request, p position.Position) error {
	sample, err := r.serving.Monitor.AwaitFreshSample(ctx, w.sequence.Next())
	if err == nil && !sample.Position.AtLeast(p) {
		err = errDropped
	}
	return err
}
