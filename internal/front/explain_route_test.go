package front

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

const secretKey = "k-north-Zx81qq"

// unreachableDialer reaches no database.
type unreachableDialer struct{}

func (unreachableDialer) Dial(context.Context, backend.Target) (backend.Conn, statement.Answer, error) {
	return nil, statement.Answer{}, errors.New("connection refused")
}

// newExplainingFront returns a process that is not started, with primary a and replica b,
// and the handler of its explanations.
func newExplainingFront(t *testing.T) (*Front, http.Handler) {
	f := New(Settings{Name: "self", Zone: "z"}, Platform{Store: &hangingStore{}, Dialer: unreachableDialer{}}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+explainRoutePath, f.serveExplainRoute)
	return f, mux
}

// declare puts a configuration in force and makes the databases known.
func declare(t *testing.T, f *Front) {
	w := routes.NewWorkspaces()
	require.NoError(t, w.Add(routes.Workspace{Name: "north"}, []string{secretKey}))
	require.True(t, f.versions.Accept(&routes.Version{Number: 3, Workspaces: w, Routes: map[string]*routes.Route{
		"bookings": {Name: "r1", Database: "bookings", Group: "shop", Consistency: routes.BoundedAge, MaxAge: clock.Minute, TargetLatency: 500, Timeout: 3000},
	}}))
	f.mu.Lock()
	g := f.groupLocked("shop")
	f.mu.Unlock()
	t.Cleanup(g.Close)
	now := f.clock.Now()
	for id, role := range map[string]database.Role{"a": database.RolePrimary, "b": database.RoleReplica} {
		g.Update(group.Entry{ID: id, Group: "shop", Zone: "z", Address: id, Slots: 4})
		g.ObserveStatus(id, now, now, database.Status{Role: role, Term: 1, Received: position.Position{Term: 1, Offset: 9}})
	}
}

func get(h http.Handler, method, query string) *httptest.ResponseRecorder {
	r := httptest.NewRecorder()
	h.ServeHTTP(r, httptest.NewRequest(method, explainRoutePath+"?"+query, nil))
	return r
}

// A wrong parameter must be named, with the status that tells whether the query or the
// configuration lacks it, and no value may come back: it may be a key.
func TestExplainRouteNamesWrongParameters(t *testing.T) {
	f, h := newExplainingFront(t)
	require.Equal(t, http.StatusServiceUnavailable, get(h, "GET", "database=bookings").Code)
	declare(t, f)
	for _, c := range []struct {
		query, parameter string
		status           int
	}{
		{"", "database", 400},
		{"database=", "database", 400},
		{"database=" + secretKey, "database", 404},
		{"database=bookings&database=fills", "database", 400},
		{"database=bookings&workspace=" + secretKey, "workspace", 404},
		{"database=bookings&workspace=", "workspace", 400},
		{"database=bookings&kind=" + secretKey, "kind", 400},
		{"database=bookings&kind=", "kind", 400},
		{"database=bookings&token=" + secretKey, "token", 400},
		{"database=bookings&token=1", "token", 400},
		{"database=bookings&maxAgeMillis=" + secretKey, "maxAgeMillis", 400},
		{"database=bookings&maxAgeMillis=-1", "maxAgeMillis", 400},
		{"database=bookings&maxAgeMillis=9223372036854775807", "maxAgeMillis", 400},
		{"database=bookings&key=" + secretKey, "key", 400},
		{"database=bookings&" + secretKey, "(unknown)", 400},
		{"database=bookings&%zz", "", 400},
	} {
		r := get(h, "GET", c.query)
		require.Equal(t, c.status, r.Code, c.query)
		var answer routeError
		require.NoError(t, json.Unmarshal(r.Body.Bytes(), &answer), c.query)
		require.Equal(t, c.parameter, answer.Parameter, c.query)
		if c.parameter != "" {
			require.Contains(t, answer.Error, c.parameter, c.query)
		}
		require.NotContains(t, r.Body.String(), secretKey, c.query)
	}
	require.Equal(t, http.StatusMethodNotAllowed, get(h, "POST", "database=bookings").Code)
	r := get(h, "GET", "database=bookings&workspace=north&kind=read&token=1/4&maxAgeMillis=60000")
	require.Equal(t, http.StatusOK, r.Code)
	require.True(t, strings.HasPrefix(r.Body.String(), "{\n  \"decision\": {\n    \"outcome\": \"sent\","), r.Body.String())
	require.NotContains(t, r.Body.String(), secretKey)
}

// No query may panic the handler, or get an answer that is no JSON.
func FuzzExplainRoute(f *testing.F) {
	for _, query := range []string{"", "database=bookings", "database=bookings&workspace=north&kind=begin&token=1/18446744073709551615&maxAgeMillis=9007199254740992", "%", "database=bookings&maxAgeMillis=0"} {
		f.Add(query)
	}
	f.Fuzz(func(t *testing.T, query string) {
		front, _ := newExplainingFront(t)
		declare(t, front)
		code, answer := front.explainRoute(query)
		require.Contains(t, []int{200, 400, 404}, code)
		_, err := json.Marshal(answer)
		require.NoError(t, err)
	})
}

