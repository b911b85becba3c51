package session

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func isRead(o statement.Operation) bool   { _, ok := o.(statement.Read); return ok }
func isWrite(o statement.Operation) bool  { _, ok := o.(statement.Write); return ok }
func isStatus(o statement.Operation) bool { _, ok := o.(statement.Status); return ok }
func isCommit(o statement.Operation) bool { _, ok := o.(statement.Commit); return ok }
func isReset(o statement.Operation) bool  { _, ok := o.(statement.Reset); return ok }
func isAny(statement.Operation) bool      { return true }

// repeatOnce makes d send the answer to the next operation that matches a second time.
func (d *memoryDatabase) repeatOnce(matches func(statement.Operation) bool, r repetition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.repeat = func(o statement.Operation, _ *statement.Answer) repetition {
		if !matches(o) {
			return repetition{}
		}
		d.repeat = nil
		return r
	}
}

// failOnce makes d fail the next operation that matches.
func (d *memoryDatabase) failOnce(matches func(statement.Operation) bool, code statement.Code) {
	failed := false
	d.setFail(func(o statement.Operation) *statement.Failure {
		if failed || !matches(o) {
			return nil
		}
		failed = true
		return &statement.Failure{Code: code, Text: "a"}
	})
}

// requireOwnRow requires that a read was not answered with the row of another one, and
// reports whether it was served.
func requireOwnRow(t *testing.T, s *Session, id string) bool {
	t.Helper()
	f := s.request(id, statement.Read{Text: "READ a"})
	if f == nil {
		require.Equal(t, "ROW "+id+"\r\n", string(s.answer.Rows))
	}
	return f == nil
}

// A signed answer that arrives twice was taken for that of the next read, and each answer
// after it for that of the one before (MIXED).
func TestSecondDeliveryOfRowsIsNoAnswer(t *testing.T) {
	for name, r := range map[string]repetition{
		"at once": {atOnce: true}, "unread": {before: isAny, unread: true}, "before the next answer": {before: isRead},
		"before the next answer, which is slow": {before: isRead, slow: true},
	} {
		for kind, route := range map[string]routes.Consistency{"bounded": routes.BoundedAge, "primary": routes.Primary} {
			t.Run(name+" on a "+kind+" route", func(t *testing.T) {
				d := &memoryDatabase{}
				g := newMemoryGroup(t, d)
				s := newMemorySession(g, 1, route)
				for i := range 5 {
					d.repeatOnce(isRead, r)
					require.True(t, requireOwnRow(t, s, fmt.Sprint("first-", i)))
					require.True(t, requireOwnRow(t, s, fmt.Sprint("second-", i)))
				}
				require.Equal(t, database.RolePrimary, roleOf(g))
			})
		}
	}
}

func roleOf(g *backend.GroupClient) database.Role { return g.Members()[0].Role }

// A repeated answer does not make a database count as lost, and its other connections not as
// dead.
func TestSecondDeliveryIsNoLossOfTheDatabase(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	first, second := newMemorySession(g, 1, routes.BoundedAge), newMemorySession(g, 2, routes.BoundedAge)
	// Two connections.
	requireServed(t, first, "begin-1", statement.Begin{ReadOnly: true})
	requireServed(t, first, "read-1", statement.Read{Text: "READ a"})
	requireServed(t, second, "begin-2", statement.Begin{ReadOnly: true})
	requireServed(t, second, "read-2", statement.Read{Text: "READ a"})
	requireServed(t, second, "end-2", statement.Rollback{})
	other, err := g.Pool("a").Acquire(second.Clock.Now().Add(clock.Second), nil)
	require.NoError(t, err)
	defer other.Release()
	d.repeatOnce(isRead, repetition{before: isRead})
	requireServed(t, first, "read-3", statement.Read{Text: "READ a"})
	f := first.request("read-4", statement.Read{Text: "READ a"})
	require.NotNil(t, f)
	require.Equal(t, statement.CodeAborted, f.Code)
	require.False(t, g.MayBeDead(other))
	require.Zero(t, g.Members()[0].FailingSince)
}

