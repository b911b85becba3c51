package platform_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/platform"
	standin "github.com/oleanderflow/oleanderflow/internal/standin/platform"
)

func newPromotions(m *standin.Memory) *platform.Promotions {
	return platform.NewPromotions(m, platform.WithSleep(func(context.Context, time.Duration) error { return nil }))
}

func TestRecordRetriesAfterFailureAtEachCall(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultRequestLost, standin.FaultAnswerLost} {
		for step := 1; step <= 3; step++ {
			t.Run(fmt.Sprintf("fault %d at call %d", fault, step), func(t *testing.T) {
				ctx := context.Background()
				m := standin.NewMemory()
				p := newPromotions(m)
				require.NoError(t, p.Record(ctx, "shop1", platform.Promotion{Term: 1, Primary: "a"}))
				m.SetFault(func(call int) standin.Fault {
					if call == step {
						return fault
					}
					return standin.FaultNone
				})
				require.NoError(t, p.Record(ctx, "shop1", platform.Promotion{Term: 2, Primary: "b"}))
				m.SetFault(func(int) standin.Fault { return standin.FaultNone })
				got, err := p.Get(ctx, "shop1")
				require.NoError(t, err)
				require.Equal(t, platform.Promotion{Term: 2, Primary: "b"}, got)
			})
		}
	}
}

func TestRecordKeepsHigherTerm(t *testing.T) {
	ctx := context.Background()
	p := newPromotions(standin.NewMemory())
	require.NoError(t, p.Record(ctx, "shop1", platform.Promotion{Term: 5, Primary: "c"}))
	require.NoError(t, p.Record(ctx, "shop1", platform.Promotion{Term: 4, Primary: "b"}))
	got, err := p.Get(ctx, "shop1")
	require.NoError(t, err)
	require.Equal(t, uint64(5), got.Term)
}

// A record that was lost with the table's last changes does not keep later ones out.
func TestPromotionIsRecordedAfterALostOne(t *testing.T) {
	ctx := context.Background()
	m := standin.NewMemory()
	p := newPromotions(m)
	require.NoError(t, p.Record(ctx, "shop1", platform.Promotion{Term: 3, Primary: "a"}))
	items, _ := m.Copy()
	require.NoError(t, p.Record(ctx, "shop1", platform.Promotion{Term: 4, Primary: "b"}))
	require.NoError(t, p.Record(ctx, "shop1", platform.Promotion{Term: 5, Primary: "c"}))
	m.Restore(items, nil)
	require.NoError(t, p.Record(ctx, "shop1", platform.Promotion{Term: 5, Primary: "c"}))
	got, err := p.Get(ctx, "shop1")
	require.NoError(t, err)
	require.Equal(t, platform.Promotion{Term: 5, Primary: "c"}, got)
}
