package front

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func second(number uint64) store.Version { return store.Version{Era: 2, Number: number} }

// tiersWithTable returns a root, a relay and a follower that have the table "t" at a
// version of the first era, with a large row.
func tiersWithTable(t *testing.T) (c *manualClock, root, relay, follower *relays) {
	c = newManualClock()
	root, relay, follower = startTier(t, "root", c), startTier(t, "relay", c), startTier(t, "follower", c)
	connectTiers(root, relay, follower)
	root.markStoreAnswered(c.Now())
	root.update("t", store.Changes{Rows: []store.Row{{Key: "config", Value: largeValue(400), Version: at(25)}}, Whole: true, Version: at(30)})
	pass(t, relay, false, at(0))
	pass(t, follower, false, at(0))
	return c, root, relay, follower
}

// A relay that had the new era sent its followers nothing.
func TestFollowerOfAnEarlierEraIsSentWhatDiffers(t *testing.T) {
	for name, value := range map[string][]byte{"same content": largeValue(400), "other content": append(largeValue(400), "changed"...)} {
		t.Run(name, func(t *testing.T) {
			_, root, relay, follower := tiersWithTable(t)
			// The version of the row is given out again.
			row := store.Row{Key: "config", Value: value, Version: second(25)}
			root.update("t", store.Changes{Rows: []store.Row{row}, Whole: true, Version: second(26)})
			for _, r := range []*relays{relay, follower} {
				source := root
				if r == follower {
					source = relay
				}
				sent := source.copies["t"].Since(true, at(30))
				source.copies["t"].Compact(&sent, r.copies["t"].Sums())
				got := pass(t, r, true, at(30))
				require.Equal(t, at(30), *got.Base)
				require.Equal(t, second(26), got.Version)
				require.Equal(t, value, r.copies["t"].Since(false, at(0)).Rows[0].Value)
				if name == "same content" {
					require.Empty(t, got.Rows)
					continue
				}
				require.Equal(t, []store.Row{row}, got.Rows)
				require.NotNil(t, sent.Rows[0].Patch)
				require.Less(t, sent.Rows[0].Patch.Size(), len(value)/20)
			}
		})
	}
}

// A relay that has not heard of the new era must not take its follower back.
func TestRelayOfAnEarlierEraIsNotFollowed(t *testing.T) {
	c, _, relay, follower := tiersWithTable(t)
	for _, known := range []bool{true, false} {
		polls := make(chan error, 1)
		go func() {
			_, _, err := follower.poll("t", known, second(12))
			polls <- err
		}()
		for len(polls) == 0 {
			c.Advance(10 * clock.Millisecond)
			time.Sleep(time.Millisecond)
		}
		require.ErrorIs(t, <-polls, errStoreLost)
		relay.markStoreAnswered(c.Now())
		c.Advance(minRetryDelay)
	}
	require.Equal(t, at(30), follower.copies["t"].Version())
}

// An answer of the old era that arrives after the first of the new one is ignored.
func TestLateAnswersOfAnEarlierEraAreIgnored(t *testing.T) {
	_, root, _, _ := tiersWithTable(t)
	row := store.Row{Key: "config", Value: []byte("new"), Version: second(11)}
	root.update("t", store.Changes{Rows: []store.Row{row}, Whole: true, Version: second(12)})
	late := store.Row{Key: "config", Value: []byte("old"), Version: at(31)}
	root.update("t", store.Changes{Rows: []store.Row{late}, Version: at(31)})
	root.update("t", store.Changes{Rows: []store.Row{late}, Whole: true, Version: at(31)})
	require.Equal(t, store.Changes{Rows: []store.Row{row}, Whole: true, Version: second(12)}, root.copies["t"].Since(false, store.Version{}))
}

// Changes of a new era say nothing about the rows that a cache has of the one before.
func TestChangesOfANewEraNeedItsTable(t *testing.T) {
	_, root, _, _ := tiersWithTable(t)
	root.update("t", store.Changes{Rows: []store.Row{{Key: "other", Version: second(13)}}, Version: second(13)})
	require.Equal(t, at(30), root.copies["t"].Version())
}

