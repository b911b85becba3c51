package proxy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Assignments keep which live proxies watch which group, by rendezvous
// hashing over as many zones as there are. All proxies with the same view
// choose the same. A change of membership costs one hash for each group, and
// a choice for the few groups that it touches.
type Assignments struct {
	count    int
	live     map[string]ranked
	watchers map[string][]ranked
}

// ranked is a live proxy with the hash of its name and, once chosen, its
// score for the group.
type ranked struct {
	peer  Peer
	hash  uint64
	score uint64
}

// NewAssignments returns assignments of count watchers to each group.
func NewAssignments(count int) *Assignments {
	return &Assignments{count: count, live: make(map[string]ranked), watchers: make(map[string][]ranked)}
}

// ChooseWatchers returns the count live proxies that watch one group.
func ChooseWatchers(group string, live []Peer, count int) []Peer {
	a := NewAssignments(count)
	a.SetGroups([]string{group})
	a.SetLive(live)
	return a.Watchers(group)
}

// SetCount changes how many proxies watch each group. It returns the groups
// whose watchers have changed.
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

// SetGroups replaces the set of groups. It returns the new ones.
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

// SetLive replaces the set of live proxies, of which those that are leaving
// do not count. It returns the groups whose watchers have changed.
func (a *Assignments) SetLive(live []Peer) []string {
	next := make(map[string]ranked, len(live))
	for _, p := range live {
		if !p.Leaving {
			next[p.Name] = ranked{peer: p, hash: xxhash.Sum64String(p.Name)}
		}
	}
	gone := make(map[string]bool)
	var joined []ranked
	for name, r := range a.live {
		if n, ok := next[name]; !ok || n.peer != r.peer {
			gone[name] = true
		}
	}
	for name, r := range next {
		if old, ok := a.live[name]; !ok || old.peer != r.peer {
			joined = append(joined, r)
		}
	}
	a.live = next
	return a.rechoose(gone, joined)
}

func (a *Assignments) rechoose(gone map[string]bool, joined []ranked) []string {
	var changed []string
	for group, chosen := range a.watchers {
		if !a.touched(group, chosen, gone, joined) {
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

// touched reports whether a change of membership may change a group's
// watchers.
func (a *Assignments) touched(group string, chosen []ranked, gone map[string]bool, joined []ranked) bool {
	for _, c := range chosen {
		if gone[c.peer.Name] {
			return true
		}
	}
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

func sharesZone(chosen []ranked) bool {
	for i := range chosen {
		for j := range i {
			if chosen[i].peer.Zone == chosen[j].peer.Zone {
				return true
			}
		}
	}
	return false
}

// score ranks a proxy for a group. The constants are those of a 64-bit
// finalizer with good avalanche.
func score(group, peer uint64) uint64 {
	x := group ^ (peer * 0x9e3779b97f4a7c15)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// choose picks the best of each zone, the best of those first, and goes on
// to the second best only when the zones are fewer than the watchers.
func (a *Assignments) choose(group string) {
	hash := xxhash.Sum64String(group)
	perZone := make(map[string][]ranked)
	for _, r := range a.live {
		r.score = score(hash, r.hash)
		perZone[r.peer.Zone] = insertBest(perZone[r.peer.Zone], r, a.count)
	}
	var chosen []ranked
	for round := 0; round < a.count && len(chosen) < a.count; round++ {
		var tier []ranked
		for _, best := range perZone {
			if round < len(best) {
				tier = append(tier, best[round])
			}
		}
		slices.SortFunc(tier, byScore)
		chosen = append(chosen, tier[:min(len(tier), a.count-len(chosen))]...)
	}
	a.watchers[group] = chosen
}

func byScore(x, y ranked) int {
	if c := cmp.Compare(y.score, x.score); c != 0 {
		return c
	}
	return cmp.Compare(x.peer.Name, y.peer.Name)
}

// insertBest keeps the limit best of a zone in order.
func insertBest(best []ranked, r ranked, limit int) []ranked {
	if len(best) == limit && byScore(r, best[limit-1]) > 0 {
		return best
	}
	at, _ := slices.BinarySearchFunc(best, r, byScore)
	best = slices.Insert(best, at, r)
	return best[:min(len(best), limit)]
}

// Watchers returns the watchers of a group, in the order in which they act.
func (a *Assignments) Watchers(group string) []Peer {
	chosen := a.watchers[group]
	peers := make([]Peer, len(chosen))
	for i, c := range chosen {
		peers[i] = c.peer
	}
	return peers
}

// Watches reports whether a proxy watches a group.
func (a *Assignments) Watches(group, name string) bool {
	return slices.ContainsFunc(a.watchers[group], func(r ranked) bool { return r.peer.Name == name })
}
