package core

import (
	"bytes"
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/lib/pq"
	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/outcome"
	"github.com/oleanderflow/oleanderflow/pkg/token"
)

func mustExec(t *testing.T, c *pgx.Conn, query string, args ...any) {
	t.Helper()
	_, err := c.Exec(context.Background(), query, args...)
	require.NoError(t, err)
}

// sqlState returns the SQLSTATE of a server error, or the empty string for any
// other error.
func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

func queryInt(t *testing.T, c *pgx.Conn, query string, args ...any) int {
	t.Helper()
	var n int
	require.NoError(t, c.QueryRow(context.Background(), query, args...).Scan(&n))
	return n
}

func TestErrorInTransactionRollsBack(t *testing.T) {
	d := startDev(t, DevSettings{})
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER PRIMARY KEY)")
	ctx := context.Background()
	tx, err := c.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO t VALUES (1)")
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO t VALUES (1)")
	require.Equal(t, "23505", sqlState(err))
	_, err = tx.Exec(ctx, "SELECT 1")
	require.Equal(t, "25P02", sqlState(err))
	require.ErrorIs(t, tx.Commit(ctx), pgx.ErrTxCommitRollback)
	require.Equal(t, 0, queryInt(t, c, "SELECT count(*) FROM t"))
}

func TestSavepoints(t *testing.T) {
	d := startDev(t, DevSettings{})
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER PRIMARY KEY)")
	ctx := context.Background()
	tx, err := c.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO t VALUES (1)")
	require.NoError(t, err)
	nested, err := tx.Begin(ctx)
	require.NoError(t, err)
	_, err = nested.Exec(ctx, "INSERT INTO t VALUES (2)")
	require.NoError(t, err)
	require.NoError(t, nested.Rollback(ctx))
	require.NoError(t, tx.Commit(ctx))
	require.Equal(t, 1, queryInt(t, c, "SELECT count(*) FROM t"))
}

func TestPreparedStatementsSurvivePooling(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER PRIMARY KEY, v TEXT)")
	_, err := c.Prepare(ctx, "put", "INSERT INTO t (id, v) VALUES ($1, $2)")
	require.NoError(t, err)
	_, err = c.Prepare(ctx, "get", "SELECT v FROM t WHERE id = $1")
	require.NoError(t, err)
	others := make([]*pgx.Conn, 6)
	for i := range others {
		others[i] = connect(t, d.Proxies[0], "")
	}
	for i := range 30 {
		// Another session's transaction takes the connection that was
		// used last, so that c's statements run on a different one.
		tx, err := others[i%len(others)].Begin(ctx)
		require.NoError(t, err)
		_, err = c.Exec(ctx, "put", i, fmt.Sprint("v", i))
		require.NoError(t, err)
		var v string
		require.NoError(t, c.QueryRow(ctx, "get", i).Scan(&v))
		require.Equal(t, fmt.Sprint("v", i), v)
		require.NoError(t, tx.Rollback(ctx))
	}
	require.NoError(t, c.Deallocate(ctx, "get"))
	_, err = c.Exec(ctx, "get", 1)
	require.Error(t, err)
}

func TestPipelineOfBatches(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER PRIMARY KEY, v TEXT)")
	batch := &pgx.Batch{}
	for i := range 20 {
		batch.Queue("INSERT INTO t (id, v) VALUES ($1, $2)", i, "x")
		batch.Queue("SELECT id FROM t WHERE id = $1", i)
	}
	results := c.SendBatch(ctx, batch)
	for i := range 20 {
		_, err := results.Exec()
		require.NoError(t, err)
		var id int
		require.NoError(t, results.QueryRow().Scan(&id))
		require.Equal(t, i, id)
	}
	require.NoError(t, results.Close())
}

func TestPipelineModeWithSeveralSyncs(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "").PgConn()
	p := c.StartPipeline(ctx)
	p.SendQueryParams("SELECT 1", nil, nil, nil, nil)
	require.NoError(t, p.Sync())
	p.SendQueryParams("SELECT broken broken", nil, nil, nil, nil)
	p.SendQueryParams("SELECT 2", nil, nil, nil, nil)
	require.NoError(t, p.Sync())
	p.SendQueryParams("SELECT 3", nil, nil, nil, nil)
	require.NoError(t, p.Sync())
	var got []string
	failed := 0
	for syncs := 0; syncs < 3; {
		results, err := p.GetResults()
		if err != nil {
			failed++
			continue
		}
		switch r := results.(type) {
		case *pgconn.ResultReader:
			rows := r.Read()
			if rows.Err != nil {
				failed++
				continue
			}
			got = append(got, string(rows.Rows[0][0]))
		case *pgconn.PipelineSync:
			syncs++
		}
	}
	require.NoError(t, p.Close())
	require.Equal(t, []string{"1", "3"}, got)
	require.Equal(t, 1, failed)
}

