package caller

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/oleanderflow/oleanderflow/internal/connection/caller"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

const textOID = 25

// runLocal runs a statement that the proxy answers itself. It returns a
// *caller.ProtocolError for an unsupported form.
func (w *worker) runLocal(query string) ([]pgproto3.BackendMessage, error) {
	s := w.session
	word, rest := cutWord(skipComments(query))
	if name, _ := cutWord(rest); word == "show" && name == "oleanderflow.outcome" {
		text, err := w.queryOutcome()
		return showValue(text), err
	}
	switch word {
	case "":
		return []pgproto3.BackendMessage{&pgproto3.EmptyQueryResponse{}}, nil
	case "show":
		return showLocal(s, rest)
	case "reset":
		return resetLocal(s, rest)
	case "discard":
		s.ResetSettings()
		s.Prepared = nil
		return commandComplete("DISCARD ALL"), nil
	case "deallocate":
		return deallocateLocal(s, rest)
	}
	name, value, ok := parseSet(query)
	if !ok {
		return nil, &caller.ProtocolError{Code: outcome.CodeUnsupported, Message: "this form of SET is not supported; use SET name = value"}
	}
	if err := s.Set(name, value); err != nil {
		return nil, err
	}
	return commandComplete("SET"), nil
}

// isProxySetting reports whether a SET, RESET or SHOW names one of the proxy's
// own settings, which the proxy handles inside a transaction too.
func isProxySetting(query string) bool {
	_, rest := cutWord(skipComments(query))
	name, after := cutWord(rest)
	if name == "session" {
		name, _ = cutWord(after)
	}
	return caller.IsProxySetting(name)
}

func commandComplete(tag string) []pgproto3.BackendMessage {
	return []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte(tag)}}
}

func resetLocal(s *caller.Session, rest string) ([]pgproto3.BackendMessage, error) {
	name, _ := cutWord(rest)
	if name == "all" {
		s.ResetSettings()
		return commandComplete("RESET"), nil
	}
	if caller.IsProxySetting(name) {
		return commandComplete("RESET"), s.Set(name, "")
	}
	return nil, &caller.ProtocolError{Code: outcome.CodeUnsupported, Message: "RESET of one setting is not supported; use SET or RESET ALL"}
}

func deallocateLocal(s *caller.Session, rest string) ([]pgproto3.BackendMessage, error) {
	name, after := cutWord(rest)
	if name == "prepare" {
		name, _ = cutWord(after)
	}
	if name == "all" {
		s.Prepared = nil
		return commandComplete("DEALLOCATE ALL"), nil
	}
	for known := range s.Prepared {
		if strings.EqualFold(known, name) {
			delete(s.Prepared, known)
			return commandComplete("DEALLOCATE"), nil
		}
	}
	return nil, &caller.ProtocolError{Code: "26000", Message: "prepared statement " + name + " does not exist"}
}

func showLocal(s *caller.Session, rest string) ([]pgproto3.BackendMessage, error) {
	name, _ := cutWord(rest)
	var value string
	switch name {
	case "oleanderflow.token":
		value = s.Token()
	case "oleanderflow.maxage":
		value = s.MaxAge.String()
	case "oleanderflow.session":
		value = s.SharedID
	case "oleanderflow.requestid":
		value = s.RequestID
	default:
		return nil, &caller.ProtocolError{Code: outcome.CodeInvalid, Message: "unknown setting " + name}
	}
	return showValue(value), nil
}

func showValue(value string) []pgproto3.BackendMessage {
	return []pgproto3.BackendMessage{
		&pgproto3.DataRow{Values: [][]byte{[]byte(value)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SHOW")},
	}
}

// describeLocal describes the rows of a statement that the proxy answers.
func describeLocal(query string) []pgproto3.BackendMessage {
	word, rest := cutWord(skipComments(query))
	if word != "show" {
		return []pgproto3.BackendMessage{&pgproto3.NoData{}}
	}
	name, _ := cutWord(rest)
	return []pgproto3.BackendMessage{&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1},
	}}}
}
