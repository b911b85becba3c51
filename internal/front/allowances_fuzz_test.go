package front

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/internal/version/freshness"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// No message of another proxy may panic an accountant, or make it grant more than its
// bucket has.
func FuzzGrantQuestions(f *testing.F) {
	f.Add([]byte(`{"asks":[{"workspace":"north","want":5,"unused":1}]}`), []byte(`{"asks":[{"workspace":"north","want":9223372036854775807,"unused":-9223372036854775808}]}`))
	f.Add([]byte(`{"asks":[{"workspace":"north","want":-1,"deputy":true,"usual":-1e308},{"workspace":"north","want":7,"usual":1e308}]}`), []byte(`{}`))
	f.Add([]byte(`{"asks":[{"workspace":"south","want":1},{"workspace":"nobody","want":1,"release":true}],"granted":["north","nobody",""]}`), []byte(`null`))
	f.Add([]byte(`{"asks":null}`), []byte(`{"asks":[{"workspace":"north","want":1e3}]}`))
	limit := workspace.Limit{Rate: 10, Burst: 5}
	w := routes.NewWorkspaces()
	require.NoError(f, w.Add(routes.Workspace{Name: "north", Rate: limit.Rate, Burst: limit.Burst}, []string{"k"}))
	require.NoError(f, w.Add(routes.Workspace{Name: "south"}, nil))
	f.Fuzz(func(t *testing.T, one, two []byte) {
		const rounds, step = 8, 300 * clock.Millisecond
		c := newManualClock()
		var versions routes.Current
		versions.Accept(&routes.Version{Workspaces: w})
		q := workspace.DefaultQuota()
		a := newAllowances("self", q, &versions, c, zap.NewNop())
		a.call = func(string, clock.Duration, grantParams) (grantResult, error) { return grantResult{}, nil }
		a.setMembers([]proxy.Peer{{Name: "self"}}, true)
		granted, unused := 0.0, 0.0
		for i := range rounds {
			data := [][]byte{one, two}[i%2]
			var p grantParams
			if json.Unmarshal(data, &p) == nil {
				for _, ask := range p.Asks {
					unused += math.Max(float64(ask.Unused), 0)
				}
			}
			answer, err := a.handleGrant(data)
			if err == nil {
				for _, g := range answer.(grantResult).Grants {
					require.GreaterOrEqual(t, g.Tokens, 0)
					require.GreaterOrEqual(t, g.RetryMillis, clock.Duration(0))
					if g.Workspace == "north" {
						granted += float64(g.Tokens)
					}
				}
			}
			c.Advance(step)
		}
		// Tokens that are given back are granted again.
		require.LessOrEqual(t, granted, q.Depth(limit)+limit.Rate*(step*rounds).Std().Seconds()+unused)
	})
}

// No answer of an accountant may panic a proxy, or give it tokens that do not expire.
func FuzzGrantAnswers(f *testing.F) {
	f.Add([]byte(`{"grants":[{"workspace":"north","tokens":3,"lifeMillis":300}]}`))
	f.Add([]byte(`{"grants":[{"workspace":"north","tokens":9223372036854775807,"lifeMillis":9223372036854775807,"usual":1e308}]}`))
	f.Add([]byte(`{"grants":[{"workspace":"north","tokens":500,"lifeMillis":60000}]}`))
	f.Add([]byte(`{"grants":[{"workspace":"north","tokens":-1,"lifeMillis":-9223372036854775808,"retryMillis":-9223372036854775808}]}`))
	f.Add([]byte(`{"grants":[{"workspace":"north","holding":true,"moved":"nobody","retryMillis":9223372036854775807}]}`))
	f.Add([]byte(`{"grants":[{"workspace":"other","tokens":1},{"workspace":"north","usual":-1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var result grantResult
		if json.Unmarshal(data, &result) != nil {
			return
		}
		q, now := workspace.DefaultQuota(), clock.Time(1_000_000)
		o := workspace.Operation{Workspace: "north", Limit: workspace.Limit{Rate: 10, Burst: 5}, Since: now}
		a := workspace.NewAllowance("self", q)
		a.SetAccountants([]string{"other"})
		a.Request(now, o)
		messages := a.Next(now, "north")
		require.NotEmpty(t, messages)
		sent := now
		now = now.Add(20)
		a.Answered(now, sent, messages[0], result.Grants)
		tokens := 0
		for _, g := range result.Grants {
			if g.Workspace == "north" && !g.Holding {
				tokens = max(g.Tokens, 0)
			}
		}
		taken := 0
		for ; taken < 100; taken++ {
			if _, ok := a.Request(now, o).(workspace.Granted); !ok {
				break
			}
		}
		require.LessOrEqual(t, taken, tokens)
		_, ok := a.Request(sent.Add(q.Life(o.Limit)), o).(workspace.Granted)
		require.False(t, ok, "a token has not expired")
		_ = a.Next(now.Add(clock.Minute), "north")
	})
}

// Whatever proxies say of the age of their proofs, no proof may become younger than the
// question, count for changes that are not in force, or go back. No answer may understate
// an age.
func FuzzFreshnessMessages(f *testing.F) {
	f.Add([]byte(`{"version":{"era":1,"version":5},"ageMillis":300}`), []byte(`{"version":{"era":1,"version":6},"ageMillis":0}`))
	f.Add([]byte(`{"version":{"era":2,"version":1},"ageMillis":-1}`), []byte(`{"lost":true,"ageMillis":1}`))
	f.Add([]byte(`{"version":{"era":18446744073709551615,"version":18446744073709551615},"ageMillis":9223372036854775807}`), []byte(`{"ageMillis":-9223372036854775808}`))
	f.Add([]byte(`null`), []byte(`{"version":null}`))
	f.Fuzz(func(t *testing.T, one, two []byte) {
		now := clock.Time(1_000_000)
		proof := freshness.NewProof(testLimit, now)
		proof.Apply(store.Changes{Rows: []store.Row{{Key: "config", Version: at(5)}}, Whole: true, Version: at(5)})
		asker := freshness.NewAsker(proof, now, 1)
		asker.SetRole(freshness.Role{Sources: []string{"source"}})
		for _, data := range [][]byte{one, two} {
			now = now.Add(500)
			asker.Next(now)
			before, sent := proof.State(), now
			now = now.Add(100)
			var r freshnessResult
			if json.Unmarshal(data, &r) != nil {
				continue
			}
			asker.HandleAnswer(now, "source", freshness.Answer{Version: r.Version, Age: r.AgeMillis, Lost: r.Lost})
			after := proof.State()
			require.GreaterOrEqual(t, after.At, before.At)
			require.LessOrEqual(t, after.At, sent)
			if r.Lost || r.AgeMillis < 0 || at(5).Before(r.Version) || r.Version.Era < 1 {
				require.Equal(t, before, after)
			}
			var p freshnessParams
			if json.Unmarshal(data, &p) != nil {
				continue
			}
			if answer := answerFreshness(after, now, testLimit, p); !answer.Lost {
				require.Equal(t, now.Sub(after.At), answer.AgeMillis)
				require.LessOrEqual(t, p.Version.Era, answer.Version.Era)
			}
		}
	})
}
