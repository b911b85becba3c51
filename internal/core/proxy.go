// Package core wires the parts of a proxy together and runs the commands
// of the program.
package core

import (
	"context"
	"crypto/tls"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	callerconn "github.com/oleanderflow/oleanderflow/internal/connection/caller"
	dbconn "github.com/oleanderflow/oleanderflow/internal/connection/database"
	dbprocess "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/platform"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	callerrequest "github.com/oleanderflow/oleanderflow/internal/request/caller"
	dbrequest "github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
	versionplatform "github.com/oleanderflow/oleanderflow/internal/version/platform"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// controlWorkers is how many control tasks run at once.
	controlWorkers = 48
	// idleAfter is how long after its last use a group is sampled.
	idleAfter = 5 * clock.Second
	// unreachableAfter is how long a database may be silent before its
	// connections are given up.
	unreachableAfter = 1200 * clock.Millisecond
	// minimumShare is the least number of connections of a proxy to one
	// database.
	minimumShare = 2
)

// Instance is what one proxy's own settings say of it.
type Instance struct {
	Name string
	Zone string
	// Site selects the overlay that the proxy runs on.
	Site       string
	Listen     string
	PeerListen string
}

// Proxy is one running proxy.
type Proxy struct {
	instance Instance
	clock    clock.Clock
	sequence *dbprocess.Sequence
	workers  *dbprocess.Workers
	registry *dbprocess.Registry
	log      *zap.Logger
	handler  *callerrequest.Handler
	metrics  *Metrics
	peers    *proxy.Peers
	listener net.Listener
	acceptor *callerconn.Acceptor

	members *members
	spread  *spread
	list    platform.List
	history *versionplatform.History

	force atomic.Pointer[inForce]
	done  chan struct{}
	wait  sync.WaitGroup

	// mu guards the fields below. It is taken before the locks of the groups
	// and sessions.
	mu       sync.Mutex
	sessions map[uint32]*callerconn.Session
	nextSlot uint16
	live     []proxy.Peer
	leaving  bool
}

// inForce is one accepted configuration with the groups that serve it.
type inForce struct {
	config *operator.Configuration
	groups map[string]*group
}

// group is one database group in service.
type group struct {
	declared operator.Group
	serving  *dbrequest.Serving
	monitor  *dbprocess.Monitor
	watch    *dbprocess.Watch
	watching bool
}

// Option changes a Proxy at its construction.
type Option func(*Proxy)

// WithAuthentication sets how callers prove who they are.
func WithAuthentication(a callerconn.Authentication) Option {
	return func(p *Proxy) { p.acceptor.Auth = a }
}

// WithTLS offers TLS to callers, with the configuration that current
// returns, and refuses plaintext if required.
func WithTLS(current func() *tls.Config, required bool) Option {
	return func(p *Proxy) { p.acceptor.TLS, p.acceptor.RequireTLS = current, required }
}

// WithList makes the proxy find others through the platform's list.
func WithList(l platform.List) Option { return func(p *Proxy) { p.list = l } }

// WithHistory makes the proxy run on the accepted declarations.
func WithHistory(h *versionplatform.History) Option { return func(p *Proxy) { p.history = h } }

