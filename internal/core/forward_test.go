package core

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/standin/caller"
)

const oneHome = "homes = 1\n"

// startForwarding starts three proxies, one of which is the group's home. The
// others forward the group's requests to it.
func startForwarding(t *testing.T) (d *Dev, home *Proxy, others []*Proxy) {
	t.Helper()
	d = startDev(t, DevSettings{ExtraGroupConfig: oneHome, ReplicationDelay: 500 * time.Microsecond})
	require.Eventually(t, func() bool {
		home, others = nil, nil
		for _, p := range d.Proxies {
			serving := p.Serving(devGroup)
			if serving.Homes.Forwards() {
				others = append(others, p)
			} else {
				home = p
			}
		}
		return home != nil && len(others) == 2
	}, 10*time.Second, 10*time.Millisecond)
	return d, home, others
}

func TestForwardedRequestsOpenNoDatabaseConnections(t *testing.T) {
	_, home, others := startForwarding(t)
	ctx := context.Background()
	c := connect(t, others[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER, v TEXT)")
	for i := range 10 {
		mustExec(t, c, "INSERT INTO t (id, v) VALUES ($1, $2)", i, "x")
		require.Equal(t, i+1, queryInt(t, connect(t, others[i%2], "&oleanderflow.maxAge=5s"), "SELECT count(*) FROM t"))
	}
	require.NotEmpty(t, c.PgConn().ParameterStatus("oleanderflow.token"))
	tx, err := c.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO t VALUES (11, 'y')")
	require.NoError(t, err)
	require.NoError(t, tx.Rollback(ctx))
	mustExec(t, c, "INSERT INTO t VALUES (12, 'z') /*requestId='once'*/")
	mustExec(t, connect(t, others[1], ""), "INSERT INTO t VALUES (12, 'z') /*requestId='once'*/")
	require.Equal(t, 11, queryInt(t, connect(t, home, ""), "SELECT count(*) FROM t"))
	for _, p := range others {
		for _, pool := range p.Serving(devGroup).Pools {
			open, _, _ := pool.Stats()
			require.Zero(t, open)
		}
	}
}

func TestCallersCannotImpersonateProxies(t *testing.T) {
	d := startDev(t, DevSettings{})
	c := connect(t, d.Proxies[0], "")
	_, err := c.Exec(context.Background(), "SET oleanderflow.context = ''")
	require.ErrorContains(t, err, "is for proxies alone")
}

// The guarantees must also hold for forwarded requests while the primary is
// lost.
func TestGuaranteesHoldThroughHomeProxies(t *testing.T) {
	d, _, _ := startForwarding(t)
	settings := caller.Settings{Group: devGroup, Sessions: 9, Seed: 1, Pause: time.Millisecond}
	for _, p := range d.Proxies {
		settings.Addresses = append(settings.Addresses, p.Address())
	}
	ctx := context.Background()
	load, err := caller.Start(ctx, settings)
	require.NoError(t, err)
	time.Sleep(500 * time.Millisecond)
	d.Group.Primary().Stop()
	time.Sleep(1500 * time.Millisecond)
	report, err := load.Stop(ctx)
	require.NoError(t, err)
	t.Logf("%+v", report.Counts)
	for _, g := range report.Guarantees {
		require.Zero(t, g.Broken, "%s: %s", g.Name, g.Example)
	}
}

// A caller without a token connects after a write was acknowledged through
// another proxy, so its reads must see that write. The connection between the
// proxies is older than the write: a read floor taken when that connection was
// opened, rather than when the caller connected, would allow a stale read.
func TestFloorOfForwardedCallerIsTakenAfterArrival(t *testing.T) {
	d := startDev(t, DevSettings{ExtraGroupConfig: "homes = 2\n"})
	var home, other *Proxy
	require.Eventually(t, func() bool {
		home, other = nil, nil
		for _, p := range d.Proxies {
			if p.Serving(devGroup).Homes.Forwards() {
				other = p
			} else {
				home = p
			}
		}
		return home != nil && other != nil
	}, 10*time.Second, 10*time.Millisecond)
	c := connect(t, home, "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER)")
	for _, database := range d.Group.Databases {
		database.SetLag(200)
	}
	for i := range 12 {
		// After 300 ms the replicas, which lag by 200 ms, have applied
		// all earlier writes and lack only the next one.
		time.Sleep(300 * time.Millisecond)
		mustExec(t, c, "INSERT INTO t VALUES (1)")
		require.Equal(t, i+1, queryInt(t, connect(t, other, ""), "SELECT count(*) FROM t /*maxAge='10s'*/"))
	}
}
