package caller_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/connection/caller"
)

func TestParseOptions(t *testing.T) {
	got, err := caller.ParseOptions(`-c oleanderflow.maxAge=2s --search_path=a\ b -cx=y`)
	require.NoError(t, err)
	require.Equal(t, []caller.Setting{{Name: "oleanderflow.maxAge", Value: "2s"}, {Name: "search_path", Value: "a b"}, {Name: "x", Value: "y"}}, got)
	for _, bad := range []string{"-x", "-c", "-c novalue", "word", "--=1"} {
		_, err := caller.ParseOptions(bad)
		var protocol *caller.ProtocolError
		require.ErrorAs(t, err, &protocol, bad)
	}
}

func FuzzParseOptions(f *testing.F) {
	f.Add(`-c a=b --c-d=e\ f`)
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = caller.ParseOptions(text)
	})
}
