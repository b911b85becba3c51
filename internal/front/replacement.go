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
	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/promotion"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// agreementTable has the claims and votes of all proxies.
	agreementTable = "oleanderflow"
	claimPrefix    = "claim/"
	votePrefix     = "vote/"

	// storeTimeout is the timeout of one call to the platform's store.
	storeTimeout = 1200 * clock.Millisecond
	// promoteTimeout is the timeout of one call to the promotion service.
	promoteTimeout = 500 * clock.Millisecond
	// commandTimeout is the timeout of one command to a database.
	commandTimeout = 400 * clock.Millisecond
	// catchUpTimeout is how long a replacement waits for a replica to catch up
	// with a leaving primary, once before and once after it has stepped down.
	catchUpTimeout = 600 * clock.Millisecond
	// stepRetryDelay is the delay before a step of a replacement is retried.
	stepRetryDelay = 40 * clock.Millisecond
	// registryRetryDelay is the delay before the registry is read again if that has failed.
	registryRetryDelay = 100 * clock.Millisecond
	// maxVoteDelay is the upper bound of the random delay before a vote, and
	// before a claim if the primary is unreachable or missing. Due to the
	// delay, usually only two proxies vote, which is enough, and not all.
	maxVoteDelay = 150 * clock.Millisecond
	// voteInterval is the minimum time between two votes of this process.
	voteInterval = 1200 * clock.Millisecond
	// claimRetryDelay is the minimum delay after a replacement attempt. A
	// random jitter of up to the same length is added.
	claimRetryDelay = 300 * clock.Millisecond
)

// replacement replaces the primary of one group when necessary. No other lock
// is taken while its lock is held.
type replacement struct {
	self       string
	client     *backend.GroupClient
	store      store.Store
	promotions promotion.Service
	clock      clock.Clock
	log        *zap.Logger
	earlierClaims
	// readRegistry applies what the registry has at present.
	readRegistry func() error

	mu        sync.Mutex
	agreement *group.Agreement
	// running is set while a claim is made and acted on, in the era runningEra.
	running    bool
	runningEra uint64
	notBefore  clock.Time
	votedAt    clock.Time
	// askedAt is when the other proxies were last asked for earlier claims.
	askedAt clock.Time
}

func newReplacement(f *Front, g *backend.GroupClient) *replacement {
	return &replacement{
		self: f.settings.Name, client: g, store: f.platform.Store, promotions: f.platform.Promotions, clock: f.clock,
		log: f.log.With(zap.String("group", g.Name)), agreement: group.NewAgreement(),
		earlierClaims: newEarlierClaims(f, g.Name), readRegistry: f.readRegistry,
	}
}

// beginEra forgets what rows of earlier eras said. learnedAt is when this process
// first heard of the era.
func (r *replacement) beginEra(era uint64, learnedAt clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agreement.BeginEra(era, learnedAt)
}

// observe records a row of the agreement table that concerns the group.
func (r *replacement) observe(row store.Row) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var err error
	if strings.HasPrefix(row.Key, claimPrefix) {
		err = r.agreement.ObserveClaim(now, row.Value, row.Version)
		if _, free := r.agreement.Claimable(now, r.self); !free {
			// From now on, a commit on the old primary might not be confirmed.
			r.client.MarkPrimaryInDoubt(now)
		}
	} else {
		_, from, _ := strings.Cut(strings.TrimPrefix(row.Key, votePrefix), "/")
		err = r.agreement.ObserveVote(now, from, row.Value, row.Version)
	}
	if err != nil {
		r.log.Warn("invalid claim or vote row", zap.String("key", row.Key), logs.Error(err))
	}
}

