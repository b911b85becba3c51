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
