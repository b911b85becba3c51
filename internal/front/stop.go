package front

import (
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// balancerDelay is how long the load balancer may still send callers after
	// the instance has reported that it is not ready: two probes, a second
	// apart.
	balancerDelay = 2300 * clock.Millisecond
	// exitMargin is the part of the shutdown grace that is left for the process
	// to exit by itself.
	exitMargin = 1200 * clock.Millisecond
)

// Stop shuts the instance down gracefully: new callers are refused, idle
// sessions end, and requests and transactions in progress may finish within the
// shutdown grace.
func (f *Front) Stop() {
	began := f.clock.Now()
	f.stopping.Store(true)
	f.log.Info("stopping", zap.Int("sessions", len(f.allSessions())))
	go f.unregister()
	grace := clock.Duration(f.grace.Load())
	half := grace / 2
	backend.Sleep(min(balancerDelay, half))
	_ = f.listener.Close()
	f.host.StopAccepting()
	for _, s := range f.allSessions() {
		s.Drain()
	}
	f.awaitSessions(began.Add(half))
	for _, s := range f.allSessions() {
		s.StopAfterRequest()
	}
	f.awaitSessions(began.Add(grace - exitMargin))
	close(f.done)
	for _, g := range f.allGroups() {
		g.Close()
	}
	f.log.Info("stopped", zap.Int("sessions", len(f.allSessions())), zap.Stringer("took", f.clock.Now().Sub(began)))
}

func (f *Front) allSessions() []*session.Session {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*session.Session, 0, len(f.sessions))
	for _, s := range f.sessions {
		list = append(list, s)
	}
	return list
}

// awaitSessions waits until no sessions and no transactions of other proxies
// are left, but no longer than until.
func (f *Front) awaitSessions(until clock.Time) {
	for len(f.allSessions())+f.host.Len() > 0 && f.clock.Now() < until {
		backend.Sleep(tickInterval)
	}
}

// Reload applies the shutdown grace, the only setting that can change at run
// time. It logs whether a restart is needed for others.
func (f *Front) Reload(s Settings) {
	f.grace.Store(int64(s.ShutdownGrace))
	f.log.Info("settings reloaded", zap.Stringer("grace", s.ShutdownGrace), zap.Bool("restartNeeded", f.needsRestart(s)))
}

// needsRestart reports whether settings differ from those in use in a setting
// that is read only at the start.
func (f *Front) needsRestart(s Settings) bool {
	s.ShutdownGrace, s.FirstStart = f.settings.ShutdownGrace, f.settings.FirstStart
	return s != f.settings
}
