package database_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/request/database"
	standin "github.com/oleanderflow/oleanderflow/internal/standin/database"
	"github.com/oleanderflow/oleanderflow/internal/standin/virtual"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// Use a fixed seed so that every run checks the same cases, unless a seed is
	// given on the command line.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

const (
	// Faults start within faultDuration. The run then goes on for
	// settleDuration, in which writes must work again.
	faultDuration  = 4 * time.Second
	settleDuration = 5 * time.Second
	sessions       = 4
	stepInterval   = 7 * time.Millisecond
)

// fault is a fault to inject at a time of the simulation. It ends after length,
// which the kind freshProxy ignores.
type fault struct {
	at     time.Duration
	kind   string
	target int
	length time.Duration
}

var faultKinds = []string{"stop", "down", "cutZone", "pauseDatabase", "pauseProxy", "killProxy", "drop", "repeat", "slow", "lag", "freshProxy"}

// session is a caller that uses any of the proxies for each request.
type session struct {
	// floor is the position of the session's last acknowledged write.
	floor position.Position
	// written holds the ids of the session's acknowledged writes.
	written []string
}

// simulation is one run under faults and the violations that it found.
type simulation struct {
	world      *virtual.World
	group      *virtual.Group
	proxies    []*virtual.Proxy
	sessions   [sessions]*session
	ackedIDs   map[string]time.Duration
	refusedIDs map[string]bool
	ackOrder   []ack
	primaries  map[uint64]*virtual.Database
	lastTerm   uint64
	violations []string
	writes     int
	reads      int
	verified   int
	lastAck    time.Duration
	brokenRule virtual.Rule
	cutZone    string
}

// ack is an acknowledged write.
type ack struct {
	id string
	at time.Duration
}

func newSimulation(seed uint64, brokenRule virtual.Rule) *simulation {
	w := virtual.NewWorld(seed, virtual.Network{InterZoneDelay: time.Millisecond, IntraZoneDelay: 100 * time.Microsecond, Jitter: time.Millisecond})
	sim := &simulation{
		world: w, group: virtual.NewGroup(w, []string{"a", "b", "c"}), brokenRule: brokenRule,
		ackedIDs: make(map[string]time.Duration), refusedIDs: make(map[string]bool), primaries: make(map[uint64]*virtual.Database),
	}
	for i := range 5 {
		p := virtual.NewProxy(sim.group, fmt.Sprint("proxy", i), string(rune('a'+i%3)), process.DurabilityGroup)
		p.SampleInterval = 20 * time.Millisecond
		p.BrokenRule = brokenRule
		sim.proxies = append(sim.proxies, p)
	}
	virtual.Connect(sim.proxies, 3, process.DefaultFailoverSettings())
	for _, p := range sim.proxies {
		p.Start()
	}
	for i := range sim.sessions {
		sim.sessions[i] = &session{}
	}
	w.Network.Partitioned = func(from, to *virtual.Node) bool {
		return sim.cutZone != "" && from.Zone != to.Zone && (from.Zone == sim.cutZone || to.Zone == sim.cutZone)
	}
	return sim
}

// violate records a violation, up to five in a run.
func (sim *simulation) violate(format string, args ...any) {
	if len(sim.violations) < 5 {
		sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.world.Elapsed())+fmt.Sprintf(format, args...))
	}
}

// check runs after every event. It checks that each term has only one primary,
// and calls checkLog for the primary of each new term.
func (sim *simulation) check() {
	for _, d := range sim.group.Databases {
		s := d.State.Status()
		if s.Role != standin.Primary {
			continue
		}
		if other, ok := sim.primaries[s.Term]; ok && other != d {
			sim.violate("term %d has two primaries, %s and %s", s.Term, other.Node.Name, d.Node.Name)
		}
		sim.primaries[s.Term] = d
		if s.Term > sim.lastTerm {
			sim.lastTerm = s.Term
			sim.checkLog(d)
		}
	}
}

// checkLog checks that the log of d has every acknowledged write, no write
// twice and no refused write.
func (sim *simulation) checkLog(d *virtual.Database) {
	count := make(map[string]int)
	for _, e := range d.State.Entries() {
		for _, st := range e.Statements {
			count[st.SQL]++
		}
	}
	for id := range sim.ackedIDs {
		if count[id] == 0 {
			sim.violate("acknowledged %s is not in the log of %s, primary of term %d", id, d.Node.Name, sim.lastTerm)
		}
	}
	for id, n := range count {
		if n > 1 {
			sim.violate("%s ran %d times", id, n)
		}
		if sim.refusedIDs[id] {
			sim.violate("%s was refused, but ran", id)
		}
	}
}

// containsWrite reports whether one of the entries has the write with the
// given id.
func containsWrite(entries []standin.Entry, id string) bool {
	for i := len(entries) - 1; i >= 0; i-- {
		for _, st := range entries[i].Statements {
			if st.SQL == id {
				return true
			}
		}
	}
	return false
}

