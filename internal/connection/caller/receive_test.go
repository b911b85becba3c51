package caller

import (
	"encoding/binary"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// received returns what a started session receives after a caller has sent bytes.
func received(t *testing.T, sent []byte) (pgproto3.FrontendMessage, error) {
	t.Helper()
	client, server := net.Pipe()
	defer server.Close()
	defer client.Close()
	require.NoError(t, client.SetDeadline(time.Now().Add(10*time.Second)))
	s, err := newSession(server)
	require.NoError(t, err)
	s.frames.EndStartup()
	s.limitMessages(maxMessageLength)
	go func() {
		_, _ = client.Write(sent)
		_ = client.Close()
	}()
	return s.Receive()
}

func TestMessageWithBytesBehindItsFieldsIsRefused(t *testing.T) {
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Query{String: "SELECT 1"}, &pgproto3.Sync{}, &pgproto3.Flush{}, &pgproto3.Terminate{},
		&pgproto3.CopyDone{}, &pgproto3.CopyFail{Message: "no"},
		&pgproto3.Parse{}, &pgproto3.Parse{Name: "s", Query: "SELECT $1", ParameterOIDs: []uint32{23, 25}},
		&pgproto3.Bind{}, &pgproto3.Bind{
			DestinationPortal: "p", PreparedStatement: "s", ParameterFormatCodes: []int16{0, 1},
			Parameters: [][]byte{nil, {}, []byte("x")}, ResultFormatCodes: []int16{1},
		},
		&pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Close{ObjectType: 'P', Name: "p"},
		&pgproto3.Execute{}, &pgproto3.Execute{Portal: "p", MaxRows: 7},
		&pgproto3.FunctionCall{Function: 1, ArgFormatCodes: []uint16{1}, Arguments: [][]byte{nil, []byte("x")}},
	} {
		t.Run(fmt.Sprintf("%T", m), func(t *testing.T) {
			encoded, err := m.Encode(nil)
			require.NoError(t, err)
			msg, err := received(t, encoded)
			require.NoError(t, err)
			again, err := msg.Encode(nil)
			require.NoError(t, err)
			require.Equal(t, encoded, again)
			for _, behind := range []string{"\x00", "x", " WHERE 1 = 0\x00\x00\x00"} {
				longer := append(append([]byte(nil), encoded...), behind...)
				binary.BigEndian.PutUint32(longer[1:], uint32(len(longer)-1))
				_, err = received(t, longer)
				require.Error(t, err, "%q behind the message", behind)
			}
		})
	}
}

func TestLengthOfACallerAloneTakesNoMemory(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := received(t, binary.BigEndian.AppendUint32([]byte{'Q'}, maxMessageLength))
	runtime.ReadMemStats(&after)
	require.Error(t, err)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20))
}
