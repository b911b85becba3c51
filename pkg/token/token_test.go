package token_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/position"
	"github.com/oleanderflow/oleanderflow/pkg/token"
)

func TestParseDecodesString(t *testing.T) {
	want := token.Token{Group: "shop1", Floor: position.Position{Term: 3, Offset: 1 << 60}}
	got, err := token.Parse(want.String())
	require.NoError(t, err)
	require.Equal(t, want, got)
	require.LessOrEqual(t, len(token.Token{Group: strings.Repeat("g", 64), Floor: position.Position{Term: 1<<64 - 1, Offset: 1<<64 - 1}}.String()), token.MaxLength)
}

func TestParseRejectsDamagedTokens(t *testing.T) {
	good := token.Token{Group: "shop1", Floor: position.Position{Term: 1, Offset: 2}}.String()
	for _, bad := range []string{"", "x", good[:len(good)-1], strings.Replace(good, "1/2", "1/3", 1), good + "0", strings.Repeat("x", 500), "of1::1/2:0"} {
		_, err := token.Parse(bad)
		var invalid *token.InvalidError
		require.ErrorAs(t, err, &invalid, bad)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(token.Token{Group: "shop1", Floor: position.Position{Term: 1, Offset: 2}}.String())
	f.Add("of1:::")
	f.Fuzz(func(t *testing.T, s string) {
		parsed, err := token.Parse(s)
		if err == nil && len(parsed.String()) > token.MaxLength {
			t.Fatalf("Parse accepts %q, which encodes to %q, longer than MaxLength", s, parsed.String())
		}
	})
}
