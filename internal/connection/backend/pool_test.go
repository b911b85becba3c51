package backend

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// failingDialer opens connections until failing is set.
type failingDialer struct {
	failing atomic.Bool
	dials   atomic.Int64
}

var errRefusedDial = errors.New("connection refused")

func (d *failingDialer) Dial(context.Context, Target) (Conn, statement.Answer, error) {
	d.dials.Add(1)
	if d.failing.Load() {
		return nil, statement.Answer{}, errRefusedDial
	}
	return silentConn{}, statement.Answer{}, nil
}

func newTestPool(t *testing.T, d Dialer, s Settings) *Pool {
	p := NewPool(Target{Group: "shop", ID: "a", Address: "a"}, s, d, clock.NewBoot(), zap.NewNop(), func(statement.Answer, clock.Time, error) {})
	t.Cleanup(p.Close)
	return p
}

// A pool that may open no connection must say so: without an error, the caller
// would use a connection that does not exist.
func TestAcquireWithoutAllowedConnections(t *testing.T) {
	s := DefaultSettings()
	s.MaxOpen = 0
	p := newTestPool(t, &countingDialer{}, s)
	c, err := p.Acquire(p.clock.Now().Add(clock.Second), nil)
	var none *NoConnectionsError
	require.ErrorAs(t, err, &none)
	require.Equal(t, NoConnectionsError{Database: "a", Limit: 0}, *none)
	require.Nil(t, c)
}

// When the last connection breaks while the database accepts no others, the
// requests that wait for it are refused at once: nothing can serve them before
// the next attempt to connect.
func TestWaitingRequestsEndWithTheLastConnection(t *testing.T) {
	d := &failingDialer{}
	s := DefaultSettings()
	s.MaxOpen, s.MinRetryDelay, s.MaxRetryDelay = 2, clock.Minute, clock.Minute
	p := newTestPool(t, d, s)
	c, err := p.Acquire(p.clock.Now().Add(clock.Second), nil)
	require.NoError(t, err)
	d.failing.Store(true)
	began := p.clock.Now()
	failed := make(chan error, 1)
	go func() {
		_, err := p.Acquire(p.clock.Now().Add(clock.Minute), nil)
		failed <- err
	}()
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.waiting) == 1 && p.dialErr != nil
	}, clock.Minute.Std(), clock.Millisecond.Std())
	c.Discard()
	require.ErrorIs(t, <-failed, errRefusedDial)
	require.Less(t, p.clock.Now().Sub(began), 30*clock.Second, "the request waited for its deadline")
}

// The errors of a pool name the database and the values that decided.
func TestPoolErrorsNameTheirValues(t *testing.T) {
	s := DefaultSettings()
	s.MaxOpen, s.MaxWaiting = 1, 0
	p := newTestPool(t, &countingDialer{}, s)
	_, err := p.Acquire(p.clock.Now(), nil)
	require.EqualError(t, err, "0 requests already wait for a connection to a")
	s.MaxWaiting = 1
	p = newTestPool(t, &countingDialer{}, s)
	c, err := p.Acquire(p.clock.Now().Add(clock.Second), nil)
	require.NoError(t, err)
	_, err = p.Acquire(p.clock.Now().Add(-1), nil)
	require.EqualError(t, err, "no connection to a became free within 0s")
	c.Release()
	p.Close()
	_, err = p.Acquire(p.clock.Now().Add(clock.Second), nil)
	require.EqualError(t, err, "database a has gone")
}
