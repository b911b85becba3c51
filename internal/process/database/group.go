package database

import (
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Durability is when a commit may be acknowledged.
type Durability uint8

// The durabilities that a group can declare.
const (
	// DurabilityGroup: once any promotion would keep the commit.
	DurabilityGroup Durability = iota
	// DurabilityPrimary: on the primary's word alone. Commits may be lost
	// with it.
	DurabilityPrimary
)

// Group is one proxy's knowledge of a database group.
type Group struct {
	durability Durability
	reports    []Report
	reported   []bool
	primary    int
	term       uint64
	newest     Sample
	samples    *SampleHistory
	waiters    *Waiters
	lagWindows []lagWindow
	positions  []position.Position
	sentSeqs   []uint64
	sentTimes  []clock.Time
}

// NewGroup returns the knowledge of a group of size databases before any
// has reported.
func NewGroup(size int, d Durability) *Group {
	return &Group{
		durability: d, reports: make([]Report, size), reported: make([]bool, size),
		primary: -1, samples: NewSampleHistory(), waiters: NewWaiters(), lagWindows: make([]lagWindow, size),
	}
}

// Size returns how many databases the group has.
func (g *Group) Size() int { return len(g.reports) }

// Majority returns how many databases meet every other majority.
func (g *Group) Majority() int { return len(g.reports)/2 + 1 }

// Primary returns the index and term of the database that leads the highest
// term heard of, or -1.
func (g *Group) Primary() (int, uint64) { return g.primary, g.term }

// Report returns a database's last report and whether there is one.
func (g *Group) Report(i int) (Report, bool) { return g.reports[i], g.reported[i] }

// Samples returns the samples taken of the group's primary.
func (g *Group) Samples() *SampleHistory { return g.samples }

// WaitingCommits returns how many commits wait for their acknowledgement.
func (g *Group) WaitingCommits() int { return g.waiters.Len() }

// Writable reports whether the known primary is not fenced off by a
// majority.
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

// FreshSample returns the newest sample, if all of its questions were sent
// after the event numbered after.
func (g *Group) FreshSample(after uint64) (Sample, bool) {
	return g.newest, g.newest.SentSeq > after
}

// Observe takes in a report and appends to dst the commits whose verdict it
// decides.
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

// lagWindowLength is how many reports a replica's lag is estimated from.
const lagWindowLength = 4

// sampleLife is how old the newest sample may be for a lag to be measured by
// it.
const maxSampleAge = 15 * clock.Millisecond

// lagWindow keeps a replica's last bounds from above on its lag.
type lagWindow struct {
	bounds [lagWindowLength]clock.Duration
	count  int
}

// measureLag bounds a replica's lag by the age of the rows that it showed.
// The bound is loose by up to the time between two samples.
func (g *Group) measureLag(r Report) {
	// While no primary is sampled, the age of rows says nothing of the lag.
	if r.Database == g.primary || r.SentAt.Sub(g.newest.At) > maxSampleAge {
		return
	}
	w := &g.lagWindows[r.Database]
	if age, ok := g.samples.Age(r.Status.Applied, r.SentAt); ok {
		w.bounds[w.count%lagWindowLength] = max(age-clock.Millisecond, 0)
		w.count++
	}
}

// Lag estimates how far a database is behind the primary, by the tightest of
// its last bounds. It returns false if none is known.
func (g *Group) Lag(i int) (clock.Duration, bool) {
	w := &g.lagWindows[i]
	if w.count == 0 {
		return 0, false
	}
	return slices.Min(w.bounds[:min(w.count, lagWindowLength)]), true
}

// RegisterCommit holds a commit until Observe releases it. It returns a verdict that
// is known already, or zero for a commit that is held.
func (g *Group) RegisterCommit(id uint64, p position.Position) CommitOutcome {
	if g.durability == DurabilityPrimary {
		return CommitConfirmed
	}
	// The answer may have come after the term that it belongs to ended.
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

// UnregisterCommit drops a waiter that has given up.
func (g *Group) UnregisterCommit(id uint64) { g.waiters.Remove(id) }

// confirmedPosition returns the end of the log that a majority has received
// in the current term.
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

// takeSample keeps the primary's position if a majority, the primary among
// it, was not fenced for a later term when asked.
func (g *Group) takeSample() {
	if g.primary < 0 || !g.reports[g.primary].Status.AcceptsWrites() {
		return
	}
	primary := g.reports[g.primary]
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
	sample := Sample{Position: primary.Status.Applied, At: primary.SentAt, SentSeq: primary.SentSeq}
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
