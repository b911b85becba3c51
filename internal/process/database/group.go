package database

import (
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Durability selects when a commit may be acknowledged to its caller.
type Durability uint8

// The durability levels of a group.
const (
	// DurabilityGroup acknowledges a commit once a majority has received it,
	// so that every possible promotion keeps it.
	DurabilityGroup Durability = iota
	// DurabilityPrimary acknowledges a commit as soon as the primary has
	// committed it. Such commits may be lost with the primary.
	DurabilityPrimary
)

// Group is one proxy's view of a database group, built from status reports.
// It is not safe for concurrent use.
type Group struct {
	durability Durability
	reports    []Report
	reported   []bool
	primary    int
	term       uint64
	newest     Sample
	samples    *Samples
	waiters    *Waiters
	lagWindows []lagWindow
	// positions, sentSeqs and sentTimes are buffers that confirmedPosition and
	// takeSample reuse.
	positions []position.Position
	sentSeqs  []uint64
	sentTimes []clock.Time
}

// NewGroup returns the view of a group of size databases, none of which has
// reported yet.
func NewGroup(size int, d Durability) *Group {
	return &Group{
		durability: d, reports: make([]Report, size), reported: make([]bool, size),
		primary: -1, samples: NewSamples(), waiters: NewWaiters(), lagWindows: make([]lagWindow, size),
	}
}

// Size returns the number of databases in the group.
func (g *Group) Size() int { return len(g.reports) }

// Majority returns the smallest number of databases such that any two sets of
// that size overlap.
func (g *Group) Majority() int { return len(g.reports)/2 + 1 }

// Primary returns the index and term of the primary with the highest term
// reported so far. The index is -1 if no primary is known.
func (g *Group) Primary() (int, uint64) { return g.primary, g.term }

// Report returns the last report of database i and whether there is one.
func (g *Group) Report(i int) (Report, bool) { return g.reports[i], g.reported[i] }

// Samples returns the history of confirmed positions of the group's primary.
func (g *Group) Samples() *Samples { return g.samples }

// WaitingCommits returns the number of commits that wait to be acknowledged.
func (g *Group) WaitingCommits() int { return g.waiters.Len() }

// Writable reports whether a primary is known and fewer than a majority of
// the databases are fenced for a later term.
func (g *Group) Writable() bool {
	if g.primary < 0 || !g.reports[g.primary].Status.AcceptsWrites() {
		return false
	}
	fenced := 0
	for i := range g.reports {
		if g.reported[i] && g.reports[i].Status.Fenced > g.term {
			fenced++
		}
	}
	return fenced < g.Majority()
}

// FreshSample returns the newest sample and whether all probes behind it were
// sent after the event with sequence number after.
func (g *Group) FreshSample(after uint64) (Sample, bool) {
	return g.newest, g.newest.SentSeq > after
}

// Observe applies a report and appends to dst the waiting commits whose
// outcome it decides. A report sent before the last one of the same database
// is ignored.
func (g *Group) Observe(r Report, dst []CommitRelease) []CommitRelease {
	i := r.Database
	if g.reported[i] && r.SentSeq < g.reports[i].SentSeq {
		return dst
	}
	g.reports[i], g.reported[i] = r, true
	if r.Status.AcceptsWrites() && r.Status.Term > g.term {
		g.primary, g.term = i, r.Status.Term
		dst = g.waiters.advanceTerm(r.Status.TermStart, dst)
	}
	g.takeSample()
	g.measureLag(r)
	if p, ok := g.confirmedPosition(); ok {
		dst = g.waiters.confirm(p, dst)
	}
	return dst
}

// lagWindowLength is the number of reports from which a replica's lag is
// estimated.
const lagWindowLength = 4

// maxSampleAge is the maximum age of the newest sample for lag to be measured
// against it.
const maxSampleAge = 15 * clock.Millisecond

// lagWindow is a circular buffer of the latest upper bounds on a replica's lag.
type lagWindow struct {
	bounds [lagWindowLength]clock.Duration
	count  int
}

// measureLag records the age of the replica's applied position as an upper
// bound on its lag. The bound exceeds the lag by up to one sample interval.
func (g *Group) measureLag(r Report) {
	// Without recent samples of the primary, the age does not reflect the lag.
	if r.Database == g.primary || r.SentAt.Sub(g.newest.At) > maxSampleAge {
		return
	}
	w := &g.lagWindows[r.Database]
	if age, ok := g.samples.Age(r.Status.Applied, r.SentAt); ok {
		// Age adds a millisecond for rounding, which is subtracted again here.
		w.bounds[w.count%lagWindowLength] = max(age-clock.Millisecond, 0)
		w.count++
	}
}

// Lag estimates how far database i is behind the primary, as the smallest of
// its latest upper bounds. It returns false if there is none.
func (g *Group) Lag(i int) (clock.Duration, bool) {
	w := &g.lagWindows[i]
	if w.count == 0 {
		return 0, false
	}
	return slices.Min(w.bounds[:min(w.count, lagWindowLength)]), true
}

// RegisterCommit returns the outcome of the commit at p if it is already known.
// Otherwise it returns zero, and the commit waits under id until Observe
// releases it.
func (g *Group) RegisterCommit(id uint64, p position.Position) CommitOutcome {
	if g.durability == DurabilityPrimary {
		return CommitConfirmed
	}
	// The commit's response may arrive after its term has ended.
	if p.Term < g.term {
		start := g.reports[g.primary].Status.TermStart
		if !promotionContains(start, p) {
			return CommitLost
		}
		p = start
	}
	confirmed, ok := g.confirmedPosition()
	if ok && confirmed.Term == p.Term && confirmed.AtLeast(p) {
		return CommitConfirmed
	}
	g.waiters.Add(id, p)
	return 0
}

// UnregisterCommit removes a waiting commit whose caller no longer waits.
func (g *Group) UnregisterCommit(id uint64) { g.waiters.Remove(id) }

// confirmedPosition returns the log position that a majority has received in
// the current term, or false if fewer than a majority have reported in it.
func (g *Group) confirmedPosition() (position.Position, bool) {
	g.positions = g.positions[:0]
	for i := range g.reports {
		if received := g.reports[i].Status.Received; g.reported[i] && received.Term == g.term {
			g.positions = append(g.positions, received)
		}
	}
	if g.primary < 0 || len(g.positions) < g.Majority() {
		return position.Position{}, false
	}
	slices.SortFunc(g.positions, func(a, b position.Position) int { return b.Compare(a) })
	return g.positions[g.Majority()-1], true
}

// takeSample records the primary's position if a majority that includes the
// primary was not fenced for a later term when probed. The sample is as old as
// the oldest probe of that majority.
func (g *Group) takeSample() {
	if g.primary < 0 || !g.reports[g.primary].Status.AcceptsWrites() {
		return
	}
	primaryReport := g.reports[g.primary]
	g.sentSeqs, g.sentTimes = g.sentSeqs[:0], g.sentTimes[:0]
	for i, r := range g.reports {
		if i != g.primary && g.reported[i] && r.Status.Fenced <= g.term {
			g.sentSeqs = append(g.sentSeqs, r.SentSeq)
			g.sentTimes = append(g.sentTimes, r.SentAt)
		}
	}
	others := g.Majority() - 1
	if len(g.sentSeqs) < others {
		return
	}
	sample := Sample{Position: primaryReport.Status.Applied, At: primaryReport.SentAt, SentSeq: primaryReport.SentSeq}
	if others > 0 {
		slices.Sort(g.sentSeqs)
		slices.Sort(g.sentTimes)
		sample.SentSeq = min(sample.SentSeq, g.sentSeqs[len(g.sentSeqs)-others])
		sample.At = min(sample.At, g.sentTimes[len(g.sentTimes)-others])
	}
	if sample.SentSeq > g.newest.SentSeq {
		g.newest = sample
		g.samples.Add(sample)
	}
}
