package proxy

import (
	"context"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// discardLogs disables the logging of the jsonrpc2 library, which returns the
// same failures as errors.
var discardLogs = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// link holds the outgoing connections to one peer, one for calls and one for frames,
// and the messages queued for it.
type link struct {
	peer Peer
	// queue has the messages of Notify. It is nil before the first, and guarded
	// by Peers.mu.
	queue chan func()
	// usedAt is the time of the last Call or message, in nanoseconds since the
	// Unix epoch.
	usedAt atomic.Int64

	mu   sync.Mutex
	conn *jsonrpc2.Conn
	// frames is nil if there is no connection with frames.
	frames *outgoing
	// removed is set when the link is no longer used. No connection is opened
	// for the messages that are still queued or being sent.
	removed bool
	// dialErr is the error of the last dial, nil if it succeeded. failedAt is
	// when that dial ended.
	dialErr  error
	failedAt time.Time
}

// connect returns the open connection of a link, or opens one.
func (p *Peers) connect(ctx context.Context, l *link) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.removed {
		return nil, &UnknownPeerError{Name: l.peer.Name}
	}
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
			l.conn = nil
		default:
			return l.conn, nil
		}
	}
	c, err := l.dialLocked(ctx, dialTimeout)
	if err != nil {
		return nil, err
	}
	l.conn = jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(c), jsonrpc2.HandlerWithError(rejectRequest), discardLogs)
	return l.conn, nil
}

// dialLocked connects to the peer, unless that has failed within dialBackoff.
func (l *link) dialLocked(ctx context.Context, limit time.Duration) (net.Conn, error) {
	if l.dialErr != nil && time.Since(l.failedAt) < dialBackoff {
		return nil, l.dialErr
	}
	dialer := net.Dialer{Timeout: min(dialTimeout, limit)}
	c, err := dialer.DialContext(ctx, "tcp", l.peer.Address)
	if l.dialErr, l.failedAt = err, time.Now(); err != nil {
		return nil, err
	}
	return c, nil
}

// rejectRequest rejects requests that arrive on an outgoing connection: a proxy
// sends requests only on connections that it has opened itself.
func rejectRequest(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "requests go the other way"}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLocked()
}

func (l *link) closeLocked() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
	if l.frames != nil {
		l.frames.close(errDropped)
		l.frames = nil
	}
}

// remove closes the connection for good.
func (l *link) remove() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removed = true
	l.closeLocked()
}
