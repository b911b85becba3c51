package workspace

import (
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// CallTimeout is how long the answer of an accountant is awaited. Tokens that come
	// later would expire soon.
	CallTimeout = 200 * clock.Millisecond
	// silentRetry is the time between two messages to an accountant that does not answer,
	// and longSilentRetry after longSilence.
	silentRetry     = 200 * clock.Millisecond
	longSilentRetry = clock.Second
	longSilence     = 3 * clock.Second
	// maxEarlier is the number of changes of the accountants that are remembered. While
	// proxies restart in turn, one in three changes concerns the same workspace.
	maxEarlier = 3
)

// contact is an accountant as an asking proxy sees it.
type contact struct {
	// busy is set while a message is under way. sentAt is when the last one was sent.
	busy   bool
	sentAt clock.Time
	// silent is set since silentSince while the accountant does not answer in time.
	silent      bool
	silentSince clock.Time
	// expectedUntil is set if a deputy grants nothing, since the accountant answers it. This
	// proxy asks the accountant again then, and operations wait for that.
	expectedUntil clock.Time
}

func (c *contact) markSilent(now clock.Time) {
	if !c.silent {
		c.silent, c.silentSince = true, now
	}
}

// due reports whether a silent accountant is to be asked for a sign of life.
func (c *contact) due(now clock.Time) bool {
	interval := silentRetry
	switch {
	case now < c.expectedUntil:
		interval = minRetry
	case now.Sub(c.silentSince) >= longSilence:
		interval = longSilentRetry
	}
	return c.silent && !c.busy && now.Sub(c.sentAt) >= interval
}

// SetAccountants sets the names of the accountants.
func (a *Allowance) SetAccountants(names []string) {
	if slices.Equal(a.accountants, names) {
		return
	}
	for name, c := range a.contacts {
		if !c.busy && !slices.Contains(names, name) && !slices.Contains(a.accountants, name) {
			delete(a.contacts, name)
		}
	}
	a.earlier = slices.Insert(a.earlier, 0, a.accountants)
	a.earlier = a.earlier[:min(len(a.earlier), maxEarlier)]
	a.accountants = names
	a.choice++
}

func (a *Allowance) contact(name string) *contact {
	c, ok := a.contacts[name]
	if !ok {
		c = &contact{}
		a.contacts[name] = c
	}
	return c
}

// refusal tells that an accountant grants nothing of a workspace until a time.
type refusal struct {
	name  string
	until clock.Time
}

// candidates returns the proxies that may grant tokens of a workspace, in the order in
// which they are asked: the accountant that another one has named, the accountant, those
// before the last changes of the members, and the deputies.
func (a *Allowance) candidates(w string, s *share) []string {
	if s.choice != a.choice || s.candidates == nil {
		s.choice, s.moved, s.refusals = a.choice, "", nil
		s.candidates = RankAccountants(w, a.accountants)
		s.accountant = first(s.candidates)
		s.deputiesFrom = min(1, len(s.candidates))
		for _, names := range a.earlier {
			before := first(RankAccountants(w, names))
			if before == "" || slices.Contains(s.candidates[:s.deputiesFrom], before) {
				continue
			}
			s.candidates = slices.DeleteFunc(s.candidates, func(name string) bool { return name == before })
			s.candidates = slices.Insert(s.candidates, s.deputiesFrom, before)
			s.deputiesFrom++
		}
	}
	return s.candidates
}

// target returns which proxy to ask for a workspace, whether it is asked as a deputy, and
// "" if there is none.
func (a *Allowance) target(now clock.Time, w string, s *share) (string, bool) {
	s.refusals = slices.DeleteFunc(s.refusals, func(r refusal) bool { return now >= r.until })
	usable := func(name string) bool {
		c, ok := a.contacts[name]
		return !(ok && c.silent) && !slices.ContainsFunc(s.refusals, func(r refusal) bool { return r.name == name })
	}
	list := a.candidates(w, s)
	if s.moved != "" && usable(s.moved) {
		return s.moved, false
	}
	for i, name := range list {
		if i >= s.deputiesFrom && now < s.noDeputyUntil {
			break
		}
		if usable(name) {
			return name, i >= s.deputiesFrom
		}
	}
	return "", false
}

