package patch_test

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderflow/oleanderflow/internal/process/patch"
)

func TestPatchReproducesNewContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.StringMatching(`[ab\n]{0,8}`)
		before := []byte(part.Draw(t, "a") + part.Draw(t, "b") + part.Draw(t, "c"))
		after := []byte(part.Draw(t, "d") + part.Draw(t, "e"))
		got, err := apply(before, patch.Make(before, after))
		require.NoError(t, err)
		require.Equal(t, string(after), string(got))
	})
}

func TestApplyRejectsPatchThatDoesNotFit(t *testing.T) {
	for _, part := range []patch.Part{{From: 3, Length: 3}, {From: -1}, {Length: -1}, {From: 6}, {From: 1, Length: math.MaxInt}} {
		_, err := apply([]byte("12345"), patch.Patch{Parts: []patch.Part{part}})
		var outside *patch.Error
		require.ErrorAs(t, err, &outside)
	}
}

func apply(before []byte, p patch.Patch) ([]byte, error) { return p.Apply(before) }

// Text without any segment ends, in which one line changes, takes few bytes too.
func TestPatchOfOneLineIsSmall(t *testing.T) {
	before := []byte(strings.Repeat("connections = 50\\n", 2000))
	after := bytes.Clone(before)
	copy(after[len(after)/2:], "99")
	p := patch.Make(before, after)
	require.Less(t, p.Size(), 200)
	got, err := apply(before, p)
	require.NoError(t, err)
	require.Equal(t, after, got)
}

// configurationOf returns a value like a configuration of n routes.
func configurationOf(n int, timeout func(route int) int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"version":1,"routes":[`)
	for i := range n {
		fmt.Fprintf(&b, `{"name":"route-%d","host":"db%d","timeout_ms":%d},`, i, i, timeout(i))
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// A change of one route of thousands takes a few hundred bytes.
func TestPatchOfOneRouteIsSmall(t *testing.T) {
	before := configurationOf(2400, func(int) int { return 800 })
	after := configurationOf(2400, func(route int) int {
		if route == 1200 {
			return 900
		}
		return 800
	})
	after = bytes.Replace(after, []byte(`"version":1`), []byte(`"version":2`), 1)
	p := patch.Make(before, after)
	require.Less(t, p.Size(), 400)
	got, err := p.Apply(before)
	require.NoError(t, err)
	require.Equal(t, after, got)
}

// A patch results in the later value, however the two differ.
func TestPatchResultsInLaterValue(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		before := randomValue(rng, nil)
		after := randomValue(rng, before)
		p := patch.Make(before, after)
		got, err := p.Apply(before)
		require.NoError(t, err)
		require.True(t, bytes.Equal(after, got), "seed %d: %q to %q gave %q", seed, before, after, got)
	}
}

// randomValue returns random segments, some of which are of another value.
func randomValue(rng *rand.Rand, of []byte) []byte {
	var value []byte
	for range rng.IntN(12) {
		if len(of) > 0 && rng.IntN(2) == 0 {
			from := rng.IntN(len(of))
			value = append(value, of[from:from+rng.IntN(len(of)-from)]...)
			continue
		}
		for range rng.IntN(6) {
			value = append(value, "ab}"[rng.IntN(3)])
		}
	}
	return value
}

func FuzzPatchApply(f *testing.F) {
	f.Add([]byte("abc"), 0, 2, []byte("x"))
	f.Add([]byte("abc"), 1, 1<<62, []byte(""))
	f.Add([]byte(""), -1, -5, []byte(""))
	f.Fuzz(func(_ *testing.T, before []byte, from, length int, text []byte) {
		p := patch.Patch{Parts: []patch.Part{{From: from, Length: length, Text: text}}}
		_, _ = p.Apply(before)
	})
}
