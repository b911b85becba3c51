package session

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/freshness"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// scriptedCaller sends requests, and calls before ahead of each.
type scriptedCaller struct {
	Caller
	key      string
	requests []statement.Request
	// unread is how many of the requests arrive after the others.
	unread  int
	before  map[string]func()
	refusal *statement.Failure
	answers []string
}

func (c *scriptedCaller) ReadStartup(clock.Duration) (Startup, error) {
	return Startup{Database: "fills", Key: c.key}, nil
}
func (c *scriptedCaller) Accept() error { return nil }
func (c *scriptedCaller) Refuse(f *statement.Failure) error {
	c.refusal = f
	return nil
}
func (c *scriptedCaller) Interrupt()    {}
func (c *scriptedCaller) Resume()       {}
func (c *scriptedCaller) Arrived() bool { return len(c.requests) > 0 }
func (c *scriptedCaller) HasRead() bool { return len(c.requests) > c.unread }
func (c *scriptedCaller) Close()        {}

func (c *scriptedCaller) Next(clock.Duration) (statement.Request, error) {
	if len(c.requests) == 0 {
		return statement.Request{}, errors.New("the caller has closed the connection")
	}
	r := c.requests[0]
	c.requests = c.requests[1:]
	if f := c.before[r.ID]; f != nil {
		f()
	}
	return r, nil
}

func (c *scriptedCaller) Reply(a *statement.Answer) error {
	text := ""
	if a.Failure != nil {
		text = a.Failure.Error()
	}
	c.answers = append(c.answers, text)
	return nil
}

// refusingLimits refuses every operation while refused is set.
type refusingLimits struct {
	Limits
	refused *LimitError
}

func (l *refusingLimits) Take(string, int, bool) (workspace.Granted, error) {
	if l.refused != nil {
		return workspace.Granted{}, l.refused
	}
	return workspace.Granted{Until: 1 << 60}, nil
}
func (l *refusingLimits) PutBack(string, workspace.Granted) {}
func (l *refusingLimits) Entered(string)                    {}

// recordedUsage has the counts by workspace and outcome.
type recordedUsage struct {
	admitted int
	refused  map[string]int
	waiting  int
}

func (u *recordedUsage) Admitted(string, clock.Time) { u.admitted++ }
func (u *recordedUsage) Refused(workspace string, r Reason) {
	u.refused[workspace+"/"+r.String()]++
}
func (u *recordedUsage) Waiting(_ string, change int) { u.waiting += change }

// tickingClock moves with each reading. Pools read it concurrently.
type tickingClock struct{ now atomic.Int64 }

func newTickingClock() *tickingClock {
	c := &tickingClock{}
	c.now.Store(100_000)
	return c
}

// Now implements clock.Clock.
func (c *tickingClock) Now() clock.Time { return clock.Time(c.now.Add(4)) }

type noRecorder struct{}

func (noRecorder) Answered(*routes.Route, *statement.Answer, clock.Duration) {}

// refusedDialer reaches no database.
type refusedDialer struct{}

func (refusedDialer) Dial(context.Context, backend.Target) (backend.Conn, statement.Answer, error) {
	return nil, statement.Answer{}, errors.New("connection refused")
}

// newPrimaryGroup returns a group with a primary that cannot be reached.
func newPrimaryGroup(t *testing.T, c clock.Clock, log *zap.Logger) *backend.GroupClient {
	g := backend.NewGroupClient("shop", "z", backend.DefaultSettings(), refusedDialer{}, c, log, func() {})
	g.Update(group.Entry{ID: "a", Group: "shop", Address: "a", Role: database.RolePrimary})
	g.ObserveStatus("a", 1, c.Now(), database.Status{Role: database.RolePrimary, Term: 1, Fenced: 1})
	_, ok := g.Primary()
	require.True(t, ok)
	t.Cleanup(g.Close)
	return g
}

// logLines parses JSON log lines.
func logLines(t *testing.T, text string) []map[string]any {
	var lines []map[string]any
	for line := range strings.Lines(text) {
		var fields map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &fields))
		lines = append(lines, fields)
	}
	return lines
}

// requireSecret requires that a key is in no form in a text from which it, or a check of
// guesses of it, could be derived.
func requireSecret(t *testing.T, key, text string) {
	sum := sha256.Sum256([]byte(key))
	for _, form := range []string{key, hex.EncodeToString([]byte(key)), base64.StdEncoding.EncodeToString([]byte(key)), hex.EncodeToString(sum[:])} {
		require.NotContains(t, text, form)
	}
}

