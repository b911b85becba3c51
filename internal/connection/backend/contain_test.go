package backend

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// panickingConn panics over each answer.
type panickingConn struct{ silentConn }

func (panickingConn) Exchange(clock.Duration, []statement.Request, []statement.Answer) (int, error) {
	panic("unexpected answer")
}

// panickingDialer panics over each second greeting.
type panickingDialer struct{ countingDialer }

func (d *panickingDialer) Dial(ctx context.Context, to Target) (Conn, statement.Answer, error) {
	_, greeting, err := d.countingDialer.Dial(ctx, to)
	if d.dials.Load()%2 == 0 {
		panic("unexpected greeting")
	}
	return panickingConn{}, greeting, err
}

// An answer or a greeting that makes the decoder panic counts as a broken
// connection, whose request is unanswered.
func TestPanicOverAnAnswerBreaksOnlyItsConnection(t *testing.T) {
	s := DefaultSettings()
	s.MaxOpen, s.MinRetryDelay = 1, 0
	p := newTestPool(t, &panickingDialer{}, s)
	for range 2 {
		c, err := p.Acquire(p.clock.Now().Add(clock.Second), nil)
		require.NoError(t, err)
		var contained *contain.Error
		_, err = c.Exchange(clock.Second, make([]statement.Request, 1), make([]statement.Answer, 1))
		require.ErrorAs(t, err, &contained)
		c.Discard()
		_, err = p.Acquire(p.clock.Now().Add(clock.Second), nil)
		require.ErrorAs(t, err, &contained)
		require.Zero(t, p.Stats().Open)
	}
}
