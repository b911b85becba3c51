package workspace

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// lowAhead and fullAhead are for how long tokens last at the last second's use when
	// more are asked for, and after that. fullAhead is less than the life of a token, so
	// that few expire.
	lowAhead  = 150 * clock.Millisecond
	fullAhead = 300 * clock.Millisecond
	// minAhead is the least number of tokens worth asking ahead for. A proxy that uses
	// fewer asks for each operation, since most tokens asked ahead would expire.
	minAhead = 2
	// surplusSpan is the time within which tokens expire that may be given back.
	surplusSpan = 100 * clock.Millisecond
	// AnswerTimeout is how long an operation waits for a grant. It is a few times the
	// round trip between zones, so that a pause of the accountant of a few
	// milliseconds refuses nothing.
	AnswerTimeout = 40 * clock.Millisecond
	// CallTimeout is how long the answer of an accountant is awaited. Tokens that come
	// later would expire soon.
	CallTimeout = 200 * clock.Millisecond
	// maxDebt is the time of use for which operations from a reserve are paid back. After
	// a longer silence the accountant's bucket has filled.
	maxDebt = clock.Second
	// silentRetry is the time between two asks of an accountant that does not answer.
	silentRetry = 100 * clock.Millisecond
	// idleTime is how long the state of a workspace that is not in use is kept.
	idleTime = 60 * clock.Second
)

// Decision is what becomes of an operation that needs a token.
type Decision interface{ decision() }

// Granted lets an operation run. It must be sent until Until. A token that is not used
// can be put back until Expires, unless that is zero.
type Granted struct{ Until, Expires clock.Time }

// Wait says that the answer of the accountant has to be awaited.
type Wait struct{}

// Refused says that the workspace is over its limit, or that its accountant does not
// answer and the reserve is used up.
type Refused struct {
	Retry clock.Duration
	// Silent is set if no accountant answers.
	Silent bool
	// Used is the number of operations of the workspace that this proxy has run in the
	// last second, and Age the time since an accountant has last answered, negative if
	// none has.
	Used int
	Age  clock.Duration
}

func (Granted) decision() {}
func (Wait) decision()    {}
func (Refused) decision() {}

// Allowance holds the tokens of the workspaces that are in use at one proxy. It is not
// safe for concurrent use.
type Allowance struct {
	self    string
	quota   Quota
	shares  map[string]*share
	sweptAt clock.Time
	// accountants and previous have the accountants, as this proxy knows them, and those
	// before the last change. choice is the number of that change.
	accountants, previous []string
	choice                int
	// busy has the accountants that a message is under way to.
	busy map[string]bool
}

// Message is what to ask an accountant, which may be this proxy itself.
type Message struct {
	Accountant string
	Asks       []Ask
}

// share is what a proxy holds of one workspace.
type share struct {
	limit Limit
	// accountant and before account for the workspace, and did before the last change of
	// accountants, as of the change number choice. heldUntil is when accountant begins to
	// grant, as it has answered; before is asked until then, unless it has given up too.
	accountant, before string
	choice             int
	heldUntil          clock.Time
	gaveUp             bool
	// lots has the tokens, ordered by when they expire.
	lots []lot
	// demand counts the operations that need tokens, and used those that got one.
	demand, used usage
	usedAt       clock.Time
	// waiting is the number of operations that wait for a grant.
	waiting int
	// asked is set while an ask is under way. askedAt is when the last one was sent.
	asked   bool
	askedAt clock.Time
	// answered is set once an accountant has answered, last at answeredAt.
	answered   bool
	answeredAt clock.Time
	// emptyUntil is the time before which the accountant has nothing to grant.
	emptyUntil clock.Time
	// silentSince is when the accountant was found not to answer, zero if it does.
	silentSince clock.Time
	reserve     reserve
	// debt is the number of operations that were run here from a reserve and that no
	// token has been granted for. An accountant that is only slow grants them too.
	debt float64
}

type lot struct {
	tokens  int
	expires clock.Time
}

// NewAllowance returns the Allowance of the proxy with the given name.
func NewAllowance(self string, q Quota) *Allowance {
	return &Allowance{self: self, quota: q, shares: make(map[string]*share), busy: make(map[string]bool)}
}

// SetAccountants sets the names of the accountants.
func (a *Allowance) SetAccountants(names []string) {
	if slices.Equal(a.accountants, names) {
		return
	}
	a.previous, a.accountants = a.accountants, names
	a.choice++
}

// target returns which proxy to ask for a workspace, "" if there is none.
func (a *Allowance) target(now clock.Time, w string, s *share) string {
	if s.choice != a.choice || s.accountant == "" {
		s.accountant, s.before = AccountantOf(w, a.accountants), AccountantOf(w, a.previous)
		s.choice, s.heldUntil, s.gaveUp = a.choice, 0, false
	}
	if now < s.heldUntil && !s.gaveUp && s.before != "" && s.before != s.accountant {
		return s.before
	}
	return s.accountant
}

