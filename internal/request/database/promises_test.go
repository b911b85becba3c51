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
	// The same cases in every run, unless a seed is given.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

const (
	faultTime  = 4 * time.Second
	settleTime = 5 * time.Second
	sessions   = 4
	stepEvery  = 7 * time.Millisecond
)

// fault is one act of the adversary.
type fault struct {
	at     time.Duration
	kind   string
	target int
	length time.Duration
}

var faultKinds = []string{"stop", "down", "cutZone", "pauseDatabase", "pauseProxy", "killProxy", "drop", "repeat", "slow", "lag", "freshProxy"}

// session is a caller that roams between proxies.
type session struct {
	floor position.Position
	// saved are the ids acknowledged to the session.
	saved []string
}

// trial is one run with its adversary, and what has been broken.
type trial struct {
	world    *virtual.World
	group    *virtual.Group
	proxies  []*virtual.Proxy
	sessions [sessions]*session
	acked    map[string]time.Duration
	refused  map[string]bool
	ackOrder []ack
	leaders  map[uint64]*virtual.Database
	lastTerm uint64
	broken   []string
	writes   int
	reads    int
	verified int
	acksAt   time.Duration
	rule     virtual.Rule
	cut      string
}

type ack struct {
	id string
	at time.Duration
}

func newTrial(seed uint64, rule virtual.Rule) *trial {
	w := virtual.NewWorld(seed, virtual.Network{InterZoneDelay: time.Millisecond, IntraZoneDelay: 100 * time.Microsecond, Jitter: time.Millisecond})
	y := &trial{
		world: w, group: virtual.NewGroup(w, []string{"a", "b", "c"}), rule: rule,
		acked: make(map[string]time.Duration), refused: make(map[string]bool), leaders: make(map[uint64]*virtual.Database),
	}
	for i := range 5 {
		p := virtual.NewProxy(y.group, fmt.Sprint("proxy", i), string(rune('a'+i%3)), process.DurabilityGroup)
		p.SampleInterval = 20 * time.Millisecond
		p.BrokenRule = rule
		y.proxies = append(y.proxies, p)
	}
	virtual.Connect(y.proxies, 3, process.DefaultFailoverSettings())
	for _, p := range y.proxies {
		p.Start()
	}
	for i := range y.sessions {
		y.sessions[i] = &session{}
	}
	w.Network.Partitioned = func(from, to *virtual.Node) bool {
		return y.cut != "" && from.Zone != to.Zone && (from.Zone == y.cut || to.Zone == y.cut)
	}
	return y
}

func (y *trial) breach(format string, args ...any) {
	if len(y.broken) < 5 {
		y.broken = append(y.broken, fmt.Sprintf("%v: ", y.world.Elapsed())+fmt.Sprintf(format, args...))
	}
}

// check holds after every event: one leader a term, and every acknowledged
// write in the log of the latest leader, once.
func (y *trial) check() {
	for _, d := range y.group.Databases {
		s := d.State.Status()
		if s.Role != standin.Primary {
			continue
		}
		if other, ok := y.leaders[s.Term]; ok && other != d {
			y.breach("term %d is led by %s and %s", s.Term, other.Node.Name, d.Node.Name)
		}
		y.leaders[s.Term] = d
		if s.Term > y.lastTerm {
			y.lastTerm = s.Term
			y.checkLog(d)
		}
	}
}

func (y *trial) checkLog(d *virtual.Database) {
	count := make(map[string]int)
	for _, e := range d.State.Entries() {
		for _, st := range e.Statements {
			count[st.SQL]++
		}
	}
	for id := range y.acked {
		if count[id] == 0 {
			y.breach("acknowledged %s is not in the log of %s, primary of term %d", id, d.Node.Name, y.lastTerm)
		}
	}
	for id, n := range count {
		if n > 1 {
			y.breach("%s ran %d times", id, n)
		}
		if y.refused[id] {
			y.breach("%s was refused and ran", id)
		}
	}
}

func holds(entries []standin.Entry, id string) bool {
	for i := len(entries) - 1; i >= 0; i-- {
		for _, st := range entries[i].Statements {
			if st.SQL == id {
				return true
			}
		}
	}
	return false
}

// step lets one session write or read through one proxy.
func (y *trial) step() {
	y.world.After(stepEvery, func() {
		s := y.sessions[y.world.Rand.IntN(sessions)]
		p := y.proxies[y.world.Rand.IntN(len(y.proxies))]
		switch {
		case p.Node.Down:
		case y.world.Rand.IntN(3) == 0:
			y.write(s, p)
		default:
			y.read(s, p)
		}
		y.step()
	})
}

