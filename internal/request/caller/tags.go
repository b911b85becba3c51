package caller

import (
	"net/url"
	"strings"
	"time"

	"github.com/oleanderflow/oleanderflow/internal/connection/caller"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

// maxTagText limits the length of a comment that is parsed for tags, in bytes.
const maxTagText = 2048

// maxRequestID limits the length of a request id, in bytes.
const maxRequestID = 128

// Tags are the values that a statement's comment sets, in the sqlcommenter form
// /*maxAge='2s',requestId='a1'*/.
type Tags struct {
	MaxAge    clock.Duration
	RequestID string
	// Read selects the age rules that apply, and Class the request class.
	Read  string
	Class string
}

// TagError reports a tag with an invalid value.
type TagError struct {
	Tag      string
	Value    string
	Expected string
}

func (e *TagError) Error() string {
	return "invalid tag " + e.Tag + " " + quotedValue(e.Value) + "; expected " + e.Expected
}

// Code returns the SQLSTATE of the error.
func (e *TagError) Code() string { return outcome.CodeInvalid }

// ParseTags parses the tags in a comment at the start or the end of a
// statement. Comments of other forms are ignored; a known tag with an invalid
// value is a *TagError.
func ParseTags(query string) (Tags, error) {
	var t Tags
	trimmed := strings.TrimRight(query, " \t\r\n;")
	if strings.HasSuffix(trimmed, "*/") {
		if at := strings.LastIndex(trimmed, "/*"); at >= 0 && at+2 <= len(trimmed)-2 {
			if err := t.parse(trimmed[at+2 : len(trimmed)-2]); err != nil {
				return t, err
			}
		}
	}
	trimmed = strings.TrimLeft(query, " \t\r\n")
	if strings.HasPrefix(trimmed, "/*") {
		if end := strings.Index(trimmed, "*/"); end >= 2 {
			return t, t.parse(trimmed[2:end])
		}
	}
	return t, nil
}

func (t *Tags) parse(comment string) error {
	if len(comment) > maxTagText {
		return nil
	}
	for pair := range strings.SplitSeq(comment, ",") {
		key, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok || len(value) < 2 || value[0] != '\'' || value[len(value)-1] != '\'' {
			continue
		}
		// A plus is itself, as in an id that is set for the session.
		text, err := url.PathUnescape(value[1 : len(value)-1])
		if err != nil {
			continue
		}
		if err := t.set(strings.TrimSpace(key), text); err != nil {
			return err
		}
	}
	return nil
}

func (t *Tags) set(key, value string) error {
	switch key {
	case "maxAge":
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 {
			return &TagError{Tag: key, Value: value, Expected: "a time such as 500ms or 2s"}
		}
		t.MaxAge = clock.FromStd(d)
	case "requestId":
		if value == "" || len(value) > maxRequestID || !caller.IsStorable(value) {
			return &TagError{Tag: key, Value: value, Expected: "1 to 128 bytes of UTF-8 without NUL"}
		}
		t.RequestID = value
	case "read":
		t.Read = value
	case "class":
		t.Class = value
	}
	return nil
}
