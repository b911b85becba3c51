package store

import (
	"bytes"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderflow/oleanderflow/internal/process/background"
)

// maxTombstones is the maximum number of deleted rows that a cache keeps. A
// follower whose version is older than a pruned one is sent the whole table.
const maxTombstones = 256

// Cache is the last known state of a table, from which other processes follow its
// changes. It is safe for concurrent use. No other lock is acquired while its lock
// is held.
type Cache struct {
	mu   sync.Mutex
	rows map[string]cachedRow
	// previous has the earlier large values by key, the oldest first, from which
	// patches are made. It is nil unless KeepHistory is set.
	previous map[string][]previousValue
	// patches has the patches made since the last change of a row, and packed the
	// compressed values, by key.
	patches map[patchKey]*lazyPatch
	packed  map[string]*lazyPacked
	pacer   *background.Pacer
	// span is what is known of the present era, and prior what was known of the era
	// before, which is zero if nothing was.
	span, prior span
	// dropped counts the rows that Apply has ignored because a newer one is known.
	dropped uint64
	// known is set once a whole table was applied.
	known bool
	// unavailable is set by MarkUnavailable and cleared by the next Apply.
	unavailable bool
	changed     chan struct{}
}

// cachedRow is a row and the version of the table from which on it has its content.
// That is the version of the row, but for rows that the store has changed by going back
// to an older copy.
type cachedRow struct {
	Row
	since Version
	// sum is the checksum of a large value, otherwise zero.
	sum uint64
}

// newCachedRow returns a row that has its content since a version.
func newCachedRow(r Row, since Version) cachedRow {
	c := cachedRow{Row: r, since: since}
	if len(r.Value) >= minPatchedLength {
		c.sum = xxhash.Sum64(r.Value)
	}
	return c
}

const (
	// minPatchedLength is the length in bytes from which a value is sent as a
	// patch, or compressed, by a process that keeps the history.
	minPatchedLength = 4096
	// maxPrevious is the maximum number of earlier values that are kept for each
	// large row. A follower that is further behind is sent the whole value.
	maxPrevious = 4
)

// previousValue is an earlier value of a row and its checksum.
type previousValue struct {
	sum   uint64
	value []byte
}

// patchKey identifies the patch from an earlier value of a row to the newest.
type patchKey struct {
	key     string
	baseSum uint64
}

// NewCache returns an empty cache, which is unusable until its first Apply of a
// whole table.
func NewCache(options ...CacheOption) *Cache {
	c := &Cache{rows: make(map[string]cachedRow), changed: make(chan struct{})}
	for _, o := range options {
		o(c)
	}
	return c
}

// CacheOption configures a Cache.
type CacheOption func(*Cache)

// WithPacer sets whose pauses the cache makes while it encodes and decodes large values.
func WithPacer(p *background.Pacer) CacheOption { return func(c *Cache) { c.pacer = p } }

// Changes are the rows of a table that have changed since an earlier version.
type Changes struct {
	Rows []Row `json:"rows,omitempty"`
	// Whole is set if Rows is the whole table.
	Whole bool `json:"whole,omitempty"`
	// Base is the earlier version if that is of the era before, otherwise nil.
	Base *Version `json:"base,omitempty"`
	Version
}

// Apply merges changes that the store, or another process that follows it, has
// returned. It reports whether it could: it ignores changes of an earlier era, and
// changes of a later one unless they are the whole table or based on its version.
func (c *Cache) Apply(changes Changes) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	begins := !c.known || changes.Era > c.span.version.Era
	based := c.known && changes.Base != nil && *changes.Base == c.span.version
	if changes.Era < c.span.version.Era || begins && !changes.Whole && !based {
		return false
	}
	for _, r := range changes.Rows {
		// If the table's version were lower than that of a row, followers would be
		// sent this row again and again.
		changes.Version = Latest(changes.Version, r.Version)
	}
	restored := begins && c.known
	updated := begins || c.unavailable
	if restored && based {
		c.carryRowsLocked(changes.Version)
	}
	if changes.Whole {
		updated = c.markMissingDeletedLocked(changes, restored) || updated
	}
	for _, r := range changes.Rows {
		switch old, ok := c.rows[r.Key]; {
		case restored:
			c.replaceRestoredLocked(old, r, changes.Version)
		case !ok || old.Before(r.Version):
			c.keepPreviousLocked(old)
			c.rows[r.Key] = newCachedRow(r, r.Version)
			updated = true
		case r.Before(old.Version):
			c.dropped++
		}
	}
	if begins {
		c.prior, c.span = c.span, span{version: changes.Version, from: changes.Version}
	}
	c.span.extend(changes.Version, changes.Whole)
	c.known, c.unavailable = true, false
	if updated {
		c.pruneTombstonesLocked()
		c.notifyLocked()
	}
	return true
}

// carryRowsLocked takes the rows over to a new era, in which they are at most as new as
// the given version.
func (c *Cache) carryRowsLocked(version Version) {
	for key, r := range c.rows {
		r.Version = version
		c.rows[key] = r
	}
}

