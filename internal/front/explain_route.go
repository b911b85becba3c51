package front

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// explainRoutePath is the path of explanations at the metrics address.
const explainRoutePath = "/explain-route"

// Names of the parameters of an explanation.
const (
	parameterDatabase  = "database"
	parameterWorkspace = "workspace"
	parameterKind      = "kind"
	parameterToken     = "token"
	parameterMaxAge    = "maxAgeMillis"
)

var routeParameters = []string{parameterDatabase, parameterWorkspace, parameterKind, parameterToken, parameterMaxAge}

// maxMaxAge is the highest maximum age that can be given, the highest number of whole
// milliseconds that JSON passes without loss.
const maxMaxAge = 1 << 53

// errKeyParameter reports that a key was given.
var errKeyParameter = &session.ParameterError{Parameter: "key", Reason: "not accepted; name the workspace that holds the key"}

// parseRouteQuery reads the parameters of an explanation. It returns a
// *session.ParameterError, which quotes no value.
func parseRouteQuery(values url.Values) (session.Query, error) {
	var q session.Query
	for name, list := range values {
		switch {
		case name == "key":
			return q, errKeyParameter
		case !slices.Contains(routeParameters, name):
			// The name is not quoted: it may be a key that was given by mistake.
			return q, &session.ParameterError{Parameter: "(unknown)", Reason: "only database, workspace, kind, token and maxAgeMillis are accepted"}
		case len(list) > 1:
			return q, &session.ParameterError{Parameter: name, Reason: "given more than once"}
		}
	}
	q.Database, q.Workspace = values.Get(parameterDatabase), values.Get(parameterWorkspace)
	if q.Database == "" {
		return q, &session.ParameterError{Parameter: parameterDatabase, Reason: "missing"}
	}
	if values.Has(parameterWorkspace) && q.Workspace == "" {
		return q, &session.ParameterError{Parameter: parameterWorkspace, Reason: "empty"}
	}
	q.Kind = session.KindRead
	if values.Has(parameterKind) {
		q.Kind = session.Kind(values.Get(parameterKind))
	}
	if !slices.Contains([]session.Kind{session.KindRead, session.KindWrite, session.KindBegin}, q.Kind) {
		return q, &session.ParameterError{Parameter: parameterKind, Reason: "expected read, write or begin"}
	}
	if values.Has(parameterToken) {
		floor, err := position.Parse(values.Get(parameterToken))
		if err != nil {
			return q, &session.ParameterError{Parameter: parameterToken, Reason: "expected a position, term/offset in decimal"}
		}
		q.Floor = floor
	}
	if values.Has(parameterMaxAge) {
		age, err := strconv.ParseInt(values.Get(parameterMaxAge), 10, 64)
		if err != nil || age < 0 || age > maxMaxAge {
			return q, &session.ParameterError{Parameter: parameterMaxAge, Reason: "expected a whole number of milliseconds, 0 or more"}
		}
		maxAge := clock.Duration(age)
		q.MaxAge = &maxAge
	}
	return q, nil
}

// routeError is the answer to a request that cannot be explained.
type routeError struct {
	Error string `json:"error"`
	// Parameter is the name of the parameter that is wrong, if one is.
	Parameter string `json:"parameter,omitempty"`
}

// serveExplainRoute answers /explain-route.
func (f *Front) serveExplainRoute(w http.ResponseWriter, r *http.Request) {
	code, answer := http.StatusInternalServerError, any(routeError{Error: "the explanation failed; see the log"})
	contain.Run(f.log, "explanation of a route", func() { code, answer = f.explainRoute(r.URL.RawQuery) })
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(answer); err != nil {
		f.log.Debug("explanation not delivered", logs.Error(err))
	}
}

// explainRoute returns the HTTP status and the body of the answer to a query.
func (f *Front) explainRoute(rawQuery string) (int, any) {
	values, err := url.ParseQuery(rawQuery)
	if err != nil {
		return http.StatusBadRequest, routeError{Error: "the query cannot be decoded"}
	}
	q, err := parseRouteQuery(values)
	if err != nil {
		return routeFailure(err)
	}
	e, err := session.Explain(&f.sessionDeps, f.settings.Zone, f.allowances, q)
	if err != nil {
		return routeFailure(err)
	}
	return http.StatusOK, e
}

func routeFailure(err error) (int, any) {
	var parameter *session.ParameterError
	var unconfigured *session.NoConfigurationError
	switch {
	case errors.As(err, &parameter) && parameter.Unknown:
		return http.StatusNotFound, routeError{Error: err.Error(), Parameter: parameter.Parameter}
	case errors.As(err, &parameter):
		return http.StatusBadRequest, routeError{Error: err.Error(), Parameter: parameter.Parameter}
	case errors.As(err, &unconfigured):
		return http.StatusServiceUnavailable, routeError{Error: err.Error()}
	default:
		return http.StatusInternalServerError, routeError{Error: err.Error()}
	}
}
