package caller

import (
	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/oleanderflow/oleanderflow/internal/connection/caller"
	"github.com/oleanderflow/oleanderflow/internal/connection/database"
	process "github.com/oleanderflow/oleanderflow/internal/process/database"
)

const (
	// flushThreshold is the length at which the gathered answer is sent to the
	// caller, in bytes.
	flushThreshold = 32 << 10
	// maxPrepared limits the statements prepared on one connection.
	maxPrepared = 512
	// codeReadOnly is the SQLSTATE of a write refused in a read-only state.
	codeReadOnly = "25006"
	// settingsUnknown marks a connection whose settings must be reset.
	settingsUnknown = "?"
	// messageHeaderSize is the length of a message's type and length fields, in
	// bytes.
	messageHeaderSize = 5
	// readySize is the encoded length of ReadyForQuery, in bytes.
	readySize = 6
)

// phase is a part of an exchange that ends with ReadyForQuery.
type phase uint8

const (
	phaseSettings phase = iota
	phaseBefore
	phaseLedger
	phaseBatch
	phaseAfter
	phaseCount
)

// tokenParameter is the parameter status that carries a session's token.
const tokenParameter = "oleanderflow.token"

// errDropped is returned for an answer or a commit that failed verification.
var errDropped = errors.New("answer dropped")

// expectedReply is a reply that the database has yet to send, or that the
// proxy sends in its place.
type expectedReply struct {
	kind      byte
	statement string
	// suppress is set for a reply that is not relayed because the caller did not
	// ask for it.
	suppress bool
	reply    []byte
}

// exchange sends one batch on one connection and relays its answer. It is
// reused for all requests of a session.
type exchange struct {
	session *caller.Session
	conn    *database.Conn
	batch   *batch

	// out is the part of the answer that has not been sent to the caller.
	out []byte
	// request is the encoded request to the database.
	request []byte
	// queue holds the replies to the batch in order, and next is the index of the
	// first one that is outstanding.
	queue []expectedReply
	next  int
	// phases is set for each phase that is part of the exchange.
	phases [phaseCount]bool
	// settingsSize is the length of the part of request that applies the session's
	// settings, zero if the connection has them.
	settingsSize int

	// holdFrom is the offset in out of the part that waits for the commit's
	// confirmation, or -1. Unless it is -1, nothing more is flushed.
	holdFrom int
	// verify is called before the first byte is sent to the caller. If it fails,
	// the answer is dropped.
	verify   func() error
	verified bool
	dropped  bool
	flushed  bool

	// before and after are the statuses queried before and after the batch.
	before, after process.Status
	hasBefore     bool
	hasAfter      bool
	sent          bool
	// failedCode is the SQLSTATE of the batch's error, "" for none.
	failedCode string
	// wrote is set if the batch may have written, judging by its command tags.
	wrote bool
	// txStatus is the transaction status after the batch.
	txStatus byte
	// awaitingSync is set if the batch ends with a Flush.
	awaitingSync bool
	copyIn       bool
	// callerErr is the error of the connection to the caller.
	callerErr error
	// ledgerCode is the SQLSTATE of the ledger's error, "" for none.
	ledgerCode string
	// settingsError is the error that applying the settings ended with, nil for none.
	settingsError *settingsError
	// own is the answer to the proxy's own query in the current phase.
	own ownAnswer
	// completed is the number of statements of a simple query that are answered.
	completed int
	// token is the session's token as reported by a home proxy.
	token string
	// recording collects the answer for the ledger, if not nil.
	recording *recordedAnswer
}

// lostError reports a database connection that failed during an exchange.
type lostError struct {
	cause error
	// sent is set if the database may have run the request.
	sent bool
}

func (e *lostError) Error() string { return "database connection lost: " + e.cause.Error() }

// settingsError reports that the session's settings could not be applied to a
// connection. Nothing of the batch has run.
type settingsError struct{ Code, Message string }

