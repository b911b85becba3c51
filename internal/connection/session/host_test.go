package session

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// A process that stops must not exit while a single statement of another proxy
// runs: its proxy could not tell whether the statement ran.
func TestRunningStatementsOfOthersAreWaitedFor(t *testing.T) {
	asked := make(chan struct{}, 1)
	h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient {
		select {
		case asked <- struct{}{}:
		default:
		}
		return nil
	}})
	require.Zero(t, h.Len())
	done := make(chan *peer.RunResponse)
	go func() {
		run := &peer.RunRequest{Session: "other/1", Group: "shop", Timeout: clock.Second}
		done <- h.run(run, &statement.Request{Operation: statement.Write{Text: "WRITE a b"}})
	}()
	<-asked
	require.Equal(t, 1, h.Len())
	h.StopAccepting()
	response := <-done
	require.Equal(t, statement.CodeBusy, response.Code, "the group is unknown, so that nothing ran")
	require.Zero(t, h.Len())
	require.True(t, h.run(&peer.RunRequest{}, &statement.Request{Operation: statement.Read{}}).Refused)
}

// A process that stops refuses new statements of other proxies as not run, and still
// answers those that it runs, over frames.
func TestStatementsInFramesAreFinishedAtAStop(t *testing.T) {
	asked, release := make(chan struct{}, 1), make(chan struct{})
	h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient {
		select {
		case asked <- struct{}{}:
			<-release
		default:
		}
		return nil
	}})
	server, err := proxy.NewPeers("127.0.0.1:0", h, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(server.Close)
	client, err := proxy.NewPeers("127.0.0.1:0", h, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(client.Close)
	homes := peer.NewHomes("self", "a", client, clock.NewBoot())
	homes.SetMembers([]proxy.Peer{{Name: "home", Address: server.Address()}})
	run := &peer.RunRequest{Session: "self/1", Group: "shop", Timeout: clock.Second, Operation: peer.Operation{Kind: "write", Text: "WRITE a b"}}
	done := make(chan *peer.RunResponse)
	go func() {
		response, err := homes.Forward("home", run, 5*clock.Second)
		require.NoError(t, err)
		done <- response
	}()
	<-asked
	require.Equal(t, 1, h.Len())
	h.StopAccepting()
	_, err = homes.Forward("home", run, 5*clock.Second)
	var notRun *peer.NotRunError
	require.ErrorAs(t, err, &notRun)
	close(release)
	select {
	case response := <-done:
		require.Equal(t, statement.CodeBusy, response.Code)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the running statement was not answered")
	}
	require.Eventually(t, func() bool { return h.Len() == 0 }, 10*time.Second, time.Millisecond)
}

// forwardingProcess is a process of the proxy "front", which forwards all its requests.
type forwardingProcess struct {
	peers *proxy.Peers
	homes *peer.Homes
}

// startForwardingProcesses starts processes whose homes are all served by h. They stand
// for processes of one proxy that run one after another.
func startForwardingProcesses(t *testing.T, h proxy.Receiver, count int) []forwardingProcess {
	return startForwardingProcessesTo(t, func() proxy.Receiver { return h }, count)
}

// startForwardingProcessesTo starts processes whose homes are served by what newHome
// returns, which is called for each home.
func startForwardingProcessesTo(t *testing.T, newHome func() proxy.Receiver, count int) []forwardingProcess {
	addresses := make([]string, homeCandidates)
	for i := range addresses {
		server, err := proxy.NewPeers("127.0.0.1:0", newHome(), zap.NewNop())
		require.NoError(t, err)
		t.Cleanup(server.Close)
		addresses[i] = server.Address()
	}
	list := make([]forwardingProcess, 0, count)
	for range count {
		list = append(list, startForwardingProcess(t, addresses, newHome()))
	}
	return list
}

// homeCandidates is the number of proxies of which some are homes of the group.
const homeCandidates = 20

// startForwardingProcess starts a process whose homes are among those at addresses.
func startForwardingProcess(t *testing.T, addresses []string, own proxy.Receiver) forwardingProcess {
	// The names are such that "front" is no home of the group.
	members := []proxy.Peer{{Name: "front"}}
	for i, address := range addresses {
		members = append(members, proxy.Peer{Name: fmt.Sprintf("home-%d", i), Address: address})
	}
	peers, err := proxy.NewPeers("127.0.0.1:0", own, zap.NewNop())
	require.NoError(t, err)
	homes := peer.NewHomes("front", "a", peers, clock.NewBoot())
	homes.SetMembers(members)
	homes.SetConnectionLimits(map[string]int{"shop": 20})
	local, _ := homes.ServesLocally("shop")
	require.False(t, local)
	return forwardingProcess{peers: peers, homes: homes}
}

// session returns the first session of the process.
func (p forwardingProcess) session(g *backend.GroupClient, process string) *Session {
	s := newMemorySession(g, 1, routes.Primary)
	s.Self, s.Process, s.Homes = "front", process, p.homes
	return s
}

// The first transaction of a session must not continue one that a caller of an earlier
// process of the same proxy has left open at a home (PINNED, UNASKED): the names of
// sessions began anew after a restart, and the write of the other caller was committed.
func TestRestartedProxyContinuesNoTransaction(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient { return g }})
	processes := startForwardingProcesses(t, h, 2)
	first, second := processes[0].session(g, "p1"), processes[1].session(g, "p2")
	requireServed(t, first, "begin-1", statement.Begin{})
	requireServed(t, first, "write-1", statement.Write{Text: "WRITE a first"})
	requireServed(t, second, "begin-2", statement.Begin{})
	requireServed(t, second, "write-2", statement.Write{Text: "WRITE a second"})
	requireServed(t, second, "commit-2", statement.Commit{})
	require.Equal(t, "begin-2", d.runs("write-2")[0].transaction)
	require.Equal(t, []string{"WRITE a second"}, d.commits())
	processes[0].peers.Close()
	processes[1].peers.Close()
}

