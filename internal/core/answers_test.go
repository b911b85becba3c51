package core

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	dbconn "github.com/oleanderflow/oleanderflow/internal/connection/database"
	"github.com/oleanderflow/oleanderflow/internal/standin/database"
)

// newTestPool returns a pool of one connection to the group's primary.
func newTestPool(t *testing.T, d *Dev) *dbconn.Pool {
	t.Helper()
	target := dbconn.Target{Address: d.Group.Primary().Address(), Database: devGroup, User: "test"}
	pool := dbconn.NewPool(target, dbconn.PoolSettings{MaxConnections: 1, MaxQueue: 10})
	t.Cleanup(pool.Close)
	return pool
}

// A repeated answer that arrived in one segment with the right one is in the
// connection's read buffer, where the socket does not show it.
func TestBufferedAnswerReachesNoOtherRequest(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	pool := newTestPool(t, d)
	first, err := pool.Acquire(ctx, dbconn.NoClass)
	require.NoError(t, err)
	d.Group.Primary().SetAnswerFault(database.Repeat(0))
	require.Equal(t, "theirs", firstValue(t, first, "SELECT 'theirs'"))
	d.Group.Primary().SetAnswerFault(nil)
	pool.Release(first)
	second, err := pool.Acquire(ctx, dbconn.NoClass)
	require.NoError(t, err)
	defer pool.Release(second)
	require.Equal(t, "own", firstValue(t, second, "SELECT 'own'"))
}

// A notification between two requests is no answer, and no reason for a new
// connection.
func TestAsynchronousMessagesKeepTheConnection(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	for name, message := range map[string]pgproto3.BackendMessage{
		"notification": &pgproto3.NotificationResponse{PID: 1, Channel: "orders"},
		"notice":       &pgproto3.NoticeResponse{Severity: "WARNING", Message: "not for the next request"},
		"parameter":    &pgproto3.ParameterStatus{Name: "TimeZone", Value: "Asia/Tokyo"},
	} {
		for when, pause := range map[string]time.Duration{"buffered": 0, "in the socket": 50 * time.Millisecond} {
			t.Run(name+" "+when, func(t *testing.T) {
				encoded, err := message.Encode(nil)
				require.NoError(t, err)
				pool := newTestPool(t, d)
				first, err := pool.Acquire(ctx, dbconn.NoClass)
				require.NoError(t, err)
				d.Group.Primary().SetAnswerFault(func(_ pgproto3.FrontendMessage, answer []byte) database.Answer {
					if pause == 0 {
						return database.Answer{First: append(append([]byte(nil), answer...), encoded...)}
					}
					return database.Answer{First: answer, Then: encoded, Pause: pause}
				})
				require.Equal(t, "one", firstValue(t, first, "SELECT 'one'"))
				d.Group.Primary().SetAnswerFault(nil)
				time.Sleep(pause / 2)
				pool.Release(first)
				time.Sleep(pause)
				second, err := pool.Acquire(ctx, dbconn.NoClass)
				require.NoError(t, err)
				require.Same(t, first, second)
				require.Equal(t, "two", firstValue(t, second, "SELECT 'two'"))
				pool.Release(second)
			})
		}
	}
}

// isQuery reports whether request is a simple query that contains text.
func isQuery(request pgproto3.FrontendMessage, text string) bool {
	q, ok := request.(*pgproto3.Query)
	return ok && strings.Contains(q.String, text)
}

// repeatIf repeats the answers to the requests that match.
func repeatIf(match func(pgproto3.FrontendMessage) bool) database.AnswerFault {
	return func(request pgproto3.FrontendMessage, answer []byte) database.Answer {
		if match(request) {
			return database.Repeat(0)(request, answer)
		}
		return database.Answer{First: answer}
	}
}

// faultAtAll has all databases of the group change their answers.
func faultAtAll(d *Dev, f database.AnswerFault) {
	for _, each := range d.Group.Databases {
		each.SetAnswerFault(f)
	}
}

