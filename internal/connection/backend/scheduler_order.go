package backend

import (
	"cmp"
	"maps"
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// sort brings the waiting requests into the order in which they would be served
// if no other arrived.
func (s *Scheduler) sort(now clock.Time) {
	if _, shared := s.policy.(ByShare); shared {
		s.sortByShare(now)
		return
	}
	newest := now.Sub(s.queuedSince) >= fifoPeriod
	slices.SortFunc(s.waiting, func(a, b *waiting) int {
		if newest {
			return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(b.id, a.id))
		}
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.id, b.id))
	})
}

// sortByShare puts requests that are unlikely to meet their target last: if those of
// an urgent class went before others that can be in time, goodput at twice the load
// was 94% of the peak. Workspaces that are ahead of their share follow. Within a
// level, the order is that of start-time fair queueing, in which each request adds
// its cost to the tag of its flow, and the flow with the lowest tag is next.
func (s *Scheduler) sortByShare(now clock.Time) {
	for _, w := range s.waiting {
		w.late = now.Add(s.estimate.longService()) > w.Target
		class, promoted := s.classOf(now, w)
		w.flow = flow{level: level{class, w.WorkspacePriority}, workspace: w.Workspace, promoted: promoted}
	}
	// Within a flow, requests that can still meet their target are served in the
	// order of arrival. Of the others, the newest is the least late.
	slices.SortFunc(s.waiting, func(a, b *waiting) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), compareBools(a.late, b.late), compareLevels(a.flow.level, b.flow.level),
			compareBools(a.flow.promoted, b.flow.promoted), compareInFlow(a, b))
	})
	s.advanceUse()
	s.setTags()
	slices.SortFunc(s.waiting, func(a, b *waiting) int {
		return cmp.Or(compareBools(a.late, b.late), compareBools(a.ahead, b.ahead), compareLevels(a.flow.level, b.flow.level),
			cmp.Compare(a.tag, b.tag), compareBools(a.flow.promoted, b.flow.promoted), cmp.Compare(a.id, b.id))
	})
}

// setTags sets the tags of the waiting requests, which are in the order of their
// workspaces and, within these, in that of service.
func (s *Scheduler) setTags() {
	tags := make(map[flow]float64, len(s.waiting))
	var before *waiting
	use := 0.0
	for _, w := range s.waiting {
		if before == nil || before.Workspace != w.Workspace {
			use = s.useOf(w.Workspace)
		}
		w.ahead = use-s.leastUse > maxAhead*w.cost()
		use += w.cost()
		tag, ok := tags[w.flow]
		if !ok {
			tag = max(s.virtual[w.flow.level], s.finish[w.flow])
		}
		w.tag = tag
		tags[w.flow] = tag + w.flowCost()
		before = w
	}
}

// useOf returns how much a workspace has got. One that did not wait has no claim on
// what others have got meanwhile.
func (s *Scheduler) useOf(workspace string) float64 { return max(s.use[workspace], s.leastUse) }

// advanceUse raises leastUse to the least use of a workspace that waits.
func (s *Scheduler) advanceUse() {
	if len(s.waiting) == 0 {
		return
	}
	least := s.useOf(s.waiting[0].Workspace)
	for _, w := range s.waiting {
		least = min(least, s.useOf(w.Workspace))
	}
	s.leastUse = least
}

// learnClass adds a class to those that requests can move up to.
func (s *Scheduler) learnClass(class int) {
	if i, found := slices.BinarySearch(s.classes, class); !found && len(s.classes) < maxClasses {
		s.classes = slices.Insert(s.classes, i, class)
	}
}

// classOf returns the class in which a request is served now, and whether it has
// moved up to it from the next less urgent one.
func (s *Scheduler) classOf(now clock.Time, w *waiting) (int, bool) {
	if float64(now.Sub(w.Arrived)) < promotionShare*float64(w.Target.Sub(w.Arrived)) {
		return w.Class, false
	}
	if i, _ := slices.BinarySearch(s.classes, w.Class); i > 0 {
		return s.classes[i-1], true
	}
	return w.Class, false
}

// charge adds a request that gets a slot to what its workspace and its flow have
// got.
func (s *Scheduler) charge(w *waiting) {
	if s.finish == nil {
		s.virtual, s.finish, s.use = make(map[level]float64), make(map[flow]float64), make(map[string]float64)
	}
	s.use[w.Workspace] = s.useOf(w.Workspace) + w.cost()
	s.virtual[w.flow.level] = max(s.virtual[w.flow.level], w.tag)
	s.finish[w.flow] = w.tag + w.flowCost()
	if len(s.finish) > maxIdleFlows {
		maps.DeleteFunc(s.finish, func(f flow, tag float64) bool { return tag <= s.virtual[f.level] })
		maps.DeleteFunc(s.use, func(_ string, use float64) bool { return use <= s.leastUse })
	}
}

func compareLevels(a, b level) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority))
}

func compareInFlow(a, b *waiting) int {
	if a.late {
		return cmp.Compare(b.id, a.id)
	}
	return cmp.Compare(a.id, b.id)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
