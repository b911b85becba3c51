package front

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
)

// hostileTexts are names and ids with bytes that end a line, a column or a label.
var hostileTexts = []string{"a\nb", "a\rb", "a\r\nb", "a\tb", "a\vb\fc", "\x00", "a\xffb", "a\u0085b", "a\u2028b", "\x1b[2J", `a"b\c`, "a,b=c}", "é"}

func TestPrintable(t *testing.T) {
	for text, want := range map[string]string{
		"": "", "plain text, é": "plain text, é", `"quoted" \n`: `"quoted" \n`, "a\n\r\tb": `a\n\r\tb`, "\x00\x1b": `\x00\x1b`,
		"a\xffé": `a\xffé`, "\u0085\u00a0\u2028": `\u0085\u00a0\u2028`, "\ufffd": "\ufffd",
	} {
		require.Equal(t, want, printable(text))
	}
}

func TestPrintableField(t *testing.T) {
	for text, want := range map[string]string{
		"": "", "plain text, é": "plain text, é", "a=b": `"a=b"`, `"a"`: `"\"a\""`, "a\nb": `"a\nb"`, "a\tb": `"a\tb"`, "a\xffb": `"a\xffb"`, `a\b`: `a\b`,
	} {
		require.Equal(t, want, printableField(text))
	}
}

// A name with a line end or a tab was other rows and columns of the tables of explain-route.
func TestExplainRouteTablesAreNotTorn(t *testing.T) {
	table := func(name string) string {
		var out bytes.Buffer
		e := &session.Explanation{Instance: name, Zone: name}
		e.Decision.Why, e.Decision.Outcome, e.Decision.Home, e.Decision.Conditions = name, session.Forwarded, name, []string{name}
		e.Route.Database, e.Route.Name, e.Route.Group = name, name, name
		e.Homes.Order = name
		e.Homes.Candidates = append(e.Homes.Candidates, session.ExplainedHome{})
		e.Homes.Candidates[0].Name, e.Homes.Candidates[0].Zone = name, name
		require.NoError(t, writeRoute(&out, e))
		return out.String()
	}
	lines := strings.Count(table("plain"), "\n")
	for _, name := range hostileTexts {
		requireLines(t, lines, table(name))
	}
}

func requireLines(t *testing.T, count int, text string) {
	t.Helper()
	require.Equal(t, count, strings.Count(text, "\n"), "%q", text)
	text = strings.ReplaceAll(text, "\n", "")
	require.Equal(t, printable(text), text)
}
