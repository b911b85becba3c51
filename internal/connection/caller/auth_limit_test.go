package caller_test

import (
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"github.com/xdg-go/scram"

	"github.com/oleanderflow/oleanderflow/internal/connection/caller"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

// A caller that has not authenticated must not have memory set aside for the length
// that its message claims.
func TestMessageLengthBeforeAuthentication(t *testing.T) {
	for name, length := range map[string][]byte{
		"negative": {0xff, 0xff, 0xff, 0xf0}, "below 4": {0, 0, 0, 3}, "60 MB": {0x03, 0x93, 0x87, 0x00}, "huge": {0x7f, 0xff, 0xff, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := net.Pipe()
			defer client.Close()
			defer server.Close()
			require.NoError(t, client.SetDeadline(time.Now().Add(4*time.Second)))
			a := &caller.Acceptor{
				Auth: caller.SCRAM{Lookup: func(string) (scram.StoredCredentials, error) {
					return scram.StoredCredentials{}, errors.New("unknown user")
				}},
				Timeout: func() clock.Duration { return 2 * clock.Second },
			}
			began := time.Now()
			done := make(chan error, 1)
			go func() {
				_, _, err := a.Accept(server)
				done <- err
			}()
			f := pgproto3.NewFrontend(client, client)
			f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "x", "database": "shop1"}})
			require.NoError(t, f.Flush())
			msg, err := f.Receive()
			require.NoError(t, err)
			require.IsType(t, &pgproto3.AuthenticationSASL{}, msg)
			_, err = client.Write(append([]byte{'p'}, length...))
			require.NoError(t, err)
			msg, err = f.Receive()
			require.NoError(t, err)
			require.IsType(t, &pgproto3.ErrorResponse{}, msg)
			require.Equal(t, outcome.CodeProtocol, msg.(*pgproto3.ErrorResponse).Code)
			require.Contains(t, msg.(*pgproto3.ErrorResponse).Message, "invalid message")
			var protocol *caller.ProtocolError
			require.ErrorAs(t, <-done, &protocol)
			require.Less(t, time.Since(began), time.Second)
		})
	}
}
