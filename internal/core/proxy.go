// Package core assembles a proxy from its components and implements the
// program's commands.
package core

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	callerconn "github.com/oleanderflow/oleanderflow/internal/connection/caller"
	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/platform"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	callerrequest "github.com/oleanderflow/oleanderflow/internal/request/caller"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
	versionplatform "github.com/oleanderflow/oleanderflow/internal/version/platform"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

const (
	// idleAfter is how long a group is still sampled after its last use.
	idleAfter = 5 * clock.Second
	// unreachableAfter is how long a database may leave probes unanswered before
	// its connections are closed.
	unreachableAfter = 1200 * clock.Millisecond
	// minPoolConnections is the minimum size of a proxy's connection pool for
	// one database.
	minPoolConnections = 2
)

// Instance identifies one proxy and says where it listens.
type Instance struct {
	Name string
	Zone string
	// Site selects the overlay that is merged into the base file.
	Site       string
	Listen     string
	PeerListen string
}

// Proxy is a running proxy: it accepts callers, serves the database groups and
// cooperates with the other proxies.
type Proxy struct {
	*components
	// starting counts the caller connections whose startup is not finished.
	starting  atomic.Int64
	closeOnce sync.Once

	instance Instance
	log      *zap.Logger
	handler  *callerrequest.Handler
	peers    *proxy.Peers
	listener net.Listener
	acceptor *callerconn.Acceptor

	members      *membershipDriver
	versions     *versionDriver
	instanceList platform.InstanceList
	history      *versionplatform.History
	promotions   *platform.Promotions
	peerSecret   []byte

	groups *groups
	done   chan struct{}
	wg     sync.WaitGroup

	// mu guards the fields below. It is taken before the locks of the groups
	// and sessions.
	mu       sync.Mutex
	sessions map[uint32]*callerconn.Session
	nextSlot uint16
	live     []proxy.Peer
	leaving  bool
}

// Option configures a Proxy in NewProxy.
type Option func(*Proxy)

// WithAuthentication sets how callers are authenticated. By default, all callers
// are trusted.
func WithAuthentication(a callerconn.Authentication) Option {
	return func(p *Proxy) { p.acceptor.Auth = a }
}

// WithTLS offers TLS to callers, with the configuration that current returns for
// each connection. If required is set, plaintext is refused.
func WithTLS(current func() *tls.Config, required bool) Option {
	return func(p *Proxy) { p.acceptor.TLS, p.acceptor.RequireTLS = current, required }
}

// WithInstanceList makes the proxy discover other proxies through the platform's
// instance list.
func WithInstanceList(l platform.InstanceList) Option { return func(p *Proxy) { p.instanceList = l } }

// WithHistory makes the proxy run on the accepted versions of the configuration.
func WithHistory(h *versionplatform.History) Option { return func(p *Proxy) { p.history = h } }

// WithPeerSecret sets the shared secret by which proxies prove to each other that
// a forwarded request comes from a proxy, so that it needs no password. Without
// it, forwarding works only where callers are trusted.
func WithPeerSecret(secret []byte) Option { return func(p *Proxy) { p.peerSecret = secret } }

// WithPromotions makes the proxy record changes of primary in the platform's
// table.
func WithPromotions(r *platform.Promotions) Option { return func(p *Proxy) { p.promotions = r } }

// NewProxy listens on the instance's addresses, applies a configuration and joins
// the other proxies. It accepts callers once Serve is called. The caller must
// close it.
func NewProxy(instance Instance, config *operator.Configuration, log *zap.Logger, options ...Option) (*Proxy, error) {
	p := &Proxy{
		components: initializeComponents(), instance: instance, log: log.With(zap.String("proxy", instance.Name)),
		done: make(chan struct{}), sessions: make(map[uint32]*callerconn.Session),
	}
	p.workers.SetLog(p.log)
	p.scheduler.SetLog(p.log)
	p.acceptor = &callerconn.Acceptor{
		Auth: callerconn.Trust{}, Timeout: func() clock.Duration { return p.Configuration().Limits.StartupTimeout },
		HasGroup: p.hasGroup, Register: p.register, IsProxy: p.isProxy,
	}
	p.handler = callerrequest.NewHandler(p, p.clock, p.sequence, p.log, callerrequest.WithRecorder(p.recordDecision))
	for _, o := range options {
		o(p)
	}
	if err := p.listen(); err != nil {
		p.components.close()
		return nil, err
	}
	p.live = []proxy.Peer{p.self()}
	p.groups = newGroups(p)
	p.ApplyConfiguration(config)
	if err := p.joinPeers(); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// joinPeers starts the exchange of members and versions with other proxies.
func (p *Proxy) joinPeers() error {
	if p.history != nil {
		p.versions = newVersionDriver(p, p.history)
	}
	m, err := newMembershipDriver(p, p.instanceList)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.members = m
	p.mu.Unlock()
	p.scheduler.Add(&gaugeUpdater{proxy: p})
	return nil
}

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = clock.Second

// gaugeUpdater updates a proxy's gauges periodically.
type gaugeUpdater struct {
	proxy      *Proxy
	lastUpdate clock.Time
}

// Tick implements dbprocess.Tickable.
func (g *gaugeUpdater) Tick(now clock.Time) {
	if now.Sub(g.lastUpdate) >= gaugeInterval {
		g.lastUpdate = now
		g.proxy.updateGauges()
	}
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

// Address returns the address where callers connect.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

func (p *Proxy) self() proxy.Peer {
	return proxy.Peer{Name: p.instance.Name, Zone: p.instance.Zone, Address: p.peers.Address(), Callers: p.Address()}
}

// Self returns the proxy as it is announced to other proxies.
func (p *Proxy) Self() proxy.Peer { return p.self() }

// SetLivePeers replaces the set of live proxies, which includes this one.
func (p *Proxy) SetLivePeers(live []proxy.Peer) {
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
	if p.versions != nil {
		p.versions.updateLivePeers()
	}
	p.groups.setLivePeers(live)
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
			p.log.Warn("cannot accept a connection", zap.Error(err))
			time.Sleep(acceptBackoff)
			continue
		}
		if starting := p.starting.Add(1); starting > maxStarting {
			p.starting.Add(-1)
			_ = c.Close()
			continue
		}
		p.wg.Add(1)
		go p.serveCaller(c)
	}
}

