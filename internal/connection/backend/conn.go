// Package backend keeps connections to databases on backend servers: it opens
// them, shares them between sessions, limits the requests in flight and tracks
// the latency of each database.
package backend

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Target identifies a database, its address, and on whose behalf a connection is
// opened.
type Target struct {
	Group   string
	ID      string
	Address string
	// Workspace is empty for connections that serve the proxy itself or callers of
	// public routes.
	Workspace string
}

// Dialer opens connections to databases.
type Dialer interface {
	// Dial returns a connection and the database's greeting. If the database
	// refuses the connection, the error is a *statement.Failure.
	Dial(ctx context.Context, to Target) (Conn, statement.Answer, error)
}

// Conn is a connection to a database.
type Conn interface {
	// Exchange sends all requests at once and reads their answers in order,
	// within limit. It returns the number of answers read. After an error the
	// connection must not be used any more.
	Exchange(limit clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error)
	// Check returns an error if Exchange would not send the requests, because one of
	// them has no valid encoding. It is a *TooLongError if that is longer than a message
	// may be. The connection stays as it is.
	Check(requests []statement.Request) error
	// Buffered returns the number of bytes that were received with the last answer and
	// are not part of it.
	Buffered() int
	// Unread returns the number of received bytes that no request waits for, at least 1
	// if there are any, and takes them away: the connection must not be used then. It
	// returns an error if the connection has ended.
	Unread() (int, error)
	// DecodeStatus decodes the answer to an operation that returns a status,
	// such as statement.Status.
	DecodeStatus(a *statement.Answer) (database.Status, error)
	// Close closes the connection, which rolls back a transaction that is open
	// on it.
	Close()
}

// PooledConn is a pooled connection together with the session state that is set
// on it.
type PooledConn struct {
	Conn
	// Workspace is the workspace that the connection was opened for. It serves no
	// other.
	Workspace string
	// Values are the session values that are set on the connection, by name.
	Values map[string]string
	// Prepared holds the names of the statements that are prepared on the
	// connection.
	Prepared map[string]struct{}
	// NeedsReset is set when the session state of the connection is unknown, so
	// that it must be reset before its next use.
	NeedsReset bool
	// UsedAt is when the connection was last released, or when it last answered
	// while it was prepared for a request.
	UsedAt clock.Time
	// OpenedAt is when the database had accepted the connection.
	OpenedAt clock.Time
	pool     *Pool
	answers  answerSequence
	// exchanged is set once requests were sent on the connection.
	exchanged bool
	// ambiguous is set if the last answer may be a repetition.
	ambiguous bool
	// fencesStatus is set if the row of the last status was like an earlier one, which the
	// next will probably be too.
	fencesStatus bool
	// probedAt is when nothing was left to read on the connection.
	probedAt clock.Time
}

// NotSentError reports that a connection cannot be used. No request was sent on it.
type NotSentError struct {
	Database string
	// Unread is how many bytes were there to read that no request waits for. It is zero
	// if the connection has ended.
	Unread int
	// Cause is why the connection has ended.
	Cause error
}

func (e *NotSentError) Error() string {
	if e.Unread > 0 {
		return fmt.Sprintf("%d bytes of %s that no request waits for", e.Unread, e.Database)
	}
	return "the connection to " + e.Database + " has ended: " + e.Cause.Error()
}

// Unwrap returns why the connection has ended.
func (e *NotSentError) Unwrap() error { return e.Cause }

// TooLongError reports a request whose encoding is longer than a message may be.
type TooLongError struct{ Cause error }

func (e *TooLongError) Error() string { return e.Cause.Error() }

// Unwrap returns the error of the encoder.
func (e *TooLongError) Unwrap() error { return e.Cause }

// Probe returns a *NotSentError if the connection cannot be used: an answer to the next
// request would be read after bytes that belong to none, or the connection has ended.
func (c *PooledConn) Probe() error {
	now := c.pool.clock.Now()
	if now == c.probedAt {
		return nil
	}
	unread, err := c.Unread()
	if unread > 0 {
		c.pool.recordFault(c, FaultUnread, "", "connection closed", zap.Int("bytesBefore", unread))
		return &NotSentError{Database: c.pool.ID, Unread: unread}
	}
	if err != nil {
		return &NotSentError{Database: c.pool.ID, Cause: err}
	}
	c.probedAt = now
	return nil
}

// UnexpectedAnswerError reports an answer that cannot be that of its request. No answer of
// the exchange is to be used, and the request counts as unanswered.
type UnexpectedAnswerError struct {
	Database string
	// Operation is what the request asked for.
	Operation string
	Fault     AnswerFault
	// Cause is the error of the decoder, if there is one.
	Cause error
}

