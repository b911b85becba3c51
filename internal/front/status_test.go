package front

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// newStatusFront returns a front whose configuration rows are versions from the given
// function, and the log lines that it writes.
func newStatusFront(t *testing.T, version func(number uint64) *routes.Version) (*Front, *observer.ObservedLogs) {
	core, lines := observer.New(zapcore.DebugLevel)
	p := Platform{DecodeVersion: func(r store.Row) (*routes.Version, error) { return version(r.Number), nil }}
	metrics := NewMetrics()
	t.Cleanup(metrics.Close)
	s := Settings{Name: "front-a", Zone: "z1", PeerAddress: "127.0.0.1:0", RevocationLimit: 5 * clock.Second}
	f := New(s, p, clock.NewBoot(), zap.New(core), metrics)
	require.NoError(t, f.startPeers(s.PeerAddress))
	t.Cleanup(f.peerConns.Close)
	return f, lines
}

func workspacesOf(t *testing.T, keys map[string]string) *routes.Workspaces {
	w := routes.NewWorkspaces()
	for name, key := range keys {
		require.NoError(t, w.Add(routes.Workspace{Name: name, Rate: 60, Burst: 30}, []string{key}))
	}
	return w
}

func getStatus(t *testing.T, f *Front, query string) (status, string) {
	r := httptest.NewRecorder()
	f.serveStatus(r, httptest.NewRequest("GET", "/status"+query, nil))
	require.Equal(t, "application/json", r.Header().Get("Content-Type"))
	var s status
	require.NoError(t, json.Unmarshal(r.Body.Bytes(), &s))
	return s, r.Body.String()
}

// An operator reads from the status which configuration counts, who uses what, which keys
// are in force since when, and which homes serve a group; no key is in it.
func TestStatusShowsWorkspacesKeysAndHomes(t *testing.T) {
	keys := []map[string]string{{"north": "secret-n", "south": "secret-s"}, {"north": "secret-n2", "south": "secret-s"}, {"south": "secret-n2"}}
	f, lines := newStatusFront(t, func(n uint64) *routes.Version {
		return &routes.Version{Number: n, Workspaces: workspacesOf(t, keys[n-7]), Groups: map[string]routes.Group{"shop": {Name: "shop", ConnectionLimit: 112}}}
	})
	empty, _ := getStatus(t, f, "")
	require.Zero(t, empty.Configuration.Version)
	require.Nil(t, empty.Configuration.ProofAgeMillis)

	var members []proxy.Peer
	for i := range 100 {
		members = append(members, proxy.Peer{Name: fmt.Sprintf("p%d", i), Zone: "z1", Address: "127.0.0.1:1"})
	}
	f.homes.SetMembers(members)
	f.allowances.setMembers(members, true)
	row := func(n uint64) store.Row {
		return store.Row{Key: "config", Version: store.Version{Era: 1, Number: n}}
	}
	for n := uint64(7); n <= 8; n++ {
		f.applyVersion(row(n), "")
	}
	f.freshness.proof.Apply(store.Changes{Rows: []store.Row{row(8)}, Whole: true, Version: row(8).Version})
	f.freshness.proof.Prove(f.clock.Now(), row(8).Version)
	f.counts.Admitted("north", f.clock.Now())
	f.counts.Refused("north", session.ReasonLimit)
	f.counts.Refused("north", session.ReasonCapacity)
	f.counts.Refused("", session.ReasonKey)
	f.counts.Waiting("north", 3)

	s, text := getStatus(t, f, "")
	require.Equal(t, "front-a", s.Instance)
	require.EqualValues(t, 8, s.Configuration.Version)
	require.NotNil(t, s.Configuration.ProofAgeMillis)
	require.Less(t, *s.Configuration.ProofAgeMillis, 4*clock.Second)
	require.EqualValues(t, 4900, s.Configuration.ProofLimitMillis)
	require.Len(t, s.Workspaces.Shown, 1)
	north := s.Workspaces.Shown[0]
	require.Equal(t, f.allowances.accountantOf("north"), north.Accountant)
	require.NotEmpty(t, north.Accountant)
	north.Accountant, north.UsedLastSecond = "", 0
	require.Equal(t, workspaceStatus{
		Name: "north", Admitted: 1, Refused: refusedStatus{Limit: 1, Capacity: 1}, Waiting: 3, Rate: 60, Burst: 30, Declared: true,
	}, north)
	require.EqualValues(t, 1, s.Workspaces.Unknown.Key)
	require.EqualValues(t, 60, s.Workspaces.Others.Rate)
	require.Equal(t, keyStatuses{Count: 2, FirstVersion: 7, Shown: []keyStatus{
		{KeyID: routes.KeyID("secret-n2"), Workspace: "north", SinceVersion: 8}, {KeyID: routes.KeyID("secret-s"), Workspace: "south", SinceVersion: 7},
	}}, s.Keys)
	require.Len(t, s.Groups, 1)
	require.Equal(t, namesOf(f.homes.Homes("shop"), ""), s.Groups[0].Homes)
	require.NotEmpty(t, s.Groups[0].Homes)
	require.NotContains(t, text, "secret")
	for _, name := range []string{`"proofAgeMillis"`, `"usedLastSecond"`, `"sinceVersion"`, `"keyId"`, `"availabilityZone"`} {
		require.Contains(t, text, name)
	}

	one, _ := getStatus(t, f, "?workspace=south&keyId="+routes.KeyID("secret-s"))
	require.Equal(t, "south", one.Workspaces.Shown[0].Name)
	require.Len(t, one.Keys.Shown, 1)
	require.Equal(t, 2, one.Keys.Count)

	// A removed key is gone, and one that has moved is in force since it has.
	f.applyVersion(row(9), "")
	gone, _ := getStatus(t, f, "")
	require.Equal(t, []keyStatus{{KeyID: routes.KeyID("secret-n2"), Workspace: "south", SinceVersion: 9}}, gone.Keys.Shown)
	logged := lines.FilterMessage("configuration in force").All()
	require.Len(t, logged, 3)
	require.NotContains(t, logged[0].ContextMap(), "addedKeyIds", "every key is new to a process that starts")
	require.Equal(t, []any{routes.KeyID("secret-s")}, logged[2].ContextMap()["removedKeyIds"])
	for _, line := range lines.All() {
		require.NotContains(t, fmt.Sprint(line.ContextMap()), "secret")
	}
}

