package front

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/freshness"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// testLimit is the revocation limit, and maxProofAge how old a proof may be that counts.
const (
	testLimit   = 5000 * clock.Millisecond
	maxProofAge = testLimit - freshness.Margin
)

// fleet is a store and its proxies in virtual time: their askers, proofs and outages are
// the real ones, the network and the feeds are simulated.
type fleet struct {
	now    clock.Time
	rand   *rand.Rand
	events eventQueue
	// version is that of the configuration's row, and removed when the store has
	// acknowledged that it removed the key, zero if not. down is set while the store
	// does not answer.
	version store.Version
	removed clock.Time
	down    bool
	proxies []*fleetProxy
	byName  map[string]*fleetProxy
	// storeCalls and peerCalls count the questions, peerCallsTo those to one proxy.
	storeCalls, peerCalls int
	peerCallsTo           map[string]int
}

type fleetProxy struct {
	proxy.Peer
	proof   *freshness.Proof
	asker   *freshness.Asker
	role    freshness.Role
	outage  outage
	inForce store.Version
	// hasKey is set if the configuration in force holds the key.
	hasKey bool
	// cut is set while the proxy does not reach the store, and isolated while it does
	// not reach other proxies. It does nothing until frozenUntil.
	cut, isolated bool
	frozenUntil   clock.Time
	// wake counts the waits, so that an outdated one does nothing.
	wake int
}

type event struct {
	at    clock.Time
	order int
	// of is the proxy that acts, nil for the store.
	of  *fleetProxy
	run func()
}

type eventQueue struct {
	list  []event
	count int
}

