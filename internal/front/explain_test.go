package front

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
)

func writeLog(t *testing.T, name string, lines ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	return path
}

func logEntry(second, instance, rest string) string {
	return fmt.Sprintf(`{"level":"info","ts":"2026-01-01T10:00:%sZ","instance":"%s",%s}`, second, instance, rest)
}

// Follows the steps in OPERATIONS.md for a commit that became in doubt because
// the primary was replaced: the output has the request's own lines, preceded by
// the line that names the proxy that replaced the primary.
func TestExplainShowsReplacementBehindInDoubtCommit(t *testing.T) {
	caller := writeLog(t, "a.log",
		logEntry("01.000", "front-a", `"msg":"configuration in force","version":3`),
		logEntry("07.870", "front-a", `"msg":"commit not confirmed","request":"q1","group":"shop1","position":"2/174"`),
		logEntry("07.871", "front-a", `"msg":"request failed","request":"q1","group":"shop1","code":"inDoubt","cause":"no other database is known to have received the commit"`),
		"a line of something else")
	holder := writeLog(t, "b.log",
		`7.1 front-b `+logEntry("07.100", "front-b", `"msg":"replacement claimed","group":"shop1","token":38,"reason":"unreachable"`),
		logEntry("07.200", "front-b", `"msg":"replacement claimed","group":"shop2","token":39`),
		logEntry("09.000", "front-b", `"msg":"replacement done","group":"shop1","token":38`))
	var out bytes.Buffer
	require.Equal(t, exitOK, explain(&ExplainOptions{ID: "q1", Files: []string{caller, holder}, Span: 3e9}, &out))
	printed := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, printed, 3)
	require.Contains(t, printed[0], "front-b: replacement claimed group=shop1 reason=unreachable token=38")
	require.True(t, strings.HasPrefix(printed[1], "> "))
	require.Contains(t, printed[2], "code=inDoubt")

	out.Reset()
	require.Equal(t, exitOK, explain(&ExplainOptions{ID: "q1", Files: []string{caller, holder}, Span: 3e9, JSON: true}, &out))
	require.Equal(t, 3, strings.Count(out.String(), "{"))
}

func TestExplainShowsRefusedRequest(t *testing.T) {
	log := writeLog(t, "a.log",
		logEntry("05.000", "front-a", `"msg":"request sent again","request":"q2","group":"shop1","database":"b","code":"busy","tries":1`),
		logEntry("05.080", "front-a", `"msg":"request failed","request":"q2","group":"shop1","code":"busy","cause":"b: busy: b"`))
	var out bytes.Buffer
	require.Equal(t, exitOK, explain(&ExplainOptions{ID: "q2", Files: []string{log}, Span: 1e9}, &out))
	require.Contains(t, out.String(), "request sent again")
	require.Contains(t, out.String(), "cause=b: busy: b")
}

func TestExplainShowsConfigurationBeforeMissingRoute(t *testing.T) {
	log := writeLog(t, "a.log",
		logEntry("04.000", "front-a", `"msg":"configuration in force","version":9,"routes":18`),
		logEntry("05.000", "front-a", `"msg":"request failed","request":"q3","database":"fills","code":"noDatabase","cause":"fills","version":9`))
	var out bytes.Buffer
	require.Equal(t, exitOK, explain(&ExplainOptions{ID: "q3", Files: []string{log}, Span: 3e9}, &out))
	require.Contains(t, out.String(), "configuration in force routes=18 version=9")
	require.Contains(t, out.String(), "code=noDatabase")
}

func TestExplainFailsWithoutMatchingLines(t *testing.T) {
	var out bytes.Buffer
	require.Equal(t, exitFailed, explain(&ExplainOptions{ID: "q", Files: []string{writeLog(t, "a.log", "")}}, &out))
	require.Equal(t, exitFailed, explain(&ExplainOptions{ID: "q", Files: []string{"/nowhere"}}, &out))
	require.Empty(t, out.String())
}