// replaceRestoredLocked replaces a row by that of a new era. version is that of the
// table. The versions of the two rows cannot be compared, but their contents can:
// followers that have the old row need not be sent an equal one.
func (c *Cache) replaceRestoredLocked(old cachedRow, r Row, version Version) {
	next := newCachedRow(r, version)
	if old.Key != "" && old.Deleted == r.Deleted && bytes.Equal(old.Value, r.Value) {
		next.since = old.since
	} else {
		c.keepPreviousLocked(old)
	}
	c.rows[r.Key] = next
}

// KeepHistory sets whether earlier values of large rows are kept, which a process
// needs that passes changes on.
func (c *Cache) KeepHistory(keep bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !keep:
		c.previous, c.patches, c.packed = nil, nil, nil
	case c.previous == nil:
		c.previous, c.patches, c.packed = make(map[string][]previousValue), make(map[patchKey]*lazyPatch), make(map[string]*lazyPacked)
	}
}

// keepPreviousLocked keeps a row that is about to be replaced.
func (c *Cache) keepPreviousLocked(old cachedRow) {
	if c.previous == nil || len(old.Value) < minPatchedLength {
		return
	}
	list := append(c.previous[old.Key], previousValue{sum: old.sum, value: old.Value})
	c.previous[old.Key] = slices.Clone(list[max(len(list)-maxPrevious, 0):])
	delete(c.packed, old.Key)
	for k := range c.patches {
		if k.key == old.Key {
			delete(c.patches, k)
		}
	}
}

// Sums returns the checksums of the large values, by key, which a follower sends
// to be sent their changes as patches.
func (c *Cache) Sums() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sums map[string]uint64
	for key, r := range c.rows {
		if len(r.Value) >= minPatchedLength {
			if sums == nil {
				sums = make(map[string]uint64)
			}
			sums[key] = r.sum
		}
	}
	return sums
}

// Dropped returns how many rows were ignored because a newer one was known.
func (c *Cache) Dropped() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// Version returns the version of the table.
func (c *Cache) Version() Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.span.version
}

// markMissingDeletedLocked marks the rows that are missing in a whole table as
// deleted, unless they are newer than the table and that is not of a new era. It
// reports whether there were any.
func (c *Cache) markMissingDeletedLocked(changes Changes, restored bool) bool {
	present := make(map[string]struct{}, len(changes.Rows))
	for _, r := range changes.Rows {
		present[r.Key] = struct{}{}
	}
	updated := false
	for key, r := range c.rows {
		if _, ok := present[key]; !ok && !r.Deleted && (restored || !changes.Before(r.Version)) {
			c.keepPreviousLocked(r)
			c.rows[key] = cachedRow{Row: Row{Key: key, Version: changes.Version, Deleted: true}, since: changes.Version}
			updated = true
		}
	}
	return updated
}

// pruneTombstonesLocked drops the oldest tombstones once there are more than
// maxTombstones. It keeps half of that limit, so that not every deletion prunes.
func (c *Cache) pruneTombstonesLocked() {
	var deleted []cachedRow
	for _, r := range c.rows {
		if r.Deleted {
			deleted = append(deleted, r)
		}
	}
	if len(deleted) <= maxTombstones {
		return
	}
	slices.SortFunc(deleted, func(a, b cachedRow) int { return a.since.Compare(b.since) })
	for _, r := range deleted[:len(deleted)-maxTombstones/2] {
		switch r.since.Era {
		case c.span.version.Era:
			c.span.from = Latest(c.span.from, r.since)
			c.prior = span{}
		default:
			c.prior.from = Latest(c.prior.from, r.since)
		}
		delete(c.rows, r.Key)
	}
}

func (c *Cache) notifyLocked() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// MarkUnavailable records that the store could not be read.
func (c *Cache) MarkUnavailable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unavailable {
		c.unavailable = true
		c.notifyLocked()
	}
}

// Usable reports whether the table is known and MarkUnavailable was not called
// since the last Apply.
func (c *Cache) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known && !c.unavailable
}

// Changed returns a channel that is closed when the table or the availability of
// the store changes next.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Since returns the changes after version, sorted by version, for a follower that
// has the table at this version, which may be of the era before. If known is false or
// the version is too old, or of an era that this cache does not know to its end, it
// returns the whole table. If the cache itself has no table yet, it returns no rows.
func (c *Cache) Since(known bool, version Version) Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return Changes{Version: version}
	}
	changes := Changes{Version: c.span.version}
	switch {
	case known && c.span.has(version):
		changes.Version = Latest(c.span.version, version)
	case known && c.prior != (span{}) && c.prior.has(version) && !c.prior.version.Before(version):
		changes.Base = &version
	default:
		changes.Whole = true
	}
	for _, r := range c.rows {
		if changes.Whole && !r.Deleted || !changes.Whole && version.Before(r.since) {
			changes.Rows = append(changes.Rows, r.Row)
		}
	}
	slices.SortFunc(changes.Rows, func(a, b Row) int { return a.Compare(b.Version) })
	return changes
}
