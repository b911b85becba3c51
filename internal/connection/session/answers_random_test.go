package session

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
)

// repeatingDatabase is a memoryDatabase that sends answers again at random, and fails
// requests at random.
type repeatingDatabase struct {
	*memoryDatabase
	random *rand.Rand
}

func newRepeatingDatabase(seed uint64, failures bool) *repeatingDatabase {
	d := &repeatingDatabase{memoryDatabase: &memoryDatabase{keepOpen: true}, random: rand.New(rand.NewPCG(seed, 41))}
	pending := false
	d.repeat = func(_ statement.Operation, a *statement.Answer) repetition {
		chance := 20
		if a.Failure != nil {
			chance = 2
		}
		if pending || d.random.IntN(chance) > 0 {
			return repetition{}
		}
		pending = true
		skipped := d.random.IntN(2)
		r := repetition{unread: d.random.IntN(3) == 0, slow: d.random.IntN(4) > 0}
		r.before = func(statement.Operation) bool {
			skipped--
			pending = pending && skipped >= 0
			return skipped < 0
		}
		return r
	}
	if failures {
		d.setFail(func(o statement.Operation) *statement.Failure {
			switch o.(type) {
			case statement.Begin, statement.Rollback, statement.Status:
				return nil
			}
			codes := []statement.Code{statement.CodeBusy, statement.CodeFailed}
			if d.random.IntN(5) > 0 {
				return nil
			}
			return &statement.Failure{Code: codes[d.random.IntN(len(codes))], Text: "a"}
		})
	}
	return d
}

// attempt is what a caller was told about a write or a transaction with one.
type attempt struct {
	text     string
	answered *statement.Failure
}

// Whatever answers arrive a second time, callers get their own rows and values, and what
// they are told of their writes holds (MIXED, PINNED, REFUSED, TWICE).
func TestSecondDeliveriesAtRandom(t *testing.T) {
	for _, failures := range []bool{false, true} {
		for seed := range uint64(12) {
			t.Run(fmt.Sprintf("failures %v, seed %d", failures, seed), func(t *testing.T) {
				d := newRepeatingDatabase(seed, failures)
				g := newMemoryGroup(t, d.memoryDatabase)
				// Background requests would change the order of the random numbers.
				g.SetMaxOpen(2)
				playSecondDeliveries(t, d, g, rand.New(rand.NewPCG(seed, 42)))
			})
		}
	}
}

func playSecondDeliveries(t *testing.T, d *repeatingDatabase, g *backend.GroupClient, random *rand.Rand) {
	var sessions []*Session
	for i := range 3 {
		s := newMemorySession(g, uint64(i), []routes.Consistency{routes.BoundedAge, routes.ReadYourWrites, routes.Primary}[i])
		if i > 0 {
			s.setValue(statement.Set{Name: "tag", Text: fmt.Sprint("SET tag ", i)})
		}
		sessions = append(sessions, s)
	}
	var attempts []attempt
	owners := make(map[string]int)
	for i := range 60 {
		number := random.IntN(len(sessions))
		s := sessions[number]
		id, text := fmt.Sprint("q", i), fmt.Sprint("WRITE a ", i)
		owners[id], owners[id+"-read"] = number, number
		switch random.IntN(4) {
		case 0:
			attempts = append(attempts, attempt{text, s.request(id, statement.Write{Text: text})})
		case 1:
			requireServed(t, s, id+"-begin", statement.Begin{})
			f := s.request(id, statement.Write{Text: text})
			if f == nil {
				requireOwnRow(t, s, id+"-read")
				f = s.request(id+"-commit", statement.Commit{})
			} else {
				requireServed(t, s, id+"-end", statement.Rollback{})
			}
			attempts = append(attempts, attempt{text, f})
		default:
			requireOwnRow(t, s, id)
		}
	}
	kept := make(map[string]int)
	for _, text := range d.commits() {
		kept[text]++
	}
	for _, a := range attempts {
		require.LessOrEqual(t, kept[a.text], 1, a.text)
		switch {
		case a.answered == nil:
			require.Equal(t, 1, kept[a.text], a.text)
		case a.answered.Code != statement.CodeInDoubt:
			require.Zero(t, kept[a.text], "%s answered %v", a.text, a.answered)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.ran {
		s := sessions[owners[r.id]]
		require.Len(t, r.values, len(s.values), r.id)
		for _, v := range s.values {
			require.Equal(t, v.Text, r.values[v.Name], r.id)
		}
	}
}
