// Package frame reads the frames of the PostgreSQL protocol: a type, a length and
// a body.
package frame

import (
	"bufio"
	"encoding/binary"
	"io"
)

const (
	typeSize   = 1
	lengthSize = 4
	// serverBuffer is the length in which PostgreSQL sends, in bytes.
	serverBuffer = 8 << 10
)

// Reader passes the messages of a connection to a decoder. A call of Read returns
// bytes of one message only, so that Length is that of the message which the
// decoder has read last.
type Reader struct {
	source *bufio.Reader
	typed  bool
	// length is the length of the current message, and rest that of the part that
	// has not been read.
	length, rest int
}

// NewReader returns a reader of the messages that a server sends, all of which
// have a type.
func NewReader(r io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(r, serverBuffer), typed: true}
}

// NewStartupReader returns a reader of the messages that a client sends. Those
// before EndStartup have no type.
func NewStartupReader(r io.Reader) *Reader { return &Reader{source: bufio.NewReader(r)} }

// EndStartup has the messages after the current one read as messages with a type.
func (r *Reader) EndStartup() { r.typed = true }

// Length returns the length of the current message, with its type and length
// fields.
func (r *Reader) Length() int { return r.length }

// Buffered returns the number of bytes that have been read from the connection and
// not been passed on.
func (r *Reader) Buffered() int { return r.source.Buffered() }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.rest == 0 {
		if err := r.next(); err != nil {
			return 0, err
		}
	}
	n, err := r.source.Read(p[:min(len(p), r.rest)])
	r.rest -= n
	return n, err
}

// next begins the next message. One of an invalid length ends after the length,
// which the decoder refuses.
func (r *Reader) next() error {
	fields := lengthSize
	if r.typed {
		fields += typeSize
	}
	header, err := r.source.Peek(fields)
	if err != nil {
		return err
	}
	length := int(int32(binary.BigEndian.Uint32(header[fields-lengthSize:])))
	r.length = max(length, lengthSize) + fields - lengthSize
	r.rest = r.length
	return nil
}
