package session

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Host serves the requests that other proxies pass on. Its lock is taken
// before that of a hosted transaction.
type Host struct {
	shared *Dependencies

	mu     sync.Mutex
	open   map[string]*hosted
	closed bool
	// strained is set while the process is short of processor time.
	strained bool
	running  sync.WaitGroup
}

// hosted is a transaction of a caller at another proxy.
type hosted struct {
	mu      sync.Mutex
	session *Session
	usedAt  clock.Time
}

// NewHost returns a host without transactions.
func NewHost(s *Dependencies) *Host { return &Host{shared: s, open: make(map[string]*hosted)} }

// UnknownMethodError reports a call that this host does not know.
type UnknownMethodError struct{ Method string }

func (e *UnknownMethodError) Error() string { return "unknown method " + e.Method }

// Receive implements proxy.Receiver.
func (h *Host) Receive(_ context.Context, method string, params json.RawMessage) (any, error) {
	if method != peer.MethodRun {
		return nil, &UnknownMethodError{Method: method}
	}
	var run peer.RunRequest
	if err := json.Unmarshal(params, &run); err != nil {
		return nil, err
	}
	operation, err := run.Operation.Decode()
	if err != nil {
		return nil, err
	}
	return h.run(&run, &statement.Request{ID: run.ID, Operation: operation}), nil
}

// run serves one request.
func (h *Host) run(run *peer.RunRequest, r *statement.Request) *peer.RunResponse {
	h.mu.Lock()
	key := run.Session + "/" + strconv.FormatUint(run.Transaction, 10)
	t := h.open[key]
	if t == nil && (h.closed || h.strained || run.Transaction != 0 && run.Begin == nil) {
		h.mu.Unlock()
		return absent(run)
	}
	if t == nil {
		t = &hosted{session: h.newSession(run)}
		if run.Transaction != 0 {
			h.open[key] = t
		}
	}
	h.running.Add(1)
	h.mu.Unlock()
	defer h.running.Done()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.session
	s.arrived = h.shared.Clock.Now()
	if run.Begin != nil && s.tx == nil {
		s.tx = &transaction{route: s.fixed, id: run.Begin.ID, readOnly: run.Begin.ReadOnly, arrived: s.arrived, placed: true}
	}
	if p := run.Prepared; p != nil {
		s.prepared[p.Name] = statement.Prepare{Name: p.Name, Writes: p.Writes, Shape: p.Shape}
	}
	s.serve(r)
	s.route = nil
	if f := s.answer.Failure; f != nil {
		h.shared.Log.Info("request of another proxy failed", append(s.beliefs(run.Group), zap.String("request", r.ID),
			zap.String("session", run.Session), zap.String("group", run.Group), zap.Stringer("code", f.Code), zap.String("cause", f.Text))...)
	}
	t.usedAt = h.shared.Clock.Now()
	if run.Transaction != 0 && s.tx == nil {
		h.mu.Lock()
		delete(h.open, key)
		h.mu.Unlock()
	}
	ran := result(s)
	if h.shared.Homes != nil {
		ran.Unreachable = h.shared.Homes.Unreachable(run.Group)
	}
	return ran
}

// absent answers for a host that is leaving, or that does not have the
// transaction: it has been rolled back.
func absent(run *peer.RunRequest) *peer.RunResponse {
	if run.Transaction == 0 || run.Begin != nil {
		return &peer.RunResponse{Refused: true}
	}
	return &peer.RunResponse{Failed: true, Code: statement.CodeAborted, Text: "the transaction was rolled back at its home", State: statement.Failed}
}

func result(s *Session) *peer.RunResponse {
	a := &s.answer
	ran := &peer.RunResponse{Rows: slices.Clone(a.Rows), Signature: slices.Clone(a.Signature), State: a.State, Position: a.Position, Floor: s.floor}
	if f := a.Failure; f != nil {
		ran.Failed, ran.Code, ran.Text = true, f.Code, f.Text
	}
	return ran
}

// newSession returns a session with what the caller's brings along.
func (h *Host) newSession(run *peer.RunRequest) *Session {
	s := New(h.shared, 0, nil)
	s.floor = run.Floor
	for _, v := range run.Values {
		s.set(v)
	}
	s.fixed = &routes.Route{
		Name: run.Route, Group: run.Group, Consistency: run.Consistency, Timeout: run.Timeout,
		TargetLatency: run.TargetLatency, Priority: run.Priority, MaxAge: run.MaxAge,
	}
	return s
}

// hostedIdle is how long a hosted transaction may rest. The caller's proxy
// ends it sooner; this is for proxies that have gone.
const hostedIdle = 5 * clock.Second

// Sweep rolls back transactions whose proxies have gone.
func (h *Host) Sweep(now clock.Time) {
	h.mu.Lock()
	var old []*hosted
	for key, t := range h.open {
		if t.mu.TryLock() {
			if t.usedAt != 0 && now.Sub(t.usedAt) >= hostedIdle {
				old = append(old, t)
				delete(h.open, key)
			}
			t.mu.Unlock()
		}
	}
	h.mu.Unlock()
	h.abandon(old)
}

func (h *Host) abandon(list []*hosted) {
	for _, t := range list {
		t.mu.Lock()
		t.session.abandon()
		t.mu.Unlock()
	}
	if len(list) > 0 {
		h.shared.Log.Info("hosted transactions rolled back", zap.Int("count", len(list)))
	}
}

// StopAccepting makes the host take no new requests. Open transactions go on.
func (h *Host) StopAccepting() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
}

// SetOverloaded makes the host take no new requests for a while, or take them
// again. Open transactions go on.
func (h *Host) SetOverloaded(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.strained = on
}

// Len returns how many transactions are open.
func (h *Host) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.open)
}
