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
	// pauseFor is how long writes are held back at most, by themselves.
	maxPause = 6 * clock.Second
	// quietWithin bounds the wait for running writes to end.
	quietTimeout = 3 * time.Second
	// switchWithin bounds a change of primary that an operator asks for.
	switchoverTimeout = 10 * time.Second
)

// promote carries out an operator's change of primary.
func (p *Proxy) handlePromote(m proxy.PromoteMessage) (proxy.PromoteAnswer, error) {
	if !p.hasGroup(m.Group) {
		return proxy.PromoteAnswer{}, errors.Errorf("no database group %q is declared", m.Group)
	}
	opened := p.groups.openGroup(m.Group)
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
		return promoteAnswer(opened.watch.Switch(ctx, target, m.AcceptLoss))
	}
	return p.switchOver(ctx, opened, target)
}

func promoteAnswer(r dbprocess.SwitchResult, err error) (proxy.PromoteAnswer, error) {
	return proxy.PromoteAnswer{Term: r.Term, Primary: r.Primary, Reached: r.Reached.String(), Unreached: r.Unreached}, err
}

// switchOver moves the primary without losing or cutting a request: writes
// pause, those that run end, and the target catches up before the fence.
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
	if err := opened.watch.AwaitCaughtUp(ctx, target); err != nil {
		return proxy.PromoteAnswer{}, errors.Wrap(err, "nothing was changed")
	}
	return promoteAnswer(opened.watch.Switch(ctx, target, false))
}

// moveAway moves a group's primary from a backend server that is leaving.
func (p *Proxy) moveFromLeaving(opened *group, leaving map[string]bool) {
	ctx, cancel := context.WithTimeout(context.Background(), switchoverTimeout)
	defer cancel()
	target := p.chooseTarget(opened, leaving)
	if target < 0 {
		p.log.Warn("placement: leaving primary not moved: no other replica answers", zap.String("group", opened.serving.Name))
		return
	}
	answer, err := p.switchOver(ctx, opened, target)
	p.log.Info("placement: moved from a leaving backend server", zap.String("group", opened.serving.Name),
		zap.String("database", answer.Primary), zap.Uint64("term", answer.Term), zap.Error(err))
}

// chooseTarget returns the replica with the longest log, of those that do
// not leave.
func (p *Proxy) chooseTarget(opened *group, leaving map[string]bool) int {
	best := -1
	opened.monitor.View(func(g *dbprocess.Group) {
		primary, _ := g.Primary()
		for i := range g.Size() {
			r, heard := g.Report(i)
			if !heard || i == primary || leaving[opened.monitor.Members()[i].Address] {
				continue
			}
			if b, _ := g.Report(max(best, 0)); best < 0 || r.Status.Received.Compare(b.Status.Received) > 0 {
				best = i
			}
		}
	})
	return best
}

// pauseAll pauses or resumes a group's writes at every live proxy. It
// returns what is said of the proxies where writes still run. One that does
// not answer has its writes refused by the fence, which run nowhere.
func (p *Proxy) pauseAll(ctx context.Context, m proxy.PauseMessage) []string {
	var mu sync.Mutex
	var busy []string
	var wait sync.WaitGroup
	for _, peer := range p.livePeers() {
		wait.Add(1)
		go func() {
			defer wait.Done()
			answer, err := p.pauseOne(ctx, peer, m)
			if err != nil {
				p.log.Warn("proxy not paused", zap.String("peer", peer.Name), zap.Error(err))
				return
			}
			if !answer.Quiet {
				mu.Lock()
				defer mu.Unlock()
				busy = append(busy, fmt.Sprintf("%d writes or transactions still run at %s", answer.Running, peer.Name))
			}
		}()
	}
	wait.Wait()
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

// paused holds back a group's writes here, or lets them go on.
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
	running := gate.AwaitQuiet(ctx)
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
