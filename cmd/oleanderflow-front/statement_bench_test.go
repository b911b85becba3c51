package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/oleanderflow/oleanderflow/internal/front"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// benchmarkLimit is the connection limit with which three of four proxies are homes.
const benchmarkLimit = 11

// step is what a caller does in one operation of BenchmarkStatement. text holds one
// statement for each request.
type step struct {
	name, database string
	// opens is set if the caller opens a session for each operation and ends it.
	opens bool
	text  []string
}

var steps = []step{
	{name: "read", database: "invoices", text: []string{"READ a"}},
	{name: "freshRead", database: "fills", text: []string{"READ a"}},
	{name: "write", database: "invoices", text: []string{"WRITE a some value"}},
	{name: "transaction", database: "invoices", text: []string{"BEGIN", "READ a", "WRITE a other value", "READ a", "WRITE a some value", "COMMIT"}},
	{name: "session", database: "invoices", opens: true, text: []string{"SET zone west", "PREPARE s1 READ shape", "EXECUTE s1 a"}},
}

// BenchmarkStatement sends statements through a whole proxy that forwards them to a
// home, over the loopback, on routes of a workspace with a limit. It reports, for each
// operation, the processor time and the allocations of the process less those of the same
// statements sent straight to the stand-in database. What remains is the share of the
// proxies: that of the statements and of their status requests, the answers of the
// stand-in database to these included. direct-us/op is what was subtracted. The last
// result is the processor time of the periodic work of the four proxies.
func BenchmarkStatement(b *testing.B) {
	s := startHomes(b)
	for _, step := range steps {
		b.Run(step.name, func(b *testing.B) {
			direct := measure(b, step, s.group.Databases()[0].Address(), "shop")
			s.requireEntry(b)
			total := measure(b, step, s.entry.Address(), step.database)
			s.requireEntry(b)
			n := float64(b.N)
			b.ReportMetric(micros(total.processor-direct.processor)/n, "cpu-us/op")
			b.ReportMetric(float64(total.mallocs-direct.mallocs)/n, "mallocs/op")
			b.ReportMetric(micros(direct.processor)/n, "direct-us/op")
			b.ReportMetric(0, "ns/op")
		})
	}
	b.Run("idle", func(b *testing.B) {
		before := usageNow(b)
		time.Sleep(time.Second)
		b.ReportMetric(micros(usageNow(b).processor-before.processor), "cpu-us/s")
		b.ReportMetric(0, "ns/op")
	})
}

// benchmarkSystem is a database group and the proxy that callers use, which is no home of it.
type benchmarkSystem struct {
	group *standin.Group
	entry *front.Front
	// status is the address at which the entry tells its status.
	status string
}

// requireEntry fails the benchmark if the entry has become a home, as it does if it has
// lost sight of another proxy on a busy machine.
func (s *benchmarkSystem) requireEntry(b testing.TB) {
	b.Helper()
	r, _ := readStatus(b, s.status)
	require.Len(b, r.Groups, 1)
	require.False(b, r.Groups[0].Local, "the entry is a home")
	require.Len(b, r.Groups[0].Homes, 3)
}

func startHomes(b testing.TB) *benchmarkSystem {
	b.Helper()
	percent := debug.SetGCPercent(60) // as the program does
	b.Cleanup(func() { debug.SetGCPercent(percent) })
	group, err := standin.NewGroup("shop", []string{"a", "b", "c"}, 0)
	require.NoError(b, err)
	platform := standin.NewPlatform(group)
	workspaces := []standin.Workspace{{Name: "acme", Keys: []string{standin.CallerKey}, Priority: 1, Rate: 1e6, Burst: 1e6}}
	platform.ConfigureWorkspaces(1, benchmarkLimit, 30_000, workspaces, standardRoutes...)
	b.Cleanup(platform.Close)
	b.Cleanup(group.Close)
	output, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	require.NoError(b, err)
	b.Cleanup(func() { _ = output.Close() })
	fronts, addresses := make(map[string]*front.Front), make(map[string]string)
	var peers []proxy.Peer
	for i := range 4 {
		name := fmt.Sprintf("front-%d", i)
		settings := front.Settings{
			Name: name, Zone: "a", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
			ReadyAddress: freeAddress(b), MetricsAddress: freeAddress(b), StoreAddress: platform.Address(), PromotionAddress: platform.Address(), ShutdownGrace: clock.Second,
			RevocationLimit: 5 * clock.Second, Quota: workspace.DefaultQuota(),
		}
		log, err := front.NewLog(front.NewLogWriter(output), "info", name)
		require.NoError(b, err)
		f := front.New(settings, connect(settings), clock.NewBoot(), log, front.NewMetrics())
		require.NoError(b, f.Start())
		b.Cleanup(f.Stop)
		require.NoError(b, f.StartHTTP())
		fronts[name], addresses[name] = f, settings.MetricsAddress
		peers = append(peers, proxy.Peer{Name: name, Zone: "a"})
	}
	for _, f := range fronts {
		require.Eventually(b, f.Ready, 10*time.Second, 5*time.Millisecond)
	}
	s := &benchmarkSystem{group: group}
	homes := proxy.Choose("home/shop", peers, 3)
	for _, p := range peers {
		if !proxy.ContainsPeer(homes, p.Name) {
			s.entry, s.status = fronts[p.Name], addresses[p.Name]
		}
	}
	// Accountants hold back their first grants, and the members have to know each other.
	require.Eventually(b, func() bool {
		c, err := standin.Open(s.entry.Address(), "invoices")
		if err != nil {
			return false
		}
		defer c.Close()
		r, err := c.Query("WRITE a some value")
		return err == nil && r.Error == ""
	}, 30*time.Second, 100*time.Millisecond)
	time.Sleep(2 * time.Second)
	return s
}

// usage is the processor time and the number of allocations of this process.
type usage struct {
	processor time.Duration
	mallocs   uint64
}

func usageNow(b *testing.B) usage {
	b.Helper()
	var r unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &r))
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{processor: time.Duration(r.Utime.Nano() + r.Stime.Nano()), mallocs: m.Mallocs}
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// measure runs a step b.N times against an address, and returns what it has used.
func measure(b *testing.B, st step, address, database string) usage {
	b.Helper()
	c, err := standin.Open(address, database)
	require.NoError(b, err)
	defer func() { c.Close() }()
	for range 20 {
		runStep(b, c, st)
	}
	before := usageNow(b)
	for range b.N {
		if st.opens {
			_ = c.Raw("GOODBYE\r\n")
			c.Close()
			if c, err = standin.Open(address, database); err != nil {
				b.Fatal(err)
			}
		}
		runStep(b, c, st)
	}
	after := usageNow(b)
	return usage{processor: after.processor - before.processor, mallocs: after.mallocs - before.mallocs}
}

func runStep(b *testing.B, c *standin.Caller, st step) {
	for _, text := range st.text {
		r, err := c.Query(text)
		if err != nil || r.Error != "" {
			b.Fatalf("%s: %v %s", text, err, r.Error)
		}
	}
}
