package caller

import (
	"context"
	"encoding/base64"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	connection "github.com/oleanderflow/oleanderflow/internal/connection/database"
	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

const (
	// maxRecordedSize limits the rows that the ledger keeps of one request, in
	// bytes. For longer answers it keeps only the command tag.
	maxRecordedSize = 16 << 10
	// codeUniqueViolation is the SQLSTATE for a second row with the same key.
	codeUniqueViolation = "23505"
	// codeUndefinedTable is the SQLSTATE for a ledger table that does not exist.
	codeUndefinedTable = "42P01"
	// ledgerCancelled is the result of a request whose outcome was queried
	// before it ran. It must not run any more.
	ledgerCancelled = "cancelled"
)

const createLedger = "CREATE TABLE IF NOT EXISTS oleanderflow_ledger (id TEXT PRIMARY KEY, result TEXT, at TEXT)"

// recordedAnswer is a request's answer as the ledger stores it.
type recordedAnswer struct {
	Tag         string `cbor:"1,keyasint"`
	Description []byte `cbor:"2,keyasint,omitempty"`
	Rows        []byte `cbor:"3,keyasint,omitempty"`
	// Truncated is set if the rows were too long to keep.
	Truncated bool `cbor:"4,keyasint,omitempty"`
}

func (r *recordedAnswer) encode() (string, error) {
	encoded, err := cbor.Marshal(r)
	return base64.StdEncoding.EncodeToString(encoded), err
}

func decodeRecorded(text string) (*recordedAnswer, error) {
	encoded, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, errors.Wrap(err, "read the ledger")
	}
	var r recordedAnswer
	if err := cbor.Unmarshal(encoded, &r); err != nil {
		return nil, errors.Wrap(err, "read the ledger")
	}
	return &r, nil
}

// add records one message of the answer.
func (r *recordedAnswer) add(msg pgproto3.BackendMessage) error {
	var err error
	switch m := msg.(type) {
	case *pgproto3.RowDescription:
		r.Description, err = m.Encode(r.Description[:0])
	case *pgproto3.DataRow:
		if !r.Truncated {
			r.Rows, err = m.Encode(r.Rows)
		}
		if len(r.Rows) > maxRecordedSize {
			r.Truncated, r.Rows = true, nil
		}
	case *pgproto3.CommandComplete:
		r.Tag = string(m.CommandTag)
	}
	return err
}

func insertLedger(id, result string) string {
	return "INSERT INTO oleanderflow_ledger (id, result, at) VALUES (" + connection.QuoteLiteral(id) + ", " + connection.QuoteLiteral(result) + ", now())"
}

// checkWithID returns an *outcome.Error for a batch that cannot run under one
// request id: one that runs several statements, copies data or may end a
// transaction.
func (w *worker) checkWithID() error {
	executes := 0
	for i := range w.batch.steps {
		if w.batch.steps[i].kind == stepExecute || w.batch.steps[i].kind == stepQuery {
			executes++
		}
	}
	if executes != 1 || w.batch.endsTransaction || w.batch.hasCopy {
		return outcome.NewRefused(outcome.CodeUnsupported, "a request id goes with one statement, or with BEGIN for a whole transaction")
	}
	return nil
}

// runWithID runs a request with an id. The id is recorded in the same
// transaction, so that a request whose outcome is in doubt can be sent again:
// it runs once, and a repeat gets the recorded answer.
func (w *worker) runWithID(r *request) error {
	if err := w.checkWithID(); err != nil {
		return w.refuseBatch(err, false)
	}
	for {
		switch c := r.choosePrimary().(type) {
		case database.Hold:
			if err := w.awaitPrimary(r, c.Reason); err != nil {
				return w.refuseBatch(w.refusalOrUnknown(r, err), false)
			}
		case *database.Route:
			done, err := w.tryWithID(r, c.Database)
			if done || err != nil {
				return err
			}
		}
	}
}

// refusalOrUnknown turns a refusal into an unknown outcome if an earlier
// attempt may have committed.
func (w *worker) refusalOrUnknown(r *request, err error) error {
	if !r.mayHaveCommitted {
		return err
	}
	return outcome.NewUnknown("request " + r.id + ": " + err.Error())
}

