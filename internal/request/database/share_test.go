package database_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/request/database"
	standin "github.com/oleanderflow/oleanderflow/internal/standin/database"
	"github.com/oleanderflow/oleanderflow/internal/standin/virtual"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

const (
	shareProxies  = 6
	shareSessions = 12
	shareWarmUp   = 3 * time.Second
	shareLength   = 8 * time.Second
	readEvery     = 2 * time.Millisecond
	writeEvery    = 12 * time.Millisecond
	replicaWait   = 20 * clock.Millisecond
	// shareAim is the least share of the oracle's replica reads.
	shareAim = 0.97
)

// policy is a way to place reads.
type policy struct {
	name string
	wait clock.Duration
	// guess picks a replica at random and takes it to be far enough.
	guess bool
	// primaryOnly sends every read to the primary.
	primaryOnly bool
	// keepFailing tries a replica again that has failed.
	keepFailing bool
}

var policies = []policy{
	{name: "verified, waiting", wait: replicaWait},
	{name: "verified, no waiting"},
	{name: "random replica, fixed guess", guess: true},
	{name: "all to the primary", primaryOnly: true},
}

// trace is how the replicas lag.
type trace struct {
	name  string
	lag   func(database int, now time.Duration) clock.Duration
	fault func(y *shareTrial)
	// failAfter makes the second database's reads fail after a time, while
	// it still reports its status.
	failAfter time.Duration
}

var traces = []trace{
	{name: "steady 5 ms", lag: func(int, time.Duration) clock.Duration { return 5 }},
	{name: "bursty", lag: func(i int, now time.Duration) clock.Duration {
		if (now/(700*time.Millisecond)+time.Duration(i))%3 == 0 {
			return 300
		}
		return 8
	}},
	{name: "one replica stuck", lag: func(i int, _ time.Duration) clock.Duration {
		if i == 1 {
			return 60_000
		}
		return 5
	}},
	{name: "all far behind", lag: func(int, time.Duration) clock.Duration { return 2000 }},
	{name: "failover in the middle", lag: func(int, time.Duration) clock.Duration { return 5 },
		fault: func(y *shareTrial) {
			y.world.After(5*time.Second, func() { y.group.Leader().Stopped = true })
		}},
}

// manner is how a session tells its floor.
type manner int

const (
	untokened manner = iota
	tokened
	shared
	mannerCount
)

var mannerNames = [mannerCount]string{"untokened", "tokened", "several connections"}

// tally counts the reads of one manner and age.
type tally struct {
	reads, oracle, replica, primary, stale, missed int
}

type shareKey struct {
	manner manner
	age    clock.Duration
}

type shareTrial struct {
	world    *virtual.World
	group    *virtual.Group
	proxies  []*virtual.Proxy
	routers  []*database.Router
	sessions [shareSessions]*session
	policy   policy
	acks     []ackedAt
	writes   int
	tallies  map[shareKey]*tally
	done     bool
	trace    trace
	// latencies are the times of all answered reads.
	latencies []time.Duration
}

type ackedAt struct {
	position position.Position
	at       time.Duration
}

func newShareTrial(seed uint64, p policy, tr trace) *shareTrial {
	w := virtual.NewWorld(seed, virtual.Network{InterZoneDelay: 500 * time.Microsecond, IntraZoneDelay: 100 * time.Microsecond, Jitter: 200 * time.Microsecond})
	zones := []string{"a", "b", "c"}
	y := &shareTrial{world: w, group: virtual.NewGroup(w, zones), policy: p, trace: tr, tallies: make(map[shareKey]*tally)}
	for i, d := range y.group.Databases {
		d.Lag = func(now time.Duration) clock.Duration { return tr.lag(i, now) }
	}
	for i := range shareProxies {
		proxy := virtual.NewProxy(y.group, fmt.Sprint("proxy", i), zones[i%3], process.DurabilityGroup)
		proxy.SampleInterval = 10 * time.Millisecond
		y.proxies = append(y.proxies, proxy)
		y.routers = append(y.routers, database.NewRouter(zones, proxy.Node.Zone, p.wait))
	}
	virtual.Connect(y.proxies, 3, process.DefaultFailoverSettings())
	for _, proxy := range y.proxies {
		proxy.Start()
	}
	for i := range y.sessions {
		y.sessions[i] = &session{}
	}
	if tr.fault != nil {
		tr.fault(y)
	}
	return y
}

