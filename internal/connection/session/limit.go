package session

import (
	"fmt"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Limits decides on the operations of workspaces.
type Limits interface {
	// Take takes a token for an operation of a class with the given priority, and waits for
	// it briefly. hosted is set if the caller is connected to another proxy. It returns a
	// *LimitError if there is none.
	Take(name string, priority int, hosted bool) (workspace.Granted, error)
	// PutBack puts a token back that was not used.
	PutBack(name string, g workspace.Granted)
	// Entered records an operation of a caller that is connected to this proxy.
	Entered(name string)
	// Reserve takes an operation from this proxy's reserve. It returns false if an
	// accountant answers, or the reserve is used up.
	Reserve(name string) bool
	// ReportSilence records that no accountant answers a home.
	ReportSilence(name string)
}

// LimitError reports that an operation was refused for its workspace's limit. Nothing ran.
type LimitError struct {
	Workspace string
	Rate      float64
	workspace.Refused
}

func (e *LimitError) Error() string {
	if e.Silent {
		return fmt.Sprintf("the limit of workspace %s cannot be confirmed; retry after %d ms", e.Workspace, e.Retry)
	}
	return fmt.Sprintf("workspace %s is over its limit of %g operations per second; retry after %d ms", e.Workspace, e.Rate, e.Retry)
}

// token is the token of an operation that has not been sent yet.
type token struct {
	workspace.Granted
	held bool
	// reserved is set if the proxy of the caller has taken the operation from its
	// reserve, for the first statement that is sent.
	reserved bool
}

// takeToken makes sure that the current operation may be sent: it has a token that is
// not too old. It returns false, with the failure in the answer, if the operation must
// not run.
//
// A statement that is sent again, because a database has refused it or has not answered,
// needs another token: the limit is on what arrives at databases. While databases refuse
// much, a workspace therefore runs less, but it stays within its bound.
func (s *Session) takeToken() bool {
	if s.Limits == nil || s.workspace == "" || s.token.reserved {
		return true
	}
	if s.token.held && s.Clock.Now() < s.token.Until {
		return true
	}
	// A token that has become too old during a wait still counts against the workspace's
	// limit, unless it is put back.
	s.putBackToken()
	granted, err := s.Limits.Take(s.workspace, s.route.Priority, s.hostedRoute != nil)
	if err == nil {
		s.token.Granted, s.token.held = granted, true
		return true
	}
	s.refuseForLimit(err)
	return false
}

func (s *Session) refuseForLimit(err error) {
	s.fail(statement.CodeBusy, err.Error())
	var e *LimitError
	if !errors.As(err, &e) {
		return
	}
	s.limited, s.refused = e, true
	if !e.Silent || s.hostedRoute == nil {
		// While accountants are silent, the proxy of the caller may still take the
		// operation from its reserve, and counts it otherwise.
		s.countRefusal(e.Workspace, ReasonLimit)
	}
	fields := append(s.refusalFields(e.Workspace, s.resolve(), ReasonLimit), zap.Int("count", e.Used),
		zap.Float64("limit", e.Rate), zap.Stringer("retry", e.Retry), zap.Bool("accountantSilent", e.Silent))
	if e.Age >= 0 {
		fields = append(fields, zap.Stringer("shareAge", e.Age))
	}
	s.Log.Info("operation refused for its workspace's limit", fields...)
}

// useToken marks the token as used: the operation is sent now.
func (s *Session) useToken(now clock.Time) {
	if s.Usage != nil && (s.token.held || s.token.reserved) {
		s.Usage.Admitted(s.workspace, now)
	}
	if s.token.held && s.hostedRoute == nil && s.Limits != nil {
		s.Limits.Entered(s.workspace)
	}
	s.token.held, s.token.reserved = false, false
}

// putBackToken puts the token back if the operation has not been sent.
func (s *Session) putBackToken() {
	if s.token.held {
		s.Limits.PutBack(s.workspace, s.token.Granted)
		s.token.held = false
	}
}

// beginsOperation reports whether a request that is forwarded begins an operation.
func (s *Session) beginsOperation() bool {
	return s.Limits != nil && s.workspace != "" && (s.tx == nil || s.tx.home == "")
}
