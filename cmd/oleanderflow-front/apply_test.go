package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/platform/standin"
)

const (
	// maxStatementTime and maxApplyTime are the requirements of docs/design/recovery.md,
	// section 6.
	maxStatementTime = 50 * time.Millisecond
	maxApplyTime     = 5 * time.Second
	// baseRoutes is the number of routes of a large site, addedRoutes that of the routes
	// which are added at once, and appliedWorkspaces the number of workspaces.
	baseRoutes        = 1400
	addedRoutes       = 2400
	appliedWorkspaces = 83
	// smallShare is the share of a core that a small proxy has, and sharePeriod the time in
	// which it may use it.
	smallShare  = 0.134
	sharePeriod = 100 * time.Millisecond
)

// runMainVariable makes the test binary run the program.
const runMainVariable = "OLEANDERFLOW_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// proxyProcess is a proxy that runs as a process of its own on one core, so that the
// stand-ins neither delay it nor count as its processor time.
type proxyProcess struct {
	command       *exec.Cmd
	caller, peers string
	// accepted receives the version of each configuration that is put in force, and the
	// time at which the log says so.
	accepted chan acceptedVersion
	// stops counts how often limitShare has stopped the process.
	stops atomic.Int64
}

type acceptedVersion struct {
	Version uint64
	at      time.Time
}

// startProcess starts a proxy of that name.
func startProcess(t *testing.T, p *standin.Platform, name string) *proxyProcess {
	t.Helper()
	addresses := reserveAddresses(t, 4)
	settings := filepath.Join(t.TempDir(), name+".ini")
	text := fmt.Sprintf("[instance]\nname = %s\navailabilityZone = a\n[listen]\ncallers = %s\nready = %s\nmetrics = %s\npeers = %s\n"+
		"[platform]\nstore = %s\npromotions = %s\n", name, addresses[0], addresses[1], addresses[2], addresses[3], p.Address(), p.Address())
	require.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	s := &proxyProcess{
		command: exec.Command(os.Args[0], "--settings", settings), caller: addresses[0], peers: addresses[3],
		accepted: make(chan acceptedVersion, 100),
	}
	s.command.Env = append(os.Environ(), runMainVariable+"=1", "GOMAXPROCS=1")
	s.command.Stderr = os.Stderr
	lines, err := s.command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, s.command.Start())
	go s.readLog(lines)
	t.Cleanup(func() {
		_ = s.command.Process.Signal(syscall.SIGCONT)
		_ = s.command.Process.Kill()
		_ = s.command.Wait()
	})
	return s
}

func (s *proxyProcess) readLog(lines io.Reader) {
	scanner := bufio.NewScanner(lines)
	for scanner.Scan() {
		var line struct {
			Msg, Time string
			Timestamp string `json:"ts"`
			Version   json.RawMessage
		}
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Msg != "configuration in force" {
			continue
		}
		// The log is written with a delay, so its own time counts.
		at, err := time.Parse("2006-01-02T15:04:05.000Z0700", line.Timestamp)
		a := acceptedVersion{at: at}
		if err == nil && json.Unmarshal(line.Version, &a.Version) == nil {
			s.accepted <- a
		}
	}
}

// awaitVersion returns when a version was put in force.
func (s *proxyProcess) awaitVersion(t *testing.T, version int) time.Time {
	t.Helper()
	timeout := time.After(2 * maxApplyTime)
	for {
		select {
		case a := <-s.accepted:
			if a.Version == uint64(version) {
				return a.at
			}
		case <-timeout:
			require.Fail(t, "configuration not in force", "version %d", version)
		}
	}
}

// processorTime returns the processor time that the process has used.
func (s *proxyProcess) processorTime() time.Duration {
	const processClock = 2 // CPUCLOCK_SCHED of the whole process
	var used syscall.Timespec
	id := uintptr(^s.command.Process.Pid)<<3 | processClock
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, id, uintptr(unsafe.Pointer(&used)), 0); errno != 0 {
		return 0
	}
	return time.Duration(used.Nano())
}

// limitShare stops the process for the rest of each sharePeriod in which it has used its
// share of a core, as a platform does that limits processor time, until the test ends.
func (s *proxyProcess) limitShare(t *testing.T, share float64) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		limit := time.Duration(share * float64(sharePeriod))
		used, stopped := s.processorTime(), false
		ticker, period := time.NewTicker(500*time.Microsecond), time.Now()
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				switch {
				case now.Sub(period) >= sharePeriod:
					// What was used too much counts in the next period.
					used, period = min(used+limit, s.processorTime()), now
					if stopped {
						_ = s.command.Process.Signal(syscall.SIGCONT)
						stopped = false
					}
				case !stopped && s.processorTime()-used >= limit:
					_ = s.command.Process.Signal(syscall.SIGSTOP)
					stopped = true
					s.stops.Add(1)
				}
			}
		}
	}()
	t.Cleanup(func() {
		close(done)
		<-ended
	})
}

