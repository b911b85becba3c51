package store

import (
	"cmp"
	"slices"
	"sync"
)

// maxTombstones is the maximum number of deleted rows that a cache keeps. A
// follower whose version is older than a pruned one is sent the whole table.
const maxTombstones = 256

// Cache is the last known state of a table, from which other processes follow its
// changes. It is safe for concurrent use. No other lock is acquired while its lock
// is held.
type Cache struct {
	mu   sync.Mutex
	rows map[string]Row
	// version is the version of the table. Deletions up to prunedVersion may
	// have been pruned.
	version, prunedVersion uint64
	// known is set once a whole table was applied.
	known bool
	// unavailable is set by MarkUnavailable and cleared by the next Apply.
	unavailable bool
	changed     chan struct{}
}

// NewCache returns an empty cache, which is unusable until its first Apply of a
// whole table.
func NewCache() *Cache { return &Cache{rows: make(map[string]Row), changed: make(chan struct{})} }

// Changes are the rows of a table that have changed since an earlier version.
type Changes struct {
	Rows []Row `json:"rows,omitempty"`
	// Whole is set if Rows is the whole table.
	Whole   bool   `json:"whole,omitempty"`
	Version uint64 `json:"version"`
}

// Apply merges changes that the store, or another process that follows it, has
// returned. It ignores changes until it has been given a whole table.
func (c *Cache) Apply(changes Changes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known && !changes.Whole {
		return
	}
	updated := !c.known || c.unavailable
	if changes.Whole {
		updated = c.markMissingDeletedLocked(changes) || updated
	}
	for _, r := range changes.Rows {
		// If the table's version were lower than that of a row, followers would be
		// sent this row again and again.
		changes.Version = max(changes.Version, r.Version)
		if old, ok := c.rows[r.Key]; !ok || old.Version < r.Version {
			c.rows[r.Key] = r
			updated = true
		}
	}
	c.known, c.unavailable = true, false
	c.version = max(c.version, changes.Version)
	if updated {
		c.pruneTombstonesLocked()
		c.notifyLocked()
	}
}

// markMissingDeletedLocked marks the rows that are missing in a whole table as
// deleted, unless they are newer than the table. It reports whether there were
// any.
func (c *Cache) markMissingDeletedLocked(changes Changes) bool {
	present := make(map[string]struct{}, len(changes.Rows))
	for _, r := range changes.Rows {
		present[r.Key] = struct{}{}
	}
	updated := false
	for key, r := range c.rows {
		if _, ok := present[key]; !ok && !r.Deleted && r.Version <= changes.Version {
			c.rows[key] = Row{Key: key, Version: changes.Version, Deleted: true}
			updated = true
		}
	}
	return updated
}

// pruneTombstonesLocked drops the oldest tombstones once there are more than
// maxTombstones. It keeps half of that limit, so that not every deletion prunes.
func (c *Cache) pruneTombstonesLocked() {
	var deleted []Row
	for _, r := range c.rows {
		if r.Deleted {
			deleted = append(deleted, r)
		}
	}
	if len(deleted) <= maxTombstones {
		return
	}
	slices.SortFunc(deleted, byVersion)
	for _, r := range deleted[:len(deleted)-maxTombstones/2] {
		c.prunedVersion = max(c.prunedVersion, r.Version)
		delete(c.rows, r.Key)
	}
}

func byVersion(a, b Row) int { return cmp.Compare(a.Version, b.Version) }

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
// has the table at this version. If known is false or the version is too old, it
// returns the whole table. If the cache itself has no table yet, it returns no
// rows.
func (c *Cache) Since(known bool, version uint64) Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return Changes{Version: version}
	}
	changes := Changes{Whole: !known || version < c.prunedVersion, Version: max(c.version, version)}
	for _, r := range c.rows {
		if changes.Whole && !r.Deleted || !changes.Whole && r.Version > version {
			changes.Rows = append(changes.Rows, r)
		}
	}
	slices.SortFunc(changes.Rows, byVersion)
	return changes
}
