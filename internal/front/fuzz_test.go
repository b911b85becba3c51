package front

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/freshness"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// No settings file may panic the program.
func FuzzLoadSettings(f *testing.F) {
	f.Add([]byte("[instance]\nname = a\navailabilityZone = z\nfirstStart = true\n[listen]\ncallers = 10.0.0.1:1\n"))
	f.Add([]byte("[instance\nname"))
	f.Add([]byte("[drain]\nlimitMilliseconds = -1\n"))
	path := filepath.Join(f.TempDir(), "settings.ini")
	f.Fuzz(func(_ *testing.T, data []byte) {
		if os.WriteFile(path, data, 0o600) == nil {
			_, _ = LoadSettings(path)
		}
	})
}

// No call of a peer, and no row of a table of our own, may panic the process.
func FuzzPeerMessages(f *testing.F) {
	f.Add([]byte(`{"name":"a","zone":"z","address":"10.0.0.1:1"}`))
	f.Add([]byte(`{"table":"t","known":true,"version":3,"bases":{"a":1}}`))
	f.Add([]byte(`{"holder":"a","nonce":1,"open":true,"primary":"b","term":2}`))
	f.Add([]byte(`{"table":"t","known":true,"era":2,"version":3,"sums":{"a":1}}`))
	f.Add([]byte(`{"group":"g","era":2,"number":7}`))
	f.Add([]byte(`{"version":{"era":2,"version":7}}`))
	f.Add([]byte(`{"version":{"era":1,"version":7},"ageMillis":-9223372036854775808}`))
	f.Add([]byte(`{"lost":true}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newRelays(proxy.Peer{Name: "self"}, []string{"t"}, newManualClock(), zap.NewNop())
		_, _ = r.handleFollow(data)
		reg := &registrar{clock: newManualClock(), put: func(map[string][]byte) (store.Version, error) { return at(1), nil }}
		reg.open = &registerBatch{rows: map[string][]byte{}, full: make(chan struct{}), done: make(chan struct{})}
		close(reg.open.done)
		_, _ = reg.handleRegister(data)
		a := group.NewAgreement()
		a.BeginEra(store.FirstEra, 0)
		_ = a.ObserveClaim(1, data, at(1))
		_ = a.ObserveVote(1, "p", data, at(1))
		front := New(Settings{Name: "self"}, Platform{Store: &hangingStore{}}, clock.NewBoot(), zap.NewNop(), NewMetrics())
		front.stopping.Store(true)
		_, _ = front.handleEarlierClaims(data)
		_, _ = front.handleInForce(data)
		keyed := New(Settings{Name: "self", RevocationLimit: testLimit}, Platform{Store: &hangingStore{}}, newManualClock(), zap.NewNop(), NewMetrics())
		for range 2 {
			_, _ = keyed.handleFreshness(data)
			keyed.freshness.proof.Apply(store.Changes{Rows: []store.Row{{Key: "config", Version: at(7)}}, Whole: true, Version: at(9)})
			keyed.freshness.proof.Prove(keyed.clock.Now(), at(9))
		}
		// Nothing that a source says makes a proof younger than its question.
		var result freshnessResult
		if json.Unmarshal(data, &result) == nil {
			asker := freshness.NewAsker(keyed.freshness.proof, keyed.clock.Now(), 1)
			asker.SetRole(freshness.Role{Sources: []string{"source"}})
			asker.Next(keyed.clock.Now() + 500)
			asker.HandleAnswer(keyed.clock.Now()+900, "source", freshness.Answer{Version: result.Version, Age: result.AgeMillis, Lost: result.Lost})
			require.LessOrEqual(t, keyed.freshness.proof.State().At, keyed.clock.Now()+500)
		}
		front.applyAgreement(store.Changes{Rows: []store.Row{{Key: "claim/g", Value: data, Version: at(1)}, {Key: "vote/g/p", Value: data, Version: at(2)}}})
		front.roster.apply(1, store.Changes{Rows: []store.Row{{Key: "a", Value: data, Version: at(1)}}, Whole: true, Version: at(2)})
	})
}
