// Package caller implements connections from callers over the PostgreSQL
// protocol: startup and authentication, session settings, and the state that a
// session keeps from one statement to the next.
package caller

import (
	"crypto/rand"
	"net"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/oleanderflow/oleanderflow/internal/connection/database"
	"github.com/oleanderflow/oleanderflow/internal/connection/frame"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
	"github.com/oleanderflow/oleanderflow/pkg/position"
	"github.com/oleanderflow/oleanderflow/pkg/token"
)

// Limits that apply to each session.
const (
	// maxMessageLength limits the length of a message from a caller, in bytes.
	maxMessageLength = 64 << 20
	// maxStartMessageLength limits it before the caller has authenticated.
	maxStartMessageLength = 64 << 10
	// MaxStatements limits the number of prepared statements of a session.
	MaxStatements = 4096
	// maxSettingLength limits the value of a setting, in bytes.
	maxSettingLength = 1024
)

// Statement is a prepared statement of a session.
type Statement struct {
	Query string
	OIDs  []uint32
	// Name is the name under which the statement is prepared on database
	// connections.
	Name string
}

// Session is a caller's connection and its state. It belongs to one goroutine;
// others may only call Drain, Cancel and Close. mu guards the fields below it.
type Session struct {
	// Backend sends messages to the caller. Receive returns the caller's.
	Backend *pgproto3.Backend
	frames  *frame.Reader
	net     net.Conn

	Group       string
	User        string
	Application string
	PID         uint32
	Secret      []byte

	// StartSeq is the proxy's event sequence number at the session's start.
	StartSeq uint64
	// Floor is the log position that a database must have reached to serve the
	// session's reads.
	Floor position.Position
	// reportedFloor is the floor in the last token sent to the caller.
	reportedFloor position.Position
	// FloorKnown is true once Floor covers all writes that were acknowledged to
	// the caller before the session started.
	FloorKnown bool
	// SharedID is set by a caller that uses several connections at once as one
	// session, and empty otherwise.
	SharedID string
	// MaxAge is the maximum age of data that the caller accepts in reads, zero if
	// it has set none.
	MaxAge clock.Duration
	// RequestID identifies the next request that writes. It applies to that
	// request only.
	RequestID string

	Prepared map[string]*Statement
	settings []setting
	// Forwarded is true for a connection from another proxy, which carries the
	// requests of many sessions.
	Forwarded bool
	// forwardedSettings are the SET statements of the session whose request is
	// forwarded.
	forwardedSettings string
	// forwardedUser is the user of that session.
	forwardedUser string

	// Transaction is the connection held by the open transaction, nil if none is
	// open.
	Transaction *HeldConn

	mu          sync.Mutex
	runningConn *database.Conn
	// stopWaiting ends the wait of a request that has not been sent yet.
	stopWaiting func()
	// cancelled is set once the caller has cancelled that request.
	cancelled bool
	// active is true while a request or a transaction is in progress.
	active   bool
	draining bool
}

// ActingUser returns the user whose request runs: the one of the session, or of the
// session whose request another proxy has forwarded.
func (s *Session) ActingUser() string {
	if s.Forwarded {
		return s.forwardedUser
	}
	return s.User
}

// HeldConn is a connection held by an open transaction, to a database or to a
// home proxy.
type HeldConn struct {
	Conn *database.Conn
	Pool *database.Pool
	// Database is the index of the connection's database in its group.
	Database int
	// Forwarded is true for a connection to a home proxy.
	Forwarded bool
}

type setting struct{ name, value string }

// ProtocolError reports a protocol violation, or a startup message, setting or
// statement that the proxy does not accept. Code is the SQLSTATE for the caller.
type ProtocolError struct {
	Code    string
	Message string
}

func (e *ProtocolError) Error() string { return e.Message }

// newSession returns a session on c with a random secret for cancel requests.
func newSession(c net.Conn) (*Session, error) {
	s := &Session{net: c, Secret: make([]byte, 4)}
	if _, err := rand.Read(s.Secret); err != nil {
		return nil, errors.Wrap(err, "generate the session's cancel secret")
	}
	s.setConn(c)
	return s, nil
}

