package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// An explanation that differs from what requests do would send operators to the wrong
// proxy: the view serves where requests are served, and chooses a home that they choose.
func TestViewIsWhereRequestsGo(t *testing.T) {
	zone := "b"
	locals := 0
	for i := range 12 {
		h, w := newPlacedHomes(t, fmt.Sprint("proxy-", i*9), &zone)
		now := h.clock.Now()
		for k, home := range h.Homes("shop") {
			switch k % 4 {
			case 1:
				h.latencyTracker(home.Name).Abandon(now, 100, clock.Hour)
			case 2:
				h.recordUnreachable(home.Name, now.Add(clock.Hour))
			case 3:
				h.recordAnswer("", now.Add(clock.Hour), []string{home.Name})
			}
		}
		for _, name := range []string{"", w.All()[0].Name, w.All()[1].Name, w.All()[2].Name} {
			v := h.View("shop", name)
			require.True(t, v.Known)
			require.Equal(t, h.ServesWorkspace("shop", name), v.Local)
			_, connections := h.ServesLocally("shop")
			require.Equal(t, connections, v.Connections)
			if v.Local {
				locals++
			}
			costs := make(map[string]float64)
			for _, c := range v.Homes {
				if !c.Self && !c.Avoided {
					costs[c.Name] = c.Cost
				}
			}
			require.Contains(t, costs, v.Chosen)
			chosen := make(map[string]int)
			for range 500 {
				home, ok := h.Choose("shop", name, nil)
				require.True(t, ok)
				require.LessOrEqual(t, costs[home], costs[v.Chosen]*(1+CostJitter))
				require.Contains(t, costs, home)
				chosen[home]++
			}
			require.Positive(t, chosen[v.Chosen], "%v", chosen)
		}
	}
	require.Positive(t, locals, "no proxy is a home")
}

// While the connection limit of a group is not known, no proxy serves it, and a view must
// not name homes.
func TestViewOfAnUndeclaredGroup(t *testing.T) {
	zone := ""
	h, _ := newPlacedHomes(t, "proxy-1", &zone)
	v := h.View("other", "w00")
	require.Equal(t, View{Homes: []Candidate{}, Connections: 1}, v)
	require.Len(t, h.assignments, 0)
}
