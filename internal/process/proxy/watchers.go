package proxy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Assignments maps each group to the live proxies that watch it. They are chosen
// by rendezvous hashing and spread over as many availability zones as possible,
// so all proxies with the same view of the members choose the same watchers. A
// membership change costs one hash per group, and a new choice only for the few
// groups that it affects. Assignments is not safe for concurrent use.
type Assignments struct {
	count    int
	live     map[string]candidate
	watchers map[string][]candidate
}

// candidate is a live proxy with the hash of its name and, once chosen, its
// score for the group.
type candidate struct {
	peer  Peer
	hash  uint64
	score uint64
}

// NewAssignments returns empty assignments with count watchers per group. Count
// must be at least 1.
func NewAssignments(count int) *Assignments {
	return &Assignments{count: count, live: make(map[string]candidate), watchers: make(map[string][]candidate)}
}

// ChoosePeers chooses count of the live proxies for key, or fewer if there are
// not enough, in the same way as Assignments chooses the watchers of the group
// named key. Count must be at least 1.
func ChoosePeers(key string, live []Peer, count int) []Peer {
	a := NewAssignments(count)
	a.SetGroups([]string{key})
	a.SetLive(live)
	return a.Watchers(key)
}

// SetCount sets how many proxies watch each group, at least 1. It returns all
// groups if the count has changed, and none otherwise.
func (a *Assignments) SetCount(count int) []string {
	if count == a.count {
		return nil
	}
	a.count = count
	var changed []string
	for group := range a.watchers {
		a.choose(group)
		changed = append(changed, group)
	}
	return changed
}

// SetGroups replaces the set of groups. It returns those that were added.
func (a *Assignments) SetGroups(groups []string) []string {
	wanted := make(map[string]bool, len(groups))
	var added []string
	for _, g := range groups {
		wanted[g] = true
		if _, ok := a.watchers[g]; !ok {
			a.watchers[g] = nil
			a.choose(g)
			added = append(added, g)
		}
	}
	for g := range a.watchers {
		if !wanted[g] {
			delete(a.watchers, g)
		}
	}
	return added
}

// SetLive replaces the set of live proxies; those that are leaving are ignored.
// It returns the groups whose watchers have changed, sorted by name.
func (a *Assignments) SetLive(live []Peer) []string {
	next := make(map[string]candidate, len(live))
	for _, p := range live {
		if !p.Leaving {
			next[p.Name] = candidate{peer: p, hash: xxhash.Sum64String(p.Name)}
		}
	}
	removed := make(map[string]bool)
	var joined []candidate
	for name, c := range a.live {
		if n, ok := next[name]; !ok || n.peer != c.peer {
			removed[name] = true
		}
	}
	for name, c := range next {
		if old, ok := a.live[name]; !ok || old.peer != c.peer {
			joined = append(joined, c)
		}
	}
	a.live = next
	return a.reassign(removed, joined)
}

func (a *Assignments) reassign(removed map[string]bool, joined []candidate) []string {
	var changed []string
	for group, chosen := range a.watchers {
		if !a.mayChange(group, chosen, removed, joined) {
			continue
		}
		before := slices.Clone(chosen)
		a.choose(group)
		if !slices.Equal(before, a.watchers[group]) {
			changed = append(changed, group)
		}
	}
	slices.Sort(changed)
	return changed
}

// mayChange reports whether a membership change can change the watchers of a
// group.
func (a *Assignments) mayChange(group string, chosen []candidate, removed map[string]bool, joined []candidate) bool {
	for _, c := range chosen {
		if removed[c.peer.Name] {
			return true
		}
	}
	// If two watchers share a zone, a proxy that joins in another zone can
	// replace one of them even with a lower score.
	if len(joined) > 0 && (len(chosen) < a.count || sharesZone(chosen)) {
		return true
	}
	hash := xxhash.Sum64String(group)
	for _, j := range joined {
		if score(hash, j.hash) > chosen[len(chosen)-1].score {
			return true
		}
	}
	return false
}

func sharesZone(chosen []candidate) bool {
	for i := range chosen {
		for j := range i {
			if chosen[i].peer.Zone == chosen[j].peer.Zone {
				return true
			}
		}
	}
	return false
}

// score returns the rendezvous hash of a group and a proxy, given the hashes of
// their names. It mixes them with the 64-bit finalizer of MurmurHash3, which has
// good avalanche.
func score(group, peer uint64) uint64 {
	x := group ^ (peer * 0x9e3779b97f4a7c15)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// choose picks the proxy with the highest score of each zone, ordered by score.
// The second best of each zone follow only if there are fewer zones than
// watchers, and so on.
func (a *Assignments) choose(group string) {
	hash := xxhash.Sum64String(group)
	perZone := make(map[string][]candidate)
	for _, c := range a.live {
		c.score = score(hash, c.hash)
		perZone[c.peer.Zone] = insertBest(perZone[c.peer.Zone], c, a.count)
	}
	a.watchers[group] = chooseByZone(perZone, a.count)
}

// chooseByZone picks count candidates, given the best ones of each zone ordered by
// score.
func chooseByZone(perZone map[string][]candidate, count int) []candidate {
	var chosen []candidate
	for round := 0; round < count && len(chosen) < count; round++ {
		var tier []candidate
		for _, best := range perZone {
			if round < len(best) {
				tier = append(tier, best[round])
			}
		}
		slices.SortFunc(tier, byScore)
		chosen = append(chosen, tier[:min(len(tier), count-len(chosen))]...)
	}
	return chosen
}

func byScore(x, y candidate) int {
	if c := cmp.Compare(y.score, x.score); c != 0 {
		return c
	}
	return cmp.Compare(x.peer.Name, y.peer.Name)
}

// insertBest inserts c into the sorted candidates of a zone and keeps at most
// limit of them, the best ones.
func insertBest(best []candidate, c candidate, limit int) []candidate {
	if len(best) == limit && byScore(c, best[limit-1]) > 0 {
		return best
	}
	at, _ := slices.BinarySearchFunc(best, c, byScore)
	best = slices.Insert(best, at, c)
	return best[:min(len(best), limit)]
}

// Watchers returns the watchers of a group in the order in which they act.
func (a *Assignments) Watchers(group string) []Peer { return peersOf(a.watchers[group]) }

func peersOf(chosen []candidate) []Peer {
	peers := make([]Peer, len(chosen))
	for i, c := range chosen {
		peers[i] = c.peer
	}
	return peers
}

// Watches reports whether a proxy watches a group.
func (a *Assignments) Watches(group, name string) bool {
	return slices.ContainsFunc(a.watchers[group], func(c candidate) bool { return c.peer.Name == name })
}
