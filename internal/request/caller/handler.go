package caller

import (
	"io"
	"net"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/caller"
	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

// Decision is one routing decision, for logs and counters.
type Decision struct {
	Group    string
	Database string
	Reason   database.Reason
	Waited   clock.Duration
	Kind     Kind
	Outcome  string
	// Declared is set for a read with a stated age.
	Declared bool
}

// Groups finds the group that a request is for, as the configuration in
// force serves it.
type Groups interface {
	Serving(group string) *database.Serving
}

// Handler serves the requests of caller sessions.
type Handler struct {
	groups   Groups
	clock    clock.Clock
	sequence *process.Sequence
	log      *zap.Logger
	record   func(Decision)
}

// Option changes a Handler at its construction.
type Option func(*Handler)

// WithRecorder hands every decision to record.
func WithRecorder(record func(Decision)) Option { return func(h *Handler) { h.record = record } }

// NewHandler returns a handler that serves groups.
func NewHandler(g Groups, c clock.Clock, q *process.Sequence, log *zap.Logger, options ...Option) *Handler {
	h := &Handler{groups: g, clock: c, sequence: q, log: log, record: func(Decision) {}}
	for _, o := range options {
		o(h)
	}
	return h
}

// worker serves the requests of one session in turn.
type worker struct {
	*Handler
	session *caller.Session
	batch   batch
	x       exchange
	// heldServing is the group as it served the open transaction's beginning.
	heldServing *database.Serving
	// gate is the one that a running write or transaction has passed.
	gate *database.Gate
	// skipping drops messages after an error until Sync.
	skipping bool
	// midBatch is set while a Flush has been served and its Sync is awaited.
	midBatch bool
}

// Serve runs the session until its caller leaves or breaks the protocol, or
// the session is told to leave.
func (h *Handler) Serve(s *caller.Session) error {
	w := &worker{Handler: h, session: s}
	w.batch.runLocal = w.runLocal
	defer w.abandonTransaction()
	for {
		msg, err := s.Backend.Receive()
		if err != nil {
			return w.endOfSession(err)
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return nil
		}
		if !s.BeginRequest() {
			return w.sayLeaving()
		}
		if err := w.handle(msg); err != nil {
			return err
		}
		if len(w.batch.steps) > 0 {
			continue
		}
		if !s.EndRequest() {
			return w.sayLeaving()
		}
	}
}

// endOfSession explains why the session ended, as far as the caller can be
// told.
func (w *worker) endOfSession(err error) error {
	if w.session.Draining() {
		return w.sayLeaving()
	}
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network) {
		return nil
	}
	w.sendError("FATAL", outcome.CodeProtocol, "invalid message: "+err.Error(), "")
	return err
}

func (w *worker) sayLeaving() error {
	w.sendError("FATAL", outcome.CodeShutdown, "this proxy is leaving; connect again", "outcome=refused: the request did not run")
	return nil
}

func (w *worker) sendError(severity, code, message, detail string) {
	w.session.Backend.Send(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: code, Message: message, Detail: detail,
	})
	_ = w.session.Backend.Flush()
}

// handle takes one message of the caller. It returns an error if the
// session cannot go on.
func (w *worker) handle(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		w.batch.reset()
		w.batch.note(m.String)
		if _, err := w.batch.encode(stepQuery, m); err != nil {
			return w.refuseBatch(err, true)
		}
		w.batch.executed = true
		return w.serveBatch()
	case *pgproto3.Sync:
		return w.sync()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Left over from a COPY that failed; PostgreSQL drops them too.
		return nil
	}
	if w.skipping {
		return nil
	}
	if err := w.gather(msg); err != nil {
		return w.refuseBatch(err, false)
	}
	return nil
}

func (w *worker) sync() error {
	w.skipping = false
	if len(w.batch.steps) == 0 && !w.midBatch {
		w.batch.reset()
	}
	if _, err := w.batch.encode(stepSync, &pgproto3.Sync{}); err != nil {
		return err
	}
	return w.serveBatch()
}

// gather adds one extended message to the batch.
func (w *worker) gather(msg pgproto3.FrontendMessage) error {
	b, s := &w.batch, w.session
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return b.addParse(s, m)
	case *pgproto3.Bind:
		return b.addBind(s, m)
	case *pgproto3.Describe:
		return b.addDescribe(s, m)
	case *pgproto3.Execute:
		return b.addExecute(m)
	case *pgproto3.Close:
		return b.addClose(s, m)
	case *pgproto3.Flush:
		if len(b.steps) == 0 {
			return nil
		}
		if _, err := b.encode(stepFlush, m); err != nil {
			return err
		}
		return w.serveBatch()
	case *pgproto3.FunctionCall:
		return &caller.ProtocolError{Code: outcome.CodeUnsupported, Message: "function calls by protocol message are not served; use SELECT"}
	}
	return &caller.ProtocolError{Code: outcome.CodeProtocol, Message: "unexpected message in the extended protocol"}
}

