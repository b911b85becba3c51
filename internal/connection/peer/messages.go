// Package peer forwards requests to home proxies, which hold the connections to
// a database group on behalf of the other proxies.
package peer

import (
	"fmt"
	"slices"
	"unicode/utf8"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

//go:generate go tool -modfile=../../../tools/go.mod msgp -file messages.go -o messages_gen.go -io=false -tests=false -unexported

// The tags of msgp are sent on the wire. Fields that are empty are omitted, and
// fields with unknown tags are skipped, so that builds with other fields
// understand each other. The limits bound what one message can allocate; that of
// arrays is above the number of values that fit into a frame, because a request that
// cannot be decoded closes the connection.
//
//msgp:limit arrays:400000 maps:64
//msgp:replace clock.Duration with:int64
//msgp:replace routes.Consistency with:uint8
//msgp:replace statement.Code with:uint8
//msgp:replace statement.State with:uint8
//msgp:replace statement.Set with:wireSet
//msgp:shim Kind as:uint8 using:Kind.number/kindOfNumber
//msgp:ignore UnknownKindError

// MethodRun is the name of the call that runs a caller's request at another
// proxy, if that is of a build without frames.
const MethodRun = proxy.MethodRun

//msgp:tuple wireSet

// wireSet is the encoding of a statement.Set.
type wireSet struct {
	Name string
	Text string
}

//msgp:tuple Position

// Position is the encoding of a position.Position.
type Position struct {
	Term   uint64
	Offset uint64
}

// IsZero reports whether p is the zero Position.
func (p Position) IsZero() bool { return p == Position{} }

// RunRequest is a caller's request together with its route and the state of its
// session.
type RunRequest struct {
	// Session identifies the caller's session across all proxies.
	Session string `json:"session" msg:"s,omitempty"`
	// Transaction is the number of the open transaction within the session, or
	// zero outside a transaction.
	Transaction uint64 `json:"transaction,omitempty" msg:"t,omitempty"`
	// Begin is set on the first statement of a transaction.
	Begin *Begin `json:"begin,omitempty" msg:"b,omitempty"`

	// Workspace is the workspace on whose behalf the request runs. The sender has
	// checked the caller's key.
	Workspace string `json:"workspace,omitempty" msg:"w,omitempty"`
	// Reserve is set if the sender has taken the operation from its reserve, because no
	// accountant answers. The home needs no token for it then.
	Reserve bool `json:"reserve,omitempty" msg:"v,omitempty"`

	Route         string             `json:"route" msg:"r,omitempty"`
	Group         string             `json:"group" msg:"g,omitempty"`
	Consistency   routes.Consistency `json:"kind" msg:"k,omitempty"`
	Timeout       clock.Duration     `json:"timeout" msg:"d,omitempty"`
	TargetLatency clock.Duration     `json:"target" msg:"l,omitempty"`
	Priority      int                `json:"priority" msg:"p,omitempty"`
	MaxAge        clock.Duration     `json:"maxAge,omitempty" msg:"a,omitempty"`
	// AnswerWithin is how long the sender waits for the answer, if that is shorter than
	// Timeout. A request that waits longer for a slot would occupy it in vain, since the
	// sender has sent it elsewhere by then.
	AnswerWithin clock.Duration `json:"answerWithin,omitempty" msg:"z,omitempty"`

	// Floor is the position of the session's last acknowledged commit. Values
	// holds the session variables, which are sent unless the home already has them
	// from the first statement of the transaction. Prepared is set for a
	// statement.Execute.
	Floor    Position        `json:"floor" msg:"f,omitzero"`
	Values   []statement.Set `json:"values,omitempty" msg:"e,omitempty"`
	Prepared *Prepared       `json:"prepared,omitempty" msg:"x,omitempty"`

	ID        string    `json:"id" msg:"i,omitempty"`
	Operation Operation `json:"operation" msg:"o,omitzero"`
}

// FitsJSON reports whether JSON carries the request unchanged: its texts are any bytes,
// those of JSON are UTF-8.
func (r *RunRequest) FitsJSON() bool {
	texts := [...]string{r.Session, r.Workspace, r.Route, r.Group, r.ID, r.Operation.Name, r.Operation.Text}
	valid := !slices.ContainsFunc(texts[:], isNotUTF8)
	for _, v := range r.Values {
		valid = valid && !isNotUTF8(v.Name) && !isNotUTF8(v.Text)
	}
	if r.Begin != nil {
		valid = valid && !isNotUTF8(r.Begin.ID)
	}
	if r.Prepared != nil {
		valid = valid && !isNotUTF8(r.Prepared.Name) && !isNotUTF8(r.Prepared.Shape)
	}
	return valid
}

func isNotUTF8(text string) bool { return !utf8.ValidString(text) }

// Begin holds the parameters of the caller's BEGIN.
type Begin struct {
	ID       string `json:"id" msg:"i,omitempty"`
	ReadOnly bool   `json:"readOnly,omitempty" msg:"r,omitempty"`
}

// Prepared is the prepared statement that an execute operation refers to.
type Prepared struct {
	Name   string `json:"name" msg:"n,omitempty"`
	Writes bool   `json:"writes,omitempty" msg:"w,omitempty"`
	Shape  string `json:"shape" msg:"s,omitempty"`
}

// Operation is the wire form of a statement.Operation.
type Operation struct {
	Kind Kind   `json:"kind" msg:"k"`
	Name string `json:"name,omitempty" msg:"n,omitempty"`
	Text string `json:"text,omitempty" msg:"t,omitempty"`
	// Empty is set if Text is empty and not left out.
	Empty bool `json:"empty,omitempty" msg:"e,omitempty"`
}

// Kind is the kind of an Operation. In a frame it is sent as its number.
type Kind string

// The kinds of operations.
const (
	kindCommit   Kind = "commit"
	kindRollback Kind = "rollback"
	kindRead     Kind = "read"
	kindWrite    Kind = "write"
	kindSet      Kind = "set"
	kindExecute  Kind = "execute"
)

// kinds has the kinds by number. The numbers are sent on the wire, and zero stands
// for an unknown kind.
var kinds = [...]Kind{"", kindCommit, kindRollback, kindRead, kindWrite, kindSet, kindExecute}

func (k Kind) number() uint8 { return uint8(max(slices.Index(kinds[:], k), 0)) }

func kindOfNumber(n uint8) Kind {
	if int(n) < len(kinds) {
		return kinds[n]
	}
	return ""
}

// IsZero reports whether no operation is set. A request that is sent has one.
func (o Operation) IsZero() bool { return o == Operation{} }

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
		return Operation{Kind: kindExecute, Name: o.Name, Text: o.Arguments, Empty: o.EmptyArguments}, true
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
		return statement.Execute{Name: o.Name, Arguments: o.Text, EmptyArguments: o.Empty && o.Text == ""}, nil
	default:
		return nil, &UnknownKindError{Kind: o.Kind}
	}
}

