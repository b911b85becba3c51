// Package store defines the client interface of the platform's metadata store,
// which holds tables of versioned rows and provides change feeds, and a cache of
// such a table.
package store

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/process/patch"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// FirstEra is the era of a store that was never restored.
const FirstEra = 1

// Version is a point in the history of the whole store. A store that is restored
// from an older copy begins a new era, in which it gives out numbers again that it
// gave out before the copy was restored.
type Version struct {
	// Era is zero only in messages of earlier builds.
	Era uint64 `json:"era,omitempty"`
	// Number counts the transactions of the store.
	Number uint64 `json:"version"`
}

// String returns the version as ERA.NUMBER.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Era, v.Number) }

// Compare orders versions by their era, and by their number within an era.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Number, other.Number))
}

// Before reports whether v is older than other.
func (v Version) Before(other Version) bool { return v.Compare(other) < 0 }

// Latest returns the newer of two versions.
func Latest(a, b Version) Version {
	if a.Before(b) {
		return b
	}
	return a
}

// Row is a row of a table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version is that of the transaction that last changed the row.
	Version
	Deleted bool `json:"deleted,omitempty"`
	// Patch or Packed, if set, stands for Value: the patch is to be applied to
	// the value with the checksum BaseSum, and Packed is the compressed value.
	// Only processes that follow each other use them. A base is named by its
	// content, since a version may stand for another content in another era.
	Patch   *patch.Patch `json:"patch,omitempty"`
	BaseSum uint64       `json:"baseSum,omitempty"`
	Packed  []byte       `json:"packed,omitempty"`
}

// Merge returns the rows of a table after changes, of which the newer versions count.
func Merge(rows, changes []Row) []Row {
	merged := make(map[string]Row, len(rows))
	for _, r := range slices.Concat(rows, changes) {
		if old, ok := merged[r.Key]; !ok || old.Before(r.Version) {
			merged[r.Key] = r
		}
	}
	return slices.DeleteFunc(slices.Collect(maps.Values(merged)), func(r Row) bool { return r.Deleted })
}

// ErrHistoryGone reports that the store has dropped the requested changes, or has
// been restored from an older copy since, so the whole table must be read again.
var ErrHistoryGone = errors.New("the store does not have the requested change history")

// ConflictError reports that a row does not have the expected version and nothing
// was written.
type ConflictError struct{ Current Row }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q has unexpected version %s", e.Current.Key, e.Current.Version)
}

// MaxPutRows is the maximum number of rows in one call of Put.
const MaxPutRows = 100

// Store is a client of the metadata store. After an error that is not defined in
// this package, it is unknown whether a write took effect.
type Store interface {
	// Table returns all rows of a table as of one version. It returns
	// ErrHistoryGone if the rows change faster than they can be read.
	Table(ctx context.Context, table string) ([]Row, Version, error)
	// Feed waits for changes after a version and returns them with the new
	// version. It waits for at most wait, or less if the platform's limit is
	// lower. It returns ErrHistoryGone, and the version of the store, if the store
	// no longer has these changes or has begun a new era.
	Feed(ctx context.Context, table string, after Version, wait clock.Duration) ([]Row, Version, error)
	// CompareAndSwap writes a row if its version has the expected number, 0 for a
	// row that does not exist, and returns its new version. Otherwise it returns a
	// *ConflictError. The store does not check the era: the caller must use keys
	// of which an earlier era has no row.
	CompareAndSwap(ctx context.Context, table, key string, value []byte, expected uint64) (Version, error)
	// Put writes rows of one table, at most MaxPutRows, regardless of their
	// versions, and returns their new version. Either all of them are written or
	// none.
	Put(ctx context.Context, table string, values map[string][]byte) (Version, error)
	// Remove deletes a row.
	Remove(ctx context.Context, table, key string) error
}
