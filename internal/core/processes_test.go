package core

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/standin/caller"
)

const readyTimeout = 20 * time.Second

// buildBinary builds the program and returns the path of its binary.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "oleanderflow")
	build := exec.Command("go", "build", "-o", binary, "../..")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	return binary
}

// startProcess starts the program and waits until it prints that it is ready.
// The process is killed at the end of the test.
func startProcess(t *testing.T, binary string, environment []string, args ...string) *exec.Cmd {
	t.Helper()
	command := exec.Command(binary, args...)
	command.Env = append(os.Environ(), environment...)
	out, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	ready := make(chan bool, 1)
	go func() {
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			if strings.HasPrefix(scanner.Text(), "ready") {
				ready <- true
			}
		}
	}()
	select {
	case <-ready:
	case <-time.After(readyTimeout):
		require.Fail(t, "not ready", "%v", args)
	}
	return command
}

// freePorts finds 64 consecutive free ports, enough for a development system
// and three more proxies, and returns the first. It searches below the
// ephemeral ports that the kernel assigns to outgoing connections.
func freePorts(t *testing.T) int {
	t.Helper()
	const first, last, step = 10_000, 32_000, 64
	start := os.Getpid() % ((last - first) / step)
	for n := range (last - first) / step {
		port := first + (start+n)%((last-first)/step)*step
		if allFree(port, port+step) {
			return port
		}
	}
	require.Fail(t, "no free ports")
	return 0
}

// allFree reports whether all ports in the range [from, to) are free.
func allFree(from, to int) bool {
	for port := from; port < to; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// Runs proxies as separate processes under load. One proxy is killed, the
// platform's store becomes unreachable, another proxy is suspended for two
// seconds and the primary is stopped. The load generator checks that every
// guarantee is kept.
func TestGuaranteesHoldWithKilledAndSuspendedProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := buildBinary(t)
	base := freePorts(t)
	addr := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", base+offset) }
	startProcess(t, binary, nil, "--log-level", "error", "dev", "--proxies", "0", "--listen", addr(0))
	environment := []string{
		"OLEANDERFLOW_PLATFORM_ENDPOINT=http://" + addr(devPlatformPortOffset),
		"OLEANDERFLOW_PLATFORM_KEY_ID=test", "OLEANDERFLOW_PLATFORM_SECRET=test",
	}
	settings := caller.Settings{Group: devGroup, Sessions: 9, Seed: 1, Pause: 2 * time.Millisecond}
	var processes []*exec.Cmd
	for i, zone := range devZones {
		settings.Addresses = append(settings.Addresses, addr(40+i))
		processes = append(processes, startProcess(t, binary, environment, "--log-level", "error", "proxy",
			"--name", fmt.Sprint("p", i), "--zone", zone, "--listen", addr(40+i), "--peer-listen", addr(50+i), "--peer", "p0,"+devZones[0]+","+addr(50)))
	}
	awaitServing(t, settings.Addresses)
	ctx := context.Background()
	load, err := caller.Start(ctx, settings)
	require.NoError(t, err)
	time.Sleep(time.Second)
	require.NoError(t, processes[2].Process.Kill())
	time.Sleep(500 * time.Millisecond)
	injectFault := func(kind string) {
		require.NoError(t, proxy.CallAddress(ctx, addr(devControlPortOffset), methodFault, FaultMessage{Group: devGroup, Kind: kind}, nil))
	}
	injectFault("storeDown")
	require.NoError(t, processes[1].Process.Signal(syscall.SIGSTOP))
	time.Sleep(2 * time.Second)
	require.NoError(t, processes[1].Process.Signal(syscall.SIGCONT))
	time.Sleep(500 * time.Millisecond)
	load.NoteFault()
	injectFault("stopPrimary")
	time.Sleep(3 * time.Second)
	injectFault("heal")
	injectFault("storeUp")
	time.Sleep(time.Second)
	report, err := load.Stop(ctx)
	require.NoError(t, err)
	t.Logf("%+v, gaps %v", report.Counts, report.FailoverGaps)
	require.Len(t, report.FailoverGaps, 1, "writes did not resume after the primary was lost")
	for _, g := range report.Guarantees {
		require.Zero(t, g.Broken, "%s: %s", g.Name, g.Example)
	}
}

// awaitServing waits until the proxy at every address answers a statement.
func awaitServing(t *testing.T, addresses []string) {
	t.Helper()
	for _, address := range addresses {
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, err := caller.Bench(ctx, caller.BenchSettings{Address: address, Group: devGroup, Sessions: 1, Duration: time.Millisecond})
			return err == nil
		}, readyTimeout, 50*time.Millisecond, address)
	}
}

// Ten thousand connections that never send a startup message must take a
// bounded amount of the proxy's memory, leave room for a caller, and be closed
// at startupTimeout.
func TestTenThousandConnectionsWithoutStartupMessage(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const count = 10_000
	var fileLimit syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &fileLimit))
	if fileLimit.Cur < count+1000 {
		t.Skipf("needs 11000 open files, the limit is %d", fileLimit.Cur)
	}
	binary := buildBinary(t)
	base := freePorts(t)
	addr := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", base+offset) }
	startProcess(t, binary, nil, "--log-level", "error", "dev", "--proxies", "0", "--listen", addr(0))
	process := startProcess(t, binary, []string{
		"OLEANDERFLOW_PLATFORM_ENDPOINT=http://" + addr(devPlatformPortOffset),
		"OLEANDERFLOW_PLATFORM_KEY_ID=test", "OLEANDERFLOW_PLATFORM_SECRET=test",
	}, "--log-level", "error", "proxy", "--name", "p0", "--zone", devZones[0], "--listen", addr(40), "--peer-listen", addr(50))
	awaitServing(t, []string{addr(40)})
	before := residentKilobytes(t, process)
	conns := make([]net.Conn, 0, count)
	for range count {
		c, err := net.Dial("tcp", addr(40))
		require.NoError(t, err)
		conns = append(conns, c)
	}
	usedKB := residentKilobytes(t, process) - before
	t.Logf("%d connections use %d KB, %.1f KB each", count, usedKB, float64(usedKB)/count)
	require.Less(t, usedKB, 20*count, "more than 20 KB per connection")
	awaitServing(t, []string{addr(40)})
	for _, c := range conns {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(30*time.Second)))
		_, err := io.Copy(io.Discard, c)
		require.NoError(t, err, "the proxy did not close the connection")
		_ = c.Close()
	}
}

// residentKilobytes returns the resident set size of a process.
func residentKilobytes(t *testing.T, c *exec.Cmd) int {
	t.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(content), "VmRSS:")
	require.True(t, found)
	var kilobytes int
	_, err = fmt.Sscan(rest, &kilobytes)
	require.NoError(t, err)
	return kilobytes
}
