package session

import (
	"fmt"
	"slices"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

var (
	codeBusy         = statement.CodeBusy.String()
	codeUnauthorized = statement.CodeUnauthorized.String()
)

// decide makes the decisions of run and of what it calls, in their order.
func (e *explainer) decide(refusal *Decision) Decision {
	if refusal != nil {
		return *refusal
	}
	if !e.view.Local && e.view.Chosen != "" {
		return e.forward()
	}
	if e.group == nil {
		return e.wait(e.session.groupWait(), "no database of the group is known")
	}
	var conditions []string
	if e.floorNeeded && !e.floorKnown {
		limit := e.session.leadershipWait(e.group)
		if limit < leadershipTimeout {
			return e.wait(limit, "no recent position of the group is known, and the databases have not told any for a while")
		}
		conditions = append(conditions, fmt.Sprintf("the databases tell a recent position within %d ms: the floor is not known yet", limit/clock.Millisecond))
	}
	if e.primaryOnly() {
		return e.decidePrimary(conditions)
	}
	return e.decideRead(conditions)
}

func (e *explainer) primaryOnly() bool { return needsPrimary(e.session.route, e.kind != KindRead) }

// wait returns the decision on a request that waits for something to become known.
func (e *explainer) wait(limit clock.Duration, why string) Decision {
	return Decision{Outcome: Waiting, Code: codeBusy, Reason: ReasonCapacity.String(), WaitMillis: limit, Why: why}
}

// refuse returns the decision on a request that no database can serve.
func (e *explainer) refuse(why string) Decision {
	return Decision{Outcome: Refused, Code: codeBusy, Reason: ReasonCapacity.String(), Why: why}
}

func (e *explainer) forward() Decision {
	d := Decision{Outcome: Forwarded, Home: e.view.Chosen, Why: "this proxy is no home of the group, and the home has the lowest cost of those that are reached"}
	if e.view.IsHome(e.session.Self) {
		d.Why = "this proxy is no preferred home of the workspace, and the home has the lowest cost of those that are reached"
	}
	d.Conditions = []string{"the home decides about the database and the workspace's limit: ask it as well"}
	return d
}

// limit returns the refusal of an operation that is beyond the limit of its workspace, or
// nil. It adds what is not known yet to the conditions.
func (e *explainer) limit(conditions *[]string) *Decision {
	name := e.session.workspace
	if name == "" || e.limits == nil {
		return nil
	}
	p, w := e.limits.PreviewLimit(name, e.session.route.Priority), e.result.Workspace
	w.Accountant, w.Tokens, w.UsedLastSecond = p.Accountant, p.Tokens, p.Used
	switch d := p.Decision.(type) {
	case workspace.Granted:
		w.Token = "granted"
	case workspace.Wait:
		w.Token = "awaited"
		*conditions = append(*conditions, fmt.Sprintf("accountant %s grants a token within %d ms, or the reserve of this proxy has one", p.Accountant, workspace.AnswerTimeout/clock.Millisecond))
	case workspace.Refused:
		w.Token = "refused"
		err := &LimitError{Workspace: name, Rate: p.Rate, Refused: d}
		return &Decision{Outcome: Refused, Code: codeBusy, Reason: ReasonLimit.String(), RetryMillis: d.Retry, Why: err.Error()}
	}
	return nil
}

// slot returns the refusal of a request that would get no slot at a database, or nil. It
// adds a wait for one to the conditions.
func (e *explainer) slot(p *backend.Pool, policy backend.Policy, until clock.Time, conditions *[]string) *Decision {
	v := p.Limiter.Preview(e.session.arrived, policy, e.session.slotRequest(until))
	switch {
	case v.Free:
		return nil
	case v.Refused != nil:
		return &Decision{Outcome: Refused, Code: codeBusy, Reason: ReasonCapacity.String(), RetryMillis: v.Refused.Retry, Why: p.ID + ": " + v.Refused.Error()}
	case v.Paused:
		*conditions = append(*conditions, "the pause after the return of database "+p.ID+" ends")
	default:
		*conditions = append(*conditions, fmt.Sprintf("a slot at database %s becomes free: %d requests wait, about %d ms until all have one", p.ID, v.Waiting, v.Wait/clock.Millisecond))
	}
	return nil
}

// decidePrimary makes the decisions of acquirePrimary.
func (e *explainer) decidePrimary(conditions []string) Decision {
	s := e.session
	until, policy, slotUntil := s.primarySlot()
	m := &e.primary
	if !e.leads {
		return e.wait(until.Sub(s.arrived), "no primary is known")
	}
	p := e.group.Pool(m.ID)
	if p == nil {
		return e.refuse("the primary has just joined or left the group")
	}
	if refusal := e.limit(&conditions); refusal != nil {
		return *refusal
	}
	if refusal := e.slot(p, policy, slotUntil, &conditions); refusal != nil {
		return *refusal
	}
	if e.kind == KindWrite && e.group.PrimaryInDoubt(s.arrived) || e.kind != KindWrite && s.route.Consistency == routes.Primary {
		conditions = append(conditions, "another database confirms that "+m.ID+" still leads")
	}
	return Decision{Outcome: Sent, Database: m.ID, Role: database.RolePrimary.String(), Why: e.whyPrimary(), Conditions: conditions}
}

func (e *explainer) whyPrimary() string {
	if e.kind == KindRead {
		return "reads on a route of kind primary go to the primary"
	}
	return "only the primary accepts writes"
}

// decideRead makes the decisions of readAnywhere up to the first database that the read is
// sent to.
func (e *explainer) decideRead(common []string) Decision {
	s := e.session
	policy, slotUntil := s.readSlot(s.arrived.Add(s.route.Timeout))
	var exclude []string
	var noSlot *Decision
	for {
		c, ok := backend.SelectFrom(e.candidates, exclude)
		if !ok && noSlot != nil {
			return *noSlot
		}
		if !ok {
			return e.refuse("no database of the group may get reads")
		}
		if len(exclude) == 0 {
			if refusal := e.limit(&common); refusal != nil {
				return *refusal
			}
		}
		conditions := slices.Clone(common)
		if refusal := e.slot(c.Pool, policy, slotUntil, &conditions); refusal != nil {
			noSlot = refusal
			exclude = append(exclude, c.Member.ID)
			continue
		}
		return Decision{
			Outcome: Sent, Database: c.Member.ID, Role: c.Member.Role.String(), Conditions: conditions,
			Why: fmt.Sprintf("it has the lowest cost (%.1f ms) of the databases that may serve the read", c.Cost.Total),
		}
	}
}
