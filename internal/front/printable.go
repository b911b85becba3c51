package front

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// printable returns a text with its control characters, other white space than blanks and
// bytes that are not UTF-8 escaped as in Go. Names and ids may hold any bytes, and must not
// end a line or a column of a terminal.
func printable(text string) string {
	if utf8.ValidString(text) && !strings.ContainsFunc(text, isNotPrintable) {
		return text
	}
	var b strings.Builder
	for len(text) > 0 {
		r, size := utf8.DecodeRuneInString(text)
		if part := text[:size]; r == utf8.RuneError && size == 1 || isNotPrintable(r) {
			quoted := strconv.Quote(part)
			b.WriteString(quoted[1 : len(quoted)-1])
		} else {
			b.WriteString(part)
		}
		text = text[size:]
	}
	return b.String()
}

func isNotPrintable(r rune) bool { return !unicode.IsPrint(r) }

// printableField returns a text as a name or value of "name=value" pairs. It is quoted if it
// is not printable or could be taken for more than one of them.
func printableField(text string) string {
	if printable(text) != text || strings.ContainsAny(text, `="`) {
		return strconv.Quote(text)
	}
	return text
}
