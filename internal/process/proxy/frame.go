package proxy

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/go-faster/errors"
)

// opening are the first bytes that each side sends on a connection with frames.
// JSON never begins with the first of them, and the last one is the version.
var opening = [4]byte{0, 'o', 'f', 1}

const (
	// A frame begins with its length (uint32, big endian, of what follows), the
	// stream number (uint64) and the kind (uint8). The payload follows.
	frameLengthSize = 4
	frameHeaderSize = frameLengthSize + 8 + 1
	// maxFrameLength is the maximum of the length that a frame states, in bytes.
	maxFrameLength  = 1 << 20
	maxFramePayload = maxFrameLength - (frameHeaderSize - frameLengthSize)
	// readBufferSize is the size of the read buffer of a connection, which holds a
	// dozen frames of a usual size. It grows for larger frames, and is given back
	// above maxIdleBuffer.
	readBufferSize = 4 << 10
	maxIdleBuffer  = 64 << 10
)

// frameKind is the kind of a frame.
type frameKind uint8

// The kinds of frames. Their values are sent on the wire.
const (
	frameRequest frameKind = 1
	frameAnswer  frameKind = 2
	// frameError holds the text of the error that a request ended with.
	frameError frameKind = 3
	// framePart is a part of an answer that is longer than a frame. Other parts
	// follow, and the last one is a frameAnswer.
	framePart frameKind = 4
)

// frame is one decoded frame. Its payload is part of the buffer that it was read
// into.
type frame struct {
	number  uint64
	kind    frameKind
	payload []byte
}

// FrameLengthError reports a frame of an invalid length, or a message that does
// not fit into a frame.
type FrameLengthError struct{ Length int }

func (e *FrameLengthError) Error() string {
	return fmt.Sprintf("invalid length of a frame: %d bytes", e.Length)
}

// isTooLong reports whether err states that a message was not sent because it is too
// long for a frame. A *BrokenError whose cause is a *FrameLengthError does not.
func isTooLong(err error) bool {
	if err == nil {
		return false
	}
	var broken *BrokenError
	var length *FrameLengthError
	return !errors.As(err, &broken) && errors.As(err, &length)
}

// AnswerLengthError reports an answer that is longer than maxAnswerSize. The request has
// run.
type AnswerLengthError struct{ Length int }

func (e *AnswerLengthError) Error() string {
	return fmt.Sprintf("the answer has more than %d bytes: at least %d", maxAnswerSize, e.Length)
}

// FrameKindError reports a frame of a kind that is unknown or goes the other way.
type FrameKindError struct{ Kind uint8 }

func (e *FrameKindError) Error() string { return fmt.Sprintf("unexpected kind of frame: %d", e.Kind) }

// DecodeError reports a message that cannot be decoded. The connection on which it
// arrived is closed.
type DecodeError struct{ Cause error }

func (e *DecodeError) Error() string { return "decode message: " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// putHeader fills in the header of the frame that begins at the start of b and
// extends to its end.
func putHeader(b []byte, number uint64, kind frameKind) {
	binary.BigEndian.PutUint32(b, uint32(len(b)-frameLengthSize))
	binary.BigEndian.PutUint64(b[frameLengthSize:], number)
	b[frameHeaderSize-1] = byte(kind)
}

// decodeFrame decodes the frame at the start of b and returns its size. The size is
// zero if b does not hold the whole frame yet. It returns a *FrameLengthError or a
// *FrameKindError for an invalid frame.
func decodeFrame(b []byte) (frame, int, error) {
	if len(b) < frameLengthSize {
		return frame{}, 0, nil
	}
	length := binary.BigEndian.Uint32(b)
	if length < frameHeaderSize-frameLengthSize || length > maxFrameLength {
		return frame{}, 0, &FrameLengthError{Length: int(length)}
	}
	if len(b) < frameHeaderSize {
		return frame{}, 0, nil
	}
	f := frame{number: binary.BigEndian.Uint64(b[frameLengthSize:]), kind: frameKind(b[frameHeaderSize-1])}
	if f.kind < frameRequest || f.kind > framePart {
		return frame{}, 0, &FrameKindError{Kind: uint8(f.kind)}
	}
	size := frameLengthSize + int(length)
	if len(b) < size {
		return frame{}, 0, nil
	}
	f.payload = b[frameHeaderSize:size:size]
	return f, size, nil
}

// frameReader reads the opening and the frames of a connection.
type frameReader struct {
	source io.Reader
	buffer []byte
	// buffer[start:end] has been read but not returned yet.
	start, end int
}

func newFrameReader(source io.Reader) *frameReader {
	return &frameReader{source: source, buffer: make([]byte, readBufferSize)}
}

var errNotFrames = errors.New("the connection does not begin with the opening of frames")

// readOpening reads the rest of the opening, of which have bytes were read before.
func (r *frameReader) readOpening(have int) error {
	rest := make([]byte, len(opening)-have)
	if _, err := io.ReadFull(r.source, rest); err != nil {
		return err
	}
	if string(rest) != string(opening[have:]) {
		return errNotFrames
	}
	return nil
}

// next returns the next frame, whose payload is valid until the following call.
func (r *frameReader) next() (frame, error) {
	for {
		f, size, err := decodeFrame(r.buffer[r.start:r.end])
		if err != nil {
			return frame{}, err
		}
		if size > 0 {
			r.start += size
			return f, nil
		}
		if err := r.fill(); err != nil {
			return frame{}, err
		}
	}
}

// fill reads at least one byte more. The buffer is grown only once it is full, so
// that a frame occupies no more than twice the memory of what has arrived of it.
func (r *frameReader) fill() error {
	switch {
	case r.start == r.end:
		r.start, r.end = 0, 0
		if len(r.buffer) > maxIdleBuffer {
			r.buffer = make([]byte, readBufferSize)
		}
	case r.end == len(r.buffer):
		grown := r.buffer
		if r.start == 0 {
			grown = make([]byte, 2*len(r.buffer))
		}
		r.end = copy(grown, r.buffer[r.start:r.end])
		r.start, r.buffer = 0, grown
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}
