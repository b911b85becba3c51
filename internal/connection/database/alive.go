package database

import (
	"crypto/tls"
	"net"
	"syscall"
)

// alive reports whether the server has neither closed the connection nor
// sent anything since it was last used.
func (c *Conn) alive() bool {
	if c.closed.Load() {
		return false
	}
	plain := c.net
	if t, ok := plain.(*tls.Conn); ok {
		plain = t.NetConn()
	}
	tcp, ok := plain.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
