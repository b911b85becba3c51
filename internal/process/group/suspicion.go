package group

import (
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// unreachableAfter is how long every attempt to reach a primary must have
	// failed before the primary is suspected.
	unreachableAfter = 300 * clock.Millisecond
	// unreachableFailures is how many attempts must have failed by then.
	unreachableFailures = 2
	// leaderlessAfter is how long a group may have no known primary while its
	// databases answer.
	leaderlessAfter = 700 * clock.Millisecond
	// staleFenceAfter is how long replicas may stay fenced for a later term
	// before the replacement that fenced them is considered abandoned.
	staleFenceAfter = 3 * clock.Second
)

// Reason tells why a primary should be replaced.
type Reason uint8

// The reasons for a replacement.
const (
	// NoReason: there is no reason to replace the primary.
	NoReason Reason = iota
	// Unreachable: this process cannot reach the primary.
	Unreachable
	// Leaderless: the databases answer, but none of them leads.
	Leaderless
	// PrimaryLeaving: the primary has announced that it is leaving.
	PrimaryLeaving
	// ReplicaFenced: a replica is still fenced by an abandoned replacement.
	ReplicaFenced
)

var reasonNames = [...]string{"none", "unreachable", "leaderless", "leaving", "heldBack"}

// String returns the name of the reason as used in logs.
func (r Reason) String() string { return reasonNames[r] }

// NeedsAgreement reports whether another proxy must suspect the primary too
// before a replacement may begin.
func (r Reason) NeedsAgreement() bool { return r == Unreachable }

// Suspicion is a reason to replace a primary.
type Suspicion struct {
	Reason Reason
	// Primary is the database to be replaced, empty if none is known.
	Primary string
	// Listed is set while the registry lists the primary.
	Listed bool
}

// Suspect checks whether, and why, the group's primary should be replaced.
func (g *Group) Suspect(now clock.Time) Suspicion {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.primaryLocked()
	if m == nil {
		return g.suspectLeaderlessLocked(now)
	}
	g.leaderlessSince = 0
	g.lastPrimary = m.ID
	s := Suspicion{Primary: m.ID, Listed: m.LapsedAt == 0}
	switch {
	case m.FailingSince != 0 && m.Failures >= unreachableFailures && now.Sub(m.FailingSince) >= unreachableAfter:
		s.Reason = Unreachable
	case m.Leaving && g.countCandidatesLocked() > 0:
		s.Reason = PrimaryLeaving
	case g.staleFenceLocked(now):
		s.Reason = ReplicaFenced
	}
	return s
}

// suspectLeaderlessLocked checks a group without a known primary. It gives a
// reason only once every database has reported that it does not lead, or cannot
// be reached: a database that merely grants no connections may well be the
// primary. So may one that leads according to the registry: that this process
// cannot reach it is no more proof than with a known primary.
func (g *Group) suspectLeaderlessLocked(now clock.Time) Suspicion {
	s := Suspicion{Primary: g.lastPrimary}
	reason := Leaderless
	if m := g.statedPrimaryLocked(); m != nil {
		s.Primary, reason = m.ID, Unreachable
	}
	if g.leaderlessSince == 0 {
		g.leaderlessSince = now
	}
	answers := func(m *Member) bool { return m.Term > 0 && m.AskedAt >= g.leaderlessSince }
	undecided := 0
	for _, m := range g.members {
		switch {
		case answers(m):
		case m.FailingSince == 0 || m.Failures < unreachableFailures:
			undecided++
		}
		if m.ID == s.Primary {
			s.Listed = m.LapsedAt == 0
		}
	}
	suffice := g.sufficeLocked(func(id string) bool {
		m, ok := g.members[id]
		return ok && answers(m)
	})
	if now.Sub(g.leaderlessSince) >= leaderlessAfter && undecided == 0 && suffice {
		s.Reason = reason
	}
	return s
}

// statedPrimaryLocked returns the database that leads according to its registry entry and
// does not answer, nil if there is none. A primary of an earlier term may be listed as well.
func (g *Group) statedPrimaryLocked() *Member {
	var stated *Member
	for _, m := range g.sorted {
		if m.Role == database.RolePrimary && m.Term == 0 && m.FailingSince != 0 && (stated == nil || stated.ID == g.lastPrimary) {
			stated = m
		}
	}
	return stated
}

// countCandidatesLocked counts the databases other than the primary that are
// listed and not leaving.
func (g *Group) countCandidatesLocked() int {
	n := 0
	for _, m := range g.members {
		if !m.Leaving && m.LapsedAt == 0 && m.Role != database.RolePrimary {
			n++
		}
	}
	return n
}

// staleFenceLocked reports whether replicas have been fenced for a later term
// for so long that the replacement must have been abandoned.
func (g *Group) staleFenceLocked(now clock.Time) bool {
	fenced := false
	for _, m := range g.members {
		fenced = fenced || m.Role == database.RoleReplica && m.Term == g.term && m.FencedTerm > g.term
	}
	switch {
	case !fenced:
		g.fencedSince = 0
	case g.fencedSince == 0:
		g.fencedSince = now
	}
	return fenced && now.Sub(g.fencedSince) >= staleFenceAfter
}

// StalePrimaries returns the IDs of the databases that still act as primary of
// an earlier term, and the current term, for which they must step down.
func (g *Group) StalePrimaries() ([]string, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for id, m := range g.members {
		if m.Role == database.RolePrimary && m.Term > 0 && m.Term < g.term {
			ids = append(ids, id)
		}
	}
	return ids, g.term
}

// FailingIDs returns the IDs of the databases that have not answered since an
// attempt to reach them failed.
func (g *Group) FailingIDs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for id, m := range g.members {
		if m.FailingSince != 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Fence is a database's answer to a fencing command, after which it accepts no
// log entries of the current term.
type Fence struct {
	ID     string
	Status database.Status
	// Leaving is set for a database that is about to leave the group.
	Leaving bool
}

// Successor returns the fenced database that has received the longest log. Among equals it prefers databases that are not leaving. The
// result does not depend on the order of fences. It returns false if there are
// none.
func Successor(fences []Fence) (Fence, bool) {
	var best Fence
	found := false
	for _, f := range fences {
		if !found || isBetterSuccessor(f, best) {
			best, found = f, true
		}
	}
	return best, found
}

// isBetterSuccessor reports whether a is a better choice than b. The received
// log takes precedence over everything else, because no acknowledged commit may
// be lost. A database that follows a later term may not have received its log yet.
func isBetterSuccessor(a, b Fence) bool {
	if c := a.Status.Received.Compare(b.Status.Received); c != 0 {
		return c > 0
	}
	if a.Status.Term != b.Status.Term {
		return a.Status.Term > b.Status.Term
	}
	if a.Leaving != b.Leaving {
		return b.Leaving
	}
	return a.ID < b.ID
}
