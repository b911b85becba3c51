// Package platform is a stand-in for the platform's services: a table, an
// object store and a list of instances that can be slow, down, lag behind,
// or lose an answer after the change has taken effect.
package platform

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/process/platform"
)

// Fault is what befalls one call of the platform's service.
type Fault int

// The faults of a call.
const (
	FaultNone Fault = iota
	// FaultRequestLost loses the request.
	FaultRequestLost
	// FaultAnswerLost loses the answer after the effect.
	FaultAnswerLost
	// FaultTruncated stores only half of an object and loses the answer.
	FaultTruncated
)

// errLost is the cause of a call that a fault befell.
var errLost = errors.New("no answer")

// Memory keeps items and objects. It implements platform.Table.
type Memory struct {
	mu      sync.Mutex
	items   map[string]platform.Item
	objects map[string][]byte
	fault   func(call int) Fault
	calls   int
	reads   int
	writes  int
}

// NewMemory returns an empty service.
func NewMemory() *Memory {
	return &Memory{items: make(map[string]platform.Item), objects: make(map[string][]byte), fault: func(int) Fault { return FaultNone }}
}

// SetFault decides what befalls each call from now on, numbered from 1.
func (m *Memory) SetFault(fault func(call int) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
	m.calls = 0
}

// Usage returns how many reads and writes were answered.
func (m *Memory) Usage() (reads, writes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.writes
}

// next counts a call and returns its fault.
func (m *Memory) next() Fault {
	m.calls++
	return m.fault(m.calls)
}

func lost(service string) error { return &platform.UnavailableError{Service: service, Cause: errLost} }

// Get implements platform.Table.
func (m *Memory) Get(_ context.Context, key string) (platform.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.next() != FaultNone {
		return platform.Item{}, lost("table service")
	}
	m.reads++
	item, ok := m.items[key]
	if !ok {
		return platform.Item{}, &platform.NotFoundError{Key: key}
	}
	return item, nil
}

// Put implements platform.Table.
func (m *Memory) Put(_ context.Context, item platform.Item) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	fault := m.next()
	if fault == FaultRequestLost {
		return lost("table service")
	}
	m.writes++
	if m.items[item.Key].Version+1 != item.Version {
		if fault != FaultNone {
			return lost("table service")
		}
		return &platform.ConflictError{Key: item.Key, Version: item.Version}
	}
	m.items[item.Key] = item
	if fault != FaultNone {
		return lost("table service")
	}
	return nil
}

// ObjectStore is the object store of the same service. It implements
// platform.Objects.
type ObjectStore struct{ memory *Memory }

// Objects returns the service's object store.
func (m *Memory) Objects() ObjectStore { return ObjectStore{m} }

// Put implements platform.Objects.
func (o ObjectStore) Put(_ context.Context, key string, content []byte) error {
	m := o.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	fault := m.next()
	if fault == FaultRequestLost {
		return lost("object store")
	}
	m.writes++
	if fault == FaultTruncated {
		content = content[:len(content)/2]
	}
	m.objects[key] = append([]byte(nil), content...)
	if fault != FaultNone {
		return lost("object store")
	}
	return nil
}

// Get implements platform.Objects.
func (o ObjectStore) Get(_ context.Context, key string) ([]byte, error) {
	m := o.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.next() != FaultNone {
		return nil, lost("object store")
	}
	m.reads++
	content, ok := m.objects[key]
	if !ok {
		return nil, &platform.NotFoundError{Key: key}
	}
	return append([]byte(nil), content...), nil
}
