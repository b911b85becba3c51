package front

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/promotion"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// restoredStore answers writes and reads in an era of its choice.
type restoredStore struct {
	store.Store
	version store.Version
	// loseAnswers makes writes end with an error after they were done.
	loseAnswers bool
	keys        []string
	rows        []store.Row
}

var errAnswerLost = errors.New("answer lost")

// CompareAndSwap implements store.Store.
func (s *restoredStore) CompareAndSwap(_ context.Context, _, key string, value []byte, _ uint64) (store.Version, error) {
	s.keys = append(s.keys, key)
	s.rows = []store.Row{{Key: key, Value: value, Version: s.version}}
	if s.loseAnswers {
		return store.Version{}, errAnswerLost
	}
	return s.version, nil
}

// Table implements store.Store.
func (s *restoredStore) Table(context.Context, string) ([]store.Row, store.Version, error) {
	return s.rows, s.version, nil
}

// Feed implements store.Store.
func (s *restoredStore) Feed(context.Context, string, store.Version, clock.Duration) ([]store.Row, store.Version, error) {
	return nil, s.version, nil
}

// claimsIn returns the replacement of a group whose claims have been read in the era.
func claimsIn(s store.Store, era uint64) (*Front, *replacement) {
	f := New(Settings{Name: "self", Zone: "a"}, Platform{Store: s}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	f.applyAgreement(store.Changes{Whole: true, Version: store.Version{Era: era, Number: 10}})
	f.mu.Lock()
	defer f.mu.Unlock()
	return f, f.groupLocked("shop").replacement
}

// A claim that was written to the restored store counted as acquired.
func TestClaimWrittenInALaterEraIsNotHeld(t *testing.T) {
	for _, lose := range []bool{false, true} {
		s := &restoredStore{version: store.Version{Era: 2, Number: 11}, loseAnswers: lose}
		_, r := claimsIn(s, store.FirstEra)
		_, err := r.claim()
		var other *eraError
		require.ErrorAs(t, err, &other)
		require.Equal(t, eraError{Key: "claim/shop", Era: 2, Expected: store.FirstEra}, *other)
	}
}

// A late write of an earlier era met its condition again.
func TestClaimsOfTwoErasAreDifferentRows(t *testing.T) {
	s := &restoredStore{version: at(11)}
	_, r := claimsIn(s, store.FirstEra)
	lease, err := r.claim()
	require.NoError(t, err)
	require.Equal(t, group.Lease{Version: at(11), Token: 11, Until: lease.Until}, lease)
	r.beginEra(2, 0)
	s.version = store.Version{Era: 2, Number: 11}
	second, err := r.claim()
	require.NoError(t, err)
	require.Greater(t, second.Token, lease.Token)
	require.Equal(t, []string{"claim/shop", "claim/shop/2"}, s.keys)
	r.closeClaim(lease, group.Claim{})
	require.Equal(t, "claim/shop", s.keys[2], "the claim of the later era was closed")
}

// A table that is read as a whole has votes of any age. They counted as given now.
func TestVotesOfAWholeTableAreNotFresh(t *testing.T) {
	f, r := claimsIn(&restoredStore{}, store.FirstEra)
	v := group.Vote{Primary: "a", Term: 1}
	row := store.Row{Key: "vote/shop/other", Value: []byte(`{"primary":"a","term":1}`), Version: at(12)}
	f.applyAgreement(store.Changes{Rows: []store.Row{row}, Whole: true, Version: at(12)})
	require.False(t, r.agreement.Agrees(f.clock.Now(), "self", v))
	row.Number = 13
	f.applyAgreement(store.Changes{Rows: []store.Row{row}, Version: at(13)})
	require.True(t, r.agreement.Agrees(f.clock.Now(), "self", v))
}

// The claim of an earlier era came back with the copy and counted as one of this era.
func TestClaimThatCameBackWithACopyIsIgnored(t *testing.T) {
	f, r := claimsIn(&restoredStore{}, store.FirstEra)
	restored := store.Version{Era: 2, Number: 9}
	row := store.Row{Key: "claim/shop", Value: []byte(`{"holder":"other","nonce":1}`), Version: store.Version{Era: 2, Number: 8}}
	f.applyAgreement(store.Changes{Rows: []store.Row{row}, Whole: true, Version: restored})
	expected, free := r.agreement.Claimable(f.clock.Now(), "self")
	require.False(t, free)
	require.Equal(t, store.Version{Era: 2}, expected)
}

// Databases that were stored before a restore, and lost with it, were not stored again.
func TestDatabasesLostWithARestoreAreStoredAgain(t *testing.T) {
	f, _ := claimsIn(&restoredStore{}, store.FirstEra)
	row := store.Row{Key: "databases/shop", Value: []byte(`[]`), Version: at(12)}
	f.applyAgreement(store.Changes{Rows: []store.Row{row}, Version: at(12)})
	require.Equal(t, "[]", f.groups["shop"].databases.stored)
	f.applyAgreement(store.Changes{Whole: true, Version: store.Version{Era: 2, Number: 9}})
	require.Empty(t, f.groups["shop"].databases.stored)
}

// replaceableGroup is a group of databases in memory that obey the commands of a
// replacement, and the promotion service.
type replaceableGroup struct {
	mu       sync.Mutex
	statuses map[string]database.Status
	down     map[string]bool
	// refusals is how many more connections a database refuses.
	refusals map[string]int
	// answered counts the answers.
	answered int
	// restarted has the statuses with which databases start again after their next fence.
	restarted map[string]database.Status
	// unanswered reports whether a promotion neither takes effect nor is answered.
	unanswered func(id string) bool
	// onPromote is called before each promotion.
	onPromote func(id string)
	promoted  []string
}

// newReplaceableGroup returns a group with primary a and replicas b and c, which have
// received the log up to the given offsets, and its replacement.
func newReplaceableGroup(t *testing.T, a, b, c uint64) (*replaceableGroup, *replacement) {
	g := &replaceableGroup{
		statuses: make(map[string]database.Status), down: make(map[string]bool), refusals: make(map[string]int),
		restarted: make(map[string]database.Status),
	}
	p := Platform{Store: &restoredStore{}, Dialer: g, Promotions: g}
	f := New(Settings{Name: "self", Zone: "a"}, p, clock.NewBoot(), zap.NewNop(), NewMetrics())
	f.mu.Lock()
	r := f.groupLocked("shop").replacement
	f.mu.Unlock()
	t.Cleanup(r.client.Close)
	for i, offset := range []uint64{a, b, c} {
		id, role := string(rune('a'+i)), database.RoleReplica
		if i == 0 {
			role = database.RolePrimary
		}
		g.statuses[id] = database.Status{Role: role, Term: 1, Received: position.Position{Term: 1, Offset: offset}}
		r.client.Update(group.Entry{ID: id, Group: "shop", Zone: "a", Address: id, Slots: 3, Role: role})
		now := f.clock.Now()
		r.client.ObserveStatus(id, now, now, g.statuses[id])
	}
	return g, r
}

// Dial implements backend.Dialer.
func (g *replaceableGroup) Dial(_ context.Context, to backend.Target) (backend.Conn, statement.Answer, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down[to.ID] || g.refusals[to.ID] > 0 {
		g.refusals[to.ID]--
		return nil, statement.Answer{}, errAnswerLost
	}
	return &replaceableConn{replaceableGroup: g, id: to.ID}, statement.Answer{}, nil
}

// Promote implements promotion.Service.
func (g *replaceableGroup) Promote(_ context.Context, r promotion.Request) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unanswered != nil && g.unanswered(r.Database) {
		return errAnswerLost
	}
	if g.onPromote != nil {
		g.onPromote(r.Database)
	}
	if g.down[r.Database] {
		return promotion.ErrNotRunning
	}
	s := g.statuses[r.Database]
	s.Role, s.Term, s.Fenced = database.RolePrimary, 2, 0
	g.statuses[r.Database] = s
	g.promoted = append(g.promoted, r.Database)
	return nil
}

