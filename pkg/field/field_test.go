package field

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFieldsHaveNoBlanksAndControlCharacters(t *testing.T) {
	for _, text := range []string{"", " ", "a b", "a ", " a", "a\tb", "a\nb", "a\r\nb", "\x00", "a\x7f"} {
		require.False(t, IsValid(text), "%q", text)
	}
	for _, text := range []string{"a", "a-b", "a/b", "a,b=c", "ä", "_others"} {
		require.True(t, IsValid(text), "%q", text)
	}
}
