package front

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/promotion"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// agreementTable holds the claims and votes of all proxies.
	agreementTable = "oleanderflow"
	claimPrefix    = "claim/"
	votePrefix     = "vote/"

	// storeLimit bounds one call to the platform's store.
	storeLimit = 1200 * clock.Millisecond
	// promoteLimit bounds one promotion call.
	promoteLimit = 500 * clock.Millisecond
	// fenceLimit bounds one order to a database.
	fenceLimit = 400 * clock.Millisecond
	// catchUpLimit is how long a replacement waits for a replica to receive
	// the rest of the log of a primary that has stepped down.
	catchUpLimit = 600 * clock.Millisecond
	// stepPause is the wait between two tries of one step.
	stepPause = 40 * clock.Millisecond
	// effectLimit is how long a promotion may take to show.
	effectLimit = 4 * clock.Second
	// voteSpread is the longest random wait before a vote, so that two proxies
	// suffice instead of all.
	voteSpread = 150 * clock.Millisecond
	// voteEvery is the time between two votes of this process.
	voteEvery = 1200 * clock.Millisecond
	// claimRetry is the time between two claims that failed.
	claimRetry = 300 * clock.Millisecond
)

// replacement replaces the primary of one group when it has to be. Its lock
// is taken before no other.
type replacement struct {
	self       string
	serving    *backend.Serving
	store      store.Store
	promotions promotion.Service
	clock      clock.Clock
	log        *zap.Logger

	mu        sync.Mutex
	agreement *group.Agreement
	acting    bool
	notBefore clock.Time
	votedAt   clock.Time
}

func newReplacement(f *Front, s *backend.Serving) *replacement {
	return &replacement{
		self: f.settings.Name, serving: s, store: f.peers.Store, promotions: f.peers.Promotions, clock: f.clock,
		log: f.log.With(zap.String("group", s.Name)), agreement: group.NewAgreement(),
	}
}

// see takes in a row of the agreement table that concerns the group.
func (r *replacement) see(row store.Row) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var err error
	if strings.HasPrefix(row.Key, claimPrefix) {
		err = r.agreement.SeeClaim(now, row.Value, row.Version)
		if _, free := r.agreement.Free(now, r.self); !free {
			// A commit at the old primary might not be confirmed any more.
			r.serving.Unconfirmed(now)
		}
	} else {
		_, from, _ := strings.Cut(strings.TrimPrefix(row.Key, votePrefix), "/")
		err = r.agreement.SeeVote(now, from, row.Value, row.Version)
	}
	if err != nil {
		r.log.Warn("row not understood", zap.String("key", row.Key), logs.Error(err))
	}
}

