package core

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	dbconn "github.com/oleanderflow/oleanderflow/internal/connection/database"
	"github.com/oleanderflow/oleanderflow/internal/standin/database"
)

// newTestPool returns a pool of one connection to the group's primary.
func newTestPool(t *testing.T, d *Dev) *dbconn.Pool {
	t.Helper()
	target := dbconn.Target{Address: d.Group.Primary().Address(), Database: devGroup, User: "test"}
	pool := dbconn.NewPool(target, dbconn.PoolSettings{MaxConnections: 1, MaxQueue: 10})
	t.Cleanup(pool.Close)
	return pool
}

// A repeated answer that arrived in one segment with the right one is in the
// connection's read buffer, where the socket does not show it.
func TestBufferedAnswerReachesNoOtherRequest(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	pool := newTestPool(t, d)
	first, err := pool.Acquire(ctx, dbconn.NoClass)
	require.NoError(t, err)
	d.Group.Primary().SetAnswerFault(database.Repeat(0))
	require.Equal(t, "theirs", firstValue(t, first, "SELECT 'theirs'"))
	d.Group.Primary().SetAnswerFault(nil)
	pool.Release(first)
	second, err := pool.Acquire(ctx, dbconn.NoClass)
	require.NoError(t, err)
	defer pool.Release(second)
	require.Equal(t, "own", firstValue(t, second, "SELECT 'own'"))
}

// A notification between two requests is no answer, and no reason for a new
// connection.
func TestAsynchronousMessagesKeepTheConnection(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	for name, message := range map[string]pgproto3.BackendMessage{
		"notification": &pgproto3.NotificationResponse{PID: 1, Channel: "orders"},
		"notice":       &pgproto3.NoticeResponse{Severity: "WARNING", Message: "not for the next request"},
		"parameter":    &pgproto3.ParameterStatus{Name: "TimeZone", Value: "Asia/Tokyo"},
	} {
		for when, pause := range map[string]time.Duration{"buffered": 0, "in the socket": 50 * time.Millisecond} {
			t.Run(name+" "+when, func(t *testing.T) {
				encoded, err := message.Encode(nil)
				require.NoError(t, err)
				pool := newTestPool(t, d)
				first, err := pool.Acquire(ctx, dbconn.NoClass)
				require.NoError(t, err)
				d.Group.Primary().SetAnswerFault(func(_ pgproto3.FrontendMessage, answer []byte) database.Answer {
					if pause == 0 {
						return database.Answer{First: append(append([]byte(nil), answer...), encoded...)}
					}
					return database.Answer{First: answer, Then: encoded, Pause: pause}
				})
				require.Equal(t, "one", firstValue(t, first, "SELECT 'one'"))
				d.Group.Primary().SetAnswerFault(nil)
				time.Sleep(pause / 2)
				pool.Release(first)
				time.Sleep(pause)
				second, err := pool.Acquire(ctx, dbconn.NoClass)
				require.NoError(t, err)
				require.Same(t, first, second)
				require.Equal(t, "two", firstValue(t, second, "SELECT 'two'"))
				pool.Release(second)
			})
		}
	}
}
