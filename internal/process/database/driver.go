package database

import (
	"context"
	"slices"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// PeerMessenger sends a watcher's messages to other proxies.
type PeerMessenger interface {
	// ShareOpinion sends an opinion to the group's other watchers.
	ShareOpinion(group string, o Opinion)
	// AnnouncePrimary notifies the other proxies of a new primary and records
	// it in the table service.
	AnnouncePrimary(group string, term uint64, primary string)
}

// FailoverDriver passes time and events to the Failover of one group and
// performs the actions that it returns. It does not hold its mutex while it
// performs them or calls the monitor. Its methods call the monitor, so they must
// not be called under the monitor's lock. Lock order: FailoverDriver.mu before
// Monitor.mu.
type FailoverDriver struct {
	monitor     *Monitor
	operations  []Operations
	clock       clock.Clock
	sequence    *Sequence
	workers     *Workers
	peers       PeerMessenger
	stepTimeout clock.Duration
	owner       string
	log         *zap.Logger

	mu       sync.Mutex
	failover *Failover
	actions  []Action
	// active is set while this proxy is one of the group's watchers.
	active bool
	closed bool
}

// NewFailoverDriver returns a driver that acts through operations, one for each
// member of the monitored group and in the same order. It does nothing until
// SetWatchers makes this proxy a watcher.
func NewFailoverDriver(m *Monitor, f *Failover, operations []Operations, owner string, peers PeerMessenger, log *zap.Logger) *FailoverDriver {
	return &FailoverDriver{
		monitor: m, operations: operations, clock: m.clock, sequence: m.sequence, workers: m.workers,
		peers: peers, stepTimeout: f.settings.StepTimeout, owner: owner, log: log, failover: f,
	}
}

// Tick advances the failover to now.
func (d *FailoverDriver) Tick(now clock.Time) {
	d.runStep(func(dst []Action) []Action { return d.failover.Tick(now, dst) })
}

// HandleProbe handles the result of a probe. A *ConnectError that is not a
// timeout counts as a refused connection; other errors are ignored.
func (d *FailoverDriver) HandleProbe(r Report, err error) {
	now := d.clock.Now()
	var connectErr *ConnectError
	switch {
	case err == nil:
		d.runStep(func(dst []Action) []Action { return d.failover.HandleReport(now, r, dst) })
	case errors.As(err, &connectErr) && !errors.Is(err, context.DeadlineExceeded):
		d.runStep(func(dst []Action) []Action { return d.failover.HandleRefused(now, r.Database, dst) })
	}
}

// HandleOpinion handles the opinion of another watcher.
func (d *FailoverDriver) HandleOpinion(o Opinion) {
	now := d.clock.Now()
	d.runStep(func(dst []Action) []Action { return d.failover.HandleOpinion(now, o, dst) })
}

// HandleAnnounce handles the announcement of a promotion by another watcher.
func (d *FailoverDriver) HandleAnnounce(a Announce) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failover.HandleAnnounce(d.clock.Now(), a)
}

// Phase returns the current phase of the failover.
func (d *FailoverDriver) Phase() Phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	phase, _ := d.failover.Phase()
	return phase
}

// SetWatchers replaces the watchers, in the order in which they act.
func (d *FailoverDriver) SetWatchers(watchers []Watcher) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failover.SetWatchers(watchers)
	d.active = slices.Contains(watchers, d.failover.self)
}

// Close stops the driver and closes the control connections.
func (d *FailoverDriver) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	for _, o := range d.operations {
		if err := o.Close(); err != nil {
			d.log.Debug("failed to close control connection", zap.Error(err))
		}
	}
}

// runStep runs one step of the failover and performs the actions it returns.
func (d *FailoverDriver) runStep(step func([]Action) []Action) {
	d.mu.Lock()
	if d.closed || !d.active {
		d.mu.Unlock()
		return
	}
	d.actions = step(d.actions[:0])
	actions := append([]Action(nil), d.actions...)
	d.mu.Unlock()
	for _, a := range actions {
		d.perform(a)
	}
}

