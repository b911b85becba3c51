package core

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	dbconn "github.com/oleanderflow/oleanderflow/internal/connection/database"
)

// firstValue sends a query on a pooled connection and returns the first column
// of its last row.
func firstValue(t *testing.T, c *dbconn.Conn, query string) string {
	t.Helper()
	c.Frontend.Send(&pgproto3.Query{String: query})
	require.NoError(t, c.Frontend.Flush())
	var value string
	for {
		msg, err := c.Receive()
		require.NoError(t, err)
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			value = string(m.Values[0])
		case *pgproto3.ReadyForQuery:
			return value
		}
	}
}

// A connection is released to the pool before its answer has been read. With
// StateUnknown set, the pool must close it, so that the next request gets its
// own answer. The second case leaves StateUnknown unset and shows that the next
// request would otherwise read the outstanding answer.
func TestConnectionInUnknownStateIsNotReused(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	for _, stateUnknown := range []bool{true, false} {
		target := dbconn.Target{Address: d.Group.Primary().Address(), Database: devGroup, User: "test"}
		pool := dbconn.NewPool(target, dbconn.PoolSettings{MaxConnections: 1, MaxQueue: 10})
		first, err := pool.Acquire(ctx, dbconn.NoClass)
		require.NoError(t, err)
		first.Frontend.Send(&pgproto3.Query{String: "SELECT pg_sleep(0.2)"})
		require.NoError(t, first.Frontend.Flush())
		first.StateUnknown = stateUnknown
		pool.Release(first)
		second, err := pool.Acquire(ctx, dbconn.NoClass)
		require.NoError(t, err)
		gotOwn := firstValue(t, second, "SELECT 'own'") == "own"
		require.Equal(t, stateUnknown, gotOwn, "the second request must get its own answer exactly when StateUnknown is set on the first connection")
		second.StateUnknown = true
		pool.Release(second)
		pool.Close()
	}
}

// A connection on which a transaction is open must not serve the next request, whose
// statements would run in that transaction.
func TestConnectionInATransactionIsNotReused(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	target := dbconn.Target{Address: d.Group.Primary().Address(), Database: devGroup, User: "test"}
	pool := dbconn.NewPool(target, dbconn.PoolSettings{MaxConnections: 1, MaxQueue: 10})
	defer pool.Close()
	for _, inTransaction := range []bool{true, false} {
		first, err := pool.Acquire(ctx, dbconn.NoClass)
		require.NoError(t, err)
		first.InTransaction = inTransaction
		pool.Release(first)
		second, err := pool.Acquire(ctx, dbconn.NoClass)
		require.NoError(t, err)
		require.Equal(t, inTransaction, first != second)
		pool.Release(second)
	}
}

// When the new primary is known after a failover, the proxies send all waiting
// writes to it at once. Each of the three proxies must stay within its third of
// the group's limit of 50 connections to a database.
func TestWaitingWritesAfterFailoverStayWithinConnectionLimit(t *testing.T) {
	d := startDev(t, DevSettings{ExtraGroupConfig: "homes = 0\n"})
	mustExec(t, connect(t, d.Proxies[0], ""), "CREATE TABLE t (id INTEGER)")
	const callers = 240
	done := make(chan error, callers)
	d.Group.Primary().Stop()
	for i := range callers {
		c := connect(t, d.Proxies[i%3], "")
		go func() {
			_, err := c.Exec(context.Background(), "INSERT INTO t VALUES (1)")
			done <- err
		}()
	}
	maxInUse := 0
	for answered := 0; answered < callers; {
		select {
		case err := <-done:
			require.NoError(t, err)
			answered++
		case <-time.After(time.Millisecond):
		}
		inUse := 0
		for _, p := range d.Proxies {
			for _, pool := range p.Serving(devGroup).Pools {
				open, idle, _ := pool.Stats()
				inUse = max(inUse, open-idle)
			}
		}
		maxInUse = max(maxInUse, inUse)
	}
	t.Logf("%d callers waited, at most %d connections in use at once at one proxy", callers, maxInUse)
	require.LessOrEqual(t, maxInUse, 50/3)
	require.Equal(t, callers, queryInt(t, connect(t, d.Proxies[1], ""), "SELECT count(*) FROM t"))
}

// BenchmarkDurability measures the time of a write under each durability
// setting.
func BenchmarkDurability(b *testing.B) {
	for _, durability := range []string{"group", "primary"} {
		b.Run(durability, func(b *testing.B) {
			d := startDev(b, DevSettings{ExtraGroupConfig: "durability = " + durability + "\n", ReplicationDelay: 500 * time.Microsecond})
			ctx := context.Background()
			c := connect(b, d.Proxies[0], "")
			_, err := c.Exec(ctx, "CREATE TABLE t (id INTEGER)")
			require.NoError(b, err)
			b.ResetTimer()
			for range b.N {
				_, err := c.Exec(ctx, "INSERT INTO t VALUES (1)")
				require.NoError(b, err)
			}
		})
	}
}

// A statement must not run without the settings of its session: it was sent together
// with them, and ran though the database had refused them.
func TestStatementWaitsForTheSettings(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER)")
	mustExec(t, c, "SET datestyle = 'x'")
	for _, query := range []string{"INSERT INTO t VALUES (1)", "SELECT count(*) FROM t", "INSERT INTO t VALUES (1) /*requestId='once'*/"} {
		_, err := c.Exec(ctx, query)
		require.Equal(t, "22023", sqlState(err), query)
	}
	other := connect(t, d.Proxies[0], "")
	require.Zero(t, queryInt(t, other, "SELECT count(*) FROM t"), "nothing has run")
	mustExec(t, c, "SET datestyle = 'ISO'")
	mustExec(t, c, "INSERT INTO t VALUES (2)")
	require.Equal(t, 1, queryInt(t, other, "SELECT count(*) FROM t"))
}
