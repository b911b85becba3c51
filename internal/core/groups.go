package core

import (
	"bytes"
	"cmp"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	callerconn "github.com/oleanderflow/oleanderflow/internal/connection/caller"
	dbconn "github.com/oleanderflow/oleanderflow/internal/connection/database"
	dbprocess "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	dbrequest "github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
)

// inForce is one accepted configuration, with its groups by name.
type inForce struct {
	config   *operator.Configuration
	declared map[string]*operator.Group
}

// group is one database group that this proxy serves or watches.
type group struct {
	declared *operator.Group
	serving  *dbrequest.Serving
	monitor  *dbprocess.Monitor
	watch    *dbprocess.Watch
	watching bool
}

// groups keeps the groups that are in use. A group is opened when it is first
// used or watched, so that a proxy holds no more than it serves. The mutex is
// taken before the groups' own locks.
type groups struct {
	proxy *Proxy
	force atomic.Pointer[inForce]

	mu          sync.RWMutex
	open        map[string]*group
	assignments *proxy.Assignments
	live        []proxy.Peer
	closed      bool
	// leaving are the addresses of backend servers that the platform's list
	// says are leaving.
	leaving map[string]bool
}

func newGroups(p *Proxy) *groups {
	g := &groups{proxy: p, open: make(map[string]*group), assignments: proxy.NewAssignments(1), live: []proxy.Peer{p.self()}}
	g.force.Store(&inForce{config: operator.Default()})
	g.assignments.SetLive([]proxy.Peer{p.self()})
	return g
}

// Configuration returns what is in force.
func (p *Proxy) Configuration() *operator.Configuration { return p.groups.force.Load().config }

func (p *Proxy) hasGroup(name string) bool {
	_, ok := p.groups.force.Load().declared[name]
	return ok
}

// Serving implements the request package's Groups.
func (p *Proxy) Serving(name string) *dbrequest.Serving {
	g := p.groups
	g.mu.RLock()
	opened, ok := g.open[name]
	g.mu.RUnlock()
	if !ok {
		if opened = g.openGroup(name); opened == nil {
			return nil
		}
	}
	return opened.serving
}

// PutInForce makes a configuration serve all requests that begin from now
// on. Groups whose databases did not change keep their connections.
func (p *Proxy) PutInForce(config *operator.Configuration) {
	next := &inForce{config: config, declared: make(map[string]*operator.Group, len(config.Groups))}
	for i := range config.Groups {
		next.declared[config.Groups[i].Name] = &config.Groups[i]
	}
	g := p.groups
	g.mu.Lock()
	before := g.force.Load().config
	g.force.Store(next)
	var retired []*group
	for name, old := range g.open {
		declared, ok := next.declared[name]
		if ok && sameDatabases(old.declared, declared) && sameShares(before.Classes, config.Classes) {
			g.open[name] = g.keep(old, declared, config)
			continue
		}
		delete(g.open, name)
		retired = append(retired, old)
	}
	changed := g.assignments.SetCount(config.Watchers)
	changed = append(changed, g.assignments.SetGroups(slices.Collect(maps.Keys(next.declared)))...)
	g.assignLocked(changed)
	g.shareLocked()
	g.mu.Unlock()
	for _, old := range retired {
		g.retire(old)
	}
}

func sameDatabases(old, declared *operator.Group) bool {
	same := old.User == declared.User && old.TLS == declared.TLS && old.PasswordFile == declared.PasswordFile &&
		old.Durability == declared.Durability
	return same && slices.EqualFunc(old.Databases, declared.Databases, func(a, b operator.Database) bool {
		return a.Name == b.Name && a.Address == b.Address && a.Zone == b.Zone
	})
}

// keep serves a changed declaration with the connections of the old.
func (g *groups) keep(old *group, declared *operator.Group, config *operator.Configuration) *group {
	kept := *old
	kept.declared = declared
	serving := *old.serving
	serving.Ages = declaredAges(declared.Name, config)
	serving.Classes, _ = declaredClasses(config)
	serving.CommitWait, serving.WriteWait = declared.CommitWait, declared.WriteWait
	kept.serving = &serving
	return &kept
}

// retire closes a group that is not declared any more, or otherwise.
// Requests that run on it finish.
func (g *groups) retire(old *group) {
	g.proxy.registry.Remove(old.monitor)
	g.proxy.registry.Remove(old.watch)
	for _, pool := range old.serving.Pools {
		pool.Close()
	}
	old.watch.Close()
	time.AfterFunc(g.force.Load().config.Limits.ShutdownLimit.Std(), old.monitor.Close)
}

