// Package statement provides what a caller asks of a database and what it is
// answered, free of any wire format.
package statement

import (
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Request is one request of a caller, or of the proxy itself.
type Request struct {
	// ID names the request; empty for the proxy's own.
	ID string
	// Floor is the position that the database's log must contain for a Read
	// or Begin to run; zero for none.
	Floor position.Position
	Operation
}

// Operation is what a request does.
type Operation interface{ operation() }

// Begin opens a transaction.
type Begin struct{ ReadOnly bool }

// Commit ends a transaction and keeps what it wrote.
type Commit struct{}

// Rollback ends a transaction and drops what it wrote.
type Rollback struct{}

// Read reads an item. Text is the statement as the caller sent it.
type Read struct{ Text string }

// Write writes an item.
type Write struct{ Text string }

// Set gives a session value.
type Set struct {
	Name string
	Text string
}

// Prepare names a shape of statement.
type Prepare struct {
	Name   string
	Writes bool
	Shape  string
}

// Execute runs a prepared statement.
type Execute struct {
	Name      string
	Arguments string
}

// Deallocate drops a prepared name.
type Deallocate struct {
	Name string
	Text string
}

// Unknown is a request that cannot be understood.
type Unknown struct{ Text string }

// Reset clears a connection's values and prepared names.
type Reset struct{}

// Status asks a database for its role and log.
type Status struct{}

// Pause stops a replica from receiving log of terms below Term.
type Pause struct{ Term uint64 }

// Resume ends a pause.
type Resume struct{ Term uint64 }

// StepDown makes a primary of a term below Term a replica.
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

// The states of a connection.
const (
	Idle State = iota
	InTransaction
	// Failed: the transaction can only be rolled back.
	Failed
)

// Code tells what became of a request that has not succeeded.
type Code uint8

// The codes that databases and the proxy answer with.
const (
	CodeOther Code = iota
	// CodeBusy: refused because of load; nothing ran.
	CodeBusy
	// CodeUnprepared: the prepared name is unknown; nothing ran.
	CodeUnprepared
	// CodeLagging: the log lacks the floor; nothing ran.
	CodeLagging
	// CodeReadOnly: a write came to a database that does not lead.
	CodeReadOnly
	// CodeFailed: the statement ran and failed.
	CodeFailed
	// CodeTimeout: the statement ran into its time limit.
	CodeTimeout
	// CodeMisrouted: another database than the expected one answered.
	CodeMisrouted
	// CodeTooManyConnections: the database grants no more connections.
	CodeTooManyConnections
	// CodeMalformed: the request is not acceptable in this state.
	CodeMalformed
	// CodeAborted: nothing of the caller's attempt is kept.
	CodeAborted
	// CodeInDoubt: the attempt may or may not be kept.
	CodeInDoubt
	// CodeNoDatabase: no route has the requested name.
	CodeNoDatabase
)

var codeNames = [...]string{
	"other", "busy", "unprepared", "lagging", "readOnly", "failed", "timeout", "misrouted",
	"tooMany", "malformed", "aborted", "inDoubt", "noDatabase",
}

// String names the code as logs show it.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "invalid"
}

// NotRun reports whether a database that answers with c has not run the
// statement.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeUnprepared, CodeLagging, CodeReadOnly, CodeMisrouted, CodeTooManyConnections:
		return true
	default:
		return false
	}
}

// Failure is an answer other than success.
type Failure struct {
	Code Code
	Text string
}

// Error implements error.
func (f *Failure) Error() string { return f.Code.String() + ": " + f.Text }

// Answer is what a request was answered. Its buffers are reused by the next
// answer read into it.
type Answer struct {
	// Rows are the encoded rows, passed on as they came.
	Rows []byte
	// Signature is the database's proof that it ran the statement.
	Signature []byte
	// Failure is set unless the request succeeded.
	Failure *Failure
	State   State
	// Position is the end of the log that the database has applied.
	Position position.Position
}

// Reset clears the answer and keeps its buffers.
func (a *Answer) Reset() {
	*a = Answer{Rows: a.Rows[:0], Signature: a.Signature[:0]}
}
