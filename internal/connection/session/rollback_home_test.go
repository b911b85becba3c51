package session

import (
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const lostTransactions = 10_000

// deadHome is a home that answers nothing while dead is set, and never a request of the
// transaction whose number is stuck.
type deadHome struct {
	dead              atomic.Bool
	stuck             atomic.Uint64
	arrived, answered atomic.Int64
}

func startDeadHome(t *testing.T) (*deadHome, forwardingProcess, *backend.GroupClient) {
	g := newMemoryGroup(t, &memoryDatabase{})
	host := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient { return g }})
	h := &deadHome{}
	h.dead.Store(true)
	process := startForwardingProcesses(t, losingHost{host, &losses{request: func(run *peer.RunRequest) bool {
		h.arrived.Add(1)
		if h.dead.Load() || run.Transaction == h.stuck.Load() {
			return true
		}
		h.answered.Add(1)
		return false
	}}}, 1)[0]
	t.Cleanup(process.peers.Close)
	return h, process, g
}

// loseTransactions rolls back lostTransactions transactions of a process at one home.
func loseTransactions(g *backend.GroupClient, process forwardingProcess, home string) {
	s := process.session(g, "p1")
	for i := range uint64(lostTransactions) {
		s.tx = &transaction{number: i + 1, route: &routes.Route{Group: "shop"}, begun: true, home: home}
		s.rollbackAtHome()
	}
}

// Each transaction that a dead home has lost had a goroutine for 5 s.
func TestGoroutinesOfRollbacksAtADeadHomeAreBounded(t *testing.T) {
	h, process, g := startDeadHome(t)
	home, ok := process.homes.Choose("shop", "", nil)
	require.True(t, ok)
	before := runtime.NumGoroutine()
	began := time.Now()
	loseTransactions(g, process, home)
	most := 0
	for time.Since(began) < hostedIdleTimeout.Std()+2*time.Second {
		most = max(most, runtime.NumGoroutine()-before)
		time.Sleep(time.Millisecond)
	}
	t.Logf("at most %d goroutines, %d requests at the home", most, h.arrived.Load())
	require.Less(t, most, 100)
	require.Less(t, h.arrived.Load(), int64(100))
	require.LessOrEqual(t, runtime.NumGoroutine()-before, 20, "nothing is sent after the home has rolled back by itself")
}

// Rollbacks that cannot be told keep a home unreachable for longer than its own failures do.
func TestRollbacksDoNotProlongThatAHomeIsUnreachable(t *testing.T) {
	_, process, g := startDeadHome(t)
	home, ok := process.homes.Choose("shop", "", nil)
	require.True(t, ok)
	loseTransactions(g, process, home)
	require.Eventually(t, func() bool { return len(process.homes.Unreachable("shop")) == 1 }, 2*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return len(process.homes.Unreachable("shop")) == 0 }, 3*time.Second, time.Millisecond)
}

// A home that answers again is told of all of them, before their transactions have been idle for long.
func TestRollbacksReachAHomeThatAnswersAgain(t *testing.T) {
	h, process, g := startDeadHome(t)
	home, ok := process.homes.Choose("shop", "", nil)
	require.True(t, ok)
	loseTransactions(g, process, home)
	time.Sleep(time.Second)
	h.dead.Store(false)
	require.Eventually(t, func() bool { return h.answered.Load() == lostTransactions }, 3*time.Second, time.Millisecond)
}

// A rollback that is lost again and again must not hold up those of other transactions.
func TestLostRollbackDoesNotDelayOthersAtItsHome(t *testing.T) {
	h, process, g := startDeadHome(t)
	home, ok := process.homes.Choose("shop", "", nil)
	require.True(t, ok)
	s := process.session(g, "p1")
	lose := func(number uint64) {
		s.tx = &transaction{number: number, route: &routes.Route{Group: "shop"}, begun: true, home: home}
		s.rollbackAtHome()
	}
	h.stuck.Store(1)
	h.dead.Store(false)
	lose(1)
	for i := range uint64(100) {
		lose(i + 2)
	}
	require.Eventually(t, func() bool { return h.answered.Load() == 100 }, minConfirmWait.Std(), time.Millisecond)
}

// A proxy that is no member any more has no transactions to roll back.
func TestRollbacksEndOnceTheirHomeIsNoMember(t *testing.T) {
	h, process, g := startDeadHome(t)
	home, ok := process.homes.Choose("shop", "", nil)
	require.True(t, ok)
	before := runtime.NumGoroutine()
	loseTransactions(g, process, home)
	require.Eventually(t, func() bool { return h.arrived.Load() > 0 }, 2*time.Second, time.Millisecond)
	process.homes.SetMembers([]proxy.Peer{{Name: "front"}})
	require.Eventually(t, func() bool { return runtime.NumGoroutine()-before <= 10 }, 2*time.Second, time.Millisecond)
	arrived := h.arrived.Load()
	time.Sleep(time.Second)
	require.Equal(t, arrived, h.arrived.Load())
}
