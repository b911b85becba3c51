package front

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Only the shutdown grace can change without a restart.
func TestReloadReportsSettingsThatNeedARestart(t *testing.T) {
	old := Settings{Name: "a", MemoryMB: 200, FileDescriptors: 3000, ShutdownGrace: 6 * clock.Second}
	changes := map[string]struct {
		change func(*Settings)
		needed bool
	}{
		"nothing":     {func(*Settings) {}, false},
		"grace":       {func(s *Settings) { s.ShutdownGrace++ }, false},
		"memory":      {func(s *Settings) { s.MemoryMB++ }, true},
		"descriptors": {func(s *Settings) { s.FileDescriptors++ }, true},
		"name":        {func(s *Settings) { s.Name = "b" }, true},
	}
	for name, c := range changes {
		core, logged := observer.New(zap.InfoLevel)
		f := New(old, Platform{}, clock.NewBoot(), zap.New(core), NewMetrics())
		s := old
		c.change(&s)
		f.Reload(s)
		require.Equal(t, c.needed, logged.FilterMessage("settings reloaded").All()[0].ContextMap()["restartNeeded"], name)
	}
}

// Sessions leave enough file descriptors for the connections that serve them.
func TestSessionsLeaveDescriptors(t *testing.T) {
	for _, n := range []int{64, 1024, 3010, 8192} {
		require.GreaterOrEqual(t, n-maxSessions(n), min(n/2, reservedDescriptors))
		require.LessOrEqual(t, n-maxSessions(n), max(n-n/2, reservedDescriptors))
	}
	require.Positive(t, maxSessions(0))
}
