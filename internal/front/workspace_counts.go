package front

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// shownWorkspaces is the number of workspaces that metrics name. The others are
	// summed, so that the number of names does not grow with the number of workspaces.
	shownWorkspaces = 20
	// otherWorkspaces is the name under which they are summed.
	otherWorkspaces = "_others"
	// unlimitedTime is how long an operation without a limit may take to be sent.
	unlimitedTime = clock.Hour
)

// workspaceCount counts the operations of one workspace at this proxy.
type workspaceCount struct {
	admitted, refused uint64
}

func (a *allowances) countLocked(name string) *workspaceCount {
	c, ok := a.counts[name]
	if !ok {
		c = &workspaceCount{}
		a.counts[name] = c
	}
	return c
}

// namedCount is the count of a workspace, or of all those that are not shown.
type namedCount struct {
	name string
	workspaceCount
}

// mostUsed returns the counts of the workspaces with the most use, and the sum of the
// others.
func (a *allowances) mostUsed() []namedCount {
	a.mu.Lock()
	list := make([]namedCount, 0, len(a.counts))
	for name, c := range a.counts {
		list = append(list, namedCount{name, *c})
	}
	a.mu.Unlock()
	slices.SortFunc(list, func(x, y namedCount) int {
		return cmp.Or(cmp.Compare(y.admitted+y.refused, x.admitted+x.refused), cmp.Compare(x.name, y.name))
	})
	if len(list) <= shownWorkspaces {
		return list
	}
	others := namedCount{name: otherWorkspaces}
	for _, c := range list[shownWorkspaces:] {
		others.admitted += c.admitted
		others.refused += c.refused
	}
	return append(list[:shownWorkspaces], others)
}

// renderWorkspaces writes the counts in the exposition format. They are not kept as series
// like other metrics, since the workspaces with the most use change.
func renderWorkspaces(list []namedCount) []byte {
	var b bytes.Buffer
	for _, metric := range []string{"workspace_admitted", "workspace_refused"} {
		for _, c := range list {
			n := c.admitted
			if metric == "workspace_refused" {
				n = c.refused
			}
			fmt.Fprintf(&b, "%s %d\n", seriesName("oleanderflow_"+metric, map[string]string{"workspace": c.name}), n)
		}
	}
	return b.Bytes()
}
