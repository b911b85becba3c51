package front

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
)

const (
	// proxiesPerRelay is the upper bound of the average number of proxies per
	// relay. One call from each of them every few seconds is a small load for
	// the smallest machine.
	proxiesPerRelay = 25
	// minRelays is the least number of relays: with three, two may fail at once. Up to
	// proxiesPerRelay proxies follow the store directly, since three relays would hardly
	// save calls then.
	minRelays = 3
	// relaysPerRoot is the upper bound of the average number of relays per root,
	// and minRoots the least number of roots: with three, two may fail at once.
	relaysPerRoot = 25
	minRoots      = 3
	// minRelaysForRoots is the number of relays below which all of them are
	// roots, since a second tier would hardly save the store a call.
	minRelaysForRoots = 2 * minRoots
)

// tiers are the proxies that pass on the store's changes. The roots follow the
// store, the other relays follow the roots, and all other proxies follow the
// relays. Every proxy that knows the same members chooses the same tiers.
type tiers struct {
	// relays includes the roots, which come first.
	relays []proxy.Peer
	roots  []proxy.Peer
}

// chooseTiers selects the relays and roots among the live proxies, or none if
// there are too few proxies. Both are spread over the availability zones.
func chooseTiers(members []proxy.Peer) tiers {
	if len(members) <= proxiesPerRelay {
		return tiers{}
	}
	relays := proxy.Choose("relays", members, max(len(members)/proxiesPerRelay+1, minRelays))
	if len(relays) < minRelaysForRoots {
		return tiers{relays: relays, roots: relays}
	}
	return tiers{relays: relays, roots: relays[:max(minRoots, len(relays)/relaysPerRoot)]}
}

// sources returns the proxies that a proxy polls, in the order in which it polls
// them: those of its own zone first. Within a zone and among the others, the
// order differs between proxies, which spreads the load. A root has no sources.
func (t tiers) sources(self proxy.Peer) []proxy.Peer {
	switch {
	case proxy.ContainsPeer(t.roots, self.Name):
		return nil
	case proxy.ContainsPeer(t.relays, self.Name):
		return sortByPreference(self, t.roots)
	default:
		return sortByPreference(self, t.relays)
	}
}

// sortByPreference returns the relays in the order in which one proxy polls
// them: relays of its own zone first. Within a zone and among the others, the
// order differs between proxies, which spreads the load.
func sortByPreference(self proxy.Peer, list []proxy.Peer) []proxy.Peer {
	ordered := slices.Clone(list)
	rank := func(p proxy.Peer) uint64 { return xxhash.Sum64String(p.Name + "/" + self.Name) }
	slices.SortFunc(ordered, func(a, b proxy.Peer) int {
		aLocal, bLocal := a.Zone == self.Zone, b.Zone == self.Zone
		switch {
		case aLocal == bLocal:
			return cmp.Compare(rank(a), rank(b))
		case aLocal:
			return -1
		default:
			return 1
		}
	})
	return ordered
}
