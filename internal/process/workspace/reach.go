package workspace

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// sampleSize is the number of proxies that an accountant asks for a sign of life.
	sampleSize = 16
	// roundInterval is the time between two rounds of that, and RoundTimeout the time
	// after which a proxy counts as cut off. Their sum is how long the accountant and the
	// reserves of proxies that are cut off can add up.
	roundInterval = 500 * clock.Millisecond
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
// and only while a workspace uses its burst.
type Reach struct {
	sample   []string
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
	return &Reach{began: -clock.Time(roundInterval), answered: make(map[string]bool)}
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
	for _, c := range list[:min(len(list), sampleSize)] {
		r.sample = append(r.sample, c.name)
	}
}

// Begin begins a round if one is due. It returns its number and the proxies to ask.
func (r *Reach) Begin(now clock.Time) (int, []string) {
	if len(r.sample) == 0 || now.Sub(r.began) < roundInterval {
		return 0, nil
	}
	r.round++
	r.began = now
	r.answered = make(map[string]bool, len(r.sample))
	return r.round, r.sample
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
	n := 0
	for _, name := range r.sample {
		if !r.answered[name] {
			n++
		}
	}
	return float64(n) / float64(max(len(r.sample), 1))
}

// CutOff returns the estimated share of the proxies that cannot reach this one, and
// whether that is known and low enough to use the whole depth of a bucket. The estimate is
// one standard deviation of the sample on the safe side.
func (r *Reach) CutOff(now clock.Time) (float64, bool) {
	if len(r.sample) == 0 {
		return 0, true
	}
	if !r.known || now.Sub(r.knownAt) > reachTime {
		return 0, false
	}
	if r.failed == 0 {
		return 0, true
	}
	n := float64(len(r.sample))
	share := min(r.failed+math.Sqrt(r.failed*(1-r.failed)/n)+0.5/n, 1)
	return share, r.failed <= toleratedSilence
}
