// Package position defines positions in the log of a database group.
package position

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Position identifies a place in a database group's log. Positions are ordered by
// term, then by offset: a database whose log has reached the promotion point of a
// term, where that term began, contains every write that was acknowledged in an
// earlier term.
type Position struct {
	Term   uint64
	Offset uint64
}

// Compare returns -1 if p is before q, 0 if p equals q and +1 if p is after q.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, q.Offset)
}

// AtLeast reports whether p is at or after q.
func (p Position) AtLeast(q Position) bool { return p.Compare(q) >= 0 }

// IsZero reports whether p is the zero Position, which is before every log entry.
func (p Position) IsZero() bool { return p == Position{} }

// Max returns the later of p and q.
func (p Position) Max(q Position) Position {
	if q.Compare(p) > 0 {
		return q
	}
	return p
}

// String formats p as "term/offset" in decimal.
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// FormatError reports text that is not a valid position.
type FormatError struct {
	Text string
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("invalid log position %q: expected term/offset in decimal", e.Text)
}

// Parse parses a position in the format of String. It returns a *FormatError if s
// is not in that format.
func Parse(s string) (Position, error) {
	term, offset, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, &FormatError{Text: s}
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, &FormatError{Text: s}
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return Position{}, &FormatError{Text: s}
	}
	return Position{Term: t, Offset: o}, nil
}
