package proxy

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"
)

const (
	// dialTimeout limits connection setup, which takes one round trip within a
	// region. Waiting for a lost packet is not worthwhile, because it is
	// retransmitted only after a second.
	dialTimeout = 150 * time.Millisecond
	// dialBackoff is how long after a failed dial further attempts return the
	// same error without dialing.
	dialBackoff = 200 * time.Millisecond
	// callTimeout limits one call to a peer.
	callTimeout = 5 * time.Second
	// maxQueued is the maximum number of messages queued for one peer.
	maxQueued = 64
	// acceptBackoff is the pause after a failed accept.
	acceptBackoff = 50 * time.Millisecond
	// linkIdleTimeout is how long an unused connection to a peer is kept open,
	// and sweepInterval the time between two searches for such connections.
	linkIdleTimeout = 30 * time.Second
	sweepInterval   = 5 * time.Second
)

// UnknownPeerError reports a call to a proxy that is not in the set of known
// peers.
type UnknownPeerError struct{ Name string }

func (e *UnknownPeerError) Error() string { return "no proxy named " + e.Name + " is known" }

// UnreachableError reports that connecting to a proxy failed, so nothing was
// sent.
type UnreachableError struct {
	Name  string
	Cause error
}

func (e *UnreachableError) Error() string {
	return "connect to proxy " + e.Name + ": " + e.Cause.Error()
}

// Unwrap returns the dial error.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Receiver handles the requests and notifications of peers.
type Receiver interface {
	// Receive handles one request or notification. It decodes params itself.
	// For a request, its result or the text of its error is sent to the peer.
	Receive(ctx context.Context, method string, params json.RawMessage) (any, error)
	// Run handles the request of a frame, which it decodes itself and does not keep.
	// ctx is done once the connection on which the request arrived has ended.
	// Its result or the text of its error is sent to the peer. It returns a
	// *DecodeError if the request cannot be decoded.
	Run(ctx context.Context, request []byte) (msgp.Marshaler, error)
}

// CallsOnly implements the part of Receiver that is for frames. It is embedded by
// receivers that other proxies forward no statements to.
type CallsOnly struct{}

// Run returns a *NoFramesError.
func (CallsOnly) Run(context.Context, []byte) (msgp.Marshaler, error) { return nil, &NoFramesError{} }

// NoFramesError reports a request in a frame to a proxy that serves none.
type NoFramesError struct{}

func (*NoFramesError) Error() string { return "statements are not served here" }

// Peers holds outgoing connections to other proxies and accepts connections
// from them. It is safe for concurrent use. Lock order: Peers.mu before link.mu.
type Peers struct {
	receiver Receiver
	log      *zap.Logger
	listener net.Listener
	done     chan struct{}
	workers  *workers
	wg       sync.WaitGroup

	mu    sync.Mutex
	known map[string]Peer
	links map[string]*link
	// earlier has the peers that are taken for earlier builds, which have no frames,
	// and when they are examined again.
	earlier map[string]time.Time
	// accepted has the connections of other proxies, which Close closes.
	accepted map[net.Conn]struct{}
	// incoming has those of them with frames.
	incoming map[*incoming]struct{}
	closed   bool
}

// NewPeers listens on the TCP address for other proxies and passes their calls to
// r. It returns an error if it cannot listen.
func NewPeers(address string, r Receiver, log *zap.Logger) (*Peers, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for other proxies")
	}
	return newPeers(l, r, log), nil
}

func newPeers(l net.Listener, r Receiver, log *zap.Logger) *Peers {
	p := &Peers{
		receiver: r, log: log, listener: l, done: make(chan struct{}),
		known: make(map[string]Peer), links: make(map[string]*link), earlier: make(map[string]time.Time),
		accepted: make(map[net.Conn]struct{}), incoming: make(map[*incoming]struct{}),
	}
	p.workers = newWorkers(p.done)
	p.wg.Add(2)
	go p.serve()
	go p.sweep()
	return p
}

// Address returns the address that other proxies connect to.
func (p *Peers) Address() string { return p.listener.Addr().String() }

