package caller_test

import (
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/request/caller"
)

// A zero byte in the text of an error ends it, and the rest is read as other fields.
func TestTagErrorsHaveNoZeroBytes(t *testing.T) {
	for _, query := range []string{"SELECT 1 /*maxAge='a%00Mforged'*/", "SELECT 1 /*maxAge='%ff%0d%0a'*/"} {
		_, err := caller.ParseTags(query)
		var bad *caller.TagError
		require.ErrorAs(t, err, &bad)
		require.NotContains(t, err.Error(), "\x00")
		require.NotContains(t, err.Error(), "\n")
		require.True(t, utf8.ValidString(err.Error()), "%q", err.Error())
	}
}
