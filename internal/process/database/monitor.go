package database

import (
	"context"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Operations are the group operations that the platform offers for one
// database.
type Operations interface {
	// Status returns the database's own replication status.
	Status(ctx context.Context) (Status, error)
	// Fence makes the database refuse all terms before term. It returns a
	// *RefusedError if the database has seen term or a later one. The same
	// owner may repeat a fence whose answer was lost.
	Fence(ctx context.Context, term uint64, owner string) (Status, error)
	// Promote makes the database the primary of term, for which it must have
	// been fenced.
	Promote(ctx context.Context, term uint64, owner string) (Status, error)
	// Follow makes the database a replica of primary in term.
	Follow(ctx context.Context, term uint64, primary string) (Status, error)
	// Close closes the connection that the operations use.
	Close() error
}

// RefusedError reports a group operation that the database refused.
type RefusedError struct {
	Operation string
	Message   string
}

func (e *RefusedError) Error() string { return e.Operation + " refused: " + e.Message }

// ConnectError reports that a connection to a database could not be opened.
type ConnectError struct {
	Address string
	Cause   error
}

func (e *ConnectError) Error() string { return "connect to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// Sequence numbers the events of one process. It is safe for concurrent use.
type Sequence struct{ n atomic.Uint64 }

// NewSequence returns a sequence that starts at 1.
func NewSequence() *Sequence { return &Sequence{} }

// Next returns the next number.
func (s *Sequence) Next() uint64 { return s.n.Add(1) }

// Member is one database of a monitored group.
type Member struct {
	Name    string
	Zone    string
	Address string
}

// MonitorSettings configure a Monitor.
type MonitorSettings struct {
	Group      string
	Members    []Member
	Durability Durability
	// ProbeTimeout is the maximum duration of one probe.
	ProbeTimeout clock.Duration
	// SampleInterval is the time between samples while the group is in use.
	SampleInterval clock.Duration
	// IdleAfter is how long after its last use a group is still sampled.
	IdleAfter clock.Duration
	// UnreachableAfter is how long probes of a database may fail before it
	// is reported as Unreachable and its connections are abandoned.
	UnreachableAfter clock.Duration
}

// Event is a change that a monitor has detected.
type Event interface{ event() }

// PrimaryChanged reports a primary with a later term. From is negative if no
// primary was known before.
type PrimaryChanged struct {
	From, To int
	Term     uint64
	// OldPrimaryResponds is set if the old primary still answers probes, so
	// that requests running on it end by themselves.
	OldPrimaryResponds bool
}

// Unreachable reports that the probes of a database have failed for
// MonitorSettings.UnreachableAfter.
type Unreachable struct{ Database int }

func (PrimaryChanged) event() {}
func (Unreachable) event()    {}

// memberState is the probe state of one database. It is guarded by Monitor.mu.
type memberState struct {
	operations Operations
	// inFlight is set while a probe is queued or running.
	inFlight bool
	// probeAgain is set if another probe must follow the one in flight.
	probeAgain bool
	probedAt   clock.Time
	// unansweredSince is when the first of the current run of failed probes
	// was sent, zero if the last probe was answered.
	unansweredSince    clock.Time
	unreachableEmitted bool
}

// Monitor probes the databases of one group and keeps one proxy's view of the
// group up to date. While its mutex is held, it takes no other locks than those
// of the workers' queue and of the event handler.
type Monitor struct {
	settings     MonitorSettings
	clock        clock.Clock
	sequence     *Sequence
	workers      *Workers
	log          *zap.Logger
	probeHandler func(Report, error)
	eventHandler func(Event)

	lastUsedAt atomic.Int64
	probesSent atomic.Uint64

	mu      sync.Mutex
	group   *Group
	members []memberState
	// changed is closed at the next report if changeWaiters is positive.
	changed       chan struct{}
	changeWaiters int
	commitWaiters map[uint64]chan CommitResult
	releases      []CommitRelease
	closed        bool
}

// NewMonitor returns a monitor that probes through operations, one for each
// member and in the same order.
func NewMonitor(s MonitorSettings, c clock.Clock, seq *Sequence, w *Workers, operations []Operations, log *zap.Logger) *Monitor {
	m := &Monitor{
		settings: s, clock: c, sequence: seq, workers: w, log: log,
		group:         NewGroup(len(s.Members), s.Durability),
		members:       make([]memberState, len(s.Members)),
		changed:       make(chan struct{}),
		commitWaiters: make(map[uint64]chan CommitResult),
	}
	for i, o := range operations {
		m.members[i].operations = o
	}
	m.lastUsedAt.Store(int64(c.Now()))
	return m
}

// SetProbeHandler makes the monitor pass the result of every probe to handle.
// It must be called before the monitor is used.
func (m *Monitor) SetProbeHandler(handle func(Report, error)) { m.probeHandler = handle }

// SetEventHandler makes the monitor pass its events to handle, which must not
// call methods of the monitor. It must be called before the monitor is used.
func (m *Monitor) SetEventHandler(handle func(Event)) { m.eventHandler = handle }

// Members returns the group's databases.
func (m *Monitor) Members() []Member { return m.settings.Members }

// Name returns the group's name.
func (m *Monitor) Name() string { return m.settings.Group }

// MarkUsed marks the group as in use, so that it is sampled periodically.
func (m *Monitor) MarkUsed() { m.lastUsedAt.Store(int64(m.clock.Now())) }

// View calls f with the group under the monitor's lock. f must not keep the
// group or call methods of the monitor.
func (m *Monitor) View(f func(*Group)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.group)
}

// Tick starts the periodic probes that are due.
func (m *Monitor) Tick(now clock.Time) {
	if now.Sub(clock.Time(m.lastUsedAt.Load())) > m.settings.IdleAfter {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.members {
		// A recent report, such as one that came with the response to a
		// statement, makes the probe unnecessary.
		last, reported := m.group.Report(i)
		fresh := reported && now.Sub(last.SentAt) < m.settings.SampleInterval
		if !fresh && now.Sub(m.members[i].probedAt) >= m.settings.SampleInterval {
			m.requestProbeLocked(i)
		}
	}
}

// ProbesSent returns the number of probes that the monitor has sent.
func (m *Monitor) ProbesSent() uint64 { return m.probesSent.Load() }

// Refresh starts a probe of every database. All requests that arrive while a
// probe of the same database is in flight share one further probe after it.
func (m *Monitor) Refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshLocked()
}

func (m *Monitor) refreshLocked() {
	for i := range m.members {
		m.requestProbeLocked(i)
	}
}

// RefreshReplicas starts a probe of every database except the primary, whose
// status arrives with the response to the statement that runs there.
func (m *Monitor) RefreshReplicas() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshReplicasLocked()
}

