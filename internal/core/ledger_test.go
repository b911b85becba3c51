package core

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

func TestRetriedRequestIsAnsweredFromLedger(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER PRIMARY KEY, v TEXT)")
	insert := "INSERT INTO t (v) VALUES ('fill') RETURNING id /*requestId='fill-1'*/"
	for i, p := range []*Proxy{d.Proxies[0], d.Proxies[1], d.Proxies[2]} {
		c := connect(t, p, "")
		require.Equal(t, 1, queryInt(t, c, insert), "attempt %d", i)
		var id string
		require.NoError(t, c.QueryRow(ctx, insert, pgx.QueryExecModeSimpleProtocol).Scan(&id))
		require.Equal(t, "1", id)
	}
	require.Equal(t, 1, queryInt(t, c, "SELECT count(*) FROM t"))
}

func TestSessionRequestIDAppliesToNextWrite(t *testing.T) {
	d := startDev(t, DevSettings{})
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER)")
	mustExec(t, c, "SET oleanderflow.requestId = 'a'")
	mustExec(t, c, "INSERT INTO t VALUES ($1)", 1)
	mustExec(t, c, "INSERT INTO t VALUES ($1)", 2)
	mustExec(t, c, "SET oleanderflow.requestId = 'a'")
	mustExec(t, c, "INSERT INTO t VALUES ($1)", 1)
	require.Equal(t, 2, queryInt(t, c, "SELECT count(*) FROM t"))
}

func TestFailedRequestCanBeRetried(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER PRIMARY KEY)")
	mustExec(t, c, "INSERT INTO t VALUES (1)")
	_, err := c.Exec(ctx, "INSERT INTO t VALUES (1) /*requestId='b'*/")
	require.Equal(t, "23505", sqlState(err))
	mustExec(t, c, "DELETE FROM t")
	mustExec(t, c, "INSERT INTO t VALUES (1) /*requestId='b'*/")
	require.Equal(t, 1, queryInt(t, c, "SELECT count(*) FROM t"))
}

func TestRequestOutcomeQuery(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER)")
	mustExec(t, c, "INSERT INTO t VALUES (1) /*requestId='ran'*/")
	queryOutcome := func(id string) string {
		c := connect(t, d.Proxies[2], "&oleanderflow.requestId="+id)
		var text string
		require.NoError(t, c.QueryRow(ctx, "SHOW oleanderflow.outcome").Scan(&text))
		return text
	}
	require.Equal(t, "ran: INSERT 0 1", queryOutcome("ran"))
	require.Equal(t, "did not run", queryOutcome("never"))
	_, err := c.Exec(ctx, "INSERT INTO t VALUES (2) /*requestId='never'*/")
	require.Equal(t, outcome.CodeRefused, sqlState(err), "a request that was reported as not run must not run later")
	require.Equal(t, 1, queryInt(t, c, "SELECT count(*) FROM t"))
}

func TestTransactionWithARequestIDRunsOnce(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER)")
	run := func() error {
		tx, err := c.BeginTx(ctx, pgx.TxOptions{BeginQuery: "BEGIN /*requestId='tx-1'*/"})
		if err != nil {
			return err
		}
		defer func() { _ = tx.Rollback(ctx) }()
		if _, err := tx.Exec(ctx, "INSERT INTO t VALUES (1)"); err != nil {
			return err
		}
		return tx.Commit(ctx)
	}
	require.NoError(t, run())
	require.Equal(t, outcome.CodeAlreadyRan, sqlState(run()))
	require.Equal(t, 1, queryInt(t, c, "SELECT count(*) FROM t"))
}

