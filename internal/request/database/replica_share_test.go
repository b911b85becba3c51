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
	// No reads are sent during the first warmUp of simulatedTime.
	warmUp        = 3 * time.Second
	simulatedTime = 8 * time.Second
	readInterval  = 2 * time.Millisecond
	writeInterval = 12 * time.Millisecond
	replicaWait   = 20 * clock.Millisecond
	// minReplicaShare is the minimum ratio of the reads that replicas serve to
	// the reads that the oracle could have sent to a replica.
	minReplicaShare = 0.97
)

// policy decides how reads are routed.
type policy struct {
	name string
	wait clock.Duration
	// randomReplica sends every read to a random replica and accepts the answer
	// without verification.
	randomReplica bool
	// primaryOnly sends every read to the primary.
	primaryOnly bool
	// noEjection keeps failing replicas eligible for reads.
	noEjection bool
}

var policies = []policy{
	{name: "verified, waiting", wait: replicaWait},
	{name: "verified, no waiting"},
	{name: "random replica, unverified", randomReplica: true},
	{name: "all to the primary", primaryOnly: true},
}

// scenario is the lag of the replicas over time and the faults of a run.
type scenario struct {
	name  string
	lag   func(database int, now time.Duration) clock.Duration
	fault func(sim *replicaShareSim)
	// failAfter is the time after which reads on the second database fail, zero
	// for no failures. The database still reports its status.
	failAfter time.Duration
}

var scenarios = []scenario{
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
		fault: func(sim *replicaShareSim) {
			sim.world.After(5*time.Second, func() { sim.group.Primary().Stopped = true })
		}},
}

// tokenUse says whether a read carries a session token with the floor.
type tokenUse int

const (
	noToken tokenUse = iota
	withToken
	// severalConnections is a session without a token that uses several
	// connections.
	severalConnections
	tokenUseCount
)

var tokenUseNames = [tokenUseCount]string{"no token", "with token", "several connections"}

// readCounts counts the reads of one token use and maximum age.
type readCounts struct {
	reads, oracle, replica, primary, stale, unverified int
}

type countsKey struct {
	tokenUse tokenUse
	age      clock.Duration
}

// replicaShareSim routes reads by one policy in one scenario and compares the
// result with an oracle that knows the true positions of all databases.
type replicaShareSim struct {
	world    *virtual.World
	group    *virtual.Group
	proxies  []*virtual.Proxy
	routers  []*database.Router
	sessions [shareSessions]*session
	policy   policy
	acks     []ackedPosition
	writes   int
	counts   map[countsKey]*readCounts
	done     bool
	scenario scenario
	// latencies holds the latency of every answer, verified or not.
	latencies []time.Duration
}

type ackedPosition struct {
	position position.Position
	at       time.Duration
}

func newReplicaShareSim(seed uint64, p policy, sc scenario) *replicaShareSim {
	w := virtual.NewWorld(seed, virtual.Network{InterZoneDelay: 500 * time.Microsecond, IntraZoneDelay: 100 * time.Microsecond, Jitter: 200 * time.Microsecond})
	zones := []string{"a", "b", "c"}
	sim := &replicaShareSim{world: w, group: virtual.NewGroup(w, zones), policy: p, scenario: sc, counts: make(map[countsKey]*readCounts)}
	for i, d := range sim.group.Databases {
		d.Lag = func(now time.Duration) clock.Duration { return sc.lag(i, now) }
	}
	for i := range shareProxies {
		proxy := virtual.NewProxy(sim.group, fmt.Sprint("proxy", i), zones[i%3], process.DurabilityGroup)
		proxy.SampleInterval = 10 * time.Millisecond
		sim.proxies = append(sim.proxies, proxy)
		sim.routers = append(sim.routers, database.NewRouter(zones, proxy.Node.Zone, p.wait))
	}
	virtual.Connect(sim.proxies, 3, process.DefaultFailoverSettings())
	for _, proxy := range sim.proxies {
		proxy.Start()
	}
	for i := range sim.sessions {
		sim.sessions[i] = &session{}
	}
	if sc.fault != nil {
		sc.fault(sim)
	}
	return sim
}

func (sim *replicaShareSim) writeLoop() {
	sim.world.After(writeInterval, func() {
		sim.writes++
		// Sessions with an odd index only read.
		s := sim.sessions[2*sim.world.Rand.IntN(shareSessions/2)]
		p := sim.proxies[sim.world.Rand.IntN(shareProxies)]
		p.Write(fmt.Sprint("write", sim.writes), func(v process.CommitOutcome, at position.Position) {
			if v == process.CommitConfirmed {
				s.floor = s.floor.Max(at)
				sim.acks = append(sim.acks, ackedPosition{at, sim.world.Elapsed()})
			}
		})
		sim.writeLoop()
	})
}