// NewProxy listens on the instance's addresses and puts a configuration in
// force. Serve starts to accept callers.
func NewProxy(instance Instance, config *operator.Configuration, log *zap.Logger, options ...Option) (*Proxy, error) {
	p := &Proxy{
		instance: instance, clock: clock.NewSystem(), sequence: &dbprocess.Sequence{},
		log: log.With(zap.String("proxy", instance.Name)), metrics: NewMetrics(),
		done: make(chan struct{}), sessions: make(map[uint32]*callerconn.Session),
	}
	p.acceptor = &callerconn.Acceptor{
		Auth: callerconn.Trust{}, Timeout: config.Limits.StartupTimeout,
		HasGroup: p.hasGroup, Register: p.register,
	}
	p.handler = callerrequest.NewHandler(p, p.clock, p.sequence, p.log, callerrequest.WithRecorder(p.record))
	for _, o := range options {
		o(p)
	}
	if err := p.listen(); err != nil {
		return nil, err
	}
	p.workers = dbprocess.NewWorkers(controlWorkers)
	p.registry = dbprocess.NewRegistry(p.clock)
	p.live = []proxy.Peer{p.self()}
	p.PutInForce(config)
	if err := p.join(); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// join begins the work with other proxies.
func (p *Proxy) join() error {
	if p.history != nil {
		p.spread = newSpread(p, p.history)
	}
	m, err := newMembers(p, p.list)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.members = m
	p.mu.Unlock()
	return nil
}

func (p *Proxy) listen() error {
	l, err := net.Listen("tcp", p.instance.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	p.listener = l
	p.peers, err = proxy.NewPeers(p.instance.PeerListen, &receiver{proxy: p}, p.log)
	if err != nil {
		return errors.Join(err, l.Close())
	}
	return nil
}

// Address returns where callers connect.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

func (p *Proxy) self() proxy.Peer {
	return proxy.Peer{Name: p.instance.Name, Zone: p.instance.Zone, Address: p.peers.Address()}
}

// Self returns the proxy as others know it.
func (p *Proxy) Self() proxy.Peer { return p.self() }

// SetLive replaces the set of live proxies, this one among them.
func (p *Proxy) SetLive(live []proxy.Peer) {
	p.mu.Lock()
	p.live = live
	p.mu.Unlock()
	var others []proxy.Peer
	for _, peer := range live {
		if peer.Name != p.instance.Name {
			others = append(others, peer)
		}
	}
	p.peers.SetPeers(others)
	if p.spread != nil {
		p.spread.setLive(live)
	}
	p.assignWatches()
	p.shareBudgets()
}

// Serve accepts callers until the proxy is closed.
func (p *Proxy) Serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			select {
			case <-p.done:
				return
			default:
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			p.log.Warn("connection not accepted", zap.Error(err))
			time.Sleep(acceptBackoff)
			continue
		}
		p.wait.Add(1)
		go p.serveCaller(c)
	}
}

// acceptBackoff is the pause after a failed accept, as when file
// descriptors run out.
const acceptBackoff = 10 * time.Millisecond

func (p *Proxy) serveCaller(c net.Conn) {
	defer p.wait.Done()
	defer c.Close()
	s, cancel, err := p.acceptor.Accept(c)
	switch {
	case cancel != nil:
		p.cancel(*cancel, true)
		return
	case err != nil:
		p.log.Debug("session not started", zap.Error(err))
		return
	}
	defer p.unregister(s)
	if err := p.handler.Serve(s); err != nil {
		p.log.Debug("session ended", zap.Error(err))
	}
}

// proxyNumber is the part of a process number that tells the proxy.
func (p *Proxy) proxyNumber() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(p.instance.Name))
	return h.Sum32() & 0xffff0000
}

func (p *Proxy) register(s *callerconn.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		p.nextSlot++
		s.PID = p.proxyNumber() | uint32(p.nextSlot)
		if _, taken := p.sessions[s.PID]; !taken {
			break
		}
	}
	s.Arrived = p.sequence.Next()
	p.sessions[s.PID] = s
	if p.leaving {
		s.Leave()
	}
}

func (p *Proxy) unregister(s *callerconn.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, s.PID)
}

// cancel passes a cancel request on, to the other proxies if the session is
// not one of this proxy's.
func (p *Proxy) cancel(key callerconn.CancelKey, forward bool) {
	p.mu.Lock()
	s, ok := p.sessions[key.PID]
	p.mu.Unlock()
	if ok && string(s.Secret) == string(key.Secret) {
		if err := callerrequest.Cancel(s); err != nil {
			p.log.Info("cancel request not passed on", zap.Error(err))
		}
		return
	}
	if forward {
		p.eachPeer(func(peer proxy.Peer) {
			p.peers.Notify(peer.Name, proxy.MethodCancel, proxy.CancelMessage{PID: key.PID, Secret: key.Secret})
		})
	}
}

func (p *Proxy) eachPeer(f func(proxy.Peer)) {
	p.mu.Lock()
	live := p.live
	p.mu.Unlock()
	for _, peer := range live {
		if peer.Name != p.instance.Name {
			f(peer)
		}
	}
}

func (p *Proxy) hasGroup(name string) bool { return p.Serving(name) != nil }

// Serving implements the request package's Groups.
func (p *Proxy) Serving(name string) *dbrequest.Serving {
	force := p.force.Load()
	if force == nil {
		return nil
	}
	g, ok := force.groups[name]
	if !ok {
		return nil
	}
	return g.serving
}