func declaredAges(name string, config *operator.Configuration) []dbrequest.Age {
	var ages []dbrequest.Age
	for _, r := range config.Ages {
		if r.Group == "" || r.Group == name {
			ages = append(ages, dbrequest.Age{Application: r.Application, Tag: r.Tag, MaxAge: r.MaxAge})
		}
	}
	return ages
}

// declaredClasses returns the classes as requests match them, and as pools
// admit them.
func declaredClasses(config *operator.Configuration) (matches []dbrequest.Class, shares []dbconn.Class) {
	for _, k := range config.Classes {
		matches = append(matches, dbrequest.Class{Application: k.Application, Tag: k.Tag, Writes: k.Writes, Deadline: k.Deadline})
		shares = append(shares, dbconn.Class{Name: k.Name, Reserved: k.Reserved})
	}
	return matches, shares
}

// sameShares reports whether pools made for one configuration admit as
// another asks.
func sameShares(a, b []operator.Class) bool {
	return slices.EqualFunc(a, b, func(x, y operator.Class) bool { return x.Name == y.Name && x.Reserved == y.Reserved })
}

// openGroup begins to serve a declared group. It returns nil for one that is
// not declared.
func (g *groups) openGroup(name string) *group {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.openLocked(name)
}

func (g *groups) openLocked(name string) *group {
	if opened, ok := g.open[name]; ok {
		return opened
	}
	force := g.force.Load()
	declared, ok := force.declared[name]
	if !ok || g.closed {
		return nil
	}
	opened := g.proxy.newGroup(declared, force.config)
	g.open[name] = opened
	g.share(opened)
	return opened
}

// opened returns a group that is in use, or nil.
func (g *groups) opened(name string) *group {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.open[name]
}

// all returns the groups in use, in the order of their names.
func (g *groups) all() []*group {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return slices.SortedFunc(maps.Values(g.open), func(a, b *group) int { return cmp.Compare(a.serving.Name, b.serving.Name) })
}

func (g *groups) watching(opened *group) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return opened.watching
}

// watchers returns the proxies that watch a group.
func (g *groups) watchers(name string) []proxy.Peer {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.assignments.Watchers(name)
}

// setLive takes in a changed set of live proxies.
func (g *groups) setLive(live []proxy.Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.live = live
	g.assignLocked(g.assignments.SetLive(live))
	g.shareLocked()
}

// setLeaving takes in which backend servers are leaving. A leaving primary is
// moved by the first of its group's watchers.
func (g *groups) setLeaving(leaving map[string]bool) {
	g.mu.Lock()
	g.leaving = leaving
	g.mu.Unlock()
	for _, opened := range g.all() {
		g.applyLeaving(opened)
	}
}

func (g *groups) applyLeaving(opened *group) {
	g.mu.RLock()
	leaving := g.leaving
	first := opened.watching && len(g.assignments.Watchers(opened.serving.Name)) > 0 &&
		g.assignments.Watchers(opened.serving.Name)[0].Name == g.proxy.instance.Name
	g.mu.RUnlock()
	move := false
	opened.monitor.View(func(known *dbprocess.Group) {
		primary, _ := known.Primary()
		for i, member := range opened.monitor.Members() {
			opened.serving.Router.SetLeaving(i, leaving[member.Address])
			move = move || leaving[member.Address] && i == primary
		}
	})
	if move && first {
		g.proxy.workers.Submit(func() { g.proxy.moveAway(opened, leaving) })
	}
}

// assignLocked begins or ends this proxy's watch of groups whose watchers
// have changed.
func (g *groups) assignLocked(names []string) {
	for _, name := range names {
		mine := g.assignments.Watches(name, g.proxy.instance.Name)
		if _, ok := g.open[name]; !ok && !mine {
			continue
		}
		opened := g.openLocked(name)
		if opened == nil {
			continue
		}
		opened.watch.SetWatchers(watcherList(g.assignments.Watchers(name)))
		switch {
		case mine && !opened.watching:
			g.proxy.registry.Add(opened.watch)
		case !mine && opened.watching:
			g.proxy.registry.Remove(opened.watch)
		}
		opened.watching = mine
	}
}

