package caller

import (
	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/connection/caller"
	connection "github.com/oleanderflow/oleanderflow/internal/connection/database"
	"github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
	"github.com/oleanderflow/oleanderflow/pkg/token"
)

// runForwarded has a home proxy of the group run a batch. The home does all
// that this proxy would do, on connections that few proxies share.
func (w *worker) runForwarded(r *request) error {
	for attempt := 0; ; attempt++ {
		home, ok := r.serving.Homes.Choose(attempt)
		if !ok {
			return w.runServed(r)
		}
		done, err := w.tryHome(r, home)
		if done || err != nil {
			return err
		}
		if !pause(r.ctx, retryInterval) {
			return w.refuseBatch(outcome.NewRefused(outcome.CodeRefused, "no home proxy of group "+r.serving.Name+" can be reached"), false)
		}
	}
}

// tryHome makes one try. It returns false if the request did not run and
// another home may be tried.
func (w *worker) tryHome(r *request, home database.Home) (bool, error) {
	conn, err := home.Pool.Acquire(r.ctx, connection.NoClass)
	if err != nil {
		var refused *outcome.Error
		if errors.As(err, &refused) {
			w.decided(r, home.Name, database.ReasonForwarded, "refused")
			return true, w.refuseBatch(err, false)
		}
		return false, nil
	}
	x := &w.x
	x.prepare(w.session, conn, &w.batch)
	if err = x.addQuery(phaseSettings, "SET oleanderflow.context = '"+w.context(r)+"'"); err == nil {
		err = x.addBatch()
	}
	if err == nil {
		err = w.runExchange(conn)
	}
	if err != nil {
		conn.Doubtful = true
		home.Pool.Release(conn)
		w.decided(r, home.Name, database.ReasonForwarded, "unknown")
		return true, w.refuseBatch(lostOutcome(err), false)
	}
	if x.failedCode == outcome.CodeShutdown && !x.flushed {
		conn.Doubtful = true
		home.Pool.Release(conn)
		return false, nil
	}
	w.decided(r, home.Name, database.ReasonForwarded, "answered")
	return true, w.finishForwarded(r, home, conn)
}

// finishForwarded takes in the session's new floor, and keeps the connection
// of an open transaction.
func (w *worker) finishForwarded(r *request, home database.Home, conn *connection.Conn) error {
	x := &w.x
	if parsed, err := token.Parse(x.token); err == nil {
		w.session.RaiseFloor(parsed.Floor)
		w.session.FloorKnown = true
	}
	if x.midBatch || x.txStatus != 'I' {
		w.midBatch = x.midBatch
		w.session.Transaction, w.heldServing = &caller.HeldConn{Conn: conn, Pool: home.Pool, Forwarded: true}, r.serving
		return w.deliver()
	}
	w.midBatch = false
	w.session.Transaction = nil
	home.Pool.Release(conn)
	return w.deliver()
}

// context is what a home needs to know of the session.
func (w *worker) context(r *request) string {
	s := w.session
	c := caller.ForwardContext{
		MaxAge: s.MaxAge, Application: s.Application, SharedID: s.SharedID, Settings: s.SettingsStatement(),
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
