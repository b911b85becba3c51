package front

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func memberRow(t *testing.T, p proxy.Peer, version store.Version) store.Row {
	value, err := json.Marshal(p)
	require.NoError(t, err)
	return store.Row{Key: p.Name, Value: value, Version: version}
}

var (
	stayed  = proxy.Peer{Name: "stayed", Address: "10.0.0.1:1"}
	left    = proxy.Peer{Name: "left", Address: "10.0.0.2:1"}
	started = proxy.Peer{Name: "started", Address: "10.0.0.3:1"}
)

// restoredRoster returns a roster for which a restore has taken back that one proxy has
// left and another one has started.
func restoredRoster(t *testing.T, now clock.Time) (*roster, rosterChange) {
	r := newRoster()
	old := []store.Row{memberRow(t, stayed, at(1)), memberRow(t, left, at(2))}
	r.apply(now, store.Changes{Rows: old, Whole: true, Version: at(4)})
	r.apply(now, store.Changes{Rows: []store.Row{{Key: "left", Version: at(8), Deleted: true}, memberRow(t, started, at(9))}, Version: at(9)})
	require.Equal(t, []proxy.Peer{started, stayed}, r.live())
	return r, r.apply(now, store.Changes{Rows: old, Whole: true, Version: store.Version{Era: 2, Number: 5}})
}

// A proxy that had left was used again after its row had come back with the copy.
func TestRemovedRowThatIsBackIsLeftOut(t *testing.T) {
	r, found := restoredRoster(t, 1000)
	require.Equal(t, []string{"left"}, found.returned)
	require.NotContains(t, r.live(), left)

	// It counts again once it writes its row itself, at another address too.
	second := store.Version{Era: 2, Number: 7}
	r.apply(1000, store.Changes{Rows: []store.Row{memberRow(t, left, second)}, Version: second})
	require.Contains(t, r.live(), left)
	r, _ = restoredRoster(t, 1000)
	moved := proxy.Peer{Name: "left", Address: "10.0.0.9:1"}
	r.apply(1000, store.Changes{Rows: []store.Row{memberRow(t, moved, second)}, Version: second})
	require.Contains(t, r.live(), moved)
}

// All relays and homes changed at once because rows of proxies that run were lost.
func TestProxyWhoseRowIsLostStaysForAWhile(t *testing.T) {
	r, _ := restoredRoster(t, 1000)
	require.Equal(t, []proxy.Peer{started, stayed}, r.live())
	require.False(t, r.expire(clock.Time(1000).Add(lostRowTTL-1)))
	require.True(t, r.expire(clock.Time(1000).Add(lostRowTTL)))
	require.Equal(t, []proxy.Peer{stayed}, r.live())

	r, _ = restoredRoster(t, 1000)
	second := store.Version{Era: 2, Number: 7}
	r.apply(1000, store.Changes{Rows: []store.Row{memberRow(t, started, second)}, Version: second})
	require.False(t, r.expire(clock.Time(1000).Add(2*lostRowTTL)))
	require.Equal(t, []proxy.Peer{started, stayed}, r.live())
}

// A second restore before the rows of the first are written again changes nothing.
func TestRosterKeepsItsProxiesAcrossTwoRestores(t *testing.T) {
	r, _ := restoredRoster(t, 1000)
	found := r.apply(1200, store.Changes{
		Rows: []store.Row{memberRow(t, stayed, at(1)), memberRow(t, left, at(2))}, Whole: true, Version: store.Version{Era: 3, Number: 4},
	})
	require.Equal(t, []string{"left"}, found.returned)
	require.Equal(t, []proxy.Peer{started, stayed}, r.live())
}

// Within one era, a row that a whole table lacks was removed.
func TestRowMissingInAWholeTableWasRemoved(t *testing.T) {
	r := newRoster()
	r.apply(1000, store.Changes{Rows: []store.Row{memberRow(t, stayed, at(1)), memberRow(t, left, at(2))}, Whole: true, Version: at(4)})
	found := r.apply(1000, store.Changes{Rows: []store.Row{memberRow(t, stayed, at(1)), {Key: "odd", Value: []byte("["), Version: at(5)}}, Whole: true, Version: at(9)})
	require.Equal(t, rosterChange{invalid: []string{"odd"}}, found)
	require.Equal(t, []proxy.Peer{stayed}, r.live())
}

func TestRememberedRowsAreBounded(t *testing.T) {
	r := newRoster()
	for _, p := range makeProxies(999) {
		r.remember(p)
	}
	require.Len(t, r.removed, maxRemovedRows)
}

// A row that a restore has taken back is told from one that was removed.
func TestRosterReadsWhatARestoreHasChanged(t *testing.T) {
	r := newRoster()
	r.apply(1000, store.Changes{Rows: []store.Row{memberRow(t, stayed, at(1)), memberRow(t, left, at(2)), memberRow(t, started, at(3))}, Whole: true, Version: at(4)})
	base, restored := at(4), store.Version{Era: 2, Number: 9}
	r.apply(1000, store.Changes{
		Rows: []store.Row{{Key: "left", Version: at(8), Deleted: true}, {Key: "started", Version: restored, Deleted: true}},
		Base: &base, Version: restored,
	})
	require.Equal(t, []proxy.Peer{started, stayed}, r.live())
	require.True(t, r.expire(clock.Time(1000).Add(lostRowTTL)))
	require.Equal(t, []proxy.Peer{stayed}, r.live())
}
