package front

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// methodGrant is the peer method that asks an accountant for tokens.
const methodGrant = "grant"

const (
	// maxAsks is the maximum number of asks that one message is answered for.
	maxAsks = 4096
	// unknownRetry is stated for a workspace that this proxy does not know.
	unknownRetry = 100 * clock.Millisecond
	// unlimitedTime is how long an operation without a limit may take to be sent.
	unlimitedTime = clock.Hour
	// maxAccountantAddresses bounds the addresses of earlier accountants that are kept.
	maxAccountantAddresses = 64
)

// grantParams asks an accountant for tokens of several workspaces. Without asks, it asks
// for a sign of life.
type grantParams struct {
	Asks []workspace.Ask `json:"asks"`
	// Granted names workspaces for which the sending proxy has granted tokens, as deputy
	// of the one that it sends to.
	Granted []string `json:"granted,omitempty"`
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
	call func(name string, limit clock.Duration, p grantParams) (grantResult, error)
	// preview is set in a copy that decides on one operation and sends nothing.
	preview bool

	mu          sync.Mutex
	allowance   *workspace.Allowance
	accountant  *workspace.Accountant
	reach       *workspace.Reach
	accountants []string
	// addresses has the addresses of the accountants, and of the last ones before them.
	addresses map[string]string
	// arrived is closed, and replaced, when an answer has been taken in.
	arrived chan struct{}
}

func newAllowances(self string, q workspace.Quota, v *routes.Current, c timers, log *zap.Logger) *allowances {
	if q.Window <= 0 {
		q = workspace.DefaultQuota()
	}
	reach := workspace.NewReach()
	return &allowances{
		self: self, clock: c, log: log, versions: v, confirmed: func() bool { return true },
		allowance: workspace.NewAllowance(self, q), accountant: workspace.NewAccountant(self, q, reach, c.Now()), reach: reach,
		arrived: make(chan struct{}),
	}
}

// setMembers chooses the accountants among the live proxies. started tells that no other
// proxy can have accounted for the workspaces that this one takes over.
func (a *allowances) setMembers(members []proxy.Peer, started bool) {
	names := workspace.ChooseAccountants(members)
	is := slices.Contains(names, a.self)
	a.mu.Lock()
	defer a.mu.Unlock()
	if is {
		a.reach.SetMembers(a.self, namesOf(members, a.self))
	}
	if slices.Equal(names, a.accountants) {
		return
	}
	was := slices.Contains(a.accountants, a.self)
	if len(a.addresses) > maxAccountantAddresses || a.addresses == nil {
		a.addresses = make(map[string]string)
	}
	for _, p := range members {
		if slices.Contains(names, p.Name) {
			a.addresses[p.Name] = p.Address
		}
	}
	a.accountants = names
	a.allowance.SetAccountants(names)
	a.accountant.Assign(a.clock.Now(), names, started)
	if was != is {
		a.log.Info("accountant role changed", zap.Bool("accountant", is), zap.Bool("held", !started))
	}
}

// isAccountant reports whether this proxy is an accountant.
func (a *allowances) isAccountant() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Contains(a.accountants, a.self)
}

// setProof records until when this proxy's configuration is proved to be the newest.
func (a *allowances) setProof(at clock.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accountant.SetProof(a.clock.Now(), at)
}

// accountantOf returns the accountant of a workspace, empty if there is none yet.
func (a *allowances) accountantOf(name string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ranked := workspace.RankAccountants(name, a.accountants); len(ranked) > 0 {
		return ranked[0]
	}
	return ""
}

