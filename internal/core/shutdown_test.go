package core

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

// awaitInUse waits until exactly count of p's database connections are in use.
func awaitInUse(t *testing.T, p *Proxy, count int) {
	t.Helper()
	require.Eventually(t, func() bool {
		inUse := 0
		for _, pool := range p.Serving(devGroup).Pools {
			open, idle, _ := pool.Stats()
			inUse += open - idle
		}
		return inUse == count
	}, 10*time.Second, time.Millisecond)
}

func TestShutdownInterruptsNoRequest(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	p := d.Proxies[0]
	mustExec(t, connect(t, p, ""), "CREATE TABLE t (id INTEGER)")
	running, idle, open := connect(t, p, ""), connect(t, p, ""), connect(t, p, "")
	tx, err := open.Begin(ctx)
	require.NoError(t, err)
	answered := make(chan error, 1)
	go func() {
		_, err := running.Exec(ctx, "SELECT pg_sleep(1)")
		answered <- err
	}()
	awaitInUse(t, p, 2)
	finished := make(chan bool, 1)
	go func() { finished <- p.Shutdown(10 * clock.Second) }()
	require.Eventually(t, func() bool { return p.Status().Leaving }, 5*time.Second, time.Millisecond)
	_, err = pgx.Connect(ctx, "postgres://shop@"+p.Address()+"/shop1?sslmode=disable")
	require.Error(t, err, "a proxy that is shutting down accepted a caller")
	_, err = idle.Exec(ctx, "SELECT 1")
	require.Equal(t, outcome.CodeShutdown, sqlState(err))
	_, err = tx.Exec(ctx, "INSERT INTO t VALUES (1)")
	require.NoError(t, err, "an open transaction must continue")
	require.NoError(t, tx.Commit(ctx))
	require.NoError(t, <-answered)
	select {
	case ok := <-finished:
		require.True(t, ok)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the shutdown did not finish")
	}
	require.Equal(t, 1, queryInt(t, connect(t, d.Proxies[1], ""), "SELECT count(*) FROM t"))
}

func TestShutdownEndsAtItsLimit(t *testing.T) {
	d := startDev(t, DevSettings{})
	c := connect(t, d.Proxies[0], "")
	_, err := c.Begin(context.Background())
	require.NoError(t, err)
	began := time.Now()
	require.False(t, d.Proxies[0].Shutdown(300*clock.Millisecond))
	require.Less(t, time.Since(began), 5*time.Second)
}

// Within seconds of being marked as leaving, a backend server must get no new
// work: reads go to other databases, and its primary role moves to another
// backend server.
func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	d := startDev(t, DevSettings{})
	c := connect(t, d.Proxies[0], "&oleanderflow.maxAge=5s")
	mustExec(t, c, "CREATE TABLE t (id INTEGER)")
	d.SetLeaving("a")
	d.SetLeaving("b")
	require.Eventually(t, func() bool {
		primary := d.Group.Primary()
		return primary != nil && primary.Name() == "c"
	}, 9*time.Second, 20*time.Millisecond)
	time.Sleep(3 * time.Second)
	before, _ := d.Proxies[0].metrics.BoundedStalenessReads()
	for range 20 {
		require.Equal(t, 0, queryInt(t, c, "SELECT count(*) FROM t"))
		mustExec(t, c, "INSERT INTO t (id) SELECT 1 WHERE 1 = 0")
	}
	after, _ := d.Proxies[0].metrics.BoundedStalenessReads()
	require.Equal(t, before, after, "a read went to a leaving backend server")
}
