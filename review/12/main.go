//go:build review

// A front that the store turns away goes on with an old primary after the other fronts, which
// know of a database more, have replaced it.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	kit "github.com/oleanderflow/oleanderflow/review/kit-3"
)

const (
	// refusedFor is how long the store turns one front away, and cutFor how long the primary
	// is partitioned. The partition begins cutAfter later than the refusals.
	refusedFor = 9 * time.Second
	cutAfter   = 2 * time.Second
	cutFor     = 7 * time.Second
)

func main() {
	record := kit.NewRecord(os.Args[2])
	g := kit.NewGroup("jobs", record)
	old := g.Add("i-a", "zone-a")
	g.Add("i-b", "zone-a")
	g.Add("i-c", "zone-b")
	p := kit.NewPlatform(g, []map[string]any{{
		"name": "r-1", "host": "fills", "prefix": "/", "kind": "primary", "timeout_ms": 800, "target_latency_ms": 150, "priority": 1, "service": "jobs", "attempts": 2,
	}})
	var fronts []*kit.Front
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		fronts = append(fronts, kit.Start(p, os.Args[1], fmt.Sprint("front-", i+1), zone))
	}
	for _, f := range fronts {
		f.AwaitReady()
	}
	time.Sleep(3 * time.Second)
	acknowledged := make(chan kit.Write, 10000)
	for _, f := range fronts {
		go kit.SendWrites(record, f, "fills", 100*time.Millisecond, acknowledged)
	}
	time.Sleep(2 * time.Second)
	if kit.Trouble() {
		p.Refuse("front-1", true)
	}
	// Planned work: a database is to be replaced, and the new one starts first.
	g.Add("i-d", "zone-c")
	time.Sleep(cutAfter)
	if kit.Trouble() {
		g.Cut(true, []string{"i-a", "i-b"}, []string{"i-c", "i-d", "front-2", "front-3"})
		time.Sleep(cutFor)
		g.Cut(false, []string{"i-a", "i-b"}, []string{"i-c", "i-d", "front-2", "front-3"})
		p.Refuse("front-1", false)
	}
	time.Sleep(4 * time.Second)

	promoted, changed := g.TakenOverAt()
	newest := g.Primary()
	var broken []string
	for len(acknowledged) > 0 {
		w := <-acknowledged
		at, by, ok := g.CommittedAt(w.Item, w.Data)
		if !ok || !changed || by != old.ID || !at.After(promoted) {
			continue
		}
		kept := "is kept"
		if !newest.Has(w.Item, w.Data) {
			kept = "is lost"
		}
		broken = append(broken, fmt.Sprintf("ONE: write %s of %s committed at %s %s after the promotion had taken effect, acknowledged to the client, %s", w.ID, w.Item, by,
			at.Sub(promoted).Round(time.Millisecond), kept))
	}
	if len(broken) > 5 {
		record.Add("%s", strings.Join(broken, "\n"))
		broken = append(broken[:5], fmt.Sprintf("and %d more", len(broken)-5))
	}
	kit.Finish(record, broken)
}
