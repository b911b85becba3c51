package core

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	dbconn "github.com/oleanderflow/oleanderflow/internal/connection/database"
	dbprocess "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	dbrequest "github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
)

// activeConfig is the configuration that new requests use, with its groups by
// name.
type activeConfig struct {
	config   *operator.Configuration
	declared map[string]*operator.Group
}

// groups holds the open database groups. A group is opened on first use or when
// this proxy becomes one of its watchers, so that a proxy spends no resources on
// groups that it does not serve. Lock order: mu before the locks of a group.
type groups struct {
	proxy  *Proxy
	active atomic.Pointer[activeConfig]

	mu          sync.RWMutex
	open        map[string]*group
	assignments *proxy.Assignments
	live        []proxy.Peer
	closed      bool
	// leaving holds the addresses of backend servers that the platform's
	// instance list marks as leaving.
	leaving map[string]bool
}

func newGroups(p *Proxy) *groups {
	g := &groups{proxy: p, open: make(map[string]*group), assignments: proxy.NewAssignments(1), live: []proxy.Peer{p.self()}}
	g.active.Store(&activeConfig{config: operator.Default()})
	g.assignments.SetLive([]proxy.Peer{p.self()})
	return g
}

// Configuration returns the active configuration. It must not be changed.
func (p *Proxy) Configuration() *operator.Configuration { return p.groups.active.Load().config }

func (p *Proxy) hasGroup(name string) bool {
	_, ok := p.groups.active.Load().declared[name]
	return ok
}

// Serving returns a group for requests and opens it if necessary. It returns nil
// if the group is not declared or the proxy is closing. It implements the Groups
// interface of the request/caller package.
func (p *Proxy) Serving(name string) *dbrequest.ServedGroup {
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

// ApplyConfiguration makes a configuration active for all requests that begin
// from now on. A group that is still declared keeps its connections if
// sameDatabases and sameGroupSettings find no difference. Any other open group is
// retired, and opened again when needed.
func (p *Proxy) ApplyConfiguration(config *operator.Configuration) {
	next := &activeConfig{config: config, declared: make(map[string]*operator.Group, len(config.Groups))}
	for i := range config.Groups {
		next.declared[config.Groups[i].Name] = &config.Groups[i]
	}
	g := p.groups
	g.mu.Lock()
	previous := g.active.Load().config
	g.active.Store(next)
	var retired []*group
	var retiredNames []string
	for name, old := range g.open {
		declared, ok := next.declared[name]
		if ok && sameDatabases(old.declared, declared) && sameGroupSettings(previous, config) {
			g.open[name] = g.reuseConnections(old, declared, config)
			continue
		}
		delete(g.open, name)
		retired = append(retired, old)
		retiredNames = append(retiredNames, name)
	}
	changed := g.assignments.SetCount(config.Watchers)
	changed = append(changed, g.assignments.SetGroups(slices.Collect(maps.Keys(next.declared)))...)
	g.assignWatchesLocked(append(changed, retiredNames...))
	g.resizeAllPoolsLocked()
	g.mu.Unlock()
	for _, old := range retired {
		g.retire(old)
	}
}

// reuseConnections returns a group that has the new settings and uses the
// connections, the monitor and the failover driver of old.
func (g *groups) reuseConnections(old *group, declared *operator.Group, config *operator.Configuration) *group {
	updated := *old
	updated.declared = declared
	serving := *old.serving
	serving.Ages = maxAgesForGroup(declared.Name, config)
	serving.Classes, _ = classesForConfig(config)
	serving.Priorities = prioritiesForConfig(config)
	serving.QueueTimeout = config.Limits.QueueTimeout
	serving.CommitWait, serving.WriteWait = declared.CommitWait, declared.WriteWait
	updated.serving = &serving
	return &updated
}

// retire closes a group that was removed from the configuration or has to be
// opened again with other settings. Running requests may finish: the monitor
// stays open until they end or the proxy closes, so that their commits are still
// confirmed.
func (g *groups) retire(old *group) {
	g.proxy.scheduler.Remove(old.monitor)
	g.proxy.scheduler.Remove(old.failover)
	for _, pool := range append(old.serving.Homes.Set(nil), old.serving.Pools...) {
		pool.Close()
	}
	old.failover.Close()
	g.proxy.wg.Add(1)
	go func() {
		defer g.proxy.wg.Done()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			old.serving.Gate.AwaitIdle(ctx)
		}()
		select {
		case <-ended:
		case <-g.proxy.done:
			cancel()
			<-ended
		}
		old.monitor.Close()
	}()
}

