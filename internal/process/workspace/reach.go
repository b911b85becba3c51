package workspace

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// sampleSize is the number of proxies that an accountant asks for a sign of life, and
	// wideSize that while it does not reach some of them. With 64, a part of 0.35 of the
	// proxies is taken for a majority in fewer than 1 of 1,000 rounds.
	sampleSize = 16
	wideSize   = 64
	// majority is the share of the sample that a proxy must reach to account for a
	// workspace in full. It is above a half, since two parts must not both reach it.
	majority = 0.55
	// roundInterval is the time between two rounds of that, and RoundTimeout the time
	// after which a proxy counts as cut off. Their sum is how long the accountant and the
	// reserves of proxies that are cut off can add up.
	roundInterval = 500 * clock.Millisecond
	// calmInterval replaces roundInterval while no workspace needs more than half of its
	// burst: a division of the network is noticed before a surge that follows it.
	calmInterval = 5 * clock.Second
	// RoundTimeout allows for pauses of small machines.
	RoundTimeout = 200 * clock.Millisecond
	// reachTime is how long the outcome of a round counts.
	reachTime = 1200 * clock.Millisecond
	// toleratedSilence is the share of the sample that may be silent, since single
	// proxies restart or freeze at any time.
	toleratedSilence = 0.125
)

// Reach estimates which share of the proxies cannot reach an accountant. Those use their
// reserves, which the accountant has to leave room for. It asks a sample of the proxies,
// and often only while a workspace uses its burst.
type Reach struct {
	// sample has the proxies to ask, the first sampleSize of them while all is well.
	sample   []string
	asked    []string
	began    clock.Time
	round    int
	answered map[string]bool
	// failed is the share of the sample that did not answer in the last complete round.
	failed float64
	// known is set once a round is complete, and knownAt is when it began.
	known   bool
	knownAt clock.Time
}

// NewReach returns a Reach without members.
func NewReach() *Reach {
	return &Reach{began: -clock.Time(calmInterval), answered: make(map[string]bool)}
}

// SetMembers chooses the sample from the names of all proxies.
func (r *Reach) SetMembers(self string, names []string) {
	type candidate struct {
		name string
		hash uint64
	}
	var list []candidate
	for _, name := range names {
		if name != self {
			list = append(list, candidate{name, xxhash.Sum64String("reach/" + self + "/" + name)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name)) })
	r.sample = r.sample[:0:0]
	for _, c := range list[:min(len(list), wideSize)] {
		r.sample = append(r.sample, c.name)
	}
}

// Begin begins a round if one is due. It returns its number and the proxies to ask. needed
// tells that the outcome is needed now.
func (r *Reach) Begin(now clock.Time, needed bool) (int, []string) {
	interval, size := calmInterval, sampleSize
	if needed {
		interval = roundInterval
	}
	if r.failed > toleratedSilence {
		interval, size = roundInterval, wideSize
		if len(r.asked) < min(size, len(r.sample)) {
			interval = RoundTimeout
		}
	}
	if len(r.sample) == 0 || now.Sub(r.began) < interval {
		return 0, nil
	}
	r.round++
	r.began = now
	r.asked = r.sample[:min(len(r.sample), size)]
	r.answered = make(map[string]bool, len(r.asked))
	return r.round, r.asked
}

// Answered records that a proxy has answered in a round.
func (r *Reach) Answered(round int, name string) {
	if round != r.round {
		return
	}
	r.answered[name] = true
	if silent := r.silent(); silent <= toleratedSilence {
		r.failed, r.known, r.knownAt = silent, true, r.began
	}
}

// End ends a round after RoundTimeout.
func (r *Reach) End(round int) {
	if round == r.round {
		r.failed, r.known, r.knownAt = r.silent(), true, r.began
	}
}

// silent returns the share of the sample that has not answered in the current round.
func (r *Reach) silent() float64 {
	return 1 - float64(len(r.answered))/float64(max(len(r.asked), 1))
}

// Cut tells which share of the proxies one does not reach.
type Cut struct {
	// Share is the share of the sample, and High is one standard deviation of the sample
	// above it.
	Share, High float64
	// Reached is set if nearly all proxies are reached, and Majority if so many are that
	// no other part of the network can reach as many.
	Reached, Majority bool
	// Known is set if Share is not older than a round or two.
	Known bool
}

// CutOff returns the share of the proxies that this one does not reach. While it is not
// known, it counts as zero, but not as reached.
func (r *Reach) CutOff(now clock.Time) Cut {
	if len(r.sample) == 0 {
		return Cut{Reached: true, Majority: true, Known: true}
	}
	if !r.known || now.Sub(r.knownAt) > reachTime {
		return Cut{Majority: true}
	}
	c := Cut{Known: true, Share: r.failed, Reached: r.failed <= toleratedSilence, Majority: 1-r.failed >= majority}
	if r.failed > 0 {
		n := float64(max(len(r.asked), 1))
		c.High = min(r.failed+math.Sqrt(r.failed*(1-r.failed)/n)+0.5/n, 1)
	}
	return c
}
