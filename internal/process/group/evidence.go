package group

import (
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Evidence is what is known about one database of a group and one entry of the log.
type Evidence struct {
	// Holds is set if the database has the entry in its log.
	Holds bool
	// Unbroken is set if the database had not started again between the first fence of any
	// replacement that could take effect later and the time at which it had the entry.
	// Otherwise a fence that it has lost with the restart may be among those that the
	// replacement relies on, and the promoted database may lack the entry.
	Unbroken bool
}

// Preserves reports whether every replacement of the primary of a group of size databases
// keeps an entry. A replacement fences RequiredConfirmations fewer than all databases and
// promotes the one with the latest last entry, so that one of more than
// RequiredConfirmations is always among the fenced. That holds for an entry of the current
// term only: a log without an entry of an earlier term may end with a later one. An entry
// that all databases have is kept whichever of them is promoted.
func Preserves(evidence []Evidence, size int) bool {
	holders, unbroken := countHolders(evidence)
	return unbroken > RequiredConfirmations(size) || holders >= size
}

// preservedByAll reports whether every replacement keeps an entry though the group may have
// grown beyond the size databases of which the evidence is.
func preservedByAll(evidence []Evidence, size int) bool {
	_, unbroken := countHolders(evidence)
	return unbroken >= size
}

// mayBePreserved reports whether an entry would be preserved by a quorum of databases if all
// were known to be unbroken.
func mayBePreserved(evidence []Evidence, quorum int) bool {
	holders, _ := countHolders(evidence)
	return holders >= quorum
}

func countHolders(evidence []Evidence) (holders, unbroken int) {
	for _, e := range evidence {
		if e.Holds {
			holders++
			if e.Unbroken {
				unbroken++
			}
		}
	}
	return holders, unbroken
}

// claimRead is a read of the store's claims after which no replacement that had been claimed
// could take effect any more.
type claimRead struct{ askedAt, answeredAt clock.Time }

// maxClaimReads is the maximum number of reads of claims that are kept.
const maxClaimReads = 32

// ObserveNoReplacement records that every replacement claimed before askedAt has taken
// effect by answeredAt, or cannot any more.
func (g *Group) ObserveNoReplacement(askedAt, answeredAt clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := len(g.claimReads); n > 0 && (askedAt <= g.claimReads[n-1].askedAt || answeredAt < g.claimReads[n-1].answeredAt) {
		return
	}
	g.claimReads = append(g.claimReads, claimRead{askedAt, answeredAt})
	if extra := len(g.claimReads) - maxClaimReads; extra > 0 {
		g.claimReads = slices.Delete(g.claimReads, 0, extra)
	}
	g.notifyLocked()
}

// noReplacementBeforeLocked returns a time before which no replacement was claimed that
// could take effect at at or later. A read of claims that was answered after at does not
// count: a replacement may have taken effect in between.
func (g *Group) noReplacementBeforeLocked(at clock.Time) clock.Time {
	before := at.Add(-replacementLimit)
	for _, r := range g.claimReads {
		if r.answeredAt <= at {
			before = max(before, r.askedAt)
		}
	}
	return before
}

// unbrokenLocked reports whether the database, which has shown something at the given time,
// had then not started again since the first fence of any replacement that could take
// effect later.
func (g *Group) unbrokenLocked(m *Member, at clock.Time) bool {
	return m.uptime.runsSince(g.noReplacementBeforeLocked(at), at)
}

// ReplacementUnchecked reports whether a database may have started again since it was last
// known that no replacement may take effect. Beside a replacement it is too late to find out.
func (g *Group) ReplacementUnchecked() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var read clock.Time
	if n := len(g.claimReads); n > 0 {
		read = g.claimReads[n-1].askedAt
	}
	return slices.ContainsFunc(g.sorted, func(m *Member) bool {
		at := m.uptime.lastAt()
		return at != 0 && !m.uptime.runsSince(max(read, at.Add(-replacementLimit)), at)
	})
}
