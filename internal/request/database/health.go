package database

import "github.com/oleanderflow/oleanderflow/pkg/clock"

const (
	// ejectionThreshold is the number of consecutive failures that ejects a
	// replica.
	ejectionThreshold = 3
	// baseEjection is the duration of a replica's first ejection. Each further
	// consecutive failure doubles it, up to maxEjection.
	baseEjection = 250 * clock.Millisecond
	maxEjection  = 8 * clock.Second
)

// health is a circuit breaker for one replica. It ejects the replica after
// consecutive failures and lets a single request probe it once the ejection has
// expired.
type health struct {
	failures     int
	ejections    int
	ejectedUntil clock.Time
	probing      bool
}

// available reports whether a request may be sent to the replica.
func (h *health) available(now clock.Time) bool {
	return h.failures < ejectionThreshold || (now >= h.ejectedUntil && !h.probing)
}

// sent records that a request is sent to the replica. After an ejection, that
// request is the probe.
func (h *health) sent(now clock.Time) {
	if h.failures >= ejectionThreshold && now >= h.ejectedUntil {
		h.probing = true
		// A probe whose result is never reported must not eject the replica for
		// good.
		h.ejectedUntil = now.Add(maxEjection)
	}
}

func (h *health) succeeded() { *h = health{} }

func (h *health) failed(now clock.Time) {
	h.failures++
	h.probing = false
	if h.failures < ejectionThreshold {
		return
	}
	h.ejectedUntil = now.Add(min(baseEjection<<min(h.ejections, 8), maxEjection))
	h.ejections++
}

// Succeeded records that replica i answered, which ends its ejection.
func (r *Router) Succeeded(i int) { r.health[i].succeeded() }

// Failed records that replica i could not be reached or lost its connection.
func (r *Router) Failed(now clock.Time, i int) { r.health[i].failed(now) }
