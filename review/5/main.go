//go:build review

// Case 5: the settings files change to a grace_s with a fraction, and later all processes
// are killed and started again.
package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oleanderflow/oleanderflow/platform/standin"
	"github.com/oleanderflow/oleanderflow/review/kit"
)

const (
	clients = 10
	// recovery is recovery_s of the site.
	recovery = 15 * time.Second
	// measured is for how long requests are counted before the kill and after recovery.
	measured = 5 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	record, err := kit.NewRecord("review/5")
	if err != nil {
		fmt.Println(err)
		return kit.NotRun
	}
	code, text := play(record)
	record.Add("%s", text)
	fmt.Println(text)
	return code
}

// tally counts the requests of one span.
type tally struct{ asked, served atomic.Int64 }

func (t *tally) share() float64 { return float64(t.served.Load()) / float64(max(t.asked.Load(), 1)) }

func play(record *kit.Record) (int, string) {
	zones := []string{"mvd-centro", "mvd-carrasco", "mvd-cerro"}
	platform := standin.NewPlatform()
	defer platform.Close()
	s, err := kit.NewService(record, platform, "dispatch-db", zones)
	if err != nil {
		return kit.NotRun, err.Error()
	}
	defer s.Close()
	promotions := kit.Promotions(record, s)
	defer promotions.Close()
	kit.Configure(platform, 1, 3000, []*kit.Service{s}, standin.Route{
		Name: "r-booking", Database: "kafi500", Prefix: "/", Kind: standin.Primary, Group: s.Name, Timeout: 1000, Target: 250, Priority: 1,
	})
	bounds := kit.Bounds{GraceSeconds: 6, DrainMillis: 10000, MemoryMB: 433, FileDescriptors: 8192, ProcessorShare: 0.496}
	fleet, err := kit.NewFleet(record, bounds, append(append([]string{}, zones...), zones...), platform.Address(), promotions.Listener.Addr().String())
	if err != nil {
		return kit.NotRun, err.Error()
	}
	defer fleet.Close()
	if err := fleet.AwaitReady(20 * time.Second); err != nil {
		return kit.NotRun, err.Error()
	}
	time.Sleep(2 * time.Second)

	var before, after tally
	var current atomic.Pointer[tally]
	stop := make(chan struct{})
	var requests, processes sync.WaitGroup
	for i := range clients {
		requests.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				t := current.Load()
				served := request(record, fleet.Proxies[(i+number)%len(fleet.Proxies)], i, number)
				if t != nil {
					t.asked.Add(1)
					if served {
						t.served.Add(1)
					}
				}
			}
		})
	}
	current.Store(&before)
	time.Sleep(measured)
	current.Store(nil)

	if kit.Trouble() {
		for _, p := range fleet.Proxies {
			if err := p.SetGrace("6", "6.5"); err != nil {
				return kit.NotRun, err.Error()
			}
		}
	}
	time.Sleep(5 * time.Second)
	// The final fault, with TROUBLE=0 too.
	for _, p := range fleet.Proxies {
		record.Add("SIGKILL %s", p.Name)
		p.Signal(syscall.SIGKILL)
		processes.Go(func() {
			record.Add("%s was started %d times", p.Name, p.KeepRunning(stop))
		})
	}
	time.Sleep(recovery + time.Second)
	current.Store(&after)
	time.Sleep(measured)
	current.Store(nil)
	close(stop)
	requests.Wait()
	processes.Wait()
	summary := fmt.Sprintf("served %.2f of %d requests before the kill, %.2f of %d sent later than %s after it",
		before.share(), before.asked.Load(), after.share(), after.asked.Load(), recovery)
	switch {
	case before.share() < 0.25 || after.asked.Load() == 0:
		return kit.NotRun, summary
	case after.share() < 0.25:
		return kit.Broken, "RECOVER broken: " + summary
	default:
		return kit.Held, "held: " + summary
	}
}

// request opens a session and reads, and reports whether the read succeeded.
func request(record *kit.Record, p *kit.Proxy, client, number int) bool {
	c, err := kit.Connect(p.Callers, "kafi500", fmt.Sprintf("c%d-%d", client, number))
	if err == nil {
		defer c.Close()
		var reply kit.Reply
		if reply, err = c.Query("READ drum"); err == nil && reply.Error != "" {
			err = fmt.Errorf("ERROR %s", reply.Error)
		}
	}
	if number%20 == 0 {
		record.Add("c%d-%d through %s: READ -> %v", client, number, p.Name, err)
	}
	return err == nil
}