// watchMachine returns a function that returns the longest time, since its last call, for
// which this process did not run at a time when it should have: the machine was busy.
func watchMachine(t *testing.T) func() time.Duration {
	const interval = time.Millisecond
	done := make(chan struct{})
	var longest atomic.Int64
	go func() {
		last := time.Now()
		for {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			now := time.Now()
			longest.Store(max(longest.Load(), int64(now.Sub(last)-interval)))
			last = now
		}
	}()
	t.Cleanup(func() { close(done) })
	return func() time.Duration { return time.Duration(longest.Swap(0)) }
}

// statementTimes sends a statement every few milliseconds, and records how long each took.
type statementTimes struct {
	mu    sync.Mutex
	taken []time.Duration
}

func (s *statementTimes) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken = nil
}

// sorted returns the times since the last reset, the shortest first.
func (s *statementTimes) sorted() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(slices.Values(s.taken))
}

// run sends statements over several sessions until the test ends.
func (s *statementTimes) run(t *testing.T, address string) {
	const sessions, interval = 4, 40 * time.Millisecond
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range sessions {
		var c *standin.Caller
		require.Eventually(t, func() bool {
			var err error
			c, err = standin.Open(address, "fills")
			return err == nil
		}, 10*time.Second, 20*time.Millisecond)
		queryUntilSuccess(t, c, "READ a")
		wg.Go(func() {
			defer c.Close()
			time.Sleep(time.Duration(i) * interval / sessions)
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-done:
					return
				case <-ticker.C:
				}
				began := time.Now()
				r, err := c.Query("READ a")
				took := time.Since(began)
				if err != nil || r.Error != "" {
					// Not answered.
					took = time.Hour
				}
				s.mu.Lock()
				s.taken = append(s.taken, took)
				s.mu.Unlock()
			}
		})
	}
	t.Cleanup(func() {
		close(done)
		wg.Wait()
	})
}

// largeRoutes returns the standard routes and n more.
func largeRoutes(n int) []standin.Route {
	list := slices.Clone(standardRoutes)
	for i := range n {
		list = append(list, standin.Route{
			Name: fmt.Sprint("generated-", i), Database: fmt.Sprintf("database-%d.example", i), Prefix: "/", Kind: standin.BoundedAge,
			Timeout: 3000, Target: 500, Priority: 2, Group: "shop", MaxAge: 1500,
		})
	}
	return list
}

// largeWorkspaces returns the workspace of the callers and others.
func largeWorkspaces() []standin.Workspace {
	list := []standin.Workspace{{Name: "callers", Keys: []string{standin.CallerKey}}}
	for i := range appliedWorkspaces - 1 {
		list = append(list, standin.Workspace{Name: fmt.Sprint("workspace-", i), Keys: []string{fmt.Sprint("key-", i)}, Rate: 10, Burst: 5})
	}
	return list
}

// A configuration that arrives must not delay statements: a proxy that decoded it in one
// piece answered nobody meanwhile, for a second on a small share of a core.
func TestStatementsWhileConfigurationsArrive(t *testing.T) {
	for _, c := range []struct {
		name    string
		share   float64
		relayed bool
	}{{"core", 1, false}, {"share", smallShare, false}, {"shareRelayed", smallShare, true}} {
		t.Run(c.name, func(t *testing.T) {
			a := startApplication(t, c.relayed)
			for _, s := range a.watched {
				if c.share < 1 {
					s.limitShare(t, c.share)
				}
			}
			base, all := largeRoutes(baseRoutes), largeRoutes(baseRoutes+addedRoutes)
			changed := slices.Clone(all)
			changed[700].Timeout = 2500
			for _, step := range []applicationStep{
				{"same", base, base}, {"added", base, all}, {"changed", all, changed}, {"removed", all, base}, {"addedAgain", base, all}, {"sameAgain", all, all},
			} {
				a.check(t, step)
			}
		})
	}
}

// application is a proxy that applies configurations while it answers statements.
type application struct {
	platform *standin.Platform
	measured *proxyProcess
	// watched has the measured process and the relay that it follows, if any.
	watched []*proxyProcess
	// statements are those that are sent to the watched processes.
	statements statementTimes
	// busy is what watchMachine returns, selfDelay the run delay of the test, which answers
	// for the databases, and delays those of the watched processes.
	busy, selfDelay func() time.Duration
	delays          []func() time.Duration
	version         int
	inForce         []standin.Route
}

// applicationStep replaces one configuration by another.
type applicationStep struct {
	name          string
	before, after []standin.Route
}

