// Package database decides, for one request, which database of a group
// serves it, and verifies that the answer may be passed on.
package database

import (
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Read is what a read accepts.
type Read struct {
	// Floor is the position that the read must see.
	Floor position.Position
	// MaxAge is the declared age, zero for a fresh read.
	MaxAge clock.Duration
	// Arrived is the event number of the read's arrival.
	Arrived uint64
}

// reportLife is how old a replica's last report may be for a read to be
// tried there. Reports come far more often while a group is in use.
const reportLife = 250 * clock.Millisecond

// Reason says why a request went where it did. It appears in logs and
// counters.
type Reason string

// The reasons of a choice.
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

// Choice is where a request goes.
type Choice interface{ choice() }

// Use sends the request to a database, after a wait in which it is expected
// to qualify.
type Use struct {
	Database int
	Wait     clock.Duration
	Reason   Reason
}

// Hold keeps the request until more is known of the group.
type Hold struct{ Reason Reason }

func (*Use) choice() {}
func (Hold) choice() {}

const (
	// maxDatabases bounds the databases of one group.
	maxDatabases = 9
	// maxTries bounds the tries of one read on one replica.
	maxTries = 3
	// retryWait is the least wait before the first further try on a replica,
	// which grows with the square of the tries.
	retryWait = 3 * clock.Millisecond
)

// Tries is what one read has tried in vain.
type Tries struct {
	counts [maxDatabases]uint8
	waited clock.Duration
}

// Missed notes that a replica's answer did not pass its verification.
func (t *Tries) Missed(i int) { t.counts[i]++ }

// Exclude keeps a replica that cannot be reached from being tried again.
func (t *Tries) Exclude(i int) { t.counts[i] = maxTries }

// Waited notes a wait.
func (t *Tries) Waited(d clock.Duration) { t.waited += d }

// Router chooses databases for the requests of one group. The monitor's
// lock guards it.
type Router struct {
	zones       []string
	zone        string
	replicaWait clock.Duration
	health      []health
	leaving     []bool
	turn        int
}

// NewRouter returns a router of a proxy in zone for databases that stand in
// zones.
func NewRouter(zones []string, zone string, replicaWait clock.Duration) *Router {
	return &Router{zones: zones, zone: zone, replicaWait: replicaWait, health: make([]health, len(zones)), leaving: make([]bool, len(zones))}
}

// SetLeaving keeps reads from a database that is leaving, or lets them go
// there again.
func (r *Router) SetLeaving(i int, leaving bool) { r.leaving[i] = leaving }

// Write chooses the database for a request that may write. A database is
// returned in into, which saves an allocation.
func (r *Router) Write(g *database.Group, into *Use) Choice {
	primary, _ := g.Primary()
	if primary < 0 || !g.Writable() {
		return Hold{Reason: ReasonNoPrimary}
	}
	*into = Use{Database: primary, Reason: ReasonWrite}
	return into
}

// Read chooses the database for a read, after the tries that were in vain. A
// database is returned in into, which saves an allocation.
func (r *Router) Read(now clock.Time, read Read, g *database.Group, tries *Tries, into *Use) Choice {
	primary, _ := g.Primary()
	if read.MaxAge == 0 {
		if primary < 0 || !g.Writable() {
			return Hold{Reason: ReasonNoPrimary}
		}
		*into = Use{Database: primary, Reason: ReasonFresh}
		return into
	}
	best, reason := r.bestReplica(now, read, g, tries)
	switch {
	case best.Database >= 0:
		*into = best
	case primary < 0:
		return Hold{Reason: ReasonNoPrimary}
	default:
		*into = Use{Database: primary, Reason: reason}
	}
	return into
}

// bestReplica returns the replica expected to qualify first, the nearest
// among equals, or one with a negative index and the reason for none.
func (r *Router) bestReplica(now clock.Time, read Read, g *database.Group, tries *Tries) (Use, Reason) {
	best := Use{Database: -1}
	reason := ReasonAge
	primary, _ := g.Primary()
	r.turn++
	for n := range r.zones {
		i := (n + r.turn) % len(r.zones)
		if i == primary || tries.counts[i] >= maxTries {
			continue
		}
		if r.leaving[i] {
			reason = ReasonLeaving
			continue
		}
		if !r.health[i].admits(now) {
			reason = ReasonEjected
			continue
		}
		wait, ok, why := r.expectedWait(now, read, g, i, tries)
		if !ok {
			reason = why
			continue
		}
		if best.Database < 0 || wait < best.Wait || (wait == best.Wait && r.nearer(i, best.Database)) {
			best = Use{Database: i, Wait: wait, Reason: ReasonReplica}
		}
	}
	if best.Wait > 0 {
		best.Reason = ReasonReplicaWaited
	}
	if best.Database >= 0 {
		r.health[best.Database].admit(now)
	}
	return best, reason
}

func (r *Router) nearer(a, b int) bool { return r.zones[a] == r.zone && r.zones[b] != r.zone }

// expectedWait estimates when a replica qualifies, from its last report and
// its usual lag.
func (r *Router) expectedWait(now clock.Time, read Read, g *database.Group, i int, tries *Tries) (clock.Duration, bool, Reason) {
	report, heard := g.Report(i)
	if !heard || now.Sub(report.SentAt) > reportLife {
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

// Verify reports whether a database that showed status before it ran the
// read may answer it. It is the promise that estimates cannot give.
func Verify(now clock.Time, read Read, s database.Status, g *database.Group) bool {
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
	// A primary asked after the read's arrival has all that its own term
	// acknowledged before; the sample shows that no later term had begun.
	leads := s.AcceptsWrites() && s.Term == sample.Position.Term
	return leads || s.Applied.AtLeast(sample.Position)
}
