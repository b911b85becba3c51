package peer

import (
	"math/rand/v2"
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// CostJitter is the share by which the costs of homes are randomly increased, so that
// proxies do not all choose the same one.
const CostJitter = 0.3

func randomFactor() float64 { return 1 + CostJitter*rand.Float64() }

// Candidate is a home that a request may be forwarded to, with the figures that decide
// between homes. Latency and costs are in ms.
type Candidate struct {
	Name, Zone string
	// Self is set for this proxy, which forwards nothing to itself.
	Self bool
	// Preferred is set if the home serves the workspace as long as it answers.
	Preferred bool
	// Avoided is set for a short time after the home did not answer or refused a request.
	Avoided bool
	// Failed is set if this proxy has recently not reached the home, and Reported if
	// another home has recently reported that.
	Failed, Reported bool
	// Latency is the expected latency, and Cost the latency with what is added for a home
	// that is a worse choice.
	Latency, Cost float64
}

// candidateLocked returns the home with index i of a placement.
func (h *Homes) candidateLocked(now clock.Time, placed placement, i int) Candidate {
	p := placed.homes[i]
	c := Candidate{Name: p.Name, Zone: p.Zone, Self: p.Name == h.self, Preferred: i < placed.preferred}
	if c.Self {
		return c
	}
	state := h.stateLocked(p.Name)
	c.Latency, c.Avoided = state.latency.ExpectedLatency(now, homeConcurrency)
	c.Failed, c.Reported = isRecent(state.failedAt, now), isRecent(state.reportedAt, now)
	c.Cost = c.Latency
	if c.Reported {
		c.Cost += unreachableCost
	}
	switch {
	case !c.Preferred:
		c.Cost += otherHomeCost
	case p.Zone != h.zone && placed.preferred > 1:
		c.Cost += crossZoneCost
	}
	return c
}

// chooseLocked returns the home of a placement with the lowest cost, multiplied by the
// result of factor, among those that are not excluded. It returns false if there is none.
func (h *Homes) chooseLocked(now clock.Time, placed placement, exclude []string, factor func() float64) (string, bool) {
	best, lowest := "", 0.0
	for i := range placed.homes {
		if slices.Contains(exclude, placed.homes[i].Name) {
			continue
		}
		c := h.candidateLocked(now, placed, i)
		if c.Self || c.Avoided {
			continue
		}
		if cost := c.Cost * factor(); best == "" || cost < lowest {
			best, lowest = c.Name, cost
		}
	}
	return best, best != ""
}

// View is where the requests of a workspace to a group are served, as of a moment.
type View struct {
	// Known is set if the connection limit of the group is known. No proxy serves the
	// group before.
	Known bool
	// Local is set if this proxy serves the requests itself.
	Local bool
	// Homes are in the order in which the workspace prefers them. There are none if all
	// proxies serve the group.
	Homes []Candidate
	// Chosen is the home with the lowest cost, empty if none can be chosen.
	Chosen string
	// PrimaryZone is the availability zone whose homes come first, empty if there is none.
	PrimaryZone string
	// Connections is the number of connections that this proxy may open to each database.
	Connections int
}

// View returns where the requests of a workspace to a group are served now, or those of
// no workspace if that is empty. It decides like ServesWorkspace and Choose, but without
// chance: the cost of a home is not increased at random.
func (h *Homes) View(group, workspace string) View {
	now := h.clock.Now()
	v := View{PrimaryZone: h.placementZone(group, workspace)}
	h.mu.Lock()
	defer h.mu.Unlock()
	_, v.Known = h.connectionLimits[group]
	v.Local = h.servesLocked(group, workspace, v.PrimaryZone)
	placed := h.placementLocked(group, workspace, v.PrimaryZone)
	v.Homes = make([]Candidate, len(placed.homes))
	for i := range placed.homes {
		v.Homes[i] = h.candidateLocked(now, placed, i)
	}
	v.Chosen, _ = h.chooseLocked(now, placed, nil, func() float64 { return 1 })
	a := h.assignmentLocked(group)
	v.Connections = 1
	if a.local {
		v.Connections = max(a.plan.Connections, 1)
	}
	return v
}

// IsHome reports whether the proxy with a name is one of the homes.
func (v *View) IsHome(name string) bool {
	return slices.ContainsFunc(v.Homes, func(c Candidate) bool { return c.Name == name })
}
