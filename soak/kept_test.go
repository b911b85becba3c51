package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// No write that was acknowledged may be lost with a replacement (LOST), and none kept that
// the caller was told is not (REFUSED), while databases crash and return with their logs,
// also beside a replacement, and proxies reach some of the databases or not the store.
func TestSoakWritesAreKept(t *testing.T) {
	program := buildProgram(t)
	played := slices.Clone(lostWriteSeeds)
	for i := range *seeds {
		played = append(played, *firstSeed+uint64(i))
	}
	for _, seed := range played {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runKeptSeed(t, program, seed, false) })
	}
}

// No acknowledged write may be lost while proxies know different members of the group either:
// databases join beside partitions, and the store turns some of the proxies away.
func TestSoakWritesAreKeptWhileDatabasesJoin(t *testing.T) {
	program := buildProgram(t)
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runKeptSeed(t, program, seed, true) })
	}
}

// lostWriteSeeds are kept seeds that have failed before, with the fault they found.
var lostWriteSeeds = []uint64{
	4, // a replica that had started again confirmed writes beside a replacement
}

func runKeptSeed(t *testing.T, program string, seed uint64, join bool) {
	h := &harness{
		t: t, random: rand.New(rand.NewPCG(seed, 21)), program: program, dir: t.TempDir(), network: reserveNetwork(t), stop: make(chan struct{}),
		acknowledged: make(map[string]string), refused: make(map[string]struct{}), ledger: newLedger(), seed: seed,
	}
	zones := []string{"a", "b", "c", "d", "e"}[:3+2*h.random.IntN(2)]
	var err error
	h.group, err = standin.NewGroup("shop", zones, 0)
	require.NoError(t, err)
	defer h.group.Close()
	h.group.ConnectionLimit = 24
	h.group.Timing = standin.Timing{
		Network: time.Duration(1+h.random.IntN(20)) * time.Millisecond, Apply: 20 * time.Millisecond,
		Promote: time.Duration(100+h.random.IntN(900)) * time.Millisecond, Demote: time.Second,
		Rejoin: time.Duration(10+h.random.IntN(200)) * time.Millisecond, Lapse: 3600 * time.Millisecond,
	}
	h.startPlatform()
	h.configure(func() {})
	// Each proxy has a link of its own to the store.
	var storeLinks []*Link
	for i := range 2 * *proxyCount {
		h.platformLink, err = NewLink(h.platform.Address())
		require.NoError(t, err)
		defer h.platformLink.Close()
		storeLinks = append(storeLinks, h.platformLink)
		h.proxies = append(h.proxies, h.newProcess(i))
	}
	h.storeLink = h.platformLink
	defer h.killAll()
	var callers sync.WaitGroup
	// With a single caller, nothing else is written while it waits for its answer.
	for i := range 1 + h.random.IntN(2)*h.random.IntN(2*len(h.proxies)) {
		callers.Go(func() { h.runCaller(i) })
	}
	go h.crashBesidePromotions(rand.New(rand.NewPCG(seed, 22)), time.Now().Add(*duration))
	var partitions sync.WaitGroup
	if join {
		partitions.Go(func() { h.joinBesidePartitions(rand.New(rand.NewPCG(seed, 23)), time.Now().Add(*duration), storeLinks) })
	}
	h.injectReplacementFaults(storeLinks)
	partitions.Wait()
	h.heal()
	for _, l := range append(storeLinks, h.databaseLinks...) {
		l.Set(None)
		l.Cut()
	}
	h.awaitWrites()
	close(h.stop)
	callers.Wait()
	h.check()
	h.report()
}