func TestPortalWithRowLimit(t *testing.T) {
	d := startDev(t, DevSettings{})
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER PRIMARY KEY)")
	for i := range 10 {
		mustExec(t, c, "INSERT INTO t VALUES ($1)", i)
	}
	hijacked, err := c.PgConn().Hijack()
	require.NoError(t, err)
	defer hijacked.Conn.Close()
	f := hijacked.Frontend
	f.Send(&pgproto3.Parse{Query: "SELECT id FROM t ORDER BY id"})
	f.Send(&pgproto3.Bind{DestinationPortal: "p"})
	f.Send(&pgproto3.Execute{Portal: "p", MaxRows: 3})
	f.Send(&pgproto3.Flush{})
	require.NoError(t, f.Flush())
	require.Equal(t, []string{"ParseComplete", "BindComplete", "DataRow", "DataRow", "DataRow", "PortalSuspended"}, receiveTypes(t, f, 6))
	f.Send(&pgproto3.Execute{Portal: "p", MaxRows: 100})
	f.Send(&pgproto3.Sync{})
	require.NoError(t, f.Flush())
	got := receiveTypes(t, f, 9)
	require.Equal(t, "CommandComplete", got[7])
	require.Equal(t, "ReadyForQuery", got[8])
}

// receiveTypes receives messages until it has n, ParameterStatus not counted,
// and returns their type names.
func receiveTypes(t *testing.T, f *pgproto3.Frontend, n int) []string {
	t.Helper()
	var names []string
	for len(names) < n {
		msg, err := f.Receive()
		require.NoError(t, err)
		name := strings.TrimPrefix(fmt.Sprintf("%T", msg), "*pgproto3.")
		if name != "ParameterStatus" {
			names = append(names, name)
		}
	}
	return names
}

func TestCopyInBothDirections(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER, v TEXT)")
	rows := strings.Repeat("1\tone\n2\t\\N\n", 500)
	tag, err := c.PgConn().CopyFrom(ctx, strings.NewReader(rows), "COPY t (id, v) FROM STDIN")
	require.NoError(t, err)
	require.Equal(t, int64(1000), tag.RowsAffected())
	var out bytes.Buffer
	other := connect(t, d.Proxies[1], "")
	tag, err = other.PgConn().CopyTo(ctx, &out, "COPY t TO STDOUT")
	require.NoError(t, err)
	require.Equal(t, int64(1000), tag.RowsAffected())
	require.Equal(t, rows, out.String())
	_, err = c.PgConn().CopyFrom(ctx, strings.NewReader("x"), "COPY missing FROM STDIN")
	require.Error(t, err)
	require.Equal(t, 1000, queryInt(t, c, "SELECT count(*) FROM t"))
}

func TestCancelThroughAnotherProxy(t *testing.T) {
	d := startDev(t, DevSettings{})
	c := connect(t, d.Proxies[0], "")
	failed := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "SELECT pg_sleep(20)")
		failed <- err
	}()
	awaitInUse(t, d.Proxies[0], 1)
	requireCancelled(t, d.Proxies[2], c, failed)
	require.Equal(t, 1, queryInt(t, c, "SELECT 1"))
}

// requireCancelled repeats the cancel request, for up to five seconds, until
// c's statement fails with SQLSTATE 57014 (query_canceled). A cancel request
// that arrives before the statement has no effect.
func requireCancelled(t *testing.T, through *Proxy, c *pgx.Conn, failed <-chan error) {
	t.Helper()
	for range 50 {
		sendCancel(t, through.Address(), c.PgConn().PID(), c.PgConn().SecretKey())
		select {
		case err := <-failed:
			require.Equal(t, "57014", sqlState(err))
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
	require.Fail(t, "the statement was not cancelled")
}

// A request that waits for a primary can be cancelled, and must not run
// afterwards.
func TestCancelOfAWaitingRequest(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER)")
	for _, database := range d.Group.Databases {
		database.Stop()
	}
	failed := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "INSERT INTO t VALUES (1)")
		failed <- err
	}()
	time.Sleep(50 * time.Millisecond)
	requireCancelled(t, d.Proxies[0], c, failed)
	for _, database := range d.Group.Databases {
		database.Heal()
	}
	require.Equal(t, 0, queryInt(t, c, "SELECT count(*) FROM t"))
}

