package session

import (
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
)

// record reports the answer to the Recorder and logs failures and requests that
// exceeded the target latency.
func (s *Session) record(r *statement.Request) {
	route := s.route
	s.route = nil
	if route == nil {
		if f := s.answer.Failure; f != nil && !s.refused {
			s.Log.Info("request failed", append(s.callerFields(""), zap.String("database", s.database), zap.Stringer("code", f.Code),
				zap.String("cause", f.Text), zap.Uint64("version", versionNumber(s.Configuration.Load())))...)
		}
		return
	}
	took := s.Clock.Now().Sub(s.arrived)
	s.Recorder.Answered(route, &s.answer, took)
	f := s.answer.Failure
	if s.refused || f == nil && took <= route.TargetLatency {
		return
	}
	fields := append(s.callerFields(s.workspace), zap.String("route", route.Name),
		zap.String("group", route.Group), zap.Stringer("kind", route.Consistency), zap.Stringer("took", took),
		zap.Uint64("version", versionNumber(s.Configuration.Load())))
	fields = append(fields, s.groupFields(route.Group)...)
	if f == nil {
		s.Log.Info("request exceeded its target latency", fields...)
		return
	}
	fields = append(fields, s.failureFields()...)
	s.Log.Info("request failed", append(fields, zap.Stringer("code", f.Code), zap.String("cause", f.Text))...)
}

// groupFields returns log fields with the state of a group that routing
// decisions are based on.
func (s *Session) groupFields(name string) []zap.Field {
	g := s.Group(name)
	if g == nil {
		return []zap.Field{zap.String("primary", "")}
	}
	now := s.Clock.Now()
	m, _ := g.Primary()
	fields := []zap.Field{zap.String("primary", m.ID), zap.Uint64("term", g.Term()), zap.Stringer("floor", s.floor)}
	if provenAt := g.PrimaryProvenAt(now); provenAt > 0 {
		fields = append(fields, zap.Stringer("evidenceAge", now.Sub(provenAt)))
	}
	if at := g.SampledAt(); at > 0 {
		fields = append(fields, zap.Stringer("sampleAge", now.Sub(at)))
	}
	return fields
}
