// Package database opens and pools connections to the databases of a group, and
// runs group operations over control connections.
package database

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/oleanderflow/oleanderflow/internal/connection/frame"
	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// maxMessageLength limits the length of a message from a database, in bytes.
const maxMessageLength = 256 << 20

// Target is the address of a database and the parameters of connections to it.
type Target struct {
	Address  string
	Database string
	User     string
	Password string
	// Application is sent as application_name.
	Application string
	// TLS is nil for a plaintext connection.
	TLS *tls.Config
	// ConfigError is the configuration error that prevents connections to the
	// target, or nil. Dial returns it.
	ConfigError error
	// ForwardProof proves to a home proxy that the connection comes from another
	// proxy. It is empty for connections to databases.
	ForwardProof string
}

// Conn is an authenticated connection to a database. It is used by one
// goroutine at a time.
type Conn struct {
	net net.Conn
	// Frontend sends messages to the database. Receive returns the database's.
	Frontend *pgproto3.Frontend
	frames   *frame.Reader
	// Prepared holds the names of the statements prepared on the connection.
	Prepared map[string]struct{}
	// Settings is the text of the session settings last applied by SET, empty
	// for none.
	Settings string
	// SettingsChanged marks a connection on which a request has changed settings
	// in a way that Settings does not show, such as SET among other statements.
	SettingsChanged bool
	// PID and Secret identify the connection in cancel requests.
	PID    uint32
	Secret []byte
	// StateUnknown marks a connection whose protocol state is unknown, for
	// example after an aborted exchange. The pool closes it instead of reusing
	// it.
	StateUnknown bool
	// InTransaction is set while a transaction is open, as the last ReadyForQuery has
	// told. The pool closes the connection instead of reusing it.
	InTransaction bool

	target Target
	closed atomic.Bool
	// cancelled is set once a cancel request for the connection may be on its way.
	cancelled atomic.Bool
}

// ServerError is an ErrorResponse that a server sent while a connection was
// being started or in answer to a group operation.
type ServerError struct {
	Code    string
	Message string
}

func (e *ServerError) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

// Dial opens and authenticates a connection. It returns t.ConfigError if that
// is set, a *process.ConnectError if the server cannot be reached, and a
// *ServerError if the server rejects the connection.
func Dial(ctx context.Context, t Target) (*Conn, error) {
	if t.ConfigError != nil {
		return nil, t.ConfigError
	}
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, &process.ConnectError{Address: t.Address, Cause: err}
	}
	conn := NewConn(c)
	conn.target = t
	// A deadline in the past interrupts start when ctx ends.
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	err = conn.start()
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return conn, nil
}

// NewConn returns a connection over c, on which the server is ready.
func NewConn(c net.Conn) *Conn {
	conn := &Conn{Prepared: make(map[string]struct{})}
	conn.setConn(c)
	return conn
}

func (c *Conn) setConn(n net.Conn) {
	c.net, c.frames = n, frame.NewReader(n)
	c.Frontend = pgproto3.NewFrontend(c.frames, n)
	c.frames.SetMaxBodyLen(maxMessageLength)
	c.Frontend.SetMaxBodyLen(maxMessageLength)
}

func (c *Conn) start() error {
	secured, err := c.target.secure(c.net)
	if err != nil {
		return err
	}
	if secured != c.net {
		c.setConn(secured)
	}
	parameters := map[string]string{
		"user": c.target.User, "database": c.target.Database, "application_name": c.target.Application,
	}
	if c.target.ForwardProof != "" {
		parameters["oleanderflow.forward"] = c.target.ForwardProof
	}
	c.Frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
	if err := c.Frontend.Flush(); err != nil {
		return err
	}
	return c.receiveStart()
}

// secure asks the server for TLS if the target requires it, and returns the
// connection to use in place of c.
func (t *Target) secure(c net.Conn) (net.Conn, error) {
	if t.TLS == nil {
		return c, nil
	}
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return c, err
	}
	if _, err := c.Write(request); err != nil {
		return c, err
	}
	var answer [1]byte
	if _, err := c.Read(answer[:]); err != nil {
		return c, err
	}
	if answer[0] != 'S' {
		return c, errors.Errorf("database at %s does not offer TLS", t.Address)
	}
	return tls.Client(c, t.TLS), nil
}

