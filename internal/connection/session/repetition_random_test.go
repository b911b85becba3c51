package session

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// playRepeated plays drawn requests of three sessions at a database that repeats drawn
// answers and fails drawn reads, writes and commits.
func playRepeated(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 41))
	d := &memoryDatabase{keepOpen: true}
	g := newMemoryGroup(t, d)
	g.SetMaxOpen(1 + r.IntN(2))
	kinds := []routes.Consistency{routes.BoundedAge, routes.Primary, routes.ReadYourWrites}
	var sessions []*Session
	acknowledged := make([]map[string]string, 3)
	for i := range 3 {
		sessions = append(sessions, newMemorySession(g, uint64(i+1), kinds[r.IntN(3)]))
		sessions[i].prepare(statement.Prepare{Name: "r", Shape: "r"})
		sessions[i].prepare(statement.Prepare{Name: "w", Writes: true, Shape: "w"})
		acknowledged[i] = map[string]string{}
	}
	often := 4 + r.IntN(30)
	slow := r.IntN(2) == 0
	rr := rand.New(rand.NewPCG(seed, 42))
	d.mu.Lock()
	d.repeat = func(o statement.Operation, _ *statement.Answer) repetition {
		if rr.IntN(often) != 0 {
			return repetition{}
		}
		left := 1 + rr.IntN(4)
		return repetition{before: func(statement.Operation) bool { left--; return left <= 0 }, slow: slow, unread: !slow && rr.IntN(2) == 0}
	}
	d.mu.Unlock()
	d.setFail(func(o statement.Operation) *statement.Failure {
		switch o.(type) {
		case statement.Read, statement.Write, statement.Execute, statement.Commit, statement.Status:
			if rr.IntN(12) == 0 {
				return &statement.Failure{Code: statement.CodeBusy, Text: "a"}
			}
		}
		return nil
	})
	n := 0
	check := func(i int, id, begin string) {
		for _, ran := range d.runs(id) {
			require.Equal(t, acknowledged[i], ran.values, "seed %d: %s (PINNED)", seed, id)
			require.Equal(t, begin != "", ran.inTransaction, "seed %d: %s (PINNED)", seed, id)
			if begin != "" {
				require.Equal(t, begin, ran.transaction, "seed %d: %s (PINNED)", seed, id)
			}
		}
	}
	kept := func(text string) int {
		k := 0
		for _, c := range d.commits() {
			if c == text {
				k++
			}
		}
		return k
	}
	judge := func(text string, f *statement.Failure, promised bool) {
		k := kept(text)
		require.LessOrEqual(t, k, 1, "seed %d: %s (TWICE)", seed, text)
		if f == nil {
			require.Equal(t, 1, k, "seed %d: %s (success)", seed, text)
		}
		if promised {
			require.Zero(t, k, "seed %d: %s (REFUSED), %v", seed, text, f)
		}
	}
	promise := func(f *statement.Failure) bool {
		return f != nil && f.Code != statement.CodeInDoubt && f.Code != statement.CodeTimeout && f.Code != statement.CodeFailed
	}
	for range 60 {
		i := r.IntN(3)
		s := sessions[i]
		n++
		id := fmt.Sprint("q", n)
		switch r.IntN(5) {
		case 0, 1:
			var o statement.Operation = statement.Read{Text: "READ a"}
			if r.IntN(2) == 0 {
				o = statement.Execute{Name: "r"}
			}
			if f := s.request(id, o); f == nil {
				require.Equal(t, "ROW "+id+"\r\n", string(s.answer.Rows), "seed %d (MIXED)", seed)
			}
			check(i, id, "")
		case 2:
			text := "WRITE a " + id
			f := s.request(id, statement.Write{Text: text})
			check(i, id, "")
			judge(text, f, promise(f))
		case 3:
			name, text := fmt.Sprint("v", r.IntN(3)), fmt.Sprint("SET v ", n)
			if f := s.request(id, statement.Set{Name: name, Text: text}); f == nil {
				acknowledged[i][name] = text
			}
		case 4:
			text := "WRITE a " + id
			wrote, promised := false, false
			if f := s.request(id, statement.Begin{}); f != nil {
				continue
			}
			var f *statement.Failure
			for j := range 1 + r.IntN(3) {
				step := fmt.Sprint(id, "-", j)
				if r.IntN(2) == 0 && !wrote {
					wrote = true
					f = s.request(step, statement.Write{Text: text})
				} else {
					f = s.request(step, statement.Read{Text: "READ a"})
					if f == nil {
						require.Equal(t, "ROW "+step+"\r\n", string(s.answer.Rows), "seed %d (MIXED)", seed)
					}
				}
				check(i, step, id)
				if f != nil {
					promised = promised || promise(f)
					break
				}
			}
			if f != nil || r.IntN(4) == 0 {
				s.request(id+"-end", statement.Rollback{})
				require.Zero(t, kept(text), "seed %d: %s was rolled back (UNASKED)", seed, text)
				continue
			}
			f = s.request(id+"-end", statement.Commit{})
			if wrote {
				judge(text, f, promised || promise(f))
			}
		}
	}
	d.setFail(nil)
	d.mu.Lock()
	d.repeat = nil
	d.mu.Unlock()
	for _, s := range sessions {
		require.Equal(t, statement.Idle, s.state())
		require.False(t, s.slotReserved)
	}
	require.Eventually(t, func() bool { st := g.Pool("a").Stats(); return st.Open == st.Idle && st.Waiting == 0 }, 2e9, 1e6, "seed %d: %v", seed, g.Pool("a").Stats())
}

