package group

import (
	"cmp"
	"slices"
	"sync"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Group holds what one proxy knows about a database group. No other lock is
// taken while its lock is held.
type Group struct {
	Name string
	// DrainLimit is how long a database that is leaving may get requests, zero
	// for no limit. It must be set before the group is used.
	DrainLimit clock.Duration
	// Registry tells how old the entries may be, nil if they are never too old. It must
	// be set before the group is used.
	Registry *RegistryProof

	mu      sync.Mutex
	members map[string]*Member
	// sorted has the members in the order of their IDs.
	sorted []*Member
	// removed has the last entries of databases that have been removed, by ID.
	removed map[string]Entry
	// term is the highest term seen.
	term uint64
	// memberships is empty until all entries that were read together have been observed.
	memberships memberships
	samples     *database.Samples
	// sampledAt is when the newest known position of the primary was requested.
	sampledAt clock.Time
	// ledAt is the latest time at which the primary of term is known, from itself or its
	// log, to have led.
	ledAt clock.Time
	// claimReads are in the order of time.
	claimReads []claimRead
	// inDoubtAt is when the primary's leadership was last put in doubt.
	inDoubtAt clock.Time
	// unprovenSince is when a wait for proof that the primary leads timed out
	// for the first time since the last such proof, zero if none has timed out
	// in this term.
	unprovenSince clock.Time
	// lastPrimary is the ID of the last known primary.
	lastPrimary string
	// leaderlessSince is since when no primary has been known, and fencedSince
	// since when a replica has been fenced for a later term, zero if that is
	// not so.
	leaderlessSince clock.Time
	fencedSince     clock.Time
	// changed is closed at the next change of the group's state.
	changed chan struct{}
}

// New returns a group about which nothing is known yet.
func New(name string) *Group {
	return &Group{
		Name: name, members: make(map[string]*Member), removed: make(map[string]Entry), samples: database.NewSamples(),
		changed: make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change of the group's
// state.
func (g *Group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *Group) notifyLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// maxRemoved is the maximum number of removed databases whose entries are kept.
const maxRemoved = 64

// Outdated reports whether the database has reported a later entry. A registry that was
// restored from an older copy has entries of databases that are leaving or gone by now.
func (g *Group) Outdated(e Entry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.members[e.ID]; ok {
		return e.olderThan(m.Entry)
	}
	return e.olderThan(g.removed[e.ID])
}

// rememberLocked keeps the last entry of a database that is being removed.
func (g *Group) rememberLocked(e Entry) {
	for id := range g.removed {
		if len(g.removed) < maxRemoved {
			break
		}
		delete(g.removed, id)
	}
	g.removed[e.ID] = e
}

// ObserveEntry records a registry entry. It reports whether the entry describes
// a new database, or a known one with a new incarnation or address.
func (g *Group) ObserveEntry(now clock.Time, e Entry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.notifyLocked()
	m, known := g.members[e.ID]
	if !known || m.Incarnation != e.Incarnation || m.Address != e.Address {
		behind := known && m.Incarnation != 0 || !known && g.joinsBehindLocked(e)
		m = &Member{Entry: e, AnsweredAt: now, Behind: behind, restartedAt: now}
		g.members[e.ID] = m
		g.sortLocked()
		known = false
	}
	if e.Role != m.Role {
		// Only a status tells which term the database leads or follows in its
		// new role.
		m.Term, m.UnfencedAt = 0, 0
	}
	m.Entry = e
	m.LapsedAt = 0
	switch {
	case e.Leaving && m.LeavingAt == 0:
		m.LeavingAt = now
	case !e.Leaving:
		m.LeavingAt = 0
	}
	g.memberships.markListed(e.ID)
	return !known
}

// joinsBehindLocked reports whether a database that was no member may lack what members have
// confirmed: it is new to a group whose databases have answered, or has started again since
// its removal.
func (g *Group) joinsBehindLocked(e Entry) bool {
	if last, removed := g.removed[e.ID]; removed {
		return last.Incarnation == 0 || e.Incarnation != last.Incarnation
	}
	return g.term > 0
}

// MarkLapsed records that a database's registry entry is missing.
func (g *Group) MarkLapsed(now clock.Time, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.members[id]; ok && m.LapsedAt == 0 {
		m.LapsedAt = now
		g.notifyLocked()
	}
}

// Expire removes the databases whose entries have been missing for at least
// lapsedTTL and returns their IDs. It also updates which databases have been
// leaving for at least DrainLimit.
func (g *Group) Expire(now clock.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var removed []string
	for id, m := range g.members {
		if m.LapsedAt != 0 && now.Sub(m.LapsedAt) >= lapsedTTL {
			removed = append(removed, id)
			g.rememberLocked(m.Entry)
			g.memberships.markMissing(id, m.absence())
			delete(g.members, id)
		}
	}
	changed := len(removed) > 0
	if changed {
		g.sortLocked()
	}
	for _, m := range g.members {
		expired := m.LeavingAt != 0 && g.DrainLimit > 0 && now.Sub(m.LeavingAt) >= g.DrainLimit
		changed = changed || expired != m.DrainExpired
		m.DrainExpired = expired
	}
	g.observeMembersLocked(now)
	if changed {
		g.notifyLocked()
	}
	return removed
}

// ObserveMembers records that all entries that were read together have been observed. Before
// that, the group is not taken to consist of a part of them.
func (g *Group) ObserveMembers(now clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observeMembersLocked(now)
}

func (g *Group) observeMembersLocked(now clock.Time) {
	g.succeedLocked(now)
	g.memberships.removeGone(now)
	if !g.isPresentLocked() {
		g.memberships.update(now, g.registryProvenAtLocked(), g.memberIDsLocked(), g.term > 0)
	}
	g.reviewMembershipsLocked(now)
}

// succeedLocked looks for databases that have started at the address of one whose entry is gone.
func (g *Group) succeedLocked(now clock.Time) {
	if len(g.memberships.present) == 0 {
		return
	}
	at := func(address string) (string, bool) {
		i := slices.IndexFunc(g.sorted, func(m *Member) bool { return m.LapsedAt == 0 && m.Address == address })
		if i < 0 {
			return "", false
		}
		return g.sorted[i].ID, true
	}
	for _, m := range g.sorted {
		if m.LapsedAt == 0 || g.memberships.hasSuccessor(m.ID) {
			continue
		}
		if successor, ok := at(m.Address); ok {
			g.memberships.succeed(now, m.ID, m.absence(), successor)
		}
	}
	for id, a := range g.memberships.missing {
		if successor, ok := at(a.address); ok {
			g.memberships.succeed(now, id, a, successor)
			delete(g.memberships.succeeded, id)
		}
	}
}

// isPresentLocked reports whether the present membership is that of the known databases.
func (g *Group) isPresentLocked() bool {
	count := len(g.memberships.missing)
	for _, m := range g.sorted {
		if g.memberships.hasSuccessor(m.ID) {
			continue
		}
		if count++; !g.memberships.present.has(m.ID) {
			return false
		}
	}
	for id := range g.memberships.missing {
		if !g.memberships.present.has(id) {
			return false
		}
	}
	return len(g.memberships.present) == count
}

// memberIDsLocked returns the IDs of the known databases and of those that have been missing
// for a short time.
func (g *Group) memberIDsLocked() membership {
	ids := make(membership, 0, len(g.sorted)+len(g.memberships.missing))
	for _, m := range g.sorted {
		if !g.memberships.hasSuccessor(m.ID) {
			ids = append(ids, m.ID)
		}
	}
	for id := range g.memberships.missing {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// registryProvenAtLocked returns the time before which all changes of the registry have been
// applied, zero if it is not known.
func (g *Group) registryProvenAtLocked() clock.Time {
	if g.Registry == nil {
		return 0
	}
	return g.Registry.At()
}

// reviewMembershipsLocked concludes from the databases' answers by which memberships quorums
// need no longer be counted.
func (g *Group) reviewMembershipsLocked(now clock.Time) {
	if !g.memberships.settled() {
		g.memberships.settle(g.primaryProvenAtLocked(now))
	}
	if len(g.memberships.earlier) > 0 || len(g.memberships.inherited) > 0 {
		g.memberships.removeEarlier(func(at clock.Time) bool { return now >= at && g.majorityPassedLocked(at) })
	}
}

// majorityPassedLocked reports whether a quorum of the present membership has received what
// the primary had at the given time.
func (g *Group) majorityPassedLocked(at clock.Time) bool {
	end, ok := g.samples.FirstSince(at)
	if !ok {
		return false
	}
	holders := 0
	for _, m := range g.sorted {
		if g.memberships.present.has(m.ID) && m.Term == g.term && (m.Role == database.RolePrimary || m.Received.AtLeast(end)) {
			holders++
		}
	}
	return holders > RequiredConfirmations(len(g.memberships.present))
}

// ChangedMemberships returns the memberships of which quorums are counted, false if they are
// the same as at the last call.
func (g *Group) ChangedMemberships() (Memberships, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.memberships.changed {
		return Memberships{}, false
	}
	g.memberships.changed = false
	return g.memberships.describe(), true
}

// StatusesNeeded reports whether answers of the databases may end that quorums are counted by
// an earlier membership.
func (g *Group) StatusesNeeded(now clock.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.memberships.settled() || g.memberships.awaitsPassing(now.Add(-membershipRetention))
}

// advanceTermLocked makes term the current one if it is later. It drops the
// samples and timeouts of the earlier term, which prove nothing about the new
// one.
func (g *Group) advanceTermLocked(term uint64) {
	if term <= g.term {
		return
	}
	g.term = term
	g.samples, g.sampledAt, g.ledAt = database.NewSamples(), 0, 0
	g.unprovenSince = 0
}

// updateBehindLocked ends that a database counts as behind once it leads, or has received
// what the primary had after the database had started.
func (g *Group) updateBehindLocked(m *Member) {
	if !m.Behind || m.Term != g.term {
		return
	}
	end, sampled := g.samples.FirstSince(m.restartedAt)
	if m.Role == database.RolePrimary || sampled && m.Received.AtLeast(end) {
		m.Behind = false
	}
}

// addSampleLocked stores a position that the primary was asked for at the given
// time. It drops the position if a newer one is known, because samples must be
// added in time order.
func (g *Group) addSampleLocked(p position.Position, at clock.Time) {
	if at >= g.sampledAt {
		g.sampledAt = at
		g.samples.Add(database.Sample{Position: p, At: at})
	}
}

// ObserveStatus records a database's status that was requested at askedAt and
// received at now. It ignores a status that was requested before the newest
// known one.
func (g *Group) ObserveStatus(id string, askedAt, now clock.Time, s database.Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[id]
	if !ok || askedAt < m.AskedAt {
		return
	}
	m.recordAnswer(now)
	m.AskedAt = askedAt
	if s.Received.Compare(m.Received) < 0 && s.Term <= m.Term {
		m.Behind, m.restartedAt = true, now
	}
	m.Role, m.Term, m.FencedTerm, m.Received = s.Role, s.Term, s.Fenced, s.Received
	g.advanceTermLocked(s.Term)
	g.updateBehindLocked(m)
	switch {
	case m.Term != g.term || m.FencedTerm > m.Term:
		m.UnfencedAt = 0
	case m.Role == database.RoleReplica:
		m.UnfencedAt = askedAt
		g.observeLogLocked(s.Received)
	case m.Role == database.RolePrimary:
		g.addSampleLocked(s.Received, askedAt)
		g.ledAt = max(g.ledAt, askedAt)
	}
	g.reviewMembershipsLocked(now)
	g.notifyLocked()
}

// ObserveUptime records that a database has answered a request that was sent at sentAt on a
// connection that was opened at openedAt.
func (g *Group) ObserveUptime(id string, openedAt, sentAt clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.members[id]; ok {
		m.uptime.observe(openedAt, sentAt)
	}
}

// observeLogLocked concludes from an entry of the log of the current term that the primary
// led after it was last seen before that entry.
func (g *Group) observeLogLocked(p position.Position) {
	if t, ok := g.samples.LastBelow(p); ok && p.Term == g.term {
		g.ledAt = max(g.ledAt, t)
	}
}

// ObserveLead records that a database has done at sentAt or later, in a term, what only
// its primary can do, on a connection that was opened at openedAt.
func (g *Group) ObserveLead(id string, term uint64, openedAt, sentAt clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.members[id]; ok && term == g.term && m.isPrimaryOf(term, openedAt) && sentAt > g.ledAt {
		g.ledAt = sentAt
		g.notifyLocked()
	}
}

// LeadKnown reports whether the database behind a connection that was opened at openedAt
// has said itself that it leads the term. The process behind a new connection may be
// another one than before, which has lost its log.
func (g *Group) LeadKnown(id string, term uint64, openedAt clock.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[id]
	return ok && m.isPrimaryOf(term, openedAt)
}

// LedAt returns the latest time at which the primary of the highest term seen is known,
// from itself or its log, to have led.
func (g *Group) LedAt() clock.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledAt
}

// ObservePosition records the position that came with the answer to a request
// sent at sentAt on a connection that was opened at openedAt.
func (g *Group) ObservePosition(id string, openedAt, sentAt, now clock.Time, p position.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[id]
	if !ok {
		return
	}
	m.recordAnswer(now)
	m.uptime.observe(openedAt, sentAt)
	if p.Term > g.term {
		g.advanceTermLocked(p.Term)
		g.notifyLocked()
	}
	if m.Role == database.RolePrimary && m.Term == g.term {
		if m.isPrimaryOf(g.term, openedAt) {
			g.observeLogLocked(p)
			g.addSampleLocked(p, sentAt)
		}
		return
	}
	if p.Term != g.term || m.Term != g.term || m.FencedTerm > m.Term {
		return
	}
	// The primary had not written the entry at p when it was asked at t. The
	// database received that entry after t, so it was not fenced at t.
	if t, ok := g.samples.LastBelow(p); ok && t > m.UnfencedAt {
		m.UnfencedAt = t
	}
	g.observeLogLocked(p)
}

// MarkAnswered records that a database answered at now.
func (g *Group) MarkAnswered(id string, now clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.members[id]; ok {
		m.recordAnswer(now)
	}
}

// AnsweredSince reports whether a database has answered any request after t.
func (g *Group) AnsweredSince(id string, t clock.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[id]
	return ok && m.AnsweredAt > t
}

// RecordFailure records a failed attempt to reach a database. It reports
// whether this is the first failure since the last answer.
func (g *Group) RecordFailure(id string, now clock.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[id]
	if !ok {
		return false
	}
	m.Failures++
	if m.FailingSince != 0 {
		return false
	}
	m.FailingSince = now
	g.notifyLocked()
	return true
}

// MarkNotPrimary records that a database has reported that it does not lead.
func (g *Group) MarkNotPrimary(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.members[id]; ok && m.Role == database.RolePrimary {
		m.Role, m.Term = database.RoleUnknown, 0
		g.notifyLocked()
	}
}

// Members returns what is known about each database, sorted by ID.
func (g *Group) Members() []Member { return g.AppendMembers(nil) }

// Term returns the highest term seen.
func (g *Group) Term() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term
}

// Primary returns the database that leads the highest term seen. It returns
// false if none is known, or if the primary has been leaving for at least
// DrainLimit.
func (g *Group) Primary() (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.primaryLocked(); m != nil {
		return *m, true
	}
	return Member{}, false
}

func (g *Group) primaryLocked() *Member {
	for _, m := range g.members {
		if m.Role == database.RolePrimary && m.Term == g.term && g.term > 0 && !m.DrainExpired {
			return m
		}
	}
	return nil
}

// Size returns the size of the group from which quorums are computed. It
// includes databases that have been missing for a short time.
func (g *Group) Size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.presentLocked())
}

// presentLocked returns the present membership.
func (g *Group) presentLocked() membership {
	if g.memberships.present == nil {
		return g.memberIDsLocked()
	}
	return g.memberships.present
}

// electorate is a membership by which confirmations are counted.
type electorate struct {
	membership
	// quorum is how many of its databases confirm a commit.
	quorum int
	// expired is set if the membership may have ended so long ago that a replacement does
	// not take account of it any more. Then all of its databases are the quorum.
	expired bool
}

// electorateLocked returns the membership by which confirmations are counted now. If it has
// expired, all of its databases must confirm: less than a fence quorum of a later membership
// are new, as long as the group has not doubled since.
func (g *Group) electorateLocked() electorate {
	if g.memberships.present == nil {
		ids := g.memberIDsLocked()
		return electorate{membership: ids, quorum: RequiredConfirmations(len(ids)) + 1}
	}
	confirming, provenAt := g.memberships.confirming, g.memberships.confirmingProvenAt
	if g.memberships.settled() {
		provenAt = g.registryProvenAtLocked()
	}
	if g.Registry != nil && g.Registry.expired(provenAt) {
		return electorate{membership: confirming, quorum: len(confirming), expired: true}
	}
	return electorate{membership: confirming, quorum: RequiredConfirmations(len(confirming)) + 1}
}

// replicasLocked returns how many replicas must confirm a commit of the present primary.
func (g *Group) replicasLocked(e electorate) int {
	if p := g.primaryLocked(); p != nil && !e.has(p.ID) {
		return e.quorum
	}
	return e.quorum - 1
}

// ReplicasToConfirm returns how many replicas must confirm a commit, or the primary's
// leadership, at present.
func (g *Group) ReplicasToConfirm() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicasLocked(g.electorateLocked())
}

