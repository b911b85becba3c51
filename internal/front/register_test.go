package front

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// All proxies of a fleet start at once. Their rows take few calls to the store,
// whose writes to one table run one after another.
func TestRowsOfAFleetAreWrittenInFewCalls(t *testing.T) {
	var mu sync.Mutex
	written := make(map[string]int)
	calls := 0
	r := &registrar{clock: systemTimers{clock.NewBoot()}, put: func(rows map[string][]byte) (store.Version, error) {
		mu.Lock()
		defer mu.Unlock()
		calls++
		require.LessOrEqual(t, len(rows), store.MaxPutRows)
		for key := range rows {
			written[key]++
		}
		return at(uint64(calls)), nil
	}}
	const fleet = 295
	var wg sync.WaitGroup
	for i := range fleet {
		wg.Go(func() {
			version, err := r.register(fmt.Sprint("p", i), []byte("{}"))
			require.NoError(t, err)
			require.NotZero(t, version)
		})
	}
	wg.Wait()
	require.Len(t, written, fleet)
	require.Less(t, calls, fleet/10)
}

func TestFailedBatchFailsAllItsRows(t *testing.T) {
	failure := errors.New("store is down")
	r := &registrar{clock: systemTimers{clock.NewBoot()}, put: func(map[string][]byte) (store.Version, error) { return store.Version{}, failure }}
	_, err := r.register("a", nil)
	require.ErrorIs(t, err, failure)
	_, err = r.handleRegister([]byte(`{"name":"b"}`))
	var invalid *MemberError
	require.ErrorAs(t, err, &invalid)
	_, err = r.handleRegister([]byte(`[`))
	require.Error(t, err)
}

// While a fleet starts, the table of the members changes all the time. A proxy
// whose row is not in it yet must not write the row again with each change.
func TestRowIsWrittenOnceWhileTheTableChanges(t *testing.T) {
	s := &rowStore{}
	f := New(Settings{Name: "self", Zone: "a"}, Platform{Store: s}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	require.NoError(t, f.startPeers("127.0.0.1:0"))
	t.Cleanup(f.peerConns.Close)
	for version := uint64(1); version < 20; version++ {
		f.applyMembers(store.Changes{Version: at(version), Whole: version == 1})
		require.Eventually(t, func() bool { return !f.registering.Load() }, clock.Minute.Std(), clock.Millisecond.Std())
	}
	require.Equal(t, 1, s.count(), "the row was written again before the table could have it")
	// A table that is newer than the row and lacks it has lost it.
	f.applyMembers(store.Changes{Version: at(rowVersion)})
	require.Eventually(t, func() bool { return s.count() == 2 }, clock.Minute.Std(), clock.Millisecond.Std())
	require.Equal(t, proxy.Peer{Name: "self", Zone: "a", Address: f.peerConns.Address()}, f.self)
}

// rowVersion is the version of the rows that rowStore writes.
const rowVersion = 100

// rowStore counts its writes.
type rowStore struct {
	hangingStore
	writes int
}

func (s *rowStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Put implements store.Store.
func (s *rowStore) Put(context.Context, string, map[string][]byte) (store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	return at(rowVersion), nil
}

// At the first start of a small system some proxies may have to wait, but never
// those of a restart.
func TestOnlyTheFirstStartIsDelayed(t *testing.T) {
	delayed := 0
	for i := range 320 {
		s := &Settings{Name: fmt.Sprint("p", i)}
		require.Zero(t, firstReadDelay(s))
		s.FirstStart = true
		delay := firstReadDelay(s)
		require.Less(t, delay, 2*firstStartDelay)
		if delay > 0 {
			require.GreaterOrEqual(t, delay, firstStartDelay)
			delayed++
		}
	}
	require.InDelta(t, 300, delayed, 15)
}

// The row counted as on its way, since its version was higher than any other.
func TestRowLostWithARestoreIsWrittenAgain(t *testing.T) {
	s := &rowStore{}
	f := New(Settings{Name: "self", Zone: "a"}, Platform{Store: s}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	require.NoError(t, f.startPeers("127.0.0.1:0"))
	t.Cleanup(f.peerConns.Close)
	f.applyMembers(store.Changes{Version: at(1), Whole: true})
	require.Eventually(t, func() bool { return s.count() == 1 && !f.registering.Load() }, clock.Minute.Std(), clock.Millisecond.Std())
	f.applyMembers(store.Changes{Version: store.Version{Era: 2, Number: 7}, Whole: true})
	require.Eventually(t, func() bool { return s.count() == 2 }, clock.Minute.Std(), clock.Millisecond.Std())
}
