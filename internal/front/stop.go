package front

import (
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// balancerDelay is how long the balancer may still send callers after the
	// instance has said that it is not ready: two questions, a second apart.
	balancerDelay = 2300 * clock.Millisecond
	// exitMargin is left of the grace for the process to exit by itself.
	exitMargin = 1200 * clock.Millisecond
)

// Stop ends the instance: no new callers, sessions at rest end, requests and
// transactions in progress are finished within the grace.
func (f *Front) Stop() {
	began := f.clock.Now()
	f.leaving.Store(true)
	f.log.Info("stopping", zap.Int("sessions", len(f.allSessions())))
	go f.leave()
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

// awaitSessions waits until no session is left.
func (f *Front) awaitSessions(until clock.Time) {
	for len(f.allSessions())+f.host.Len() > 0 && f.clock.Now() < until {
		backend.Sleep(tickEvery)
	}
}

// Reload takes in changed settings. Addresses and names stay as they are until
// the next start, and a changed one is reported.
func (f *Front) Reload(s Settings) {
	f.grace.Store(int64(s.Grace))
	old := f.settings
	fixed := s
	fixed.Grace, fixed.MemoryMB, fixed.Descriptors = old.Grace, old.MemoryMB, old.Descriptors
	f.log.Info("settings reloaded", zap.Stringer("grace", s.Grace), zap.Bool("restartNeeded", fixed != old))
}
