//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

const (
	// memoryLimitMB is memory_mb of the machines, and openSessions how many sessions stand
	// open.
	memoryLimitMB = 206
	openSessions  = 292
	machines      = 15
	// machinesLeft is how many are not lost.
	machinesLeft = 3
	// maxEnds is how often processes of two machines may end by themselves.
	maxEnds = 3
)

// memoryMB returns the memory of a process in MB.
func (p *proxy) memoryMB() int {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// largeAnswers: callers with long, mostly idle sessions read an item of almost 1 MiB once in
// each session, one after another. Then most machines are lost, and the callers open their
// sessions at those that are left.
func largeAnswers(folder string) {
	w := newWorld(folder, standin.Timing{
		Network: 2 * time.Millisecond, Apply: 8 * time.Millisecond, Promote: 300 * time.Millisecond, Demote: time.Second,
		Rejoin: 200 * time.Millisecond, Lapse: lapse,
	})
	w.startPlatform()
	w.platform.Configure(1, 47, 3000, standin.Route{Name: "r1", Database: "fills", Kind: standin.Primary, Group: "shop", Timeout: 800, Target: 150, Priority: 1})
	w.startProxies(machines)
	first, err := standin.Open(w.proxies[0].address, "fills")
	if err != nil {
		w.impossible("%v", err)
	}
	if r, err := first.Query("WRITE k1 " + strings.Repeat("x", 1<<20-64)); err != nil || r.Error != "" {
		w.impossible("the item was not written: %v %s", err, r.Error)
	}
	first.Close()
	// The platform forwards connections to the proxies that are left.
	rotation := w.proxies
	var mu sync.Mutex
	ends := make(map[string]int)
	go func() {
		// The platform kills a process that exceeds its memory, and starts it again.
		for ; ; time.Sleep(50 * time.Millisecond) {
			mu.Lock()
			left := rotation
			mu.Unlock()
			for _, p := range left {
				if mb := p.memoryMB(); mb > memoryLimitMB {
					w.note("%s has %d MB and is killed", p.name, mb)
					p.signal(syscall.SIGKILL)
					<-p.exited
					mu.Lock()
					ends[p.name]++
					mu.Unlock()
					w.start(p)
				}
			}
		}
	}()
	sessions := make([]*standin.Caller, openSessions)
	lost := 0
	// visit makes each caller without a session open one and read the item once.
	visit := func() {
		for i := range sessions {
			if sessions[i] != nil && !sessions[i].AwaitClose(time.Millisecond) {
				continue
			}
			if sessions[i] != nil {
				sessions[i].Close()
				sessions[i] = nil
				lost++
			}
			mu.Lock()
			p := rotation[rand.IntN(len(rotation))]
			mu.Unlock()
			if !isReady(p.ready) {
				continue
			}
			c, err := standin.Open(p.address, "fills")
			if err != nil {
				continue
			}
			if r, err := c.Query("READ k1"); err != nil || r.Error != "" {
				c.Close()
				continue
			}
			sessions[i] = c
		}
	}
	memory := func() {
		mu.Lock()
		defer mu.Unlock()
		for _, p := range rotation {
			w.note("%s has %d MB", p.name, p.memoryMB())
		}
	}
	visit()
	visit()
	w.note("%d sessions are open and idle, each has read one row of %d bytes", openSessions, 1<<20-64)
	memory()
	if w.trouble {
		w.note("%d of %d machines are lost", machines-machinesLeft, machines)
		mu.Lock()
		rotation = w.proxies[:machinesLeft]
		mu.Unlock()
		for _, p := range w.proxies[machinesLeft:] {
			p.signal(syscall.SIGKILL)
		}
	}
	affected := func() int {
		mu.Lock()
		defer mu.Unlock()
		n := 0
		for _, times := range ends {
			if times >= maxEnds {
				n++
			}
		}
		return n
	}
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until) && affected() < 2; time.Sleep(500 * time.Millisecond) {
		visit()
	}
	memory()
	mu.Lock()
	w.note("processes killed for their memory: %v; sessions lost: %d", ends, lost)
	rotation = nil
	mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	if affected() >= 2 {
		w.note("Fault: on two machines the process ended by itself %d times", maxEnds)
		w.end(1)
	}
	w.end(0)
}
