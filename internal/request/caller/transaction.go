package caller

import (
	"context"
	"strings"

	"github.com/oleanderflow/oleanderflow/internal/connection/caller"
	connection "github.com/oleanderflow/oleanderflow/internal/connection/database"
	"github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

// hold keeps the connection for an open transaction.
func (w *worker) hold(r *request, pool *connection.Pool, conn *connection.Conn, i int) error {
	w.midBatch = w.x.midBatch
	held := &caller.HeldConn{Conn: conn, Pool: pool, Database: i}
	w.session.Transaction, w.heldServing = held, r.serving
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

// runHeld runs a batch on the connection that the session holds.
func (w *worker) runHeld() error {
	defer w.leaveUnlessHeld()
	held := w.session.Transaction
	// A transaction keeps the configuration that it began with.
	serving := w.heldServing
	ctx, cancel := context.WithTimeout(context.Background(), serving.WriteWait.Std())
	defer cancel()
	r := &request{serving: serving, began: w.clock.Now(), ctx: ctx}
	r.use.Database = held.Database
	r.sent, r.sentAt = w.sequence.Next(), w.clock.Now()
	x := &w.x
	wrote := x.wrote && w.midBatch
	x.prepare(w.session, held.Conn, &w.batch)
	x.wrote = wrote
	if mayChangeSettings(w.batch.kind, w.batch.query) {
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
		return w.finishForwarded(r, database.Home{Pool: held.Pool}, held.Conn)
	}
	w.decided(r, serving.Monitor.Members()[held.Database].Name, database.ReasonTransaction, "answered")
	return w.finish(r, held.Pool, held.Conn, held.Database)
}

// mayChangeSettings reports whether a batch may leave settings behind that
// outlast its transaction.
func mayChangeSettings(kind Kind, query string) bool {
	several := strings.IndexByte(query, ';') >= 0
	return kind == KindSet || several && containsFold(query, "set ")
}

// assembleHeld builds the request for a held connection, whose settings are
// the transaction's own.
func (w *worker) assembleHeld(held *caller.HeldConn) error {
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
