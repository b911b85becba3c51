package workspace

import (
	"maps"
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// CloneFor returns a copy with the state of one workspace only. It decides on the
// operations of that workspace like the original, which it leaves as it is.
func (a *Allowance) CloneFor(w string) *Allowance {
	c := *a
	c.shares = make(map[string]*share)
	if s, ok := a.shares[w]; ok {
		copied := *s
		copied.candidates, copied.refusals, copied.lots = slices.Clone(s.candidates), slices.Clone(s.refusals), slices.Clone(s.lots)
		c.shares[w] = &copied
	}
	c.contacts = make(map[string]*contact, len(a.contacts))
	for name, known := range a.contacts {
		copied := *known
		c.contacts[name] = &copied
	}
	return &c
}

// Held returns the number of tokens of a workspace that have not expired, and the number
// of its operations that this proxy has admitted in the last second.
func (a *Allowance) Held(now clock.Time, w string) (tokens, used int) {
	s, ok := a.shares[w]
	if !ok {
		return 0, 0
	}
	for _, l := range s.lots {
		if now < l.expires {
			tokens += l.tokens
		}
	}
	counts := s.used
	return tokens, int(counts.perSecond(now))
}

// Target returns the accountant that would be asked for tokens of a workspace, or "" if
// none can be.
func (a *Allowance) Target(now clock.Time, w string) string {
	s, ok := a.shares[w]
	if !ok {
		s = &share{}
	}
	copied := *s
	copied.candidates, copied.refusals = slices.Clone(s.candidates), slices.Clone(s.refusals)
	name, _ := a.target(now, w, &copied)
	return name
}

// CloneFor returns a copy with the bucket of one workspace only. It answers asks for that
// workspace like the original, which it leaves as it is.
func (a *Accountant) CloneFor(w string) *Accountant {
	c := *a
	c.ranks, c.buckets = make(map[string][]string), make(map[string]*bucket)
	if b, ok := a.buckets[w]; ok {
		copied := *b
		c.buckets[w] = &copied
	}
	c.assignments = slices.Clone(a.assignments)
	c.released, c.handed = maps.Clone(a.released), maps.Clone(a.handed)
	c.others = make(map[string]*colleague, len(a.others))
	for name, known := range a.others {
		copied := *known
		copied.asks, copied.granted = slices.Clone(known.asks), maps.Clone(known.granted)
		c.others[name] = &copied
	}
	return &c
}
