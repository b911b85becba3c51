package store

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// at returns a version of the first era.
func at(number uint64) Version { return Version{Era: FirstEra, Number: number} }

func TestCacheReturnsChangesSinceVersion(t *testing.T) {
	c := NewCache()
	require.False(t, c.Usable())
	require.Equal(t, Changes{Version: at(7)}, c.Since(true, at(7)))
	a, b := Row{Key: "a", Value: []byte("1"), Version: at(3)}, Row{Key: "b", Value: []byte("1"), Version: at(2)}
	c.Apply(Changes{Rows: []Row{a, b}, Whole: true, Version: at(5)})
	require.True(t, c.Usable())
	require.Equal(t, Changes{Rows: []Row{b, a}, Whole: true, Version: at(5)}, c.Since(false, at(0)))
	require.Equal(t, Changes{Version: at(5)}, c.Since(true, at(5)))

	changed := c.Changed()
	c.Apply(Changes{Version: at(5)})
	requireOpen(t, changed)
	c.Apply(Changes{Rows: []Row{{Key: "a", Version: at(9), Deleted: true}}, Version: at(9)})
	requireClosed(t, changed)
	require.Equal(t, Changes{Rows: []Row{{Key: "a", Version: at(9), Deleted: true}}, Version: at(9)}, c.Since(true, at(5)))
	require.Equal(t, Changes{Rows: []Row{b}, Whole: true, Version: at(9)}, c.Since(false, at(0)))
}

// If the whole table is read again because the store has dropped its history,
// followers must be sent the rows that are missing in it as deleted.
func TestFullTableReportsMissingRowsAsDeleted(t *testing.T) {
	c := NewCache()
	c.Apply(Changes{Rows: []Row{{Key: "a", Version: at(3)}, {Key: "b", Version: at(2)}}, Whole: true, Version: at(5)})
	c.Apply(Changes{Rows: []Row{{Key: "a", Version: at(3)}}, Whole: true, Version: at(20)})
	require.Equal(t, Changes{Rows: []Row{{Key: "b", Version: at(20), Deleted: true}}, Version: at(20)}, c.Since(true, at(5)))
	changed := c.Changed()
	c.Apply(Changes{Rows: []Row{{Key: "a", Version: at(3)}}, Whole: true, Version: at(30)})
	requireOpen(t, changed)
}

func TestCacheIsUnusableWhileStoreIsUnavailable(t *testing.T) {
	c := NewCache()
	c.Apply(Changes{Whole: true, Version: at(5)})
	changed := c.Changed()
	c.MarkUnavailable()
	requireClosed(t, changed)
	require.False(t, c.Usable())
	changed = c.Changed()
	c.Apply(Changes{Version: at(5)})
	requireClosed(t, changed)
	require.True(t, c.Usable())
}

// A follower must end up with the rows of the table for any sequence of changes
// and whenever it requests them.
func TestFollowersConvergeWithCache(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := NewCache()
		table := map[string]Row{}
		follower := map[string]Row{}
		known, seen := false, Version{}
		version := uint64(0)
		for range 900 {
			version++
			key := fmt.Sprint("k", rng.IntN(600))
			r := Row{Key: key, Version: at(version), Deleted: rng.IntN(2) == 0}
			if r.Deleted {
				delete(table, key)
			} else {
				table[key] = r
			}
			switch rng.IntN(20) {
			case 0:
				var rows []Row
				for _, r := range table {
					rows = append(rows, r)
				}
				c.Apply(Changes{Rows: rows, Whole: true, Version: at(version)})
			default:
				c.Apply(Changes{Rows: []Row{r}, Version: at(version)})
			}
			if rng.IntN(40) == 0 {
				known, seen = applyChanges(follower, c.Since(known, seen))
			}
		}
		applyChanges(follower, c.Since(known, seen))
		require.Equal(t, table, follower, "seed %d", seed)
	}
}

func applyChanges(rows map[string]Row, changes Changes) (bool, Version) {
	if changes.Whole {
		clear(rows)
	}
	for _, r := range changes.Rows {
		if r.Deleted {
			delete(rows, r.Key)
		} else {
			rows[r.Key] = r
		}
	}
	return true, changes.Version
}

func requireOpen(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
		require.Fail(t, "closed")
	default:
	}
}

func requireClosed(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	default:
		require.Fail(t, "open")
	}
}

// A follower requests the rows that are newer than the last version of the table
// that it was sent. A row newer than the table would be sent again and again.
func TestCacheVersionCoversItsRows(t *testing.T) {
	c := NewCache()
	c.Apply(Changes{Rows: []Row{{Key: "a", Version: at(9)}}, Whole: true, Version: at(4)})
	first := c.Since(false, at(0))
	require.Equal(t, at(9), first.Version)
	require.Empty(t, c.Since(true, first.Version).Rows)
}

// A whole table can be older than a row that another source has delivered since.
// The row is not missing then, and a later table that lacks it deletes it.
func TestOlderWholeTableKeepsNewerRows(t *testing.T) {
	c := NewCache()
	a, b := Row{Key: "a", Version: at(3)}, Row{Key: "b", Version: at(9)}
	c.Apply(Changes{Rows: []Row{a}, Whole: true, Version: at(5)})
	c.Apply(Changes{Rows: []Row{b}, Version: at(9)})
	c.Apply(Changes{Rows: []Row{a}, Whole: true, Version: at(7)})
	require.Equal(t, Changes{Rows: []Row{a, b}, Whole: true, Version: at(9)}, c.Since(false, at(0)))
	c.Apply(Changes{Rows: []Row{a}, Whole: true, Version: at(10)})
	require.Equal(t, Changes{Rows: []Row{{Key: "b", Version: at(10), Deleted: true}}, Version: at(10)}, c.Since(true, at(9)))
}

// A relay kept the rows of a store that had gone back, and its followers were
// never sent those of the new era.
func TestFollowersOfACacheReachTheNewEra(t *testing.T) {
	c := NewCache()
	c.Apply(Changes{Rows: []Row{{Key: "config", Value: []byte("old"), Version: at(25)}, {Key: "lost", Version: at(26)}}, Whole: true, Version: at(30)})
	restored := Version{Era: 2, Number: 12}
	row := Row{Key: "config", Value: []byte("new"), Version: Version{Era: 2, Number: 11}}
	c.Apply(Changes{Rows: []Row{row}, Whole: true, Version: restored})
	require.Equal(t, restored, c.Version())
	for _, known := range []Version{at(30), at(11), at(12), at(13)} {
		require.Equal(t, Changes{Rows: []Row{row}, Whole: true, Version: restored}, c.Since(true, known), "follower at %s", known)
	}
}