// replaceableConn is a connection to a database of a replaceableGroup.
type replaceableConn struct {
	*replaceableGroup
	id     string
	status database.Status
}

// Exchange implements backend.Conn.
func (c *replaceableConn) Exchange(_ clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, r := range requests {
		s := c.statuses[c.id]
		next, restarts := c.restarted[c.id]
		switch o := r.Operation.(type) {
		case statement.Status:
			restarts = false
		case statement.Pause:
			if s.Role == database.RoleReplica && o.Term > s.Term {
				s.Fenced = o.Term
			}
		case statement.Resume:
			s.Fenced = 0
		case statement.StepDown:
			if o.Term > s.Term {
				s.Role = database.RoleReplica
			}
		default:
			continue
		}
		if c.down[c.id] {
			return i, errAnswerLost
		}
		c.answered++
		c.statuses[c.id], c.status = s, s
		if restarts {
			c.statuses[c.id] = next
			delete(c.restarted, c.id)
		}
		answers[i].Rows = fmt.Appendf(answers[i].Rows, "ROW %d", c.answered)
	}
	return len(requests), nil
}

// DecodeStatus implements backend.Conn.
func (c *replaceableConn) DecodeStatus(*statement.Answer) (database.Status, error) {
	return c.status, nil
}

// Check implements backend.Conn.
func (c *replaceableConn) Check([]statement.Request) error { return nil }

