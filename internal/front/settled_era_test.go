package front

import (
	"context"
	"encoding/json"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// memberStore keeps the rows of the members table that are written to it.
type memberStore struct {
	hangingStore
	mu      sync.Mutex
	version store.Version
	rows    map[string]store.Row
	puts    int
}

func newMemberStore(era uint64) *memberStore {
	return &memberStore{version: store.Version{Era: era, Number: 10}, rows: make(map[string]store.Row)}
}

// Put implements store.Store.
func (s *memberStore) Put(_ context.Context, _ string, values map[string][]byte) (store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	s.version.Number++
	for key, value := range values {
		s.rows[key] = store.Row{Key: key, Value: value, Version: s.version}
	}
	return s.version, nil
}

// table returns the whole table. Like the platform's, its rows have the era of the answer,
// whenever they were written.
func (s *memberStore) table() store.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := store.Changes{Whole: true, Version: s.version}
	for _, r := range s.rows {
		r.Era = s.version.Era
		changes.Rows = append(changes.Rows, r)
	}
	return changes
}

func (s *memberStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.puts
}

// settledFront is a process in a test with a members table.
type settledFront struct {
	*Front
	clock *manualClock
	close func()
}

func newSettledFront(t *testing.T, name, address string, s *memberStore, c *manualClock) settledFront {
	f := New(Settings{Name: name, Zone: "a"}, Platform{Store: s}, c, zap.NewNop(), NewMetrics())
	require.NoError(t, f.startPeers(address))
	closeOnce := sync.OnceFunc(f.peerConns.Close)
	t.Cleanup(closeOnce)
	w := routes.NewWorkspaces()
	require.NoError(t, w.Add(routes.Workspace{Name: "north", Rate: 100, Burst: 100}, []string{"k"}))
	f.versions.Accept(&routes.Version{Workspaces: w})
	return settledFront{Front: f, clock: c, close: closeOnce}
}

// grants reports whether the process grants tokens, once its bucket has some.
func (f settledFront) grants(t *testing.T) bool {
	f.clock.Advance(100)
	answer, err := f.allowances.handleGrant([]byte(`{"asks":[{"workspace":"north","want":1}]}`))
	require.NoError(t, err)
	return answer.(grantResult).Grants[0].Tokens > 0
}

func (f settledFront) awaitRegistered(t *testing.T) {
	require.Eventually(t, func() bool { return !f.registering.Load() }, clock.Minute.Std(), clock.Millisecond.Std())
}

// restart ends the process and starts it again with the address that it had.
func (f settledFront) restart(t *testing.T, s *memberStore) settledFront {
	address := f.self.Address
	f.close()
	next := newSettledFront(t, f.settings.Name, address, s, f.clock)
	next.applyMembers(s.table())
	return next
}

// A process that starts beside a restored store found its own row in the copy and granted
// at once, while the accountant that the copy lacks granted as well.
func TestRowThatARestoreMayHaveBroughtBackShowsNothing(t *testing.T) {
	s, c := newMemberStore(store.FirstEra), newManualClock()
	f := newSettledFront(t, "self", "127.0.0.1:0", s, c)
	f.applyMembers(s.table())
	f.awaitRegistered(t)
	f.applyMembers(s.table())
	require.False(t, f.grants(t), "it was not in the table when it started")
	c.Advance(2 * workspace.SpreadTime)
	require.True(t, f.grants(t))

	f = f.restart(t, s)
	require.True(t, f.grants(t), "without a restore, grants must go on at once")

	s.version = store.Version{Era: 2, Number: 5}
	f = f.restart(t, s)
	require.False(t, f.grants(t))
	c.Advance(2 * workspace.SpreadTime)
	require.True(t, f.grants(t))
}

// Some time after a restore, a restart of all processes must go on granting at once.
func TestAccountantStatesTheEraOnceItIsSettled(t *testing.T) {
	s, c := newMemberStore(2), newManualClock()
	f := newSettledFront(t, "self", "127.0.0.1:0", s, c)
	f.applyMembers(s.table())
	f.awaitRegistered(t)
	f.applyMembers(s.table())
	c.Advance(settleTime - 1)
	f.stateSettledEra(c.Now())
	f.awaitRegistered(t)
	require.Equal(t, 1, s.count(), "another proxy may not have heard of the era")
	c.Advance(1)
	f.stateSettledEra(c.Now())
	f.awaitRegistered(t)
	require.Equal(t, 2, s.count())
	f.applyMembers(s.table())
	require.Equal(t, f.self, f.roster.listed["self"])
	c.Advance(clock.Minute)
	f.stateSettledEra(c.Now())
	f.awaitRegistered(t)
	require.Equal(t, 2, s.count(), "the row states the era already")

	f = f.restart(t, s)
	require.True(t, f.grants(t))

	// A row that another restore has brought back states an era before.
	s.version = store.Version{Era: 3, Number: 12}
	f = f.restart(t, s)
	require.False(t, f.grants(t))
}

