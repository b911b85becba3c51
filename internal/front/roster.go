package front

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// lostRowTTL is how long a proxy whose row a restore has taken back still counts
	// as live. It has read the table and written its row again by then.
	lostRowTTL = 5 * clock.Second
	// maxRemovedRows is the maximum number of removed rows that a roster remembers.
	maxRemovedRows = 256
)

// roster is the list of live proxies according to the members table. When the store
// goes back to an older copy, rows that were written since are lost, and rows that were
// removed since are back: the roster keeps the former for a while and leaves the latter
// out.
type roster struct {
	version store.Version
	// listed has the proxies with a row.
	listed map[string]proxy.Peer
	// lost has proxies without a row that count as live until a time.
	lost map[string]lostPeer
	// removed has the proxies whose rows were removed, as they were.
	removed map[string]proxy.Peer
}

type lostPeer struct {
	proxy.Peer
	until clock.Time
}

func newRoster() *roster {
	return &roster{listed: make(map[string]proxy.Peer), lost: make(map[string]lostPeer), removed: make(map[string]proxy.Peer)}
}

// rosterChange is what apply has found beside the rows that it took in.
type rosterChange struct {
	// returned has the names of proxies whose removed rows are back.
	returned []string
	// invalid has the keys of rows that hold no proxy of that name.
	invalid []string
}

// apply takes in changes of the members table.
func (r *roster) apply(now clock.Time, changes store.Changes) rosterChange {
	var found rosterChange
	restored := r.version.Era != 0 && changes.Era > r.version.Era
	r.version = store.Latest(r.version, changes.Version)
	var before map[string]proxy.Peer
	if changes.Whole {
		before, r.listed = r.listed, make(map[string]proxy.Peer, len(changes.Rows))
	}
	for _, row := range changes.Rows {
		var p proxy.Peer
		switch err := json.Unmarshal(row.Value, &p); {
		case row.Deleted:
			p, ok := r.listed[row.Key]
			delete(r.listed, row.Key)
			switch {
			case ok && restored && row.Era == changes.Era:
				// The restore has taken the row back.
				r.lost[row.Key] = lostPeer{Peer: p, until: now.Add(lostRowTTL)}
			case ok:
				r.remember(p)
			default:
				delete(r.lost, row.Key)
			}
		case err != nil || p.Name != row.Key:
			found.invalid = append(found.invalid, row.Key)
		case restored && r.removed[row.Key] == p:
			found.returned = append(found.returned, row.Key)
		default:
			r.listed[row.Key] = p
			delete(r.lost, row.Key)
			delete(r.removed, row.Key)
		}
	}
	for name, p := range before {
		switch _, ok := r.listed[name]; {
		case ok || slices.Contains(found.returned, name):
		case restored:
			r.lost[name] = lostPeer{Peer: p, until: now.Add(lostRowTTL)}
		default:
			r.remember(p)
		}
	}
	return found
}

// remember records that the row of a proxy was removed.
func (r *roster) remember(p proxy.Peer) {
	for name := range r.removed {
		if len(r.removed) < maxRemovedRows {
			break
		}
		delete(r.removed, name)
	}
	r.removed[p.Name] = p
}

// expire drops the lost proxies that have not written their rows again in time. It
// reports whether there were any.
func (r *roster) expire(now clock.Time) bool {
	count := len(r.lost)
	maps.DeleteFunc(r.lost, func(_ string, p lostPeer) bool { return now >= p.until })
	return len(r.lost) < count
}

// live returns the proxies that count as live, sorted by name.
func (r *roster) live() []proxy.Peer {
	list := slices.Collect(maps.Values(r.listed))
	for _, p := range r.lost {
		list = append(list, p.Peer)
	}
	slices.SortFunc(list, func(a, b proxy.Peer) int { return strings.Compare(a.Name, b.Name) })
	return list
}