// FencesSuffice reports whether the fenced databases intersect every set of databases by
// which a proxy may confirm a commit or the primary's leadership.
func (g *Group) FencesSuffice(fences []Fence) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sufficeLocked(func(id string) bool {
		return slices.ContainsFunc(fences, func(f Fence) bool { return f.ID == id && g.memberships.hasLog(id, f.Status.Received) })
	})
}

func (g *Group) sufficeLocked(fenced func(id string) bool) bool {
	if g.memberships.present == nil {
		s := memberships{present: g.memberIDsLocked()}
		return s.fencesSuffice(fenced)
	}
	return g.memberships.fencesSuffice(fenced)
}

// unfencedTimesLocked returns the times at which the replicas that follow the current term
// were last known not to be fenced, the latest first, and how many of them are needed.
func (g *Group) unfencedTimesLocked() (times []clock.Time, need int) {
	e := g.electorateLocked()
	for _, m := range g.members {
		if m.Role == database.RoleReplica && m.Term == g.term && m.UnfencedAt > 0 && e.has(m.ID) {
			times = append(times, m.UnfencedAt)
		}
	}
	slices.SortFunc(times, func(a, b clock.Time) int { return int(b - a) })
	return times, g.replicasLocked(e)
}

// quorumAtLocked returns the latest time at which enough replicas were not fenced to
// confirm commits of the current term's primary, zero if none is known.
func (g *Group) quorumAtLocked(now clock.Time) clock.Time {
	times, need := g.unfencedTimesLocked()
	switch {
	case need == 0:
		return now
	case len(times) < need:
		return 0
	default:
		return times[need-1]
	}
}

