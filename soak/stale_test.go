package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// staleRoutes are the routes of the runs that check the age of reads, by database name.
var staleRoutes = map[string]time.Duration{"fills": 0, "bookings": 1500 * time.Millisecond, "invoices": 2500 * time.Millisecond}

// acknowledgement is a commit that a caller knows of.
type acknowledgement struct {
	key string
	at  time.Time
}

// sentRead is a read that a caller has got the answer to.
type sentRead struct {
	id, signature, text string
	proxy               string
	// at is when the caller sent it, or the BEGIN of its transaction.
	at time.Time
	// maxAge is that of the route. own is the last commit of the session before the read
	// on routes that show these, empty if there is none.
	maxAge time.Duration
	own    string
}

// history has what the callers have seen.
type history struct {
	mu              sync.Mutex
	acknowledgments []acknowledgement
	reads           []sentRead
}

// check returns the reads that ran on a log which lacked a commit that was acknowledged
// more than the route's age before the read was sent, or a commit of their own session.
// Commits that a promotion has rolled back do not count.
func (l *history) check(g *standin.Group) (violations []string, checked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	commits := g.Commits()
	acknowledged := slices.Clone(l.acknowledgments)
	slices.SortFunc(acknowledged, func(a, b acknowledgement) int { return a.at.Compare(b.at) })
	// last[i] is the commit with the highest place in the log among the first i.
	last := make([]*acknowledgement, len(acknowledged)+1)
	for i := range acknowledged {
		a := &acknowledged[i]
		last[i+1] = last[i]
		if c, kept := commits[a.key]; kept && (last[i] == nil || c.Offset() > commits[last[i].key].Offset()) {
			last[i+1] = a
		}
	}
	for _, r := range l.reads {
		run, ok := g.RunOf(r.signature)
		if !ok {
			violations = append(violations, fmt.Sprintf("%s has the signature %s of no run", r.id, r.signature))
			continue
		}
		checked++
		bound := r.at.Add(-r.maxAge)
		i, _ := slices.BinarySearchFunc(acknowledged, bound, func(a acknowledgement, t time.Time) int { return a.at.Compare(t) })
		if a := last[i]; a != nil && run.Lacks(commits[a.key]) {
			violations = append(violations, fmt.Sprintf("%s %.120q through %s, sent at %s, ran at %s on a log that lacks %s, acknowledged %s before, with an age of %s",
				r.id, r.text, r.proxy, r.at.Format(time.StampMilli), run.Database, a.key, r.at.Sub(a.at), r.maxAge))
		}
		if c, kept := commits[r.own]; r.own != "" && kept && run.Lacks(c) {
			violations = append(violations, fmt.Sprintf("%s %.120q through %s, sent at %s, ran at %s on a log that lacks its session's commit of %s",
				r.id, r.text, r.proxy, r.at.Format(time.StampMilli), run.Database, r.own))
		}
	}
	return violations, checked
}

// A read on any route, alone, by EXECUTE or in a transaction, must not run on a log that
// lacks a commit which was acknowledged more than the route's age before the read was sent,
// or one of its own session (STALE), while proxies, databases and links fail.
func TestSoakReadsAreRecent(t *testing.T) {
	program := buildProgram(t)
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runStaleSeed(t, program, seed) })
	}
}

func runStaleSeed(t *testing.T, program string, seed uint64) {
	h := &harness{
		t: t, random: rand.New(rand.NewPCG(seed, 11)), program: program, dir: t.TempDir(), network: reserveNetwork(t), stop: make(chan struct{}),
		acknowledged: make(map[string]string), refused: make(map[string]struct{}), logLevel: "debug", ledger: newLedger(), seed: seed,
	}
	var err error
	h.group, err = standin.NewGroup("shop", []string{"a", "b", "c"}, 0)
	require.NoError(t, err)
	defer h.group.Close()
	h.group.RecordRuns()
	h.group.ConnectionLimit = 24
	h.group.Timing = standin.Timing{
		Network: time.Millisecond, Apply: 50 * time.Millisecond, Promote: 300 * time.Millisecond, Demote: time.Second,
		Rejoin: time.Duration(20+h.random.IntN(400)) * time.Millisecond, Lapse: 3600 * time.Millisecond,
	}
	h.startPlatform()
	h.platformLink, err = NewLink(h.platform.Address())
	require.NoError(t, err)
	defer h.platformLink.Close()
	h.storeLink = h.platformLink
	route := func(name, database string, kind string) standin.Route {
		return standin.Route{Name: name, Database: database, Kind: kind, Timeout: 1500, Target: 300, Priority: 1, Group: "shop", MaxAge: int(staleRoutes[database].Milliseconds())}
	}
	h.platform.Configure(1, h.group.ConnectionLimit, 2000,
		route("r1", "fills", standin.Primary), route("r2", "bookings", standin.BoundedAge), route("r3", "invoices", standin.ReadYourWrites))
	for i := range 3 * *proxyCount {
		h.proxies = append(h.proxies, h.newProcess(i))
	}
	defer h.killAll()
	var seen history
	var callers sync.WaitGroup
	for i := range 4 * len(h.proxies) {
		callers.Go(func() { h.runReader(&seen, seed, i) })
	}
	go h.failAnswers(rand.New(rand.NewPCG(seed, 5)), time.Now().Add(*duration))
	h.injectReadFaults()
	h.heal()
	time.Sleep(2 * time.Second)
	close(h.stop)
	callers.Wait()
	violations, checked := seen.check(h.group)
	h.violations = append(append(h.violations, violations...), h.ledger.check(t, h.group)...)
	h.violations = append(h.violations, checkLogs(h.dir)...)
	t.Logf("%d reads checked against %d commits, %d promotions", checked, len(seen.acknowledgments), len(h.platform.Promotions()))
	require.NotZero(t, checked)
	require.NotEmpty(t, seen.acknowledgments)
	h.reportViolations()
}

