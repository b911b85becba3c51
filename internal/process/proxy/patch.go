package proxy

import "fmt"

// Patch turns one byte sequence into another by replacing the middle and keeping
// the bytes before and after it.
type Patch struct {
	// Prefix and Suffix are the numbers of bytes that are kept at the start and
	// at the end.
	Prefix int    `json:"prefix"`
	Suffix int    `json:"suffix"`
	Middle []byte `json:"middle"`
}

// PatchError reports a patch that cannot be applied to content of the given
// length. All fields are in bytes.
type PatchError struct {
	Length, Prefix, Suffix int
}

func (e *PatchError) Error() string {
	return fmt.Sprintf("patch with a prefix of %d and a suffix of %d bytes does not fit content of %d bytes", e.Prefix, e.Suffix, e.Length)
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

// Apply returns the content that results from applying the patch to before. It
// returns a *PatchError if the patch does not fit. It cannot tell whether before
// is the content that the patch was made for, so the caller must check the hash
// of the result.
func (p Patch) Apply(before []byte) ([]byte, error) {
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix+p.Suffix > len(before) {
		return nil, &PatchError{Length: len(before), Prefix: p.Prefix, Suffix: p.Suffix}
	}
	after := make([]byte, 0, p.Prefix+len(p.Middle)+p.Suffix)
	after = append(after, before[:p.Prefix]...)
	after = append(after, p.Middle...)
	return append(after, before[len(before)-p.Suffix:]...), nil
}
