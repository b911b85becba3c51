package freshness

import (
	"cmp"
	"slices"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// AskInterval is the time between two rounds of questions to other proxies.
	AskInterval = 400 * clock.Millisecond
	// AskTimeout is how long another proxy may take to answer. A machine with a small
	// share of a core pauses for up to 200 ms.
	AskTimeout = 300 * clock.Millisecond
	// MaxCalmAge is the age that proofs do not exceed without failures, in any tier. It
	// leaves 3,000 ms of the 4,900 ms that a proof counts.
	MaxCalmAge = 1900 * clock.Millisecond
	// lateAge is the age from which another source is asked in the same round, and from
	// which a root asks other proxies.
	lateAge = 2000 * clock.Millisecond
	// storeAge is the age from which a proxy whose sources have not helped asks the
	// store itself, every storeInterval. It leaves time for two further attempts.
	storeAge      = 2500 * clock.Millisecond
	storeInterval = 1000 * clock.Millisecond
	// minAttempts is how many sources are asked in a round. More are asked as long as
	// the round has taken no longer than extraAttemptsLimit.
	minAttempts        = 2
	extraAttemptsLimit = 300 * clock.Millisecond
	// avoidPause is how long a source that did not help is asked last.
	avoidPause = 1000 * clock.Millisecond
)

// StoreInterval returns the time between two questions of a root to the store, above the
// given number of tiers that ask each other: with AskInterval for each of these, it adds
// up to MaxCalmAge less 100 to 200 ms for round trips.
func StoreInterval(tiersBelow int) clock.Duration {
	switch tiersBelow {
	case 0:
		return 1700 * clock.Millisecond
	case 1:
		return 1300 * clock.Millisecond
	default:
		return 1000 * clock.Millisecond
	}
}

// Role is whom a proxy asks.
type Role struct {
	// Interval is the time between two questions to the store, zero for a proxy that
	// asks its sources instead.
	Interval clock.Duration
	// Sources are proxies, in order of preference. A root asks them if the store does
	// not answer it.
	Sources []string
}

// Answer is what another proxy says of its own proof.
type Answer struct {
	// Version is that of the newest row that the proxy has in force, and Age the age of
	// its proof when it answered.
	Version store.Version
	Age     clock.Duration
	// Lost is set if the proxy has no proof.
	Lost bool
}

// Action is what the code that drives an Asker has to do next.
type Action interface{ action() }

// AskStore asks the store. HandleStore takes the outcome.
type AskStore struct{}

// AskProxy asks another proxy within AskTimeout. HandleAnswer or HandleFailure take the
// outcome.
type AskProxy struct{ Name string }

// Wait does nothing until a time, or until Hurry or SetRole is called.
type Wait struct{ Until clock.Time }

func (AskStore) action() {}
func (AskProxy) action() {}
func (Wait) action()     {}

// Asker decides whom a proxy asks for the next proof, and when. At most one question is
// in flight. It is not safe for concurrent use.
type Asker struct {
	proof *Proof
	role  Role
	// began is when the first question was due. An older proof, or none, is no sign of
	// sources that do not help.
	began clock.Time
	// storeAt is when the store may be asked next, and askedStoreAt when it was asked
	// last.
	storeAt, askedStoreAt clock.Time
	// roundAt is when the next round of questions to sources begins, and roundBegan when
	// the present one has. remaining are the sources to ask in it, asked how many were.
	roundAt, roundBegan clock.Time
	remaining           []string
	asked               int
	// phase replaces AskInterval after the first round, so that proxies that start at
	// the same time do not ask at the same time for ever.
	phase clock.Duration
	// sentAt is when the question in flight was sent.
	sentAt clock.Time
	// avoidUntil has the sources that did not help.
	avoidUntil map[string]clock.Time
	// answered is set if a source has answered in the present or last round.
	answered bool
	// helped is set if a source has given a young proof in that round, or before the
	// first one. storeLast is set if the store was asked since that round.
	helped, storeLast bool
}

// NewAsker returns an Asker that records its proofs in p from now on. phase is a random
// time of up to AskInterval.
func NewAsker(p *Proof, now clock.Time, phase clock.Duration) *Asker {
	return &Asker{proof: p, began: now, phase: phase, helped: true, avoidUntil: make(map[string]clock.Time)}
}

// age returns for how long no proof has come, at most since this Asker asks for them.
func (a *Asker) age(now clock.Time) clock.Duration {
	return min(a.proof.Age(now), max(now.Sub(a.began), 0))
}

// SetRole replaces the role.
func (a *Asker) SetRole(r Role) {
	if a.role.Interval == r.Interval && slices.Equal(a.role.Sources, r.Sources) {
		return
	}
	a.role = r
	a.remaining = nil
	clear(a.avoidUntil)
}

// Hurry makes the next question due at once.
func (a *Asker) Hurry() { a.storeAt, a.askedStoreAt, a.roundAt = 0, 0, 0 }

