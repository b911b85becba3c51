package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// File is one configuration file.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Bundle is the content of one configuration version: the base file and the
// overlay files of all sites.
type Bundle struct {
	Base     File   `json:"base"`
	Overlays []File `json:"overlays,omitempty"`
}

// Encode returns the bundle as JSON. Overlays are sorted by name, so that the
// same files in any order have the same encoding and hash.
func (b Bundle) Encode() ([]byte, error) {
	b.Overlays = slices.Clone(b.Overlays)
	slices.SortFunc(b.Overlays, func(x, y File) int { return strings.Compare(x.Name, y.Name) })
	return json.Marshal(b)
}

// Hash returns the SHA-256 hash of content in hexadecimal, which identifies
// the content.
func Hash(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// DecodeBundle decodes the output of Encode. It returns a *HashError if hash
// is not the content's hash, and the decoder's error for malformed JSON.
func DecodeBundle(content []byte, hash string) (Bundle, error) {
	if got := Hash(content); got != hash {
		return Bundle{}, &HashError{Expected: hash, Actual: got}
	}
	var b Bundle
	if err := json.Unmarshal(content, &b); err != nil {
		return Bundle{}, errors.Wrapf(err, "decode declarations with hash %s", hash)
	}
	return b, nil
}

// HashError reports content whose hash is not the expected one.
type HashError struct {
	Expected, Actual string
}

func (e *HashError) Error() string {
	return "declarations do not match their hash: expected " + e.Expected + ", got " + e.Actual
}

// ForSite returns the validated configuration of a site. It parses the base
// file with p, so that unchanged sections come from p's cache. A site without an
// overlay of its own uses the base alone.
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

// Check validates the base alone and merged with each overlay, and checks that
// no two overlays are for the same site. It returns an *InvalidError with the
// problems found.
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

// unique removes duplicates: a problem of the base file is found again with
// each overlay.
func unique(problems []Problem) []Problem {
	var kept []Problem
	for _, p := range problems {
		if !slices.Contains(kept, p) {
			kept = append(kept, p)
		}
	}
	return kept
}

// Difference is one value that was added, removed or changed between two
// bundles. An empty Key stands for the section itself.
type Difference struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
}

// Compare returns the differences between two bundles, file by file. It
// returns an *InvalidError if a file cannot be parsed.
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

// fileNames returns the distinct names of the bundles' files.
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

// valueKey identifies a key of a section, or the section itself if key is
// empty.
type valueKey struct{ section, key string }

// valueList holds the sections and values of a file in file order.
type valueList struct {
	order  []valueKey
	values map[valueKey]string
}

// values returns the values of the named file, none if the bundle lacks it.
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

// compareValues returns the removed and changed values in the order of old,
// then the added ones in the order of next.
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