// A write whose connection has unread bytes has not been sent, and runs once on another
// connection: no reason to leave its caller in doubt.
func TestWriteIsNotSentBehindUnreadBytes(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	s := newMemorySession(g, 1, routes.Primary)
	d.repeatOnce(isWrite, repetition{before: isAny, unread: true})
	requireServed(t, s, "write-1", statement.Write{Text: "WRITE a 1"})
	requireServed(t, s, "write-2", statement.Write{Text: "WRITE a 2"})
	require.Equal(t, []string{"WRITE a 1", "WRITE a 2"}, d.commits())
}

// The answer to a write that ran was a BUSY that had arrived before: the caller was told
// that nothing is kept (REFUSED), or the write ran again (TWICE).
func TestSecondDeliveryOfAFailureIsNoPromise(t *testing.T) {
	for _, code := range []statement.Code{statement.CodeBusy, statement.CodeReadOnly, statement.CodeFailed} {
		for name, r := range map[string]repetition{
			"at once": {atOnce: true}, "unread": {before: isAny, unread: true}, "before the next answer": {before: isWrite},
			"before the next answer, which is slow": {before: isWrite, slow: true},
		} {
			t.Run(code.String()+" "+name, func(t *testing.T) {
				d := &memoryDatabase{}
				g := newMemoryGroup(t, d)
				s := newMemorySession(g, 1, routes.Primary)
				d.failOnce(isWrite, code)
				d.repeatOnce(isWrite, r)
				s.request("write-1", statement.Write{Text: "WRITE a 1"})
				f := s.request("write-2", statement.Write{Text: "WRITE a 2"})
				seen := map[string]int{}
				for _, text := range d.commits() {
					seen[text]++
				}
				require.LessOrEqual(t, seen["WRITE a 1"], 1)
				require.LessOrEqual(t, seen["WRITE a 2"], 1)
				if f == nil {
					require.Equal(t, 1, seen["WRITE a 2"])
				} else if f.Code != statement.CodeInDoubt {
					require.Zero(t, seen["WRITE a 2"], "answered %v", f)
				}
				require.True(t, requireOwnRow(t, s, "read"))
			})
		}
	}
}

// A read that failed with an answer of before left its own answer to the next caller.
func TestReadAfterASecondDeliveryOfAFailureGetsItsOwnRow(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	s := newMemorySession(g, 1, routes.BoundedAge)
	for i := range 4 {
		d.failOnce(isRead, statement.CodeFailed)
		d.repeatOnce(isRead, repetition{before: isRead, slow: true})
		for j := range 4 {
			requireOwnRow(t, s, fmt.Sprint("read-", i, "-", j))
		}
	}
	require.True(t, requireOwnRow(t, s, "last"))
}

// The second answer to an earlier SET or RESET was taken for that to one that failed: the
// next statement ran with the session values of another caller (PINNED).
func TestSecondDeliveryOfAnUnsignedAnswerDoesNotSetTheState(t *testing.T) {
	for name, matches := range map[string]func(statement.Operation) bool{"SET": isSet, "RESET": isReset} {
		for kind, route := range map[string]routes.Consistency{"bounded": routes.BoundedAge, "primary": routes.Primary} {
			t.Run(name+" on a "+kind+" route", func(t *testing.T) {
				d := &memoryDatabase{}
				g := newMemoryGroup(t, d)
				sessions := []*Session{newMemorySession(g, 1, route), newMemorySession(g, 2, route)}
				sessions[0].setValue(statement.Set{Name: "tag", Text: "SET tag first"})
				sessions[1].setValue(statement.Set{Name: "mark", Text: "SET mark second"})
				requireServed(t, sessions[0], "calm-0", statement.Read{Text: "READ a"})
				requireServed(t, sessions[1], "calm-1", statement.Read{Text: "READ a"})
				for i := range 8 {
					d.repeatOnce(matches, repetition{before: matches, slow: true})
					requireOwnRow(t, sessions[0], fmt.Sprint(i, "-0"))
					d.failOnce(matches, statement.CodeFailed)
					requireOwnRow(t, sessions[1], fmt.Sprint(i, "-1"))
					for j, name := range []string{"tag", "mark"} {
						for _, r := range d.runs(fmt.Sprint(i, "-", j)) {
							require.Len(t, r.values, 1)
							require.NotEmpty(t, r.values[name])
						}
					}
				}
			})
		}
	}
}

