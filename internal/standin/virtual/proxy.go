package virtual

import (
	"math/rand/v2"
	"time"

	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	standin "github.com/oleanderflow/oleanderflow/internal/standin/database"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

const (
	proxyTick = 10 * time.Millisecond
	// resendAfter is when a proxy that breaks RuleSendOnce sends again.
	resendAfter = 50 * time.Millisecond
)

// Proxy drives the decisions of one proxy for one group.
type Proxy struct {
	Node     Node
	Group    *process.Group
	Failover *process.Failover
	// OnAnnounce is told of every promotion that this proxy has carried out.
	OnAnnounce func(a process.Announce)

	world    *World
	backing  *Group
	peers    []*Proxy
	sequence uint64
	asking   []bool
	wanted   []bool
	waiting  map[uint64]func(process.Verdict)
	fresh    []freshWaiter
	releases []process.Release
	// SampleInterval is the time between samples, zero for none.
	SampleInterval time.Duration
	// FaultAt decides what befalls the proxy at each answer to an operation,
	// nil for nothing.
	FaultAt func(Step) Fault
	steps   int
	// BrokenRule is a rule that the proxy breaks, to test the checks.
	BrokenRule Rule
}

// Rule is a rule that a proxy can be made to break.
type Rule int

// The rules whose breach the checks must notice.
const (
	// RuleNone: all rules are kept.
	RuleNone Rule = iota
	// RuleConfirm: a commit is acknowledged only when confirmed.
	RuleConfirm
	// RuleFence: a database is promoted only after a majority is fenced.
	RuleFence
	// RuleSendOnce: a request that was sent is not sent again.
	RuleSendOnce
	// RuleVerifyFloor: a read's floor is verified.
	RuleVerifyFloor
	// RuleVerifyAge: a read's age is verified.
	RuleVerifyAge
)

type freshWaiter struct {
	after uint64
	then  func(process.Sample)
}

// NewProxy returns a proxy in zone. Start begins its work.
func NewProxy(g *Group, name, zone string, d process.Durability) *Proxy {
	n := len(g.Databases)
	return &Proxy{
		Node: Node{Name: name, Zone: zone}, Group: process.NewGroup(n, d), world: g.World, backing: g,
		asking: make([]bool, n), wanted: make([]bool, n), waiting: make(map[uint64]func(process.Verdict)),
	}
}

// Connect makes proxies know each other, with the first watchers of them as
// the group's watchers.
func Connect(proxies []*Proxy, watchers int, s process.FailoverSettings) {
	for i := range proxies {
		Join(proxies, i, watchers, s)
	}
}

// Join makes one of the proxies known to the others.
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
	p.Failover = process.NewFailover(len(p.asking), list[i], list, s, source)
}

// Start begins the proxy's periodic work.
func (p *Proxy) Start() {
	if p.Failover != nil {
		p.world.Every(&p.Node, proxyTick, func() {
			p.perform(p.Failover.Tick(p.world.Now(), nil))
		})
	}
	if p.SampleInterval > 0 {
		p.world.Every(&p.Node, p.SampleInterval, p.Refresh)
	}
	p.Refresh()
}

// NextSequence returns the next event number.
func (p *Proxy) NextSequence() uint64 {
	p.sequence++
	return p.sequence
}

// Refresh asks all databases. One question serves all that asked for it
// before it is sent.
func (p *Proxy) Refresh() {
	for i := range p.asking {
		p.ask(i)
	}
}

func (p *Proxy) ask(i int) {
	if p.asking[i] {
		p.wanted[i] = true
		return
	}
	p.asking[i] = true
	d := p.backing.Databases[i]
	report := process.Report{Database: i, Sent: p.NextSequence(), SentAt: p.world.Now()}
	answered := false
	done := func() {
		if answered {
			return
		}
		answered = true
		p.asking[i] = false
		if p.wanted[i] {
			p.wanted[i] = false
			p.ask(i)
		}
	}
	d.Call(&p.Node, func(s *standin.State) (standin.Status, error) { return s.Status(), nil }, func(a Response) {
		if a.Refused {
			if p.Failover != nil {
				p.perform(p.Failover.HandleRefused(p.world.Now(), i, nil))
			}
			p.world.AfterOn(&p.Node, proxyTick, done)
			return
		}
		report.Status = a.Status
		p.Observe(report)
		done()
	})
	p.world.AfterOn(&p.Node, 700*time.Millisecond, done)
}

// Observe takes in a report.
func (p *Proxy) Observe(r process.Report) {
	p.releases = p.Group.Observe(r, p.releases[:0])
	for _, release := range append([]process.Release(nil), p.releases...) {
		if then, ok := p.waiting[release.Waiter]; ok {
			delete(p.waiting, release.Waiter)
			then(release.Verdict)
		}
	}
	if p.Failover != nil {
		p.perform(p.Failover.HandleReport(p.world.Now(), r, nil))
	}
	p.serveFresh()
	if p.Group.Waiting() > 0 || len(p.fresh) > 0 {
		p.Refresh()
	}
}

