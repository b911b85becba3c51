package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/front"
	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// configurationLimit is the time within which a configuration has to be in force.
const configurationLimit = 3 * time.Second

// raiseVersion makes n transactions that concern no proxy.
func (s *testSystem) raiseVersion(n int) {
	for i := range n {
		s.platform.Write("unrelated", fmt.Sprint("row", i), i)
	}
}

// serves reports whether a proxy serves sessions for a database name.
func serves(f *front.Front, database string) bool {
	c, err := standin.Open(f.Address(), database)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// A confirmed change was not in force after the store had gone back to a copy.
func TestChangeAfterARestoreIsInForce(t *testing.T) {
	s := startSystem(t, 2, 64, 0)
	backup := s.platform.Copy()
	s.raiseVersion(500)
	configure(s.platform, 2, 64, standardRoutes[1:]...)
	for _, f := range s.fronts {
		require.Eventually(t, func() bool { return !serves(f, "fills") }, configurationLimit, 10*time.Millisecond)
	}
	s.platform.Restore(backup, true)
	configure(s.platform, 3, 64, standardRoutes...)
	for _, f := range s.fronts {
		require.Eventually(t, func() bool { return serves(f, "fills") }, configurationLimit, 10*time.Millisecond)
	}
}

// A change at a version that the store gives out again was skipped by the feeds.
func TestVersionGivenOutAgainHidesNoChange(t *testing.T) {
	s := startSystem(t, 1, 64, 0)
	backup := s.platform.Copy()
	s.raiseVersion(100)
	configure(s.platform, 2, 64, standardRoutes[1:]...)
	require.Eventually(t, func() bool { return !serves(s.fronts[0], "fills") }, configurationLimit, 10*time.Millisecond)
	s.platform.SetDown(true)
	time.Sleep(400 * time.Millisecond)
	s.platform.Restore(backup, true)
	configure(s.platform, 3, 64, standardRoutes...)
	s.raiseVersion(300)
	s.platform.SetDown(false)
	require.Eventually(t, func() bool { return serves(s.fronts[0], "fills") }, configurationLimit, 10*time.Millisecond)
}
