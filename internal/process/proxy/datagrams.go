package proxy

import (
	"net"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// maxDatagram bounds one datagram, in bytes.
const maxDatagram = 1400

// UDPTransport sends and receives memberships' datagrams over UDP.
type UDPTransport struct {
	conn   net.PacketConn
	handle func(Datagram)
	log    *zap.Logger
	ended  chan struct{}
}

// NewUDPTransport listens on address and hands each datagram to handle.
func NewUDPTransport(address string, handle func(Datagram), log *zap.Logger) (*UDPTransport, error) {
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams of other proxies")
	}
	d := &UDPTransport{conn: c, handle: handle, log: log, ended: make(chan struct{})}
	go d.receive()
	return d, nil
}

func (d *UDPTransport) receive() {
	defer close(d.ended)
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := d.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.log.Debug("datagram not received", zap.Error(err))
			continue
		}
		var message Datagram
		if err := cbor.Unmarshal(buffer[:n], &message); err != nil {
			d.log.Debug("datagram not understood", zap.Error(err))
			continue
		}
		d.handle(message)
	}
}

// Send sends one datagram. One that is lost is not sent again.
func (d *UDPTransport) Send(address string, message Datagram) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		d.log.Debug("datagram not sent", zap.Error(err))
		return
	}
	encoded, err := cbor.Marshal(message)
	for err == nil && len(encoded) > maxDatagram && len(message.Updates) > 0 {
		message.Updates = message.Updates[:len(message.Updates)-1]
		encoded, err = cbor.Marshal(message)
	}
	if err == nil {
		_, err = d.conn.WriteTo(encoded, to)
	}
	if err != nil {
		d.log.Debug("datagram not sent", zap.Error(err))
	}
}

// Close stops receiving.
func (d *UDPTransport) Close() {
	_ = d.conn.Close()
	<-d.ended
}
