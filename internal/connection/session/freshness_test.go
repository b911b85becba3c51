package session

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/freshness"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const revocationLimit = 5 * clock.Second

// world is a proxy whose process can be frozen at each line of the check: at reading the
// clock, before and after reading the proof.
type world struct {
	now     clock.Time
	current *routes.Current
	proof   *freshness.Proof
	// freezeAt is the line at which freeze is called, once.
	freezeAt, line int
	freeze         func()
	// tick is how far the clock moves with each reading, so that a request that is
	// admitted by mistake gives up its wait for a database.
	tick clock.Duration
}

func (w *world) step() {
	if w.line++; w.line == w.freezeAt {
		w.freeze()
	}
}

// Now implements clock.Clock.
func (w *world) Now() clock.Time {
	w.step()
	now := w.now
	w.now = w.now.Add(w.tick)
	w.step()
	return now
}

// frozenProof is the proof as the session sees it.
type frozenProof struct {
	*freshness.Proof
	world *world
}

// Admits implements Freshness.
func (p frozenProof) Admits(c clock.Time) bool {
	p.world.step()
	defer p.world.step()
	return p.Proof.Admits(c)
}

func newWorld(t *testing.T) (*world, *Session) {
	w := &world{now: 100_000}
	s, current, _ := newKeyedSession(t, "k-north")
	w.current, w.proof = current, freshness.NewProof(revocationLimit, w.now)
	row := store.Row{Key: "config", Version: store.Version{Era: 1, Number: 1}}
	w.proof.Apply(store.Changes{Rows: []store.Row{row}, Whole: true, Version: row.Version})
	s.Clock, s.Freshness = w, frozenProof{w.proof, w}
	return w, s
}

// remove puts a version without the key in force and proves it, as the proxy does once it
// hears of the store again.
func (w *world) remove(t *testing.T) {
	w.current.Accept(version(t, 2, map[string]string{"south": "k-south"}))
	row := store.Row{Key: "config", Version: store.Version{Era: 1, Number: 2}}
	w.proof.Apply(store.Changes{Rows: []store.Row{row}, Version: row.Version})
	w.proof.Prove(w.now, row.Version)
}

// A process that is frozen anywhere between reading a statement and running it, while the
// key is removed, must not admit a statement that the caller has sent more than the limit
// after the removal, whether or not it has heard of the removal meanwhile. Without the
// proof, or with the configuration read first, it would.
func TestFrozenProcessAdmitsNothingAfterTheLimit(t *testing.T) {
	const frozen = 20 * clock.Second
	admitted, refused := 0, 0
	for line := 0; line <= 4; line++ {
		for _, hears := range []bool{false, true} {
			for age := clock.Duration(0); age <= 6000; age += 500 {
				for removedAfter := clock.Duration(1); removedAfter < frozen; removedAfter += 300 {
					w, s := newWorld(t)
					provedAt := w.now
					w.proof.Prove(provedAt, store.Version{Era: 1, Number: 1})
					w.now = w.now.Add(age)
					// The store acknowledges the removal after the proof: otherwise that
					// would not have been given.
					removedAt := provedAt.Add(removedAfter)
					w.freezeAt, w.freeze = line, func() {
						w.now = w.now.Add(frozen)
						if hears {
							w.remove(t)
						}
					}
					sent := w.now
					if line == 0 {
						// The caller sends while the process is frozen.
						w.freeze()
						sent = w.now - 1
					}
					s.arrived = s.Clock.Now()
					_, failure := s.authorize(s.resolve())
					if failure == nil {
						admitted++
						require.LessOrEqual(t, sent, removedAt.Add(revocationLimit), "frozen at line %d, proof %s old, hears %t", line, age, hears)
					} else {
						refused++
					}
				}
			}
		}
	}
	require.Positive(t, admitted)
	require.Positive(t, refused)
}

// The clock is read after the statement has arrived, and the proof before the version:
// these are the orders on which the rule above rests. With the configuration read before
// the proof, a key that was removed while the process was frozen between the two would be
// admitted by the proof that came with the removal.
func TestProofIsReadBeforeTheVersion(t *testing.T) {
	w, s := newWorld(t)
	w.proof.Prove(w.now, store.Version{Era: 1, Number: 1})
	s.arrived = w.now.Add(20 * clock.Second)
	w.now = s.arrived
	// The process is frozen just before it reads the proof, and hears of the removal.
	w.freezeAt, w.freeze = 1, func() { w.remove(t) }
	_, failure := s.authorize(s.resolve())
	require.NotNil(t, failure)
	require.Equal(t, statement.CodeUnauthorized, failure.Code)
}