func (y *trial) write(s *session, p *virtual.Proxy) {
	y.writes++
	id := fmt.Sprint("write", y.writes)
	sent := p.Write(id, func(v process.Verdict, at position.Position) {
		if v != process.Confirmed {
			return
		}
		y.acked[id] = y.world.Elapsed()
		y.ackOrder = append(y.ackOrder, ack{id, y.world.Elapsed()})
		y.acksAt = y.world.Elapsed()
		s.saved = append(s.saved, id)
		if at.Compare(s.floor) > 0 {
			s.floor = at
		}
		if lead := y.leaders[y.lastTerm]; lead != nil && !holds(lead.State.Entries(), id) {
			y.breach("%s was acknowledged, but %s leads term %d without it", id, lead.Node.Name, y.lastTerm)
		}
	})
	if !sent {
		y.refused[id] = true
	}
}

// read runs a read of one of three kinds: with the session's token, without
// one on a session that has just arrived, and with a stated age.
func (y *trial) read(s *session, p *virtual.Proxy) {
	read := database.Read{Arrived: p.NextSequence()}
	if y.world.Rand.IntN(2) == 0 {
		read.MaxAge = []clock.Duration{50, 500, 5000}[y.world.Rand.IntN(3)]
	}
	before := len(s.saved)
	target := y.world.Rand.IntN(len(y.group.Databases))
	run := func() { y.readFrom(s, p, read, target, before) }
	if y.world.Rand.IntN(2) == 0 {
		read.Floor = s.floor
		run()
		return
	}
	p.AwaitFresh(read.Arrived, func(sample process.Sample) {
		read.Floor = sample.Position
		run()
	})
}

func (y *trial) readFrom(s *session, p *virtual.Proxy, read database.Read, target, before int) {
	y.reads++
	p.Read(target, func(a virtual.Response, seen []standin.Entry) {
		judge := func() {
			if !y.verify(p, read, a.Status) {
				return
			}
			y.verified++
			y.checkRead(s, read, seen, before)
		}
		if read.MaxAge == 0 {
			p.AwaitFresh(read.Arrived, func(process.Sample) { judge() })
			return
		}
		judge()
	})
}

func (y *trial) verify(p *virtual.Proxy, read database.Read, s process.Status) bool {
	now := y.world.Now()
	switch y.rule {
	case virtual.RuleVerifyFloor:
		read.Floor = position.Position{}
	case virtual.RuleVerifyAge:
		if read.MaxAge > 0 {
			return s.Applied.AtLeast(read.Floor)
		}
	}
	return database.Verify(now, read, s, p.Group)
}

func (y *trial) checkRead(s *session, read database.Read, seen []standin.Entry, before int) {
	for i := before - 1; i >= max(0, before-3); i-- {
		if !holds(seen, s.saved[i]) {
			y.breach("a read (maxAge %v, floor %v) misses its session's own %s", read.MaxAge, read.Floor, s.saved[i])
		}
	}
	if read.MaxAge == 0 {
		return
	}
	oldest := y.world.Elapsed() - read.MaxAge.Std()
	for i := len(y.ackOrder) - 1; i >= 0; i-- {
		if y.ackOrder[i].at < oldest {
			if !holds(seen, y.ackOrder[i].id) {
				y.breach("a read with maxAge %v misses %s, acknowledged %v before", read.MaxAge, y.ackOrder[i].id, y.world.Elapsed()-y.ackOrder[i].at)
			}
			return
		}
	}
}

func (y *trial) cause(f fault) {
	w := y.world
	d := y.group.Databases[f.target%3]
	p := y.proxies[f.target%len(y.proxies)]
	undo := func(g func()) { w.After(f.length, g) }
	switch f.kind {
	case "stop":
		d.Stopped = true
		undo(func() { d.Stopped = false })
	case "down":
		y.loseHost(d, f.length)
	case "cutZone":
		y.cut = d.Node.Zone
		undo(func() { y.cut = "" })
	case "pauseDatabase":
		w.Pause(&d.Node, f.length)
	case "pauseProxy":
		w.Pause(&p.Node, f.length)
	case "killProxy":
		p.Node.Down = true
		undo(func() { y.replace(p) })
	case "drop":
		w.Network.Drop = 0.2
		undo(func() { w.Network.Drop = 0 })
	case "repeat":
		w.Network.Duplicate = 0.3
		undo(func() { w.Network.Duplicate = 0 })
	case "slow":
		d.ResponseDelay = 300 * time.Millisecond
		undo(func() { d.ResponseDelay = 0 })
	case "lag":
		d.Lag = func(time.Duration) clock.Duration { return 400 }
		undo(func() { d.Lag = nil })
	case "freshProxy":
		y.replace(p)
	}
}