func (e *settingsError) Error() string {
	return "cannot apply the session's settings: " + e.Message + " (SQLSTATE " + e.Code + ")"
}

func (x *exchange) prepare(s *caller.Session, c *database.Conn, b *batch) {
	x.session, x.conn, x.batch = s, c, b
	x.out, x.request, x.queue = x.out[:0], x.request[:0], x.queue[:0]
	x.next, x.holdFrom = 0, -1
	x.phases = [phaseCount]bool{}
	x.verify, x.verified, x.dropped, x.flushed = nil, false, false, false
	x.hasBefore, x.hasAfter, x.sent = false, false, false
	x.failedCode, x.wrote, x.txStatus = "", false, 0
	x.awaitingSync, x.copyIn, x.callerErr = false, false, nil
	x.ledgerCode, x.recording, x.token = "", nil, ""
	x.settingsSize, x.settingsError = 0, nil
	x.own, x.completed = ownAnswer{}, 0
}

// releaseBuffers frees large buffers after a request.
func (x *exchange) releaseBuffers() {
	if cap(x.out) > 1<<16 {
		x.out = nil
	}
	if cap(x.request) > 1<<16 {
		x.request = nil
	}
	x.conn, x.session, x.verify = nil, nil, nil
}

var parseComplete = []byte{'1', 0, 0, 0, 4}

// run sends the request and relays the whole answer. It returns a *lostError
// if the connection failed, and a *settingsError if the batch was not sent.
func (x *exchange) run() error {
	if x.session.Transaction != nil && !x.conn.Idle() {
		return x.connLost(errUnread)
	}
	if err := x.applySettings(); err != nil {
		return err
	}
	if err := x.conn.Write(x.request[x.settingsSize:]); err != nil {
		// Part of the request may have arrived.
		x.sent = true
		return x.connLost(err)
	}
	x.sent = true
	for p := range phaseCount {
		if !x.phases[p] {
			if p == phaseBatch && x.awaitingSync {
				if err := x.relayUntilAnswered(); err != nil {
					return err
				}
			}
			continue
		}
		if err := x.runPhase(p); err != nil {
			return err
		}
	}
	if !x.conn.Settled() {
		return x.connLost(errUnread)
	}
	return nil
}

// applySettings applies the session's settings unless the connection has them. The
// batch is not sent before the answer, since it would run with other settings if this
// fails.
func (x *exchange) applySettings() error {
	if x.settingsSize == 0 {
		return nil
	}
	if err := x.conn.Write(x.request[:x.settingsSize]); err != nil {
		return x.connLost(err)
	}
	x.phases[phaseSettings] = false
	if err := x.runPhase(phaseSettings); err != nil {
		return err
	}
	if x.settingsError != nil {
		x.conn.StateUnknown = true
		return x.settingsError
	}
	if !x.conn.Idle() {
		return x.connLost(errUnread)
	}
	return nil
}

// connLost returns a *lostError and has the connection closed on release.
func (x *exchange) connLost(err error) error {
	x.conn.StateUnknown = true
	return &lostError{cause: err, sent: x.sent}
}

func (x *exchange) runPhase(p phase) error {
	if p == phaseBatch {
		x.appendLocalReplies()
	}
	x.own = ownAnswer{}
	for {
		msg, err := x.conn.Receive()
		if err != nil {
			return x.connLost(err)
		}
		done, err := x.handleMessage(p, msg)
		if err != nil {
			return err
		}
		if done {
			return nil
		}
	}
}

