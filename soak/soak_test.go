package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

var (
	seeds      = flag.Int("seeds", 1, "how many fresh seeds run after the regression seeds")
	firstSeed  = flag.Uint64("seed", 2, "the first fresh seed")
	duration   = flag.Duration("duration", 6*time.Second, "how long faults are injected for one seed")
	proxyCount = flag.Int("fronts", 3, "how many proxies run")
)

// regressionSeeds are seeds that have failed before, with the fault they found.
var regressionSeeds = []uint64{
	202, // an unanswered promotion was given to another database
	205, // SIGHUP ended a process that was still starting
	1,   // at a start, a stored database replaced one that the registry had just listed
}

// workspaceSeeds are kept seeds that play with workspaces, with the fault they found.
var workspaceSeeds = []uint64{
	7003, // builds that mix up workspaces, take old proofs or admit without a token
}

func TestSoak(t *testing.T) {
	program := buildProgram(t)
	for _, seed := range regressionSeeds {
		// They are older than restores and workspaces, which would change their course.
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runSeed(t, program, seed, false) })
	}
	freshSeeds := slices.Clone(workspaceSeeds)
	for i := range *seeds {
		freshSeeds = append(freshSeeds, *firstSeed+uint64(i))
	}
	for _, seed := range freshSeeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runSeed(t, program, seed, true) })
	}
}

// A process that starts beside a store which has gone back to a copy without the accountant
// of a workspace must not grant its tokens beside that accountant.
func TestSoakTwoAccountantsAfterRestore(t *testing.T) {
	runSeed(t, buildProgram(t), 7006, true)
}

func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "oleanderflow-front")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/oleanderflow-front").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// harness holds the state of one run: the proxies, the simulated platform and
// database group, and the links between them.
type harness struct {
	t            *testing.T
	random       *rand.Rand
	program      string
	dir          string
	network      string
	group        *standin.Group
	platform     *standin.Platform
	platformLink *Link
	// storeLink is behind platformLink, for faults that outlast those of platformLink.
	storeLink     *Link
	databaseLinks []*Link
	proxies       []*process
	// stop is closed when the callers are to end and no process may start
	// again.
	stop chan struct{}

	mu sync.Mutex
	// acknowledged maps the keys of acknowledged writes to their values.
	acknowledged map[string]string
	ledger       *ledger
	seed         uint64
	// refused holds the keys of writes that were reported as not executed.
	refused    map[string]struct{}
	violations []string

	// logLevel is that of the proxies, empty for info.
	logLevel string
	// keys is nil in runs without workspaces.
	keys *keyring
	// configureMu is held while a configuration is written. version is that of the last
	// one.
	configureMu sync.Mutex
	version     int
}

// runSeed runs the callers while faults are injected, then waits for recovery
// and checks the writes. If fresh is set, the store also goes back to older copies of
// itself, databases repeat and cut answers, and two of three seeds play with workspaces.
func runSeed(t *testing.T, program string, seed uint64, fresh bool) {
	h := &harness{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), program: program, dir: t.TempDir(), network: reserveNetwork(t), stop: make(chan struct{}),
		acknowledged: make(map[string]string), refused: make(map[string]struct{}), ledger: newLedger(), seed: seed,
	}
	var err error
	h.group, err = standin.NewGroup("shop", []string{"a", "b", "c"}, 0)
	require.NoError(t, err)
	defer h.group.Close()
	if limitRandom := rand.New(rand.NewPCG(seed, 6)); fresh && *proxyCount > 3 && limitRandom.IntN(2) == 0 {
		// Too few connections for every proxy, so that some are homes of the others.
		h.group.ConnectionLimit = 2 * *proxyCount
	}
	h.startPlatform()
	h.storeLink, err = NewLink(h.platform.Address())
	require.NoError(t, err)
	defer h.storeLink.Close()
	h.platformLink, err = NewLink(h.storeLink.Address())
	require.NoError(t, err)
	defer h.platformLink.Close()
	keyRandom := rand.New(rand.NewPCG(seed, 3))
	if fresh && keyRandom.IntN(3) > 0 {
		h.keys = newKeyring(keyRandom)
	}
	h.configure(func() {})
	for i := range *proxyCount {
		h.proxies = append(h.proxies, h.newProcess(i))
	}
	defer h.killAll()
	var callers sync.WaitGroup
	callersPerProxy := 2
	if h.keys != nil {
		callersPerProxy = 6
	}
	for i := range callersPerProxy * len(h.proxies) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			h.runCaller(i)
		}()
	}
	if fresh {
		end := time.Now().Add(*duration)
		go h.restoreStore(rand.New(rand.NewPCG(seed, 2)), end)
		go h.failAnswers(rand.New(rand.NewPCG(seed, 5)), end.Add(2*time.Second))
		if h.keys != nil {
			go h.changeKeys(keyRandom, end)
		}
	}
	h.injectFaults()
	h.heal()
	healed := time.Now()
	h.awaitWrites()
	h.awaitConfiguration(healed.Add(stableWindow + configurationLimit))
	close(h.stop)
	callers.Wait()
	h.check()
	h.report()
}

