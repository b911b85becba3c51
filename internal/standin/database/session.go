package database

import (
	"context"
	"crypto/rand"
	"database/sql"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATEs of the stand-in's own errors.
const (
	codeSyntax      = "42601"
	codeReadOnly    = "25006"
	codeTerm        = "OF409"
	codeAborted     = "25P02"
	codeTooMany     = "53300"
	codeUnique      = "23505"
	codeLocked      = "55P03"
	codeNoTable     = "42P01"
	codeCancelled   = "57014"
	codeNoStatement = "26000"
	codeNoPortal    = "34000"
)

// zonePrefix starts the application name by which a proxy tells its zone.
const zonePrefix = "oleanderflow/"

type session struct {
	database *Database
	conn     net.Conn
	backend  *pgproto3.Backend
	sql      *sql.Conn
	zone     string
	pid      uint32
	secret   []byte

	inTransaction bool
	failed        bool
	// locked is set once SQLite's own transaction has begun.
	locked  bool
	pending []Statement

	prepared map[string]*prepared
	portals  map[string]*portal
	// skipping drops extended messages after an error until Sync.
	skipping bool

	cancelMu sync.Mutex
	cancel   context.CancelFunc
}

type prepared struct {
	query string
	oids  []uint32
	cols  []column
}

type portal struct {
	statement *prepared
	args      []any
	formats   []int16
	result    *result
	sent      int
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
	defer d.group.wait.Done()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if d.stopped.Load() {
			conn.Close()
			continue
		}
		d.group.wait.Add(1)
		go d.serveConn(conn)
	}
}

func (d *Database) serveConn(conn net.Conn) {
	defer d.group.wait.Done()
	defer conn.Close()
	s := &session{
		database: d, conn: conn, backend: pgproto3.NewBackend(conn, conn),
		prepared: make(map[string]*prepared), portals: make(map[string]*portal),
	}
	if !d.register(s) {
		s.sendError(&sqlError{Code: codeTooMany, Message: "too many connections for database " + d.settings.Name})
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

// reservedConnections is what a database keeps for status and fencing over
// its connection limit, as superuser_reserved_connections does.
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
	if s.locked {
		_, _ = s.sql.ExecContext(context.Background(), "ROLLBACK")
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

func (s *session) context() (context.Context, context.CancelFunc) {
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
		resp.Code = codeTerm
	case errors.Is(err, context.Canceled):
		resp.Code, resp.Message = codeCancelled, "canceling statement due to user request"
	case strings.Contains(resp.Message, "no such table"):
		resp.Code = codeNoTable
	case strings.Contains(resp.Message, "database is locked"):
		resp.Code = codeLocked
	case strings.Contains(resp.Message, "readonly"):
		resp.Code, resp.Message = codeReadOnly, "cannot execute a writing statement in a read-only transaction"
	case strings.Contains(resp.Message, "UNIQUE constraint"):
		resp.Code = codeUnique
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
		if err := s.simple(q); err != nil {
			s.sendError(err)
			break
		}
	}
	s.sendReady()
}

func (s *session) simple(query string) error {
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

func (s *session) handleExtended(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.executePortal(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return &sqlError{Code: "08P01", Message: fmt.Sprintf("unexpected message %T", msg)}
}

func (s *session) parse(m *pgproto3.Parse) error {
	parts := splitStatements(m.Query)
	if len(parts) > 1 {
		return &sqlError{Code: codeSyntax, Message: "cannot insert multiple commands into a prepared statement"}
	}
	p := &prepared{}
	if len(parts) == 1 {
		p.query = parts[0]
	}
	count := countParameters(p.query)
	p.oids = make([]uint32, max(count, len(m.ParameterOIDs)))
	copy(p.oids, m.ParameterOIDs)
	cols, err := s.resultColumns(p.query, count)
	if err != nil {
		return err
	}
	p.cols = cols
	s.prepared[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p, ok := s.prepared[m.PreparedStatement]
	if !ok {
		return &sqlError{Code: codeNoStatement, Message: "prepared statement " + strconv.Quote(m.PreparedStatement) + " does not exist"}
	}
	args := make([]any, len(m.Parameters))
	for i, v := range m.Parameters {
		var oid uint32
		if i < len(p.oids) {
			oid = p.oids[i]
		}
		arg, err := decodeParameter(v, oid, formatOf(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		args[i] = arg
	}
	formats := append([]int16(nil), m.ResultFormatCodes...)
	s.portals[m.DestinationPortal] = &portal{statement: p, args: args, formats: formats}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	var cols []column
	var formats []int16
	if m.ObjectType == 'S' {
		p, ok := s.prepared[m.Name]
		if !ok {
			return &sqlError{Code: codeNoStatement, Message: "prepared statement does not exist"}
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.oids})
		cols = p.cols
	} else {
		p, ok := s.portals[m.Name]
		if !ok {
			return &sqlError{Code: codeNoPortal, Message: "portal does not exist"}
		}
		cols, formats = p.statement.cols, p.formats
	}
	if cols == nil {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(rowDescription(cols, formats))
	return nil
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	p, ok := s.portals[m.Portal]
	if !ok {
		return &sqlError{Code: codeNoPortal, Message: "portal does not exist"}
	}
	if p.statement.query == "" {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.result == nil {
		if copied, err := s.tryCopy(p.statement.query); copied {
			return err
		}
		r, err := s.execute(p.statement.query, p.args)
		if err != nil {
			return err
		}
		p.result = r
	}
	end := len(p.result.rows)
	if m.MaxRows > 0 {
		end = min(end, p.sent+int(m.MaxRows))
	}
	for ; p.sent < end; p.sent++ {
		if err := s.sendRow(p.statement.cols, p.result.rows[p.sent], p.formats); err != nil {
			return err
		}
	}
	if p.sent < len(p.result.rows) {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.result.tag)})
	return nil
}

func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return 0
	}
}

func decodeParameter(v []byte, oid uint32, format int16) (any, error) {
	if v == nil {
		return nil, nil
	}
	if format == 0 {
		return decodeText(string(v), oid)
	}
	switch {
	case oid == oidInt8 && len(v) == 8:
		return int64(binary.BigEndian.Uint64(v)), nil
	case oid == oidInt4 && len(v) == 4:
		return int64(int32(binary.BigEndian.Uint32(v))), nil
	case oid == oidText:
		return string(v), nil
	default:
		return append([]byte(nil), v...), nil
	}
}

func decodeText(s string, oid uint32) (any, error) {
	switch oid {
	case oidInt8, oidInt4:
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return nil, &sqlError{Code: "22P02", Message: "invalid input syntax for integer: " + strconv.Quote(s)}
		}
		return n, nil
	}
	return s, nil
}

func countParameters(query string) int {
	highest := 0
	translated := translate(query, time.Time{})
	for i := 0; i+1 < len(translated); i++ {
		if translated[i] != '?' {
			continue
		}
		end := i + 1
		for end < len(translated) && translated[end] >= '0' && translated[end] <= '9' {
			end++
		}
		if n, err := strconv.Atoi(translated[i+1 : end]); err == nil && n > highest {
			highest = n
		}
	}
	return highest
}
