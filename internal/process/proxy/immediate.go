package proxy

import (
	"net"
	"syscall"
)

// immediateWriter writes to a connection only what can be written without waiting. One
// goroutine uses it at a time.
type immediateWriter struct {
	raw syscall.RawConn
	// attempt is the method value of writeOnce, which costs an allocation.
	attempt func(fd uintptr) bool
	bytes   []byte
	n       int
}

// newImmediateWriter returns nil for a connection that is not a socket.
func newImmediateWriter(c net.Conn) *immediateWriter {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	w := &immediateWriter{raw: raw}
	w.attempt = w.writeOnce
	return w
}

// write writes as many of the bytes as possible, and returns their number. It does not
// tell errors: the next write to the connection meets them again.
func (w *immediateWriter) write(b []byte) int {
	if w == nil {
		return 0
	}
	w.bytes, w.n = b, 0
	_ = w.raw.Write(w.attempt) // the next write fails too
	w.bytes = nil
	return w.n
}

// writeOnce makes one attempt. It returns true, so that the caller does not wait for the
// next one.
func (w *immediateWriter) writeOnce(fd uintptr) bool {
	n, err := syscall.Write(int(fd), w.bytes)
	if err == nil {
		w.n = n
	}
	return true
}
