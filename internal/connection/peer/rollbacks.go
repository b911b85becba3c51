package peer

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// maxRollbacks is how many rollbacks are in flight at one home.
	maxRollbacks = 16
	// rollbackPause is the pause before a home that has not answered a rollback is told
	// again.
	rollbackPause = 200 * clock.Millisecond
)

// Rollback is a rollback of a transaction at its home.
type Rollback struct {
	Home    string
	Request *RunRequest
	// Limit is how long to wait for an answer. Until is when the home has rolled the
	// transaction back by itself.
	Limit clock.Duration
	Until clock.Time
	Log   *zap.Logger

	// again is set if the home has not answered this rollback or those before it.
	again bool
}

// rollbacks holds the rollbacks that homes have not answered yet. Its lock may be
// held while that of Homes is acquired.
type rollbacks struct {
	mu    sync.Mutex
	homes map[string]*homeRollbacks
}

// homeRollbacks holds the rollbacks for one home.
type homeRollbacks struct {
	queue []*Rollback
	// inFlight is how many are sent and not answered, and paused how many failed and
	// return to the queue after a pause.
	inFlight, paused int
	// failedFrom is when the last of those that failed was sent. Until the home answers
	// a request after that, one is sent at a time.
	failedFrom clock.Time
}

// ready reports whether another rollback may be sent to a home that last answered at
// the given time.
func (r *homeRollbacks) ready(answeredAt clock.Time) bool {
	if r.failing(answeredAt) {
		return r.inFlight+r.paused == 0
	}
	return r.inFlight < maxRollbacks
}

func (r *homeRollbacks) failing(answeredAt clock.Time) bool { return answeredAt < r.failedFrom }

// RollBack tells a home to roll back a transaction and does not wait for the answer.
// The home is told again until it answers, is no member any more, or has rolled the
// transaction back by itself.
func (h *Homes) RollBack(r Rollback) {
	h.rollbacks.mu.Lock()
	defer h.rollbacks.mu.Unlock()
	if h.rollbacks.homes == nil {
		h.rollbacks.homes = make(map[string]*homeRollbacks)
	}
	home, ok := h.rollbacks.homes[r.Home]
	if !ok {
		home = &homeRollbacks{}
		h.rollbacks.homes[r.Home] = home
	}
	home.queue = append(home.queue, &r)
	h.sendRollbacksLocked(r.Home, home)
}

// sendRollbacksLocked sends as many rollbacks as may be in flight at a home.
func (h *Homes) sendRollbacksLocked(name string, home *homeRollbacks) {
	answeredAt, member := h.lastAnswer(name)
	if !member {
		home.queue = nil
	}
	now := h.clock.Now()
	for len(home.queue) > 0 && home.ready(answeredAt) {
		r := home.queue[0]
		home.queue[0] = nil
		home.queue = home.queue[1:]
		if now >= r.Until {
			continue
		}
		home.inFlight++
		r.again = r.again || home.failing(answeredAt)
		go h.sendRollback(r, home, now)
	}
	if len(home.queue)+home.inFlight+home.paused == 0 {
		delete(h.rollbacks.homes, name)
	}
}

// sendRollback sends a rollback, and puts it back after a pause if it fails.
func (h *Homes) sendRollback(r *Rollback, home *homeRollbacks, began clock.Time) {
	err := contain.Call(r.Log, "rollback at a home", func() error {
		_, err := h.forward(r.Home, r.Request, r.Limit, r.again)
		return err
	})
	h.rollbacks.mu.Lock()
	defer h.rollbacks.mu.Unlock()
	home.inFlight--
	if err == nil {
		h.sendRollbacksLocked(r.Home, home)
		return
	}
	r.Log.Debug("cannot roll back at home", zap.String("home", r.Home), logs.Error(err))
	r.again = true
	home.failedFrom = max(home.failedFrom, began)
	home.paused++
	time.AfterFunc(rollbackPause.Std(), func() { h.repeatRollback(r, home) })
}

// repeatRollback returns a rollback to the queue.
func (h *Homes) repeatRollback(r *Rollback, home *homeRollbacks) {
	h.rollbacks.mu.Lock()
	defer h.rollbacks.mu.Unlock()
	home.paused--
	home.queue = append(home.queue, r)
	h.sendRollbacksLocked(r.Home, home)
}

// lastAnswer returns when a proxy last answered as a home, zero if it has not, and
// whether it is among the live ones.
func (h *Homes) lastAnswer(name string) (clock.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var at clock.Time
	if state, ok := h.states[name]; ok {
		at = state.answeredAt
	}
	return at, proxy.ContainsPeer(h.members, name)
}
