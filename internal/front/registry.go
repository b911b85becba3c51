package front

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// registryTimeout is the timeout of the read of the registry that a replacement makes.
const registryTimeout = 500 * clock.Millisecond

// registry is what this process knows of the registry's table.
type registry struct {
	proof *group.RegistryProof

	mu sync.Mutex
	// applied is the version up to which the table has been applied.
	applied store.Version
}

func (r *registry) setApplied(v store.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = store.Latest(r.applied, v)
}

func (r *registry) appliedVersion() store.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applied
}

// recordRegistryRead records that changes of the registry have been applied, which were asked
// for at sent. from is the name of the relay that has sent them, empty if the store has.
func (f *Front) recordRegistryRead(sent clock.Time, from string, v store.Version) {
	f.registry.setApplied(v)
	if from != "" {
		sent = f.relays.registryProof()
	}
	f.registry.proof.Prove(sent)
}

// readRegistry applies what the store has of the registry now.
func (f *Front) readRegistry() error {
	ctx, cancel := context.WithTimeout(context.Background(), registryTimeout.Std())
	defer cancel()
	table, after, sent := f.platform.RegistryTable, f.registry.appliedVersion(), f.clock.Now()
	var changes store.Changes
	err := store.ErrHistoryGone
	if after != (store.Version{}) {
		changes.Rows, changes.Version, err = f.platform.Store.Feed(ctx, table, after, probeFeedWait)
	}
	if errors.Is(err, store.ErrHistoryGone) {
		changes.Whole = true
		changes.Rows, changes.Version, err = f.platform.Store.Table(ctx, table)
	}
	if err != nil {
		return errors.Wrap(err, "read the registry")
	}
	f.applyEntries(changes)
	f.recordRegistryRead(sent, "", changes.Version)
	return nil
}