// runReader writes, and reads on a route of any kind, until the run is over.
func (h *harness) runReader(seen *history, seed uint64, i int) {
	random, x := rand.New(rand.NewPCG(seed, uint64(100+i))), h.newTexts(i)
	for n := 0; ; n++ {
		select {
		case <-h.stop:
			return
		default:
		}
		p := h.proxies[random.IntN(len(h.proxies))]
		database := []string{"fills", "bookings", "invoices", "invoices"}[random.IntN(4)]
		c, err := h.open(p, database, standin.CallerKey)
		if err != nil {
			time.Sleep(30 * time.Millisecond)
			continue
		}
		s := &readerSession{caller: c, seen: seen, proxy: p.name, database: database, prefix: fmt.Sprintf("c%d-%d", i, n), texts: x}
		c.note = func(id string) { s.id, s.sentAt = id, time.Now() }
		if r, err := c.Query("PREPARE s1 READ " + x.any("shape")); err == nil && r.Error == "" {
			s.run(random, h.stop)
		}
		c.Close()
	}
}

// readerSession is a session of a caller that reads.
type readerSession struct {
	caller          *tracked
	seen            *history
	texts           *texts
	proxy, database string
	prefix          string
	writes          int
	// own is the key of the session's last acknowledged commit.
	own    string
	id     string
	sentAt time.Time
}

// run plays operations until one leaves the session in doubt.
func (s *readerSession) run(random *rand.Rand, stop chan struct{}) {
	for range 5 + random.IntN(40) {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(25)) * time.Millisecond):
		}
		ok := true
		switch kind := random.IntN(10); {
		case kind < 2 && s.database != "bookings":
			ok = s.write(kind == 0)
		case kind == 2:
			ok = s.transaction(random)
		default:
			ok = s.read(s.statement(random), time.Time{})
		}
		if !ok {
			return
		}
	}
}

func (s *readerSession) statement(random *rand.Rand) string {
	if random.IntN(3) > 0 {
		return "EXECUTE s1 tyre " + s.texts.any("data")
	}
	return "READ tyre"
}

// read sends a read, of a transaction that began at begun unless that is zero. It returns
// false if the session cannot go on.
func (s *readerSession) read(text string, begun time.Time) bool {
	own := ""
	if s.database == "invoices" {
		own = s.own
	}
	r, err := s.caller.Query(text)
	if err != nil {
		return false
	}
	if r.Error != "" {
		return r.State == "I"
	}
	at := s.sentAt
	if !begun.IsZero() {
		at = begun
	}
	s.seen.mu.Lock()
	s.seen.reads = append(s.seen.reads, sentRead{id: s.id, signature: r.Signature, text: text, proxy: s.proxy, at: at, maxAge: staleRoutes[s.database], own: own})
	s.seen.mu.Unlock()
	return true
}

func (s *readerSession) write(inTransaction bool) bool {
	s.writes++
	key := fmt.Sprintf("%s-%d", s.prefix, s.writes)
	queries := []string{"WRITE " + key + " " + s.texts.any(key)}
	if inTransaction {
		queries = []string{"BEGIN", queries[0], "COMMIT"}
	}
	for _, query := range queries {
		r, err := s.caller.Query(query)
		if err != nil || r.Error != "" {
			return false
		}
	}
	s.own = key
	s.seen.mu.Lock()
	s.seen.acknowledgments = append(s.seen.acknowledgments, acknowledgement{key: key, at: time.Now()})
	s.seen.mu.Unlock()
	return true
}

