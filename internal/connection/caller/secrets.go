package caller

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
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

// reloadInterval is the minimum time between two checks of a file for changes.
const reloadInterval = time.Second

// reloader holds a value loaded from files, and loads it again when one of them
// has changed. It keeps the last value while loading fails.
type reloader[T any] struct {
	files []string
	load  func() (T, error)

	mu        sync.Mutex
	current   T
	checkedAt time.Time
	modTimes  []time.Time
}

func newReloader[T any](load func() (T, error), files ...string) (*reloader[T], error) {
	r := &reloader[T]{files: files, load: load}
	current, err := load()
	if err != nil {
		return nil, err
	}
	r.current, r.checkedAt, r.modTimes = current, time.Now(), r.readModTimes()
	return r, nil
}

func (r *reloader[T]) readModTimes() []time.Time {
	times := make([]time.Time, len(r.files))
	for i, name := range r.files {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// get returns the current value, after reloading it if a file has changed.
func (r *reloader[T]) get() T {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checkedAt) < reloadInterval {
		return r.current
	}
	r.checkedAt = time.Now()
	times := r.readModTimes()
	for i := range times {
		if times[i].Equal(r.modTimes[i]) {
			continue
		}
		if fresh, err := r.load(); err == nil {
			r.current, r.modTimes = fresh, times
		}
		break
	}
	return r.current
}

// LoadTLS loads the certificate and key for TLS connections from callers. The
// function that it returns reloads them when the files change. LoadTLS returns an
// error if they cannot be loaded at first.
func LoadTLS(certFile, keyFile string) (func() *tls.Config, error) {
	r, err := newReloader(func() (*tls.Config, error) {
		cert, err := tls.LoadX509KeyPair(certFile, keyFile)
		if err != nil {
			return nil, errors.Wrap(err, "load the TLS certificate for callers")
		}
		return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
	}, certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return r.get, nil
}

// Parameters of a SCRAM verifier in PostgreSQL's format. saltLength is in bytes.
const (
	verifierPrefix     = "SCRAM-SHA-256$"
	verifierIterations = 4096
	saltLength         = 16
)

// NewVerifier returns the SCRAM-SHA-256 verifier of a password, in PostgreSQL's
// format and with a new random salt.
func NewVerifier(user, password string) (string, error) {
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return "", errors.Wrap(err, "normalize the password")
	}
	salt := make([]byte, saltLength)
	if _, err := rand.Read(salt); err != nil {
		return "", errors.Wrap(err, "generate a salt")
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: verifierIterations})
	if err != nil {
		return "", errors.Wrap(err, "derive the verifier")
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s%d:%s$%s:%s", verifierPrefix, verifierIterations, encode(salt), encode(stored.StoredKey), encode(stored.ServerKey)), nil
}

// VerifierError reports a user whose entry in the users file is not a valid
// verifier.
type VerifierError struct{ User string }

func (e *VerifierError) Error() string {
	return "user " + e.User + ": expected SCRAM-SHA-256$iterations:salt$storedKey:serverKey"
}

func parseVerifier(user, text string) (scram.StoredCredentials, error) {
	invalid := &VerifierError{User: user}
	rest, ok := strings.CutPrefix(text, verifierPrefix)
	factors, keys, found := strings.Cut(rest, "$")
	if !ok || !found {
		return scram.StoredCredentials{}, invalid
	}
	iterations, salt, _ := strings.Cut(factors, ":")
	stored, server, _ := strings.Cut(keys, ":")
	var c scram.StoredCredentials
	var err error
	if c.Iters, err = strconv.Atoi(iterations); err != nil || c.Iters < 1 {
		return c, invalid
	}
	rawSalt, err := base64.StdEncoding.DecodeString(salt)
	if err != nil || len(rawSalt) == 0 {
		return c, invalid
	}
	c.Salt = string(rawSalt)
	if c.StoredKey, err = base64.StdEncoding.DecodeString(stored); err != nil || len(c.StoredKey) == 0 {
		return c, invalid
	}
	if c.ServerKey, err = base64.StdEncoding.DecodeString(server); err != nil || len(c.ServerKey) == 0 {
		return c, invalid
	}
	return c, nil
}

// UnknownUserError reports a user that is not in the users file.
type UnknownUserError struct{ User string }

func (e *UnknownUserError) Error() string { return "user is not in the users file: " + e.User }

// LoadUsers returns an authentication that looks up callers in a users file, with
// one "user = verifier" per line. The file is reloaded when it changes. If it
// cannot be read at first or has an invalid verifier, LoadUsers returns an error.
func LoadUsers(file string) (SCRAM, error) {
	r, err := newReloader(func() (map[string]scram.StoredCredentials, error) { return readUsers(file) }, file)
	if err != nil {
		return SCRAM{}, err
	}
	return SCRAM{Lookup: func(user string) (scram.StoredCredentials, error) {
		c, ok := r.get()[user]
		if !ok {
			return c, &UnknownUserError{User: user}
		}
		return c, nil
	}}, nil
}

// unknownUserSecret derives the credentials of unknown users.
var unknownUserSecret = sync.OnceValues(func() ([]byte, error) {
	secret := make([]byte, sha256.Size)
	_, err := rand.Read(secret)
	return secret, err
})

// lookUpCredentials returns a user's credentials. For an unknown user it returns
// credentials that match no password, so that the exchange takes the same steps as
// with a wrong password and does not tell which users exist. The salt must not
// differ between two attempts, since that of a known user does not.
func lookUpCredentials(auth SCRAM, user string) (scram.StoredCredentials, error) {
	c, err := auth.Lookup(user)
	var unknown *UnknownUserError
	if !errors.As(err, &unknown) {
		return c, err
	}
	secret, err := unknownUserSecret()
	if err != nil {
		return c, errors.Wrap(err, "generate the secret for unknown users")
	}
	derive := func(purpose string) []byte {
		mac := hmac.New(sha256.New, secret)
		_, _ = mac.Write([]byte(purpose + "/" + user)) // a Hash returns no error
		return mac.Sum(nil)
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(derive("salt")[:saltLength]), Iters: verifierIterations},
		StoredKey:  derive("storedKey"), ServerKey: derive("serverKey"),
	}, nil
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