// primaryProvenAtLocked returns the latest time at which the current term's
// primary cannot have been replaced yet, zero if none is known. A replacement fences as
// many replicas as quorumAtLocked rules out, or one less if the primary has stepped down.
// So either the primary itself has led at that time, or there is one replica more that was
// not fenced.
func (g *Group) primaryProvenAtLocked(now clock.Time) clock.Time {
	times, need := g.unfencedTimesLocked()
	if need == 0 {
		return now
	}
	proven := min(g.quorumAtLocked(now), g.ledAt)
	if len(times) > need {
		proven = max(proven, times[need])
	}
	return proven
}

// MarkPrimaryInDoubt records that the primary's leadership was not confirmed in
// time, or that a replacement may have begun.
func (g *Group) MarkPrimaryInDoubt(now clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inDoubtAt = now
}

// RecordUnproven records that a wait for proof that the primary leads has timed
// out.
func (g *Group) RecordUnproven(now clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unprovenSince == 0 || g.quorumAtLocked(now) > g.unprovenSince {
		g.unprovenSince = now
	}
}

// ProofUnavailable reports whether waits for proof that the primary leads have
// timed out for at least minDuration without any proof in between.
func (g *Group) ProofUnavailable(now clock.Time, minDuration clock.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unprovenSince != 0 && now.Sub(g.unprovenSince) >= minDuration && g.quorumAtLocked(now) <= g.unprovenSince
}

