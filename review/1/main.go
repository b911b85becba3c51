//go:build review

// Case 1: a proxy is killed and started again while transactions of its callers are open
// at the home proxies. Transactions of other callers, begun at the same proxy after its
// start, must not run inside the open ones.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderflow/oleanderflow/platform/standin"
	"github.com/oleanderflow/oleanderflow/review/kit"
)

const (
	proxyCount      = 27
	killedCount     = 4 // 0.16 of 27 machines
	callersPerProxy = 6
	// restartDelay is how long the platform takes to start a killed process again.
	restartDelay = 300 * time.Millisecond
)

// hosts are the database names of the two services.
var hosts = []string{"kafi500", "daka41cu10"}

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
	platform := standin.NewPlatform()
	defer platform.Close()
	var services []*kit.Service
	var routes []standin.Route
	for i, host := range hosts {
		s, err := kit.NewService(record, platform, fmt.Sprintf("dispatch-db-%d", i+1), zones)
		if err != nil {
			return kit.NotRun, err.Error()
		}
		defer s.Close()
		s.Allows = func(owner string) bool { return strings.HasSuffix(owner, "@"+host) }
		services = append(services, s)
		routes = append(routes, standin.Route{Name: "r-" + host, Database: host, Prefix: "/", Kind: standin.Primary, Group: s.Name, Timeout: 1000, Target: 250, Priority: 1})
	}
	promotions := kit.Promotions(record, services...)
	defer promotions.Close()
	kit.Configure(platform, 1, 3000, services, routes...)
	var fleetZones []string
	for i := range proxyCount {
		fleetZones = append(fleetZones, zones[i%len(zones)])
	}
	bounds := kit.Bounds{GraceSeconds: 6, DrainMillis: 10000, MemoryMB: 433, FileDescriptors: 8192, ProcessorShare: 0.496}
	fleet, err := kit.NewFleet(record, bounds, fleetZones, platform.Address(), promotions.Listener.Addr().String())
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
	// The first attempts of all clients: BEGIN and a write, then a pause.
	first := make([]*kit.Client, clients)
	for i := range clients {
		if first[i], err = begin(record, killed[i%killedCount], i, 1); err != nil {
			return kit.NotRun, "first attempt: " + err.Error()
		}
	}
	var committed atomic.Int64
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
		for _, c := range first {
			commit(record, c, &committed)
		}
	}
	for _, c := range first {
		c.Close()
	}
	// The clients try again, with new ids, through other machines.
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			c, err := begin(record, killed[(i+1)%killedCount], i, 2)
			if err != nil {
				return
			}
			commit(record, c, &committed)
			c.Close()
		})
	}
	wg.Wait()
	time.Sleep(time.Second)

	broken := make(map[string]int)
	for _, s := range services {
		for rule, n := range s.Broken() {
			broken[rule] += n
		}
	}
	summary := fmt.Sprintf("%d clients, %d commits acknowledged; broken at the databases: PINNED %d times, UNASKED %d, ROUTE %d",
		clients, committed.Load(), broken["PINNED"], broken["UNASKED"], broken["ROUTE"])
	switch {
	case committed.Load() == 0:
		return kit.NotRun, summary
	case len(broken) > 0:
		return kit.Broken, summary
	default:
		return kit.Held, "held: " + summary
	}
}

// begin opens a session, begins a transaction and writes.
func begin(record *kit.Record, p *kit.Proxy, client, attempt int) (*kit.Client, error) {
	host := hosts[client%3%len(hosts)]
	c, err := kit.Connect(p.Callers, host, fmt.Sprintf("client%d-attempt%d@%s", client, attempt, host))
	if err != nil {
		record.Add("client%d-attempt%d through %s: CONNECT -> %v", client, attempt, p.Name, err)
		return nil, err
	}
	for _, text := range []string{"BEGIN", fmt.Sprintf("WRITE item%d client%d-attempt%d", client, client, attempt)} {
		reply, err := c.Query(text)
		record.Add("%s through %s: %s -> %s %s state %s %v", c.Owner, p.Name, text, reply.Signature, reply.Error, reply.State, err)
		if err == nil && reply.Error != "" {
			err = errors.New(reply.Error)
		}
		if err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// commit commits the open transaction of a client.
func commit(record *kit.Record, c *kit.Client, committed *atomic.Int64) {
	reply, err := c.Query("COMMIT")
	record.Add("%s: COMMIT -> %s %s state %s %v", c.Owner, reply.Signature, reply.Error, reply.State, err)
	if err == nil && reply.Error == "" {
		committed.Add(1)
	}
}