func TestCancelWithWrongSecretHasNoEffect(t *testing.T) {
	d := startDev(t, DevSettings{})
	c := connect(t, d.Proxies[0], "")
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "SELECT pg_sleep(0.3)")
		done <- err
	}()
	awaitInUse(t, d.Proxies[0], 1)
	sendCancel(t, d.Proxies[0].Address(), c.PgConn().PID(), []byte{1, 2, 3, 4})
	require.NoError(t, <-done)
}

func TestSessionBoundStatementsAreRefused(t *testing.T) {
	d := startDev(t, DevSettings{})
	c := connect(t, d.Proxies[0], "")
	ctx := context.Background()
	for _, query := range []string{
		"LISTEN orders", "CREATE TEMP TABLE x (id INTEGER)", "SELECT pg_advisory_lock(1)", "PREPARE p AS SELECT 1",
		"SET role = 'x'", "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
	} {
		_, err := c.Exec(ctx, query)
		require.Equal(t, outcome.CodeUnsupported, sqlState(err), query)
	}
	require.Equal(t, 1, queryInt(t, c, "SELECT 1"))
}

// Settings follow their session over the connections that it shares with others,
// and end with RESET ALL and DISCARD ALL.
func TestSettingsFollowTheirSession(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	with, without := connect(t, d.Proxies[0], ""), connect(t, d.Proxies[0], "")
	value := func(c *pgx.Conn, setting string) string {
		var text string
		require.NoError(t, c.QueryRow(context.Background(), "SHOW "+setting, pgx.QueryExecModeSimpleProtocol).Scan(&text))
		return text
	}
	for _, text := range []string{"public", "a''b", `a\`} {
		mustExec(t, with, "SET search_path = '"+text+"'")
		mustExec(t, with, "SET TIME ZONE 'Asia/Tokyo'")
		for range 5 {
			require.Equal(t, strings.ReplaceAll(text, "''", "'"), value(with, "search_path"))
			require.Equal(t, "Asia/Tokyo", value(with, "timezone"))
			require.Empty(t, value(without, "search_path"), "the setting of another session")
			require.Empty(t, value(without, "timezone"))
		}
	}
	for _, end := range []string{"RESET ALL", "DISCARD ALL"} {
		mustExec(t, with, "SET search_path = 'public'")
		require.Equal(t, "public", value(with, "search_path"))
		mustExec(t, with, end)
		require.Empty(t, value(with, "search_path"), end)
	}
	_, err := with.Exec(context.Background(), "SELECT 1", pgx.QueryExecModeSimpleProtocol)
	require.NoError(t, err)
}

// A SET among other statements is not tracked. It must not reach other sessions
// over the connection that it ran on.
func TestUntrackedSettingStaysInItsRequest(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	with, without := connect(t, d.Proxies[0], ""), connect(t, d.Proxies[0], "")
	for range 5 {
		_, err := with.PgConn().Exec(ctx, "SET search_path = 'stray'; SELECT 1").ReadAll()
		require.NoError(t, err)
		var text string
		require.NoError(t, without.QueryRow(ctx, "SHOW search_path").Scan(&text))
		require.Empty(t, text)
	}
}

// A value given at startup is data, whatever it holds.
func TestStartupSettingIsQuoted(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	const text = `a\'; DROP TABLE t; --`
	c := connect(t, d.Proxies[0], "&search_path="+url.PathEscape(text))
	mustExec(t, c, "CREATE TABLE t (id INTEGER)")
	var got string
	require.NoError(t, c.QueryRow(context.Background(), "SHOW search_path").Scan(&got))
	require.Equal(t, text, got)
	require.Zero(t, queryInt(t, c, "SELECT count(*) FROM t"))
}

func TestProxySettingsApplyInsideTransaction(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	tx, err := c.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "SET oleanderflow.maxAge = '3s'")
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "CREATE TABLE t (id INTEGER)")
	require.NoError(t, err, "the setting ended the transaction")
	require.NoError(t, tx.Commit(ctx))
	var age string
	require.NoError(t, c.QueryRow(ctx, "SHOW oleanderflow.maxAge").Scan(&age))
	require.Equal(t, "3s", age)
}