func (p *Proxy) serveFresh() {
	kept := p.fresh[:0]
	var ready []func()
	for _, w := range p.fresh {
		if sample, ok := p.Group.FreshSample(w.after); ok {
			ready = append(ready, func() { w.then(sample) })
			continue
		}
		kept = append(kept, w)
	}
	p.fresh = kept
	for _, f := range ready {
		f()
	}
}

// AwaitFresh runs then with a sample taken wholly after the event numbered
// after.
func (p *Proxy) AwaitFresh(after uint64, then func(process.Sample)) {
	if sample, ok := p.Group.FreshSample(after); ok {
		then(sample)
		return
	}
	p.fresh = append(p.fresh, freshWaiter{after: after, then: then})
	p.Refresh()
}

// AwaitCommit runs then once a commit's verdict is known.
func (p *Proxy) AwaitCommit(at position.Position, then func(process.Verdict)) {
	id := p.NextSequence()
	if v := p.Group.Await(id, at); v != 0 {
		then(v)
		return
	}
	p.waiting[id] = then
	p.Refresh()
}

// Write sends a write to the primary that the proxy knows, if it accepts
// writes, and runs then with the verdict on its commit. It returns false
// for a write that was not sent.
func (p *Proxy) Write(id string, then func(process.Verdict, position.Position)) bool {
	primary, term := p.Group.Primary()
	if primary < 0 || !p.Group.Writable() {
		p.Refresh()
		return false
	}
	if p.BrokenRule == RuleSendOnce {
		p.world.AfterOn(&p.Node, resendAfter, func() {
			p.backing.Databases[primary].Write(&p.Node, id, func(Response) {})
		})
	}
	p.backing.Databases[primary].Write(&p.Node, id, func(a Response) {
		if !a.Accepted || a.Position.Term != term {
			p.Refresh()
			return
		}
		if p.BrokenRule == RuleConfirm {
			then(process.Confirmed, a.Position)
			return
		}
		p.AwaitCommit(a.Position, func(v process.Verdict) { then(v, a.Position) })
	})
	return true
}

func (p *Proxy) perform(actions []process.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case process.Probe:
			p.ask(a.Database)
		case process.Share:
			p.share(a.Opinion)
		case process.Fence:
			if p.BrokenRule == RuleFence {
				p.pretendFenced(a)
				continue
			}
			p.operate("fence", a.Database, func(s *standin.State) (standin.Status, error) { return s.Fence(a.Term, p.Node.Name) },
				func(answer Response) []process.Action {
					return p.Failover.HandleFence(p.world.Now(), a.Database, a.Term, answer.Status, answer.Accepted, nil)
				})
		case process.Promote:
			p.promote(a)
		case process.Follow:
			primary := p.backing.Databases[a.Primary].State.Status().Name
			p.operate("follow", a.Database, func(s *standin.State) (standin.Status, error) { return s.Follow(a.Term, primary) }, nil)
		case process.Announce:
			p.announce(a)
		}
	}
}

// Read asks a database for its status and the rows that a read would see,
// given as the number of log entries applied.
func (p *Proxy) Read(i int, then func(Response, []standin.Entry)) {
	d := p.backing.Databases[i]
	var seen []standin.Entry
	look := func(s *standin.State) (standin.Status, error) {
		status := s.Status()
		seen = s.AppliedEntries()
		return status, nil
	}
	d.Call(&p.Node, look, func(a Response) {
		if !a.Refused {
			then(a, seen)
		}
	})
}

func (p *Proxy) operate(name string, i int, operation func(*standin.State) (standin.Status, error), handle func(Response) []process.Action) {
	p.backing.Databases[i].Call(&p.Node, operation, func(a Response) {
		p.steps++
		if !p.befall(Step{Operation: name, Database: i, Number: p.steps}) {
			return
		}
		if handle != nil && !a.Refused {
			// A pause holds the answer back until the proxy wakes.
			p.world.AfterOn(&p.Node, 0, func() { p.perform(handle(a)) })
		}
	})
}

// pretendFenced fences one replica alone and takes all others for fenced,
// with an empty log.
func (p *Proxy) pretendFenced(a process.Fence) {
	if a.Database != 1 {
		return
	}
	p.operate("fence", a.Database, func(s *standin.State) (standin.Status, error) { return s.Fence(a.Term, p.Node.Name) },
		func(answer Response) []process.Action {
			actions := p.Failover.HandleFence(p.world.Now(), a.Database, a.Term, answer.Status, answer.Accepted, nil)
			for i := range p.backing.Databases {
				if i != a.Database {
					actions = p.Failover.HandleFence(p.world.Now(), i, a.Term, process.Status{Fenced: a.Term}, true, actions)
				}
			}
			return actions
		})
}

// promote asks until the database has replayed its log.
func (p *Proxy) promote(a process.Promote) {
	d := p.backing.Databases[a.Database]
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
	p.operate("promote", a.Database, promote, func(answer Response) []process.Action {
		if answer.Accepted {
			p.Observe(process.Report{Database: d.Index, Sent: p.NextSequence(), SentAt: p.world.Now(), Status: answer.Status})
		}
		return p.Failover.HandlePromote(p.world.Now(), a.Database, a.Term, answer.Status, answer.Accepted, nil)
	})
}

func (p *Proxy) share(o process.Opinion) {
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
