package backend

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Explanations show the candidates and select without chance. They would mislead if reads
// were sent to a database that an explanation calls excluded, or never to the one that it
// names.
func TestExplainedSelectionIsThatOfReads(t *testing.T) {
	g := newTestClient(t, &countingDialer{})
	now := g.clock.Now()
	names := func() map[string]Obstacle {
		m := make(map[string]Obstacle)
		for _, c := range g.Candidates("north") {
			m[c.Member.ID] = c.Obstacle
		}
		return m
	}
	selected := func(exclude ...string) string {
		c, ok := SelectFrom(g.Candidates("north"), exclude)
		chosen := make(map[string]int)
		for range 200 {
			m, p := g.SelectForRead("north", exclude)
			require.Equal(t, ok, p != nil)
			chosen[m.ID]++
		}
		if !ok {
			return ""
		}
		require.Positive(t, chosen[c.Member.ID], "%v", chosen)
		for id := range chosen {
			for _, other := range g.Candidates("north") {
				if other.Member.ID == id {
					require.LessOrEqual(t, other.Cost.Total, c.Cost.Total*(1+CostJitter), id)
				}
			}
		}
		return c.Member.ID
	}
	require.Equal(t, "b", selected(), "b and c are alike, and the primary is kept for writes")
	require.Equal(t, "c", selected("b"))
	g.Pool("b").Latency.MarkLagging(now.Add(clock.Hour))
	require.Equal(t, Lagging, names()["b"])
	require.Equal(t, "c", selected())
	require.Equal(t, "a", selected("c"))
	g.Update(group.Entry{ID: "c", Group: "shop", Zone: "z", Address: "c", Slots: 3, Leaving: true})
	require.Equal(t, map[string]Obstacle{"a": NoObstacle, "b": Lagging, "c": Leaving}, names())
	g.Pool("a").Latency.Avoid(now.Add(clock.Hour))
	require.Equal(t, "a", selected())
	g.Update(group.Entry{ID: "a", Group: "shop", Zone: "z", Address: "a", Slots: 3, Leaving: true})
	require.Equal(t, "b", selected(), "a lagging database is better than none")
	require.Empty(t, selected("a"))
}

// Each read selects a database. The candidates must not cost it more than the figures.
func BenchmarkSelectForRead(b *testing.B) {
	g := newTestClient(b, &countingDialer{})
	b.ReportAllocs()
	for b.Loop() {
		g.SelectForRead("north", nil)
	}
}