func (m *Monitor) refreshReplicasLocked() {
	primary, _ := m.group.Primary()
	for i := range m.members {
		if i != primary {
			m.requestProbeLocked(i)
		}
	}
}

// Probe starts a probe of database i. Requests share probes as with Refresh.
func (m *Monitor) Probe(i int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requestProbeLocked(i)
}

func (m *Monitor) requestProbeLocked(i int) {
	state := &m.members[i]
	if m.closed {
		return
	}
	if state.inFlight {
		state.probeAgain = true
		return
	}
	state.inFlight = true
	state.probedAt = m.clock.Now()
	m.workers.Submit(func() { m.runProbe(i) })
}

// runProbe requests the status of database i and applies the result.
func (m *Monitor) runProbe(i int) {
	m.probesSent.Add(1)
	report := Report{Database: i, SentSeq: m.sequence.Next(), SentAt: m.clock.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), m.settings.ProbeTimeout.Std())
	status, err := m.members[i].operations.Status(ctx)
	cancel()
	report.Status = status
	m.mu.Lock()
	state := &m.members[i]
	state.inFlight = false
	if err == nil {
		state.unansweredSince, state.unreachableEmitted = 0, false
		m.observeLocked(report)
	} else {
		m.recordFailureLocked(i, report.SentAt)
	}
	if state.probeAgain {
		state.probeAgain = false
		m.requestProbeLocked(i)
	}
	m.mu.Unlock()
	if m.probeHandler != nil {
		m.probeHandler(report, err)
	}
}