// tick starts a replacement if one is due.
func (r *replacement) tick(now clock.Time) {
	s := r.serving.Suspect(now)
	if s.Reason == group.NoReason {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.acting || now < r.notBefore {
		return
	}
	if _, free := r.agreement.Free(now, r.self); !free {
		return
	}
	vote := group.Vote{Primary: s.Primary, Term: r.serving.Term()}
	agreed := !s.Reason.NeedsAgreement() || !s.Listed || r.agreement.Agrees(now, r.self, vote)
	switch {
	case agreed:
		r.acting = true
		go r.run(s)
	case now.Sub(r.votedAt) >= voteEvery || r.votedAt == 0:
		r.votedAt = now
		go r.vote(s, vote)
	}
}

// vote tells the other proxies of a suspicion, unless one of them was first.
func (r *replacement) vote(s group.Suspicion, v group.Vote) {
	backend.Sleep(clock.Duration(rand.Int64N(int64(voteSpread))))
	now := r.clock.Now()
	r.mu.Lock()
	agreed := r.agreement.Agrees(now, r.self, v)
	r.mu.Unlock()
	if again := r.serving.Suspect(now); agreed || again.Reason != s.Reason || again.Primary != s.Primary {
		return
	}
	value, err := json.Marshal(v)
	if err != nil {
		r.log.Error("vote not encoded", logs.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeLimit.Std())
	defer cancel()
	err = r.store.Put(ctx, agreementTable, votePrefix+r.serving.Name+"/"+r.self, value)
	r.log.Info("primary suspected", zap.String("primary", v.Primary), zap.Uint64("term", v.Term),
		zap.Stringer("reason", s.Reason), logs.Error(err))
}

// run claims the replacement and carries it out.
func (r *replacement) run(s group.Suspicion) {
	defer func() {
		r.mu.Lock()
		r.acting = false
		r.notBefore = r.clock.Now().Add(claimRetry + clock.Duration(rand.Int64N(int64(claimRetry))))
		r.mu.Unlock()
	}()
	if s.Reason.NeedsAgreement() || s.Reason == group.Leaderless {
		backend.Sleep(clock.Duration(rand.Int64N(int64(voteSpread))))
	}
	lease, err := r.claim()
	if err != nil {
		r.log.Info("replacement not claimed", zap.Stringer("reason", s.Reason), logs.Error(err))
		return
	}
	r.log.Info("replacement claimed", zap.Stringer("reason", s.Reason), zap.String("primary", s.Primary),
		zap.Uint64("token", lease.Token))
	done, err := r.replace(s, lease)
	if err != nil {
		r.log.Warn("replacement given up", zap.Uint64("token", lease.Token), logs.Error(err))
	} else {
		r.log.Info("replacement done", zap.Uint64("token", lease.Token),
			zap.String("promoted", done.Promoted), zap.Uint64("term", done.Term))
	}
	r.closeClaim(lease, done)
}

// claim takes the group's claim. The row's version is the token.
func (r *replacement) claim() (group.Lease, error) {
	c := group.Claim{Holder: r.self, Nonce: rand.Uint64() >> 1, Open: true}
	value, err := json.Marshal(c)
	if err != nil {
		return group.Lease{}, err
	}
	key := claimPrefix + r.serving.Name
	askedAt := r.clock.Now()
	r.mu.Lock()
	expected, free := r.agreement.Free(askedAt, r.self)
	r.mu.Unlock()
	if !free {
		return group.Lease{}, errClaimed
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeLimit.Std())
	defer cancel()
	token, err := r.store.CompareAndSwap(ctx, agreementTable, key, value, expected)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		r.see(store.Row{Key: key, Value: value, Version: token})
		return group.NewLease(token, askedAt), nil
	case errors.As(err, &conflict):
		if conflict.Current.Version > 0 {
			conflict.Current.Key = key
			r.see(conflict.Current)
		}
		return group.Lease{}, err
	default:
		return r.settleClaim(key, c, askedAt, err)
	}
}

// settleClaim reads the row after an answer was lost.
func (r *replacement) settleClaim(key string, c group.Claim, askedAt clock.Time, cause error) (group.Lease, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeLimit.Std())
	defer cancel()
	rows, _, err := r.store.Table(ctx, agreementTable)
	if err != nil {
		return group.Lease{}, errors.Wrap(cause, "claim not settled")
	}
	for _, row := range rows {
		if row.Key != key {
			continue
		}
		r.see(row)
		var found group.Claim
		if json.Unmarshal(row.Value, &found) == nil && found.Holder == c.Holder && found.Nonce == c.Nonce {
			return group.NewLease(row.Version, askedAt), nil
		}
	}
	return group.Lease{}, cause
}

