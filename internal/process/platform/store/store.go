// Package store defines the client interface of the platform's metadata store,
// which holds tables of versioned rows and provides change feeds, and a cache of
// such a table.
package store

import (
	"context"
	"fmt"

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

// Row is a row of a table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version is that of the transaction that last changed the row.
	Version
	Deleted bool `json:"deleted,omitempty"`
	// Patch or Packed, if set, stands for Value: the patch is to be applied to
	// the value that the row had at version Base, and Packed is the compressed
	// value. Only processes that follow each other use them.
	Patch  *patch.Patch `json:"patch,omitempty"`
	Base   uint64       `json:"base,omitempty"`
	Packed []byte       `json:"packed,omitempty"`
}

// ErrHistoryGone reports that the store has dropped the requested changes, so the
// whole table must be read again.
var ErrHistoryGone = errors.New("the store has dropped the requested change history")

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
	// Table returns all rows of a table and the version of the table.
	Table(ctx context.Context, table string) ([]Row, Version, error)
	// Feed waits for changes after a version and returns them with the new
	// version. It waits for at most wait, or less if the platform's limit is
	// lower. It returns ErrHistoryGone if the store no longer has these changes.
	Feed(ctx context.Context, table string, after Version, wait clock.Duration) ([]Row, Version, error)
	// CompareAndSwap writes a row if it has the expected version, 0 for a row
	// that does not exist, and returns its new version. Otherwise it returns a
	// *ConflictError.
	CompareAndSwap(ctx context.Context, table, key string, value []byte, expected uint64) (Version, error)
	// Put writes rows of one table, at most MaxPutRows, regardless of their
	// versions, and returns their new version. Either all of them are written or
	// none.
	Put(ctx context.Context, table string, values map[string][]byte) (Version, error)
	// Remove deletes a row.
	Remove(ctx context.Context, table, key string) error
}
