package proxy_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
)

func TestPatchReproducesNewContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.StringMatching(`[ab\n]{0,8}`)
		before := []byte(part.Draw(t, "a") + part.Draw(t, "b") + part.Draw(t, "c"))
		after := []byte(part.Draw(t, "d") + part.Draw(t, "e"))
		got, err := proxy.MakePatch(before, after).Apply(before)
		require.NoError(t, err)
		require.Equal(t, string(after), string(got))
	})
}

func TestApplyRejectsPatchThatDoesNotFit(t *testing.T) {
	for _, p := range []proxy.Patch{{Prefix: 3, Suffix: 3}, {Prefix: -1}, {Suffix: -1}, {Prefix: 6}} {
		_, err := p.Apply([]byte("12345"))
		var patchErr *proxy.PatchError
		require.ErrorAs(t, err, &patchErr)
	}
}