// A proxy of an earlier build names its sessions anew after a restart. Its BEGIN has
// another request ID then.
func TestBeginOfAnotherCallerReplacesTheTransaction(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient { return g }})
	for _, id := range []string{"1", "2"} {
		begin := &peer.RunRequest{Session: "front/1", Transaction: 1, Begin: &peer.Begin{ID: "begin-" + id}, Group: "shop", Timeout: clock.Second}
		response := h.run(begin, &statement.Request{ID: "write-" + id, Operation: statement.Write{Text: "WRITE a " + id}})
		require.False(t, response.Failed, response.Text)
	}
	commit := &peer.RunRequest{Session: "front/1", Transaction: 1, Group: "shop", Timeout: clock.Second}
	require.False(t, h.run(commit, &statement.Request{ID: "commit-2", Operation: statement.Commit{}}).Failed)
	require.Equal(t, "begin-2", d.runs("write-2")[0].transaction)
	require.Equal(t, []string{"WRITE a 2"}, d.commits())
	require.Eventually(t, func() bool { return h.Len() == 0 }, 5*time.Second, time.Millisecond)
}

// A transaction must not wait for its idle timeout once the proxy of its caller is gone:
// it occupies one of the few connections of its home. One whose proxy has only lost a
// connection goes on.
func TestTransactionsOfALostProxyAreRolledBack(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	c := &stoppedClock{now: clock.NewBoot().Now()}
	h := NewHost(&Dependencies{Clock: c, Log: zap.NewNop(), Group: func(string) *backend.GroupClient { return g }})
	processes := startForwardingProcesses(t, h, 2)
	lost, connected := processes[0].session(g, "p1"), processes[1].session(g, "p2")
	for _, s := range []*Session{lost, connected} {
		requireServed(t, s, "begin", statement.Begin{})
		requireServed(t, s, "write", statement.Write{Text: "WRITE a b"})
	}
	ended := func(process string) func() bool {
		return func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.senders["front/"+process].connections) == 0
		}
	}
	processes[0].peers.Close()
	processes[1].peers.Drop(connected.tx.home)
	require.Eventually(t, ended("p1"), 5*time.Second, time.Millisecond)
	require.Eventually(t, ended("p2"), 5*time.Second, time.Millisecond)
	requireServed(t, connected, "write-2", statement.Write{Text: "WRITE a c"})
	h.Sweep(c.now.Add(reconnectTimeout - 1))
	require.Equal(t, 2, h.Len())
	h.Sweep(c.now.Add(reconnectTimeout))
	require.Equal(t, 1, h.Len())
	requireServed(t, connected, "commit", statement.Commit{})
	require.Equal(t, []string{"WRITE a b", "WRITE a c"}, d.commits())
	processes[1].peers.Close()
}

