//go:build review

// Case 3: a database fails part of its requests. Statements of a session must run with the
// session values that were acknowledged to its client, and not inside the transaction of
// another client.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderflow/oleanderflow/platform/standin"
	"github.com/oleanderflow/oleanderflow/review/kit"
)

const (
	// greyShare is the share of its requests that the database fails, for greyTime.
	greyShare = 0.45
	greyTime  = 6500 * time.Millisecond
	clients   = 36
)

func main() { os.Exit(run()) }

func run() int {
	record, err := kit.NewRecord("review/3")
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
		Name: "r-drivers", Database: "daka41cu10", Prefix: "/", Kind: standin.BoundedAge, Group: s.Name, Timeout: 2000, Target: 600, Priority: 2, MaxAge: 1500,
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

	var done, failed atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clients {
		p := fleet.Proxies[i%len(fleet.Proxies)]
		wg.Go(func() {
			for session := 0; ; session++ {
				select {
				case <-stop:
					return
				default:
				}
				owner := fmt.Sprintf("c%d-%d", i, session)
				c, err := kit.Connect(p.Callers, "daka41cu10", owner)
				if err != nil {
					record.Add("%s through %s: %v", owner, p.Name, err)
					time.Sleep(20 * time.Millisecond)
					continue
				}
				s.Acknowledge(owner, "", "")
				serve(record, s, c, stop, &done, &failed)
				c.Close()
			}
		})
	}
	time.Sleep(2 * time.Second)
	if kit.Trouble() {
		grey := s.Databases[2]
		record.Add("%s fails %g of its requests", grey.ID, greyShare)
		grey.SetAnswer(func(string) string {
			if rand.Float64() < greyShare {
				return "FAILED"
			}
			return ""
		})
		time.Sleep(greyTime)
		grey.SetAnswer(nil)
		record.Add("%s fails no more requests", grey.ID)
	} else {
		time.Sleep(greyTime)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	broken := s.Broken()
	summary := fmt.Sprintf("%d operations succeeded, %d failed, PINNED broken %d times at the databases", done.Load(), failed.Load(), broken["PINNED"])
	switch {
	case done.Load() == 0:
		return kit.NotRun, summary
	case broken["PINNED"] > 0:
		return kit.Broken, summary
	default:
		return kit.Held, "held: " + summary
	}
}

// serve plays one session: it sets a session value, and reads, in transactions at times. A
// session serves 5 to 20 operations, and ends after an error in response to SET.
func serve(record *kit.Record, s *kit.Service, c *kit.Client, stop chan struct{}, done, failed *atomic.Int64) {
	reply, err := c.Query("SET tag " + c.Owner)
	if err != nil || reply.Error != "" {
		return
	}
	s.Acknowledge(c.Owner, "tag", c.Owner)
	for range 5 + rand.IntN(16) {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(10+rand.IntN(30)) * time.Millisecond):
		}
		texts := []string{"READ drum"}
		if rand.Float64() < 0.3 {
			texts = []string{"BEGIN READ", "READ drum", "READ skip", "COMMIT"}
		}
		ok := true
		for _, text := range texts {
			reply, err := c.Query(text)
			if err != nil {
				return
			}
			if reply.Error == "" {
				continue
			}
			record.Add("%s: %s -> ERROR %s", c.Owner, text, reply.Error)
			ok = false
			if reply.State != "I" {
				if reply, err = c.Query("ROLLBACK"); err != nil || reply.State != "I" {
					return
				}
			}
			break
		}
		if ok {
			done.Add(1)
		} else {
			failed.Add(1)
		}
	}
}
