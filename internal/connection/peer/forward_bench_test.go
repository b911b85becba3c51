package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// sampleRequest is a read of a workspace on site A, outside a transaction.
func sampleRequest() *RunRequest {
	return &RunRequest{
		Session: "proxy-0042/183746", Workspace: "workspace-17", Route: "orders", Group: "group-03",
		Consistency: routes.ReadYourWrites, Timeout: clock.Second, TargetLatency: 100 * clock.Millisecond,
		MaxAge: 500 * clock.Millisecond, Floor: Position{Term: 7, Offset: 123456789},
		ID: "0042-01J9ZK3Q", Operation: Operation{Kind: kindRead, Text: "READ orders/128374 orders/128375"},
	}
}

// sampleResponse is an answer with two rows.
func sampleResponse() *RunResponse {
	return &RunResponse{
		Rows:      []byte("ROW orders/128374 {\"state\":\"paid\",\"total\":1290}\r\nROW orders/128375 {\"state\":\"sent\",\"total\":740}\r\n"),
		Signature: []byte("0123456789abcdef0123456789abcdef"),
		Position:  Position{Term: 7, Offset: 123456999}, Floor: Position{Term: 7, Offset: 123456789},
	}
}

// benchReceiver decodes requests and answers each with the same response.
type benchReceiver struct{ response *RunResponse }

func (r *benchReceiver) Receive(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var run RunRequest
	if err := json.Unmarshal(params, &run); err != nil {
		return nil, err
	}
	if _, err := run.Operation.Decode(); err != nil {
		return nil, err
	}
	return r.response, nil
}

func (r *benchReceiver) Run(_ context.Context, request []byte) (msgp.Marshaler, error) {
	var run RunRequest
	if _, err := run.UnmarshalMsg(request); err != nil {
		return nil, &proxy.DecodeError{Cause: err}
	}
	if _, err := run.Operation.Decode(); err != nil {
		return nil, err
	}
	return r.response, nil
}

// countingRelay passes connections on to an address and returns its own address and
// the counter of the bytes that it has passed on in both directions.
func countingRelay(b *testing.B, address string) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	count := new(atomic.Int64)
	pass := func(dst, src net.Conn) {
		defer dst.Close()
		buffer := make([]byte, 64<<10)
		for {
			n, err := src.Read(buffer)
			count.Add(int64(n))
			if n > 0 {
				_, _ = dst.Write(buffer[:n])
			}
			if err != nil {
				return
			}
		}
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", address)
			if err != nil {
				_ = in.Close()
				continue
			}
			go pass(in, out)
			go pass(out, in)
		}
	}()
	return l.Addr().String(), count
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkForward measures one forwarded statement through both ends over loopback:
// the processor time of both (run it with -cpu 1), and the bytes on the wire.
// In "serial" one statement runs at a time, in "parallel" 16.
func BenchmarkForward(b *testing.B) {
	server, err := proxy.NewPeers("127.0.0.1:0", &benchReceiver{response: sampleResponse()}, zap.NewNop())
	require.NoError(b, err)
	b.Cleanup(server.Close)
	relay, count := countingRelay(b, server.Address())
	for _, c := range []struct {
		name     string
		parallel int
	}{{"serial", 0}, {"parallel", 16}} {
		b.Run(c.name, func(b *testing.B) {
			peers, err := proxy.NewPeers("127.0.0.1:0", nil, zap.NewNop())
			require.NoError(b, err)
			defer peers.Close()
			h := NewHomes("self", "a", peers, clock.NewBoot())
			h.SetMembers([]proxy.Peer{{Name: "home", Address: server.Address()}, {Name: "counted", Address: relay}})
			forward := func(home string) {
				if _, err := h.Forward(home, sampleRequest(), clock.Second); err != nil {
					b.Error(err)
				}
			}
			forward("counted")
			sent := count.Load()
			for range 100 {
				forward("counted")
			}
			sent = count.Load() - sent
			forward("home")
			b.ReportAllocs()
			b.ResetTimer()
			used := processorTime(b)
			if c.parallel == 0 {
				for range b.N {
					forward("home")
				}
			} else {
				b.SetParallelism(c.parallel)
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						forward("home")
					}
				})
			}
			b.ReportMetric(float64((processorTime(b)-used).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(sent)/100, "wire-B/op")
		})
	}
}
