package caller

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

// Authentication is the method by which callers authenticate: Trust or SCRAM.
type Authentication interface{ authentication() }

// Trust accepts every caller without a password. It is meant for loopback
// addresses.
type Trust struct{}

// SCRAM authenticates callers by SCRAM-SHA-256. Lookup returns the stored
// credentials of a user, or an error for an unknown user.
type SCRAM struct {
	Lookup func(user string) (scram.StoredCredentials, error)
}

func (Trust) authentication() {}
func (SCRAM) authentication() {}

// CancelKey identifies the session whose request a caller wants to cancel.
type CancelKey struct {
	PID    uint32
	Secret []byte
}

// Acceptor starts sessions on accepted connections.
type Acceptor struct {
	// TLS returns the current TLS configuration. If it is nil or returns nil, the
	// proxy declines requests for TLS.
	TLS func() *tls.Config
	// RequireTLS rejects callers that do not use TLS.
	RequireTLS bool
	Auth       Authentication
	// Timeout returns the time limit for startup and authentication.
	Timeout func() clock.Duration
	// IsProxy reports whether the startup parameters are those of another proxy.
	// If it is nil, no connection is treated as one.
	IsProxy func(parameters map[string]string) bool
	// HasGroup reports whether a database group of this name is declared.
	HasGroup func(name string) bool
	// Register assigns the session's PID, which the caller is then told. It
	// returns a *ProtocolError if the proxy cannot take another session.
	Register func(*Session) error
}

// Accept starts a session on c within a.Timeout. For a cancel request, it returns
// the key instead of a session. A *ProtocolError is sent to the caller before it
// is returned. Accept never closes c.
func (a *Acceptor) Accept(c net.Conn) (*Session, *CancelKey, error) {
	_ = c.SetDeadline(time.Now().Add(a.Timeout().Std()))
	s, err := newSession(c)
	if err != nil {
		return nil, nil, err
	}
	startup, key, err := a.receiveStartup(s)
	if err != nil || key != nil {
		a.reject(s, err)
		return nil, key, err
	}
	if err := a.startSession(s, startup); err != nil {
		a.reject(s, err)
		return nil, nil, err
	}
	_ = s.net.SetDeadline(time.Time{})
	return s, nil, nil
}

func (a *Acceptor) reject(s *Session, err error) {
	var e *ProtocolError
	if errors.As(err, &e) {
		s.Backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: e.Code, Message: ErrorText(e.Message)})
		_ = s.Backend.Flush()
	}
}

// receiveStartup returns the startup message, or the key of a cancel request. It
// answers the requests for encryption that come first.
func (a *Acceptor) receiveStartup(s *Session) (*pgproto3.StartupMessage, *CancelKey, error) {
	encrypted := false
	for {
		msg, err := s.Backend.ReceiveStartupMessage()
		if err != nil {
			return nil, nil, startupError(err)
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest:
			if encrypted {
				return nil, nil, &ProtocolError{Code: outcome.CodeProtocol, Message: "TLS was requested twice"}
			}
			if encrypted, err = a.startTLS(s); err != nil {
				return nil, nil, err
			}
		case *pgproto3.GSSEncRequest:
			if err := s.Write([]byte{'N'}); err != nil {
				return nil, nil, err
			}
		case *pgproto3.CancelRequest:
			return nil, &CancelKey{PID: m.ProcessID, Secret: append([]byte(nil), m.SecretKey...)}, nil
		case *pgproto3.StartupMessage:
			if a.RequireTLS && !encrypted {
				return nil, nil, &ProtocolError{Code: outcome.CodePassword, Message: "this proxy accepts only TLS connections"}
			}
			s.frames.EndStartup()
			return m, nil, nil
		}
	}
}

// startupError converts an error from receiving the startup message. It returns
// err itself if the connection was closed, and a *ProtocolError if the message
// is late or invalid.
func startupError(err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return err
	case errors.As(err, &netErr) && netErr.Timeout():
		return &ProtocolError{Code: outcome.CodeProtocol, Message: "startup message not received in time"}
	}
	return &ProtocolError{Code: outcome.CodeProtocol, Message: "invalid message during startup: " + err.Error()}
}

