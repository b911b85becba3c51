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

const readyWithin = 20 * time.Second

// program is the built binary.
func program(t *testing.T) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "oleanderflow")
	build := exec.Command("go", "build", "-o", name, "../..")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	return name
}

// run starts the program and waits until it is ready.
func run(t *testing.T, name string, environment []string, args ...string) *exec.Cmd {
	t.Helper()
	command := exec.Command(name, args...)
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
	case <-time.After(readyWithin):
		require.Fail(t, "not ready", "%v", args)
	}
	return command
}

// freePorts returns a port after which a development system's ports, and
// those of three more proxies, are free. It looks below the ports that the
// system hands out to connections.
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

// Separate processes under load: a proxy is killed, another stands still for
// two seconds, the store goes, and the primary is lost. Every promise holds by
// the record that the load keeps.
func TestPromisesOverKilledAndFrozenProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	name := program(t)
	base := freePorts(t)
	at := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", base+offset) }
	run(t, name, nil, "--log-level", "error", "dev", "--proxies", "0", "--listen", at(0))
	environment := []string{
		"OLEANDERFLOW_PLATFORM_ENDPOINT=http://" + at(devPlatformPort),
		"OLEANDERFLOW_PLATFORM_KEY_ID=test", "OLEANDERFLOW_PLATFORM_SECRET=test",
	}
	settings := caller.Settings{Group: devGroup, Sessions: 9, Seed: 1, Pause: 2 * time.Millisecond}
	var processes []*exec.Cmd
	for i, zone := range devZones {
		settings.Addresses = append(settings.Addresses, at(40+i))
		processes = append(processes, run(t, name, environment, "--log-level", "error", "proxy",
			"--name", fmt.Sprint("p", i), "--zone", zone, "--listen", at(40+i), "--peer-listen", at(50+i), "--peer", "p0,"+devZones[0]+","+at(50)))
	}
	awaitServing(t, settings.Addresses)
	ctx := context.Background()
	load, err := caller.Start(ctx, settings)
	require.NoError(t, err)
	time.Sleep(time.Second)
	require.NoError(t, processes[2].Process.Kill())
	time.Sleep(500 * time.Millisecond)
	fault := func(kind string) {
		require.NoError(t, proxy.CallAddress(ctx, at(devControlPort), methodFault, FaultMessage{Group: devGroup, Kind: kind}, nil))
	}
	fault("storeDown")
	require.NoError(t, processes[1].Process.Signal(syscall.SIGSTOP))
	time.Sleep(2 * time.Second)
	require.NoError(t, processes[1].Process.Signal(syscall.SIGCONT))
	time.Sleep(500 * time.Millisecond)
	load.NoteFault()
	fault("stopPrimary")
	time.Sleep(3 * time.Second)
	fault("heal")
	fault("storeUp")
	time.Sleep(time.Second)
	report, err := load.Stop(ctx)
	require.NoError(t, err)
	t.Logf("%+v, gaps %v", report.Counts, report.FailoverGaps)
	require.Len(t, report.FailoverGaps, 1, "writes did not come back")
	for _, p := range report.Guarantees {
		require.Zero(t, p.Broken, "%s: %s", p.Name, p.Example)
	}
}

// awaitServing waits until every proxy answers a statement.
func awaitServing(t *testing.T, addresses []string) {
	t.Helper()
	for _, address := range addresses {
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, err := caller.Bench(ctx, caller.BenchSettings{Address: address, Group: devGroup, Sessions: 1, Duration: time.Millisecond})
			return err == nil
		}, readyWithin, 50*time.Millisecond, address)
	}
}

// Ten thousand connections that send nothing to one proxy hold bounded memory,
// leave room for a caller, and are ended after the declared time.
func TestTenThousandConnectionsThatSendNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const count = 10_000
	var files syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files))
	if files.Cur < count+1000 {
		t.Skipf("only %d files may be open", files.Cur)
	}
	name := program(t)
	base := freePorts(t)
	at := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", base+offset) }
	run(t, name, nil, "--log-level", "error", "dev", "--proxies", "0", "--listen", at(0))
	process := run(t, name, []string{
		"OLEANDERFLOW_PLATFORM_ENDPOINT=http://" + at(devPlatformPort),
		"OLEANDERFLOW_PLATFORM_KEY_ID=test", "OLEANDERFLOW_PLATFORM_SECRET=test",
	}, "--log-level", "error", "proxy", "--name", "p0", "--zone", devZones[0], "--listen", at(40), "--peer-listen", at(50))
	awaitServing(t, []string{at(40)})
	before := residentKilobytes(t, process)
	conns := make([]net.Conn, 0, count)
	for range count {
		c, err := net.Dial("tcp", at(40))
		require.NoError(t, err)
		conns = append(conns, c)
	}
	held := residentKilobytes(t, process) - before
	t.Logf("%d connections hold %d KB, %.1f KB each", count, held, float64(held)/count)
	require.Less(t, held, 20*count, "more than 20 KB for each connection")
	awaitServing(t, []string{at(40)})
	for _, c := range conns {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(30*time.Second)))
		_, err := io.Copy(io.Discard, c)
		require.NoError(t, err, "the connection was not ended")
		_ = c.Close()
	}
}

// residentKilobytes reads a process's resident memory.
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
