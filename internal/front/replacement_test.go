package front

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
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