// refuseBatch answers a batch that cannot be sent. Extended messages are
// then dropped until Sync.
func (w *worker) refuseBatch(err error, simple bool) error {
	var protocol *caller.ProtocolError
	var tag *TagError
	var refused *outcome.Error
	code, detail := outcome.CodeProtocol, outcome.NewRefused("", "").Detail()
	switch {
	case errors.As(err, &protocol):
		code = protocol.Code
	case errors.As(err, &tag):
		code = tag.Code()
	case errors.As(err, &refused):
		if refused.Kind == outcome.Refused && w.session.EndWait() {
			refused = errCancelled
			err = errCancelled
		}
		code, detail = refused.Code, refused.Detail()
	default:
		return err
	}
	ended := simple || w.batchEnds()
	w.batch.reset()
	w.session.Backend.Send(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: err.Error(), Detail: detail,
	})
	if ended {
		w.session.Backend.Send(&pgproto3.ReadyForQuery{TxStatus: w.transactionStatus()})
	} else {
		w.skipping = true
	}
	return w.session.Backend.Flush()
}

// batchEnds reports whether the batch is one that ReadyForQuery answers.
func (w *worker) batchEnds() bool {
	n := len(w.batch.steps)
	return n > 0 && (w.batch.steps[n-1].kind == stepSync || w.batch.steps[0].kind == stepQuery)
}

func (w *worker) transactionStatus() byte {
	if w.session.Transaction != nil && !w.midBatch {
		return 'T'
	}
	return 'I'
}

// serveBatch serves the gathered messages and empties the batch.
func (w *worker) serveBatch() error {
	err := w.dispatch()
	w.x.trim()
	if !w.midBatch {
		w.batch.portals = portalsAfter(w.batch.portals, w.session.Transaction != nil)
	}
	w.batch.reset()
	return err
}

// portalsAfter drops the portals that end with their transaction.
func portalsAfter(portals map[string]portalTarget, open bool) map[string]portalTarget {
	if open {
		return portals
	}
	clear(portals)
	return portals
}

func (w *worker) dispatch() error {
	b := &w.batch
	local := b.steps[0].kind == stepQuery && isLocal(b.kind)
	if local && (w.session.Transaction == nil || concernsProxy(b.query)) {
		return w.answerLocalQuery()
	}
	if b.onlyLocal() && !w.midBatch {
		return w.answerLocalBatch()
	}
	if w.session.Transaction != nil {
		return w.runHeld()
	}
	if b.kind == KindSessionBound {
		return w.refuseBatch(&caller.ProtocolError{
			Code:    outcome.CodeUnsupported,
			Message: "this statement needs state bound to one database connection, which pooled connections do not keep",
		}, b.steps[0].kind == stepQuery)
	}
	return w.runNew()
}

func (w *worker) answerLocalQuery() error {
	query := w.batch.query
	replies, err := w.runLocal(query)
	if err != nil && w.session.Forwarded {
		// What follows belongs to a session that is not known.
		w.sendError("FATAL", outcome.CodeProtocol, err.Error(), "")
		return err
	}
	if err != nil {
		return w.refuseBatch(err, true)
	}
	if strings.HasPrefix(strings.ToLower(skipComments(query)), "show") {
		replies = append(describeLocal(query), replies...)
	}
	var out []byte
	for _, m := range append(replies, &pgproto3.ReadyForQuery{TxStatus: w.transactionStatus()}) {
		if out, err = m.Encode(out); err != nil {
			return err
		}
	}
	return w.writeLocal(out)
}

func (w *worker) writeLocal(out []byte) error {
	out, err := w.withToken(out)
	if err != nil {
		return err
	}
	return w.session.Write(out)
}

func (w *worker) answerLocalBatch() error {
	var out []byte
	for i := range w.batch.steps {
		out = append(out, w.batch.steps[i].reply...)
	}
	if w.batch.steps[len(w.batch.steps)-1].kind == stepSync {
		out = append(out, 'Z', 0, 0, 0, 5, w.transactionStatus())
	}
	return w.writeLocal(out)
}

// abandonTransaction closes the connection of a transaction whose caller
// has left, which rolls it back.
func (w *worker) abandonTransaction() {
	if held := w.session.Transaction; held != nil {
		held.Conn.Doubtful = true
		held.Pool.Release(held.Conn)
		w.session.Transaction = nil
	}
	w.leaveUnlessHeld()
}
