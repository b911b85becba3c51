package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// File is one declared file.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Bundle is all that is accepted together: the base and the overlay of each
// site.
type Bundle struct {
	Base     File   `json:"base"`
	Overlays []File `json:"overlays,omitempty"`
}

// Encode returns the bundle's bytes, the same for the same files in any
// order.
func (b Bundle) Encode() ([]byte, error) {
	b.Overlays = slices.Clone(b.Overlays)
	slices.SortFunc(b.Overlays, func(x, y File) int { return strings.Compare(x.Name, y.Name) })
	return json.Marshal(b)
}

// Hash returns the hash that names content.
func Hash(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// DecodeBundle reads what Encode wrote. It returns a *HashError if the
// content is not what hash names.
func DecodeBundle(content []byte, hash string) (Bundle, error) {
	if got := Hash(content); got != hash {
		return Bundle{}, &HashError{Expected: hash, Actual: got}
	}
	var b Bundle
	if err := json.Unmarshal(content, &b); err != nil {
		return Bundle{}, errors.Wrap(err, "decode declarations")
	}
	return b, nil
}

// HashError reports content that its hash does not name.
type HashError struct {
	Expected, Actual string
}

func (e *HashError) Error() string {
	return "declarations do not match their hash: expected " + e.Expected + ", got " + e.Actual
}

// ForSite returns the checked configuration of a site, read by p. A site
// without an overlay of its own runs on the base alone.
func (b Bundle) ForSite(p *Parser, site string) (*Configuration, error) {
	overlay := File{}
	for _, o := range b.Overlays {
		d, err := Parse(o.Name, []byte(o.Text))
		if err != nil {
			return nil, err
		}
		if s := d.find("site"); s != nil && s.find("name") != nil && s.find("name").Text == site {
			overlay = o
		}
	}
	config, _, err := p.Load(b.Base.Name, []byte(b.Base.Text), overlay.Name, []byte(overlay.Text))
	return config, err
}

// Check checks the base with every overlay. It returns an *InvalidError
// with all problems.
func (b Bundle) Check() error {
	var problems []Problem
	sites := make(map[string]string)
	overlays := append([]File{{}}, b.Overlays...)
	for _, o := range overlays {
		config, _, err := Load(b.Base.Name, []byte(b.Base.Text), o.Name, []byte(o.Text))
		var invalid *InvalidError
		switch {
		case errors.As(err, &invalid):
			problems = append(problems, invalid.Problems...)
			continue
		case err != nil:
			return err
		}
		if o.Name == "" {
			continue
		}
		if other, ok := sites[config.Site]; ok {
			problems = append(problems, Problem{
				Source: Source{File: o.Name, Line: 1}, Section: "site", Key: "name",
				Message: "site " + config.Site + " is also that of " + other, Expected: "one overlay for each site",
			})
		}
		sites[config.Site] = o.Name
	}
	if len(problems) > 0 {
		return &InvalidError{Problems: unique(problems)}
	}
	return nil
}

// unique drops problems that several overlays share.
func unique(problems []Problem) []Problem {
	var kept []Problem
	for _, p := range problems {
		if !slices.Contains(kept, p) {
			kept = append(kept, p)
		}
	}
	return kept
}

// Difference is one declared value that a change touches.
type Difference struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
}

// Compare returns what changes from one bundle to another.
func Compare(before, after Bundle) ([]Difference, error) {
	var all []Difference
	for _, name := range fileNames(before, after) {
		old, err := before.values(name)
		if err != nil {
			return nil, err
		}
		next, err := after.values(name)
		if err != nil {
			return nil, err
		}
		all = append(all, compareValues(name, old, next)...)
	}
	return all, nil
}

func fileNames(bundles ...Bundle) []string {
	var names []string
	for _, b := range bundles {
		for _, f := range append([]File{b.Base}, b.Overlays...) {
			if f.Name != "" && !slices.Contains(names, f.Name) {
				names = append(names, f.Name)
			}
		}
	}
	return names
}

type valueKey struct{ section, key string }

type valueList struct {
	order  []valueKey
	values map[valueKey]string
}

func (b Bundle) values(name string) (*valueList, error) {
	list := &valueList{values: make(map[valueKey]string)}
	for _, f := range append([]File{b.Base}, b.Overlays...) {
		if f.Name != name {
			continue
		}
		d, err := Parse(f.Name, []byte(f.Text))
		if err != nil {
			return nil, err
		}
		for _, s := range d.Sections {
			list.add(valueKey{s.Name, ""}, "")
			for _, v := range s.Values {
				list.add(valueKey{s.Name, v.Key}, v.Text)
			}
		}
	}
	return list, nil
}

func (l *valueList) add(k valueKey, text string) {
	l.order = append(l.order, k)
	l.values[k] = text
}

func compareValues(file string, old, next *valueList) []Difference {
	var all []Difference
	for _, k := range old.order {
		text, kept := next.values[k]
		if !kept || text != old.values[k] {
			all = append(all, Difference{File: file, Section: k.section, Key: k.key, Before: old.values[k], After: text})
		}
	}
	for _, k := range next.order {
		if _, had := old.values[k]; !had {
			all = append(all, Difference{File: file, Section: k.section, Key: k.key, After: next.values[k]})
		}
	}
	return all
}
