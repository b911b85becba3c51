package session

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Host serves requests that other proxies forward to this one. Its lock may be
// acquired while the lock of a hosted transaction is held. In the opposite order
// the transaction's lock is only tried, never waited for.
type Host struct {
	deps *Dependencies

	mu           sync.Mutex
	transactions map[string]*hostedTx
	// rolledBack has the times of rollbacks that arrived ahead of their transactions.
	rolledBack map[string]clock.Time
	// senders has the processes that have forwarded requests, by their names.
	senders map[string]*sender
	stopped bool
	// overloaded is set while the process is short of CPU time.
	overloaded bool
	// running is the number of requests in progress.
	running int
}

// hostedTx is a transaction of a caller that is connected to another proxy.
type hostedTx struct {
	mu      sync.Mutex
	session *Session
	// sender is the name of the process that has begun the transaction.
	sender string
	// beginID is the request ID of the caller's BEGIN.
	beginID string
	// usedAt is when the last request ended. It is zero before that.
	usedAt clock.Time
}

// idleSince returns when the last request of the transaction ended. It returns false if a
// request waits or runs.
func (t *hostedTx) idleSince() (clock.Time, bool) {
	if !t.mu.TryLock() {
		return 0, false
	}
	defer t.mu.Unlock()
	return t.usedAt, t.usedAt != 0
}

// NewHost returns a Host without open transactions.
func NewHost(d *Dependencies) *Host {
	return &Host{deps: d, transactions: make(map[string]*hostedTx), rolledBack: make(map[string]clock.Time), senders: make(map[string]*sender)}
}

// UnknownMethodError reports a call of a method that Host does not implement.
type UnknownMethodError struct{ Method string }

func (e *UnknownMethodError) Error() string { return "unknown method " + e.Method }

// Receive implements proxy.Receiver. It runs a peer.RunRequest and returns a
// *peer.RunResponse. It returns an *UnknownMethodError for any other method,
// and an error if the request cannot be decoded.
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
	h.forgetSender(senderOf(run.Session))
	return h.run(&run, &statement.Request{ID: run.ID, Operation: operation}), nil
}

// Run implements proxy.Receiver. It runs the peer.RunRequest of a frame and returns
// a *peer.RunResponse. It returns a *proxy.DecodeError if the request cannot be
// decoded.
func (h *Host) Run(ctx context.Context, request []byte) (msgp.Marshaler, error) {
	var run peer.RunRequest
	rest, err := run.UnmarshalMsg(request)
	if err == nil && len(rest) > 0 {
		err = errTrailing
	}
	if err != nil {
		return nil, &proxy.DecodeError{Cause: err}
	}
	operation, err := run.Operation.Decode()
	if err != nil {
		return nil, err
	}
	h.recordSender(ctx, senderOf(run.Session))
	return h.run(&run, &statement.Request{ID: run.ID, Operation: operation}), nil
}

var errTrailing = errors.New("bytes after the end of the request")

