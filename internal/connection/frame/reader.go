// Package frame reads the frames of the PostgreSQL protocol: a type, a length and
// a body.
package frame

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
)

const (
	typeSize   = 1
	lengthSize = 4
	// serverBuffer is the length in which PostgreSQL sends, in bytes.
	serverBuffer = 8 << 10
	// chunkSize is the length of the parts in which a long message is gathered, in
	// bytes.
	chunkSize = 64 << 10
)

// Reader passes the messages of a connection to a decoder. A call of Read returns
// bytes of one message only, so that Length is that of the message which the
// decoder has read last.
//
// A decoder sets memory aside for the length that a message states. One that is
// longer than a chunk is passed on once it has arrived.
type Reader struct {
	source *bufio.Reader
	typed  bool
	// limit is the length of the longest body that is gathered.
	limit int
	// gathered is the part of a long message that has arrived and has not been
	// passed on, and missing the length of the part that has not arrived.
	gathered net.Buffers
	missing  int
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

// SetMaxBodyLen sets the length of the longest body that the decoder accepts. A
// longer one is not waited for, so that the decoder refuses it.
func (r *Reader) SetMaxBodyLen(n int) { r.limit = n }

// EndStartup has the messages after the current one read as messages with a type.
func (r *Reader) EndStartup() { r.typed = true }

// Length returns the length of the current message, with its type and length
// fields.
func (r *Reader) Length() int { return r.length }

// Buffered returns the number of bytes that have been read from the connection and
// not been passed on.
func (r *Reader) Buffered() int {
	n := r.source.Buffered()
	for _, chunk := range r.gathered {
		n += len(chunk)
	}
	return n
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.rest == 0 {
		if err := r.next(); err != nil {
			return 0, err
		}
	}
	if err := r.gather(); err != nil {
		return 0, err
	}
	n, err := r.current().Read(p[:min(len(p), r.rest)])
	r.rest -= n
	if r.gathered != nil && r.rest == 0 {
		r.gathered = nil
		return n, nil
	}
	return n, err
}

// current returns the reader that holds the current message.
func (r *Reader) current() io.Reader {
	if r.gathered != nil {
		return &r.gathered
	}
	return r.source
}

// gather waits for the missing part of a long message.
func (r *Reader) gather() error {
	for r.missing > 0 {
		chunk := make([]byte, min(chunkSize, r.missing))
		n, err := io.ReadFull(r.source, chunk)
		r.missing -= n
		r.gathered = append(r.gathered, chunk[:n])
		if err != nil {
			return err
		}
	}
	return nil
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
	if r.typed && r.length > chunkSize && r.length <= fields+r.limit {
		r.missing = r.length
	}
	return nil
}
