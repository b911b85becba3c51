// Package caller runs the requests of caller sessions, one at a time for each
// session: it gathers a request's messages, has it routed, and relays the
// answer.
package caller

import "strings"

// Kind is the kind of a statement, derived from keywords in its text. Safety
// does not depend on it: a replica refuses writes, and every answer of a primary
// is checked for writes.
type Kind uint8

// The kinds of statements.
const (
	// KindNone is a text without a statement.
	KindNone Kind = iota
	KindRead
	KindWrite
	KindBegin
	KindSet
	KindCopy
	// KindLocal is a statement on state that the proxy keeps, such as SHOW
	// oleanderflow.token or DISCARD ALL.
	KindLocal
	// KindSessionBound is a statement that needs state bound to one database
	// connection.
	KindSessionBound
)

// Classify returns the kind of a query text.
func Classify(query string) Kind {
	word, rest := cutWord(skipComments(query))
	switch word {
	case "":
		return KindNone
	case "select", "values", "table":
		return classifySelect(rest)
	case "with", "explain":
		return classifyRead(rest)
	case "show":
		return classifyShow(rest)
	case "begin", "start":
		return KindBegin
	case "set", "reset":
		return classifySet(rest)
	case "discard", "deallocate":
		return KindLocal
	case "copy":
		return KindCopy
	case "listen", "unlisten", "prepare", "execute", "load":
		return KindSessionBound
	case "declare":
		if containsFold(rest, "with hold") {
			return KindSessionBound
		}
	case "create":
		next, _ := cutWord(rest)
		if next == "temp" || next == "temporary" || next == "local" || next == "global" {
			return KindSessionBound
		}
	}
	return KindWrite
}

func classifySelect(rest string) Kind {
	if containsFold(rest, "pg_advisory_lock(") || containsFold(rest, "pg_try_advisory_lock(") {
		return KindSessionBound
	}
	if containsFold(rest, "for update") || containsFold(rest, "for share") || containsFold(rest, "for no key update") {
		return KindWrite
	}
	return classifyRead(rest)
}

// classifyRead returns KindRead, or KindWrite for a text with several
// statements.
func classifyRead(rest string) Kind {
	if at := strings.IndexByte(rest, ';'); at >= 0 && strings.TrimSpace(rest[at+1:]) != "" {
		return KindWrite
	}
	return KindRead
}

func classifyShow(rest string) Kind {
	name, _ := cutWord(rest)
	if strings.HasPrefix(name, "oleanderflow.") {
		return KindLocal
	}
	return KindRead
}

func classifySet(rest string) Kind {
	name, _ := cutWord(rest)
	if name == "local" || name == "transaction" || name == "constraints" {
		return KindWrite
	}
	if classifyRead(rest) == KindWrite {
		return KindWrite
	}
	return KindSet
}

// skipComments drops white space, comments, semicolons and opening parentheses
// before the first word.
func skipComments(s string) string {
	for {
		s = strings.TrimLeft(s, " \t\r\n;(")
		switch {
		case strings.HasPrefix(s, "/*"):
			s = s[commentLength(s):]
		case strings.HasPrefix(s, "--"):
			end := strings.IndexAny(s, "\r\n")
			if end < 0 {
				return ""
			}
			s = s[end+1:]
		default:
			return s
		}
	}
}

// commentLength returns the length of the comment that s begins with, which may hold
// others. It is that of s if the comment does not end.
func commentLength(s string) int {
	depth := 0
	for i := 0; i+1 < len(s); i++ {
		switch s[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
			if depth == 0 {
				return i + 1
			}
		}
	}
	return len(s)
}

// cutWord splits s after its first word, which it returns in lower case.
func cutWord(s string) (word, rest string) {
	s = strings.TrimLeft(s, " \t\r\n")
	end := 0
	for end < len(s) && isWordByte(s[end]) {
		end++
	}
	return lower(s[:end]), s[end:]
}

func isWordByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '.'
}

// lower returns s in lower case, without an allocation if it is already.
func lower(s string) string {
	for i := 0; i < len(s); i++ {
		if s[i] >= 'A' && s[i] <= 'Z' {
			return strings.ToLower(s)
		}
	}
	return s
}

// containsFold reports whether s contains sub, ignoring case.
func containsFold(s, sub string) bool {
	for i := 0; i+len(sub) <= len(s); i++ {
		if strings.EqualFold(s[i:i+len(sub)], sub) {
			return true
		}
	}
	return false
}

// parseSet parses "name = value", "name TO value" or "TIME ZONE value" after
// SET. It returns false for other forms.
func parseSet(query string) (name, value string, ok bool) {
	_, rest := cutWord(skipComments(query))
	rest = strings.TrimRight(strings.TrimSpace(stripTrailingComment(rest)), "; \t\r\n")
	word, after := cutWord(rest)
	if word == "session" {
		word, after = cutWord(after)
	}
	after = strings.TrimSpace(after)
	if word == "time" {
		if zone, value := cutWord(after); zone == "zone" {
			return "timezone", unquote(strings.TrimSpace(value)), true
		}
	}
	switch {
	case strings.HasPrefix(after, "="):
		return word, unquote(strings.TrimSpace(after[1:])), word != ""
	case len(after) > 2 && strings.EqualFold(after[:2], "to") && !isWordByte(after[2]):
		return word, unquote(strings.TrimSpace(after[2:])), word != ""
	}
	return word, "", false
}

func stripTrailingComment(s string) string {
	trimmed := strings.TrimRight(s, " \t\r\n;")
	if strings.HasSuffix(trimmed, "*/") {
		if at := strings.LastIndex(trimmed, "/*"); at >= 0 {
			return trimmed[:at]
		}
	}
	return s
}

// unquote returns the content of a quoted value, and "" for DEFAULT.
func unquote(s string) string {
	if len(s) >= 2 && s[0] == '\'' && s[len(s)-1] == '\'' {
		return strings.ReplaceAll(s[1:len(s)-1], "''", "'")
	}
	if strings.EqualFold(s, "default") {
		return ""
	}
	return s
}
