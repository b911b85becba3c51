package session

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// slotSession returns a session at time 1000 with a request of the workspace "w".
func slotSession(t *testing.T, w *routes.Workspaces, log *zap.Logger) *Session {
	t.Helper()
	var current routes.Current
	require.True(t, current.Accept(&routes.Version{Number: 1, Workspaces: w}))
	s := New(&Dependencies{Clock: clock.NewBoot(), Configuration: &current, Log: log}, 1, nil)
	s.arrived, s.workspace = s.Clock.Now(), "w"
	s.route = &routes.Route{Group: "g", Timeout: 1000, TargetLatency: 100, Priority: 2}
	return s
}

// Deployments without workspaces keep their order of service and their waits.
func TestSlotsWithoutWorkspacesAreGivenAsBefore(t *testing.T) {
	s := slotSession(t, nil, zap.NewNop())
	policy := s.slotPolicy()
	require.Equal(t, backend.ByArrival{}, policy)
	require.Equal(t, s.arrived.Add(25), s.slotUntil(policy, s.arrived.Add(600)))
	require.Equal(t, s.arrived.Add(10), s.slotUntil(policy, s.arrived.Add(10)))
}

// With workspaces, a request waits until its deadline is out of reach, and carries
// what the order of service depends on.
func TestSlotRequestsOfWorkspaces(t *testing.T) {
	w := routes.NewWorkspaces()
	require.NoError(t, w.Add(routes.Workspace{Name: "w", Priority: 3, Rate: 40}, nil))
	s := slotSession(t, w, zap.NewNop())
	policy := s.slotPolicy()
	require.Equal(t, backend.ByShare{}, policy)
	require.Equal(t, s.arrived.Add(600), s.slotUntil(policy, s.arrived.Add(600)))
	until := s.slotUntil(policy, s.arrived.Add(2000))
	require.Equal(t, backend.Request{
		Class: 2, Workspace: "w", WorkspacePriority: 3, Weight: 40,
		Arrived: s.arrived, Target: s.arrived.Add(100), Until: s.arrived.Add(1000), Deadline: s.arrived.Add(1000),
	}, s.slotRequest(until))
	// A hosted session of a process that knows no configuration yet.
	s.Configuration = nil
	require.Equal(t, backend.ByArrival{}, s.slotPolicy())
	require.Equal(t, 1.0, s.slotRequest(until).Weight)
}

// A home must not give a slot to a request that its sender has sent elsewhere
// meanwhile: at overload, each read would run several times.
func TestForwardedRequestWaitsNoLongerThanItsSender(t *testing.T) {
	s := slotSession(t, routes.NewWorkspaces(), zap.NewNop())
	require.Equal(t, clock.Duration(300), s.forwardWithin(300, 3000))
	require.Zero(t, s.forwardWithin(3000, 3000), "the sender waits until the timeout")
	require.Equal(t, clock.Duration(1), s.forwardWithin(-5, 400), "the timeout is longer than what is left")
	s.answerWithin = 300
	until := s.slotUntil(s.slotPolicy(), s.arrived.Add(600))
	require.Equal(t, s.arrived.Add(300), until)
	require.Equal(t, s.arrived.Add(300), s.slotRequest(until).Deadline)
	s.workspace = ""
	require.Zero(t, s.forwardWithin(300, 3000), "deployments without workspaces send what they sent")
}

// recordedWaits counts the waits and refusals.
type recordedWaits struct {
	waits   int
	reasons []backend.Reason
}

func (r *recordedWaits) Waited(int, clock.Duration) { r.waits++ }

func (r *recordedWaits) Refused(_ int, reason backend.Reason) { r.reasons = append(r.reasons, reason) }

// An operator must be able to see why a request got no slot, and a caller when to
// try again.
func TestRefusalOfASlotIsCountedAndLogged(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	s := slotSession(t, nil, zap.New(core))
	waits := &recordedWaits{}
	s.Waits = waits
	p := &backend.Pool{}
	var err error
	granted := 0
	for ; err == nil && granted < 100; granted++ {
		err = s.reserveSlot(p, backend.ByArrival{}, s.Clock.Now())
	}
	var refused *backend.TooManyWaitingError
	require.ErrorAs(t, err, &refused)
	require.Contains(t, err.Error(), "retry after ")
	require.Equal(t, granted-1, waits.waits)
	require.Equal(t, []backend.Reason{backend.WaitEnded}, waits.reasons)
	s.logNoSlot("db", err)
	s.logNoSlot("db", nil)
	require.Equal(t, 1, logs.Len())
	fields := logs.All()[0].ContextMap()
	require.Equal(t, "waitEnded", fields["reason"])
	require.Equal(t, "w", fields["workspace"])
	require.Equal(t, "db", fields["database"])
	require.Contains(t, fields, "retry")
}