// A repeated status of a database that has stepped down since was taken for proof that it
// leads (STALE).
func TestSecondDeliveryOfAStatusIsNoProof(t *testing.T) {
	for name, r := range map[string]repetition{"at once": {atOnce: true}, "unread": {before: isAny, unread: true}, "before the next answer": {before: isStatus},
		"before the next answer, which is slow": {before: isStatus, slow: true}} {
		t.Run(name, func(t *testing.T) {
			d := &memoryDatabase{}
			g := newMemoryGroup(t, d)
			d.repeatOnce(isStatus, r)
			_, err := g.Command("a", statement.Status{}, clock.Second)
			if !r.atOnce {
				require.NoError(t, err)
			}
			d.mu.Lock()
			d.replica = true
			d.mu.Unlock()
			if status, err := g.Command("a", statement.Status{}, clock.Second); err == nil {
				require.Equal(t, database.RoleReplica, status.Role)
			}
			status, err := g.Command("a", statement.Status{}, clock.Second)
			require.NoError(t, err)
			require.Equal(t, database.RoleReplica, status.Role)
		})
	}
}

// In a transaction, an answer that arrives twice was taken for that of the next statement.
func TestSecondDeliveryInATransaction(t *testing.T) {
	for name, c := range map[string]struct {
		first, second func(statement.Operation) bool
		code          statement.Code
	}{
		"rows for a read":     {first: isRead, second: isRead},
		"signature of COMMIT": {first: isWrite, second: isCommit},
		"BUSY for a write":    {first: isWrite, second: isWrite, code: statement.CodeBusy},
		"BUSY for COMMIT":     {first: isWrite, second: isCommit, code: statement.CodeBusy},
		"READONLY for COMMIT": {first: isCommit, second: isCommit, code: statement.CodeReadOnly},
	} {
		t.Run(name, func(t *testing.T) {
			d := &memoryDatabase{keepOpen: true}
			g := newMemoryGroup(t, d)
			s := newMemorySession(g, 1, routes.Primary)
			if c.code != 0 {
				d.failOnce(c.first, c.code)
			}
			armed := false
			d.repeatOnce(c.first, repetition{before: func(o statement.Operation) bool { return armed && c.second(o) }, slow: true})
			attempt := func(i int) {
				write := fmt.Sprint("WRITE a ", i)
				promised := false
				request := func(name string, o statement.Operation) *statement.Failure {
					id := fmt.Sprint(name, "-", i)
					f := s.request(id, o)
					if f != nil && f.Code != statement.CodeInDoubt {
						promised = true
					}
					if f == nil && isRead(o) {
						require.Equal(t, "ROW "+id+"\r\n", string(s.answer.Rows))
					}
					return f
				}
				request("begin", statement.Begin{})
				request("read", statement.Read{Text: "READ a"})
				if i == 1 && c.code == 0 {
					armed = true
				}
				request("write", statement.Write{Text: write})
				request("second", statement.Read{Text: "READ a"})
				f := request("commit", statement.Commit{})
				kept := 0
				for _, text := range d.commits() {
					if text == write {
						kept++
					}
				}
				require.LessOrEqual(t, kept, 1)
				if promised {
					require.Zero(t, kept, "transaction %d", i)
				}
				if f == nil {
					require.Equal(t, 1, kept)
				}
				armed = true
			}
			for i := range 4 {
				attempt(i + 1)
			}
			require.True(t, requireOwnRow(t, s, "last"))
		})
	}
}

// Requests of calm days are answered with signatures, which need no fence.
func TestSignedAnswersNeedNoFence(t *testing.T) {
	for name, kind := range map[string]routes.Consistency{"bounded": routes.BoundedAge, "own": routes.ReadYourWrites, "primary": routes.Primary} {
		t.Run(name, func(t *testing.T) {
			d := &memoryDatabase{}
			g := newMemoryGroup(t, d)
			s := newMemorySession(g, 1, kind)
			s.prepare(statement.Prepare{Name: "p", Shape: "READ"})
			for i := range 20 {
				id := fmt.Sprint(i)
				requireServed(t, s, id+"-read", statement.Read{Text: "READ a"})
				requireServed(t, s, id+"-execute", statement.Execute{Name: "p"})
				requireServed(t, s, id+"-write", statement.Write{Text: "WRITE a b"})
				requireServed(t, s, id+"-begin", statement.Begin{})
				requireServed(t, s, id+"-in", statement.Read{Text: "READ a"})
				requireServed(t, s, id+"-commit", statement.Commit{})
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			require.Zero(t, d.strayFences)
		})
	}
}
