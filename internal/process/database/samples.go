package database

import (
	"sort"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

const (
	maxSamples = 256
	// ringSpacing is the least time between two samples that are both kept.
	minSampleSpacing = 4 * clock.Millisecond
)

// Sample is a primary's position confirmed by a majority: every commit
// acknowledged before At lies at or before Position.
type Sample struct {
	Position position.Position
	At       clock.Time
	// SentSeq orders the sample's oldest question among all events of this
	// process.
	SentSeq uint64
}

// SampleHistory keeps recent samples, dense for the near past and sparse for the
// far one. It tells the age of a replica by this process's clock alone.
type SampleHistory struct {
	samples []Sample
}

// NewSampleHistory returns an empty ring.
func NewSampleHistory() *SampleHistory { return &SampleHistory{} }

// Add appends a sample, which must not be older than the newest.
func (h *SampleHistory) Add(s Sample) {
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
func (h *SampleHistory) thin() {
	kept := h.samples[:0]
	for i, s := range h.samples {
		if i >= maxSamples/2 || i%2 == 0 {
			kept = append(kept, s)
		}
	}
	h.samples = kept
}

// reached returns the index of the first sample at or past p, and past that of
// the first one past p; the number of samples for none.
func (h *SampleHistory) indexAtOrPast(p position.Position) int {
	return sort.Search(len(h.samples), func(i int) bool { return h.samples[i].Position.AtLeast(p) })
}

func (h *SampleHistory) indexPast(p position.Position) int {
	return sort.Search(len(h.samples), func(i int) bool { return h.samples[i].Position.Compare(p) > 0 })
}

// at returns when the sample of an index was taken, false if there is none.
func (h *SampleHistory) sampleTime(i int) (clock.Time, bool) {
	if i < 0 || i >= len(h.samples) {
		return 0, false
	}
	return h.samples[i].At, true
}

// Age bounds from above how old the rows are that a database which has
// applied p shows at now. It returns false if no sample covers p.
func (h *SampleHistory) Age(p position.Position, now clock.Time) (clock.Duration, bool) {
	at, ok := h.sampleTime(h.indexPast(p) - 1)
	if !ok {
		return 0, false
	}
	// One millisecond covers the rounding of both times.
	return now.Sub(at) + clock.Millisecond, true
}

// PassedAt returns when the primary was first seen past p: since then at the
// latest a database lacks something that has applied no more than p.
func (h *SampleHistory) PassedAt(p position.Position) (clock.Time, bool) {
	return h.sampleTime(h.indexPast(p))
}

// ReachedAt returns when the primary was first seen at or past p.
func (h *SampleHistory) ReachedAt(p position.Position) (clock.Time, bool) {
	return h.sampleTime(h.indexAtOrPast(p))
}

// LastBelow returns when the primary was last seen below p.
func (h *SampleHistory) LastBelow(p position.Position) (clock.Time, bool) {
	return h.sampleTime(h.indexAtOrPast(p) - 1)
}

// Floor returns the position that a database must have applied to show rows
// no older than maxAge at now. It returns false if no sample is that young.
func (h *SampleHistory) Floor(now clock.Time, maxAge clock.Duration) (position.Position, bool) {
	oldest := now.Add(clock.Millisecond - maxAge)
	at := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].At >= oldest })
	if at == len(h.samples) {
		return position.Position{}, false
	}
	return h.samples[at].Position, true
}
