package proxy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Members returns all members that are alive or suspect, sorted by name. It
// includes this proxy unless it has left.
func (m *Membership) Members() []Member {
	var live []Member
	for _, row := range m.rows {
		if row.member.State == Alive || row.member.State == Suspect {
			live = append(live, row.member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// Table returns all rows, dead and left members included, sorted by name.
func (m *Membership) Table() []Member {
	table := make([]Member, 0, len(m.rows))
	for _, row := range m.rows {
		table = append(table, row.member)
	}
	slices.SortFunc(table, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return table
}

// bucketCount is the number of buckets that a table is divided into for
// comparison.
const bucketCount = 64

// buckets returns the digest of each bucket of the table.
func (m *Membership) buckets() []uint64 {
	sums := make([]uint64, bucketCount)
	for name, row := range m.rows {
		if row.member.State < Dead {
			sums[bucketOf(name)] += hashMember(row.member)
		}
	}
	return sums
}

// DifferingRows returns the rows of all buckets whose digests differ from those
// of another member, sorted by name. It returns the whole table if the number
// of buckets does not match.
func (m *Membership) DifferingRows(buckets []uint64) []Member {
	if len(buckets) != bucketCount {
		return m.Table()
	}
	own := m.buckets()
	var rows []Member
	for name, row := range m.rows {
		if b := bucketOf(name); own[b] != buckets[b] {
			rows = append(rows, row.member)
		}
	}
	slices.SortFunc(rows, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return rows
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// replaceMember replaces the member of a row and updates the table's digest. The
// digest is a sum of hashes, so it does not depend on the order of the rows.
func (m *Membership) replaceMember(row *memberRow, updated Member) {
	m.digest += hashIfLive(updated) - hashIfLive(row.member)
	row.member = updated
	if updated.State == Alive {
		delete(m.notAlive, updated.Name)
	} else {
		m.notAlive[updated.Name] = row
	}
}

func (m *Membership) setState(row *memberRow, s State) {
	updated := row.member
	updated.State = s
	m.replaceMember(row, updated)
}

// hashIfLive returns what a member contributes to the digest: 0 if it is dead or
// left, or the zero Member of a new row.
func hashIfLive(member Member) uint64 {
	if member.Name == "" || member.State >= Dead {
		return 0
	}
	return hashMember(member)
}

func hashMember(member Member) uint64 {
	return xxhash.Sum64String(member.Name) ^ (member.Incarnation*0x9e3779b97f4a7c15 + uint64(member.State))
}
