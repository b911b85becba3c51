package front

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// The number of names must not grow with the number of workspaces, and no count may be lost
// on the way into the sum.
func TestMostUsedWorkspacesAreShown(t *testing.T) {
	w := newWorkspaceCounts()
	for i := range 100 {
		for range i + 1 {
			w.Admitted(fmt.Sprintf("w%02d", i), 1000)
		}
	}
	w.Refused("w05", session.ReasonLimit)
	w.Refused("w99", session.ReasonCapacity)
	w.Refused("", session.ReasonKey)
	s := w.summary(2000, "")
	require.Len(t, s.shown, shownWorkspaces)
	require.Equal(t, "w99", s.shown[0].name)
	require.Equal(t, "w80", s.shown[shownWorkspaces-1].name)
	require.EqualValues(t, 100, s.shown[0].admitted)
	require.EqualValues(t, 1, s.shown[0].refused[session.ReasonCapacity])
	require.Equal(t, 100, s.shown[0].lastSecond(2000))
	require.Equal(t, 80, s.otherCount)
	require.EqualValues(t, 80*81/2, s.others.admitted)
	require.Equal(t, 80*81/2, s.othersUsed)
	require.EqualValues(t, 1, s.others.refused[session.ReasonLimit])
	require.EqualValues(t, 1, s.unknown.refused[session.ReasonKey])
	s = w.summary(2000, "w03")
	require.Len(t, s.shown, shownWorkspaces+1)
	require.Equal(t, "w03", s.shown[0].name)
	require.EqualValues(t, 80*81/2-4, s.others.admitted)
}

// Use is that of the last whole second, so that a workspace that has stopped shows none.
func TestUseOfTheLastSecond(t *testing.T) {
	var c = newWorkspaceCounts()
	used := func(now clock.Time) int { return c.summary(now, "").shown[0].lastSecond(now) }
	for now := clock.Time(5000); now < 7500; now += 100 {
		c.Admitted("a", now)
	}
	require.Equal(t, 10, used(7500))
	require.Equal(t, 5, used(8000))
	require.Equal(t, 0, used(9000))
	c.Admitted("a", 20_000)
	require.Equal(t, 0, used(20_000))
	require.Equal(t, 1, used(21_000))
}

// Workspaces that come and go for months must not fill the memory of a process, nor may
// their counts get lost.
func TestCountsOfManyWorkspacesAreBounded(t *testing.T) {
	w := newWorkspaceCounts()
	w.limit = 100
	w.Waiting("waits", 1)
	for i := range 5000 {
		w.Admitted(fmt.Sprint(i), clock.Time(i)*clock.Time(clock.Second))
		require.LessOrEqual(t, len(w.byName), w.limit)
	}
	w.Waiting("waits", -1)
	s := w.summary(0, "")
	sum := s.others.admitted
	for _, c := range s.shown {
		sum += c.admitted
		require.Zero(t, c.waiting)
	}
	require.EqualValues(t, 5000, sum)
	require.Zero(t, s.others.waiting)
	_, ok := w.byName["4999"]
	require.True(t, ok, "the workspace in use was summed up")
}

// An operation is counted on a process with 0.134 of a core, beside about 100 us for its
// statements.
func BenchmarkCountAdmitted(b *testing.B) {
	w := newWorkspaceCounts()
	names := make([]string, 5000)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%d", i)
		w.Admitted(names[i], 0)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		name := names[i%len(names)]
		w.Waiting(name, 1)
		w.Waiting(name, -1)
		w.Admitted(name, clock.Time(i))
	}
}

// A scrape holds the lock that operations wait for.
func BenchmarkUsageSummary(b *testing.B) {
	w := newWorkspaceCounts()
	for i := range 5000 {
		w.Admitted(fmt.Sprintf("workspace-%d", i), 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		w.summary(0, "")
	}
}
