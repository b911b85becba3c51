package workspace

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// world runs the decisions of many proxies in virtual time, with a network between them.
type world struct {
	rand   *rand.Rand
	quota  Quota
	now    clock.Time
	events events
	nodes  []*node
	byName map[string]*node
	limits map[string]Limit
	loss   float64
	late   float64
	order  int
	// chosen has the accountants among the members that were last given.
	chosen      []string
	chosenFrom  *proxy.Peer
	chosenCount int
	// asks and probes count the messages of both kinds, with their answers.
	asks, probes int
	// class chooses the priority of an operation's class. It is 0 for all if class is nil.
	class func() int
	// spaces has what was seen of each workspace.
	spaces map[string]*seen
}

// seen is what was seen of one workspace.
type seen struct {
	arrivals []clock.Time
	offered  int
	// owed counts refusals that a bucket with the declared rate and burst would not
	// have made.
	owed, refused int
	refusedAt     []clock.Time
	// offeredBy and refusedBy count by the priority of the class.
	offeredBy, refusedBy [classCount]int
	owedAt               []clock.Time
	level                float64
	at                   clock.Time
}

type node struct {
	world      *world
	name       string
	allowance  *Allowance
	accountant *Accountant
	reach      *Reach
	members    []proxy.Peer
	part       int
	frozen     clock.Time
	// unconfirmed is set while the proxy's configuration is not confirmed.
	unconfirmed bool
	// life is the number of the process. A dead process answers nothing.
	life int
	dead bool
	// pending has the operations that wait.
	pending []*pendingOperation
}

type pendingOperation struct {
	Operation
	done bool
}

type event struct {
	at    clock.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const worldStart = clock.Time(1_000_000)

// newWorld returns n proxies that have known each other for a minute.
func newWorld(seed uint64, n int, limits map[string]Limit) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), quota: DefaultQuota(), now: worldStart, byName: make(map[string]*node), limits: limits, spaces: make(map[string]*seen)}
	var members []proxy.Peer
	for i := range n {
		members = append(members, proxy.Peer{Name: fmt.Sprintf("p%d", i), Zone: string(rune('a' + i%3))})
	}
	for _, p := range members {
		nd := &node{world: w, name: p.Name}
		w.nodes = append(w.nodes, nd)
		w.byName[p.Name] = nd
		nd.start(members)
	}
	for name, l := range limits {
		w.spaces[name] = &seen{level: l.Burst, at: w.now}
	}
	return w
}

// kill ends the process of a proxy.
func (n *node) kill() {
	n.life++
	n.dead = true
}

// start starts the process of a proxy anew, which was an accountant before if the members
// make it one.
func (n *node) start(members []proxy.Peer) { n.startFrom(members, true) }

// startFrom starts the process of a proxy anew. alone is set if no other proxy can have
// accounted for the workspaces that it accounts for.
func (n *node) startFrom(members []proxy.Peer, alone bool) {
	n.life++
	n.dead = false
	n.allowance = NewAllowance(n.name, n.world.quota)
	n.reach = NewReach()
	n.accountant = NewAccountant(n.name, n.world.quota, n.reach, n.world.now)
	n.pending = nil
	n.assign(members, alone)
}

func (n *node) setMembers(members []proxy.Peer) { n.assign(members, false) }

func (n *node) assign(members []proxy.Peer, alone bool) {
	n.members = members
	names := n.world.chooseAccountants(members)
	if slices.Contains(names, n.name) {
		var all []string
		for _, p := range members {
			all = append(all, p.Name)
		}
		n.reach.SetMembers(n.name, all)
	}
	n.allowance.SetAccountants(names)
	n.accountant.Assign(n.world.now, names, alone)
}

// chooseAccountants chooses once for all proxies that are told the same members.
func (w *world) chooseAccountants(members []proxy.Peer) []string {
	if w.chosen == nil || w.chosenFrom != &members[0] || w.chosenCount != len(members) {
		w.chosen, w.chosenFrom, w.chosenCount = ChooseAccountants(members), &members[0], len(members)
	}
	return w.chosen
}

func (w *world) after(d clock.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(d), order: w.order, run: run})
}

