package caller

import (
	"context"
	"encoding/base64"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	connection "github.com/oleanderflow/oleanderflow/internal/connection/database"
	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

const (
	// maxRecorded bounds the rows that the ledger keeps of one request, in
	// bytes. Of longer answers it keeps the command tag alone.
	maxRecorded = 16 << 10
	// codeUnique is a database's refusal of a second row with the same key.
	codeUnique = "23505"
	// codeNoTable is a database's word that the ledger does not exist.
	codeNoTable = "42P01"
	// ledgerCancelled is the result of a request that was asked for before it
	// ran, and will not run any more.
	ledgerCancelled = "cancelled"
)

const createLedger = "CREATE TABLE IF NOT EXISTS oleanderflow_ledger (id TEXT PRIMARY KEY, result TEXT, at TEXT)"

// recorded is what the ledger keeps of a request's answer.
type recorded struct {
	Tag         string `cbor:"1,keyasint"`
	Description []byte `cbor:"2,keyasint,omitempty"`
	Rows        []byte `cbor:"3,keyasint,omitempty"`
	// Cut is set if the rows were too long to be kept.
	Cut bool `cbor:"4,keyasint,omitempty"`
}

func (r *recorded) encode() (string, error) {
	encoded, err := cbor.Marshal(r)
	return base64.StdEncoding.EncodeToString(encoded), err
}

func decodeRecorded(text string) (*recorded, error) {
	encoded, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, errors.Wrap(err, "read the ledger")
	}
	var r recorded
	if err := cbor.Unmarshal(encoded, &r); err != nil {
		return nil, errors.Wrap(err, "read the ledger")
	}
	return &r, nil
}

// keep records one message of the answer.
func (r *recorded) keep(msg pgproto3.BackendMessage) error {
	var err error
	switch m := msg.(type) {
	case *pgproto3.RowDescription:
		r.Description, err = m.Encode(r.Description[:0])
	case *pgproto3.DataRow:
		if !r.Cut {
			r.Rows, err = m.Encode(r.Rows)
		}
		if len(r.Rows) > maxRecorded {
			r.Cut, r.Rows = true, nil
		}
	case *pgproto3.CommandComplete:
		r.Tag = string(m.CommandTag)
	}
	return err
}

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

func insertLedger(id, result string) string {
	return "INSERT INTO oleanderflow_ledger (id, result, at) VALUES (" + quote(id) + ", " + quote(result) + ", now())"
}

// checkLedgered refuses batches that cannot run under one request id.
func (w *worker) checkLedgered() error {
	executes := 0
	for i := range w.batch.steps {
		if w.batch.steps[i].kind == stepExecute || w.batch.steps[i].kind == stepQuery {
			executes++
		}
	}
	if executes != 1 || w.batch.ends || w.batch.copies {
		return outcome.NewRefused(outcome.CodeUnsupported, "a request id goes with one statement, or with BEGIN for a whole transaction")
	}
	return nil
}

// runLedgered runs a request with an id. The id is recorded in the same
// transaction, so that the request can be sent again after any doubt: it runs
// once, and a repeat is given the recorded answer.
func (w *worker) runLedgered(r *request) error {
	if err := w.checkLedgered(); err != nil {
		return w.refuseBatch(err, false)
	}
	for {
		switch c := r.choosePrimary().(type) {
		case database.Hold:
			if err := w.awaitPrimary(r, c.Reason); err != nil {
				return w.refuseBatch(w.inDoubt(r, err), false)
			}
		case *database.Route:
			done, err := w.tryLedgered(r, c.Database)
			if done || err != nil {
				return err
			}
		}
	}
}

// inDoubt turns a refusal into an unknown outcome if an earlier try may
// have run.
func (w *worker) inDoubt(r *request, err error) error {
	if !r.doubtful {
		return err
	}
	return outcome.NewUnknown("request " + r.id + ": " + err.Error())
}

// tryLedgered makes one try on a primary. It returns false if the request
// must be tried again.
func (w *worker) tryLedgered(r *request, i int) (bool, error) {
	pool := r.serving.Pools[i]
	conn, err := r.acquire(pool)
	if err != nil {
		var refused *outcome.Error
		if errors.As(err, &refused) {
			return true, w.refuseBatch(w.inDoubt(r, err), false)
		}
		return w.retryLater(r)
	}
	x := &w.x
	x.prepare(w.session, conn, &w.batch)
	x.hold, x.recording = 0, &recorded{}
	defer func() { x.recording = nil }()
	if err = x.assembleLedgered("BEGIN;" + insertLedger(r.id, "")); err == nil {
		err = w.runExchange(conn)
	}
	if err != nil {
		conn.StateUnknown = true
		pool.Release(conn)
		// Nothing was committed: the ledger's COMMIT has not been sent.
		return w.retryLater(r)
	}
	return w.endLedgered(r, i, pool, conn)
}