// share returns the state of a workspace, and creates it on first use.
func (a *Allowance) share(now clock.Time, w string, l Limit) *share {
	s, ok := a.shares[w]
	if !ok {
		a.sweep(now)
		// The reserves of many proxies must not begin with one operation each, which
		// would be as many at once as there are proxies.
		phase := float64(xxhash.Sum64String(a.self+"/"+w)>>11) / (1 << 53)
		s = &share{reserve: reserve{level: phase}}
		a.shares[w] = s
	}
	if l.Rate < s.limit.Rate {
		// Tokens of a higher limit count against the lower one.
		s.lots = s.lots[:0]
	}
	s.limit, s.usedAt = l, now
	return s
}

// Operation is an operation that needs a token.
type Operation struct {
	Workspace string
	Limit     Limit
	// Hosted is set if the caller is connected to another proxy, whose reserve the
	// operation uses.
	Hosted bool
	// Since is when the token was requested.
	Since clock.Time
}

// Request records that an operation needs a token and decides on it. After Wait, Retry
// has to be called when the accountant has answered or AnswerTimeout has passed.
func (a *Allowance) Request(now clock.Time, o Operation) Decision {
	s := a.share(now, o.Workspace, o.Limit)
	s.demand.add(now)
	d := s.take(a, now, o.Hosted)
	if _, wait := d.(Wait); wait {
		s.waiting++
	}
	return d
}

// Retry decides again on an operation that waits.
func (a *Allowance) Retry(now clock.Time, o Operation) Decision {
	s := a.share(now, o.Workspace, o.Limit)
	late := now.Sub(o.Since) >= AnswerTimeout
	if late && s.asked && now.Sub(s.askedAt) >= AnswerTimeout/2 {
		s.markSilent(now)
	}
	d := s.take(a, now, o.Hosted)
	if _, wait := d.(Wait); wait {
		if !late {
			return d
		}
		d = s.refused(now, silentRetry)
	}
	s.waiting = max(s.waiting-1, 0)
	return d
}

// take decides on one operation.
func (s *share) take(a *Allowance, now clock.Time, hosted bool) Decision {
	s.dropExpired(now)
	switch {
	case len(s.lots) > 0:
		l := &s.lots[0]
		granted := Granted{Until: now.Add(a.quota.SendTime()), Expires: l.expires}
		l.tokens--
		if l.tokens == 0 {
			s.lots = s.lots[1:]
		}
		s.used.add(now)
		return granted
	case s.silentSince != 0:
		if !hosted && s.reserve.take(now) {
			s.debt++
			s.used.add(now)
			return Granted{Until: now.Add(a.quota.SendTime())}
		}
		return s.refused(now, s.reserve.wait())
	case now < s.emptyUntil:
		return s.refused(now, s.emptyUntil.Sub(now))
	}
	return Wait{}
}

func (s *share) refused(now clock.Time, retry clock.Duration) Refused {
	r := Refused{Retry: max(retry, minRetry), Silent: s.silentSince != 0, Used: int(s.used.perSecond(now)), Age: -1}
	if s.answered {
		r.Age = now.Sub(s.answeredAt)
	}
	return r
}

func (s *share) dropExpired(now clock.Time) {
	n := 0
	for n < len(s.lots) && now >= s.lots[n].expires {
		n++
	}
	s.lots = s.lots[n:]
	if len(s.lots) == 0 {
		s.lots = nil
	}
}

func (s *share) held() int {
	sum := 0
	for _, l := range s.lots {
		sum += l.tokens
	}
	return sum
}

// PutBack puts a token back that was not used.
func (a *Allowance) PutBack(now clock.Time, w string, g Granted) {
	if s, ok := a.shares[w]; ok && now < g.Expires {
		s.lots = append([]lot{{tokens: 1, expires: g.Expires}}, s.lots...)
	}
}

// Next returns the message to send now because of a workspace, if any. One message at a
// time is under way to an accountant; it takes along what other workspaces of that
// accountant will need soon.
func (a *Allowance) Next(now clock.Time, w string) (Message, bool) {
	s, ok := a.shares[w]
	if !ok || !s.wantsAsk(now) {
		return Message{}, false
	}
	to := a.target(now, w, s)
	if to == "" {
		s.markSilent(now)
		return Message{}, false
	}
	return a.message(now, to)
}

// More returns the next message to an accountant that has answered, if an operation waits
// for one.
func (a *Allowance) More(now clock.Time, accountant string) (Message, bool) {
	for w, s := range a.shares {
		if s.waiting > 0 && s.wantsAsk(now) && a.target(now, w, s) == accountant {
			return a.message(now, accountant)
		}
	}
	return Message{}, false
}

