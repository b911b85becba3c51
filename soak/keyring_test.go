package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// The workspaces of a run. North and south are limited. West is not: cut off the store,
// proxies refuse limited workspaces for lack of tokens, which would hide that they take
// removed keys. The key of steady is never removed, so that its writes tell whether
// proxies serve.
const (
	north = iota
	south
	west
	steady
	workspaceCount
)

// steadyKey is the key of workspace steady.
const steadyKey = "key-steady"

// keyPeriod is a time during which a workspace held a key, as far as the store's
// acknowledgements tell.
type keyPeriod struct {
	key, workspace string
	// from is before the first configuration with the key was written. until is after
	// the first one without it was acknowledged, zero if there is none yet.
	from, until time.Time
}

// sentStatement is what a caller knows of a statement.
type sentStatement struct {
	key string
	// at is just before it was sent.
	at time.Time
}

// keyring records which keys were declared when, and when callers sent what.
type keyring struct {
	mu         sync.Mutex
	workspaces []standin.Workspace
	removed    []string
	// periods are in the order of their begin. ended are the indexes of those that end
	// once the next configuration is acknowledged.
	periods []keyPeriod
	ended   []int
	sent    map[string]sentStatement
	lastKey int
}

func newKeyring(random *rand.Rand) *keyring {
	k := &keyring{sent: make(map[string]sentStatement), workspaces: []standin.Workspace{
		north:  {Name: "north", Priority: 0, Rate: float64(10 + random.IntN(20)), Burst: float64(5 + random.IntN(20))},
		south:  {Name: "south", Priority: 1, Rate: float64(20 + random.IntN(40)), Burst: float64(10 + random.IntN(30))},
		west:   {Name: "west", Priority: 1},
		steady: {Name: "steady", Priority: 1},
	}}
	k.declareLocked(steady, steadyKey)
	for range 4 {
		k.declareLocked(north, k.newKeyLocked())
		k.declareLocked(south, k.newKeyLocked())
		k.declareLocked(west, k.newKeyLocked())
	}
	return k
}

func (k *keyring) newKeyLocked() string {
	k.lastKey++
	return fmt.Sprint("key-", k.lastKey)
}

func (k *keyring) declareLocked(workspace int, key string) {
	w := &k.workspaces[workspace]
	// The slice may be in use by the encoder of an earlier configuration.
	w.Keys = append(slices.Clone(w.Keys), key)
	k.periods = append(k.periods, keyPeriod{key: key, workspace: w.Name, from: time.Now()})
}

func (k *keyring) removeLocked(random *rand.Rand, workspace int) (key string) {
	w := &k.workspaces[workspace]
	i := random.IntN(len(w.Keys))
	key = w.Keys[i]
	w.Keys = slices.Delete(slices.Clone(w.Keys), i, i+1)
	for p := range k.periods {
		if k.periods[p].key == key && k.periods[p].until.IsZero() && !slices.Contains(k.ended, p) {
			k.ended = append(k.ended, p)
		}
	}
	return key
}

// change adds a key, removes one, moves one to another workspace or declares a removed
// one again. It removes one if remove is set. Each workspace keeps a key, so that it has
// demand. The caller writes a configuration next.
func (k *keyring) change(random *rand.Rand, remove bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	workspace := random.IntN(steady)
	kind := random.IntN(5)
	switch {
	case (remove || kind < 2) && len(k.workspaces[workspace].Keys) > 1:
		k.removed = append(k.removed, k.removeLocked(random, workspace))
	case kind == 2 && len(k.workspaces[workspace].Keys) > 1:
		k.declareLocked((workspace+1)%steady, k.removeLocked(random, workspace))
	case kind == 3 && len(k.removed) > 0:
		i := random.IntN(len(k.removed))
		k.declareLocked(workspace, k.removed[i])
		k.removed = slices.Delete(k.removed, i, i+1)
	default:
		k.declareLocked(workspace, k.newKeyLocked())
	}
}

// declared returns the workspaces that the next configuration declares.
func (k *keyring) declared() []standin.Workspace {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.workspaces)
}

// acknowledge records that the store has acknowledged the declared workspaces.
func (k *keyring) acknowledge() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.ended {
		k.periods[p].until = time.Now()
	}
	k.ended = nil
}

// pick returns a key for a caller: mostly one of its workspace, or a removed one, or one
// that was never declared.
func (k *keyring) pick(random *rand.Rand, workspace int) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	keys := k.workspaces[workspace].Keys
	switch kind := random.IntN(10); {
	case kind < 7 && len(keys) > 0 || workspace == steady:
		return keys[random.IntN(len(keys))]
	case kind < 9 && len(k.removed) > 0:
		return k.removed[random.IntN(len(k.removed))]
	default:
		return "undeclared"
	}
}

// newest returns the key in force that was declared last.
func (k *keyring) newest() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range slices.Backward(k.periods) {
		if p.until.IsZero() {
			return p.key
		}
	}
	return steadyKey
}

// replaces reports whether caller i ends a session that could go on. A third of the
// callers never do: they go on with a removed key for longer than it may work.
func (k *keyring) replaces(random *rand.Rand, i int) bool {
	return i%3 > 0 && random.IntN(20) == 0
}

// noteSent records that a caller is about to send a statement.
func (k *keyring) noteSent(id, key string) {
	at := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sent[id] = sentStatement{key: key, at: at}
}

// longFault is how long the store or a process is cut off while keys are removed: longer
// than a removed key may work, so that proxies run callers with removed keys into the
// limit. With the time before it, it ends before injectFaults returns.
const (
	minLongFault   = revocationLimit + 1500*time.Millisecond
	longFaultRange = 700 * time.Millisecond
	longFaultDelay = time.Second
)

// changeKeys changes keys until end. Soon after its begin it cuts all proxies off the
// store, freezes one of them, or both, and removes keys right away.
func (h *harness) changeKeys(random *rand.Rand, end time.Time) {
	time.Sleep(time.Duration(random.Int64N(int64(longFaultDelay))))
	length := minLongFault + time.Duration(random.Int64N(int64(longFaultRange)))
	kind, fault := random.IntN(4), []Fault{Silent, Refusing, OneWay}[random.IntN(3)]
	if kind > 0 {
		h.storeLink.Set(fault)
		time.AfterFunc(length, func() { h.storeLink.Set(None) })
		h.t.Logf("link to the store: fault %d for %s from %s", fault, length, time.Now().Format(time.StampMilli))
	}
	if p := h.proxies[random.IntN(len(h.proxies))]; kind < 2 {
		p.signal(syscall.SIGSTOP)
		time.AfterFunc(length, func() { p.signal(syscall.SIGCONT) })
		h.t.Logf("%s frozen for %s from %s", p.name, length, time.Now().Format(time.StampMilli))
	}
	for remove := 5; time.Now().Before(end); remove-- {
		h.configure(func() { h.keys.change(random, remove > 0) })
		time.Sleep(time.Duration(50+random.IntN(600)) * time.Millisecond)
	}
}
