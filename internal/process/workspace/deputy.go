package workspace

import (
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// checkInterval is the time between two messages of a deputy to an accountant that it
	// stands in for. When that one answers again, both grant for so long at most.
	checkInterval = 200 * clock.Millisecond
	// silenceTime is how long an accountant counts as silent after a message to it was not
	// answered.
	silenceTime = clock.Second
	// deputyMemory is how long a deputy remembers what it has granted for, to tell the
	// accountant when that answers again.
	deputyMemory = 10 * clock.Second
)

// colleague is another accountant as this one sees it.
type colleague struct {
	// wanted is set if it has to be found out whether it answers, and asks has what it is
	// asked about.
	wanted bool
	asks   []Ask
	// busy is set while a message is under way. sentAt is when the last one was sent.
	busy   bool
	sentAt clock.Time
	// silent is set since silentSince if the last message was not answered, at failedAt.
	silent                bool
	silentSince, failedAt clock.Time
	// granted has the workspaces that this proxy has granted tokens of in its place.
	granted map[string]clock.Time
}

func (a *Accountant) colleague(name string) *colleague {
	c, ok := a.others[name]
	if !ok {
		c = &colleague{}
		a.others[name] = c
	}
	return c
}

// silentSince returns since when all of the given accountants have been silent. It returns
// false if they are not, or if that has to be found out.
func (a *Accountant) silentSince(now clock.Time, names []string) (clock.Time, bool) {
	since, all := clock.Time(0), true
	for _, name := range names {
		c := a.colleague(name)
		c.wanted = c.wanted || now.Sub(c.sentAt) >= checkInterval
		all = all && c.silent && now.Sub(c.failedAt) < silenceTime
		since = max(since, c.silentSince)
	}
	return since, all
}

// check asks the previous accountant of a workspace whether it has stopped.
func (a *Accountant) check(name string, ask Ask) {
	if name == "" {
		return
	}
	c := a.colleague(name)
	c.wanted = true
	if !slices.Contains(c.asks, ask) {
		c.asks = append(c.asks, ask)
	}
}

// recordDeputy records that this proxy has granted tokens in the place of others.
func (a *Accountant) recordDeputy(now clock.Time, w string, names []string) {
	for _, name := range names {
		c := a.colleague(name)
		if c.granted == nil {
			c.granted = make(map[string]clock.Time)
		}
		c.granted[w] = now
	}
}

// Messages returns what to send to other accountants now.
func (a *Accountant) Messages(now clock.Time) []Message {
	var list []Message
	for name, c := range a.others {
		if !c.wanted || c.busy || now.Sub(c.sentAt) < checkRetry {
			continue
		}
		m := Message{Accountant: name, Asks: c.asks}
		for w, at := range c.granted {
			if now.Sub(at) > deputyMemory {
				delete(c.granted, w)
				continue
			}
			m.Granted = append(m.Granted, w)
		}
		c.wanted, c.asks, c.busy, c.sentAt = false, nil, true, now
		list = append(list, m)
	}
	return list
}

// Answered takes in the answer to a message to another accountant.
func (a *Accountant) Answered(now clock.Time, m Message, grants []Grant) {
	c, ok := a.others[m.Accountant]
	if !ok {
		return
	}
	c.busy, c.silent = false, false
	for _, w := range m.Granted {
		if c.granted[w] <= c.sentAt {
			delete(c.granted, w)
		}
	}
	for _, g := range grants {
		asked := slices.ContainsFunc(m.Asks, func(ask Ask) bool { return ask.Release && ask.Workspace == g.Workspace })
		if asked && (g.Released || g.HeldMillis > 0) {
			a.recordRelease(now, c.sentAt, m.Accountant, g)
		}
	}
}

// recordRelease takes in that a proxy has stopped for this one, unless the members have
// changed since it was asked.
func (a *Accountant) recordRelease(now, askedAt clock.Time, from string, g Grant) {
	if first(a.ranked(g.Workspace)) != a.self {
		return
	}
	if _, before := a.filledFrom(now, g.Workspace); before != from {
		return
	}
	held := min(max(g.HeldMillis, 0), 2*SpreadTime)
	if g.Released {
		held = 0
	}
	a.released[g.Workspace] = release{askedAt: askedAt, from: now.Add(held), held: held > 0}
}

// Unanswered records that a message to another accountant was not answered.
func (a *Accountant) Unanswered(now clock.Time, m Message) {
	c, ok := a.others[m.Accountant]
	if !ok {
		return
	}
	if !c.silent {
		c.silent, c.silentSince = true, now
	}
	c.busy, c.failedAt = false, now
}