// A rollback that arrives together with the first statement of its transaction could be
// served first, and the transaction stayed open for good.
func TestRollbackBesideTheFirstStatementLeavesNoTransaction(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient { return g }})
	for number := uint64(1); number <= 20; number++ {
		begin := &peer.RunRequest{Session: "front/p1/1", Transaction: number, Begin: &peer.Begin{ID: "begin"}, Group: "shop", Timeout: clock.Second}
		rollback := &peer.RunRequest{Session: "front/p1/1", Transaction: number, Group: "shop", Timeout: clock.Second}
		var wg sync.WaitGroup
		// Both wait for the lock in this order. A mutex whose waiter has failed to get it for
		// more than 1 ms is passed from one to the next, and the first then runs after the second.
		h.mu.Lock()
		wg.Go(func() { h.run(begin, &statement.Request{ID: "write", Operation: statement.Write{Text: "WRITE a b"}}) })
		time.Sleep(2 * time.Millisecond)
		wg.Go(func() { h.run(rollback, &statement.Request{Operation: statement.Rollback{}}) })
		time.Sleep(2 * time.Millisecond)
		h.mu.Unlock()
		h.mu.Lock()
		time.Sleep(2 * time.Millisecond)
		h.mu.Unlock()
		wg.Wait()
		require.Eventually(t, func() bool { return d.openTransactions() == 0 && h.Len() == 0 }, 5*time.Second, time.Millisecond, "transaction %d", number)
	}
}

// A rollback has nothing to wait for while a statement of its transaction runs: the proxy
// that has sent it would take the home for unreachable.
func TestRollbackDoesNotWaitForARunningStatement(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	asked, release := make(chan struct{}), make(chan struct{})
	h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient {
		asked <- struct{}{}
		<-release
		return g
	}})
	run := &peer.RunRequest{Session: "front/p1/1", Transaction: 1, Begin: &peer.Begin{ID: "begin"}, Group: "shop", Timeout: 10 * clock.Second}
	served := make(chan *peer.RunResponse, 1)
	go func() {
		served <- h.run(run, &statement.Request{ID: "write", Operation: statement.Write{Text: "WRITE a b"}})
	}()
	<-asked
	rollback := &peer.RunRequest{Session: "front/p1/1", Transaction: 1, Group: "shop", Timeout: clock.Second}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		h.run(rollback, &statement.Request{Operation: statement.Rollback{}})
	}()
	select {
	case <-answered:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the rollback waits for the statement")
	}
	commit := h.run(&peer.RunRequest{Session: "front/p1/1", Transaction: 1, Group: "shop", Timeout: clock.Second}, &statement.Request{Operation: statement.Commit{}})
	require.Equal(t, statement.CodeAborted, commit.Code)
	close(release)
	<-served
	require.Eventually(t, func() bool { return d.openTransactions() == 0 && h.Len() == 0 }, 5*time.Second, time.Millisecond)
	require.Empty(t, d.commits())
}

// A transaction in which a request still ran when its proxy had been gone for a second was
// passed over, and waited for its idle timeout.
func TestTransactionThatRunsWhenItsProxyIsLostIsRolledBack(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	c := &stoppedClock{now: clock.NewBoot().Now()}
	asked, release := make(chan struct{}), make(chan struct{})
	var blocked atomic.Bool
	h := NewHost(&Dependencies{Clock: c, Log: zap.NewNop(), Group: func(string) *backend.GroupClient {
		if blocked.Load() {
			asked <- struct{}{}
			<-release
		}
		return g
	}})
	process := startForwardingProcesses(t, h, 1)[0]
	idle, busy := process.session(g, "p1"), process.session(g, "p1")
	busy.id = 2
	for _, s := range []*Session{idle, busy} {
		requireServed(t, s, "begin", statement.Begin{})
		requireServed(t, s, "write", statement.Write{Text: "WRITE a b"})
	}
	blocked.Store(true)
	done := make(chan *statement.Failure)
	go func() { done <- busy.request("write-2", statement.Write{Text: "WRITE a c"}) }()
	<-asked
	go process.peers.Close()
	require.NotNil(t, <-done)
	require.Eventually(t, func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.senders["front/p1"].connections) == 0
	}, 5*time.Second, time.Millisecond)
	h.Sweep(c.now.Add(reconnectTimeout))
	require.Equal(t, 2, h.Len(), "the transaction that runs, and its request")
	blocked.Store(false)
	close(release)
	require.Eventually(t, func() bool { return h.Len() == 1 }, 5*time.Second, time.Millisecond)
	h.Sweep(c.now.Add(reconnectTimeout + 1))
	require.Zero(t, h.Len())
	require.Zero(t, d.openTransactions())
	require.Empty(t, h.senders)
}
