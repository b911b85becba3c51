package database

import (
	"context"
	"crypto/rand"
	"database/sql"
	"database/sql/driver"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes that the stand-in sends.
const (
	codeSyntax             = "42601"
	codeInvalidParameter   = "22023"
	codeReadOnly           = "25006"
	codeTermConflict       = "OF409"
	codeTransactionAborted = "25P02"
	codeTooManyConnections = "53300"
	codeUniqueViolation    = "23505"
	codeLockNotAvailable   = "55P03"
	codeUndefinedTable     = "42P01"
	codeCancelled          = "57014"
	codeNoStatement        = "26000"
	codeNoPortal           = "34000"
)

// zonePrefix precedes the zone in a proxy's application name.
const zonePrefix = "oleanderflow/"

type session struct {
	database *Database
	conn     net.Conn
	backend  *pgproto3.Backend
	sql      *sql.Conn
	zone     string
	pid      uint32
	secret   []byte
	// request is the message that is being answered, nil during the startup.
	request pgproto3.FrontendMessage

	inTransaction bool
	failed        bool
	// sqliteBegun is set once the SQLite transaction has started.
	sqliteBegun bool
	// temporary is set once the session has made a temporary table.
	temporary bool
	// pending are the transaction's writes, to be appended to the log at the
	// commit.
	pending []Statement

	prepared map[string]*preparedStatement
	portals  map[string]*portal
	// settings are the values of SET, by name in lower case.
	settings map[string]string
	// skipping makes the session ignore extended-protocol messages after an
	// error until Sync.
	skipping bool

	cancelMu sync.Mutex
	cancel   context.CancelFunc
}

type preparedStatement struct {
	query string
	oids  []uint32
	cols  []column
}

type portal struct {
	statement *preparedStatement
	args      []any
	formats   []int16
	// result is nil until the first Execute.
	result *result
	// sent is the number of rows already sent.
	sent int
}

type column struct {
	name string
	oid  uint32
}

type result struct {
	columns []column
	rows    [][]any
	tag     string
}

type sqlError struct {
	Code    string
	Message string
}

func (e *sqlError) Error() string { return e.Message }

func (d *Database) serve(l net.Listener) {
	defer d.group.wg.Done()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if d.stopped.Load() {
			conn.Close()
			continue
		}
		d.group.wg.Add(1)
		go d.serveConn(conn)
	}
}

func (d *Database) serveConn(conn net.Conn) {
	defer d.group.wg.Done()
	defer conn.Close()
	s := &session{
		database: d, conn: conn,
		prepared: make(map[string]*preparedStatement), portals: make(map[string]*portal),
		settings: make(map[string]string),
	}
	s.backend = pgproto3.NewBackend(conn, &answerWriter{Conn: conn, session: s})
	if !d.register(s) {
		s.sendError(&sqlError{Code: codeTooManyConnections, Message: "too many connections for database " + d.settings.Name})
		s.backend.Flush()
		return
	}
	defer d.unregister(s)
	if err := s.run(); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, io.ErrUnexpectedEOF) {
		d.log.Debug("stand-in session ended: " + err.Error())
	}
}

func (d *Database) register(s *session) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.settings.MaxConnections > 0 && len(d.sessions) >= d.settings.MaxConnections+reservedConnections {
		return false
	}
	d.nextPID++
	s.pid = d.nextPID
	s.secret = make([]byte, 4)
	if _, err := rand.Read(s.secret); err != nil {
		return false
	}
	d.sessions[s] = struct{}{}
	return true
}

// reservedConnections is the number of connections above the limit that leave
// room for status queries and fencing, like PostgreSQL's
// superuser_reserved_connections.
const reservedConnections = 64

func (d *Database) unregister(s *session) {
	d.mu.Lock()
	delete(d.sessions, s)
	d.mu.Unlock()
}

func (s *session) run() error {
	if err := s.startup(); err != nil {
		return err
	}
	defer s.closeSQL()
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			return err
		}
		if !s.database.awaitReachable(s.zone) {
			return nil
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return nil
		}
		s.request = msg
		s.handle(msg)
		if !s.database.awaitReachable(s.zone) {
			return nil
		}
		if err := s.backend.Flush(); err != nil {
			return err
		}
	}
}

