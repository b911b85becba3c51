package session

import (
	"fmt"
	"math"
	"strings"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func (e *explainer) explainHomes() {
	h := &e.result.Homes
	h.Local, h.Candidates = e.view.Local, make([]ExplainedHome, 0, len(e.view.Homes))
	switch {
	case !e.view.Known:
		h.Order = "no home: the connection limit of the group is not known"
	case len(e.view.Homes) == 0:
		h.Order = "no homes: all proxies hold connections to the group's databases"
	case e.session.workspace == "":
		h.Order = "by rendezvous hashing of the group; requests of no workspace prefer all homes"
	case e.view.PrimaryZone == "":
		h.Order = "by rendezvous hashing of the workspace; the availability zone of the primary is not known"
	default:
		h.Order = "homes in the availability zone of the primary (" + e.view.PrimaryZone + ") first, then by rendezvous hashing of the workspace"
	}
	lowest := 0.0
	for i := range e.view.Homes {
		if c := &e.view.Homes[i]; c.Name == e.view.Chosen {
			lowest = c.Cost
		}
	}
	for _, c := range e.view.Homes {
		home := ExplainedHome{
			Name: c.Name, Zone: c.Zone, Preferred: c.Preferred, Reached: c.Self || !c.Avoided && !c.Failed, Reported: c.Reported,
			Latency: rounded(c.Latency), Cost: rounded(c.Cost), Chosen: e.result.Decision.Home == c.Name,
		}
		home.Reason = e.homeReason(&c, home.Chosen, lowest)
		h.Candidates = append(h.Candidates, home)
	}
}

func (e *explainer) homeReason(c *peer.Candidate, chosen bool, lowest float64) string {
	switch {
	case chosen:
		return "lowest cost"
	case c.Self && e.view.Local:
		return "this proxy, which serves the request"
	case c.Self:
		return "this proxy, which the workspace does not prefer"
	case e.view.Local:
		return "not needed: this proxy serves the request"
	case c.Avoided:
		return "has not been reached, has not answered or has refused a request"
	case e.result.Decision.Outcome == Refused:
		return "nothing is forwarded"
	case !c.Preferred:
		return higherCost(c.Cost, lowest, peer.CostJitter, "not preferred by the workspace")
	case c.Reported:
		return higherCost(c.Cost, lowest, peer.CostJitter, "another home does not reach it")
	default:
		return higherCost(c.Cost, lowest, peer.CostJitter)
	}
}

// rounded returns a figure to the hundredth.
func rounded(v float64) float64 { return math.Round(v*100) / 100 }

// higherCost returns why a candidate is not chosen that has a higher cost. Costs are
// increased at random by up to jitter for each request, so that close ones are chosen too.
func higherCost(cost, lowest, jitter float64, parts ...string) string {
	text := "higher cost"
	if lowest > 0 && cost < lowest*(1+jitter) {
		text = fmt.Sprintf("cost is within the %.0f%% that are added at random: may be chosen instead", jitter*100)
	}
	if len(parts) > 0 {
		text += " (" + strings.Join(parts, ", ") + ")"
	}
	return text
}

func (e *explainer) explainDatabases() {
	d := &e.result.Databases
	d.Connections, d.Candidates = e.view.Connections, make([]ExplainedDatabase, 0, len(e.candidates))
	if e.group == nil {
		return
	}
	d.Primary, d.Term = e.primary.ID, e.term
	if e.floorKnown {
		d.Floor = e.floor.String()
	}
	lowest := 0.0
	for i := range e.candidates {
		if c := &e.candidates[i]; c.Member.ID == e.result.Decision.Database {
			lowest = c.Cost.Total
		}
	}
	for i := range e.candidates {
		d.Candidates = append(d.Candidates, e.database(&e.candidates[i], lowest))
	}
}

func (e *explainer) database(c *backend.Candidate, lowest float64) ExplainedDatabase {
	m := c.Member
	d := ExplainedDatabase{
		ID: m.ID, Role: m.Role.String(), Zone: m.Zone, Latency: rounded(c.Cost.Expected), Cost: rounded(c.Cost.Total),
		Chosen: e.result.Decision.Database == m.ID,
	}
	e.addStatus(&d, m)
	var preview backend.Preview
	if c.Pool != nil {
		policy, until := e.session.readSlot(e.session.arrived.Add(e.session.route.Timeout))
		if e.primaryOnly() {
			_, policy, until = e.session.primarySlot()
		}
		preview = c.Pool.Limiter.Preview(e.session.arrived, policy, e.session.slotRequest(until))
		d.Limit, d.LimitState, d.InFlight, d.Waiting = rounded(preview.Limit), preview.State.String(), preview.InFlight, preview.Waiting
		d.Connections = c.Pool.OpenFor(e.session.workspace)
	}
	d.Eligible, d.Reason = e.databaseReason(c, &preview, lowest)
	return d
}

// addStatus adds what the last status of a database tells.
func (e *explainer) addStatus(d *ExplainedDatabase, m *group.Member) {
	if m.AskedAt == 0 {
		return
	}
	age := e.session.arrived.Sub(m.AskedAt)
	d.Received, d.StatusAgeMillis = m.Received.String(), &age
	var lag clock.Duration
	if since, behind := e.group.Lag(m.Received, m.AskedAt); behind {
		lag = max(since, 0)
	}
	d.LagMillis = &lag
	if e.floorKnown {
		received := m.Received.AtLeast(e.floor)
		d.FloorReceived = &received
	}
}

// databaseReason returns whether a database may get the request, and why it is or is not
// chosen.
func (e *explainer) databaseReason(c *backend.Candidate, preview *backend.Preview, lowest float64) (bool, string) {
	decision := &e.result.Decision
	primaryOnly := e.primaryOnly()
	switch {
	case primaryOnly && c.Member.ID != e.primary.ID:
		return false, "not the primary"
	case c.Obstacle == backend.NoPool:
		return false, "has just joined or left the group"
	case decision.Database == c.Member.ID && primaryOnly:
		return true, "the primary"
	case decision.Database == c.Member.ID:
		return true, "lowest cost"
	case c.Obstacle == backend.Leaving && !primaryOnly:
		return false, "leaving the group"
	case c.Obstacle == backend.Lagging && !primaryOnly:
		return false, "has recently lagged too far behind"
	case decision.Outcome == Forwarded:
		return true, "the home decides"
	case preview.Refused != nil:
		return true, "no slot: " + preview.Refused.Error()
	case decision.Outcome != Sent:
		return true, "nothing is sent"
	default:
		return true, higherCost(c.Cost.Total, lowest, backend.CostJitter, costParts(c)...)
	}
}

// costParts returns what is added to the cost of a database.
func costParts(c *backend.Candidate) []string {
	var parts []string
	for _, p := range []struct {
		set  bool
		text string
	}{
		{c.Member.Role == database.RolePrimary, "the primary is kept for writes"},
		{c.Cost.CrossZone, "another availability zone"},
		{c.Cost.Dial, "a connection has to be opened"},
		{c.Cost.Saturated, "requests wait for a slot"},
		{c.Cost.Avoided, "has recently failed, refused or lagged"},
	} {
		if p.set {
			parts = append(parts, p.text)
		}
	}
	return parts
}
