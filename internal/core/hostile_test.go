package core

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	callerconn "github.com/oleanderflow/oleanderflow/internal/connection/caller"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

// sendCancel sends a cancel request on a connection of its own.
func sendCancel(t *testing.T, address string, pid uint32, secret []byte) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	request, err := (&pgproto3.CancelRequest{ProcessID: pid, SecretKey: secret}).Encode(nil)
	require.NoError(t, err)
	_, err = c.Write(request)
	require.NoError(t, err)
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c
}

// startRawSession starts a session without a client library and returns when
// the proxy is ready for a query.
func startRawSession(t *testing.T, p *Proxy) (net.Conn, *pgproto3.Frontend) {
	t.Helper()
	c := dial(t, p)
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "x", "database": "shop1"}})
	require.NoError(t, f.Flush())
	for {
		msg, err := f.Receive()
		require.NoError(t, err)
		if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
			return c, f
		}
	}
}

// requireClosed reads until the proxy closes the connection.
func requireClosed(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := io.Copy(io.Discard, c)
	require.NoError(t, err, "the proxy did not close the connection")
}

func TestMalformedStartupMessagesAreRefused(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	for name, bytes := range map[string][]byte{
		"oversize length":  {0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0},
		"negative length":  {0xff, 0xff, 0xff, 0xff, 0, 3, 0, 0},
		"too short":        {0, 0, 0, 4},
		"unknown version":  {0, 0, 0, 9, 0, 9, 0, 0, 0},
		"not the protocol": []byte("GET / HTTP/1.1\r\n\r\n"),
		"no terminator":    {0, 0, 0, 12, 0, 3, 0, 0, 'u', 's', 'e', 'r'},
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, d.Proxies[0])
			_, err := c.Write(bytes)
			require.NoError(t, err)
			requireClosed(t, c)
		})
	}
}

func TestMalformedMessagesEndTheSession(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	for name, bytes := range map[string][]byte{
		"unknown type":    {'!', 0, 0, 0, 4},
		"oversize length": binary.BigEndian.AppendUint32([]byte{'Q'}, 1<<31-1),
		"negative length": {'Q', 0xff, 0xff, 0xff, 0xf0},
		"broken bind":     {'B', 0, 0, 0, 8, 'x', 'y', 'z', 'w'},
	} {
		t.Run(name, func(t *testing.T) {
			c, f := startRawSession(t, d.Proxies[0])
			_, err := c.Write(bytes)
			require.NoError(t, err)
			msg, err := f.Receive()
			require.NoError(t, err)
			require.IsType(t, &pgproto3.ErrorResponse{}, msg)
			requireClosed(t, c)
		})
	}
}

func TestStalledStartupTimesOut(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1, ExtraConfig: "[limits]\nstartupTimeout = 200ms\n"})
	c := dial(t, d.Proxies[0])
	_, err := c.Write([]byte{0, 0, 0, 50})
	require.NoError(t, err)
	began := time.Now()
	requireClosed(t, c)
	require.Less(t, time.Since(began), 5*time.Second)
}

func TestHalfClosedConnectionIsEnded(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	c, _ := startRawSession(t, d.Proxies[0])
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	requireClosed(t, c)
	require.Eventually(t, func() bool { return d.Proxies[0].Status().Sessions == 0 }, 5*time.Second, 10*time.Millisecond)
}

func TestFunctionCallIsRefused(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	_, f := startRawSession(t, d.Proxies[0])
	f.Send(&pgproto3.FunctionCall{Function: 1})
	f.Send(&pgproto3.Sync{})
	require.NoError(t, f.Flush())
	require.Equal(t, []string{"ErrorResponse", "ReadyForQuery"}, receiveTypes(t, f, 2))
}

// Connections that never send a startup message must take little memory, less
// than 40 kB each with both ends in this process, and are closed at
// startupTimeout.
func TestConnectionsWithoutStartupMessage(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1, ExtraConfig: "[limits]\nstartupTimeout = 5s\n"})
	const count = 1000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	conns := make([]net.Conn, count)
	for i := range conns {
		conns[i] = dial(t, d.Proxies[0])
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := (float64(after.HeapInuse+after.StackInuse) - float64(before.HeapInuse+before.StackInuse)) / count
	t.Logf("%.0f bytes per connection, both ends included", held)
	require.Less(t, held, 40_000.0)
	for _, c := range conns {
		requireClosed(t, c)
	}
	require.Equal(t, 1, queryInt(t, connect(t, d.Proxies[0], ""), "SELECT 1"))
}

