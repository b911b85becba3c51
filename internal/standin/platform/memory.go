// Package platform simulates the platform's services: a table, an object store
// and a list of instances. They can be slow or down, serve an outdated list,
// and lose an answer after the change has taken effect.
package platform

import (
	"context"
	"maps"
	"sync"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/process/platform"
)

// Fault is a failure injected into one call of a service.
type Fault int

// The faults of a call.
const (
	// FaultNone injects no failure.
	FaultNone Fault = iota
	// FaultRequestLost loses the request, so that the call has no effect.
	FaultRequestLost
	// FaultAnswerLost loses the answer after the call has taken effect.
	FaultAnswerLost
	// FaultTruncated stores only the first half of an object and loses the
	// answer. On an item it acts as FaultAnswerLost.
	FaultTruncated
)

// errLost is the cause given for a call whose request or answer was lost.
var errLost = errors.New("no answer")

// Memory holds the items and objects of the simulated services in memory. It
// implements platform.Table and is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	items   map[string]platform.Item
	objects map[string][]byte
	fault   func(call int) Fault
	calls   int
	reads   int
	writes  int
}

// NewMemory returns an empty Memory that injects no faults.
func NewMemory() *Memory {
	return &Memory{items: make(map[string]platform.Item), objects: make(map[string][]byte), fault: func(int) Fault { return FaultNone }}
}

// SetFault makes fault choose the fault of each later call. Calls are numbered
// from 1, starting with the next one.
func (m *Memory) SetFault(fault func(call int) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
	m.calls = 0
}

// Copy returns a copy of the items, and of the objects.
func (m *Memory) Copy() (map[string]platform.Item, map[string][]byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.items), maps.Clone(m.objects)
}

// Restore replaces the items, and the objects unless they are nil, by an earlier copy.
func (m *Memory) Restore(items map[string]platform.Item, objects map[string][]byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.items = maps.Clone(items)
	if objects != nil {
		m.objects = maps.Clone(objects)
	}
}

// Usage returns the number of reads without a fault and the number of writes
// whose request was not lost.
func (m *Memory) Usage() (reads, writes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.writes
}

// nextFaultLocked counts a call and returns its fault. The caller holds m.mu.
func (m *Memory) nextFaultLocked() Fault {
	m.calls++
	return m.fault(m.calls)
}

func unavailable(name string) error { return &platform.UnavailableError{Service: name, Cause: errLost} }

// Get implements platform.Table.
func (m *Memory) Get(_ context.Context, key string) (platform.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.nextFaultLocked() != FaultNone {
		return platform.Item{}, unavailable("table service")
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
	fault := m.nextFaultLocked()
	if fault == FaultRequestLost {
		return unavailable("table service")
	}
	m.writes++
	if m.items[item.Key].Version+1 != item.Version {
		if fault != FaultNone {
			return unavailable("table service")
		}
		return &platform.ConflictError{Key: item.Key, Version: item.Version}
	}
	m.items[item.Key] = item
	if fault != FaultNone {
		return unavailable("table service")
	}
	return nil
}

// ObjectStore gives access to the objects of a Memory. It implements
// platform.Objects.
type ObjectStore struct{ memory *Memory }

// Objects returns the object store, which shares the faults and the usage
// counts with the table.
func (m *Memory) Objects() ObjectStore { return ObjectStore{m} }

// Put implements platform.Objects.
func (o ObjectStore) Put(_ context.Context, key string, content []byte) error {
	m := o.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	fault := m.nextFaultLocked()
	if fault == FaultRequestLost {
		return unavailable("object store")
	}
	m.writes++
	if fault == FaultTruncated {
		content = content[:len(content)/2]
	}
	m.objects[key] = append([]byte(nil), content...)
	if fault != FaultNone {
		return unavailable("object store")
	}
	return nil
}

// Get implements platform.Objects.
func (o ObjectStore) Get(_ context.Context, key string) ([]byte, error) {
	m := o.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.nextFaultLocked() != FaultNone {
		return nil, unavailable("object store")
	}
	m.reads++
	content, ok := m.objects[key]
	if !ok {
		return nil, &platform.NotFoundError{Key: key}
	}
	return append([]byte(nil), content...), nil
}