// startTLS answers a request for TLS. It returns whether the connection is now
// encrypted, false if the proxy declines.
func (a *Acceptor) startTLS(s *Session) (bool, error) {
	var config *tls.Config
	if a.TLS != nil {
		config = a.TLS()
	}
	if config == nil {
		return false, s.Write([]byte{'N'})
	}
	if err := s.Write([]byte{'S'}); err != nil {
		return false, err
	}
	c := tls.Server(s.net, config)
	if err := c.Handshake(); err != nil {
		return false, errors.Wrap(err, "TLS handshake with the caller")
	}
	s.setConn(c)
	return true, nil
}

func (a *Acceptor) startSession(s *Session, m *pgproto3.StartupMessage) error {
	if err := a.negotiateVersion(s, m); err != nil {
		return err
	}
	s.User = m.Parameters["user"]
	s.Group = m.Parameters["database"]
	if s.Group == "" {
		s.Group = s.User
	}
	if s.User == "" {
		return &ProtocolError{Code: outcome.CodePassword, Message: "no user given in the startup message"}
	}
	if err := a.authenticateCaller(s, m.Parameters); err != nil {
		return err
	}
	s.limitMessages(maxMessageLength)
	if !a.HasGroup(s.Group) {
		return &ProtocolError{Code: outcome.CodeNoGroup, Message: fmt.Sprintf("no database group %q is declared", s.Group)}
	}
	s.Forwarded = a.IsProxy != nil && a.IsProxy(m.Parameters)
	if err := s.applyStartup(m.Parameters); err != nil {
		return err
	}
	if err := a.Register(s); err != nil {
		return err
	}
	return s.sendStartupComplete()
}

// negotiateVersion offers protocol 3.0 to a caller that asks for a later minor
// version. It returns a *ProtocolError for a major version other than 3.
func (a *Acceptor) negotiateVersion(s *Session, m *pgproto3.StartupMessage) error {
	if m.ProtocolVersion>>16 != 3 {
		return &ProtocolError{Code: outcome.CodeProtocol, Message: fmt.Sprintf("unsupported protocol version %d.%d", m.ProtocolVersion>>16, m.ProtocolVersion&0xffff)}
	}
	if m.ProtocolVersion == pgproto3.ProtocolVersion30 {
		return nil
	}
	var unknown []string
	for name := range m.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
		}
	}
	s.Backend.Send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0, UnrecognizedOptions: unknown})
	return nil
}

// authenticateCaller authenticates the caller by a.Auth. Another proxy needs no
// password: IsProxy checks the proof in its startup parameters, which is derived
// from the secret shared by the proxies, if there is one.
func (a *Acceptor) authenticateCaller(s *Session, parameters map[string]string) error {
	if a.IsProxy != nil && a.IsProxy(parameters) {
		s.Backend.Send(&pgproto3.AuthenticationOk{})
		return nil
	}
	return a.authenticate(s)
}

func (a *Acceptor) authenticate(s *Session) error {
	switch auth := a.Auth.(type) {
	case Trust:
		s.Backend.Send(&pgproto3.AuthenticationOk{})
		return nil
	case SCRAM:
		return authenticateSCRAM(s, auth)
	}
	return errors.New("no authentication is configured")
}