func (a *Allowance) message(now clock.Time, to string) (Message, bool) {
	if a.busy[to] {
		return Message{}, false
	}
	m := Message{Accountant: to}
	for w, s := range a.shares {
		if a.target(now, w, s) != to {
			continue
		}
		if ask, ok := s.ask(now, w); ok {
			m.Asks = append(m.Asks, ask)
		}
	}
	if len(m.Asks) == 0 {
		return Message{}, false
	}
	a.busy[to] = true
	return m, true
}

// wantsAsk reports whether the accountant should be asked now.
func (s *share) wantsAsk(now clock.Time) bool {
	if s.asked || now < s.emptyUntil {
		return false
	}
	if s.silentSince != 0 {
		return now.Sub(s.askedAt) >= silentRetry
	}
	return s.waiting > 0 || s.below(now, lowAhead)
}

// below reports whether the tokens last less than span.
func (s *share) below(now clock.Time, span clock.Duration) bool {
	rate := s.demand.perSecond(now)
	return math.Floor(rate*seconds(fullAhead)) >= minAhead && float64(s.held()) < rate*seconds(span)
}

// ask returns what to ask for a workspace. It returns false if nothing has to be asked.
func (s *share) ask(now clock.Time, w string) (Ask, bool) {
	if s.asked || now < s.emptyUntil || s.silentSince != 0 && now.Sub(s.askedAt) < silentRetry {
		return Ask{}, false
	}
	s.dropExpired(now)
	rate := s.demand.perSecond(now)
	if s.waiting == 0 && s.silentSince == 0 && !s.below(now, (lowAhead+fullAhead)/2) {
		return Ask{}, false
	}
	ask := Ask{Workspace: w, Unused: s.giveBack(now, rate)}
	target := math.Floor(rate * seconds(fullAhead))
	if target < minAhead {
		target = 0
	}
	s.debt = min(s.debt, max(rate, 1)*seconds(maxDebt))
	ask.Want = max(int(target)-s.held(), 0) + s.waiting + int(s.debt)
	if s.silentSince != 0 {
		// An answer is wanted more than the token.
		ask.Want = max(ask.Want, 1)
	}
	if ask.Want == 0 {
		return Ask{}, false
	}
	s.asked, s.askedAt = true, now
	return ask, true
}

// giveBack removes the tokens that would expire unused, and returns their number.
func (s *share) giveBack(now clock.Time, rate float64) int {
	soon := 0
	for _, l := range s.lots {
		if l.expires <= now.Add(surplusSpan) {
			soon += l.tokens
		}
	}
	back := soon - int(math.Ceil(rate*seconds(surplusSpan))) - 1
	if back <= 0 {
		return 0
	}
	for left := back; left > 0; {
		n := min(s.lots[0].tokens, left)
		left -= n
		if s.lots[0].tokens -= n; s.lots[0].tokens == 0 {
			s.lots = s.lots[1:]
		}
	}
	return back
}

// Answered takes in the answer to a message that was sent at a time.
func (a *Allowance) Answered(now, sent clock.Time, m Message, grants []Grant) {
	delete(a.busy, m.Accountant)
	byName := make(map[string]Grant, len(grants))
	for _, g := range grants {
		byName[g.Workspace] = g
	}
	for _, ask := range m.Asks {
		s, ok := a.shares[ask.Workspace]
		if !ok {
			continue
		}
		s.asked = false
		g, ok := byName[ask.Workspace]
		if ok && !g.Holding {
			s.apply(a, now, sent, g)
			continue
		}
		retry := min(max(g.RetryMillis, minRetry), HoldBack)
		if m.Accountant != s.accountant {
			s.gaveUp = true
		} else if now >= s.heldUntil {
			s.heldUntil, s.gaveUp = now.Add(retry), false
		}
		if next := a.target(now, ask.Workspace, s); next == m.Accountant || s.gaveUp {
			s.markSilent(now)
		}
	}
}

func (s *share) apply(a *Allowance, now, sent clock.Time, g Grant) {
	s.silentSince, s.answered, s.answeredAt = 0, true, now
	s.reserve.stop(now)
	s.emptyUntil = 0
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
	delete(a.busy, m.Accountant)
	for _, ask := range m.Asks {
		if s, ok := a.shares[ask.Workspace]; ok {
			s.asked = false
			if m.Accountant != s.accountant {
				s.gaveUp = true
			}
			s.markSilent(now)
		}
	}
}

func (s *share) markSilent(now clock.Time) {
	if s.silentSince == 0 {
		s.silentSince = now
	}
	s.reserve.start(now, s.reserveRate(now), 0)
}

// sweep forgets the workspaces that have not been in use for idleTime.
func (a *Allowance) sweep(now clock.Time) {
	if now.Sub(a.sweptAt) < sweepInterval {
		return
	}
	a.sweptAt = now
	for w, s := range a.shares {
		if now.Sub(s.usedAt) >= idleTime && s.waiting == 0 {
			delete(a.shares, w)
		}
	}
}

// Len returns the number of workspaces in use.
func (a *Allowance) Len() int { return len(a.shares) }
