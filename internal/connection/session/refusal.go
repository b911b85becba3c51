package session

import (
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Reason is why a request of a workspace was refused. Nothing of the request has run.
type Reason uint8

// Reasons of refusals.
const (
	// ReasonLimit means that the workspace is over its limit, or that its limit cannot be
	// confirmed.
	ReasonLimit Reason = iota
	// ReasonKey means that the workspace of the caller does not hold its key.
	ReasonKey
	// ReasonProof means that the configuration is not proved to be new enough for the key
	// to be judged.
	ReasonProof
	// ReasonCapacity means that no slot, connection or database was available in time.
	ReasonCapacity
	// ReasonCount is the number of reasons.
	ReasonCount
)

// String returns the name of the reason as it appears in logs, metrics and the status.
func (r Reason) String() string {
	switch r {
	case ReasonLimit:
		return "limit"
	case ReasonKey:
		return "key"
	case ReasonProof:
		return "proof"
	case ReasonCapacity:
		return "capacity"
	default:
		return "invalid"
	}
}

// Usage counts what becomes of the requests of workspaces at this process. Each operation
// and each refusal is counted by one process, which has sent or refused it.
type Usage interface {
	// Admitted counts an operation that is sent to a database now.
	Admitted(workspace string, now clock.Time)
	// Refused counts a request that was refused. workspace is empty if it is not known.
	Refused(workspace string, r Reason)
	// Waiting adds change to the number of requests that wait for a slot.
	Waiting(workspace string, change int)
}

// shortage is the state of a database when a request got no slot or connection of it.
type shortage struct {
	database string
	backend.Stats
}

// recordShortage records that the request got no slot or connection of a database.
func (s *Session) recordShortage(p *backend.Pool) {
	s.shortage = shortage{database: p.ID, Stats: p.Stats()}
}

// countRefusal counts a refusal by this process. Requests of no workspace, on public routes
// or where none are declared, are not counted.
func (s *Session) countRefusal(workspace string, r Reason) {
	if s.Usage != nil {
		s.Usage.Refused(workspace, r)
	}
}

// countWaiting adds change to the number of requests of the workspace that wait.
func (s *Session) countWaiting(change int) {
	if s.Usage != nil && s.workspace != "" {
		s.Usage.Waiting(s.workspace, change)
	}
}

// countShortage counts the current request if it has failed for lack of capacity. A home
// has counted what it has refused itself.
func (s *Session) countShortage() {
	f := s.answer.Failure
	if f == nil || s.refused || s.answeredBy != "" || s.workspace == "" || s.limited != nil {
		return
	}
	if f.Code == statement.CodeBusy || f.Code == statement.CodeTooManyConnections {
		s.shortOfCapacity = true
		s.countRefusal(s.workspace, ReasonCapacity)
	}
}

// callerFields returns the log fields that identify the caller and its request. The key
// itself is never logged.
func (s *Session) callerFields(workspace string) []zap.Field {
	fields := make([]zap.Field, 0, 16)
	if s.requestID != "" {
		fields = append(fields, zap.String("request", s.requestID))
	}
	if s.hostedRoute != nil {
		fields = append(fields, zap.String("session", s.origin))
	} else {
		fields = append(fields, zap.Uint64("session", s.id))
	}
	if s.key != "" {
		fields = append(fields, zap.String("keyId", routes.KeyID(s.key)))
	}
	if workspace != "" {
		fields = append(fields, zap.String("workspace", workspace))
	}
	return fields
}

// refusalFields returns the log fields of a refusal on a route.
func (s *Session) refusalFields(workspace string, route *routes.Route, r Reason) []zap.Field {
	return append(s.callerFields(workspace), zap.Stringer("reason", r), zap.String("route", route.Name), zap.String("group", route.Group),
		zap.Uint64("version", versionNumber(s.Configuration.Load())))
}

// proofFields returns the log fields about the proof of the configuration.
func (s *Session) proofFields() []zap.Field {
	if s.Freshness == nil {
		return nil
	}
	return []zap.Field{zap.Stringer("proofAge", s.Freshness.Age(s.Clock.Now())), zap.Stringer("proofLimit", s.Freshness.MaxAge())}
}

// failureFields returns the log fields about a request that has failed for another reason
// than its key, its limit or an old proof.
func (s *Session) failureFields() []zap.Field {
	var fields []zap.Field
	if s.answeredBy != "" {
		fields = append(fields, zap.String("home", s.answeredBy))
	}
	if !s.shortOfCapacity {
		return fields
	}
	fields = append(fields, zap.Stringer("reason", ReasonCapacity))
	if l := &s.shortage; l.database != "" {
		fields = append(fields, zap.String("database", l.database), zap.Int("count", l.Open), zap.Int("limit", l.MaxOpen), zap.Int("waiting", l.Waiting))
	}
	return fields
}
