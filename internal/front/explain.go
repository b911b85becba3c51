package front

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// ExplainOptions holds the arguments of the explain subcommand.
type ExplainOptions struct {
	ID    string        `arg:"positional,required" placeholder:"ID" help:"the id of a request, or the keyId of a key whose refusals are to be listed"`
	Files []string      `arg:"positional,required" placeholder:"FILE" help:"log files of one or more instances"`
	Span  time.Duration `arg:"--span" default:"3s" help:"how long before the request's first line to include lines about its group"`
	JSON  bool          `arg:"--json" help:"print the lines as JSON"`
}

// logLine is a parsed line of a JSON log file.
type logLine struct {
	timestamp time.Time
	fields    map[string]any
	text      string
}

func (l *logLine) field(name string) string {
	text, _ := l.fields[name].(string)
	return text
}

// printed returns a field as it is printed, an empty string if the line does not have it.
func (l *logLine) printed(name string) string {
	switch value := l.fields[name].(type) {
	case nil:
		return ""
	case string:
		return printableField(value)
	default:
		return printableField(fmt.Sprint(value))
	}
}

// maxLineLength is the maximum length of a log line, in bytes.
const maxLineLength = 1 << 20

func readLog(name string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineLength)
	for scanner.Scan() {
		// Log collectors may prepend text of their own to the line.
		_, text, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		l := logLine{text: "{" + text}
		if json.Unmarshal([]byte(l.text), &l.fields) != nil {
			continue
		}
		if l.timestamp, err = time.Parse(timeLayout, l.field("ts")); err != nil {
			continue
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// selectLines sorts lines by time and returns those of a request. For the
// period that begins span before its first line and ends with its last one, it
// also returns the lines that name the same group but no request, and the lines
// that name neither a request nor a group, except for unrelatedMessages. These
// lines show how the proxy's view of the group changed. If no request has the id, it
// returns the lines about the key that has it as keyId.
func selectLines(lines []logLine, id string, span time.Duration) []logLine {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) })
	var first, last time.Time
	group := ""
	for i := range lines {
		if lines[i].field("request") != id {
			continue
		}
		if first.IsZero() {
			first = lines[i].timestamp
		}
		last = lines[i].timestamp
		if group == "" {
			group = lines[i].field("group")
		}
	}
	var selected []logLine
	for i := range lines {
		l := &lines[i]
		own := l.field("request") == id || first.IsZero() && id != "" && l.field("keyId") == id
		// A refusal without a request is that of another session at its start.
		related := l.field("request") == "" && l.refusal() == "" && (l.field("group") == group && group != "" || l.field("group") == "" && !unrelatedMessages[l.field("msg")])
		if own || related && !first.IsZero() && !l.timestamp.Before(first.Add(-span)) && !l.timestamp.After(last) {
			selected = append(selected, *l)
		}
	}
	return selected
}

// unrelatedMessages are routine messages without a group that say nothing
// about the state of a database.
var unrelatedMessages = map[string]bool{"session refused: no such database": true, "proxies known": true}

// explain prints the log lines of a request and returns the exit code.
func explain(o *ExplainOptions, out io.Writer) int {
	var lines []logLine
	for _, name := range o.Files {
		read, err := readLog(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, "oleanderflow-front:", errors.Wrap(err, "read log file"))
			return exitFailed
		}
		lines = append(lines, read...)
	}
	id := loggedText(o.ID)
	selected := selectLines(lines, id, o.Span)
	if len(selected) == 0 {
		fmt.Fprintf(os.Stderr, "oleanderflow-front: no log line of request or key %q found: requests that are served in time are not logged, and lines may have been dropped\n", o.ID)
		return exitFailed
	}
	for i := range selected {
		if o.JSON {
			_, _ = fmt.Fprintln(out, selected[i].text)
			continue
		}
		_, _ = fmt.Fprintln(out, selected[i].format(id))
	}
	for i := range selected {
		if l := &selected[i]; !o.JSON && l.concerns(id) && l.refusal() != "" {
			_, _ = fmt.Fprintln(out, "= "+l.refusal())
		}
	}
	return exitOK
}

// loggedText returns a text as it is read from a log, whose JSON holds no bytes that are
// not UTF-8.
func loggedText(text string) string { return string([]rune(shortText(text))) }

// concerns reports whether the line is about the request or the key with an id.
func (l *logLine) concerns(id string) bool { return l.field("request") == id || l.field("keyId") == id }

// format returns a human-readable form of the line. Lines of the request or key with
// the given id are marked with ">".
func (l *logLine) format(id string) string {
	prefix := "  "
	if l.concerns(id) {
		prefix = "> "
	}
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		switch name {
		case "ts", "msg", "level", "instance":
		case "request":
			if l.field(name) != id {
				names = append(names, name)
			}
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	text := prefix + l.timestamp.Format("15:04:05.000") + " " + l.printed("instance") + ": " + l.printed("msg")
	for _, name := range names {
		text += " " + printableField(name) + "=" + l.printed(name)
	}
	return text
}
