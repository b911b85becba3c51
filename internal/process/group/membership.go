package group

import (
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

const (
	// shrinkDelay is how long a missing database still counts as a member. A proxy that is
	// cut off from the registry must not take the few databases that it knows for the whole
	// group while others add a new one.
	shrinkDelay = 10 * clock.Second
	// membershipTTL is how long a proxy counts confirmations by a membership after that was
	// last known to be the present one. It is longer than the time between two answers of
	// the registry's feed and a usual outage of the store together.
	membershipTTL = 40 * clock.Second
	// membershipRetention is how long at least a replacement takes account of a membership
	// after its end. It is longer than membershipTTL, since clocks differ in speed, and a
	// process may be suspended after it has read its own.
	membershipRetention = 48 * clock.Second
)

// RequiredConfirmations returns how many replicas must confirm a commit or the
// primary's leadership in a group of size databases. The primary and these
// replicas form a quorum; size - RequiredConfirmations(size) fenced databases
// intersect every quorum.
func RequiredConfirmations(size int) int { return size / 2 }

// membership is a set of databases of which quorums are counted: their IDs, sorted.
type membership []string

func (m membership) has(id string) bool {
	_, ok := slices.BinarySearch(m, id)
	return ok
}

// count returns how many databases satisfy a condition.
func (m membership) count(holds func(id string) bool) int {
	n := 0
	for _, id := range m {
		if holds(id) {
			n++
		}
	}
	return n
}

// replace returns the membership with one database in place of another.
func (m membership) replace(id, successor string) membership {
	if !m.has(id) {
		return m
	}
	ids := slices.DeleteFunc(slices.Clone(m), func(other string) bool { return other == id })
	if !ids.has(successor) {
		ids = append(ids, successor)
		slices.Sort(ids)
	}
	return ids
}

// fenceQuorum returns how many fenced databases intersect every quorum.
func (m membership) fenceQuorum() int { return len(m) - RequiredConfirmations(len(m)) }

// earlierMembership is a membership that has been replaced by a later one.
type earlierMembership struct {
	membership
	endedAt clock.Time
}

// absence is what is known about a database without a registry entry.
type absence struct {
	since clock.Time
	// address is where it was, and received the end of the log that it was known to have.
	address  string
	received position.Position
	// leavingSince is when the database announced that it is leaving, zero if it has not.
	leavingSince clock.Time
}

// gone reports whether the database no longer counts as a member.
func (a absence) gone(now clock.Time) bool {
	return now.Sub(a.since) >= shrinkDelay || a.leavingSince != 0 && now.Sub(a.leavingSince) >= shrinkDelay
}

// departure is what is known about a database that no longer counts as a member.
type departure struct {
	at clock.Time
	// passed is set once a quorum of the present membership has all that the database may
	// have confirmed.
	passed bool
}

// inheritance is what is known about a database that has taken the place of another one.
type inheritance struct {
	at clock.Time
	// received is the end of the log that the other one was known to have.
	received position.Position
}

// memberships has the sets of databases by which the proxies may count one group while
// databases join and leave it. A commit is confirmed by a quorum of the confirming
// membership. A replacement needs a fence quorum of the present membership and of all
// earlier ones, by which other proxies may still confirm.
type memberships struct {
	// present is the newest membership, empty if none is known, and presentSince when this
	// process learned of it.
	present      membership
	presentSince clock.Time
	// confirming is the present membership, or an earlier one until it is known that no
	// replacement has begun without the databases of the present one. In that case
	// confirmingProvenAt is when it was last known to be the present one.
	confirming         membership
	confirmingProvenAt clock.Time
	earlier            []earlierMembership
	// missing has the databases without a registry entry that still count as members.
	missing map[string]absence
	// departed has the databases of earlier memberships that no longer count as members.
	departed map[string]departure
	// succeeded has the databases whose place another one has taken, until they are removed.
	succeeded map[string]struct{}
	// inherited has the databases that have taken the place of another one, until a quorum
	// of the present membership has all that the other one may have confirmed.
	inherited map[string]inheritance
	// changed is set if a membership has been added or removed since the last description.
	changed bool
}

// update makes ids the present membership. provenAt is when the one before was last known to
// be the present one. counted is set if quorums may have been counted by that one.
func (s *memberships) update(now, provenAt clock.Time, ids membership, counted bool) {
	switch {
	case slices.Equal(ids, s.present):
		return
	case len(s.present) == 0 || !counted:
		s.changed = true
		s.present, s.presentSince = ids, now
		s.confirming, s.earlier = ids, nil
		return
	}
	s.changed = true
	s.earlier = slices.DeleteFunc(s.earlier, func(e earlierMembership) bool {
		return slices.Equal(e.membership, s.present) || slices.Equal(e.membership, ids)
	})
	// A group of one cannot be replaced, and confirms without limit: taking account of it
	// would only delay the first replacement after a second database has joined.
	if len(s.present) > 1 {
		s.earlier = append(s.earlier, earlierMembership{s.present, now})
	}
	if s.settled() {
		s.confirmingProvenAt = provenAt
	}
	s.present, s.presentSince = ids, now
	if len(s.confirming) == 1 || ids.count(s.confirming.has) == len(ids) {
		// A replacement that did not know the others has fenced the one database. Those
		// that are gone confirm nothing, nor can they be fenced.
		s.confirming = ids
	}
}

// settled reports whether confirmations are counted by the present membership.
func (s *memberships) settled() bool { return slices.Equal(s.confirming, s.present) }

// settle makes the present membership the confirming one, if a quorum of the confirming one
// was not fenced at provenAt. A replacement that fences databases later knows the present
// one, since it reads the registry after that.
func (s *memberships) settle(provenAt clock.Time) {
	if !s.settled() && provenAt >= s.presentSince {
		s.confirming, s.changed = s.present, true
	}
}

// succeed lets a database that has started at the address of another one, whose entry is gone,
// take its place in all memberships. The platform transfers the log, and the other one confirms
// nothing more.
func (s *memberships) succeed(now clock.Time, id string, a absence, successor string) {
	s.present, s.confirming = s.present.replace(id, successor), s.confirming.replace(id, successor)
	for i, e := range s.earlier {
		s.earlier[i].membership = e.replace(id, successor)
	}
	s.earlier = slices.DeleteFunc(s.earlier, func(e earlierMembership) bool { return slices.Equal(e.membership, s.present) })
	if s.inherited == nil {
		s.succeeded, s.inherited = make(map[string]struct{}), make(map[string]inheritance)
	}
	s.inherited[successor] = inheritance{at: now, received: a.received.Max(s.inherited[id].received).Max(s.inherited[successor].received)}
	s.succeeded[id] = struct{}{}
	delete(s.inherited, id)
	delete(s.missing, id)
	s.changed = true
}

func (s *memberships) hasSuccessor(id string) bool {
	_, ok := s.succeeded[id]
	return ok
}

// markMissing records that a database without a registry entry is no longer asked.
func (s *memberships) markMissing(id string, a absence) {
	if _, ok := s.succeeded[id]; ok {
		delete(s.succeeded, id)
		return
	}
	if s.missing == nil {
		s.missing = make(map[string]absence)
	}
	s.missing[id] = a
}

// markListed records that a database has a registry entry.
func (s *memberships) markListed(id string) {
	delete(s.missing, id)
	delete(s.departed, id)
	delete(s.succeeded, id)
}

// removeGone removes the missing databases that no longer count as members.
func (s *memberships) removeGone(now clock.Time) {
	for id, a := range s.missing {
		if !a.gone(now) {
			continue
		}
		delete(s.missing, id)
		if s.departed == nil {
			s.departed = make(map[string]departure)
		}
		s.departed[id] = departure{at: now}
	}
}

// removeEarlier removes the earlier memberships that need not be taken account of any more.
// passed reports whether a quorum of the present one has an entry that was written at a time or
// later, so that every replacement keeps what was confirmed before. An earlier membership is
// removed if that is so after its retention, or if no quorum of it is left.
func (s *memberships) removeEarlier(passed func(at clock.Time) bool) {
	for id, d := range s.departed {
		if !d.passed && passed(d.at) {
			d.passed = true
			s.departed[id] = d
		}
	}
	for id, i := range s.inherited {
		if passed(i.at) {
			delete(s.inherited, id)
		}
	}
	known := len(s.earlier)
	s.earlier = slices.DeleteFunc(s.earlier, func(e earlierMembership) bool {
		remaining := e.count(func(id string) bool { return s.present.has(id) || s.needsNoFence(id) })
		return remaining < e.fenceQuorum() || passed(e.endedAt.Add(membershipRetention))
	})
	s.changed = s.changed || len(s.earlier) < known
	for id := range s.departed {
		if !slices.ContainsFunc(s.earlier, func(e earlierMembership) bool { return e.has(id) }) {
			delete(s.departed, id)
		}
	}
}

// needsNoFence reports whether a database is gone and every replacement keeps what it has
// confirmed.
func (s *memberships) needsNoFence(id string) bool { return s.departed[id].passed }

// awaitsPassing reports whether newer positions may end that databases, or a membership that
// ended by the given time, are taken account of.
func (s *memberships) awaitsPassing(ended clock.Time) bool {
	for _, d := range s.departed {
		if !d.passed {
			return true
		}
	}
	return len(s.inherited) > 0 || slices.ContainsFunc(s.earlier, func(e earlierMembership) bool { return e.endedAt <= ended })
}

// hasLog reports whether a database that has received the log up to a position has that of the
// one whose place it has taken, if any.
func (s *memberships) hasLog(id string, received position.Position) bool {
	return received.AtLeast(s.inherited[id].received)
}

// fencesSuffice reports whether the fenced databases intersect every set of databases that
// could confirm a commit or the primary's leadership, by the present membership or by one
// that another proxy may still count by.
func (s *memberships) fencesSuffice(fenced func(id string) bool) bool {
	if n := s.present.count(fenced); n == 0 || n < s.present.fenceQuorum() {
		return false
	}
	return !slices.ContainsFunc(s.earlier, func(e earlierMembership) bool {
		return e.count(func(id string) bool { return fenced(id) || s.needsNoFence(id) }) < e.fenceQuorum()
	})
}

// Memberships describes the sets of databases of which the quorums of a group are counted.
type Memberships struct {
	// Present is the newest, and Confirming the one by which commits are confirmed.
	Present, Confirming []string
	// Earlier has those which a replacement takes account of besides the newest.
	Earlier [][]string
}

func (s *memberships) describe() Memberships {
	d := Memberships{Present: slices.Clone(s.present), Confirming: slices.Clone(s.confirming)}
	for _, e := range s.earlier {
		d.Earlier = append(d.Earlier, slices.Clone(e.membership))
	}
	return d
}
