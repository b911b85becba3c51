package database

import (
	"slices"
	"sync"

	connection "github.com/oleanderflow/oleanderflow/internal/connection/database"
)

// Home is a home proxy, which serves a group's requests for other proxies.
type Home struct {
	Name string
	Zone string
	Pool *connection.Pool
}

// Homes is the set of a group's home proxies, to which all other proxies forward
// the group's requests.
type Homes struct {
	zone string

	mu    sync.Mutex
	homes []Home
	// rotation advances on each call of Order, to spread requests over homes.
	rotation int
}

// NewHomes returns an empty set for a proxy in zone. While the set is empty,
// the proxy serves the group itself.
func NewHomes(zone string) *Homes { return &Homes{zone: zone} }

// Set replaces the homes. It returns the pools that are no longer used, which
// the caller must close.
func (h *Homes) Set(homes []Home) []*connection.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	var dropped []*connection.Pool
	for _, old := range h.homes {
		kept := false
		for _, n := range homes {
			kept = kept || n.Pool == old.Pool
		}
		if !kept {
			dropped = append(dropped, old.Pool)
		}
	}
	h.homes = homes
	return dropped
}

// Find returns the pool of the home with the given name, or nil if the set
// has no such home.
func (h *Homes) Find(name string) *connection.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, home := range h.homes {
		if home.Name == name {
			return home.Pool
		}
	}
	return nil
}

// Forwards reports whether the group's requests are forwarded to a home.
func (h *Homes) Forwards() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.homes) > 0
}

// Order returns all homes in the order in which a request tries them: those in
// the proxy's zone first. Within a zone and among the others, the order rotates
// from request to request.
func (h *Homes) Order() []Home {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotation++
	var sameZone, otherZones []Home
	for _, home := range h.homes {
		if home.Zone == h.zone {
			sameZone = append(sameZone, home)
		} else {
			otherZones = append(otherZones, home)
		}
	}
	return append(rotate(sameZone, h.rotation), rotate(otherZones, h.rotation)...)
}

// rotate returns list with its first n elements moved to the end, or n modulo
// its length if that is shorter.
func rotate(list []Home, n int) []Home {
	if len(list) == 0 {
		return nil
	}
	n %= len(list)
	return append(slices.Clone(list[n:]), list[:n]...)
}
