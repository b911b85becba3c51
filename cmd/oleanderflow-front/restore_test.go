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

// After a restore, a promotion was sent with a lower token than the one before.
func TestTokensOfPromotionsRiseAcrossARestore(t *testing.T) {
	s := startSystem(t, 3, 64, 0)
	c := openSession(t, s.fronts[0], "fills")
	queryUntilSuccess(t, c, "WRITE first v")
	backup := s.platform.Copy()
	s.raiseVersion(50)
	s.group.Databases()[0].SetDown(true)
	queryUntilSuccess(t, c, "WRITE second v")
	s.platform.Restore(backup, true)
	s.group.Databases()[0].SetDown(false)
	queryUntilSuccess(t, c, "WRITE third v")
	for _, d := range s.group.Databases() {
		if d.IsPrimary() {
			d.SetDown(true)
			break
		}
	}
	queryUntilSuccess(t, c, "WRITE fourth v")
	holders := make(map[uint64]string)
	last := uint64(0)
	for _, p := range s.platform.Promotions() {
		require.GreaterOrEqual(t, p.Token, last, "promotions %v", s.platform.Promotions())
		if holder, known := holders[p.Token]; known {
			require.Equal(t, holder, p.Holder)
		}
		holders[p.Token], last = p.Holder, p.Token
	}
	require.GreaterOrEqual(t, len(holders), 2)
	for _, key := range []string{"first", "second", "third", "fourth"} {
		require.Equal(t, []string{"v"}, queryUntilSuccess(t, c, "READ "+key).Rows)
	}
}

// A process that started after a restore served an older configuration.
func TestProcessThatStartsAfterARestoreServesWhatOthersHaveInForce(t *testing.T) {
	s := startSystem(t, 2, 64, 0)
	time.Sleep(time.Second) // wait until the members are stored
	backup := s.platform.Copy()
	configure(s.platform, 2, 64, standardRoutes[1:]...)
	for _, f := range s.fronts {
		require.Eventually(t, func() bool { return !serves(f, "fills") }, configurationLimit, 10*time.Millisecond)
	}
	s.platform.Restore(backup, false)
	late := s.startFront(t, "late")
	require.Eventually(t, late.Ready, configurationLimit, 5*time.Millisecond)
	for _, f := range s.fronts {
		require.False(t, serves(f, "fills"), "proxy %s", f.Address())
	}
}
