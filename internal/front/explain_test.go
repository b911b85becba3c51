package front

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func writeLog(t *testing.T, name string, lines ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	return path
}

func line(second, instance, rest string) string {
	return fmt.Sprintf(`{"level":"info","ts":"2026-01-01T10:00:%sZ","instance":"%s",%s}`, second, instance, rest)
}

// The steps of OPERATIONS.md, for a commit that is in doubt over a
// replacement: the request's lines, and before them who replaced the primary.
func TestExplainFindsTheReplacementBehindADoubt(t *testing.T) {
	caller := writeLog(t, "a.log",
		line("01.000", "front-a", `"msg":"configuration in force","version":3`),
		line("07.870", "front-a", `"msg":"commit not confirmed","request":"q1","group":"shop1","position":"2/174"`),
		line("07.871", "front-a", `"msg":"request failed","request":"q1","group":"shop1","code":"inDoubt","cause":"no other database is known to have received the commit"`),
		"a line of something else")
	holder := writeLog(t, "b.log",
		`7.1 front-b `+line("07.100", "front-b", `"msg":"replacement claimed","group":"shop1","token":38,"reason":"unreachable"`),
		line("07.200", "front-b", `"msg":"replacement claimed","group":"shop2","token":39`),
		line("09.000", "front-b", `"msg":"replacement done","group":"shop1","token":38`))
	var out bytes.Buffer
	require.Equal(t, exitOK, explain(&ExplainOptions{ID: "q1", Files: []string{caller, holder}, Span: 3e9}, &out))
	told := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, told, 3)
	require.Contains(t, told[0], "front-b: replacement claimed group=shop1 reason=unreachable token=38")
	require.True(t, strings.HasPrefix(told[1], "> "))
	require.Contains(t, told[2], "code=inDoubt")

	out.Reset()
	require.Equal(t, exitOK, explain(&ExplainOptions{ID: "q1", Files: []string{caller, holder}, Span: 3e9, JSON: true}, &out))
	require.Equal(t, 3, strings.Count(out.String(), "{"))
}

func TestExplainRefusal(t *testing.T) {
	log := writeLog(t, "a.log",
		line("05.000", "front-a", `"msg":"request sent again","request":"q2","group":"shop1","database":"b","code":"busy","tries":1`),
		line("05.080", "front-a", `"msg":"request failed","request":"q2","group":"shop1","code":"busy","cause":"b: busy: b"`))
	var out bytes.Buffer
	require.Equal(t, exitOK, explain(&ExplainOptions{ID: "q2", Files: []string{log}, Span: 1e9}, &out))
	require.Contains(t, out.String(), "request sent again")
	require.Contains(t, out.String(), "cause=b: busy: b")
}

func TestExplainMissingRoute(t *testing.T) {
	log := writeLog(t, "a.log",
		line("04.000", "front-a", `"msg":"configuration in force","version":9,"routes":18`),
		line("05.000", "front-a", `"msg":"request failed","request":"q3","database":"fills","code":"noDatabase","cause":"fills","version":9`))
	var out bytes.Buffer
	require.Equal(t, exitOK, explain(&ExplainOptions{ID: "q3", Files: []string{log}, Span: 3e9}, &out))
	require.Contains(t, out.String(), "configuration in force routes=18 version=9")
	require.Contains(t, out.String(), "code=noDatabase")
}

func TestExplainSaysWhatItDoesNotFind(t *testing.T) {
	var out bytes.Buffer
	require.Equal(t, exitFailed, explain(&ExplainOptions{ID: "q", Files: []string{writeLog(t, "a.log", "")}}, &out))
	require.Equal(t, exitFailed, explain(&ExplainOptions{ID: "q", Files: []string{"/nowhere"}}, &out))
	require.Empty(t, out.String())
}

// The log never blocks, and counts what it drops.
func TestLinesDropsWhatDoesNotFit(t *testing.T) {
	blocked := make(chan struct{})
	l := NewLogWriter(writerFunc(func(p []byte) (int, error) {
		<-blocked
		return len(p), nil
	}))
	text := []byte(strings.Repeat("x", 999) + "\n")
	for range 3 * logBuffer / len(text) {
		n, err := l.Write(text)
		require.NoError(t, err)
		require.Equal(t, len(text), n)
	}
	require.NotZero(t, l.Dropped())
	close(blocked)
	l.Close()
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

func TestSettingsAreChecked(t *testing.T) {
	valid := "[instance]\nname = a\navailabilityZone = z\n[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\nmetrics = 127.0.0.1:3\npeers = 127.0.0.1:4\n" +
		"[platform]\nstore = 127.0.0.1:5\npromotions = 127.0.0.1:6\n[shutdown]\ngraceSeconds = 6\n[later]\nkey = ignored\n"
	s, err := LoadSettings(writeLog(t, "s.ini", valid))
	require.NoError(t, err)
	require.Equal(t, "a", s.Name)
	var bad *SettingsError
	_, err = LoadSettings(writeLog(t, "s.ini", strings.Replace(valid, "127.0.0.1:5", "store:5", 1)))
	require.ErrorAs(t, err, &bad)
	require.Equal(t, "store", bad.Key)
	_, err = LoadSettings(writeLog(t, "s.ini", strings.Replace(valid, "graceSeconds = 6", "graceSeconds = six", 1)))
	require.ErrorAs(t, err, &bad)
	_, err = LoadSettings(writeLog(t, "s.ini", strings.Replace(valid, "name = a", "", 1)))
	require.ErrorAs(t, err, &bad)
	_, err = LoadSettings("")
	require.ErrorContains(t, err, "--settings")
}
