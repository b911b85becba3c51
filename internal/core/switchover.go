package core

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	dbprocess "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// maxPause bounds a pause of writes. A pause ends by itself after that time,
	// in case no resume message arrives.
	maxPause = 6 * clock.Second
	// quietTimeout bounds the wait for the end of running writes.
	quietTimeout = 3 * time.Second
	// switchoverTimeout bounds a change of primary, whether an operator requests
	// it or the primary's backend server is leaving.
	switchoverTimeout = 10 * time.Second
)

// handlePromote changes the primary of a group as an operator requested. With
// Force it does not wait for running writes.
func (p *Proxy) handlePromote(m proxy.PromoteMessage) (proxy.PromoteAnswer, error) {
	if !p.hasGroup(m.Group) {
		return proxy.PromoteAnswer{}, errors.Errorf("no database group %q is declared", m.Group)
	}
	opened := p.groups.openGroup(m.Group)
	if opened == nil {
		return proxy.PromoteAnswer{}, errors.Errorf("group %s was closed: it is not declared any more, or this proxy is stopping", m.Group)
	}
	target := -1
	for i, member := range opened.monitor.Members() {
		if member.Name == m.Database {
			target = i
		}
	}
	if m.Database != "" && target < 0 {
		return proxy.PromoteAnswer{}, errors.Errorf("group %s has no database %q", m.Group, m.Database)
	}
	ctx, cancel := context.WithTimeout(context.Background(), switchoverTimeout)
	defer cancel()
	if m.Force {
		return promoteAnswer(opened.failover.Switch(ctx, target, m.AcceptLoss))
	}
	return p.switchOver(ctx, opened, target)
}

func promoteAnswer(r dbprocess.SwitchResult, err error) (proxy.PromoteAnswer, error) {
	return proxy.PromoteAnswer{Term: r.Term, Primary: r.Primary, Reached: r.Reached.String(), Unreached: r.Unreached}, err
}

// switchOver changes the primary without losing or interrupting a request: it
// pauses new writes, waits for running writes, waits until the target has
// received the whole log, and only then fences the old primary. A negative target
// selects the replica with the longest log.
func (p *Proxy) switchOver(ctx context.Context, opened *group, target int) (proxy.PromoteAnswer, error) {
	if target < 0 {
		if target = p.chooseTarget(opened, nil); target < 0 {
			return proxy.PromoteAnswer{}, errors.New("no replica answers that could be promoted")
		}
	}
	defer p.pauseAll(ctx, proxy.PauseMessage{Group: opened.serving.Name, Resume: true})
	if busy := p.pauseAll(ctx, proxy.PauseMessage{Group: opened.serving.Name, For: maxPause}); len(busy) > 0 {
		return proxy.PromoteAnswer{}, errors.Errorf("nothing was changed: %s", busy[0])
	}
	if err := opened.failover.AwaitCaughtUp(ctx, target); err != nil {
		return proxy.PromoteAnswer{}, errors.Wrap(err, "nothing was changed")
	}
	return promoteAnswer(opened.failover.Switch(ctx, target, false))
}

// moveFromLeaving moves a group's primary off a backend server that is leaving.
func (p *Proxy) moveFromLeaving(opened *group, leaving map[string]bool) {
	ctx, cancel := context.WithTimeout(context.Background(), switchoverTimeout)
	defer cancel()
	target := p.chooseTarget(opened, leaving)
	if target < 0 {
		p.log.Warn("switchover: cannot move the primary off a leaving backend server: no other replica answers", zap.String("group", opened.serving.Name))
		return
	}
	answer, err := p.switchOver(ctx, opened, target)
	p.log.Info("switchover: tried to move the primary off a leaving backend server", zap.String("group", opened.serving.Name),
		zap.String("database", answer.Primary), zap.Uint64("term", answer.Term), zap.Error(err))
}

// chooseTarget returns the index of the replica with the longest log that is not
// on a leaving backend server, or -1 if there is none.
func (p *Proxy) chooseTarget(opened *group, leaving map[string]bool) int {
	best := -1
	opened.monitor.View(func(g *dbprocess.Group) {
		primary, _ := g.Primary()
		for i := range g.Size() {
			r, ok := g.Report(i)
			if !ok || i == primary || leaving[opened.monitor.Members()[i].Address] {
				continue
			}
			if b, _ := g.Report(max(best, 0)); best < 0 || r.Status.Received.Compare(b.Status.Received) > 0 {
				best = i
			}
		}
	})
	return best
}

// pauseAll pauses or resumes a group's writes at every live proxy. It returns a
// text for each proxy where writes still run. A proxy that does not answer is
// only logged: once the old primary is fenced, it refuses the writes of that proxy,
// which then run nowhere.
func (p *Proxy) pauseAll(ctx context.Context, m proxy.PauseMessage) []string {
	var mu sync.Mutex
	var busy []string
	var wg sync.WaitGroup
	for _, peer := range p.livePeers() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answer, err := p.pauseOne(ctx, peer, m)
			if err != nil {
				p.log.Warn("cannot pause or resume writes at a proxy", zap.String("peer", peer.Name), zap.Error(err))
				return
			}
			if !answer.Quiet {
				mu.Lock()
				defer mu.Unlock()
				busy = append(busy, fmt.Sprintf("%d writes or transactions still run at %s", answer.Running, peer.Name))
			}
		}()
	}
	wg.Wait()
	return busy
}

func (p *Proxy) pauseOne(ctx context.Context, peer proxy.Peer, m proxy.PauseMessage) (proxy.PauseAnswer, error) {
	if peer.Name == p.instance.Name {
		return p.handlePause(m), nil
	}
	var answer proxy.PauseAnswer
	err := p.peers.Call(ctx, peer.Name, proxy.MethodPause, m, &answer)
	return answer, err
}

// handlePause pauses a group's writes at this proxy and waits up to quietTimeout
// for running ones, or resumes the writes.
func (p *Proxy) handlePause(m proxy.PauseMessage) proxy.PauseAnswer {
	opened := p.groups.lookup(m.Group)
	if opened == nil {
		return proxy.PauseAnswer{Quiet: true}
	}
	gate := opened.serving.Gate
	if m.Resume {
		gate.Resume()
		return proxy.PauseAnswer{Quiet: true}
	}
	gate.Pause(p.clock.Now().Add(min(m.For, maxPause)))
	ctx, cancel := context.WithTimeout(context.Background(), quietTimeout)
	defer cancel()
	running := gate.AwaitIdle(ctx)
	return proxy.PauseAnswer{Quiet: running == 0, Running: running}
}

func runPromote(ctx context.Context, o *PromoteOptions) int {
	ctx, cancel := context.WithTimeout(ctx, 2*switchoverTimeout)
	defer cancel()
	var answer proxy.PromoteAnswer
	message := proxy.PromoteMessage{Group: o.Group, Database: o.Database, Force: o.Force, AcceptLoss: o.AcceptLoss}
	if err := proxy.CallAddress(ctx, o.Peer, proxy.MethodPromote, message, &answer); err != nil {
		return fail(errors.Wrap(err, "promote"))
	}
	fmt.Printf("group %s: %s is primary of term %d from position %s\n", o.Group, answer.Primary, answer.Term, answer.Reached)
	for _, name := range answer.Unreached {
		fmt.Fprintf(os.Stderr, "database %s was not reached; writes that only it has are lost\n", name)
	}
	return ExitOK
}