// tryWithID makes one attempt on database i. It returns false if the request
// must be tried again.
func (w *worker) tryWithID(r *request, i int) (bool, error) {
	pool := r.group.Pools[i]
	conn, err := r.acquire(pool)
	if err != nil {
		var refused *outcome.Error
		if errors.As(err, &refused) {
			return true, w.refuseBatch(w.refusalOrUnknown(r, err), false)
		}
		return w.awaitRetry(r)
	}
	x := &w.x
	x.prepare(w.session, conn, &w.batch)
	x.holdFrom, x.recording = 0, &recordedAnswer{}
	defer func() { x.recording = nil }()
	if err = x.assembleWithID("BEGIN;" + insertLedger(r.id, "")); err == nil {
		err = w.runExchange(conn)
	}
	if err != nil {
		conn.StateUnknown = true
		pool.Release(conn)
		var settings *settingsError
		if errors.As(err, &settings) {
			return true, w.refuseBatch(w.refusalOrUnknown(r, lostOutcome(err)), false)
		}
		// Nothing was committed: the COMMIT has not been sent yet.
		return w.awaitRetry(r)
	}
	return w.finishWithID(r, i, pool, conn)
}

// finishWithID commits the request, or handles an error of the ledger or of
// the request itself.
func (w *worker) finishWithID(r *request, i int, pool *connection.Pool, conn *connection.Conn) (bool, error) {
	x := &w.x
	name := r.group.Monitor.Members()[i].Name
	switch x.ledgerCode {
	case "":
	case codeUniqueViolation:
		return w.answerRepeat(r, pool, conn)
	default:
		return w.ledgerFailed(r, pool, conn)
	}
	if x.failedCode != "" {
		rollback(conn)
		pool.Release(conn)
		if x.failedCode == codeFenced || x.failedCode == codeReadOnly {
			return w.awaitRetry(r)
		}
		w.recordDecision(r, name, database.ReasonWrite, "failed")
		return true, w.deliverIdle()
	}
	result, err := x.recording.encode()
	if err != nil {
		return true, err
	}
	status, err := w.commitWithID(r, conn, "UPDATE oleanderflow_ledger SET result = "+connection.QuoteLiteral(result)+" WHERE id = "+connection.QuoteLiteral(r.id)+";COMMIT")
	pool.Release(conn)
	if err != nil || !status.AcceptsWrites() {
		// The commit may have taken effect: the next attempt finds out from
		// the ledger.
		r.mayHaveCommitted = true
		return w.awaitRetry(r)
	}
	if err := w.awaitCommit(r, status.Applied); err != nil {
		r.mayHaveCommitted = true
		if r.ctx.Err() != nil {
			return true, w.refuseBatch(err, false)
		}
		return w.awaitRetry(r)
	}
	w.session.RaiseFloor(status.Applied)
	w.session.FloorKnown = true
	w.recordDecision(r, name, database.ReasonWrite, "answered")
	return true, w.deliverIdle()
}

// deliverIdle sends the answer with the transaction status set to idle, since
// the transaction that the proxy wrapped around the request has ended.
func (w *worker) deliverIdle() error {
	if n := len(w.x.out); n >= readySize && w.x.out[n-readySize] == 'Z' {
		w.x.out[n-1] = 'I'
	}
	return w.deliver()
}

// ledgerFailed handles an error of the query that records the id. It creates
// the ledger table if that is missing.
func (w *worker) ledgerFailed(r *request, pool *connection.Pool, conn *connection.Conn) (bool, error) {
	code := w.x.ledgerCode
	rollback(conn)
	if code == codeUndefinedTable {
		if _, err := runSimpleQuery(conn, createLedger); err != nil {
			conn.StateUnknown = true
		}
	}
	pool.Release(conn)
	return w.awaitRetry(r)
}

// answerRepeat answers a repeated request with the answer in the ledger.
func (w *worker) answerRepeat(r *request, pool *connection.Pool, conn *connection.Conn) (bool, error) {
	rollback(conn)
	text, status, err := w.readLedger(r, conn)
	pool.Release(conn)
	if err != nil || !status.AcceptsWrites() {
		return w.awaitRetry(r)
	}
	if err := w.awaitCommit(r, status.Applied); err != nil {
		return w.awaitRetry(r)
	}
	if text == ledgerCancelled {
		return true, w.refuseBatch(outcome.NewRefused(outcome.CodeRefused, "request "+r.id+" was asked for before it ran, and will not run"), false)
	}
	stored, err := decodeRecorded(text)
	if err != nil {
		return true, w.refuseBatch(outcome.NewUnknown(err.Error()), false)
	}
	w.session.RaiseFloor(status.Applied)
	w.recordDecision(r, "", "already ran", "answered")
	return true, w.answerRecorded(r, stored)
}

