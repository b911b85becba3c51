package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// A workspace whose name databases cannot be told is left out, and its callers are told so
// at once: each of their statements waited for a connection until its time was over.
func TestWorkspaceWithABlankInItsNameIsLeftOut(t *testing.T) {
	s := startKeyedSystem(t, 1, 0)
	s.platform.ConfigureWorkspaces(2, 64, 60_000, []standin.Workspace{
		{Name: "north star", Keys: []string{"k1"}}, {Name: "", Keys: []string{"k2"}}, {Name: "north", Keys: []string{"k3"}},
	}, standardRoutes...)
	open := func(key string) (*standin.Caller, error) {
		return standin.OpenWithKey(s.fronts[0].Address(), "fills", key)
	}
	var c *standin.Caller
	require.Eventually(t, func() (opened bool) {
		var err error
		c, err = open("k3")
		return err == nil
	}, 10*time.Second, 20*time.Millisecond)
	defer c.Close()
	queryUntilSuccess(t, c, "WRITE a v")
	for _, key := range []string{"k1", "k2"} {
		c, err := open(key)
		if err == nil {
			began := time.Now()
			r := query(t, c, "WRITE a w")
			c.Close()
			require.Fail(t, "session opened", "%s: %q after %s", key, r.Error, time.Since(began))
		}
		require.ErrorContains(t, err, "NOAUTH")
	}
}
