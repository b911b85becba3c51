package workspace

import (
	"math"

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
	// DeputyTimeout is how long the answer of one accountant is awaited before a deputy is
	// asked. The rest of AnswerTimeout suffices for that.
	DeputyTimeout = 20 * clock.Millisecond
	// maxDebt is the time of use for which operations from a reserve are paid back. After
	// a longer silence the accountant's bucket has filled.
	maxDebt = clock.Second
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
	// accountants has the accountants, as this proxy knows them, and earlier those before
	// the last changes, the newest first. choice is the number of the last change.
	accountants []string
	earlier     [][]string
	choice      int
	contacts    map[string]*contact
}

// share is what a proxy holds of one workspace.
type share struct {
	limit Limit
	// candidates has the proxies that may grant, as of the change number choice of the
	// accountants. accountant is the first accountant, and those from the index
	// deputiesFrom are deputies. moved is the accountant that another one has named.
	candidates        []string
	accountant, moved string
	deputiesFrom      int
	choice            int
	// refusals has the accountants that grant nothing now. No deputy does until
	// noDeputyUntil.
	refusals      []refusal
	noDeputyUntil clock.Time
	// usual is the usual demand of the workspace, as its accountant has told.
	usual float64
	// lots has the tokens, ordered by when they expire.
	lots []lot
	// demand counts the operations that need tokens, and used those that got one.
	demand, used usage
	usedAt       clock.Time
	classes      classDemand
	// waiting is the number of operations that wait for a grant.
	waiting int
	// asked is the accountant that an ask is under way to, "" if none is. askedAt is when
	// the last one was sent.
	asked   string
	askedAt clock.Time
	// answered is set once an accountant has answered, last at answeredAt.
	answered   bool
	answeredAt clock.Time
	// emptyUntil is the time before which the accountant emptyAt has nothing to grant.
	emptyUntil clock.Time
	emptyAt    string
	reserve    reserve
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
	return &Allowance{self: self, quota: q, shares: make(map[string]*share), contacts: make(map[string]*contact)}
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
	// Priority is that of the operation's class, 0 for the most urgent.
	Priority int
	// Hosted is set if the caller is connected to another proxy, whose reserve the
	// operation uses.
	Hosted bool
	// Since is when the token was requested.
	Since clock.Time
}

// Request records that an operation needs a token and decides on it. After Wait, Retry
// has to be called whenever an accountant has answered, and after each DeputyTimeout until
// AnswerTimeout has passed.
func (a *Allowance) Request(now clock.Time, o Operation) Decision {
	s := a.share(now, o.Workspace, o.Limit)
	s.demand.add(now)
	s.classes.add(now, o.Priority)
	d := s.take(a, now, o)
	if _, wait := d.(Wait); wait {
		s.waiting++
	}
	return d
}

// Retry decides again on an operation that waits.
func (a *Allowance) Retry(now clock.Time, o Operation) Decision {
	s := a.share(now, o.Workspace, o.Limit)
	if s.asked != "" && now.Sub(s.askedAt) >= DeputyTimeout {
		a.contact(s.asked).markSilent(now)
	}
	d := s.take(a, now, o)
	if _, wait := d.(Wait); wait {
		if now.Sub(o.Since) < AnswerTimeout {
			return d
		}
		d = s.takeReserve(a, now, o)
	}
	s.waiting = max(s.waiting-1, 0)
	return d
}

// take decides on one operation.
func (s *share) take(a *Allowance, now clock.Time, o Operation) Decision {
	s.dropExpired(now)
	if len(s.lots) > 0 {
		if span := s.shortFor(now); span > 0 && s.held() <= s.classes.expected(now, o.Priority, span) {
			return s.refused(now, span)
		}
		l := &s.lots[0]
		granted := Granted{Until: now.Add(a.quota.SendTime()), Expires: l.expires}
		l.tokens--
		if l.tokens == 0 {
			s.lots = s.lots[1:]
		}
		s.used.add(now)
		return granted
	}
	switch target, _ := a.target(now, o.Workspace, s); {
	case target == "" && a.expects(now, s):
		return Wait{}
	case target == "":
		return s.takeReserve(a, now, o)
	case target == s.emptyAt && now < s.emptyUntil:
		return s.refused(now, s.emptyUntil.Sub(now))
	}
	return Wait{}
}

// shortFor returns for how long the tokens that are held have to last if the accountant
// recently had fewer than were asked for, and otherwise zero.
func (s *share) shortFor(now clock.Time) clock.Duration {
	if s.emptyUntil == 0 || now.Sub(s.emptyUntil) > maxPollDelay {
		return 0
	}
	return max(s.emptyUntil.Sub(now), 0) + urgentSpan
}

// takeReserve decides on an operation while no accountant answers.
func (s *share) takeReserve(a *Allowance, now clock.Time, o Operation) Decision {
	s.reserve.start(now, s.reserveRate(now), 0)
	if !o.Hosted && s.reserve.take(now) {
		s.debt++
		s.used.add(now)
		return Granted{Until: now.Add(a.quota.SendTime())}
	}
	r := s.refused(now, s.reserve.wait())
	r.Silent = true
	return r
}

func (s *share) refused(now clock.Time, retry clock.Duration) Refused {
	r := Refused{Retry: max(retry, minRetry), Used: int(s.used.perSecond(now)), Age: -1}
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

// wantsAsk reports whether an accountant should be asked now.
func (s *share) wantsAsk(now clock.Time, to string) bool {
	return s.mayAsk(now, to) && (s.waiting > s.held() || s.reserve.on || s.below(now, lowAhead))
}

func (s *share) mayAsk(now clock.Time, to string) bool {
	return s.asked != to && (s.emptyAt != to || now >= s.emptyUntil)
}

// below reports whether the tokens last less than span.
func (s *share) below(now clock.Time, span clock.Duration) bool {
	rate := s.demand.perSecond(now)
	return math.Floor(rate*seconds(fullAhead)) >= minAhead && float64(s.held()) < rate*seconds(span)
}

// ask returns what to ask for a workspace. It returns false if nothing has to be asked.
func (s *share) ask(now clock.Time, w, to string) (Ask, bool) {
	if !s.mayAsk(now, to) {
		return Ask{}, false
	}
	s.dropExpired(now)
	rate := s.demand.perSecond(now)
	if s.waiting <= s.held() && !s.reserve.on && !s.below(now, (lowAhead+fullAhead)/2) {
		return Ask{}, false
	}
	ask := Ask{Workspace: w, Unused: s.giveBack(now, rate)}
	target := math.Floor(rate * seconds(fullAhead))
	if target < minAhead {
		target = 0
	}
	s.debt = min(s.debt, max(rate, 1)*seconds(maxDebt))
	// Tokens that have just come are for those that wait.
	ask.Want = max(int(target)+s.waiting-s.held(), 0) + int(s.debt)
	if s.reserve.on {
		// An answer is wanted more than the token.
		ask.Want = max(ask.Want, 1)
	}
	if ask.Want == 0 {
		return Ask{}, false
	}
	s.asked, s.askedAt = to, now
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
