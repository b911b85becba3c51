package database

import (
	"context"
	"slices"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// PeerMessenger carries a watcher's messages to other proxies.
type PeerMessenger interface {
	// ShareOpinion sends an opinion to the group's other watchers.
	ShareOpinion(group string, o Opinion)
	// AnnouncePrimary tells all proxies of a new primary and has it recorded.
	AnnouncePrimary(group string, term uint64, primary string)
}

// FailoverDriver drives the failover decisions of one group. Its mutex is taken
// before the monitor's.
type FailoverDriver struct {
	monitor    *Monitor
	operations []Operations
	clock      clock.Clock
	sequence   *Sequence
	workers    *Workers
	colleagues PeerMessenger
	timeout    clock.Duration
	owner      string
	log        *zap.Logger

	mu       sync.Mutex
	failover *Failover
	actions  []Action
	// active is set while this proxy is one of the group's watchers.
	active bool
	closed bool
}

// NewFailoverDriver returns a watch that acts through operations, one for each
// member of the monitored group.
func NewFailoverDriver(m *Monitor, f *Failover, operations []Operations, owner string, colleagues PeerMessenger, log *zap.Logger) *FailoverDriver {
	return &FailoverDriver{
		monitor: m, operations: operations, clock: m.clock, sequence: m.sequence, workers: m.workers,
		colleagues: colleagues, timeout: f.settings.StepTimeout, owner: owner, log: log, failover: f,
	}
}

// Tick advances the decisions' time.
func (w *FailoverDriver) Tick(now clock.Time) {
	w.decide(func(dst []Action) []Action { return w.failover.Tick(now, dst) })
}

// HandleProbe takes in the result of a probe.
func (w *FailoverDriver) HandleProbe(r Report, err error) {
	now := w.clock.Now()
	var refused *ConnectError
	switch {
	case err == nil:
		w.decide(func(dst []Action) []Action { return w.failover.HandleReport(now, r, dst) })
	case errors.As(err, &refused) && !errors.Is(err, context.DeadlineExceeded):
		w.decide(func(dst []Action) []Action { return w.failover.HandleRefused(now, r.Database, dst) })
	}
}

// HandleOpinion takes in another watcher's opinion.
func (w *FailoverDriver) HandleOpinion(o Opinion) {
	now := w.clock.Now()
	w.decide(func(dst []Action) []Action { return w.failover.HandleOpinion(now, o, dst) })
}

// HandleAnnounce takes in another watcher's promotion.
func (w *FailoverDriver) HandleAnnounce(a Announce) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failover.HandleAnnounce(w.clock.Now(), a)
}

// Phase returns what the failover is doing.
func (w *FailoverDriver) Phase() Phase {
	w.mu.Lock()
	defer w.mu.Unlock()
	phase, _ := w.failover.Phase()
	return phase
}

// SetWatchers replaces the set of watchers.
func (w *FailoverDriver) SetWatchers(watchers []Watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failover.SetWatchers(watchers)
	w.active = slices.Contains(watchers, w.failover.self)
}

// Close ends the watch.
func (w *FailoverDriver) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for _, o := range w.operations {
		if err := o.Close(); err != nil {
			w.log.Debug("control connection not closed cleanly", zap.Error(err))
		}
	}
}

// decide runs one step of the decisions and carries its actions out.
func (w *FailoverDriver) decide(step func([]Action) []Action) {
	w.mu.Lock()
	if w.closed || !w.active {
		w.mu.Unlock()
		return
	}
	w.actions = step(w.actions[:0])
	actions := append([]Action(nil), w.actions...)
	w.mu.Unlock()
	for _, a := range actions {
		w.perform(a)
	}
}

func (w *FailoverDriver) perform(a Action) {
	switch a := a.(type) {
	case Probe:
		w.monitor.Probe(a.Database)
	case ShareOpinion:
		w.log.Info("opinion of the primary", zap.String("group", w.monitor.Name()),
			zap.Uint64("term", a.Opinion.Term), zap.Bool("suspect", a.Opinion.Suspect))
		w.colleagues.ShareOpinion(w.monitor.Name(), a.Opinion)
	case Announce:
		name := w.monitor.Members()[a.Primary].Name
		w.log.Info("placement: promoted", zap.String("group", w.monitor.Name()),
			zap.String("database", name), zap.Uint64("term", a.Term))
		w.colleagues.AnnouncePrimary(w.monitor.Name(), a.Term, name)
	case Fence:
		w.workers.Submit(func() { w.fence(a) })
	case Promote:
		w.workers.Submit(func() { w.promote(a) })
	case Follow:
		w.workers.Submit(func() { w.follow(a) })
	}
}

func (w *FailoverDriver) logStep(operation string, database int, term uint64, err error) {
	w.log.Info("placement: "+operation, zap.String("group", w.monitor.Name()),
		zap.String("database", w.monitor.Members()[database].Name), zap.Uint64("term", term), zap.Error(err))
}

// answered turns an operation's result into what the decisions take in. It
// returns false for an answer that was lost.
func answered(err error) (accepted, heard bool) {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return false, true
	}
	return err == nil, err == nil
}

func (w *FailoverDriver) fence(a Fence) {
	ctx, cancel := context.WithTimeout(context.Background(), w.timeout.Std())
	defer cancel()
	status, err := w.operations[a.Database].Fence(ctx, a.Term, w.owner)
	w.logStep("fence", a.Database, a.Term, err)
	accepted, heard := answered(err)
	if !heard {
		return
	}
	if !accepted {
		status = w.askAgain(ctx, a.Database, status)
	}
	now := w.clock.Now()
	w.decide(func(dst []Action) []Action {
		return w.failover.HandleFence(now, a.Database, a.Term, status, accepted, dst)
	})
}

// askAgain learns the status of a database that refused an operation.
func (w *FailoverDriver) askAgain(ctx context.Context, i int, status Status) Status {
	if fresh, err := w.operations[i].Status(ctx); err == nil {
		return fresh
	}
	return status
}

func (w *FailoverDriver) promote(a Promote) {
	ctx, cancel := context.WithTimeout(context.Background(), w.timeout.Std())
	defer cancel()
	report := Report{Database: a.Database, SentSeq: w.sequence.Next(), SentAt: w.clock.Now()}
	status, err := w.operations[a.Database].Promote(ctx, a.Term, w.owner)
	w.logStep("promote", a.Database, a.Term, err)
	accepted, heard := answered(err)
	if !heard {
		return
	}
	if accepted {
		report.Status = status
		w.monitor.Observe(report)
	} else {
		status = w.askAgain(ctx, a.Database, status)
	}
	now := w.clock.Now()
	w.decide(func(dst []Action) []Action {
		return w.failover.HandlePromote(now, a.Database, a.Term, status, accepted, dst)
	})
}

func (w *FailoverDriver) follow(a Follow) {
	ctx, cancel := context.WithTimeout(context.Background(), w.timeout.Std())
	defer cancel()
	_, err := w.operations[a.Database].Follow(ctx, a.Term, w.monitor.Members()[a.Primary].Name)
	w.logStep("follow", a.Database, a.Term, err)
	w.monitor.Probe(a.Database)
}
