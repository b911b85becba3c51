package database

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// LengthError reports a message of a database that goes on behind its last field.
type LengthError struct {
	// Message is the type of the message.
	Message string
	// Behind is the number of bytes behind the last field.
	Behind int
}

func (e *LengthError) Error() string {
	return fmt.Sprintf("%s from the database has %d bytes behind its last field", e.Message, e.Behind)
}

// Receive returns the next message of the database, which is valid until the next
// call. It returns a *LengthError for one that goes on behind its last field.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	msg, err := c.Frontend.Receive()
	if err != nil {
		return nil, err
	}
	if want, ok := fieldsLength(msg); ok && want != c.frames.Length() {
		return nil, &LengthError{Message: fmt.Sprintf("%T", msg), Behind: c.frames.Length() - want}
	}
	return msg, nil
}

const (
	// int16Size and int32Size are the lengths of integer fields, in bytes.
	int16Size = 2
	int32Size = 4
	// columnSize is the length of a column's description without its name, in bytes.
	columnSize = 18
)

// fieldsLength returns the length of a message up to its last field. It returns
// false for a type whose decoder refuses bytes behind that, whose last field takes
// all bytes, or that is no part of a success.
func fieldsLength(msg pgproto3.BackendMessage) (int, bool) {
	n := headerSize
	switch m := msg.(type) {
	case *pgproto3.DataRow:
		n += int16Size + int32Size*len(m.Values)
		for _, v := range m.Values {
			n += len(v)
		}
	case *pgproto3.RowDescription:
		n += int16Size
		for i := range m.Fields {
			n += textSize(len(m.Fields[i].Name)) + columnSize
		}
	case *pgproto3.ParameterDescription:
		n += int16Size + int32Size*len(m.ParameterOIDs)
	case *pgproto3.ParameterStatus:
		n += textSize(len(m.Name)) + textSize(len(m.Value))
	case *pgproto3.NotificationResponse:
		n += int32Size + textSize(len(m.Channel)) + textSize(len(m.Payload))
	default:
		return 0, false
	}
	return n, true
}

// textSize returns the length of a text field of n bytes, which ends with NUL.
func textSize(n int) int { return n + 1 }
