// Package outcome defines the errors that a proxy returns to callers. Their
// SQLSTATE tells whether a request did not run, ran and failed, or may have run.
package outcome

// SQLSTATEs that the proxy itself sends. It also sends 26000 for an unknown
// prepared statement and 40001 for a transaction that was rolled back. Any other
// SQLSTATE comes from a database, in its answer to a request that ran and failed.
const (
	// CodeRefused means that the request did not run and may be sent again.
	CodeRefused = "53OF1"
	// CodeOverloaded means that the request did not run because of load and may
	// be retried later.
	CodeOverloaded = "53300"
	// CodeUnknown means that the request was sent but its answer was lost.
	CodeUnknown = "08007"
	// CodeAlreadyRan means that a request with the same id has already run.
	CodeAlreadyRan = "23OF1"
	// CodeCancelled means that the caller cancelled the request.
	CodeCancelled = "57014"
	// CodeInvalid means that the request is invalid and did not run.
	CodeInvalid = "22023"
	// CodeUnsupported means that the proxy does not support the request, in most
	// cases because it needs state bound to one connection.
	CodeUnsupported = "0A000"
	// CodeProtocol means that the caller violated the protocol.
	CodeProtocol = "08P01"
	// CodeShutdown means that the proxy is shutting down and the caller should
	// connect again.
	CodeShutdown = "57P01"
	// CodeNoGroup means that no database group of this name is declared.
	CodeNoGroup = "3D000"
	// CodePassword means that the caller was not authenticated.
	CodePassword = "28P01"
)

// Kind tells whether a request that was not answered normally has run.
type Kind int

// The kinds of outcome.
const (
	// Refused means that the request did not run.
	Refused Kind = iota + 1
	// Failed means that the request ran and was answered with an error.
	Failed
	// Unknown means that the request may have run.
	Unknown
)

// String returns the name of k, as used in the detail of an error and in logs.
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

// Error is the outcome of a request that was not answered normally. Code is its
// SQLSTATE.
type Error struct {
	Kind    Kind
	Code    string
	Message string
}

func (e *Error) Error() string { return e.Message }

// Detail returns the text that tells the caller whether the request has run. It
// is the same for all errors of a kind.
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

// NewRefused returns an error for a request that did not run.
func NewRefused(code, message string) *Error {
	return &Error{Kind: Refused, Code: code, Message: message}
}

// NewUnknown returns an error for a request whose answer was lost.
func NewUnknown(message string) *Error {
	return &Error{Kind: Unknown, Code: CodeUnknown, Message: message}
}