func (sim *replicaShareSim) readLoop() {
	sim.world.After(readInterval, func() {
		if sim.done {
			return
		}
		if sim.world.Elapsed() > warmUp {
			sim.read()
		}
		sim.readLoop()
	})
}

// pendingRead is a read that has not been answered yet.
type pendingRead struct {
	key   countsKey
	proxy int
	read  database.ReadRequirements
	// oracleFloor is the position that the answer must include according to the
	// oracle.
	oracleFloor position.Position
	tries       database.Tries
	sent        uint64
	sentAt      clock.Time
	stats       *readCounts
	// oracleQualified is set once the oracle has found a replica that qualifies.
	oracleQualified bool
	answered        bool
	startedAt       time.Duration
}

func (sim *replicaShareSim) read() {
	s := sim.sessions[sim.world.Rand.IntN(shareSessions)]
	i := sim.world.Rand.IntN(shareProxies)
	p := sim.proxies[i]
	r := &pendingRead{
		key:   countsKey{tokenUse(sim.world.Rand.IntN(int(tokenUseCount))), []clock.Duration{50, 500, 5000}[sim.world.Rand.IntN(3)]},
		proxy: i, oracleFloor: s.floor, read: database.ReadRequirements{Arrived: p.NextSequence()}, startedAt: sim.world.Elapsed(),
	}
	r.read.MaxAge = r.key.age
	r.stats = sim.counts[r.key]
	if r.stats == nil {
		r.stats = &readCounts{}
		sim.counts[r.key] = r.stats
	}
	r.stats.reads++
	if r.key.tokenUse != withToken && len(sim.acks) > 0 {
		// Without a token, any earlier write may be the session's own.
		r.oracleFloor = sim.acks[len(sim.acks)-1].position
	}
	sim.consultOracle(r, replicaWait.Std())
	switch r.key.tokenUse {
	case withToken:
		r.read.Floor = s.floor
		sim.route(r)
	default:
		p.AwaitFresh(r.read.Arrived, func(sample process.Sample) {
			r.read.Floor = sample.Position
			sim.route(r)
		})
	}
}

// consultOracle checks the true positions of the replicas until one qualifies or
// the time left for the read has passed.
func (sim *replicaShareSim) consultOracle(r *pendingRead, left time.Duration) {
	if r.oracleQualified {
		return
	}
	for _, d := range sim.group.Databases {
		if d != sim.group.Primary() && !d.Stopped && sim.satisfies(d.State.Status().Applied, r.oracleFloor, r.key.age) {
			r.oracleQualified = true
			r.stats.oracle++
			return
		}
	}
	if left > 0 {
		sim.world.After(time.Millisecond, func() { sim.consultOracle(r, left-time.Millisecond) })
	}
}

// satisfies reports whether position p includes oracleFloor and every write
// that was acknowledged longer ago than age.
func (sim *replicaShareSim) satisfies(p, oracleFloor position.Position, age clock.Duration) bool {
	if !p.AtLeast(oracleFloor) {
		return false
	}
	oldest := sim.world.Elapsed() - age.Std()
	for i := len(sim.acks) - 1; i >= 0; i-- {
		if sim.acks[i].at < oldest {
			return p.AtLeast(sim.acks[i].position)
		}
	}
	return true
}

func (sim *replicaShareSim) route(r *pendingRead) {
	p := sim.proxies[r.proxy]
	now := sim.world.Now()
	primary, _ := p.Group.Primary()
	switch {
	case sim.policy.primaryOnly:
		sim.serve(r, primary, true)
	case sim.policy.randomReplica:
		sim.serve(r, (primary+1+sim.world.Rand.IntN(2))%3, false)
	default:
		route, ok := sim.routers[r.proxy].Read(now, r.read, p.Group, &r.tries, &database.Route{}).(*database.Route)
		if !ok {
			return
		}
		r.tries.AddWait(route.Wait)
		sim.world.After(route.Wait.Std(), func() { sim.serve(r, route.Database, route.Database == primary) })
	}
}

