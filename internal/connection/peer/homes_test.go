package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func TestPlanDividesScarceConnections(t *testing.T) {
	require.Equal(t, Plan{Connections: 2}, NewPlan(47, 15, false), "each proxy has enough")
	require.Equal(t, Plan{Connections: 4}, NewPlan(91, 17, false))
	p := NewPlan(70, 121, false)
	require.Equal(t, 7, p.Homes)
	require.LessOrEqual(t, p.Homes*p.Connections, 70)
	p = NewPlan(366, 138, false)
	require.Equal(t, 7, p.Homes)
	require.Equal(t, mostConnections, p.Connections)
	p = NewPlan(4, 100, false)
	require.Equal(t, Plan{Homes: leastHomes, Connections: 1}, p)
	require.Equal(t, Plan{Homes: 1, Connections: 1}, NewPlan(1, 1, false))
}

// A proxy more or less must not change the plan back and forth: each change
// moves the work of a whole group to connections that are not open yet.
func TestPlanIsSteady(t *testing.T) {
	had := false
	changes := 0
	for _, proxies := range []int{120, 130, 131, 130, 129, 131, 128, 131, 138, 137, 138, 137} {
		p := NewPlan(366, proxies, had)
		if (p.Homes > 0) != had {
			changes++
		}
		had = p.Homes > 0
	}
	require.Equal(t, 1, changes)
}

// A home that answers tells of homes that it does not reach, which are then
// chosen last until they answer themselves.
func TestHomesInAnotherPartOfTheNetworkAreChosenLast(t *testing.T) {
	c := clock.NewBoot()
	peers, err := proxy.NewPeers("127.0.0.1:0", nil, zap.NewNop())
	require.NoError(t, err)
	defer peers.Close()
	h := NewHomes("self", "a", peers, c)
	h.SetMembers(someMembers(61))
	h.SetConnectionLimits(map[string]int{"shop": 40})
	own, _ := h.ServesLocally("shop")
	require.False(t, own)
	first, ok := h.Choose("shop", nil)
	require.True(t, ok)
	var others []string
	for _, p := range h.choiceLocked("shop").homes {
		if p.Name != first {
			others = append(others, p.Name)
		}
	}
	require.NotEmpty(t, others)
	h.answered(first, c.Now(), others)
	for range 100 {
		name, _ := h.Choose("shop", nil)
		require.Equal(t, first, name)
	}
	// It is still tried when the one that answered has gone.
	name, ok := h.Choose("shop", []string{first})
	require.True(t, ok)
	h.answered(name, c.Now(), nil)
	seen := make(map[string]bool)
	for range 100 {
		name, _ := h.Choose("shop", nil)
		seen[name] = true
	}
	require.True(t, seen[name])

	// What this proxy does not reach it tells others, for a while.
	require.Empty(t, h.Unreachable("shop"))
	h.unreached(others[0], c.Now())
	require.Equal(t, []string{others[0]}, h.Unreachable("shop"))
	h.unreached(others[0], c.Now().Add(-unreachedLife))
	require.Empty(t, h.Unreachable("shop"))
}

// A process that starts may hear of the databases before it hears how many
// connections they grant. If it served their groups meanwhile, it would connect
// to each database, and keep a plan made for databases that grant none.
func TestNoGroupIsServedBeforeItsConnectionsAreDeclared(t *testing.T) {
	peers, err := proxy.NewPeers("127.0.0.1:0", nil, zap.NewNop())
	require.NoError(t, err)
	defer peers.Close()
	h := NewHomes("self", "a", peers, clock.NewBoot())
	h.SetMembers(someMembers(15))
	own, _ := h.ServesLocally("shop")
	require.False(t, own)
	h.SetConnectionLimits(map[string]int{"shop": 47})
	own, connections := h.ServesLocally("shop")
	require.True(t, own)
	require.Equal(t, 2, connections)
}

// someMembers returns proxies of one availability zone, the first named self.
func someMembers(n int) []proxy.Peer {
	members := []proxy.Peer{{Name: "self", Zone: "a"}}
	for i := range n - 1 {
		members = append(members, proxy.Peer{Name: fmt.Sprint("p", i), Zone: "a"})
	}
	return members
}