// PutInForce makes a configuration serve all requests that begin from now
// on. Groups that did not change keep their connections.
func (p *Proxy) PutInForce(config *operator.Configuration) {
	p.mu.Lock()
	old := p.force.Load()
	next := &inForce{config: config, groups: make(map[string]*group)}
	for _, declared := range config.Groups {
		if old != nil && sameDatabases(old.groups[declared.Name], declared) {
			next.groups[declared.Name] = p.keepGroup(old.groups[declared.Name], declared, config)
			continue
		}
		next.groups[declared.Name] = p.newGroup(declared, config)
	}
	p.force.Store(next)
	p.mu.Unlock()
	p.assignWatches()
	p.shareBudgets()
	p.retire(old, next)
}

// Configuration returns what is in force.
func (p *Proxy) Configuration() *operator.Configuration { return p.force.Load().config }

func sameDatabases(old *group, declared operator.Group) bool {
	if old == nil || len(old.declared.Databases) != len(declared.Databases) ||
		old.declared.User != declared.User || old.declared.TLS != declared.TLS || old.declared.PasswordFile != declared.PasswordFile ||
		old.declared.Durability != declared.Durability {
		return false
	}
	for i, d := range declared.Databases {
		o := old.declared.Databases[i]
		if o.Name != d.Name || o.Address != d.Address || o.Zone != d.Zone {
			return false
		}
	}
	return true
}

// keepGroup serves a changed declaration with the connections of the old.
func (p *Proxy) keepGroup(old *group, declared operator.Group, config *operator.Configuration) *group {
	kept := *old
	kept.declared = declared
	serving := *old.serving
	serving.Ages = declaredAges(declared.Name, config)
	serving.CommitWait, serving.WriteWait = declared.CommitWait, declared.WriteWait
	kept.serving = &serving
	return &kept
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

func (p *Proxy) newGroup(declared operator.Group, config *operator.Configuration) *group {
	members := make([]dbprocess.Member, len(declared.Databases))
	probes := make([]dbprocess.Operations, len(members))
	zones := make([]string, len(members))
	pools := make([]*dbconn.Pool, len(members))
	for i, d := range declared.Databases {
		members[i] = dbprocess.Member{Name: d.Name, Zone: d.Zone, Address: d.Address}
		probes[i] = dbconn.NewControl(p.target(declared, d))
		zones[i] = d.Zone
		pools[i] = dbconn.NewPool(p.target(declared, d), dbconn.PoolSettings{MaxConnections: minimumShare, MaxQueue: config.Limits.QueueLength})
	}
	monitor := dbprocess.NewMonitor(dbprocess.MonitorSettings{
		Group: declared.Name, Members: members, Durability: declared.Durability,
		ProbeTimeout: config.Reads.ProbeTimeout, SampleInterval: config.Reads.SampleInterval,
		IdleAfter: idleAfter, UnreachableAfter: unreachableAfter,
	}, p.clock, p.sequence, p.workers, probes, p.log)
	g := &group{declared: declared, monitor: monitor}
	g.serving = &dbrequest.Serving{
		Name: declared.Name, Monitor: monitor, Pools: pools,
		Router:     dbrequest.NewRouter(zones, p.instance.Zone, config.Reads.ReplicaWait),
		Ages:       declaredAges(declared.Name, config),
		Durability: declared.Durability, CommitWait: declared.CommitWait, WriteWait: declared.WriteWait,
	}
	g.watch = p.newWatch(g, config)
	monitor.SetEvents(func(e dbprocess.Event) { interrupt(pools, e) })
	monitor.SetObserver(g.watch.HandleProbe)
	p.registry.Add(monitor)
	return g
}

// interrupt gives up the connections to a primary that was replaced or a
// database that does not answer.
func interrupt(pools []*dbconn.Pool, e dbprocess.Event) {
	switch e := e.(type) {
	case dbprocess.PrimaryChanged:
		if e.From >= 0 && e.From != e.To {
			pools[e.From].Interrupt()
		}
		pools[e.To].Reset()
	case dbprocess.Unreachable:
		pools[e.Database].Interrupt()
	}
}

func (p *Proxy) target(g operator.Group, d operator.Database) dbconn.Target {
	return dbconn.Target{
		Address: d.Address, Database: g.Name, User: g.User,
		Application: "oleanderflow/" + p.instance.Zone,
	}
}

func (p *Proxy) newWatch(g *group, config *operator.Configuration) *dbprocess.Watch {
	operations := make([]dbprocess.Operations, len(g.declared.Databases))
	for i, d := range g.declared.Databases {
		operations[i] = dbconn.NewControl(p.target(g.declared, d))
	}
	self := dbprocess.Watcher{Name: p.instance.Name, Zone: p.instance.Zone}
	source := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(p.proxyNumber())))
	failover := dbprocess.NewFailover(len(operations), self, []dbprocess.Watcher{self}, config.Failover, source)
	return dbprocess.NewWatch(g.monitor, failover, operations, p.instance.Name, &colleagues{proxy: p}, p.log)
}

