package front

import (
	"bytes"
	"fmt"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/session"
)

const (
	// otherWorkspaces is the name under which metrics sum the workspaces that they do not
	// name, and unknownWorkspace that of requests whose keys no known workspace holds.
	otherWorkspaces  = "_others"
	unknownWorkspace = "_unknown"
)

// refusedStatus has the numbers of refused requests by reason.
type refusedStatus struct {
	Limit    uint64 `json:"limit"`
	Key      uint64 `json:"key"`
	Proof    uint64 `json:"proof"`
	Capacity uint64 `json:"capacity"`
}

func newRefusedStatus(c *workspaceCount) refusedStatus {
	return refusedStatus{
		Limit: c.refused[session.ReasonLimit], Key: c.refused[session.ReasonKey],
		Proof: c.refused[session.ReasonProof], Capacity: c.refused[session.ReasonCapacity],
	}
}

// workspaceStatus is what this process knows of one workspace, or of the sum of several.
type workspaceStatus struct {
	Name string `json:"name,omitempty"`
	// Workspaces is the number of workspaces of a sum.
	Workspaces int           `json:"workspaces,omitempty"`
	Admitted   uint64        `json:"admitted"`
	Refused    refusedStatus `json:"refused"`
	// Connections and Waiting are those of this moment.
	Connections int `json:"connections"`
	Waiting     int `json:"waiting"`
	// Rate and Burst are declared in the configuration in force. A rate of 0 is no limit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// UsedLastSecond is the number of operations that this process sent to databases in
	// the last whole second.
	UsedLastSecond int `json:"usedLastSecond"`
	// Accountant is the proxy that grants the tokens of the workspace. It is empty for a
	// workspace without a limit.
	Accountant string `json:"accountant,omitempty"`
	// Declared is set if the configuration in force declares the workspace.
	Declared bool `json:"declared,omitempty"`
}

// workspaceStatuses are the workspaces with the most use, the sum of the others, and the
// requests whose workspace is not known.
type workspaceStatuses struct {
	Shown   []workspaceStatus `json:"shown"`
	Others  workspaceStatus   `json:"others"`
	Unknown refusedStatus     `json:"unknown"`
}

// workspaceStatuses returns what this process knows of the workspaces, first of the one
// with the given name, if it is not empty.
func (f *Front) workspaceStatuses(name string) workspaceStatuses {
	now := f.clock.Now()
	usage := f.counts.summary(now, name)
	if name != "" && (len(usage.shown) == 0 || usage.shown[0].name != name) {
		usage.shown = append([]namedCount{{name: name}}, usage.shown...)
	}
	held := make(map[string]backend.WorkspaceStats)
	for _, g := range f.allGroups() {
		g.AddWorkspaceStats(held)
	}
	// Connections of no workspace are those of public routes and of the proxy itself.
	delete(held, "")
	result := workspaceStatuses{Shown: make([]workspaceStatus, 0, len(usage.shown)), Unknown: newRefusedStatus(&usage.unknown)}
	for i := range usage.shown {
		c := &usage.shown[i]
		s := workspaceStatus{
			Name: c.name, Admitted: c.admitted, Refused: newRefusedStatus(&c.workspaceCount), UsedLastSecond: c.lastSecond(now),
			Connections: held[c.name].Connections, Waiting: held[c.name].Waiting + c.waiting,
		}
		delete(held, c.name)
		if l, ok := f.allowances.declared(c.name); ok {
			s.Declared, s.Rate, s.Burst = true, l.Rate, l.Burst
			if l.Rate > 0 {
				s.Accountant = f.allowances.accountantOf(c.name)
			}
		}
		result.Shown = append(result.Shown, s)
	}
	o := workspaceStatus{
		Workspaces: usage.otherCount, Admitted: usage.others.admitted, Refused: newRefusedStatus(&usage.others),
		Waiting: usage.others.waiting, UsedLastSecond: usage.othersUsed,
	}
	for _, h := range held {
		o.Connections += h.Connections
		o.Waiting += h.Waiting
	}
	if v := f.versions.Load(); v != nil {
		for _, w := range v.Workspaces.All() {
			o.Rate += w.Rate
			o.Burst += w.Burst
		}
		for i := range result.Shown {
			o.Rate -= result.Shown[i].Rate
			o.Burst -= result.Shown[i].Burst
		}
		// Sums of fractions leave a rest.
		o.Rate, o.Burst = max(o.Rate, 0), max(o.Burst, 0)
	}
	result.Others = o
	return result
}

// empty reports whether no request of a workspace was counted.
func (s *workspaceStatuses) empty() bool {
	return len(s.Shown) == 0 && s.Unknown == refusedStatus{} && s.Others.Admitted == 0 && s.Others.Refused == refusedStatus{}
}

// render writes the figures in the exposition format, nothing if there are none. They are
// not kept as series like other metrics, since the workspaces with the most use change.
func (s *workspaceStatuses) render() []byte {
	if s.empty() {
		return nil
	}
	var b bytes.Buffer
	list := append(s.Shown[:len(s.Shown):len(s.Shown)], s.Others)
	list[len(list)-1].Name = otherWorkspaces
	write := func(metric, workspace string, value float64, extra ...string) {
		fmt.Fprintf(&b, "%s %g\n", seriesName("oleanderflow_"+metric, nil, append(extra, "workspace", workspace)...), value)
	}
	for _, figure := range []struct {
		metric string
		of     func(w *workspaceStatus) float64
	}{
		{"workspace_admitted", func(w *workspaceStatus) float64 { return float64(w.Admitted) }},
		{"workspace_connections", func(w *workspaceStatus) float64 { return float64(w.Connections) }},
		{"workspace_waiting", func(w *workspaceStatus) float64 { return float64(w.Waiting) }},
		{"workspace_rate", func(w *workspaceStatus) float64 { return w.Rate }},
		{"workspace_burst", func(w *workspaceStatus) float64 { return w.Burst }},
		{"workspace_used_last_second", func(w *workspaceStatus) float64 { return float64(w.UsedLastSecond) }},
	} {
		for i := range list {
			write(figure.metric, list[i].Name, figure.of(&list[i]))
		}
	}
	for _, w := range append(list, workspaceStatus{Name: unknownWorkspace, Refused: s.Unknown}) {
		write("workspace_refused", w.Name, float64(w.Refused.Limit), "reason", session.ReasonLimit.String())
		write("workspace_refused", w.Name, float64(w.Refused.Key), "reason", session.ReasonKey.String())
		write("workspace_refused", w.Name, float64(w.Refused.Proof), "reason", session.ReasonProof.String())
		write("workspace_refused", w.Name, float64(w.Refused.Capacity), "reason", session.ReasonCapacity.String())
	}
	return b.Bytes()
}
