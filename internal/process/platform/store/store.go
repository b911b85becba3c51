// Package store provides what the proxy needs of the platform's metadata
// store: tables of versioned rows with feeds of their changes.
package store

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Row is a row of a table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version grows with every transaction of the whole store.
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// ErrHistoryGone tells that the store no longer knows the changes asked for;
// the table has to be read anew.
var ErrHistoryGone = errors.New("the store has dropped the history asked for")

// ConflictError tells that a row did not have the expected version. Nothing
// was written.
type ConflictError struct{ Current Row }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q has version %d", e.Current.Key, e.Current.Version)
}

// Store is a client of the metadata store. Errors other than those of this
// package leave open whether a change was made.
type Store interface {
	// Table returns all rows and the version that they are of.
	Table(ctx context.Context, table string) ([]Row, uint64, error)
	// Feed waits for changes after a version, for a time or as long as the
	// platform allows.
	Feed(ctx context.Context, table string, after uint64, wait clock.Duration) ([]Row, uint64, error)
	// CompareAndSwap writes a row that has the expected version and returns its new
	// one.
	CompareAndSwap(ctx context.Context, table, key string, value []byte, expected uint64) (uint64, error)
	// Put writes a row whatever its version.
	Put(ctx context.Context, table, key string, value []byte) error
	// Remove drops a row.
	Remove(ctx context.Context, table, key string) error
}