// SourcesAnswer reports whether a source answered in the last round. If the proof is old
// all the same, the sources do not reach the store.
func (a *Asker) SourcesAnswer() bool { return a.answered }

// SpareStore postpones questions to the store, because it is known not to respond.
func (a *Asker) SpareStore(until clock.Time) { a.storeAt, a.askedStoreAt = until, 0 }

// Next returns what to do now.
func (a *Asker) Next(now clock.Time) Action {
	age := a.age(now)
	root := a.role.Interval > 0
	if a.asksStore(now, age) {
		a.askedStoreAt, a.storeLast, a.helped = now, true, false
		a.proof.Expect(now)
		return AskStore{}
	}
	if !root || age > lateAge {
		if name, ok := a.nextSource(now); ok {
			a.sentAt = now
			a.proof.Expect(now)
			return AskProxy{Name: name}
		}
	}
	until := a.roundAt
	if root {
		until = a.storeDue()
		if len(a.role.Sources) > 0 {
			lateAt := now.Add(max(lateAge+1-age, 0))
			until = min(until, max(lateAt, a.roundAt))
		}
	}
	if until <= now {
		until = now.Add(AskInterval)
	}
	a.proof.Expect(until)
	return Wait{Until: until}
}

// asksStore reports whether the store is asked now. While answers are missing, the store
// and a round of questions to sources take turns, since both take their timeouts then.
func (a *Asker) asksStore(now clock.Time, age clock.Duration) bool {
	roundDue := len(a.remaining) > 0 || now >= a.roundAt && len(a.role.Sources) > 0
	if a.role.Interval > 0 {
		return now >= a.storeDue() && !(age > lateAge && a.storeLast && roundDue)
	}
	if now < a.followerStoreDue() || len(a.remaining) > 0 {
		return false
	}
	return len(a.role.Sources) == 0 || age >= storeAge && !a.helped && !a.storeLast
}

// storeDue returns when a root asks the store next. Other calls to the store may have
// proved the configuration meanwhile.
func (a *Asker) storeDue() clock.Time {
	asked := max(a.askedStoreAt, a.proof.State().At)
	if a.askedStoreAt == 0 && !a.proof.Proved() {
		return a.storeAt
	}
	return max(a.storeAt, asked.Add(a.role.Interval))
}

// followerStoreDue returns when a proxy that is no root may ask the store again.
func (a *Asker) followerStoreDue() clock.Time {
	if a.askedStoreAt == 0 {
		return a.storeAt
	}
	return max(a.storeAt, a.askedStoreAt.Add(storeInterval))
}

// nextSource returns the source to ask now, if there is one.
func (a *Asker) nextSource(now clock.Time) (string, bool) {
	if now >= a.roundAt && len(a.role.Sources) > 0 {
		interval := AskInterval
		if a.phase > 0 {
			interval, a.phase = a.phase, 0
		}
		a.roundAt, a.roundBegan = now.Add(interval), now
		a.remaining, a.asked = a.candidates(now), 0
		a.answered, a.helped, a.storeLast = false, false, false
	}
	if len(a.remaining) == 0 {
		return "", false
	}
	if a.asked >= minAttempts && now.Sub(a.roundBegan) > extraAttemptsLimit {
		a.remaining = nil
		return "", false
	}
	name := a.remaining[0]
	a.remaining = a.remaining[1:]
	a.asked++
	return name, true
}

// candidates returns the sources in the order in which they are asked: those that did not
// help come last.
func (a *Asker) candidates(now clock.Time) []string {
	list := slices.Clone(a.role.Sources)
	slices.SortStableFunc(list, func(x, y string) int {
		return cmp.Compare(max(a.avoidUntil[x], now), max(a.avoidUntil[y], now))
	})
	return list
}

// HandleAnswer takes the answer of another proxy to the question in flight.
func (a *Asker) HandleAnswer(now clock.Time, name string, answer Answer) Outcome {
	if answer.Lost || answer.Age < 0 {
		a.answered = a.answered || answer.Lost
		a.avoid(now, name)
		return NotNewer
	}
	a.answered = true
	// The answer may have been held up, so only its age and the time of the question
	// count.
	outcome := a.proof.Prove(a.sentAt.Add(-answer.Age), answer.Version)
	switch {
	case outcome == EarlierEra, outcome != NotInForce && (!a.proof.Proved() || a.age(now) > lateAge):
		a.avoid(now, name)
	default:
		// If the source has changes that this proxy lacks, no other source helps.
		delete(a.avoidUntil, name)
		a.remaining, a.helped = nil, outcome != NotInForce
	}
	return outcome
}

// HandleFailure records that another proxy has not answered in time, or that it does not
// know the question.
func (a *Asker) HandleFailure(now clock.Time, name string) { a.avoid(now, name) }

func (a *Asker) avoid(now clock.Time, name string) { a.avoidUntil[name] = now.Add(avoidPause) }
