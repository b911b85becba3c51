package front

import (
	"fmt"
	"math"
	"net"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
)

const (
	// reservedDescriptors is how many file descriptors are left to everything
	// but the sessions of callers: files, connections to databases, and
	// connections to and from other proxies. Of a limit lower than twice that,
	// half is left.
	reservedDescriptors = 800
	// maxRefusals is how many callers beyond the limit may be told so at the
	// same time. The connections of further ones are closed at once.
	maxRefusals = 64
)

// acceptCallers accepts connections of callers until the listener is closed.
func (f *Front) acceptCallers() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			if f.isStopped() || errors.Is(err, net.ErrClosed) {
				return
			}
			f.log.Warn("accept caller failed", logs.Error(err))
			backend.Sleep(tickInterval)
			continue
		}
		f.serveCaller(c)
	}
}

// maxSessions returns how many sessions an instance with this many file
// descriptors takes. If it took more, it could not connect to the databases. An
// unknown limit, zero, does not bound them.
func maxSessions(fileDescriptors int) int {
	if fileDescriptors == 0 {
		return math.MaxInt
	}
	return fileDescriptors - min(reservedDescriptors, fileDescriptors/2)
}

func (f *Front) serveCaller(c net.Conn) {
	id := f.lastSessionID.Add(1)
	s := session.New(&f.sessionDeps, id, f.platform.WrapCaller(c))
	limit := maxSessions(f.settings.FileDescriptors)
	f.mu.Lock()
	full := len(f.sessions) >= limit
	if !full {
		f.sessions[id] = s
	}
	f.mu.Unlock()
	if full {
		f.refuseCaller(s, id, limit)
		return
	}
	go func() {
		contain.Run(f.log, "session", s.Run)
		f.mu.Lock()
		delete(f.sessions, id)
		f.mu.Unlock()
	}()
}

// refuseCaller ends a session beyond the limit.
func (f *Front) refuseCaller(s *session.Session, id uint64, limit int) {
	f.log.Warn("session refused: too many sessions", zap.Uint64("session", id), zap.Int("limit", limit))
	if f.refusals.Add(1) > maxRefusals {
		f.refusals.Add(-1)
		s.Close()
		return
	}
	go func() {
		defer f.refusals.Add(-1)
		contain.Run(f.log, "session", func() {
			s.Refuse(&statement.Failure{Code: statement.CodeTooManyConnections, Text: fmt.Sprintf("this proxy holds %d sessions, its limit", limit)})
		})
	}()
}
