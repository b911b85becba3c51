package peer

import (
	"cmp"
	"math"
	"slices"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
)

const (
	// otherHomeCost is added to the expected latency of a home, in ms, that is not a
	// preferred one of the workspace. It has to open a connection for the workspace,
	// and later to close one of another.
	otherHomeCost = 60.0
	// usableWorkspaceShare is the fraction of a database's connections that homes
	// may open where each connection belongs to a workspace. The rest is left to
	// proxies that reach no home.
	usableWorkspaceShare = 0.85
	// primaryZoneWeight multiplies the score of a home in the availability zone of
	// the primary, where the statements of a transaction cross no zones between
	// home and database.
	primaryZoneWeight = 1e6
)

// workspaceConnections returns how many connections a home may open to one
// database, if each of them belongs to a workspace. A home uses what it needs for
// the workspaces that prefer it, which may be those of several other homes: what
// the database does not accept is closed elsewhere.
func workspaceConnections(limit, homes int) int {
	return max(int(float64(limit)*usableWorkspaceShare)/max(homes/2, 1), 1)
}

// placement is the order in which homes are preferred by a workspace.
type placement struct {
	homes []proxy.Peer
	// preferred is how many of them serve the workspace as long as they answer.
	preferred int
}

type placementKey struct{ workspace, primaryZone string }

// SetWorkspaces replaces the workspaces of the configuration in force, nil if it
// declares none. As long as their rates are the same, the order of homes is.
func (h *Homes) SetWorkspaces(w *routes.Workspaces) {
	h.mu.Lock()
	before := h.workspaces
	h.mu.Unlock()
	// The comparison takes as long as there are workspaces.
	unchanged := sameRates(before, w)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !unchanged || h.workspaces != before {
		clear(h.assignments)
	}
	h.workspaces = w
}

// sameRates reports whether two versions declare the same workspaces with the same rates,
// on which the placement depends.
func sameRates(a, b *routes.Workspaces) bool {
	return (a == nil) == (b == nil) && slices.EqualFunc(a.All(), b.All(), func(a, b *routes.Workspace) bool {
		return a.Name == b.Name && a.Rate == b.Rate
	})
}

// ServesWorkspace reports whether this proxy serves the requests of a workspace to
// a group itself: it is one of the workspace's preferred homes, or there are no
// homes. Without a workspace, any home of the group does.
func (h *Homes) ServesWorkspace(group, workspace string) bool {
	primaryZone := h.placementZone(group, workspace)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servesLocked(group, workspace, primaryZone)
}

// placementZone returns the availability zone of the primary where the placement of
// a workspace depends on it.
func (h *Homes) placementZone(group, workspace string) string {
	if workspace == "" {
		return ""
	}
	return h.primaryZone(group)
}

func (h *Homes) servesLocked(group, workspace, primaryZone string) bool {
	a := h.assignmentLocked(group)
	if workspace == "" || !a.local || len(a.homes) == 0 {
		return a.local
	}
	p := h.placementLocked(group, workspace, primaryZone)
	return proxy.ContainsPeer(p.homes[:p.preferred], h.self)
}

// placementLocked returns the order of a group's homes for a workspace, which is
// the same at all proxies that know the same members and primary. All homes are
// preferred by requests of no workspace.
func (h *Homes) placementLocked(group, workspace, primaryZone string) placement {
	a := h.assignmentLocked(group)
	if workspace == "" || len(a.homes) == 0 {
		return placement{homes: a.homes, preferred: len(a.homes)}
	}
	key := placementKey{workspace, primaryZone}
	if p, ok := a.placements[key]; ok {
		return p
	}
	p := placement{homes: slices.Clone(a.homes), preferred: preferredHomes(h.workspaces, workspace, len(a.homes))}
	score := func(home proxy.Peer) float64 {
		s := proxy.CapacityScore("workspace/"+workspace, home)
		if home.Zone == primaryZone {
			s *= primaryZoneWeight
		}
		return s
	}
	slices.SortStableFunc(p.homes, func(a, b proxy.Peer) int { return cmp.Compare(score(b), score(a)) })
	a.placements[key] = p
	return p
}

// preferredHomes returns how many of a group's homes a workspace prefers: one, or
// as many as its part of all declared rates is of the homes.
func preferredHomes(w *routes.Workspaces, workspace string, homes int) int {
	own := w.Find(workspace)
	if own == nil || own.Rate == 0 {
		return 1
	}
	sum := 0.0
	for _, other := range w.All() {
		sum += other.Rate
	}
	return min(max(int(math.Ceil(own.Rate/sum*float64(homes))), 1), homes)
}
