package front

import (
	"encoding/json"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
)

// methodGrant is the peer method that asks an accountant for tokens.
const methodGrant = "grant"

// maxAsks is the maximum number of asks that one message is answered for.
const maxAsks = 4096

// grantParams asks an accountant for tokens of several workspaces.
type grantParams struct {
	Asks []workspace.Ask `json:"asks"`
}

// grantResult is the answer of an accountant.
type grantResult struct {
	Grants []workspace.Grant `json:"grants"`
}

// allowances limits the operations of workspaces over all proxies: it passes asks and
// grants between the Allowance of this proxy and the Accountants of all. No other lock is
// taken while its lock is held.
type allowances struct {
	self     string
	clock    timers
	log      *zap.Logger
	versions *routes.Current
	// confirmed reports whether this proxy's configuration is proved to be recent enough
	// to grant by it.
	confirmed func() bool
	// call sends a message to another proxy. It is set before the first operation.
	call func(accountant string, p grantParams) (grantResult, error)

	mu          sync.Mutex
	allowance   *workspace.Allowance
	accountant  *workspace.Accountant
	accountants []string
	// arrived is closed, and replaced, when an answer has been taken in.
	arrived chan struct{}
	counts  map[string]*workspaceCount
}

func newAllowances(self string, q workspace.Quota, v *routes.Current, c timers, log *zap.Logger) *allowances {
	if q.Window <= 0 {
		q = workspace.DefaultQuota()
	}
	return &allowances{
		self: self, clock: c, log: log, versions: v, confirmed: func() bool { return true },
		allowance: workspace.NewAllowance(self, q), accountant: workspace.NewAccountant(q, c.Now()),
		arrived: make(chan struct{}), counts: make(map[string]*workspaceCount),
	}
}

// setMembers chooses the accountants among the live proxies. started tells that no other
// proxy can have accounted for the workspaces that this one takes over.
func (a *allowances) setMembers(members []proxy.Peer, started bool) {
	names := workspace.ChooseAccountants(members)
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.Equal(names, a.accountants) {
		return
	}
	before, is := slices.Contains(a.accountants, a.self), slices.Contains(names, a.self)
	a.accountants = names
	a.allowance.SetAccountants(names)
	if before || is {
		a.accountant.Assign(a.clock.Now(), func(w string) bool { return workspace.AccountantOf(w, names) == a.self }, started)
	}
	if before != is {
		a.log.Info("accountant role changed", zap.Bool("accountant", is), zap.Bool("held", !started))
	}
}

// limit returns the limit of a workspace in the configuration in force. It returns false
// if the workspace has none. A workspace that this proxy does not know yet has a limit
// that only its accountant knows.
func (a *allowances) limit(name string) (workspace.Limit, bool) {
	v := a.versions.Load()
	if v == nil || v.Workspaces == nil {
		return workspace.Limit{}, false
	}
	w := v.Workspaces.Find(name)
	if w == nil {
		return workspace.Limit{}, true
	}
	return workspace.Limit{Rate: w.Rate, Burst: w.Burst}, w.Rate > 0
}

// Take implements session.Limits.
func (a *allowances) Take(name string, hosted bool) (workspace.Granted, error) {
	l, limited := a.limit(name)
	if !limited {
		return workspace.Granted{Until: a.clock.Now().Add(unlimitedTime)}, nil
	}
	o := workspace.Operation{Workspace: name, Limit: l, Hosted: hosted, Since: a.clock.Now()}
	a.mu.Lock()
	decision := a.allowance.Request(o.Since, o)
	for {
		a.askLocked(name)
		// An answer of this proxy itself has been taken in already.
		if _, wait := decision.(workspace.Wait); wait {
			decision = a.allowance.Retry(a.clock.Now(), o)
		}
		if _, wait := decision.(workspace.Wait); !wait {
			break
		}
		arrived := a.arrived
		a.mu.Unlock()
		a.clock.WaitOrTimeout(arrived, workspace.AnswerTimeout-a.clock.Now().Sub(o.Since))
		a.mu.Lock()
		decision = a.allowance.Retry(a.clock.Now(), o)
	}
	defer a.mu.Unlock()
	switch d := decision.(type) {
	case workspace.Granted:
		a.countLocked(name).admitted++
		return d, nil
	case workspace.Refused:
		a.countLocked(name).refused++
		return workspace.Granted{}, &session.LimitError{Workspace: name, Rate: l.Rate, Refused: d}
	default:
		panic("unknown decision")
	}
}

// askLocked asks the accountant of a workspace if that is due. This proxy itself answers
// at once, without a message.
func (a *allowances) askLocked(name string) {
	now := a.clock.Now()
	for range 2 {
		m, ok := a.allowance.Next(now, name)
		if !ok {
			return
		}
		if m.Accountant != a.self {
			a.sendLocked(m)
			return
		}
		a.allowance.Answered(now, now, m, a.grantLocked(m.Asks).Grants)
		a.wakeLocked()
	}
}

// sendLocked sends a message to another accountant in the background.
func (a *allowances) sendLocked(m workspace.Message) {
	sent := a.clock.Now()
	go contain.Run(a.log, "ask of accountant", func() {
		answer, err := a.call(m.Accountant, grantParams{Asks: m.Asks})
		a.mu.Lock()
		defer a.mu.Unlock()
		now := a.clock.Now()
		if err != nil {
			a.log.Debug("accountant not responding", zap.String("accountant", m.Accountant), zap.Int("workspaces", len(m.Asks)), logs.Error(err))
			a.allowance.Unanswered(now, m)
		} else {
			a.allowance.Answered(now, sent, m, answer.Grants)
			if next, ok := a.allowance.More(now, m.Accountant); ok {
				a.sendLocked(next)
			}
		}
		a.wakeLocked()
	})
}

// wakeLocked lets the operations that wait for an answer look again.
func (a *allowances) wakeLocked() {
	close(a.arrived)
	a.arrived = make(chan struct{})
}

// handleGrant answers the asks of another proxy.
func (a *allowances) handleGrant(params json.RawMessage) (any, error) {
	var p grantParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grantLocked(p.Asks[:min(len(p.Asks), maxAsks)]), nil
}

func (a *allowances) grantLocked(asks []workspace.Ask) grantResult {
	result := grantResult{Grants: make([]workspace.Grant, 0, len(asks))}
	now, confirmed, v := a.clock.Now(), a.confirmed(), a.versions.Load()
	for _, ask := range asks {
		var l workspace.Limit
		known := false
		if v != nil {
			if w := v.Workspaces.Find(ask.Workspace); w != nil {
				l, known = workspace.Limit{Rate: w.Rate, Burst: w.Burst}, true
			}
		}
		// The asking proxy may have a newer configuration, in which the workspace is new.
		result.Grants = append(result.Grants, a.accountant.Grant(now, ask, l, confirmed && known))
	}
	return result
}

// PutBack implements session.Limits.
func (a *allowances) PutBack(name string, g workspace.Granted) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowance.PutBack(a.clock.Now(), name, g)
}

// Entered implements session.Limits.
func (a *allowances) Entered(name string) {
	l, limited := a.limit(name)
	if !limited {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowance.Entered(a.clock.Now(), name, l)
}

// Reserve implements session.Limits.
func (a *allowances) Reserve(name string) bool {
	l, limited := a.limit(name)
	if !limited {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allowance.Reserve(a.clock.Now(), name, l)
}

// ReportSilence implements session.Limits.
func (a *allowances) ReportSilence(name string) {
	l, limited := a.limit(name)
	if !limited {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowance.ReportSilence(a.clock.Now(), name, l)
}
