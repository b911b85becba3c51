package platform_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/platform"
	standin "github.com/oleanderflow/oleanderflow/internal/standin/platform"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
	version "github.com/oleanderflow/oleanderflow/internal/version/platform"
)

const baseText = `[group.shop1]
customer = shop
connections = %d
[database.shop1.a]
address = 127.0.0.1:5001
zone = a
`

func bundle(connections int) operator.Bundle {
	return operator.Bundle{Base: operator.File{Name: "base.ini", Text: fmt.Sprintf(baseText, connections)}}
}

func change(id string, onto uint64, connections int) version.Change {
	return version.Change{ID: id, Bundle: bundle(connections), Onto: onto, By: "operator " + id}
}

func newHistory(m *standin.Memory) *version.History {
	return version.NewHistory(m, m.Objects(), version.WithSleep(func(context.Context, time.Duration) error { return nil }))
}

func TestApplyOnOutdatedVersionReturnsDifferences(t *testing.T) {
	ctx := context.Background()
	h := newHistory(standin.NewMemory())
	_, err := h.Apply(ctx, change("first", 0, 50))
	require.NoError(t, err)
	_, err = h.Apply(ctx, change("second", 1, 60))
	require.NoError(t, err)
	_, err = h.Apply(ctx, change("third", 1, 70))
	var stale *version.StalePlanError
	require.ErrorAs(t, err, &stale)
	require.Equal(t, uint64(2), stale.Head.Version)
	require.Equal(t, "operator second", stale.By)
	require.Equal(t, []operator.Difference{{File: "base.ini", Section: "group.shop1", Key: "connections", Before: "50", After: "60"}}, stale.Differences)
}

// Each call of Apply to the service fails in turn, before or after it takes
// effect, or stores a truncated object.
func TestApplyRetriesAfterFailureAtEachCall(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultRequestLost, standin.FaultAnswerLost, standin.FaultTruncated} {
		for step := 1; step <= 4; step++ {
			t.Run(fmt.Sprintf("fault %d at call %d", fault, step), func(t *testing.T) {
				ctx := context.Background()
				m := standin.NewMemory()
				h := newHistory(m)
				_, err := h.Apply(ctx, change("first", 0, 50))
				require.NoError(t, err)
				m.SetFault(func(call int) standin.Fault {
					if call == step {
						return fault
					}
					return standin.FaultNone
				})
				head, err := h.Apply(ctx, change("second", 1, 60))
				require.NoError(t, err)
				require.Equal(t, uint64(2), head.Version)
				m.SetFault(func(int) standin.Fault { return standin.FaultNone })
				again, err := h.Apply(ctx, change("second", 1, 60))
				require.NoError(t, err)
				require.Equal(t, head, again, "repeating a change must have no effect")
				accepted, err := h.Bundle(ctx, head)
				require.NoError(t, err)
				require.Equal(t, bundle(60), accepted)
			})
		}
	}
}

// The response to an accepted change was lost, and another change was accepted
// before the first operator repeated it.
func TestRepeatedApplyAfterLaterChangeReturnsItsVersion(t *testing.T) {
	ctx := context.Background()
	m := standin.NewMemory()
	h := newHistory(m)
	_, err := h.Apply(ctx, change("first", 0, 50))
	require.NoError(t, err)
	_, err = h.Apply(ctx, change("second", 1, 60))
	require.NoError(t, err)
	head, err := h.Apply(ctx, change("first", 0, 50))
	require.NoError(t, err)
	require.Equal(t, uint64(1), head.Version)
}

func TestApplyFailsWhileServiceIsUnavailable(t *testing.T) {
	ctx := context.Background()
	m := standin.NewMemory()
	h := newHistory(m)
	_, err := h.Apply(ctx, change("first", 0, 50))
	require.NoError(t, err)
	m.SetFault(func(int) standin.Fault { return standin.FaultRequestLost })
	_, err = h.Apply(ctx, change("second", 1, 60))
	var unavailable *platform.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	m.SetFault(func(int) standin.Fault { return standin.FaultNone })
	head, err := h.Head(ctx)
	require.NoError(t, err)
	require.Equal(t, uint64(1), head.Version)
}

func TestContentRejectsTruncatedObject(t *testing.T) {
	ctx := context.Background()
	m := standin.NewMemory()
	h := newHistory(m)
	head, err := h.Apply(ctx, change("first", 0, 50))
	require.NoError(t, err)
	content, err := h.Content(ctx, head.Hash)
	require.NoError(t, err)
	require.NoError(t, m.Objects().Put(ctx, "declarations/content/"+head.Hash, content[:len(content)/2]))
	_, err = h.Content(ctx, head.Hash)
	var hashErr *operator.HashError
	require.ErrorAs(t, err, &hashErr)
}

func TestRecordsYieldNewestFirst(t *testing.T) {
	ctx := context.Background()
	h := newHistory(standin.NewMemory())
	for n := range 4 {
		_, err := h.Apply(ctx, change(fmt.Sprint("change", n), uint64(n), 50+n))
		require.NoError(t, err)
	}
	head, err := h.Head(ctx)
	require.NoError(t, err)
	var versions []uint64
	for r, err := range h.Records(ctx, head) {
		require.NoError(t, err)
		versions = append(versions, r.Version)
	}
	require.Equal(t, []uint64{4, 3, 2, 1}, versions)
}