func (s *Session) setConn(c net.Conn) {
	s.net = c
	s.frames = frame.NewStartupReader(c)
	s.Backend = pgproto3.NewBackend(s.frames, c)
	s.limitMessages(maxStartMessageLength)
}

// limitMessages sets the length of the longest message that the caller may send.
func (s *Session) limitMessages(n int) {
	s.frames.SetMaxBodyLen(n)
	s.Backend.SetMaxBodyLen(n)
}

// Write sends messages to the caller that are already encoded.
func (s *Session) Write(messages []byte) error {
	_, err := s.net.Write(messages)
	return err
}

// Close closes the connection to the caller.
func (s *Session) Close() error { return s.net.Close() }

// BeginRequest marks a request as in progress. It returns false if the session
// is draining and the request must not start. An open transaction may continue
// while the session drains.
func (s *Session) BeginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining && !s.active {
		return false
	}
	s.active = true
	return true
}

// EndRequest marks the request as done. It returns false if the session must end
// now, because it is draining and no transaction is open.
func (s *Session) EndRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = s.Transaction != nil
	return s.active || !s.draining
}

// Drain ends the session as soon as no request or transaction is in progress. An
// idle session ends at once: its pending read times out.
func (s *Session) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if !s.active {
		_ = s.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// Draining reports whether Drain has been called.
func (s *Session) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// BeginWait registers stop, which Cancel calls to end the wait of a request that
// has not been sent yet.
func (s *Session) BeginWait(stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopWaiting, s.cancelled = stop, false
}

// EndWait removes the function that BeginWait registered. It reports whether the
// caller has cancelled the request.
func (s *Session) EndWait() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled := s.cancelled
	s.stopWaiting, s.cancelled = nil, false
	return cancelled
}

// SetRunningConn sets the connection that cancel requests are passed to, nil for
// none. It returns false without setting it if the caller has already cancelled
// the request.
func (s *Session) SetRunningConn(c *database.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c != nil && s.cancelled {
		return false
	}
	s.runningConn = c
	return true
}

// Cancel returns the connection on which the session's request runs, to which the
// cancel request must be passed. If the request has not been sent yet, Cancel
// ends its wait and returns nil. It also returns nil if there is no request.
func (s *Session) Cancel() *database.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runningConn == nil && s.stopWaiting != nil {
		s.cancelled = true
		s.stopWaiting()
	}
	if s.runningConn != nil {
		// Before the request ends, so that no other can use the connection.
		s.runningConn.MarkCancelled()
	}
	return s.runningConn
}

// RaiseFloor raises the floor to p, so that later reads see every write up to p.
// It leaves a floor at or after p as it is, and reports whether the floor changed.
func (s *Session) RaiseFloor(p position.Position) bool {
	if s.Floor.AtLeast(p) {
		return false
	}
	s.Floor = p
	return true
}

// TakeToken returns the session's token if the floor has changed since the last
// token sent to the caller, and records it as sent.
func (s *Session) TakeToken() (string, bool) {
	if s.Floor == s.reportedFloor {
		return "", false
	}
	s.reportedFloor = s.Floor
	return s.Token(), true
}

// Token returns the session's group and floor as an encoded token.
func (s *Session) Token() string { return token.Token{Group: s.Group, Floor: s.Floor}.String() }

const settingPrefix = "oleanderflow."

// IsProxySetting reports whether a setting belongs to the proxy rather than to
// the database.
func IsProxySetting(name string) bool { return strings.HasPrefix(strings.ToLower(name), settingPrefix) }

// Set changes a setting of the proxy or a tracked setting of the database. It
// returns a *ProtocolError if the setting or its value is not accepted.
func (s *Session) Set(name, value string) error {
	if len(value) > maxSettingLength && !s.Forwarded {
		return &ProtocolError{Code: outcome.CodeInvalid, Message: "setting " + name + " is too long"}
	}
	if IsProxySetting(name) {
		return s.setProxySetting(strings.ToLower(name)[len(settingPrefix):], value)
	}
	if !isTracked(name) {
		return &ProtocolError{
			Code:    outcome.CodeUnsupported,
			Message: "setting " + name + " cannot be kept over pooled connections; use SET LOCAL in a transaction",
		}
	}
	s.track(strings.ToLower(name), value)
	return nil
}

