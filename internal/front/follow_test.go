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

// quietStore answers or not; its tables never change, so that it holds a feed
// open for as long as it may.
type quietStore struct {
	store.Store
	mu    sync.Mutex
	down  bool
	calls int
	asked map[string]bool
}

var errDown = errors.New("down")

func (s *quietStore) call(table string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return errDown
	}
	s.asked[table] = true
	return nil
}

func (s *quietStore) Table(_ context.Context, table string) ([]store.Row, uint64, error) {
	return nil, 5, s.call(table)
}

func (s *quietStore) Feed(_ context.Context, table string, after uint64, wait clock.Duration) ([]store.Row, uint64, error) {
	if err := s.call(table); err != nil {
		return nil, 0, err
	}
	for until := time.Now().Add(wait.Std()); time.Now().Before(until); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			return nil, 0, errDown
		}
	}
	return nil, after, nil
}

func (s *quietStore) set(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.calls, s.asked = down, 0, make(map[string]bool)
}

// After an outage in which nothing changes, a table whose feed the store holds
// open must not keep the others waiting for their turns.
func TestEveryTableIsFollowedSoonAfterAnOutage(t *testing.T) {
	s := &quietStore{}
	s.set(false)
	f := New(Settings{}, Platform{Store: s}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	tables := []string{"a", "b", "c", "d", "e", "f"}
	f.relays = newRelays(proxy.Peer{Name: "self"}, tables, f.clock, f.log)
	defer close(f.done)
	for _, table := range tables {
		go f.follow(table, followSpacing, func([]store.Row, bool) {})
	}
	allAsked := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.asked) == len(tables)
	}
	require.Eventually(t, allAsked, time.Second, 10*time.Millisecond)
	time.Sleep((2 * leastSpacing).Std())
	s.set(true)
	time.Sleep((4 * mostRetry).Std())
	s.mu.Lock()
	calls := s.calls
	s.mu.Unlock()
	require.LessOrEqual(t, calls, len(tables)+6, "calls while the store is down")
	s.set(false)
	require.Eventually(t, allAsked, (2*mostRetry + 300*clock.Millisecond).Std(), 10*time.Millisecond)
}

// The wait between calls grows and is shared by all tables.
func TestOutageSpacesTheCallsOfAllTables(t *testing.T) {
	var o outage
	now := clock.Time(1000)
	wait, _ := o.turn(now)
	require.Zero(t, wait)
	o.failed(now)
	require.True(t, o.on())
	tries := 0
	for ; now < 11_000; now += 10 {
		for range 4 {
			if wait, over := o.turn(now); wait == 0 {
				tries++
				o.failed(now)
			} else {
				require.NotNil(t, over)
			}
		}
	}
	require.LessOrEqual(t, tries, 10_000/int(mostRetry)+2)
	require.GreaterOrEqual(t, tries, 10_000/int(2*mostRetry))
	o.failed(now)
	_, over := o.turn(now)
	o.answered()
	require.False(t, o.on())
	select {
	case <-over:
	default:
		require.Fail(t, "those who wait are not told")
	}
}

// While the relays answer that the store is lost to them, a process tries it
// itself now and then only, for all its tables together. When they have
// another reason not to answer, it tries as often as without relays.
func TestFollowersSpareAStoreThatIsLostToTheRelays(t *testing.T) {
	const configurationLimit = 5 * clock.Second
	var o outage
	now := clock.Time(1000)
	o.suspect(now)
	tries, last := 0, now
	for ; now < 21_000; now += 10 {
		for range 4 {
			o.suspect(now)
			if wait, _ := o.turn(now); wait == 0 {
				require.Less(t, now.Sub(last), configurationLimit-clock.Second)
				tries, last = tries+1, now
				o.failed(now)
			}
		}
	}
	require.LessOrEqual(t, tries, 20_000/int(followerRetry)+2)
	o.failed(now)
	o.failed(now)
	wait, _ := o.turn(now)
	require.LessOrEqual(t, wait, 2*mostRetry)
	o.suspect(now)
	_, over := o.turn(now)
	o.answered()
	<-over
	wait, _ = o.turn(now)
	require.Zero(t, wait)
}

// A suspicion lets one table's call try, not all at once.
func TestSuspectedStoreIsTriedOnce(t *testing.T) {
	var o outage
	o.suspect(1000)
	first, _ := o.turn(1000)
	require.Zero(t, first)
	second, over := o.turn(1000)
	require.NotZero(t, second)
	require.NotNil(t, over)
}