func watcherList(peers []proxy.Peer) []dbprocess.Watcher {
	list := make([]dbprocess.Watcher, len(peers))
	for i, w := range peers {
		list[i] = dbprocess.Watcher{Name: w.Name, Zone: w.Zone}
	}
	return list
}

// shareLocked divides each database's connections among the proxies that
// serve its group.
func (g *groups) shareLocked() {
	for _, opened := range g.open {
		g.share(opened)
	}
}

func (g *groups) share(opened *group) {
	sharers := len(g.live)
	if opened.declared.Homes > 0 {
		sharers = g.chooseHomes(opened)
	}
	share := max(opened.declared.Connections/max(sharers, 1), minimumShare)
	settings := dbconn.PoolSettings{MaxConnections: share, MaxQueue: g.force.Load().config.Limits.QueueLength}
	for _, pool := range opened.serving.Pools {
		pool.Resize(settings)
	}
}

// forwardConnections bounds the connections of one proxy to one home of a
// group.
const forwardConnections = 64

// chooseHomes forwards a group's requests to its home proxies, unless this
// proxy is one of them. It returns how many they are.
func (g *groups) chooseHomes(opened *group) int {
	name := opened.serving.Name
	chosen := proxy.ChooseWatchers("home/"+name, g.live, opened.declared.Homes)
	var homes []dbrequest.Home
	for _, peer := range chosen {
		if peer.Name == g.proxy.instance.Name {
			homes = nil
			break
		}
		if peer.Callers == "" {
			// Its own word on where callers connect has not come yet.
			continue
		}
		pool := opened.serving.Homes.Find(peer.Name + " " + peer.Callers)
		if pool == nil {
			pool = dbconn.NewPool(g.proxy.homeTarget(name, peer), dbconn.PoolSettings{
				MaxConnections: forwardConnections, MaxQueue: g.force.Load().config.Limits.QueueLength,
			})
		}
		homes = append(homes, dbrequest.Home{Name: peer.Name + " " + peer.Callers, Zone: peer.Zone, Pool: pool})
	}
	for _, dropped := range opened.serving.Homes.Set(homes) {
		dropped.Close()
	}
	return len(chosen)
}

func (p *Proxy) homeTarget(group string, home proxy.Peer) dbconn.Target {
	t := dbconn.Target{
		Address: home.Callers, Database: group, User: "proxy",
		Application: "oleanderflow/" + p.instance.Zone, Forward: p.forwardProof(group),
	}
	if p.acceptor.TLS != nil {
		t.TLS = p.homeTLS()
	}
	return t
}

// homeTLS accepts the certificate that this proxy itself shows callers, since
// all proxies of a site show the same.
func (p *Proxy) homeTLS() *tls.Config {
	return &tls.Config{
		InsecureSkipVerify: true, MinVersion: tls.VersionTLS12,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			own := p.acceptor.TLS().Certificates[0].Certificate
			if len(raw) == 0 || !bytes.Equal(raw[0], own[0]) {
				return &UntrustedHomeError{}
			}
			return nil
		},
	}
}

// UntrustedHomeError reports a home proxy with a certificate that is not the
// site's.
type UntrustedHomeError struct{}

func (*UntrustedHomeError) Error() string {
	return "the home proxy does not show the site's certificate"
}

// trustedForward is what proxies show each other where callers are trusted.
const trustedForward = "trusted"

// forwardProof is what shows another proxy that this is one too.
func (p *Proxy) forwardProof(group string) string {
	if len(p.secret) == 0 {
		return trustedForward
	}
	mac := hmac.New(sha256.New, p.secret)
	_, _ = mac.Write([]byte("forward " + group))
	return hex.EncodeToString(mac.Sum(nil))
}

// isProxy reports whether a start is another proxy's.
func (p *Proxy) isProxy(parameters map[string]string) bool {
	shown := parameters[callerconn.ForwardParameter]
	if shown == "" {
		return false
	}
	if len(p.secret) == 0 {
		_, trusted := p.acceptor.Auth.(callerconn.Trust)
		return trusted && shown == trustedForward
	}
	return hmac.Equal([]byte(shown), []byte(p.forwardProof(parameters["database"])))
}

// interruptAll closes all connections to databases.
func (g *groups) interruptAll() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	for _, opened := range g.all() {
		for _, pool := range append(opened.serving.Homes.Set(nil), opened.serving.Pools...) {
			pool.Interrupt()
			pool.Close()
		}
	}
}