// While the primary is lost, requests with an id are retried by the proxy
// itself and, through the same proxy, by the caller. Each must run exactly once.
func TestRequestIDsAcrossAFailover(t *testing.T) {
	d := startDev(t, DevSettings{})
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id TEXT)")
	mustExec(t, c, "INSERT INTO t VALUES ('warm') /*requestId='warm'*/")
	const writers, writesPerWriter = 6, 30
	done := make(chan error, writers)
	for n := range writers {
		go func() {
			for i := range writesPerWriter {
				id := fmt.Sprintf("w%d-%d", n, i)
				if err := retryUntilAcknowledged(d.Proxies[(n+i)%3], id); err != nil {
					done <- err
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			done <- nil
		}()
	}
	time.Sleep(60 * time.Millisecond)
	d.Group.Primary().Stop()
	for range writers {
		require.NoError(t, <-done)
	}
	require.Equal(t, writers*writesPerWriter, queryInt(t, connect(t, d.Proxies[1], ""), "SELECT count(*) FROM t WHERE id <> 'warm'"))
	require.Equal(t, writers*writesPerWriter, queryInt(t, connect(t, d.Proxies[1], ""), "SELECT count(DISTINCT id) FROM t WHERE id <> 'warm'"))
}

// retryUntilAcknowledged repeats one write with the same request id until it
// succeeds. It returns the last error if none succeeds within 30 seconds.
func retryUntilAcknowledged(p *Proxy, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var lastErr error
	for ctx.Err() == nil {
		c, err := pgx.Connect(ctx, "postgres://shop@"+p.Address()+"/shop1?sslmode=disable")
		if err == nil {
			_, err = c.Exec(ctx, "INSERT INTO t VALUES ('"+id+"') /*requestId='"+id+"'*/")
			_ = c.Close(ctx)
		}
		if err == nil {
			return nil
		}
		lastErr = err
	}
	return lastErr
}

// A repeat whose rows were too long to keep is told so: otherwise an answer of no
// rows would look like the whole one.
func TestRepeatTellsThatItsRowsWereNotKept(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	config, err := pgx.ParseConfig("postgres://shop@" + d.Proxies[0].Address() + "/shop1?sslmode=disable")
	require.NoError(t, err)
	var notices []*pgconn.Notice
	config.OnNotice = func(_ *pgconn.PgConn, n *pgconn.Notice) { notices = append(notices, n) }
	c, err := pgx.ConnectConfig(ctx, config)
	require.NoError(t, err)
	defer c.Close(ctx)
	mustExec(t, c, "CREATE TABLE t (v TEXT)")
	for name, c2 := range map[string]struct {
		size   int
		detail string
	}{"short": {10, ""}, "long": {maxTestRow, "Its rows were longer than 16384 bytes and were not kept."}} {
		insert := fmt.Sprintf("INSERT INTO t VALUES ('%s') RETURNING v /*requestId='%s'*/", strings.Repeat("x", c2.size), name)
		notices = nil
		mustExec(t, c, insert)
		require.Empty(t, notices)
		mustExec(t, c, insert)
		require.Len(t, notices, 1)
		require.Equal(t, c2.detail, notices[0].Detail, name)
	}
}

// maxTestRow is the length in bytes of a row that the ledger does not keep.
const maxTestRow = 20 << 10

// A request id with a backslash and a quote is data in every statement on the
// ledger.
func TestRequestIDIsQuoted(t *testing.T) {
	d := startDev(t, DevSettings{})
	const id = `a\'; DROP TABLE t; --`
	mustExec(t, connect(t, d.Proxies[0], ""), "CREATE TABLE t (id INTEGER)")
	for range 2 {
		c := connect(t, d.Proxies[0], "&oleanderflow.requestId="+url.PathEscape(id))
		mustExec(t, c, "INSERT INTO t VALUES (1)")
	}
	c := connect(t, d.Proxies[0], "")
	require.Equal(t, 1, queryInt(t, c, "SELECT count(*) FROM t"))
	require.Equal(t, 1, queryInt(t, c, "SELECT count(*) FROM oleanderflow_ledger WHERE id = $1", id))
}

// A request id that no database can store must not be tried until the time limit.
func TestRequestIDThatCannotBeStoredIsRefused(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1, ExtraGroupConfig: "writeWait = 2s\n"})
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER)")
	for _, id := range []string{"a%00b", "a%ff"} {
		_, err := c.Exec(context.Background(), "INSERT INTO t VALUES (1) /*requestId='"+id+"'*/")
		require.Equal(t, outcome.CodeInvalid, sqlState(err), id)
	}
	_, err := c.Exec(context.Background(), "SET oleanderflow.requestId = 'a\xff'")
	require.Equal(t, outcome.CodeInvalid, sqlState(err))
	require.Zero(t, queryInt(t, c, "SELECT count(*) FROM t"))
}
