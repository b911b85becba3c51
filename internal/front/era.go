package front

import (
	"context"
	"sync"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
)

// eraTracker tells the newest era of the store that this process has heard of, from
// any call. A feed after a version of an earlier era may be held open by a store that
// has given out that version again, so it must not be waited for. No other lock is
// taken while its lock is held.
type eraTracker struct {
	mu  sync.Mutex
	era uint64
	// ctx is cancelled when a newer era becomes known.
	ctx    context.Context
	cancel context.CancelFunc
}

func newEraTracker() *eraTracker {
	t := &eraTracker{}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// observe records the version of an answer, which is zero if the store did not
// respond.
func (t *eraTracker) observe(v store.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v.Era > t.era {
		t.era = v.Era
		t.cancel()
		t.ctx, t.cancel = context.WithCancel(context.Background())
	}
}

// newest returns the newest known era, zero if none is known.
func (t *eraTracker) newest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// within returns a context that is cancelled with ctx, and once an era after that of
// the version is known.
func (t *eraTracker) within(ctx context.Context, v store.Version) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.era > v.Era {
		cancel()
		return ctx, cancel
	}
	stop := context.AfterFunc(t.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}
