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
		msg, err := c.Frontend.Receive()
		require.NoError(t, err)
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			value = string(m.Values[0])
		case *pgproto3.ReadyForQuery:
			return value
		}
	}
}

// A connection is released to the pool before its answer has been read. If
// StateUnknown is set, the pool closes it and the next request gets its own
// answer. The second case leaves the mark out and shows that the next request
// would otherwise read the outstanding answer.
func TestDoubtfulConnectionIsNotReused(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	for _, doubtful := range []bool{true, false} {
		target := dbconn.Target{Address: d.Group.Primary().Address(), Database: devGroup, User: "test"}
		pool := dbconn.NewPool(target, dbconn.PoolSettings{MaxConnections: 1, MaxQueue: 10})
		first, err := pool.Acquire(ctx, dbconn.NoClass)
		require.NoError(t, err)
		first.Frontend.Send(&pgproto3.Query{String: "SELECT pg_sleep(0.2)"})
		require.NoError(t, first.Frontend.Flush())
		first.StateUnknown = doubtful
		pool.Release(first)
		second, err := pool.Acquire(ctx, dbconn.NoClass)
		require.NoError(t, err)
		gotOwn := firstValue(t, second, "SELECT 'own'") == "own"
		require.Equal(t, doubtful, gotOwn, "the second request gets its own answer only if the first connection was marked doubtful")
		second.StateUnknown = true
		pool.Release(second)
		pool.Close()
	}
}

// All callers that waited during a failover send their writes at once when the
// new primary is known. The proxies must stay within its declared connections.
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

// BenchmarkDurability measures a write for each durability setting of the
// group.
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