// closeClaim lets others claim at once. If it fails, the claim lapses.
func (r *replacement) closeClaim(l group.Lease, done group.Claim) {
	done.Holder, done.Open = r.self, false
	value, err := json.Marshal(done)
	if err != nil {
		r.log.Error("claim not encoded", logs.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeLimit.Std())
	defer cancel()
	key := claimPrefix + r.serving.Name
	version, err := r.store.CompareAndSwap(ctx, agreementTable, key, value, l.Token)
	if err != nil {
		r.log.Info("claim not closed", zap.Uint64("token", l.Token), logs.Error(err))
		return
	}
	r.see(store.Row{Key: key, Value: value, Version: version})
}

// errClaimed tells that another proxy is at work.
var errClaimed = errors.New("another proxy has claimed the replacement")

// errExpired tells that the claim has lapsed before the replacement was done.
var errExpired = errors.New("the claim has lapsed")

// errOvertaken tells that another replacement has taken effect.
var errOvertaken = errors.New("a later term has begun")

// replace fences the group, and promotes the database that has received most.
func (r *replacement) replace(s group.Suspicion, l group.Lease) (group.Claim, error) {
	if s.Reason == group.HeldBack {
		return group.Claim{}, r.release(group.AnyTerm, l)
	}
	term := r.serving.Term() + 1
	fences := make(map[string]group.Fence)
	if s.Reason == group.LeavingSoon {
		if err := r.handOver(s.Primary, term, fences); err != nil {
			r.log.Info("primary does not step down", zap.String("primary", s.Primary), logs.Error(err))
		}
	}
	if err := r.fence(s.Primary, term, fences, l); err != nil {
		if failed := r.release(term, l); failed != nil {
			r.log.Info("replicas stay held", zap.Uint64("held", term), logs.Error(failed))
		}
		return group.Claim{}, err
	}
	promoted, err := r.promote(fences, l)
	if err != nil {
		return group.Claim{Promoted: promoted, Term: term}, err
	}
	return r.awaitEffect(promoted, term)
}

// handOver makes a primary that answers step down and waits until a database
// that stays has received all of its log.
func (r *replacement) handOver(primary string, term uint64, fences map[string]group.Fence) error {
	if !r.caughtUp(primary, r.clock.Now().Add(catchUpLimit)) {
		return errors.New("no replica keeps up with the primary")
	}
	status, err := r.serving.Command(primary, statement.StepDown{Term: term}, fenceLimit)
	if err != nil {
		return err
	}
	if status.Role != database.RoleReplica {
		return errors.Errorf("the primary of term %d stays", status.Term)
	}
	fences[primary] = group.Fence{ID: primary, Status: status, Leaving: true}
	until := r.clock.Now().Add(catchUpLimit)
	for r.clock.Now() < until {
		for _, m := range r.serving.Members() {
			if !m.Leaving && m.Received.AtLeast(status.Received) {
				return nil
			}
		}
		r.askAll()
	}
	return nil
}

// closeBehind is how many entries a replica may be behind a primary that is
// about to step down.
const closeBehind = 20

// caughtUp waits until a database that stays is close behind the primary.
func (r *replacement) caughtUp(primary string, until clock.Time) bool {
	for {
		r.askAll()
		var end uint64
		members := r.serving.Members()
		for _, m := range members {
			if m.ID == primary {
				end = m.Received.Offset
			}
		}
		for _, m := range members {
			if m.ID != primary && !m.Leaving && m.LapsedAt == 0 && m.FailingSince == 0 && m.Received.Offset+closeBehind >= end {
				return true
			}
		}
		if r.clock.Now() >= until {
			return false
		}
	}
}

// askAll asks every database for its status and waits for a moment.
func (r *replacement) askAll() {
	r.serving.AskAll()
	backend.Sleep(stepPause)
}

// fence keeps the databases from receiving log of the present term until
// enough of them have agreed.
func (r *replacement) fence(primary string, term uint64, fences map[string]group.Fence, l group.Lease) error {
	for {
		members := r.serving.Members()
		answers := r.orderFences(members, primary, term, fences)
		for _, f := range answers {
			if f.Status.Term >= term {
				return errOvertaken
			}
			if f.Status.Fenced >= term || f.ID == primary && f.Status.Role == database.RoleReplica {
				fences[f.ID] = f
			}
		}
		if group.Enough(listOf(fences), r.serving.Size()) {
			return nil
		}
		if r.clock.Now().Add(promoteLimit) >= l.Until {
			return errExpired
		}
		backend.Sleep(stepPause)
	}
}

// orderFences asks all databases at once that are not fenced yet.
func (r *replacement) orderFences(members []group.Member, primary string, term uint64, fences map[string]group.Fence) []group.Fence {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var answers []group.Fence
	for _, m := range members {
		if f, done := fences[m.ID]; done && (f.Status.Fenced >= term || m.ID == primary) {
			continue
		}
		var order statement.Operation = statement.Pause{Term: term}
		if m.ID == primary || m.Role == database.RolePrimary {
			order = statement.StepDown{Term: term}
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			status, err := r.serving.Command(m.ID, order, fenceLimit)
			if err != nil {
				r.log.Info("fence not answered", zap.String("database", m.ID), logs.Error(err))
				return
			}
			r.log.Info("database fenced", zap.String("database", m.ID), zap.Uint64("term", term),
				zap.Stringer("received", status.Received), zap.Uint64("held", status.Fenced))
			mu.Lock()
			answers = append(answers, group.Fence{ID: m.ID, Status: status, Leaving: m.Leaving || m.ID == primary})
			mu.Unlock()
		}()
	}
	wait.Wait()
	return answers
}

func listOf(fences map[string]group.Fence) []group.Fence {
	list := make([]group.Fence, 0, len(fences))
	for _, f := range fences {
		list = append(list, f)
	}
	return list
}

// promote orders the promotion of the best of the fenced databases, within
// the lease. It returns the database that was ordered last, also with an
// error. An order without an answer may have taken effect, and the new primary
// may have acknowledged commits since; it is repeated for the same database,
// and another one needs new fences.
func (r *replacement) promote(fences map[string]group.Fence, l group.Lease) (string, error) {
	ordered, unanswered := "", false
	for {
		best, ok := group.Successor(listOf(fences))
		if !ok {
			return ordered, errors.New("no fenced database can be promoted")
		}
		limit := min(promoteLimit, l.Until.Sub(r.clock.Now()))
		if limit <= 0 {
			return ordered, errExpired
		}
		ordered = best.ID
		ctx, cancel := context.WithTimeout(context.Background(), limit.Std())
		err := r.promotions.Promote(ctx, promotion.Request{Group: r.serving.Name, Database: best.ID, Holder: r.self, Token: l.Token})
		cancel()
		r.log.Info("promotion ordered", zap.String("database", best.ID), zap.Uint64("token", l.Token),
			zap.Stringer("received", best.Status.Received), logs.Error(err))
		switch {
		case err == nil:
			return best.ID, nil
		case errors.Is(err, promotion.ErrNotRunning) && unanswered:
			return ordered, err
		case errors.Is(err, promotion.ErrNotRunning):
			delete(fences, best.ID)
		default:
			unanswered = true
		}
		backend.Sleep(stepPause)
	}
}

// awaitEffect waits until the promoted database leads.
func (r *replacement) awaitEffect(id string, term uint64) (group.Claim, error) {
	until := r.clock.Now().Add(effectLimit)
	for r.clock.Now() < until {
		status, err := r.serving.Command(id, statement.Status{}, fenceLimit)
		if err == nil && status.Role == database.RolePrimary && status.Term >= term {
			return group.Claim{Promoted: id, Term: status.Term}, nil
		}
		backend.Sleep(stepPause)
	}
	return group.Claim{Promoted: id, Term: term}, errors.Errorf("database %s does not lead after %s", id, effectLimit)
}

// release lets replicas receive again that are held for a term. It acts within
// the lease only: later, another proxy may rely on its own fences.
func (r *replacement) release(term uint64, l group.Lease) error {
	for _, m := range r.serving.Members() {
		if !m.Releasable(term) {
			continue
		}
		left := l.Until.Sub(r.clock.Now())
		if left <= 0 {
			return errExpired
		}
		if _, err := r.serving.Command(m.ID, statement.Resume{Term: m.Held}, min(fenceLimit, left)); err != nil {
			return err
		}
		r.log.Info("replica resumed", zap.String("database", m.ID), zap.Uint64("held", m.Held))
	}
	return nil
}
