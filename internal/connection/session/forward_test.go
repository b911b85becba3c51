package session

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// losses decides which requests of others, and which answers to them, are lost.
type losses struct {
	mu sync.Mutex
	// request and answer report whether a request or the answer to it is lost. They are
	// nil if none is.
	request, answer func(*peer.RunRequest) bool
}

func (l *losses) isLost(lost func(*peer.RunRequest) bool, run *peer.RunRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lost != nil && lost(run)
}

// losingHost is a Host to which some requests, and from which some answers, do not arrive.
type losingHost struct {
	*Host
	*losses
}

// Run implements proxy.Receiver.
func (h losingHost) Run(ctx context.Context, request []byte) (msgp.Marshaler, error) {
	var run peer.RunRequest
	if _, err := run.UnmarshalMsg(request); err != nil {
		return nil, &proxy.DecodeError{Cause: err}
	}
	if h.isLost(h.request, &run) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer, err := h.Host.Run(ctx, request)
	if h.isLost(h.answer, &run) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return answer, err
}

// firstOf reports whether a request is one of the first n of a kind.
func firstOf(n int, kinds ...peer.Kind) func(*peer.RunRequest) bool {
	left := make(map[peer.Kind]int)
	for _, kind := range kinds {
		left[kind] = n
	}
	return func(run *peer.RunRequest) bool {
		left[run.Operation.Kind]--
		return left[run.Operation.Kind] >= 0
	}
}

// A transaction whose statement is lost on its way must not keep a connection and locks at
// its home until it has been idle for seconds.
func TestTransactionOfALostStatementIsRolledBackAtItsHome(t *testing.T) {
	write, second := statement.Write{Text: "WRITE a b"}, statement.Write{Text: "WRITE a c"}
	tests := map[string]struct {
		lost      statement.Operation
		code      statement.Code
		rollbacks int
	}{
		"write":                          {lost: second, code: statement.CodeAborted},
		"read":                           {lost: statement.Read{Text: "READ a"}, code: statement.CodeAborted},
		"set":                            {lost: statement.Set{Name: "a", Text: "SET a b"}, code: statement.CodeAborted},
		"commit":                         {lost: statement.Commit{}, code: statement.CodeInDoubt},
		"rollback":                       {lost: statement.Rollback{}},
		"write and the first rollback":   {lost: second, code: statement.CodeAborted, rollbacks: 1},
		"commit and the first rollback":  {lost: statement.Commit{}, code: statement.CodeInDoubt, rollbacks: 1},
		"rollback and the one behind it": {lost: statement.Rollback{}, rollbacks: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := &memoryDatabase{}
			g := newMemoryGroup(t, d)
			h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient { return g }})
			l := &losses{}
			process := startForwardingProcesses(t, losingHost{h, l}, 1)[0]
			defer process.peers.Close()
			s := process.session(g, "p1")
			requireServed(t, s, "begin", statement.Begin{})
			requireServed(t, s, "write", write)
			lost, _ := peer.Encode(test.lost)
			isLost := firstOf(1, lost.Kind)
			if test.rollbacks > 0 {
				rollback, _ := peer.Encode(statement.Rollback{})
				isLost = firstOf(test.rollbacks, lost.Kind, rollback.Kind)
				if lost.Kind == rollback.Kind {
					isLost = firstOf(1+test.rollbacks, rollback.Kind)
				}
			}
			l.mu.Lock()
			l.request = isLost
			l.mu.Unlock()
			began := time.Now()
			f := s.request("lost", test.lost)
			require.Less(t, time.Since(began), 2*time.Second)
			if test.code == 0 {
				require.Nil(t, f)
			} else {
				require.NotNil(t, f)
				require.Equal(t, test.code, f.Code)
			}
			require.Eventually(t, func() bool { return h.Len() == 0 }, hostedIdleTimeout.Std(), time.Millisecond, "no sweep runs: the home has to be told")
			require.Empty(t, d.commits())
			require.Empty(t, d.runs("lost"))
			if s.tx != nil {
				requireServed(t, s, "rollback", statement.Rollback{})
			}
			requireServed(t, s, "begin-2", statement.Begin{})
			requireServed(t, s, "write-2", second)
			requireServed(t, s, "commit-2", statement.Commit{})
			require.Equal(t, []string{second.Text}, d.commits())
		})
	}
}

// A first statement that was answered with BUSY must not be part of the transaction that the
// caller goes on with: its write was committed together with the repeated one.
func TestUnansweredFirstStatementIsNotContinued(t *testing.T) {
	t.Parallel()
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	l := &losses{}
	process := startForwardingProcessesTo(t, func() proxy.Receiver {
		return losingHost{NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient { return g }}), l}
	}, 1)[0]
	defer process.peers.Close()
	s := process.session(g, "p1")
	// The group has three homes.
	const homes = 3
	write, _ := peer.Encode(statement.Write{})
	rollback, _ := peer.Encode(statement.Rollback{})
	l.answer, l.request = firstOf(homes, write.Kind), firstOf(100, rollback.Kind)
	requireServed(t, s, "begin", statement.Begin{})
	for range homes {
		f := s.request("write", statement.Write{Text: "WRITE a b"})
		require.NotNil(t, f)
		require.Equal(t, statement.CodeBusy, f.Code)
		backend.Sleep(1100 * clock.Millisecond) // homes that have not answered are avoided for a time
	}
	requireServed(t, s, "write", statement.Write{Text: "WRITE a b"})
	requireServed(t, s, "commit", statement.Commit{})
	require.Equal(t, []string{"WRITE a b"}, d.commits())
}

