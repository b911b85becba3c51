// Package operator reads what operators declare: one base file for all
// sites and an overlay for each, merged, checked and compared.
package operator

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxFileSize bounds a declaration file, in bytes.
const MaxFileSize = 8 << 20

// Source is where a value was declared.
type Source struct {
	File string
	Line int
}

// String formats the source as "file:line".
func (s Source) String() string { return fmt.Sprintf("%s:%d", s.File, s.Line) }

// Value is one declared key.
type Value struct {
	Key    string
	Text   string
	Source Source
}

// Section is one section of a file, such as [group.shop1].
type Section struct {
	Name   string
	Source Source
	Values []Value
}

// Kind returns the part of the section's name before the first dot.
func (s *Section) Kind() string {
	kind, _, _ := strings.Cut(s.Name, ".")
	return kind
}

// ObjectName returns the part of the section's name after the first dot.
func (s *Section) ObjectName() string {
	_, subject, _ := strings.Cut(s.Name, ".")
	return subject
}

func (s *Section) find(key string) *Value {
	for i := range s.Values {
		if s.Values[i].Key == key {
			return &s.Values[i]
		}
	}
	return nil
}

// Document is the sections of a file, in order.
type Document struct {
	Sections []Section
	// byName holds each section's index.
	byName map[string]int
}

func (d *Document) add(s Section) {
	if d.byName == nil {
		d.byName = make(map[string]int)
	}
	d.byName[s.Name] = len(d.Sections)
	d.Sections = append(d.Sections, s)
}

func (d *Document) find(name string) *Section {
	if i, ok := d.byName[name]; ok {
		return &d.Sections[i]
	}
	return nil
}

// Problem is one fault of a declaration.
type Problem struct {
	Source   Source
	Section  string
	Key      string
	Message  string
	Expected string
	// Nearest is a known name close to a misspelt one.
	Nearest string
}

// String formats the problem in one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.Source.String() + ": ")
	if p.Section != "" {
		b.WriteString("[" + p.Section + "] ")
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Message)
	if p.Expected != "" {
		b.WriteString("; expected " + p.Expected)
	}
	if p.Nearest != "" {
		b.WriteString("; did you mean " + p.Nearest + "?")
	}
	return b.String()
}

