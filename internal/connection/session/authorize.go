package session

import (
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
)

// authorize returns the name of the workspace on whose behalf the session may use
// a route now, or the failure to report. The name is empty on public routes and
// where no workspaces are declared.
func (s *Session) authorize(route *routes.Route) (string, *statement.Failure) {
	v := s.Configuration.Load()
	if v.Workspaces == nil || route.Public {
		return "", nil
	}
	if w := v.Workspaces.OfKey(s.key); w != nil {
		return w.Name, nil
	}
	s.Log.Info("key refused: no workspace holds it", zap.Uint64("session", s.id), zap.String("keyId", routes.KeyID(s.key)),
		zap.String("route", route.Name), zap.Uint64("version", v.Number))
	return "", &statement.Failure{Code: statement.CodeUnauthorized, Text: "no workspace holds the key"}
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
		failure = &statement.Failure{Code: statement.CodeUnauthorized, Text: "the key has moved to another workspace"}
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
