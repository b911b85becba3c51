package database

import (
	"context"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Operations are the group operations of one database, as the platform
// gives them.
type Operations interface {
	// Status asks for the database's word on itself.
	Status(ctx context.Context) (Status, error)
	// Fence makes the database refuse all terms before term. It fails with a
	// *RefusedError unless term is greater than any that it has seen.
	Fence(ctx context.Context, term uint64, owner string) (Status, error)
	// Promote makes the database primary of the term it is fenced for.
	Promote(ctx context.Context, term uint64, owner string) (Status, error)
	// Follow makes the database a replica of primary.
	Follow(ctx context.Context, term uint64, primary string) (Status, error)
	// Close ends the connection that the operations use.
	Close() error
}

// RefusedError reports a group operation that the database refused, with
// the database's status.
type RefusedError struct {
	Operation string
	Message   string
}

func (e *RefusedError) Error() string { return e.Operation + " refused: " + e.Message }

// ConnectError reports a database that refused the connection itself.
type ConnectError struct {
	Address string
	Cause   error
}

func (e *ConnectError) Error() string { return "connect to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// Sequence numbers the events of one process.
type Sequence struct{ n atomic.Uint64 }

// NewSequence returns a sequence that begins with 1.
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
	// ProbeTimeout bounds one status question.
	ProbeTimeout clock.Duration
	// SampleInterval is the time between samples while the group is in use.
	SampleInterval clock.Duration
	// IdleAfter is how long after its last use a group is sampled.
	IdleAfter clock.Duration
	// UnreachableAfter is how long a database may leave questions unanswered
	// before its connections are given up.
	UnreachableAfter clock.Duration
}

// Event is a change that a monitor has seen.
type Event interface{ event() }

// PrimaryChanged tells that another database leads a later term. From is
// negative if none was known.
type PrimaryChanged struct {
	From, To int
	Term     uint64
	// OldPrimaryResponds is set if the database that led before still answers, so that
	// what runs on it ends by itself.
	OldPrimaryResponds bool
}

// Unreachable tells that a database has left questions unanswered for too
// long.
type Unreachable struct{ Database int }

func (PrimaryChanged) event() {}
func (Unreachable) event()    {}

// member is a row of the monitor's table. It is guarded by Monitor.mu.
type memberState struct {
	operations Operations
	inFlight   bool
	probeAgain bool
	probedAt   clock.Time
	// silentSince is when the oldest unanswered question was sent, zero if
	// the last one was answered.
	unansweredSince    clock.Time
	unreachableEmitted bool
}

// Monitor keeps one proxy's knowledge of one database group up to date. Its
// mutex is taken before no other lock.
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
	// changed is closed at the next report while awaiting is positive.
	changed       chan struct{}
	changeWaiters int
	commitWaiters map[uint64]chan CommitResult
	releases      []CommitRelease
	closed        bool
}

// NewMonitor returns a monitor that asks through operations, one for each
// member.
func NewMonitor(s MonitorSettings, c clock.Clock, q *Sequence, w *Workers, operations []Operations, log *zap.Logger) *Monitor {
	m := &Monitor{
		settings: s, clock: c, sequence: q, workers: w, log: log,
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

// SetProbeHandler makes the monitor hand every probe's result to observe. It
// must be called before the monitor is used.
func (m *Monitor) SetProbeHandler(handle func(Report, error)) { m.probeHandler = handle }

// SetEventHandler makes the monitor hand its events to handle, which must not call
// back into the monitor. It must be called before the monitor is used.
func (m *Monitor) SetEventHandler(handle func(Event)) { m.eventHandler = handle }

// Members returns the group's databases.
func (m *Monitor) Members() []Member { return m.settings.Members }

// Name returns the group's name.
func (m *Monitor) Name() string { return m.settings.Group }

// MarkUsed marks the group as in use, which keeps samples coming.
func (m *Monitor) MarkUsed() { m.lastUsedAt.Store(int64(m.clock.Now())) }

// View runs f on the group's knowledge, under the monitor's lock.
func (m *Monitor) View(f func(*Group)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.group)
}

// Tick starts the periodic samples that are due.
func (m *Monitor) Tick(now clock.Time) {
	if now.Sub(clock.Time(m.lastUsedAt.Load())) > m.settings.IdleAfter {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.members {
		// A report that came with a statement saves the question.
		last, reported := m.group.Report(i)
		fresh := reported && now.Sub(last.SentAt) < m.settings.SampleInterval
		if !fresh && now.Sub(m.members[i].probedAt) >= m.settings.SampleInterval {
			m.requestProbeLocked(i)
		}
	}
}

// ProbesSent returns how many questions the monitor has sent.
func (m *Monitor) ProbesSent() uint64 { return m.probesSent.Load() }

// Refresh asks every database once more. One question serves all that asked
// for it before it is sent.
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

// RefreshReplicas asks all databases but the primary, whose own word comes
// with the statement that runs there.
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

// Probe asks one database.
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

// ask sends one status question and takes in its answer.
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

// noteSilenceLocked gives a database's connections up once it has not
// answered for too long.
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

// answersLife is how recent an answer shows that a database still answers.
const maxAnswerAge = 250 * clock.Millisecond

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

// Observe takes in a report that came by another way than a probe.
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

// CommitResult is a verdict and when it was reached.
type CommitResult struct {
	Outcome CommitOutcome
	At      clock.Time
}

// AwaitCommit waits until a commit at p may be acknowledged. It returns
// Lost if p's term ended without it, and the context's error if neither is
// known in time.
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

// AwaitFreshSample waits for a sample taken wholly after the event numbered
// after.
func (m *Monitor) AwaitFreshSample(ctx context.Context, after uint64) (Sample, error) {
	var sample Sample
	err := m.Await(ctx, func(g *Group) bool {
		var ok bool
		sample, ok = g.FreshSample(after)
		return ok
	})
	return sample, err
}

// Await waits until condition holds, asking the databases anew until then.
// The condition runs under the monitor's lock.
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

// Close ends the monitor's questions.
func (m *Monitor) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	for i := range m.members {
		if err := m.members[i].operations.Close(); err != nil {
			m.log.Debug("control connection not closed cleanly", zap.Error(err))
		}
	}
}
