package proxy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ChooseWatchers returns the count live proxies that watch a group, by
// rendezvous hashing, from as many zones as there are. All proxies with the
// same view choose the same.
func ChooseWatchers(group string, live []Peer, count int) []Peer {
	type ranked struct {
		peer  Peer
		score uint64
	}
	candidates := make([]ranked, 0, len(live))
	for _, p := range live {
		if !p.Leaving {
			candidates = append(candidates, ranked{p, xxhash.Sum64String(group + "\x00" + p.Name)})
		}
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.peer.Name, b.peer.Name)
	})
	perZone := make(map[string]int)
	var chosen []Peer
	for round := 0; len(chosen) < count && round < count; round++ {
		for _, c := range candidates {
			if len(chosen) < count && perZone[c.peer.Zone] == round && !slices.Contains(chosen, c.peer) {
				perZone[c.peer.Zone]++
				chosen = append(chosen, c.peer)
			}
		}
	}
	return chosen
}