// startPlatform starts a platform for the group, with a link before each database.
func (h *harness) startPlatform() {
	for _, d := range h.group.Databases() {
		link, err := NewLink(d.Address())
		require.NoError(h.t, err)
		h.t.Cleanup(link.Close)
		h.databaseLinks = append(h.databaseLinks, link)
		d.AdvertisedAddress = link.Address()
	}
	h.platform = standin.NewPlatform(h.group)
	h.t.Cleanup(h.platform.Close)
}

// runCaller writes new keys and reads them back until the run is over. It opens
// a new session at a random proxy when its session ends.
func (h *harness) runCaller(i int) {
	random := rand.New(rand.NewPCG(uint64(i), 7))
	x := h.newTexts(i)
	var c *tracked
	for n := 0; ; n++ {
		select {
		case <-h.stop:
			if c != nil {
				c.Close()
			}
			return
		default:
		}
		if c == nil {
			var err error
			database := []string{"fills", "invoices"}[i%2]
			if c, err = h.open(h.proxies[random.IntN(len(h.proxies))], database, h.pickKey(random, i)); err != nil {
				c = nil
				time.Sleep(30 * time.Millisecond)
				continue
			}
			if !c.begin(x) {
				c.Close()
				c = nil
				continue
			}
		}
		if !h.writeAndRead(c, x, fmt.Sprintf("c%d-%d", i, n), n%3 == 0) || h.keys != nil && h.keys.replaces(random, i) {
			c.Close()
			c = nil
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// pickKey returns the key for the next session of caller i.
func (h *harness) pickKey(random *rand.Rand, i int) string {
	if h.keys == nil {
		return standin.CallerKey
	}
	return h.keys.pick(random, i%workspaceCount)
}

// open opens a session at a proxy whose statements are recorded.
func (h *harness) open(p *process, database, key string) (*tracked, error) {
	c, err := standin.OpenWithKey(p.callerAddress, database, key)
	if err != nil {
		return nil, err
	}
	s := &tracked{Caller: c, ledger: h.ledger, proxy: p.name}
	if h.keys != nil {
		s.note = func(id string) { h.keys.noteSent(id, key) }
	}
	return s, nil
}

// newTexts returns what caller i sends. Its choices do not depend on the course of the run.
func (h *harness) newTexts(i int) *texts {
	return &texts{random: rand.New(rand.NewPCG(h.seed, uint64(1000+i))), hostile: true}
}

// writeAndRead writes a key, alone, in a transaction or by a prepared statement, and reads
// it back. It returns false if the session can no longer be used.
func (h *harness) writeAndRead(c *tracked, x *texts, prefix string, transaction bool) bool {
	key, value := x.word(prefix), x.any(prefix)
	write, read := c.statements(x, key, value)
	queries := []string{write}
	if transaction {
		queries = []string{"BEGIN", write, "COMMIT"}
	}
	for _, query := range queries {
		r, err := c.Query(query)
		if err != nil {
			return false
		}
		if r.Error != "" {
			h.noteFailure(key, r.Code())
			if r.State == "E" && h.keys != nil {
				// The session goes on, and its key may be removed for long by then.
				r, err = c.Query("ROLLBACK")
			}
			return err == nil && r.State == "I"
		}
	}
	h.mu.Lock()
	h.acknowledged[key] = value
	h.mu.Unlock()
	r, err := c.Query(read)
	if err != nil {
		return false
	}
	if r.Error == "" && (len(r.Rows) != 1 || r.Rows[0] != value) {
		h.addViolation("a session does not see its own write of %q", key)
	}
	return r.State == "I"
}

// notExecutedCodes holds the error codes which tell the caller that its write
// did not take effect.
var notExecutedCodes = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true, "NOAUTH": true}

// noteFailure records key as refused if code is one of notExecutedCodes.
func (h *harness) noteFailure(key, code string) {
	if notExecutedCodes[code] {
		h.mu.Lock()
		h.refused[key] = struct{}{}
		h.mu.Unlock()
	}
}

// note writes a line about the run itself beside the logs of the proxies.
func (h *harness) note(format string, arguments ...any) {
	f, err := os.OpenFile(filepath.Join(h.dir, "faults.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(h.t, err)
	defer func() { _ = f.Close() }()
	_, _ = fmt.Fprintf(f, "%s %s\n", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"), fmt.Sprintf(format, arguments...))
}

func (h *harness) addViolation(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, arguments...))
}

// linkFaults lists the faults that are injected into links.
var linkFaults = []Fault{Silent, Refusing, Delayed, OneWay}

// injectFaults injects random faults, which may overlap, for the time given by
// the duration flag, and waits until they have ended.
func (h *harness) injectFaults() {
	end := time.Now().Add(*duration)
	for time.Now().Before(end) {
		p := h.proxies[h.random.IntN(len(h.proxies))]
		link := h.databaseLinks[h.random.IntN(len(h.databaseLinks))]
		length := time.Duration(200+h.random.IntN(1500)) * time.Millisecond
		switch kind := h.random.IntN(8); kind {
		case 0:
			ended := p.signal(syscall.SIGKILL)
			time.AfterFunc(length/3, func() { h.restartAfterExit(p, ended) })
		case 1:
			ended := p.signal(syscall.SIGTERM)
			time.AfterFunc(length, func() { h.restartAfterExit(p, ended) })
		case 2:
			p.signal(syscall.SIGSTOP)
			time.AfterFunc(length, func() { p.signal(syscall.SIGCONT) })
		case 3:
			p.signal(syscall.SIGHUP)
			time.AfterFunc(length/3, func() { h.startIfExited(p) })
		case 4:
			h.platformLink.Set(linkFaults[h.random.IntN(len(linkFaults))])
			time.AfterFunc(length, func() { h.platformLink.Set(None) })
		case 5:
			for _, d := range h.group.Databases() {
				if d.IsPrimary() {
					d.SetDown(true)
					time.AfterFunc(length+time.Second, func() { d.SetDown(false) })
					break
				}
			}
		default:
			link.Set(linkFaults[h.random.IntN(len(linkFaults))])
			time.AfterFunc(length, func() { link.Set(None) })
		}
		time.Sleep(time.Duration(100+h.random.IntN(700)) * time.Millisecond)
	}
	// Wait until every fault has ended, except for processes that are slow to
	// stop: a fault lasts less than 1.7 s, the outage of a database 1 s longer,
	// and at least 0.1 s has passed since the last fault began.
	time.Sleep(2600 * time.Millisecond)
}

// configure calls change and writes the next configuration, with a route that only it has.
func (h *harness) configure(change func()) {
	h.configureMu.Lock()
	defer h.configureMu.Unlock()
	change()
	h.version++
	version := h.version
	route := standin.Route{Name: "r1", Database: "fills", Kind: standin.Primary, Timeout: 1500, Target: 300, Priority: 1, Group: "shop"}
	routes := []standin.Route{route, {Name: "r2", Database: "invoices", Kind: standin.ReadYourWrites, Timeout: 1500, Target: 300, Priority: 2, Group: "shop", MaxAge: 2500}}
	route.Name, route.Database = fmt.Sprint("v", version), fmt.Sprint("only", version)
	routes = append(routes, route)
	if h.keys == nil {
		h.platform.Configure(version, h.group.ConnectionLimit, 1000, routes...)
		return
	}
	h.platform.ConfigureWorkspaces(version, h.group.ConnectionLimit, 1000, h.keys.declared(), routes...)
	h.keys.acknowledge()
}

// restoreStore changes the configuration and lets the store go back to copies of itself
// until end. The store's operator writes its newest configuration again.
func (h *harness) restoreStore(random *rand.Rand, end time.Time) {
	var copies []standin.Copy
	for time.Now().Before(end) {
		copies = append(copies, h.platform.Copy())
		time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
		h.configure(func() {})
		if random.IntN(3) > 0 {
			continue
		}
		h.platform.SetDown(true)
		time.Sleep(time.Duration(100+random.IntN(1200)) * time.Millisecond)
		h.platform.Restore(copies[random.IntN(len(copies))], true)
		h.platform.SetDown(false)
	}
}

// By the platform's rules, a proxy has to know a configuration configurationLimit after
// it was written, once neither its links nor the store were disturbed for stableWindow. A
// connection that a fault has left silent is such a disturbance.
const (
	stableWindow       = 4 * time.Second
	configurationLimit = 3 * time.Second
)

// awaitConfiguration waits until every proxy has the last configuration in force, whose
// route is the only one for its database, and takes its newest key. Each proxy that has not at end is a violation.
func (h *harness) awaitConfiguration(end time.Time) {
	h.configureMu.Lock()
	database := fmt.Sprint("only", h.version)
	h.configureMu.Unlock()
	key := standin.CallerKey
	if h.keys != nil {
		key = h.keys.newest()
	}
	for _, p := range h.proxies {
		for {
			c, err := h.open(p, database, key)
			if err == nil {
				c.Close()
				break
			}
			if time.Now().After(end) {
				h.addViolation("%s does not serve %s of the last configuration: %v; its log ends with %s", p.name, database, err, h.lastLogLine(p))
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// heal clears the faults of links and databases, resumes stopped processes and
// starts those that have exited.
func (h *harness) heal() {
	h.platformLink.Set(None)
	h.storeLink.Set(None)
	for _, l := range h.databaseLinks {
		l.Set(None)
	}
	for _, d := range h.group.Databases() {
		d.SetDown(false)
	}
	for _, p := range h.proxies {
		p.signal(syscall.SIGCONT)
		h.startIfExited(p)
	}
}

// maxRecoveryTime is the time after the last fault within which the platform's
// rules require every proxy to serve writes again.
const maxRecoveryTime = 12 * time.Second

// awaitWrites waits until every proxy has served a write. Each proxy that has
// not done so after maxRecoveryTime is a violation.
func (h *harness) awaitWrites() {
	end := time.Now().Add(maxRecoveryTime)
	waiting := slices.Clone(h.proxies)
	failures := make(map[*process]error)
	for len(waiting) > 0 && time.Now().Before(end) {
		waiting = slices.DeleteFunc(waiting, func(p *process) bool {
			failures[p] = h.probeWrite(p)
			return failures[p] == nil
		})
		time.Sleep(50 * time.Millisecond)
	}
	for _, p := range waiting {
		h.addViolation("%s does not serve writes %s after the last fault: %v; its log ends with %s",
			p.name, maxRecoveryTime, failures[p], h.lastLogLine(p))
	}
}

// probeWrite sends one write to a proxy. It returns an error unless the write
// was acknowledged.
func (h *harness) probeWrite(p *process) error {
	key := standin.CallerKey
	if h.keys != nil {
		key = steadyKey
	}
	c, err := h.open(p, "fills", key)
	if err != nil {
		return err
	}
	defer c.Close()
	r, err := c.Query("WRITE end" + p.name + " v")
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	return err
}