// Buffered implements backend.Conn.
func (c *replaceableConn) Buffered() int { return 0 }

// Unread implements backend.Conn.
func (c *replaceableConn) Unread() (int, error) { return 0, nil }

// Close implements backend.Conn.
func (c *replaceableConn) Close() {}

// replaceFor replaces primary a with a lease of the given length.
func (r *replacement) replaceFor(lease clock.Duration) (group.Claim, error) {
	return r.replaceBecause(group.Unreachable, lease)
}

func (r *replacement) replaceBecause(reason group.Reason, lease clock.Duration) (group.Claim, error) {
	return r.replace(group.Suspicion{Reason: reason, Primary: "a", Listed: true},
		group.Lease{Token: 1, Until: r.clock.Now().Add(lease)})
}

// After a 409 too few databases were fenced, and one without acknowledged commits was promoted.
func TestNoPromotionWithTooFewFencesAfterNotRunning(t *testing.T) {
	g, r := newReplaceableGroup(t, 10, 10, 8)
	g.down["b"] = true
	g.onPromote = func(id string) { g.down[id] = id == "a" }
	result, err := r.replaceFor(clock.Second)
	require.Empty(t, g.promoted, "b, which has entries 9 and 10 as a has, was not fenced")
	var expired *leaseExpiredError
	require.ErrorAs(t, err, &expired)
	require.Empty(t, result)
	require.Zero(t, g.statuses["c"].Fenced, "c must receive the log again")
}

// The database that has all commits is promoted once it answers.
func TestFencesAreCompletedAfterNotRunning(t *testing.T) {
	g, r := newReplaceableGroup(t, 10, 10, 8)
	g.down["b"] = true
	g.onPromote = func(id string) {
		if id == "a" {
			g.down["a"], g.down["b"] = true, false
		}
	}
	result, err := r.replaceFor(3 * clock.Second)
	require.NoError(t, err)
	require.Equal(t, group.Claim{Promoted: "b", Term: 2, Led: true}, result)
	require.Equal(t, []string{"b"}, g.promoted)
}

// A replacement goes on without a database that is not running if enough others are fenced.
func TestNextDatabaseIsPromotedAfterNotRunning(t *testing.T) {
	g, r := newReplaceableGroup(t, 10, 11, 10)
	g.onPromote = func(id string) { g.down[id] = id == "b" }
	result, err := r.replaceFor(clock.Second)
	require.NoError(t, err)
	require.Equal(t, group.Claim{Promoted: "c", Term: 2, Led: true}, result)
}

// A replica that had started again counted as paused. It confirmed a commit that the promoted
// database lacked.
func TestReplicaThatStartsAgainIsFencedAgain(t *testing.T) {
	g, r := newReplaceableGroup(t, 10, 8, 10)
	g.down["a"], g.refusals["c"] = true, 1
	g.restarted["b"] = database.Status{Role: database.RoleReplica, Term: 1, Received: position.Position{Term: 1, Offset: 11}}
	result, err := r.replaceFor(3 * clock.Second)
	require.NoError(t, err)
	require.Equal(t, group.Claim{Promoted: "b", Term: 2, Led: true}, result, "a and b have confirmed entry 11")
}

// A primary that had stepped down and started again as primary counted as fenced.
func TestPrimaryThatStartsAgainStepsDownAgain(t *testing.T) {
	g, r := newReplaceableGroup(t, 10, 10, 10)
	g.down["c"] = true
	g.restarted["a"] = database.Status{Role: database.RolePrimary, Term: 1, Received: position.Position{Term: 1, Offset: 11}}
	result, err := r.replaceBecause(group.PrimaryLeaving, 3*clock.Second)
	require.NoError(t, err)
	require.Equal(t, group.Claim{Promoted: "a", Term: 2, Led: true}, result, "a and c have confirmed entry 11")
}

// The databases were not fenced again before an unanswered promotion was repeated, though
// one may have started again since. It received from the old primary meanwhile.
func TestUnansweredPromotionFencesAgain(t *testing.T) {
	g, r := newReplaceableGroup(t, 10, 10, 10)
	g.down["a"] = true
	restarted := database.Status{Role: database.RoleReplica, Term: 1, Received: position.Position{Term: 1, Offset: 11}}
	calls := 0
	g.unanswered = func(string) bool {
		calls++
		if calls == 1 {
			g.statuses["c"] = restarted
		}
		return calls == 1
	}
	result, err := r.replaceFor(3 * clock.Second)
	require.NoError(t, err)
	require.Equal(t, group.Claim{Promoted: "b", Term: 2, Led: true}, result, "b may have been promoted by the first call")
	require.Equal(t, uint64(2), g.statuses["c"].Fenced, "c receives from the old primary")
}

