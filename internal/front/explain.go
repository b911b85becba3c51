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

// ExplainOptions are the arguments of explain.
type ExplainOptions struct {
	ID    string        `arg:"positional,required" placeholder:"ID" help:"the request's id"`
	Files []string      `arg:"positional,required" placeholder:"FILE" help:"log files of one or more instances"`
	Span  time.Duration `arg:"--span" default:"3s" help:"how long before the request's first line beliefs on its group are shown"`
	JSON  bool          `arg:"--json" help:"print the lines as JSON"`
}

// logLine is a line of a log.
type logLine struct {
	at     time.Time
	fields map[string]any
	text   string
}

func (l *logLine) field(name string) string {
	text, _ := l.fields[name].(string)
	return text
}

// lineLimit bounds a line of a log, in bytes.
const lineLimit = 1 << 20

func readLog(name string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, lineLimit)
	for scanner.Scan() {
		// A collector may have put something of its own before the line.
		_, text, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		l := logLine{text: "{" + text}
		if json.Unmarshal([]byte(l.text), &l.fields) != nil {
			continue
		}
		if l.at, err = time.Parse(timeLayout, l.field("ts")); err != nil {
			continue
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// story returns the lines of a request, and those that changed what was
// believed of its group within span before its first line, in the order of
// their times.
func story(lines []logLine, id string, span time.Duration) []logLine {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var first, last time.Time
	group := ""
	for i := range lines {
		if lines[i].field("request") != id {
			continue
		}
		if first.IsZero() {
			first = lines[i].at
		}
		last = lines[i].at
		if group == "" {
			group = lines[i].field("group")
		}
	}
	var told []logLine
	for i := range lines {
		l := &lines[i]
		own := l.field("request") == id
		belief := l.field("request") == "" && (l.field("group") == group && group != "" || l.field("group") == "" && !routine[l.field("msg")])
		if own || belief && !first.IsZero() && !l.at.Before(first.Add(-span)) && !l.at.After(last) {
			told = append(told, *l)
		}
	}
	return told
}

// routine lines concern no group and no change of what is believed.
var routine = map[string]bool{"session refused: no such database": true, "proxies known": true}

func explain(o *ExplainOptions, out io.Writer) int {
	var lines []logLine
	for _, name := range o.Files {
		read, err := readLog(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, "oleanderflow-front:", errors.Wrap(err, "read log"))
			return exitFailed
		}
		lines = append(lines, read...)
	}
	told := story(lines, o.ID, o.Span)
	if len(told) == 0 {
		fmt.Fprintf(os.Stderr, "oleanderflow-front: no line names request %s; it was served in time, or its lines were dropped\n", o.ID)
		return exitFailed
	}
	for i := range told {
		if o.JSON {
			_, _ = fmt.Fprintln(out, told[i].text)
			continue
		}
		_, _ = fmt.Fprintln(out, told[i].human(o.ID))
	}
	return exitOK
}

// human formats a line for people, with a mark before those of the request.
func (l *logLine) human(id string) string {
	mark := "  "
	if l.field("request") == id {
		mark = "> "
	}
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		switch name {
		case "ts", "msg", "level", "instance", "request":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	text := mark + l.at.Format("15:04:05.000") + " " + l.field("instance") + ": " + l.field("msg")
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, l.fields[name])
	}
	return text
}
