package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// process is a proxy that runs as a separate operating system process.
type process struct {
	name, callerAddress, settingsFile string
	mu                                sync.Mutex
	command                           *exec.Cmd
	// exited is closed when command has exited.
	exited chan struct{}
}

// reserveNetwork returns the first three octets of a loopback network that no
// other run uses until the test ends. Restarted processes keep their addresses,
// so no other listener may take one while its process is down. Outgoing
// connections do not take one, because their source address is 127.0.0.1. A
// listener on host 254 reserves the network.
func reserveNetwork(t *testing.T) string {
	for range 1000 {
		network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
		l, err := net.Listen("tcp4", network+".254:1024")
		if err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return network
		}
	}
	t.Fatal("no free loopback network found in 1000 attempts")
	return ""
}

// newProcess writes the settings of proxy i and starts it. Each proxy has a
// loopback address of its own.
func (h *harness) newProcess(i int) *process {
	p := &process{name: fmt.Sprint("front-", i)}
	port := 5000
	address := func() string {
		port++
		return fmt.Sprintf("%s.%d:%d", h.network, i+1, port)
	}
	p.callerAddress = address()
	p.settingsFile = filepath.Join(h.dir, p.name+".ini")
	text := fmt.Sprintf("[instance]\nname = %s\navailabilityZone = a\n[listen]\ncallers = %s\nready = %s\nmetrics = %s\npeers = %s\n"+
		"[platform]\nstore = %s\npromotions = %s\n[shutdown]\ngraceSeconds = 3\n",
		p.name, p.callerAddress, address(), address(), address(), h.platformLink.Address(), h.platformLink.Address())
	if h.keys != nil {
		text += workspaceSettings(i)
	}
	require.NoError(h.t, os.WriteFile(p.settingsFile, []byte(text), 0o600))
	h.start(p)
	return p
}

// workspaceSettings returns the settings of proxy i that concern workspaces.
func workspaceSettings(i int) string {
	share := 0.134
	if i == 0 {
		share = 0.8
	}
	return fmt.Sprintf("[instance]\nprocessorShare = %g\n[placement]\nbyCapacity = true\n[revocation]\nstrict = true\nlimitMilliseconds = %d\n"+
		"[quota]\nwindowSeconds = %g\novershoot = %g\nslack = %d\n", share, revocationLimit.Milliseconds(), quotaWindow.Seconds(), quotaOvershoot, quotaSlack)
}

func (h *harness) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.startLocked(p)
}

// startLocked starts the process unless the run is over. The caller holds p.mu.
func (h *harness) startLocked(p *process) {
	select {
	case <-h.stop:
		return
	default:
	}
	log, err := os.OpenFile(filepath.Join(h.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(h.t, err)
	defer func() { _ = log.Close() }()
	p.command = exec.Command(h.program, "--settings", p.settingsFile, "--log-level", cmp.Or(h.logLevel, "info"))
	p.command.Stdout, p.command.Stderr = log, log
	require.NoError(h.t, p.command.Start())
	command, exited := p.command, make(chan struct{})
	p.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
}

// signal sends s to the process unless it has exited. It returns a channel that
// is closed when the process has exited.
func (p *process) signal(s syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(s)
	}
	return p.exited
}

func (h *harness) killAll() {
	for _, p := range h.proxies {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// maxStopTime is the time that a process may take to exit after SIGTERM: its
// grace period of 3 s, the longest SIGSTOP that a fault may add, and 1 s for a
// busy machine. In runs with workspaces, a SIGSTOP may be a long fault.
const maxStopTime = 3*time.Second + 1700*time.Millisecond + time.Second

// restartAfterExit waits until ended is closed and starts the process again,
// unless an overlapping fault has already restarted it.
func (h *harness) restartAfterExit(p *process, ended chan struct{}) {
	limit := maxStopTime
	if h.keys != nil {
		limit += minLongFault + longFaultRange
	}
	select {
	case <-ended:
	case <-time.After(limit):
		h.addViolation("%s did not exit in time after SIGKILL or SIGTERM", p.name)
		p.signal(syscall.SIGKILL)
		<-ended
	}
	h.startIfExited(p)
}

// startIfExited starts a process again if it has exited, as the platform does.
// A process that is still starting does not handle signals yet, so any signal
// may end it.
func (h *harness) startIfExited(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		h.startLocked(p)
	default:
	}
}

func (h *harness) lastLogLine(p *process) string {
	text, err := os.ReadFile(filepath.Join(h.dir, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// Guards against a restart that fails because another run or an outgoing
// connection has taken the process's address in the meantime.
func TestAddressesBelongToOneRun(t *testing.T) {
	const runs, processes = 40, 3
	var addresses []string
	for range runs {
		h := &harness{t: t, dir: t.TempDir(), network: reserveNetwork(t), stop: make(chan struct{}), platformLink: &Link{listener: closedListener(t)}}
		close(h.stop) // so that newProcess starts no process
		for i := range processes {
			text, err := os.ReadFile(h.newProcess(i).settingsFile)
			require.NoError(t, err)
			addresses = append(addresses, regexp.MustCompile(`127[0-9.]+:[0-9]+`).FindAllString(string(text), 4)...)
		}
	}
	require.Len(t, addresses, runs*processes*4)
	for _, a := range addresses {
		l, err := net.Listen("tcp4", a)
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		c, err := net.Dial("tcp4", a)
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(c.LocalAddr().String(), "127.0.0.1:"))
		require.NoError(t, c.Close())
	}
}

// closedListener returns a listener whose address refuses connections.
func closedListener(t *testing.T) net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l
}