func (s *Session) setProxySetting(name, value string) error {
	switch name {
	case "token":
		return s.acceptToken(value)
	case "session":
		s.SharedID = value
	case "maxage":
		return s.setMaxAge(value)
	case "context":
		return s.applyContext(value)
	case "requestid":
		return s.setRequestID(value)
	default:
		return &ProtocolError{Code: outcome.CodeInvalid, Message: "unknown setting " + settingPrefix + name + "; expected token, session, maxAge or requestId"}
	}
	return nil
}

// maxRequestIDLength limits the length of a request id, in bytes.
const maxRequestIDLength = 128

func (s *Session) setRequestID(value string) error {
	if len(value) > maxRequestIDLength {
		return &ProtocolError{Code: outcome.CodeInvalid, Message: "oleanderflow.requestId is longer than 128 bytes"}
	}
	if !IsStorable(value) {
		return &ProtocolError{Code: outcome.CodeInvalid, Message: "oleanderflow.requestId is not UTF-8 without NUL"}
	}
	s.RequestID = value
	return nil
}

// ErrorText returns text as an error message can carry it: with replacements for
// NUL, which would end it, and for bytes that are no UTF-8.
func ErrorText(text string) string {
	if IsStorable(text) {
		return text
	}
	return strings.ReplaceAll(strings.ToValidUTF8(text, "\ufffd"), "\x00", "\ufffd")
}

// IsStorable reports whether a database can store text: PostgreSQL's texts are
// UTF-8 and hold no NUL, which ends them on the wire.
func IsStorable(text string) bool {
	return utf8.ValidString(text) && strings.IndexByte(text, 0) < 0
}

func (s *Session) acceptToken(value string) error {
	t, err := token.Parse(value)
	if err != nil {
		return &ProtocolError{Code: outcome.CodeInvalid, Message: err.Error()}
	}
	if t.Group != s.Group {
		return &ProtocolError{Code: outcome.CodeInvalid, Message: "session token is of group " + t.Group + ", not of " + s.Group}
	}
	s.RaiseFloor(t.Floor)
	s.FloorKnown = true
	return nil
}

func (s *Session) setMaxAge(value string) error {
	if value == "" || value == "0" {
		s.MaxAge = 0
		return nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		return &ProtocolError{Code: outcome.CodeInvalid, Message: "invalid oleanderflow.maxAge " + value + "; expected a time such as 500ms or 2s"}
	}
	s.MaxAge = clock.FromStd(d)
	return nil
}

// trackedSettings are the database settings that a session may change. The proxy
// sets them again on every pooled connection that the session uses.
var trackedSettings = []string{
	"application_name", "client_encoding", "datestyle", "timezone", "extra_float_digits",
	"search_path", "statement_timeout", "lock_timeout", "intervalstyle", "bytea_output",
	"standard_conforming_strings", "client_min_messages", "idle_in_transaction_session_timeout",
	"default_transaction_isolation", "default_transaction_read_only",
}

func isTracked(name string) bool {
	for _, t := range trackedSettings {
		if strings.EqualFold(t, name) {
			return true
		}
	}
	return false
}

func (s *Session) track(name, value string) {
	for i := range s.settings {
		if s.settings[i].name == name {
			s.settings[i].value = value
			return
		}
	}
	s.settings = append(s.settings, setting{name: name, value: value})
}

// ResetSettings removes all tracked settings from the session.
func (s *Session) ResetSettings() { s.settings = nil }

// SettingsStatement returns the SET statements that apply the session's settings
// to a connection in its default state, or "" if there are none.
func (s *Session) SettingsStatement() string {
	if s.Forwarded {
		return s.forwardedSettings
	}
	var b strings.Builder
	for _, set := range s.settings {
		b.WriteString("SET " + set.name + " = " + database.QuoteLiteral(set.value) + ";")
	}
	return b.String()
}
