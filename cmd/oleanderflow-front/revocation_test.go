package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/front"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// revocationLimit is the time within which a removed key must have stopped working, and
// servedTime for how long requests must be served without the store.
const (
	revocationLimit = 5 * clock.Second
	servedTime      = 3 * time.Second
)

// startKeyedSystem starts proxies with a revocation limit, zero for none. Its one
// workspace holds the key of the callers.
func startKeyedSystem(t *testing.T, fronts int, limit clock.Duration) *testSystem {
	t.Helper()
	group, err := standin.NewGroup("shop", []string{"a", "b", "c"}, 0)
	require.NoError(t, err)
	s := &testSystem{group: group, platform: standin.NewPlatform(group)}
	s.setKeys(1, standin.CallerKey)
	t.Cleanup(s.platform.Close)
	t.Cleanup(group.Close)
	for i := range fronts {
		s.startFrontWithLimit(t, fmt.Sprintf("front-%d", i), limit)
	}
	for _, f := range s.fronts {
		require.Eventually(t, f.Ready, 10*time.Second, 5*time.Millisecond)
	}
	return s
}

func (s *testSystem) setKeys(version int, keys ...string) {
	s.platform.ConfigureWorkspaces(version, 64, 60_000, []standin.Workspace{{Name: "north", Keys: keys}}, standardRoutes...)
}

// While the store is down, keys work for 3 s and not beyond the limit, and again once it
// is back. A key that was removed meanwhile does not.
func TestRemovedKeyWithoutTheStore(t *testing.T) {
	s := startKeyedSystem(t, 3, revocationLimit)
	sessions := make([]*standin.Caller, 0, len(s.fronts))
	for _, f := range s.fronts {
		c := openSession(t, f, "fills")
		queryUntilSuccess(t, c, "WRITE a v")
		sessions = append(sessions, c)
	}
	time.Sleep(2 * time.Second)
	require.Empty(t, query(t, sessions[0], "BEGIN").Error)
	lost := time.Now()
	s.platform.SetDown(true)
	for time.Since(lost) < servedTime {
		for i, c := range sessions {
			began := time.Now()
			r := query(t, c, "READ a")
			require.True(t, r.Error == "" || began.Sub(lost) > servedTime, "proxy %d refuses %s after the loss: %s", i, began.Sub(lost), r.Error)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(lost.Add(revocationLimit.Std())))
	r := query(t, sessions[0], "COMMIT")
	require.Equal(t, standin.Busy, r.Code())
	require.Equal(t, "I", r.State)
	for _, c := range sessions {
		r := query(t, c, "READ a")
		require.Equal(t, standin.Busy, r.Code())
		require.Regexp(t, `configuration not confirmed for \d+ ms; retry after \d+ ms`, r.Error)
	}
	s.platform.SetDown(false)
	for _, c := range sessions {
		queryUntilSuccess(t, c, "READ a")
	}
	s.platform.SetDown(true)
	s.setKeys(2, "other")
	removed := time.Now()
	time.Sleep(time.Until(removed.Add(revocationLimit.Std())))
	for _, c := range sessions {
		require.Equal(t, standin.Busy, query(t, c, "READ a").Code())
	}
	s.platform.SetDown(false)
	for _, c := range sessions {
		require.Eventually(t, func() bool { return query(t, c, "READ a").Code() == "NOAUTH" }, 5*time.Second, 20*time.Millisecond)
	}
}

// A restored store lets proofs go on: keys work during and after the restore.
func TestKeysWorkAcrossARestore(t *testing.T) {
	s := startKeyedSystem(t, 3, revocationLimit)
	sessions := make([]*standin.Caller, 0, len(s.fronts))
	for _, f := range s.fronts {
		c := openSession(t, f, "fills")
		queryUntilSuccess(t, c, "WRITE a v")
		sessions = append(sessions, c)
	}
	backup := s.platform.Copy()
	s.raiseVersion(100)
	time.Sleep(time.Second)
	s.platform.Restore(backup, true)
	for restored := time.Now(); time.Since(restored) < 7*time.Second; time.Sleep(20 * time.Millisecond) {
		for i, c := range sessions {
			require.Empty(t, query(t, c, "READ a").Error, "proxy %d, %s after the restore", i, time.Since(restored))
		}
	}
	s.setKeys(2, "other")
	for _, c := range sessions {
		require.Eventually(t, func() bool { return query(t, c, "READ a").Code() == "NOAUTH" }, 5*time.Second, 20*time.Millisecond)
	}
}

// With proofs, 15 proxies must not call the store more often than without, and a change of
// the keys must be in force everywhere well within 5,000 ms.
func TestProofsCostNoFurtherCalls(t *testing.T) {
	const window = 20 * time.Second
	count := func(limit clock.Duration) (float64, time.Duration) {
		s := startKeyedSystem(t, 15, limit)
		time.Sleep(6 * time.Second)
		before := s.platform.Calls()
		time.Sleep(window)
		calls := float64(s.platform.Calls()-before) / window.Seconds()
		s.setKeys(2, "other")
		changed := time.Now()
		for _, f := range s.fronts {
			refused := func() bool { return refusesKey(f) }
			require.Eventually(t, refused, 5*time.Second, 5*time.Millisecond)
		}
		return calls, time.Since(changed)
	}
	var without, with float64
	var wg sync.WaitGroup
	wg.Go(func() {
		calls, took := count(0)
		without = calls
		t.Logf("without proofs: %.2f calls a second, a change takes %s", calls, took)
	})
	calls, took := count(revocationLimit)
	with = calls
	wg.Wait()
	t.Logf("with proofs: %.2f calls a second, a change takes %s", calls, took)
	require.LessOrEqual(t, with, without)
	require.Less(t, took, 2*time.Second)
}

// refusesKey reports whether a proxy refuses the callers' key for good.
func refusesKey(f *front.Front) bool {
	c, err := standin.Open(f.Address(), "fills")
	if err == nil {
		c.Close()
		return false
	}
	return err.Error()[:len("session refused: NOAUTH")] == "session refused: NOAUTH"
}
