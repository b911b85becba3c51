package database

import (
	"bytes"
	"context"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// tryCopy runs a COPY statement in text format. It returns false for any other
// statement.
func (s *session) tryCopy(query string) (bool, error) {
	if firstWord(query) != "copy" {
		return false, nil
	}
	lower := strings.ToLower(query)
	if at := strings.Index(lower, "from stdin"); at > 0 {
		return true, s.copyIn(strings.TrimSpace(query[len("copy"):at]))
	}
	if at := strings.Index(lower, "to stdout"); at > 0 {
		return true, s.copyOut(strings.TrimSpace(query[len("copy"):at]))
	}
	return true, &sqlError{Code: codeSyntax, Message: "expected COPY … FROM STDIN or COPY … TO STDOUT"}
}

func (s *session) copyIn(target string) error {
	s.backend.Send(&pgproto3.CopyInResponse{OverallFormat: 0})
	if err := s.backend.Flush(); err != nil {
		return err
	}
	data, err := s.receiveCopy()
	if err != nil {
		return err
	}
	implicit := !s.inTransaction
	if implicit {
		if _, err := s.begin(); err != nil {
			return err
		}
	}
	n, err := s.insertLines(target, data)
	if err != nil {
		if implicit {
			_, rollbackErr := s.endTransaction("ROLLBACK", "ROLLBACK")
			err = errors.Join(err, rollbackErr)
		}
		return err
	}
	if implicit {
		if _, err := s.commit(); err != nil {
			return err
		}
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY " + strconv.Itoa(n))})
	return nil
}

func (s *session) receiveCopy() ([]byte, error) {
	var data bytes.Buffer
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			return nil, err
		}
		switch m := msg.(type) {
		case *pgproto3.CopyData:
			data.Write(m.Data)
		case *pgproto3.CopyDone:
			return data.Bytes(), nil
		case *pgproto3.CopyFail:
			return nil, &sqlError{Code: "57014", Message: "COPY from stdin failed: " + m.Message}
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return nil, &sqlError{Code: "08P01", Message: "unexpected message during COPY from stdin"}
		}
	}
}

func (s *session) insertLines(target string, data []byte) (int, error) {
	n := 0
	for line := range strings.Lines(string(data)) {
		line = strings.TrimRight(line, "\r\n")
		if line == "" || line == `\.` {
			continue
		}
		fields := strings.Split(line, "\t")
		args := make([]any, len(fields))
		placeholders := make([]string, len(fields))
		for i, f := range fields {
			placeholders[i] = "?" + strconv.Itoa(i+1)
			if f != `\N` {
				args[i] = f
			}
		}
		statement := "INSERT INTO " + target + " VALUES (" + strings.Join(placeholders, ",") + ")"
		if _, err := s.write(context.Background(), "insert", statement, args); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

func (s *session) copyOut(source string) error {
	query := "SELECT * FROM " + source
	if strings.HasPrefix(source, "(") {
		query = strings.TrimSuffix(strings.TrimPrefix(source, "("), ")")
	}
	r, err := s.execute(query, nil)
	if err != nil {
		return err
	}
	s.backend.Send(&pgproto3.CopyOutResponse{OverallFormat: 0, ColumnFormatCodes: make([]uint16, len(r.columns))})
	for _, row := range r.rows {
		var line []byte
		for i, v := range row {
			if i > 0 {
				line = append(line, '\t')
			}
			text, err := encodeValue(v, oidText, 0)
			if err != nil {
				return err
			}
			if v == nil {
				text = []byte(`\N`)
			}
			line = append(line, text...)
		}
		s.backend.Send(&pgproto3.CopyData{Data: append(line, '\n')})
	}
	s.backend.Send(&pgproto3.CopyDone{})
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY " + strconv.Itoa(len(r.rows)))})
	return nil
}