// PrimaryInDoubt reports whether MarkPrimaryInDoubt was called and there has
// been no newer proof that the primary's commits can be confirmed.
func (g *Group) PrimaryInDoubt(now clock.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inDoubtAt != 0 && g.confirmableAtLocked(now) <= g.inDoubtAt
}

// confirmableAtLocked returns the latest time at which enough databases were not fenced to
// confirm commits of the current term's primary, zero if none is known. A database that
// may have lost a fence with a restart counts only if all databases were not fenced.
func (g *Group) confirmableAtLocked(now clock.Time) clock.Time {
	e := g.electorateLocked()
	need := g.replicasLocked(e)
	if need == 0 {
		return now
	}
	others := len(e.membership)
	if m := g.primaryLocked(); m == nil || e.has(m.ID) {
		others--
	}
	if m := g.primaryLocked(); m == nil || !g.unbrokenLocked(m, m.uptime.lastAt()) {
		need++
	}
	var all, unbroken []clock.Time
	for _, m := range g.sorted {
		if m.Role == database.RoleReplica && m.Term == g.term && m.UnfencedAt > 0 && e.has(m.ID) {
			all = append(all, m.UnfencedAt)
			if g.unbrokenLocked(m, m.UnfencedAt) {
				unbroken = append(unbroken, m.UnfencedAt)
			}
		}
	}
	if e.expired {
		return nthLatest(unbroken, need)
	}
	return max(nthLatest(unbroken, need), nthLatest(all, others))
}

