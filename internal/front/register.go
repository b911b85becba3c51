package front

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// methodRegister is the peer method that asks a proxy to write the member row
	// of the caller.
	methodRegister = "register"
	// registrarCount is how many proxies write rows for others.
	registrarCount = 3
	// registerWindow is how long a registrar collects rows for one call to the
	// store. All proxies of a system that starts arrive within some of them.
	registerWindow = 50 * clock.Millisecond
	// registerTimeout is the timeout of a call to a registrar, which includes the
	// window and the call to the store.
	registerTimeout = 800 * clock.Millisecond
	// firstRegistrarShare is one in how many proxies registers at once when the
	// whole system starts for the first time. The others read the table only
	// firstStartDelay later, plus a random time of up to the same length, and
	// find proxies that write their rows together.
	firstRegistrarShare = 16
	firstStartDelay     = 150 * clock.Millisecond
	// registerRetryDelay is the delay before a failed registration is retried.
	registerRetryDelay = 500 * clock.Millisecond
)

// firstReadDelay returns how long this proxy waits before it reads the members
// table at its start.
func firstReadDelay(s *Settings) clock.Duration {
	if !s.FirstStart || xxhash.Sum64String(s.Name)%firstRegistrarShare == 0 {
		return 0
	}
	return firstStartDelay + clock.Duration(rand.Int64N(int64(firstStartDelay)))
}

// registration is the answer of a registrar.
type registration struct {
	// Version is the version of the written row.
	store.Version
}

// registrar writes the member rows of proxies that start at the same time with
// few calls to the store, whose writes to one table run one after another.
type registrar struct {
	clock timers
	put   func(rows map[string][]byte) (store.Version, error)

	mu sync.Mutex
	// open is the batch that collects rows, nil if there is none.
	open *registerBatch
}

// registerBatch is a set of rows that are written with one call. version and err
// are set before done is closed.
type registerBatch struct {
	rows    map[string][]byte
	full    chan struct{}
	done    chan struct{}
	version store.Version
	err     error
}

// register writes a member row, together with others that arrive within
// registerWindow, and returns its version.
func (r *registrar) register(key string, value []byte) (store.Version, error) {
	r.mu.Lock()
	b := r.open
	if b == nil {
		b = &registerBatch{rows: make(map[string][]byte), full: make(chan struct{}), done: make(chan struct{})}
		r.open = b
		go r.write(b)
	}
	b.rows[key] = value
	if len(b.rows) == store.MaxPutRows {
		r.open = nil
		close(b.full)
	}
	r.mu.Unlock()
	<-b.done
	return b.version, b.err
}

func (r *registrar) write(b *registerBatch) {
	r.clock.WaitOrTimeout(b.full, registerWindow)
	r.mu.Lock()
	if r.open == b {
		r.open = nil
	}
	r.mu.Unlock()
	b.version, b.err = r.put(b.rows)
	close(b.done)
}

// MemberError reports a member row that cannot be used.
type MemberError struct {
	Name, Address string
}

func (e *MemberError) Error() string {
	return "member row of " + e.Name + " with address \"" + e.Address + "\": expected a name and an address"
}

// handleRegister writes the row of another proxy.
func (r *registrar) handleRegister(params json.RawMessage) (any, error) {
	var p memberContent
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, errors.Wrap(err, "decode member row")
	}
	if p.Name == "" || p.Address == "" {
		return nil, &MemberError{Name: p.Name, Address: p.Address}
	}
	value, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	version, err := r.register(p.Name, value)
	return registration{Version: version}, err
}

// putMembers writes rows of the members table.
func (f *Front) putMembers(rows map[string][]byte) (store.Version, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Std())
	defer cancel()
	return f.platform.Store.Put(ctx, membersTable, rows)
}

// startRegister registers this proxy in the background, unless that is under way.
func (f *Front) startRegister() {
	if f.registering.CompareAndSwap(false, true) {
		go func() {
			defer f.registering.Store(false)
			f.register()
		}()
	}
}

// register writes the row of this proxy and retries until the store has accepted
// it or the instance stops.
func (f *Front) register() {
	for !f.stopping.Load() {
		row := f.ownRow()
		value, err := json.Marshal(row)
		if err != nil {
			f.log.Error("encode own member row failed", logs.Error(err))
			return
		}
		version, err := f.registerThroughPeer(row)
		if err != nil {
			version, err = f.putMembers(map[string][]byte{f.self.Name: value})
		}
		if err == nil {
			f.registeredVersion.Store(&version)
			return
		}
		f.log.Info("write own member row failed", logs.Error(err))
		backend.Sleep(registerRetryDelay)
	}
}

var errNoRegistrar = errors.New("no other proxy is known")

// registerThroughPeer asks a registrar to write the row of this proxy.
func (f *Front) registerThroughPeer(row memberContent) (store.Version, error) {
	f.mu.Lock()
	others := slices.DeleteFunc(f.roster.live(), func(p proxy.Peer) bool { return p.Name == f.self.Name })
	f.mu.Unlock()
	registrars := sortByPreference(f.self, proxy.Choose("registrars", others, registrarCount))
	if len(registrars) == 0 {
		return store.Version{}, errNoRegistrar
	}
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout.Std())
	defer cancel()
	var answer registration
	err := f.peerConns.Call(ctx, registrars[0].Name, methodRegister, row, &answer)
	if err != nil {
		f.log.Info("registrar has not written own member row", zap.String("registrar", registrars[0].Name), logs.Error(err))
	}
	// Earlier builds know no eras.
	answer.Era = max(answer.Era, store.FirstEra)
	return answer.Version, err
}
