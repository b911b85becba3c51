package front

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// unchangingStore responds unless it is down. Its tables never change, so it
// holds a feed open for the full wait.
type unchangingStore struct {
	store.Store
	mu    sync.Mutex
	down  bool
	calls int
	asked map[string]bool
}

var errDown = errors.New("down")

func (s *unchangingStore) call(table string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return errDown
	}
	s.asked[table] = true
	return nil
}

func (s *unchangingStore) Table(_ context.Context, table string) ([]store.Row, store.Version, error) {
	return nil, at(5), s.call(table)
}

func (s *unchangingStore) Feed(_ context.Context, table string, after store.Version, wait clock.Duration) ([]store.Row, store.Version, error) {
	if err := s.call(table); err != nil {
		return nil, store.Version{}, err
	}
	for until := time.Now().Add(wait.Std()); time.Now().Before(until); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			return nil, store.Version{}, errDown
		}
	}
	return nil, after, nil
}

func (s *unchangingStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.calls, s.asked = down, 0, make(map[string]bool)
}

// After an outage, the feed of an unchanged table stays open for the full wait.
// The attempts for the other tables must not wait for it.
func TestEveryTableIsFollowedSoonAfterOutage(t *testing.T) {
	s := &unchangingStore{}
	s.setDown(false)
	f := New(Settings{}, Platform{Store: s}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	tables := []string{"a", "b", "c", "d", "e", "f"}
	f.relays = newRelays(proxy.Peer{Name: "self"}, tables, systemTimers{f.clock}, f.log)
	defer close(f.done)
	for _, table := range tables {
		go f.follow(table, every(maxPollInterval), func(store.Changes) {})
	}
	allAsked := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.asked) == len(tables)
	}
	require.Eventually(t, allAsked, time.Second, 10*time.Millisecond)
	time.Sleep((2 * minPollInterval).Std())
	s.setDown(true)
	time.Sleep((4 * maxRetryDelay).Std())
	s.mu.Lock()
	calls := s.calls
	s.mu.Unlock()
	require.LessOrEqual(t, calls, len(tables)+6, "calls while the store is down")
	s.setDown(false)
	require.Eventually(t, allAsked, (2*maxRetryDelay + 300*clock.Millisecond).Std(), 10*time.Millisecond)
}

// The delay between calls grows and is shared by all tables.
func TestOutageBackoffIsSharedByAllTables(t *testing.T) {
	var o outage
	now := clock.Time(1000)
	wait, _ := o.reserveAttempt(now)
	require.Zero(t, wait)
	o.recordFailure(now, false)
	require.True(t, o.active())
	attempts := 0
	for ; now < 11_000; now += 10 {
		for range 4 {
			if wait, recovered := o.reserveAttempt(now); wait == 0 {
				attempts++
				o.recordFailure(now, false)
			} else {
				require.NotNil(t, recovered)
			}
		}
	}
	require.LessOrEqual(t, attempts, 10_000/int(maxRetryDelay)+2)
	require.GreaterOrEqual(t, attempts, 10_000/int(2*maxRetryDelay))
	o.recordFailure(now, false)
	_, recovered := o.reserveAttempt(now)
	o.recordSuccess()
	require.False(t, o.active())
	select {
	case <-recovered:
	default:
		require.Fail(t, "waiting calls are not released")
	}
}

// While relays report that they cannot reach the store, a process may call the
// store only rarely, once for all tables together. If the relays fail for
// another reason, it retries as often as without relays.
func TestFollowersRarelyCallStoreLostToRelays(t *testing.T) {
	const configurationLimit = 5 * clock.Second
	var o outage
	now := clock.Time(1000)
	o.reportByRelays(now)
	attempts, last := 0, now
	for ; now < 21_000; now += 10 {
		for range 4 {
			o.reportByRelays(now)
			if wait, _ := o.reserveAttempt(now); wait == 0 {
				require.Less(t, now.Sub(last), configurationLimit-clock.Second)
				attempts, last = attempts+1, now
				o.recordFailure(now, false)
			}
		}
	}
	require.LessOrEqual(t, attempts, 20_000/int(followerRetryDelay)+2)
	o.recordFailure(now, false)
	o.recordFailure(now, false)
	wait, _ := o.reserveAttempt(now)
	require.LessOrEqual(t, wait, 2*maxRetryDelay)
	o.reportByRelays(now)
	_, recovered := o.reserveAttempt(now)
	o.recordSuccess()
	<-recovered
	wait, _ = o.reserveAttempt(now)
	require.Zero(t, wait)
}

// After a report by the relays, only one table's call may be made at once.
func TestStoreReportedLostIsTriedByOneTable(t *testing.T) {
	var o outage
	o.reportByRelays(1000)
	first, _ := o.reserveAttempt(1000)
	require.Zero(t, first)
	second, recovered := o.reserveAttempt(1000)
	require.NotZero(t, second)
	require.NotNil(t, recovered)
}