// step runs a write or a read of a random session through a random proxy, and
// schedules the next step.
func (sim *simulation) step() {
	sim.world.After(stepInterval, func() {
		s := sim.sessions[sim.world.Rand.IntN(sessions)]
		p := sim.proxies[sim.world.Rand.IntN(len(sim.proxies))]
		switch {
		case p.Node.Down:
		case sim.world.Rand.IntN(3) == 0:
			sim.write(s, p)
		default:
			sim.read(s, p)
		}
		sim.step()
	})
}

func (sim *simulation) write(s *session, p *virtual.Proxy) {
	sim.writes++
	id := fmt.Sprint("write", sim.writes)
	sent := p.Write(id, func(v process.CommitOutcome, at position.Position) {
		if v != process.CommitConfirmed {
			return
		}
		sim.ackedIDs[id] = sim.world.Elapsed()
		sim.ackOrder = append(sim.ackOrder, ack{id, sim.world.Elapsed()})
		sim.lastAck = sim.world.Elapsed()
		s.written = append(s.written, id)
		if at.Compare(s.floor) > 0 {
			s.floor = at
		}
		if primary := sim.primaries[sim.lastTerm]; primary != nil && !containsWrite(primary.State.Entries(), id) {
			sim.violate("%s was acknowledged, but is not in the log of %s, primary of term %d", id, primary.Node.Name, sim.lastTerm)
		}
	})
	if !sent {
		sim.refusedIDs[id] = true
	}
}

// read runs a read with a random consistency requirement. Its floor is the
// session's last write, as with a session token, or else a fresh sample, as
// for a new session without a token. Half of the reads declare a maximum age.
func (sim *simulation) read(s *session, p *virtual.Proxy) {
	read := database.ReadRequirements{Arrived: p.NextSequence()}
	if sim.world.Rand.IntN(2) == 0 {
		read.MaxAge = []clock.Duration{50, 500, 5000}[sim.world.Rand.IntN(3)]
	}
	before := len(s.written)
	target := sim.world.Rand.IntN(len(sim.group.Databases))
	run := func() { sim.readFrom(s, p, read, target, before) }
	if sim.world.Rand.IntN(2) == 0 {
		read.Floor = s.floor
		run()
		return
	}
	p.AwaitFresh(read.Arrived, func(sample process.Sample) {
		read.Floor = sample.Position
		run()
	})
}

func (sim *simulation) readFrom(s *session, p *virtual.Proxy, read database.ReadRequirements, target, before int) {
	sim.reads++
	p.Read(target, func(a virtual.Response, seen []standin.Entry) {
		check := func() {
			if !sim.verify(p, read, a.Status) {
				return
			}
			sim.verified++
			sim.checkRead(s, read, seen, before)
		}
		if read.MaxAge == 0 {
			p.AwaitFresh(read.Arrived, func(process.Sample) { check() })
			return
		}
		check()
	})
}

// verify calls Verify, but leaves out the rule that the simulation breaks.
func (sim *simulation) verify(p *virtual.Proxy, read database.ReadRequirements, s process.Status) bool {
	now := sim.world.Now()
	switch sim.brokenRule {
	case virtual.RuleVerifyFloor:
		read.Floor = position.Position{}
	case virtual.RuleVerifyAge:
		if read.MaxAge > 0 {
			return s.Applied.AtLeast(read.Floor)
		}
	}
	return database.Verify(now, read, s, p.Group)
}

// checkRead checks that a verified read saw the session's last three writes
// before the read and, with a maximum age, the newest write that was
// acknowledged longer ago than that age.
func (sim *simulation) checkRead(s *session, read database.ReadRequirements, seen []standin.Entry, before int) {
	for i := before - 1; i >= max(0, before-3); i-- {
		if !containsWrite(seen, s.written[i]) {
			sim.violate("a read (maxAge %v, floor %v) does not see its session's own %s", read.MaxAge, read.Floor, s.written[i])
		}
	}
	if read.MaxAge == 0 {
		return
	}
	oldest := sim.world.Elapsed() - read.MaxAge.Std()
	for i := len(sim.ackOrder) - 1; i >= 0; i-- {
		if sim.ackOrder[i].at < oldest {
			if !containsWrite(seen, sim.ackOrder[i].id) {
				sim.violate("a read with maxAge %v does not see %s, acknowledged %v before", read.MaxAge, sim.ackOrder[i].id, sim.world.Elapsed()-sim.ackOrder[i].at)
			}
			return
		}
	}
}

// inject starts a fault and schedules its end.
func (sim *simulation) inject(f fault) {
	w := sim.world
	d := sim.group.Databases[f.target%3]
	p := sim.proxies[f.target%len(sim.proxies)]
	revert := func(g func()) { w.After(f.length, g) }
	switch f.kind {
	case "stop":
		d.Stopped = true
		revert(func() { d.Stopped = false })
	case "down":
		sim.pauseHost(d, f.length)
	case "cutZone":
		sim.cutZone = d.Node.Zone
		revert(func() { sim.cutZone = "" })
	case "pauseDatabase":
		w.Pause(&d.Node, f.length)
	case "pauseProxy":
		w.Pause(&p.Node, f.length)
	case "killProxy":
		p.Node.Down = true
		revert(func() { sim.replace(p) })
	case "drop":
		w.Network.Drop = 0.2
		revert(func() { w.Network.Drop = 0 })
	case "repeat":
		w.Network.Duplicate = 0.3
		revert(func() { w.Network.Duplicate = 0 })
	case "slow":
		d.ResponseDelay = 300 * time.Millisecond
		revert(func() { d.ResponseDelay = 0 })
	case "lag":
		d.Lag = func(time.Duration) clock.Duration { return 400 }
		revert(func() { d.Lag = nil })
	case "freshProxy":
		sim.replace(p)
	}
}