// transaction reads in a transaction.
func (s *readerSession) transaction(random *rand.Rand) bool {
	begin := "BEGIN READ"
	if s.database != "bookings" && random.IntN(2) == 0 {
		begin = "BEGIN"
	}
	if r, err := s.caller.Query(begin); err != nil || r.Error != "" {
		return false
	}
	begun := s.sentAt
	for range 1 + random.IntN(3) {
		if !s.read(s.statement(random), begun) {
			return false
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
	r, err := s.caller.Query([]string{"COMMIT", "ROLLBACK"}[random.IntN(2)])
	return err == nil && r.State == "I"
}

// injectReadFaults injects faults of proxies, databases and links, which come in series and
// overlap, for the time given by the duration flag.
func (h *harness) injectReadFaults() {
	end := time.Now().Add(*duration)
	databases := h.group.Databases()
	for time.Now().Before(end) {
		p := h.proxies[h.random.IntN(len(h.proxies))]
		i := h.random.IntN(len(databases))
		d, link := databases[i], h.databaseLinks[i]
		if h.random.IntN(2) == 0 {
			for j := range databases {
				if databases[j].IsPrimary() {
					d, link = databases[j], h.databaseLinks[j]
				}
			}
		}
		length := time.Duration(50+h.random.IntN(2000)) * time.Millisecond
		kind := h.random.IntN(12)
		h.note("fault %d at %s, %s, for %s", kind, d.ID, p.name, length)
		switch kind {
		case 0:
			ended := p.signal(syscall.SIGKILL)
			time.AfterFunc(length/3, func() { h.restartAfterExit(p, ended) })
		case 1, 2:
			for range 1 + h.random.IntN(4) {
				q := h.proxies[h.random.IntN(len(h.proxies))]
				q.signal(syscall.SIGSTOP)
				time.AfterFunc(length, func() { q.signal(syscall.SIGCONT) })
			}
		case 3:
			h.platformLink.Set(linkFaults[h.random.IntN(len(linkFaults))])
			time.AfterFunc(length, func() { h.platformLink.Set(None) })
		case 4:
			d.SetDown(true)
			time.AfterFunc(length, func() { d.SetDown(false) })
		case 5:
			d.SetDown(true)
			time.AfterFunc(length/2, d.Forget)
		case 6:
			d.SetDeaf(true)
			time.AfterFunc(length+time.Second, func() { d.SetDeaf(false) })
		case 7:
			d.SetDraining(true)
			time.AfterFunc(length+2*time.Second, func() { d.SetDraining(false) })
		case 8:
			// Connections break at several databases in the same second.
			for _, l := range h.databaseLinks {
				l.Set(Refusing)
				time.AfterFunc(time.Duration(h.random.IntN(300))*time.Millisecond, func() { l.Set(None) })
			}
		default:
			link.Set(linkFaults[h.random.IntN(len(linkFaults))])
			time.AfterFunc(length, func() { link.Set(None) })
		}
		time.Sleep(time.Duration(50+h.random.IntN(500)) * time.Millisecond)
	}
	time.Sleep(4200 * time.Millisecond)
}

// Guards against a check of reads that passes whatever they ran on.
func TestStaleReadsAreDetected(t *testing.T) {
	g, err := standin.NewGroup("shop", []string{"a", "b"}, 0)
	require.NoError(t, err)
	defer g.Close()
	g.RecordRuns()
	platform := standin.NewPlatform(g)
	defer platform.Close()
	replica, err := standin.Open(g.Databases()[1].Address(), "shop")
	require.NoError(t, err)
	defer replica.Close()
	read := func() string {
		r, err := replica.Query("READ a")
		require.NoError(t, err)
		return r.Signature
	}
	g.Databases()[0].Append("first", "v")
	g.Databases()[0].Append("second", "v")
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	signature := read()
	for _, c := range []struct {
		name   string
		sent   int
		maxAge time.Duration
		own    string
		want   string
	}{
		{"before the acknowledgement", 90, 0, "", ""},
		{"after it", 110, 0, "", "lacks first, acknowledged 10ms before"},
		{"after both", 310, 0, "", "lacks second"},
		{"within the age", 310, 300 * time.Millisecond, "", ""},
		{"beyond the age", 310, 200 * time.Millisecond, "", "lacks first"},
		{"own commit", 310, time.Second, "second", "lacks its session's commit of second"},
		{"own commit that was rolled back", 310, time.Second, "gone", ""},
	} {
		l := &history{
			acknowledgments: []acknowledgement{{"second", at(300)}, {"first", at(100)}, {"gone", at(10)}},
			reads:           []sentRead{{id: "q1", signature: signature, at: at(c.sent), maxAge: c.maxAge, own: c.own}},
		}
		violations, checked := l.check(g)
		require.Equal(t, 1, checked)
		if c.want == "" {
			require.Empty(t, violations, c.name)
			continue
		}
		require.Contains(t, strings.Join(violations, "\n"), c.want, c.name)
	}
}
