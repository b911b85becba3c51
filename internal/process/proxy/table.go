package proxy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Members returns all members that are not dead or left, in the order of
// their names, this proxy among them.
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

// Table returns all rows, for an exchange of whole tables.
func (m *Membership) Table() []Member {
	table := make([]Member, 0, len(m.rows))
	for _, row := range m.rows {
		table = append(table, row.member)
	}
	slices.SortFunc(table, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return table
}

// bucketCount is in how many parts tables are compared.
const bucketCount = 64

// buckets returns the digest of each part of the table.
func (m *Membership) buckets() []uint64 {
	sums := make([]uint64, bucketCount)
	for name, row := range m.rows {
		if row.member.State < Dead {
			sums[bucketOf(name)] += hashMember(row.member)
		}
	}
	return sums
}

// DifferingRows returns the rows of the parts whose digests differ from
// another's.
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

// change replaces a row's member and keeps the digest of the table. The sum
// of the rows' hashes does not depend on their order.
func (m *Membership) change(row *memberRow, w Member) {
	m.digest += hashLive(w) - hashLive(row.member)
	row.member = w
	if w.State == Alive {
		delete(m.fading, w.Name)
	} else {
		m.fading[w.Name] = row
	}
}

// setState changes a row's state.
func (m *Membership) setState(row *memberRow, s State) {
	w := row.member
	w.State = s
	m.change(row, w)
}

// hashLive is the part of a member in the digest, none once it is dead.
func hashLive(w Member) uint64 {
	if w.Name == "" || w.State >= Dead {
		return 0
	}
	return hashMember(w)
}

func hashMember(w Member) uint64 {
	return xxhash.Sum64String(w.Name) ^ (w.Incarnation*0x9e3779b97f4a7c15 + uint64(w.State))
}
