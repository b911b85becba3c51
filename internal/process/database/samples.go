package database

import (
	"sort"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

const (
	maxSamples = 256
	// minSampleSpacing is the minimum time between two samples that are both
	// kept.
	minSampleSpacing = 4 * clock.Millisecond
)

// Sample is a position of the primary, taken while a majority was not fenced
// for a later term: every commit acknowledged before At lies at or before
// Position.
type Sample struct {
	Position position.Position
	At       clock.Time
	// SentSeq is the sequence number of the oldest probe behind the sample,
	// among all events of this process.
	SentSeq uint64
}

// Samples is a history of samples in order of position, dense for the recent
// past and sparse for older times. It gives the age of a replica's data by the
// clock of this process alone.
type Samples struct {
	samples []Sample
}

// NewSamples returns an empty history.
func NewSamples() *Samples { return &Samples{} }

// Add appends s, which must not be older than the newest sample. It is ignored
// if its position is lower. It replaces the newest sample if that one has the
// same position or was taken less than minSampleSpacing after its predecessor.
func (h *Samples) Add(s Sample) {
	n := len(h.samples)
	switch {
	case n > 0 && s.Position.Compare(h.samples[n-1].Position) < 0:
		return
	case n > 0 && h.samples[n-1].Position == s.Position:
		h.samples[n-1] = s
		return
	case n > 1 && h.samples[n-1].At.Sub(h.samples[n-2].At) < minSampleSpacing:
		h.samples[n-1] = s
		return
	case n == maxSamples:
		h.thin()
	}
	h.samples = append(h.samples, s)
}

// thin drops every other sample of the older half.
func (h *Samples) thin() {
	kept := h.samples[:0]
	for i, s := range h.samples {
		if i >= maxSamples/2 || i%2 == 0 {
			kept = append(kept, s)
		}
	}
	h.samples = kept
}

// seek returns the index of the first sample at or past p, or the number of
// samples if there is none.
func (h *Samples) seek(p position.Position) int {
	return sort.Search(len(h.samples), func(i int) bool { return h.samples[i].Position.AtLeast(p) })
}

// seekPast returns the index of the first sample past p, or the number of
// samples if there is none.
func (h *Samples) seekPast(p position.Position) int {
	return sort.Search(len(h.samples), func(i int) bool { return h.samples[i].Position.Compare(p) > 0 })
}

// timeAt returns the time of sample i, or false if there is none.
func (h *Samples) timeAt(i int) (clock.Time, bool) {
	if i < 0 || i >= len(h.samples) {
		return 0, false
	}
	return h.samples[i].At, true
}

// Age returns an upper bound on the age, at now, of the data of a database that
// has applied the log up to p. It returns false if no sample is at or before p.
func (h *Samples) Age(p position.Position, now clock.Time) (clock.Duration, bool) {
	at, ok := h.timeAt(h.seekPast(p) - 1)
	if !ok {
		return 0, false
	}
	// One millisecond accounts for the rounding of both times.
	return now.Sub(at) + clock.Millisecond, true
}

// PassedAt returns when the primary was first seen past p, or false if it was
// not. Since then at the latest, a database that has applied the log only up to
// p is behind the primary.
func (h *Samples) PassedAt(p position.Position) (clock.Time, bool) { return h.timeAt(h.seekPast(p)) }

// ReachedAt returns when the primary was first seen at or past p, or false if
// it was not.
func (h *Samples) ReachedAt(p position.Position) (clock.Time, bool) { return h.timeAt(h.seek(p)) }

// LastBelow returns when the primary was last seen before p, or false if it
// was not.
func (h *Samples) LastBelow(p position.Position) (clock.Time, bool) { return h.timeAt(h.seek(p) - 1) }

// FirstSince returns the position of the first sample that was taken at or after t, or
// false if there is none.
func (h *Samples) FirstSince(t clock.Time) (position.Position, bool) {
	first := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].At >= t })
	if first == len(h.samples) {
		return position.Position{}, false
	}
	return h.samples[first].Position, true
}

// Floor returns the position up to which a database must have applied the log
// for its data to be no older than maxAge at now. It returns false if no sample
// is that recent.
func (h *Samples) Floor(now clock.Time, maxAge clock.Duration) (position.Position, bool) {
	return h.FirstSince(now.Add(clock.Millisecond - maxAge))
}
