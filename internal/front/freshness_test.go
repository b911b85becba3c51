package front

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/freshness"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// configStore has one configuration. A feed that waits for changes moves the clock by
// its wait, as one that is held open.
type configStore struct {
	store.Store
	clock *manualClock

	mu      sync.Mutex
	version store.Version
	err     error
	calls   []clock.Duration
}

func (s *configStore) rows(after store.Version) []store.Row {
	if !after.Before(s.version) {
		return nil
	}
	return []store.Row{{Key: "config", Version: s.version}}
}

func (s *configStore) Table(context.Context, string) ([]store.Row, store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows(store.Version{}), s.version, s.err
}

func (s *configStore) Feed(_ context.Context, _ string, after store.Version, wait clock.Duration) ([]store.Row, store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, wait)
	if after.Era != s.version.Era {
		return nil, s.version, store.ErrHistoryGone
	}
	rows := s.rows(after)
	if len(rows) == 0 {
		s.clock.Advance(wait)
	}
	return rows, s.version, s.err
}

// newKeyedFront returns a proxy with a revocation limit and manual time, and the store
// that it follows. Its configurations declare workspaces.
func newKeyedFront(limit clock.Duration) (*Front, *configStore) {
	c := newManualClock()
	s := &configStore{clock: c, version: at(5)}
	decode := func(row store.Row) (*routes.Version, error) {
		return &routes.Version{Number: row.Number, Era: row.Era, Workspaces: routes.NewWorkspaces()}, nil
	}
	p := Platform{Store: s, ConfigurationTable: "op", RegistryTable: "servers", DecodeVersion: decode}
	f := New(Settings{Name: "self", RevocationLimit: limit}, p, c, zap.NewNop(), NewMetrics())
	f.homes = peer.NewHomes("self", "a", nil, c)
	f.relays = newRelays(proxy.Peer{Name: "self"}, []string{"op", "servers"}, c, f.log)
	f.relays.setMembers([]proxy.Peer{{Name: "self"}})
	return f, s
}

// read takes in what a call of the feed, or a read of the table, returns, as follow does.
func (f *Front) read(t *testing.T, known bool, version store.Version) store.Changes {
	sent := f.clock.Now()
	changes, from, err := f.fetchChanges("op", known, version)
	require.NoError(t, err)
	f.applyVersions(changes)
	f.confirmApplied(sent, from, changes)
	return changes
}

// The store holds a feed open for a minute. When it answers, the configuration may have
// changed at any time since the call: the proof is a minute old.
func TestHeldFeedProvesOnlyWhatWasTrueWhenItWasSent(t *testing.T) {
	f, s := newKeyedFront(testLimit)
	f.read(t, false, store.Version{})
	require.Zero(t, f.freshness.proof.Age(f.clock.Now()))
	sent := f.clock.Now()
	f.read(t, true, at(5))
	require.GreaterOrEqual(t, f.clock.Now().Sub(sent), 10*clock.Second)
	require.Equal(t, sent, f.freshness.proof.State().At)
	require.False(t, f.freshness.proof.Admits(f.clock.Now()))
	require.NoError(t, f.proveByStore(f.clock.Now()))
	require.Equal(t, probeFeedWait, s.calls[len(s.calls)-1])
	require.True(t, f.freshness.proof.Admits(f.clock.Now()))
}

// The proof must not count before the changes of the same answer are in force, and the
// changes must not wait for the feed, which may be one that is not answered.
func TestQuestionToTheStoreBringsChanges(t *testing.T) {
	f, s := newKeyedFront(testLimit)
	f.read(t, false, store.Version{})
	s.version = at(9)
	sent := f.clock.Now()
	require.NoError(t, f.proveByStore(sent))
	require.EqualValues(t, 9, f.versions.Load().Number)
	require.Equal(t, freshness.State{At: sent, Table: at(9), Newest: at(9)}, f.freshness.proof.State())
	require.Equal(t, at(9), f.relays.copies["op"].Version(), "followers are sent the change")
}