func (c *Conn) receiveStart() error {
	var conversation *scram.ClientConversation
	for {
		msg, err := c.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			if c.target.TLS == nil {
				return errors.Errorf("database at %s asks for a cleartext password without TLS", c.target.Address)
			}
			c.Frontend.Send(&pgproto3.PasswordMessage{Password: c.target.Password})
			err = c.Frontend.Flush()
		case *pgproto3.AuthenticationSASL:
			conversation, err = c.startSCRAM(m)
		case *pgproto3.AuthenticationSASLContinue:
			err = c.continueSCRAM(conversation, m.Data)
		case *pgproto3.AuthenticationSASLFinal:
			err = finishSCRAM(conversation, m.Data)
		case *pgproto3.BackendKeyData:
			c.PID, c.Secret = m.ProcessID, append([]byte(nil), m.SecretKey...)
		case *pgproto3.ErrorResponse:
			return &ServerError{Code: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (c *Conn) startSCRAM(m *pgproto3.AuthenticationSASL) (*scram.ClientConversation, error) {
	const mechanism = "SCRAM-SHA-256"
	offered := strings.Join(m.AuthMechanisms, " ") + " "
	if !strings.Contains(offered, mechanism+" ") {
		return nil, errors.Errorf("database at %s offers no %s", c.target.Address, mechanism)
	}
	client, err := scram.SHA256.NewClient(c.target.User, c.target.Password, "")
	if err != nil {
		return nil, errors.Wrap(err, "prepare SCRAM")
	}
	conversation := client.NewConversation()
	first, err := conversation.Step("")
	if err != nil {
		return nil, errors.Wrap(err, "start SCRAM")
	}
	c.Frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: mechanism, Data: []byte(first)})
	return conversation, c.Frontend.Flush()
}

func (c *Conn) continueSCRAM(conversation *scram.ClientConversation, data []byte) error {
	if conversation == nil {
		return errors.New("database continued a SCRAM exchange that was not started")
	}
	next, err := conversation.Step(string(data))
	if err != nil {
		return errors.Wrap(err, "continue SCRAM")
	}
	c.Frontend.Send(&pgproto3.SASLResponse{Data: []byte(next)})
	return c.Frontend.Flush()
}

func finishSCRAM(conversation *scram.ClientConversation, data []byte) error {
	if conversation == nil {
		return errors.New("database finished a SCRAM exchange that was not started")
	}
	if _, err := conversation.Step(string(data)); err != nil {
		return errors.Wrap(err, "finish SCRAM")
	}
	return nil
}

// Write sends messages that are already encoded, bypassing Frontend.
func (c *Conn) Write(messages []byte) error {
	_, err := c.net.Write(messages)
	return err
}

// SetDeadline sets the deadline of pending and further reads and writes. The
// zero time removes it.
func (c *Conn) SetDeadline(t time.Time) { _ = c.net.SetDeadline(t) }

// Close closes the connection. It is safe to call from any goroutine and more
// than once.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.net.Close()
}

// MarkCancelled has the pool close the connection instead of reusing it, since a
// cancel request may arrive late and would cancel the next request on it.
func (c *Conn) MarkCancelled() { c.cancelled.Store(true) }

// Cancel asks the server, over a separate connection, to cancel the request that
// runs on c. The key is sent over TLS if the target requires it. The server does
// not report whether it cancelled the request.
func (c *Conn) Cancel(ctx context.Context) error {
	var dialer net.Dialer
	n, err := dialer.DialContext(ctx, "tcp", c.target.Address)
	if err != nil {
		return &process.ConnectError{Address: c.target.Address, Cause: err}
	}
	defer n.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = n.SetDeadline(deadline)
	}
	secured, err := c.target.secure(n)
	if err != nil {
		return err
	}
	request, err := (&pgproto3.CancelRequest{ProcessID: c.PID, SecretKey: c.Secret}).Encode(nil)
	if err != nil {
		return err
	}
	_, err = secured.Write(request)
	return err
}

// StatusStatement is the statement that queries the status of a database.
const StatusStatement = "SHOW oleanderflow.status"

// statusFields is the number of fields in a row that answers StatusStatement.
const statusFields = 7

// ParseStatus parses the row that a database returns for StatusStatement.
func ParseStatus(values [][]byte) (process.Status, error) {
	var s process.Status
	if len(values) != statusFields {
		return s, errors.Errorf("status row has %d fields, expected %d", len(values), statusFields)
	}
	switch string(values[1]) {
	case "primary":
		s.Role = process.RolePrimary
	case "replica":
		s.Role = process.RoleReplica
	}
	if _, err := fmt.Sscan(string(values[2])+" "+string(values[3]), &s.Term, &s.Fenced); err != nil {
		return s, errors.Wrap(err, "read status")
	}
	for i, p := range []*position.Position{&s.Received, &s.Applied, &s.TermStart} {
		parsed, err := position.Parse(string(values[4+i]))
		if err != nil {
			return s, err
		}
		*p = parsed
	}
	return s, nil
}
