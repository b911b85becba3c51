package backend

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// A connection never serves another workspace than the one it was opened for,
// and a pool that may open no more closes the one that was idle for longest.
func TestConnectionsBelongToWorkspaces(t *testing.T) {
	s := DefaultSettings()
	s.MaxOpen = 2
	p := newTestPool(t, &countingDialer{}, s)
	acquire := func(workspace string) *PooledConn {
		c, err := p.AcquireFor(p.clock.Now().Add(clock.Second), workspace, nil)
		require.NoError(t, err)
		require.Equal(t, workspace, c.Workspace)
		return c
	}
	north, south := acquire("north"), acquire("south")
	north.Release()
	south.UsedAt++
	south.Release()
	again := acquire("north")
	require.Same(t, north, again)
	again.Release()
	east := acquire("east")
	require.Equal(t, 2, p.Stats().Open)
	require.Zero(t, p.OpenFor("south")+p.OpenFor("north")-1, "one of the two idle connections was closed")
	east.Release()
	status, err := p.Acquire(p.clock.Now().Add(clock.Second), nil)
	require.NoError(t, err)
	status.Release()
	require.Equal(t, 2, p.Stats().Open, "a request of the proxy itself uses any connection")
}

// A workspace whose statements keep all connections busy does not keep another
// workspace from ever getting one.
func TestBusyWorkspaceDoesNotStarveOthers(t *testing.T) {
	s := DefaultSettings()
	s.MaxOpen = 1
	p := newTestPool(t, &countingDialer{}, s)
	busy, err := p.AcquireFor(p.clock.Now().Add(clock.Second), "busy", nil)
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() {
		c, err := p.AcquireFor(p.clock.Now().Add(10*clock.Second), "small", nil)
		if err == nil {
			c.Release()
		}
		done <- err
	}()
	require.Eventually(t, func() bool { return p.Stats().Waiting == 1 }, clock.Second.Std(), clock.Millisecond.Std())
	Sleep(maxForeignWait)
	next := make(chan error, 1)
	go func() {
		c, err := p.AcquireFor(p.clock.Now().Add(10*clock.Second), "busy", nil)
		if err == nil {
			c.Release()
		}
		next <- err
	}()
	require.Eventually(t, func() bool { return p.Stats().Waiting == 2 }, clock.Second.Std(), clock.Millisecond.Std())
	busy.Release()
	require.NoError(t, <-done)
	require.NoError(t, <-next)
}
