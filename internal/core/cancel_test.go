package core

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A cancel request that arrives after its statement has ended must not cancel the
// next statement on the connection, which is another caller's.
func TestLateCancelReachesNoOtherCaller(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	ctx := context.Background()
	d.Group.Primary().SetCancelDelay(400 * time.Millisecond)
	cancelling, other := connect(t, d.Proxies[0], ""), connect(t, d.Proxies[0], "")
	done := make(chan error, 1)
	go func() {
		_, err := cancelling.Exec(ctx, "SELECT pg_sleep(0.2)")
		done <- err
	}()
	awaitInUse(t, d.Proxies[0], 1)
	time.Sleep(50 * time.Millisecond)
	sendCancel(t, d.Proxies[0].Address(), cancelling.PgConn().PID(), cancelling.PgConn().SecretKey())
	require.NoError(t, <-done)
	_, err := other.Exec(ctx, "SELECT pg_sleep(0.6)")
	require.NoError(t, err)
}
