// Package patch encodes the difference between two versions of a value, which
// processes send each other in place of the later one.
package patch

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderflow/oleanderflow/internal/process/background"
)

// Patch turns one value into a later one. It consists of parts of the
// earlier value, each followed by new bytes, so that a change in a few places of
// a large value takes few bytes.
type Patch struct {
	Parts []Part `json:"parts"`
}

// Part copies Length bytes of the earlier value from offset From on, and
// then appends Text.
type Part struct {
	From   int    `json:"from,omitempty"`
	Length int    `json:"length,omitempty"`
	Text   []byte `json:"text,omitempty"`
}

// Error reports a part of a patch that lies outside of the earlier value.
// All fields are in bytes.
type Error struct {
	Length       int
	From, Copied int
}

func (e *Error) Error() string {
	return fmt.Sprintf("patch copies %d bytes from offset %d of a value of %d bytes", e.Copied, e.From, e.Length)
}

// segmentEnd ends a segment, the unit in which values are compared. In JSON it
// ends an object.
const segmentEnd = '}'

// nextSegment returns the length of the segment at the start of a value.
func nextSegment(value []byte) int {
	if i := bytes.IndexByte(value, segmentEnd); i >= 0 {
		return i + 1
	}
	return len(value)
}

// Make returns a patch that turns before into after. Its time and memory are
// proportional to the lengths of both.
func Make(before, after []byte) Patch { return MakeInPieces(before, after, background.None) }

// pieceSize is the number of bytes that are compared between two pauses, which takes
// about 0.1 ms.
const pieceSize = 32 << 10

// MakeInPieces returns the same as Make, and calls pause after each piece of the work.
func MakeInPieces(before, after []byte, pause background.Pause) Patch {
	prefix, suffix := commonEnds(before, after)
	end := len(before) - suffix
	total := end - prefix + len(after) - suffix - prefix
	offsets := segmentOffsets(before, prefix, end, func(done int) { pause(pieceSize, done, total) })
	p := Patch{Parts: []Part{{Length: prefix}}}
	paused := len(after)
	for rest := after[prefix : len(after)-suffix]; len(rest) > 0; {
		if paused-len(rest) >= pieceSize {
			paused = len(rest)
			pause(pieceSize, total-len(rest), total)
		}
		segment := rest[:nextSegment(rest)]
		rest = rest[len(segment):]
		last := &p.Parts[len(p.Parts)-1]
		next := last.From + last.Length
		switch from, found := offsets[xxhash.Sum64(segment)]; {
		case len(last.Text) == 0 && bytes.HasPrefix(before[next:], segment):
			// It follows the part that is copied before it.
			last.Length += len(segment)
		case found && bytes.HasPrefix(before[from:], segment):
			p.Parts = append(p.Parts, Part{From: from, Length: len(segment)})
		default:
			last.Text = append(last.Text, segment...)
		}
	}
	if suffix > 0 {
		p.Parts = append(p.Parts, Part{From: end, Length: suffix})
	}
	return p
}

// commonEnds returns the lengths of the longest common prefix and, behind it, of
// the longest common suffix.
func commonEnds(before, after []byte) (prefix, suffix int) {
	limit := min(len(before), len(after))
	for prefix < limit && before[prefix] == after[prefix] {
		prefix++
	}
	for suffix < limit-prefix && before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	return prefix, suffix
}

// segmentOffsets returns where each segment between from and to begins, by its
// hash. It calls pause after each piece with what is done.
func segmentOffsets(value []byte, from, to int, pause func(done int)) map[uint64]int {
	offsets := make(map[uint64]int)
	paused := from
	for at := from; at < to; {
		if at-paused >= pieceSize {
			paused = at
			pause(at - from)
		}
		n := nextSegment(value[at:to])
		hash := xxhash.Sum64(value[at : at+n])
		if _, repeated := offsets[hash]; !repeated {
			offsets[hash] = at
		}
		at += n
	}
	return offsets
}

// Size returns about how many bytes the patch takes.
func (p *Patch) Size() int {
	const partOverhead = 32
	n := 0
	for i := range p.Parts {
		n += partOverhead + len(p.Parts[i].Text)
	}
	return n
}

// Apply returns the value that results from applying the patch to before. It
// returns a *Error if a part lies outside of before. It cannot tell whether
// before is the value that the patch was made for.
func (p *Patch) Apply(before []byte) ([]byte, error) {
	n := 0
	for _, part := range p.Parts {
		if part.From < 0 || part.Length < 0 || part.From > len(before) || part.Length > len(before)-part.From {
			return nil, &Error{Length: len(before), From: part.From, Copied: part.Length}
		}
		n += part.Length + len(part.Text)
	}
	after := make([]byte, 0, n)
	for _, part := range p.Parts {
		after = append(after, before[part.From:part.From+part.Length]...)
		after = append(after, part.Text...)
	}
	return after, nil
}