// SetPeers replaces the set of known proxies. It closes the connections to those
// that are gone or whose address has changed.
func (p *Peers) SetPeers(peers []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = make(map[string]Peer, len(peers))
	for _, peer := range peers {
		p.known[peer.Name] = peer
	}
	for name, l := range p.links {
		if p.known[name].Address != l.peer.Address {
			p.removeLinkLocked(name)
		}
	}
	for name := range p.earlier {
		if _, ok := p.known[name]; !ok {
			delete(p.earlier, name)
		}
	}
}

// linkLocked returns the link to a known peer and creates it if necessary. It
// returns nil if the peer is unknown or p is closed.
func (p *Peers) linkLocked(name string) *link {
	if l, ok := p.links[name]; ok {
		return l
	}
	peer, ok := p.known[name]
	if !ok || p.closed {
		return nil
	}
	l := &link{peer: peer}
	p.links[name] = l
	return l
}

func (p *Peers) removeLinkLocked(name string) {
	l, ok := p.links[name]
	if !ok {
		return
	}
	delete(p.links, name)
	if l.queue != nil {
		close(l.queue)
	}
	go l.remove()
}

// runQueue sends the queued messages of a link in order, until the link is
// removed. Each link has its own goroutine, so that a peer that hangs does not
// delay messages to others.
func (p *Peers) runQueue(queue <-chan func()) {
	defer p.wg.Done()
	for task := range queue {
		task()
	}
}

// sweep removes the links that have not been used for linkIdleTimeout.
func (p *Peers) sweep() {
	defer p.wg.Done()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case now := <-ticker.C:
			p.closeStuck()
			p.mu.Lock()
			for name, l := range p.links {
				if now.UnixNano()-l.usedAt.Load() >= int64(linkIdleTimeout) && len(l.queue) == 0 {
					p.removeLinkLocked(name)
				}
			}
			p.mu.Unlock()
		}
	}
}

// Notify queues a message and returns without waiting for delivery. The message
// is dropped if the peer is unknown or its queue is full.
func (p *Peers) Notify(name, method string, params any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.linkLocked(name)
	if l == nil {
		return
	}
	if l.queue == nil {
		l.queue = make(chan func(), maxQueued)
		p.wg.Add(1)
		go p.runQueue(l.queue)
	}
	l.usedAt.Store(time.Now().UnixNano())
	task := func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		conn, err := p.connect(ctx, l)
		if err == nil {
			err = conn.Notify(ctx, method, params)
		}
		if err != nil {
			p.log.Debug("failed to send message to peer", zap.String("peer", name), zap.String("method", method), zap.Error(err))
			l.close()
		}
	}
	select {
	case l.queue <- task:
	default:
		p.log.Debug("message to peer dropped: queue is full", zap.String("peer", name), zap.String("method", method))
	}
}

// Call sends a request and stores the response in result. It returns an
// *UnknownPeerError for a proxy that is not known, and an *UnreachableError if
// it could not connect, so that nothing was sent. After any other error the peer
// may have handled the request.
func (p *Peers) Call(ctx context.Context, name, method string, params, result any) error {
	p.mu.Lock()
	l := p.linkLocked(name)
	p.mu.Unlock()
	if l == nil {
		return &UnknownPeerError{Name: name}
	}
	l.usedAt.Store(time.Now().UnixNano())
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := p.connect(ctx, l)
	if err != nil {
		return &UnreachableError{Name: name, Cause: err}
	}
	return conn.Call(ctx, method, params, result)
}

// Drop closes the connection to a proxy. The next message opens a new one.
func (p *Peers) Drop(name string) {
	p.mu.Lock()
	l := p.links[name]
	p.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// CallAddress sends one request to an address over a separate connection and
// stores the response in result. After connecting, only ctx limits how long it
// waits.
func CallAddress(ctx context.Context, address, method string, params, result any) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(c), jsonrpc2.HandlerWithError(rejectRequest), discardLogs)
	defer conn.Close()
	return conn.Call(ctx, method, params, result)
}

// Close stops listening, closes all connections and waits for their goroutines.
func (p *Peers) Close() {
	close(p.done)
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for name := range p.links {
		p.removeLinkLocked(name)
	}
	for conn := range p.accepted {
		_ = conn.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}
