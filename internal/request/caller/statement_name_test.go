package caller

import (
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// collidingQueries returns two texts with the same xxHash, found by solving one of
// its four lanes: a change of a word is undone by one of the word 32 bytes later.
func collidingQueries() (string, string) {
	const p1, p2 uint64 = 11400714785074694791, 14029467366897019727
	inverse := p2
	for range 6 {
		inverse *= 2 - p2*inverse
	}
	round := func(lane, word uint64) uint64 { return bits.RotateLeft64(lane+word*p2, 31) * p1 }
	prime1, prime2 := p1, p2
	lane := prime1 + prime2
	random := rand.New(rand.NewPCG(1, 1))
	text := func(word uint64) bool {
		for range 8 {
			if c := byte(word); (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') {
				return false
			}
			word >>= 8
		}
		return true
	}
	letters := func() uint64 {
		var word uint64
		for range 8 {
			word = word<<8 | uint64('a'+random.IntN(26))
		}
		return word
	}
	query := func(first, second uint64) string {
		out := binary.LittleEndian.AppendUint64(nil, first)
		out = append(out, "  /* the first 32 bytes */"[:24]...)
		return string(append(binary.LittleEndian.AppendUint64(out, second), " FROM a_table_of_the_shop"...))
	}
	for {
		a, b, second := letters(), letters(), letters()
		other := second + (round(lane, a)-round(lane, b))*inverse
		if text(other) {
			return query(a, second), query(b, other)
		}
	}
}

// Sessions share the statements of a connection by name, so that a name must not
// stand for two texts, not even ones that were made for it.
func TestStatementNamesAreNotForged(t *testing.T) {
	one, other := collidingQueries()
	require.NotEqual(t, one, other)
	require.Equal(t, xxhash.Sum64String(one), xxhash.Sum64String(other))
	require.NotEqual(t, statementName(&pgproto3.Parse{Query: one}), statementName(&pgproto3.Parse{Query: other}))
}

func TestStatementNameDependsOnAllOfADefinition(t *testing.T) {
	names := make(map[string]*pgproto3.Parse)
	for _, m := range []*pgproto3.Parse{
		{Query: "SELECT 1"}, {Query: "SELECT 1", ParameterOIDs: []uint32{23}}, {Query: "SELECT 1,23"},
		{Query: "SELECT 1", ParameterOIDs: []uint32{2, 3}}, {Query: "SELECT 1,2", ParameterOIDs: []uint32{3}},
		{Query: "SELECT 1\xff"}, {Query: "SELECT 1\xfe"}, {Query: "SELECT 1 "}, {Query: "SELECT 1", ParameterOIDs: []uint32{0}},
	} {
		name := statementName(m)
		require.NotContains(t, names, name)
		names[name] = m
		require.Equal(t, name, statementName(m))
	}
}