// A refusal for an old proof promises that nothing has run, says for how long nothing was
// confirmed and when to retry, and is logged with age and version, without the key.
func TestOldProofRefusesStatements(t *testing.T) {
	w, s := newWorld(t)
	logged, _, logs := newKeyedSession(t, "k-north")
	s.Log = logged.Log
	w.proof.Prove(w.now, store.Version{Era: 1, Number: 1})
	w.now = w.now.Add(revocationLimit - freshness.Margin + 1)
	s.arrived = w.now
	require.False(t, s.admit(s.resolve()))
	require.Equal(t, statement.CodeBusy, s.answer.Failure.Code)
	require.Equal(t, "configuration not confirmed for 4901 ms; retry after 1000 ms", s.answer.Failure.Text)
	require.True(t, s.answer.Failure.Code.NotRun())
	require.EqualValues(t, 1, w.proof.Refusals())
	line := logs.FilterMessage("key not judged: configuration not confirmed").All()[0].ContextMap()
	require.EqualValues(t, 1, line["version"])
	require.Equal(t, "4.901s", line["proofAge"])
	require.NotContains(t, fmt.Sprint(line), "k-north")
	w.proof.Prove(w.now, store.Version{Era: 1, Number: 1})
	require.True(t, s.admit(s.resolve()))
}

// Each request in a transaction is judged by itself. BUSY promises that nothing is kept,
// so the transaction must not go on.
func TestOldProofEndsTransactions(t *testing.T) {
	for name, r := range map[string]statement.Request{
		"statement": {Operation: statement.Read{Text: "READ a"}},
		"commit":    {Operation: statement.Commit{}},
	} {
		t.Run(name, func(t *testing.T) {
			w, s := newWorld(t)
			w.tick = 300
			w.proof.Prove(w.now, store.Version{Era: 1, Number: 1})
			s.arrived = w.now
			s.serve(&statement.Request{Operation: statement.Begin{}})
			require.Nil(t, s.answer.Failure)
			w.now = w.now.Add(revocationLimit)
			s.arrived = w.now
			s.serve(&r)
			require.Equal(t, statement.CodeBusy, s.answer.Failure.Code)
			require.Contains(t, s.answer.Failure.Text, "not confirmed")
			w.proof.Prove(w.now, store.Version{Era: 1, Number: 1})
			s.serve(&statement.Request{Operation: statement.Commit{}})
			require.NotNil(t, s.answer.Failure, "the transaction has gone on")
			require.Equal(t, statement.Idle, s.answer.State)
		})
	}
}

// A SET that is sent to the database of an open transaction is a statement as well.
func TestSetInATransactionIsJudged(t *testing.T) {
	w, s := newWorld(t)
	w.proof.Prove(w.now, store.Version{Era: 1, Number: 1})
	s.arrived = w.now
	s.serve(&statement.Request{Operation: statement.Begin{}})
	s.serve(&statement.Request{Operation: statement.Set{Name: "zone", Text: "SET zone west"}})
	require.Nil(t, s.answer.Failure, "it reaches no database yet")
	w.remove(t)
	peers, err := proxy.NewPeers("127.0.0.1:0", nil, s.Log)
	require.NoError(t, err)
	t.Cleanup(peers.Close)
	s.Homes = peer.NewHomes("self", "a", peers, s.Clock)
	s.tx.home, s.tx.begun = "home", true
	s.serve(&statement.Request{Operation: statement.Set{Name: "zone", Text: "SET zone east"}})
	require.Equal(t, statement.CodeUnauthorized, s.answer.Failure.Code)
	require.Equal(t, statement.Failed, s.answer.State)
	require.Equal(t, "SET zone west", s.valueTexts["zone"])
}

// Public routes and configurations without workspaces need no proof.
func TestNoProofIsNeededWithoutKeys(t *testing.T) {
	w, s := newWorld(t)
	w.now = w.now.Add(clock.Minute)
	s.arrived, s.database = w.now, "prices"
	require.True(t, s.admit(s.resolve()))
	require.Nil(t, s.authorizeStart(s.resolve()))
	s.database = "fills"
	none := version(t, 3, nil)
	none.Workspaces = nil
	require.True(t, w.current.Accept(none))
	require.True(t, s.admit(s.resolve()))
	require.Zero(t, w.proof.Refusals())
}

// A newer configuration may hold a key that an unconfirmed one does not: the caller is to
// come again. A key that it holds opens a session.
func TestUnknownKeyWithAnOldProofIsNotUnauthorized(t *testing.T) {
	w, s := newWorld(t)
	w.proof.Prove(w.now, store.Version{Era: 1, Number: 1})
	s.arrived = w.now
	s.key = "k-new"
	require.Equal(t, statement.CodeUnauthorized, s.authorizeStart(s.resolve()).Code)
	w.now = w.now.Add(revocationLimit)
	s.arrived = w.now
	require.Equal(t, statement.CodeBusy, s.authorizeStart(s.resolve()).Code)
	s.key = "k-north"
	require.Nil(t, s.authorizeStart(s.resolve()))
	require.False(t, s.admit(s.resolve()))
}
