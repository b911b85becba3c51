package database

import (
	"crypto/tls"
	"net"
	"syscall"
)

// alive reports whether an idle connection can be used: neither side has
// closed it and no data is waiting to be read. It peeks at the socket and does
// not block.
func (c *Conn) alive() bool {
	if c.closed.Load() {
		return false
	}
	socket := c.net
	if t, ok := socket.(*tls.Conn); ok {
		socket = t.NetConn()
	}
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}
