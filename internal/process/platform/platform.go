// Package platform speaks with the platform's services: the transactional
// table, the object store and the lagging list of instances. What must be
// agreed or kept goes through it.
package platform

import (
	"context"
	"fmt"
	"time"
)

// Sleep waits for d. It returns the context's error if that ends first.
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

// Item is one row of the table. Versions start at 1 and grow by one with
// every change.
type Item struct {
	Key     string
	Version uint64
	Value   []byte
}

// Table is the platform's transactional table.
type Table interface {
	// Get returns an item as it is after every change that was answered
	// before. It returns a *NotFoundError if there is none.
	Get(ctx context.Context, key string) (Item, error)
	// Put stores an item if the stored one has the version before it, which
	// is none for version 1. It returns a *ConflictError otherwise, and an
	// *UnavailableError if it is not known whether the item was stored.
	Put(ctx context.Context, item Item) error
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object. Storing the same one again has no effect.
	Put(ctx context.Context, key string, content []byte) error
	// Get returns an object. It returns a *NotFoundError if there is none.
	Get(ctx context.Context, key string) ([]byte, error)
}

// Instance is an entry of the platform's list, which lags behind the truth.
type Instance struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
	// Backend is set for a backend server, which is known by its address.
	Backend bool `json:"backend,omitempty"`
}

// InstanceList is the platform's list of live and leaving instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// NotFoundError reports a missing item or object.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return "not found in the platform's service: " + e.Key }

// ConflictError reports an item that another change has taken.
type ConflictError struct {
	Key     string
	Version uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed by another: version %d is not the next", e.Key, e.Version)
}

// UnavailableError reports a service that did not answer. A change may have
// taken effect all the same.
type UnavailableError struct {
	Service string
	Cause   error
}

func (e *UnavailableError) Error() string {
	return "the platform's " + e.Service + " is not available: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
