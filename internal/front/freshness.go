package front

import (
	"context"
	"encoding/json"
	"math/rand/v2"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/freshness"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// methodFreshness is the peer method that asks a proxy for the age of its proof.
	methodFreshness = "freshness"
	// storeProofTimeout is how long the store may take to answer a question. With the
	// interval between two of them it is less than heartbeatWait and heartbeatGrace, so
	// that a relay that waits for one answer is not taken for cut off.
	storeProofTimeout = 800 * clock.Millisecond
	// proverCount is how many proxies ask the store below minProxiesForRoots: with two,
	// one may fail.
	proverCount        = 2
	minProxiesForRoots = 50
	// idleCheckInterval is the time between two checks whether proofs are needed.
	idleCheckInterval = 500 * clock.Millisecond
	// proofRegistryWait replaces directRegistryWait, and directHeartbeatWait as the wait
	// that notices a store that is silent to this proxy alone.
	proofRegistryWait = 5 * clock.Second
)

// freshnessParams asks a proxy for the age of its proof.
type freshnessParams struct {
	// Version is that of the newest row of the configuration table that the asking proxy
	// has in force.
	Version store.Version `json:"version"`
}

// freshnessResult is the answer to freshnessParams.
type freshnessResult struct {
	// Version is that of the newest row that the answering proxy has in force.
	Version store.Version `json:"version"`
	// AgeMillis is the age of its proof, in milliseconds.
	AgeMillis clock.Duration `json:"ageMillis"`
	// Lost is set if it has no proof that would help.
	Lost bool `json:"lost,omitempty"`
}

// freshnessDriver asks for proofs that the configuration in force is the newest. It is
// nil where no revocation limit is set.
type freshnessDriver struct {
	proof *freshness.Proof
	limit clock.Duration
	// applied receives a value after changes of the configuration were applied.
	applied chan struct{}
}

func newFreshnessDriver(limit clock.Duration, now clock.Time) *freshnessDriver {
	if limit == 0 {
		return nil
	}
	return &freshnessDriver{proof: freshness.NewProof(limit, now), limit: limit, applied: make(chan struct{}, 1)}
}

// hasApplied reports whether a row of the configuration table is known to be in force. The
// feed of the table and the questions to the store may bring the same changes.
func (d *freshnessDriver) hasApplied(row store.Row) bool {
	if d == nil {
		return false
	}
	table := d.proof.State().Table
	return row.Era == table.Era && !table.Before(row.Version)
}

// proofsNeeded reports whether statements need proofs: a revocation limit is set, and the
// configuration in force declares workspaces.
func (f *Front) proofsNeeded() bool {
	if f.freshness == nil {
		return false
	}
	v := f.versions.Load()
	return v != nil && v.Workspaces != nil && f.freshness.proof.State().Table.Era != 0
}

// confirmApplied records that changes of the configuration table are in force. If the
// store has sent them, its answer proves that they are the newest as of the time at which
// the call was sent, which may be long ago if it was held open.
func (f *Front) confirmApplied(sent clock.Time, from string, changes store.Changes) {
	d := f.freshness
	if d == nil {
		return
	}
	before := d.proof.State().Newest
	d.proof.Apply(changes)
	if from == "" {
		d.proof.Prove(sent, changes.Version)
	}
	if d.proof.State().Newest == before {
		return
	}
	select {
	case d.applied <- struct{}{}:
	default:
	}
}

// runFreshness asks for proofs while they are needed, until the instance has stopped.
func (f *Front) runFreshness() {
	var asker *freshness.Asker
	for !f.isStopped() {
		if !f.proofsNeeded() {
			asker = nil
			backend.WaitOrTimeout(f.freshness.applied, idleCheckInterval)
			continue
		}
		if asker == nil {
			phase := clock.Duration(1 + rand.Int64N(int64(freshness.AskInterval)))
			asker = freshness.NewAsker(f.freshness.proof, f.clock.Now(), phase)
		}
		err := contain.Call(f.log, "proof of freshness", func() error {
			f.stepFreshness(asker)
			return nil
		})
		if err != nil {
			backend.Sleep(freshness.AskInterval)
		}
	}
}

// stepFreshness does what is due next.
func (f *Front) stepFreshness(asker *freshness.Asker) {
	asker.SetRole(f.relays.proofRole())
	now := f.clock.Now()
	switch action := asker.Next(now).(type) {
	case freshness.AskProxy:
		f.askProxy(asker, action.Name)
	case freshness.AskStore:
		f.askStore(asker, now)
	case freshness.Wait:
		if backend.WaitOrTimeout(f.freshness.applied, action.Until.Sub(now)) {
			asker.Hurry()
		}
	}
}

// askProxy asks another proxy for the age of its proof.
func (f *Front) askProxy(asker *freshness.Asker, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), freshness.AskTimeout.Std())
	defer cancel()
	var result freshnessResult
	params := freshnessParams{Version: f.freshness.proof.State().Newest}
	if err := f.peerConns.Call(ctx, name, methodFreshness, params, &result); err != nil {
		f.log.Debug("proxy has not told the age of its proof", zap.String("name", name), logs.Error(err))
		asker.HandleFailure(f.clock.Now(), name)
		return
	}
	answer := freshness.Answer{Version: result.Version, Age: result.AgeMillis, Lost: result.Lost}
	if outcome := asker.HandleAnswer(f.clock.Now(), name, answer); outcome == freshness.NotInForce {
		f.log.Debug("proof is of a configuration that is not in force yet", zap.String("name", name), zap.Stringer("version", result.Version))
	}
}

