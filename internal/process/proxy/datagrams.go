package proxy

import (
	"net"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// maxDatagramSize is the maximum size of an encoded datagram, in bytes.
const maxDatagramSize = 1400

// UDPTransport sends and receives membership datagrams over UDP.
type UDPTransport struct {
	conn   net.PacketConn
	handle func(Datagram)
	log    *zap.Logger
	done   chan struct{}
}

// NewUDPTransport listens on address and calls handle for each datagram that it
// receives, one at a time. It returns an error if it cannot listen.
func NewUDPTransport(address string, handle func(Datagram), log *zap.Logger) (*UDPTransport, error) {
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for membership datagrams")
	}
	t := &UDPTransport{conn: c, handle: handle, log: log, done: make(chan struct{})}
	go t.receive()
	return t, nil
}

func (t *UDPTransport) receive() {
	defer close(t.done)
	buffer := make([]byte, maxDatagramSize)
	for {
		n, _, err := t.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.log.Debug("failed to receive datagram", zap.Error(err))
			continue
		}
		var message Datagram
		if err := cbor.Unmarshal(buffer[:n], &message); err != nil {
			t.log.Debug("failed to decode datagram", zap.Error(err))
			continue
		}
		t.handle(message)
	}
}

// Send sends one datagram without retransmission. Updates that would make it
// exceed maxDatagramSize are left out. Errors are only logged.
func (t *UDPTransport) Send(address string, message Datagram) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		t.log.Debug("failed to resolve address of datagram", zap.Error(err))
		return
	}
	encoded, err := cbor.Marshal(message)
	for err == nil && len(encoded) > maxDatagramSize && len(message.Updates) > 0 {
		message.Updates = message.Updates[:len(message.Updates)-1]
		encoded, err = cbor.Marshal(message)
	}
	if err == nil {
		_, err = t.conn.WriteTo(encoded, addr)
	}
	if err != nil {
		t.log.Debug("failed to send datagram", zap.Error(err))
	}
}

// Close closes the socket and waits until the receive loop has ended.
func (t *UDPTransport) Close() {
	_ = t.conn.Close()
	<-t.done
}
