package front

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// newLimitedAllowances returns the allowances of a proxy among others. north may run 10
// operations a second, south has no limit.
func newLimitedAllowances(t *testing.T, c timers, members ...string) *allowances {
	w := routes.NewWorkspaces()
	require.NoError(t, w.Add(routes.Workspace{Name: "north", Rate: 10, Burst: 5}, nil))
	require.NoError(t, w.Add(routes.Workspace{Name: "south"}, nil))
	var versions routes.Current
	versions.Accept(&routes.Version{Workspaces: w})
	a := newAllowances("self", workspace.DefaultQuota(), &versions, c, zap.NewNop())
	a.call = func(string, clock.Duration, grantParams) (grantResult, error) {
		return grantResult{}, errors.New("down")
	}
	list := make([]proxy.Peer, 0, len(members))
	for _, name := range members {
		list = append(list, proxy.Peer{Name: name})
	}
	a.setMembers(list, true)
	return a
}

// A preview must tell what the next operation gets, and must leave what later ones get as it
// is: operators look at a workspace that is at its limit, where each token counts. Seeds 0 to
// 19, 400 operations each, against a twin that is treated alike without previews.
func TestPreviewTakesNoToken(t *testing.T) {
	granted, refused := 0, 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 2))
		c := newManualClock()
		a, twin := newLimitedAllowances(t, c, "self"), newLimitedAllowances(t, c, "self")
		for i := range 400 {
			if r.IntN(3) == 0 {
				c.Advance(clock.Duration(r.IntN(300)))
			}
			priority := r.IntN(3)
			v := a.PreviewLimit("north", priority)
			require.Equal(t, v, a.PreviewLimit("north", priority), "seed %d: a preview has changed the state", seed)
			require.Equal(t, "self", v.Accountant)
			g, err := a.Take("north", priority, false)
			same, sameErr := twin.Take("north", priority, false)
			require.Equal(t, same, g, "seed %d operation %d", seed, i)
			require.Equal(t, sameErr, err, "seed %d operation %d", seed, i)
			if err == nil {
				granted++
				require.Equal(t, workspace.Decision(g), v.Decision, "seed %d operation %d", seed, i)
				continue
			}
			refused++
			var limit *session.LimitError
			require.ErrorAs(t, err, &limit)
			require.Equal(t, workspace.Decision(limit.Refused), v.Decision, "seed %d operation %d", seed, i)
		}
	}
	t.Logf("%d granted, %d refused", granted, refused)
	require.Positive(t, granted)
	require.Positive(t, refused)
}

// A workspace whose accountant is another proxy: the preview must send it nothing, and say
// that its answer is awaited. One without a limit needs no token.
func TestPreviewAsksNobody(t *testing.T) {
	c := newManualClock()
	members := []string{"self"}
	for i := 0; workspace.RankAccountants("north", members)[0] == "self"; i++ {
		members = []string{"self", fmt.Sprint("p", i)}
	}
	a := newLimitedAllowances(t, c, members...)
	a.call = func(string, clock.Duration, grantParams) (grantResult, error) {
		t.Error("a message was sent")
		return grantResult{}, nil
	}
	v := a.PreviewLimit("north", 0)
	require.Equal(t, session.LimitPreview{Decision: workspace.Wait{}, Rate: 10, Burst: 5, Accountant: members[1]}, v)
	require.Zero(t, a.allowance.Len())
	require.IsType(t, workspace.Granted{}, a.PreviewLimit("south", 0).Decision)
	require.Empty(t, a.PreviewLimit("south", 0).Accountant)
	require.Zero(t, a.accountant.Len())
}
