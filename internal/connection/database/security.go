package database

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// The declared ways to encrypt connections to databases. Any other word is
// the name of a file of root certificates.
const (
	TLSOff     = "off"
	TLSRequire = "require"
)

// LoadTLS returns the TLS configuration for a declared way, nil for none.
// With TLSRequire, the server's certificate is not verified.
func LoadTLS(declared, address string) (*tls.Config, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "read the database's address")
	}
	switch declared {
	case TLSOff, "":
		return nil, nil
	case TLSRequire:
		return &tls.Config{ServerName: host, InsecureSkipVerify: true, MinVersion: tls.VersionTLS12}, nil
	}
	content, err := os.ReadFile(declared)
	if err != nil {
		return nil, errors.Wrap(err, "read the root certificates for databases")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(content) {
		return nil, errors.Errorf("%s holds no certificate", declared)
	}
	return &tls.Config{ServerName: host, RootCAs: roots, MinVersion: tls.VersionTLS12}, nil
}

// LoadPassword reads a password from a file's first line, "" for no file.
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
