package front

import (
	"encoding/json"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func TestExpiryOfAMemberDoesNotUndoALaterChange(t *testing.T) {
	f := New(Settings{Name: "self", Zone: "a"}, Platform{Store: &rowStore{}}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	require.NoError(t, f.startPeers("127.0.0.1:0"))
	t.Cleanup(f.peerConns.Close)
	f.applyMembers(store.Changes{Version: at(1), Whole: true})
	for i := range uint64(5000) {
		name := strconv.FormatUint(i, 10)
		value, err := json.Marshal(proxy.Peer{Name: name, Zone: "a", Address: "127.0.0.1:9"})
		require.NoError(t, err)
		f.mu.Lock()
		f.roster.lost["lost"] = lostPeer{Peer: proxy.Peer{Name: "lost", Zone: "a"}, until: f.clock.Now()}
		f.mu.Unlock()
		var wg sync.WaitGroup
		wg.Go(func() { f.expireMembers(f.clock.Now()) })
		wg.Go(func() {
			changes := store.Changes{Version: at(i + 2), Rows: []store.Row{{Key: name, Value: value, Version: at(i + 2)}}, Whole: true}
			f.applyMembers(changes)
		})
		wg.Wait()
		f.mu.Lock()
		expected := workspace.ChooseAccountants(f.roster.live())
		f.mu.Unlock()
		f.allowances.mu.Lock()
		require.Equal(t, expected, f.allowances.accountants, "round %d", i)
		f.allowances.mu.Unlock()
	}
}