// endLedgered commits, or does what the ledger's answer asks for.
func (w *worker) endLedgered(r *request, i int, pool *connection.Pool, conn *connection.Conn) (bool, error) {
	x := &w.x
	name := r.serving.Monitor.Members()[i].Name
	switch x.ledgerCode {
	case "":
	case codeUnique:
		return w.replay(r, pool, conn)
	default:
		return w.ledgerFailed(r, pool, conn)
	}
	if x.failedCode != "" {
		rollback(conn)
		pool.Release(conn)
		if x.failedCode == codeFenced || x.failedCode == codeReadOnly {
			return w.retryLater(r)
		}
		w.decided(r, name, database.ReasonWrite, "failed")
		return true, w.deliverEnded()
	}
	result, err := x.recording.encode()
	if err != nil {
		return true, err
	}
	status, err := w.commitLedgered(r, conn, "UPDATE oleanderflow_ledger SET result = "+quote(result)+" WHERE id = "+quote(r.id)+";COMMIT")
	pool.Release(conn)
	if err != nil || !status.AcceptsWrites() {
		// The commit may have taken effect: the next try learns from the ledger.
		r.doubtful = true
		return w.retryLater(r)
	}
	if err := w.acknowledge(r, status.Applied); err != nil {
		r.doubtful = true
		if r.ctx.Err() != nil {
			return true, w.refuseBatch(err, false)
		}
		return w.retryLater(r)
	}
	w.session.RaiseFloor(status.Applied)
	w.session.FloorKnown = true
	w.decided(r, name, database.ReasonWrite, "answered")
	return true, w.deliverEnded()
}

// deliverEnded passes the answer on with the state after the ledger's own
// transaction.
func (w *worker) deliverEnded() error {
	if n := len(w.x.out); n >= readySize && w.x.out[n-readySize] == 'Z' {
		w.x.out[n-1] = 'I'
	}
	return w.deliver()
}

// ledgerFailed handles a ledger that does not take the id.
func (w *worker) ledgerFailed(r *request, pool *connection.Pool, conn *connection.Conn) (bool, error) {
	code := w.x.ledgerCode
	rollback(conn)
	if code == codeNoTable {
		if _, err := runControl(conn, createLedger); err != nil {
			conn.StateUnknown = true
		}
	}
	pool.Release(conn)
	return w.retryLater(r)
}

// replay answers a repeat with what the ledger has recorded.
func (w *worker) replay(r *request, pool *connection.Pool, conn *connection.Conn) (bool, error) {
	rollback(conn)
	text, status, err := w.readLedger(r, conn)
	pool.Release(conn)
	if err != nil || !status.AcceptsWrites() {
		return w.retryLater(r)
	}
	if err := w.acknowledge(r, status.Applied); err != nil {
		return w.retryLater(r)
	}
	if text == ledgerCancelled {
		return true, w.refuseBatch(outcome.NewRefused(outcome.CodeRefused, "request "+r.id+" was asked for before it ran, and will not run"), false)
	}
	kept, err := decodeRecorded(text)
	if err != nil {
		return true, w.refuseBatch(outcome.NewUnknown(err.Error()), false)
	}
	w.session.RaiseFloor(status.Applied)
	w.decided(r, "", "already ran", "answered")
	return true, w.answerRecorded(r, kept)
}

