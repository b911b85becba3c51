package database

import (
	"sync"

	connection "github.com/oleanderflow/oleanderflow/internal/connection/database"
)

// Home is a proxy that serves a group for others.
type Home struct {
	Name string
	Zone string
	Pool *connection.Pool
}

// Homes are the proxies to which a proxy that is none of them forwards a
// group's requests.
type Homes struct {
	zone string

	mu    sync.Mutex
	homes []Home
	turn  int
}

// NewHomes returns no homes, as seen from zone: the proxy serves the group
// itself.
func NewHomes(zone string) *Homes { return &Homes{zone: zone} }

// Set replaces the homes. It returns the pools that are not used any more.
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

// Find returns the pool to a home that is in use already, or nil.
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

// Forwards reports whether requests are forwarded.
func (h *Homes) Forwards() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.homes) > 0
}

// Choose returns the home to try at an attempt, counted from 0: those of
// this zone in turn, then the others.
func (h *Homes) Choose(attempt int) (Home, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.homes) == 0 {
		return Home{}, false
	}
	h.turn++
	var near, far []Home
	for _, home := range h.homes {
		if home.Zone == h.zone {
			near = append(near, home)
		} else {
			far = append(far, home)
		}
	}
	if attempt < len(near) {
		return near[(h.turn+attempt)%len(near)], true
	}
	if len(far) == 0 {
		return near[(h.turn+attempt)%len(near)], true
	}
	return far[(h.turn+attempt)%len(far)], true
}
