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

// Decision is one routing decision, for logs and metrics.
type Decision struct {
	Group string
	// Database is the name of the database or home proxy, "" for none.
	Database string
	Reason   database.Reason
	// Waited is the time since the request began.
	Waited clock.Duration
	Kind   Kind
	// Outcome is "answered", "failed", "refused" or "unknown".
	Outcome string
	// MaxAgeSet is set for a read with a maximum age.
	MaxAgeSet bool
}

// Groups provides the database groups of the current configuration.
type Groups interface {
	// Serving returns a group by name, or nil if it is not declared.
	Serving(group string) *database.ServedGroup
}

// Handler serves the requests of caller sessions.
type Handler struct {
	groups   Groups
	clock    clock.Clock
	sequence *process.Sequence
	log      *zap.Logger
	record   func(Decision)
}

// Option configures a Handler.
type Option func(*Handler)

// WithRecorder returns an option that passes every decision to record.
func WithRecorder(record func(Decision)) Option { return func(h *Handler) { h.record = record } }

// NewHandler returns a handler that serves groups.
func NewHandler(g Groups, c clock.Clock, q *process.Sequence, log *zap.Logger, options ...Option) *Handler {
	h := &Handler{groups: g, clock: c, sequence: q, log: log, record: func(Decision) {}}
	for _, o := range options {
		o(h)
	}
	return h
}

// worker serves the requests of one session, one after the other.
type worker struct {
	*Handler
	session *caller.Session
	batch   batch
	x       exchange
	// txGroup is the group as configured when the open transaction began.
	txGroup *database.ServedGroup
	// gate is the gate that a running write or transaction has entered, nil for
	// none.
	gate *database.Gate
	// skipUntilSync is set after an error: messages are dropped until Sync.
	skipUntilSync bool
	// awaitingSync is set between a Flush and the Sync that ends its batch.
	awaitingSync bool
}

// Serve handles the session's messages until the caller disconnects or violates
// the protocol, or until the session is drained.
func (h *Handler) Serve(s *caller.Session) error {
	w := &worker{Handler: h, session: s}
	w.batch.runLocal = w.runLocal
	defer w.abandonTransaction()
	for {
		msg, err := s.Receive()
		if err != nil {
			return w.handleReceiveError(err)
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return nil
		}
		if !s.BeginRequest() {
			return w.sendShutdownError()
		}
		if err := w.handle(msg); err != nil {
			return err
		}
		if len(w.batch.steps) > 0 {
			continue
		}
		if !s.EndRequest() {
			return w.sendShutdownError()
		}
	}
}

// handleReceiveError ends the session after a failed Receive. It tells the
// caller the reason unless the connection is lost.
func (w *worker) handleReceiveError(err error) error {
	if w.session.Draining() {
		return w.sendShutdownError()
	}
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network) {
		return nil
	}
	w.sendError("FATAL", outcome.CodeProtocol, "invalid message: "+err.Error(), "")
	return err
}

// sendShutdownError tells the caller that the proxy is shutting down.
func (w *worker) sendShutdownError() error {
	w.sendError("FATAL", outcome.CodeShutdown, "this proxy is leaving; connect again", "outcome=refused: the request did not run")
	return nil
}

func (w *worker) sendError(severity, code, message, detail string) {
	w.session.Backend.Send(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: code, Message: caller.ErrorText(message), Detail: detail,
	})
	_ = w.session.Backend.Flush()
}

// handle processes one message of the caller. It returns an error if the
// session cannot continue.
func (w *worker) handle(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		w.batch.reset()
		w.batch.mergeKind(m.String)
		if _, err := w.batch.encode(stepQuery, m); err != nil {
			return w.refuseBatch(err, true)
		}
		w.batch.runsStatement = true
		return w.serveBatch()
	case *pgproto3.Sync:
		return w.sync()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Left over from a COPY that failed; PostgreSQL drops them too.
		return nil
	}
	if w.skipUntilSync {
		return nil
	}
	if err := w.addMessage(msg); err != nil {
		return w.refuseBatch(err, false)
	}
	return nil
}

// sync adds a Sync to the batch and serves it.
func (w *worker) sync() error {
	w.skipUntilSync = false
	if len(w.batch.steps) == 0 && !w.awaitingSync {
		w.batch.reset()
	}
	if _, err := w.batch.encode(stepSync, &pgproto3.Sync{}); err != nil {
		return err
	}
	return w.serveBatch()
}

// addMessage adds one message of the extended protocol to the batch. A Flush
// serves the batch.
func (w *worker) addMessage(msg pgproto3.FrontendMessage) error {
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

// refuseBatch answers the batch with an error, and with ReadyForQuery if
// simple is set or the batch expects it. Otherwise messages are dropped until
// Sync. err is a *caller.ProtocolError, a *TagError or an *outcome.Error; any
// other error is returned and ends the session.
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
	sendReady := simple || w.expectsReady()
	w.batch.reset()
	w.session.Backend.Send(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: caller.ErrorText(err.Error()), Detail: detail,
	})
	if sendReady {
		w.session.Backend.Send(&pgproto3.ReadyForQuery{TxStatus: w.transactionStatus()})
	} else {
		w.skipUntilSync = true
	}
	return w.session.Backend.Flush()
}

// expectsReady reports whether the batch's answer ends with ReadyForQuery.
func (w *worker) expectsReady() bool {
	n := len(w.batch.steps)
	return n > 0 && (w.batch.steps[n-1].kind == stepSync || w.batch.steps[0].kind == stepQuery)
}

// transactionStatus returns the status that ReadyForQuery reports.
func (w *worker) transactionStatus() byte {
	if w.session.Transaction != nil && !w.awaitingSync {
		return 'T'
	}
	return 'I'
}

// serveBatch answers the gathered messages and empties the batch.
func (w *worker) serveBatch() error {
	err := w.dispatch()
	w.x.releaseBuffers()
	if !w.awaitingSync {
		w.batch.portals = closePortals(w.batch.portals, w.session.Transaction != nil)
	}
	w.batch.reset()
	return err
}

// closePortals removes all portals unless an open transaction keeps them.
func closePortals(portals map[string]portalTarget, open bool) map[string]portalTarget {
	if open {
		return portals
	}
	clear(portals)
	return portals
}

// dispatch answers the batch locally, runs it in the open transaction, or
// routes it.
func (w *worker) dispatch() error {
	b := &w.batch
	local := b.steps[0].kind == stepQuery && isLocal(b.kind)
	if local && (w.session.Transaction == nil || isProxySetting(b.query)) {
		return w.answerLocalQuery()
	}
	if b.onlyLocal() && !w.awaitingSync {
		return w.answerLocalBatch()
	}
	if w.session.Transaction != nil {
		return w.runInTransaction()
	}
	if b.kind == KindSessionBound {
		return w.refuseBatch(&caller.ProtocolError{
			Code:    outcome.CodeUnsupported,
			Message: "this statement needs state bound to one database connection, which pooled connections do not keep",
		}, b.steps[0].kind == stepQuery)
	}
	return w.runOutsideTransaction()
}

func (w *worker) answerLocalQuery() error {
	query := w.batch.query
	replies, err := w.runLocal(query)
	if err != nil && w.session.Forwarded {
		// Without the context that another proxy sent, it is unknown which
		// session the following requests belong to.
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

// abandonTransaction closes the connection of an open transaction, which rolls
// the transaction back.
func (w *worker) abandonTransaction() {
	if held := w.session.Transaction; held != nil {
		held.Conn.StateUnknown = true
		held.Pool.Release(held.Conn)
		w.session.Transaction = nil
	}
	w.leaveGate()
}
