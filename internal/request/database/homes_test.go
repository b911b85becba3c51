package database

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A request tries each home of its zone once before it tries the others, and
// requests begin with different homes.
func TestOrderOfHomes(t *testing.T) {
	h := NewHomes("a")
	require.Empty(t, h.Order())
	h.Set([]Home{{Name: "a1", Zone: "a"}, {Name: "b1", Zone: "b"}, {Name: "a2", Zone: "a"}, {Name: "b2", Zone: "b"}})
	first := make(map[string]int)
	for range 10 {
		order := h.Order()
		require.Len(t, order, 4)
		require.ElementsMatch(t, []string{"a1", "a2"}, []string{order[0].Name, order[1].Name})
		require.ElementsMatch(t, []string{"b1", "b2"}, []string{order[2].Name, order[3].Name})
		first[order[0].Name]++
	}
	require.Equal(t, map[string]int{"a1": 5, "a2": 5}, first)
}
