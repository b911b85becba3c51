package backend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// answeringDialer opens connections that answer each request as they should.
type answeringDialer struct{ countingDialer }

type answeringConn struct {
	silentConn
	answers int
	state   statement.State
	// unread is what the next Unread finds.
	unread int
}

func (d *answeringDialer) Dial(ctx context.Context, to Target) (Conn, statement.Answer, error) {
	_, greeting, err := d.countingDialer.Dial(ctx, to)
	return &answeringConn{}, greeting, err
}

func (c *answeringConn) Unread() (int, error) { return c.unread, nil }

func (c *answeringConn) Exchange(_ clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error) {
	for i := range requests {
		c.answers++
		answers[i].Reset()
		switch requests[i].Operation.(type) {
		case statement.Begin:
			c.state = statement.InTransaction
		case statement.Commit:
			c.state = statement.Idle
		}
		answers[i].State = c.state
		if _, signed := expectation(requests[i].Operation); signed {
			answers[i].Signature = fmt.Append(answers[i].Signature, c.answers)
		}
	}
	return len(requests), nil
}

// A database that sends answers twice may send COMPLETE - of before to a BEGIN that has
// failed, whose transaction's writes would be committed one by one (UNASKED). Each BEGIN has a
// fence behind it on a connection that may have such an answer.
func TestConnectionsOfADatabaseThatRepeatsItself(t *testing.T) {
	p := NewPool(Target{ID: "a"}, DefaultSettings(), &answeringDialer{}, clock.NewBoot(), zap.NewNop(), func(statement.Answer, clock.Time, error) {})
	t.Cleanup(p.Close)
	// use runs operations and returns how many requests each took.
	use := func(operations ...statement.Operation) (*PooledConn, []int) {
		c, err := p.Acquire(p.clock.Now().Add(clock.Second), nil)
		require.NoError(t, err)
		conn := c.Conn.(*answeringConn)
		var sent []int
		for _, o := range operations {
			before := conn.answers
			_, err = c.Exchange(clock.Second, []statement.Request{{Operation: o}}, make([]statement.Answer, 1))
			require.NoError(t, err)
			sent = append(sent, conn.answers-before)
		}
		c.Release()
		return c, sent
	}
	read, begin, commit := statement.Read{Text: "READ a"}, statement.Begin{}, statement.Commit{}
	first, sent := use(read, begin, read, commit)
	require.Equal(t, []int{1, 1, 1, 1}, sent)
	same, sent := use(begin, read, commit, read)
	require.Same(t, first, same)
	require.Equal(t, []int{1 + len(openFence), 1, 1, 1}, sent)
	first.Conn.(*answeringConn).unread = 1
	time.Sleep(2 * time.Millisecond)
	second, sent := use(begin, read, commit)
	require.NotSame(t, first, second)
	require.Equal(t, []int{1, 1, 1}, sent)
	same, sent = use(begin, commit)
	require.Same(t, second, same)
	require.Equal(t, []int{1 + len(openFence), 1}, sent)
}

// A fence that a busy database refuses verifies nothing.
func TestRefusedFenceVerifiesNothing(t *testing.T) {
	p := NewPool(Target{ID: "a"}, DefaultSettings(), &answeringDialer{}, clock.NewBoot(), zap.NewNop(), func(statement.Answer, clock.Time, error) {})
	t.Cleanup(p.Close)
	c, err := p.Acquire(p.clock.Now().Add(clock.Second), nil)
	require.NoError(t, err)
	c.Conn = &busyConn{}
	for _, ambiguous := range []bool{false, true} {
		_, err = c.Exchange(clock.Second, []statement.Request{{Operation: statement.Read{Text: "READ a"}}}, make([]statement.Answer, 1))
		require.NoError(t, err)
		require.Equal(t, ambiguous, c.Ambiguous())
	}
	var unexpected *UnexpectedAnswerError
	require.ErrorAs(t, c.Verify(clock.Second), &unexpected)
	require.Equal(t, FaultFence, unexpected.Fault)
	c.Discard()
}

// busyConn answers each request with BUSY.
type busyConn struct{ answeringConn }

func (c *busyConn) Exchange(_ clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error) {
	for i := range requests {
		answers[i].Reset()
		answers[i].Failure = &statement.Failure{Code: statement.CodeBusy, Text: "a"}
	}
	return len(requests), nil
}