// A feed that was cancelled because another table's call failed must not mark
// the store as lost: the other table may have been read again since, and the
// followers of this relay depend on its copy.
func TestCancelledFeedLeavesOtherTablesUsable(t *testing.T) {
	f := New(Settings{}, Platform{Store: cancelledStore{}, ConfigurationTable: "op"}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	f.relays = newRelays(proxy.Peer{Name: "self"}, []string{"op", "servers"}, systemTimers{f.clock}, f.log)
	f.relays.update("op", store.Changes{Whole: true, Version: at(5)})
	_, _, err := f.fetchChanges("servers", true, at(5))
	require.Error(t, err)
	require.True(t, f.relays.copies["op"].Usable())
	require.False(t, f.outage.active())
}

// cancelledStore returns the error of a client whose call was cancelled.
type cancelledStore struct{ store.Store }

func (cancelledStore) Feed(context.Context, string, store.Version, clock.Duration) ([]store.Row, store.Version, error) {
	return nil, store.Version{}, errors.Wrap(context.Canceled, "feed")
}

// hangingStore responds to the first read of each table, and to no feed.
type hangingStore struct {
	store.Store
	mu      sync.Mutex
	waiting int
}

func (*hangingStore) Table(context.Context, string) ([]store.Row, store.Version, error) {
	return nil, at(5), nil
}

func (s *hangingStore) Feed(ctx context.Context, _ string, _ store.Version, _ clock.Duration) ([]store.Row, store.Version, error) {
	s.mu.Lock()
	s.waiting++
	s.mu.Unlock()
	<-ctx.Done()
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	return nil, store.Version{}, ctx.Err()
}

// The store stops responding to one relay while its connections stay open. In
// every table, the followers of the relay have to learn of this well before the
// deadline for a new configuration.
func TestRelayReportsUnresponsiveStore(t *testing.T) {
	const configurationLimit = 5 * clock.Second
	s := &hangingStore{}
	f := New(Settings{}, Platform{Store: s, ConfigurationTable: "op"}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	f.relays = newRelays(proxy.Peer{Name: "self"}, []string{"op", "servers"}, systemTimers{f.clock}, f.log)
	f.relays.setMembers([]proxy.Peer{{Name: "self"}})
	f.relays.selfIsRelay, f.relays.selfIsRoot = true, true
	f.relays.tiers = tiers{relays: []proxy.Peer{{Name: "self"}}, roots: []proxy.Peer{{Name: "self"}}}
	defer close(f.done)
	began := f.clock.Now()
	for _, table := range []string{"op", "servers"} {
		go f.follow(table, every(maxPollInterval), func(store.Changes) {})
	}
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.waiting == 2
	}, time.Second, time.Millisecond)
	for _, table := range []string{"op", "servers"} {
		lost := func() bool {
			return f.relays.awaitChanges(f.relays.copies[table], followParams{Known: true, Version: at(5), WaitMillis: int64(relayPollWait)}).Lost
		}
		for !lost() {
			require.Less(t, f.clock.Now().Sub(began), configurationLimit, table)
		}
		require.Less(t, f.clock.Now().Sub(began), configurationLimit-clock.Second, table)
	}
}

// The store responds to nobody. A proxy whose relays are unavailable calls the
// store itself. This call must time out soon, since the store may recover in
// the meantime and have a new configuration.
func TestProxyWithUnavailableRelaysTimesOutOnUnresponsiveStore(t *testing.T) {
	s := &hangingStore{}
	f := New(Settings{}, Platform{Store: s, ConfigurationTable: "op"}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	f.relays = newRelays(proxy.Peer{Name: "self"}, []string{"op", "servers"}, systemTimers{f.clock}, f.log)
	f.relays.tiers = tiers{relays: []proxy.Peer{{Name: "relay"}}, roots: []proxy.Peer{{Name: "relay"}}}
	f.relays.sources = f.relays.tiers.relays
	f.relays.avoid("relay", clock.Minute)
	for _, table := range []string{"op", "servers"} {
		began := f.clock.Now()
		_, err := f.fetchFromStore(table, true, at(5))
		require.Error(t, err)
		require.LessOrEqual(t, f.clock.Now().Sub(began), heartbeatWait+heartbeatGrace+clock.Second)
	}
}

// A standard site has too few proxies for relays. For proxies that were in
// contact with the store for 4 s, a configuration has to be in force 3 s after
// its acknowledgement, and a leaving database must get no requests after 7 s.
func TestFewProxiesTimeOutOnUnresponsiveStore(t *testing.T) {
	const contactTime = 4 * clock.Second
	s := &hangingStore{}
	f := New(Settings{}, Platform{Store: s, ConfigurationTable: "op", RegistryTable: "servers"},
		clock.NewBoot(), zap.NewNop(), NewMetrics())
	f.relays = newRelays(proxy.Peer{Name: "self"}, []string{"op", "servers", "agreement"}, systemTimers{f.clock}, f.log)
	bounds := map[string]clock.Duration{
		"op": contactTime + 3*clock.Second, "servers": contactTime + 7*clock.Second,
		// The feed of a table without a deadline of its own is cancelled by the
		// first failure.
		"agreement": contactTime + 3*clock.Second,
	}
	type outcome struct {
		table string
		took  clock.Duration
		err   error
	}
	outcomes := make(chan outcome, len(bounds))
	for table := range bounds {
		go func() {
			began := f.clock.Now()
			_, _, err := f.fetchChanges(table, true, at(5))
			outcomes <- outcome{table, f.clock.Now().Sub(began), err}
		}()
	}
	for range bounds {
		o := <-outcomes
		require.Error(t, o.err, o.table)
		// The next attempt follows within twice maxRetryDelay.
		require.Less(t, o.took+2*maxRetryDelay, bounds[o.table], o.table)
	}
}
