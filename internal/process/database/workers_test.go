package database

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// countingTick counts its ticks and panics over the first.
type countingTick struct{ ticks chan struct{} }

func (c *countingTick) Tick(clock.Time) {
	select {
	case c.ticks <- struct{}{}:
	default:
	}
	if len(c.ticks) == 1 {
		panic("unexpected state")
	}
}

// A task or a tick that panics ends neither its worker nor the process.
func TestPanicInAControlTaskLeavesTheWorkers(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	w := NewWorkers(1)
	defer w.Close()
	w.SetLog(zap.New(core))
	done := make(chan struct{})
	w.Submit(func() { panic("unexpected answer") })
	w.Submit(func() { close(done) })
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the worker has ended")
	}
	require.Equal(t, 1, logged.FilterMessage("panic contained").Len())

	s := NewTickScheduler(clock.NewSystem())
	s.SetLog(zap.New(core))
	item := &countingTick{ticks: make(chan struct{}, 3)}
	s.Add(item)
	require.Eventually(t, func() bool { return len(item.ticks) == cap(item.ticks) }, 10*time.Second, time.Millisecond)
	s.Close()
	require.Equal(t, 2, logged.FilterMessage("panic contained").Len())
}