func (d *FailoverDriver) perform(a Action) {
	switch a := a.(type) {
	case Probe:
		d.monitor.Probe(a.Database)
	case SendOpinion:
		d.log.Info("failover: sharing opinion of the primary", zap.String("group", d.monitor.Name()),
			zap.Uint64("term", a.Opinion.Term), zap.Bool("suspect", a.Opinion.Suspect))
		d.peers.ShareOpinion(d.monitor.Name(), a.Opinion)
	case Announce:
		name := d.monitor.Members()[a.Primary].Name
		d.log.Info("failover: database promoted", zap.String("group", d.monitor.Name()),
			zap.String("database", name), zap.Uint64("term", a.Term))
		d.peers.AnnouncePrimary(d.monitor.Name(), a.Term, name)
	case Fence:
		d.workers.Submit(func() { d.fence(a) })
	case Promote:
		d.workers.Submit(func() { d.promote(a) })
	case Follow:
		d.workers.Submit(func() { d.follow(a) })
	}
}

func (d *FailoverDriver) logStep(operation string, database int, term uint64, err error) {
	d.log.Info("group operation: "+operation, zap.String("group", d.monitor.Name()),
		zap.String("database", d.monitor.Members()[database].Name), zap.Uint64("term", term), zap.Error(err))
}

// classifyError tells whether the database accepted an operation that returned
// err, and whether its answer arrived at all.
func classifyError(err error) (accepted, answered bool) {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return false, true
	}
	return err == nil, err == nil
}

func (d *FailoverDriver) fence(a Fence) {
	ctx, cancel := context.WithTimeout(context.Background(), d.stepTimeout.Std())
	defer cancel()
	status, err := d.operations[a.Database].Fence(ctx, a.Term, d.owner)
	d.logStep("fence", a.Database, a.Term, err)
	accepted, answered := classifyError(err)
	if !answered {
		return
	}
	if !accepted {
		if status, answered = d.statusAfterRefusal(ctx, a.Database); !answered {
			return
		}
	}
	now := d.clock.Now()
	d.runStep(func(dst []Action) []Action {
		return d.failover.HandleFence(now, a.Database, a.Term, status, accepted, dst)
	})
}

// statusAfterRefusal requests the status of a database that refused an operation.
// It returns false if the database does not answer. The refusal then counts as a
// lost answer: without the status it does not tell which term the database is in,
// and the failover repeats the step or gives up in time.
func (d *FailoverDriver) statusAfterRefusal(ctx context.Context, i int) (Status, bool) {
	status, err := d.operations[i].Status(ctx)
	if err != nil {
		d.log.Info("group operation refused, and the status of the database is unknown", zap.String("group", d.monitor.Name()),
			zap.String("database", d.monitor.Members()[i].Name), zap.Error(err))
	}
	return status, err == nil
}

func (d *FailoverDriver) promote(a Promote) {
	ctx, cancel := context.WithTimeout(context.Background(), d.stepTimeout.Std())
	defer cancel()
	report := Report{Database: a.Database, SentSeq: d.sequence.Next(), SentAt: d.clock.Now()}
	status, err := d.operations[a.Database].Promote(ctx, a.Term, d.owner)
	d.logStep("promote", a.Database, a.Term, err)
	accepted, answered := classifyError(err)
	if !answered {
		return
	}
	if accepted {
		report.Status = status
		d.monitor.Observe(report)
	} else if status, answered = d.statusAfterRefusal(ctx, a.Database); !answered {
		return
	}
	now := d.clock.Now()
	d.runStep(func(dst []Action) []Action {
		return d.failover.HandlePromote(now, a.Database, a.Term, status, accepted, dst)
	})
}

func (d *FailoverDriver) follow(a Follow) {
	ctx, cancel := context.WithTimeout(context.Background(), d.stepTimeout.Std())
	defer cancel()
	_, err := d.operations[a.Database].Follow(ctx, a.Term, d.monitor.Members()[a.Primary].Name)
	d.logStep("follow", a.Database, a.Term, err)
	d.monitor.Probe(a.Database)
}
