package backend

import (
	"slices"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// noFence is the index of the fence in an exchange without one.
const noFence = -1

// fenceRequests is a fence: requests that occupy no slot of the database, and whose
// answers differ in their states from each other and from what may come before. If an
// answer before them was a repetition, the answers to them are others.
var fenceRequests = [...]statement.Request{{Operation: statement.Begin{ReadOnly: true}}, {Operation: statement.Rollback{}}}

// Ambiguous reports whether the last answer may be a repetition of an earlier one.
func (c *PooledConn) Ambiguous() bool { return c.ambiguous }

// Aligned reports whether the next answer is known to be that of the next request.
func (c *PooledConn) Aligned() bool { return c.answers.alignment == aligned }

// Verify returns an error, with which the connection must not be used any more, if an
// answer on the connection was a repetition of an earlier one. It costs a round trip if
// that is possible. No transaction may be open.
func (c *PooledConn) Verify(limit clock.Duration) error {
	if !c.ambiguous && c.answers.alignment == aligned {
		return nil
	}
	_, err := c.exchangeFenced(limit, nil, nil, 0)
	return err
}

// ExchangeVerified is Exchange for requests without signatures outside a transaction, none
// of whose answers is a repetition of an earlier one if it returns no error. It needs no
// other round trip.
func (c *PooledConn) ExchangeVerified(limit clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error) {
	if len(requests) == 1 && !c.answers.unsigned && c.answers.alignment == aligned {
		return c.exchange(limit, requests, answers, noFence)
	}
	return c.exchangeFenced(limit, requests, answers, len(requests))
}

// exchangeStatus sends the first of x's requests, which is answered with a status, and
// returns an error if the answer may be a repetition. A fence goes in the same write if the
// row is probably like an earlier one. A fence that turns out to be needed costs a round
// trip.
func (c *PooledConn) exchangeStatus(limit clock.Duration, x *exchange) error {
	if c.answers.alignment == unknown || !c.fencesStatus {
		began := c.pool.clock.Now()
		if _, err := c.Exchange(limit, x.requests[:1], x.answers[:1]); err != nil {
			return err
		}
		if c.fencesStatus = c.ambiguous; !c.ambiguous || x.answers[0].Failure != nil {
			return nil
		}
		return c.Verify(limit - c.pool.clock.Now().Sub(began))
	}
	copy(x.requests[1:], fenceRequests[:])
	_, err := c.exchange(limit, x.requests[:], x.answers[:], 1)
	return err
}

// exchangeFenced is Exchange with a fence before the request at the given index.
func (c *PooledConn) exchangeFenced(limit clock.Duration, requests []statement.Request, answers []statement.Answer, at int) (int, error) {
	fenced := slices.Insert(slices.Clone(requests), at, fenceRequests[:]...)
	received := slices.Insert(slices.Clone(answers), at, make([]statement.Answer, len(fenceRequests))...)
	_, err := c.exchange(limit, fenced, received, at)
	copy(answers, received[:at])
	copy(answers[at:], received[at+len(fenceRequests):])
	if err != nil {
		return 0, err
	}
	return len(requests), nil
}
