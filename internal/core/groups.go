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

// inForce is one accepted configuration, with its groups by name.
type activeConfig struct {
	config   *operator.Configuration
	declared map[string]*operator.Group
}

// groups keeps the groups that are in use. A group is opened when it is first
// used or watched, so that a proxy holds no more than it serves. The mutex is
// taken before the groups' own locks.
type groups struct {
	proxy  *Proxy
	active atomic.Pointer[activeConfig]

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
	g.active.Store(&activeConfig{config: operator.Default()})
	g.assignments.SetLive([]proxy.Peer{p.self()})
	return g
}

// Configuration returns what is in force.
func (p *Proxy) Configuration() *operator.Configuration { return p.groups.active.Load().config }

func (p *Proxy) hasGroup(name string) bool {
	_, ok := p.groups.active.Load().declared[name]
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

// ApplyConfiguration makes a configuration serve all requests that begin from now
// on. Groups whose databases did not change keep their connections.
func (p *Proxy) ApplyConfiguration(config *operator.Configuration) {
	next := &activeConfig{config: config, declared: make(map[string]*operator.Group, len(config.Groups))}
	for i := range config.Groups {
		next.declared[config.Groups[i].Name] = &config.Groups[i]
	}
	g := p.groups
	g.mu.Lock()
	before := g.active.Load().config
	g.active.Store(next)
	var retired []*group
	var reopened []string
	for name, old := range g.open {
		declared, ok := next.declared[name]
		if ok && sameDatabases(old.declared, declared) && sameGroupSettings(before, config) {
			g.open[name] = g.reuseConnections(old, declared, config)
			continue
		}
		delete(g.open, name)
		retired = append(retired, old)
		reopened = append(reopened, name)
	}
	changed := g.assignments.SetCount(config.Watchers)
	changed = append(changed, g.assignments.SetGroups(slices.Collect(maps.Keys(next.declared)))...)
	g.assignLocked(append(changed, reopened...))
	g.resizeAllPoolsLocked()
	g.mu.Unlock()
	for _, old := range retired {
		g.retire(old)
	}
}

// keep serves a changed declaration with the connections of the old.
func (g *groups) reuseConnections(old *group, declared *operator.Group, config *operator.Configuration) *group {
	kept := *old
	kept.declared = declared
	serving := *old.serving
	serving.Ages = maxAgesForGroup(declared.Name, config)
	serving.Classes, _ = classesForConfig(config)
	serving.QueueTimeout = config.Limits.QueueTimeout
	serving.CommitWait, serving.WriteWait = declared.CommitWait, declared.WriteWait
	kept.serving = &serving
	return &kept
}

// retire closes a group that is not declared any more, or otherwise. What
// runs on it finishes, and its commits are still confirmed.
func (g *groups) retire(old *group) {
	g.proxy.registry.Remove(old.monitor)
	g.proxy.registry.Remove(old.watch)
	for _, pool := range append(old.serving.Homes.Set(nil), old.serving.Pools...) {
		pool.Close()
	}
	old.watch.Close()
	g.proxy.wg.Add(1)
	go func() {
		defer g.proxy.wg.Done()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			old.serving.Gate.AwaitQuiet(ctx)
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
	force := g.active.Load()
	declared, ok := force.declared[name]
	if !ok || g.closed {
		return nil
	}
	opened := g.proxy.newGroup(declared, force.config)
	g.open[name] = opened
	g.resizePoolsLocked(opened)
	g.assignWatchLocked(opened)
	return opened
}

// opened returns a group that is in use, or nil.
func (g *groups) lookup(name string) *group {
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
func (g *groups) setLivePeers(live []proxy.Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.live = live
	g.assignLocked(g.assignments.SetLive(live))
	g.resizeAllPoolsLocked()
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
		g.proxy.workers.Submit(func() { g.proxy.moveFromLeaving(opened, leaving) })
	}
}

// assignLocked begins or ends this proxy's watch of groups whose watchers
// have changed.
func (g *groups) assignLocked(names []string) {
	for _, name := range names {
		opened, ok := g.open[name]
		switch {
		case ok:
			g.assignWatchLocked(opened)
		case g.assignments.Watches(name, g.proxy.instance.Name):
			// Opening the group begins its watch.
			g.openLocked(name)
		}
	}
}

// assignWatch begins or ends this proxy's watch of one group.
func (g *groups) assignWatchLocked(opened *group) {
	name := opened.serving.Name
	mine := g.assignments.Watches(name, g.proxy.instance.Name)
	opened.watch.SetWatchers(toWatchers(g.assignments.Watchers(name)))
	switch {
	case mine && !opened.watching:
		g.proxy.registry.Add(opened.watch)
	case !mine && opened.watching:
		g.proxy.registry.Remove(opened.watch)
	}
	opened.watching = mine
}

func toWatchers(peers []proxy.Peer) []dbprocess.Watcher {
	list := make([]dbprocess.Watcher, len(peers))
	for i, w := range peers {
		list[i] = dbprocess.Watcher{Name: w.Name, Zone: w.Zone}
	}
	return list
}

// shareLocked divides each database's connections among the proxies that
// serve its group.
func (g *groups) resizeAllPoolsLocked() {
	for _, opened := range g.open {
		g.resizePoolsLocked(opened)
	}
}

func (g *groups) resizePoolsLocked(opened *group) {
	sharers := len(g.live)
	if opened.declared.Homes > 0 {
		sharers = g.updateHomesLocked(opened)
	}
	share := max(opened.declared.Connections/max(sharers, 1), minPoolConnections)
	settings := dbconn.PoolSettings{MaxConnections: share, MaxQueue: g.active.Load().config.Limits.QueueLength}
	for _, pool := range opened.serving.Pools {
		pool.Resize(settings)
	}
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