func TestSessionsOverTheLimitAreRefused(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1, ExtraConfig: "[limits]\nsessions = 3\n"})
	for range 3 {
		connect(t, d.Proxies[0], "")
	}
	_, err := pgx.Connect(context.Background(), "postgres://shop@"+d.Proxies[0].Address()+"/shop1?sslmode=disable")
	require.Equal(t, outcome.CodeOverloaded, sqlState(err))
}

// The process IDs of a proxy's sessions have 16 bits of their own. With all of
// them in use, a new session is refused.
func TestSessionsAreRefusedOnceAllIDsAreInUse(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	p := d.Proxies[0]
	p.Configuration().Limits.Sessions = 2 * maxSessionIDs
	for range maxSessionIDs {
		require.NoError(t, p.register(&callerconn.Session{}))
	}
	err := p.register(&callerconn.Session{})
	var refused *callerconn.ProtocolError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, outcome.CodeOverloaded, refused.Code)
	p.mu.Lock()
	clear(p.sessions)
	p.mu.Unlock()
}

// NUL ends a text on the wire: the rest would be read as other fields of the error.
func TestErrorTextHoldsNoNUL(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	_, f := startRawSession(t, d.Proxies[0])
	for _, tag := range []string{"maxAge='%00Dforged%00%ff'", "requestId='%00Dforged%00%ff'"} {
		f.Send(&pgproto3.Query{String: "SELECT 1 /*" + tag + "*/"})
		require.NoError(t, f.Flush())
		msg, err := f.Receive()
		require.NoError(t, err)
		refused, ok := msg.(*pgproto3.ErrorResponse)
		require.True(t, ok, tag)
		require.Contains(t, refused.Message, "expected", tag)
		require.True(t, utf8.ValidString(refused.Message), tag)
		require.NotEqual(t, "forged", refused.Detail)
		require.Empty(t, refused.UnknownFields)
		require.Equal(t, []string{"ReadyForQuery"}, receiveTypes(t, f, 1))
	}
}

// A text with NUL, which ends it on the wire, must be refused and not be run up to
// there.
func TestPreparedTextWithNULIsRefused(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	mustExec(t, connect(t, d.Proxies[0], ""), "CREATE TABLE t (id INTEGER)")
	c, f := startRawSession(t, d.Proxies[0])
	body := []byte("\x00INSERT INTO t SELECT 1\x00\x00\x00 WHERE 1 = 0\x00\x00\x00")
	parse := append(binary.BigEndian.AppendUint32([]byte{'P'}, uint32(len(body)+4)), body...)
	_, err := c.Write(parse)
	require.NoError(t, err)
	f.Send(&pgproto3.Bind{})
	f.Send(&pgproto3.Execute{})
	f.Send(&pgproto3.Sync{})
	require.NoError(t, f.Flush())
	msg, err := f.Receive()
	require.NoError(t, err)
	require.IsType(t, &pgproto3.ErrorResponse{}, msg)
	require.Zero(t, queryInt(t, connect(t, d.Proxies[0], ""), "SELECT count(*) FROM t"))
}

func TestQueryWithNULIsRefused(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	mustExec(t, connect(t, d.Proxies[0], ""), "CREATE TABLE t (id INTEGER)")
	_, f := startRawSession(t, d.Proxies[0])
	f.Send(&pgproto3.Query{String: "INSERT INTO t SELECT 1\x00 WHERE 1 = 0"})
	require.NoError(t, f.Flush())
	msg, err := f.Receive()
	require.NoError(t, err)
	require.IsType(t, &pgproto3.ErrorResponse{}, msg)
	require.Zero(t, queryInt(t, connect(t, d.Proxies[0], ""), "SELECT count(*) FROM t"))
}

// A text is data, whatever its bytes: the database gets those that the caller sent.
func TestTextsReachTheDatabaseUnchanged(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	c := connect(t, d.Proxies[0], "").PgConn()
	for _, text := range []string{"a\r\nb", "a\nQUERY x", " a ", "a  b", "\t", "ä", "/*maxAge=''1s''*/", "--", ";", strings.Repeat("x", 70_000)} {
		want := strings.ReplaceAll(text, "''", "'")
		results, err := c.Exec(context.Background(), "SELECT '"+text+"'").ReadAll()
		require.NoError(t, err)
		require.Equal(t, want, string(results[0].Rows[0][0]))
		result := c.ExecParams(context.Background(), "SELECT $1", [][]byte{[]byte(text)}, []uint32{25}, nil, nil).Read()
		require.NoError(t, result.Err)
		require.Equal(t, text, string(result.Rows[0][0]))
	}
}
