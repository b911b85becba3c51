package session

import (
	"sync"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

const (
	// maxReadLines is how many reads a process logs in readLogPeriod. Their lines must
	// leave most of the log's rate to others.
	maxReadLines  = 25
	readLogPeriod = 250 * clock.Millisecond
)

// ReadLog bounds the number of log lines about reads.
type ReadLog struct {
	mu      sync.Mutex
	began   clock.Time
	written int
	// skipped counts the reads without a line since the last line.
	skipped int
}

// admit reports whether a read may be logged now, and how many were not since the last
// one that was.
func (l *ReadLog) admit(now clock.Time) (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.began) >= readLogPeriod {
		l.began, l.written = now, 0
	}
	if l.written >= maxReadLines {
		l.skipped++
		return false, 0
	}
	l.written++
	skipped := l.skipped
	l.skipped = 0
	return true, skipped
}

// logRead logs what a read, or the BEGIN of a read-only transaction, that a database has
// served was decided by: without it, nothing tells afterwards why it met an old copy.
func (s *Session) logRead(g *backend.GroupClient, p *backend.Pool, floor position.Position) {
	if s.Reads == nil || s.answer.Failure != nil {
		return
	}
	now := s.Clock.Now()
	admitted, skipped := s.Reads.admit(now)
	if !admitted {
		return
	}
	fields := append(make([]zap.Field, 0, 16), zap.String("request", s.requestID))
	if s.hostedRoute != nil {
		fields = append(fields, zap.String("session", s.origin))
	} else {
		fields = append(fields, zap.Uint64("session", s.id))
	}
	fields = append(fields, zap.String("route", s.route.Name), zap.Stringer("kind", s.route.Consistency), zap.String("database", p.ID),
		zap.Stringer("floor", floor), zap.Stringer("floorSource", s.floorSource), zap.Stringer("own", s.floor),
		zap.Stringer("applied", s.answer.Position), zap.Uint64("term", g.Term()), zap.Int64("arrivedMillisAgo", int64(now.Sub(s.arrived))),
		zap.Int64("evidenceMillisAgo", int64(now.Sub(g.PrimaryProvenAt(now)))), zap.Int64("sampleMillisAgo", int64(now.Sub(g.SampledAt()))))
	if skipped > 0 {
		fields = append(fields, zap.Int("skipped", skipped))
	}
	s.Log.Info("read served", fields...)
}
