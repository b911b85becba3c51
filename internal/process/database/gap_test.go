package database_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	standin "github.com/oleanderflow/oleanderflow/internal/standin/database"
	"github.com/oleanderflow/oleanderflow/internal/standin/virtual"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

var gapRuns = flag.Int("gapRuns", 15, "seeded runs of each failover scenario")

const (
	// gapBound is the target's bound on one change of primary.
	gapBound     = 11 * time.Second
	writeSpacing = 5 * time.Millisecond
)

// site is the size of one hosting team.
type site struct {
	name   string
	zones  []string
	oneWay time.Duration
}

var (
	cascade = site{"cascade", []string{"a", "b", "c"}, 500 * time.Microsecond}
	luz     = site{"luzLimpia", []string{"a", "b", "c", "d"}, 1500 * time.Microsecond}
)

const siteProxies = 16

// system is a group with its proxies in virtual time.
type system struct {
	world      *virtual.World
	group      *virtual.Group
	proxies    []*virtual.Proxy
	promotions int
	accepted   map[time.Duration]time.Duration
	writes     int
}

func newSystem(seed uint64, s site, watchers int) *system {
	w := virtual.NewWorld(seed, virtual.Network{InterZoneDelay: s.oneWay, IntraZoneDelay: 100 * time.Microsecond, Jitter: 200 * time.Microsecond})
	y := &system{world: w, group: virtual.NewGroup(w, s.zones[:3]), accepted: make(map[time.Duration]time.Duration)}
	for i := range siteProxies {
		p := virtual.NewProxy(y.group, fmt.Sprint("proxy", i), s.zones[i%len(s.zones)], database.DurabilityGroup)
		p.OnAnnounce = func(database.Announce) { y.promotions++ }
		y.proxies = append(y.proxies, p)
	}
	virtual.Connect(y.proxies, watchers, database.DefaultFailoverSettings())
	for _, p := range y.proxies {
		p.Start()
	}
	return y
}

// write keeps writes coming through every proxy in turn.
func (y *system) write() {
	y.world.After(writeSpacing, func() {
		y.writes++
		p := y.proxies[y.writes%len(y.proxies)]
		began := y.world.Elapsed()
		if !p.Node.Down {
			p.Write(fmt.Sprint("write", y.writes), func(v database.Verdict, _ position.Position) {
				if v == database.Confirmed {
					y.accepted[began] = y.world.Elapsed()
				}
			})
		}
		y.write()
	})
}

// gap returns the time from a fault until a write begun after it was
// accepted, or false if none was.
func (y *system) gap(fault time.Duration) (time.Duration, bool) {
	var first time.Duration
	for began, ended := range y.accepted {
		if began > fault && (first == 0 || ended < first) {
			first = ended
		}
	}
	return first - fault, first != 0
}

// scenario is a fault of the primary.
type scenario struct {
	name string
	// cause starts the fault.
	cause func(*system, *virtual.Database)
	// harmless faults must not replace the primary.
	harmless bool
}

func partition(y *system, lost *virtual.Database) {
	y.world.Network.Partitioned = func(from, to *virtual.Node) bool {
		touches := from == &lost.Node || to == &lost.Node
		return touches && from.Zone != to.Zone
	}
}

var scenarios = []scenario{
	{name: "crash", cause: func(_ *system, d *virtual.Database) { d.Stopped = true }},
	{name: "host lost", cause: func(_ *system, d *virtual.Database) { d.Node.Down = true }},
	{name: "partition, answers one zone", cause: partition},
	{name: "zone lost", cause: func(y *system, d *virtual.Database) {
		d.Node.Down = true
		for _, p := range y.proxies {
			p.Node.Down = p.Node.Down || p.Node.Zone == d.Node.Zone
		}
	}},
	{name: "promoter dies midway", cause: func(y *system, d *virtual.Database) {
		d.Stopped = true
		killPromoter(y)
	}},
	{name: "primary slow by 500 ms", harmless: true, cause: func(y *system, d *virtual.Database) {
		d.ResponseDelay = 500 * time.Millisecond
		y.world.After(3*time.Second, func() { d.ResponseDelay = 0 })
	}},
	{name: "primary paused for 700 ms", harmless: true, cause: func(y *system, d *virtual.Database) {
		y.world.Pause(&d.Node, 700*time.Millisecond)
	}},
	{name: "one lossy watcher", harmless: true, cause: func(y *system, _ *virtual.Database) {
		lossy := &y.proxies[0].Node
		y.world.Network.Partitioned = func(from, to *virtual.Node) bool {
			return (from == lossy || to == lossy) && y.world.Rand.Float64() < 0.8
		}
	}},
	{name: "one watcher paused for 5 s", harmless: true, cause: func(y *system, _ *virtual.Database) {
		y.world.Pause(&y.proxies[1].Node, 5*time.Second)
	}},
}

