//go:build review

// Case 1: a proxy is killed and started again while transactions of its callers are open
// at the home proxies. Transactions of other callers, begun at the same proxy after its
// start, must not run inside the open ones.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/oleanderflow/oleanderflow/platform/standin"
	"github.com/oleanderflow/oleanderflow/review/kit"
)

const (
	proxyCount      = 27
	killedCount     = 4 // 0.16 of 27 machines
	callersPerProxy = 5
	connectionLimit = 47
	idleMillis      = 3000
	// restartDelay is how long the platform takes to start a killed process again.
	restartDelay = 300 * time.Millisecond
)

// attempt is one attempt of a client at its operation, a transaction with one write.
type attempt struct {
	value, proxy string
	askedCommit  bool
	answer       string
}

func main() { os.Exit(run()) }

func run() int {
	record, err := kit.NewRecord("review/1")
	if err != nil {
		fmt.Println(err)
		return kit.NotRun
	}
	code, text := play(record)
	record.Add("%s", text)
	fmt.Println(text)
	return code
}

func play(record *kit.Record) (int, string) {
	zones := []string{"mvd-centro", "mvd-cerro", "mvd-carrasco"}
	g, err := standin.NewGroup("dispatch-db", zones, 0)
	if err != nil {
		return kit.NotRun, err.Error()
	}
	defer g.Close()
	g.ConnectionLimit = connectionLimit
	platform := standin.NewPlatform(g)
	defer platform.Close()
	platform.Configure(1, connectionLimit, idleMillis, standin.Route{
		Name: "r-booking", Database: "kafi500", Prefix: "/", Kind: standin.Primary, Group: "dispatch-db", Timeout: 1000, Target: 250, Priority: 1,
	})
	var fleetZones []string
	for i := range proxyCount {
		fleetZones = append(fleetZones, zones[i%len(zones)])
	}
	bounds := kit.Bounds{GraceSeconds: 6, DrainMillis: 10000, MemoryMB: 433, FileDescriptors: 8192, ProcessorShare: 0.496}
	fleet, err := kit.NewFleet(record, bounds, fleetZones, platform.Address(), platform.Address())
	if err != nil {
		return kit.NotRun, err.Error()
	}
	defer fleet.Close()
	if err := fleet.AwaitReady(20 * time.Second); err != nil {
		return kit.NotRun, err.Error()
	}
	time.Sleep(3 * time.Second)

	killed := fleet.Proxies[:killedCount]
	clients := killedCount * callersPerProxy
	first, second := make([]*attempt, clients), make([]*attempt, clients)
	callers := make([]*standin.Caller, clients)
	for i := range clients {
		p := killed[i%killedCount]
		first[i] = &attempt{value: fmt.Sprintf("client%d.attempt1", i), proxy: p.Name}
		if callers[i], err = begin(record, first[i], p, i); err != nil {
			return kit.NotRun, "first attempt: " + err.Error()
		}
	}
	if kit.Trouble() {
		for _, p := range killed {
			p.Kill()
		}
		time.Sleep(restartDelay)
		for _, p := range killed {
			if err := p.Start(); err != nil {
				return kit.NotRun, err.Error()
			}
		}
		for _, p := range killed {
			if err := p.AwaitReady(4 * time.Second); err != nil {
				return kit.NotRun, err.Error()
			}
			record.Add("ready again: %s", p.Name)
		}
	} else {
		time.Sleep(restartDelay)
		for i, c := range callers {
			commit(record, first[i], c)
		}
	}
	for _, c := range callers {
		c.Close()
	}
	// The clients whose attempts were broken off try again, with new ids. Retries reach
	// other machines.
	var wg sync.WaitGroup
	for i := range clients {
		p := killed[(i+1)%killedCount]
		second[i] = &attempt{value: fmt.Sprintf("client%d.attempt2", i), proxy: p.Name}
		wg.Go(func() {
			c, err := begin(record, second[i], p, i)
			if err != nil {
				record.Add("%s: %v", second[i].value, err)
				return
			}
			commit(record, second[i], c)
			c.Close()
		})
	}
	wg.Wait()
	time.Sleep(6 * time.Second)

	committed := make(map[string]bool)
	for i := range clients {
		for _, value := range g.Writes(fmt.Sprintf("item%d", i)) {
			committed[value] = true
			record.Add("committed at the primary: item%d = %s", i, value)
		}
	}
	unasked, acknowledged, missing := 0, 0, 0
	for _, a := range append(first, second...) {
		if committed[a.value] && !a.askedCommit {
			unasked++
			record.Add("BROKEN: %s (through %s) was committed; its client never sent COMMIT", a.value, a.proxy)
		}
		if a.answer == "ok" {
			acknowledged++
			if !committed[a.value] {
				missing++
				record.Add("BROKEN: %s (through %s) was acknowledged and is not in the log", a.value, a.proxy)
			}
		}
	}
	summary := fmt.Sprintf("%d attempts, %d acknowledged, %d committed without being asked for, %d acknowledged and missing", 2*clients, acknowledged, unasked, missing)
	switch {
	case acknowledged == 0:
		return kit.NotRun, "no transaction was acknowledged: " + summary
	case unasked > 0:
		return kit.Broken, "UNASKED broken: " + summary
	default:
		return kit.Held, "held: " + summary
	}
}

// begin opens a session, begins a transaction and writes.
func begin(record *kit.Record, a *attempt, p *kit.Proxy, client int) (*standin.Caller, error) {
	c, err := standin.Open(p.Callers, "kafi500")
	if err != nil {
		return nil, err
	}
	for _, text := range []string{"BEGIN", fmt.Sprintf("WRITE item%d %s", client, a.value)} {
		reply, err := c.Query(text)
		record.Add("%s through %s: %s -> %s %s state %s %v", a.value, a.proxy, text, reply.Signature, reply.Error, reply.State, err)
		if err == nil && reply.Error != "" {
			err = fmt.Errorf("%s: %s", text, reply.Error)
		}
		if err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// commit commits the open transaction of an attempt.
func commit(record *kit.Record, a *attempt, c *standin.Caller) {
	a.askedCommit = true
	reply, err := c.Query("COMMIT")
	record.Add("%s through %s: COMMIT -> %s %s state %s %v", a.value, a.proxy, reply.Signature, reply.Error, reply.State, err)
	a.answer = "failed"
	if err == nil && reply.Error == "" {
		a.answer = "ok"
	}
}
