package session

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// countedLimits grants tokens that are soon too old, and counts those put back.
type countedLimits struct {
	Limits
	clock           clock.Clock
	taken, returned int
}

func (l *countedLimits) Take(string, int, bool) (workspace.Granted, error) {
	l.taken++
	now := l.clock.Now()
	return workspace.Granted{Until: now.Add(100), Expires: now.Add(400)}, nil
}

func (l *countedLimits) PutBack(string, workspace.Granted) { l.returned++ }

// An operation that waits for a slot for longer than its token lasts needs another one. The
// first must not count against the workspace's limit as well.
func TestTokenThatIsTooOldIsPutBack(t *testing.T) {
	c := newTickingClock()
	l := &countedLimits{clock: c}
	s := &Session{Dependencies: &Dependencies{Clock: c, Limits: l}, workspace: "shop", route: &routes.Route{}}
	require.True(t, s.takeToken())
	require.True(t, s.takeToken())
	require.Equal(t, 1, l.taken)
	c.now.Add(200)
	require.True(t, s.takeToken())
	require.Equal(t, 2, l.taken)
	require.Equal(t, 1, l.returned)
}