// Metrics must have the same bounded set of names as the status, and none where no
// workspaces are declared.
func TestMetricsOfWorkspacesAreBounded(t *testing.T) {
	f, _ := newStatusFront(t, func(n uint64) *routes.Version { return &routes.Version{Number: n} })
	render := func() string {
		r := httptest.NewRecorder()
		f.metrics.ServeHTTP(r, httptest.NewRequest("GET", "/metrics", nil))
		return r.Body.String()
	}
	f.applyVersion(store.Row{Key: "config", Version: store.Version{Era: 1, Number: 1}}, "")
	require.NotContains(t, render(), "workspace")
	for i := range 3000 {
		f.counts.Admitted(fmt.Sprint("w", i), f.clock.Now())
		f.counts.Refused(fmt.Sprint("w", i), session.ReasonLimit)
	}
	f.counts.Refused("", session.ReasonKey)
	text := render()
	// Six figures and four reasons of 20 workspaces and the others, and the four reasons
	// of unknown keys.
	require.Equal(t, (6+4)*(shownWorkspaces+1)+4, strings.Count(text, "workspace="))
	require.Contains(t, text, `oleanderflow_workspace_admitted{workspace="_others"} 2980`)
	require.Contains(t, text, `oleanderflow_workspace_refused{reason="limit",workspace="_others"} 2980`)
	require.Contains(t, text, `oleanderflow_workspace_refused{reason="key",workspace="_unknown"} 1`)
}

// A workspace with the name of a sum was a second series of that name in a scrape.
func TestWorkspacesWithTheNamesOfSumsAreOneSeries(t *testing.T) {
	f, _ := newStatusFront(t, func(n uint64) *routes.Version {
		return &routes.Version{Number: n, Workspaces: workspacesOf(t, map[string]string{"_others": "k1", "_unknown": "k2", "north": "k3"})}
	})
	f.applyVersion(store.Row{Key: "config", Version: store.Version{Era: 1, Number: 1}}, "")
	for _, name := range []string{"_others", "_unknown", "north"} {
		f.counts.Admitted(name, f.clock.Now())
		f.counts.Refused(name, session.ReasonLimit)
	}
	f.counts.Refused("", session.ReasonKey)
	r := httptest.NewRecorder()
	f.metrics.ServeHTTP(r, httptest.NewRequest("GET", "/metrics", nil))
	seen := make(map[string]bool)
	for line := range strings.Lines(r.Body.String()) {
		series := line[:strings.LastIndexByte(line, ' ')]
		require.False(t, seen[series], series)
		seen[series] = true
	}
	require.Contains(t, r.Body.String(), `oleanderflow_workspace_admitted{workspace="_others"} 2`)
	require.Contains(t, r.Body.String(), `oleanderflow_workspace_rate{workspace="_others"} 120`)
	require.Contains(t, r.Body.String(), `oleanderflow_workspace_admitted{workspace="north"} 1`)
	require.Contains(t, r.Body.String(), `oleanderflow_workspace_refused{reason="key",workspace="_unknown"} 1`)
	s, _ := getStatus(t, f, "?workspace=_unknown")
	require.EqualValues(t, 1, s.Workspaces.Shown[0].Admitted)
}

// What was left out of a configuration is reported once for each version.
func TestProblemsOfAConfigurationAreLoggedOnce(t *testing.T) {
	f, lines := newStatusFront(t, func(n uint64) *routes.Version {
		v := &routes.Version{Number: n, Workspaces: routes.NewWorkspaces()}
		for range 100 {
			v.Problems = append(v.Problems, v.Workspaces.Add(routes.Workspace{Name: "north star"}, nil))
		}
		return v
	})
	for range 3 {
		f.applyVersion(store.Row{Key: "config", Version: store.Version{Era: 1, Number: 1}}, "")
	}
	logged := lines.FilterMessage("parts of the configuration left out").All()
	require.Len(t, logged, 1)
	require.EqualValues(t, 100, logged[0].ContextMap()["count"])
	require.Contains(t, logged[0].ContextMap()["error"], `workspace "north star"`)
	require.Equal(t, maxLoggedProblems, strings.Count(fmt.Sprint(logged[0].ContextMap()["error"]), "north star"))
}