// A repeated answer to a query of the proxy's own must not be taken for the
// answer to the caller's statement, which follows it on the connection.
func TestRepeatedAnswerToOwnQueryIsNotTheCallers(t *testing.T) {
	ctx := context.Background()
	for name, test := range map[string]struct{ repeated, statement, want string }{
		"settings before a write": {"SET search_path", "INSERT INTO t VALUES (1)", "INSERT 0 1"},
		"settings before a read":  {"SET search_path", "SELECT 'own'", "SELECT 1"},
		"status before a read":    {dbconn.StatusStatement, "SELECT 'own'", "SELECT 1"},
		"status before BEGIN":     {dbconn.StatusStatement, "BEGIN", "BEGIN"},
		"ledger before a write":   {"INSERT INTO oleanderflow_ledger", "INSERT INTO t VALUES (1) /*requestId='a1'*/", "INSERT 0 1"},
	} {
		t.Run(name, func(t *testing.T) {
			d := startDev(t, DevSettings{Proxies: 1, ExtraGroupConfig: "writeWait = 2s\n"})
			c := connect(t, d.Proxies[0], "")
			mustExec(t, c, "CREATE TABLE t (id INTEGER)")
			mustExec(t, c, "INSERT INTO t VALUES (0) /*requestId='a0'*/")
			mustExec(t, c, "SET search_path = 'public'")
			faultAtAll(d, repeatIf(func(request pgproto3.FrontendMessage) bool { return isQuery(request, test.repeated) }))
			for range 10 {
				results, err := c.PgConn().Exec(ctx, test.statement).ReadAll()
				if err != nil {
					t.Log(err)
					continue
				}
				require.Len(t, results, 1)
				require.Equal(t, test.want, results[0].CommandTag.String())
				if strings.HasPrefix(test.statement, "SELECT") {
					require.Equal(t, "own", string(results[0].Rows[0][0]))
				}
				if test.statement == "BEGIN" {
					break
				}
			}
		})
	}
}

// The replies to a batch of the extended protocol must be those that its
// messages expect.
func TestRepeatedReplyInABatchIsNoSuccess(t *testing.T) {
	ctx := context.Background()
	for name, match := range map[string]func(pgproto3.FrontendMessage) bool{
		"parse":    func(m pgproto3.FrontendMessage) bool { _, ok := m.(*pgproto3.Parse); return ok },
		"bind":     func(m pgproto3.FrontendMessage) bool { _, ok := m.(*pgproto3.Bind); return ok },
		"describe": func(m pgproto3.FrontendMessage) bool { _, ok := m.(*pgproto3.Describe); return ok },
		"execute":  func(m pgproto3.FrontendMessage) bool { _, ok := m.(*pgproto3.Execute); return ok },
		"sync":     func(m pgproto3.FrontendMessage) bool { _, ok := m.(*pgproto3.Sync); return ok },
	} {
		t.Run(name, func(t *testing.T) {
			d := startDev(t, DevSettings{Proxies: 1})
			c := connect(t, d.Proxies[0], "")
			mustExec(t, c, "CREATE TABLE t (id INTEGER)")
			faultAtAll(d, repeatIf(match))
			var tx pgx.Tx
			for i := range 20 {
				if tx == nil && i%4 == 2 {
					if tx, _ = c.Begin(ctx); tx == nil {
						continue
					}
				}
				results := c.PgConn().ExecParams(ctx, "SELECT $1 AS v", [][]byte{fmt.Append(nil, "own", i)}, []uint32{25}, nil, nil).Read()
				if results.Err != nil {
					require.NotContains(t, results.Err.Error(), "conn closed")
					if tx != nil {
						_ = tx.Rollback(ctx)
						tx = nil
					}
					continue
				}
				require.Len(t, results.Rows, 1)
				require.Equal(t, fmt.Sprint("own", i), string(results.Rows[0][0]))
			}
		})
	}
}

// withoutRows returns a fault that leaves the rows out of the answers to the
// simple queries that contain text.
func withoutRows(t *testing.T, text string) database.AnswerFault {
	return func(request pgproto3.FrontendMessage, answer []byte) database.Answer {
		if !isQuery(request, text) {
			return database.Answer{First: answer}
		}
		var out []byte
		f := pgproto3.NewFrontend(bytes.NewReader(answer), io.Discard)
		for {
			msg, err := f.Receive()
			if err != nil {
				return database.Answer{First: out}
			}
			if _, row := msg.(*pgproto3.DataRow); !row {
				out, err = msg.Encode(out)
				require.NoError(t, err)
			}
		}
	}
}