// startApplication starts a proxy that follows the store, or a relay if relayed is set.
func startApplication(t *testing.T, relayed bool) *application {
	group, err := standin.NewGroup("shop", []string{"a", "b", "c"}, 0)
	require.NoError(t, err)
	t.Cleanup(group.Close)
	a := &application{platform: standin.NewPlatform(group)}
	t.Cleanup(a.platform.Close)
	a.write(largeRoutes(baseRoutes))
	name := "front-0"
	if relayed {
		var relay *proxyProcess
		relay, name = startRelay(t, a.platform)
		a.watched = append(a.watched, relay)
	}
	a.measured = startProcess(t, a.platform, name)
	a.watched = append(a.watched, a.measured)
	a.awaitVersion(t)
	t.Logf("processor time until the first configuration was in force: %s", a.measured.processorTime())
	for _, s := range a.watched {
		a.statements.run(t, s.caller)
	}
	for _, s := range a.watched {
		a.delays = append(a.delays, watchRunDelays(t, s.command.Process.Pid))
	}
	a.busy, a.selfDelay = watchMachine(t), watchRunDelays(t, os.Getpid())
	time.Sleep(time.Second)
	return a
}

func (a *application) write(routes []standin.Route) time.Time {
	a.version++
	a.inForce = routes
	a.platform.ConfigureWorkspaces(a.version, 2000, transactionIdleMillis, largeWorkspaces(), routes...)
	return time.Now()
}

// awaitVersion returns when the last configuration was put in force everywhere.
func (a *application) awaitVersion(t *testing.T) time.Time {
	var last time.Time
	for _, s := range a.watched {
		if at := s.awaitVersion(t, a.version); at.After(last) {
			last = at
		}
	}
	return last
}

// stops returns how often the processes were stopped since they had used their share.
func (a *application) stops() int64 {
	sum := int64(0)
	for _, s := range a.watched {
		sum += s.stops.Load()
	}
	return sum
}

// machineDelay returns the longest times, since the last call, for which the machine did not
// run a proxy and then this process, though they could run.
func (a *application) machineDelay() time.Duration {
	longest := time.Duration(0)
	for _, delay := range a.delays {
		longest = max(longest, delay())
	}
	return longest + max(a.busy(), a.selfDelay())
}

// check replaces a configuration and checks how long statements took meanwhile. It does so
// again if the machine's delay is longer than maxBusy and than what a statement took beyond
// its limit. A proxy that was stopped because it had used its share is at fault itself.
func (a *application) check(t *testing.T, step applicationStep) {
	const attempts, calm, maxBusy = 8, 600 * time.Millisecond, 15 * time.Millisecond
	for range attempts {
		if len(a.inForce) != len(step.before) {
			a.write(step.before)
			a.awaitVersion(t)
		}
		time.Sleep(calm)
		before, began := a.measured.processorTime(), time.Now()
		time.Sleep(calm)
		usual := float64(a.measured.processorTime()-before) / float64(time.Since(began))
		a.statements.reset()
		a.machineDelay()
		stops := a.stops()
		before, began = a.measured.processorTime(), time.Now()
		written := a.write(step.after)
		inForce := a.awaitVersion(t).Sub(written)
		time.Sleep(calm)
		used := a.measured.processorTime() - before - time.Duration(usual*float64(time.Since(began)))
		times, delay := a.statements.sorted(), a.machineDelay()
		stops = a.stops() - stops
		require.NotEmpty(t, times)
		longest := times[len(times)-1]
		t.Logf("%-10s statements %d, median %s, longest %s; in force after %s; processor time %s; stopped %d times; delay by the machine %s", step.name, len(times),
			times[len(times)/2].Round(10*time.Microsecond), longest.Round(10*time.Microsecond), inForce.Round(time.Millisecond),
			used.Round(100*time.Microsecond), stops, delay.Round(100*time.Microsecond))
		if longest > maxStatementTime && delay > max(maxBusy, longest-maxStatementTime) && stops == 0 {
			continue
		}
		require.LessOrEqual(t, longest, maxStatementTime, step.name)
		require.LessOrEqual(t, inForce, maxApplyTime, step.name)
		return
	}
	require.Fail(t, "the machine was busy in each attempt", step.name)
}

// startRelay starts a proxy that is a relay, and returns the name of one that follows it.
// The other members of a fleet that is large enough for relays are rows with its address.
func startRelay(t *testing.T, p *standin.Platform) (*proxyProcess, string) {
	const fleet, relays = 26, 3
	members := make([]proxy.Peer, 0, fleet)
	for i := range fleet {
		members = append(members, proxy.Peer{Name: fmt.Sprint("front-", i), Zone: "a"})
	}
	chosen := proxy.Choose("relays", members, relays)
	relay := startProcess(t, p, chosen[0].Name)
	follower := ""
	for _, m := range members {
		if follower == "" && !proxy.ContainsPeer(chosen, m.Name) {
			follower = m.Name
			continue
		}
		if m.Address = relay.peers; m.Name != chosen[0].Name {
			p.Write("oleanderflowMembers", m.Name, m)
		}
	}
	return relay, follower
}

// reserveAddresses returns loopback addresses that were free a moment ago.
func reserveAddresses(t *testing.T, n int) []string {
	list := make([]string, 0, n)
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().String())
	}
	return list
}