func (e *UnexpectedAnswerError) Error() string {
	text := "answer of " + e.Database + " to " + e.Operation + " is not its own: " + e.Fault.String()
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the error of the decoder, if there is one.
func (e *UnexpectedAnswerError) Unwrap() error { return e.Cause }

// Exchange sends requests as Conn.Exchange does. It returns a *NotSentError if it has not
// sent them, and an *UnexpectedAnswerError if an answer cannot be that of its request. If
// it panics, for example over an answer that nobody expected, the connection counts as
// broken. After an error the answers are empty.
func (c *PooledConn) Exchange(limit clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error) {
	var before fence
	if c.answers.alignment == unknown && c.answers.state == statement.Idle {
		before = frequentFences.choose(c.answers.states)
	}
	after := c.answers.fenceAfter(requests)
	if before == nil && after == nil {
		return c.exchange(limit, requests, answers, 0, len(requests))
	}
	return c.exchangeFenced(limit, requests, answers, before, after)
}

// exchange is Exchange for requests that include fences: those before begin and those from
// end on.
func (c *PooledConn) exchange(limit clock.Duration, requests []statement.Request, answers []statement.Answer, begin, end int) (int, error) {
	if err := c.Probe(); err != nil {
		return 0, err
	}
	c.probedAt, c.exchanged = 0, true
	n, err := c.exchangeContained(limit, requests, answers)
	if err == nil {
		err = c.check(requests, answers, begin, end)
	}
	if err == nil {
		if c.pool.malformed.Load() {
			c.pool.malformed.Store(false)
		}
		return n, nil
	}
	var unexpected *UnexpectedAnswerError
	if errors.As(err, &unexpected) {
		unexpected.Database = c.pool.ID
		if unexpected.Fault == FaultForm {
			c.pool.malformed.Store(true)
		}
		c.pool.recordFault(c, unexpected.Fault, unexpected.Operation, "answers not used", zap.Error(unexpected.Cause))
	}
	for i := range answers {
		answers[i].Reset()
	}
	return n, err
}

func (c *PooledConn) exchangeContained(limit clock.Duration, requests []statement.Request, answers []statement.Answer) (n int, err error) {
	defer contain.Recover(c.pool.log, c.pool.exchangePart, &err)
	return c.Conn.Exchange(limit, requests, answers)
}

// check returns an *UnexpectedAnswerError if an answer cannot be that of its request.
func (c *PooledConn) check(requests []statement.Request, answers []statement.Answer, begin, end int) error {
	last := len(requests) - 1
	for i := range requests {
		var fault AnswerFault
		if i == end {
			if _, ok := requests[i-1].Operation.(statement.Rollback); ok && c.answers.state != statement.Idle {
				// It failed, and Release closes the connection.
				break
			}
			c.fencesStatus = c.ambiguous
		}
		fault, c.ambiguous = c.answers.observe(&requests[i], &answers[i])
		if i < begin || i >= end {
			if fault == FaultNone && answers[i].Failure != nil {
				fault = FaultFence
			}
			// Each answer before the last of the fence has its own request.
			c.ambiguous, c.answers.alignment = false, aligned
		}
		if fault != FaultNone {
			return &UnexpectedAnswerError{Operation: OperationName(requests[i].Operation), Fault: fault}
		}
	}
	left := c.Buffered()
	if left == 0 {
		return nil
	}
	operation := OperationName(requests[last].Operation)
	if c.ambiguous {
		// What was left may be the answer.
		return &UnexpectedAnswerError{Operation: operation, Fault: FaultUnread}
	}
	// No answer before equals this one: what was left follows the answer. The next Probe
	// closes the connection.
	c.pool.recordFault(c, FaultUnread, operation, "connection closed", zap.Int("bytesAfter", left))
	return nil
}

// MarkReset records that the connection's session state has been reset.
func (c *PooledConn) MarkReset() {
	clear(c.Values)
	clear(c.Prepared)
	c.NeedsReset = false
}

// CanAdopt reports whether values can be set on the connection without a reset,
// because it has no other session values set.
func (c *PooledConn) CanAdopt(values map[string]string) bool {
	if c.NeedsReset || len(c.Values) > len(values) {
		return false
	}
	for name := range c.Values {
		if _, ok := values[name]; !ok {
			return false
		}
	}
	return true
}

// hasExactly reports whether the connection has exactly these values set.
func (c *PooledConn) hasExactly(values map[string]string) bool {
	if c.NeedsReset || len(c.Values) != len(values) {
		return false
	}
	for name, text := range values {
		if c.Values[name] != text {
			return false
		}
	}
	return true
}