// handleMessage handles one message of the database. It returns true at the
// end of the phase.
func (x *exchange) handleMessage(p phase, msg pgproto3.BackendMessage) (bool, error) {
	switch m := msg.(type) {
	case *pgproto3.ParameterStatus:
		switch {
		case m.Name == tokenParameter:
			x.token = m.Value
		case p == phaseBatch:
			// Some statement, such as a call of set_config, has changed a setting.
			x.conn.SettingsChanged = true
		}
		return false, nil
	case *pgproto3.NotificationResponse:
		return false, nil
	case *pgproto3.ReadyForQuery:
		if !knownStatus(m.TxStatus) {
			return false, x.connLost(errors.Errorf("unknown transaction status %q", m.TxStatus))
		}
		x.conn.InTransaction = m.TxStatus != 'I'
		if p == phaseBatch {
			x.txStatus = m.TxStatus
			return true, x.endBatch(m)
		}
		return true, x.endOwnQuery(p, m.TxStatus)
	}
	if p != phaseBatch {
		return false, x.handleOwnAnswer(p, msg)
	}
	return false, x.relay(msg)
}

func (x *exchange) storeStatus(p phase, m *pgproto3.DataRow) error {
	status, err := database.ParseStatus(m.Values)
	if err != nil {
		return x.connLost(err)
	}
	if p == phaseBefore {
		x.before, x.hasBefore = status, true
		return nil
	}
	x.after, x.hasAfter = status, true
	return nil
}

// endBatch relays ReadyForQuery and ends the queue of expected replies. It
// returns a *lostError if replies are missing.
func (x *exchange) endBatch(m *pgproto3.ReadyForQuery) error {
	if x.failedCode == "" && !x.answered(m.TxStatus) {
		return x.connLost(errors.New("the database was ready before it had answered"))
	}
	x.next = len(x.queue)
	return x.append(m)
}

// answered reports whether the database, which is ready in txStatus, has answered
// all of the batch.
func (x *exchange) answered(txStatus byte) bool {
	if x.batch.steps[0].kind == stepQuery {
		begins := x.batch.kind == KindBegin && isSingle(x.batch.query)
		return x.completed > 0 && !(begins && txStatus == 'I')
	}
	return x.next < len(x.queue) && x.queue[x.next].kind == stepSync
}

// relay relays one message of the batch's answer.
func (x *exchange) relay(msg pgproto3.BackendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.ParseComplete:
		return x.relayReply(msg)
	case *pgproto3.BindComplete, *pgproto3.CloseComplete, *pgproto3.NoData, *pgproto3.PortalSuspended, *pgproto3.EmptyQueryResponse:
		return x.relayReply(msg)
	case *pgproto3.RowDescription:
		if x.batch.steps[0].kind == stepQuery {
			return x.append(msg)
		}
		return x.relayReply(msg)
	case *pgproto3.CommandComplete:
		if !x.fitsStatement(m.CommandTag) {
			return x.connLost(errors.Errorf("the database answered another statement: %q", m.CommandTag))
		}
		x.inspectTag(m.CommandTag)
		return x.relayReply(msg)
	case *pgproto3.DataRow, *pgproto3.ParameterDescription:
		if !x.fitsNext(msg) {
			return x.connLost(errUnexpected(msg))
		}
	case *pgproto3.ErrorResponse:
		return x.relayError(m)
	case *pgproto3.CopyInResponse:
		if err := x.append(msg); err != nil {
			return err
		}
		return x.relayCopyIn()
	case *pgproto3.CopyBothResponse:
		return x.connLost(errors.New("replication streams are not served"))
	}
	return x.append(msg)
}

// inspectTag notes whether a command may have written. The answer waits for
// the commit from its first command tag on.
func (x *exchange) inspectTag(tag []byte) {
	if x.batch.setsConfig {
		x.conn.SettingsChanged = true
	}
	switch {
	case hasPrefix(tag, "SET"), hasPrefix(tag, "RESET"):
		x.conn.SettingsChanged = true
	case hasPrefix(tag, "DEALLOCATE"), hasPrefix(tag, "DISCARD"):
		clear(x.conn.Prepared)
		x.conn.StateUnknown = true
	case hasPrefix(tag, "PREPARE"), hasPrefix(tag, "LISTEN"), hasPrefix(tag, "LOAD"):
		// The connection keeps what was made: it is closed on release.
		x.conn.StateUnknown = true
	}
	switch {
	case hasPrefix(tag, "SELECT"), hasPrefix(tag, "SHOW"), hasPrefix(tag, "BEGIN"), hasPrefix(tag, "ROLLBACK"),
		hasPrefix(tag, "SET"), hasPrefix(tag, "FETCH"), hasPrefix(tag, "SAVEPOINT"), hasPrefix(tag, "RELEASE"):
	default:
		x.wrote = true
	}
	if x.holdFrom < 0 {
		x.holdFrom = len(x.out)
	}
}