func TestApplyRejectsInvalidDeclarations(t *testing.T) {
	h := newHistory(standin.NewMemory())
	c := change("first", 0, 50)
	c.Bundle.Overlays = []operator.File{{Name: "yakima.ini", Text: "[site]\nname = yakima\n[group.shop2]\nconnections = 10\n"}}
	_, err := h.Apply(context.Background(), c)
	var invalid *operator.InvalidError
	require.ErrorAs(t, err, &invalid)
	require.Contains(t, err.Error(), "yakima.ini:3: [group.shop2]")
	require.Contains(t, err.Error(), "did you mean group.shop1?")
}

// An accepted change that is applied again on a later version has run already.
// If its record were stored anew, the history would lead from it to itself.
func TestAcceptedChangeIsNotStoredAgain(t *testing.T) {
	ctx := context.Background()
	h := newHistory(standin.NewMemory())
	first, err := h.Apply(ctx, change("first", 0, 50))
	require.NoError(t, err)
	second, err := h.Apply(ctx, change("second", 1, 60))
	require.NoError(t, err)
	again, err := h.Apply(ctx, change("first", 2, 50))
	require.NoError(t, err)
	require.Equal(t, first, again)
	var versions []uint64
	for r, err := range h.Records(ctx, second) {
		require.NoError(t, err)
		versions = append(versions, r.Version)
		require.LessOrEqual(t, len(versions), 2)
	}
	require.Equal(t, []uint64{2, 1}, versions)
}

// Records that an earlier version of the program has stored in a circle end the
// listing with an error.
func TestCircularRecordsEndWithAnError(t *testing.T) {
	ctx := context.Background()
	m := standin.NewMemory()
	h := newHistory(m)
	_, err := h.Apply(ctx, change("first", 0, 50))
	require.NoError(t, err)
	second, err := h.Apply(ctx, change("second", 1, 60))
	require.NoError(t, err)
	require.NoError(t, m.Objects().Put(ctx, "declarations/records/first", []byte(`{"version":3,"changeId":"first","parent":"second"}`)))
	var last error
	for _, err := range h.Records(ctx, second) {
		last = err
	}
	var order *version.RecordOrderError
	require.ErrorAs(t, last, &order)
	require.Equal(t, version.RecordOrderError{ChangeID: "first", Version: 3, Successor: 2}, *order)
}

// A change was accepted under a version that proxies had in force already.
func TestChangeAfterARestoreIsAboveTheVersionsInForce(t *testing.T) {
	for name, restoreObjects := range map[string]bool{"table only": false, "table and objects": true} {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			m := standin.NewMemory()
			h := newHistory(m)
			first, err := h.Apply(ctx, change("first", 0, 50))
			require.NoError(t, err)
			items, objects := m.Copy()
			for i, id := range []string{"second", "third"} {
				_, err := h.Apply(ctx, change(id, uint64(i+1), 60+i))
				require.NoError(t, err)
			}
			if !restoreObjects {
				objects = nil
			}
			m.Restore(items, objects)
			head, err := h.Head(ctx)
			require.NoError(t, err)
			require.Equal(t, first, head)

			c := change("fourth", 1, 70)
			c.Above = 3
			fourth, err := h.Apply(ctx, c)
			require.NoError(t, err)
			require.Equal(t, uint64(4), fourth.Version)
			again, err := h.Apply(ctx, c)
			require.NoError(t, err)
			require.Equal(t, fourth, again, "a repeat has no effect")

			// A lost change may be repeated under its id.
			third, err := h.Apply(ctx, change("third", 4, 61))
			require.NoError(t, err)
			require.Equal(t, uint64(5), third.Version)
			var versions []uint64
			for r, err := range h.Records(ctx, third) {
				require.NoError(t, err)
				versions = append(versions, r.Version)
			}
			require.Equal(t, []uint64{5, 4, 1}, versions)
			_, err = h.Apply(ctx, change("late", 1, 80))
			var stale *version.StalePlanError
			require.ErrorAs(t, err, &stale)
		})
	}
}

// Each call fails in turn while a change is applied above the versions in force.
func TestApplyAboveRetriesAfterFailureAtEachCall(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultRequestLost, standin.FaultAnswerLost, standin.FaultTruncated} {
		for step := 1; step <= 6; step++ {
			ctx := context.Background()
			m := standin.NewMemory()
			h := newHistory(m)
			_, err := h.Apply(ctx, change("first", 0, 50))
			require.NoError(t, err)
			m.SetFault(func(call int) standin.Fault {
				if call == step {
					return fault
				}
				return standin.FaultNone
			})
			c := change("second", 1, 60)
			c.Above = 9
			head, err := h.Apply(ctx, c)
			require.NoError(t, err, "fault %d at call %d", fault, step)
			require.Equal(t, uint64(10), head.Version)
			m.SetFault(func(int) standin.Fault { return standin.FaultNone })
			stored, err := h.Head(ctx)
			require.NoError(t, err)
			require.Equal(t, head, stored)
		}
	}
}
