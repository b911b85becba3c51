package group

import (
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// lostAfter is how long every attempt to reach a primary must have failed
	// before it is suspected.
	lostAfter = 300 * clock.Millisecond
	// lostFailures is how many attempts must have failed.
	lostFailures = 2
	// leaderlessAfter is how long a group may be without a known primary
	// while its databases answer.
	leaderlessAfter = 700 * clock.Millisecond
	// heldAfter is how long a replica may be held by a replacement that does
	// not go on.
	heldAfter = 3 * clock.Second
)

// Reason is why a primary is to be replaced.
type Reason uint8

// The reasons of a replacement.
const (
	// NoReason: the primary leads.
	NoReason Reason = iota
	// Unreachable: this process cannot reach the primary.
	Unreachable
	// Leaderless: the databases answer, and none of them leads.
	Leaderless
	// PrimaryLeaving: the primary has announced that it leaves.
	PrimaryLeaving
	// ReplicaFenced: a replica is held by a replacement that has ended.
	ReplicaFenced
)

var reasonNames = [...]string{"none", "unreachable", "leaderless", "leaving", "heldBack"}

// String names the reason as logs show it.
func (r Reason) String() string { return reasonNames[r] }

// NeedsAgreement reports whether another proxy has to see the same before a
// replacement may begin.
func (r Reason) NeedsAgreement() bool { return r == Unreachable }

// Suspicion is a reason to replace a primary.
type Suspicion struct {
	Reason Reason
	// Primary is the database that is to be replaced, empty if none is known.
	Primary string
	// Listed is set while the registry still lists the primary.
	Listed bool
}

// Suspect judges the group's primary.
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
	case m.FailingSince != 0 && m.Failures >= lostFailures && now.Sub(m.FailingSince) >= lostAfter:
		s.Reason = Unreachable
	case m.Leaving && g.othersLocked() > 0:
		s.Reason = PrimaryLeaving
	case g.heldLocked(now):
		s.Reason = ReplicaFenced
	}
	return s
}

// suspectLeaderlessLocked waits until every database has said that it does
// not lead, or cannot be reached. One that merely grants no connection may
// well be the primary.
func (g *Group) suspectLeaderlessLocked(now clock.Time) Suspicion {
	s := Suspicion{Primary: g.lastPrimary}
	if g.leaderlessSince == 0 {
		g.leaderlessSince = now
	}
	answering, unclear := 0, 0
	for _, m := range g.members {
		switch {
		case m.Term > 0 && m.AskedAt >= g.leaderlessSince:
			answering++
		case m.FailingSince == 0 || m.Failures < lostFailures:
			unclear++
		}
		if m.ID == g.lastPrimary {
			s.Listed = m.LapsedAt == 0
		}
	}
	if now.Sub(g.leaderlessSince) >= leaderlessAfter && unclear == 0 && answering > 0 &&
		answering >= g.sizeLocked()-RequiredConfirmations(g.sizeLocked()) {
		s.Reason = Leaderless
	}
	return s
}

// othersLocked counts the databases that stay.
func (g *Group) othersLocked() int {
	n := 0
	for _, m := range g.members {
		if !m.Leaving && m.LapsedAt == 0 && m.Role != database.RolePrimary {
			n++
		}
	}
	return n
}

// heldLocked reports whether a replica has been held above the present term
// for so long that nobody can be at work.
func (g *Group) heldLocked(now clock.Time) bool {
	held := false
	for _, m := range g.members {
		held = held || m.Role == database.RoleReplica && m.Term == g.term && m.FencedTerm > g.term
	}
	switch {
	case !held:
		g.heldSince = 0
	case g.heldSince == 0:
		g.heldSince = now
	}
	return held && now.Sub(g.heldSince) >= heldAfter
}

// StalePrimaries returns databases that still take themselves for the primary of an
// earlier term, and the term that they have to learn of.
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

// FailingIDs returns the databases that could not be reached lately.
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

// Fence is a database's answer to an order that keeps it from receiving log
// of the present term.
type Fence struct {
	ID     string
	Status database.Status
	// Leaving is set for a database that is about to go.
	Leaving bool
}

// HasFenceQuorum reports whether the fences meet every set of databases that could
// confirm a commit or the primary's lead, in a group of some size.
func HasFenceQuorum(fences []Fence, size int) bool {
	return len(fences) > 0 && len(fences) >= size-RequiredConfirmations(size)
}

// Successor returns the fenced database that has received most, those that
// stay before those that leave. Whatever the order of the fences, it is the
// same one. It returns false for none.
func Successor(fences []Fence) (Fence, bool) {
	var best Fence
	found := false
	for _, f := range fences {
		if !found || succeeds(f, best) {
			best, found = f, true
		}
	}
	return best, found
}

// succeeds reports whether a is the better choice. What a database has
// received goes before everything else, since nothing acknowledged may be
// lost.
func succeeds(a, b Fence) bool {
	if a.Status.Term != b.Status.Term {
		return a.Status.Term > b.Status.Term
	}
	if c := a.Status.Received.Compare(b.Status.Received); c != 0 {
		return c > 0
	}
	if a.Leaving != b.Leaving {
		return b.Leaving
	}
	return a.ID < b.ID
}
