package caller

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/base64"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/xdg-go/scram"
	"gopkg.in/ini.v1"
)

// reloadInterval is the least time between two looks at a file.
const reloadInterval = time.Second

// watchedFile loads files anew when one has changed. What was loaded last
// stays in use while the files cannot be read.
type watchedFile[T any] struct {
	names []string
	load  func() (T, error)

	mu      sync.Mutex
	current T
	looked  time.Time
	changed []time.Time
}

func newWatchedFile[T any](load func() (T, error), names ...string) (*watchedFile[T], error) {
	w := &watchedFile[T]{names: names, load: load}
	current, err := load()
	if err != nil {
		return nil, err
	}
	w.current, w.looked, w.changed = current, time.Now(), w.times()
	return w, nil
}

func (w *watchedFile[T]) times() []time.Time {
	times := make([]time.Time, len(w.names))
	for i, name := range w.names {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// get returns what the files hold.
func (w *watchedFile[T]) get() T {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.looked) < reloadInterval {
		return w.current
	}
	w.looked = time.Now()
	times := w.times()
	for i := range times {
		if times[i].Equal(w.changed[i]) {
			continue
		}
		if fresh, err := w.load(); err == nil {
			w.current, w.changed = fresh, times
		}
		break
	}
	return w.current
}

// LoadTLS returns the TLS configuration for callers from a certificate and
// its key, which are read anew when they change.
func LoadTLS(certFile, keyFile string) (func() *tls.Config, error) {
	w, err := newWatchedFile(func() (*tls.Config, error) {
		pair, err := tls.LoadX509KeyPair(certFile, keyFile)
		if err != nil {
			return nil, errors.Wrap(err, "load the certificate for callers")
		}
		return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
	}, certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return w.get, nil
}

// The form of a verifier, as PostgreSQL keeps it.
const (
	verifierPrefix     = "SCRAM-SHA-256$"
	verifierIterations = 4096
	saltLength         = 16
)

// NewVerifier returns the verifier of a password with a fresh salt.
func NewVerifier(user, password string) (string, error) {
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return "", errors.Wrap(err, "prepare the password")
	}
	salt := make([]byte, saltLength)
	if _, err := rand.Read(salt); err != nil {
		return "", errors.Wrap(err, "draw a salt")
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: verifierIterations})
	if err != nil {
		return "", errors.Wrap(err, "derive the verifier")
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s%d:%s$%s:%s", verifierPrefix, verifierIterations, encode(salt), encode(stored.StoredKey), encode(stored.ServerKey)), nil
}

// VerifierError reports a line of the users file that is no verifier.
type VerifierError struct{ User string }

func (e *VerifierError) Error() string {
	return "user " + e.User + ": expected SCRAM-SHA-256$iterations:salt$storedKey:serverKey"
}

func parseVerifier(user, text string) (scram.StoredCredentials, error) {
	bad := &VerifierError{User: user}
	rest, ok := strings.CutPrefix(text, verifierPrefix)
	factors, keys, found := strings.Cut(rest, "$")
	if !ok || !found {
		return scram.StoredCredentials{}, bad
	}
	iterations, salt, _ := strings.Cut(factors, ":")
	stored, server, _ := strings.Cut(keys, ":")
	var c scram.StoredCredentials
	var err error
	if c.Iters, err = strconv.Atoi(iterations); err != nil || c.Iters < 1 {
		return c, bad
	}
	rawSalt, err := base64.StdEncoding.DecodeString(salt)
	if err != nil || len(rawSalt) == 0 {
		return c, bad
	}
	c.Salt = string(rawSalt)
	if c.StoredKey, err = base64.StdEncoding.DecodeString(stored); err != nil || len(c.StoredKey) == 0 {
		return c, bad
	}
	if c.ServerKey, err = base64.StdEncoding.DecodeString(server); err != nil || len(c.ServerKey) == 0 {
		return c, bad
	}
	return c, nil
}

// UnknownUserError reports a user that the users file does not name.
type UnknownUserError struct{ User string }

func (e *UnknownUserError) Error() string { return "unknown user " + e.User }

// LoadUsers returns the authentication by a file of users and verifiers, one
// "user = verifier" in a line, which is read anew when it changes.
func LoadUsers(file string) (SCRAM, error) {
	w, err := newWatchedFile(func() (map[string]scram.StoredCredentials, error) { return readUsers(file) }, file)
	if err != nil {
		return SCRAM{}, err
	}
	return SCRAM{Lookup: func(user string) (scram.StoredCredentials, error) {
		c, ok := w.get()[user]
		if !ok {
			return c, &UnknownUserError{User: user}
		}
		return c, nil
	}}, nil
}

func readUsers(file string) (map[string]scram.StoredCredentials, error) {
	content, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true}, file)
	if err != nil {
		return nil, errors.Wrap(err, "read the users file")
	}
	users := make(map[string]scram.StoredCredentials)
	for _, key := range content.Section("").Keys() {
		if users[key.Name()], err = parseVerifier(key.Name(), key.String()); err != nil {
			return nil, errors.Wrap(err, "read the users file")
		}
	}
	return users, nil
}
