package core

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

func TestRetriedRequestIsAnsweredFromLedger(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	execute(t, c, "CREATE TABLE t (id INTEGER PRIMARY KEY, v TEXT)")
	insert := "INSERT INTO t (v) VALUES ('fill') RETURNING id /*requestId='fill-1'*/"
	for i, p := range []*Proxy{d.Proxies[0], d.Proxies[1], d.Proxies[2]} {
		c := connect(t, p, "")
		require.Equal(t, 1, number(t, c, insert), "try %d", i)
		var id string
		require.NoError(t, c.QueryRow(ctx, insert, pgx.QueryExecModeSimpleProtocol).Scan(&id))
		require.Equal(t, "1", id)
	}
	require.Equal(t, 1, number(t, c, "SELECT count(*) FROM t"))
}

func TestSessionRequestIDAppliesToNextWrite(t *testing.T) {
	d := startDev(t, DevSettings{})
	c := connect(t, d.Proxies[0], "")
	execute(t, c, "CREATE TABLE t (id INTEGER)")
	execute(t, c, "SET oleanderflow.requestId = 'a'")
	execute(t, c, "INSERT INTO t VALUES ($1)", 1)
	execute(t, c, "INSERT INTO t VALUES ($1)", 2)
	execute(t, c, "SET oleanderflow.requestId = 'a'")
	execute(t, c, "INSERT INTO t VALUES ($1)", 1)
	require.Equal(t, 2, number(t, c, "SELECT count(*) FROM t"))
}

func TestFailedRequestCanBeRetried(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	execute(t, c, "CREATE TABLE t (id INTEGER PRIMARY KEY)")
	execute(t, c, "INSERT INTO t VALUES (1)")
	_, err := c.Exec(ctx, "INSERT INTO t VALUES (1) /*requestId='b'*/")
	require.Equal(t, "23505", code(err))
	execute(t, c, "DELETE FROM t")
	execute(t, c, "INSERT INTO t VALUES (1) /*requestId='b'*/")
	require.Equal(t, 1, number(t, c, "SELECT count(*) FROM t"))
}

func TestRequestOutcomeQuery(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	execute(t, c, "CREATE TABLE t (id INTEGER)")
	execute(t, c, "INSERT INTO t VALUES (1) /*requestId='ran'*/")
	ask := func(id string) string {
		c := connect(t, d.Proxies[2], "&oleanderflow.requestId="+id)
		var text string
		require.NoError(t, c.QueryRow(ctx, "SHOW oleanderflow.outcome").Scan(&text))
		return text
	}
	require.Equal(t, "ran: INSERT 0 1", ask("ran"))
	require.Equal(t, "did not run", ask("never"))
	_, err := c.Exec(ctx, "INSERT INTO t VALUES (2) /*requestId='never'*/")
	require.Equal(t, outcome.CodeRefused, code(err), "a request that was said not to have run must not run later")
	require.Equal(t, 1, number(t, c, "SELECT count(*) FROM t"))
}

func TestTransactionWithARequestIDRunsOnce(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	execute(t, c, "CREATE TABLE t (id INTEGER)")
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
	require.Equal(t, outcome.CodeAlreadyRan, code(run()))
	require.Equal(t, 1, number(t, c, "SELECT count(*) FROM t"))
}

// Requests with ids are sent again by the proxy itself while the primary is
// lost, and by the caller through other proxies. Each runs once.
func TestRequestIDsAcrossAFailover(t *testing.T) {
	d := startDev(t, DevSettings{})
	c := connect(t, d.Proxies[0], "")
	execute(t, c, "CREATE TABLE t (id TEXT)")
	execute(t, c, "INSERT INTO t VALUES ('warm') /*requestId='warm'*/")
	const writers, each = 6, 30
	done := make(chan error, writers)
	for n := range writers {
		go func() {
			for i := range each {
				id := fmt.Sprintf("w%d-%d", n, i)
				if err := writeUntilAnswered(d.Proxies[(n+i)%3], id); err != nil {
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
	require.Equal(t, writers*each, number(t, connect(t, d.Proxies[1], ""), "SELECT count(*) FROM t WHERE id <> 'warm'"))
	require.Equal(t, writers*each, number(t, connect(t, d.Proxies[1], ""), "SELECT count(DISTINCT id) FROM t WHERE id <> 'warm'"))
}

// writeUntilAnswered repeats one request with the same id.
func writeUntilAnswered(p *Proxy, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var last error
	for ctx.Err() == nil {
		c, err := pgx.Connect(ctx, "postgres://shop@"+p.Address()+"/shop1?sslmode=disable")
		if err == nil {
			_, err = c.Exec(ctx, "INSERT INTO t VALUES ('"+id+"') /*requestId='"+id+"'*/")
			_ = c.Close(ctx)
		}
		if err == nil {
			return nil
		}
		last = err
	}
	return last
}