// tick starts a replacement or a vote if one is due.
func (r *replacement) tick(now clock.Time) {
	s := r.client.Suspect(now)
	if s.Reason == group.NoReason {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running || now < r.notBefore {
		return
	}
	_, free := r.agreement.Claimable(now, r.self)
	awaits := r.agreement.AwaitsEarlierClaims(now)
	if !free && !awaits {
		return
	}
	if awaits {
		r.askEarlierClaimsLocked(now)
	}
	vote := group.Vote{Primary: s.Primary, Term: r.client.Term()}
	agreed := !s.Reason.NeedsAgreement() || !s.Listed || r.agreement.Agrees(now, r.self, vote)
	switch {
	case agreed && !free:
		// A claim of an earlier era may be in effect.
	case agreed:
		r.running, r.runningEra = true, r.agreement.Era()
		go contain.Run(r.log, "replacement", func() { r.run(s) })
	case now.Sub(r.votedAt) >= voteInterval || r.votedAt == 0:
		r.votedAt = now
		go contain.Run(r.log, "vote", func() { r.vote(s, vote) })
	}
}

// vote publishes the suspicion to the other proxies, unless enough of them
// agree already.
func (r *replacement) vote(s group.Suspicion, v group.Vote) {
	backend.Sleep(clock.Duration(rand.Int64N(int64(maxVoteDelay))))
	now := r.clock.Now()
	r.mu.Lock()
	agreed := r.agreement.Agrees(now, r.self, v)
	r.mu.Unlock()
	if current := r.client.Suspect(now); agreed || current.Reason != s.Reason || current.Primary != s.Primary {
		return
	}
	value, err := json.Marshal(v)
	if err != nil {
		r.log.Error("encode vote failed", logs.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Std())
	defer cancel()
	_, err = r.store.Put(ctx, agreementTable, map[string][]byte{voteKey(r.client.Name, r.self): value})
	r.log.Info("primary suspected", zap.String("primary", v.Primary), zap.Uint64("term", v.Term),
		zap.Stringer("reason", s.Reason), logs.Error(err))
}

// run claims the replacement, carries it out and closes the claim.
func (r *replacement) run(s group.Suspicion) {
	defer func() {
		r.mu.Lock()
		r.running = false
		r.notBefore = r.clock.Now().Add(claimRetryDelay + clock.Duration(rand.Int64N(int64(claimRetryDelay))))
		r.mu.Unlock()
	}()
	if s.Reason.NeedsAgreement() || s.Reason == group.Leaderless {
		backend.Sleep(clock.Duration(rand.Int64N(int64(maxVoteDelay))))
	}
	lease, err := r.claim()
	if err != nil {
		r.log.Info("claim replacement failed", zap.Stringer("reason", s.Reason), logs.Error(err))
		return
	}
	r.log.Info("replacement claimed", zap.Stringer("reason", s.Reason), zap.String("primary", s.Primary),
		zap.Uint64("token", lease.Token))
	result, err := r.replace(s, lease)
	if err != nil {
		r.log.Warn("replacement failed", zap.Uint64("token", lease.Token), logs.Error(err))
	} else {
		r.log.Info("replacement done", zap.Uint64("token", lease.Token),
			zap.String("promoted", result.Promoted), zap.Uint64("term", result.Term))
	}
	r.closeClaim(lease, result)
}

// replace fences the group and promotes the database that has received most of
// the log. If the reason is that replicas are still fenced, it only resumes
// them.
func (r *replacement) replace(s group.Suspicion, l group.Lease) (group.Claim, error) {
	if s.Reason == group.ReplicaFenced {
		return group.Claim{}, r.resumeReplicas(group.AnyTerm, l)
	}
	term := r.client.Term() + 1
	if s.Reason == group.PrimaryLeaving {
		if err := r.handOver(s.Primary, term); err != nil {
			r.log.Info("primary did not step down", zap.String("primary", s.Primary), logs.Error(err))
		}
	}
	promoted, err := r.fenceAndPromote(s.Primary, term, l)
	if promoted == "" {
		if resumeErr := r.resumeReplicas(term, l); resumeErr != nil {
			r.log.Info("resume fenced replicas failed", zap.Uint64("held", term), logs.Error(resumeErr))
		}
		return group.Claim{}, err
	}
	if err != nil {
		return group.Claim{Promoted: promoted, Term: term}, err
	}
	return r.awaitPrimary(promoted, term)
}

// handOver makes a responsive primary step down once a replica has almost
// caught up with it. It then waits until a database that is not leaving has
// received the whole log, but no longer than catchUpTimeout. It returns an
// error if no replica catches up or the primary does not step down.
func (r *replacement) handOver(primary string, term uint64) error {
	if !r.awaitCatchUp(primary, r.clock.Now().Add(catchUpTimeout)) {
		return errors.New("no replica keeps up with the primary")
	}
	status, err := r.client.Command(primary, statement.StepDown{Term: term}, commandTimeout)
	if err != nil {
		return err
	}
	if status.Role != database.RoleReplica {
		return errors.Errorf("the primary did not step down and is in term %d", status.Term)
	}
	until := r.clock.Now().Add(catchUpTimeout)
	for r.clock.Now() < until {
		for _, m := range r.client.Members() {
			if !m.Leaving && m.Received.AtLeast(status.Received) {
				return nil
			}
		}
		r.refreshStatus()
	}
	return nil
}

// maxHandOverLag is how many log entries a replica may lag behind a primary
// that is about to step down.
const maxHandOverLag = 20

// awaitCatchUp waits until a database that is not leaving lags behind the
// primary by no more than maxHandOverLag. It returns false if none does in
// time.
func (r *replacement) awaitCatchUp(primary string, until clock.Time) bool {
	for {
		r.refreshStatus()
		var end uint64
		members := r.client.Members()
		for _, m := range members {
			if m.ID == primary {
				end = m.Received.Offset
			}
		}
		for _, m := range members {
			if m.ID != primary && !m.Leaving && m.LapsedAt == 0 && m.FailingSince == 0 && m.Received.Offset+maxHandOverLag >= end {
				return true
			}
		}
		if r.clock.Now() >= until {
			return false
		}
	}
}

// refreshStatus queries the status of every database and waits for a short
// time.
func (r *replacement) refreshStatus() {
	r.client.RequestAllStatuses()
	backend.Sleep(stepRetryDelay)
}

// fence stops the databases from receiving log entries of the current term, and
// returns the fenced ones once they are enough. A database that starts again is no
// longer fenced, so only answers to the latest commands count. It returns a
// *supersededError if a database has reached the new term, and a *leaseExpiredError if
// too little of the lease is left for a promotion.
func (r *replacement) fence(primary string, term uint64, l group.Lease) (map[string]group.Fence, error) {
	for {
		fences := make(map[string]group.Fence)
		for _, f := range r.sendFences(primary, term) {
			if f.Status.Term >= term {
				return nil, &supersededError{Database: f.ID, Term: f.Status.Term, Planned: term}
			}
			if f.Status.Fenced >= term {
				fences[f.ID] = f
			}
		}
		if r.mayPromote(fenceList(fences)) {
			return fences, nil
		}
		if left := l.Until.Sub(r.clock.Now()); left <= promoteTimeout {
			return nil, &leaseExpiredError{Token: l.Token, Left: left, Needed: promoteTimeout}
		}
		backend.Sleep(stepRetryDelay)
	}
}

// mayPromote reports whether enough databases have been fenced. It reads the registry first: a
// proxy that knows of a database which this process does not may confirm commits without the
// fenced ones.
func (r *replacement) mayPromote(fences []group.Fence) bool {
	if !r.fencesSuffice(fences) {
		return false
	}
	if err := r.readRegistry(); err != nil {
		r.log.Info("registry not read before the promotion", logs.Error(err))
		backend.Sleep(registryRetryDelay)
		return false
	}
	return r.fencesSuffice(fences)
}

func (r *replacement) fencesSuffice(fences []group.Fence) bool {
	if r.client.FencesSuffice(fences) {
		return true
	}
	ids := make([]string, 0, len(fences))
	for _, f := range fences {
		ids = append(ids, f.ID)
	}
	r.log.Info("too few databases fenced", zap.Strings("fenced", ids))
	return false
}

// sendFences sends fence commands in parallel to all databases, and returns the answers.
func (r *replacement) sendFences(primary string, term uint64) []group.Fence {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answers []group.Fence
	for _, m := range r.client.Members() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, err := r.fenceDatabase(m.ID, term, m.ID == primary || m.Role == database.RolePrimary)
			if err != nil {
				r.log.Info("fence command failed", zap.String("database", m.ID), logs.Error(err))
				return
			}
			r.log.Info("fence command answered", zap.String("database", m.ID), zap.Uint64("term", term), zap.Stringer("role", status.Role),
				zap.Stringer("received", status.Received), zap.Uint64("held", status.Fenced))
			mu.Lock()
			answers = append(answers, group.Fence{ID: m.ID, Status: status, Leaving: m.Leaving || m.ID == primary})
			mu.Unlock()
		}()
	}
	wg.Wait()
	return answers
}

