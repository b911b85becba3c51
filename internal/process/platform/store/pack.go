package store

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/go-faster/errors"
)

// maxUnpackedLength is the maximum length of an unpacked value in bytes, which is
// more than the store accepts.
const maxUnpackedLength = 8 << 20

// LengthError reports a packed value that is longer than a row can be. Both fields
// are in bytes.
type LengthError struct{ Length, Limit int }

func (e *LengthError) Error() string {
	return fmt.Sprintf("packed value has more than %d bytes, expected at most %d", e.Length, e.Limit)
}

// pack compresses a value. Configurations, which are the large values, repeat the
// same words in each route.
func pack(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// unpack returns the value that was packed. It returns a *LengthError if that is
// too long, and another error for bytes that pack has not returned.
func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	value, err := io.ReadAll(io.LimitReader(r, maxUnpackedLength+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack value")
	}
	if len(value) > maxUnpackedLength {
		return nil, &LengthError{Length: maxUnpackedLength, Limit: maxUnpackedLength}
	}
	return value, r.Close()
}