// A group operation without the row that shows its result has not succeeded.
func TestAnswerWithoutItsRowIsNoStatus(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	target := dbconn.Target{Address: d.Group.Primary().Address(), Database: devGroup, User: "test"}
	control := dbconn.NewControlConn(target)
	defer control.Close()
	ctx := context.Background()
	_, err := control.Status(ctx)
	require.NoError(t, err)
	faultAtAll(d, withoutRows(t, "oleanderflow."))
	_, err = control.Status(ctx)
	require.Error(t, err)
	_, err = control.Fence(ctx, 1, "creation")
	require.Error(t, err)
	faultAtAll(d, nil)
	_, err = control.Status(ctx)
	require.NoError(t, err)
}

// An answer that arrives again once the next statement of the transaction has been
// sent must not be the answer to that statement.
func TestLateRepeatedAnswerInATransactionIsNoSuccess(t *testing.T) {
	ctx := context.Background()
	for _, test := range []struct{ repeated, next string }{
		{"BEGIN", "INSERT INTO t VALUES (1)"},
		{"INSERT INTO t VALUES (2)", "SELECT 'own'"},
		{"SELECT 'theirs'", "INSERT INTO t VALUES (3)"},
		{"SAVEPOINT a", "UPDATE t SET id = 4"},
		{"INSERT INTO t VALUES (5)", "COMMIT"},
	} {
		t.Run(test.repeated+" then "+test.next, func(t *testing.T) {
			d := startDev(t, DevSettings{Proxies: 1})
			c := connect(t, d.Proxies[0], "")
			mustExec(t, c, "CREATE TABLE t (id INTEGER)")
			var earlier []byte
			faultAtAll(d, func(request pgproto3.FrontendMessage, answer []byte) database.Answer {
				switch {
				case isQuery(request, test.repeated):
					earlier = append([]byte(nil), answer...)
				case isQuery(request, test.next):
					return database.Answer{First: earlier, Then: answer, Pause: 100 * time.Millisecond}
				}
				return database.Answer{First: answer}
			})
			if test.repeated != "BEGIN" {
				mustExec(t, c, "BEGIN")
			}
			mustExec(t, c, test.repeated)
			_, err := c.PgConn().Exec(ctx, test.next).ReadAll()
			require.NotEmpty(t, earlier)
			require.Error(t, err)
		})
	}
}

// lengthened returns a fault that adds a byte behind the values of each row.
func lengthened(t *testing.T) database.AnswerFault {
	return func(_ pgproto3.FrontendMessage, answer []byte) database.Answer {
		var out []byte
		f := pgproto3.NewFrontend(bytes.NewReader(answer), io.Discard)
		for {
			msg, err := f.Receive()
			if err != nil {
				return database.Answer{First: out}
			}
			begin := len(out)
			out, err = msg.Encode(out)
			require.NoError(t, err)
			if _, row := msg.(*pgproto3.DataRow); row {
				out = append(out, 'x')
				binary.BigEndian.PutUint32(out[begin+1:], uint32(len(out)-begin-1))
			}
		}
	}
}

// A row that goes on behind its values must not reach a caller without its end.
func TestRowWithBytesBehindItsValuesIsNoSuccess(t *testing.T) {
	ctx := context.Background()
	d := startDev(t, DevSettings{Proxies: 1})
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "BEGIN")
	faultAtAll(d, lengthened(t))
	_, err := c.PgConn().Exec(ctx, "SELECT 'own'").ReadAll()
	require.Error(t, err)
	faultAtAll(d, nil)
	_, err = c.PgConn().Exec(ctx, "ROLLBACK").ReadAll()
	require.NoError(t, err)
	require.Equal(t, 1, queryInt(t, c, "SELECT 1"))
}

// cutAt returns a fault that ends a connection after n bytes of the answer to a
// request that matches, by a reset if n is odd, and the number of answers that it
// has cut.
func cutAt(n int, match func(pgproto3.FrontendMessage) bool) (database.AnswerFault, *atomic.Int64) {
	var cut atomic.Int64
	return func(request pgproto3.FrontendMessage, answer []byte) database.Answer {
		if !match(request) || n >= len(answer) || !cut.CompareAndSwap(0, 1) {
			return database.Answer{First: answer}
		}
		return database.Answer{First: answer[:n], Close: true, Reset: n%2 == 1}
	}, &cut
}