func (q *eventQueue) Len() int { return len(q.list) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.list[i], q.list[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (q *eventQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *eventQueue) Push(x any)    { q.list = append(q.list, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

// newFleet returns n proxies that have just learned the configuration.
func newFleet(n int, seed uint64) *fleet {
	f := &fleet{now: 100_000, rand: rand.New(rand.NewPCG(seed, 7)), version: at(25), byName: make(map[string]*fleetProxy), peerCallsTo: make(map[string]int)}
	members := makeProxies(n)
	chosen := chooseTiers(members)
	for _, m := range members {
		p := &fleetProxy{Peer: m, proof: freshness.NewProof(testLimit, f.now), hasKey: true, inForce: f.version}
		p.asker = freshness.NewAsker(p.proof, f.now, clock.Duration(1+f.rand.Int64N(int64(freshness.AskInterval))))
		p.role = proofRole(m, members, chosen)
		p.proof.Apply(store.Changes{Rows: []store.Row{{Key: "config", Version: f.version}}, Whole: true, Version: f.version})
		f.proxies, f.byName[m.Name] = append(f.proxies, p), p
		f.after(p, clock.Duration(f.rand.Int64N(200)), func() { f.step(p) })
	}
	return f
}

// after runs an action of a proxy after a time, or once the proxy is no longer frozen.
func (f *fleet) after(p *fleetProxy, d clock.Duration, run func()) {
	f.events.count++
	heap.Push(&f.events, event{at: f.now.Add(d), order: f.events.count, of: p, run: run})
}

// runUntil runs the fleet.
func (f *fleet) runUntil(until clock.Time) {
	for f.events.Len() > 0 && f.events.list[0].at <= until {
		e := heap.Pop(&f.events).(event)
		if e.of != nil && e.at < e.of.frozenUntil {
			e.at = e.of.frozenUntil
			heap.Push(&f.events, e)
			continue
		}
		f.now = e.at
		e.run()
	}
	f.now = until
}

// latency returns the time that a message takes, with the pauses of a small machine.
func (f *fleet) latency() clock.Duration { return clock.Duration(2 + f.rand.Int64N(12)) }

// step does what the asker of a proxy says, as Front.stepFreshness does.
func (f *fleet) step(p *fleetProxy) {
	p.asker.SetRole(p.role)
	switch action := p.asker.Next(f.now).(type) {
	case freshness.AskStore:
		f.askStore(p)
	case freshness.AskProxy:
		f.askProxy(p, f.byName[action.Name])
	case freshness.Wait:
		p.wake++
		wake := p.wake
		f.after(p, action.Until.Sub(f.now), func() {
			if wake == p.wake {
				f.step(p)
			}
		})
	}
}

func (f *fleet) askStore(p *fleetProxy) {
	if p.role.Interval == 0 && p.asker.SourcesAnswer() {
		p.outage.reportByRelays(f.now)
	}
	if wait, _ := p.outage.reserveAttempt(f.now); wait > 0 {
		p.asker.SpareStore(f.now.Add(min(wait, minRetryDelay)))
		f.step(p)
		return
	}
	f.storeCalls++
	sent := f.now
	if f.down || p.cut {
		f.after(p, storeProofTimeout, func() {
			p.outage.recordFailure(f.now, false)
			f.step(p)
		})
		return
	}
	f.after(nil, f.latency(), func() {
		version, removed := f.version, f.removed != 0
		f.after(p, f.latency(), func() {
			p.outage.recordSuccess()
			f.apply(p, version, !removed)
			p.proof.Prove(sent, version)
			f.step(p)
		})
	})
}

func (f *fleet) askProxy(p, target *fleetProxy) {
	f.peerCalls++
	f.peerCallsTo[target.Name]++
	answered, params := false, freshnessParams{Version: p.proof.State().Newest}
	f.after(p, freshness.AskTimeout, func() {
		if !answered {
			answered = true
			p.asker.HandleFailure(f.now, target.Name)
			f.step(p)
		}
	})
	if p.isolated || target.isolated {
		return
	}
	f.after(target, f.latency(), func() {
		result := answerFreshness(target.proof.State(), f.now, testLimit, params)
		f.after(p, f.latency(), func() {
			if !answered {
				answered = true
				p.asker.HandleAnswer(f.now, target.Name, freshness.Answer{Version: result.Version, Age: result.AgeMillis, Lost: result.Lost})
				f.step(p)
			}
		})
	})
}

// apply puts a version in force and passes it on to the proxies that follow this one.
func (f *fleet) apply(p *fleetProxy, version store.Version, hasKey bool) {
	if !p.inForce.Before(version) {
		return
	}
	whole := version.Era > p.inForce.Era
	p.inForce, p.hasKey = version, hasKey
	p.proof.Apply(store.Changes{Rows: []store.Row{{Key: "config", Version: version}}, Whole: whole, Version: version})
	p.asker.Hurry()
	for _, q := range f.proxies {
		if q.role.Interval == 0 && slices.Contains(q.role.Sources, p.Name) && !p.isolated && !q.isolated {
			f.after(q, f.latency(), func() { f.apply(q, version, hasKey) })
		}
	}
}

// change writes a configuration. The feeds that the store holds open bring it to the roots.
func (f *fleet) change(version store.Version, remove bool) {
	f.version = version
	if remove {
		f.removed = f.now
	}
	for _, p := range f.proxies {
		if p.role.Interval > 0 && !p.cut && !f.down {
			f.after(p, f.latency(), func() { f.apply(p, version, !remove) })
		}
	}
}

// admits reports whether a proxy that is not frozen runs a statement that arrives now.
func (f *fleet) admits(p *fleetProxy) bool { return p.proof.Admits(f.now) && p.hasKey }

var fleetSizes = []int{1, 2, 3, 15, 49, 50, 115, 131, 300, 1000}

// Without failures, the age leaves 3,000 ms of the time that a proof counts, at each proxy
// of each tier.
func TestAgeOfProofsInCalm(t *testing.T) {
	for _, n := range append(fleetSizes, 4900) {
		f := newFleet(n, uint64(n))
		f.runUntil(f.now + 3000)
		oldest := clock.Duration(0)
		for until := f.now + 8000; f.now < until; {
			f.runUntil(f.now + 10)
			for _, p := range f.proxies {
				oldest = max(oldest, p.proof.Age(f.now))
			}
		}
		t.Logf("%d proxies: oldest proof %s", n, oldest)
		require.LessOrEqual(t, oldest, freshness.MaxCalmAge, "%d proxies", n)
	}
}

// Once the store is lost to all, statements are served for 3,000 ms, and none is admitted
// when the proof is too old. When the store is back, they are served again soon.
func TestStoreLostToAll(t *testing.T) {
	for _, n := range fleetSizes {
		for seed := range uint64(max(1, 600/max(n, 100))) {
			f := newFleet(n, seed)
			f.runUntil(f.now + 3000 + clock.Time(f.rand.Int64N(2000)))
			lost := f.now
			f.down = true
			for f.now < lost+12_000 {
				f.runUntil(f.now + 20)
				for _, p := range f.proxies {
					served := f.admits(p)
					if !served && f.now <= lost+3000 || served && f.now.Sub(lost) > maxProofAge {
						require.Fail(t, "served or refused at the wrong time", "%d proxies, seed %d: served %t %s after the loss", n, seed, served, f.now.Sub(lost))
					}
				}
			}
			f.down = false
			f.runUntil(f.now + 3500)
			for _, p := range f.proxies {
				require.True(t, f.admits(p), "%d proxies, seed %d: refused after the store is back", n, seed)
			}
		}
	}
}

// Proxies that reach others are served by their proofs although they are cut from the
// store: roots too, whose own questions are not answered.
func TestSomeProxiesAreCutFromTheStore(t *testing.T) {
	for _, n := range []int{3, 15, 115, 300} {
		f := newFleet(n, 1)
		f.runUntil(f.now + 3000)
		for i, p := range f.proxies {
			// One root stays connected.
			p.cut = p.role.Interval == 0 || slices.ContainsFunc(f.proxies[:i], func(q *fleetProxy) bool { return q.role.Interval > 0 })
		}
		for until := f.now + 20_000; f.now < until; {
			f.runUntil(f.now + 50)
			for _, p := range f.proxies {
				require.True(t, f.admits(p), "%d proxies: %s is refused", n, p.Name)
			}
		}
	}
}

// A statement must not run if it is sent more than the limit after the key was removed:
// at proxies that are cut from the store, isolated from others, frozen, or behind such
// ones. The removal may fall into any moment of the fault.
func TestRemovedKeyIsRefusedEverywhere(t *testing.T) {
	faults := map[string]func(f *fleet, p *fleetProxy){
		"cut":                func(_ *fleet, p *fleetProxy) { p.cut = true },
		"isolated":           func(_ *fleet, p *fleetProxy) { p.isolated = true },
		"cut and isolated":   func(_ *fleet, p *fleetProxy) { p.cut, p.isolated = true, true },
		"frozen":             func(f *fleet, p *fleetProxy) { p.frozenUntil = f.now + 9000 },
		"frozen for a while": func(f *fleet, p *fleetProxy) { p.frozenUntil = f.now + 700 },
	}
	for name, fault := range faults {
		for _, n := range []int{1, 15, 115, 300} {
			for seed := range uint64(max(2, 120/n)) {
				f := newFleet(n, seed)
				f.runUntil(f.now + 3000)
				for i, p := range f.proxies {
					// Of roots and relays, some have the fault, of others a quarter.
					if f.rand.IntN(2) == 0 && p.role.Interval > 0 || i%4 == 0 {
						fault(f, p)
					}
				}
				f.runUntil(f.now + clock.Time(f.rand.Int64N(4000)))
				f.change(at(31), true)
				check := func(until clock.Time) {
					for f.now < until {
						f.runUntil(f.now + 5)
						for _, p := range f.proxies {
							if f.now >= p.frozenUntil && f.admits(p) {
								require.Fail(t, "a statement runs after the limit", "%s, %d proxies, seed %d: %s, %s after the removal", name, n, seed, p.Name, f.now.Sub(f.removed))
							}
						}
					}
				}
				f.runUntil(f.removed.Add(testLimit) + 1)
				check(f.now + 1500)
				// After the fault, until all have heard of the removal.
				for _, p := range f.proxies {
					p.cut, p.isolated = false, false
				}
				check(f.now + 7000)
				for _, p := range f.proxies {
					require.False(t, p.hasKey, "%s, %d proxies, seed %d: %s has never heard of the removal", name, n, seed, p.Name)
					require.True(t, p.proof.Admits(f.now), "%s, %d proxies, seed %d: %s has no proof again", name, n, seed, p.Name)
				}
			}
		}
	}
}

// A restored store begins an era in which it gives out numbers again. Proofs go on with
// the new era, and the key that is removed in it is refused.
func TestProofsGoOnInANewEra(t *testing.T) {
	for _, n := range []int{1, 15, 115, 300} {
		f := newFleet(n, 3)
		f.runUntil(f.now + 3000)
		f.change(second(20), false)
		for until := f.now + 6000; f.now < until; {
			f.runUntil(f.now + 20)
			for _, p := range f.proxies {
				require.True(t, f.admits(p))
			}
		}
		f.change(second(25), true)
		f.runUntil(f.now.Add(testLimit) + 1)
		for _, p := range f.proxies {
			require.False(t, f.admits(p))
			require.Equal(t, second(25), p.proof.State().Newest)
			require.True(t, p.proof.Admits(f.now))
		}
	}
}

// Proxies with different views of the members may take each other for sources. Their ages
// add up, so that they must not keep each other's proofs young without the store.
func TestProxiesThatAskEachOtherNoticeTheLostStore(t *testing.T) {
	f := newFleet(3, 1)
	a, b := f.proxies[0], f.proxies[1]
	f.runUntil(f.now + 3000)
	a.role, b.role = freshness.Role{Sources: []string{b.Name}}, freshness.Role{Sources: []string{a.Name}}
	f.down = true
	lost := f.now
	for f.now < lost+20_000 {
		f.runUntil(f.now + 100)
		for _, p := range f.proxies {
			require.LessOrEqual(t, p.proof.State().At, lost)
		}
	}
	require.False(t, f.admits(a) || f.admits(b))
}

// Calls to the store are paid for, and messages take processor time and bandwidth: with
// each proxy asking the store once a second, 4,900 proxies would make 4,900 calls.
func TestProofsAreCheap(t *testing.T) {
	const seconds = 15
	for _, c := range []struct {
		proxies int
		// storeCalls is the most that all proxies make in a second, and peerCalls the
		// most questions. perSource is the most that one proxy is asked.
		storeCalls, peerCalls, perSource float64
	}{
		{1, 0.7, 0, 0},
		{2, 1.4, 0, 0},
		{15, 1.7, 33, 33},
		{49, 1.7, 118, 80},
		{115, 4, 276, 100},
		{300, 3.1, 743, 110},
		{4900, 7.1, 12_235, 150},
	} {
		f := newFleet(c.proxies, 5)
		f.runUntil(f.now + 3000)
		f.storeCalls, f.peerCalls = 0, 0
		clear(f.peerCallsTo)
		f.runUntil(f.now + seconds*1000)
		busiest := 0
		for _, n := range f.peerCallsTo {
			busiest = max(busiest, n)
		}
		perSecond := func(n int) float64 { return float64(n) / seconds }
		t.Logf("%d proxies: %.2f calls to the store, %.1f questions to other proxies a second, %.1f to the busiest", c.proxies, perSecond(f.storeCalls), perSecond(f.peerCalls), perSecond(busiest))
		require.LessOrEqual(t, perSecond(f.storeCalls), c.storeCalls, "%d proxies", c.proxies)
		require.LessOrEqual(t, perSecond(f.peerCalls), c.peerCalls, "%d proxies", c.proxies)
		require.LessOrEqual(t, perSecond(busiest), c.perSource, "%d proxies", c.proxies)
	}
}

// A store that is lost to all is spared: each proxy calls it no more often than its other
// tables do.
func TestLostStoreIsSparedByProofs(t *testing.T) {
	for _, n := range []int{15, 115, 300} {
		f := newFleet(n, 5)
		f.runUntil(f.now + 3000)
		f.down = true
		f.runUntil(f.now + 5000)
		f.storeCalls = 0
		f.runUntil(f.now + 20_000)
		perProxy := float64(f.storeCalls) / 20 / float64(n)
		t.Logf("%d proxies: %.2f calls of each a second", n, perProxy)
		require.LessOrEqual(t, perProxy, 1/(followerRetryDelay.Std().Seconds())+0.1)
	}
}