// loseHost makes a host answer nothing for a time, without its ending.
func (y *trial) loseHost(d *virtual.Database, length time.Duration) {
	y.world.Pause(&d.Node, length)
}

// replace puts a proxy without any memory in the place of another.
func (y *trial) replace(old *virtual.Proxy) {
	old.Node.Down = true
	for i, p := range y.proxies {
		if p != old {
			continue
		}
		fresh := virtual.NewProxy(y.group, old.Node.Name, old.Node.Zone, process.DurabilityGroup)
		fresh.SampleInterval, fresh.BrokenRule = old.SampleInterval, old.BrokenRule
		y.proxies[i] = fresh
		virtual.Join(y.proxies, i, 3, process.DefaultFailoverSettings())
		fresh.Start()
	}
}

// runTrial runs a load under faults and then lets the system settle.
func runTrial(seed uint64, rule virtual.Rule, faults []fault) *trial {
	y := newTrial(seed, rule)
	y.step()
	for _, f := range faults {
		y.world.After(f.at, func() { y.cause(f) })
	}
	y.world.Run(faultTime+settleTime, y.check)
	for _, d := range y.group.Databases {
		if d == y.leaders[y.lastTerm] {
			y.checkLog(d)
		}
	}
	return y
}

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			at:     time.Duration(rapid.IntRange(100, int(faultTime.Milliseconds())).Draw(t, "at")) * time.Millisecond,
			kind:   rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			target: rapid.IntRange(0, 14).Draw(t, "target"),
			length: time.Duration(rapid.IntRange(20, 2500).Draw(t, "length")) * time.Millisecond,
		}
	}), 0, 6).Draw(t, "faults")
}

func TestPromisesHoldUnderFaults(t *testing.T) {
	reads, verified, acks, cases := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		y := runTrial(rapid.Uint64().Draw(t, "seed"), virtual.RuleNone, drawFaults(t))
		require.Empty(t, y.broken)
		require.Greater(t, y.acksAt, faultTime+settleTime-time.Second, "writes did not come back")
		reads, verified, acks, cases = reads+y.reads, verified+y.verified, acks+len(y.acked), cases+1
	})
	t.Logf("cases %d: acknowledged writes %d, reads %d, of which verified %d", cases, acks, reads, verified)
}

// TestChecksNoticeBrokenRules shows that each check fails when its rule is
// broken.
func TestChecksNoticeBrokenRules(t *testing.T) {
	hard := []fault{
		{at: 800 * time.Millisecond, kind: "lag", target: 1, length: 3 * time.Second},
		{at: 900 * time.Millisecond, kind: "lag", target: 2, length: 3 * time.Second},
		{at: time.Second, kind: "cutZone", target: 0, length: 2500 * time.Millisecond},
	}
	// One replica misses what the other has received when the primary stops.
	split := []fault{
		{at: 600 * time.Millisecond, kind: "cutZone", target: 1, length: 500 * time.Millisecond},
		{at: 1095 * time.Millisecond, kind: "stop", target: 0, length: 3 * time.Second},
	}
	for _, c := range []struct {
		name   string
		rule   virtual.Rule
		faults []fault
	}{
		{"acknowledged without confirmation", virtual.RuleConfirm, hard},
		{"promoted without a fence", virtual.RuleFence, split},
		{"sent again", virtual.RuleSendOnce, hard},
		{"floor not verified", virtual.RuleVerifyFloor, hard},
		{"age not verified", virtual.RuleVerifyAge, hard},
	} {
		t.Run(c.name, func(t *testing.T) {
			var broken []string
			for seed := uint64(1); seed <= 20 && len(broken) == 0; seed++ {
				require.Empty(t, runTrial(seed, virtual.RuleNone, c.faults).broken)
				broken = runTrial(seed, c.rule, c.faults).broken
			}
			require.NotEmpty(t, broken, "the checks did not notice")
			t.Log(broken[0])
		})
	}
}