// nthLatest returns the nth latest of some times, zero if they are fewer.
func nthLatest(times []clock.Time, n int) clock.Time {
	if len(times) < n {
		return 0
	}
	slices.SortFunc(times, func(a, b clock.Time) int { return cmp.Compare(b, a) })
	return times[n-1]
}

// PrimaryProvenAt returns the latest time at which the primary of the highest
// term seen is known to have led, zero if none is known.
func (g *Group) PrimaryProvenAt(now clock.Time) clock.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primaryLocked() == nil {
		return 0
	}
	return g.primaryProvenAtLocked(now)
}

// FloorSource tells what a floor was taken from.
type FloorSource uint8

// The sources of floors.
const (
	// FloorUnknown: there is no floor.
	FloorUnknown FloorSource = iota
	// FloorOfPrimary: a position of the primary.
	FloorOfPrimary
	// FloorOfMajority: the longest log of a majority.
	FloorOfMajority
)

var floorSourceNames = [...]string{"unknown", "primary", "majority"}

// String returns the name of the source as used in logs.
func (s FloorSource) String() string { return floorSourceNames[s] }

// Floor returns a position that covers every commit acknowledged before since, and what it
// was taken from. It returns FloorUnknown if the known positions are too old to tell.
func (g *Group) Floor(since, now clock.Time) (position.Position, FloorSource) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primaryLocked() != nil && g.primaryProvenAtLocked(now) >= since {
		if p, ok := g.samples.Floor(now, now.Sub(since)+clock.Millisecond); ok {
			return p, FloorOfPrimary
		}
	}
	if p, ok := g.majorityFloorLocked(since); ok {
		return p, FloorOfMajority
	}
	return position.Position{}, FloorUnknown
}

