package store

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/process/background"
)

// maxUnpackedLength is the maximum length of an unpacked value in bytes, which is
// more than the store accepts.
const maxUnpackedLength = 8 << 20

// packPiece is the number of bytes that are packed or unpacked between two pauses, which
// takes 0.1 to 0.2 ms.
const packPiece = 16 << 10

// LengthError reports a packed value that is longer than a row can be. Both fields
// are in bytes.
type LengthError struct{ Length, Limit int }

func (e *LengthError) Error() string {
	return fmt.Sprintf("packed value has more than %d bytes, expected at most %d", e.Length, e.Limit)
}

// pack compresses a value. Configurations, which are the large values, repeat the
// same words in each route. It calls pause after each piece.
func pack(value []byte, pause background.Pause) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	for at := 0; at < len(value); {
		n, err := w.Write(value[at:min(at+packPiece, len(value))])
		if err != nil {
			return nil, err
		}
		at += n
		pause(n, at, len(value))
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// unpack returns the value that was packed. It returns a *LengthError if that is
// too long, and another error for bytes that pack has not returned.
//
// It calls pause after each piece.
func unpack(packed []byte, pause background.Pause) ([]byte, error) {
	source := bytes.NewReader(packed)
	r := flate.NewReader(source)
	var value bytes.Buffer
	for {
		n, err := io.CopyN(&value, r, packPiece)
		if value.Len() > maxUnpackedLength {
			return nil, &LengthError{Length: maxUnpackedLength, Limit: maxUnpackedLength}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, errors.Wrap(err, "unpack value")
		}
		// How long the value will be follows from the part of packed that was read.
		read := len(packed) - source.Len()
		pause(int(n), value.Len(), value.Len()*len(packed)/max(read, 1)+1)
	}
	return value.Bytes(), r.Close()
}
