package caller

import (
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// collidingQueries returns two queries of one length with the same XXH64. It changes eight
// characters at random, and computes those that undo the change in the next block.
func collidingQueries(t *testing.T) [2]string {
	const prime1, prime2 = 11400714785074694791, 14029467366897019727
	inverse := uint64(1)
	for range 6 {
		inverse *= 2 - prime2*inverse
	}
	round := func(lane, input uint64) uint64 { return bits.RotateLeft64(lane+input*prime2, 31) * prime1 }
	isPlain := func(b []byte) bool {
		for _, c := range b {
			if c < ' ' || c > '~' || c == '\'' {
				return false
			}
		}
		return true
	}
	first := "SELECT '" + strings.Repeat("a", 64) + "'"
	second := []byte(first)
	random := rand.New(rand.NewPCG(1, 2))
	before := round(prime2, binary.LittleEndian.Uint64(second[8:]))
	for range 1_000_000 {
		for i := range 8 {
			second[8+i] = byte('A' + random.IntN(26))
		}
		after := round(prime2, binary.LittleEndian.Uint64(second[8:]))
		binary.LittleEndian.PutUint64(second[40:], binary.LittleEndian.Uint64([]byte(first[40:]))+(before-after)*inverse)
		if isPlain(second[40:48]) {
			require.Equal(t, xxhash.Sum64String(first), xxhash.Sum64(second))
			return [2]string{first, string(second)}
		}
	}
	t.Fatal("no collision found")
	return [2]string{}
}

// Statements that are one name on the connections to databases run each other's query.
func TestStatementsOfOneNameAreTheSame(t *testing.T) {
	colliding := collidingQueries(t)
	names := make(map[string]*pgproto3.Parse)
	for _, m := range []*pgproto3.Parse{
		{Query: colliding[0]}, {Query: colliding[1]},
		{Query: "SELECT $1", ParameterOIDs: []uint32{23}}, {Query: "SELECT $1,23"}, {Query: "SELECT $1"},
		{Query: "SELECT $1", ParameterOIDs: []uint32{2, 3}}, {Query: "SELECT $1", ParameterOIDs: []uint32{23, 0}},
		{Query: "SELECT $1 "}, {},
	} {
		name := statementName(m)
		require.Nil(t, names[name], "%q", m.Query)
		require.Equal(t, name, statementName(&pgproto3.Parse{Name: "other", Query: m.Query, ParameterOIDs: m.ParameterOIDs}))
		// PostgreSQL cuts longer names.
		require.Less(t, len(name), 64)
		names[name] = m
	}
}
