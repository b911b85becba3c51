// Package operator parses, merges, validates and compares the operators'
// configuration files: one base file for all sites and one overlay file per
// site.
package operator

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxFileSize is the largest accepted configuration file, in bytes.
const MaxFileSize = 8 << 20

// Source is the file and line, counted from 1, of a section or value.
type Source struct {
	File string
	Line int
}

// String formats the source as "file:line".
func (s Source) String() string { return fmt.Sprintf("%s:%d", s.File, s.Line) }

// Value is one "key = text" line of a section.
type Value struct {
	Key    string
	Text   string
	Source Source
}

// Section is one section of a file, such as [group.shop1], whose Name is
// "group.shop1".
type Section struct {
	Name   string
	Source Source
	Values []Value
}

// Kind returns the part of the section's name before the first dot, such as
// "group", or the whole name if it has no dot. It returns "workspace" for a
// section such as [workspace north].
func (s *Section) Kind() string {
	kind, _ := s.split()
	return kind
}

// ObjectName returns the part of the section's name after its kind, such as
// "shop1", or "" if there is none.
func (s *Section) ObjectName() string {
	_, name := s.split()
	return name
}

func (s *Section) split() (kind, name string) {
	if fields := strings.Fields(s.Name); len(fields) > 0 && fields[0] == workspaceKind {
		return workspaceKind, strings.Join(fields[1:], " ")
	}
	kind, name, _ = strings.Cut(s.Name, ".")
	return kind, name
}

func (s *Section) find(key string) *Value {
	for i := range s.Values {
		if s.Values[i].Key == key {
			return &s.Values[i]
		}
	}
	return nil
}

