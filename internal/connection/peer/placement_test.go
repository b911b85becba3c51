package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// newPlacedHomes returns the Homes of a proxy among strong and weak ones in three
// zones, and the workspaces of their configuration, of which the first has a third
// of all declared rates.
func newPlacedHomes(t *testing.T, self string, primaryZone *string) (*Homes, *routes.Workspaces) {
	peers, err := proxy.NewPeers("127.0.0.1:0", nil, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(peers.Close)
	var members []proxy.Peer
	for i := range 115 {
		p := proxy.Peer{Name: fmt.Sprintf("proxy-%d", i), Zone: string(rune('a' + i%3)), Capacity: 0.134}
		if i < 6 {
			p.Capacity = 0.8
		}
		members = append(members, p)
	}
	w := routes.NewWorkspaces()
	for i := range 78 {
		rate := 4.0
		if i == 0 {
			rate = 154
		}
		require.NoError(t, w.Add(routes.Workspace{Name: fmt.Sprintf("w%02d", i), Rate: rate}, nil))
	}
	h := NewHomes(self, "a", peers, clock.NewBoot(), WithPrimaryZone(func(string) string { return *primaryZone }))
	h.SetMembers(members)
	h.SetConnectionLimits(map[string]int{"shop": 112})
	h.SetWorkspaces(w)
	return h, w
}

// The connections of a small workspace are few: spread over all homes, each would
// be cold or refused. All proxies choose the same home, in the primary's zone.
func TestSmallWorkspacesHaveOneHome(t *testing.T) {
	zone := "b"
	h, w := newPlacedHomes(t, "proxy-99", &zone)
	other, _ := newPlacedHomes(t, "proxy-98", &zone)
	used := make(map[string]int)
	for _, workspace := range w.All()[1:] {
		home, ok := h.Choose("shop", workspace.Name, nil)
		require.True(t, ok)
		same, _ := other.Choose("shop", workspace.Name, nil)
		require.Equal(t, home, same)
		used[home]++
		second, ok := h.Choose("shop", workspace.Name, []string{home})
		require.True(t, ok)
		require.NotEqual(t, home, second)
	}
	for home := range used {
		found := false
		for _, p := range h.Homes("shop") {
			found = found || p.Name == home && p.Zone == zone
		}
		require.True(t, found, "%s is not in the primary's zone", home)
	}
	require.GreaterOrEqual(t, len(used), 2)
}

// One home could not carry a workspace that has much of the traffic.
func TestLargeWorkspacesHaveSeveralHomes(t *testing.T) {
	zone := "b"
	h, _ := newPlacedHomes(t, "proxy-99", &zone)
	h.mu.Lock()
	p := h.placementLocked("shop", "w00", zone)
	h.mu.Unlock()
	require.Equal(t, 3, p.preferred)
}

// A home that a workspace does not prefer forwards its requests, instead of
// opening connections for it.
func TestOnlyPreferredHomesServeLocally(t *testing.T) {
	zone := "b"
	h, w := newPlacedHomes(t, "proxy-1", &zone)
	local, connections := h.ServesLocally("shop")
	require.True(t, local)
	require.Equal(t, 31, connections)
	served := 0
	for _, workspace := range w.All() {
		if h.ServesWorkspace("shop", workspace.Name) {
			served++
		}
	}
	require.Positive(t, served)
	require.Less(t, served, len(w.All()))
	require.True(t, h.ServesWorkspace("shop", ""))
}

// A configuration that changes neither limits nor rates had all homes chosen and placed
// again, by the statements that came next. One that changes them must still do so.
func TestHomesAreChosenAgainOnlyAfterAChange(t *testing.T) {
	zone := "a"
	h, w := newPlacedHomes(t, "proxy-0", &zone)
	limits := map[string]int{"shop": 112, "other": 112}
	choose := func(workspaces *routes.Workspaces) {
		h.SetConnectionLimits(limits)
		h.SetWorkspaces(workspaces)
		h.ServesLocally("shop")
		h.ServesLocally("other")
		h.ServesWorkspace("shop", "w00")
	}
	choose(w)
	shop, other := h.assignments["shop"], h.assignments["other"]
	require.Len(t, shop.placements, 1)
	copied := routes.NewWorkspaces()
	for _, ws := range w.All() {
		require.NoError(t, copied.Add(*ws, []string{"key of " + ws.Name}))
	}
	limits = map[string]int{"shop": 112, "other": 60, "more": 10}
	h.SetConnectionLimits(limits)
	h.SetWorkspaces(copied)
	require.Equal(t, shop, h.assignments["shop"])
	require.NotContains(t, h.assignments, "other", "its limit has changed")
	choose(copied)
	require.NotEqual(t, other.plan, h.assignments["other"].plan)
	limits = map[string]int{"shop": 112}
	h.SetConnectionLimits(limits)
	local, _ := h.ServesLocally("other")
	require.False(t, local, "it is no longer declared")

	raised := routes.NewWorkspaces()
	for _, ws := range w.All() {
		changed := *ws
		changed.Rate++
		require.NoError(t, raised.Add(changed, nil))
	}
	for _, next := range []*routes.Workspaces{raised, nil, w} {
		h.SetWorkspaces(next)
		require.Empty(t, h.assignments)
		choose(next)
	}
}
