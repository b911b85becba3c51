// Package outcome provides the errors that a caller can tell apart by
// SQLSTATE: whether a request did not run, ran and failed, or may have run.
package outcome

// SQLSTATEs sent by the proxy itself. Every other SQLSTATE is a database's
// own answer to a request that ran and failed.
const (
	// CodeRefused: the request did not run and may be sent again.
	CodeRefused = "53OF1"
	// CodeOverloaded: the request did not run because of load; retry later.
	CodeOverloaded = "53300"
	// CodeUnknown: the request was sent and its answer was lost.
	CodeUnknown = "08007"
	// CodeAlreadyRan: a request with this id ran before.
	CodeAlreadyRan = "23OF1"
	// CodeCancelled: the caller cancelled the request.
	CodeCancelled = "57014"
	// CodeInvalid: the request itself is not acceptable and did not run.
	CodeInvalid = "22023"
	// CodeUnsupported: the request needs state bound to one connection.
	CodeUnsupported = "0A000"
	// CodeProtocol: the caller broke the protocol.
	CodeProtocol = "08P01"
	// CodeShutdown: the proxy is leaving; connect again.
	CodeShutdown = "57P01"
	// CodeNoGroup: no database group of this name is declared.
	CodeNoGroup = "3D000"
	// CodePassword: the caller was not authenticated.
	CodePassword = "28P01"
)

// Kind is what is known of a request that was not answered normally.
type Kind int

// The kinds of outcome.
const (
	Refused Kind = iota + 1
	Failed
	Unknown
)

// String names k as it appears in an error's detail and in logs.
func (k Kind) String() string {
	switch k {
	case Refused:
		return "refused"
	case Failed:
		return "failed"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Error is the outcome of a request that was not answered normally.
type Error struct {
	Kind    Kind
	Code    string
	Message string
}

func (e *Error) Error() string { return e.Message }

// Detail returns the fixed text that tells callers what became of the
// request.
func (e *Error) Detail() string {
	switch e.Kind {
	case Refused:
		return "outcome=refused: the request did not run"
	case Failed:
		return "outcome=failed: the request ran and was answered with an error"
	default:
		return "outcome=unknown: the request may have run; do not repeat it without a request id"
	}
}

// NewRefused returns the error of a request that did not run.
func NewRefused(code, message string) *Error {
	return &Error{Kind: Refused, Code: code, Message: message}
}

// NewUnknown returns the error of a request whose answer was lost.
func NewUnknown(message string) *Error {
	return &Error{Kind: Unknown, Code: CodeUnknown, Message: message}
}