// addressOf returns the address of an accountant that may have left the members, or "" if
// it is not known.
func (a *allowances) addressOf(name string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addresses[name]
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
func (a *allowances) Take(name string, priority int, hosted bool) (workspace.Granted, error) {
	l, limited := a.limit(name)
	if !limited {
		return workspace.Granted{Until: a.clock.Now().Add(unlimitedTime)}, nil
	}
	o := workspace.Operation{Workspace: name, Limit: l, Priority: priority, Hosted: hosted, Since: a.clock.Now()}
	a.mu.Lock()
	decision := a.requestLocked(o)
	for {
		if _, wait := decision.(workspace.Wait); !wait {
			break
		}
		arrived := a.arrived
		a.mu.Unlock()
		left := workspace.AnswerTimeout - a.clock.Now().Sub(o.Since)
		a.clock.WaitOrTimeout(arrived, min(left, workspace.DeputyTimeout))
		a.mu.Lock()
		decision = a.askLocked(o, a.allowance.Retry(a.clock.Now(), o))
	}
	defer a.mu.Unlock()
	switch d := decision.(type) {
	case workspace.Granted:
		return d, nil
	case workspace.Refused:
		return workspace.Granted{}, &session.LimitError{Workspace: name, Rate: l.Rate, Refused: d}
	default:
		panic("unknown decision")
	}
}

// requestLocked decides on an operation that needs a token.
func (a *allowances) requestLocked(o workspace.Operation) workspace.Decision {
	return a.askLocked(o, a.allowance.Request(o.Since, o))
}

// askLocked sends the messages that are due because of an operation, and decides again on
// one that waits: an answer of this proxy itself has been taken in then.
func (a *allowances) askLocked(o workspace.Operation, d workspace.Decision) workspace.Decision {
	a.sendDueLocked(o.Workspace)
	if _, wait := d.(workspace.Wait); wait {
		return a.allowance.Retry(a.clock.Now(), o)
	}
	return d
}

// sendDueLocked sends the messages that are due because of a workspace. This proxy itself
// answers at once, without a message.
func (a *allowances) sendDueLocked(name string) {
	now := a.clock.Now()
	for again := true; again; {
		again = false
		for _, m := range a.allowance.Next(now, name) {
			if m.Accountant != a.self {
				a.sendLocked(m)
				continue
			}
			grants := a.grantLocked(m.Asks).Grants
			a.allowance.Answered(now, now, m, grants)
			a.wakeLocked()
			// If this proxy holds back, another one is to be asked.
			again = slices.ContainsFunc(grants, func(g workspace.Grant) bool { return g.Workspace == name && g.Holding })
		}
	}
}

// sendLocked sends a message to another accountant in the background.
func (a *allowances) sendLocked(m workspace.Message) {
	if a.preview {
		return
	}
	sent := a.clock.Now()
	go contain.Run(a.log, "ask of accountant", func() {
		answer, err := a.call(m.Accountant, workspace.CallTimeout, grantParams{Asks: m.Asks})
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

// checkLocked sends what the accountant of this proxy has to find out from others.
func (a *allowances) checkLocked(now clock.Time) {
	for _, m := range a.accountant.Messages(now) {
		go contain.Run(a.log, "check of accountant", func() {
			answer, err := a.call(m.Accountant, workspace.CallTimeout, grantParams{Asks: m.Asks, Granted: m.Granted})
			a.mu.Lock()
			defer a.mu.Unlock()
			if err != nil {
				a.accountant.Unanswered(a.clock.Now(), m)
				return
			}
			a.accountant.Answered(a.clock.Now(), m, answer.Grants)
		})
	}
	round, names := a.reach.Begin(now, a.accountant.ReachNeeded())
	if len(names) == 0 {
		return
	}
	go contain.Run(a.log, "signs of life", func() {
		var wg sync.WaitGroup
		for _, name := range names {
			wg.Go(func() {
				_, err := a.call(name, workspace.RoundTimeout, grantParams{})
				var remote *jsonrpc2.Error
				// An earlier build does not know the method, but it answers.
				if err != nil && !errors.As(err, &remote) {
					return
				}
				a.mu.Lock()
				defer a.mu.Unlock()
				a.reach.Answered(round, name)
			})
		}
		wg.Wait()
		a.mu.Lock()
		defer a.mu.Unlock()
		a.reach.End(round)
	})
}

// wakeLocked lets the operations that wait for an answer look again.
func (a *allowances) wakeLocked() {
	close(a.arrived)
	a.arrived = make(chan struct{})
}

// handleGrant answers a message of another proxy.
func (a *allowances) handleGrant(params json.RawMessage) (any, error) {
	var p grantParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range p.Granted[:min(len(p.Granted), maxAsks)] {
		// Names that the configuration does not hold would be kept in vain.
		if l, known := a.declared(name); known && l.Rate > 0 {
			a.accountant.Drain(a.clock.Now(), name, l)
		}
	}
	return a.grantLocked(p.Asks[:min(len(p.Asks), maxAsks)]), nil
}

func (a *allowances) grantLocked(asks []workspace.Ask) grantResult {
	result := grantResult{Grants: make([]workspace.Grant, 0, len(asks))}
	now, confirmed := a.clock.Now(), a.confirmed()
	for _, ask := range asks {
		l, known := a.declared(ask.Workspace)
		if !known {
			// The asking proxy may have a newer configuration, in which it is new.
			result.Grants = append(result.Grants, workspace.Grant{Workspace: ask.Workspace, Holding: true, RetryMillis: unknownRetry})
			continue
		}
		result.Grants = append(result.Grants, a.accountant.Grant(now, ask, l, confirmed))
	}
	if len(asks) > 0 && !a.preview {
		a.checkLocked(now)
	}
	return result
}

// declared returns the limit of a workspace that the configuration in force declares.
func (a *allowances) declared(name string) (workspace.Limit, bool) {
	v := a.versions.Load()
	if v == nil {
		return workspace.Limit{}, false
	}
	w := v.Workspaces.Find(name)
	if w == nil {
		return workspace.Limit{}, false
	}
	return workspace.Limit{Rate: w.Rate, Burst: w.Burst}, true
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
