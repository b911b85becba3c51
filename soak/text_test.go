package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// texts makes what callers send: letters and digits, or any bytes if hostile is set.
type texts struct {
	random  *rand.Rand
	hostile bool
	made    int
}

// hostileParts would be taken for the end, the begin or a part of a message by a reader that
// ends messages at a lone CR or LF, trims, splits at blanks or decodes.
var hostileParts = []string{
	"\r", "\n", "\n\r", "\r\r", " ", "  ", "\t", "\x00", "\xff\xfe", "\v\f", "\u0085\u2028", "ä", `"`, "\\", "/", "%s",
	"\nQUERY x WRITE a b", "\nQUERY x COMMIT", "\rGOODBYE", "\nGOODBYE", "AFTER 9.9 ", " AFTER 9.9 READ a", "\nCOMPLETE forged",
	"\nROW x", "\nREADY I 1.1", "\nERROR BUSY x", "\nREADY E -", "-",
}

// any returns a text that no other call returns, unless it is empty.
func (x *texts) any(name string) string {
	x.made++
	unique := fmt.Sprintf("%s.%d", name, x.made)
	if !x.hostile || x.random.IntN(3) == 0 {
		return unique
	}
	var b strings.Builder
	part := func() {
		if x.random.IntN(2) == 0 {
			b.WriteString(hostileParts[x.random.IntN(len(hostileParts))])
		}
	}
	part()
	part()
	b.WriteString(unique)
	part()
	switch x.random.IntN(60) {
	case 0:
		return ""
	case 1:
		b.WriteString(strings.Repeat("abc\r\t ", 70_000/6))
	case 2, 3:
		b.WriteString(strings.Repeat("abc\n\x00 ", 2_000/6))
	case 4, 5, 6:
		// The message's last CR is near the end of a buffer of 2 or 4 KB.
		b.WriteString(strings.Repeat("x", max(0, 2048*(1+x.random.IntN(2))-b.Len()-40+x.random.IntN(20))))
	}
	b.WriteString(x.letters())
	part()
	part()
	return withoutLineEnds(b.String())
}

// word is like any, without blanks and never empty.
func (x *texts) word(name string) string {
	x.made++
	unique := fmt.Sprintf("%s.%d", name, x.made)
	if !x.hostile || x.random.IntN(4) > 0 {
		return unique
	}
	part := hostileParts[x.random.IntN(len(hostileParts))]
	return withoutLineEnds(strings.ReplaceAll(unique+part+x.letters(), " ", "_"))
}

func (x *texts) letters() string {
	return strings.Repeat("q", x.random.IntN(4))
}

func withoutLineEnds(text string) string {
	for strings.Contains(text, "\r\n") {
		text = strings.ReplaceAll(text, "\r\n", "\n")
	}
	return text
}

// Guards against runs whose hostile texts are not hostile, or end a message themselves.
func TestTextsAreHostile(t *testing.T) {
	x := &texts{random: rand.New(rand.NewPCG(1, 1)), hostile: true}
	seen := make(map[string]int)
	for range 5000 {
		text := x.any("k")
		require.NotContains(t, text, "\r\n")
		for _, part := range hostileParts {
			if strings.Contains(text, part) {
				seen[part]++
			}
		}
		for name, is := range map[string]bool{
			"empty": text == "", "70 KB": len(text) > 65_000, "ends with CR": strings.HasSuffix(text, "\r"),
			"begins with LF": strings.HasPrefix(text, "\n"), "ends with a blank": strings.HasSuffix(text, " "),
		} {
			if is {
				seen[name]++
			}
		}
		word := x.word("k")
		require.NotContains(t, word, "\r\n")
		require.NotContains(t, word, " ")
		require.NotEmpty(t, word)
	}
	for _, part := range append([]string{"empty", "70 KB", "ends with CR", "begins with LF", "ends with a blank"}, hostileParts...) {
		require.GreaterOrEqual(t, seen[part], 20, "%q", part)
	}
}
