package store

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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

// A relay kept the rows of a store that had gone back.
func TestFollowersOfACacheReachTheNewEra(t *testing.T) {
	c := NewCache()
	same := Row{Key: "same", Value: []byte("same"), Version: at(3)}
	c.Apply(Changes{Rows: []Row{same, {Key: "config", Value: []byte("old"), Version: at(25)}, {Key: "lost", Version: at(26)}}, Whole: true, Version: at(30)})
	c.Apply(Changes{Version: at(35)})
	restored := Version{Era: 2, Number: 12}
	row := Row{Key: "config", Value: []byte("new"), Version: Version{Era: 2, Number: 11}}
	same.Era = 2
	c.Apply(Changes{Rows: []Row{same, row}, Whole: true, Version: restored})
	require.Equal(t, restored, c.Version())
	differing := []Row{row, {Key: "lost", Version: restored, Deleted: true}}
	for _, known := range []Version{at(30), at(31), at(35)} {
		require.Equal(t, Changes{Rows: differing, Base: &known, Version: restored}, c.Since(true, known), "follower at %s", known)
	}
	whole := Changes{Rows: []Row{same, row}, Whole: true, Version: restored}
	for _, known := range []Version{at(36), at(29), at(12), at(11)} {
		require.Equal(t, whole, c.Since(true, known), "the changes after %s are not known", known)
	}
	require.Equal(t, whole, c.Since(false, at(35)))
	c.Apply(Changes{Rows: []Row{{Key: "same", Value: []byte("same"), Version: Version{Era: 3, Number: 3}}}, Whole: true, Version: Version{Era: 3, Number: 4}})
	require.True(t, c.Since(true, at(30)).Whole, "two eras ago")
}

// Changes that are based on another version than the one that a cache has are refused.
func TestChangesOfANewEraNeedTheirBase(t *testing.T) {
	c := NewCache()
	base, restored := at(4), Version{Era: 2, Number: 2}
	require.False(t, c.Apply(Changes{Base: &base, Version: restored}), "no table is known")
	c.Apply(Changes{Rows: []Row{{Key: "a", Version: at(4)}}, Whole: true, Version: at(5)})
	require.False(t, c.Apply(Changes{Base: &base, Version: restored}))
	base = at(5)
	require.True(t, c.Apply(Changes{Base: &base, Version: restored}))
	require.Equal(t, restored, c.Version())
	require.False(t, c.Apply(Changes{Whole: true, Version: at(9)}), "an earlier era")
}

// restoredTable is a table of a store that can go back to earlier copies of itself.
type restoredTable struct {
	version Version
	rows    map[string]Row
	copies  []restoredTable
}

func (s *restoredTable) write(r Row) {
	s.version.Number++
	r.Version = s.version
	s.rows[r.Key] = r
}

func (s *restoredTable) copy() {
	s.copies = append(s.copies, restoredTable{version: s.version, rows: maps.Clone(s.rows)})
}

func (s *restoredTable) restore(c restoredTable) {
	s.version = Version{Era: s.version.Era + 1, Number: c.version.Number}
	s.rows = maps.Clone(c.rows)
}

// changes returns what the store answers to a follower at a version: the feed, or the
// whole table in another era.
func (s *restoredTable) changes(known bool, after Version) Changes {
	changes := Changes{Whole: !known || after.Era != s.version.Era, Version: s.version}
	for _, r := range s.rows {
		r.Era = s.version.Era
		if changes.Whole && !r.Deleted || !changes.Whole && after.Before(r.Version) {
			changes.Rows = append(changes.Rows, r)
		}
	}
	return changes
}

// follow gives dst the changes of a source as a process does that follows it.
func follow(t *testing.T, source, dst *Cache) {
	changes := source.Since(dst.known, dst.Version())
	source.Compact(&changes, dst.Sums())
	require.NoError(t, dst.Expand(&changes))
	if source.Version().Before(dst.Version()) || dst.Apply(changes) {
		return
	}
	require.NotNil(t, changes.Base)
	changes = source.Since(false, Version{})
	source.Compact(&changes, dst.Sums())
	require.NoError(t, dst.Expand(&changes))
	require.True(t, dst.Apply(changes))
}

// All tiers have at each moment the rows that the store had at their version.
func TestTiersConvergeAcrossRestores(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 2))
		s := &restoredTable{version: at(0), rows: make(map[string]Row)}
		s.copy()
		var roots, relays, leaves []*Cache
		for _, tier := range []*[]*Cache{&roots, &relays, &leaves} {
			for range 3 {
				c := NewCache()
				c.KeepHistory(rng.IntN(2) == 0)
				*tier = append(*tier, c)
			}
		}
		read := func(c *Cache) { c.Apply(s.changes(c.known, c.Version())) }
		history := make(map[Version]map[string]string)
		for range 400 {
			history[s.version] = contents(s.changes(false, Version{}).Rows)
			for _, c := range slices.Concat(roots, relays, leaves) {
				if c.known {
					require.Equal(t, history[c.Version()], contents(c.Since(false, Version{}).Rows), "seed %d", seed)
				}
			}
			switch n := rng.IntN(100); {
			case n < 55:
				key := rng.IntN(30)
				value := fmt.Appendf(nil, "%d", rng.IntN(3))
				if key < 3 {
					value = bytes.Repeat(value, minPatchedLength)
				}
				deleted := rng.IntN(3) == 0
				if deleted {
					value = nil
				}
				s.write(Row{Key: fmt.Sprint("k", key), Value: value, Deleted: deleted})
			case n < 60:
				s.copy()
			case n < 63:
				s.restore(s.copies[max(0, len(s.copies)-1-rng.IntN(3))])
			case n < 78:
				read(roots[rng.IntN(3)])
			case n < 90:
				if source := roots[rng.IntN(3)]; source.known {
					follow(t, source, relays[rng.IntN(3)])
				}
			default:
				if source := relays[rng.IntN(3)]; source.known {
					follow(t, source, leaves[rng.IntN(3)])
				}
			}
		}
		want := s.changes(false, Version{})
		for i := range 3 {
			read(roots[i])
			follow(t, roots[i], relays[(i+1)%3])
		}
		for i := range 3 {
			follow(t, relays[i], leaves[i])
			for _, c := range []*Cache{roots[i], relays[i], leaves[i]} {
				require.Equal(t, want.Version, c.Version(), "seed %d", seed)
				require.Equal(t, contents(want.Rows), contents(c.Since(false, Version{}).Rows), "seed %d", seed)
			}
		}
	}
}

func contents(rows []Row) map[string]string {
	values := make(map[string]string)
	for _, r := range rows {
		values[r.Key] = fmt.Sprintf("%.3s (%d bytes)", r.Value, len(r.Value))
	}
	return values
}

// A relay that started later than its follower hid earlier deletions from it.
func TestStartedCacheHidesNoDeletions(t *testing.T) {
	c := NewCache()
	c.Apply(Changes{Rows: []Row{{Key: "a", Version: at(3)}}, Whole: true, Version: at(8)})
	require.Equal(t, Changes{Rows: []Row{{Key: "a", Version: at(3)}}, Whole: true, Version: at(8)}, c.Since(true, at(5)))
	require.Equal(t, Changes{Version: at(8)}, c.Since(true, at(8)))
}
