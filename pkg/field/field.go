// Package field checks texts that are sent to databases as fields of a message.
package field

import "strings"

// IsValid reports whether a text can be a field: it is not empty, and has no blanks and
// control characters, which could end the field or the message.
func IsValid(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r == 0x7f })
}
