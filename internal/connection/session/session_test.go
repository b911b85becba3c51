package session

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// endlessCaller sends statements of one transaction as fast as they are answered.
type endlessCaller struct {
	Caller
	sent    int
	answers chan statement.State
}

func (c *endlessCaller) ReadStartup(clock.Duration) (Startup, error) {
	return Startup{Database: "fills"}, nil
}
func (c *endlessCaller) Accept() error { return nil }
func (c *endlessCaller) Interrupt()    {}
func (c *endlessCaller) Resume()       {}
func (c *endlessCaller) Close()        {}

func (c *endlessCaller) Next(clock.Duration) (statement.Request, error) {
	if c.sent++; c.sent == 1 {
		return statement.Request{Operation: statement.Begin{}}, nil
	}
	return statement.Request{Operation: statement.Set{Name: "a", Text: "b"}}, nil
}

func (c *endlessCaller) Reply(a *statement.Answer) error {
	c.answers <- a.State
	return nil
}

// A transaction that does not end by itself must not keep the process from
// stopping: its session ends after the current request, however fast the next
// one follows.
func TestSessionEndsAfterItsRequest(t *testing.T) {
	var current routes.Current
	route := &routes.Route{Database: "fills", Group: "shop", Timeout: clock.Second}
	require.True(t, current.Accept(&routes.Version{Number: 1, Routes: map[string]*routes.Route{"fills": route}}))
	c := &endlessCaller{answers: make(chan statement.State)}
	s := New(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Configuration: &current, Group: func(string) *backend.GroupClient { return nil }}, 1, c)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run()
	}()
	for range 3 {
		require.Equal(t, statement.InTransaction, <-c.answers)
	}
	s.Drain()
	require.Equal(t, statement.InTransaction, <-c.answers, "a draining session may end its transaction")
	s.StopAfterRequest()
	for range 2 {
		select {
		case <-c.answers:
		case <-done:
			return
		}
	}
	<-done
}

// A draining session was closed with requests of its caller that had been read. Once it must
// end, it takes those only, and none in a transaction.
func TestDrainingSessionAnswersWhatHasArrived(t *testing.T) {
	read, begin := statement.Read{Text: "READ a"}, statement.Begin{}
	for name, c := range map[string]struct {
		first  statement.Operation
		unread int
		stop   func(*Session)
		want   int
	}{
		"drain":                         {read, 0, (*Session).Drain, 5},
		"drain, unread":                 {read, 2, (*Session).Drain, 5},
		"stop":                          {read, 0, (*Session).StopAfterRequest, 5},
		"stop, unread":                  {read, 2, (*Session).StopAfterRequest, 3},
		"drain in a transaction":        {begin, 0, (*Session).Drain, 5},
		"stop in a transaction":         {begin, 0, (*Session).StopAfterRequest, 2},
		"stop in a transaction, unread": {begin, 3, (*Session).StopAfterRequest, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newMemorySession(newMemoryGroup(t, &memoryDatabase{}), 1, routes.Primary)
			caller := &scriptedCaller{unread: c.unread, before: map[string]func(){"q2": func() { c.stop(s) }}}
			for i, o := range []statement.Operation{c.first, read, read, read, read} {
				caller.requests = append(caller.requests, statement.Request{ID: "q" + strconv.Itoa(i+1), Operation: o})
			}
			s.caller = caller
			s.Run()
			require.Len(t, caller.answers, c.want)
		})
	}
}
