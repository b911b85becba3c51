package routes

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/oleanderflow/oleanderflow/pkg/field"
)

// Workspace is a customer whose requests are kept apart from those of others.
type Workspace struct {
	Name string
	// Priority orders workspaces under load. 0 is the highest priority.
	Priority int
	// Rate is the number of operations per second that the workspace may run, over
	// all proxies. Zero means no limit.
	Rate float64
	// Burst is the number of operations that it may run at once on top of Rate.
	Burst float64
}

// Workspaces are the workspaces of one version and the keys of their callers.
type Workspaces struct {
	byName map[string]*Workspace
	byKey  map[string]*Workspace
	// sorted is ordered by name.
	sorted []*Workspace
	// limited is the number of workspaces with a rate, and rates the sum of these.
	limited int
	rates   float64
}

// DuplicateKeyError reports a key that two workspaces hold.
type DuplicateKeyError struct{ KeyID, First, Second string }

func (e *DuplicateKeyError) Error() string {
	return fmt.Sprintf("key %s is held by workspaces %q and %q", e.KeyID, e.First, e.Second)
}

// DuplicateWorkspaceError reports a workspace that is declared twice.
type DuplicateWorkspaceError struct{ Name string }

func (e *DuplicateWorkspaceError) Error() string {
	return fmt.Sprintf("workspace %q is declared twice", e.Name)
}

// NegativeLimitError reports a rate, burst or priority below zero.
type NegativeLimitError struct{ Name string }

func (e *NegativeLimitError) Error() string {
	return fmt.Sprintf("workspace %q: rate, burst and priority must not be below zero", e.Name)
}

// WorkspaceNameError reports a workspace whose name cannot be sent to databases.
type WorkspaceNameError struct{ Name string }

func (e *WorkspaceNameError) Error() string {
	return fmt.Sprintf("workspace %q: expected a name without blanks and control characters", e.Name)
}

// NewWorkspaces returns an empty set of workspaces.
func NewWorkspaces() *Workspaces {
	return &Workspaces{byName: make(map[string]*Workspace), byKey: make(map[string]*Workspace)}
}

// Add adds a workspace with its keys. It returns a *WorkspaceNameError, a
// *DuplicateWorkspaceError, a *DuplicateKeyError or a *NegativeLimitError, and adds nothing
// then.
func (w *Workspaces) Add(workspace Workspace, keys []string) error {
	if !field.IsValid(workspace.Name) {
		return &WorkspaceNameError{Name: workspace.Name}
	}
	if _, ok := w.byName[workspace.Name]; ok {
		return &DuplicateWorkspaceError{Name: workspace.Name}
	}
	if !(workspace.Rate >= 0 && workspace.Burst >= 0) || workspace.Priority < 0 {
		return &NegativeLimitError{Name: workspace.Name}
	}
	for _, key := range keys {
		if holder, ok := w.byKey[key]; ok {
			return &DuplicateKeyError{KeyID: KeyID(key), First: holder.Name, Second: workspace.Name}
		}
	}
	added := &workspace
	w.byName[added.Name] = added
	if added.Rate > 0 {
		w.limited++
		w.rates += added.Rate
	}
	for _, key := range keys {
		w.byKey[key] = added
	}
	at, _ := slices.BinarySearchFunc(w.sorted, added, func(a, b *Workspace) int { return strings.Compare(a.Name, b.Name) })
	w.sorted = slices.Insert(w.sorted, at, added)
	return nil
}

// OfKey returns the workspace that holds a key, or nil if none does.
func (w *Workspaces) OfKey(key string) *Workspace {
	if w == nil {
		return nil
	}
	return w.byKey[key]
}

// Keys returns the keys with the workspaces that hold them, in no particular order. Keys
// must not be logged.
func (w *Workspaces) Keys() iter.Seq2[string, *Workspace] {
	if w == nil {
		return func(func(string, *Workspace) bool) {}
	}
	return maps.All(w.byKey)
}

// Find returns the workspace with a name, or nil if there is none.
func (w *Workspaces) Find(name string) *Workspace {
	if w == nil {
		return nil
	}
	return w.byName[name]
}

// Weight returns the size of a workspace's fair share relative to those of others:
// its declared rate. A workspace without one counts as the average of those that
// have one. It returns 1 if none has, and for an unknown workspace.
func (w *Workspaces) Weight(name string) float64 {
	found := w.Find(name)
	switch {
	case found == nil || w.limited == 0:
		return 1
	case found.Rate > 0:
		return found.Rate
	default:
		return w.rates / float64(w.limited)
	}
}

// All returns the workspaces ordered by name. The slice must not be changed.
func (w *Workspaces) All() []*Workspace {
	if w == nil {
		return nil
	}
	return w.sorted
}

// KeyID returns a short name of a key for logs, from which the key cannot be
// derived.
func KeyID(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:4])
}