// Databases that had joined were not known to the proxy that replaced the primary: the ones
// it had fenced were too few of the larger group.
func TestDatabasesThatHaveJoinedAreReadBeforeThePromotion(t *testing.T) {
	g, r := newReplaceableGroup(t, 10, 10, 10)
	g.down["a"] = true
	joined := []string{"d", "e", "f"}
	r.readRegistry = func() error {
		for _, id := range joined {
			g.mu.Lock()
			g.down[id] = true
			g.mu.Unlock()
			r.client.Update(group.Entry{ID: id, Group: "shop", Zone: "a", Address: id, Slots: 3, Role: database.RoleReplica})
		}
		return nil
	}
	_, err := r.replaceFor(1500 * clock.Millisecond)
	var expired *leaseExpiredError
	require.ErrorAs(t, err, &expired)
	require.Empty(t, g.promoted, "three of six databases can confirm commits without b and c")
}

// While the store does not answer, it is not known which databases have joined.
func TestNoPromotionBeforeTheRegistryIsRead(t *testing.T) {
	g, r := newReplaceableGroup(t, 10, 10, 10)
	g.down["a"] = true
	failures := 3
	r.readRegistry = func() error {
		require.Empty(t, g.promoted)
		failures--
		if failures >= 0 {
			return errAnswerLost
		}
		return nil
	}
	result, err := r.replaceFor(3 * clock.Second)
	require.NoError(t, err)
	require.Equal(t, "b", result.Promoted)
	require.Negative(t, failures)
}

// The last known primary counted as fenced though it was a replica by then, which STEPDOWN does
// not stop from receiving. It confirmed commits that the promoted database lacked (review/11,
// LOST).
func TestReplicaThatWasThePrimaryIsPaused(t *testing.T) {
	g, r := newReplaceableGroup(t, 10, 10, 10)
	a := g.statuses["a"]
	a.Role = database.RoleReplica
	g.statuses["a"] = a
	g.down["c"] = true
	g.onPromote = func(string) { require.Equal(t, uint64(2), g.statuses["a"].Fenced, "a receives from c, which leads") }
	result, err := r.replaceBecause(group.Leaderless, 3*clock.Second)
	require.NoError(t, err)
	require.Equal(t, "b", result.Promoted)
}

// A replica that leads by the time of the command is made to step down, and paused after it.
func TestPrimaryThatWasAReplicaIsFenced(t *testing.T) {
	for _, id := range []string{"b", "c"} {
		g, r := newReplaceableGroup(t, 10, 10, 10)
		s := g.statuses[id]
		s.Role, s.Received.Offset = database.RolePrimary, 12
		g.statuses[id] = s
		g.down["a"] = true
		g.onPromote = func(promoted string) {
			require.Equal(t, id, promoted, "it has the longest log")
			require.Equal(t, database.RoleReplica, g.statuses[id].Role)
			require.Equal(t, uint64(2), g.statuses[id].Fenced)
		}
		_, err := r.replaceFor(3 * clock.Second)
		require.NoError(t, err)
		require.Equal(t, []string{id}, g.promoted)
	}
}

// A primary that has stepped down is paused like the replicas, and resumed with them.
func TestPrimaryIsResumedAfterAFailedReplacement(t *testing.T) {
	g, r := newReplaceableGroup(t, 10, 10, 10)
	g.unanswered = func(string) bool {
		require.Equal(t, uint64(2), g.statuses["a"].Fenced)
		return true
	}
	r.readRegistry = func() error { return errAnswerLost }
	_, err := r.replaceBecause(group.PrimaryLeaving, 1500*clock.Millisecond)
	require.Error(t, err)
	for id, s := range g.statuses {
		require.Equal(t, database.RoleReplica, s.Role, id)
		require.Zero(t, s.Fenced, id)
	}
}

// A replica that had been paused and was down kept the others from being resumed.
func TestReplicasAreResumedWhileOneIsDown(t *testing.T) {
	g, r := newReplaceableGroup(t, 10, 10, 10)
	g.down["a"] = true
	g.onPromote = func(id string) { g.down["b"] = true }
	_, err := r.replaceFor(1500 * clock.Millisecond)
	require.Error(t, err)
	require.Empty(t, g.promoted, "c is not enough")
	require.Zero(t, g.statuses["c"].Fenced)
}