// pauseHost makes d unresponsive for a time without stopping it.
func (sim *simulation) pauseHost(d *virtual.Database, length time.Duration) {
	sim.world.Pause(&d.Node, length)
}

// replace shuts a proxy down and starts one without state in its place.
func (sim *simulation) replace(old *virtual.Proxy) {
	old.Node.Down = true
	for i, p := range sim.proxies {
		if p != old {
			continue
		}
		fresh := virtual.NewProxy(sim.group, old.Node.Name, old.Node.Zone, process.DurabilityGroup)
		fresh.SampleInterval, fresh.BrokenRule = old.SampleInterval, old.BrokenRule
		sim.proxies[i] = fresh
		virtual.Join(sim.proxies, i, 3, process.DefaultFailoverSettings())
		fresh.Start()
	}
}

// runSimulation runs a load under faults, then without new faults so that the
// system can recover, and checks the log of the last primary.
func runSimulation(seed uint64, brokenRule virtual.Rule, faults []fault) *simulation {
	sim := newSimulation(seed, brokenRule)
	sim.step()
	for _, f := range faults {
		sim.world.After(f.at, func() { sim.inject(f) })
	}
	sim.world.Run(faultDuration+settleDuration, sim.check)
	for _, d := range sim.group.Databases {
		if d == sim.primaries[sim.lastTerm] {
			sim.checkLog(d)
		}
	}
	return sim
}

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			at:     time.Duration(rapid.IntRange(100, int(faultDuration.Milliseconds())).Draw(t, "at")) * time.Millisecond,
			kind:   rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			target: rapid.IntRange(0, 14).Draw(t, "target"),
			length: time.Duration(rapid.IntRange(20, 2500).Draw(t, "length")) * time.Millisecond,
		}
	}), 0, 6).Draw(t, "faults")
}

// TestConsistencyUnderFaults injects random faults of databases, proxies and the
// network. It guards against lost and repeated writes, writes that ran although
// they were refused, terms with two primaries and stale reads, and checks that
// writes are acknowledged again after the last fault.
func TestConsistencyUnderFaults(t *testing.T) {
	reads, verified, acks, cases := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := runSimulation(rapid.Uint64().Draw(t, "seed"), virtual.RuleNone, drawFaults(t))
		require.Empty(t, sim.violations)
		require.Greater(t, sim.lastAck, faultDuration+settleDuration-time.Second, "no write was acknowledged in the last second, long after the last fault")
		reads, verified, acks, cases = reads+sim.reads, verified+sim.verified, acks+len(sim.ackedIDs), cases+1
	})
	t.Logf("cases %d: acknowledged writes %d, reads %d, of which verified %d", cases, acks, reads, verified)
}

// TestChecksDetectBrokenRules guards against checks that miss violations. It
// breaks one rule at a time, and the checks of the simulation must find a
// violation then and none in a run with the same faults that breaks no rule.
func TestChecksDetectBrokenRules(t *testing.T) {
	laggingAndCut := []fault{
		{at: 800 * time.Millisecond, kind: "lag", target: 1, length: 3 * time.Second},
		{at: 900 * time.Millisecond, kind: "lag", target: 2, length: 3 * time.Second},
		{at: time.Second, kind: "cutZone", target: 0, length: 2500 * time.Millisecond},
	}
	// When the primary stops, one replica lacks writes that the other received.
	split := []fault{
		{at: 600 * time.Millisecond, kind: "cutZone", target: 1, length: 500 * time.Millisecond},
		{at: 1095 * time.Millisecond, kind: "stop", target: 0, length: 3 * time.Second},
	}
	for _, c := range []struct {
		name       string
		brokenRule virtual.Rule
		faults     []fault
	}{
		{"acknowledged without confirmation", virtual.RuleConfirm, laggingAndCut},
		{"promoted without a fence", virtual.RuleFence, split},
		{"sent again", virtual.RuleSendOnce, laggingAndCut},
		{"floor not verified", virtual.RuleVerifyFloor, laggingAndCut},
		{"age not verified", virtual.RuleVerifyAge, laggingAndCut},
	} {
		t.Run(c.name, func(t *testing.T) {
			var violations []string
			for seed := uint64(1); seed <= 20 && len(violations) == 0; seed++ {
				require.Empty(t, runSimulation(seed, virtual.RuleNone, c.faults).violations)
				violations = runSimulation(seed, c.brokenRule, c.faults).violations
			}
			require.NotEmpty(t, violations, "no check detected the broken rule")
			t.Log(violations[0])
		})
	}
}
