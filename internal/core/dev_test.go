package core

import (
	"context"
	"database/sql"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	_ "github.com/lib/pq"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
	versionplatform "github.com/oleanderflow/oleanderflow/internal/version/platform"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func startDev(t testing.TB, settings DevSettings) *Dev {
	t.Helper()
	settings.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	settings.EphemeralPorts = true
	if settings.Proxies == 0 {
		settings.Proxies = 3
	}
	d, err := NewDev(settings, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(d.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, d.AwaitReady(ctx))
	return d
}

func connect(t testing.TB, p *Proxy, parameters string) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, "postgres://shop@"+p.Address()+"/shop1?sslmode=disable"+parameters)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func TestStatementGoesThroughAnyProxy(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	_, err := c.Exec(ctx, "CREATE TABLE fills (id INTEGER PRIMARY KEY, tyre TEXT)")
	require.NoError(t, err)
	for i, p := range d.Proxies {
		c := connect(t, p, "")
		_, err := c.Exec(ctx, "INSERT INTO fills (id, tyre) VALUES ($1, $2)", i, fmt.Sprint("tyre ", i))
		require.NoError(t, err)
		var count int
		require.NoError(t, c.QueryRow(ctx, "SELECT count(*) FROM fills").Scan(&count))
		require.Equal(t, i+1, count)
	}
}

func TestLibPQThroughProxy(t *testing.T) {
	d := startDev(t, DevSettings{})
	db, err := sql.Open("postgres", "postgres://shop@"+d.Proxies[1].Address()+"/shop1?sslmode=disable")
	require.NoError(t, err)
	defer db.Close()
	_, err = db.Exec("CREATE TABLE fills (id INTEGER PRIMARY KEY, tyre TEXT)")
	require.NoError(t, err)
	tx, err := db.Begin()
	require.NoError(t, err)
	_, err = tx.Exec("INSERT INTO fills VALUES ($1, $2)", 1, "front")
	require.NoError(t, err)
	require.NoError(t, tx.Commit())
	var tyre string
	require.NoError(t, db.QueryRow("SELECT tyre FROM fills WHERE id = $1", 1).Scan(&tyre))
	require.Equal(t, "front", tyre)
}

// devPlatformOptions returns the options that an operator's command needs to
// reach the platform of a development system.
func devPlatformOptions(d *Dev) PlatformOptions {
	a := d.awsConfig()
	return PlatformOptions{Endpoint: a.Endpoint, Region: a.Region, KeyID: a.KeyID, Secret: a.Secret, Table: a.Table, Bucket: a.Bucket}
}

func TestAcceptedChangeReachesAllProxiesWithoutInterruptingRequests(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	h := devPlatformOptions(d).history()
	head, err := h.Head(ctx)
	require.NoError(t, err)
	bundle, err := h.Bundle(ctx, head)
	require.NoError(t, err)
	c := connect(t, d.Proxies[1], "")
	tx, err := c.Begin(ctx)
	require.NoError(t, err)
	bundle.Base.Text += "[read.fast]\napplication = fast\nmaxAge = 1s\n"
	_, err = h.Apply(ctx, versionplatform.Change{ID: "second", Bundle: bundle, Onto: head.Version})
	require.NoError(t, err)
	for _, p := range d.Proxies {
		require.Eventually(t, func() bool { return p.Status().Version == 2 }, 9*time.Second, 10*time.Millisecond)
		require.Len(t, p.Configuration().ReadRules, 2)
	}
	_, err = tx.Exec(ctx, "CREATE TABLE t (id INTEGER)")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(ctx))
}

