package session

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// version returns a version with a keyed and a public route, and the workspaces
// that hold the given keys.
func version(t *testing.T, number uint64, keys map[string]string) *routes.Version {
	w := routes.NewWorkspaces()
	for name, key := range keys {
		require.NoError(t, w.Add(routes.Workspace{Name: name}, []string{key}))
	}
	return &routes.Version{Number: number, Workspaces: w, Routes: map[string]*routes.Route{
		"fills":  {Name: "fills", Group: "shop", Timeout: clock.Second},
		"prices": {Name: "prices", Group: "shop", Timeout: clock.Second, Public: true},
	}}
}

func newKeyedSession(t *testing.T, key string) (*Session, *routes.Current, *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.DebugLevel)
	current := &routes.Current{}
	require.True(t, current.Accept(version(t, 1, map[string]string{"north": "k-north", "south": "k-south"})))
	none := func(string) *backend.GroupClient { return nil }
	s := New(&Dependencies{Clock: clock.NewBoot(), Configuration: current, Group: none, Log: zap.New(core)}, 1, nil)
	s.database, s.key = "fills", key
	return s, current, logs
}

// A key names its workspace, and nobody else's; its text is in no log line.
func TestKeyNamesItsWorkspace(t *testing.T) {
	s, _, logs := newKeyedSession(t, "k-south")
	name, failure := s.authorize(s.resolve())
	require.Nil(t, failure)
	require.Equal(t, "south", name)
	s.key = "k-unknown"
	_, failure = s.authorize(s.resolve())
	require.Equal(t, statement.CodeUnauthorized, failure.Code)
	require.NotContains(t, failure.Text, "k-unknown")
	for _, line := range logs.All() {
		require.NotContains(t, line.Message, "k-unknown")
		require.NotContains(t, line.ContextMap(), "key")
		require.Equal(t, routes.KeyID("k-unknown"), line.ContextMap()["keyId"])
	}
	s.database = "prices"
	name, failure = s.authorize(s.resolve())
	require.Nil(t, failure)
	require.Empty(t, name)
}

// A key that is taken away in the middle of a session or of a transaction runs
// nothing from then on, COMMIT included.
func TestRevokedKeyEndsTransactions(t *testing.T) {
	s, current, _ := newKeyedSession(t, "k-north")
	s.serve(&statement.Request{Operation: statement.Begin{}})
	require.Nil(t, s.answer.Failure)
	require.True(t, current.Accept(version(t, 2, map[string]string{"south": "k-south"})))
	s.serve(&statement.Request{Operation: statement.Read{Text: "READ a"}})
	require.Equal(t, statement.CodeUnauthorized, s.answer.Failure.Code)
	require.Equal(t, statement.Failed, s.answer.State)
	s.serve(&statement.Request{Operation: statement.Rollback{}})
	require.Nil(t, s.answer.Failure)
	s.serve(&statement.Request{Operation: statement.Begin{}})
	require.Equal(t, statement.CodeUnauthorized, s.answer.Failure.Code)
	require.Equal(t, statement.Idle, s.answer.State)
}

// COMMIT of a transaction whose key was taken away commits nothing.
func TestRevokedKeyCommitsNothing(t *testing.T) {
	s, current, _ := newKeyedSession(t, "k-north")
	s.serve(&statement.Request{Operation: statement.Begin{}})
	require.True(t, current.Accept(version(t, 2, map[string]string{"south": "k-south"})))
	s.serve(&statement.Request{Operation: statement.Commit{}})
	require.Equal(t, statement.CodeUnauthorized, s.answer.Failure.Code)
	require.Equal(t, statement.Idle, s.answer.State)
}

// A transaction of one workspace is not continued on behalf of another after its
// key has moved there.
func TestMovedKeyEndsTransactions(t *testing.T) {
	s, current, _ := newKeyedSession(t, "k-north")
	s.serve(&statement.Request{Operation: statement.Begin{}})
	require.True(t, current.Accept(version(t, 2, map[string]string{"south": "k-north"})))
	s.serve(&statement.Request{Operation: statement.Read{Text: "READ a"}})
	require.Equal(t, statement.CodeUnauthorized, s.answer.Failure.Code)
	require.Equal(t, statement.Failed, s.answer.State)
}
