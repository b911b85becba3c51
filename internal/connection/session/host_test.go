package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
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
