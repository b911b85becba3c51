// Package caller holds caller sessions: their start, their settings and
// what they carry from one statement to the next.
package caller

import (
	"crypto/rand"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/oleanderflow/oleanderflow/internal/connection/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
	"github.com/oleanderflow/oleanderflow/pkg/position"
	"github.com/oleanderflow/oleanderflow/pkg/token"
)

// Limits of one session.
const (
	// maxMessageLength bounds one message of a caller, in bytes.
	maxMessageLength = 64 << 20
	// MaxStatements bounds the prepared statements of one session.
	MaxStatements = 4096
	// maxSettingLength bounds the value of one setting, in bytes.
	maxSettingLength = 1024
)

// Statement is a statement that a caller has prepared.
type Statement struct {
	Query string
	OIDs  []uint32
	// Name is the statement's name on database connections.
	Name string
}

// Session is one caller's connection. It is used by one goroutine, except
// for Running, which is guarded by its mutex.
type Session struct {
	Backend *pgproto3.Backend
	net     net.Conn

	Group       string
	User        string
	Application string
	PID         uint32
	Secret      []byte

	// StartSeq is the event number of the session's start.
	StartSeq uint64
	// Floor is the position that the session's reads must have reached.
	Floor position.Position
	// reported is the floor of the token that the caller was last given.
	reported position.Position
	// FloorKnown is set once Floor covers all that was acknowledged to the
	// caller before it arrived.
	FloorKnown bool
	// SharedID marks a session that runs on several connections at once.
	SharedID string
	// MaxAge is the age that the caller accepts, zero for undeclared.
	MaxAge clock.Duration
	// RequestID names the next writing request.
	RequestID string

	Prepared map[string]*Statement
	settings []setting
	// Forwarded marks a connection of another proxy, whose requests are of
	// many sessions.
	Forwarded bool
	// adopted are the tracked settings of the session forwarded for.
	adopted string

	// Transaction is the connection that an open transaction holds.
	Transaction *HeldConn

	mu      sync.Mutex
	running *database.Conn
	// stopWaiting ends the wait of a request that has not been sent, and
	// cancelled is set once a caller has asked for it.
	stopWaiting func()
	cancelled   bool
	active      bool
	leaving     bool
}

// HeldConn is a database connection that belongs to an open transaction.
type HeldConn struct {
	Conn *database.Conn
	Pool *database.Pool
	// Database is the index of the connection's database in its group.
	Database int
	// Forwarded is set for a connection to a home proxy.
	Forwarded bool
}

type setting struct{ name, value string }

// ProtocolError reports a caller that broke the protocol or sent an
// unacceptable start.
type ProtocolError struct {
	Code    string
	Message string
}

func (e *ProtocolError) Error() string { return e.Message }

// newSession returns a session on c with a random secret.
func newSession(c net.Conn) (*Session, error) {
	s := &Session{net: c, Secret: make([]byte, 4)}
	if _, err := rand.Read(s.Secret); err != nil {
		return nil, errors.Wrap(err, "draw the session's secret")
	}
	s.setConn(c)
	return s, nil
}

func (s *Session) setConn(c net.Conn) {
	s.net = c
	s.Backend = pgproto3.NewBackend(c, c)
	s.Backend.SetMaxBodyLen(maxMessageLength)
}

// Write sends encoded messages to the caller.
func (s *Session) Write(messages []byte) error {
	_, err := s.net.Write(messages)
	return err
}

// Close ends the connection.
func (s *Session) Close() error { return s.net.Close() }

// BeginRequest marks that a request runs. It returns false if the session is
// leaving and must not start one. An open transaction goes on.
func (s *Session) BeginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving && !s.active {
		return false
	}
	s.active = true
	return true
}

// EndRequest marks that no request runs. It returns false if the session is
// leaving.
func (s *Session) EndRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = s.Transaction != nil
	return s.active || !s.leaving
}

// Drain ends the session as soon as no request and no transaction runs.
func (s *Session) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	if !s.active {
		_ = s.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// Draining reports whether Leave was called.
func (s *Session) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// BeginWait notes how to end the wait of a request that is not sent yet.
func (s *Session) BeginWait(stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopWaiting, s.cancelled = stop, false
}

// EndWait forgets the wait. It reports whether the caller cancelled it.
func (s *Session) EndWait() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled := s.cancelled
	s.stopWaiting, s.cancelled = nil, false
	return cancelled
}

// SetRunningConn notes the connection that a cancel request reaches, nil for
// none. It returns false if the caller has cancelled the request before.
func (s *Session) SetRunningConn(c *database.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c != nil && s.cancelled {
		return false
	}
	s.running = c
	return true
}

// Cancel returns the connection on which the session's request runs. If the
// request waits to be sent, its wait is ended instead.
func (s *Session) Cancel() *database.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil && s.stopWaiting != nil {
		s.cancelled = true
		s.stopWaiting()
	}
	return s.running
}

// RaiseFloor makes later reads see all up to p. It reports whether the
// floor changed.
func (s *Session) RaiseFloor(p position.Position) bool {
	if s.Floor.AtLeast(p) {
		return false
	}
	s.Floor = p
	return true
}

// TakeToken returns the session's token if the floor has changed since the
// caller was last given one.
func (s *Session) TakeToken() (string, bool) {
	if s.Floor == s.reported {
		return "", false
	}
	s.reported = s.Floor
	return s.Token(), true
}

// Token returns the session's token.
func (s *Session) Token() string { return token.Token{Group: s.Group, Floor: s.Floor}.String() }

const ownPrefix = "oleanderflow."

// IsProxySetting reports whether a setting is the proxy's own.
func IsProxySetting(name string) bool { return strings.HasPrefix(strings.ToLower(name), ownPrefix) }

// Set changes one setting, the proxy's own or a tracked one of the
// database's. It returns a *ProtocolError for a value that is not accepted.
func (s *Session) Set(name, value string) error {
	if len(value) > maxSettingLength && !s.Forwarded {
		return &ProtocolError{Code: outcome.CodeInvalid, Message: "setting " + name + " is too long"}
	}
	if IsProxySetting(name) {
		return s.setOwn(strings.ToLower(name)[len(ownPrefix):], value)
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

func (s *Session) setOwn(name, value string) error {
	switch name {
	case "token":
		return s.acceptToken(value)
	case "session":
		s.SharedID = value
	case "maxage":
		return s.setMaxAge(value)
	case "context":
		return s.adopt(value)
	case "requestid":
		return s.setRequestID(value)
	default:
		return &ProtocolError{Code: outcome.CodeInvalid, Message: "unknown setting " + ownPrefix + name + "; expected token, session, maxAge or requestId"}
	}
	return nil
}

// maxRequestID bounds a request id, in bytes.
const maxRequestID = 128

func (s *Session) setRequestID(value string) error {
	if len(value) > maxRequestID {
		return &ProtocolError{Code: outcome.CodeInvalid, Message: "oleanderflow.requestId is longer than 128 bytes"}
	}
	s.RequestID = value
	return nil
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

// trackedSettings are the database settings that follow a session from
// connection to connection.
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

// ResetSettings forgets all tracked settings.
func (s *Session) ResetSettings() { s.settings = nil }

// SettingsStatement returns the statements that give a fresh connection the
// session's settings, or "" if there are none.
func (s *Session) SettingsStatement() string {
	if s.Forwarded {
		return s.adopted
	}
	var b strings.Builder
	for _, set := range s.settings {
		b.WriteString("SET " + set.name + " = '" + strings.ReplaceAll(set.value, "'", "''") + "';")
	}
	return b.String()
}