// recordFailureLocked records a failed probe. It emits Unreachable, once, when
// probes have failed for UnreachableAfter.
func (m *Monitor) recordFailureLocked(i int, sentAt clock.Time) {
	state := &m.members[i]
	if state.unansweredSince == 0 {
		state.unansweredSince = sentAt
	}
	if state.unreachableEmitted || m.clock.Now().Sub(state.unansweredSince) < m.settings.UnreachableAfter {
		return
	}
	state.unreachableEmitted = true
	m.emit(Unreachable{Database: i})
}

// maxAnswerAge is how old the last report of a database may be for the database
// to count as responding.
const maxAnswerAge = 250 * clock.Millisecond

// respondsLocked reports whether database i still answers. It returns false for
// a negative i.
func (m *Monitor) respondsLocked(i int) bool {
	if i < 0 || m.members[i].unansweredSince != 0 {
		return false
	}
	last, reported := m.group.Report(i)
	return reported && m.clock.Now().Sub(last.SentAt) <= maxAnswerAge
}

func (m *Monitor) emit(e Event) {
	if m.eventHandler != nil {
		m.eventHandler(e)
	}
}

// Observe applies a report that did not come from a probe of this monitor.
func (m *Monitor) Observe(r Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeLocked(r)
}

func (m *Monitor) observeLocked(r Report) {
	from, oldTerm := m.group.Primary()
	m.releases = m.group.Observe(r, m.releases[:0])
	for _, release := range m.releases {
		if ch, ok := m.commitWaiters[release.Waiter]; ok {
			delete(m.commitWaiters, release.Waiter)
			ch <- CommitResult{Outcome: release.Outcome, At: m.clock.Now()}
		}
	}
	if primary, term := m.group.Primary(); term != oldTerm {
		m.log.Info("primary changed", zap.String("group", m.settings.Group),
			zap.String("database", m.settings.Members[primary].Name), zap.Uint64("term", term))
		m.emit(PrimaryChanged{From: from, To: primary, Term: term, OldPrimaryResponds: m.respondsLocked(from)})
	}
	if m.changeWaiters > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	if m.group.WaitingCommits() > 0 {
		m.refreshReplicasLocked()
	}
}

// CommitResult is the outcome of a commit and when it was decided.
type CommitResult struct {
	Outcome CommitOutcome
	At      clock.Time
}

// AwaitCommit waits until the outcome of a commit at p is known. The outcome is
// CommitConfirmed if the commit may be acknowledged, and CommitLost if p's term
// ended and the commit is not known to be in the next one. It returns ctx.Err()
// if ctx ends before the outcome is known.
func (m *Monitor) AwaitCommit(ctx context.Context, p position.Position) (CommitResult, error) {
	id := m.sequence.Next()
	ch := make(chan CommitResult, 1)
	m.mu.Lock()
	if v := m.group.RegisterCommit(id, p); v != 0 {
		m.mu.Unlock()
		return CommitResult{Outcome: v, At: m.clock.Now()}, nil
	}
	m.commitWaiters[id] = ch
	m.refreshReplicasLocked()
	m.mu.Unlock()
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.commitWaiters, id)
	m.group.UnregisterCommit(id)
	return CommitResult{}, ctx.Err()
}

// AwaitFreshSample waits for a sample whose probes were all sent after the
// event with sequence number after. It returns ctx.Err() if ctx ends first.
func (m *Monitor) AwaitFreshSample(ctx context.Context, after uint64) (Sample, error) {
	var sample Sample
	err := m.Await(ctx, func(g *Group) bool {
		var ok bool
		sample, ok = g.FreshSample(after)
		return ok
	})
	return sample, err
}

// Await probes the databases until condition holds. It returns ctx.Err() if ctx
// ends first. The condition runs under the monitor's lock.
func (m *Monitor) Await(ctx context.Context, condition func(*Group) bool) error {
	for {
		m.mu.Lock()
		if condition(m.group) {
			m.mu.Unlock()
			return nil
		}
		changed := m.changed
		m.changeWaiters++
		m.refreshLocked()
		m.mu.Unlock()
		var err error
		select {
		case <-changed:
		case <-ctx.Done():
			err = ctx.Err()
		}
		m.mu.Lock()
		m.changeWaiters--
		m.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// Close stops probing and closes the control connections.
func (m *Monitor) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	for i := range m.members {
		if err := m.members[i].operations.Close(); err != nil {
			m.log.Debug("failed to close control connection", zap.Error(err))
		}
	}
}
