package caller

import (
	"net/url"
	"strconv"
	"time"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// ForwardContext is the state of a session that a proxy sends along with a
// request it forwards to another proxy. Every request carries it, since sessions
// share the connections between proxies. The fields without a comment are those
// of Session.
type ForwardContext struct {
	// Token holds the session's floor, and is empty if the session has none.
	Token       string
	FloorKnown  bool
	MaxAge      clock.Duration
	User        string
	Application string
	SharedID    string
	RequestID   string
	// Settings holds the SET statements of the session's database settings.
	Settings string
}

// Encode returns c as a URL query, which needs no escaping in a quoted setting
// value.
func (c ForwardContext) Encode() string {
	values := url.Values{}
	for name, value := range map[string]string{
		"token": c.Token, "user": c.User, "application": c.Application, "session": c.SharedID, "requestId": c.RequestID, "settings": c.Settings,
	} {
		if value != "" {
			values.Set(name, value)
		}
	}
	if c.FloorKnown {
		values.Set("floorKnown", "true")
	}
	if c.MaxAge > 0 {
		values.Set("maxAge", c.MaxAge.String())
	}
	return values.Encode()
}

// decodeContext decodes the output of Encode. It returns a *ProtocolError if text
// is invalid.
func decodeContext(text string) (ForwardContext, error) {
	values, err := url.ParseQuery(text)
	if err != nil {
		return ForwardContext{}, &ProtocolError{Code: outcome.CodeInvalid, Message: "invalid context of a forwarded request"}
	}
	c := ForwardContext{
		Token: values.Get("token"), User: values.Get("user"), Application: values.Get("application"), SharedID: values.Get("session"),
		RequestID: values.Get("requestId"), Settings: values.Get("settings"),
	}
	c.FloorKnown, _ = strconv.ParseBool(values.Get("floorKnown"))
	if age := values.Get("maxAge"); age != "" {
		d, err := time.ParseDuration(age)
		if err != nil {
			return ForwardContext{}, &ProtocolError{Code: outcome.CodeInvalid, Message: "invalid age of a forwarded request"}
		}
		c.MaxAge = clock.FromStd(d)
	}
	return c, nil
}

// applyContext replaces the session's state with that of the session whose
// request is forwarded. It returns a *ProtocolError if the connection is not from
// a proxy or text is invalid.
func (s *Session) applyContext(text string) error {
	if !s.Forwarded {
		return &ProtocolError{Code: outcome.CodeInvalid, Message: "oleanderflow.context is for proxies alone"}
	}
	c, err := decodeContext(text)
	if err != nil {
		return err
	}
	s.Floor, s.reportedFloor, s.FloorKnown = position.Position{}, position.Position{}, false
	if c.Token != "" {
		if err := s.acceptToken(c.Token); err != nil {
			return err
		}
	}
	// The sender already has the token that it just sent.
	s.reportedFloor = s.Floor
	s.FloorKnown = c.FloorKnown
	s.MaxAge, s.Application, s.SharedID, s.RequestID = c.MaxAge, c.Application, c.SharedID, c.RequestID
	s.forwardedSettings, s.forwardedUser = c.Settings, c.User
	return nil
}