// fenceDatabase pauses a database, and makes it step down before if it leads. Only the term
// that it holds proves that it receives nothing: a replica answers the step-down command like a
// primary that has stepped down.
func (r *replacement) fenceDatabase(id string, term uint64, leads bool) (database.Status, error) {
	if !leads {
		status, err := r.client.Command(id, statement.Pause{Term: term}, commandTimeout)
		if err != nil || status.Role != database.RolePrimary || status.Term >= term {
			return status, err
		}
	}
	status, err := r.client.Command(id, statement.StepDown{Term: term}, commandTimeout)
	if err != nil || status.Role == database.RolePrimary {
		return status, err
	}
	return r.client.Command(id, statement.Pause{Term: term}, commandTimeout)
}

func fenceList(fences map[string]group.Fence) []group.Fence {
	list := make([]group.Fence, 0, len(fences))
	for _, f := range fences {
		list = append(list, f)
	}
	return list
}

// fenceAndPromote fences the group and promotes the fenced database that has received
// most of the log. A database that is not running is no longer fenced, so that more may
// have to be fenced before another one is promoted. It returns the database that may have
// been promoted, also with an error, and none if there is none.
func (r *replacement) fenceAndPromote(primary string, term uint64, l group.Lease) (string, error) {
	fences, err := r.fence(primary, term, l)
	if err != nil {
		return "", err
	}
	for {
		successor, ok := group.Successor(fenceList(fences))
		if !ok {
			return "", errors.New("no fenced database can be promoted")
		}
		answered, err := r.promote(successor, primary, term, l)
		switch {
		case err == nil:
			return successor.ID, nil
		case !answered:
			return successor.ID, err
		case !errors.Is(err, promotion.ErrNotRunning):
			return "", err
		}
		delete(fences, successor.ID)
		backend.Sleep(stepRetryDelay)
		if r.fencesSuffice(fenceList(fences)) {
			continue
		}
		if fences, err = r.fence(primary, term, l); err != nil {
			return "", err
		}
	}
}

