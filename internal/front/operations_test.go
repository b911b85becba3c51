package front

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
)

// tableRows returns the cells of the table under a heading of docs/OPERATIONS.md,
// without its head. The first cell of a row is at index 1.
func tableRows(t *testing.T, heading string) [][]string {
	content, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	_, section, found := strings.Cut(string(content), "\n## "+heading+"\n")
	require.True(t, found, heading)
	section, _, _ = strings.Cut(section, "\n## ")
	var rows [][]string
	for line := range strings.Lines(section) {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			rows = append(rows, cells)
		}
	}
	require.Greater(t, len(rows), 2, heading)
	return rows[2:]
}

// tableColumn returns the first column of a table.
func tableColumn(t *testing.T, heading string) []string {
	var column []string
	for _, cells := range tableRows(t, heading) {
		column = append(column, strings.TrimSpace(cells[1]))
	}
	return column
}

// sources returns the text of the program's sources.
func sources(t *testing.T) string {
	var b strings.Builder
	for _, root := range []string{"../../internal", "../../platform", "../../cmd"} {
		require.NoError(t, filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			content, err := os.ReadFile(path)
			b.Write(content)
			return err
		}))
	}
	return b.String()
}

// An operator who looks for a line or a metric of the documentation must find it.
func TestDocumentedLinesAndMetricsExist(t *testing.T) {
	text := sources(t)
	for _, cell := range tableColumn(t, "Lines") {
		for name := range strings.SplitSeq(cell, "; ") {
			name = strings.TrimSuffix(name, " (debug)")
			require.True(t, strings.Contains(text, `"`+name+`"`), "log line %q", name)
		}
	}
	for _, row := range tableRows(t, "Alarms") {
		for name := range strings.SplitSeq(strings.TrimSpace(row[2]), "; ") {
			if name != "any line repeated" {
				require.True(t, strings.Contains(text, `"`+name+`"`), "log line %q", name)
			}
		}
	}
	for _, cell := range tableColumn(t, "Metrics") {
		names, _, _ := strings.Cut(cell, " by ")
		for name := range strings.SplitSeq(names, ", ") {
			name = strings.TrimSuffix(strings.TrimSuffix(name, "_bucket"), "_count")
			require.True(t, strings.Contains(text, `"`+name+`"`), "metric %q", name)
		}
	}
}

// The table of refusals leads from a line to its reason, and workspaces.md to what to alarm
// on: both must name what the program writes.
func TestDocumentedRefusalsAndMetricsOfWorkspacesExist(t *testing.T) {
	text := sources(t)
	content, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	_, section, found := strings.Cut(string(content), "\n### Refused: key, limit, old proof or capacity\n")
	require.True(t, found)
	section, _, _ = strings.Cut(section, "\n### ")
	reasons := make(map[string]bool)
	for line := range strings.Lines(section) {
		cells := strings.Split(line, "|")
		if len(cells) < 3 || strings.HasPrefix(cells[1], "-") || strings.TrimSpace(cells[1]) == "reason" {
			continue
		}
		reasons[strings.TrimSpace(cells[1])] = true
		require.Contains(t, text, `"`+strings.TrimSpace(cells[2])+`"`)
	}
	for r := range session.ReasonCount {
		require.True(t, reasons[r.String()], "reason %s", r)
	}
	content, err = os.ReadFile("../../docs/operators/workspaces.md")
	require.NoError(t, err)
	names := regexp.MustCompile(`oleanderflow_(workspace\w+)`).FindAllStringSubmatch(string(content), -1)
	require.NotEmpty(t, names)
	for _, name := range names {
		require.Contains(t, text, `"`+name[1]+`"`)
	}
}
