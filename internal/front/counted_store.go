package front

import (
	"context"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// The kinds of store calls by which they are counted.
const (
	callTable          = "table"
	callFeed           = "feed"
	callCompareAndSwap = "compareAndSwap"
	callPut            = "put"
	callRemove         = "remove"
)

// countedStore counts the calls of a store by kind and table.
type countedStore struct {
	store.Store
	metrics *Metrics
}

// Table implements store.Store.
func (s countedStore) Table(ctx context.Context, table string) ([]store.Row, store.Version, error) {
	s.metrics.CountStoreCall(callTable, table)
	return s.Store.Table(ctx, table)
}

// Feed implements store.Store.
func (s countedStore) Feed(ctx context.Context, table string, after store.Version, wait clock.Duration) ([]store.Row, store.Version, error) {
	s.metrics.CountStoreCall(callFeed, table)
	return s.Store.Feed(ctx, table, after, wait)
}

// CompareAndSwap implements store.Store.
func (s countedStore) CompareAndSwap(ctx context.Context, table, key string, value []byte, expected uint64) (store.Version, error) {
	s.metrics.CountStoreCall(callCompareAndSwap, table)
	return s.Store.CompareAndSwap(ctx, table, key, value, expected)
}

// Put implements store.Store.
func (s countedStore) Put(ctx context.Context, table string, values map[string][]byte) (store.Version, error) {
	s.metrics.CountStoreCall(callPut, table)
	return s.Store.Put(ctx, table, values)
}

// Remove implements store.Store.
func (s countedStore) Remove(ctx context.Context, table, key string) error {
	s.metrics.CountStoreCall(callRemove, table)
	return s.Store.Remove(ctx, table, key)
}
