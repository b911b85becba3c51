package session

import (
	"context"
	"strings"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// reconnectTimeout is how long a proxy may be without a connection to this process
// before its transactions are rolled back. A proxy that runs connects again with its
// next request.
const reconnectTimeout = clock.Second

// sender is a process of another proxy that forwards requests to this one.
type sender struct {
	// connections has the contexts of the connections on which requests have arrived
	// and which are still open.
	connections map[context.Context]struct{}
	// lostAt is when the last of the connections ended.
	lostAt clock.Time
}

// senderOf returns the name of the process that a session belongs to. In the names of
// earlier builds it is that of the instance.
func senderOf(session string) string {
	i := strings.LastIndexByte(session, '/')
	return session[:max(i, 0)]
}

// recordSender records that a request of a process arrived on the connection with the
// given context, which is done once the connection has ended.
func (h *Host) recordSender(ctx context.Context, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.senders[name]
	if !ok {
		s = &sender{connections: make(map[context.Context]struct{})}
		h.senders[name] = s
	}
	if _, known := s.connections[ctx]; known {
		return
	}
	s.connections[ctx] = struct{}{}
	context.AfterFunc(ctx, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(s.connections, ctx)
		s.lostAt = h.deps.Clock.Now()
	})
}

// forgetSender forgets the connections of a process that has sent a request as a call,
// whose connection is not known. Its transactions end with their idle timeouts.
func (h *Host) forgetSender(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.senders, name)
}

// goneLocked returns the names of the processes that have been without a connection for
// reconnectTimeout.
func (h *Host) goneLocked(now clock.Time) map[string]bool {
	var gone map[string]bool
	for name, s := range h.senders {
		if len(s.connections) > 0 || now.Sub(s.lostAt) < reconnectTimeout {
			continue
		}
		if gone == nil {
			gone = make(map[string]bool)
		}
		gone[name] = true
	}
	return gone
}
