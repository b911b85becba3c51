package freshness

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func newAsker(now clock.Time, role Role) (*Asker, *Proof) {
	p := NewProof(limit, now)
	p.Apply(whole(at(30), at(25)))
	a := NewAsker(p, now, 0)
	a.SetRole(role)
	return a, p
}

// A proof is as young as its question, however late the answer arrives: it may have been
// held up by the network or by a frozen process.
func TestLateAnswerProvesNoMoreThanAtItsQuestion(t *testing.T) {
	a, p := newAsker(10_000, Role{Sources: []string{"r"}})
	require.Equal(t, AskProxy{Name: "r"}, a.Next(10_000))
	require.Equal(t, Proved, a.HandleAnswer(13_000, "r", Answer{Version: at(25), Age: 700}))
	require.Equal(t, clock.Time(9_300), p.State().At)
}

// A source must not make a proof younger than its question by a negative age.
func TestNegativeAgesProveNothing(t *testing.T) {
	a, p := newAsker(10_000, Role{Sources: []string{"r"}})
	a.Next(10_000)
	a.HandleAnswer(10_002, "r", Answer{Version: at(25), Age: -60_000})
	require.False(t, p.Proved())
}

// At most one question is in flight, one to a source every AskInterval.
func TestSourcesAreAskedOncePerInterval(t *testing.T) {
	a, _ := newAsker(10_000, Role{Sources: []string{"r", "s"}})
	for now := clock.Time(10_000); now < 14_000; now = now.Add(AskInterval) {
		require.Equal(t, AskProxy{Name: "r"}, a.Next(now))
		a.HandleAnswer(now+2, "r", Answer{Version: at(25), Age: 900})
		require.Equal(t, Wait{Until: now.Add(AskInterval)}, a.Next(now+2))
	}
}

// A source that is frozen, lost or behind must not be the only one that is asked, and the
// next round begins with the one that helped.
func TestAnotherSourceIsAsked(t *testing.T) {
	for name, fail := range map[string]func(a *Asker, now clock.Time){
		"no answer":   func(a *Asker, now clock.Time) { a.HandleFailure(now, "r") },
		"lost":        func(a *Asker, now clock.Time) { a.HandleAnswer(now, "r", Answer{Lost: true}) },
		"late":        func(a *Asker, now clock.Time) { a.HandleAnswer(now, "r", Answer{Version: at(25), Age: 4000}) },
		"earlier era": func(a *Asker, now clock.Time) { a.HandleAnswer(now, "r", Answer{Version: at(25)}) },
	} {
		t.Run(name, func(t *testing.T) {
			a, p := newAsker(10_000, Role{Sources: []string{"r", "s"}})
			p.Apply(whole(second(26), second(20)))
			p.Prove(9000, second(26))
			version := second(20)
			a.began = 1000
			now := clock.Time(12_500)
			require.Equal(t, AskProxy{Name: "r"}, a.Next(now))
			fail(a, now+300)
			require.Equal(t, AskProxy{Name: "s"}, a.Next(now+300))
			require.Equal(t, Proved, a.HandleAnswer(now+302, "s", Answer{Version: version, Age: 500}))
			require.Equal(t, Wait{Until: now.Add(AskInterval)}, a.Next(now+302))
			require.Equal(t, AskProxy{Name: "s"}, a.Next(now.Add(AskInterval)))
		})
	}
}

// A proxy whose sources have changes that it lacks must not go from source to source: the
// changes are on their way.
func TestSourcesAheadAreNotAvoided(t *testing.T) {
	a, _ := newAsker(10_000, Role{Sources: []string{"r", "s"}})
	a.Next(10_000)
	require.Equal(t, NotInForce, a.HandleAnswer(10_002, "r", Answer{Version: at(31)}))
	require.IsType(t, Wait{}, a.Next(10_002))
	require.Equal(t, AskProxy{Name: "r"}, a.Next(10_400))
}