// answerRecorded gives a repeat the recorded answer, in the form that its
// own messages ask for.
func (w *worker) answerRecorded(r *request, kept *recorded) error {
	notice := &pgproto3.NoticeResponse{Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: outcome.CodeAlreadyRan, Message: "request " + r.id + " already ran; this is its recorded answer"}
	out, err := notice.Encode(w.x.out[:0])
	if err != nil {
		return err
	}
	complete, err := (&pgproto3.CommandComplete{CommandTag: []byte(kept.Tag)}).Encode(nil)
	if err != nil {
		return err
	}
	for i := range w.batch.steps {
		out = appendRecorded(out, &w.batch.steps[i], kept, complete)
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

func appendRecorded(out []byte, st *step, kept *recorded, complete []byte) []byte {
	if st.reply != nil {
		return append(out, st.reply...)
	}
	switch st.kind {
	case stepQuery:
		out = append(out, kept.Description...)
		out = append(out, kept.Rows...)
		return append(out, complete...)
	case stepParse:
		return append(out, parseComplete...)
	case stepBind:
		return append(out, bindComplete...)
	case stepClose:
		return append(out, closeComplete...)
	case stepDescribe:
		if len(kept.Description) == 0 {
			return append(out, noData...)
		}
		return append(out, kept.Description...)
	case stepExecute:
		out = append(out, kept.Rows...)
		return append(out, complete...)
	case stepSync:
		return append(out, 'Z', 0, 0, 0, 5, 'I')
	}
	return out
}

// beginLedgered records a transaction's id as its first row. It returns an
// *outcome.Error if the transaction already ran.
func (w *worker) beginLedgered(r *request) error {
	conn := w.session.Transaction.Conn
	for range 2 {
		_, err := runControl(conn, insertLedger(r.id, transactionRecord))
		var server *connection.ServerError
		switch {
		case err == nil:
			return nil
		case !errors.As(err, &server):
			return outcome.NewRefused(outcome.CodeRefused, "the transaction was not begun: "+err.Error())
		case server.Code == codeUnique:
			return outcome.NewRefused(outcome.CodeAlreadyRan, "transaction "+r.id+" already ran, or was asked for and will not run")
		case server.Code != codeNoTable:
			return outcome.NewRefused(outcome.CodeRefused, "the transaction was not begun: "+server.Message)
		}
		rollback(conn)
		if _, err := runControl(conn, createLedger); err != nil {
			return outcome.NewRefused(outcome.CodeRefused, "the ledger cannot be created: "+err.Error())
		}
		if _, err := runControl(conn, "BEGIN"); err != nil {
			return outcome.NewRefused(outcome.CodeRefused, "the transaction was not begun: "+err.Error())
		}
	}
	return outcome.NewRefused(outcome.CodeRefused, "the ledger cannot be created")
}

// transactionRecord is the recorded answer of a whole transaction.
var transactionRecord = mustEncode(&recorded{Tag: "COMMIT"})

func mustEncode(r *recorded) string {
	text, err := r.encode()
	if err != nil {
		panic(err)
	}
	return text
}

// askOutcome tells what became of the request named by the session's
// request id. A request that has not run by then never will.
func (w *worker) askOutcome() (string, error) {
	id := w.session.RequestID
	if id == "" {
		return "", outcome.NewRefused(outcome.CodeInvalid, "set oleanderflow.requestId to the request to ask for")
	}
	serving := w.groups.Serving(w.session.Group)
	if serving == nil {
		return "", outcome.NewRefused(outcome.CodeNoGroup, "the database group is not declared any more")
	}
	ctx, cancel := context.WithTimeout(context.Background(), serving.WriteWait.Std())
	defer cancel()
	r := &request{serving: serving, ctx: ctx, id: id, began: w.clock.Now(), class: connection.NoClass}
	for {
		text, err := w.askOutcomeOnce(r)
		if err == nil {
			return text, nil
		}
		serving.Monitor.Refresh()
		if !pause(ctx, retryInterval) {
			return "", outcome.NewRefused(outcome.CodeRefused, "the outcome of "+id+" cannot be learned now: "+err.Error())
		}
	}
}

func (w *worker) askOutcomeOnce(r *request) (string, error) {
	if err := r.serving.Monitor.Await(r.ctx, (*process.Group).Writable); err != nil {
		return "", err
	}
	var primary int
	r.serving.Monitor.View(func(g *process.Group) { primary, _ = g.Primary() })
	pool := r.serving.Pools[primary]
	r.use.Database = primary
	conn, err := r.acquire(pool)
	if err != nil {
		return "", err
	}
	defer pool.Release(conn)
	if _, err := runControl(conn, createLedger); err != nil {
		return "", err
	}
	_, err = runControl(conn, insertLedger(r.id, ledgerCancelled))
	var server *connection.ServerError
	if err != nil && !(errors.As(err, &server) && server.Code == codeUnique) {
		return "", err
	}
	text, status, err := w.readLedger(r, conn)
	if err != nil {
		return "", err
	}
	if !status.AcceptsWrites() {
		return "", errors.New("the primary was replaced")
	}
	if err := w.acknowledge(r, status.Applied); err != nil {
		return "", err
	}
	if text == ledgerCancelled {
		return "did not run", nil
	}
	kept, err := decodeRecorded(text)
	if err != nil {
		return "", err
	}
	return "ran: " + kept.Tag, nil
}

// runControl runs one simple query of the proxy's own and returns the first
// column of its last row. It returns a *connection.ServerError for the
// database's own error.
func runControl(conn *connection.Conn, query string) (string, error) {
	var value string
	var failure error
	conn.Frontend.Send(&pgproto3.Query{String: query})
	if err := conn.Frontend.Flush(); err != nil {
		conn.StateUnknown = true
		return "", err
	}
	for {
		msg, err := conn.Frontend.Receive()
		if err != nil {
			conn.StateUnknown = true
			return "", err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			if len(m.Values) > 0 {
				value = string(m.Values[0])
			}
		case *pgproto3.ErrorResponse:
			if failure == nil {
				failure = &connection.ServerError{Code: m.Code, Message: m.Message}
			}
		case *pgproto3.ReadyForQuery:
			return value, failure
		}
	}
}

// rollback ends a transaction of the proxy's own.
func rollback(conn *connection.Conn) {
	if _, err := runControl(conn, "ROLLBACK"); err != nil {
		conn.StateUnknown = true
	}
}

func (w *worker) commitLedgered(r *request, conn *connection.Conn, query string) (process.Status, error) {
	if _, err := runControl(conn, query); err != nil {
		rollback(conn)
		return process.Status{}, err
	}
	return w.askReported(r, conn)
}

func (w *worker) readLedger(r *request, conn *connection.Conn) (string, process.Status, error) {
	text, err := runControl(conn, "SELECT result FROM oleanderflow_ledger WHERE id = "+quote(r.id))
	if err != nil {
		return "", process.Status{}, err
	}
	status, err := w.askReported(r, conn)
	return text, status, err
}