// Write must not block on a stalled output, and must count the dropped lines.
func TestLogWriterDropsLinesBeyondBuffer(t *testing.T) {
	blocked := make(chan struct{})
	l := NewLogWriter(writerFunc(func(p []byte) (int, error) {
		<-blocked
		return len(p), nil
	}))
	text := []byte(strings.Repeat("x", 999) + "\n")
	for range 3 * maxBufferedBytes / len(text) {
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

func TestLoadSettingsRejectsInvalidValues(t *testing.T) {
	valid := "[instance]\nname = a\navailabilityZone = z\n[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\nmetrics = 127.0.0.1:3\npeers = 127.0.0.1:4\n" +
		"[platform]\nstore = 127.0.0.1:5\npromotions = 127.0.0.1:6\n[shutdown]\ngraceSeconds = 6\n[later]\nkey = ignored\n"
	s, err := LoadSettings(writeLog(t, "s.ini", valid))
	require.NoError(t, err)
	require.Equal(t, "a", s.Name)
	var settingsErr *SettingsError
	_, err = LoadSettings(writeLog(t, "s.ini", strings.Replace(valid, "127.0.0.1:5", "store:5", 1)))
	require.ErrorAs(t, err, &settingsErr)
	require.Equal(t, "store", settingsErr.Key)
	_, err = LoadSettings(writeLog(t, "s.ini", strings.Replace(valid, "graceSeconds = 6", "graceSeconds = six", 1)))
	require.ErrorAs(t, err, &settingsErr)
	_, err = LoadSettings(writeLog(t, "s.ini", strings.Replace(valid, "name = a", "", 1)))
	require.ErrorAs(t, err, &settingsErr)
	_, err = LoadSettings("")
	require.ErrorContains(t, err, "--settings")
}

// Callers choose the ids of requests, and databases the texts of errors. None may look
// like a line or a field of another.
func TestExplainedTextsForgeNoLinesAndFields(t *testing.T) {
	quoted := regexp.MustCompile(`"([^"\\]|\\.)*"`)
	forged := "7\n> 10:00:05.000 front-a: request failed code=inDoubt"
	for _, id := range []string{forged, "7 code=inDoubt", "7\r", "7\x00", "7\xff\xfe", "7\x1b[2K", "7\u2028"} {
		path := filepath.Join(t.TempDir(), "a.log")
		file, err := os.Create(path)
		require.NoError(t, err)
		lines := NewLogWriter(file)
		log, err := NewLog(lines, "info", "front-a")
		require.NoError(t, err)
		log.Info("request failed", zap.String("request", id), zap.String("code", "busy"), zap.String("cause", forged),
			zap.String("workspace", forged), zap.Stringer("reason", session.ReasonCapacity), zap.String("other", id))
		lines.Close()
		require.NoError(t, file.Close())
		var out bytes.Buffer
		require.Equal(t, exitOK, explain(&ExplainOptions{ID: id, Files: []string{path}}, &out), "%q", id)
		printed := strings.Split(out.String(), "\n")
		require.Len(t, printed, 3, "%q", out.String())
		unquoted := quoted.ReplaceAllString(printed[0], `""`)
		require.Equal(t, 1, strings.Count(unquoted, " code="), "%q", printed[0])
		require.Contains(t, unquoted, " code=busy ")
		require.True(t, strings.HasPrefix(printed[1], "= "))
		require.Empty(t, printed[2])
		for _, text := range printed {
			require.NotContains(t, text, "\x1b")
			require.NotContains(t, text, "\r")
			require.NotContains(t, text, "\x00")
		}
	}
}

// The log has a maximum rate. Lines with the long texts of one caller must not take it from
// all others.
func TestLongTextsAreShortInTheLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.log")
	file, err := os.Create(path)
	require.NoError(t, err)
	lines := NewLogWriter(file)
	log, err := NewLog(lines, "info", "front-a")
	require.NoError(t, err)
	long := strings.Repeat("\x00ä", 5_000)
	for range 5 {
		log.Info("request failed", zap.String("request", long), zap.String("code", "busy"))
	}
	log.With(zap.String("group", long)).Info("primary suspected")
	log.Info("request failed", zap.String("request", "7"), zap.String("code", "busy"))
	lines.Close()
	require.NoError(t, file.Close())
	require.Zero(t, lines.Dropped())
	for _, id := range []string{"7", long} {
		var out bytes.Buffer
		require.Equal(t, exitOK, explain(&ExplainOptions{ID: id, Files: []string{path}}, &out))
		require.Contains(t, out.String(), "code=busy")
	}
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Less(t, len(content), 64<<10)
}