// killPromoter ends the first proxy that has begun to promote.
func killPromoter(y *system) {
	var look func()
	look = func() {
		for _, p := range y.proxies {
			if p.Failover == nil || p.Node.Down {
				continue
			}
			if phase, _ := p.Failover.Phase(); phase != database.Watching {
				p.Node.Down = true
				return
			}
		}
		y.world.After(100*time.Microsecond, look)
	}
	look()
}

func runGap(seed uint64, s site, c scenario) (gap time.Duration, ok bool, promotions int) {
	y := newSystem(seed, s, 3)
	y.write()
	fault := time.Second + time.Duration(y.world.Rand.Int64N(int64(time.Second)))
	y.world.Run(fault, nil)
	c.cause(y, y.group.Leader())
	y.world.Run(fault+7*time.Second, nil)
	gap, ok = y.gap(fault)
	return gap, ok, y.promotions
}

// baselineGap is a single watcher with a fixed timeout of 5 s that promotes
// through the table service alone.
func baselineGap(seed uint64, s site) time.Duration {
	const timeout, table = 5 * time.Second, 10 * time.Millisecond
	y := newSystem(seed, s, 0)
	y.write()
	y.world.Run(time.Second, nil)
	lost := y.group.Leader()
	lost.Stopped = true
	fault := y.world.Elapsed()
	watcher := &y.proxies[0].Node
	next := y.group.Databases[1]
	y.world.After(timeout+table, func() {
		for _, d := range y.group.Databases[1:] {
			d.Call(watcher, func(st *standin.State) (standin.Status, error) { return st.Fence(2, "baseline") }, func(virtual.Response) {
				next.Call(watcher, func(st *standin.State) (standin.Status, error) { return st.Promote(2, "baseline") }, func(virtual.Response) {
					y.group.Databases[2].Call(watcher, func(st *standin.State) (standin.Status, error) { return st.Follow(2, "b") }, func(virtual.Response) {})
				})
			})
		}
	})
	y.world.Run(fault+8*time.Second, nil)
	gap, _ := y.gap(fault)
	return gap
}

func percentile(sorted []time.Duration, p float64) time.Duration {
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

func TestFailoverGap(t *testing.T) {
	for _, s := range []site{cascade, luz} {
		for _, c := range scenarios {
			t.Run(s.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				measureGap(t, s, c)
			})
		}
	}
}

func measureGap(t *testing.T, s site, c scenario) {
	var gaps []time.Duration
	promotions := 0
	for seed := range uint64(*gapRuns) {
		gap, ok, promoted := runGap(seed, s, c)
		require.True(t, ok, "seed %d: no write was accepted after the fault", seed)
		if c.harmless {
			require.Zero(t, promoted, "seed %d: a primary that answers was replaced", seed)
		} else {
			require.Positive(t, promoted, "seed %d: no promotion", seed)
			require.Less(t, gap, gapBound, "seed %d", seed)
		}
		gaps = append(gaps, gap)
		promotions += promoted
	}
	slices.Sort(gaps)
	t.Logf("runs %d, promotions %d, gap median %v, p99 %v, worst %v", len(gaps), promotions,
		percentile(gaps, 0.5).Round(time.Millisecond), percentile(gaps, 0.99).Round(time.Millisecond), gaps[len(gaps)-1].Round(time.Millisecond))
}

func TestFailoverBeatsFixedTimeout(t *testing.T) {
	for _, s := range []site{cascade, luz} {
		gap, ok, _ := runGap(1, s, scenarios[0])
		require.True(t, ok)
		baseline := baselineGap(1, s)
		t.Logf("%s: gap %v, fixed timeout %v", s.name, gap, baseline)
		require.Less(t, gap, baseline)
	}
}

// A promoter fenced one replica and died. The group is still led by the
// others, and the replica takes no log until a promotion takes it back.
func TestStrandedDatabaseIsTakenBack(t *testing.T) {
	for _, s := range []site{cascade, luz} {
		y := newSystem(1, s, 3)
		y.write()
		y.world.Run(time.Second, nil)
		stranded := y.group.Databases[2]
		_, err := stranded.State.Fence(7, "dead promoter")
		require.NoError(t, err)
		y.world.Run(6*time.Second, nil)
		status := stranded.State.Status()
		require.Greater(t, status.Term, uint64(7), "the replica is still stranded")
		require.Equal(t, 1, y.promotions, "one promotion takes it back")
		var worst time.Duration
		for began, ended := range y.accepted {
			worst = max(worst, ended-began)
		}
		t.Logf("%s: taken back in term %d, slowest write meanwhile %v", s.name, status.Term, worst)
		require.Less(t, worst, time.Second)
	}
}
