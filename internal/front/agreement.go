package front

import (
	"strings"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
)

// applyAgreement applies changed claims, votes and stored databases.
func (f *Front) applyAgreement(changes store.Changes) {
	starting := f.beginAgreementEra(changes)
	for _, row := range changes.Rows {
		if row.Deleted {
			f.forgetDatabases(row.Key)
			continue
		}
		kind, rest, _ := strings.Cut(row.Key, "/")
		part, _, _ := strings.Cut(rest, "/")
		name := groupOfKey(part)
		switch {
		case kind+"/" == databasesPrefix:
			f.applyDatabases(row, starting)
			continue
		case kind+"/" == votePrefix && (changes.Whole || changes.Base != nil):
			// The vote may be of any age.
			continue
		case kind+"/" == claimPrefix && row.Key != claimKey(name, changes.Era):
			// A claim of an earlier era.
			continue
		case kind+"/" != votePrefix && kind+"/" != claimPrefix:
			continue
		}
		f.mu.Lock()
		g := f.groupLocked(name)
		f.mu.Unlock()
		g.replacement.observe(row)
		if kind+"/" == claimPrefix {
			f.replacementCheck.allow()
		}
	}
}

// beginAgreementEra begins the era of the changes in all groups if it is a new one.
// It reports whether the table was read for the first time.
func (f *Front) beginAgreementEra(changes store.Changes) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	starting := f.agreementEra == 0
	if changes.Era > f.agreementEra {
		f.agreementEra, f.agreementEraAt = changes.Era, f.clock.Now()
	}
	for _, g := range f.groups {
		g.replacement.beginEra(f.agreementEra, f.agreementEraAt)
		if changes.Whole {
			// The rows of the table follow, if it has them.
			g.databases.stored = ""
		}
	}
	return starting
}