// SampledAt returns when the newest known position of the primary was
// requested.
func (g *Group) SampledAt() clock.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sampledAt
}

// majorityFloorLocked returns the end of the longest log among the databases
// whose status was requested at since or later. It returns false unless they
// are a majority, so that one of them has received each commit acknowledged
// before since. It needs no primary. The term that a database follows tells nothing
// about its log, which it may not have received yet.
func (g *Group) majorityFloorLocked(since clock.Time) (position.Position, bool) {
	var longest position.Position
	e := g.electorateLocked()
	asked := 0
	counts := func(m *Member) bool { return m.AskedAt >= since && m.Term > 0 && !m.Behind }
	for _, m := range g.sorted {
		if counts(m) {
			longest = longest.Max(m.Received)
			if e.has(m.ID) {
				asked++
			}
		}
	}
	suffices := asked >= e.quorum && g.sufficeLocked(func(id string) bool {
		m, ok := g.members[id]
		return ok && counts(m)
	})
	return longest, suffices
}

// LagsBeyond reports whether a database that has applied the log up to p has
// been missing an entry for more than maxLag. Time in which the primary wrote
// nothing does not count as lag.
func (g *Group) LagsBeyond(p position.Position, now clock.Time, maxLag clock.Duration) bool {
	lag, known := g.Lag(p, now)
	return known && lag > maxLag
}

// Lag returns for how long a database that has applied the log up to p has been missing
// an entry. It returns false if it is not known to miss any.
func (g *Group) Lag(p position.Position, now clock.Time) (clock.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	passed, known := g.samples.PassedAt(p)
	return now.Sub(passed), known
}