// cutRelay passes connections on to an address, until they are cut: they stay open then, and
// what is sent on them is lost.
type cutRelay struct {
	net.Listener
	target string

	mu    sync.Mutex
	conns []*relayedConn
}

type relayedConn struct {
	net.Conn
	isCut atomic.Bool
}

func (r *cutRelay) serve() {
	for {
		in, err := r.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &relayedConn{Conn: out}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.copy(out, in)
		go c.copy(in, out)
	}
}

func (c *relayedConn) copy(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if c.isCut.Load() {
			if err != nil {
				return
			}
			continue
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			_ = to.Close()
			return
		}
	}
}

// cut cuts the connections that are open.
func (r *cutRelay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.isCut.Store(true)
	}
}

// A home whose connection loses everything without an end, and which can be connected to
// again, is told to roll back on another connection.
func TestTransactionOfACutConnectionIsRolledBackAtItsHome(t *testing.T) {
	t.Parallel()
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient { return g }})
	server, err := proxy.NewPeers("127.0.0.1:0", h, zap.NewNop())
	require.NoError(t, err)
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	relay := &cutRelay{Listener: listener, target: server.Address()}
	go relay.serve()
	process := startForwardingProcess(t, slices.Repeat([]string{listener.Addr().String()}, homeCandidates), h)
	defer process.peers.Close()
	s := process.session(g, "p1")
	requireServed(t, s, "begin", statement.Begin{})
	requireServed(t, s, "write", statement.Write{Text: "WRITE a b"})
	relay.cut()
	f := s.request("lost", statement.Write{Text: "WRITE a c"})
	require.NotNil(t, f)
	require.Equal(t, statement.CodeAborted, f.Code)
	require.Eventually(t, func() bool { return h.Len() == 0 }, hostedIdleTimeout.Std(), time.Millisecond)
	require.Empty(t, d.commits())
	require.Zero(t, d.openTransactions())
}

// A statement behind one that was refused was served by a home and answered with success,
// though its transaction had failed.
func TestStatementOfAFailedTransactionIsNotForwarded(t *testing.T) {
	t.Parallel()
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient { return g }})
	process := startForwardingProcesses(t, h, 1)[0]
	defer process.peers.Close()
	s := process.session(g, "p1")
	s.key, s.Configuration = "k-north", &routes.Current{}
	require.True(t, s.Configuration.Accept(version(t, 1, map[string]string{"north": "k-north"})))
	requireServed(t, s, "begin", statement.Begin{})
	require.True(t, s.Configuration.Accept(version(t, 2, nil)))
	f := s.request("refused", statement.Write{Text: "WRITE a b"})
	require.NotNil(t, f)
	require.Equal(t, statement.CodeUnauthorized, f.Code)
	require.True(t, s.Configuration.Accept(version(t, 3, map[string]string{"north": "k-north"})))
	f = s.request("write", statement.Write{Text: "WRITE a c"})
	require.NotNil(t, f)
	require.Equal(t, statement.CodeMalformed, f.Code)
	require.Empty(t, d.runs("write"))
	f = s.request("commit", statement.Commit{})
	require.NotNil(t, f)
	require.Equal(t, statement.CodeAborted, f.Code)
}

// A COMMIT that could not be sent, since its home was gone, was answered with INDOUBT.
func TestCommitThatWasNotForwardedIsNotInDoubt(t *testing.T) {
	t.Parallel()
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient { return g }})
	server, err := proxy.NewPeers("127.0.0.1:0", h, zap.NewNop())
	require.NoError(t, err)
	process := startForwardingProcess(t, slices.Repeat([]string{server.Address()}, homeCandidates), h)
	defer process.peers.Close()
	s := process.session(g, "p1")
	requireServed(t, s, "begin", statement.Begin{})
	requireServed(t, s, "write", statement.Write{Text: "WRITE a b"})
	process.peers.Drop(s.tx.home)
	server.Close()
	f := s.request("commit", statement.Commit{})
	require.NotNil(t, f)
	require.Equal(t, statement.CodeAborted, f.Code)
	require.Empty(t, d.commits())
	h.Sweep(clock.NewBoot().Now().Add(hostedIdleTimeout))
	require.Zero(t, d.openTransactions())
	require.Empty(t, d.commits())
}

// The statements of a transaction that was begun at a second home had no more time than its
// first one had left, and a COMMIT was given up before its route's timeout.
func TestStatementsBehindALostFirstOneHaveTheirWholeTime(t *testing.T) {
	t.Parallel()
	d := &memoryDatabase{takes: func(o statement.Operation) clock.Duration {
		if o == (statement.Commit{}) {
			return 1600
		}
		return 0
	}}
	g := newMemoryGroup(t, d)
	l := &losses{}
	process := startForwardingProcessesTo(t, func() proxy.Receiver {
		return losingHost{NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient { return g }}), l}
	}, 1)[0]
	defer process.peers.Close()
	s := process.session(g, "p1")
	route := s.resolve()
	// The first home is given up after 800 ms.
	route.Timeout, route.TargetLatency = 2*clock.Second, 700
	write, _ := peer.Encode(statement.Write{})
	l.request = firstOf(1, write.Kind)
	requireServed(t, s, "begin", statement.Begin{})
	requireServed(t, s, "write", statement.Write{Text: "WRITE a b"})
	requireServed(t, s, "commit", statement.Commit{})
	require.Equal(t, []string{"WRITE a b"}, d.commits())
}