func TestNewProxyLoadsConfigurationFromPeersWhileStoreIsDown(t *testing.T) {
	d := startDev(t, DevSettings{})
	d.Platform.SetDown(true)
	peers := staticList{d.Proxies[0].Self()}
	p, err := NewProxy(Instance{Name: "fresh", Zone: "zone-a", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0"},
		operator.Default(), zap.NewNop(), WithHistory(d.history()), WithInstanceList(peers))
	require.NoError(t, err)
	t.Cleanup(p.Close)
	go p.Serve()
	ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
	defer cancel()
	require.NoError(t, p.AwaitReady(ctx))
	require.Equal(t, uint64(1), p.Status().Version)
	var one int
	require.NoError(t, connect(t, p, "").QueryRow(ctx, "SELECT 1").Scan(&one))
}

// Changed settings must also apply to groups that are already open.
func TestChangedSettingsApplyToOpenGroups(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	p := d.Proxies[0]
	before := p.Serving(devGroup)
	h := devPlatformOptions(d).history()
	head, err := h.Head(ctx)
	require.NoError(t, err)
	bundle, err := h.Bundle(ctx, head)
	require.NoError(t, err)
	bundle.Base.Text += "[reads]\nreplicaWait = 35ms\n[spread]\ngossipInterval = 700ms\n[limits]\nqueueTimeout = 3s\n"
	_, err = h.Apply(ctx, versionplatform.Change{ID: "figures", Bundle: bundle, Onto: head.Version})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.Status().Version == 2 }, 9*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		p.versions.mu.Lock()
		defer p.versions.mu.Unlock()
		return p.versions.spread.Settings().GossipInterval == 700
	}, 9*time.Second, 10*time.Millisecond)
	after := p.Serving(devGroup)
	require.NotSame(t, before.Router, after.Router, "the group still uses its old settings")
	require.True(t, p.Status().Groups[0].Watching, "the group is no longer watched")
	require.Equal(t, clock.Duration(3000), after.QueueTimeout)
	require.Equal(t, 1, queryInt(t, connect(t, p, ""), "SELECT 1"))
}

// A group with a single database has no replica to wait for: the primary's own
// acknowledgment is the majority, and writes must not wait for another one.
func TestGroupOfOneDatabase(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	p := d.Proxies[0]
	h := devPlatformOptions(d).history()
	head, err := h.Head(ctx)
	require.NoError(t, err)
	bundle, err := h.Bundle(ctx, head)
	require.NoError(t, err)
	bundle.Base.Text += "[group.solo]\ncustomer = shop\n[database.solo.a]\naddress = " + d.Group.Find("a").Address() + "\nzone = zone-a\n"
	_, err = h.Apply(ctx, versionplatform.Change{ID: "solo", Bundle: bundle, Onto: head.Version})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.Status().Version == 2 }, 9*time.Second, 10*time.Millisecond)
	c, err := pgx.Connect(ctx, "postgres://shop@"+p.Address()+"/solo?sslmode=disable")
	require.NoError(t, err)
	defer c.Close(ctx)
	mustExec(t, c, "CREATE TABLE t (id INTEGER)")
	began := time.Now()
	mustExec(t, c, "INSERT INTO t VALUES (1) /*requestId='one'*/")
	_, err = c.PgConn().CopyFrom(ctx, strings.NewReader("2\n"), "COPY t FROM STDIN")
	require.NoError(t, err)
	tx, err := c.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO t VALUES (3)")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(ctx))
	require.Equal(t, 3, queryInt(t, c, "SELECT count(*) FROM t"))
	t.Log(time.Since(began))
	require.Less(t, time.Since(began), 3*time.Second)
}

// A configuration change that lists a group's databases in another order must
// not affect an open transaction: it continues, and the database that ran it
// confirms its commit.
func TestTransactionKeepsTheConfigurationItBeganWith(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	p := d.Proxies[0]
	c := connect(t, p, "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER)")
	_, err := p.handlePromote(proxy.PromoteMessage{Group: devGroup, Database: "c"})
	require.NoError(t, err)
	tx, err := c.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO t VALUES (1)")
	require.NoError(t, err)
	h := devPlatformOptions(d).history()
	head, err := h.Head(ctx)
	require.NoError(t, err)
	base := "[group.shop1]\ncustomer = shop\nconnections = 50\n"
	for _, name := range []string{"c", "b", "a"} {
		base += fmt.Sprintf("[database.shop1.%s]\naddress = %s\nzone = %s\n", name, d.Group.Find(name).Address(), d.Group.Find(name).Zone())
	}
	bundle := operator.Bundle{Base: operator.File{Name: "dev.ini", Text: base}}
	_, err = h.Apply(ctx, versionplatform.Change{ID: "reordered", Bundle: bundle, Onto: head.Version})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.Status().Version == 2 }, 9*time.Second, 10*time.Millisecond)
	_, err = tx.Exec(ctx, "INSERT INTO t VALUES (2)")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(ctx))
	require.Equal(t, 2, queryInt(t, c, "SELECT count(*) FROM t"))
}