// assignWatches makes this proxy watch the groups whose watcher it is.
func (p *Proxy) assignWatches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	force := p.force.Load()
	for name, g := range force.groups {
		watchers := proxy.ChooseWatchers(name, p.live, force.config.Watchers)
		mine := false
		list := make([]dbprocess.Watcher, len(watchers))
		for i, w := range watchers {
			list[i] = dbprocess.Watcher{Name: w.Name, Zone: w.Zone}
			mine = mine || w.Name == p.instance.Name
		}
		g.watch.SetWatchers(list)
		switch {
		case mine && !g.watching:
			p.registry.Add(g.watch)
		case !mine && g.watching:
			p.registry.Remove(g.watch)
		}
		g.watching = mine
	}
}

// shareBudgets divides each database's connections among the live proxies.
func (p *Proxy) shareBudgets() {
	p.mu.Lock()
	defer p.mu.Unlock()
	force := p.force.Load()
	for _, g := range force.groups {
		share := max(g.declared.Connections/max(len(p.live), 1), minimumShare)
		for _, pool := range g.serving.Pools {
			pool.Resize(dbconn.PoolSettings{MaxConnections: share, MaxQueue: force.config.Limits.QueueLength})
		}
	}
}

// retire closes the groups of an old configuration that the new one does
// not share. Requests that run on them finish.
func (p *Proxy) retire(old, next *inForce) {
	if old == nil {
		return
	}
	for name, g := range old.groups {
		if kept, ok := next.groups[name]; ok && kept.monitor == g.monitor {
			continue
		}
		p.registry.Remove(g.monitor)
		p.registry.Remove(g.watch)
		for _, pool := range g.serving.Pools {
			pool.Close()
		}
	}
}

func (p *Proxy) record(d callerrequest.Decision) {
	p.metrics.Decision(d)
	p.log.Info("routing", zap.String("group", d.Group), zap.String("database", d.Database),
		zap.String("reason", string(d.Reason)), zap.String("outcome", d.Outcome), zap.Int64("waitedMilliseconds", int64(d.Waited)))
}

// Shutdown takes no new work, lets what runs finish within limit and closes
// the proxy. It returns false if requests were cut at the limit.
func (p *Proxy) Shutdown(limit clock.Duration) bool {
	p.members.leave()
	p.mu.Lock()
	p.leaving = true
	for _, s := range p.sessions {
		s.Leave()
	}
	p.mu.Unlock()
	_ = p.listener.Close()
	finished := p.awaitSessions(limit)
	p.members.left()
	p.Close()
	return finished
}

func (p *Proxy) awaitSessions(limit clock.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit.Std())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		p.wait.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
	}
	p.closeSessions()
	<-ended
	return false
}

func (p *Proxy) closeSessions() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sessions {
		_ = s.Close()
	}
}

// Close ends the proxy at once.
func (p *Proxy) Close() {
	select {
	case <-p.done:
		return
	default:
		close(p.done)
	}
	_ = p.listener.Close()
	p.closeSessions()
	p.registry.Close()
	if p.members != nil {
		p.members.close()
	}
	for _, g := range p.force.Load().groups {
		for _, pool := range g.serving.Pools {
			pool.Interrupt()
			pool.Close()
		}
	}
	p.wait.Wait()
	p.peers.Close()
	for _, g := range p.force.Load().groups {
		g.watch.Close()
		g.monitor.Close()
	}
	p.workers.Close()
	p.metrics.Close()
}