// An answer of a store in a new era, or none, proves nothing. The table of the new era
// does once it is in force.
func TestFailedQuestionsProveNothing(t *testing.T) {
	f, s := newKeyedFront(testLimit)
	f.read(t, false, store.Version{})
	proved := f.freshness.proof.State()
	f.clock.(*manualClock).Advance(1000)
	s.version = second(4)
	require.ErrorIs(t, f.proveByStore(f.clock.Now()), store.ErrHistoryGone)
	require.Equal(t, proved, f.freshness.proof.State())
	require.False(t, f.outage.active(), "the store has answered")
	f.read(t, false, at(5))
	require.Equal(t, f.clock.Now(), f.freshness.proof.State().At)
	s.err = errors.New("down")
	f.clock.(*manualClock).Advance(1000)
	require.Error(t, f.proveByStore(f.clock.Now()))
	require.True(t, f.outage.active(), "the other tables spare the store")
	require.GreaterOrEqual(t, f.freshness.proof.Age(f.clock.Now()), 1000*clock.Millisecond)
}

// The age adds up: a relay tells its own, and one whose proof would not help says so.
func TestRelayPassesOnTheAgeOfItsProof(t *testing.T) {
	f, _ := newKeyedFront(testLimit)
	ask := func(params string) freshnessResult {
		answer, err := f.handleFreshness([]byte(params))
		require.NoError(t, err)
		encoded, err := json.Marshal(answer)
		require.NoError(t, err)
		var result freshnessResult
		require.NoError(t, json.Unmarshal(encoded, &result))
		return result
	}
	require.True(t, ask(`{}`).Lost, "there is no proof yet")
	f.read(t, false, store.Version{})
	f.clock.(*manualClock).Advance(700)
	require.Equal(t, freshnessResult{Version: at(5), AgeMillis: 700}, ask(`{"version":{"era":1,"version":5}}`))
	require.True(t, ask(`{"version":{"era":2,"version":1}}`).Lost, "this proxy has not heard of the era")
	f.clock.(*manualClock).Advance(testLimit)
	require.True(t, ask(`{"version":{"era":1,"version":5}}`).Lost)
	_, err := f.handleFreshness([]byte(`[`))
	require.Error(t, err)
}

// The message is as the design says, for builds that are written from it.
func TestFreshnessMessages(t *testing.T) {
	encoded, err := json.Marshal(freshnessParams{Version: at(5)})
	require.NoError(t, err)
	require.JSONEq(t, `{"version":{"era":1,"version":5}}`, string(encoded))
	encoded, err = json.Marshal(freshnessResult{Version: second(7), AgeMillis: 300})
	require.NoError(t, err)
	require.JSONEq(t, `{"version":{"era":2,"version":7},"ageMillis":300}`, string(encoded))
}

// Without a limit, or without workspaces, no calls are made and nothing else changes.
func TestNothingIsProvedWithoutNeed(t *testing.T) {
	f, _ := newKeyedFront(0)
	require.Nil(t, f.freshness)
	require.Nil(t, f.sessionDeps.Freshness)
	f.read(t, false, store.Version{})
	require.False(t, f.proofsNeeded())
	require.Equal(t, directHeartbeatWait, f.feedWait("op"))
	require.Equal(t, directRegistryWait, f.feedWait("servers"))
	answer, err := f.handleFreshness([]byte(`{}`))
	require.NoError(t, err)
	require.Equal(t, freshnessResult{Lost: true}, answer)

	f, s := newKeyedFront(testLimit)
	f.platform.DecodeVersion = func(store.Row) (*routes.Version, error) { return &routes.Version{Number: 1}, nil }
	f.read(t, false, store.Version{})
	require.False(t, f.proofsNeeded())
	require.Equal(t, directHeartbeatWait, f.feedWait("op"))
	go f.runFreshness()
	time.Sleep((2 * idleCheckInterval).Std())
	close(f.done)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Empty(t, s.calls)
}

// While questions notice a silent store, no feed needs to end for that, and the calls to
// the store do not rise. A proxy that asks others notices by its registry's feed.
func TestFeedsAreLongWhileProofsAreAsked(t *testing.T) {
	f, _ := newKeyedFront(testLimit)
	f.read(t, false, store.Version{})
	require.Equal(t, maxFeedWait, f.feedWait("op"))
	require.Equal(t, relayFeedWait, f.feedWait("servers"), "each answer proves the memberships of groups")
	f.relays.proofs = freshness.Role{Sources: []string{"a"}}
	require.Equal(t, maxFeedWait, f.feedWait("op"))
	require.Equal(t, proofRegistryWait, f.feedWait("servers"))
	f.relays.tiers.relays = []proxy.Peer{{Name: "a"}}
	require.Equal(t, heartbeatWait, f.feedWait("op"))
}

