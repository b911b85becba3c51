package frame

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

func encoded(t *testing.T, messages ...pgproto3.FrontendMessage) []byte {
	t.Helper()
	var out []byte
	for _, m := range messages {
		var err error
		out, err = m.Encode(out)
		require.NoError(t, err)
	}
	return out
}

func TestLengthIsThatOfTheMessageReadLast(t *testing.T) {
	messages := []pgproto3.FrontendMessage{
		&pgproto3.Sync{}, &pgproto3.Query{String: "SELECT 1"}, &pgproto3.Flush{},
		&pgproto3.CopyData{Data: bytes.Repeat([]byte("x"), 100_000)}, &pgproto3.Sync{},
	}
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "x"}}
	sent := encoded(t, append([]pgproto3.FrontendMessage{&pgproto3.SSLRequest{}, startup}, messages...)...)
	for name, source := range map[string]io.Reader{
		"at once": bytes.NewReader(sent), "by byte": iotest.OneByteReader(bytes.NewReader(sent)), "in halves": iotest.HalfReader(bytes.NewReader(sent)),
	} {
		t.Run(name, func(t *testing.T) {
			r := NewStartupReader(source)
			b := pgproto3.NewBackend(r, io.Discard)
			for _, want := range []pgproto3.FrontendMessage{&pgproto3.SSLRequest{}, startup} {
				msg, err := b.ReceiveStartupMessage()
				require.NoError(t, err)
				require.Equal(t, want, msg)
				require.Equal(t, len(encoded(t, want)), r.Length())
			}
			r.EndStartup()
			for _, want := range messages {
				msg, err := b.Receive()
				require.NoError(t, err)
				require.Equal(t, want, msg)
				require.Equal(t, len(encoded(t, want)), r.Length())
			}
			_, err := b.Receive()
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

func TestMessageOfInvalidLengthIsRefused(t *testing.T) {
	for name, header := range map[string][]byte{
		"negative": {'Q', 0xff, 0xff, 0xff, 0xf0}, "below 4": {'Q', 0, 0, 0, 3}, "zero": {'Q', 0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := pgproto3.NewBackend(NewReader(bytes.NewReader(append(header, "rest"...))), io.Discard)
			_, err := b.Receive()
			require.ErrorContains(t, err, "invalid message length")
		})
	}
}
