package database

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// readLiteral reads a string literal at the start of query as PostgreSQL does,
// and returns its value and the rest of the query.
func readLiteral(query string, standardConforming bool) (value, rest string) {
	escapes := !standardConforming
	if strings.HasPrefix(query, "E'") {
		escapes, query = true, query[1:]
	}
	var b strings.Builder
	for i := 1; i < len(query); i++ {
		switch {
		case query[i] == '\\' && escapes && i+1 < len(query):
			i++
			b.WriteByte(query[i])
		case query[i] == '\'' && i+1 < len(query) && query[i+1] == '\'':
			i++
			b.WriteByte('\'')
		case query[i] == '\'':
			return b.String(), query[i+1:]
		default:
			b.WriteByte(query[i])
		}
	}
	return b.String(), ""
}

// With standard_conforming_strings off, a backslash before a quote must not end
// the literal and let the rest of the value run as statements.
func TestQuotedLiteralCannotBeLeft(t *testing.T) {
	for _, text := range []string{"", "a", "it's", `\`, `\'; DROP TABLE fills; --`, `\\'; DROP TABLE fills; --`, `'\''`} {
		for _, standardConforming := range []bool{true, false} {
			value, rest := readLiteral(QuoteLiteral(text)+";", standardConforming)
			require.Equal(t, text, value, "standard_conforming_strings %t", standardConforming)
			require.Equal(t, ";", rest, "the literal of %q ends early", text)
		}
	}
}