func (g *groups) close() {
	for _, opened := range g.all() {
		opened.watch.Close()
		opened.monitor.Close()
	}
}

func (p *Proxy) newGroup(declared *operator.Group, config *operator.Configuration) *group {
	members := make([]dbprocess.Member, len(declared.Databases))
	probes := make([]dbprocess.Operations, len(members))
	zones := make([]string, len(members))
	pools := make([]*dbconn.Pool, len(members))
	matches, shares := declaredClasses(config)
	for i, d := range declared.Databases {
		members[i] = dbprocess.Member{Name: d.Name, Zone: d.Zone, Address: d.Address}
		probes[i] = dbconn.NewControl(p.target(declared, d))
		zones[i] = d.Zone
		pools[i] = dbconn.NewPool(p.target(declared, d), dbconn.PoolSettings{MaxConnections: minimumShare, MaxQueue: config.Limits.QueueLength}, shares...)
	}
	monitor := dbprocess.NewMonitor(dbprocess.MonitorSettings{
		Group: declared.Name, Members: members, Durability: declared.Durability,
		ProbeTimeout: config.Reads.ProbeTimeout, SampleInterval: config.Reads.SampleInterval,
		IdleAfter: idleAfter, UnreachableAfter: unreachableAfter,
	}, p.clock, p.sequence, p.workers, probes, p.log)
	opened := &group{declared: declared, monitor: monitor}
	opened.serving = &dbrequest.Serving{
		Name: declared.Name, Monitor: monitor, Pools: pools,
		Gate:       dbrequest.NewGate(),
		Retries:    dbrequest.NewRetryBudget(),
		Homes:      dbrequest.NewHomes(p.instance.Zone),
		Router:     dbrequest.NewRouter(zones, p.instance.Zone, config.Reads.ReplicaWait),
		Ages:       declaredAges(declared.Name, config),
		Classes:    matches,
		Durability: declared.Durability, CommitWait: declared.CommitWait, WriteWait: declared.WriteWait,
	}
	opened.watch = p.newWatch(opened, config)
	monitor.SetEvents(func(e dbprocess.Event) { interrupt(pools, e) })
	monitor.SetObserver(opened.watch.HandleProbe)
	p.registry.Add(monitor)
	return opened
}

// interrupt gives up the connections to a primary that was replaced or a
// database that does not answer.
func interrupt(pools []*dbconn.Pool, e dbprocess.Event) {
	switch e := e.(type) {
	case dbprocess.PrimaryChanged:
		switch {
		case e.From < 0 || e.From == e.To:
		case e.Answers:
			pools[e.From].Reset()
		default:
			pools[e.From].Interrupt()
		}
		pools[e.To].Reset()
	case dbprocess.Unreachable:
		pools[e.Database].Interrupt()
	}
}

// target says how to connect to a database. One whose secrets cannot be read
// cannot be connected to.
func (p *Proxy) target(g *operator.Group, d operator.Database) dbconn.Target {
	t := dbconn.Target{Address: d.Address, Database: g.Name, User: g.User, Application: "oleanderflow/" + p.instance.Zone}
	var err error
	if t.TLS, err = dbconn.LoadTLS(g.TLS, d.Address); err != nil {
		p.log.Error("TLS for a database not set up", zap.String("group", g.Name), zap.Error(err))
		t.Unusable = err
	}
	if t.Password, err = dbconn.LoadPassword(g.PasswordFile); err != nil {
		p.log.Error("password for a database not read", zap.String("group", g.Name), zap.Error(err))
		t.Unusable = err
	}
	return t
}

func (p *Proxy) newWatch(opened *group, config *operator.Configuration) *dbprocess.Watch {
	operations := make([]dbprocess.Operations, len(opened.declared.Databases))
	for i, d := range opened.declared.Databases {
		operations[i] = dbconn.NewControl(p.target(opened.declared, d))
	}
	self := dbprocess.Watcher{Name: p.instance.Name, Zone: p.instance.Zone}
	source := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(proxyNumber(p.instance.Name))))
	failover := dbprocess.NewFailover(len(operations), self, []dbprocess.Watcher{self}, config.Failover, source)
	return dbprocess.NewWatch(opened.monitor, failover, operations, p.instance.Name, &colleagues{proxy: p}, p.log)
}
