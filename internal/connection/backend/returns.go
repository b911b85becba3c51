package backend

import (
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// newDatabaseAfter is how long the process must have served a group for an
// unknown database of it to count as just started. Before that, it may have been
// in use by other processes for long, like all databases when a process starts.
const newDatabaseAfter = 10 * clock.Second

// returnLocked returns why the database of a registry entry has to be probed, and
// the hint for it. The cause is empty if it has not.
func (g *GroupClient) returnLocked(now clock.Time, e, last group.Entry, known bool) (string, PaceHint) {
	pool := g.pools[e.ID]
	sameIncarnation := known && (last.Incarnation == e.Incarnation || last.Incarnation == 0) && last.Address == e.Address
	switch {
	case sameIncarnation && last.Leaving && !e.Leaving:
		if pool != nil {
			return causeDrained, pool.Limiter.Hint(now)
		}
		return causeDrained, PaceHint{Use: g.meanUseLocked(now)}
	case sameIncarnation || !known && now.Sub(g.createdAt) < newDatabaseAfter:
		return "", PaceHint{}
	case pool != nil:
		return causeStarted, pool.Limiter.Hint(now)
	default:
		return causeStarted, PaceHint{Use: g.meanUseLocked(now)}
	}
}

// meanUseLocked returns the average use of the group's databases, which is what
// an unknown one can be expected to get.
func (g *GroupClient) meanUseLocked(now clock.Time) float64 {
	sum := 0.0
	for _, p := range g.pools {
		sum += p.Limiter.Hint(now).Use
	}
	return sum / float64(max(len(g.pools), 1))
}

// ObserveStatus records a database's status as group.Group does. A database that
// turns out to be the new primary is probed: it gets the load of the previous one
// in addition to its own.
func (g *GroupClient) ObserveStatus(id string, askedAt, now clock.Time, s database.Status) {
	g.Group.ObserveStatus(id, askedAt, now, s)
	g.answered(id, now)
	if s.Role != database.RolePrimary {
		return
	}
	m, ok := g.Primary()
	if !ok || m.ID != id {
		return
	}
	g.mu.Lock()
	previousID := g.primaryID
	g.primaryID = id
	promoted, previous := g.pools[id], g.pools[previousID]
	g.mu.Unlock()
	if promoted == nil || previousID == "" || previousID == id {
		return
	}
	hint := promoted.Limiter.Hint(now)
	if previous != nil {
		hint.Use += previous.Limiter.Hint(now).Use
	}
	promoted.Limiter.Return(now, causePromoted, hint)
}

// ObservePosition records a position as group.Group does.
func (g *GroupClient) ObservePosition(id string, openedAt, sentAt, now clock.Time, p position.Position) {
	g.Group.ObservePosition(id, openedAt, sentAt, now, p)
	g.answered(id, now)
}

// MarkAnswered records an answer as group.Group does.
func (g *GroupClient) MarkAnswered(id string, now clock.Time) {
	g.Group.MarkAnswered(id, now)
	g.answered(id, now)
}

// RecordFailure records a failed attempt to reach a database as group.Group does.
func (g *GroupClient) RecordFailure(id string, now clock.Time) bool {
	first := g.Group.RecordFailure(id, now)
	if p := g.Pool(id); p != nil {
		p.Limiter.Fail(now)
	}
	return first
}

func (g *GroupClient) answered(id string, now clock.Time) {
	if p := g.Pool(id); p != nil {
		p.Limiter.Answer(now)
	}
}