// An answer that is cut at any byte is no success, and the caller is promised that
// nothing is kept only where nothing is.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	ctx := context.Background()
	inserts := func(m pgproto3.FrontendMessage) bool { return isQuery(m, "INSERT INTO t") }
	type run func(c *pgx.Conn, id int) error
	simple := func(c *pgx.Conn, id int) error {
		_, err := c.PgConn().Exec(ctx, fmt.Sprintf("INSERT INTO t VALUES (%d)", id)).ReadAll()
		return err
	}
	extended := func(c *pgx.Conn, id int) error {
		return c.PgConn().ExecParams(ctx, "INSERT INTO t VALUES ($1)", [][]byte{fmt.Append(nil, id)}, nil, nil, nil).Read().Err
	}
	transaction := func(c *pgx.Conn, id int) error {
		for _, query := range []string{"BEGIN", fmt.Sprintf("INSERT INTO t VALUES (%d)", id), "COMMIT"} {
			if _, err := c.PgConn().Exec(ctx, query).ReadAll(); err != nil {
				return err
			}
		}
		return nil
	}
	for name, test := range map[string]struct {
		run   run
		match func(pgproto3.FrontendMessage) bool
		// maySucceed is set if the request is run again after the cut, once in all, or
		// if the cut may be that of a connection of the monitor.
		maySucceed bool
	}{
		"simple write":          {run: simple, match: inserts},
		"status after it":       {run: simple, match: func(m pgproto3.FrontendMessage) bool { return isQuery(m, dbconn.StatusStatement) }, maySucceed: true},
		"execute":               {run: extended, match: func(m pgproto3.FrontendMessage) bool { _, ok := m.(*pgproto3.Execute); return ok }},
		"sync":                  {run: extended, match: func(m pgproto3.FrontendMessage) bool { _, ok := m.(*pgproto3.Sync); return ok }},
		"write in transaction":  {run: transaction, match: inserts},
		"commit of transaction": {run: transaction, match: func(m pgproto3.FrontendMessage) bool { return isQuery(m, "COMMIT") }},
		"write with request id": {run: func(c *pgx.Conn, id int) error {
			_, err := c.PgConn().Exec(ctx, fmt.Sprintf("INSERT INTO t VALUES (%d) /*requestId='%d'*/", id, id)).ReadAll()
			return err
		}, match: inserts, maySucceed: true},
		"commit with request id": {run: func(c *pgx.Conn, id int) error {
			_, err := c.PgConn().Exec(ctx, fmt.Sprintf("INSERT INTO t VALUES (%d) /*requestId='%d'*/", id, id)).ReadAll()
			return err
		}, match: func(m pgproto3.FrontendMessage) bool { return isQuery(m, ";COMMIT") }, maySucceed: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := startDev(t, DevSettings{Proxies: 1})
			mustExec(t, connect(t, d.Proxies[0], ""), "CREATE TABLE t (id INTEGER)")
			mustExec(t, connect(t, d.Proxies[0], ""), "INSERT INTO t VALUES (-1) /*requestId='first'*/")
			reader := connect(t, d.Proxies[0], "")
			cuts, promises := 0, 0
			for n := range 40 {
				c := connect(t, d.Proxies[0], "")
				fault, cut := cutAt(n, test.match)
				d.Group.Primary().SetAnswerFault(fault)
				err := test.run(c, n)
				d.Group.Primary().SetAnswerFault(nil)
				kept := queryInt(t, reader, "SELECT count(*) FROM t WHERE id = $1", n)
				require.LessOrEqual(t, kept, 1)
				if err == nil {
					require.True(t, test.maySucceed || cut.Load() == 0, "success of an answer cut after %d bytes", n)
					require.Equal(t, 1, kept, "cut after %d bytes", n)
				}
				var refused *pgconn.PgError
				if errors.As(err, &refused) && strings.HasPrefix(refused.Detail, "outcome=refused") {
					promises++
					require.Zero(t, kept, "a promise that nothing is kept, cut after %d bytes: %s", n, refused.Message)
				}
				cuts += int(cut.Load())
			}
			t.Logf("%d answers cut, %d promises", cuts, promises)
			require.Positive(t, cuts)
		})
	}
}