// handleFreshness answers the question of another proxy. Any proxy answers that has a
// proof: its age tells what it is worth.
func (f *Front) handleFreshness(params json.RawMessage) (any, error) {
	var p freshnessParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, errors.Wrap(err, "decode question for the age of the proof")
	}
	if f.freshness == nil {
		return freshnessResult{Lost: true}, nil
	}
	// The time is read after the proof, so that the age is not understated.
	state := f.freshness.proof.State()
	return answerFreshness(state, f.clock.Now(), f.freshness.limit, p), nil
}

// answerFreshness returns the answer of a proxy with the given proof.
func answerFreshness(state freshness.State, now clock.Time, limit clock.Duration, p freshnessParams) freshnessResult {
	age := now.Sub(state.At)
	if state.At == 0 || age >= limit || state.Newest.Era < p.Version.Era {
		return freshnessResult{Lost: true}
	}
	return freshnessResult{Version: state.Newest, AgeMillis: age}
}

// askStore asks the store for changes of the configuration without waiting for them, and
// applies them. It does not leave them to the feed of the table: a feed that the store
// holds open may be the one that is not answered, and the proof would not count before.
// The store is spared as by all other calls while it does not respond.
func (f *Front) askStore(asker *freshness.Asker, now clock.Time) {
	if !f.relays.isProver() && asker.SourcesAnswer() && !f.relays.storeAnsweredRecently(now) {
		f.outage.reportByRelays(now)
	}
	if wait, _ := f.outage.reserveAttempt(now); wait > 0 {
		// A call for another table may find that the store responds again.
		asker.SpareStore(now.Add(min(wait, minRetryDelay)))
		return
	}
	if err := f.proveByStore(now); err != nil {
		f.log.Info("configuration not confirmed by the store", zap.Stringer("proofAge", f.freshness.proof.Age(f.clock.Now())), logs.Error(err))
	}
}

// proveByStore makes one call to the store. sent is the time before it.
func (f *Front) proveByStore(sent clock.Time) error {
	table := f.platform.ConfigurationTable
	after := f.freshness.proof.State().Table
	ctx, cancel := context.WithTimeout(context.Background(), storeProofTimeout.Std())
	defer cancel()
	var changes store.Changes
	var err error
	changes.Rows, changes.Version, err = f.platform.Store.Feed(ctx, table, after, probeFeedWait)
	now := f.clock.Now()
	switch {
	case err == nil:
	case errors.Is(err, store.ErrHistoryGone):
		// The feed of the table is told the same, and reads the table as a whole.
		f.outage.recordSuccess()
		f.relays.markStoreAnswered(now)
		return err
	default:
		f.outage.recordFailure(now, false)
		f.relays.markStoreLost()
		return err
	}
	f.outage.recordSuccess()
	f.relays.markStoreAnswered(now)
	f.relays.update(table, changes)
	f.applyVersions(changes)
	f.confirmApplied(sent, "", changes)
	return nil
}

// proofRole returns whom a proxy among these members asks for proofs, given the tiers in
// which they follow the store. Roots ask the store. Below minProxiesForRoots two proxies
// do, and the others ask these: with each of 15 proxies asking the store, its calls would
// be three times as many as without proofs.
func proofRole(self proxy.Peer, members []proxy.Peer, chosen tiers) freshness.Role {
	provers, tiersBelow := chosen.roots, 1
	switch {
	case len(members) >= minProxiesForRoots:
		if len(chosen.relays) > len(chosen.roots) {
			tiersBelow = 2
		}
	case len(provers) > proverCount:
		provers = provers[:proverCount]
	case len(members) > proverCount:
		provers = proxy.ChoosePeers(methodFreshness, members, proverCount)
	default:
		provers, tiersBelow = members, 0
	}
	if proxy.ContainsPeer(provers, self.Name) || len(provers) == 0 {
		others := namesOf(sortByPreference(self, provers), self.Name)
		return freshness.Role{Interval: freshness.StoreInterval(tiersBelow), Sources: others}
	}
	if len(members) >= minProxiesForRoots {
		provers = chosen.sources(self)
	}
	return freshness.Role{Sources: namesOf(sortByPreference(self, provers), self.Name)}
}

// proofFeedWait returns how long the store may hold open a feed while this proxy proves
// its configuration, and false if that changes nothing. The questions of a proxy that asks
// the store notice a store that does not respond, and end the feeds then, so that these
// may be as long as the store allows. That of the registry ends earlier, since each answer
// proves which databases a group has.
func (f *Front) proofFeedWait(table string) (clock.Duration, bool) {
	switch {
	case !f.proofsNeeded():
		return 0, false
	case f.relays.isProver() && table == f.platform.RegistryTable:
		return relayFeedWait, true
	case f.relays.isProver():
		return maxFeedWait, true
	case f.relays.exist():
		return 0, false
	case table == f.platform.RegistryTable:
		return proofRegistryWait, true
	default:
		return maxFeedWait, true
	}
}