// A proxy whose sources do not help must ask the store while its proof still counts, and
// not more than once a second.
func TestStoreIsAskedIfSourcesDoNotHelp(t *testing.T) {
	a, p := newAsker(10_000, Role{Sources: []string{"r", "s"}})
	p.Prove(9_900, at(25))
	var asked []clock.Time
	for now := clock.Time(10_000); now < 16_000; {
		switch action := a.Next(now).(type) {
		case AskProxy:
			now = now.Add(AskTimeout)
			a.HandleFailure(now, action.Name)
		case AskStore:
			asked = append(asked, now)
			now += 800
		case Wait:
			require.Greater(t, action.Until, now)
			now = action.Until
		}
	}
	require.NotEmpty(t, asked)
	require.LessOrEqual(t, asked[0].Sub(9_900), limit-Margin-1400)
	for i := range asked[1:] {
		require.GreaterOrEqual(t, asked[i+1].Sub(asked[i]), storeInterval)
	}
}

// A root asks the store once per interval, and other roots once it gets no answers: while
// only its own path to the store is cut, its callers are to be served.
func TestRootAsksOthersIfTheStoreDoesNotAnswer(t *testing.T) {
	a, p := newAsker(10_000, Role{Interval: 1000, Sources: []string{"q"}})
	now := clock.Time(10_000)
	for range 5 {
		require.Equal(t, AskStore{}, a.Next(now))
		p.Prove(now, at(30))
		require.Equal(t, Wait{Until: now + 1000}, a.Next(now+5))
		now += 1000
	}
	lost, others, asked := now, 0, 0
	for now < lost+8000 {
		switch action := a.Next(now).(type) {
		case AskStore:
			if asked++; asked%2 == 0 {
				a.SpareStore(now + 300)
			} else {
				now += 800
			}
		case AskProxy:
			require.Equal(t, Proved, a.HandleAnswer(now+2, action.Name, Answer{Version: at(25), Age: 500}))
			others++
			now += 2
		case Wait:
			now = action.Until
		}
		require.True(t, p.Admits(now))
	}
	require.Positive(t, others)
}

// A call of the feed that the store has answered proves the same; a root need not ask
// again before its interval.
func TestOtherAnswersOfTheStoreSaveAQuestion(t *testing.T) {
	a, p := newAsker(10_000, Role{Interval: 1000})
	p.Prove(9_800, at(30))
	require.Equal(t, Wait{Until: 10_800}, a.Next(10_000))
	require.Equal(t, AskStore{}, a.Next(10_800))
}

// Without members yet, nobody but the store can be asked.
func TestStoreIsAskedWithoutSources(t *testing.T) {
	a, _ := newAsker(10_000, Role{})
	require.Equal(t, AskStore{}, a.Next(10_000))
	require.IsType(t, Wait{}, a.Next(10_005))
	require.Equal(t, AskStore{}, a.Next(11_000))
}

// Proxies that start together must not ask a relay in the same millisecond for ever.
func TestFirstRoundIsFollowedAfterAPhase(t *testing.T) {
	a, _ := newAsker(10_000, Role{Sources: []string{"r"}})
	a.phase = 130
	require.Equal(t, AskProxy{Name: "r"}, a.Next(10_000))
	a.HandleAnswer(10_002, "r", Answer{Version: at(25)})
	require.Equal(t, Wait{Until: 10_130}, a.Next(10_002))
	a.Next(10_130)
	a.HandleAnswer(10_132, "r", Answer{Version: at(25)})
	require.Equal(t, Wait{Until: 10_530}, a.Next(10_132))
}

// Intervals and round trips of up to 100 ms add up to MaxCalmAge at the last tier.
func TestIntervalsAddUp(t *testing.T) {
	for tiersBelow := range 3 {
		sum := StoreInterval(tiersBelow) + clock.Duration(tiersBelow)*AskInterval
		require.LessOrEqual(t, sum+100, MaxCalmAge)
	}
	require.GreaterOrEqual(t, limit-Margin-MaxCalmAge, 3000*clock.Millisecond)
}
