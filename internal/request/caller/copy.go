package caller

import (
	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// relayCopyIn forwards the caller's COPY data to the database until the caller
// ends it.
func (x *exchange) relayCopyIn() error {
	x.copyIn = true
	if err := x.flush(); err != nil {
		return err
	}
	if x.callerErr != nil {
		return x.failCopy("caller went away")
	}
	for {
		msg, err := x.session.Receive()
		if err != nil {
			x.callerErr = err
			return x.failCopy("caller went away")
		}
		switch m := msg.(type) {
		case *pgproto3.CopyData, *pgproto3.Flush:
			x.conn.Frontend.Send(m)
			if err := x.conn.Frontend.Flush(); err != nil {
				return x.connLost(err)
			}
		case *pgproto3.CopyDone, *pgproto3.CopyFail:
			x.conn.Frontend.Send(m)
			if x.syncFollows() {
				x.receiveSync()
				x.conn.Frontend.Send(&pgproto3.Sync{})
			}
			return x.flushDatabase()
		case *pgproto3.Sync:
			// The database drops it too.
		default:
			x.callerErr = errors.Errorf("unexpected %T during COPY", m)
			return x.failCopy("protocol error")
		}
	}
}

// syncFollows reports whether the batch, which the database reads up to the COPY,
// needs another Sync: it drops the one that it reads during the COPY.
func (x *exchange) syncFollows() bool {
	return x.batch.steps[0].kind != stepQuery && !x.awaitingSync
}

// receiveSync receives the Sync with which the caller ends the batch after its
// data.
func (x *exchange) receiveSync() {
	for x.callerErr == nil {
		msg, err := x.session.Receive()
		if err != nil {
			x.callerErr = err
			return
		}
		switch m := msg.(type) {
		case *pgproto3.Sync:
			return
		case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail, *pgproto3.Flush:
		default:
			x.callerErr = errors.Errorf("unexpected %T after COPY", m)
		}
	}
}

// failCopy makes the database abort the COPY.
func (x *exchange) failCopy(reason string) error {
	x.conn.Frontend.Send(&pgproto3.CopyFail{Message: reason})
	if x.syncFollows() {
		x.conn.Frontend.Send(&pgproto3.Sync{})
	}
	return x.flushDatabase()
}

// flushDatabase sends the buffered messages to the database.
func (x *exchange) flushDatabase() error {
	if err := x.conn.Frontend.Flush(); err != nil {
		return x.connLost(err)
	}
	return nil
}