// Next returns the messages to send now because of a workspace. One message at a time is
// under way to an accountant; it takes along what other workspaces of that accountant will
// need soon.
func (a *Allowance) Next(now clock.Time, w string) []Message {
	s, ok := a.shares[w]
	if !ok {
		return nil
	}
	var list []Message
	target, _ := a.target(now, w, s)
	for _, name := range a.candidates(w, s) {
		if name == target {
			break
		}
		if c := a.contact(name); c.due(now) {
			c.busy, c.sentAt = true, now
			list = append(list, Message{Accountant: name})
		}
	}
	if target != "" && s.wantsAsk(now, target) {
		if m, ok := a.message(now, target); ok {
			list = append(list, m)
		}
	}
	return list
}

// More returns the next message to an accountant that has answered, if an operation waits
// for one.
func (a *Allowance) More(now clock.Time, accountant string) (Message, bool) {
	for w, s := range a.shares {
		if s.waiting <= s.held() || !s.wantsAsk(now, accountant) {
			continue
		}
		if to, _ := a.target(now, w, s); to == accountant {
			return a.message(now, accountant)
		}
	}
	return Message{}, false
}

func (a *Allowance) message(now clock.Time, to string) (Message, bool) {
	c := a.contact(to)
	if c.busy {
		return Message{}, false
	}
	m := Message{Accountant: to}
	for w, s := range a.shares {
		target, deputy := a.target(now, w, s)
		if target != to {
			continue
		}
		if ask, ok := s.ask(now, w, to); ok {
			ask.Deputy = deputy
			ask.Usual = s.usual
			m.Asks = append(m.Asks, ask)
		}
	}
	if len(m.Asks) == 0 {
		return Message{}, false
	}
	c.busy, c.sentAt = true, now
	return m, true
}

// Answered takes in the answer to a message that was sent at a time.
func (a *Allowance) Answered(now, sent clock.Time, m Message, grants []Grant) {
	c := a.contact(m.Accountant)
	c.busy, c.silent = false, false
	byName := make(map[string]Grant, len(grants))
	for _, g := range grants {
		byName[g.Workspace] = g
	}
	for _, ask := range m.Asks {
		s, ok := a.shares[ask.Workspace]
		if !ok {
			continue
		}
		if s.asked == m.Accountant {
			s.asked = ""
		}
		g, ok := byName[ask.Workspace]
		if ok && !g.Holding {
			s.apply(a, now, sent, m.Accountant, g)
			continue
		}
		until := now.Add(min(max(g.RetryMillis, minRetry), 2*SpreadTime))
		if ask.Deputy {
			// The accountant answers the deputy, or will have to answer it first.
			s.noDeputyUntil = until
			a.expectSilent(now, s, m.Accountant)
			continue
		}
		s.refusals = append(s.refusals, refusal{name: m.Accountant, until: until})
		if s.moved == m.Accountant {
			s.moved = ""
		} else if g.Moved != "" && g.Moved != a.self && slices.Contains(a.accountants, m.Accountant) {
			s.moved = g.Moved
		}
	}
}

// expectSilent has the silent accountants asked again that come before a deputy.
func (a *Allowance) expectSilent(now clock.Time, s *share, deputy string) {
	for _, name := range s.candidates {
		if name == deputy {
			return
		}
		if c := a.contact(name); c.silent {
			c.expectedUntil = now.Add(AnswerTimeout)
		}
	}
}

// expects reports whether an accountant that was silent is expected to answer soon.
func (a *Allowance) expects(now clock.Time, s *share) bool {
	return slices.ContainsFunc(s.candidates, func(name string) bool {
		c, ok := a.contacts[name]
		return ok && c.silent && now < c.expectedUntil
	})
}

func (s *share) apply(a *Allowance, now, sent clock.Time, from string, g Grant) {
	s.answered, s.answeredAt, s.usual = true, now, g.Usual
	s.reserve.stop(now)
	s.emptyUntil, s.emptyAt = 0, from
	if g.RetryMillis > 0 {
		s.emptyUntil = now.Add(min(g.RetryMillis, clock.Minute))
	}
	life := min(g.LifeMillis, a.quota.Life(s.limit))
	tokens := max(g.Tokens, 0)
	if expires := sent.Add(life); now < expires {
		paid := min(int(s.debt), tokens)
		s.debt -= float64(paid)
		if tokens > paid {
			s.lots = append(s.lots, lot{tokens: tokens - paid, expires: expires})
		}
	}
}

// Unanswered records that a message got no answer.
func (a *Allowance) Unanswered(now clock.Time, m Message) {
	c := a.contact(m.Accountant)
	c.busy = false
	c.markSilent(now)
	for _, ask := range m.Asks {
		if s, ok := a.shares[ask.Workspace]; ok && s.asked == m.Accountant {
			s.asked = ""
		}
	}
}
