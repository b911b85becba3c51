//go:build review

// Package kit runs the processes of a case: proxies started with the command of the
// deploy file, and the record of what was sent, answered and run.
package kit

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Program is the command of the deploy file.
const Program = "target/oleanderflow-front"

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

// NewRecord creates the record in a folder.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &Record{file: f, begin: time.Now()}, err
}

// Add writes one line with the time since the start.
func (r *Record) Add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, arguments...))
}

// Trouble reports whether the disruption is to be caused.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Bounds are the settings of a proxy that come from the bounds of a site.
type Bounds struct {
	GraceSeconds, DrainMillis, MemoryMB, FileDescriptors int
	ProcessorShare                                       float64
	// StartDelay is the time between the starts of two proxies.
	StartDelay time.Duration
}

// Fleet is the proxies of a case.
type Fleet struct {
	Proxies []*Proxy
	record  *Record
	dir     string
	network string
	guard   net.Listener
}

// NewFleet starts proxies of the given availability zones on loopback addresses of their
// own. Their settings are those that the template of the deploy file gives.
func NewFleet(r *Record, b Bounds, zones []string, storeAddress, promotionAddress string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{record: r, dir: dir}
	for range 1000 {
		f.network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
		if f.guard, err = net.Listen("tcp4", f.network+".254:1024"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	for i, zone := range zones {
		host := fmt.Sprintf("%s.%d", f.network, i+1)
		p := &Proxy{fleet: f, Name: fmt.Sprintf("front-%s-%d", zone, i+1), Callers: host + ":8226", ready: host + ":8227"}
		p.settings = filepath.Join(dir, p.Name+".ini")
		text := fmt.Sprintf(`[instance]
name = %s
availabilityZone = %s
firstStart = FIRST
memoryMB = %d
fileDescriptors = %d
processorShare = %g
processorSpeed = 1

[listen]
callers = %s
ready = %s
metrics = %s:7740
peers = %s:7755

[platform]
store = %s
promotions = %s

[shutdown]
graceSeconds = GRACE

[drain]
limitMilliseconds = %d
`, p.Name, zone, b.MemoryMB, b.FileDescriptors, b.ProcessorShare, p.Callers, p.ready, host, host, storeAddress, promotionAddress, b.DrainMillis)
		text = strings.Replace(text, "GRACE", strconv.Itoa(b.GraceSeconds), 1)
		p.text = text
		f.Proxies = append(f.Proxies, p)
	}
	for _, p := range f.Proxies {
		if err := p.Start(); err != nil {
			return nil, err
		}
		time.Sleep(b.StartDelay)
	}
	return f, nil
}

// Close kills all proxies and removes their files. With KEEP=1 it keeps them.
func (f *Fleet) Close() {
	for _, p := range f.Proxies {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
		p.Wait()
	}
	_ = f.guard.Close()
	if os.Getenv("KEEP") == "1" {
		fmt.Println("logs in", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// AwaitReady waits until all proxies are ready.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	for _, p := range f.Proxies {
		if err := p.AwaitReady(limit); err != nil {
			return err
		}
	}
	return nil
}

// Proxy is one proxy process.
type Proxy struct {
	Name, Callers   string
	ready, settings string
	// text is what the settings file holds, with FIRST for whether the whole system starts
	// for the first time.
	text    string
	fleet   *Fleet
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// SetGrace changes grace_s in the settings file, as the platform does.
func (p *Proxy) SetGrace(before, after string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.record.Add("settings of %s: grace_s %s instead of %s", p.Name, after, before)
	p.text = strings.Replace(p.text, "graceSeconds = "+before, "graceSeconds = "+after, 1)
	return os.WriteFile(p.settings, []byte(strings.Replace(p.text, "FIRST", "false", 1)), 0o600)
}

// KeepRunning starts the process again, after a short delay, whenever it has ended, until
// stop is closed. It returns how often.
func (p *Proxy) KeepRunning(stop <-chan struct{}) (starts int) {
	for {
		p.mu.Lock()
		exited := p.exited
		p.mu.Unlock()
		select {
		case <-stop:
			return starts
		case <-exited:
		}
		p.mu.Lock()
		code := p.command.ProcessState.ExitCode()
		p.mu.Unlock()
		p.fleet.record.Add("%s has ended with code %d", p.Name, code)
		select {
		case <-stop:
			return starts
		case <-time.After(500 * time.Millisecond):
		}
		if err := p.Start(); err != nil {
			p.fleet.record.Add("%s: %v", p.Name, err)
			return starts
		}
		starts++
	}
}

// Start starts the process.
func (p *Proxy) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.command == nil
	if err := os.WriteFile(p.settings, []byte(strings.Replace(p.text, "FIRST", strconv.FormatBool(first), 1)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.fleet.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(Program, "--settings", p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	command, exited := p.command, make(chan struct{})
	p.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Proxy) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

// Wait waits until the process has exited.
func (p *Proxy) Wait() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Kill ends the process with SIGKILL.
func (p *Proxy) Kill() {
	p.fleet.record.Add("SIGKILL %s", p.Name)
	p.Signal(syscall.SIGKILL)
	p.Wait()
}

// AwaitReady waits until the ready probe gets a 200.
func (p *Proxy) AwaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	client := http.Client{Timeout: time.Second}
	for {
		response, err := client.Get("http://" + p.ready + "/readiness")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if time.Now().After(until) {
			return fmt.Errorf("%s is not ready after %s", p.Name, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
