package group

import (
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// timeSpan is a time span in which one process of a database is known to have run.
type timeSpan struct{ since, until clock.Time }

// uptime has what is known about when the processes of a database have run. The spans do
// not overlap and are in the order of time. Two of them may be of one process.
type uptime struct{ spans []timeSpan }

// maxSpans is the maximum number of time spans that are kept for a database.
const maxSpans = 8

// observe records that a request that was sent at sentAt, on a connection that was opened
// at openedAt, was answered: one process has run from openedAt to sentAt. Time spans that
// overlap are of the same process.
func (u *uptime) observe(openedAt, sentAt clock.Time) {
	if sentAt < openedAt {
		// The greeting says nothing about the time after it.
		return
	}
	first, _ := slices.BinarySearchFunc(u.spans, openedAt, func(s timeSpan, t clock.Time) int {
		if s.until <= t {
			return -1
		}
		return 1
	})
	last, joined := first, timeSpan{openedAt, sentAt}
	for ; last < len(u.spans) && u.spans[last].since < sentAt; last++ {
		joined = timeSpan{min(joined.since, u.spans[last].since), max(joined.until, u.spans[last].until)}
	}
	u.spans = slices.Replace(u.spans, first, last, joined)
	if extra := len(u.spans) - maxSpans; extra > 0 {
		u.spans = slices.Delete(u.spans, 0, extra)
	}
}

// runsSince reports whether the process that ran at at is known to have run since a time
// before since.
func (u *uptime) runsSince(since, at clock.Time) bool {
	return slices.ContainsFunc(u.spans, func(s timeSpan) bool {
		return s.since <= at && at <= s.until && s.since <= since
	})
}

// lastAt returns the latest time at which a process is known to have run, zero if none is.
func (u *uptime) lastAt() clock.Time {
	if len(u.spans) == 0 {
		return 0
	}
	return u.spans[len(u.spans)-1].until
}
