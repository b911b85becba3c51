package proxy

import "fmt"

// Patch turns one content into another that differs from it in one stretch.
type Patch struct {
	// Prefix and Suffix are how many bytes both contents share at each end.
	Prefix int    `json:"prefix"`
	Suffix int    `json:"suffix"`
	Middle []byte `json:"middle"`
}

// PatchError reports a patch that does not fit a content.
type PatchError struct {
	Length, Prefix, Suffix int
}

func (e *PatchError) Error() string {
	return fmt.Sprintf("a patch of %d and %d shared bytes does not fit a content of %d", e.Prefix, e.Suffix, e.Length)
}

// MakePatch returns the patch that turns before into after.
func MakePatch(before, after []byte) Patch {
	limit := min(len(before), len(after))
	var p Patch
	for p.Prefix < limit && before[p.Prefix] == after[p.Prefix] {
		p.Prefix++
	}
	for p.Suffix < limit-p.Prefix && before[len(before)-1-p.Suffix] == after[len(after)-1-p.Suffix] {
		p.Suffix++
	}
	p.Middle = after[p.Prefix : len(after)-p.Suffix]
	return p
}

// Apply returns the content that the patch makes of before. It returns a
// *PatchError if it does not fit. Whoever applies it checks the hash.
func (p Patch) Apply(before []byte) ([]byte, error) {
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix+p.Suffix > len(before) {
		return nil, &PatchError{Length: len(before), Prefix: p.Prefix, Suffix: p.Suffix}
	}
	after := make([]byte, 0, p.Prefix+len(p.Middle)+p.Suffix)
	after = append(after, before[:p.Prefix]...)
	after = append(after, p.Middle...)
	return append(after, before[len(before)-p.Suffix:]...), nil
}
