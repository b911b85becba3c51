package front

import (
	"cmp"
	"slices"
	"sync"

	"github.com/oleanderflow/oleanderflow/internal/version/routes"
)

const (
	// maxShownKeys is the number of keys that the status lists. It finds any other one by
	// its keyId.
	maxShownKeys = 500
	// maxLoggedKeys is the number of keys that a log line about a new configuration names.
	maxLoggedKeys = 20
)

// keyStatus is a key that is in force.
type keyStatus struct {
	KeyID     string `json:"keyId"`
	Workspace string `json:"workspace"`
	// SinceVersion is the version since which the workspace has held the key, or the
	// first version that this process has had in force.
	SinceVersion uint64 `json:"sinceVersion"`
}

// keyStatuses are the keys that are in force.
type keyStatuses struct {
	Count int `json:"count"`
	// FirstVersion is the first version that this process has had in force. Keys that are
	// in force since that version may have been before.
	FirstVersion uint64 `json:"firstVersion"`
	// Shown are the keys that were declared last.
	Shown []keyStatus `json:"shown"`
}

// keysInForce records since which version each key is in force.
type keysInForce struct {
	mu    sync.Mutex
	first uint64
	// byKey must not be logged.
	byKey map[string]keyStatus
}

// update takes in a version that is now in force. It returns the keyIds of keys that were
// added or have moved to another workspace, and of those that were removed, both sorted and
// without those of the first version.
func (k *keysInForce) update(v *routes.Version) (added, removed []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := make(map[string]keyStatus, len(k.byKey))
	for key, w := range v.Workspaces.Keys() {
		s, ok := k.byKey[key]
		if !ok {
			s.KeyID = routes.KeyID(key)
		}
		if s.Workspace != w.Name {
			s.Workspace, s.SinceVersion = w.Name, v.Number
			added = append(added, s.KeyID)
		}
		next[key] = s
	}
	for key, s := range k.byKey {
		if _, ok := next[key]; !ok {
			removed = append(removed, s.KeyID)
		}
	}
	k.byKey = next
	if k.first == 0 {
		k.first = v.Number
		return nil, nil
	}
	slices.Sort(added)
	slices.Sort(removed)
	return added, removed
}

// statuses returns the keys that are in force. With a keyID it returns only the keys, or
// the key, of which that is the name.
func (k *keysInForce) statuses(keyID string) keyStatuses {
	k.mu.Lock()
	result := keyStatuses{Count: len(k.byKey), FirstVersion: k.first, Shown: make([]keyStatus, 0, len(k.byKey))}
	for _, s := range k.byKey {
		if keyID == "" || s.KeyID == keyID {
			result.Shown = append(result.Shown, s)
		}
	}
	k.mu.Unlock()
	slices.SortFunc(result.Shown, func(a, b keyStatus) int {
		return cmp.Or(cmp.Compare(b.SinceVersion, a.SinceVersion), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.KeyID, b.KeyID))
	})
	result.Shown = result.Shown[:min(len(result.Shown), maxShownKeys)]
	return result
}
