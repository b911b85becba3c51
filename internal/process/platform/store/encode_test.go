package store

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/background"
)

// Values are encoded without the lock of the cache. A follower must not be sent the encoding
// of another version of the row than the one that it is told, or a patch for another base.
func TestFollowersOfARowThatChangesMeanwhile(t *testing.T) {
	const versions, followers = 60, 4
	value := func(version int) []byte {
		// Every third version differs in many places, so that it is sent compressed.
		return configurationOf(150, func(route int) int {
			if version%3 == 0 {
				return version * (route + 1)
			}
			return version / (route + 1)
		})
	}
	source := NewCache(WithPacer(&background.Pacer{}))
	source.KeepHistory(true)
	apply := func(version int) {
		require.True(t, source.Apply(Changes{Rows: []Row{{Key: "config", Value: value(version), Version: at(uint64(version))}}, Whole: version == 1, Version: at(uint64(version))}))
	}
	apply(1)
	var wg sync.WaitGroup
	for range followers {
		wg.Go(func() {
			follower, known := NewCache(), false
			for {
				version := follower.Version()
				if version.Number == versions {
					return
				}
				changes := source.Since(known, version)
				source.Compact(&changes, follower.Sums())
				if !assertExpands(t, follower, &changes, value) {
					return
				}
				follower.Apply(changes)
				known = true
			}
		})
	}
	for version := 2; version <= versions; version++ {
		apply(version)
	}
	wg.Wait()
}

// assertExpands reports whether a follower gets the value of the version of each row.
func assertExpands(t *testing.T, follower *Cache, changes *Changes, value func(version int) []byte) bool {
	if err := follower.Expand(changes); err != nil {
		t.Errorf("expand: %v", err)
		return false
	}
	for _, r := range changes.Rows {
		if string(r.Value) != string(value(int(r.Number))) {
			t.Errorf("version %d has the value of another one", r.Number)
			return false
		}
	}
	return true
}

// A relay compared a configuration with the one before although so much was added that the
// compressed value is shorter than any patch.
func TestGrownValueIsNotCompared(t *testing.T) {
	source, follower := NewCache(), NewCache()
	source.KeepHistory(true)
	timeout := func(int) int { return 7 }
	for version, routes := range []int{150, 400, 401} {
		value := configurationOf(routes, timeout)
		source.Apply(Changes{Rows: []Row{{Key: "config", Value: value, Version: at(uint64(version + 1))}}, Whole: version == 0, Version: at(uint64(version + 1))})
		changes := source.Since(follower.known, follower.Version())
		source.Compact(&changes, follower.Sums())
		require.Len(t, changes.Rows, 1)
		require.Equal(t, routes == 401, changes.Rows[0].Patch != nil)
		for _, p := range source.patches {
			require.Equal(t, routes == 401, len(p.made.Parts) > 0, "a patch was made")
		}
		require.NoError(t, follower.Expand(&changes))
		require.Equal(t, value, changes.Rows[0].Value)
		follower.Apply(changes)
	}
}
