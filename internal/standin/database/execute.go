package database

import (
	"context"
	"database/sql"
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// PostgreSQL type OIDs that the stand-in reports.
const (
	oidBytea   = 17
	oidInt8    = 20
	oidInt4    = 23
	oidText    = 25
	oidFloat8  = 701
	oidUnknown = 0
)

const statusPrefix = "oleanderflow."

var statusColumns = []column{
	{"name", oidText}, {"role", oidText}, {"term", oidText}, {"fenced", oidText},
	{"received", oidText}, {"applied", oidText}, {"termStart", oidText},
}

// execute runs one statement and collects its rows.
func (s *session) execute(query string, args []any) (*result, error) {
	word := firstWord(query)
	if s.failed && word != "rollback" && word != "commit" && word != "end" {
		return nil, &sqlError{Code: codeTransactionAborted, Message: "current transaction is aborted, commands ignored until end of transaction block"}
	}
	switch word {
	case "show":
		return s.show(query)
	case "call":
		return s.call(query)
	case "set":
		return s.set(query)
	case "reset", "discard":
		clear(s.settings)
		return &result{tag: strings.ToUpper(word)}, nil
	case "deallocate", "listen", "unlisten":
		return &result{tag: strings.ToUpper(word)}, nil
	case "begin", "start":
		return s.begin()
	case "commit", "end":
		return s.commit()
	case "rollback", "abort":
		return s.rollback(query)
	}
	if fields := strings.Fields(strings.ToLower(stripComments(query))); word == "create" && len(fields) > 1 && strings.HasPrefix(fields[1], "temp") {
		s.temporary = true
	}
	ctx, cancel := s.newStatementContext()
	defer cancel()
	if strings.Contains(query, "pg_sleep(") {
		return s.sleepStatement(ctx, query)
	}
	text := translate(query, time.Now())
	if !isWrite(query) {
		if word == "savepoint" || word == "release" {
			if err := s.beginSQLite(); err != nil {
				return nil, err
			}
		}
		return s.query(ctx, word, text, args)
	}
	return s.write(ctx, word, text, args)
}

// begin starts a transaction. The SQLite transaction starts only with the
// first write or savepoint, so that reads before it see all committed rows, as
// with READ COMMITTED.
func (s *session) begin() (*result, error) {
	if !s.inTransaction {
		s.inTransaction, s.failed, s.sqliteBegun, s.pending = true, false, false, nil
	}
	return &result{tag: "BEGIN"}, nil
}

// beginSQLite starts the SQLite transaction of an open transaction, unless it
// has started already.
func (s *session) beginSQLite() error {
	if !s.inTransaction || s.sqliteBegun {
		return nil
	}
	if _, err := s.sql.ExecContext(context.Background(), "BEGIN IMMEDIATE"); err != nil {
		return err
	}
	s.sqliteBegun = true
	return nil
}

func (s *session) commit() (*result, error) {
	if !s.inTransaction {
		return &result{tag: "COMMIT"}, nil
	}
	if s.failed {
		return s.endTransaction("ROLLBACK", "ROLLBACK")
	}
	if len(s.pending) == 0 {
		return s.endTransaction("COMMIT", "COMMIT")
	}
	_, err := s.database.state.Commit(s.database.group.clock.Now(), s.pending, func() error {
		_, err := s.sql.ExecContext(context.Background(), "COMMIT")
		return err
	})
	if err != nil {
		_, rollbackErr := s.endTransaction("ROLLBACK", "ROLLBACK")
		return nil, errors.Join(err, rollbackErr)
	}
	s.inTransaction, s.sqliteBegun, s.pending = false, false, nil
	return &result{tag: "COMMIT"}, nil
}

// rollback runs ROLLBACK and ROLLBACK TO SAVEPOINT.
func (s *session) rollback(query string) (*result, error) {
	if strings.Contains(strings.ToLower(query), " to ") {
		if _, err := s.sql.ExecContext(context.Background(), query); err != nil {
			return nil, err
		}
		s.failed = false
		return &result{tag: "ROLLBACK"}, nil
	}
	if !s.inTransaction {
		return &result{tag: "ROLLBACK"}, nil
	}
	return s.endTransaction("ROLLBACK", "ROLLBACK")
}

// endTransaction ends the transaction. It runs statement if a SQLite
// transaction has started.
func (s *session) endTransaction(statement, tag string) (*result, error) {
	begun := s.sqliteBegun
	s.inTransaction, s.failed, s.sqliteBegun, s.pending = false, false, false, nil
	if !begun {
		return &result{tag: tag}, nil
	}
	if _, err := s.sql.ExecContext(context.Background(), statement); err != nil {
		return nil, err
	}
	return &result{tag: tag}, nil
}

func (s *session) sleepStatement(ctx context.Context, query string) (*result, error) {
	_, rest, _ := strings.Cut(query, "pg_sleep(")
	number, _, _ := strings.Cut(rest, ")")
	seconds, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if err != nil {
		return nil, &sqlError{Code: codeSyntax, Message: "pg_sleep takes a number of seconds"}
	}
	timer := time.NewTimer(time.Duration(seconds * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return &result{columns: []column{{"pg_sleep", oidText}}, rows: [][]any{{""}}, tag: "SELECT 1"}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *session) query(ctx context.Context, word, text string, args []any) (*result, error) {
	rows, err := s.sql.QueryContext(ctx, text, args...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	r, err := collect(rows)
	if err != nil {
		return nil, err
	}
	r.tag = "SELECT " + strconv.Itoa(len(r.rows))
	if word == "savepoint" || word == "release" {
		r.tag = strings.ToUpper(word)
	}
	return r, nil
}

// write runs a statement that writes, in a transaction of its own if none is
// open.
func (s *session) write(ctx context.Context, word, text string, args []any) (*result, error) {
	status := s.database.state.Status()
	if status.Role != Primary || status.Fenced > status.Term {
		return nil, &sqlError{Code: codeReadOnly, Message: "cannot execute " + strings.ToUpper(word) + " in a read-only transaction"}
	}
	statement := Statement{SQL: text, Args: args}
	if s.inTransaction {
		if err := s.beginSQLite(); err != nil {
			return nil, err
		}
		r, err := s.runWrite(ctx, word, statement)
		if err == nil {
			s.pending = append(s.pending, statement)
		}
		return r, err
	}
	if _, err := s.begin(); err != nil {
		return nil, err
	}
	if err := s.beginSQLite(); err != nil {
		s.inTransaction = false
		return nil, err
	}
	r, err := s.runWrite(ctx, word, statement)
	if err != nil {
		_, rollbackErr := s.endTransaction("ROLLBACK", "ROLLBACK")
		return nil, errors.Join(err, rollbackErr)
	}
	s.pending = []Statement{statement}
	if _, err := s.commit(); err != nil {
		return nil, err
	}
	return r, nil
}

func (s *session) runWrite(ctx context.Context, word string, statement Statement) (*result, error) {
	if strings.Contains(strings.ToLower(statement.SQL), "returning") {
		rows, err := s.sql.QueryContext(ctx, statement.SQL, statement.Args...)
		if err != nil {
			return nil, err
		}
		defer rows.Close()
		r, err := collect(rows)
		if err != nil {
			return nil, err
		}
		r.tag = writeTag(word, int64(len(r.rows)))
		return r, nil
	}
	done, err := s.sql.ExecContext(ctx, statement.SQL, statement.Args...)
	if err != nil {
		return nil, err
	}
	n, err := done.RowsAffected()
	if err != nil {
		return nil, err
	}
	return &result{tag: writeTag(word, n)}, nil
}

func writeTag(word string, n int64) string {
	count := strconv.FormatInt(n, 10)
	switch word {
	case "insert", "replace":
		return "INSERT 0 " + count
	case "update", "delete":
		return strings.ToUpper(word) + " " + count
	case "with":
		return "SELECT " + count
	default:
		return strings.ToUpper(word)
	}
}

func isWrite(query string) bool {
	switch firstWord(query) {
	case "select", "values", "explain", "savepoint", "release", "pragma":
		return false
	case "with":
		lower := strings.ToLower(query)
		return strings.Contains(lower, "insert ") || strings.Contains(lower, "update ") || strings.Contains(lower, "delete ")
	}
	return true
}

func firstWord(query string) string {
	query = stripComments(query)
	end := strings.IndexAny(query, " \t\r\n(;")
	if end < 0 {
		end = len(query)
	}
	return strings.ToLower(query[:end])
}

func (s *session) show(query string) (*result, error) {
	if !strings.Contains(query, statusPrefix+"status") {
		fields := strings.Fields(strings.TrimRight(query, "; "))
		value := s.settings[strings.ToLower(fields[len(fields)-1])]
		return &result{columns: []column{{"setting", oidText}}, rows: [][]any{{value}}, tag: "SHOW"}, nil
	}
	return statusResult(s.database.state.Status()), nil
}

// set runs SET name = value for any name, and ignores other forms.
func (s *session) set(query string) (*result, error) {
	name, value, found := strings.Cut(query, "=")
	if fields := strings.Fields(name); found && len(fields) > 1 {
		value = translate(strings.Trim(value, "; "), time.Now())
		if len(value) > 1 && value[0] == '\'' {
			value = strings.ReplaceAll(value[1:len(value)-1], "''", "'")
		}
		setting := strings.ToLower(fields[len(fields)-1])
		if setting == "datestyle" && !strings.ContainsAny(value, "IiSsGgPp") {
			return nil, &sqlError{Code: codeInvalidParameter, Message: "invalid value for parameter \"DateStyle\""}
		}
		s.settings[setting] = value
	}
	return &result{tag: "SET"}, nil
}

func statusResult(st Status) *result {
	return &result{columns: statusColumns, tag: "SHOW", rows: [][]any{{
		st.Name, string(st.Role), strconv.FormatUint(st.Term, 10), strconv.FormatUint(st.Fenced, 10),
		st.Received.String(), st.Applied.String(), st.TermStart.String(),
	}}}
}

// call runs the procedures fence, promote and follow, by which a proxy controls
// the group.
func (s *session) call(query string) (*result, error) {
	var term uint64
	var name string
	_, rest, ok := strings.Cut(query, statusPrefix)
	if !ok {
		return nil, &sqlError{Code: codeSyntax, Message: "unknown procedure"}
	}
	operation, rest, _ := strings.Cut(rest, "(")
	if _, err := fmt.Sscanf(strings.ReplaceAll(rest, "'", " "), "%d, %s", &term, &name); err != nil {
		return nil, &sqlError{Code: codeSyntax, Message: "expected (term, 'name')"}
	}
	status, err := s.database.runOperation(operation, term, name)
	if err != nil {
		return nil, err
	}
	return statusResult(status), nil
}

func (d *Database) runOperation(operation string, term uint64, name string) (Status, error) {
	switch operation {
	case "fence":
		return d.state.Fence(term, name)
	case "promote":
		return d.promote(term, name)
	case "follow":
		return d.state.Follow(term, name)
	}
	return Status{}, &sqlError{Code: codeSyntax, Message: "unknown procedure " + operation}
}

// resultColumns returns the columns of a statement's result, nil for a
// statement without rows. A read is run with NULL parameters to get them from
// SQLite.
func (s *session) resultColumns(query string, parameters int) ([]column, error) {
	word := firstWord(query)
	switch word {
	case "show":
		if strings.Contains(query, statusPrefix+"status") {
			return statusColumns, nil
		}
		return []column{{"setting", oidText}}, nil
	case "", "set", "reset", "discard", "deallocate", "begin", "start", "commit", "end", "rollback", "abort", "copy", "call", "listen", "unlisten", "savepoint", "release":
		return nil, nil
	}
	if strings.Contains(query, "pg_sleep(") {
		return []column{{"pg_sleep", oidText}}, nil
	}
	if isWrite(query) {
		return s.returningColumns(query)
	}
	rows, err := s.sql.QueryContext(context.Background(), translate(query, time.Now()), make([]any, parameters)...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	return columnsOf(rows)
}

// returningColumns returns the columns of a RETURNING list without running the
// statement. Types are guessed from the names.
func (s *session) returningColumns(query string) ([]column, error) {
	at := strings.LastIndex(strings.ToLower(query), "returning")
	if at < 0 {
		return nil, nil
	}
	var cols []column
	for _, name := range strings.Split(query[at+len("returning"):], ",") {
		name = strings.TrimSpace(name)
		oid := uint32(oidText)
		if name == "id" || strings.HasPrefix(name, "count(") {
			oid = oidInt8
		}
		cols = append(cols, column{name: name, oid: oid})
	}
	return cols, nil
}

func columnsOf(rows *sql.Rows) ([]column, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	cols := make([]column, len(types))
	for i, t := range types {
		cols[i] = column{name: t.Name(), oid: typeOID(t.DatabaseTypeName(), t.Name())}
	}
	return cols, nil
}

// typeOID returns the OID of a column's type, guessed from its name if it has
// no declared type, as with expressions.
func typeOID(declared, name string) uint32 {
	declared = strings.ToUpper(declared)
	switch {
	case strings.Contains(declared, "INT"):
		return oidInt8
	case strings.Contains(declared, "BLOB"), strings.Contains(declared, "BYTEA"):
		return oidBytea
	case strings.Contains(declared, "REAL"), strings.Contains(declared, "DOUBLE"), strings.Contains(declared, "FLOAT"):
		return oidFloat8
	case declared != "":
		return oidText
	}
	lower := strings.ToLower(name)
	for _, p := range []string{"count(", "sum(", "max(", "min(", "coalesce(sum"} {
		if strings.HasPrefix(lower, p) {
			return oidInt8
		}
	}
	if _, err := strconv.Atoi(name); err == nil {
		return oidInt8
	}
	return oidText
}

func collect(rows *sql.Rows) (*result, error) {
	cols, err := columnsOf(rows)
	if err != nil {
		return nil, err
	}
	r := &result{columns: cols}
	if len(cols) == 0 {
		r.columns = nil
	}
	for rows.Next() {
		values := make([]any, len(cols))
		targets := make([]any, len(cols))
		for i := range values {
			targets[i] = &values[i]
		}
		if err := rows.Scan(targets...); err != nil {
			return nil, err
		}
		r.rows = append(r.rows, values)
	}
	return r, rows.Err()
}

func rowDescription(cols []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(cols))}
	for i, c := range cols {
		d.Fields[i] = pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: -1, TypeModifier: -1, Format: formatOf(formats, i),
		}
	}
	return d
}

func (s *session) sendRow(cols []column, row []any, formats []int16) error {
	values := make([][]byte, len(row))
	for i, v := range row {
		var oid uint32 = oidUnknown
		if i < len(cols) {
			oid = cols[i].oid
		}
		encoded, err := encodeValue(v, oid, formatOf(formats, i))
		if err != nil {
			return err
		}
		values[i] = encoded
	}
	s.backend.Send(&pgproto3.DataRow{Values: values})
	return nil
}

func encodeValue(v any, oid uint32, format int16) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if format == 1 && (oid == oidInt8 || oid == oidFloat8) {
		return encodeBinary(v, oid)
	}
	switch x := v.(type) {
	case []byte:
		if oid == oidBytea && format == 0 {
			return fmt.Appendf(nil, "\\x%x", x), nil
		}
		return x, nil
	case string:
		return []byte(x), nil
	case int64:
		return strconv.AppendInt(nil, x, 10), nil
	case float64:
		return strconv.AppendFloat(nil, x, 'g', -1, 64), nil
	case time.Time:
		return []byte(x.UTC().Format("2006-01-02 15:04:05.000")), nil
	}
	return fmt.Append(nil, v), nil
}

func encodeBinary(v any, oid uint32) ([]byte, error) {
	switch x := v.(type) {
	case int64:
		if oid == oidFloat8 {
			return binary.BigEndian.AppendUint64(nil, math.Float64bits(float64(x))), nil
		}
		return binary.BigEndian.AppendUint64(nil, uint64(x)), nil
	case float64:
		if oid == oidFloat8 {
			return binary.BigEndian.AppendUint64(nil, math.Float64bits(x)), nil
		}
		return binary.BigEndian.AppendUint64(nil, uint64(int64(x))), nil
	}
	return nil, &sqlError{Code: "22P03", Message: fmt.Sprintf("a value of type %T cannot be sent in binary", v)}
}