// answerRecorded answers a repeat from the recorded answer, with a reply to each
// of the repeat's messages.
func (w *worker) answerRecorded(r *request, stored *recordedAnswer) error {
	notice := &pgproto3.NoticeResponse{Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: outcome.CodeAlreadyRan, Message: "request " + r.id + " already ran; this is its recorded answer"}
	if stored.Truncated {
		notice.Detail = fmt.Sprintf("Its rows were longer than %d bytes and were not kept.", maxRecordedSize)
	}
	out, err := notice.Encode(w.x.out[:0])
	if err != nil {
		return err
	}
	complete, err := (&pgproto3.CommandComplete{CommandTag: []byte(stored.Tag)}).Encode(nil)
	if err != nil {
		return err
	}
	for i := range w.batch.steps {
		out = appendRecorded(out, &w.batch.steps[i], stored, complete)
	}
	if w.batch.steps[0].kind == stepQuery {
		out = append(out, 'Z', 0, 0, 0, 5, 'I')
	}
	w.x.out = out
	return w.deliver()
}

var (
	bindComplete  = []byte{'2', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
	noData        = []byte{'n', 0, 0, 0, 4}
)

// appendRecorded appends the reply to one step of a repeat. complete is the
// encoded CommandComplete of the recorded answer.
func appendRecorded(out []byte, st *step, stored *recordedAnswer, complete []byte) []byte {
	if st.reply != nil {
		return append(out, st.reply...)
	}
	switch st.kind {
	case stepQuery:
		out = append(out, stored.Description...)
		out = append(out, stored.Rows...)
		return append(out, complete...)
	case stepParse:
		return append(out, parseComplete...)
	case stepBind:
		return append(out, bindComplete...)
	case stepClose:
		return append(out, closeComplete...)
	case stepDescribe:
		if len(stored.Description) == 0 {
			return append(out, noData...)
		}
		return append(out, stored.Description...)
	case stepExecute:
		out = append(out, stored.Rows...)
		return append(out, complete...)
	case stepSync:
		return append(out, 'Z', 0, 0, 0, 5, 'I')
	}
	return out
}

// recordTransactionID inserts a transaction's id into the ledger before its
// first statement. It returns an *outcome.Error if the transaction already ran
// or the id cannot be recorded.
func (w *worker) recordTransactionID(r *request) error {
	conn := w.session.Transaction.Conn
	// The second attempt is made after the ledger table has been created.
	for range 2 {
		_, err := runSimpleQuery(conn, insertLedger(r.id, transactionRecord))
		var server *connection.ServerError
		switch {
		case err == nil:
			return nil
		case !errors.As(err, &server):
			return outcome.NewRefused(outcome.CodeRefused, "the transaction was not begun: "+err.Error())
		case server.Code == codeUniqueViolation:
			return outcome.NewRefused(outcome.CodeAlreadyRan, "transaction "+r.id+" already ran, or was asked for and will not run")
		case server.Code != codeUndefinedTable:
			return outcome.NewRefused(outcome.CodeRefused, "the transaction was not begun: "+server.Message)
		}
		rollback(conn)
		if _, err := runSimpleQuery(conn, createLedger); err != nil {
			return outcome.NewRefused(outcome.CodeRefused, "the ledger cannot be created: "+err.Error())
		}
		if _, err := runSimpleQuery(conn, "BEGIN"); err != nil {
			return outcome.NewRefused(outcome.CodeRefused, "the transaction was not begun: "+err.Error())
		}
	}
	return outcome.NewRefused(outcome.CodeRefused, "the ledger cannot be created")
}

// transactionRecord is the recorded answer of a whole transaction.
var transactionRecord = mustEncode(&recordedAnswer{Tag: "COMMIT"})

func mustEncode(r *recordedAnswer) string {
	text, err := r.encode()
	if err != nil {
		panic(err)
	}
	return text
}

// queryOutcome returns the outcome of the request with the session's request id.
// A request that has not run yet is recorded as cancelled and will not run any
// more.
func (w *worker) queryOutcome() (string, error) {
	id := w.session.RequestID
	if id == "" {
		return "", outcome.NewRefused(outcome.CodeInvalid, "set oleanderflow.requestId to the request to ask for")
	}
	group := w.groups.Serving(w.session.Group)
	if group == nil {
		return "", outcome.NewRefused(outcome.CodeNoGroup, "the database group is not declared any more")
	}
	ctx, cancel := context.WithTimeout(context.Background(), group.WriteWait.Std())
	defer cancel()
	r := &request{group: group, ctx: ctx, id: id, began: w.clock.Now(), class: connection.NoClass}
	for {
		text, err := w.queryOutcomeOnce(r)
		if err == nil {
			return text, nil
		}
		group.Monitor.Refresh()
		if !sleep(ctx, retryInterval) {
			return "", outcome.NewRefused(outcome.CodeRefused, "the outcome of "+id+" cannot be learned now: "+err.Error())
		}
	}
}

func (w *worker) queryOutcomeOnce(r *request) (string, error) {
	if err := r.group.Monitor.Await(r.ctx, (*process.Group).Writable); err != nil {
		return "", err
	}
	var primary int
	r.group.Monitor.View(func(g *process.Group) { primary, _ = g.Primary() })
	pool := r.group.Pools[primary]
	r.route.Database = primary
	conn, err := r.acquire(pool)
	if err != nil {
		return "", err
	}
	defer pool.Release(conn)
	if _, err := runSimpleQuery(conn, createLedger); err != nil {
		return "", err
	}
	_, err = runSimpleQuery(conn, insertLedger(r.id, ledgerCancelled))
	var server *connection.ServerError
	if err != nil && !(errors.As(err, &server) && server.Code == codeUniqueViolation) {
		return "", err
	}
	text, status, err := w.readLedger(r, conn)
	if err != nil {
		return "", err
	}
	if !status.AcceptsWrites() {
		return "", errors.New("the primary was replaced")
	}
	if err := w.awaitCommit(r, status.Applied); err != nil {
		return "", err
	}
	if text == ledgerCancelled {
		return "did not run", nil
	}
	stored, err := decodeRecorded(text)
	if err != nil {
		return "", err
	}
	return "ran: " + stored.Tag, nil
}

// runSimpleQuery runs one query of the proxy's own by the simple query
// protocol and returns the first column of its last row. It returns a
// *connection.ServerError for an error of the database.
func runSimpleQuery(conn *connection.Conn, query string) (string, error) {
	conn.Frontend.Send(&pgproto3.Query{String: query})
	if err := conn.Frontend.Flush(); err != nil {
		conn.StateUnknown = true
		return "", err
	}
	var value string
	var failure error
	completed := 0
	for {
		msg, err := conn.Receive()
		if err != nil {
			conn.StateUnknown = true
			return "", err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			if len(m.Values) > 0 {
				value = string(m.Values[0])
			}
		case *pgproto3.CommandComplete:
			completed++
		case *pgproto3.ErrorResponse:
			if failure == nil {
				failure = &connection.ServerError{Code: m.Code, Message: m.Message}
			}
		case *pgproto3.ReadyForQuery:
			conn.InTransaction = m.TxStatus != 'I'
			if failure == nil && (completed == 0 || !knownStatus(m.TxStatus)) {
				conn.StateUnknown = true
				return "", errors.New("the database was ready before it had answered the proxy's own query")
			}
			return value, failure
		}
	}
}

// rollback rolls back the connection's transaction.
func rollback(conn *connection.Conn) {
	if _, err := runSimpleQuery(conn, "ROLLBACK"); err != nil {
		conn.StateUnknown = true
	}
}

// commitWithID runs query, which stores the recorded answer and commits, and
// returns the status after it.
func (w *worker) commitWithID(r *request, conn *connection.Conn, query string) (process.Status, error) {
	if _, err := runSimpleQuery(conn, query); err != nil {
		rollback(conn)
		return process.Status{}, err
	}
	return w.queryAndReportStatus(r, conn)
}

// readLedger returns the result recorded for the request's id and the status
// after the read.
func (w *worker) readLedger(r *request, conn *connection.Conn) (string, process.Status, error) {
	text, err := runSimpleQuery(conn, "SELECT result FROM oleanderflow_ledger WHERE id = "+connection.QuoteLiteral(r.id))
	if err != nil {
		return "", process.Status{}, err
	}
	status, err := w.queryAndReportStatus(r, conn)
	return text, status, err
}
