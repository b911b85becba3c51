package database

import "strings"

// QuoteLiteral returns text as a string literal that a database reads the same
// way whatever its setting standard_conforming_strings is. A text with a
// backslash becomes an escape string, as with PostgreSQL's quote_literal.
func QuoteLiteral(text string) string {
	quoted := strings.ReplaceAll(text, "'", "''")
	if !strings.Contains(text, `\`) {
		return "'" + quoted + "'"
	}
	return "E'" + strings.ReplaceAll(quoted, `\`, `\\`) + "'"
}
