package front

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// membersTable holds a row for each live proxy.
	membersTable = "oleanderflowMembers"
	// membersSpacing is the least time between two questions for changes of
	// the members, which are many while a system starts.
	membersSpacing = 4 * clock.Second
	// joinRetry is the wait before a row is written again.
	joinRetry = 500 * clock.Millisecond
)

// acceptMembers takes in the rows of live proxies.
func (f *Front) acceptMembers(rows []store.Row, whole bool) {
	f.mu.Lock()
	if whole {
		clear(f.members)
	}
	for _, row := range rows {
		var p proxy.Peer
		if row.Deleted {
			delete(f.members, row.Key)
			continue
		}
		if err := json.Unmarshal(row.Value, &p); err != nil || p.Name != row.Key {
			f.log.Warn("row of a proxy not understood", zap.String("key", row.Key), logs.Error(err))
			continue
		}
		f.members[row.Key] = p
	}
	list := make([]proxy.Peer, 0, len(f.members))
	for _, p := range f.members {
		list = append(list, p)
	}
	// The row of an earlier life of this instance serves as well.
	joined := f.members[f.settings.Name] == f.self
	f.mu.Unlock()
	slices.SortFunc(list, func(a, b proxy.Peer) int { return strings.Compare(a.Name, b.Name) })
	f.homes.SetMembers(list)
	f.relays.setMembers(list)
	if joined || f.relays.exist() {
		f.seeMembers.Do(func() { close(f.membersSeen) })
	}
	f.log.Info("proxies known", zap.Int("count", len(list)))
	if !joined && !f.leaving.Load() {
		go f.join()
	}
}

// join writes this proxy's row until the store has taken it.
func (f *Front) join() {
	value, err := json.Marshal(f.self)
	if err != nil {
		f.log.Error("row of this proxy not encoded", logs.Error(err))
		return
	}
	for !f.leaving.Load() {
		f.metrics.CountStoreCall()
		ctx, cancel := context.WithTimeout(context.Background(), storeLimit.Std())
		err := f.peers.Store.Put(ctx, membersTable, f.settings.Name, value)
		cancel()
		if err == nil {
			return
		}
		f.log.Info("row of this proxy not written", logs.Error(err))
		backend.Sleep(joinRetry)
	}
}

// leave removes this proxy's row, so that others pass nothing on to it.
func (f *Front) leave() {
	f.metrics.CountStoreCall()
	ctx, cancel := context.WithTimeout(context.Background(), storeLimit.Std())
	defer cancel()
	if err := f.peers.Store.Remove(ctx, membersTable, f.settings.Name); err != nil {
		f.log.Info("row of this proxy not removed", logs.Error(err))
	}
}
