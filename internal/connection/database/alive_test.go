package database

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// connPair returns a connection and the database's end of it.
func connPair(t testing.TB, encrypted bool) (*Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	server, err := l.Accept()
	require.NoError(t, err)
	if encrypted {
		public, private, err := ed25519.GenerateKey(rand.Reader)
		require.NoError(t, err)
		template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
		der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
		require.NoError(t, err)
		certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}
		server = tls.Server(server, &tls.Config{Certificates: []tls.Certificate{certificate}})
		client = tls.Client(client, &tls.Config{InsecureSkipVerify: true})
		go func() { _ = server.(*tls.Conn).Handshake() }()
		require.NoError(t, client.(*tls.Conn).Handshake())
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return NewConn(client), server
}

func encoded(t *testing.T, m pgproto3.BackendMessage) []byte {
	t.Helper()
	out, err := m.Encode(nil)
	require.NoError(t, err)
	return out
}

func TestUnreadDataMakesAConnectionUnusable(t *testing.T) {
	ready := encoded(t, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	notice := encoded(t, &pgproto3.NotificationResponse{Channel: "orders"})
	for name, test := range map[string]struct {
		unread []byte
		idle   bool
	}{
		"nothing":              {idle: true},
		"ready again":          {unread: ready},
		"notification":         {unread: notice, idle: true},
		"part of notification": {unread: notice[:8]},
		"notification, answer": {unread: append(append([]byte(nil), notice...), ready...)},
		"negative length":      {unread: []byte{'N', 0xff, 0xff, 0xff, 0xf0, 0, 0, 0}},
		"length below 4":       {unread: []byte{'N', 0, 0, 0, 2, 0, 0, 0}},
		"huge length":          {unread: []byte{'N', 0x7f, 0xff, 0xff, 0xff, 0, 0, 0}},
	} {
		for where, encrypted := range map[string]bool{"plain": false, "TLS": true} {
			for when, together := range map[string]bool{"buffered": true, "in the socket": false} {
				t.Run(name+" "+where+" "+when, func(t *testing.T) {
					c, server := connPair(t, encrypted)
					_, err := server.Write(ready)
					require.NoError(t, err)
					if !together {
						_, err = c.Receive()
						require.NoError(t, err)
					}
					if test.unread != nil {
						_, err = server.Write(test.unread)
						require.NoError(t, err)
					}
					time.Sleep(20 * time.Millisecond)
					if together {
						_, err = c.Receive()
						require.NoError(t, err)
					}
					// An encrypted notification cannot be told from an answer.
					idle := test.idle && (!encrypted || test.unread == nil)
					require.Equal(t, idle, c.Idle())
					if idle {
						_, err = server.Write(ready)
						require.NoError(t, err)
						msg, err := c.Receive()
						require.NoError(t, err)
						require.IsType(t, &pgproto3.ReadyForQuery{}, msg)
					}
				})
			}
		}
	}
}

// A server that shuts down says so after its last answer, which stands.
func TestErrorThatEndsTheConnectionIsNoAnswer(t *testing.T) {
	for i, severity := range []string{"FATAL", "ERROR", "FATAL", "ERROR"} {
		c, server := connPair(t, i > 1)
		both := encoded(t, &pgproto3.ReadyForQuery{TxStatus: 'I'})
		both = append(both, encoded(t, &pgproto3.ErrorResponse{Severity: severity, Code: "57P01", Message: "shutting down"})...)
		_, err := server.Write(both)
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
		_, err = c.Receive()
		require.NoError(t, err)
		require.Equal(t, severity == "FATAL", c.Settled())
		require.False(t, c.Idle())
	}
}
