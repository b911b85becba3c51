// Package token encodes and decodes session tokens: short texts by which a caller
// carries a session's read floor from one proxy to another.
package token

import (
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// MaxLength is the maximum length of an encoded token, in bytes.
const MaxLength = 160

const prefix = "of1"

// Token holds a session's read floor: the log position that a database of Group
// must have reached to serve the session's reads.
type Token struct {
	Group string
	Floor position.Position
}

// InvalidError reports a token that cannot be decoded.
type InvalidError struct {
	Reason string
}

func (e *InvalidError) Error() string { return "invalid session token: " + e.Reason }

// String encodes t as "of1:group:term/offset:checksum".
func (t Token) String() string {
	body := prefix + ":" + t.Group + ":" + t.Floor.String()
	return body + ":" + checksum(body)
}

// Parse decodes a token. It returns an *InvalidError for a token that is too long
// or malformed, or whose checksum does not match.
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
