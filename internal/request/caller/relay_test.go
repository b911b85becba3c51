package caller

import (
	"bytes"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/connection/database"
)

const relayedRows = 1000

// answer returns the encoded answer to a query with many rows.
func answer(tb testing.TB) []byte {
	tb.Helper()
	var out []byte
	add := func(m pgproto3.BackendMessage) {
		encoded, err := m.Encode(out)
		require.NoError(tb, err)
		out = encoded
	}
	add(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("id")}, {Name: []byte("v")}}})
	for range relayedRows {
		add(&pgproto3.DataRow{Values: [][]byte{[]byte("12345"), []byte("calcium and beet juice")}})
	}
	add(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1000")})
	add(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return out
}

// relayOnce relays one answer into the exchange's buffer.
func relayOnce(tb testing.TB, x *exchange, b *batch, encoded []byte) {
	conn := database.NewConn(arrived{encoded: bytes.NewReader(encoded)})
	x.prepare(nil, conn, b)
	x.holdFrom = 0
	x.phases[phaseBatch] = true
	if err := x.runPhase(phaseBatch); err != nil {
		tb.Fatal(err)
	}
}

// The relay must reuse its buffers: an allocation for each row would make long
// answers expensive. The bound is one allocation for ten rows.
func TestRelayAllocatesNothingForEachRow(t *testing.T) {
	encoded := answer(t)
	b := &batch{steps: []step{{kind: stepQuery}}}
	x := &exchange{}
	relayOnce(t, x, b, encoded)
	require.Equal(t, encoded, x.out, "the answer must be relayed unchanged")
	perAnswer := testing.AllocsPerRun(20, func() { relayOnce(t, x, b, encoded) })
	t.Logf("%.0f allocations for an answer of %d rows", perAnswer, relayedRows)
	require.Less(t, perAnswer, float64(relayedRows)/10)
}

func BenchmarkRelayRows(b *testing.B) {
	encoded := answer(b)
	steps := &batch{steps: []step{{kind: stepQuery}}}
	x := &exchange{}
	b.SetBytes(int64(len(encoded)))
	b.ReportAllocs()
	for range b.N {
		relayOnce(b, x, steps, encoded)
	}
}
