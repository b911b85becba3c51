package group

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

// The id and the group are sent to the database in one line, with blanks between them.
func TestNamesThatEndTheirFieldNameNoDatabase(t *testing.T) {
	sound := Entry{ID: "i-1", Group: "shop", Zone: "a", Address: "127.0.0.1:1", Slots: 1}
	require.NoError(t, sound.Check(0))
	for _, name := range []string{"\r\nQUERY - STEPDOWN 9", "i-1\r\nQUERY 1 WRITE a b", "i-1\n", "i-1\r", "i\x00", "i\t1", "i\x7f"} {
		odd := sound
		odd.ID = name
		requireEntryError(t, odd, "id")
		odd = sound
		odd.Group = name
		requireEntryError(t, odd, "group")
	}
	for _, name := range []string{" ", "a b", "shop ", " shop"} {
		odd := sound
		odd.ID = name
		requireEntryError(t, odd, "id")
		odd = sound
		odd.Group = name
		requireEntryError(t, odd, "group")
	}
	for _, name := range []string{"i/1", "i-1", "ä", "i%2f1", "i:1", strings.Repeat("x", maxNameLength)} {
		usual := sound
		usual.ID = name
		require.NoError(t, usual.Check(0), "%q", name)
	}
}

func requireEntryError(t *testing.T, e Entry, field string) {
	t.Helper()
	var odd *EntryError
	require.True(t, errors.As(e.Check(0), &odd), "%q %q", e.ID, e.Group)
	require.Equal(t, field, odd.Field)
}
