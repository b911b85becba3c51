package front

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func databasesFront(s store.Store) *Front {
	p := Platform{Store: s, DecodeEntry: func(row store.Row) (group.Entry, error) {
		return group.Entry{ID: row.Key, Group: "shop", Address: "10.0.0.1:" + row.Key, Zone: "a", Slots: 3, Leaving: string(row.Value) == "leaving"}, nil
	}}
	return New(Settings{Name: "self", Zone: "a"}, p, clock.NewBoot(), zap.NewNop(), NewMetrics())
}

// putStore records the rows that are put.
type putStore struct {
	hangingStore
	rows map[string][]byte
}

func (s *putStore) Put(_ context.Context, table string, rows map[string][]byte) (store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, value := range rows {
		s.rows[table+"/"+key] = value
	}
	return at(1), nil
}

func (s *putStore) row(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

// A process that starts while the registry's entries are still expired knows the
// databases from the row that a home has stored. They are given up like any others
// whose entries do not come back.
func TestStartFindsDatabasesWhoseEntriesHaveExpired(t *testing.T) {
	s := &putStore{rows: make(map[string][]byte)}
	before := databasesFront(s)
	before.applyEntries(store.Changes{Rows: []store.Row{{Key: "1"}, {Key: "2"}, {Key: "3"}}, Whole: true})
	g := before.groups["shop"]
	now := before.clock.Now()
	before.storeDatabases(g, now)
	require.Empty(t, s.row("oleanderflow/databases/shop"), "stored before it was known whether another home stores it")
	before.storeDatabases(g, now.Add(minDatabasesDelay+maxDatabasesDelay))
	require.Eventually(t, func() bool { return s.row("oleanderflow/databases/shop") != nil }, 10*time.Second, time.Millisecond)
	row := store.Row{Key: "databases/shop", Value: s.row("oleanderflow/databases/shop"), Version: at(3)}

	after := databasesFront(s)
	after.applyEntries(store.Changes{Whole: true})
	after.applyAgreement(store.Changes{Rows: []store.Row{row}, Whole: true})
	members := after.Group("shop").Members()
	require.Len(t, members, 3)
	for _, m := range members {
		require.NotZero(t, m.LapsedAt)
		require.Equal(t, "10.0.0.1:"+m.ID, m.Address)
		require.Zero(t, m.Term, "a role was believed that no database has told")
	}
	after.applyEntries(store.Changes{Rows: []store.Row{{Key: "2"}}})
	require.Zero(t, after.Group("shop").Members()[1].LapsedAt)
	require.ElementsMatch(t, []string{"1", "3"}, after.Group("shop").Expire(after.clock.Now().Add(clock.Minute)))

	// Later changes of the row bring no database back.
	after.applyAgreement(store.Changes{Rows: []store.Row{row}})
	require.Len(t, after.Group("shop").Members(), 1)
}

// A database that is leaving, or whose entry is missing, is not stored, and the
// row is not written again while it says the same.
func TestOnlyCompleteGroupsAreStored(t *testing.T) {
	f := databasesFront(&putStore{rows: make(map[string][]byte)})
	f.applyEntries(store.Changes{Rows: []store.Row{{Key: "1"}, {Key: "2", Value: []byte("leaving")}}, Whole: true})
	require.Empty(t, encodeDatabases(f.Group("shop").Members()))
	f.applyEntries(store.Changes{Rows: []store.Row{{Key: "1"}, {Key: "3"}}, Whole: true})
	require.Empty(t, encodeDatabases(f.Group("shop").Members()), "the entry of 2 is missing")

	var r databasesRecord
	now := clock.Time(1000)
	require.False(t, r.plan(now, "a"))
	require.False(t, r.plan(now.Add(minDatabasesDelay-1), "a"))
	require.False(t, r.plan(now.Add(minDatabasesDelay), "b"), "a change starts the delay anew")
	r.stored = "b"
	require.False(t, r.plan(now.Add(clock.Minute), "b"), "another home has stored it")
	r.stored = "c"
	require.False(t, r.plan(now.Add(clock.Minute), "b"))
	require.True(t, r.plan(now.Add(2*clock.Minute), "b"))

	// Homes that do not agree write rarely.
	writes := 0
	for at := now.Add(3 * clock.Minute); at < now.Add(4*clock.Minute); at = at.Add(tickInterval) {
		r.stored = "of another home"
		if r.plan(at, "b") {
			writes++
		}
	}
	require.LessOrEqual(t, writes, int(clock.Minute/minDatabasesInterval))
	require.Positive(t, writes)
}

func TestInvalidDatabasesRowIsIgnored(t *testing.T) {
	f := databasesFront(&putStore{rows: make(map[string][]byte)})
	f.applyAgreement(store.Changes{Rows: []store.Row{{Key: "databases/shop", Value: []byte("{"), Version: at(3)}}, Whole: true})
	require.Empty(t, f.Group("shop").Members())
}

// A process that starts applies the registry and the stored databases at the same
// time. A database that the registry lists must not end as one whose entry is
// missing: its entry may not change again, and the database would be given up.
func TestStoredDatabasesDoNotReplaceListedOnes(t *testing.T) {
	entries := store.Changes{Rows: []store.Row{{Key: "1"}, {Key: "2"}, {Key: "3"}}, Whole: true}
	value := []byte(`[{"id":"1","address":"10.0.0.1:1","zone":"a","slots":3},{"id":"2","address":"10.0.0.1:2","zone":"a","slots":3},{"id":"3","address":"10.0.0.1:3","zone":"a","slots":3}]`)
	stored := store.Changes{Rows: []store.Row{{Key: "databases/shop", Value: value, Version: at(3)}}, Whole: true}
	for range 500 {
		f := databasesFront(&putStore{rows: make(map[string][]byte)})
		begin := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() {
			<-begin
			f.applyEntries(entries)
		})
		wg.Go(func() {
			<-begin
			f.applyAgreement(stored)
		})
		close(begin)
		wg.Wait()
		members := f.Group("shop").Members()
		require.Len(t, members, 3)
		for _, m := range members {
			require.Zero(t, m.LapsedAt, "database %s is listed", m.ID)
		}
	}
}
