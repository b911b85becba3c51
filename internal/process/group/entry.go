package group

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/field"
)

// Entry is a database's entry in the platform's registry, which the database
// writes itself.
type Entry struct {
	ID      string
	Group   string
	Address string
	Zone    string
	// Incarnation distinguishes databases that use the same ID one after
	// another. It rises; zero if unknown.
	Incarnation int64
	// Sequence counts the reports of the incarnation, zero if unknown.
	Sequence uint64
	// Slots is how many statements the database runs concurrently.
	Slots   int
	Leaving bool
	Role    database.Role
	// WarmupRemaining is how much longer the database will be slow after its
	// start.
	WarmupRemaining clock.Duration
}

// olderThan reports whether the database reported the entry before it reported other.
func (e Entry) olderThan(other Entry) bool {
	if e.Incarnation == 0 || other.Incarnation == 0 {
		return false
	}
	return e.Incarnation < other.Incarnation ||
		e.Incarnation == other.Incarnation && e.Sequence != 0 && e.Sequence < other.Sequence
}

const (
	// maxNameLength bounds the names in an entry, in bytes. It is the maximum of the
	// registry's keys.
	maxNameLength = 200
	// maxSlots is more than any database runs concurrently.
	maxSlots = 1 << 16
	// maxWarmup is the longest that a database may say it stays slow.
	maxWarmup = 24 * clock.Hour
)

// EntryError reports an entry that names no database to use: another writer may have
// left it in the registry.
type EntryError struct {
	ID, Field, Value, Expected string
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("entry %q: %s is %q, expected %s", e.ID, e.Field, e.Value, e.Expected)
}

// maxQuoted is the maximum length of a value that an EntryError quotes, in bytes.
const maxQuoted = 64

// Check returns an *EntryError if the entry cannot be that of a database. Such an entry
// must not become part of a group: commits would wait for the confirmation of a database
// that does not exist. latest is the highest incarnation that a database may have; an
// entry above it would hide the later entries of the database.
func (e Entry) Check(latest int64) error {
	fail := func(field, value, expected string) error {
		return &EntryError{ID: e.ID, Field: field, Value: strings.ToValidUTF8(value[:min(len(value), maxQuoted)], "?"), Expected: expected}
	}
	names := []struct{ field, value string }{{"id", e.ID}, {"group", e.Group}, {"availability zone", e.Zone}}
	for _, n := range names {
		if n.value == "" || len(n.value) > maxNameLength {
			return fail(n.field, n.value, fmt.Sprintf("1 to %d bytes", maxNameLength))
		}
	}
	for _, n := range names[:2] {
		if !field.IsValid(n.value) {
			return fail(n.field, n.value, "no blanks and control characters")
		}
	}
	switch a, err := netip.ParseAddrPort(e.Address); {
	case err != nil || !a.Addr().Is4():
		return fail("address", e.Address, "an IPv4 address and a port")
	case a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		return fail("address", e.Address, "an address and a port that can be connected to")
	}
	switch {
	case e.Slots < 1 || e.Slots > maxSlots:
		return fail("slots", strconv.Itoa(e.Slots), fmt.Sprintf("1 to %d", maxSlots))
	case e.Incarnation < 0 || e.Incarnation > latest:
		return fail("incarnation", strconv.FormatInt(e.Incarnation, 10), fmt.Sprintf("0 to %d", latest))
	case e.WarmupRemaining < 0 || e.WarmupRemaining > maxWarmup:
		return fail("remaining warm-up", e.WarmupRemaining.String(), "0 to "+maxWarmup.String())
	}
	return nil
}
