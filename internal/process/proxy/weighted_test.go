package proxy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// fleet returns strong and weak proxies in three zones.
func fleet(strong, weak int) []Peer {
	var list []Peer
	for i := range strong + weak {
		p := Peer{Name: fmt.Sprintf("proxy-%d", i), Zone: string(rune('a' + i%3)), Capacity: 0.134}
		if i < strong {
			p.Capacity = 0.8
		}
		list = append(list, p)
	}
	return list
}

// Roles on instances that are too weak for them delay every statement.
func TestStrongInstancesAreChosenFirst(t *testing.T) {
	list := fleet(6, 109)
	weak := 0
	for i := range 100 {
		chosen := ChooseByCapacity(fmt.Sprintf("home/%d", i), list, 6)
		require.Len(t, chosen, 6)
		zones := make(map[string]int)
		for _, p := range chosen {
			zones[p.Zone]++
			if p.Capacity < 0.8 {
				weak++
			}
		}
		require.Equal(t, map[string]int{"a": 2, "b": 2, "c": 2}, zones)
	}
	require.Less(t, weak, 90, "of 600 choices")
}

// Without the strong instances the others carry the roles, evenly.
func TestEqualInstancesShareRoles(t *testing.T) {
	list := fleet(0, 30)
	counts := make(map[string]int)
	for i := range 1000 {
		for _, p := range ChooseByCapacity(fmt.Sprintf("home/%d", i), list, 3) {
			counts[p.Name]++
		}
	}
	require.Len(t, counts, 30)
	for name, n := range counts {
		require.InDelta(t, 100, n, 40, name)
	}
}

// The loss of a proxy moves only its own roles.
func TestLossMovesOnlyOwnRoles(t *testing.T) {
	list := fleet(6, 30)
	for i := range 100 {
		key := fmt.Sprintf("home/%d", i)
		before := ChooseByCapacity(key, list, 3)
		for _, p := range ChooseByCapacity(key, append([]Peer(nil), list[1:]...), 3) {
			if ContainsPeer(before, list[0].Name) {
				break
			}
			require.True(t, ContainsPeer(before, p.Name))
		}
	}
}
