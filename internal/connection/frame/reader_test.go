package frame

import (
	"bytes"
	"encoding/binary"
	"io"
	"runtime"
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
		&pgproto3.CopyData{Data: bytes.Repeat([]byte("x"), 10_000)}, &pgproto3.Sync{},
		&pgproto3.CopyData{Data: bytes.Repeat([]byte("y"), 200_000)}, &pgproto3.Sync{},
		&pgproto3.CopyData{Data: bytes.Repeat([]byte("z"), 1<<20)}, &pgproto3.Sync{},
	}
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "x"}}
	sent := encoded(t, append([]pgproto3.FrontendMessage{&pgproto3.SSLRequest{}, startup}, messages...)...)
	for name, source := range map[string]io.Reader{
		"at once": bytes.NewReader(sent), "by byte": iotest.OneByteReader(bytes.NewReader(sent)), "in halves": iotest.HalfReader(bytes.NewReader(sent)),
	} {
		t.Run(name, func(t *testing.T) {
			r := NewStartupReader(source)
			r.SetMaxBodyLen(1 << 20)
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

// A read that times out, as one of a connection that is looked at, loses nothing.
func TestLongMessageIsWholeAfterATimeout(t *testing.T) {
	want := &pgproto3.CopyData{Data: bytes.Repeat([]byte("x"), 300_000)}
	sent := encoded(t, want)
	for _, n := range []int{3, 5, 1000, 5000, 70_000, len(sent) - 1} {
		r := NewReader(io.MultiReader(bytes.NewReader(sent[:n]), iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader(sent[n:])))))
		r.SetMaxBodyLen(1 << 20)
		b := pgproto3.NewBackend(r, io.Discard)
		msg, err := b.Receive()
		if n < len(sent)-1 {
			require.ErrorIs(t, err, iotest.ErrTimeout)
			msg, err = b.Receive()
		}
		require.NoError(t, err)
		require.Equal(t, want, msg)
		require.Zero(t, r.Buffered())
	}
}

func TestLengthAloneTakesNoMemory(t *testing.T) {
	for _, length := range []uint32{1 << 20, 60 << 20, 64<<20 + 4} {
		r := NewReader(bytes.NewReader(append(binary.BigEndian.AppendUint32([]byte{'Q'}, length), "SELECT"...)))
		r.SetMaxBodyLen(64 << 20)
		b := pgproto3.NewBackend(r, io.Discard)
		b.SetMaxBodyLen(64 << 20)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := b.Receive()
		runtime.ReadMemStats(&after)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(256<<10), "a length of %d", length)
	}
}

// What is longer than the decoder takes must be refused before it has arrived.
func TestMessageOverTheLimitIsRefusedAtItsLength(t *testing.T) {
	for _, length := range []uint32{64<<20 + 5, 1<<31 - 1} {
		source, sender := io.Pipe()
		defer sender.Close()
		go func() { _, _ = sender.Write(binary.BigEndian.AppendUint32([]byte{'Q'}, length)) }()
		r := NewReader(source)
		r.SetMaxBodyLen(64 << 20)
		b := pgproto3.NewBackend(r, io.Discard)
		b.SetMaxBodyLen(64 << 20)
		_, err := b.Receive()
		var exceeded *pgproto3.ExceededMaxBodyLenErr
		require.ErrorAs(t, err, &exceeded)
	}
}
