package database

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

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
	p := &preparedStatement{}
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
