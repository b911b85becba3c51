package database

import "github.com/oleanderflow/oleanderflow/pkg/clock"

const (
	// ejectAfter is how many failures in a row eject a replica.
	ejectAfter = 3
	// ejectFor is how long a replica is ejected for at first. Each further
	// ejection doubles it, up to ejectAtMost.
	ejectFor    = 250 * clock.Millisecond
	ejectAtMost = 8 * clock.Second
)

// health ejects a replica that fails in a row and lets one request try it
// after a time.
type health struct {
	failures  int
	ejections int
	until     clock.Time
	probing   bool
}

// admits reports whether a request may be sent to the replica.
func (h *health) admits(now clock.Time) bool {
	return h.failures < ejectAfter || (now >= h.until && !h.probing)
}

// admit notes that a request is sent.
func (h *health) admit(now clock.Time) {
	if h.failures >= ejectAfter && now >= h.until {
		h.probing = true
		// A trial that is never reported must not eject the replica for good.
		h.until = now.Add(ejectAtMost)
	}
}

func (h *health) succeeded() { *h = health{} }

func (h *health) failed(now clock.Time) {
	h.failures++
	h.probing = false
	if h.failures < ejectAfter {
		return
	}
	h.until = now.Add(min(ejectFor<<min(h.ejections, 8), ejectAtMost))
	h.ejections++
}

// Succeeded notes that a replica answered.
func (r *Router) Succeeded(i int) { r.health[i].succeeded() }

// Failed notes that a replica could not be reached or lost its connection.
func (r *Router) Failed(now clock.Time, i int) { r.health[i].failed(now) }