// A feed that ends with another table's failure says nothing new: by then the
// other table may have been asked again, and those who follow this process rely
// on it.
func TestEndedFeedLeavesOtherTablesUsable(t *testing.T) {
	f := New(Settings{}, Platform{Store: endedStore{}, ConfigurationTable: "op"}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	f.relays = newRelays(proxy.Peer{Name: "self"}, []string{"op", "servers"}, f.clock, f.log)
	f.relays.take("op", store.Changes{Whole: true, Version: 5})
	_, _, err := f.changes("servers", true, 5)
	require.Error(t, err)
	require.True(t, f.relays.copies["op"].Usable())
	require.False(t, f.outage.on())
}

// endedStore answers as a client does whose call was ended.
type endedStore struct{ store.Store }

func (endedStore) Feed(context.Context, string, uint64, clock.Duration) ([]store.Row, uint64, error) {
	return nil, 0, errors.Wrap(context.Canceled, "feed")
}

// silentStore answers a first question about each table and then none.
type silentStore struct {
	store.Store
	mu      sync.Mutex
	waiting int
}

func (*silentStore) Table(context.Context, string) ([]store.Row, uint64, error) { return nil, 5, nil }

func (s *silentStore) Feed(ctx context.Context, _ string, _ uint64, _ clock.Duration) ([]store.Row, uint64, error) {
	s.mu.Lock()
	s.waiting++
	s.mu.Unlock()
	<-ctx.Done()
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	return nil, 0, ctx.Err()
}

// The store is silent to a relay only: its connections stand, and no answer
// comes. Those who follow it have to hear of it well before a configuration must
// be in force, in every table.
func TestRelayThatTheStoreIsSilentToSaysSo(t *testing.T) {
	const configurationLimit = 5 * clock.Second
	s := &silentStore{}
	f := New(Settings{}, Platform{Store: s, ConfigurationTable: "op"}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	f.relays = newRelays(proxy.Peer{Name: "self"}, []string{"op", "servers"}, f.clock, f.log)
	f.relays.relay, f.relays.ordered = true, []proxy.Peer{{Name: "self"}}
	defer close(f.done)
	began := f.clock.Now()
	for _, table := range []string{"op", "servers"} {
		go f.follow(table, followSpacing, func([]store.Row, bool) {})
	}
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.waiting == 2
	}, time.Second, time.Millisecond)
	for _, table := range []string{"op", "servers"} {
		lost := func() bool {
			return f.relays.await(f.relays.copies[table], followParams{Known: true, Version: 5, WaitMillis: int64(relayWait)}).Lost
		}
		for !lost() {
			require.Less(t, f.clock.Now().Sub(began), configurationLimit, table)
		}
		require.Less(t, f.clock.Now().Sub(began), configurationLimit-clock.Second, table)
	}
}

// The store is silent to all. A proxy whose relays are lost asks it, and that
// call must end soon: the store may be back, and a configuration with it.
func TestProxyWithoutRelaysIsNotHeldByASilentStore(t *testing.T) {
	s := &silentStore{}
	f := New(Settings{}, Platform{Store: s, ConfigurationTable: "op"}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	f.relays = newRelays(proxy.Peer{Name: "self"}, []string{"op", "servers"}, f.clock, f.log)
	f.relays.ordered = []proxy.Peer{{Name: "relay"}}
	f.relays.avoid("relay", clock.Minute)
	for _, table := range []string{"op", "servers"} {
		began := f.clock.Now()
		_, err := f.stored(table, true, 5)
		require.Error(t, err)
		require.LessOrEqual(t, f.clock.Now().Sub(began), pulse+pulseGrace+clock.Second)
	}
}

// A standard site has too few proxies for relays. A configuration has to be in
// force 3 s after its acknowledgement, and a leaving database gets no requests
// after 7 s, by machines that were in touch with the store for 4 s.
func TestFewProxiesAreNotHeldByASilentStore(t *testing.T) {
	const inTouch = 4 * clock.Second
	s := &silentStore{}
	f := New(Settings{}, Platform{Store: s, ConfigurationTable: "op", RegistryTable: "servers"},
		clock.NewBoot(), zap.NewNop(), NewMetrics())
	f.relays = newRelays(proxy.Peer{Name: "self"}, []string{"op", "servers", "agreement"}, f.clock, f.log)
	bounds := map[string]clock.Duration{
		"op": inTouch + 3*clock.Second, "servers": inTouch + 7*clock.Second,
		// A table without a bound of its own ends with the first that has failed.
		"agreement": inTouch + 3*clock.Second,
	}
	type end struct {
		table string
		took  clock.Duration
		err   error
	}
	ends := make(chan end, len(bounds))
	for table := range bounds {
		go func() {
			began := f.clock.Now()
			_, _, err := f.changes(table, true, 5)
			ends <- end{table, f.clock.Now().Sub(began), err}
		}()
	}
	for range bounds {
		e := <-ends
		require.Error(t, e.err, e.table)
		// The next try follows within twice mostRetry.
		require.Less(t, e.took+2*mostRetry, bounds[e.table], e.table)
	}
}