func hasPrefix(tag []byte, prefix string) bool {
	return len(tag) >= len(prefix) && string(tag[:len(prefix)]) == prefix
}

// relayReply takes the next expected reply off the queue and relays it.
func (x *exchange) relayReply(msg pgproto3.BackendMessage) error {
	if !x.fitsNext(msg) {
		return x.connLost(errUnexpected(msg))
	}
	if x.batch.steps[0].kind == stepQuery {
		x.completed++
		return x.append(msg)
	}
	expected := x.queue[x.next]
	x.next++
	if expected.kind == stepParse && expected.statement != "" {
		x.markPrepared(expected.statement)
	}
	if !expected.suppress {
		if err := x.append(msg); err != nil {
			return err
		}
	} else if x.recording != nil {
		if err := x.recording.add(msg); err != nil {
			return x.connLost(err)
		}
	}
	x.appendLocalReplies()
	return nil
}

// markPrepared notes that the connection has a statement.
func (x *exchange) markPrepared(statement string) {
	if len(x.conn.Prepared) >= maxPrepared {
		// The connection is closed on release, which frees all its statements.
		x.conn.StateUnknown = true
	}
	x.conn.Prepared[statement] = struct{}{}
}

// appendLocalReplies adds the proxy's own replies that come next in the queue
// to the answer.
func (x *exchange) appendLocalReplies() {
	for x.next < len(x.queue) && x.queue[x.next].reply != nil {
		x.out = append(x.out, x.queue[x.next].reply...)
		x.next++
	}
}

// relayError relays an error. The database answers nothing more before Sync.
func (x *exchange) relayError(m *pgproto3.ErrorResponse) error {
	x.failedCode = m.Code
	x.next = len(x.queue)
	return x.append(m)
}

// append adds one message to the answer. A long answer is flushed unless it
// waits for a commit.
func (x *exchange) append(msg pgproto3.BackendMessage) error {
	if x.dropped {
		return nil
	}
	if x.recording != nil {
		if err := x.recording.add(msg); err != nil {
			return x.connLost(err)
		}
	}
	encoded, err := msg.Encode(x.out)
	if err != nil {
		return x.connLost(err)
	}
	x.out = encoded
	if len(x.out) < flushThreshold || x.holdFrom >= 0 {
		return nil
	}
	return x.flush()
}

// flush sends the gathered answer to the caller if it passes verification.
func (x *exchange) flush() error {
	if x.callerErr != nil || !x.verifyOnce() {
		x.out = x.out[:0]
		return nil
	}
	x.flushed = true
	if err := x.session.Write(x.out); err != nil {
		// The rest of the answer is still read, so that the connection can be
		// reused.
		x.callerErr = err
	}
	x.out = x.out[:0]
	return nil
}

// verifyOnce verifies the answer unless that was done before. It returns false
// if the answer is dropped.
func (x *exchange) verifyOnce() bool {
	if x.verify != nil && !x.verified {
		x.verified = true
		x.dropped = x.verify() != nil
	}
	return !x.dropped
}

// relayUntilAnswered serves a Flush: it relays until all expected replies have
// arrived.
func (x *exchange) relayUntilAnswered() error {
	x.appendLocalReplies()
	for x.next < len(x.queue) && x.queue[x.next].kind != stepFlush {
		msg, err := x.conn.Receive()
		if err != nil {
			return x.connLost(err)
		}
		if _, err := x.handleMessage(phaseBatch, msg); err != nil {
			return err
		}
	}
	return nil
}
