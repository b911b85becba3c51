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
		msg, err := x.session.Backend.Receive()
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
			return x.flushDatabase()
		case *pgproto3.Sync:
		default:
			x.callerErr = errors.Errorf("unexpected %T during COPY", m)
			return x.failCopy("protocol error")
		}
	}
}

// failCopy makes the database abort the COPY.
func (x *exchange) failCopy(reason string) error {
	x.conn.Frontend.Send(&pgproto3.CopyFail{Message: reason})
	return x.flushDatabase()
}

// flushDatabase sends the buffered messages to the database.
func (x *exchange) flushDatabase() error {
	if err := x.conn.Frontend.Flush(); err != nil {
		return x.connLost(err)
	}
	return nil
}