func (s *session) closeSQL() {
	if s.sql == nil {
		return
	}
	if s.sqliteBegun {
		_, _ = s.sql.ExecContext(context.Background(), "ROLLBACK")
	}
	if s.temporary {
		// Temporary tables end with their session: SQLite's connection is not reused.
		_ = s.sql.Raw(func(any) error { return driver.ErrBadConn })
	}
	s.sql.Close()
}

func (s *session) startup() error {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return err
			}
		case *pgproto3.CancelRequest:
			s.database.sleep(time.Duration(s.database.cancelDelay.Load()))
			s.database.cancelSession(m.ProcessID, m.SecretKey)
			return io.EOF
		case *pgproto3.StartupMessage:
			return s.authenticate(m)
		}
	}
}

func (s *session) authenticate(m *pgproto3.StartupMessage) error {
	s.zone = strings.TrimPrefix(m.Parameters["application_name"], zonePrefix)
	s.database.sleep(s.database.settings.ConnectDelay)
	if !s.database.awaitReachable(s.zone) {
		return io.EOF
	}
	conn, err := s.database.engine.conn(context.Background())
	if err != nil {
		return err
	}
	s.sql = conn
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "DateStyle", Value: "ISO, MDY"})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	s.sendReady()
	return s.backend.Flush()
}

func (d *Database) cancelSession(pid uint32, secret []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for s := range d.sessions {
		if s.pid == pid && string(s.secret) == string(secret) {
			s.cancelMu.Lock()
			if s.cancel != nil {
				s.cancel()
			}
			s.cancelMu.Unlock()
		}
	}
}

// newStatementContext returns a context that a cancel request ends.
func (s *session) newStatementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancelMu.Lock()
	s.cancel = cancel
	s.cancelMu.Unlock()
	return ctx, cancel
}

func (s *session) sendReady() {
	status := byte('I')
	if s.inTransaction {
		status = 'T'
		if s.failed {
			status = 'E'
		}
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

func (s *session) sendError(err error) {
	resp := &pgproto3.ErrorResponse{Severity: "ERROR", Code: codeSyntax, Message: err.Error()}
	var e *sqlError
	var t *TermError
	switch {
	case errors.As(err, &e):
		resp.Code = e.Code
	case errors.As(err, &t):
		resp.Code = codeTermConflict
	case errors.Is(err, context.Canceled):
		resp.Code, resp.Message = codeCancelled, "canceling statement due to user request"
	case strings.Contains(resp.Message, "no such table"):
		resp.Code = codeUndefinedTable
	case strings.Contains(resp.Message, "database is locked"):
		resp.Code = codeLockNotAvailable
	case strings.Contains(resp.Message, "readonly"):
		resp.Code, resp.Message = codeReadOnly, "cannot execute a writing statement in a read-only transaction"
	case strings.Contains(resp.Message, "UNIQUE constraint"):
		resp.Code = codeUniqueViolation
	}
	s.backend.Send(resp)
	if s.inTransaction {
		s.failed = true
	}
}

func (s *session) handle(msg pgproto3.FrontendMessage) {
	switch m := msg.(type) {
	case *pgproto3.Query:
		s.handleQuery(m.String)
		return
	case *pgproto3.Sync:
		s.skipping = false
		s.sendReady()
		return
	case *pgproto3.Flush, *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return
	}
	if s.skipping {
		return
	}
	if err := s.handleExtended(msg); err != nil {
		s.sendError(err)
		s.skipping = true
	}
}

func (s *session) handleQuery(query string) {
	parts := splitStatements(query)
	if len(parts) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, q := range parts {
		if err := s.executeSimple(q); err != nil {
			s.sendError(err)
			break
		}
	}
	s.sendReady()
}

func (s *session) executeSimple(query string) error {
	if copied, err := s.tryCopy(query); copied {
		return err
	}
	r, err := s.execute(query, nil)
	if err != nil {
		return err
	}
	if r.columns != nil {
		s.backend.Send(rowDescription(r.columns, nil))
	}
	for _, row := range r.rows {
		if err := s.sendRow(r.columns, row, nil); err != nil {
			return err
		}
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	return nil
}
