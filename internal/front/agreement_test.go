package front

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
)

// Two groups whose claims are one row would replace their primaries on each other's claims.
func TestRowsOfDifferentGroupsAreDifferent(t *testing.T) {
	names := []string{"shop", "shop/2", "shop/2/2", "shop%2F2", "shop%252F2", "shop%", "/", "//", "/shop", "shop/", "a b", "\r\n\x00", "ä"}
	seen := make(map[string]string)
	for _, name := range names {
		require.Equal(t, name, groupOfKey(groupInKey(name)))
		keys := []string{claimKey(name, store.FirstEra), claimKey(name, 2), databasesKey(name)}
		for _, proxyName := range []string{"p", "2/p", "/p", "p/"} {
			keys = append(keys, voteKey(name, proxyName))
		}
		for _, key := range keys {
			require.Empty(t, seen[key], "%q of group %q", key, name)
			seen[key] = name
		}
	}
	require.Equal(t, "claim/shop", claimKey("shop", store.FirstEra))
	require.Equal(t, "vote/a:b, c=d/p/1", voteKey("a:b, c=d", "p/1"), "earlier builds use the same keys")
}

// The rows of a group whose name has a slash were taken for those of another group: its
// proxies found neither each other's votes nor claims, and did not replace a primary.
func TestRowsOfAGroupReachIt(t *testing.T) {
	for _, name := range []string{"shop/2", "shop%2F2"} {
		f, _ := claimsIn(&restoredStore{}, store.FirstEra)
		vote := store.Row{Key: voteKey(name, "other/1"), Value: []byte(`{"primary":"a","term":1}`), Version: at(12)}
		claim := store.Row{Key: claimKey(name, store.FirstEra), Value: []byte(`{"holder":"other","nonce":1,"open":true}`), Version: at(13)}
		databases := store.Row{Key: databasesKey(name), Value: []byte(`[]`), Version: at(14)}
		f.applyAgreement(store.Changes{Rows: []store.Row{vote, claim, databases}, Version: at(14)})
		f.mu.Lock()
		g := f.groupLocked(name)
		f.mu.Unlock()
		require.True(t, g.replacement.agreement.Agrees(f.clock.Now(), "self", group.Vote{Primary: "a", Term: 1}))
		expected, free := g.replacement.agreement.Claimable(f.clock.Now(), "self")
		require.False(t, free)
		require.Equal(t, at(13), expected)
		require.Equal(t, "[]", g.databases.stored)
		require.Len(t, f.groups, 2, "a row was taken for that of another group")
		f.applyAgreement(store.Changes{Rows: []store.Row{{Key: databasesKey(name), Deleted: true}}, Version: at(15)})
		require.Empty(t, g.databases.stored)
	}
}