func TestTokenCarriesReadFloor(t *testing.T) {
	d := startDev(t, DevSettings{Lag: 300})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER)")
	mustExec(t, c, "INSERT INTO t VALUES (1)")
	text := c.PgConn().ParameterStatus("oleanderflow.token")
	parsed, err := token.Parse(text)
	require.NoError(t, err)
	require.Equal(t, "shop1", parsed.Group)
	for _, parameters := range []string{"&oleanderflow.token=" + text, "&options=-c%20oleanderflow.token%3D" + text} {
		other := connect(t, d.Proxies[1], parameters)
		require.Equal(t, 1, queryInt(t, other, "SELECT count(*) FROM t /*maxAge='10s'*/"))
	}
	other := connect(t, d.Proxies[2], "&oleanderflow.maxAge=10s")
	mustExec(t, other, "SET oleanderflow.token = '"+text+"'")
	require.Equal(t, text, other.PgConn().ParameterStatus("oleanderflow.token"), "the proxy did not report the raised read floor")
	require.Equal(t, 1, queryInt(t, other, "SELECT count(*) FROM t"))
	var shown string
	require.NoError(t, other.QueryRow(ctx, "SHOW oleanderflow.token").Scan(&shown))
	require.Equal(t, text, shown)
}

func TestInvalidCallerSettingsAreRefused(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	for _, query := range []string{
		"SET oleanderflow.token = 'of1:shop1:1/2:0'", "SET oleanderflow.maxAge = 'soon'", "SET oleanderflow.speed = '1'",
		"SELECT 1 /*maxAge='soon'*/",
	} {
		_, err := c.Exec(ctx, query)
		require.Equal(t, outcome.CodeInvalid, sqlState(err), query)
	}
	foreign := token.Token{Group: "shop9"}.String()
	_, err := c.Exec(ctx, "SET oleanderflow.token = '"+foreign+"'")
	require.ErrorContains(t, err, "of group shop9, not of shop1")
	for _, parameters := range []string{"&oleanderflow.token=broken", "&oleanderflow.maxAge=-1s", "&options=-x"} {
		_, err := pgx.Connect(ctx, "postgres://shop@"+d.Proxies[0].Address()+"/shop1?sslmode=disable"+parameters)
		require.Equal(t, outcome.CodeInvalid, sqlState(err), parameters)
	}
	_, err = pgx.Connect(ctx, "postgres://shop@"+d.Proxies[0].Address()+"/nothing?sslmode=disable")
	require.Equal(t, outcome.CodeNoGroup, sqlState(err))
}

// A write inside a WITH query is taken for a read and routed to a replica,
// which refuses it. It must then run exactly once on the primary.
func TestWriteThatLooksLikeAReadRunsOnceOnThePrimary(t *testing.T) {
	d := startDev(t, DevSettings{})
	c := connect(t, d.Proxies[0], "&oleanderflow.maxAge=5s")
	mustExec(t, c, "CREATE TABLE t (id INTEGER)")
	time.Sleep(50 * time.Millisecond)
	mustExec(t, c, "WITH x AS (SELECT 7 AS id) INSERT INTO t SELECT id FROM x")
	require.Equal(t, 1, queryInt(t, c, "SELECT count(*) FROM t"))
}

// A caller gives up while its statement runs. The late answer must not reach
// another caller.
func TestLateAnswerReachesNoOtherCaller(t *testing.T) {
	d := startDev(t, DevSettings{})
	for i := range 12 {
		gone := connect(t, d.Proxies[0], "")
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		_, err := gone.Exec(ctx, "SELECT pg_sleep(0.5)")
		cancel()
		require.Error(t, err)
		other := connect(t, d.Proxies[0], "")
		for range 5 {
			var v string
			require.NoError(t, other.QueryRow(context.Background(), "SELECT $1 AS v", fmt.Sprint("mine", i)).Scan(&v))
			require.Equal(t, fmt.Sprint("mine", i), v)
		}
	}
}

func TestLibPQSuite(t *testing.T) {
	d := startDev(t, DevSettings{})
	connector, err := pq.NewConnector("postgres://shop@" + d.Proxies[1].Address() + "/shop1?sslmode=disable")
	require.NoError(t, err)
	db := sql.OpenDB(connector)
	defer db.Close()
	_, err = db.Exec("CREATE TABLE t (id INTEGER PRIMARY KEY, v TEXT)")
	require.NoError(t, err)
	statement, err := db.Prepare("INSERT INTO t (id, v) VALUES ($1, $2)")
	require.NoError(t, err)
	for i := range 20 {
		_, err := statement.Exec(i, "x")
		require.NoError(t, err)
	}
	require.NoError(t, statement.Close())
	rows, err := db.Query("SELECT id, v FROM t WHERE id < $1 ORDER BY id /*maxAge='1s'*/", 10)
	require.NoError(t, err)
	count := 0
	for rows.Next() {
		var id int
		var v string
		require.NoError(t, rows.Scan(&id, &v))
		require.Equal(t, count, id)
		count++
	}
	require.NoError(t, rows.Err())
	require.Equal(t, 10, count)
	tx, err := db.Begin()
	require.NoError(t, err)
	_, err = tx.Exec("DELETE FROM t WHERE id = $1", 1)
	require.NoError(t, err)
	require.NoError(t, tx.Rollback())
	var n int
	require.NoError(t, db.QueryRow("SELECT count(*) FROM t").Scan(&n))
	require.Equal(t, 20, n)
	_, err = db.Exec("INSERT INTO t VALUES (1, 'again')")
	var e *pq.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, "23505", string(e.Code))
}

