package caller

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

// Receive returns the caller's next message, which is valid until the next call.
// It returns a *ProtocolError for a message that goes on behind its last field.
func (s *Session) Receive() (pgproto3.FrontendMessage, error) {
	msg, err := s.Backend.Receive()
	if err != nil {
		return nil, err
	}
	if want, ok := fieldsLength(msg); ok && want != s.frames.Length() {
		return nil, &ProtocolError{
			Code:    outcome.CodeProtocol,
			Message: fmt.Sprintf("%T has %d bytes behind its last field", msg, s.frames.Length()-want),
		}
	}
	return msg, nil
}

const (
	// frameHeaderSize is the length of a message's type and length fields, in bytes.
	frameHeaderSize = 5
	// int16Size and int32Size are the lengths of integer fields, in bytes.
	int16Size = 2
	int32Size = 4
)

// fieldsLength returns the length of a message up to its last field. It returns
// false for a type whose decoder refuses bytes behind that, or whose last field
// takes all bytes.
func fieldsLength(msg pgproto3.FrontendMessage) (int, bool) {
	n := frameHeaderSize
	switch m := msg.(type) {
	case *pgproto3.Parse:
		n += textSize(m.Name) + textSize(m.Query) + int16Size + int32Size*len(m.ParameterOIDs)
	case *pgproto3.Bind:
		n += textSize(m.DestinationPortal) + textSize(m.PreparedStatement)
		n += int16Size + int16Size*len(m.ParameterFormatCodes)
		n += int16Size + int32Size*len(m.Parameters)
		for _, p := range m.Parameters {
			n += len(p)
		}
		n += int16Size + int16Size*len(m.ResultFormatCodes)
	case *pgproto3.Execute:
		n += textSize(m.Portal) + int32Size
	case *pgproto3.FunctionCall:
		n += int32Size + int16Size + int16Size*len(m.ArgFormatCodes)
		n += int16Size + int32Size*len(m.Arguments)
		for _, a := range m.Arguments {
			n += len(a)
		}
		n += int16Size
	default:
		return 0, false
	}
	return n, true
}

// textSize returns the length of a text field, which ends with NUL.
func textSize(text string) int { return len(text) + 1 }
