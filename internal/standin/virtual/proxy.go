package virtual

import (
	"math/rand/v2"
	"time"

	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	standin "github.com/oleanderflow/oleanderflow/internal/standin/database"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

const (
	tickInterval = 10 * time.Millisecond
	// resendDelay is the time after which a proxy that breaks RuleSendOnce
	// repeats a write.
	resendDelay = 50 * time.Millisecond
)

// Proxy is a simulated proxy of one group. It takes its decisions with the code
// of the real proxies.
type Proxy struct {
	Node     Node
	Group    *process.Group
	Failover *process.Failover
	// OnAnnounce is called after each promotion that this proxy carries out.
	// It may be nil.
	OnAnnounce func(a process.Announce)

	world    *World
	dbGroup  *Group
	peers    []*Proxy
	sequence uint64
	// inFlight marks the databases with a status query in flight, queryAgain
	// those to be queried again after it.
	inFlight      []bool
	queryAgain    []bool
	commitWaiters map[uint64]func(process.CommitOutcome)
	freshWaiters  []freshWaiter
	releases      []process.CommitRelease
	// SampleInterval is the time between samples, zero for none.
	SampleInterval time.Duration
	// FaultAt returns the fault to inject at each response to an operation.
	// Nil injects none.
	FaultAt func(Step) Fault
	steps   int
	// BrokenRule is the rule that the proxy breaks, to test that the checks
	// detect the violation.
	BrokenRule Rule
}

// Rule is a rule that a proxy can be made to break.
type Rule int

// The rules whose violation the checks must detect.
const (
	// RuleNone: no rule is broken.
	RuleNone Rule = iota
	// RuleConfirm: a commit is acknowledged only when confirmed.
	RuleConfirm
	// RuleFence: a database is promoted only after a majority of the databases
	// is fenced.
	RuleFence
	// RuleSendOnce: a write that was sent is not sent again.
	RuleSendOnce
	// RuleVerifyFloor: a read's floor, the minimum position that it must see,
	// is verified.
	RuleVerifyFloor
	// RuleVerifyAge: the age of a read's rows is verified.
	RuleVerifyAge
)

type freshWaiter struct {
	after uint64
	then  func(process.Sample)
}

// NewProxy returns a proxy in zone. It does nothing until Start.
func NewProxy(g *Group, name, zone string, d process.Durability) *Proxy {
	n := len(g.Databases)
	return &Proxy{
		Node: Node{Name: name, Zone: zone}, Group: process.NewGroup(n, d), world: g.World, dbGroup: g,
		inFlight: make([]bool, n), queryAgain: make([]bool, n), commitWaiters: make(map[uint64]func(process.CommitOutcome)),
	}
}

// Connect makes the proxies peers of each other and proxies[:watchers] the
// group's watchers.
func Connect(proxies []*Proxy, watchers int, s process.FailoverSettings) {
	for i := range proxies {
		Join(proxies, i, watchers, s)
	}
}

// Join makes proxies[i] a peer of the others, and a watcher if i < watchers.
func Join(proxies []*Proxy, i, watchers int, s process.FailoverSettings) {
	for _, p := range proxies {
		p.peers = proxies
	}
	if i >= watchers {
		return
	}
	list := make([]process.Watcher, watchers)
	for j, p := range proxies[:watchers] {
		list[j] = process.Watcher{Name: p.Node.Name, Zone: p.Node.Zone}
	}
	p := proxies[i]
	source := rand.New(rand.NewPCG(p.world.Rand.Uint64(), uint64(i)))
	p.Failover = process.NewFailover(len(p.inFlight), list[i], list, s, source)
}

// Start starts the proxy's periodic work.
func (p *Proxy) Start() {
	if p.Failover != nil {
		p.world.Every(&p.Node, tickInterval, func() {
			p.perform(p.Failover.Tick(p.world.Now(), nil))
		})
	}
	if p.SampleInterval > 0 {
		p.world.Every(&p.Node, p.SampleInterval, p.Refresh)
	}
	p.Refresh()
}

// NextSequence counts an event and returns its sequence number.
func (p *Proxy) NextSequence() uint64 {
	p.sequence++
	return p.sequence
}

// Refresh queries the status of all databases. Calls that come while a query is
// in flight share the next one.
func (p *Proxy) Refresh() {
	for i := range p.inFlight {
		p.queryStatus(i)
	}
}

func (p *Proxy) queryStatus(i int) {
	if p.inFlight[i] {
		p.queryAgain[i] = true
		return
	}
	p.inFlight[i] = true
	d := p.dbGroup.Databases[i]
	report := process.Report{Database: i, SentSeq: p.NextSequence(), SentAt: p.world.Now()}
	answered := false
	done := func() {
		if answered {
			return
		}
		answered = true
		p.inFlight[i] = false
		if p.queryAgain[i] {
			p.queryAgain[i] = false
			p.queryStatus(i)
		}
	}
	d.Call(&p.Node, func(s *standin.State) (standin.Status, error) { return s.Status(), nil }, func(r Response) {
		if r.ConnectionRefused {
			if p.Failover != nil {
				p.perform(p.Failover.HandleRefused(p.world.Now(), i, nil))
			}
			p.world.AfterOn(&p.Node, tickInterval, done)
			return
		}
		report.Status = r.Status
		p.Observe(report)
		done()
	})
	// A lost query or response must not block later queries.
	p.world.AfterOn(&p.Node, 700*time.Millisecond, done)
}

// Observe passes a report to Group and Failover, runs the waiters that it
// releases and performs the resulting actions.
func (p *Proxy) Observe(r process.Report) {
	p.releases = p.Group.Observe(r, p.releases[:0])
	for _, release := range append([]process.CommitRelease(nil), p.releases...) {
		if then, ok := p.commitWaiters[release.Waiter]; ok {
			delete(p.commitWaiters, release.Waiter)
			then(release.Outcome)
		}
	}
	if p.Failover != nil {
		p.perform(p.Failover.HandleReport(p.world.Now(), r, nil))
	}
	p.notifyFreshWaiters()
	if p.Group.WaitingCommits() > 0 || len(p.freshWaiters) > 0 {
		p.Refresh()
	}
}

func (p *Proxy) notifyFreshWaiters() {
	kept := p.freshWaiters[:0]
	var ready []func()
	for _, w := range p.freshWaiters {
		if sample, ok := p.Group.FreshSample(w.after); ok {
			ready = append(ready, func() { w.then(sample) })
			continue
		}
		kept = append(kept, w)
	}
	p.freshWaiters = kept
	for _, f := range ready {
		f()
	}
}

// AwaitFresh runs then with a sample whose queries were all sent after the
// event with sequence number after.
func (p *Proxy) AwaitFresh(after uint64, then func(process.Sample)) {
	if sample, ok := p.Group.FreshSample(after); ok {
		then(sample)
		return
	}
	p.freshWaiters = append(p.freshWaiters, freshWaiter{after: after, then: then})
	p.Refresh()
}

// AwaitCommit runs then once the outcome of the commit at a position is known.
func (p *Proxy) AwaitCommit(at position.Position, then func(process.CommitOutcome)) {
	id := p.NextSequence()
	if outcome := p.Group.RegisterCommit(id, at); outcome != 0 {
		then(outcome)
		return
	}
	p.commitWaiters[id] = then
	p.Refresh()
}

// Write sends a write to the primary that the proxy knows and runs then with
// the outcome of its commit. It does not run then if the write is lost, refused
// or committed in another term. It returns false, and sends nothing, if the
// proxy knows no primary or the group is not writable.
func (p *Proxy) Write(id string, then func(process.CommitOutcome, position.Position)) bool {
	primary, term := p.Group.Primary()
	if primary < 0 || !p.Group.Writable() {
		p.Refresh()
		return false
	}
	if p.BrokenRule == RuleSendOnce {
		p.world.AfterOn(&p.Node, resendDelay, func() {
			p.dbGroup.Databases[primary].Write(&p.Node, id, func(Response) {})
		})
	}
	p.dbGroup.Databases[primary].Write(&p.Node, id, func(r Response) {
		if !r.Accepted || r.Position.Term != term {
			p.Refresh()
			return
		}
		if p.BrokenRule == RuleConfirm {
			then(process.CommitConfirmed, r.Position)
			return
		}
		p.AwaitCommit(r.Position, func(outcome process.CommitOutcome) { then(outcome, r.Position) })
	})
	return true
}

func (p *Proxy) perform(actions []process.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case process.Probe:
			p.queryStatus(a.Database)
		case process.SendOpinion:
			p.sendOpinion(a.Opinion)
		case process.Fence:
			if p.BrokenRule == RuleFence {
				p.fenceOnlyOne(a)
				continue
			}
			p.runOperation("fence", a.Database, func(s *standin.State) (standin.Status, error) { return s.Fence(a.Term, p.Node.Name) },
				func(response Response) []process.Action {
					return p.Failover.HandleFence(p.world.Now(), a.Database, a.Term, response.Status, response.Accepted, nil)
				})
		case process.Promote:
			p.promote(a)
		case process.Follow:
			primary := p.dbGroup.Databases[a.Primary].State.Status().Name
			p.runOperation("follow", a.Database, func(s *standin.State) (standin.Status, error) { return s.Follow(a.Term, primary) }, nil)
		case process.Announce:
			p.announce(a)
		}
	}
}

