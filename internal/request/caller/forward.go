package caller

import (
	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/connection/caller"
	connection "github.com/oleanderflow/oleanderflow/internal/connection/database"
	"github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
	"github.com/oleanderflow/oleanderflow/pkg/token"
)

// runForwarded forwards a batch to a home proxy of the group, or runs it
// directly if there is none. A home proxy does all that this proxy would do, on
// database connections that few proxies share.
func (w *worker) runForwarded(r *request) error {
	var untried []database.Home
	for {
		if len(untried) == 0 {
			untried = r.group.Homes.Order()
		}
		if len(untried) == 0 {
			return w.runDirect(r)
		}
		home := untried[0]
		untried = untried[1:]
		done, err := w.tryHome(r, home)
		if done || err != nil {
			return err
		}
		if !sleep(r.ctx, retryInterval) {
			return w.refuseBatch(outcome.NewRefused(outcome.CodeRefused, "no home proxy of group "+r.group.Name+" can be reached"), false)
		}
	}
}

// tryHome makes one attempt. It returns false if the request did not run and
// another home proxy may be tried.
func (w *worker) tryHome(r *request, home database.Home) (bool, error) {
	conn, err := home.Pool.AcquireFor(r.ctx, connection.NoClass, r.priority)
	if err != nil {
		var refused *outcome.Error
		if errors.As(err, &refused) {
			w.recordDecision(r, home.Name, database.ReasonForwarded, "refused")
			return true, w.refuseBatch(err, false)
		}
		return false, nil
	}
	x := &w.x
	x.prepare(w.session, conn, &w.batch)
	if err = x.addQuery(phaseSettings, "SET oleanderflow.context = '"+w.forwardContext(r)+"'"); err == nil {
		err = x.addBatch()
	}
	if err == nil {
		err = w.runExchange(conn)
	}
	if err != nil {
		conn.StateUnknown = true
		home.Pool.Release(conn)
		w.recordDecision(r, home.Name, database.ReasonForwarded, "unknown")
		return true, w.refuseBatch(lostOutcome(err), false)
	}
	if x.failedCode == outcome.CodeShutdown && !x.flushed {
		conn.StateUnknown = true
		home.Pool.Release(conn)
		return false, nil
	}
	w.recordDecision(r, home.Name, database.ReasonForwarded, "answered")
	return true, w.finishForwarded(r, home, conn)
}

// finishForwarded raises the session's floor to that of the token from the
// home proxy, and keeps the connection of an open transaction.
func (w *worker) finishForwarded(r *request, home database.Home, conn *connection.Conn) error {
	x := &w.x
	if parsed, err := token.Parse(x.token); err == nil {
		w.session.RaiseFloor(parsed.Floor)
		w.session.FloorKnown = true
	}
	if x.awaitingSync || x.txStatus != 'I' {
		w.awaitingSync = x.awaitingSync
		w.skipUntilSync = w.awaitingSync && x.failedCode != ""
		w.session.Transaction, w.txGroup = &caller.HeldConn{Conn: conn, Pool: home.Pool, Forwarded: true}, r.group
		return w.deliver()
	}
	w.awaitingSync = false
	w.session.Transaction = nil
	home.Pool.Release(conn)
	return w.deliver()
}

// forwardContext returns the encoded session state that a home proxy needs to
// run the request.
func (w *worker) forwardContext(r *request) string {
	s := w.session
	c := caller.ForwardContext{
		MaxAge: s.MaxAge, User: s.User, Application: s.Application, SharedID: s.SharedID, Settings: s.SettingsStatement(),
	}
	if s.FloorKnown || !s.Floor.IsZero() {
		c.Token = s.Token()
	}
	c.FloorKnown = s.FloorKnown
	if r.id != "" && !r.tagged {
		c.RequestID = r.id
	}
	return c.Encode()
}
