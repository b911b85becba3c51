//go:build review

// Kit-2 plays the cases 6 to 10 of the review. Each starts the deployed program as
// separate processes beside the project's stand-ins of the platform.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// world is a small deployment: one database group of three databases, the platform and
// some proxies.
type world struct {
	trouble bool
	dir     string
	network string
	program string
	group   *standin.Group

	platform  *standin.Platform
	databases []*standin.Database
	links     map[*standin.Database]*link
	back      map[*standin.Database]chan struct{}
	proxies   []*proxy
	// store and promotions are the addresses that the proxies are given.
	store, promotions string

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

// proxy is a process of the deployed program.
type proxy struct {
	name, address, ready, settings string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// note writes a line to record.txt.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// impossible ends the case with the code for one that could not run.
func (w *world) impossible(format string, args ...any) {
	w.note("the case could not run: "+format, args...)
	w.end(2)
}

// end ends all processes of the case and exits.
func (w *world) end(code int) {
	for _, p := range w.proxies {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	w.note("exit code %d", code)
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	os.Exit(code)
}

// reserveNetwork returns the first three octets of a loopback network that no other run
// uses.
func reserveNetwork() string {
	for range 1000 {
		network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
		if l, err := net.Listen("tcp4", network+".254:1024"); err == nil {
			reserved = append(reserved, l)
			return network
		}
	}
	return ""
}

// reserved keeps the listeners of reserveNetwork open.
var reserved []net.Listener

// newWorld starts the databases and the platform, without proxies.
func newWorld(folder string, timing standin.Timing) *world {
	w := &world{trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if w.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		w.impossible("ended by signal %s", <-stop)
	}()
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		w.impossible("%v", err)
	}
	// The command of the deploy file.
	w.program = filepath.Join(root, "target", "oleanderflow-front")
	if _, err := os.Stat(w.program); err != nil {
		w.impossible("%v", err)
	}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		w.impossible("%v", err)
	}
	w.network = reserveNetwork()
	if w.group, err = standin.NewGroup("shop", []string{"a", "b", "c"}, 0); err != nil {
		w.impossible("%v", err)
	}
	w.group.ConnectionLimit = limit
	w.group.Timing = timing
	w.databases = w.group.Databases()
	w.links, w.back = make(map[*standin.Database]*link), make(map[*standin.Database]chan struct{})
	for i, d := range w.databases {
		l, err := newLink(fmt.Sprintf("%s.%d:6000", w.network, 101+i), d.Address())
		if err != nil {
			w.impossible("%v", err)
		}
		w.links[d], d.AdvertisedAddress = l, l.address
	}
	return w
}

// limit is how many connections each database accepts.
var limit = 47

// startPlatform starts the store and the promotion call.
func (w *world) startPlatform() {
	w.platform = standin.NewPlatform(w.group)
	w.store, w.promotions = w.platform.Address(), w.platform.Address()
}

// configure writes the configuration as the operator does: each commit is acknowledged once
// one replica has received it.
func (w *world) configure(routes ...standin.Route) {
	w.platform.Write("op", "config", map[string]any{
		"version": 1, "routes": routes,
		"services": []map[string]any{{
			"name": w.group.Name, "health_path": "/health", "connection_limit": limit, "protocol": "h1", "transport_security": false, "sync_replicas": 1,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "transaction_idle_ms": 3000},
	})
}

// startProxies starts proxies with settings as the template of the deploy file gives them
// for a deployment of small machines, and waits until they are ready.
func (w *world) startProxies(count int) {
	for i := range count {
		p := &proxy{name: fmt.Sprint("front-", i)}
		port := 5000
		address := func() string {
			port++
			return fmt.Sprintf("%s.%d:%d", w.network, i+1, port)
		}
		p.address, p.ready = address(), address()
		p.settings = filepath.Join(w.dir, p.name+".ini")
		text := fmt.Sprintf("[instance]\nname = %s\navailabilityZone = %c\nfirstStart = false\nmemoryMB = 206\nfileDescriptors = 3010\nprocessorShare = 0.272\nprocessorSpeed = 1\n"+
			"[listen]\ncallers = %s\nready = %s\nmetrics = %s\npeers = %s\n[platform]\nstore = %s\npromotions = %s\n"+
			"[shutdown]\ngraceSeconds = 6\n[drain]\nlimitMilliseconds = 7000\n[placement]\n\n[revocation]\nstrict = \nlimitMilliseconds = \n",
			p.name, 'a'+i%3, p.address, p.ready, address(), address(), w.store, w.promotions)
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			w.impossible("%v", err)
		}
		w.proxies = append(w.proxies, p)
		w.start(p)
	}
	for _, p := range w.proxies {
		if !w.await(15*time.Second, func() bool { return isReady(p.ready) }) {
			w.impossible("%s is not ready", p.name)
		}
	}
	w.note("%d proxies are ready", count)
}

func (w *world) start(p *proxy) {
	log, err := os.OpenFile(filepath.Join(w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.impossible("%v", err)
	}
	defer func() { _ = log.Close() }()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = exec.Command(w.program)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "OLEANDERFLOW_NODE_FILE=" + p.settings}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		w.impossible("%v", err)
	}
	exited := make(chan struct{})
	p.exited = exited
	command := p.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
}

func (p *proxy) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(s)
	}
}

// isReady asks a proxy as the platform does.
func isReady(address string) bool {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /readiness HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", address)
	answer := make([]byte, 64)
	n, _ := c.Read(answer)
	return strings.HasPrefix(string(answer[:n]), "HTTP/1.1 200")
}

// await calls condition until it holds, for at most limit.
func (w *world) await(limit time.Duration, condition func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// query sends one statement and notes it with its answer. An answer that is missing is an
// empty reply with the error "none".
func (w *world) query(who string, c *standin.Caller, text string) standin.Reply {
	w.note("%s sends %s", who, text)
	r, err := c.Query(text)
	if err != nil {
		w.note("%s has no answer: %v", who, err)
		return standin.Reply{Error: "none"}
	}
	if r.Error != "" {
		w.note("%s is answered ERROR %s", who, r.Error)
	} else {
		w.note("%s is answered rows %q, COMPLETE %s", who, r.Rows, r.Signature)
	}
	return r
}

// open opens a session.
func (w *world) open(who string, p *proxy, database string) *standin.Caller {
	c, err := standin.Open(p.address, database)
	if err != nil {
		w.impossible("%s opens no session: %v", who, err)
	}
	return c
}

// readAlways reads an item through each proxy ten times a second until the case ends. The
// reads are not recorded.
func (w *world) readAlways(database, item string) {
	for _, p := range w.proxies {
		go func() {
			var c *standin.Caller
			for ; ; time.Sleep(100 * time.Millisecond) {
				if c == nil {
					var err error
					if c, err = standin.Open(p.address, database); err != nil {
						c = nil
						continue
					}
				}
				if _, err := c.Query("READ " + item); err != nil {
					c.Close()
					c = nil
				}
			}
		}()
	}
}

// notePromotions notes the promotion calls that the platform has received.
func (w *world) notePromotions() {
	for _, p := range w.platform.Promotions() {
		w.note("promotion call: database %s, holder %s, fencing token %d", p.Identifier, p.Holder, p.Token)
	}
}

// promoted returns the database of the last promotion call, nil if there was none.
func (w *world) promoted() *standin.Database {
	calls := w.platform.Promotions()
	if len(calls) == 0 {
		return nil
	}
	for _, d := range w.databases {
		if d.ID == calls[len(calls)-1].Identifier {
			return d
		}
	}
	return nil
}
