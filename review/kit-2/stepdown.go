//go:build review

package main

import (
	"time"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// ownConfirmation: the replicas receive nothing for a while, and the primary is to be replaced
// as planned. A write is under way when it steps down. Then a proxy does not reach it any more.
func ownConfirmation(folder string) {
	w := newWorld(folder, standin.Timing{
		Network: 2 * time.Millisecond, Apply: 8 * time.Millisecond, Promote: 300 * time.Millisecond, Demote: time.Second,
		Rejoin: 200 * time.Millisecond, Lapse: lapse,
	})
	w.startPlatform()
	w.group.RecordRuns()
	const maxAge = 1500 * time.Millisecond
	w.platform.Configure(1, 47, 3000,
		standin.Route{Name: "r1", Database: "fills", Kind: standin.Primary, Group: "shop", Timeout: 800, Target: 150, Priority: 1},
		standin.Route{Name: "r2", Database: "bookings", Kind: standin.BoundedAge, Group: "shop", Timeout: 2000, Target: 500, Priority: 2, MaxAge: int(maxAge.Milliseconds())})
	w.startProxies(3)
	a, b, c := w.databases[0], w.databases[1], w.databases[2]
	writer := w.open("caller 1", w.proxies[0], "fills")
	if r := w.query("caller 1", writer, "WRITE k1 old"); r.Error != "" {
		w.impossible("the first write was not served")
	}
	w.readAlways("fills", "k0")
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.note("replicas %s and %s receive nothing from now on", b.ID, c.ID)
		b.SetDeaf(true)
		c.SetDeaf(true)
		time.AfterFunc(20*time.Millisecond, func() {
			w.note("%s reports that it is draining", a.ID)
			a.SetDraining(true)
		})
	}
	r := w.query("caller 1", writer, "WRITE k1 new")
	acknowledged := time.Now()
	if r.Error != "" {
		w.note("the write was not acknowledged")
		w.end(0)
	}
	via := w.proxies[1]
	if w.trouble {
		if !w.await(2*time.Second, func() bool { return len(w.platform.Promotions()) > 0 }) {
			w.note("the primary was not replaced")
			w.end(0)
		}
		// Not the proxy that replaces the primary.
		if w.platform.Promotions()[0].Holder == via.name {
			via = w.proxies[2]
		}
		w.note("%s is partitioned from %s", a.ID, via.name)
		w.links[a].cut(via.name)
	}
	reader := w.open("caller 2", via, "bookings")
	type read struct {
		at        time.Time
		signature string
	}
	var reads []read
	for time.Since(acknowledged) < 4500*time.Millisecond {
		at := time.Now()
		if r := w.query("caller 2", reader, "READ k1"); r.Error == "" {
			reads = append(reads, read{at, r.Signature})
		} else if r.Error == "none" {
			reader.Close()
			reader = w.open("caller 2", via, "bookings")
		}
		time.Sleep(100 * time.Millisecond)
	}
	if w.trouble {
		w.note("the partition of %s ends, and the replicas receive again", a.ID)
		w.links[a].heal()
		b.SetDeaf(false)
		c.SetDeaf(false)
		time.Sleep(5 * time.Second)
	}
	w.notePromotions()
	commit, kept := w.group.Commits()["k1"]
	values := w.group.Writes("k1")
	w.note("the log of the primary has for k1: %q", values)
	if !kept || values[len(values)-1] != "new" {
		w.note("the write was rolled back by a promote")
		w.end(0)
	}
	stale := 0
	for _, r := range reads {
		if run, ok := w.group.RunOf(r.signature); ok && r.at.Sub(acknowledged) > maxAge && run.Lacks(commit) {
			w.note("STALE is broken: the read with the signature %s, sent %s after the acknowledgement, ran at %s on a log without the write",
				r.signature, r.at.Sub(acknowledged).Round(time.Millisecond), run.Database)
			stale++
		}
	}
	w.note("%d of %d reads were stale", stale, len(reads))
	if stale > 0 {
		w.end(1)
	}
	w.end(0)
}