// Read runs then with a database's status and the log entries that it has
// applied, which are the rows that a read would see. It does not run then if
// the connection is refused.
func (p *Proxy) Read(i int, then func(Response, []standin.Entry)) {
	d := p.dbGroup.Databases[i]
	var entries []standin.Entry
	readEntries := func(s *standin.State) (standin.Status, error) {
		status := s.Status()
		entries = s.AppliedEntries()
		return status, nil
	}
	d.Call(&p.Node, readEntries, func(r Response) {
		if !r.ConnectionRefused {
			then(r, entries)
		}
	})
}

func (p *Proxy) runOperation(name string, i int, operation func(*standin.State) (standin.Status, error), handle func(Response) []process.Action) {
	p.dbGroup.Databases[i].Call(&p.Node, operation, func(r Response) {
		p.steps++
		if !p.applyFault(Step{Operation: name, Database: i, Number: p.steps}) {
			return
		}
		if handle != nil && !r.ConnectionRefused {
			// If the proxy is paused, the response is handled after the pause.
			p.world.AfterOn(&p.Node, 0, func() { p.perform(handle(r)) })
		}
	})
}

// fenceOnlyOne breaks RuleFence: it fences database 1 alone and reports all
// others as fenced with an empty log.
func (p *Proxy) fenceOnlyOne(a process.Fence) {
	if a.Database != 1 {
		return
	}
	p.runOperation("fence", a.Database, func(s *standin.State) (standin.Status, error) { return s.Fence(a.Term, p.Node.Name) },
		func(response Response) []process.Action {
			actions := p.Failover.HandleFence(p.world.Now(), a.Database, a.Term, response.Status, response.Accepted, nil)
			for i := range p.dbGroup.Databases {
				if i != a.Database {
					actions = p.Failover.HandleFence(p.world.Now(), i, a.Term, process.Status{Fenced: a.Term}, true, actions)
				}
			}
			return actions
		})
}