func (y *shareTrial) writeLoop() {
	y.world.After(writeEvery, func() {
		y.writes++
		// Every other session only reads.
		s := y.sessions[2*y.world.Rand.IntN(shareSessions/2)]
		p := y.proxies[y.world.Rand.IntN(shareProxies)]
		p.Write(fmt.Sprint("write", y.writes), func(v process.Verdict, at position.Position) {
			if v == process.Confirmed {
				s.floor = s.floor.Max(at)
				y.acks = append(y.acks, ackedAt{at, y.world.Elapsed()})
			}
		})
		y.writeLoop()
	})
}

func (y *shareTrial) readLoop() {
	y.world.After(readEvery, func() {
		if y.done {
			return
		}
		if y.world.Elapsed() > shareWarmUp {
			y.read()
		}
		y.readLoop()
	})
}

// reading is one read on its way.
type reading struct {
	key   shareKey
	proxy int
	read  database.Read
	// own is the floor that the oracle holds the read to.
	own     position.Position
	tries   database.Tries
	sent    uint64
	sentAt  clock.Time
	counted *tally
	// servable is set once the oracle knows a replica that qualifies.
	servable bool
	answered bool
	began    time.Duration
}

func (y *shareTrial) read() {
	s := y.sessions[y.world.Rand.IntN(shareSessions)]
	i := y.world.Rand.IntN(shareProxies)
	p := y.proxies[i]
	r := &reading{
		key:   shareKey{manner(y.world.Rand.IntN(int(mannerCount))), []clock.Duration{50, 500, 5000}[y.world.Rand.IntN(3)]},
		proxy: i, own: s.floor, read: database.Read{Arrived: p.NextSequence()}, began: y.world.Elapsed(),
	}
	r.read.MaxAge = r.key.age
	r.counted = y.tallies[r.key]
	if r.counted == nil {
		r.counted = &tally{}
		y.tallies[r.key] = r.counted
	}
	r.counted.reads++
	if r.key.manner != tokened && len(y.acks) > 0 {
		// Without a token, any earlier write may be the session's own.
		r.own = y.acks[len(y.acks)-1].position
	}
	y.consultOracle(r, replicaWait.Std())
	switch r.key.manner {
	case tokened:
		r.read.Floor = s.floor
		y.place(r)
	default:
		p.AwaitFresh(r.read.Arrived, func(sample process.Sample) {
			r.read.Floor = sample.Position
			y.place(r)
		})
	}
}

// consultOracle looks at the true positions until a replica qualifies, for
// as long as a read may wait.
func (y *shareTrial) consultOracle(r *reading, left time.Duration) {
	if r.servable {
		return
	}
	for _, d := range y.group.Databases {
		if d != y.group.Leader() && !d.Stopped && y.truly(d.State.Status().Applied, r.own, r.key.age) {
			r.servable = true
			r.counted.oracle++
			return
		}
	}
	if left > 0 {
		y.world.After(time.Millisecond, func() { y.consultOracle(r, left-time.Millisecond) })
	}
}

// truly reports whether rows at p hold a session's own writes and all that
// was acknowledged longer ago than age.
func (y *shareTrial) truly(p, own position.Position, age clock.Duration) bool {
	if !p.AtLeast(own) {
		return false
	}
	oldest := y.world.Elapsed() - age.Std()
	for i := len(y.acks) - 1; i >= 0; i-- {
		if y.acks[i].at < oldest {
			return p.AtLeast(y.acks[i].position)
		}
	}
	return true
}

func (y *shareTrial) place(r *reading) {
	p := y.proxies[r.proxy]
	now := y.world.Now()
	primary, _ := p.Group.Primary()
	switch {
	case y.policy.primaryOnly:
		y.serve(r, primary, true)
	case y.policy.guess:
		y.serve(r, (primary+1+y.world.Rand.IntN(2))%3, false)
	default:
		use, ok := y.routers[r.proxy].Read(now, r.read, p.Group, &r.tries, &database.Use{}).(*database.Use)
		if !ok {
			return
		}
		r.tries.Waited(use.Wait)
		y.world.After(use.Wait.Std(), func() { y.serve(r, use.Database, use.Database == primary) })
	}
}