// openGroup returns a group and opens it if necessary. It returns nil if the
// group is not declared or the proxy is closing.
func (g *groups) openGroup(name string) *group {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.openLocked(name)
}

func (g *groups) openLocked(name string) *group {
	if opened, ok := g.open[name]; ok {
		return opened
	}
	active := g.active.Load()
	declared, ok := active.declared[name]
	if !ok || g.closed {
		return nil
	}
	opened := g.proxy.newGroup(declared, active.config)
	g.open[name] = opened
	g.resizePoolsLocked(opened)
	g.assignWatchLocked(opened)
	return opened
}

// lookup returns a group if it is open, else nil.
func (g *groups) lookup(name string) *group {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.open[name]
}

// all returns the open groups, sorted by name.
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

// setLivePeers reassigns watchers and connections after the set of live proxies
// has changed.
func (g *groups) setLivePeers(live []proxy.Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.live = live
	g.assignWatchesLocked(g.assignments.SetLive(live))
	g.resizeAllPoolsLocked()
}

// setLeaving replaces the set of leaving backend servers, given by address.
// Replicas on them get no new reads. If a group's primary is on one, the group's
// first watcher moves it to another server.
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
	isFirstWatcher := opened.watching && len(g.assignments.Watchers(opened.serving.Name)) > 0 &&
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
	if move && isFirstWatcher {
		g.proxy.workers.Submit(func() { g.proxy.moveFromLeaving(opened, leaving) })
	}
}

// assignWatchesLocked starts or stops watching the named groups, depending on
// whether this proxy is one of their watchers. It opens groups that it starts to
// watch.
func (g *groups) assignWatchesLocked(names []string) {
	for _, name := range names {
		opened, ok := g.open[name]
		switch {
		case ok:
			g.assignWatchLocked(opened)
		case g.assignments.Watches(name, g.proxy.instance.Name):
			// openLocked also starts watching the group.
			g.openLocked(name)
		}
	}
}

// assignWatchLocked passes the current watchers of an open group to its failover
// driver, and starts or stops watching it.
func (g *groups) assignWatchLocked(opened *group) {
	name := opened.serving.Name
	assigned := g.assignments.Watches(name, g.proxy.instance.Name)
	opened.failover.SetWatchers(toWatchers(g.assignments.Watchers(name)))
	switch {
	case assigned && !opened.watching:
		g.proxy.scheduler.Add(opened.failover)
	case !assigned && opened.watching:
		g.proxy.scheduler.Remove(opened.failover)
	}
	opened.watching = assigned
}

func toWatchers(peers []proxy.Peer) []dbprocess.Watcher {
	list := make([]dbprocess.Watcher, len(peers))
	for i, w := range peers {
		list[i] = dbprocess.Watcher{Name: w.Name, Zone: w.Zone}
	}
	return list
}

// resizeAllPoolsLocked resizes the connection pools of all open groups.
func (g *groups) resizeAllPoolsLocked() {
	for _, opened := range g.open {
		g.resizePoolsLocked(opened)
	}
}

// resizePoolsLocked divides the declared connections of a group equally among the
// proxies that serve it: its home proxies if it has any, else all live proxies.
// Each gets at least minPoolConnections.
func (g *groups) resizePoolsLocked(opened *group) {
	proxyCount := len(g.live)
	if opened.declared.Homes > 0 {
		proxyCount = g.updateHomesLocked(opened)
	}
	maxConnections := max(opened.declared.Connections/max(proxyCount, 1), minPoolConnections)
	settings := dbconn.PoolSettings{MaxConnections: maxConnections, MaxQueue: g.active.Load().config.Limits.QueueLength}
	for _, pool := range opened.serving.Pools {
		pool.Resize(settings)
	}
}

// interruptAll closes all connections to databases, those in use as well, and
// prevents groups from being opened.
func (g *groups) interruptAll() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	for _, opened := range g.all() {
		for _, pool := range append(opened.serving.Homes.Set(nil), opened.serving.Pools...) {
			pool.CloseAll()
			pool.Close()
		}
	}
}

func (g *groups) close() {
	for _, opened := range g.all() {
		opened.failover.Close()
		opened.monitor.Close()
	}
}