// Proxies that read the members table from the store learned of a change up to 4 s apart
// while it changed often. An accountant counts on the others having learned of it earlier.
func TestMembersAreReadWithinSpreadTime(t *testing.T) {
	f := New(Settings{Name: "self"}, Platform{}, newManualClock(), zap.NewNop(), NewMetrics())
	require.Equal(t, maxMembersPollInterval, f.membersPollInterval(), "no workspaces are declared")
	require.True(t, f.versions.Accept(&routes.Version{Number: 1, Workspaces: &routes.Workspaces{}}))
	require.Less(t, f.membersPollInterval()+minPollInterval+startRetryDelay, workspace.SpreadTime)
}

// A running accountant goes on granting while the store goes back, and states the new era
// later.
func TestRunningAccountantGrantsAcrossARestore(t *testing.T) {
	s, c := newMemberStore(store.FirstEra), newManualClock()
	f := newSettledFront(t, "self", "127.0.0.1:0", s, c)
	f.applyMembers(s.table())
	f.awaitRegistered(t)
	f.applyMembers(s.table())
	c.Advance(clock.Minute)
	require.True(t, f.grants(t))
	f.stateSettledEra(c.Now())
	f.awaitRegistered(t)
	require.Equal(t, 1, s.count(), "rows of the first era state none")
	s.version = store.Version{Era: 2, Number: 1}
	f.applyMembers(s.table())
	require.True(t, f.grants(t))
	c.Advance(settleTime)
	f.stateSettledEra(c.Now())
	f.awaitRegistered(t)
	require.Equal(t, 2, s.count())
}

// A restore must not cost a write for each proxy, nor one where no limits apply.
func TestOnlyAccountantsOfWorkspacesStateTheEra(t *testing.T) {
	for _, accountant := range []bool{false, true} {
		s, c := newMemberStore(2), newManualClock()
		f := newSettledFront(t, "self", "127.0.0.1:0", s, c)
		if accountant {
			f.versions = routes.Current{}
			f.versions.Accept(&routes.Version{})
		} else {
			f.self.Capacity = 0.001
			for _, p := range makeProxies(60) {
				p.Capacity = 1
				value, err := json.Marshal(p)
				require.NoError(t, err)
				s.rows[p.Name] = store.Row{Key: p.Name, Value: value, Version: s.version}
			}
		}
		value, err := json.Marshal(f.self)
		require.NoError(t, err)
		s.rows["self"] = store.Row{Key: "self", Value: value, Version: s.version}
		f.applyMembers(s.table())
		require.Equal(t, accountant, f.allowances.isAccountant())
		c.Advance(settleTime)
		f.stateSettledEra(c.Now())
		f.awaitRegistered(t)
		require.Zero(t, s.count())
	}
}

// A registrar of an earlier build writes rows without the era. The accountant must not
// write its row again with every such row.
func TestRowWithoutTheEraIsNotWrittenAgainAtOnce(t *testing.T) {
	e := settledEra{self: "self"}
	now := clock.Time(1_000_000)
	plain := proxy.Peer{Name: "self", Address: "10.0.0.1:1"}
	second := store.Version{Era: 2, Number: 7}
	written := 0
	for range 100 {
		e.apply(now, store.Changes{Rows: []store.Row{memberRow(t, plain, second)}, Version: second})
		if e.due(now) {
			written++
		}
		now = now.Add(settleTime / 10)
	}
	require.Equal(t, 9, written)
}

// The registrar passes on what a row states, and its answer is as before.
func TestRegistrarWritesTheStatedEra(t *testing.T) {
	s := newMemberStore(2)
	r := &registrar{clock: systemTimers{clock.NewBoot()}, put: func(rows map[string][]byte) (store.Version, error) {
		return s.Put(context.Background(), membersTable, rows)
	}}
	value, err := json.Marshal(memberContent{Peer: stayed, SettledEra: 2})
	require.NoError(t, err)
	_, err = r.handleRegister(value)
	require.NoError(t, err)
	require.JSONEq(t, `{"name":"stayed","zone":"","address":"10.0.0.1:1","settledEra":2}`, string(s.rows["stayed"].Value))
}