// No caller gets a wrong answer where only reads, writes, commits and statuses fail.
func TestRandomRepeatedAnswers(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRepeated(t, seed) })
	}
}

// playReplayed plays writes, reads and fences at a database that, from a drawn answer of each
// connection on, sends every answer a second time, in order.
func playReplayed(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 43))
	rr := rand.New(rand.NewPCG(seed, 44))
	d := &memoryDatabase{keepOpen: true}
	g := newMemoryGroup(t, d)
	g.SetMaxOpen(1)
	s := newMemorySession(g, 1, routes.Primary)
	arrives, repeating, dials := false, false, 0
	d.mu.Lock()
	d.repeat = func(statement.Operation, *statement.Answer) repetition {
		if dials != d.dials {
			dials, repeating = d.dials, false
		}
		repeating = repeating || rr.IntN(6) == 0
		arrives = rr.IntN(4) == 0
		if !repeating {
			return repetition{}
		}
		return repetition{before: func(statement.Operation) bool { return arrives }, slow: true}
	}
	d.mu.Unlock()
	d.setFail(func(o statement.Operation) *statement.Failure {
		if (isRead(o) || isWrite(o)) && rr.IntN(2) == 0 {
			return &statement.Failure{Code: statement.CodeBusy, Text: "a"}
		}
		return nil
	})
	for n := range 40 {
		id := fmt.Sprint("q", n)
		switch r.IntN(6) {
		case 0, 1, 2:
			text := "WRITE a " + id
			f := s.request(id, statement.Write{Text: text})
			kept := 0
			for _, c := range d.commits() {
				if c == text {
					kept++
				}
			}
			require.LessOrEqual(t, kept, 1, "seed %d: %s (TWICE), answered %v", seed, text, f)
			switch {
			case f == nil:
				require.Equal(t, 1, kept, "seed %d: %s (success)", seed, text)
			case f.Code != statement.CodeInDoubt && f.Code != statement.CodeTimeout && f.Code != statement.CodeFailed:
				require.Zero(t, kept, "seed %d: %s (REFUSED), answered %v", seed, text, f)
			}
		case 3:
			if f := s.request(id, statement.Read{Text: "READ a"}); f == nil {
				require.Equal(t, "ROW "+id+"\r\n", string(s.answer.Rows), "seed %d (MIXED)", seed)
			}
		case 4:
			if _, err := g.Command("a", statement.Status{}, clock.Second); err != nil {
				t.Log("status:", err)
			}
		case 5:
			if s.request(id, statement.Begin{ReadOnly: true}) == nil {
				s.request(id+"-read", statement.Read{Text: "READ a"})
				s.request(id+"-end", statement.Rollback{})
			}
		}
	}
}

// A write that ran got an earlier BUSY, and its fence the answers behind that: it ran again (TWICE).
func TestReplayedAnswersDoNotVerify(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playReplayed(t, seed)
		})
	}
}
