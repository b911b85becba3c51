package backend

import (
	"slices"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// fence is a sequence of requests of the proxy itself that succeed in order and occupy no
// slot of the database. If an answer before them was a repetition of an earlier one, each of
// them is answered with what belongs to a request before it, and not all of that fits.
type fence []statement.Request

var (
	prepareFence    = statement.Request{Operation: statement.Prepare{Name: "fence", Shape: "fence"}}
	deallocateFence = statement.Request{Operation: statement.Deallocate{Name: "fence"}}
	// openFence is the fence where a transaction may be open. It leaves the transaction and
	// the prepared statements as they are.
	openFence = fence{prepareFence, deallocateFence}
)

// fenceAfter returns the fence to send behind requests, nil if there is none: the last answer
// may be a repetition, and neither the next request may be sent then, nor the connection kept.
func (s *answerSequence) fenceAfter(requests []statement.Request) fence {
	switch requests[len(requests)-1].Operation.(type) {
	case statement.Begin:
		if s.unsigned {
			return openFence
		}
	case statement.Set:
		if s.state == statement.InTransaction {
			return openFence
		}
	case statement.Rollback:
		return frequentFences.choose(s.statesAfter(requests))
	}
	return nil
}

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
	_, err := c.exchangeFenced(limit, nil, nil, rareFences.choose(c.answers.states), nil)
	return err
}

// ExchangeVerified is Exchange for requests without signatures outside a transaction, none
// of whose answers is a repetition of an earlier one if it returns no error. It needs no
// other round trip.
func (c *PooledConn) ExchangeVerified(limit clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error) {
	if len(requests) == 1 && !c.answers.unsigned && c.answers.alignment == aligned {
		return c.exchange(limit, requests, answers, 0, len(requests))
	}
	return c.exchangeFenced(limit, requests, answers, nil, frequentFences.choose(c.answers.statesAfter(requests)))
}

// exchangeStatus sends the first of x's requests, which is answered with a status, and
// returns an error if the answer may be a repetition. A fence goes in the same write if the
// row is probably like an earlier one. A fence that turns out to be needed costs a round
// trip, which may take as long as the first.
func (c *PooledConn) exchangeStatus(limit clock.Duration, x *exchange) error {
	if c.answers.alignment == unknown || !c.fencesStatus {
		if _, err := c.Exchange(limit, x.requests[:1], x.answers[:1]); err != nil {
			return err
		}
		if c.fencesStatus = c.ambiguous; !c.ambiguous || x.answers[0].Failure != nil {
			return nil
		}
		return c.Verify(limit)
	}
	n := 1 + copy(x.requests[1:], frequentFences.choose(c.answers.states))
	_, err := c.exchange(limit, x.requests[:n], x.answers[:n], 0, 1)
	return err
}

// exchangeFenced is Exchange with fences before and after the requests.
func (c *PooledConn) exchangeFenced(limit clock.Duration, requests []statement.Request, answers []statement.Answer, before, after fence) (int, error) {
	begin, end := len(before), len(before)+len(requests)
	fenced := slices.Concat(before, requests, after)
	received := make([]statement.Answer, len(fenced))
	copy(received[begin:], answers)
	_, err := c.exchange(limit, fenced, received, begin, end)
	copy(answers, received[begin:end])
	if err != nil {
		return 0, err
	}
	return len(requests), nil
}
