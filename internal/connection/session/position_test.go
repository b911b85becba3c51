package session

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// unplacedDialer connects to a primary whose signed answers have no position, and to replicas
// that receive nothing.
type unplacedDialer struct{ primary, replica *memoryDatabase }

type unplacedConn struct{ backend.Conn }

func (d unplacedDialer) Dial(ctx context.Context, to backend.Target) (backend.Conn, statement.Answer, error) {
	if to.ID != "a" {
		return d.replica.Dial(ctx, to)
	}
	c, a, err := d.primary.Dial(ctx, to)
	return unplacedConn{c}, a, err
}

func (c unplacedConn) Exchange(limit clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error) {
	n, err := c.Conn.Exchange(limit, requests, answers)
	for i := range answers[:n] {
		if len(answers[i].Signature) > 0 {
			answers[i].Position = position.Position{}
		}
	}
	return n, err
}

// A write whose answer had no position was acknowledged, though no other database had it.
func TestWriteWithoutAPositionIsInDoubt(t *testing.T) {
	c := clock.NewBoot()
	g := backend.NewGroupClient("shop", "z", backend.DefaultSettings(), unplacedDialer{&memoryDatabase{}, &memoryDatabase{replica: true}}, c, zap.NewNop(), func() {})
	t.Cleanup(g.Close)
	for _, id := range []string{"a", "b", "c"} {
		role := database.RoleReplica
		if id == "a" {
			role = database.RolePrimary
		}
		g.Update(group.Entry{ID: id, Group: "shop", Address: id, Slots: 4, Role: role})
		now := c.Now()
		g.ObserveStatus(id, now, now, database.Status{Role: role, Term: 1, Received: position.Position{Term: 1}, Applied: position.Position{Term: 1}})
	}
	s := newMemorySession(g, 1, routes.Primary)
	for _, operations := range [][]statement.Operation{
		{statement.Write{Text: "WRITE a b"}},
		{statement.Begin{}, statement.Write{Text: "WRITE a b"}, statement.Commit{}},
	} {
		var f *statement.Failure
		for _, o := range operations {
			require.Nil(t, f)
			f = s.request("q", o)
		}
		require.NotNil(t, f, "%d statements", len(operations))
		require.Equal(t, statement.CodeInDoubt, f.Code, f)
	}
}
