package caller

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// errUnread is returned if the database has sent more than the answer.
var errUnread = errors.New("the database has sent an answer that nobody waits for")

func errUnexpected(msg pgproto3.BackendMessage) error {
	return errors.Errorf("unexpected %T from the database", msg)
}

// ownAnswer is what a database has answered to a query of the proxy's own.
type ownAnswer struct {
	completed int
	failed    bool
}

// handleOwnAnswer handles one message of the answer to the proxy's own query in
// phase p. It returns a *lostError for one that does not belong to it.
func (x *exchange) handleOwnAnswer(p phase, msg pgproto3.BackendMessage) error {
	status := p == phaseBefore || p == phaseAfter
	switch m := msg.(type) {
	case *pgproto3.NoticeResponse:
		return nil
	case *pgproto3.CommandComplete:
		x.own.completed++
		return nil
	case *pgproto3.RowDescription:
		if status {
			return nil
		}
	case *pgproto3.DataRow:
		if status && x.own.completed == 0 {
			return x.storeStatus(p, m)
		}
	case *pgproto3.ErrorResponse:
		x.own.failed = true
		if p == phaseLedger && x.ledgerCode == "" {
			x.ledgerCode = m.Code
		}
		if p == phaseSettings && x.settingsError == nil {
			x.settingsError = &settingsError{Code: m.Code, Message: m.Message}
		}
		return nil
	}
	return x.connLost(errUnexpected(msg))
}

// ledgerStatements is the number of statements that begin a request with an id.
const ledgerStatements = 2

// endOwnQuery returns a *lostError if the database is ready before it has
// answered the proxy's own query, or in a transaction status that does not fit.
func (x *exchange) endOwnQuery(p phase, txStatus byte) error {
	fits := true
	switch p {
	case phaseSettings:
		fits = txStatus == 'I' && (x.own.failed || x.own.completed > 0)
	case phaseBefore:
		fits = txStatus == 'I' && (x.own.failed || x.hasBefore)
	case phaseLedger:
		fits = x.own.failed || txStatus == 'T' && x.own.completed == ledgerStatements
	case phaseAfter:
		fits = x.own.failed || x.hasAfter
	}
	if !fits {
		return x.connLost(errors.New("the database was ready before it had answered the proxy's own query"))
	}
	return nil
}

// knownStatus reports whether the protocol has the transaction status.
func knownStatus(txStatus byte) bool {
	return txStatus == 'I' || txStatus == 'T' || txStatus == 'E'
}

// fitsNext reports whether the database may send msg next in its answer to the
// batch.
func (x *exchange) fitsNext(msg pgproto3.BackendMessage) bool {
	next := byte(stepQuery)
	if x.batch.steps[0].kind != stepQuery {
		if x.next >= len(x.queue) {
			return false
		}
		next = x.queue[x.next].kind
	}
	switch msg.(type) {
	case *pgproto3.ParseComplete:
		return next == stepParse
	case *pgproto3.BindComplete:
		return next == stepBind
	case *pgproto3.CloseComplete:
		return next == stepClose
	case *pgproto3.NoData, *pgproto3.ParameterDescription:
		return next == stepDescribe
	case *pgproto3.RowDescription:
		return next == stepDescribe || next == stepQuery
	case *pgproto3.PortalSuspended:
		return next == stepExecute
	}
	// Rows and the ends of statements.
	return next == stepExecute || next == stepQuery
}

// fitsStatement reports whether a command tag may belong to the batch's next
// statement. For a simple query of a single statement, it tells a second answer,
// those to statements of another kind, and the answers to the proxy's own queries.
func (x *exchange) fitsStatement(tag []byte) bool {
	if x.batch.steps[0].kind != stepQuery {
		return true
	}
	if isSingle(x.batch.query) && !fitsWord(x.batch.query, tag) {
		return false
	}
	show, set := hasPrefix(tag, "SHOW"), string(tag) == "SET" || string(tag) == "RESET"
	if x.completed == 0 && !show && !set {
		return true
	}
	query := x.batch.query
	if !isSingle(query) {
		return true
	}
	word, _ := cutWord(skipComments(query))
	return x.completed == 0 && (show && word == "show" || set && (word == "set" || word == "reset"))
}

// tagsOf holds, by the first word of a statement, the first words of the command
// tags with which PostgreSQL may complete it. Statements that begin with other words
// may have any tag.
var tagsOf = map[string][]string{
	"select":    {"SELECT"},
	"values":    {"SELECT"},
	"table":     {"SELECT"},
	"with":      {"SELECT", "INSERT", "UPDATE", "DELETE", "MERGE"},
	"insert":    {"INSERT"},
	"update":    {"UPDATE"},
	"delete":    {"DELETE"},
	"merge":     {"MERGE"},
	"begin":     {"BEGIN"},
	"start":     {"BEGIN", "START"},
	"commit":    {"COMMIT", "ROLLBACK"},
	"end":       {"COMMIT", "ROLLBACK"},
	"rollback":  {"ROLLBACK"},
	"abort":     {"ROLLBACK"},
	"savepoint": {"SAVEPOINT"},
	"release":   {"RELEASE"},
}

// fitsWord reports whether a command tag may complete the statement.
func fitsWord(statement string, tag []byte) bool {
	word, _ := cutWord(skipComments(statement))
	tags, ok := tagsOf[word]
	if !ok {
		return true
	}
	first, _, _ := strings.Cut(string(tag), " ")
	return slices.Contains(tags, first)
}

// isSingle reports whether a text certainly holds no more than one statement.
func isSingle(query string) bool {
	return strings.IndexByte(strings.TrimRight(query, "; \t\r\n"), ';') < 0
}
