// Package statement defines the requests that callers and the proxy send to
// databases and the answers to them, independent of any wire format.
package statement

import (
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Request is a single request, sent by a caller or by the proxy itself.
type Request struct {
	// ID identifies the request. It is empty for the proxy's own requests.
	ID string
	// Floor is the position that the database's log must contain for the request
	// to run. Zero means no minimum. Only reads and Begin requests have one.
	Floor position.Position
	Operation
}

// Operation is what a request asks for. Each kind of request has a type that
// implements it.
type Operation interface{ operation() }

// Begin opens a transaction.
type Begin struct{ ReadOnly bool }

// Commit commits the open transaction.
type Commit struct{}

// Rollback rolls back the open transaction.
type Rollback struct{}

// Read is a statement that only reads. Text is the statement as the caller sent
// it.
type Read struct{ Text string }

// Write is a statement that may write. Text is the statement as the caller sent
// it.
type Write struct{ Text string }

// Set sets the session variable Name. Text is the whole statement as the caller
// sent it.
type Set struct {
	Name string
	Text string
}

// Prepare creates the prepared statement Name. Shape is the statement without
// its arguments, and Writes tells whether it may write.
type Prepare struct {
	Name   string
	Writes bool
	Shape  string
}

// Execute runs the prepared statement Name with the given arguments.
type Execute struct {
	Name      string
	Arguments string
	// EmptyArguments is set if the caller has sent arguments that are empty, and not none.
	EmptyArguments bool
}

// Deallocate removes the prepared statement Name. Text is the whole statement
// as the caller sent it, empty for one of the proxy's own.
type Deallocate struct {
	Name string
	Text string
}

// Unknown is a request that could not be parsed.
type Unknown struct {
	Text string
	// Reason is what is wrong with the request, empty if its text is not that of a
	// statement.
	Reason string
}

// Reset clears the session variables and prepared statements of a connection.
type Reset struct{}

// Status asks a database for its role and the state of its log.
type Status struct{}

// Pause fences a replica: it stops receiving log entries of terms below Term.
type Pause struct{ Term uint64 }

// Resume lets a replica that was fenced for Term receive log entries again.
type Resume struct{ Term uint64 }

// StepDown demotes a primary whose term is below Term to a replica.
type StepDown struct{ Term uint64 }

func (Begin) operation()      {}
func (Commit) operation()     {}
func (Rollback) operation()   {}
func (Read) operation()       {}
func (Write) operation()      {}
func (Set) operation()        {}
func (Prepare) operation()    {}
func (Execute) operation()    {}
func (Deallocate) operation() {}
func (Unknown) operation()    {}
func (Reset) operation()      {}
func (Status) operation()     {}
func (Pause) operation()      {}
func (Resume) operation()     {}
func (StepDown) operation()   {}

// State is the transaction state of a connection.
type State byte

// Transaction states.
const (
	Idle State = iota
	InTransaction
	// Failed means that the transaction can only be rolled back.
	Failed
)

// Code classifies the failure of a request.
type Code uint8

// Failure codes returned by databases and by the proxy.
const (
	CodeOther Code = iota
	// CodeBusy means that the request was rejected because of load. Nothing ran.
	CodeBusy
	// CodeUnprepared means that no prepared statement has the given name. Nothing
	// ran.
	CodeUnprepared
	// CodeLagging means that the database's log does not contain the request's
	// Floor yet. Nothing ran.
	CodeLagging
	// CodeReadOnly means that a write was sent to a database that is not the
	// primary. Nothing ran.
	CodeReadOnly
	// CodeFailed means that the statement ran and failed.
	CodeFailed
	// CodeTimeout means that the statement exceeded its timeout.
	CodeTimeout
	// CodeMisrouted means that a different database than the expected one
	// answered.
	CodeMisrouted
	// CodeTooManyConnections means that the database accepts no more connections.
	CodeTooManyConnections
	// CodeMalformed means that the request cannot be parsed or is not valid in the
	// current state.
	CodeMalformed
	// CodeAborted means that no effect of the statement or transaction is kept.
	CodeAborted
	// CodeInDoubt means that it is unknown whether the transaction or statement
	// took effect.
	CodeInDoubt
	// CodeNoDatabase means that no route exists for the requested database name.
	CodeNoDatabase
	// CodeUnauthorized means that no workspace holds the caller's key. Nothing ran.
	CodeUnauthorized
)

var codeNames = [...]string{
	"other", "busy", "unprepared", "lagging", "readOnly", "failed", "timeout", "misrouted",
	"tooMany", "malformed", "aborted", "inDoubt", "noDatabase", "unauthorized",
}

// String returns the name of the code as it appears in logs and metrics.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "invalid"
}

// NotRun reports whether c means that the database did not run the statement.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeUnprepared, CodeLagging, CodeReadOnly, CodeMisrouted, CodeTooManyConnections:
		return true
	default:
		return false
	}
}

// Failure describes why a request failed.
type Failure struct {
	Code Code
	Text string
}

// Error returns the name of the code followed by the text.
func (f *Failure) Error() string { return f.Code.String() + ": " + f.Text }

// Answer is the answer to a request. Its buffers are reused by the next answer
// that is read into it.
type Answer struct {
	// Rows holds the rows as encoded by the database; the proxy does not decode
	// them.
	Rows []byte
	// Signature is the database's signature proving that it ran the statement.
	Signature []byte
	// Failure is nil if the request succeeded.
	Failure *Failure
	State   State
	// Position is the last log position that the database has applied.
	Position position.Position
}

// Reset clears the answer but keeps its buffers for reuse.
func (a *Answer) Reset() {
	*a = Answer{Rows: a.Rows[:0], Signature: a.Signature[:0]}
}
