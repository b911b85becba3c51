package routes

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The store lost an accepted version, and its number was given to another one.
func TestNumberGivenOutAgainIsAccepted(t *testing.T) {
	var c Current
	first := &Version{Number: 30, Era: 1}
	require.True(t, c.Accept(first))
	require.False(t, c.Accept(&Version{Number: 30, Era: 1}), "read again")
	require.False(t, c.Accept(&Version{Number: 29, Era: 2}), "callers have seen a later version")
	require.Equal(t, first, c.Load())
	second := &Version{Number: 30, Era: 2}
	require.True(t, c.Accept(second))
	require.False(t, c.Accept(&Version{Number: 30, Era: 1}), "a late answer of the earlier era")
	require.Equal(t, second, c.Load())
	require.True(t, c.Accept(&Version{Number: 31, Era: 1}))
}