func authenticateSCRAM(s *Session, auth SCRAM) error {
	authFailed := &ProtocolError{Code: outcome.CodePassword, Message: "authentication failed for user " + s.User}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return lookUpCredentials(auth, s.User) })
	if err != nil {
		return err
	}
	s.Backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
	if err := s.Backend.SetAuthType(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	conversation := server.NewConversation()
	first, err := receiveAuth[*pgproto3.SASLInitialResponse](s)
	if err != nil {
		return err
	}
	if first.AuthMechanism != "SCRAM-SHA-256" {
		return authFailed
	}
	answer, err := conversation.Step(string(first.Data))
	if err != nil {
		return authFailed
	}
	s.Backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	if err := s.Backend.SetAuthType(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	final, err := receiveAuth[*pgproto3.SASLResponse](s)
	if err != nil {
		return err
	}
	answer, err = conversation.Step(string(final.Data))
	if err != nil || !conversation.Valid() {
		return authFailed
	}
	s.Backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	s.Backend.Send(&pgproto3.AuthenticationOk{})
	return nil
}

// receiveAuth flushes the messages to the caller and returns its answer. It
// returns a *ProtocolError if the answer is not of type M.
func receiveAuth[M pgproto3.FrontendMessage](s *Session) (M, error) {
	var none M
	if err := s.Backend.Flush(); err != nil {
		return none, err
	}
	msg, err := s.Receive()
	if err != nil {
		return none, startupError(err)
	}
	m, ok := msg.(M)
	if !ok {
		return none, &ProtocolError{Code: outcome.CodeProtocol, Message: fmt.Sprintf("unexpected %T during authentication", msg)}
	}
	return m, nil
}

// ForwardParameter is the startup parameter by which a proxy that forwards
// requests identifies itself.
const ForwardParameter = "oleanderflow.forward"

// startupOnly lists the startup parameters that are not settings.
var startupOnly = []string{"user", "database", "options", "replication"}

func (s *Session) applyStartup(parameters map[string]string) error {
	if v := parameters["replication"]; v != "" && v != "false" && v != "off" && v != "0" {
		return &ProtocolError{Code: outcome.CodeUnsupported, Message: "replication connections are not served"}
	}
	settings, err := ParseOptions(parameters["options"])
	if err != nil {
		return err
	}
	for name, value := range parameters {
		if !isStartupOnly(name) && !strings.HasPrefix(name, "_pq_.") && name != ForwardParameter {
			settings = append(settings, Setting{Name: name, Value: value})
		}
	}
	for _, set := range settings {
		if strings.EqualFold(set.Name, "application_name") {
			s.Application = set.Value
		}
		if err := s.Set(set.Name, set.Value); err != nil {
			return err
		}
	}
	return nil
}

func isStartupOnly(name string) bool {
	for _, n := range startupOnly {
		if n == name {
			return true
		}
	}
	return false
}

// Setting is a session setting given at startup.
type Setting struct{ Name, Value string }

// ParseOptions parses the startup parameter "options": a list of -c name=value
// and --name=value, with backslash escapes. It returns a *ProtocolError for
// anything else, or if text is too long.
func ParseOptions(text string) ([]Setting, error) {
	if len(text) > 4*maxSettingLength {
		return nil, &ProtocolError{Code: outcome.CodeInvalid, Message: "startup options are too long"}
	}
	var settings []Setting
	words := splitOptions(text)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		case strings.HasPrefix(word, "--"):
			word = strings.ReplaceAll(word[2:], "-", "_")
		default:
			return nil, &ProtocolError{Code: outcome.CodeInvalid, Message: "invalid startup option " + word + "; expected -c name=value"}
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok || name == "" {
			return nil, &ProtocolError{Code: outcome.CodeInvalid, Message: "invalid startup option " + word + "; expected -c name=value"}
		}
		settings = append(settings, Setting{Name: name, Value: value})
	}
	return settings, nil
}

func splitOptions(text string) []string {
	var words []string
	var word strings.Builder
	inWord := false
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch {
		case c == '\\' && i+1 < len(text):
			i++
			word.WriteByte(text[i])
			inWord = true
		case c == ' ' || c == '\t' || c == '\n':
			if inWord {
				words = append(words, word.String())
				word.Reset()
				inWord = false
			}
		default:
			word.WriteByte(c)
			inWord = true
		}
	}
	if inWord {
		words = append(words, word.String())
	}
	return words
}

// initialParameters are the parameter values reported to every caller at startup.
var initialParameters = []Setting{
	{"server_version", "16.0 (oleanderflow)"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"}, {"TimeZone", "UTC"}, {"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

func (s *Session) sendStartupComplete() error {
	for _, p := range initialParameters {
		s.Backend.Send(&pgproto3.ParameterStatus{Name: p.Name, Value: p.Value})
	}
	s.Backend.Send(&pgproto3.BackendKeyData{ProcessID: s.PID, SecretKey: s.Secret})
	s.Backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return s.Backend.Flush()
}
