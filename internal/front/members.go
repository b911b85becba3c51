package front

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// membersTable has one row for each live proxy.
	membersTable = "oleanderflowMembers"
	// maxMembersPollInterval is the upper bound of the poll interval for the
	// members table. It is long because the table changes often while a system
	// starts.
	maxMembersPollInterval = 4 * clock.Second
)

// applyMembers applies changed rows of the members table, and registers this
// proxy if it has no row or an outdated one.
func (f *Front) applyMembers(changes store.Changes) {
	f.mu.Lock()
	if changes.Whole {
		clear(f.members)
	}
	for _, row := range changes.Rows {
		var p proxy.Peer
		if row.Deleted {
			delete(f.members, row.Key)
			continue
		}
		if err := json.Unmarshal(row.Value, &p); err != nil || p.Name != row.Key {
			f.log.Warn("invalid member row", zap.String("key", row.Key), logs.Error(err))
			continue
		}
		f.members[row.Key] = p
	}
	list := make([]proxy.Peer, 0, len(f.members))
	for _, p := range f.members {
		list = append(list, p)
	}
	// A row that this instance wrote before a restart is still valid.
	registered := f.members[f.settings.Name] == f.self
	f.mu.Unlock()
	slices.SortFunc(list, func(a, b proxy.Peer) int { return strings.Compare(a.Name, b.Name) })
	f.homes.SetMembers(list)
	f.relays.setMembers(list)
	f.membersReadOnce.Do(func() { close(f.membersRead) })
	if registered || f.relays.exist() {
		f.membersKnownOnce.Do(func() { close(f.membersKnown) })
	}
	f.log.Info("proxies known", zap.Int("count", len(list)))
	// A row that was written with this version or a later one is not in the
	// table yet.
	pending := changes.Before(*f.registeredVersion.Load())
	if !registered && !pending && !f.stopping.Load() {
		f.startRegister()
	}
}

// unregister removes the row of this proxy, so that other proxies forward no
// requests to it.
func (f *Front) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Std())
	defer cancel()
	if err := f.platform.Store.Remove(ctx, membersTable, f.settings.Name); err != nil {
		f.log.Info("remove own member row failed", logs.Error(err))
	}
}
