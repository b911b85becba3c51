// Package database chooses the database of a group that serves a request and
// verifies that the database's answer satisfies the request's consistency
// requirements.
package database

import (
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// ReadRequirements are the consistency requirements of one read.
type ReadRequirements struct {
	// Floor is the lowest log position that the database must have applied.
	Floor position.Position
	// MaxAge is the staleness that the read accepts, zero for a read that must
	// see every write acknowledged before it arrived.
	MaxAge clock.Duration
	// Arrived is the sequence number of the read's arrival among all events of
	// this process.
	Arrived uint64
}

// maxReportAge is the maximum age of a replica's last report at which the
// replica is still chosen for reads. While a group is in use, reports arrive far
// more often than that.
const maxReportAge = 250 * clock.Millisecond

// Reason is the reason for a routing decision, as logs and counters show it.
type Reason string

// The reasons for a routing decision.
const (
	ReasonReplica       Reason = "replica"
	ReasonReplicaWaited Reason = "replica: waited"
	ReasonWrite         Reason = "primary: write"
	ReasonFresh         Reason = "primary: fresh read"
	ReasonFloor         Reason = "primary: floor not reached"
	ReasonAge           Reason = "primary: replicas too old"
	ReasonSilent        Reason = "primary: replicas silent"
	ReasonLeaving       Reason = "primary: replicas leaving"
	ReasonEjected       Reason = "primary: replicas ejected"
	ReasonRefusedWrite  Reason = "primary: replica refused a write"
	ReasonNoPrimary     Reason = "held: no primary"
	ReasonForwarded     Reason = "home proxy"
	ReasonTransaction   Reason = "transaction"
)

// Choice is a routing decision, either a *Route or a Hold.
type Choice interface{ choice() }

// Route sends the request to one database of the group. Wait is the time after
// which the database is expected to meet the request's requirements.
type Route struct {
	Database int
	Wait     clock.Duration
	Reason   Reason
}

// Hold keeps the request queued until the state of the group changes.
type Hold struct{ Reason Reason }

func (*Route) choice() {}
func (Hold) choice()   {}

const (
	// maxDatabases limits the databases of one group.
	maxDatabases = 9
	// maxTries limits the tries of one read on one replica.
	maxTries = 3
	// retryWait is the minimum wait before the second try of a read on the same
	// replica. The wait grows with the square of the number of failed tries.
	retryWait = 3 * clock.Millisecond
)

// Tries records the failed tries of one read and the time it has waited.
type Tries struct {
	counts [maxDatabases]uint8
	waited clock.Duration
}

// VerificationFailed records that the answer of replica i did not pass Verify.
func (t *Tries) VerificationFailed(i int) { t.counts[i]++ }

// Exclude keeps the read from being sent to replica i again, because the
// replica cannot be reached.
func (t *Tries) Exclude(i int) { t.counts[i] = maxTries }

// AddWait adds d to the time that the read has waited.
func (t *Tries) AddWait(d clock.Duration) { t.waited += d }

// Router chooses databases for the requests of one group. Callers must hold
// the lock of the group's monitor.
type Router struct {
	zones       []string
	zone        string
	replicaWait clock.Duration
	health      []health
	leaving     []bool
	// rotation is the offset at which the next search for a replica starts.
	rotation int
}

// NewRouter returns the router of a proxy in zone. zones has the zone of each
// database of the group, by index. A read waits at most replicaWait for
// replicas.
func NewRouter(zones []string, zone string, replicaWait clock.Duration) *Router {
	return &Router{zones: zones, zone: zone, replicaWait: replicaWait, health: make([]health, len(zones)), leaving: make([]bool, len(zones))}
}

// SetLeaving records whether the backend server of database i is leaving. Reads
// are not sent to a leaving replica.
func (r *Router) SetLeaving(i int, leaving bool) { r.leaving[i] = leaving }

// Write chooses the database for a request that may write. It returns into, set
// to the route, which saves an allocation, or a Hold.
func (r *Router) Write(g *database.Group, into *Route) Choice {
	primary, _ := g.Primary()
	if primary < 0 || !g.Writable() {
		return Hold{Reason: ReasonNoPrimary}
	}
	*into = Route{Database: primary, Reason: ReasonWrite}
	return into
}

// Read chooses the database for a read, given its failed tries. It returns into,
// set to the route, which saves an allocation, or a Hold.
func (r *Router) Read(now clock.Time, read ReadRequirements, g *database.Group, tries *Tries, into *Route) Choice {
	primary, _ := g.Primary()
	if read.MaxAge == 0 {
		if primary < 0 || !g.Writable() {
			return Hold{Reason: ReasonNoPrimary}
		}
		*into = Route{Database: primary, Reason: ReasonFresh}
		return into
	}
	best, reason := r.bestReplica(now, read, g, tries)
	switch {
	case best.Database >= 0:
		*into = best
	case primary < 0:
		return Hold{Reason: ReasonNoPrimary}
	default:
		*into = Route{Database: primary, Reason: reason}
	}
	return into
}

// bestReplica returns the route to the replica with the shortest expected
// wait, preferring the proxy's own zone among equals. If no replica is
// eligible, the route's database is -1 and the reason says why.
func (r *Router) bestReplica(now clock.Time, read ReadRequirements, g *database.Group, tries *Tries) (Route, Reason) {
	best := Route{Database: -1}
	reason := ReasonAge
	primary, _ := g.Primary()
	r.rotation++
	for n := range r.zones {
		i := (n + r.rotation) % len(r.zones)
		if i == primary || tries.counts[i] >= maxTries {
			continue
		}
		if r.leaving[i] {
			reason = ReasonLeaving
			continue
		}
		if !r.health[i].available(now) {
			reason = ReasonEjected
			continue
		}
		wait, ok, why := r.expectedWait(now, read, g, i, tries)
		if !ok {
			reason = why
			continue
		}
		if best.Database < 0 || wait < best.Wait || (wait == best.Wait && r.nearer(i, best.Database)) {
			best = Route{Database: i, Wait: wait, Reason: ReasonReplica}
		}
	}
	if best.Wait > 0 {
		best.Reason = ReasonReplicaWaited
	}
	if best.Database >= 0 {
		r.health[best.Database].sent(now)
	}
	return best, reason
}

// nearer reports whether a is in the proxy's zone and b is not.
func (r *Router) nearer(a, b int) bool { return r.zones[a] == r.zone && r.zones[b] != r.zone }

// expectedWait estimates how long replica i needs to meet the requirements of a
// read, from its last report and its lag. After failed tries on the replica, the
// wait is longer. It returns false and the reason if the replica is not
// eligible.
func (r *Router) expectedWait(now clock.Time, read ReadRequirements, g *database.Group, i int, tries *Tries) (clock.Duration, bool, Reason) {
	report, heard := g.Report(i)
	if !heard || now.Sub(report.SentAt) > maxReportAge {
		return 0, false, ReasonSilent
	}
	lag, known := g.Lag(i)
	if !known || lag >= read.MaxAge {
		return 0, false, ReasonAge
	}
	var wait clock.Duration
	if !report.Status.Applied.AtLeast(read.Floor) {
		reached, known := g.Samples().ReachedAt(read.Floor)
		if !known {
			return 0, false, ReasonFloor
		}
		wait = max(reached.Add(lag+clock.Millisecond).Sub(now), 0)
	}
	if n := clock.Duration(tries.counts[i]); n > 0 {
		wait = max(wait, n*n*retryWait)
	}
	if tries.waited+wait > r.replicaWait {
		return 0, false, ReasonFloor
	}
	return wait, true, ReasonReplica
}

// Verify reports whether the answer to a read meets the read's requirements,
// given the status s that the database reported before it ran the read. Routing
// only estimates whether a database qualifies; this check guarantees it.
func Verify(now clock.Time, read ReadRequirements, s database.Status, g *database.Group) bool {
	if !s.Applied.AtLeast(read.Floor) {
		return false
	}
	if read.MaxAge > 0 {
		age, known := g.Samples().Age(s.Applied, now)
		return known && age <= read.MaxAge
	}
	sample, ok := g.FreshSample(read.Arrived)
	if !ok {
		return false
	}
	// A primary that was asked for its status after the read arrived has every
	// write that was acknowledged earlier in its own term. The sample proves that
	// no later term had begun.
	isPrimary := s.AcceptsWrites() && s.Term == sample.Position.Term
	return isPrimary || s.Applied.AtLeast(sample.Position)
}
