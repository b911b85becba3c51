package database

import (
	"crypto/tls"
	"encoding/binary"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// maxPeek limits the length of asynchronous messages that are read from an
	// idle connection at once, in bytes.
	maxPeek = 4 << 10
	// asyncReadTimeout limits the time to read them. They have arrived already.
	asyncReadTimeout = time.Millisecond
	// headerSize is the length of a message's type and length fields, in bytes.
	headerSize = 5
)

// longAgo is a deadline that ends a read unless its data is buffered.
var longAgo = time.Unix(1, 0)

// Idle reports whether the connection can be used for an exchange: neither side
// has closed it, and nothing that the database sent is unread, buffered or not.
// Asynchronous messages (notifications, notices and parameter changes) are read
// and dropped. It does not wait for data.
func (c *Conn) Idle() bool {
	if !c.Settled() || c.closed.Load() {
		return false
	}
	var first [1]byte
	waiting, open := c.peek(first[:])
	if !open {
		return false
	}
	return waiting == 0 || isAsync(first[0]) && c.dropWaiting()
}

// dropWaiting reads the asynchronous messages that wait in the socket. It returns
// false if anything else is there, or if the connection is encrypted.
func (c *Conn) dropWaiting() bool {
	if _, encrypted := c.net.(*tls.Conn); encrypted {
		return false
	}
	data := make([]byte, maxPeek)
	waiting, open := c.peek(data)
	if !open || !wholeAsync(data[:waiting]) {
		return false
	}
	_ = c.net.SetReadDeadline(time.Now().Add(asyncReadTimeout))
	defer func() { _ = c.net.SetReadDeadline(time.Time{}) }()
	return c.dropOne() && c.dropUntilEmpty()
}

// Settled reports whether nothing but asynchronous messages, which it drops, is
// in the connection's buffers. It does not look at the socket. An error by which the
// database ends the connection closes it: it takes nothing back from earlier
// answers.
func (c *Conn) Settled() bool {
	encrypted, isTLS := c.net.(*tls.Conn)
	if c.buffered() == 0 && !isTLS {
		return true
	}
	_ = c.net.SetReadDeadline(longAgo)
	defer func() { _ = c.net.SetReadDeadline(time.Time{}) }()
	if !c.dropUntilEmpty() {
		return false
	}
	if !isTLS || c.closed.Load() {
		return true
	}
	// A record that was read together with an earlier one is in the buffers of
	// the TLS connection.
	var next [1]byte
	n, err := encrypted.Read(next[:])
	return n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
}

// buffered returns the number of bytes that have been read from the socket and not
// been received as messages.
func (c *Conn) buffered() int { return c.frames.Buffered() + c.Frontend.ReadBufferLen() }

func (c *Conn) dropUntilEmpty() bool {
	for c.buffered() > 0 {
		if !c.dropOne() {
			return false
		}
	}
	return true
}

// dropOne reads one asynchronous message. It returns false if the next message
// is another one or has not arrived whole.
func (c *Conn) dropOne() bool {
	msg, err := c.Receive()
	if err != nil {
		return false
	}
	switch m := msg.(type) {
	case *pgproto3.NotificationResponse, *pgproto3.NoticeResponse:
		return true
	case *pgproto3.ErrorResponse:
		c.Close()
		return m.Severity == "FATAL" || m.Severity == "PANIC" || m.SeverityUnlocalized == "FATAL" || m.SeverityUnlocalized == "PANIC"
	case *pgproto3.ParameterStatus:
		c.SettingsChanged = true
		return true
	}
	return false
}

// isAsync reports whether messages of a type may arrive between exchanges.
func isAsync(messageType byte) bool {
	return messageType == 'A' || messageType == 'N' || messageType == 'S'
}

// wholeAsync reports whether data consists of whole asynchronous messages and is
// not longer than can be peeked at.
func wholeAsync(data []byte) bool {
	if len(data) == maxPeek {
		return false
	}
	for len(data) > 0 {
		if len(data) < headerSize || !isAsync(data[0]) {
			return false
		}
		length := int64(binary.BigEndian.Uint32(data[1:])) + 1
		if length < headerSize || length > int64(len(data)) {
			return false
		}
		data = data[length:]
	}
	return true
}

// peek fills buffer with data that waits in the socket, without reading it, and
// returns its length. It returns false if the connection has ended. It does not
// block.
func (c *Conn) peek(buffer []byte) (int, bool) {
	socket := c.net
	if t, ok := socket.(*tls.Conn); ok {
		socket = t.NetConn()
	}
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return 0, true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, false
	}
	waiting, open := 0, false
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty := err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		open = empty || err == nil && n > 0
		waiting = max(n, 0)
		return true
	})
	return waiting, err == nil && open
}