func (sim *replicaShareSim) serve(r *pendingRead, target int, primary bool) {
	p := sim.proxies[r.proxy]
	if sim.scenario.failAfter > 0 && target == 1 {
		sim.world.After(sim.scenario.failAfter, func() {
			if !sim.policy.noEjection {
				sim.routers[r.proxy].Failed(sim.world.Now(), target)
			}
			r.tries.Exclude(target)
			sim.route(r)
		})
		return
	}
	r.sent, r.sentAt = p.NextSequence(), sim.world.Now()
	p.Read(target, func(a virtual.Response, _ []standin.Entry) {
		if r.answered {
			return
		}
		sim.latencies = append(sim.latencies, sim.world.Elapsed()-r.startedAt)
		verified := database.Verify(sim.world.Now(), r.read, a.Status, p.Group)
		switch {
		case sim.policy.randomReplica && !sim.satisfies(a.Status.Applied, r.oracleFloor, r.key.age):
			r.answered = true
			r.stats.stale++
		case verified && !primary || sim.policy.randomReplica:
			r.answered = true
			r.stats.replica++
			sim.checkServed(r, a.Status.Applied)
		case primary:
			r.answered = true
			r.stats.primary++
		default:
			r.tries.VerificationFailed(target)
			r.stats.unverified++
			p.Observe(process.Report{Database: target, SentSeq: r.sent, SentAt: r.sentAt, Status: a.Status})
			sim.route(r)
		}
	})
}

func (sim *replicaShareSim) checkServed(r *pendingRead, p position.Position) {
	if !sim.satisfies(p, r.oracleFloor, r.key.age) {
		r.stats.stale++
	}
}

func runReplicaShareSim(seed uint64, p policy, sc scenario) *replicaShareSim {
	sim := newReplicaShareSim(seed, p, sc)
	sim.writeLoop()
	sim.readLoop()
	sim.world.Run(simulatedTime, nil)
	sim.done = true
	sim.world.Run(simulatedTime+time.Second, nil)
	return sim
}

func (sim *replicaShareSim) total() readCounts {
	var sum readCounts
	for _, c := range sim.counts {
		sum.reads += c.reads
		sum.oracle += c.oracle
		sum.replica += c.replica
		sum.primary += c.primary
		sum.stale += c.stale
		sum.unverified += c.unverified
	}
	return sum
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 1
	}
	return float64(a) / float64(b)
}

// TestReplicaShare guards against stale reads and against reads that go to the
// primary although a replica qualifies. The policy with verification and
// waiting must meet minReplicaShare; the other policies are only logged.
func TestReplicaShare(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			for _, p := range policies {
				sim := runReplicaShareSim(1, p, sc)
				c := sim.total()
				t.Logf("%-28s reads %d, oracle %d, replica %d (%.1f%% of oracle), primary %d, stale %d, failed verification %d",
					p.name, c.reads, c.oracle, c.replica, 100*ratio(c.replica, c.oracle), c.primary, c.stale, c.unverified)
				if p == policies[0] {
					requireReplicaShare(t, sim)
				}
			}
		})
	}
}

// TestEjectionOfFailingReplica compares ejecting a replica whose reads fail with
// keeping it eligible. Ejection must lower the p99 latency if reads take 100 ms
// or longer to fail.
func TestEjectionOfFailingReplica(t *testing.T) {
	for _, failAfter := range []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second} {
		var p99 [2]time.Duration
		for i, noEjection := range []bool{false, true} {
			sc := scenario{lag: func(int, time.Duration) clock.Duration { return 5 }, failAfter: failAfter}
			sim := runReplicaShareSim(1, policy{wait: replicaWait, noEjection: noEjection}, sc)
			slices.Sort(sim.latencies)
			c := sim.total()
			p99[i] = sim.latencies[len(sim.latencies)*99/100]
			t.Logf("reads fail after %v, ejection %v: median %v, p99 %v, replicas %.1f%% of oracle", failAfter, !noEjection,
				sim.latencies[len(sim.latencies)/2].Round(100*time.Microsecond), p99[i].Round(100*time.Microsecond), 100*ratio(c.replica, c.oracle))
		}
		if failAfter >= 100*time.Millisecond {
			require.Less(t, p99[0], p99[1])
		}
	}
}

func requireReplicaShare(t *testing.T, sim *replicaShareSim) {
	t.Helper()
	c := sim.total()
	require.Zero(t, c.stale, "a read exceeded its maximum age or did not see its session's writes")
	for m := range tokenUseCount {
		for _, age := range []clock.Duration{50, 500, 5000} {
			if k := sim.counts[countsKey{m, age}]; k != nil {
				t.Logf("  %-20s %-6v oracle %d, replica %d (%.1f%%), primary %d", tokenUseNames[m], age, k.oracle, k.replica, 100*ratio(k.replica, k.oracle), k.primary)
			}
		}
	}
	require.GreaterOrEqual(t, ratio(c.replica, c.oracle), minReplicaShare)
}
