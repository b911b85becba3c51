package freshness

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const limit = 5000 * clock.Millisecond

func at(number uint64) store.Version     { return store.Version{Era: store.FirstEra, Number: number} }
func second(number uint64) store.Version { return store.Version{Era: 2, Number: number} }

// whole returns a table with one row.
func whole(table, row store.Version) store.Changes {
	return store.Changes{Rows: []store.Row{{Key: "config", Version: row}}, Whole: true, Version: table}
}

func newProof() *Proof {
	p := NewProof(limit, 1000)
	p.Apply(whole(at(30), at(25)))
	return p
}

// A proxy that was never told anything, or whose proof is too old, would run statements
// for keys that were removed long ago.
func TestOldProofsAdmitNothing(t *testing.T) {
	p := newProof()
	require.False(t, p.Admits(1000))
	require.False(t, p.Proved())
	require.Equal(t, 500*clock.Millisecond, p.Age(1500))
	require.Equal(t, Proved, p.Prove(2000, at(25)))
	require.True(t, p.Admits(2000+clock.Time(limit-Margin)))
	require.False(t, p.Admits(2000+clock.Time(limit-Margin)+1))
	require.True(t, p.Admits(1500), "a statement that arrived before the proof")
	require.Zero(t, p.Age(1500))
}

// An answer that arrives late, after a younger one, must not make the proof older, and a
// proof must not become younger than its question.
func TestProofsNeverGoBack(t *testing.T) {
	p := newProof()
	require.Equal(t, Proved, p.Prove(2000, at(25)))
	require.Equal(t, NotNewer, p.Prove(1900, at(25)))
	require.Equal(t, NotNewer, p.Prove(2000, at(25)))
	require.Equal(t, clock.Time(2000), p.State().At)
}

// A proof of a version that is not in force here says nothing of the one that is: the
// newer version may have removed a key.
func TestProofsOfVersionsNotInForceDoNotCount(t *testing.T) {
	p := NewProof(limit, 1000)
	require.Equal(t, NotInForce, p.Prove(2000, at(25)))
	p.Apply(whole(at(30), at(25)))
	require.Equal(t, NotInForce, p.Prove(2000, at(31)))
	require.False(t, p.Proved())
	p.Apply(store.Changes{Rows: []store.Row{{Key: "config", Version: at(31)}}, Version: at(31)})
	require.Equal(t, Proved, p.Prove(2000, at(31)))
	require.Equal(t, at(31), p.State().Newest)
	p.Apply(store.Changes{Version: at(90)})
	require.Equal(t, State{At: 2000, Table: at(90), Newest: at(31)}, p.State())
	p.Apply(store.Changes{Version: at(40)})
	require.Equal(t, at(90), p.State().Table, "an older answer of another source")
}

// After a restore of the store, a number stands for another configuration. Until the
// table of the new era is in force, no proof of that era counts, and then none of the
// earlier one.
func TestProofsOfAnotherEraDoNotCount(t *testing.T) {
	p := newProof()
	require.Equal(t, Proved, p.Prove(2000, at(25)))
	require.Equal(t, NotInForce, p.Prove(2500, second(20)))
	p.Apply(store.Changes{Rows: []store.Row{{Key: "config", Version: second(21)}}, Version: second(21)})
	require.Equal(t, NotInForce, p.Prove(2500, second(20)), "changes of a new era are not its whole table")
	p.Apply(whole(second(26), second(20)))
	require.Equal(t, State{At: 2000, Table: second(26), Newest: second(20)}, p.State(), "what was proved stays so")
	require.Equal(t, EarlierEra, p.Prove(3000, at(25)))
	p.Apply(store.Changes{Version: at(99)})
	require.Equal(t, second(26), p.State().Table)
	require.Equal(t, NotInForce, p.Prove(2500, second(27)))
	require.Equal(t, Proved, p.Prove(2500, second(26)))
}

// What differs from the era before leaves rows whose versions of the new era are not
// known. A proxy that has an earlier version of that era must not count on them.
func TestVersionOfCarriedRowsIsNotUnderstated(t *testing.T) {
	source, follower := newProof(), newProof()
	base := at(30)
	source.Apply(store.Changes{Base: &base, Version: second(26)})
	require.Equal(t, second(26), source.State().Newest)
	follower.Apply(whole(second(24), second(20)))
	require.Equal(t, NotInForce, follower.Prove(2000, source.State().Newest))
}

// A caller that is told to retry must not be told to wait for longer than it takes, nor
// to retry at once for ever.
func TestRetryTime(t *testing.T) {
	p := newProof()
	require.Equal(t, maxRetryAfter, p.RetryAfter(5000), "no question is scheduled")
	p.Expect(5300)
	require.Equal(t, 300+answerTime, p.RetryAfter(5000))
	require.Equal(t, answerTime-20, p.RetryAfter(5320), "the question is in flight")
	require.Equal(t, maxRetryAfter, p.RetryAfter(5300+clock.Time(answerTime)), "it was not answered")
	p.Expect(9000)
	require.Equal(t, maxRetryAfter, p.RetryAfter(5000))
}

// Statements read the proof while answers arrive.
func TestProofIsSafeForConcurrentUse(t *testing.T) {
	p := newProof()
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 2000 {
				p.Prove(clock.Time(2000+i*4+g), at(25))
				p.Apply(store.Changes{Version: at(uint64(30 + i))})
				before := p.State()
				require.True(t, p.Admits(before.At))
				require.LessOrEqual(t, before.At, p.State().At)
			}
		})
	}
	wg.Wait()
	require.Equal(t, clock.Time(2000+1999*4+3), p.State().At)
	require.Equal(t, at(2029), p.State().Table)
}

// Each statement checks the proof.
func BenchmarkAdmits(b *testing.B) {
	p := newProof()
	p.Prove(2000, at(25))
	b.ReportAllocs()
	for b.Loop() {
		p.Admits(3000)
	}
}
