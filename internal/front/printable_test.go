package front

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

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

// An id with a line end was several lines of explain's output.
func TestExplainPrintsALineForEachLine(t *testing.T) {
	for _, id := range hostileTexts {
		var content bytes.Buffer
		w := NewLogWriter(&content)
		log, err := NewLog(w, "info", "front-"+id)
		require.NoError(t, err)
		log.Info("request failed", zap.String("request", id), zap.String("group", id), zap.String("cause", id), zap.String("workspace", id), zap.String("reason", "capacity"))
		w.Close()
		require.Equal(t, 1, bytes.Count(content.Bytes(), []byte("\n")))
		require.True(t, json.Valid(content.Bytes()))
		var out bytes.Buffer
		require.Equal(t, exitOK, explain(&ExplainOptions{ID: id, Files: []string{writeLog(t, "a.log", strings.TrimSuffix(content.String(), "\n"))}}, &out), "%q", id)
		requireLines(t, 2, out.String())
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

// The exposition format knows three escapes. Others, and bytes that are not UTF-8, made a
// scrape fail as a whole.
func TestMetricLabelsAreEscaped(t *testing.T) {
	for value, want := range map[string]string{
		"plain é": "plain é", "a\nb": `a\nb`, `a"b\`: `a\"b\\`, "a\tb\x00\r": "a\tb\x00\r", "a\u0085": "a\u0085", "a\xff": "a\ufffd", "a\",x=\"b": `a\",x=\"b`,
	} {
		require.Equal(t, `m{group="`+want+`"}`, seriesName("m", map[string]string{"group": value}))
		require.Equal(t, `m{group="`+want+`"}`, seriesName("m", nil, "group", value))
	}
}