// run serves a request, in its hosted transaction if it belongs to one.
func (h *Host) run(run *peer.RunRequest, r *statement.Request) *peer.RunResponse {
	var key string
	if run.Transaction != 0 {
		key = run.Session + "/" + strconv.FormatUint(run.Transaction, 10)
	}
	h.mu.Lock()
	var t, removed *hostedTx
	if run.Transaction != 0 {
		t = h.transactions[key]
	}
	if t != nil && run.Begin != nil && run.Begin.ID != t.beginID {
		// An earlier build names its sessions anew after a restart. The open
		// transaction is of a process that is gone.
		t, removed = nil, t
		delete(h.transactions, key)
	}
	_, rollback := r.Operation.(statement.Rollback)
	if rollback && t != nil {
		if _, idle := t.idleSince(); !idle {
			delete(h.transactions, key)
			h.mu.Unlock()
			h.rollbackRemoved(t)
			return &peer.RunResponse{}
		}
	}
	if rollback && t == nil && run.Transaction != 0 && len(h.rolledBack) < maxEarlyRollbacks {
		h.rolledBack[key] = h.deps.Clock.Now()
	}
	_, ended := h.rolledBack[key]
	if t == nil && (h.stopped || h.overloaded || ended || run.Transaction != 0 && run.Begin == nil) {
		h.mu.Unlock()
		h.rollbackRemoved(removed)
		return notRunResponse(run)
	}
	if t == nil {
		t = h.newHostedTx(run)
		if run.Transaction != 0 {
			h.transactions[key] = t
		}
	}
	h.running++
	h.mu.Unlock()
	defer h.endRequest()
	h.rollbackRemoved(removed)
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.session
	if run.Transaction != 0 && run.Begin == nil && s.tx == nil {
		// The transaction ended while the request waited.
		return notRunResponse(run)
	}
	s.arrived = h.deps.Clock.Now()
	// The rest of the route is that of the first statement.
	s.hostedRoute.Timeout = run.Timeout
	// Should the request panic, Sweep still ends the transaction.
	t.usedAt = s.arrived
	if run.Begin != nil && s.tx == nil {
		s.tx = &transaction{route: s.hostedRoute, id: run.Begin.ID, workspace: run.Workspace, readOnly: run.Begin.ReadOnly, arrived: s.arrived, begun: true}
	}
	if p := run.Prepared; p != nil {
		s.prepare(statement.Prepare{Name: p.Name, Writes: p.Writes, Shape: p.Shape})
	} else if e, ok := r.Operation.(statement.Execute); ok {
		// The session may have deallocated it since.
		delete(s.prepared, e.Name)
	}
	s.token = token{reserved: run.Reserve}
	s.answerWithin = run.AnswerWithin
	s.serve(r)
	s.route = nil
	if run.Begin != nil && s.limited != nil && s.tx != nil && s.tx.conn == nil {
		// Nothing ran, and the first statement may be sent again.
		s.tx = nil
	}
	if f := s.answer.Failure; f != nil && s.limited == nil {
		fields := append(s.callerFields(run.Workspace), s.groupFields(run.Group)...)
		fields = append(fields, s.failureFields()...)
		h.deps.Log.Info("forwarded request failed", append(fields, zap.String("group", run.Group), zap.Stringer("code", f.Code), zap.String("cause", f.Text))...)
	}
	t.usedAt = h.deps.Clock.Now()
	if run.Transaction != 0 {
		h.endRemoved(key, t)
	}
	response := newRunResponse(s, run.Transaction == 0)
	if h.deps.Homes != nil {
		response.Unreachable = h.deps.Homes.Unreachable(run.Group)
	}
	return response
}

// endRemoved removes a transaction that has ended, and rolls back one that was removed
// while a request of it waited or ran: nothing else would end it. The caller holds t.mu.
func (h *Host) endRemoved(key string, t *hostedTx) {
	s := t.session
	h.mu.Lock()
	held := h.transactions[key] == t
	if held && s.tx == nil {
		delete(h.transactions, key)
	}
	h.mu.Unlock()
	if held || s.tx == nil {
		return
	}
	s.rollbackOpen()
	s.fail(statement.CodeAborted, textRolledBack)
	s.answer.State = statement.Failed
}

// textRolledBack is the text of the failure of a request whose transaction the home has
// rolled back.
const textRolledBack = "the transaction was rolled back at its home"

func (h *Host) endRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
}

// notRunResponse returns the response for a request that cannot run here. A
// stopped or overloaded host refuses a new request, so that it can be sent to
// another home. A request of an unknown transaction fails, because the
// transaction has been rolled back.
func notRunResponse(run *peer.RunRequest) *peer.RunResponse {
	if run.Transaction == 0 || run.Begin != nil {
		return &peer.RunResponse{Refused: true}
	}
	return &peer.RunResponse{Failed: true, Code: statement.CodeAborted, Text: textRolledBack, State: statement.Failed}
}

