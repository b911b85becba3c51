package proxy

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
)

func (p *Peers) serve() {
	defer p.wg.Done()
	for {
		c, err := p.listener.Accept()
		switch {
		case err == nil:
			p.accept(c)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			// For example, the file descriptors have run out.
			p.log.Warn("accept peer failed", zap.Error(err))
			select {
			case <-p.done:
				return
			case <-time.After(acceptBackoff):
			}
		}
	}
}

// accept serves a connection of another proxy until it ends or p is closed.
func (p *Peers) accept(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.accepted[c] = struct{}{}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.serveConn(c)
		p.mu.Lock()
		delete(p.accepted, c)
		p.mu.Unlock()
		_ = c.Close()
	}()
}

// serveConn serves frames or calls, depending on the first byte.
func (p *Peers) serveConn(c net.Conn) {
	first := make([]byte, 1)
	if _, err := c.Read(first); err != nil {
		return
	}
	if first[0] == opening[0] {
		p.serveFrames(c)
		return
	}
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(p.handle))
	conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(&prefixedConn{Conn: c, prefix: first}), handler, discardLogs)
	<-conn.DisconnectNotify()
}

func (p *Peers) serveFrames(c net.Conn) {
	in := newIncoming(c, p.receiver, p.workers, p.log)
	p.mu.Lock()
	p.incoming[in] = struct{}{}
	p.mu.Unlock()
	in.serve()
	p.mu.Lock()
	delete(p.incoming, in)
	p.mu.Unlock()
}

// closeStuck closes the connections with frames whose peers do not read.
func (p *Peers) closeStuck() {
	p.mu.Lock()
	for in := range p.incoming {
		in.closeIfStuck()
	}
	links := slices.Collect(maps.Values(p.links))
	p.mu.Unlock()
	// The lock of a link is held while it connects.
	for _, l := range links {
		if o := l.openFrames(); o != nil {
			o.closeIfStuck()
		}
	}
}

// prefixedConn is a connection of which prefix was read before.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

// Read returns the prefix first.
func (c *prefixedConn) Read(b []byte) (int, error) {
	if len(c.prefix) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.prefix)
	c.prefix = c.prefix[n:]
	return n, nil
}

func (p *Peers) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	var result any
	err := contain.Call(p.log, "call of peer method "+r.Method, func() (err error) {
		result, err = p.receiver.Receive(ctx, r.Method, params)
		return err
	})
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()}
	}
	return result, nil
}
