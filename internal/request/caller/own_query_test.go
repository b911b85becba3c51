package caller

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/connection/database"
)

func TestStatusNeedsARow(t *testing.T) {
	refused := &pgproto3.ErrorResponse{Severity: "ERROR", Code: "57014", Message: "cancelled"}
	for name, c := range map[string]*database.Conn{
		"no row":     answering(t, complete("SHOW"), ready('I')),
		"ready only": answering(t, ready('I')),
		"error":      answering(t, refused, ready('I')),
	} {
		_, err := c.QueryStatus(database.StatusStatement)
		require.Error(t, err, name)
	}
}

func TestOwnQueryNeedsAnAnswer(t *testing.T) {
	for name, c := range map[string]*database.Conn{
		"ready only":     answering(t, ready('I')),
		"unknown status": answering(t, complete("COMMIT"), ready('x')),
	} {
		_, err := runSimpleQuery(c, "COMMIT")
		require.Error(t, err, name)
		require.True(t, c.StateUnknown, name)
	}
}
