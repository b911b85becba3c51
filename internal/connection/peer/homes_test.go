package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func TestNewPlan(t *testing.T) {
	require.Equal(t, Plan{Connections: 2}, NewPlan(47, 15, false), "each proxy has enough")
	require.Equal(t, Plan{Connections: 4}, NewPlan(91, 17, false))
	p := NewPlan(70, 121, false)
	require.Equal(t, 7, p.Homes)
	require.LessOrEqual(t, p.Homes*p.Connections, 70)
	p = NewPlan(366, 138, false)
	require.Equal(t, 7, p.Homes)
	require.Equal(t, maxConnections, p.Connections)
	p = NewPlan(4, 100, false)
	require.Equal(t, Plan{Homes: minHomes, Connections: 1}, p)
	require.Equal(t, Plan{Homes: 1, Connections: 1}, NewPlan(1, 1, false))
}

// A proxy that joins or leaves must not switch the plan back and forth: each
// change moves the load of a whole group to connections that are not open yet.
func TestPlanHysteresis(t *testing.T) {
	hadHomes := false
	changes := 0
	for _, proxies := range []int{120, 130, 131, 130, 129, 131, 128, 131, 138, 137, 138, 137} {
		p := NewPlan(366, proxies, hadHomes)
		if (p.Homes > 0) != hadHomes {
			changes++
		}
		hadHomes = p.Homes > 0
	}
	require.Equal(t, 1, changes)
}

// Homes that another home reports as unreachable are chosen last until they
// answer themselves.
func TestUnreachableHomesAreChosenLast(t *testing.T) {
	c := clock.NewBoot()
	peers, err := proxy.NewPeers("127.0.0.1:0", nil, zap.NewNop())
	require.NoError(t, err)
	defer peers.Close()
	h := NewHomes("self", "a", peers, c)
	h.SetMembers(testMembers(61))
	h.SetConnectionLimits(map[string]int{"shop": 40})
	local, _ := h.ServesLocally("shop")
	require.False(t, local)
	first, ok := h.Choose("shop", "", nil)
	require.True(t, ok)
	var others []string
	for _, p := range h.assignmentLocked("shop").homes {
		if p.Name != first {
			others = append(others, p.Name)
		}
	}
	require.NotEmpty(t, others)
	h.recordAnswer(first, c.Now(), others)
	for range 100 {
		name, _ := h.Choose("shop", "", nil)
		require.Equal(t, first, name)
	}
	// A home reported as unreachable is still tried if no other is left.
	name, ok := h.Choose("shop", "", []string{first})
	require.True(t, ok)
	h.recordAnswer(name, c.Now(), nil)
	seen := make(map[string]bool)
	for range 100 {
		name, _ := h.Choose("shop", "", nil)
		seen[name] = true
	}
	require.True(t, seen[name])

	// This proxy lists a home as unreachable for unreachableTTL after a failure.
	require.Empty(t, h.Unreachable("shop"))
	h.recordUnreachable(others[0], c.Now())
	require.Equal(t, []string{others[0]}, h.Unreachable("shop"))
	h.recordUnreachable(others[0], c.Now().Add(-unreachableTTL))
	require.Empty(t, h.Unreachable("shop"))
}

// A process that starts may learn the databases before their connection limits.
// If it served their groups already, it would connect to each database and keep
// a plan made for a limit of zero.
func TestNoGroupIsServedBeforeItsLimitIsKnown(t *testing.T) {
	peers, err := proxy.NewPeers("127.0.0.1:0", nil, zap.NewNop())
	require.NoError(t, err)
	defer peers.Close()
	h := NewHomes("self", "a", peers, clock.NewBoot())
	h.SetMembers(testMembers(15))
	local, _ := h.ServesLocally("shop")
	require.False(t, local)
	h.SetConnectionLimits(map[string]int{"shop": 47})
	local, connections := h.ServesLocally("shop")
	require.True(t, local)
	require.Equal(t, 2, connections)
}

// The slots of a database are divided among the proxies that send to it. Counting others
// would leave slots idle.
func TestProcessesAreThoseThatServeAGroup(t *testing.T) {
	peers, err := proxy.NewPeers("127.0.0.1:0", nil, zap.NewNop())
	require.NoError(t, err)
	defer peers.Close()
	h := NewHomes("self", "a", peers, clock.NewBoot())
	h.SetMembers(testMembers(61))
	h.SetConnectionLimits(map[string]int{"few": 40, "many": 4000})
	require.Equal(t, len(h.Homes("few")), h.Processes("few"))
	require.Less(t, h.Processes("few"), 61)
	require.Empty(t, h.Homes("many"))
	require.Equal(t, 61, h.Processes("many"))
}

// testMembers returns n proxies in one availability zone. The first is named
// self.
func testMembers(n int) []proxy.Peer {
	members := []proxy.Peer{{Name: "self", Zone: "a"}}
	for i := range n - 1 {
		members = append(members, proxy.Peer{Name: fmt.Sprint("p", i), Zone: "a"})
	}
	return members
}

// With two homes in a zone, the second attempt of a request goes to the other
// one.
func TestSecondAttemptGoesToAnotherHome(t *testing.T) {
	peers, err := proxy.NewPeers("127.0.0.1:0", nil, zap.NewNop())
	require.NoError(t, err)
	defer peers.Close()
	h := NewHomes("self", "a", peers, clock.NewBoot())
	h.SetMembers(testMembers(61))
	h.SetConnectionLimits(map[string]int{"shop": 40})
	var local []string
	for i, p := range h.assignmentLocked("shop").homes {
		if i < 2 {
			local = append(local, p.Name)
		} else {
			h.assignments["shop"].homes[i].Zone = "b"
		}
	}
	for range 100 {
		first, ok := h.Choose("shop", "", nil)
		require.True(t, ok)
		second, ok := h.Choose("shop", "", []string{first})
		require.True(t, ok)
		require.ElementsMatch(t, local, []string{first, second})
	}
}
