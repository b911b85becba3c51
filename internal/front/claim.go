package front

import (
	"context"
	"encoding/json"
	"math/rand/v2"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// claim acquires the group's claim. It returns a *claimedError if another proxy may
// still act on its claim, a *store.ConflictError if the row has been written by
// another proxy since, and an *eraError if the store has begun a new era, in which
// the row has no meaning.
func (r *replacement) claim() (group.Lease, error) {
	c := group.Claim{Holder: r.self, Nonce: rand.Uint64() >> 1, Open: true}
	value, err := json.Marshal(c)
	if err != nil {
		return group.Lease{}, err
	}
	askedAt := r.clock.Now()
	r.mu.Lock()
	expected, free := r.agreement.Claimable(askedAt, r.self)
	r.mu.Unlock()
	if !free {
		return group.Lease{}, &claimedError{Group: r.client.Name, Token: group.FencingToken(expected)}
	}
	key := claimKey(r.client.Name, expected.Era)
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Std())
	defer cancel()
	version, err := r.store.CompareAndSwap(ctx, agreementTable, key, value, expected.Number)
	var conflict *store.ConflictError
	switch {
	case err == nil && version.Era != expected.Era:
		return group.Lease{}, &eraError{Key: key, Era: version.Era, Expected: expected.Era}
	case err == nil:
		r.observe(store.Row{Key: key, Value: value, Version: version})
		return group.NewLease(version, askedAt), nil
	case errors.As(err, &conflict):
		if conflict.Current.Number > 0 {
			conflict.Current.Key = key
			r.observe(conflict.Current)
		}
		return group.Lease{}, err
	default:
		return r.resolveClaim(key, expected.Era, c, askedAt, err)
	}
}

// resolveClaim reads the claim after the answer to its write was lost, to find
// out whether the write succeeded. It returns cause if it did not.
func (r *replacement) resolveClaim(key string, era uint64, c group.Claim, askedAt clock.Time, cause error) (group.Lease, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Std())
	defer cancel()
	rows, version, err := r.store.Table(ctx, agreementTable)
	if err != nil {
		return group.Lease{}, errors.Wrap(cause, "outcome of the claim write is unknown")
	}
	if version.Era != era {
		return group.Lease{}, &eraError{Key: key, Era: version.Era, Expected: era}
	}
	for _, row := range rows {
		if row.Key != key {
			continue
		}
		r.observe(row)
		var found group.Claim
		if json.Unmarshal(row.Value, &found) == nil && found.Holder == c.Holder && found.Nonce == c.Nonce {
			return group.NewLease(row.Version, askedAt), nil
		}
	}
	return group.Lease{}, cause
}

// closeClaim closes the claim, so that other proxies may claim at once. If this
// fails, they have to wait until it expires.
func (r *replacement) closeClaim(l group.Lease, result group.Claim) {
	result.Holder, result.Open = r.self, false
	value, err := json.Marshal(result)
	if err != nil {
		r.log.Error("encode claim failed", logs.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Std())
	defer cancel()
	key := claimKey(r.client.Name, l.Version.Era)
	version, err := r.store.CompareAndSwap(ctx, agreementTable, key, value, l.Version.Number)
	if err == nil && version.Era != l.Version.Era {
		err = &eraError{Key: key, Era: version.Era, Expected: l.Version.Era}
	}
	if err != nil {
		r.log.Info("close claim failed", zap.Uint64("token", l.Token), logs.Error(err))
		return
	}
	r.observe(store.Row{Key: key, Value: value, Version: version})
}
