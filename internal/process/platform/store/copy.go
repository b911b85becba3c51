package store

import (
	"cmp"
	"slices"
	"sync"
)

// mostDeleted bounds the deleted rows that a copy keeps. Who knows less than
// the oldest of them is handed the whole table.
const mostDeleted = 256

// Cache is a table as this process last saw it, from which other processes
// follow it. Its lock is taken before no other.
type Cache struct {
	mu   sync.Mutex
	rows map[string]Row
	// version is that of the table; changes up to floor are not known one by
	// one.
	version, floor uint64
	known          bool
	// lost is set once the store has not answered.
	lost    bool
	changed chan struct{}
}

// NewCache returns a copy of a table that is not known yet.
func NewCache() *Cache { return &Cache{rows: make(map[string]Row), changed: make(chan struct{})} }

// Changes are rows of a table for one who knows an earlier version.
type Changes struct {
	Rows []Row `json:"rows,omitempty"`
	// Whole is set if the rows are all of the table.
	Whole   bool   `json:"whole,omitempty"`
	Version uint64 `json:"version"`
}

// Apply takes in what the store has answered. The first answer is a whole
// table.
func (c *Cache) Apply(t Changes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known && !t.Whole {
		return
	}
	news := !c.known || c.lost
	if t.Whole {
		news = c.dropMissingLocked(t) || news
	}
	for _, r := range t.Rows {
		// A table older than its rows would be told of them again and again.
		t.Version = max(t.Version, r.Version)
		if old, ok := c.rows[r.Key]; !ok || old.Version < r.Version {
			c.rows[r.Key] = r
			news = true
		}
	}
	c.known, c.lost = true, false
	c.version = max(c.version, t.Version)
	if news {
		c.dropOldestLocked()
		c.signalLocked()
	}
}

// dropMissingLocked marks the rows that are not in the whole table as deleted.
func (c *Cache) dropMissingLocked(t Changes) bool {
	present := make(map[string]struct{}, len(t.Rows))
	for _, r := range t.Rows {
		present[r.Key] = struct{}{}
	}
	news := false
	for key, r := range c.rows {
		if _, ok := present[key]; !ok && !r.Deleted {
			c.rows[key] = Row{Key: key, Version: t.Version, Deleted: true}
			news = true
		}
	}
	return news
}

func (c *Cache) dropOldestLocked() {
	var deleted []Row
	for _, r := range c.rows {
		if r.Deleted {
			deleted = append(deleted, r)
		}
	}
	if len(deleted) <= mostDeleted {
		return
	}
	slices.SortFunc(deleted, byVersion)
	for _, r := range deleted[:len(deleted)-mostDeleted/2] {
		c.floor = max(c.floor, r.Version)
		delete(c.rows, r.Key)
	}
}

func byVersion(a, b Row) int { return cmp.Compare(a.Version, b.Version) }

func (c *Cache) signalLocked() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// MarkUnavailable notes that the store has not answered.
func (c *Cache) MarkUnavailable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lost {
		c.lost = true
		c.signalLocked()
	}
}

// Usable reports whether the table is known and the store has answered since
// it was last lost.
func (c *Cache) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known && !c.lost
}

// Changed returns a channel that is closed at the next change of the table, or
// of whether the store answers.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Since returns what has changed since a version, the whole table for one who
// knows nothing or too little.
func (c *Cache) Since(known bool, version uint64) Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return Changes{Version: version}
	}
	t := Changes{Whole: !known || version < c.floor, Version: max(c.version, version)}
	for _, r := range c.rows {
		if t.Whole && !r.Deleted || !t.Whole && r.Version > version {
			t.Rows = append(t.Rows, r)
		}
	}
	slices.SortFunc(t.Rows, byVersion)
	return t
}
