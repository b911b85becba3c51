package proxy

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"
)

// callsPeriod is how long requests are sent as calls to a peer that does not answer
// the opening of frames, because it may be of an earlier build.
const callsPeriod = time.Minute

// Run sends a request as a frame and decodes the answer into response, which no one
// else uses once Run has returned. It waits until ctx ends, and no longer than
// limit; the limit needs no timer for each request. The errors are those of Call, and a
// *ChangedTextError if the request could be sent only with other texts.
// After callsPeriod a peer of an earlier build is examined again, with the opening
// alone. Until it has answered, and if the request is too long for a frame, the
// request is sent as a call of MethodRun.
func (p *Peers) Run(ctx context.Context, name string, request msgp.Marshaler, response msgp.Unmarshaler, limit time.Duration) error {
	now := time.Now()
	l, earlier := p.beginRun(name, now)
	if l == nil {
		return &UnknownPeerError{Name: name}
	}
	defer p.wg.Done()
	l.usedAt.Store(now.UnixNano())
	if earlier {
		return p.callRun(ctx, name, request, response, limit)
	}
	deadline := now.Add(min(limit, callTimeout))
	// A connection may end before the request is queued. Nothing was sent then, so
	// that another one can be used.
	for range 2 {
		o, err := p.connectFrames(ctx, l, limit)
		if err != nil {
			return &UnreachableError{Name: name, Cause: err}
		}
		err = o.run(ctx, request, response, deadline)
		if isTooLong(err) {
			return p.callRun(ctx, name, request, response, limit)
		}
		if !errors.Is(err, errNotSent) {
			return err
		}
	}
	return &UnreachableError{Name: name, Cause: errNotSent}
}

// beginRun returns the link to a peer, and whether the peer is taken for an earlier
// build. It examines the peer if that is due. It returns nil if the peer is not
// known, and adds one to p.wg otherwise: Close waits for what Run has started.
func (p *Peers) beginRun(name string, now time.Time) (*link, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.linkLocked(name)
	if l == nil {
		return nil, false
	}
	p.wg.Add(1)
	until, earlier := p.earlier[name]
	if earlier && now.After(until) {
		p.earlier[name] = now.Add(callsPeriod)
		p.wg.Add(1)
		go p.examine(l)
	}
	return l, earlier
}

// recordEarlier records that a peer has not answered the opening of frames.
func (p *Peers) recordEarlier(peer Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known[peer.Name].Address == peer.Address {
		p.earlier[peer.Name] = time.Now().Add(callsPeriod)
		p.log.Info("peer does not answer the opening of frames, statements are sent as calls", zap.String("peer", peer.Name))
	}
}

// jsonFitter is implemented by requests with texts that JSON may not carry unchanged.
type jsonFitter interface{ FitsJSON() bool }

// ChangedTextError reports a request that was not sent, since the peer would have got
// other texts than those of the request.
type ChangedTextError struct{ Name string }

func (e *ChangedTextError) Error() string {
	return "a call would change the texts of the request to proxy " + e.Name
}

func (p *Peers) callRun(ctx context.Context, name string, request, response any, limit time.Duration) error {
	if f, ok := request.(jsonFitter); ok && !f.FitsJSON() {
		return &ChangedTextError{Name: name}
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return p.Call(ctx, name, MethodRun, request, response)
}

// connectFrames returns the open connection with frames of a link, or opens one.
func (p *Peers) connectFrames(ctx context.Context, l *link, limit time.Duration) (*outgoing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.removed {
		return nil, &UnknownPeerError{Name: l.peer.Name}
	}
	if l.frames != nil && l.frames.isOpen() {
		return l.frames, nil
	}
	c, err := l.dialLocked(ctx, limit)
	if err != nil {
		return nil, err
	}
	o := newOutgoing(c, l.peer.Name, p.log, func() { p.recordEarlier(l.peer) })
	l.frames = o
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		o.read()
	}()
	return o, nil
}

// examine opens a connection with frames to a peer of an earlier build, and uses it
// once the peer has answered the opening. Requests are sent as calls until then, so
// that none is lost on a connection that the peer does not understand.
func (p *Peers) examine(l *link) {
	defer p.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	l.mu.Lock()
	c, err := l.dialLocked(ctx, dialTimeout)
	l.mu.Unlock()
	if err != nil {
		return
	}
	o := newOutgoing(c, l.peer.Name, p.log, func() {})
	ended := make(chan struct{})
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		defer close(ended)
		o.read()
	}()
	o.open()
	select {
	case <-o.greeted:
	case <-ended:
		return
	case <-ctx.Done():
		o.close(errDropped)
		return
	case <-p.done:
		o.close(errDropped)
		return
	}
	if !l.setFrames(o) {
		return
	}
	p.mu.Lock()
	delete(p.earlier, l.peer.Name)
	p.mu.Unlock()
	p.log.Info("peer answers the opening of frames", zap.String("peer", l.peer.Name))
}

// setFrames makes o the connection with frames, unless the link is no longer used.
// It closes o then and returns false.
func (l *link) setFrames(o *outgoing) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.removed {
		o.close(errDropped)
		return false
	}
	if l.frames != nil {
		l.frames.close(errDropped)
	}
	l.frames = o
	return true
}

// openFrames returns the connection with frames, nil if there is none.
func (l *link) openFrames() *outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.frames
}

func (o *outgoing) isOpen() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err == nil
}
