package store

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/background"
	"github.com/oleanderflow/oleanderflow/internal/process/patch"
)

// configurationOf returns a value like a configuration of n routes.
func configurationOf(n int, timeout func(route int) int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"version":1,"routes":[`)
	for i := range n {
		fmt.Fprintf(&b, `{"name":"route-%d","host":"db%d","timeout_ms":%d},`, i, i, timeout(i))
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// A follower is sent patches as long as the relay has the value that it has, and
// the whole value after that. It ends up with the same value either way.
func TestFollowerOfALargeRowConverges(t *testing.T) {
	relay, follower := NewCache(), NewCache()
	relay.KeepHistory(true)
	timeout := func(int) int { return 800 }
	relay.Apply(Changes{Rows: []Row{{Key: "config", Value: configurationOf(300, timeout), Version: at(1)}}, Whole: true, Version: at(1)})
	take := func(changes Changes) {
		require.NoError(t, follower.Expand(&changes))
		follower.Apply(changes)
	}
	first := relay.Since(false, at(0))
	relay.Compact(&first, nil)
	take(first)
	version := uint64(1)
	for behind, patched := range map[int]bool{1: true, maxPrevious: true, maxPrevious + 1: false} {
		known := follower.Version()
		for range behind {
			version++
			relay.Apply(Changes{Rows: []Row{{Key: "config", Value: configurationOf(300, func(route int) int { return 800 + route*int(version) }), Version: at(version)}}, Version: at(version)})
			value := configurationOf(300, func(route int) int {
				if route == 7 {
					return int(version)
				}
				return 800
			})
			version++
			relay.Apply(Changes{Rows: []Row{{Key: "config", Value: value, Version: at(version)}}, Version: at(version)})
		}
		changes := relay.Since(true, known)
		relay.Compact(&changes, follower.Sums())
		if behind == 1 {
			require.Equal(t, patched, changes.Rows[0].Patch != nil, "%d changes behind", behind)
		}
		take(changes)
		require.Equal(t, relay.Since(false, at(0)), follower.Since(false, at(0)))
	}
}

// A patch for a value that the follower does not have is refused, also if it is for
// the version that the follower has, which may have had another value in another era.
func TestPatchOfAnUnknownBaseIsRefused(t *testing.T) {
	c := NewCache()
	c.Apply(Changes{Rows: []Row{{Key: "config", Value: []byte("old"), Version: at(3)}}, Whole: true, Version: at(3)})
	changes := Changes{Rows: []Row{{Key: "config", Patch: &patch.Patch{}, BaseSum: 2, Version: at(4)}}, Version: at(4)}
	var base *BaseError
	require.ErrorAs(t, c.Expand(&changes), &base)
	sum := xxhash.Sum64String("old")
	require.Equal(t, BaseError{Key: "config", BaseSum: 2, KnownSum: sum}, *base)
	changes.Rows[0].BaseSum, changes.Rows[0].Patch = sum, &patch.Patch{Parts: []patch.Part{{Length: 9}}}
	var outside *patch.Error
	require.ErrorAs(t, c.Expand(&changes), &outside)
}

// The whole of a large configuration takes a fraction of its length.
func TestLargeValueIsCompressed(t *testing.T) {
	c := NewCache()
	c.KeepHistory(true)
	value := configurationOf(2400, func(route int) int { return 800 + route%7 })
	c.Apply(Changes{Rows: []Row{{Key: "config", Value: value, Version: at(1)}, {Key: "small", Value: []byte("short"), Version: at(1)}}, Whole: true, Version: at(1)})
	changes := c.Since(false, at(0))
	c.Compact(&changes, nil)
	for _, r := range changes.Rows {
		require.Less(t, len(r.Packed), len(value)/5)
		require.Equal(t, r.Key == "config", r.Packed != nil)
		require.Equal(t, r.Key == "small", r.Value != nil)
	}
}

// A compressed value comes from another process and may be anything.
func FuzzUnpack(f *testing.F) {
	packed, err := pack([]byte("configuration"), background.None)
	require.NoError(f, err)
	f.Add(packed)
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, packed []byte) { _, _ = unpack(packed, background.None) })
}

func TestUnpackBoundsItsResult(t *testing.T) {
	packed, err := pack(make([]byte, maxUnpackedLength+1), background.None)
	require.NoError(t, err)
	_, err = unpack(packed, background.None)
	var long *LengthError
	require.ErrorAs(t, err, &long)
	changes := Changes{Rows: []Row{{Key: "config", Packed: []byte("no flate"), Version: at(1)}}, Whole: true}
	require.Error(t, NewCache().Expand(&changes))
}
