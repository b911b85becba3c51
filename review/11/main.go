//go:build review

// A front that is cut off from a new primary replaces it, and takes an ordinary replica, the
// last primary that it knows, for fenced. What that replica confirms is lost.
package main

import (
	"fmt"
	"os"
	"time"

	kit "github.com/oleanderflow/oleanderflow/review/kit-3"
)

const (
	// primaryCutFor is how long the first primary is partitioned from two fronts, and
	// frontCutFor how long another front is cut off from the database that is promoted, with
	// the other replica for replicaCutFor.
	primaryCutFor = 1900 * time.Millisecond
	replicaCutFor = 7 * time.Second
	frontCutFor   = 10 * time.Second
	// interval is the time between two statements of a client. Each front has one that
	// writes, and readers.
	interval = 60 * time.Millisecond
	readers  = 2
)

func main() {
	record := kit.NewRecord(os.Args[2])
	g := kit.NewGroup("jobs", record)
	g.Sync = true
	// It is about 8 ms behind once it is a replica, and the others 4 ms.
	g.Add("i-c", "zone-c").ReceiveEvery(3)
	g.Add("i-a", "zone-a")
	g.Add("i-b", "zone-b")
	p := kit.NewPlatform(g, []map[string]any{{
		"name": "r-1", "host": "fills", "prefix": "/", "kind": "primary", "timeout_ms": 800, "target_latency_ms": 150, "priority": 1, "service": "jobs", "attempts": 2,
	}, {
		"name": "r-2", "host": "bookings", "prefix": "/", "kind": "bounded_staleness", "timeout_ms": 2000, "target_latency_ms": 500, "priority": 2, "service": "jobs", "attempts": 2, "max_staleness_ms": 1500,
	}})
	var fronts []*kit.Front
	for i, zone := range []string{"zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"} {
		fronts = append(fronts, kit.Start(p, os.Args[1], fmt.Sprint("front-", i+1), zone))
	}
	for _, f := range fronts {
		f.AwaitReady()
	}
	time.Sleep(3 * time.Second)
	acknowledged := make(chan kit.Write, 10000)
	for _, f := range fronts {
		go kit.SendWrites(record, f, "fills", interval, acknowledged)
		for range readers {
			go kit.SendReads(record, f, "bookings", interval)
		}
	}
	time.Sleep(3 * time.Second)
	if kit.Trouble() {
		g.Cut(true, []string{"i-a", "i-b"}, []string{"front-3"})
		g.Cut(true, []string{"i-c"}, []string{"front-2", "front-4"})
		time.Sleep(primaryCutFor)
		g.Cut(false, []string{"i-c"}, []string{"front-2", "front-4"})
		time.Sleep(replicaCutFor - primaryCutFor)
		g.Cut(false, []string{"i-b"}, []string{"front-3"})
		time.Sleep(frontCutFor - replicaCutFor)
		g.Cut(false, []string{"i-a"}, []string{"front-3"})
	}
	time.Sleep(5 * time.Second)

	newest := g.Primary()
	var broken []string
	lost := 0
	for len(acknowledged) > 0 {
		w := <-acknowledged
		if newest == nil || newest.Has(w.Item, w.Data) {
			continue
		}
		at, by, _ := g.CommittedAt(w.Item, w.Data)
		record.Add("lost: %s of %s, committed at %s at %.3f, acknowledged at %.3f", w.ID, w.Item, by, record.Since(at), record.Since(w.AnsweredAt))
		if lost++; lost <= 3 {
			broken = append(broken, fmt.Sprintf("LOST: write %s of %s, committed at %s at %.3f s, was acknowledged at %.3f s and isn't in the log of %s, which was promoted", w.ID, w.Item, by,
				record.Since(at), record.Since(w.AnsweredAt), newest.ID))
		}
	}
	if lost > 3 {
		broken = append(broken, fmt.Sprintf("and %d more", lost-3))
	}
	kit.Finish(record, broken)
}