// InvalidError reports all faults of a declaration.
type InvalidError struct {
	Problems []Problem
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Parser reads files. It keeps what it read of each section, so that a file
// of which little has changed is read quickly.
type Parser struct {
	known map[string]*chunk
}

// NewParser returns a parser that has read nothing yet.
func NewParser() *Parser { return &Parser{known: make(map[string]*chunk)} }

// chunk is the text from one section's heading to the next, as it was read.
type chunk struct {
	name   string
	values []Value
	// lines are the values' lines, counted from the heading.
	lines      []int
	duplicates []duplicate
}

// Parse reads the sections of a file. It returns an *InvalidError for text
// that is no INI file, is too long, or declares a name twice.
func Parse(file string, content []byte) (*Document, error) { return NewParser().Parse(file, content) }

// Parse reads the sections of a file as the function Parse does.
func (p *Parser) Parse(file string, content []byte) (*Document, error) {
	if len(content) > MaxFileSize {
		return nil, invalid(Source{File: file, Line: 1}, "", "", fmt.Sprintf("file has %d bytes", len(content)), fmt.Sprintf("at most %d", MaxFileSize))
	}
	d := &Document{}
	known := make(map[string]*chunk, len(p.known))
	var problems []Problem
	for line, text := range chunks(string(content)) {
		c, err := p.read(text)
		if err != nil {
			return nil, invalid(Source{File: file, Line: line}, "", "", err.Error(), "an INI file")
		}
		known[text] = c
		problems = append(problems, c.problems(file, line)...)
		if c.name == ini.DefaultSection && len(c.values) == 0 {
			continue
		}
		if first := d.find(c.name); first != nil {
			problems = append(problems, Problem{
				Source: Source{File: file, Line: line}, Section: c.name,
				Message: fmt.Sprintf("declared twice, first in line %d", first.Source.Line),
			})
			continue
		}
		d.add(c.section(file, line))
	}
	p.known = known
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return d, nil
}

// chunks yields each section's text with the line that it begins in.
func chunks(content string) func(yield func(int, string) bool) {
	return func(yield func(int, string) bool) {
		start, startLine, number, at := 0, 1, 0, 0
		for line := range strings.Lines(content) {
			number++
			if strings.HasPrefix(strings.TrimSpace(line), "[") && at > start {
				if !yield(startLine, content[start:at]) {
					return
				}
				start, startLine = at, number
			}
			at += len(line)
		}
		if at > start {
			yield(startLine, content[start:at])
		}
	}
}

// read returns what a section's text says.
func (p *Parser) read(text string) (*chunk, error) {
	if c, ok := p.known[text]; ok {
		return c, nil
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", IgnoreContinuation: true}, []byte(text))
	if err != nil {
		return nil, err
	}
	index := indexLines(text)
	c := &chunk{name: ini.DefaultSection, duplicates: index.duplicates}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		c.name = s.Name()
		for _, k := range s.Keys() {
			c.values = append(c.values, Value{Key: k.Name(), Text: k.String()})
			c.lines = append(c.lines, index.of(s.Name(), k.Name()))
		}
	}
	if index.heading != "" {
		c.name = index.heading
	}
	return c, nil
}

// section places a chunk in a file.
func (c *chunk) section(file string, line int) Section {
	s := Section{Name: c.name, Source: Source{File: file, Line: line}, Values: make([]Value, len(c.values))}
	for i, v := range c.values {
		v.Source = Source{File: file, Line: line + c.lines[i] - 1}
		s.Values[i] = v
	}
	return s
}

func (c *chunk) problems(file string, line int) []Problem {
	var problems []Problem
	for _, d := range c.duplicates {
		problems = append(problems, Problem{
			Source: Source{File: file, Line: line + d.line - 1}, Section: c.name, Key: d.at.key,
			Message: fmt.Sprintf("declared twice, first in line %d", line+d.first-1),
		})
	}
	return problems
}

func invalid(at Source, section, key, message, expected string) *InvalidError {
	return &InvalidError{Problems: []Problem{{Source: at, Section: section, Key: key, Message: message, Expected: expected}}}
}

type lineKey struct{ section, key string }

type lineIndex struct {
	lines      map[lineKey]int
	duplicates []duplicate
	// heading is the section's name as it stands in its heading.
	heading string
}

type duplicate struct {
	at          lineKey
	first, line int
}

// indexLines notes the line of each section and key, which the INI library
// does not keep.
func indexLines(content string) *lineIndex {
	index := &lineIndex{lines: make(map[lineKey]int)}
	section := ini.DefaultSection
	number := 0
	for line := range strings.Lines(content) {
		number++
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == ';' || line[0] == '#':
		case line[0] == '[' && strings.Contains(line, "]"):
			section = strings.TrimSpace(line[1:strings.Index(line, "]")])
			index.heading = section
			index.note(lineKey{section, ""}, number)
		default:
			if key, _, ok := strings.Cut(line, "="); ok {
				index.note(lineKey{section, strings.TrimSpace(key)}, number)
			}
		}
	}
	return index
}

func (i *lineIndex) note(at lineKey, line int) {
	if first, ok := i.lines[at]; ok {
		i.duplicates = append(i.duplicates, duplicate{at: at, first: first, line: line})
		return
	}
	i.lines[at] = line
}

func (i *lineIndex) of(section, key string) int {
	if line, ok := i.lines[lineKey{section, key}]; ok {
		return line
	}
	return 1
}

// Merge lays an overlay over a base. The overlay may only change what the
// base declares, and name its site.
func Merge(base, overlay *Document) (*Document, error) {
	merged := &Document{}
	for _, s := range base.Sections {
		s.Values = append([]Value(nil), s.Values...)
		merged.add(s)
	}
	if overlay == nil {
		return merged, nil
	}
	var problems []Problem
	for _, s := range overlay.Sections {
		problems = append(problems, merged.overlay(s)...)
	}
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return merged, nil
}

func (d *Document) overlay(s Section) []Problem {
	target := d.find(s.Name)
	if target == nil && s.Name == "site" {
		d.add(s)
		return nil
	}
	if target == nil {
		return []Problem{{
			Source: s.Source, Section: s.Name, Message: "the base file has no such section",
			Expected: "a section that the base declares", Nearest: nearest(s.Name, d.sectionNames()),
		}}
	}
	var problems []Problem
	for _, v := range s.Values {
		if old := target.find(v.Key); old != nil {
			*old = v
			continue
		}
		problems = append(problems, Problem{
			Source: v.Source, Section: s.Name, Key: v.Key, Message: "the base file has no such key",
			Expected: "a key that the base declares", Nearest: nearest(v.Key, target.keys()),
		})
	}
	return problems
}

func (d *Document) sectionNames() []string {
	names := make([]string, len(d.Sections))
	for i, s := range d.Sections {
		names[i] = s.Name
	}
	return names
}

func (s *Section) keys() []string {
	names := make([]string, len(s.Values))
	for i, v := range s.Values {
		names[i] = v.Key
	}
	return names
}
