// Package token provides the session token: a small text that carries a
// session's read floor from one proxy to another.
package token

import (
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// MaxLength bounds a token's length in bytes.
const MaxLength = 160

const prefix = "of1"

// Token is the read floor of a session in one database group.
type Token struct {
	Group string
	Floor position.Position
}

// InvalidError reports a token that was not accepted.
type InvalidError struct {
	Reason string
}

func (e *InvalidError) Error() string { return "invalid session token: " + e.Reason }

// String encodes t as "of1:group:term/offset:checksum".
func (t Token) String() string {
	body := prefix + ":" + t.Group + ":" + t.Floor.String()
	return body + ":" + checksum(body)
}

// Parse decodes and validates a token. It returns an *InvalidError for a
// token that is too long, malformed or damaged.
func Parse(s string) (Token, error) {
	if len(s) > MaxLength {
		return Token{}, &InvalidError{Reason: fmt.Sprintf("%d bytes, at most %d are accepted", len(s), MaxLength)}
	}
	cut := strings.LastIndexByte(s, ':')
	if cut < 0 {
		return Token{}, &InvalidError{Reason: "checksum missing"}
	}
	body := s[:cut]
	if checksum(body) != s[cut+1:] {
		return Token{}, &InvalidError{Reason: "checksum does not match"}
	}
	parts := strings.Split(body, ":")
	if len(parts) != 3 || parts[0] != prefix || parts[1] == "" {
		return Token{}, &InvalidError{Reason: "expected of1:group:position:checksum"}
	}
	floor, err := position.Parse(parts[2])
	if err != nil {
		return Token{}, &InvalidError{Reason: err.Error()}
	}
	return Token{Group: parts[1], Floor: floor}, nil
}

func checksum(body string) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(body))), 16)
}
