package core

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	callerconn "github.com/oleanderflow/oleanderflow/internal/connection/caller"
	dbconn "github.com/oleanderflow/oleanderflow/internal/connection/database"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key
// to folder, and returns the paths of both files.
func writeCertificate(t *testing.T, folder string, serial int64) (cert, key string) {
	t.Helper()
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "oleanderflow"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	require.NoError(t, err)
	encodedKey, err := x509.MarshalECPrivateKey(privateKey)
	require.NoError(t, err)
	cert, key = filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem")
	require.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encodedKey}), 0o600))
	return cert, key
}

// startSecureProxy starts a proxy that requires TLS and a password, in front
// of the databases of a development system.
func startSecureProxy(t *testing.T, d *Dev, folder string) *Proxy {
	t.Helper()
	cert, key := writeCertificate(t, folder, 1)
	verifier, err := callerconn.NewVerifier("tech", "secret")
	require.NoError(t, err)
	users := filepath.Join(folder, "users.ini")
	require.NoError(t, os.WriteFile(users, []byte("tech = "+verifier+"\n"), 0o600))
	secret := filepath.Join(folder, "secret")
	require.NoError(t, os.WriteFile(secret, []byte("proxies' secret\n"), 0o600))
	options, err := (&ProxyOptions{TLSCert: cert, TLSKey: key, TLSRequire: true, Users: users, Secret: secret}).securityOptions()
	require.NoError(t, err)
	options = append(options, WithHistory(d.history()), WithInstanceList(staticList{}))
	p, err := NewProxy(Instance{Name: "secure", Zone: "zone-a", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0"}, operator.Default(), zap.NewNop(), options...)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	go p.Serve()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, p.AwaitReady(ctx))
	return p
}

func TestTLSAndPasswordsForCallers(t *testing.T) {
	d := startDev(t, DevSettings{})
	folder := t.TempDir()
	p := startSecureProxy(t, d, folder)
	ctx := context.Background()
	tlsParameters := "sslmode=verify-full&sslrootcert=" + url.QueryEscape(filepath.Join(folder, "cert.pem"))
	c, err := pgx.Connect(ctx, "postgres://tech:secret@"+p.Address()+"/shop1?"+tlsParameters)
	require.NoError(t, err)
	defer c.Close(ctx)
	require.Equal(t, 1, queryInt(t, c, "SELECT 1"))
	for _, user := range []string{"tech:wrong", "nobody:secret"} {
		_, err = pgx.Connect(ctx, "postgres://"+user+"@"+p.Address()+"/shop1?"+tlsParameters)
		require.Equal(t, outcome.CodePassword, sqlState(err), user)
	}
	_, err = pgx.Connect(ctx, "postgres://tech:secret@"+p.Address()+"/shop1?sslmode=disable")
	require.Equal(t, outcome.CodePassword, sqlState(err), "a connection without TLS was not refused")
	_, err = pgx.Connect(ctx, "postgres://tech:secret@"+p.Address()+"/shop1?sslmode=require&oleanderflow.forward=trusted")
	require.NoError(t, err, "a caller with a valid password that claims to be a proxy must be served as a caller")
}

func TestChangedCertificateIsReloaded(t *testing.T) {
	folder := t.TempDir()
	cert, key := writeCertificate(t, folder, 1)
	current, err := callerconn.LoadTLS(cert, key)
	require.NoError(t, err)
	before := current().Certificates[0].Certificate[0]
	time.Sleep(1100 * time.Millisecond)
	writeCertificate(t, folder, 2)
	require.Eventually(t, func() bool {
		return string(current().Certificates[0].Certificate[0]) != string(before)
	}, 5*time.Second, 50*time.Millisecond)
	require.NoError(t, os.WriteFile(cert, []byte("broken"), 0o600))
	time.Sleep(1100 * time.Millisecond)
	require.NotNil(t, current().Certificates[0].Certificate, "the last valid certificate must stay in use")
}

// A proxy that requires TLS and a password stands in for a database that
// requires TLS and SCRAM.
func TestTLSAndPasswordsForDatabases(t *testing.T) {
	d := startDev(t, DevSettings{})
	folder := t.TempDir()
	p := startSecureProxy(t, d, folder)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, tlsSetting := range []string{dbconn.TLSRequire, filepath.Join(folder, "cert.pem")} {
		config, err := dbconn.LoadTLS(tlsSetting, p.Address())
		require.NoError(t, err)
		target := dbconn.Target{Address: p.Address(), Database: devGroup, User: "tech", Password: "secret", TLS: config}
		c, err := dbconn.Dial(ctx, target)
		require.NoError(t, err)
		c.Close()
		target.Password = "wrong"
		_, err = dbconn.Dial(ctx, target)
		var refused *dbconn.ServerError
		require.ErrorAs(t, err, &refused)
	}
	_, err := dbconn.LoadTLS(filepath.Join(folder, "missing.pem"), p.Address())
	require.Error(t, err)
}

func TestNonLoopbackListenerRequiresTLSAndPasswords(t *testing.T) {
	var bad *OptionError
	require.ErrorAs(t, (&ProxyOptions{Listen: "10.0.0.1:5432"}).checkSecurity(), &bad)
	require.ErrorAs(t, (&ProxyOptions{Listen: "10.0.0.1:5432", Users: "u"}).checkSecurity(), &bad)
	require.ErrorAs(t, (&ProxyOptions{Listen: "127.0.0.1:5432", TLSCert: "c"}).checkSecurity(), &bad)
	require.NoError(t, (&ProxyOptions{Listen: "10.0.0.1:5432", Users: "u", TLSCert: "c", TLSKey: "k", TLSRequire: true}).checkSecurity())
}

// recordingListener forwards connections to target and records the bytes that
// their clients send.
func recordingListener(t *testing.T, target string) (address string, sent func() [][]byte) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var mu sync.Mutex
	var streams [][]byte
	forward := func(c net.Conn, index int) {
		out, err := net.Dial("tcp", target)
		if err != nil {
			_ = c.Close()
			return
		}
		go func() {
			_, _ = io.Copy(c, out)
			_ = c.Close()
		}()
		defer out.Close()
		buffer := make([]byte, 4096)
		for {
			n, err := c.Read(buffer)
			if err != nil {
				return
			}
			mu.Lock()
			streams[index] = append(streams[index], buffer[:n]...)
			mu.Unlock()
			if _, err := out.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			streams = append(streams, nil)
			index := len(streams) - 1
			mu.Unlock()
			go forward(c, index)
		}
	}()
	return l.Addr().String(), func() [][]byte {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(streams)
	}
}

// Whoever has the key of a cancel request can cancel the statements of the
// connection, so that it must not be sent in plaintext where TLS is set.
func TestCancelKeyIsSentOverTLS(t *testing.T) {
	d := startDev(t, DevSettings{})
	folder := t.TempDir()
	p := startSecureProxy(t, d, folder)
	address, sent := recordingListener(t, p.Address())
	config, err := dbconn.LoadTLS(filepath.Join(folder, "cert.pem"), address)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := dbconn.Dial(ctx, dbconn.Target{Address: address, Database: devGroup, User: "tech", Password: "secret", TLS: config})
	require.NoError(t, err)
	defer c.Close()
	require.NotEmpty(t, c.Secret)
	require.NoError(t, c.Cancel(ctx))
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		streams := sent()
		return len(streams) == 2 && len(streams[1]) > len(request)
	}, 10*time.Second, time.Millisecond)
	stream := sent()[1]
	require.Equal(t, request, stream[:len(request)])
	key, err := (&pgproto3.CancelRequest{ProcessID: c.PID, SecretKey: c.Secret}).Encode(nil)
	require.NoError(t, err)
	require.NotContains(t, string(stream), string(key[4:]))
}