// A relay whose store answers each question in time must not be taken for cut off between
// two of them, nor a silent one for connected.
func TestQuestionsKeepRelaysInContact(t *testing.T) {
	for _, tiersBelow := range []int{1, 2} {
		require.Less(t, freshness.StoreInterval(tiersBelow)+storeProofTimeout, heartbeatWait+heartbeatGrace)
	}
}

// Whoever answers nobody, or holds the connection, must not keep the driver from asking
// the store.
func TestDriverAsksForProofs(t *testing.T) {
	f, s := newKeyedFront(testLimit)
	f.clock = clock.NewBoot()
	f.freshness = newFreshnessDriver(testLimit, f.clock.Now())
	f.read(t, false, store.Version{})
	go f.runFreshness()
	defer close(f.done)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.calls) >= 2
	}, (5 * clock.Second).Std(), 10*time.Millisecond)
	require.LessOrEqual(t, f.freshness.proof.Age(f.clock.Now()), freshness.MaxCalmAge)
}

// Two proxies ask the store where there are no relays, and roots where there are; the
// others ask proxies that ask the store, or ask such ones.
func TestProofRoles(t *testing.T) {
	for n, roots := range map[int]int{1: 1, 2: 2, 3: 2, 15: 2, 49: 2, 60: 3, 115: 5, 131: 3, 300: 3, 4900: 7} {
		members := makeProxies(n)
		chosen := chooseTiers(members)
		provers := 0
		for _, p := range members {
			role := proofRole(p, members, chosen)
			require.NotContains(t, role.Sources, p.Name)
			if role.Interval > 0 {
				provers++
				continue
			}
			require.GreaterOrEqual(t, len(role.Sources), 2, "%d proxies", n)
		}
		require.Equal(t, roots, provers, "%d proxies", n)
	}
	require.Positive(t, proofRole(proxy.Peer{Name: "self"}, nil, tiers{}).Interval, "no members are known yet")
}

// A platform without the values renders the placeholders as nothing, which means off. A
// limit that no proof can keep is an error.
func TestRevocationSettings(t *testing.T) {
	template, err := os.ReadFile("../../deploy/front.ini.tmpl")
	require.NoError(t, err)
	absent := regexp.MustCompile(`{{#.*?}}.*?{{/.*?}}|{{.*?}}`)
	load := func(strict, limit string) (Settings, error) {
		text := string(template)
		for placeholder, value := range map[string]string{"bounds.strict_revocation": strict, "bounds.revocation_ms": limit, "node": "n", "zone": "a", "bootstrap": "false", "limits.memory_mb": "64", "limits.file_descriptors": "1024", "bounds.grace_s": "6", "bounds.drain_ms": "7000",
			"listen_addresses.front": "127.0.0.1:1", "listen_addresses.ready": "127.0.0.1:2", "ip_address": "127.0.0.1", "internal_port_range.0": "3", "internal_port_range.1": "4", "platform.address": "127.0.0.1:5", "cloud_api.address": "127.0.0.1:6"} {
			text = strings.ReplaceAll(text, "{{"+placeholder+"}}", value)
		}
		text = absent.ReplaceAllString(text, "")
		path := filepath.Join(t.TempDir(), "front.ini")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return LoadSettings(path)
	}
	for _, c := range []struct {
		strict, limit string
		want          clock.Duration
	}{{"", "", 0}, {"", "5000", 0}, {"false", "5000", 0}, {"true", "", 5000}, {"true", "5000", 5000}, {"True", "8000", 8000}, {"1", "5000", 5000}} {
		s, err := load(c.strict, c.limit)
		require.NoError(t, err)
		require.Equal(t, c.want, s.RevocationLimit, "%+v", c)
	}
	for _, limit := range []string{"0", "1999", "-5", "x"} {
		_, err := load("true", limit)
		var invalid *SettingsError
		require.ErrorAs(t, err, &invalid, limit)
		require.Equal(t, "revocation", invalid.Section)
	}
}