func (y *shareTrial) serve(r *reading, target int, primary bool) {
	p := y.proxies[r.proxy]
	if y.trace.failAfter > 0 && target == 1 {
		y.world.After(y.trace.failAfter, func() {
			if !y.policy.keepFailing {
				y.routers[r.proxy].Failed(y.world.Now(), target)
			}
			r.tries.Exclude(target)
			y.place(r)
		})
		return
	}
	r.sent, r.sentAt = p.NextSequence(), y.world.Now()
	p.Read(target, func(a virtual.Response, _ []standin.Entry) {
		if r.answered {
			return
		}
		y.latencies = append(y.latencies, y.world.Elapsed()-r.began)
		verified := database.Verify(y.world.Now(), r.read, a.Status, p.Group)
		switch {
		case y.policy.guess && !y.truly(a.Status.Applied, r.own, r.key.age):
			r.answered = true
			r.counted.stale++
		case verified && !primary || y.policy.guess:
			r.answered = true
			r.counted.replica++
			y.checkServed(r, a.Status.Applied)
		case primary:
			r.answered = true
			r.counted.primary++
		default:
			r.tries.Missed(target)
			r.counted.missed++
			p.Observe(process.Report{Database: target, Sent: r.sent, SentAt: r.sentAt, Status: a.Status})
			y.place(r)
		}
	})
}

func (y *shareTrial) checkServed(r *reading, p position.Position) {
	if !y.truly(p, r.own, r.key.age) {
		r.counted.stale++
	}
}

func runShare(seed uint64, p policy, tr trace) *shareTrial {
	y := newShareTrial(seed, p, tr)
	y.writeLoop()
	y.readLoop()
	y.world.Run(shareLength, nil)
	y.done = true
	y.world.Run(shareLength+time.Second, nil)
	return y
}

func (y *shareTrial) total() tally {
	var sum tally
	for _, c := range y.tallies {
		sum.reads += c.reads
		sum.oracle += c.oracle
		sum.replica += c.replica
		sum.primary += c.primary
		sum.stale += c.stale
		sum.missed += c.missed
	}
	return sum
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 1
	}
	return float64(a) / float64(b)
}

func TestReplicaShare(t *testing.T) {
	for _, tr := range traces {
		t.Run(tr.name, func(t *testing.T) {
			t.Parallel()
			for _, p := range policies {
				y := runShare(1, p, tr)
				c := y.total()
				t.Logf("%-28s reads %d, oracle %d, replica %d (%.1f%% of oracle), primary %d, stale %d, tried in vain %d",
					p.name, c.reads, c.oracle, c.replica, 100*ratio(c.replica, c.oracle), c.primary, c.stale, c.missed)
				if p == policies[0] {
					requireShare(t, y)
				}
			}
		})
	}
}

// TestEjectionOfFailingReplica weighs the ejection of a replica whose reads
// fail against trying it each time.
func TestEjectionOfFailingReplica(t *testing.T) {
	for _, failAfter := range []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second} {
		var p99 [2]time.Duration
		for i, keep := range []bool{false, true} {
			tr := trace{lag: func(int, time.Duration) clock.Duration { return 5 }, failAfter: failAfter}
			y := runShare(1, policy{wait: replicaWait, keepFailing: keep}, tr)
			slices.Sort(y.latencies)
			c := y.total()
			p99[i] = y.latencies[len(y.latencies)*99/100]
			t.Logf("reads fail after %v, ejection %v: median %v, p99 %v, replicas %.1f%% of oracle", failAfter, !keep,
				y.latencies[len(y.latencies)/2].Round(100*time.Microsecond), p99[i].Round(100*time.Microsecond), 100*ratio(c.replica, c.oracle))
		}
		if failAfter >= 100*time.Millisecond {
			require.Less(t, p99[0], p99[1])
		}
	}
}

func requireShare(t *testing.T, y *shareTrial) {
	t.Helper()
	c := y.total()
	require.Zero(t, c.stale, "a read was older than stated or missed its own writes")
	for m := range mannerCount {
		for _, age := range []clock.Duration{50, 500, 5000} {
			if k := y.tallies[shareKey{m, age}]; k != nil {
				t.Logf("  %-20s %-6v oracle %d, replica %d (%.1f%%), primary %d", mannerNames[m], age, k.oracle, k.replica, 100*ratio(k.replica, k.oracle), k.primary)
			}
		}
	}
	require.GreaterOrEqual(t, ratio(c.replica, c.oracle), shareAim)
}
