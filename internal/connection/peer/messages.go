// Package peer forwards requests to home proxies, which hold the connections to
// a database group on behalf of the other proxies.
package peer

import (
	"fmt"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// MethodRun is the name of the call that runs a caller's request at another
// proxy.
const MethodRun = "run"

// RunRequest is a caller's request together with its route and the state of its
// session.
type RunRequest struct {
	// Session identifies the caller's session across all proxies.
	Session string `json:"session"`
	// Transaction is the number of the open transaction within the session, or
	// zero outside a transaction.
	Transaction uint64 `json:"transaction,omitempty"`
	// Begin is set on the first statement of a transaction.
	Begin *Begin `json:"begin,omitempty"`

	// Workspace is the workspace on whose behalf the request runs. The sender has
	// checked the caller's key.
	Workspace string `json:"workspace,omitempty"`
	// Reserve is set if the sender has taken the operation from its reserve, because no
	// accountant answers. The home needs no token for it then.
	Reserve bool `json:"reserve,omitempty"`

	Route         string             `json:"route"`
	Group         string             `json:"group"`
	Consistency   routes.Consistency `json:"kind"`
	Timeout       clock.Duration     `json:"timeout"`
	TargetLatency clock.Duration     `json:"target"`
	Priority      int                `json:"priority"`
	MaxAge        clock.Duration     `json:"maxAge,omitempty"`
	// AnswerWithin is how long the sender waits for the answer, if that is shorter than
	// Timeout. A request that waits longer for a slot would occupy it in vain, since the
	// sender has sent it elsewhere by then.
	AnswerWithin clock.Duration `json:"answerWithin,omitempty"`

	// Floor is the position of the session's last acknowledged commit. Values
	// holds the session variables, which are sent unless the home already has them
	// from the first statement of the transaction. Prepared is set for a
	// statement.Execute.
	Floor    position.Position `json:"floor"`
	Values   []statement.Set   `json:"values,omitempty"`
	Prepared *Prepared         `json:"prepared,omitempty"`

	ID        string    `json:"id"`
	Operation Operation `json:"operation"`
}

// Begin holds the parameters of the caller's BEGIN.
type Begin struct {
	ID       string `json:"id"`
	ReadOnly bool   `json:"readOnly,omitempty"`
}

// Prepared is the prepared statement that an execute operation refers to.
type Prepared struct {
	Name   string `json:"name"`
	Writes bool   `json:"writes,omitempty"`
	Shape  string `json:"shape"`
}

// Operation is the wire form of a statement.Operation.
type Operation struct {
	Kind string `json:"kind"`
	Name string `json:"name,omitempty"`
	Text string `json:"text,omitempty"`
}

// Values of Operation.Kind.
const (
	kindCommit   = "commit"
	kindRollback = "rollback"
	kindRead     = "read"
	kindWrite    = "write"
	kindSet      = "set"
	kindExecute  = "execute"
)

// Encode returns the wire form of an operation. It returns false for operations
// that are not forwarded.
func Encode(operation statement.Operation) (Operation, bool) {
	switch o := operation.(type) {
	case statement.Commit:
		return Operation{Kind: kindCommit}, true
	case statement.Rollback:
		return Operation{Kind: kindRollback}, true
	case statement.Read:
		return Operation{Kind: kindRead, Text: o.Text}, true
	case statement.Write:
		return Operation{Kind: kindWrite, Text: o.Text}, true
	case statement.Set:
		return Operation{Kind: kindSet, Name: o.Name, Text: o.Text}, true
	case statement.Execute:
		return Operation{Kind: kindExecute, Name: o.Name, Text: o.Arguments}, true
	default:
		return Operation{}, false
	}
}

// Decode converts the wire form back. It returns an *UnknownKindError for an
// unknown kind.
func (o Operation) Decode() (statement.Operation, error) {
	switch o.Kind {
	case kindCommit:
		return statement.Commit{}, nil
	case kindRollback:
		return statement.Rollback{}, nil
	case kindRead:
		return statement.Read{Text: o.Text}, nil
	case kindWrite:
		return statement.Write{Text: o.Text}, nil
	case kindSet:
		return statement.Set{Name: o.Name, Text: o.Text}, nil
	case kindExecute:
		return statement.Execute{Name: o.Name, Arguments: o.Text}, nil
	default:
		return nil, &UnknownKindError{Kind: o.Kind}
	}
}

// UnknownKindError reports an Operation with an unknown kind.
type UnknownKindError struct{ Kind string }

func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown kind of operation %q", e.Kind) }

// RunResponse is the response to a RunRequest.
type RunResponse struct {
	// Refused is set if the proxy currently rejects forwarded requests. Nothing
	// ran.
	Refused bool `json:"refused,omitempty"`
	// NoGrant is set if the operation was refused because no accountant of its workspace
	// answers. It may be sent again with RunRequest.Reserve.
	NoGrant   bool              `json:"noGrant,omitempty"`
	Rows      []byte            `json:"rows,omitempty"`
	Signature []byte            `json:"signature,omitempty"`
	Failed    bool              `json:"failed,omitempty"`
	Code      statement.Code    `json:"code,omitempty"`
	Text      string            `json:"text,omitempty"`
	State     statement.State   `json:"state,omitempty"`
	Position  position.Position `json:"position"`
	// Floor is the position of the session's last acknowledged commit.
	Floor position.Position `json:"floor"`
	// Unreachable lists the homes of the group that the responding proxy could
	// not reach recently.
	Unreachable []string `json:"unreachable,omitempty"`
}