// Document holds the sections of one file, or of a base file merged with an
// overlay, in file order.
type Document struct {
	Sections []Section
	// byName maps a section's name to its index in Sections.
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

// Problem is one fault found in a configuration file.
type Problem struct {
	Source   Source
	Section  string
	Key      string
	Message  string
	Expected string
	// Nearest is the known name that a misspelt one resembles most, or "".
	Nearest string
}

// String formats the problem as one line that begins with "file:line: ".
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

// InvalidError reports the problems found in the configuration files.
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

// Parser parses files. It caches the parsed sections of the last file, so
// that only the changed sections of its next version are parsed. It is not
// safe for concurrent use.
type Parser struct {
	// cache maps a section's text, heading included, to its parsed form.
	cache map[string]*parsedSection
}

// NewParser returns a parser with an empty cache.
func NewParser() *Parser { return &Parser{cache: make(map[string]*parsedSection)} }

// parsedSection is a section's parsed text. Its line numbers are relative to
// the heading, which is line 1, so that it stays valid when the section moves
// within the file.
type parsedSection struct {
	name   string
	values []Value
	// lines holds the line of each element of values.
	lines      []int
	duplicates []duplicate
}

// Parse parses a file's content with an empty cache; file is the name that
// problems refer to. It returns an *InvalidError if the content is not an INI
// file, is larger than MaxFileSize, or declares a section or key twice.
func Parse(file string, content []byte) (*Document, error) { return NewParser().Parse(file, content) }

// Parse parses a file's content like the function Parse, but takes unchanged
// sections from the cache.
func (p *Parser) Parse(file string, content []byte) (*Document, error) {
	if len(content) > MaxFileSize {
		return nil, newInvalidError(Source{File: file, Line: 1}, "", "", fmt.Sprintf("file has %d bytes", len(content)), fmt.Sprintf("at most %d", MaxFileSize))
	}
	d := &Document{}
	cache := make(map[string]*parsedSection, len(p.cache))
	var problems []Problem
	for line, text := range splitSections(string(content)) {
		c, err := p.parseSection(text)
		if err != nil {
			return nil, newInvalidError(Source{File: file, Line: line}, "", "", err.Error(), "an INI file")
		}
		cache[text] = c
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
	p.cache = cache
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return d, nil
}

// splitSections yields the first line number and the text of each section,
// and of any text before the first heading.
func splitSections(content string) func(yield func(int, string) bool) {
	return func(yield func(int, string) bool) {
		start, startLine, lineNumber, offset := 0, 1, 0, 0
		for line := range strings.Lines(content) {
			lineNumber++
			if strings.HasPrefix(strings.TrimSpace(line), "[") && offset > start {
				if !yield(startLine, content[start:offset]) {
					return
				}
				start, startLine = offset, lineNumber
			}
			offset += len(line)
		}
		if offset > start {
			yield(startLine, content[start:offset])
		}
	}
}

// parseSection parses the text of one section, or takes it from the cache.
func (p *Parser) parseSection(text string) (*parsedSection, error) {
	if c, ok := p.cache[text]; ok {
		return c, nil
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", IgnoreContinuation: true}, []byte(text))
	if err != nil {
		return nil, err
	}
	index := indexLines(text)
	c := &parsedSection{name: ini.DefaultSection, duplicates: index.duplicates}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		c.name = s.Name()
		for _, k := range s.Keys() {
			c.values = append(c.values, Value{Key: k.Name(), Text: k.String()})
			c.lines = append(c.lines, index.lineOf(s.Name(), k.Name()))
		}
	}
	if index.heading != "" {
		c.name = index.heading
	}
	return c, nil
}

// section returns the Section whose heading is at the given line of file.
func (c *parsedSection) section(file string, line int) Section {
	s := Section{Name: c.name, Source: Source{File: file, Line: line}, Values: make([]Value, len(c.values))}
	for i, v := range c.values {
		v.Source = Source{File: file, Line: line + c.lines[i] - 1}
		s.Values[i] = v
	}
	return s
}

// problems returns a problem for each duplicate; the heading is at the given
// line of file.
func (c *parsedSection) problems(file string, line int) []Problem {
	var problems []Problem
	for _, d := range c.duplicates {
		problems = append(problems, Problem{
			Source: Source{File: file, Line: line + d.line - 1}, Section: c.name, Key: d.entry.key,
			Message: fmt.Sprintf("declared twice, first in line %d", line+d.first-1),
		})
	}
	return problems
}

func newInvalidError(source Source, section, key, message, expected string) *InvalidError {
	return &InvalidError{Problems: []Problem{{Source: source, Section: section, Key: key, Message: message, Expected: expected}}}
}

// lineKey identifies a key of a section, or the section's heading if key is
// empty.
type lineKey struct{ section, key string }

// lineIndex holds the line of the first declaration of each key and heading
// in a text, counted from 1.
type lineIndex struct {
	lines      map[lineKey]int
	duplicates []duplicate
	// heading is the last heading's section name as written, or "".
	heading string
}

// duplicate is a repeated declaration, with the lines of the first and the
// repeated one.
type duplicate struct {
	entry       lineKey
	first, line int
}

// indexLines scans content for the line of each heading and key, which the
// INI library does not report.
func indexLines(content string) *lineIndex {
	index := &lineIndex{lines: make(map[lineKey]int)}
	section := ini.DefaultSection
	lineNumber := 0
	for line := range strings.Lines(content) {
		lineNumber++
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == ';' || line[0] == '#':
		case line[0] == '[' && strings.Contains(line, "]"):
			section = strings.TrimSpace(line[1:strings.Index(line, "]")])
			index.heading = section
			index.add(lineKey{section, ""}, lineNumber)
		default:
			if key, _, ok := strings.Cut(line, "="); ok {
				index.add(lineKey{section, strings.TrimSpace(key)}, lineNumber)
			}
		}
	}
	return index
}

// add records the line of entry, or a duplicate if entry already has a line.
func (i *lineIndex) add(entry lineKey, line int) {
	if first, ok := i.lines[entry]; ok {
		i.duplicates = append(i.duplicates, duplicate{entry: entry, first: first, line: line})
		return
	}
	i.lines[entry] = line
}

// lineOf returns the line of a key, or 1, the heading, if it is not indexed.
func (i *lineIndex) lineOf(section, key string) int {
	if line, ok := i.lines[lineKey{section, key}]; ok {
		return line
	}
	return 1
}

// Merge returns a copy of base with the overlay's values in place of the
// base's. A nil overlay changes nothing. An overlay may only set keys that the
// base sets, except that it may add the section [site]; anything else is
// reported as an *InvalidError.
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
		problems = append(problems, merged.applyOverlay(s)...)
	}
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return merged, nil
}

// applyOverlay replaces the values that the overlay's section s sets. It
// returns a problem for each section or key that d lacks.
func (d *Document) applyOverlay(s Section) []Problem {
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