// promote requests the promotion of a fenced database within the lease. A request without
// an answer may have taken effect, and the new primary may have acknowledged commits since.
// It is therefore repeated for the same database only; to promote another one, the
// databases have to be fenced again. Beside a repeated request they are, too: one that has
// started again receives from the old primary. promote reports whether all its requests
// were answered: if so, an error says that the database was not promoted.
func (r *replacement) promote(successor group.Fence, primary string, term uint64, l group.Lease) (answered bool, err error) {
	var fences sync.WaitGroup
	// A fence that arrives after the claim has ended would hold back the replica.
	defer fences.Wait()
	for answered = true; ; answered = false {
		limit := min(promoteTimeout, l.Until.Sub(r.clock.Now()))
		if limit <= 0 {
			return answered, &leaseExpiredError{Token: l.Token, Left: limit, Needed: promoteTimeout}
		}
		if !answered {
			fences.Wait()
			fences.Go(func() { r.sendFences(primary, term) })
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit.Std())
		err := r.promotions.Promote(ctx, promotion.Request{Group: r.client.Name, Database: successor.ID, Holder: r.self, Token: l.Token})
		cancel()
		r.log.Info("promotion requested", zap.String("database", successor.ID), zap.Uint64("token", l.Token),
			zap.Stringer("received", successor.Status.Received), logs.Error(err))
		if err == nil || errors.Is(err, promotion.ErrNotRunning) {
			return answered, err
		}
		backend.Sleep(stepRetryDelay)
	}
}

// awaitPrimary waits until the promoted database is the primary. It returns an
// error if this takes longer than group.PromotionEffectLimit.
func (r *replacement) awaitPrimary(id string, term uint64) (group.Claim, error) {
	until := r.clock.Now().Add(group.PromotionEffectLimit)
	for r.clock.Now() < until {
		status, err := r.client.Command(id, statement.Status{}, commandTimeout)
		if err == nil && status.Role == database.RolePrimary && status.Term >= term {
			return group.Claim{Promoted: id, Term: status.Term, Led: true}, nil
		}
		backend.Sleep(stepRetryDelay)
	}
	return group.Claim{Promoted: id, Term: term}, errors.Errorf("database %s is not primary after %s", id, group.PromotionEffectLimit)
}

// resumeReplicas lets replicas that are fenced for the term or an earlier one
// receive log entries again. It sends commands only within the lease, since
// another proxy may depend on its own fences afterwards.
func (r *replacement) resumeReplicas(term uint64, l group.Lease) error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failures, expired error
	for _, m := range r.client.Members() {
		if !m.Releasable(term) {
			continue
		}
		remaining := l.Until.Sub(r.clock.Now())
		if remaining <= 0 {
			expired = &leaseExpiredError{Token: l.Token, Left: remaining, Needed: commandTimeout}
			break
		}
		wg.Go(func() {
			_, err := r.client.Command(m.ID, statement.Resume{Term: m.FencedTerm}, min(commandTimeout, remaining))
			if err == nil {
				r.log.Info("replica resumed", zap.String("database", m.ID), zap.Uint64("held", m.FencedTerm))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			failures = errors.Join(failures, errors.Wrapf(err, "database %s", m.ID))
		})
	}
	wg.Wait()
	return errors.Join(failures, expired)
}
