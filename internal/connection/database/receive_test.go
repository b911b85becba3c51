package database

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

func TestMessageWithBytesBehindItsFieldsIsRefused(t *testing.T) {
	for _, m := range []pgproto3.BackendMessage{
		&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, &pgproto3.CloseComplete{}, &pgproto3.NoData{},
		&pgproto3.EmptyQueryResponse{}, &pgproto3.PortalSuspended{}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.CopyDone{},
		&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0}}, &pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0}},
		&pgproto3.DataRow{}, &pgproto3.DataRow{Values: [][]byte{nil, {}, []byte("x")}},
		&pgproto3.RowDescription{}, &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("id")}, {}}},
		&pgproto3.ParameterDescription{}, &pgproto3.ParameterDescription{ParameterOIDs: []uint32{23}},
		&pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"}, &pgproto3.NotificationResponse{Channel: "orders", Payload: "x"},
	} {
		t.Run(fmt.Sprintf("%T", m), func(t *testing.T) {
			c, server := connPair(t, false)
			require.NoError(t, c.net.SetDeadline(time.Now().Add(10*time.Second)))
			_, err := server.Write(encoded(t, m))
			require.NoError(t, err)
			msg, err := c.Receive()
			require.NoError(t, err)
			require.Equal(t, encoded(t, m), encoded(t, msg))
			longer := append(encoded(t, m), 0)
			binary.BigEndian.PutUint32(longer[1:], uint32(len(longer)-1))
			_, err = server.Write(longer)
			require.NoError(t, err)
			_, err = c.Receive()
			require.Error(t, err)
		})
	}
}

func TestLengthOfADatabaseAloneTakesNoMemory(t *testing.T) {
	c, server := connPair(t, false)
	_, err := server.Write(binary.BigEndian.AppendUint32([]byte{'D'}, maxMessageLength))
	require.NoError(t, err)
	require.NoError(t, server.Close())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = c.Receive()
	runtime.ReadMemStats(&after)
	require.Error(t, err)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20))
}
