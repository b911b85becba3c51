// Package platform accesses the platform's services: the transactional table, the
// object store and the instance list, which can be stale. All state that proxies
// must agree on or that must be durable goes through these services.
package platform

import (
	"context"
	"fmt"
	"time"
)

// Sleep waits for d. It returns ctx.Err() if ctx is done first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Item is one row of the table. Its version starts at 1 and increases by one with
// every change.
type Item struct {
	Key     string
	Version uint64
	Value   []byte
}

// Table is the platform's transactional table.
type Table interface {
	// Get returns an item with a consistent read: the result reflects every
	// Put that was acknowledged before. It returns a *NotFoundError if there
	// is no such item.
	Get(ctx context.Context, key string) (Item, error)
	// Put stores an item if the stored version is item.Version-1 or, for
	// version 1, if there is no stored item. Otherwise it returns a
	// *ConflictError. It returns an *UnavailableError if it is not known
	// whether the item was stored.
	Put(ctx context.Context, item Item) error
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object. It is idempotent. It returns an *UnavailableError if
	// it is not known whether the object was stored.
	Put(ctx context.Context, key string, content []byte) error
	// Get returns an object. It returns a *NotFoundError if there is no such
	// object.
	Get(ctx context.Context, key string) ([]byte, error)
}

// Instance is an entry of the platform's instance list.
type Instance struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
	// Backend is set for a backend server, which is identified by its address.
	Backend bool `json:"backend,omitempty"`
}

// InstanceList is the platform's list of live and leaving instances. The list lags
// behind their actual state.
type InstanceList interface {
	// Instances returns the current list. It returns an *UnavailableError if
	// the list cannot be read.
	Instances(ctx context.Context) ([]Instance, error)
}

// NotFoundError reports a missing item or object.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return "not found on the platform: " + e.Key }

// ConflictError reports a Put whose version does not directly follow the stored
// version.
type ConflictError struct {
	Key     string
	Version uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed concurrently: version %d does not follow the stored version", e.Key, e.Version)
}

// UnavailableError reports a failed call to a service. A change may have taken
// effect nevertheless.
type UnavailableError struct {
	Service string
	Cause   error
}

func (e *UnavailableError) Error() string {
	return "the platform's " + e.Service + " is not available: " + e.Cause.Error()
}

// Unwrap returns the error of the call.
func (e *UnavailableError) Unwrap() error { return e.Cause }
