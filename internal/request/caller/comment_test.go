package caller_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/request/caller"
)

// PostgreSQL nests comments, and a comment after "--" ends at a carriage return too. A
// statement that a database finds elsewhere than the proxy is taken for another kind: a
// write was sent as a read.
func TestCommentsEndWhereDatabasesEndThem(t *testing.T) {
	for query, want := range map[string]caller.Kind{
		"/* /* */ SELECT 1 */ DELETE FROM t": caller.KindWrite,
		"/*/**/SELECT*/DELETE FROM t":        caller.KindWrite,
		"-- x\rDELETE FROM t -- \nSELECT 1":  caller.KindWrite,
		"-- x\r\nSELECT 1":                   caller.KindRead,
		"/*/ SELECT 1 */ DELETE FROM t":      caller.KindWrite,
		"/* /* */ */ SELECT 1":               caller.KindRead,
		"/* /* */ SELECT 1":                  caller.KindNone,
		"/* a */ /* b */ -- c\nSELECT 1":     caller.KindRead,
		"/**/SELECT 1":                       caller.KindRead,
	} {
		require.Equal(t, want, caller.Classify(query), "%q", query)
	}
}
