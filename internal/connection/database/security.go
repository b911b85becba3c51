package database

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// The TLS modes of connections to databases. An empty mode means TLSOff. Any
// other value is the name of a file of root certificates.
const (
	TLSOff     = "off"
	TLSRequire = "require"
)

// LoadTLS returns the TLS configuration for a TLS mode and a server address,
// or nil for plaintext. With TLSRequire, the server's certificate is not
// verified. It returns an error if the address is invalid or the root
// certificates cannot be loaded.
func LoadTLS(mode, address string) (*tls.Config, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "read the database's address")
	}
	switch mode {
	case TLSOff, "":
		return nil, nil
	case TLSRequire:
		return &tls.Config{ServerName: host, InsecureSkipVerify: true, MinVersion: tls.VersionTLS12}, nil
	}
	content, err := os.ReadFile(mode)
	if err != nil {
		return nil, errors.Wrap(err, "read the root certificates for databases")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(content) {
		return nil, errors.Errorf("%s holds no certificate", mode)
	}
	return &tls.Config{ServerName: host, RootCAs: roots, MinVersion: tls.VersionTLS12}, nil
}

// LoadPassword returns the first line of a password file, or "" if no file is
// configured.
func LoadPassword(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "read the password for databases")
	}
	line, _, _ := strings.Cut(string(content), "\n")
	return strings.TrimRight(line, "\r"), nil
}
