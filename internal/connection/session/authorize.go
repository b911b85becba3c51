package session

import (
	"fmt"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// authorize returns the name of the workspace on whose behalf the session may use
// a route now, or the failure to report. The name is empty on public routes and
// where no workspaces are declared.
func (s *Session) authorize(route *routes.Route) (string, *statement.Failure) {
	// The proof is read before the configuration: the latter is then at least as new as
	// what was proved, and whatever it has replaced meanwhile.
	confirmed := s.confirmed(route)
	v := s.Configuration.Load()
	w := v.Workspaces.OfKey(s.key)
	switch judge(v, route, confirmed, w) {
	case keyUnconfirmed:
		return "", s.refuseUnconfirmed(route, v)
	case keyUnknown:
		return "", s.refuseKey(route)
	case keyHeld:
		return w.Name, nil
	default:
		return "", nil
	}
}

// judgement is whether a caller may use a route.
type judgement uint8

const (
	// noKeyNeeded means that the route is public, or that no workspaces are declared.
	noKeyNeeded judgement = iota
	// keyHeld means that a workspace holds the caller's key.
	keyHeld
	// keyUnknown means that no workspace does.
	keyUnknown
	// keyUnconfirmed means that the configuration is not proved to be new enough to tell.
	keyUnconfirmed
)

// judge decides whether a caller may use a route. confirmed tells whether the
// configuration is proved to be new enough, and holder is the workspace that holds the
// caller's key, nil if none does.
func judge(v *routes.Version, route *routes.Route, confirmed bool, holder *routes.Workspace) judgement {
	switch {
	case v.Workspaces == nil || route.Public:
		return noKeyNeeded
	case !confirmed:
		return keyUnconfirmed
	case holder == nil:
		return keyUnknown
	default:
		return keyHeld
	}
}

// authorizeStart returns the failure to report if no session may be opened on a route.
// A key that the configuration holds opens a session, whose statements are judged each
// by themselves. Another key may be held by a newer configuration.
func (s *Session) authorizeStart(route *routes.Route) *statement.Failure {
	confirmed := s.confirmed(route)
	v := s.Configuration.Load()
	switch {
	case v.Workspaces == nil || route.Public:
		return nil
	case v.Workspaces.OfKey(s.key) != nil:
		s.workspace = v.Workspaces.OfKey(s.key).Name
		return nil
	case !confirmed:
		return s.refuseUnconfirmed(route, v)
	default:
		return s.refuseKey(route)
	}
}

// confirmed reports whether the configuration is proved to be new enough for the current
// request. Before the first proof of a process that has just started, it waits for that.
func (s *Session) confirmed(route *routes.Route) bool {
	p := s.Freshness
	if p == nil || route.Public {
		return true
	}
	if !p.Proved() && s.Configuration.Load().Workspaces != nil {
		wait := maxStartWait
		if route.Timeout > 0 {
			wait = min(wait, route.Timeout/2)
		}
		proved := true
		pollUntil(s.Clock, s.arrived.Add(wait), func() *bool {
			if p.Proved() {
				return &proved
			}
			return nil
		})
	}
	return p.Admits(s.arrived)
}

// refuseUnconfirmed returns the failure for a request whose key cannot be judged. Nothing
// of the request has run.
func (s *Session) refuseUnconfirmed(route *routes.Route, v *routes.Version) *statement.Failure {
	now := s.Clock.Now()
	age, retry := s.Freshness.Age(now), s.Freshness.RetryAfter(now)
	s.Freshness.CountRefusal()
	// The key is of this workspace if it was not removed since.
	workspace := s.workspace
	if w := v.Workspaces.OfKey(s.key); w != nil {
		workspace = w.Name
	}
	s.refused = true
	s.countRefusal(workspace, ReasonProof)
	fields := append(s.refusalFields(workspace, route, ReasonProof), s.proofFields()...)
	s.Log.Info("key not judged: configuration not confirmed", append(fields, zap.Stringer("retryAfter", retry))...)
	return unconfirmedFailure(age, retry)
}

func unconfirmedFailure(age, retry clock.Duration) *statement.Failure {
	return &statement.Failure{Code: statement.CodeBusy, Text: fmt.Sprintf("configuration not confirmed for %d ms; retry after %d ms", age/clock.Millisecond, retry/clock.Millisecond)}
}

// refuseKey returns the failure for a key that no workspace holds.
func (s *Session) refuseKey(route *routes.Route) *statement.Failure {
	s.recordKeyRefusal()
	s.Log.Info("key refused: no workspace holds it", append(s.refusalFields(s.workspace, route, ReasonKey), s.proofFields()...)...)
	return &statement.Failure{Code: statement.CodeUnauthorized, Text: "no workspace holds the key"}
}

// refuseMovedKey returns the failure for a key that another workspace holds than the one
// that began the transaction.
func (s *Session) refuseMovedKey(route *routes.Route, holder string) *statement.Failure {
	s.recordKeyRefusal()
	fields := append(s.refusalFields(s.workspace, route, ReasonKey), s.proofFields()...)
	s.Log.Info("key refused: it has moved to another workspace", append(fields, zap.String("holder", holder))...)
	return &statement.Failure{Code: statement.CodeUnauthorized, Text: "the key has moved to another workspace"}
}

func (s *Session) recordKeyRefusal() {
	s.refused = true
	s.countRefusal(s.workspace, ReasonKey)
}

// admit sets the workspace of the current request: a BEGIN, a statement or a
// COMMIT on the given route. It returns false, with the failure in the answer, if
// the request must not run. An open transaction has failed then.
func (s *Session) admit(route *routes.Route) bool {
	if s.hostedRoute != nil {
		// The proxy that the caller is connected to has admitted the request.
		return true
	}
	workspace, failure := s.authorize(route)
	t := s.tx
	if failure == nil && t != nil && t.workspace != workspace {
		failure = s.refuseMovedKey(route, workspace)
	}
	if failure == nil {
		s.workspace = workspace
		return true
	}
	if t != nil && t.failure == nil {
		s.abortTransaction(failure)
	}
	s.answer.Reset()
	s.answer.Failure = failure
	return false
}
