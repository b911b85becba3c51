package database_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/request/database"
)

func TestRetryBudgetAllowsAFifthOfTheRequests(t *testing.T) {
	b := database.NewRetryBudget()
	for b.TryWithdraw() {
	}
	taken := 0
	for range 1000 {
		b.Deposit()
		for b.TryWithdraw() {
			taken++
		}
	}
	require.Equal(t, 200, taken)
}