// Earlier builds know no eras. They are served as before, also after a restore.
func TestEarlierBuildsAreServedWithoutEras(t *testing.T) {
	_, root, relay, _ := tiersWithTable(t)
	root.update("t", store.Changes{Rows: []store.Row{{Key: "config", Value: []byte("new"), Version: second(40)}}, Whole: true, Version: second(41)})
	answer, err := root.handleFollow([]byte(`{"table":"t","known":true,"version":30}`))
	require.NoError(t, err)
	sent := answer.(followResult)
	require.Len(t, sent.Rows, 1)
	encoded, err := json.Marshal(sent)
	require.NoError(t, err)
	require.Contains(t, string(encoded), `"version":41`)
	for _, version := range []string{"41", "90"} {
		answer, err = root.handleFollow([]byte(`{"table":"t","known":true,"version":` + version + `}`))
		require.NoError(t, err)
		require.False(t, answer.(followResult).Whole, "it would be sent the table with each poll")
		require.Empty(t, answer.(followResult).Rows)
	}

	var result followResult
	require.NoError(t, json.Unmarshal([]byte(`{"version":50,"rows":[{"key":"a","version":50}]}`), &result))
	result.setMissingEra()
	require.Equal(t, at(50), result.Version)
	require.Equal(t, at(50), result.Rows[0].Version)
	relay.update("t", result.Changes)
	require.Equal(t, at(50), relay.copies["t"].Version())
}

// eraStore holds feeds open until they are cancelled, and answers reads in an era.
type eraStore struct {
	hangingStore
	version store.Version
	reads   chan string
}

func (s *eraStore) Table(_ context.Context, table string) ([]store.Row, store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads <- table
	return nil, s.version, nil
}

// Put implements store.Store.
func (s *eraStore) Put(context.Context, string, map[string][]byte) (store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, nil
}

// A store that has given out a version again holds the feed after it open.
func TestFeedsOfAnEarlierEraAreGivenUp(t *testing.T) {
	s := &eraStore{version: at(5), reads: make(chan string, 9)}
	f := New(Settings{}, Platform{Store: s, ConfigurationTable: "op"}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	f.relays = newRelays(proxy.Peer{Name: "self"}, []string{"op", "servers"}, systemTimers{f.clock}, f.log)
	defer close(f.done)
	applied := make(chan store.Version, 9)
	for _, table := range []string{"op", "servers"} {
		go f.follow(table, every(maxPollInterval), func(changes store.Changes) { applied <- changes.Version })
	}
	for range 2 {
		require.Equal(t, at(5), <-applied)
	}
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.waiting == 2
	}, clock.Minute.Std(), clock.Millisecond.Std())
	s.mu.Lock()
	s.version = second(7)
	s.mu.Unlock()
	_, err := f.putMembers(nil)
	require.NoError(t, err)
	for range 2 {
		select {
		case v := <-applied:
			require.Equal(t, second(7), v)
		case <-time.After((2 * clock.Second).Std()):
			require.Fail(t, "the table is not read in the new era")
		}
	}
	require.False(t, f.outage.active())
	require.Len(t, s.reads, 4)
}

// goneStore answers each feed with the error that its history is gone, and each read
// with a table that is older than the one before.
type goneStore struct {
	hangingStore
	calls   int
	version uint64
}

func (s *goneStore) Table(context.Context, string) ([]store.Row, store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.version--
	return nil, at(s.version), nil
}

func (s *goneStore) Feed(context.Context, string, store.Version, clock.Duration) ([]store.Row, store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return nil, at(s.version), errors.Wrap(store.ErrHistoryGone, "feed")
}

// A table that could not be used was read again every few milliseconds.
func TestUnusableTableIsNotReadAgainAtOnce(t *testing.T) {
	s := &goneStore{version: 1000}
	f := New(Settings{}, Platform{Store: s, ConfigurationTable: "op"}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	f.relays = newRelays(proxy.Peer{Name: "self"}, []string{"op"}, systemTimers{f.clock}, f.log)
	go f.follow("op", every(maxPollInterval), func(store.Changes) {})
	time.Sleep((3 * clock.Second).Std())
	close(f.done)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.LessOrEqual(t, s.calls, 3*1000/int(minRetryDelay)+4)
}
