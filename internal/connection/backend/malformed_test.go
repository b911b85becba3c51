package backend

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// malformedDialer opens connections that greet as they should, and answer statuses with fault
// while it is not FaultNone.
type malformedDialer struct{ fault atomic.Uint32 }

type malformedConn struct {
	statusConn
	dialer *malformedDialer
}

func (d *malformedDialer) Dial(context.Context, Target) (Conn, statement.Answer, error) {
	return &malformedConn{dialer: d}, statement.Answer{}, nil
}

func (c *malformedConn) Exchange(limit clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error) {
	if f := AnswerFault(c.dialer.fault.Load()); f != FaultNone {
		return 0, &UnexpectedAnswerError{Operation: "Status", Fault: f}
	}
	return c.statusConn.Exchange(limit, requests, answers)
}

func (c *malformedConn) DecodeStatus(*statement.Answer) (database.Status, error) {
	return database.Status{Role: database.RolePrimary, Term: 1, Received: position.Position{Term: 1, Offset: 1}}, nil
}

func (d *malformedDialer) setFault(f AnswerFault) { d.fault.Store(uint32(f)) }

// askFor asks database a for its status again and again.
func askFor(g *GroupClient, period clock.Duration) {
	for until := g.clock.Now().Add(period); g.clock.Now() < until; Sleep(10) {
		_, _ = g.Command("a", statement.Status{}, 50)
	}
}

// A primary whose bytes are no answers was never replaced, as its connections open.
func TestPrimaryWhoseBytesAreNoAnswerIsSuspected(t *testing.T) {
	d := &malformedDialer{}
	g := newTestClient(t, d)
	askFor(g, 50)
	require.Equal(t, group.NoReason, g.Suspect(g.clock.Now()).Reason)
	d.setFault(FaultForm)
	askFor(g, clock.Second)
	require.Equal(t, group.Unreachable, g.Suspect(g.clock.Now()).Reason, "%+v", g.Members()[0])
	d.setFault(FaultNone)
	askFor(g, 50)
	require.Equal(t, group.NoReason, g.Suspect(g.clock.Now()).Reason)
	require.Zero(t, g.Members()[0].FailingSince)
}

// A database that sends answers twice is not lost.
func TestPrimaryThatRepeatsItselfIsNotSuspected(t *testing.T) {
	d := &malformedDialer{}
	g := newTestClient(t, d)
	askFor(g, 50)
	for _, f := range []AnswerFault{FaultRepeated, FaultUnread, FaultFence, FaultState} {
		d.setFault(f)
		askFor(g, clock.Second/2)
		require.Equal(t, group.NoReason, g.Suspect(g.clock.Now()).Reason, "%v", f)
		require.Zero(t, g.Members()[0].FailingSince, "%v", f)
	}
}
