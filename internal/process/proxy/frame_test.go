package proxy

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// encodeFrame returns a whole frame.
func encodeFrame(number uint64, kind frameKind, payload []byte) []byte {
	b := append(make([]byte, frameHeaderSize), payload...)
	putHeader(b, number, kind)
	return b
}

// The layout is that of the design page: builds of different ages speak it with each
// other.
func TestLayoutOfAFrame(t *testing.T) {
	b := encodeFrame(0x0102030405060708, frameAnswer, []byte("xy"))
	require.Equal(t, []byte{0, 0, 0, 11, 1, 2, 3, 4, 5, 6, 7, 8, 2, 'x', 'y'}, b)
	f, size, err := decodeFrame(append(b, "rest"...))
	require.NoError(t, err)
	require.Equal(t, len(b), size)
	require.Equal(t, frame{number: 0x0102030405060708, kind: frameAnswer, payload: []byte("xy")}, f)
	require.Equal(t, [4]byte{0, 'o', 'f', 1}, opening)
}

// A frame that has not arrived whole is waited for, and one with an impossible length
// or kind is an error as soon as its header shows it.
func TestIncompleteAndInvalidFrames(t *testing.T) {
	b := encodeFrame(1, frameRequest, []byte("payload"))
	for n := range b {
		_, size, err := decodeFrame(b[:n])
		require.NoError(t, err, n)
		require.Zero(t, size, n)
	}
	for _, length := range []uint32{0, 8, maxFrameLength + 1, 1<<32 - 1} {
		header := binary.BigEndian.AppendUint32(nil, length)
		_, _, err := decodeFrame(header)
		var invalid *FrameLengthError
		require.ErrorAs(t, err, &invalid)
		require.Equal(t, int(length), invalid.Length)
	}
	for _, kind := range []frameKind{0, 5, 255} {
		_, _, err := decodeFrame(encodeFrame(1, kind, nil)[:frameHeaderSize])
		var invalid *FrameKindError
		require.ErrorAs(t, err, &invalid)
		require.Equal(t, uint8(kind), invalid.Kind)
	}
	_, size, err := decodeFrame(encodeFrame(1, frameRequest, make([]byte, maxFramePayload)))
	require.NoError(t, err)
	require.Equal(t, frameLengthSize+maxFrameLength, size)
}

// Frames pass whole however they are cut into packets, and a large one does not keep
// its memory.
func TestReaderJoinsFrames(t *testing.T) {
	large := bytes.Repeat([]byte("large"), 100_000)
	var sent []byte
	for _, payload := range [][]byte{[]byte("a"), nil, large, []byte("b"), bytes.Repeat([]byte("c"), readBufferSize)} {
		sent = append(sent, encodeFrame(7, frameRequest, payload)...)
	}
	for _, source := range []io.Reader{bytes.NewReader(sent), iotest.OneByteReader(bytes.NewReader(sent)), iotest.HalfReader(bytes.NewReader(sent))} {
		r := newFrameReader(source)
		var got []byte
		for {
			f, err := r.next()
			if err != nil {
				require.ErrorIs(t, err, io.EOF)
				break
			}
			got = append(got, encodeFrame(f.number, f.kind, f.payload)...)
		}
		require.True(t, bytes.Equal(sent, got))
		require.LessOrEqual(t, len(r.buffer), maxIdleBuffer)
	}
}

// A length that is stated but not sent occupies no memory.
func TestStatedLengthAloneAllocatesNothing(t *testing.T) {
	r := newFrameReader(bytes.NewReader(encodeFrame(1, frameRequest, make([]byte, maxFramePayload))[:100]))
	_, err := r.next()
	require.ErrorIs(t, err, io.EOF)
	require.Len(t, r.buffer, readBufferSize)
}

// No bytes of a peer may panic the reader, and what it accepts is what was sent.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("\x00of\x01"), 3)
	f.Add(encodeFrame(1, frameRequest, []byte("payload")), 5)
	f.Add(append(encodeFrame(1, framePart, nil), encodeFrame(1<<63, frameError, []byte("text"))...), 1)
	f.Add(encodeFrame(1, 9, nil), 100)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff}, 2)
	f.Add([]byte{0, 0, 0, 9, 0}, 2)
	f.Fuzz(func(t *testing.T, sent []byte, cut int) {
		cut = min(max(cut, 0), len(sent))
		r := newFrameReader(io.MultiReader(bytes.NewReader(sent[:cut]), bytes.NewReader(sent[cut:])))
		var got []byte
		for {
			next, err := r.next()
			if err != nil {
				break
			}
			got = append(got, encodeFrame(next.number, next.kind, next.payload)...)
		}
		require.True(t, bytes.HasPrefix(sent, got))
	})
}
