package proxy

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// capacityExponent is the power of an instance's capacity that is its weight. With
// the capacity itself as the weight, six instances of 0.8 of a core beside 109 of
// 0.134 would get a quarter of the roles, though the six can carry all of them.
const capacityExponent = 3

// defaultCapacity is assumed for a proxy that does not tell its capacity while
// others do.
const defaultCapacity = 1.0

// Choose chooses count of the live proxies for key, by capacity if the proxies tell
// theirs, and as ChoosePeers does otherwise.
func Choose(key string, live []Peer, count int) []Peer {
	if slices.ContainsFunc(live, func(p Peer) bool { return p.Capacity > 0 }) {
		return ChooseByCapacity(key, live, count)
	}
	return ChoosePeers(key, live, count)
}

// ChooseByCapacity chooses count of the live proxies for key by rendezvous hashing
// weighted by their capacities, spread over the availability zones, or fewer if
// there are not enough. All proxies with the same view of the members choose the
// same ones. Proxies that are leaving are ignored.
func ChooseByCapacity(key string, live []Peer, count int) []Peer {
	hash := xxhash.Sum64String(key)
	perZone := make(map[string][]candidate)
	for _, p := range live {
		if p.Leaving {
			continue
		}
		// The bits of positive floating-point numbers are in the order of the numbers.
		c := candidate{peer: p, score: math.Float64bits(capacityScore(hash, p))}
		perZone[p.Zone] = insertBest(perZone[p.Zone], c, count)
	}
	return peersOf(chooseByZone(perZone, count))
}

// CapacityScore returns the score of a proxy for a key in rendezvous hashing that
// is weighted by capacity. The proxy with the highest score is chosen.
func CapacityScore(key string, p Peer) float64 { return capacityScore(xxhash.Sum64String(key), p) }

func capacityScore(key uint64, p Peer) float64 {
	capacity := p.Capacity
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	// A uniform number from (0, 1): 53 bits of the hash, and half a step.
	u := (float64(score(key, xxhash.Sum64String(p.Name))>>11) + 0.5) / (1 << 53)
	return math.Pow(capacity, capacityExponent) / -math.Log(u)
}
