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

// trackedStore counts the calls of a store by kind and table, and passes the era of
// each answer on.
type trackedStore struct {
	store.Store
	metrics *Metrics
	eras    *eraTracker
}

// Table implements store.Store.
func (s trackedStore) Table(ctx context.Context, table string) ([]store.Row, store.Version, error) {
	s.metrics.CountStoreCall(callTable, table)
	rows, version, err := s.Store.Table(ctx, table)
	s.eras.observe(version)
	return rows, version, err
}

// Feed implements store.Store.
func (s trackedStore) Feed(ctx context.Context, table string, after store.Version, wait clock.Duration) ([]store.Row, store.Version, error) {
	s.metrics.CountStoreCall(callFeed, table)
	rows, version, err := s.Store.Feed(ctx, table, after, wait)
	s.eras.observe(version)
	return rows, version, err
}

// CompareAndSwap implements store.Store.
func (s trackedStore) CompareAndSwap(ctx context.Context, table, key string, value []byte, expected uint64) (store.Version, error) {
	s.metrics.CountStoreCall(callCompareAndSwap, table)
	version, err := s.Store.CompareAndSwap(ctx, table, key, value, expected)
	s.eras.observe(version)
	return version, err
}

// Put implements store.Store.
func (s trackedStore) Put(ctx context.Context, table string, values map[string][]byte) (store.Version, error) {
	s.metrics.CountStoreCall(callPut, table)
	version, err := s.Store.Put(ctx, table, values)
	s.eras.observe(version)
	return version, err
}

// Remove implements store.Store.
func (s trackedStore) Remove(ctx context.Context, table, key string) error {
	s.metrics.CountStoreCall(callRemove, table)
	return s.Store.Remove(ctx, table, key)
}