// newRunResponse returns the response with the answer of a session. last is set if the
// session serves no other request, which would reuse the buffers of the answer.
func newRunResponse(s *Session, last bool) *peer.RunResponse {
	a := &s.answer
	response := &peer.RunResponse{Rows: a.Rows, Signature: a.Signature, State: a.State, Position: peer.Position(a.Position), Floor: peer.Position(s.floor)}
	if !last {
		response.Rows, response.Signature = slices.Clone(a.Rows), slices.Clone(a.Signature)
	}
	response.NoGrant = s.limited != nil && s.limited.Silent
	if f := a.Failure; f != nil {
		response.Failed, response.Code, response.Text = true, f.Code, f.Text
	}
	return response
}

// newHostedTx returns a session with the state and the route that were sent with
// the request.
func (h *Host) newHostedTx(run *peer.RunRequest) *hostedTx {
	// One allocation for all.
	var hosted struct {
		hostedTx
		served Session
		route  routes.Route
	}
	s := &hosted.served
	hosted.session, s.Dependencies = s, h.deps
	hosted.sender = senderOf(run.Session)
	if run.Begin != nil {
		hosted.beginID = run.Begin.ID
	}
	s.floor, s.workspace, s.origin = position.Position(run.Floor), run.Workspace, run.Session
	for _, v := range run.Values {
		s.setValue(v)
	}
	s.hostedRoute = &hosted.route
	hosted.route = routes.Route{
		Name: run.Route, Group: run.Group, Consistency: run.Consistency, Timeout: run.Timeout,
		TargetLatency: run.TargetLatency, Priority: run.Priority, MaxAge: run.MaxAge,
	}
	return &hosted.hostedTx
}

// hostedIdleTimeout is how long a hosted transaction may be idle. The caller's
// proxy ends an idle transaction sooner; this covers proxies that are gone without
// closing their connections.
const hostedIdleTimeout = 5 * clock.Second

// maxEarlyRollbacks is the maximum number of rollbacks that are remembered for transactions
// that have not arrived.
const maxEarlyRollbacks = 4096

// Sweep rolls back the transactions whose proxies are gone: those that have been idle
// for hostedIdleTimeout, and those of processes that have been without a connection to
// this one for reconnectTimeout.
func (h *Host) Sweep(now clock.Time) {
	h.mu.Lock()
	gone := h.goneLocked(now)
	var expired []*hostedTx
	var busy []string
	for key, t := range h.transactions {
		at, idle := t.idleSince()
		switch {
		case !idle:
			busy = append(busy, t.sender)
		case now.Sub(at) >= hostedIdleTimeout || gone[t.sender]:
			expired = append(expired, t)
			delete(h.transactions, key)
		}
	}
	maps.DeleteFunc(h.rolledBack, func(_ string, at clock.Time) bool { return now.Sub(at) >= hostedIdleTimeout })
	for name := range gone {
		// A later sweep finds the busy transactions.
		if !slices.Contains(busy, name) {
			delete(h.senders, name)
		}
	}
	h.mu.Unlock()
	h.rollbackAll(expired)
}

// rollbackRemoved rolls back a transaction that was removed, if any. It does not wait for
// a request that still runs in it.
func (h *Host) rollbackRemoved(t *hostedTx) {
	if t != nil {
		go contain.Run(h.deps.Log, "rollback", func() { h.rollbackAll([]*hostedTx{t}) })
	}
}

func (h *Host) rollbackAll(list []*hostedTx) {
	for _, t := range list {
		t.mu.Lock()
		t.session.rollbackOpen()
		t.mu.Unlock()
	}
	if len(list) > 0 {
		h.deps.Log.Info("hosted transactions rolled back", zap.Int("count", len(list)))
	}
}

// StopAccepting makes the host refuse new requests for good. Open transactions
// continue.
func (h *Host) StopAccepting() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
}

// SetOverloaded makes the host refuse new requests while on is set. Open
// transactions continue.
func (h *Host) SetOverloaded(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.overloaded = on
}

// Len returns the number of open transactions and requests in progress, a request
// in a transaction counting twice.
func (h *Host) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.transactions) + h.running
}