// runExplainRoute runs the command against a handler and returns its exit code and outputs.
func runExplainRoute(t *testing.T, h http.Handler, o ExplainRouteOptions) (code int, out, errOut string) {
	server := httptest.NewServer(h)
	defer server.Close()
	o.Metrics = strings.TrimPrefix(server.URL, "http://")
	var outBuffer, errBuffer bytes.Buffer
	code = explainRoute(&o, &outBuffer, &errBuffer)
	return code, outBuffer.String(), errBuffer.String()
}

// The command prints the decision first, and its exit code tells a wrong argument from a
// proxy that has no answer.
func TestExplainRouteCommand(t *testing.T) {
	f, h := newExplainingFront(t)
	text := func(s string) *string { return &s }
	code, _, errOut := runExplainRoute(t, h, ExplainRouteOptions{Database: "bookings"})
	require.Equal(t, exitFailed, code)
	require.Equal(t, "oleanderflow-front: no configuration is known yet\n", errOut)
	declare(t, f)

	code, out, errOut := runExplainRoute(t, h, ExplainRouteOptions{Database: "bookings", Workspace: text("north")})
	require.Equal(t, exitOK, code, errOut)
	lines := strings.Split(out, "\n")
	require.Equal(t, "decision:   sent to database b as replica", lines[0])
	require.Contains(t, lines[1], "because:")
	require.Contains(t, out, "workspace:  north, priority 0, no limit")
	require.Regexp(t, `(?m)^> b +replica +z +1/9 `, out)
	require.Regexp(t, `(?m)^  a +primary +z +1/9 `, out)

	code, out, _ = runExplainRoute(t, h, ExplainRouteOptions{Database: "bookings", JSON: true})
	require.Equal(t, exitOK, code)
	var e session.Explanation
	require.NoError(t, json.Unmarshal([]byte(out), &e))
	require.Equal(t, session.Refused, e.Decision.Outcome)
	require.Equal(t, "key", e.Decision.Reason)

	code, out, errOut = runExplainRoute(t, h, ExplainRouteOptions{Database: "bookings", Kind: text("update")})
	require.Equal(t, exitUsage, code)
	require.Empty(t, out)
	require.Equal(t, "oleanderflow-front: parameter kind: expected read, write or begin\n", errOut)
	code, _, errOut = runExplainRoute(t, h, ExplainRouteOptions{Database: "fills"})
	require.Equal(t, exitFailed, code)
	require.Equal(t, "oleanderflow-front: parameter database: the configuration in force has no such database\n", errOut)
	code, _, errOut = runExplainRoute(t, http.NotFoundHandler(), ExplainRouteOptions{Database: "bookings"})
	require.Equal(t, exitFailed, code)
	require.Contains(t, errOut, "builds without explain-route answer 404")

	var none bytes.Buffer
	unreachable := ExplainRouteOptions{Metrics: "127.0.0.1:1", Database: "bookings", Workspace: text(secretKey)}
	require.Equal(t, exitFailed, explainRoute(&unreachable, &none, &none))
	require.NotContains(t, none.String(), secretKey)
	require.Equal(t, url.Values{"database": {"bookings"}, "workspace": {secretKey}}, unreachable.query())
}

// The parser of the arguments quotes unknown ones, which must not happen to a key.
func TestExplainRouteFindsKeysInArguments(t *testing.T) {
	require.True(t, namesKey([]string{"explain-route", "--database", "a", "--key=" + secretKey}))
	require.True(t, namesKey([]string{"--log-level", "info", "explain-route", "--key", secretKey}))
	require.False(t, namesKey([]string{"explain-route", "--database", "--keys"}))
	require.False(t, namesKey([]string{"explain", "--key"}))
}

// Each outcome has a line of its own.
func TestExplainRouteDecisions(t *testing.T) {
	for want, d := range map[string]session.Decision{
		"sent to database a as primary":                                  {Outcome: session.Sent, Database: "a", Role: "primary"},
		"forwarded to home front-b":                                      {Outcome: session.Forwarded, Home: "front-b"},
		"refused with code busy, reason limit, retry after 80ms":         {Outcome: session.Refused, Code: "busy", Reason: "limit", RetryMillis: 80},
		"waits up to 1.8s, then refused with code busy, reason capacity": {Outcome: session.Waiting, Code: "busy", Reason: "capacity", WaitMillis: 1800},
		"refused with code unauthorized, reason key":                     {Outcome: session.Refused, Code: "unauthorized", Reason: "key"},
	} {
		require.Equal(t, want, decisionText(&d))
	}
}
