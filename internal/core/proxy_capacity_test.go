package core

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	dbprocess "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// The size of the target deployment, and the part of its work that falls to one
// proxy.
const (
	targetProxies       = 4900
	targetGroups        = 6333
	watchedGroups       = 4
	servedGroups        = 5
	ticksPerSecond      = 50
	memberChangesPerDay = 2 * (9300 + 54)
	configChangesPerDay = 7800
	secondsPerDay       = 86400
	reportsPerSecond    = 20
)

// proxyWorkload holds the state of one proxy in the target deployment and
// simulates its control work.
type proxyWorkload struct {
	membership  *proxy.Membership
	assignments *proxy.Assignments
	livePeers   []proxy.Peer
	parser      *operator.Parser
	config      *operator.Configuration
	configText  string
	failovers   []*dbprocess.Failover
	groups      []*dbprocess.Group
	members     []proxy.Member
}

func newProxyWorkload(b *testing.B) *proxyWorkload {
	w := &proxyWorkload{parser: operator.NewParser()}
	var names []string
	var text strings.Builder
	for g := range targetGroups {
		names = append(names, fmt.Sprintf("shop%05d", g))
		fmt.Fprintf(&text, "[group.shop%05d]\ncustomer = shop%05d\nconnections = 50\n", g, g)
		for d := range 3 {
			fmt.Fprintf(&text, "[database.shop%05d.%c]\naddress = 10.%d.%d.%d:5432\nzone = zone-%d\n", g, 'a'+d, d, g/250, g%250, (g+d)%18)
		}
	}
	w.configText = text.String()
	var err error
	if w.config, _, err = w.parser.Load("base.ini", []byte(w.configText), "", nil); err != nil {
		b.Fatal(err)
	}
	for i := range targetProxies {
		w.members = append(w.members, proxy.Member{
			Name: fmt.Sprintf("entry-%05d", i), Zone: fmt.Sprintf("zone-%d", i%18),
			Address: fmt.Sprintf("10.9.%d.%d:16442", i/250, i%250), Callers: fmt.Sprintf("10.9.%d.%d:5432", i/250, i%250),
			Incarnation: 1764800000000 + uint64(i),
		})
		m := w.members[i]
		w.livePeers = append(w.livePeers, proxy.Peer{Name: m.Name, Zone: m.Zone, Address: m.Address, Callers: m.Callers})
	}
	w.membership = proxy.NewMembership(w.members[0], proxy.DefaultMembershipSettings(), rand.New(rand.NewPCG(1, 1)))
	w.membership.HandleTable(0, w.members[1:], nil)
	w.assignments = proxy.NewAssignments(3)
	w.assignments.SetLive(w.livePeers)
	w.assignments.SetGroups(names)
	w.buildGroups()
	return w
}

func (w *proxyWorkload) buildGroups() {
	self := dbprocess.Watcher{Name: w.members[0].Name, Zone: w.members[0].Zone}
	for i := range watchedGroups {
		w.failovers = append(w.failovers, dbprocess.NewFailover(3, self, []dbprocess.Watcher{self}, dbprocess.DefaultFailoverSettings(), rand.New(rand.NewPCG(1, uint64(i)))))
	}
	for range servedGroups {
		g := dbprocess.NewGroup(3, dbprocess.DurabilityGroup)
		for n := range 1200 {
			g.Observe(statusReport(n), nil)
		}
		w.groups = append(w.groups, g)
	}
}

func statusReport(n int) dbprocess.Report {
	role := dbprocess.RoleReplica
	if n%3 == 0 {
		role = dbprocess.RolePrimary
	}
	p := position.Position{Term: 1, Offset: uint64(n + 1)}
	return dbprocess.Report{Database: n % 3, SentSeq: uint64(n + 1), SentAt: clock.Time(n * 5), Status: dbprocess.Status{
		Role: role, Term: 1, Fenced: 1, Received: p, Applied: p,
	}}
}

// simulateSecond runs the control work of second n: membership and failover
// ticks, status reports, and the membership and configuration changes that are
// due.
func (w *proxyWorkload) simulateSecond(b *testing.B, n int) {
	now := clock.Time(10_000 + n*1000)
	var actions []proxy.MembershipAction
	for range ticksPerSecond {
		now = now.Add(clock.Second / ticksPerSecond)
		actions = w.membership.Tick(now, actions[:0])
		for _, f := range w.failovers {
			f.Tick(now, nil)
		}
	}
	changed := w.members[1+n%(targetProxies-1)]
	changed.Incarnation += uint64(n)
	w.membership.HandleDatagram(now, proxy.Datagram{Kind: proxy.Ping, From: w.members[1].Name, Updates: []proxy.Member{changed}}, nil)
	for i := range reportsPerSecond {
		w.groups[i%servedGroups].Observe(statusReport(2000+n*reportsPerSecond+i), nil)
	}
	if due(n, memberChangesPerDay) {
		w.membership.Members()
		w.assignments.SetLive(w.livePeers[n%2:])
	}
	if due(n, configChangesPerDay) {
		text := strings.Replace(w.configText, "connections = 50", fmt.Sprintf("connections = %d", 40+n%7), 1)
		if _, _, err := w.parser.Load("base.ini", []byte(text), "", nil); err != nil {
			b.Fatal(err)
		}
	}
}

// due reports whether an event that happens perDay times a day, evenly spread,
// happens in second n.
func due(n, perDay int) bool { return n*perDay/secondsPerDay != (n+1)*perDay/secondsPerDay }

// BenchmarkCapacityWholeProxy measures the memory that one proxy's state takes
// in the target deployment, and the processor time of the control work that
// simulateSecond runs for each second. Sockets and the idle process are not
// included.
func BenchmarkCapacityWholeProxy(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w := newProxyWorkload(b)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	began := time.Now()
	for n := range b.N {
		w.simulateSecond(b, n)
	}
	perSecond := time.Since(began).Seconds() / float64(b.N)
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/(1<<20), "heldMB")
	b.ReportMetric(100*perSecond, "%core")
	runtime.KeepAlive(w)
}