// injectReplacementFaults injects faults of databases, and of the links of single proxies, in
// series that overlap, for the time given by the duration flag.
func (h *harness) injectReplacementFaults(storeLinks []*Link) {
	databases := h.group.Databases()
	end := time.Now().Add(*duration)
	for time.Now().Before(end) {
		primary := h.random.IntN(len(databases))
		for i, d := range databases {
			if d.IsPrimary() {
				primary = i
			}
		}
		i := h.random.IntN(len(databases))
		d, p := databases[i], h.random.IntN(len(h.proxies))
		length := time.Duration(50+h.random.IntN(2500)) * time.Millisecond
		kind := h.random.IntN(12)
		h.note("fault %d at %s and %s, the primary is %s, for %s", kind, d.ID, h.proxies[p].name, databases[primary].ID, length)
		switch kind {
		case 0, 1, 2:
			// The other proxies go on writing at the primary.
			var names []string
			for _, j := range h.random.Perm(len(h.proxies))[:1+h.random.IntN(len(h.proxies)-1)] {
				names = append(names, h.proxies[j].name)
			}
			link := h.databaseLinks[primary]
			link.Cut(names...)
			time.AfterFunc(length+time.Second, func() { link.Cut() })
		case 3, 4:
			go restartInSeries(d, 1+h.random.IntN(4), length/5)
		case 5:
			databases[primary].SetDown(true)
			time.AfterFunc(length, func() { databases[primary].SetDown(false) })
		case 6:
			// What the primary commits before it crashes reaches no other database.
			for j, other := range databases {
				if j != primary {
					other.SetDeaf(true)
					time.AfterFunc(length, func() { other.SetDeaf(false) })
				}
			}
			time.AfterFunc(length/8, func() { databases[primary].SetDown(true) })
			time.AfterFunc(2*length, func() { databases[primary].SetDown(false) })
		case 7:
			d.SetDeaf(true)
			time.AfterFunc(length, func() { d.SetDeaf(false) })
		case 8:
			h.platform.LosePromotionAnswers(1 + h.random.IntN(6))
		case 9:
			link := storeLinks[p]
			link.Set(linkFaults[h.random.IntN(len(linkFaults))])
			time.AfterFunc(length+time.Second, func() { link.Set(None) })
		case 10:
			ended := h.proxies[p].signal(syscall.SIGKILL)
			time.AfterFunc(length/3, func() { h.restartAfterExit(h.proxies[p], ended) })
		case 11:
			d.SetDraining(true)
			time.AfterFunc(length+2*time.Second, func() { d.SetDraining(false) })
		}
		time.Sleep(time.Duration(50+h.random.IntN(600)) * time.Millisecond)
	}
	// The longest fault lasts 5.1 s.
	time.Sleep(5200 * time.Millisecond)
}

// crashBesidePromotions lets databases crash while a promotion takes effect, or right after
// that, until end.
func (h *harness) crashBesidePromotions(random *rand.Rand, end time.Time) {
	for known := 0; time.Now().Before(end); time.Sleep(time.Millisecond) {
		calls := h.platform.Promotions()
		if len(calls) == known {
			continue
		}
		known = len(calls)
		promoted, down := calls[known-1].Identifier, time.Duration(10+random.IntN(150))*time.Millisecond
		for _, d := range h.group.Databases() {
			kind := random.IntN(3)
			switch {
			case d.ID != promoted && !d.IsPrimary() && kind > 0:
				h.note("%s starts again beside the promotion of %s", d.ID, promoted)
				go restartInSeries(d, kind, down)
			case d.ID == promoted && kind == 0:
				h.note("%s crashes %s after its promotion", d.ID, h.group.Timing.Promote+down)
				time.AfterFunc(h.group.Timing.Promote+down, func() { d.SetDown(true) })
				time.AfterFunc(h.group.Timing.Promote+2500*time.Millisecond, func() { d.SetDown(false) })
			}
		}
	}
}

// joinBesidePartitions partitions the databases again and again until end, with the primary on
// one side, and lets databases join about that time. Proxies reach both sides, or only the one
// without the primary. The store turns away some of those that reach both.
func (h *harness) joinBesidePartitions(random *rand.Rand, end time.Time, storeLinks []*Link) {
	for joined := 0; time.Now().Before(end); time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond) {
		databases := h.group.Databases()
		slices.SortStableFunc(databases, func(a, b *standin.Database) int {
			switch {
			case a.IsPrimary() == b.IsPrimary():
				return 0
			case a.IsPrimary():
				return -1
			default:
				return 1
			}
		})
		side := databases[:1+random.IntN(len(databases)/2+1)]
		var names []string
		for i, p := range h.proxies {
			switch {
			case random.IntN(3) > 0:
				names = append(names, p.name)
			case random.IntN(2) == 0:
				storeLinks[i].Set(Refusing)
			}
		}
		join := func() {
			if joined++; joined <= 2 {
				d, err := h.group.Add("a")
				if err != nil {
					h.t.Errorf("start another database: %v", err)
					return
				}
				h.note("%s joins", d.ID)
			}
		}
		early := random.IntN(3) > 0
		if early {
			join()
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		}
		h.note("partition of %d databases at %s, which %v do not reach", len(side), side[0].ID, names)
		h.group.Separate(side...)
		for i, d := range h.group.Databases()[:len(h.databaseLinks)] {
			if slices.Contains(side, d) {
				h.databaseLinks[i].Cut(names...)
			}
		}
		if !early {
			time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
			join()
		}
		time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
		h.group.Separate()
		for _, l := range h.databaseLinks {
			l.Cut()
		}
		for _, l := range storeLinks {
			l.Set(None)
		}
	}
}

// restartInSeries lets a database crash and return with its log some times.
func restartInSeries(d *standin.Database, times int, down time.Duration) {
	for range times {
		d.SetDown(true)
		time.Sleep(down)
		d.SetDown(false)
		time.Sleep(2 * down)
	}
}
