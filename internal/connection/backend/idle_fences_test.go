package backend

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func TestIdleFencesLeadToTheirWords(t *testing.T) {
	for _, f := range []idleFences{frequentFences, rareFences} {
		require.NotEmpty(t, f.list)
		for _, e := range f.list {
			size := len(e.requests)
			state, prepared := statement.Idle, false
			for i, r := range e.requests {
				require.Empty(t, r.ID)
				before := state
				switch o := r.Operation.(type) {
				case statement.Begin:
					require.True(t, o.ReadOnly)
					require.Equal(t, statement.Idle, state)
					state = statement.InTransaction
				case statement.Rollback:
					require.Equal(t, statement.InTransaction, state)
					state = statement.Idle
				case statement.Prepare:
					require.False(t, prepared)
					prepared = true
				case statement.Deallocate:
					require.True(t, prepared)
					prepared = false
				default:
					require.Fail(t, "not a request of a fence", "%T", o)
				}
				require.False(t, prepared && state != before, "a name that is prepared outlives its transaction")
				require.Equal(t, state, e.word.state(size-1-i))
			}
			require.False(t, prepared)
			require.Equal(t, statement.Idle, state)
			require.Equal(t, statement.InTransaction, e.word.state(size-1))
		}
	}
}

// An answer of before shifts the answers of a fence, which its word must show.
func TestShiftedAnswersDoNotFitAFence(t *testing.T) {
	for _, f := range []idleFences{frequentFences, rareFences} {
		for _, e := range f.list {
			size := len(e.requests)
			for shift := 1; shift < size; shift++ {
				fits := true
				for i := range size - shift {
					fits = fits && e.word.state(i) == e.word.state(i+shift)
				}
				require.False(t, fits, "%b shifted by %d", e.word, shift)
			}
		}
	}
}

func TestFenceIsNotAmongRecentAnswers(t *testing.T) {
	for _, f := range []idleFences{frequentFences, rareFences} {
		for seed := range uint64(20) {
			r := rand.New(rand.NewPCG(seed, 1))
			var sequence answerSequence
			var states []statement.State
			for range 500 {
				for range r.IntN(4) {
					state := statement.State(r.IntN(2))
					sequence.states = sequence.states.add(state)
					states = append(states, state)
				}
				chosen := f.choose(sequence.states)
				var word []statement.State
				state := statement.Idle
				for _, q := range chosen {
					switch q.Operation.(type) {
					case statement.Begin:
						state = statement.InTransaction
					case statement.Rollback:
						state = statement.Idle
					}
					word = append(word, state)
				}
				recent := states[max(0, len(states)-f.window):]
				for i := 0; i+len(word) <= len(recent); i++ {
					require.NotEqual(t, word, recent[i:i+len(word)], "seed %d", seed)
				}
				for _, state := range word {
					sequence.states = sequence.states.add(state)
				}
				states = append(states, word...)
			}
		}
	}
}

// statusConn answers each status with the same row.
type statusConn struct{ silentConn }

func (c *statusConn) Unread() (int, error) { return 0, nil }

func (c *statusConn) Exchange(_ clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error) {
	state := statement.Idle
	for i := range requests {
		answers[i].Reset()
		switch requests[i].Operation.(type) {
		case statement.Status:
			answers[i].Rows = append(answers[i].Rows, "ROW primary 1 1.1 0 0 0 1\r\n"...)
		case statement.Begin:
			state = statement.InTransaction
		case statement.Rollback:
			state = statement.Idle
		}
		answers[i].State = state
	}
	return len(requests), nil
}

func TestFenceBehindAStatusAllocatesNothing(t *testing.T) {
	p := NewPool(Target{ID: "a"}, DefaultSettings(), &answeringDialer{}, clock.NewBoot(), zap.NewNop(), func(statement.Answer, clock.Time, error) {})
	t.Cleanup(p.Close)
	c, err := p.Acquire(p.clock.Now().Add(clock.Second), nil)
	require.NoError(t, err)
	c.Conn = &statusConn{}
	x := new(exchange)
	x.requests[0] = statement.Request{Operation: statement.Status{}}
	send := func() { err = c.exchangeStatus(clock.Second, x) }
	for range 3 {
		send()
		require.NoError(t, err)
	}
	require.True(t, c.fencesStatus)
	require.Zero(t, testing.AllocsPerRun(100, send))
	require.NoError(t, err)
	c.Discard()
}