// run lets d pass.
func (w *world) run(d clock.Duration) {
	until := w.now.Add(d)
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// awake runs a function of a proxy, once it is not frozen any more, in the same process.
func (n *node) awake(run func()) {
	life := n.life
	if n.frozen > n.world.now {
		n.world.after(n.frozen.Sub(n.world.now), func() { n.awake(run) })
		return
	}
	if life == n.life {
		run()
	}
}

// send sends a message if the network lets it pass, and reports whether.
func (w *world) send(from, to *node, run func()) {
	if from.part != to.part || to.dead || w.rand.Float64() < w.loss {
		return
	}
	d := clock.Duration(1 + w.rand.IntN(3))
	if w.rand.Float64() < w.late {
		d += clock.Duration(w.rand.IntN(400))
	}
	life := to.life
	w.after(d, func() {
		if life == to.life {
			to.awake(run)
		}
	})
}

// answer answers a message of another proxy, or of this one.
func (n *node) answer(m Message) []Grant {
	w := n.world
	for _, name := range m.Granted {
		n.accountant.Drain(w.now, name, w.limits[name])
	}
	var grants []Grant
	for _, ask := range m.Asks {
		grants = append(grants, n.accountant.Grant(w.now, ask, w.limits[ask.Workspace], !n.unconfirmed))
	}
	if len(m.Asks) > 0 {
		n.probe(n.accountant.ReachNeeded())
		for _, check := range n.accountant.Messages(w.now) {
			n.call(check, func(_ clock.Time, grants []Grant) { n.accountant.Answered(w.now, check, grants) }, func() { n.accountant.Unanswered(w.now, check) })
		}
	}
	return grants
}

// call sends a message to another proxy and takes in its answer, or that there is none.
func (n *node) call(m Message, answered func(sentAt clock.Time, grants []Grant), unanswered func()) {
	w := n.world
	sentAt, ended, life := w.now, false, n.life
	to := w.byName[m.Accountant]
	w.asks++
	w.send(n, to, func() {
		grants := to.answer(m)
		w.asks++
		w.send(to, n, func() {
			if !ended {
				ended = true
				answered(sentAt, grants)
			}
		})
	})
	w.after(CallTimeout, func() {
		if life == n.life && !ended {
			n.awake(func() {
				if !ended {
					ended = true
					unanswered()
				}
			})
		}
	})
}

func (n *node) ask(m Message) {
	w := n.world
	if m.Accountant == n.name {
		n.allowance.Answered(w.now, w.now, m, n.answer(m))
		n.retryAll()
		return
	}
	n.call(m, func(sentAt clock.Time, grants []Grant) {
		n.allowance.Answered(w.now, sentAt, m, grants)
		n.retryAll()
		if next, ok := n.allowance.More(w.now, m.Accountant); ok {
			n.ask(next)
		}
	}, func() {
		n.allowance.Unanswered(w.now, m)
		n.retryAll()
	})
}

// probe asks a sample of the proxies for a sign of life.
func (n *node) probe(needed bool) {
	w := n.world
	round, names := n.reach.Begin(w.now, needed)
	for _, name := range names {
		to := w.byName[name]
		w.probes++
		w.send(n, to, func() {
			w.probes++
			w.send(to, n, func() { n.reach.Answered(round, name) })
		})
	}
	if len(names) > 0 {
		life := n.life
		w.after(RoundTimeout, func() {
			if life == n.life {
				n.awake(func() { n.reach.End(round) })
			}
		})
	}
}

// retryAll decides again on the operations that wait. It may be called again by the
// decisions.
func (n *node) retryAll() {
	list := n.pending
	n.pending = nil
	for _, o := range list {
		if !o.done {
			n.decide(o, n.allowance.Retry(n.world.now, o.Operation))
		}
		if !o.done {
			n.pending = append(n.pending, o)
		}
	}
}

// operate runs an operation of a caller of this proxy.
func (n *node) operate(workspace string) {
	w := n.world
	if n.dead {
		return
	}
	s := w.spaces[workspace]
	priority := 0
	if w.class != nil {
		priority = w.class()
	}
	s.offered++
	s.offeredBy[priority]++
	n.awake(func() {
		o := &pendingOperation{Operation: Operation{Workspace: workspace, Limit: w.limits[workspace], Priority: priority, Since: w.now}}
		d := n.allowance.Request(w.now, o.Operation)
		if _, wait := d.(Wait); wait {
			n.pending = append(n.pending, o)
			life := n.life
			for _, d := range []clock.Duration{DeputyTimeout, AnswerTimeout} {
				w.after(d, func() {
					n.awake(func() {
						if life == n.life && !o.done {
							n.decide(o, n.allowance.Retry(w.now, o.Operation))
						}
					})
				})
			}
		}
		n.decide(o, d)
	})
}

func (n *node) decide(o *pendingOperation, d Decision) {
	w := n.world
	s := w.spaces[o.Workspace]
	l := w.limits[o.Workspace]
	switch d := d.(type) {
	case Granted:
		o.done = true
		n.allowance.Entered(w.now, o.Workspace, l)
		// Waiting for a connection takes a part of the time that is allowed.
		delay := clock.Duration(w.rand.IntN(int(d.Until.Sub(w.now)) + 1))
		s.arrivals = append(s.arrivals, w.now.Add(delay))
		s.ideal(w.now, l)
		s.level--
	case Refused:
		o.done = true
		s.refused++
		s.refusedBy[o.Priority]++
		s.refusedAt = append(s.refusedAt, w.now)
		if s.ideal(w.now, l) {
			s.level--
			s.owed++
			s.owedAt = append(s.owedAt, w.now)
		}
	}
	for _, m := range n.allowance.Next(w.now, o.Workspace) {
		n.ask(m)
	}
}

// ideal reports whether a single bucket with the declared rate and burst would admit an
// operation now.
func (s *seen) ideal(now clock.Time, l Limit) bool {
	s.level = min(s.level+seconds(now.Sub(s.at))*l.Rate, max(l.Burst, 1))
	s.at = now
	return s.level >= 1
}

// load lets callers of a workspace, spread over nodes, send operations at a rate with
// Poisson arrivals for d.
func (w *world) load(workspace string, nodes []*node, rate float64, d clock.Duration) {
	until := w.now.Add(d)
	at := float64(w.now)
	for {
		at += w.rand.ExpFloat64() / rate * 1000
		if clock.Time(at) >= until {
			return
		}
		n := nodes[w.rand.IntN(len(nodes))]
		w.after(clock.Time(at).Sub(w.now), func() { n.operate(workspace) })
	}
}

// worst returns the largest number of arrivals in any window.
func (s *seen) worst(window clock.Duration) int {
	slices.Sort(s.arrivals)
	most, from := 0, 0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[from]) >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// requireBound checks every window of every workspace against the stated bound.
func (w *world) requireBound(t *testing.T) {
	t.Helper()
	for name, s := range w.spaces {
		require.LessOrEqual(t, float64(s.worst(w.quota.Window)), math.Floor(w.quota.Allowed(w.limits[name])), "%s, limit %v", name, w.limits[name])
	}
}