// A transaction may prepare more statements than a connection keeps.
func TestTransactionWithManyStatementsEnds(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	tx, err := c.Begin(ctx)
	require.NoError(t, err)
	for i := range 600 {
		result := c.PgConn().ExecParams(ctx, fmt.Sprint("SELECT ", i), nil, nil, nil, nil).Read()
		require.NoError(t, result.Err, i)
	}
	require.NoError(t, tx.Commit(ctx))
}

// A transaction may make a temporary table, which its connection keeps.
func TestTemporaryTableReachesNoOtherSession(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	c, other := connect(t, d.Proxies[0], ""), connect(t, d.Proxies[0], "")
	tx, err := c.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "CREATE TEMP TABLE mine (id INTEGER)")
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO mine VALUES (1)")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(ctx))
	var n int
	require.Equal(t, "42P01", sqlState(other.QueryRow(ctx, "SELECT count(*) FROM mine").Scan(&n)))
}

// During COPY FROM STDIN a database drops Sync messages, so that one more follows
// the data. Each caller's answers must stay its own after it.
func TestCopyInOfTheExtendedProtocol(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	mustExec(t, connect(t, d.Proxies[0], ""), "CREATE TABLE t (id INTEGER)")
	for name, end := range map[string]pgproto3.FrontendMessage{
		"done": &pgproto3.CopyDone{}, "failed": &pgproto3.CopyFail{Message: "not now"},
	} {
		t.Run(name, func(t *testing.T) {
			c, f := startRawSession(t, d.Proxies[0])
			require.NoError(t, c.SetDeadline(time.Now().Add(3*time.Second)))
			f.Send(&pgproto3.Parse{Query: "COPY t FROM STDIN"})
			f.Send(&pgproto3.Bind{})
			f.Send(&pgproto3.Execute{})
			f.Send(&pgproto3.Sync{})
			require.NoError(t, f.Flush())
			require.Equal(t, []string{"ParseComplete", "BindComplete", "CopyInResponse"}, receiveTypes(t, f, 3))
			f.Send(&pgproto3.CopyData{Data: []byte("1\n")})
			f.Send(end)
			f.Send(&pgproto3.Sync{})
			f.Send(&pgproto3.Query{String: "SELECT 'own'"})
			require.NoError(t, f.Flush())
			want := "CommandComplete"
			if name == "failed" {
				want = "ErrorResponse"
			}
			require.Equal(t, []string{want, "ReadyForQuery", "RowDescription", "DataRow", "CommandComplete", "ReadyForQuery"}, receiveTypes(t, f, 6))
		})
	}
	require.Equal(t, 1, queryInt(t, connect(t, d.Proxies[0], ""), "SELECT count(*) FROM t"))
}

// After an error the proxy, like a database, answers nothing before Sync, even if
// the batch up to the error has ended with Flush.
func TestNothingIsAnsweredBetweenErrorAndSync(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	_, f := startRawSession(t, d.Proxies[0])
	f.Send(&pgproto3.Parse{Query: "SELECT broken broken"})
	f.Send(&pgproto3.Flush{})
	f.Send(&pgproto3.Parse{Query: "SET search_path = 'mine'"})
	f.Send(&pgproto3.Bind{})
	f.Send(&pgproto3.Execute{})
	f.Send(&pgproto3.Sync{})
	f.Send(&pgproto3.Query{String: "SHOW search_path"})
	require.NoError(t, f.Flush())
	require.Equal(t, []string{"ErrorResponse", "ReadyForQuery", "RowDescription"}, receiveTypes(t, f, 3))
	msg, err := f.Receive()
	require.NoError(t, err)
	require.Empty(t, string(msg.(*pgproto3.DataRow).Values[0]))
}
