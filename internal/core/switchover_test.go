package core

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/platform"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/standin/caller"
)

// A planned switchover under load must not lose a write or interrupt a
// request: no request is refused, and none ends with an unknown outcome.
func TestPlannedSwitchoverInterruptsNoRequest(t *testing.T) {
	d := startDev(t, DevSettings{ReplicationDelay: 500 * time.Microsecond})
	settings := caller.Settings{Group: devGroup, Sessions: 9, Seed: 1, Pause: time.Millisecond}
	for _, p := range d.Proxies {
		settings.Addresses = append(settings.Addresses, p.Address())
	}
	ctx := context.Background()
	load, err := caller.Start(ctx, settings)
	require.NoError(t, err)
	for i, name := range []string{"b", "c", ""} {
		time.Sleep(300 * time.Millisecond)
		answer, err := d.Proxies[i%3].handlePromote(proxy.PromoteMessage{Group: devGroup, Database: name})
		require.NoError(t, err)
		require.Equal(t, uint64(i+2), answer.Term)
	}
	time.Sleep(300 * time.Millisecond)
	report, err := load.Stop(ctx)
	require.NoError(t, err)
	t.Logf("%+v", report.Counts)
	require.Empty(t, report.Errors)
	require.Zero(t, report.Counts.Refused)
	require.Zero(t, report.Counts.Unknown)
	for _, g := range report.Guarantees {
		require.Zero(t, g.Broken, "%s: %s", g.Name, g.Example)
	}
	recorded, err := platform.NewPromotions(platform.NewDynamoTable(d.awsConfig())).Get(ctx, devGroup)
	require.NoError(t, err)
	require.Equal(t, uint64(4), recorded.Term)
}

func TestSwitchoverGivesUpWhileTransactionIsOpen(t *testing.T) {
	d := startDev(t, DevSettings{})
	ctx := context.Background()
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER)")
	tx, err := c.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO t VALUES (1)")
	require.NoError(t, err)
	_, err = d.Proxies[1].handlePromote(proxy.PromoteMessage{Group: devGroup})
	require.ErrorContains(t, err, "nothing was changed: 1 writes or transactions still run at proxy-1")
	require.NoError(t, tx.Commit(ctx))
	require.Equal(t, "a", d.Group.Primary().Name())
	mustExec(t, c, "INSERT INTO t VALUES (2)")
}

func TestForcedPromotionNeedsMajorityOrAcceptLoss(t *testing.T) {
	d := startDev(t, DevSettings{})
	c := connect(t, d.Proxies[0], "")
	mustExec(t, c, "CREATE TABLE t (id INTEGER)")
	d.Group.Find("a").Stop()
	d.Group.Find("b").Stop()
	_, err := d.Proxies[0].handlePromote(proxy.PromoteMessage{Group: devGroup, Database: "c", Force: true})
	require.ErrorContains(t, err, "only 1 of 3 databases answer; a promotion may lose acknowledged writes")
	answer, err := d.Proxies[0].handlePromote(proxy.PromoteMessage{Group: devGroup, Database: "c", Force: true, AcceptLoss: true})
	require.NoError(t, err)
	require.Equal(t, "c", answer.Primary)
	require.Equal(t, []string{"a", "b"}, answer.Unreached)
	_, err = d.Proxies[0].handlePromote(proxy.PromoteMessage{Group: devGroup, Database: "z"})
	require.ErrorContains(t, err, fmt.Sprintf("group %s has no database", devGroup))
}

// A group may be closed between the check whether it is declared and its use.
func TestPromoteOfAClosedGroupIsRefused(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	p := d.Proxies[0]
	p.groups.mu.Lock()
	for name := range p.groups.open {
		delete(p.groups.open, name)
	}
	p.groups.closed = true
	p.groups.mu.Unlock()
	_, err := p.handlePromote(proxy.PromoteMessage{Group: devGroup})
	require.ErrorContains(t, err, devGroup)
}