// promote makes the database apply its log and then promotes it.
func (p *Proxy) promote(a process.Promote) {
	d := p.dbGroup.Databases[a.Database]
	promote := func(s *standin.State) (standin.Status, error) {
		for {
			// A promotion ignores the replica's lag.
			entry, due := s.NextToApply(p.world.Now(), 0)
			if !due {
				break
			}
			s.MarkApplied(entry.Position)
		}
		return s.Promote(a.Term, p.Node.Name)
	}
	p.runOperation("promote", a.Database, promote, func(response Response) []process.Action {
		if response.Accepted {
			p.Observe(process.Report{Database: d.Index, SentSeq: p.NextSequence(), SentAt: p.world.Now(), Status: response.Status})
		}
		return p.Failover.HandlePromote(p.world.Now(), a.Database, a.Term, response.Status, response.Accepted, nil)
	})
}

func (p *Proxy) sendOpinion(o process.Opinion) {
	for _, peer := range p.peers {
		if peer != p && peer.Failover != nil {
			p.world.Send(&p.Node, &peer.Node, func() {
				peer.perform(peer.Failover.HandleOpinion(peer.world.Now(), o, nil))
			})
		}
	}
}

func (p *Proxy) announce(a process.Announce) {
	if p.OnAnnounce != nil {
		p.OnAnnounce(a)
	}
	for _, peer := range p.peers {
		if peer == p {
			continue
		}
		p.world.Send(&p.Node, &peer.Node, func() {
			if peer.Failover != nil {
				peer.Failover.HandleAnnounce(peer.world.Now(), a)
			}
			peer.Refresh()
		})
	}
}
