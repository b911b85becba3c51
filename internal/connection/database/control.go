package database

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	process "github.com/oleanderflow/oleanderflow/internal/process/database"
)

// codeTermRefused is the SQLSTATE with which a database refuses a group
// operation because of the operation's term.
const codeTermRefused = "OF409"

// ControlConn runs group operations (status, fence, promote and follow) one at a
// time over a connection that it opens when needed. It implements
// process.Operations.
type ControlConn struct {
	target Target
	mu     sync.Mutex
	conn   *Conn
}

// NewControlConn returns a ControlConn that connects on the first operation.
func NewControlConn(t Target) *ControlConn { return &ControlConn{target: t} }

// Status implements process.Operations.
func (c *ControlConn) Status(ctx context.Context) (process.Status, error) {
	return c.run(ctx, "status", StatusStatement)
}

// Fence implements process.Operations.
func (c *ControlConn) Fence(ctx context.Context, term uint64, owner string) (process.Status, error) {
	return c.run(ctx, "fence", callStatement("fence", term, owner))
}

// Promote implements process.Operations.
func (c *ControlConn) Promote(ctx context.Context, term uint64, owner string) (process.Status, error) {
	return c.run(ctx, "promote", callStatement("promote", term, owner))
}

// Follow implements process.Operations.
func (c *ControlConn) Follow(ctx context.Context, term uint64, primary string) (process.Status, error) {
	return c.run(ctx, "follow", callStatement("follow", term, primary))
}

// callStatement returns the statement that runs a group operation.
func callStatement(operation string, term uint64, name string) string {
	return fmt.Sprintf("CALL oleanderflow.%s(%d, %s)", operation, term, QuoteLiteral(name))
}

// Close closes the connection. A later operation opens a new one.
func (c *ControlConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return nil
	}
	err := c.conn.Close()
	c.conn = nil
	return err
}

// run connects if necessary and runs a statement. It keeps the connection if the
// statement succeeds or the database refuses it because of its term, and closes
// it after any other error.
func (c *ControlConn) run(ctx context.Context, operation, statement string) (process.Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && !c.conn.Idle() {
		c.conn.Close()
		c.conn = nil
	}
	if c.conn == nil {
		conn, err := Dial(ctx, c.target)
		if err != nil {
			return process.Status{}, err
		}
		c.conn = conn
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.conn.SetDeadline(deadline)
	}
	status, err := c.exchange(operation, statement)
	var refused *process.RefusedError
	if err != nil && !errors.As(err, &refused) {
		c.conn.Close()
		c.conn = nil
		return status, err
	}
	c.conn.SetDeadline(time.Time{})
	return status, err
}

func (c *ControlConn) exchange(operation, statement string) (process.Status, error) {
	status, err := c.conn.QueryStatus(statement)
	var server *ServerError
	if errors.As(err, &server) && server.Code == codeTermRefused {
		return status, &process.RefusedError{Operation: operation, Message: server.Message}
	}
	return status, err
}

// QueryStatus runs a statement that is answered with one row, the status of the
// database. It returns a *ServerError for an error of the database. The connection
// is not reused after any other error.
func (c *Conn) QueryStatus(statement string) (process.Status, error) {
	c.Frontend.Send(&pgproto3.Query{String: statement})
	if err := c.Frontend.Flush(); err != nil {
		c.StateUnknown = true
		return process.Status{}, err
	}
	status, err := c.receiveStatus()
	var server *ServerError
	if err != nil && !errors.As(err, &server) {
		c.StateUnknown = true
	}
	return status, err
}

func (c *Conn) receiveStatus() (process.Status, error) {
	var status process.Status
	var failure error
	rows := 0
	for {
		msg, err := c.Receive()
		if err != nil {
			return status, err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			rows++
			if status, err = ParseStatus(m.Values); err != nil {
				return status, err
			}
		case *pgproto3.ErrorResponse:
			failure = &ServerError{Code: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			c.InTransaction = m.TxStatus != 'I'
			if failure == nil && rows != 1 {
				return process.Status{}, errors.Errorf("status has %d rows, expected 1", rows)
			}
			return status, failure
		}
	}
}