// maxStarting bounds the caller connections whose startup is not finished.
const maxStarting = 20_000

// acceptBackoff is the pause after a failed accept, for example when file
// descriptors have run out.
const acceptBackoff = 10 * time.Millisecond

func (p *Proxy) serveCaller(c net.Conn) {
	defer p.wg.Done()
	defer c.Close()
	var s *callerconn.Session
	var cancel *callerconn.CancelKey
	err := contain.Call(p.log, "session start", func() (err error) {
		s, cancel, err = p.acceptor.Accept(c)
		return err
	})
	p.starting.Add(-1)
	switch {
	case cancel != nil:
		p.cancel(*cancel, true)
		return
	case err != nil:
		p.log.Debug("session not started", zap.Error(err))
		return
	}
	defer p.unregister(s)
	if err := contain.Call(p.log, "session", func() error { return p.handler.Serve(s) }); err != nil {
		p.log.Debug("session ended with an error", zap.Error(err))
	}
}

// pidPrefixMask selects the bits of a session's process ID that identify the
// proxy.
const pidPrefixMask = 0xffff0000

// pidPrefix returns the upper 16 bits of the process IDs of a proxy's sessions: a
// hash of the proxy's name. Two proxies may have the same prefix.
func pidPrefix(name string) uint32 {
	return uint32(xxhash.Sum64String(name)) & pidPrefixMask
}

// maxSessionIDs is how many sessions a proxy can tell apart: as many as there are
// process IDs with its prefix.
const maxSessionIDs = 1 << 16

// register assigns a process ID to a new session and adds it to the sessions. It
// returns a *callerconn.ProtocolError if the proxy already holds the declared
// maximum of sessions.
func (p *Proxy) register(s *callerconn.Session) error {
	limit := min(p.Configuration().Limits.Sessions, maxSessionIDs)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sessions) >= limit {
		return &callerconn.ProtocolError{Code: outcome.CodeOverloaded, Message: fmt.Sprintf("this proxy holds %d sessions, as many as are declared; connect again later", limit)}
	}
	for {
		p.nextSlot++
		s.PID = pidPrefix(p.instance.Name) | uint32(p.nextSlot)
		if _, taken := p.sessions[s.PID]; !taken {
			break
		}
	}
	s.StartSeq = p.sequence.Next()
	p.sessions[s.PID] = s
	if p.leaving {
		s.Drain()
	}
	return nil
}

func (p *Proxy) unregister(s *callerconn.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, s.PID)
}

// cancel cancels the running request of a session. If the session is not one of
// this proxy's and forward is set, it sends the cancel request to the other
// proxies whose prefix the process ID has.
func (p *Proxy) cancel(key callerconn.CancelKey, forward bool) {
	p.mu.Lock()
	s, ok := p.sessions[key.PID]
	p.mu.Unlock()
	if ok && string(s.Secret) == string(key.Secret) {
		if err := callerrequest.Cancel(s); err != nil {
			p.log.Info("cannot cancel the request of a session", zap.Error(err))
		}
		return
	}
	if !forward {
		return
	}
	for _, peer := range p.livePeers() {
		if peer.Name != p.instance.Name && pidPrefix(peer.Name) == key.PID&pidPrefixMask {
			p.peers.Notify(peer.Name, proxy.MethodCancel, proxy.CancelMessage{PID: key.PID, Secret: key.Secret})
		}
	}
}

func (p *Proxy) livePeers() []proxy.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.live
}

func (p *Proxy) recordDecision(d callerrequest.Decision) {
	p.metrics.CountDecision(d)
	p.log.Info("routing", zap.String("group", d.Group), zap.String("database", d.Database),
		zap.String("reason", string(d.Reason)), zap.String("outcome", d.Outcome), zap.Int64("waitedMilliseconds", int64(d.Waited)))
}

// Shutdown stops accepting work, waits until running requests finish, but no
// longer than limit, and closes the proxy. It returns false if requests were
// interrupted at the limit.
func (p *Proxy) Shutdown(limit clock.Duration) bool {
	p.members.announceLeaving()
	// A caller that is accepted once the proxy counts as leaving has its first request refused.
	_ = p.listener.Close()
	p.mu.Lock()
	p.leaving = true
	for _, s := range p.sessions {
		s.Drain()
	}
	p.mu.Unlock()
	finished := p.awaitSessions(limit)
	p.members.announceLeft()
	p.Close()
	return finished
}

// awaitSessions waits for the end of all sessions. After limit it closes those
// that are left, waits for their end and returns false.
func (p *Proxy) awaitSessions(limit clock.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit.Std())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		p.wg.Wait()
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

// Close stops the proxy immediately. Running requests are interrupted. Further
// calls wait for the first.
func (p *Proxy) Close() { p.closeOnce.Do(p.close) }

func (p *Proxy) close() {
	close(p.done)
	_ = p.listener.Close()
	p.closeSessions()
	p.scheduler.Close()
	if p.members != nil {
		p.members.close()
	}
	p.groups.interruptAll()
	p.wg.Wait()
	p.peers.Close()
	p.groups.close()
	p.workers.Close()
	p.metrics.Close()
}
