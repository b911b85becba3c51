package front

import (
	"cmp"
	"slices"
	"sync"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// shownWorkspaces is the number of workspaces that metrics and the status name. The
	// others are summed, so that the number of names does not grow with the number of
	// workspaces.
	shownWorkspaces = 20
	// maxCountedWorkspaces is the number of workspaces that are counted each by itself,
	// which takes about 2 MB. Beyond it, those that have been unused for longest are
	// counted among the others.
	maxCountedWorkspaces = 8192
	// foldedShare is the part of them that is summed up at a time, so that the search for
	// them is rare.
	foldedShare = 4
)

// workspaceCount counts the requests of one workspace at this process.
type workspaceCount struct {
	admitted uint64
	refused  [session.ReasonCount]uint64
	// waiting is the number of requests that wait for a slot.
	waiting int
	// second is the last second, of the boot clock, in which an operation was admitted,
	// current the number of operations of that second, and previous that of the one
	// before.
	second            int64
	current, previous uint32
}

// total returns the number of requests by which workspaces are ordered.
func (c *workspaceCount) total() uint64 {
	n := c.admitted
	for _, r := range c.refused {
		n += r
	}
	return n
}

// lastSecond returns the number of operations of the last whole second.
func (c *workspaceCount) lastSecond(now clock.Time) int {
	switch secondOf(now) - c.second {
	case 0:
		return int(c.previous)
	case 1:
		return int(c.current)
	default:
		return 0
	}
}

func (c *workspaceCount) add(other *workspaceCount) {
	c.admitted += other.admitted
	for i, n := range other.refused {
		c.refused[i] += n
	}
	c.waiting += other.waiting
}

func secondOf(now clock.Time) int64 { return int64(now) / int64(clock.Second) }

// workspaceCounts counts the requests of all workspaces. It takes one lock and one look-up
// for each operation, not for each statement of a transaction. It implements session.Usage.
type workspaceCounts struct {
	limit int

	mu     sync.Mutex
	byName map[string]*workspaceCount
	// folded has the sum of those that are not counted by themselves any more.
	folded workspaceCount
}

func newWorkspaceCounts() *workspaceCounts {
	return &workspaceCounts{limit: maxCountedWorkspaces, byName: make(map[string]*workspaceCount)}
}

func (w *workspaceCounts) countLocked(name string) *workspaceCount {
	c, ok := w.byName[name]
	if !ok {
		if len(w.byName) >= w.limit {
			w.foldLocked()
		}
		c = &workspaceCount{}
		w.byName[name] = c
	}
	return c
}

// foldLocked sums up the workspaces that have been unused for longest.
func (w *workspaceCounts) foldLocked() {
	names := make([]string, 0, len(w.byName))
	for name, c := range w.byName {
		// A waiting request is subtracted from its own count later.
		if c.waiting == 0 && name != "" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(w.byName[a].second, w.byName[b].second) })
	for _, name := range names[:min(len(names), w.limit/foldedShare+1)] {
		w.folded.add(w.byName[name])
		delete(w.byName, name)
	}
}

// Admitted implements session.Usage.
func (w *workspaceCounts) Admitted(name string, now clock.Time) {
	second := secondOf(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countLocked(name)
	c.admitted++
	switch {
	case second == c.second+1:
		c.second, c.previous, c.current = second, c.current, 0
	case second > c.second:
		c.second, c.previous, c.current = second, 0, 0
	}
	c.current++
}

// Refused implements session.Usage.
func (w *workspaceCounts) Refused(name string, r session.Reason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.countLocked(name).refused[r]++
}

// Waiting implements session.Usage.
func (w *workspaceCounts) Waiting(name string, change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.countLocked(name).waiting += change
}

// namedCount is the count of a workspace.
type namedCount struct {
	name string
	workspaceCount
}

// usageSummary has the counts of the workspaces with the most use.
type usageSummary struct {
	shown []namedCount
	// others is the sum of the otherCount workspaces that are not shown, and of those that
	// are not counted by themselves any more. othersUsed is their use of the last second.
	others                 workspaceCount
	otherCount, othersUsed int
	// unknown counts the requests whose keys no known workspace holds.
	unknown workspaceCount
}

// before orders counts by falling use, then by name.
func (c *namedCount) before(other *namedCount) bool {
	if a, b := c.total(), other.total(); a != b {
		return a > b
	}
	return c.name < other.name
}

// summary returns the counts of the workspaces with the most use and of the one with the
// given name, if it is not empty. It sorts no more than is shown, since it runs at each
// scrape while statements wait for the lock.
func (w *workspaceCounts) summary(now clock.Time, name string) usageSummary {
	var s usageSummary
	top := make([]namedCount, 0, shownWorkspaces+1)
	w.mu.Lock()
	defer w.mu.Unlock()
	s.others = w.folded
	demote := func(c *workspaceCount) {
		s.others.add(c)
		s.othersUsed += c.lastSecond(now)
		s.otherCount++
	}
	for n, c := range w.byName {
		if n == "" {
			s.unknown = *c
			continue
		}
		entry := namedCount{n, *c}
		if n == name {
			s.shown = append(s.shown, entry)
			continue
		}
		if n == otherWorkspaces || n == unknownWorkspace {
			// Metrics have sums of these names.
			demote(c)
			continue
		}
		if len(top) == shownWorkspaces && top[shownWorkspaces-1].before(&entry) {
			demote(c)
			continue
		}
		at, _ := slices.BinarySearchFunc(top, entry, func(a, b namedCount) int {
			if a.before(&b) {
				return -1
			}
			return 1
		})
		top = slices.Insert(top, at, entry)
		if len(top) > shownWorkspaces {
			demote(&top[shownWorkspaces].workspaceCount)
			top = top[:shownWorkspaces]
		}
	}
	s.shown = append(s.shown, top...)
	return s
}
