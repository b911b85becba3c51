package front

import (
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
)

// PreviewLimit implements session.LimitPreviewer. It decides like Take on copies of the
// state, which send nothing.
func (a *allowances) PreviewLimit(name string, priority int) session.LimitPreview {
	l, limited := a.limit(name)
	now := a.clock.Now()
	if !limited {
		return session.LimitPreview{Decision: workspace.Granted{Until: now.Add(unlimitedTime)}}
	}
	// The copies share Reach with the originals.
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.previewLocked(name)
	v := session.LimitPreview{Rate: l.Rate, Burst: l.Burst}
	v.Tokens, v.Used = p.allowance.Held(now, name)
	v.Decision = p.requestLocked(workspace.Operation{Workspace: name, Limit: l, Priority: priority, Since: now})
	v.Accountant = p.allowance.Target(now, name)
	return v
}

// previewLocked returns a copy with the state of one workspace, which decides like the
// original and sends nothing.
func (a *allowances) previewLocked(name string) *allowances {
	return &allowances{
		self: a.self, clock: a.clock, log: zap.NewNop(), versions: a.versions, confirmed: a.confirmed, preview: true,
		allowance: a.allowance.CloneFor(name), accountant: a.accountant.CloneFor(name), accountants: a.accountants,
		arrived: make(chan struct{}),
	}
}
