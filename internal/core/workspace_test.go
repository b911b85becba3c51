package core

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/version/operator"
	versionplatform "github.com/oleanderflow/oleanderflow/internal/version/platform"
)

const priorityWorkspaces = "[workspace north]\nusers = alice\npriority = 1\n[workspace south]\nusers = bob\npriority = 2\n"

// connectAs returns a connection of a user.
func connectAs(t *testing.T, p *Proxy, user string) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, "postgres://"+user+"@"+p.Address()+"/shop1?sslmode=disable")
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// statements runs a statement on a connection of its own for each of the callers, and
// returns the times at which they ended, by user.
type statements struct {
	wg    sync.WaitGroup
	mu    sync.Mutex
	ended map[string][]time.Time
	errs  []error
}

func (s *statements) run(conns []*pgx.Conn, user, statement string) {
	for _, c := range conns {
		s.wg.Go(func() {
			_, err := c.Exec(context.Background(), statement)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.ended[user] = append(s.ended[user], time.Now())
			if err != nil {
				s.errs = append(s.errs, err)
			}
		})
	}
}

// A declared priority must have an effect wherever a request waits for a connection to a
// database: at the proxy of its caller, and at a home that knows the caller's user from
// that proxy alone. Requests that arrive later, of a higher priority, are answered first;
// a user of no workspace is overtaken by nobody.
func TestPriorityOfWorkspacesOrdersWaitingRequests(t *testing.T) {
	for _, homes := range []int{0, 1} {
		t.Run(fmt.Sprint("homes=", homes), func(t *testing.T) {
			d := startDev(t, DevSettings{ExtraGroupConfig: fmt.Sprintf("homes = %d\n", homes), ExtraConfig: priorityWorkspaces})
			serving, entry := d.Proxies[0], d.Proxies[0]
			if homes > 0 {
				require.Eventually(t, func() bool {
					serving, entry = nil, nil
					for _, p := range d.Proxies {
						if p.Serving(devGroup).Homes.Forwards() {
							entry = p
						} else {
							serving = p
						}
					}
					return serving != nil && entry != nil
				}, 10*time.Second, 10*time.Millisecond)
			}
			mustExec(t, connect(t, serving, ""), "CREATE TABLE t (id INTEGER)")
			waiting := func() int {
				n := 0
				for _, pool := range serving.Serving(devGroup).Pools {
					_, _, w := pool.Stats()
					n += w
				}
				return n
			}
			// Transactions hold all connections of the process that serves the group: all
			// but the last one, which waits for a connection and is given up.
			var holders []pgx.Tx
			for full := false; !full; {
				c := connect(t, serving, "")
				ctx, cancel := context.WithCancel(context.Background())
				begun := make(chan pgx.Tx, 1)
				go func() {
					tx, err := c.Begin(ctx)
					if err == nil {
						_, err = tx.Exec(ctx, "SELECT count(*) FROM t")
					}
					if err != nil {
						tx = nil
					}
					begun <- tx
				}()
				require.Eventually(t, func() bool { return len(begun) > 0 || waiting() > 0 }, 10*time.Second, time.Millisecond)
				full = waiting() > 0
				if full {
					cancel()
				}
				if tx := <-begun; tx != nil {
					holders = append(holders, tx)
				}
				cancel()
			}
			require.Eventually(t, func() bool { return waiting() == 0 }, 10*time.Second, time.Millisecond)
			limit := len(holders)
			require.Greater(t, limit, 1)
			const each = 5
			var bobs, alices, others []*pgx.Conn
			for range each {
				bobs, alices, others = append(bobs, connectAs(t, entry, "bob")), append(alices, connectAs(t, entry, "alice")), append(others, connectAs(t, entry, "carol"))
			}
			s := &statements{ended: make(map[string][]time.Time)}
			for i, group := range []struct {
				user  string
				conns []*pgx.Conn
			}{{"bob", bobs}, {"alice", alices}, {"carol", others}} {
				s.run(group.conns, group.user, "SELECT pg_sleep(0.02)")
				require.Eventually(t, func() bool { return waiting() >= (i+1)*each }, 2*time.Second, time.Millisecond, "%s does not wait", group.user)
			}
			// One connection becomes free, so that the requests are served one by one.
			require.NoError(t, holders[0].Rollback(context.Background()))
			s.wg.Wait()
			require.Empty(t, s.errs)
			for _, tx := range holders[1:] {
				require.NoError(t, tx.Rollback(context.Background()))
			}
			first := func(user string) time.Time { return s.ended[user][0] }
			last := func(user string) time.Time { return s.ended[user][each-1] }
			t.Logf("%d connections; carol until %v, alice from %v until %v, bob from %v", limit,
				last("carol").Sub(first("carol")), first("alice").Sub(first("carol")), last("alice").Sub(first("carol")), first("bob").Sub(first("carol")))
			// A statement takes 20 ms. The last answer of one user and the first of the next
			// are read by different goroutines, so that one may seem to overtake.
			const slack = 1
			require.True(t, first("alice").After(s.ended["carol"][each-1-slack]), "a user of no workspace was overtaken")
			require.True(t, first("bob").After(s.ended["alice"][each-1-slack]), "the lower priority was served first")
		})
	}
}

// A change of a priority must be shown by plan and be in force at all proxies without new
// connections, and so must the way back. A rate must not be accepted: it would promise a
// limit that nothing keeps.
func TestWorkspacesTakeForceAndGoBack(t *testing.T) {
	d := startDev(t, DevSettings{ExtraConfig: priorityWorkspaces})
	ctx, h := context.Background(), d.history()
	first, err := h.Head(ctx)
	require.NoError(t, err)
	before, err := h.Bundle(ctx, first)
	require.NoError(t, err)
	pool := d.Proxies[0].Serving(devGroup).Pools[0]
	inForce := func(priority int) {
		require.Eventually(t, func() bool {
			for _, p := range d.Proxies {
				if p.Serving(devGroup).Priorities["bob"] != priority {
					return false
				}
			}
			return true
		}, 10*time.Second, 10*time.Millisecond)
		require.Same(t, pool, d.Proxies[0].Serving(devGroup).Pools[0])
	}
	inForce(2)
	change := func(old, text string) operator.Bundle {
		b := before
		b.Base.Text = strings.Replace(b.Base.Text, old, text, 1)
		require.NotEqual(t, before.Base.Text, b.Base.Text)
		return b
	}
	next := change("priority = 2", "priority = 7")
	plan, err := makePlan(ctx, h, next)
	require.NoError(t, err)
	require.Equal(t, []operator.Difference{{File: "dev.ini", Section: "workspace south", Key: "priority", Before: "2", After: "7"}}, plan.Differences)
	second, err := h.Apply(ctx, versionplatform.Change{ID: "lower", By: "dev", Bundle: next, Onto: first.Version})
	require.NoError(t, err)
	inForce(7)
	var invalid *operator.InvalidError
	_, err = h.Apply(ctx, versionplatform.Change{ID: "rate", By: "dev", Bundle: change("priority = 2", "rate = 60"), Onto: second.Version})
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, "rate", invalid.Problems[0].Key)
	_, err = h.Apply(ctx, versionplatform.Change{ID: "back", By: "dev", Bundle: before, Onto: second.Version})
	require.NoError(t, err)
	inForce(2)
}
