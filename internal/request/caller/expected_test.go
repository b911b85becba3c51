package caller

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/connection/database"
)

// arrived is a connection on which an answer has arrived, and nothing follows.
type arrived struct {
	net.Conn
	encoded io.Reader
}

func (a arrived) Read(p []byte) (int, error)      { return a.encoded.Read(p) }
func (a arrived) Write(p []byte) (int, error)     { return len(p), nil }
func (a arrived) SetReadDeadline(time.Time) error { return nil }

// answering returns a connection on which the database has sent messages.
func answering(t *testing.T, messages ...pgproto3.BackendMessage) *database.Conn {
	t.Helper()
	var out []byte
	for _, m := range messages {
		encoded, err := m.Encode(out)
		require.NoError(t, err)
		out = encoded
	}
	return database.NewConn(arrived{encoded: bytes.NewReader(out)})
}

func complete(tag string) *pgproto3.CommandComplete {
	return &pgproto3.CommandComplete{CommandTag: []byte(tag)}
}

func ready(status byte) *pgproto3.ReadyForQuery { return &pgproto3.ReadyForQuery{TxStatus: status} }

// Answers that a database cannot give to a statement are no success.
func TestAnswerThatDoesNotFitIsNoSuccess(t *testing.T) {
	row := &pgproto3.DataRow{Values: [][]byte{[]byte("x")}}
	fields := &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v")}}}
	simple := func(kind Kind, query string) *batch {
		return &batch{kind: kind, query: query, runsStatement: true, steps: []step{{kind: stepQuery}}}
	}
	extended := &batch{kind: KindRead, query: "SELECT 1", runsStatement: true}
	queue := []expectedReply{{kind: stepParse}, {kind: stepBind}, {kind: stepDescribe}, {kind: stepExecute}, {kind: stepSync}}
	extended.steps = []step{{kind: stepParse}, {kind: stepBind}, {kind: stepDescribe}, {kind: stepExecute}, {kind: stepSync}}
	for name, test := range map[string]struct {
		batch  *batch
		answer []pgproto3.BackendMessage
		fits   bool
	}{
		"select":                  {simple(KindRead, "SELECT 1;"), []pgproto3.BackendMessage{fields, row, complete("SELECT 1"), ready('I')}, true},
		"two statements":          {simple(KindWrite, "SELECT 1; SHOW x"), []pgproto3.BackendMessage{fields, row, complete("SELECT 1"), fields, row, complete("SHOW"), ready('I')}, true},
		"begin and rollback":      {simple(KindBegin, "BEGIN; ROLLBACK"), []pgproto3.BackendMessage{complete("BEGIN"), complete("ROLLBACK"), ready('I')}, true},
		"ready only":              {simple(KindRead, "SELECT 1"), []pgproto3.BackendMessage{ready('I')}, false},
		"completed twice":         {simple(KindWrite, "INSERT INTO t VALUES (1)"), []pgproto3.BackendMessage{complete("INSERT 0 1"), complete("INSERT 0 1"), ready('I')}, false},
		"answered twice":          {simple(KindRead, "SELECT 1"), []pgproto3.BackendMessage{fields, row, complete("SELECT 1"), fields, row, complete("SELECT 1"), ready('I')}, false},
		"status for a select":     {simple(KindRead, "SELECT 1"), []pgproto3.BackendMessage{fields, row, complete("SHOW"), ready('I')}, false},
		"settings for a write":    {simple(KindWrite, "DELETE FROM t"), []pgproto3.BackendMessage{complete("SET"), ready('I')}, false},
		"begin again":             {simple(KindWrite, "INSERT INTO t VALUES (1)"), []pgproto3.BackendMessage{complete("BEGIN"), ready('T')}, false},
		"insert for a select":     {simple(KindRead, "SELECT 1"), []pgproto3.BackendMessage{complete("INSERT 0 1"), ready('T')}, false},
		"select for an insert":    {simple(KindWrite, "/* a */ insert INTO t VALUES (1)"), []pgproto3.BackendMessage{fields, row, complete("SELECT 1"), ready('T')}, false},
		"insert for a commit":     {simple(KindWrite, "COMMIT"), []pgproto3.BackendMessage{complete("INSERT 0 1"), ready('T')}, false},
		"commit that rolls back":  {simple(KindWrite, "END"), []pgproto3.BackendMessage{complete("ROLLBACK"), ready('I')}, true},
		"start":                   {simple(KindBegin, "START TRANSACTION"), []pgproto3.BackendMessage{complete("START TRANSACTION"), ready('T')}, true},
		"rollback to savepoint":   {simple(KindWrite, "ROLLBACK TO a"), []pgproto3.BackendMessage{complete("ROLLBACK"), ready('T')}, true},
		"values":                  {simple(KindRead, "VALUES (1)"), []pgproto3.BackendMessage{fields, row, complete("SELECT 1"), ready('I')}, true},
		"write of a with":         {simple(KindRead, "WITH a AS (SELECT 1) INSERT INTO t SELECT 1"), []pgproto3.BackendMessage{complete("INSERT 0 1"), ready('I')}, true},
		"create as":               {simple(KindWrite, "CREATE TABLE u AS SELECT 1"), []pgproto3.BackendMessage{complete("SELECT 1"), ready('I')}, true},
		"idle after begin":        {simple(KindBegin, "BEGIN"), []pgproto3.BackendMessage{complete("BEGIN"), ready('I')}, false},
		"unknown status":          {simple(KindRead, "SELECT 1"), []pgproto3.BackendMessage{fields, complete("SELECT 0"), ready(0)}, false},
		"reply to no message":     {simple(KindRead, "SELECT 1"), []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, complete("SELECT 0"), ready('I')}, false},
		"extended":                {extended, []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, fields, row, complete("SELECT 1"), ready('I')}, true},
		"extended, failed":        {extended, []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, &pgproto3.ErrorResponse{Code: "42P01"}, ready('I')}, true},
		"extended, ready early":   {extended, []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, ready('I')}, false},
		"extended, parsed twice":  {extended, []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, &pgproto3.ParseComplete{}, ready('I')}, false},
		"extended, row too early": {extended, []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, row, ready('I')}, false},
		"extended, row too late":  {extended, []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, fields, complete("SELECT 1"), row, ready('I')}, false},
	} {
		t.Run(name, func(t *testing.T) {
			x := &exchange{}
			x.prepare(nil, answering(t, test.answer...), test.batch)
			x.holdFrom = 0
			if test.batch == extended {
				x.queue = append(x.queue, queue...)
			}
			err := x.runPhase(phaseBatch)
			if test.fits {
				require.NoError(t, err)
				return
			}
			var lost *lostError
			require.ErrorAs(t, err, &lost)
			require.True(t, x.conn.StateUnknown)
		})
	}
}
