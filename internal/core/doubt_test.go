package core

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	dbconn "github.com/oleanderflow/oleanderflow/internal/connection/database"
)

// firstValue sends a query on a borrowed connection and returns the first
// value of its answer.
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

// A connection whose answer is still owed is given back. Only the rule that
// a doubtful connection is closed keeps the answer from the next borrower:
// without it, the check here sees the wrong answer.
func TestDoubtfulConnectionIsNotReused(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	for _, kept := range []bool{true, false} {
		target := dbconn.Target{Address: d.Group.Primary().Address(), Database: devGroup, User: "test"}
		pool := dbconn.NewPool(target, dbconn.PoolSettings{MaxConnections: 1, MaxQueue: 10})
		first, err := pool.Acquire(ctx, dbconn.NoClass)
		require.NoError(t, err)
		first.Frontend.Send(&pgproto3.Query{String: "SELECT pg_sleep(0.2)"})
		require.NoError(t, first.Frontend.Flush())
		first.Doubtful = kept
		pool.Release(first)
		second, err := pool.Acquire(ctx, dbconn.NoClass)
		require.NoError(t, err)
		own := firstValue(t, second, "SELECT 'own'") == "own"
		require.Equal(t, kept, own, "with the rule the answer is the borrower's own, without it another's")
		second.Doubtful = true
		pool.Release(second)
		pool.Close()
	}
}

// The rush of callers that waited for a failover reaches the new primary
// within its declared connections.
func TestWaitingWritesAfterFailoverStayWithinConnectionLimit(t *testing.T) {
	d := startDev(t, DevSettings{GroupDeclarations: "homes = 0\n"})
	execute(t, connect(t, d.Proxies[0], ""), "CREATE TABLE t (id INTEGER)")
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
	highest := 0
	for answered := 0; answered < callers; {
		select {
		case err := <-done:
			require.NoError(t, err)
			answered++
		case <-time.After(time.Millisecond):
		}
		open := 0
		for _, p := range d.Proxies {
			for _, pool := range p.Serving(devGroup).Pools {
				o, idle, _ := pool.Stats()
				open = max(open, o-idle)
			}
		}
		highest = max(highest, open)
	}
	t.Logf("%d callers waited, at most %d statements at once from one proxy", callers, highest)
	require.LessOrEqual(t, highest, 50/3)
	require.Equal(t, callers, number(t, connect(t, d.Proxies[1], ""), "SELECT count(*) FROM t"))
}

// BenchmarkDurability gives the time of a write by the group's durability.
func BenchmarkDurability(b *testing.B) {
	for _, durability := range []string{"group", "primary"} {
		b.Run(durability, func(b *testing.B) {
			d := startDev(b, DevSettings{GroupDeclarations: "durability = " + durability + "\n", ReplicationDelay: 500 * time.Microsecond})
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
