package front

import (
	"context"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// membersTable has one row for each live proxy.
	membersTable = "oleanderflowMembers"
	// maxMembersPollInterval is the upper bound of the poll interval for the members
	// table where no workspaces are declared. It is long because the table changes often
	// while a system starts.
	maxMembersPollInterval = 4 * clock.Second
)

// membersPollInterval returns the upper bound of the poll interval for the members table.
// Where there are accountants of workspaces, proxies have to learn of a change within
// workspace.SpreadTime, also if they read the table as a whole after a restore.
func (f *Front) membersPollInterval() clock.Duration {
	if v := f.versions.Load(); v != nil && v.Workspaces != nil {
		return maxPollInterval
	}
	return maxMembersPollInterval
}

// applyMembers applies changed rows of the members table, and registers this
// proxy if it has no row or an outdated one.
func (f *Front) applyMembers(changes store.Changes) {
	f.mu.Lock()
	now := f.clock.Now()
	found := f.roster.apply(now, changes)
	f.settled.apply(now, changes)
	// A row that this instance wrote before a restart is still valid.
	registered := f.roster.listed[f.settings.Name] == f.self
	if !f.membersApplied {
		f.membersApplied, f.accountantAtStart = true, registered && f.settled.shown()
	}
	f.mu.Unlock()
	for _, key := range found.invalid {
		f.log.Warn("invalid member row", zap.String("key", key))
	}
	list := f.passMembers()
	f.membersReadOnce.Do(func() { close(f.membersRead) })
	if registered || f.relays.exist() {
		f.membersKnownOnce.Do(func() { close(f.membersKnown) })
	}
	f.removeReturned(found.returned, list)
	// A row that was written with this version or a later one is not in the
	// table yet.
	pending := changes.Before(*f.registeredVersion.Load())
	if !registered && !pending && !f.stopping.Load() {
		f.startRegister()
	}
}

// passMembers passes the list of live proxies on, and returns it. Lists are passed on in
// the order of their changes.
func (f *Front) passMembers() []proxy.Peer {
	f.membersMu.Lock()
	defer f.membersMu.Unlock()
	f.mu.Lock()
	list := f.roster.live()
	f.mu.Unlock()
	f.homes.SetMembers(list)
	f.relays.setMembers(list)
	f.allowances.setMembers(list, f.accountsAlone())
	f.log.Info("proxies known", zap.Int("count", len(list)))
	return list
}

// accountsAlone reports whether no other proxy can have accounted for the workspaces that
// this proxy accounts for now. When this process started, others had its row and asked it
// already, or the whole system is starting and no proxy has granted much. A row that a
// restore of the store may have brought back shows nothing: the others may have members of
// which the copy lacks some.
func (f *Front) accountsAlone() bool {
	f.mu.Lock()
	first := f.accountantAtStart && !f.membersPassed
	f.membersPassed = true
	f.mu.Unlock()
	return first || f.settings.FirstStart && f.clock.Now().Sub(f.startedAt) < workspace.SpreadTime
}

// expireMembers drops proxies that have not written their rows again after a restore
// of the store.
func (f *Front) expireMembers(now clock.Time) {
	f.mu.Lock()
	expired := f.roster.expire(now)
	f.mu.Unlock()
	if expired {
		f.passMembers()
	}
}

// removeReturned removes rows again that a restore of the store has brought back, if
// this proxy is one of the registrars. A proxy that runs again writes its row once it
// misses it.
func (f *Front) removeReturned(names []string, live []proxy.Peer) {
	if len(names) == 0 || !proxy.ContainsPeer(proxy.Choose("registrars", live, registrarCount), f.self.Name) {
		return
	}
	go contain.Run(f.log, "removal of member rows", func() {
		for _, name := range names {
			err := f.removeMember(name)
			f.log.Info("member row that was back after a restore removed", zap.String("name", name), logs.Error(err))
		}
	})
}

// removeMember removes the row of a proxy.
func (f *Front) removeMember(name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Std())
	defer cancel()
	return f.platform.Store.Remove(ctx, membersTable, name)
}

// unregister removes the row of this proxy, so that other proxies forward no
// requests to it.
func (f *Front) unregister() {
	if err := f.removeMember(f.settings.Name); err != nil {
		f.log.Info("remove own member row failed", logs.Error(err))
	}
}
