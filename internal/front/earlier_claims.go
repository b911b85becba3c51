package front

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// methodEarlierClaims is the peer method that asks whether a proxy acts on a
	// claim of an earlier era of the store.
	methodEarlierClaims = "earlierClaims"
	// earlierClaimsTimeout is the timeout of that call. The claim that a proxy may
	// have that does not answer is waited out.
	earlierClaimsTimeout = 250 * clock.Millisecond
	// earlierClaimsInterval is the minimum time between two inquiries about a group.
	earlierClaimsInterval = 300 * clock.Millisecond
	// maxAskedProxies is the number of proxies up to which all are asked. In a larger
	// fleet only the homes of a group, which are the ones that claim.
	maxAskedProxies = 64
)

// earlierClaimsParams asks about claims on a group from before an era.
type earlierClaimsParams struct {
	Group string `json:"group"`
	Era   uint64 `json:"era"`
}

// earlierClaimsResult is the answer to earlierClaimsParams.
type earlierClaimsResult struct {
	// Acting is set if the answering proxy acts on such a claim, or may have just
	// been granted one.
	Acting bool `json:"acting"`
}

// earlierClaims asks other proxies whether they act on a claim of an earlier era, so
// that a lost primary need not wait until such claims have ended.
type earlierClaims struct {
	// claimants returns the other proxies that may hold a claim on the group, or an
	// error if they are too many to be asked.
	claimants func() ([]string, error)
	// ask asks one of them. It returns an error if that proxy does not answer.
	ask func(ctx context.Context, name string, era uint64) (earlierClaimsResult, error)
}

// actingError reports that a proxy acts on a claim of an earlier era.
type actingError struct{ Name string }

func (e *actingError) Error() string { return "proxy " + e.Name + " acts on a claim of an earlier era" }

// check returns nil if no other proxy acts on a claim from before an era. A proxy that
// answers so cannot be granted one later: the store says in which era it writes.
func (c *earlierClaims) check(era uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), earlierClaimsTimeout.Std())
	defer cancel()
	names, err := c.claimants()
	if err != nil {
		return err
	}
	failures := make([]error, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() {
			answer, err := c.ask(ctx, name, era)
			switch {
			case err != nil:
				failures[i] = errors.Wrapf(err, "ask proxy %s for claims", name)
			case answer.Acting:
				failures[i] = &actingError{Name: name}
			}
		})
	}
	wg.Wait()
	return errors.Join(failures...)
}

// newEarlierClaims returns the inquiry about claims on a group.
func newEarlierClaims(f *Front, group string) earlierClaims {
	return earlierClaims{
		claimants: func() ([]string, error) { return f.claimants(group) },
		ask: func(ctx context.Context, name string, era uint64) (earlierClaimsResult, error) {
			var answer earlierClaimsResult
			err := f.peerConns.Call(ctx, name, methodEarlierClaims, earlierClaimsParams{Group: group, Era: era}, &answer)
			return answer, err
		},
	}
}

// tooManyError reports that there are too many proxies to ask all of them.
type tooManyError struct{ Proxies, Limit int }

func (e *tooManyError) Error() string {
	return fmt.Sprintf("%d proxies are too many to ask, expected at most %d", e.Proxies, e.Limit)
}

// claimants returns the other proxies that may hold a claim on a group. It returns a
// *tooManyError if that may be any proxy of a large fleet.
func (f *Front) claimants(group string) ([]string, error) {
	asked := f.others()
	if len(asked) > maxAskedProxies {
		homes := namesOf(f.homes.Homes(group), f.self.Name)
		if len(homes) == 0 || len(homes) > maxAskedProxies {
			return nil, &tooManyError{Proxies: len(asked), Limit: maxAskedProxies}
		}
		asked = homes
	}
	return asked, nil
}

// others returns the names of all other live proxies.
func (f *Front) others() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return namesOf(f.roster.live(), f.self.Name)
}

// namesOf returns the names of all proxies but one.
func namesOf(list []proxy.Peer, except string) []string {
	names := make([]string, 0, len(list))
	for _, p := range list {
		if p.Name != except {
			names = append(names, p.Name)
		}
	}
	return names
}

// handleEarlierClaims answers the inquiry of another proxy.
func (f *Front) handleEarlierClaims(params json.RawMessage) (any, error) {
	var p earlierClaimsParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, errors.Wrap(err, "decode question for earlier claims")
	}
	f.mu.Lock()
	g := f.groups[p.Group]
	f.mu.Unlock()
	return earlierClaimsResult{Acting: g != nil && g.replacement.actsBefore(p.Era)}, nil
}

// actsBefore reports whether this proxy acts on a claim from before an era.
func (r *replacement) actsBefore(era uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running && r.runningEra < era
}

// askEarlierClaimsLocked starts an inquiry, at most one in earlierClaimsInterval.
func (r *replacement) askEarlierClaimsLocked(now clock.Time) {
	if r.askedAt != 0 && now.Sub(r.askedAt) < earlierClaimsInterval {
		return
	}
	r.askedAt = now
	era := r.agreement.Era()
	go contain.Run(r.log, "inquiry for earlier claims", func() {
		err := r.earlierClaims.check(era)
		if err == nil && slices.ContainsFunc(r.client.Members(), func(m group.Member) bool { return m.FencedTerm > m.Term }) {
			// Its holder may be a proxy that this one does not know.
			err = errors.New("a database is fenced")
		}
		r.log.Info("proxies asked for claims of earlier eras", zap.Uint64("era", era), logs.Error(err))
		if err == nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.agreement.EndEarlierClaims(era)
		}
	})
}