// UnknownKindError reports an Operation with an unknown kind.
type UnknownKindError struct{ Kind Kind }

func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown kind of operation %q", e.Kind) }

// RunResponse is the response to a RunRequest.
type RunResponse struct {
	// Refused is set if the proxy currently rejects forwarded requests. Nothing
	// ran.
	Refused bool `json:"refused,omitempty" msg:"x,omitempty"`
	// NoGrant is set if the operation was refused because no accountant of its workspace
	// answers. It may be sent again with RunRequest.Reserve.
	NoGrant   bool            `json:"noGrant,omitempty" msg:"n,omitempty"`
	Rows      []byte          `json:"rows,omitempty" msg:"r,omitempty"`
	Signature []byte          `json:"signature,omitempty" msg:"g,omitempty"`
	Failed    bool            `json:"failed,omitempty" msg:"e,omitempty"`
	Code      statement.Code  `json:"code,omitempty" msg:"c,omitempty"`
	Text      string          `json:"text,omitempty" msg:"t,omitempty"`
	State     statement.State `json:"state,omitempty" msg:"s,omitempty"`
	Position  Position        `json:"position" msg:"p,omitzero"`
	// Floor is the position of the session's last acknowledged commit.
	Floor Position `json:"floor" msg:"f,omitzero"`
	// Unreachable lists the homes of the group that the responding proxy could
	// not reach recently.
	Unreachable []string `json:"unreachable,omitempty" msg:"u,omitempty"`
}