// From the log of a session, an operator must see of each refused request why it was
// refused, in one line with the same fields, and must not learn the key: the log is read by
// more people than may act for the workspace.
func TestEachRefusalWritesOneLineWithoutTheKey(t *testing.T) {
	const key, newKey = "k-north-Zx81qq", "k-south-Yw72pp"
	var text bytes.Buffer
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&text), zapcore.DebugLevel))
	c := newTickingClock()
	current := &routes.Current{}
	number := uint64(0)
	accept := func(keys map[string]string) {
		number++
		require.True(t, current.Accept(version(t, number, keys)))
	}
	accept(map[string]string{"north": key, "south": newKey})
	proof := freshness.NewProof(revocationLimit, c.Now())
	row := store.Row{Key: "config", Version: store.Version{Era: 1, Number: 1}}
	proof.Apply(store.Changes{Rows: []store.Row{row}, Whole: true, Version: row.Version})
	prove := func() { proof.Prove(c.Now(), row.Version) }
	prove()
	g := newPrimaryGroup(t, c, log)
	limits, usage := &refusingLimits{}, &recordedUsage{refused: make(map[string]int)}
	deps := &Dependencies{
		Clock: c, Configuration: current, Freshness: proof, Log: log, Recorder: noRecorder{}, Limits: limits, Usage: usage,
		Group: func(string) *backend.GroupClient { return g },
	}
	write := func(id string) statement.Request {
		return statement.Request{ID: id, Operation: statement.Write{Text: "WRITE a b"}}
	}
	caller := &scriptedCaller{key: key, requests: []statement.Request{
		write("capacity"), write("limit"), write("proof"),
		{ID: "begin", Operation: statement.Begin{}}, write("moved"), {ID: "rollback", Operation: statement.Rollback{}}, write("key"),
	}, before: map[string]func(){
		"limit": func() {
			limits.refused = &LimitError{Workspace: "north", Rate: 60, Refused: workspace.Refused{Retry: 80, Used: 61, Age: 120}}
		},
		"proof": func() { c.now.Add(int64(revocationLimit)) },
		"begin": prove,
		"moved": func() { accept(map[string]string{"south": key}) },
		"key": func() {
			accept(map[string]string{"south": newKey})
			prove()
		},
	}}
	New(deps, 7, caller).Run()
	require.Len(t, caller.answers, 7)

	byRequest := make(map[string][]map[string]any)
	for _, line := range logLines(t, text.String()) {
		if id, ok := line["request"].(string); ok {
			byRequest[id] = append(byRequest[id], line)
		}
	}
	for id, want := range map[string]map[string]any{
		"capacity": {"msg": "request failed", "reason": "capacity", "count": 0.0, "limit": 3.0, "waiting": 0.0, "database": "a"},
		"limit":    {"msg": "operation refused for its workspace's limit", "reason": "limit", "count": 61.0, "limit": 60.0, "shareAge": "120ms"},
		"proof":    {"msg": "key not judged: configuration not confirmed", "reason": "proof", "proofLimit": "4.9s"},
		"moved":    {"msg": "key refused: it has moved to another workspace", "reason": "key", "holder": "south"},
		"key":      {"msg": "key refused: no workspace holds it", "reason": "key"},
	} {
		require.Len(t, byRequest[id], 1, "lines of request %s", id)
		line := byRequest[id][0]
		for field, value := range want {
			require.Equal(t, value, line[field], "field %s of request %s", field, id)
		}
		require.Equal(t, routes.KeyID(key), line["keyId"], id)
		require.Equal(t, "north", line["workspace"], id)
		require.Equal(t, "shop", line["group"], id)
		require.EqualValues(t, 7, line["session"], id)
	}
	require.Contains(t, byRequest["proof"][0]["proofAge"], "s")
	require.NotEmpty(t, byRequest["key"][0]["proofAge"])
	require.Equal(t, map[string]int{"north/capacity": 1, "north/limit": 1, "north/proof": 1, "north/key": 2}, usage.refused)
	require.Zero(t, usage.waiting)

	// Two callers that are refused at their start: the removed key, and one with no key.
	for _, k := range []string{key, ""} {
		refused := &scriptedCaller{key: k}
		New(deps, 8, refused).Run()
		require.Equal(t, statement.CodeUnauthorized, refused.refusal.Code)
		caller.answers = append(caller.answers, refused.refusal.Text)
	}
	require.Equal(t, 2, usage.refused["/key"])
	for _, k := range []string{key, newKey} {
		requireSecret(t, k, text.String())
		requireSecret(t, k, strings.Join(caller.answers, "\n"))
	}
	require.Contains(t, text.String(), routes.KeyID(key))
}

// A refusal is counted by one process: by a home if that has decided, and by the proxy of
// the caller if only its reserve could have helped. Otherwise the sums over all proxies,
// which operators alarm on, would be too high.
func TestRefusalsOfHomesAreCountedOnce(t *testing.T) {
	c := newTickingClock()
	limits, usage := &refusingLimits{}, &recordedUsage{refused: make(map[string]int)}
	current := &routes.Current{}
	require.True(t, current.Accept(version(t, 1, map[string]string{"north": "k-north"})))
	var g *backend.GroupClient
	h := NewHost(&Dependencies{
		Clock: c, Configuration: current, Log: zap.NewNop(), Limits: limits, Usage: usage, Group: func(string) *backend.GroupClient { return g },
	})
	g = newPrimaryGroup(t, c, zap.NewNop())
	run := func() *peer.RunResponse {
		r := &peer.RunRequest{Session: "other/1", Workspace: "north", Group: "shop", Timeout: clock.Second}
		return h.run(r, &statement.Request{ID: "q", Operation: statement.Write{Text: "WRITE a b"}})
	}
	limits.refused = &LimitError{Workspace: "north", Rate: 60, Refused: workspace.Refused{Silent: true}}
	silent := run()
	require.True(t, silent.NoGrant)
	require.Empty(t, usage.refused, "the proxy of the caller may have a reserve")
	limits.refused = &LimitError{Workspace: "north", Rate: 60}
	over := run()
	require.Equal(t, map[string]int{"north/limit": 1}, usage.refused)
	limits.refused = nil
	short := run()
	require.Equal(t, map[string]int{"north/limit": 1, "north/capacity": 1}, usage.refused)

	clear(usage.refused)
	s := New(&Dependencies{Clock: c, Configuration: current, Log: zap.NewNop(), Usage: usage}, 1, nil)
	s.workspace = "north"
	for _, response := range []*peer.RunResponse{over, short} {
		s.applyRunResponse(&statement.Request{}, response, "home")
		require.Equal(t, statement.CodeBusy, s.answer.Failure.Code)
		s.countShortage()
	}
	require.Empty(t, usage.refused)
	s.applyRunResponse(&statement.Request{}, silent, "home")
	s.countShortage()
	require.Equal(t, map[string]int{"north/limit": 1}, usage.refused)
}
