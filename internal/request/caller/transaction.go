package caller

import (
	"context"
	"strings"

	"github.com/oleanderflow/oleanderflow/internal/connection/caller"
	connection "github.com/oleanderflow/oleanderflow/internal/connection/database"
	"github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

// holdConnection keeps the connection for the open transaction. For a BEGIN
// with a request id, it also records the id in the ledger.
func (w *worker) holdConnection(r *request, pool *connection.Pool, conn *connection.Conn, i int) error {
	w.awaitingSync = w.x.awaitingSync
	// After an error, the database drops messages until Sync.
	w.skipUntilSync = w.awaitingSync && w.x.failedCode != ""
	held := &caller.HeldConn{Conn: conn, Pool: pool, Database: i}
	w.session.Transaction, w.txGroup = held, r.group
	if w.batch.kind == KindBegin && r.id != "" {
		if err := w.recordTransactionID(r); err != nil {
			w.abandonTransaction()
			return w.refuseBatch(err, false)
		}
	}
	return w.deliver()
}

// verifyBegin checks that the transaction reads from a primary that had not
// been replaced when the BEGIN arrived and that has reached the session's
// floor.
func (w *worker) verifyBegin(r *request) error {
	if !w.x.hasBefore || !w.x.before.Applied.AtLeast(w.session.Floor) {
		return errDropped
	}
	sample, err := r.group.Monitor.AwaitFreshSample(r.ctx, r.read.Arrived)
	if err != nil {
		return err
	}
	if !w.x.before.AcceptsWrites() || sample.Position.Term != w.x.before.Term {
		return errDropped
	}
	return nil
}

// runInTransaction runs a batch on the connection of the open transaction.
func (w *worker) runInTransaction() error {
	defer w.leaveGate()
	held := w.session.Transaction
	// A transaction keeps the configuration that it began with.
	group := w.txGroup
	ctx, cancel := context.WithTimeout(context.Background(), group.WriteWait.Std())
	defer cancel()
	r := &request{group: group, began: w.clock.Now(), ctx: ctx}
	r.route.Database = held.Database
	r.sentSeq, r.sentAt = w.sequence.Next(), w.clock.Now()
	x := &w.x
	// A batch that goes on after a Flush may have written before it.
	wrote := x.wrote && w.awaitingSync
	x.prepare(w.session, held.Conn, &w.batch)
	x.wrote = wrote
	if mayChangeSettings(w.batch.kind, w.batch.query) {
		held.Conn.Settings = settingsUnknown
	}
	if w.batch.kind == KindSessionBound {
		// What it makes outlasts the transaction: the connection is closed after it.
		held.Conn.StateUnknown = true
	}
	err := w.assembleInTransaction(held)
	if err == nil {
		err = w.runExchange(held.Conn)
	}
	if err != nil {
		return w.transactionLost(r, err)
	}
	if held.Forwarded {
		w.recordDecision(r, "", database.ReasonForwarded, "answered")
		return w.finishForwarded(r, database.Home{Pool: held.Pool}, held.Conn)
	}
	w.recordDecision(r, group.Monitor.Members()[held.Database].Name, database.ReasonTransaction, "answered")
	return w.finish(r, held.Pool, held.Conn, held.Database)
}

// mayChangeSettings reports whether a batch may change settings that outlast
// its transaction.
func mayChangeSettings(kind Kind, query string) bool {
	several := strings.IndexByte(query, ';') >= 0
	return kind == KindSet || several && containsFold(query, "set ")
}

// assembleInTransaction builds the request for a batch of an open transaction.
// The session's settings are not sent, since the connection keeps its own. A
// status query follows a batch that may end the transaction.
func (w *worker) assembleInTransaction(held *caller.HeldConn) error {
	if err := w.x.addBatch(); err != nil {
		return err
	}
	if !held.Forwarded && w.batch.endsTransaction && !w.batch.hasCopy && !w.x.awaitingSync {
		return w.x.addQuery(phaseAfter, connection.StatusStatement)
	}
	return nil
}

// transactionLost handles the loss of a transaction's connection. The outcome
// is unknown only if the batch may have committed.
func (w *worker) transactionLost(r *request, err error) error {
	implicit := w.awaitingSync
	w.awaitingSync = false
	w.abandonTransaction()
	if w.batch.endsTransaction || implicit {
		w.recordDecision(r, "", database.ReasonTransaction, "unknown")
		return w.refuseBatch(outcome.NewUnknown(err.Error()), false)
	}
	w.recordDecision(r, "", database.ReasonTransaction, "refused")
	return w.refuseBatch(outcome.NewRefused("40001", "the transaction was rolled back: "+err.Error()), false)
}
