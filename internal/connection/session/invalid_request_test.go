package session

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// A request that no message can hold was in doubt, and its connection was lost. It is
// MALFORMED, and everything else goes on.
func TestRequestThatCannotBeSentIsMalformed(t *testing.T) {
	for kind, route := range map[string]routes.Consistency{"bounded": routes.BoundedAge, "own": routes.ReadYourWrites, "primary": routes.Primary} {
		t.Run(kind, func(t *testing.T) {
			d := &memoryDatabase{invalid: func(r *statement.Request) bool { return strings.HasPrefix(r.ID, "long") }}
			g := newMemoryGroup(t, d)
			s := newMemorySession(g, 1, route)
			s.prepare(statement.Prepare{Name: "p", Shape: "a", Writes: true})
			s.prepare(statement.Prepare{Name: "r", Shape: "a"})
			requireServed(t, s, "first", statement.Write{Text: "WRITE a b"})
			operations := []statement.Operation{statement.Read{Text: "READ a"}, statement.Write{Text: "WRITE a b"}, statement.Execute{Name: "p"}, statement.Execute{Name: "r"}}
			// More requests than the database has slots, so that none may keep its slot.
			for i := range 24 {
				o := operations[i%len(operations)]
				f := s.request("long", o)
				require.NotNil(t, f)
				require.Equal(t, statement.CodeMalformed, f.Code)
				require.Contains(t, f.Text, "longer than 1 MiB")
				require.Equal(t, statement.Idle, s.answer.State)
			}
			// What was to go ahead of a request that was not sent has not run either.
			requireServed(t, s, "execute", statement.Execute{Name: "p"})
			requireServed(t, s, "execute", statement.Execute{Name: "r"})
			require.Len(t, d.runs("execute"), 2)

			requireServed(t, s, "begin", statement.Begin{})
			requireServed(t, s, "in", statement.Write{Text: "WRITE a lost"})
			f := s.request("long", statement.Read{Text: "READ a"})
			require.NotNil(t, f)
			require.Equal(t, statement.CodeMalformed, f.Code)
			require.Equal(t, statement.Failed, s.answer.State)
			f = s.request("end", statement.Commit{})
			require.NotNil(t, f)
			require.Equal(t, statement.CodeAborted, f.Code)
			requireServed(t, s, "last", statement.Write{Text: "WRITE a c"})

			require.Empty(t, d.runs("long"))
			require.Equal(t, []string{"WRITE a b", "WRITE a c"}, d.commits())
			d.mu.Lock()
			defer d.mu.Unlock()
			require.Zero(t, d.closes, "a connection was lost")
		})
	}
}

// A shape that fits into the caller's message but not beside the name under which databases
// know it made each EXECUTE wait for its timeout.
func TestShapeThatCannotBePreparedIsMalformed(t *testing.T) {
	d := &memoryDatabase{}
	s := newMemorySession(newMemoryGroup(t, d), 1, routes.Primary)
	requireServed(t, s, "p1", statement.Prepare{Name: "p", Shape: strings.Repeat("x", maxShapeSize)})
	f := s.request("p2", statement.Prepare{Name: "p", Shape: strings.Repeat("x", maxShapeSize+1)})
	require.NotNil(t, f)
	require.Equal(t, statement.CodeMalformed, f.Code)
	requireServed(t, s, "e", statement.Execute{Name: "p"})
}

// malformedCaller sends a message that cannot be understood, as its first one or after a
// request.
type malformedCaller struct {
	scriptedCaller
	startup bool
}

func (c *malformedCaller) ReadStartup(limit clock.Duration) (Startup, error) {
	if c.startup {
		return Startup{}, &MessageError{Cause: errors.New("longer than 1 MiB")}
	}
	return c.scriptedCaller.ReadStartup(limit)
}

func (c *malformedCaller) Next(idle clock.Duration) (statement.Request, error) {
	if len(c.requests) > 0 {
		return c.scriptedCaller.Next(idle)
	}
	return statement.Request{}, &MessageError{Cause: errors.New("longer than 1 MiB")}
}

// A caller whose message was not understood got a close without an answer.
func TestMessageThatIsNotUnderstoodIsAnswered(t *testing.T) {
	for _, startup := range []bool{false, true} {
		c := &malformedCaller{startup: startup}
		c.requests = []statement.Request{{ID: "-", Operation: statement.Unknown{Reason: "the id is not allowed"}}, {ID: "q", Operation: statement.Unknown{}}}
		s := newMemorySession(newMemoryGroup(t, &memoryDatabase{}), 1, routes.Primary)
		s.caller = c
		s.Run()
		require.NotNil(t, c.refusal)
		require.Equal(t, &statement.Failure{Code: statement.CodeMalformed, Text: "longer than 1 MiB"}, c.refusal)
		if !startup {
			require.Equal(t, []string{"malformed: the id is not allowed", "malformed: the request is not understood"}, c.answers)
		}
	}
}
