package routes

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A key that two workspaces hold would let one of them act as the other.
func TestKeysBelongToOneWorkspace(t *testing.T) {
	w := NewWorkspaces()
	require.NoError(t, w.Add(Workspace{Name: "b", Rate: 5}, []string{"k1", "k2"}))
	var duplicate *DuplicateKeyError
	require.ErrorAs(t, w.Add(Workspace{Name: "a"}, []string{"k2"}), &duplicate)
	require.NotContains(t, duplicate.Error(), "k2", "the error text holds the key")
	require.Nil(t, w.Find("a"))
	var twice *DuplicateWorkspaceError
	require.ErrorAs(t, w.Add(Workspace{Name: "b"}, nil), &twice)
	var negative *NegativeLimitError
	require.ErrorAs(t, w.Add(Workspace{Name: "c", Rate: -1}, nil), &negative)
	require.NoError(t, w.Add(Workspace{Name: "a"}, []string{"k3"}))
	require.Equal(t, "b", w.OfKey("k1").Name)
	require.Equal(t, "a", w.OfKey("k3").Name)
	require.Nil(t, w.OfKey("k4"))
	require.Equal(t, []string{"a", "b"}, []string{w.All()[0].Name, w.All()[1].Name})
}

// Every CONNECT of a workspace with a blank in its name failed. An empty name stands for
// requests of no workspace.
func TestWorkspacesHaveNamesThatDatabasesCanBeTold(t *testing.T) {
	w := NewWorkspaces()
	for _, name := range []string{"", " ", "north star", "north ", "a\tb", "a\r\nGOODBYE", "\x00", "a\x7f"} {
		var invalid *WorkspaceNameError
		require.ErrorAs(t, w.Add(Workspace{Name: name}, []string{"k"}), &invalid)
		require.Equal(t, name, invalid.Name)
		require.Nil(t, w.Find(name))
	}
	require.Nil(t, w.OfKey("k"))
	for _, name := range []string{"north", "north-star", "a/b", "a,b=c", "ä", "_others"} {
		require.NoError(t, w.Add(Workspace{Name: name}, nil))
	}
}

// Versions without workspaces have none to look up.
func TestNoWorkspaces(t *testing.T) {
	var w *Workspaces
	require.Nil(t, w.OfKey("k"))
	require.Nil(t, w.Find("a"))
	require.Empty(t, w.All())
}

// A workspace without a limit must neither be starved beside large ones nor get all.
func TestWeightsFollowDeclaredRates(t *testing.T) {
	w := NewWorkspaces()
	require.NoError(t, w.Add(Workspace{Name: "unlimited"}, nil))
	require.Equal(t, 1.0, w.Weight("unlimited"), "no rate is declared")
	require.NoError(t, w.Add(Workspace{Name: "small", Rate: 10}, nil))
	require.NoError(t, w.Add(Workspace{Name: "large", Rate: 30}, nil))
	require.Equal(t, 10.0, w.Weight("small"))
	require.Equal(t, 30.0, w.Weight("large"))
	require.Equal(t, 20.0, w.Weight("unlimited"))
	require.Equal(t, 1.0, w.Weight("unknown"))
	require.Equal(t, 1.0, (*Workspaces)(nil).Weight("a"))
}
