//go:build review

package main

import (
	"slices"
	"time"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// abortedWrite: the primary crashes right after it has committed a write, before its replicas,
// which are 20 ms behind, have received that, and the caller is told ABORTED. The next primary
// crashes before anything else is written, and the first one is back.
func abortedWrite(folder string) {
	w := newWorld(folder, standin.Timing{
		Network: 20 * time.Millisecond, Apply: 20 * time.Millisecond, Promote: 300 * time.Millisecond, Demote: time.Second,
		Rejoin: 200 * time.Millisecond, Lapse: 3600 * time.Millisecond,
	})
	w.startPlatform()
	w.platform.Configure(1, 47, 4000, standin.Route{Name: "r1", Database: "fills", Kind: standin.Primary, Group: "shop", Timeout: 800, Target: 150, Priority: 1})
	w.startProxies(9)
	a, b, c := w.databases[0], w.databases[1], w.databases[2]
	first := w.open("caller 1", w.proxies[0], "fills")
	if r := w.query("caller 1", first, "WRITE k1 before"); r.Error != "" {
		w.impossible("the first write was not served")
	}
	w.readAlways("fills", "k1")
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		go func() {
			for len(w.group.Writes("k2")) == 0 {
				time.Sleep(time.Millisecond)
			}
			w.note("%s has committed the write", a.ID)
			// A database that has crashed sends nothing any more.
			b.SetDeaf(true)
			c.SetDeaf(true)
			w.crash(a)
			w.await(5*time.Second, func() bool { return b.IsPrimary() || c.IsPrimary() })
			b.SetDeaf(false)
			c.SetDeaf(false)
		}()
	}
	answer := w.query("caller 1", first, "WRITE k2 once")
	first.Close()
	promised := slices.Contains([]string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}, answer.Code())
	last := a
	if w.trouble {
		next := w.promoted()
		if next == nil {
			w.notePromotions()
			w.note("no database was promoted before the answer")
			w.end(0)
		}
		time.Sleep(100 * time.Millisecond)
		w.crash(next)
		time.Sleep(1500 * time.Millisecond)
		w.recoverWithLog(a)
		if !w.await(20*time.Second, func() bool { return len(w.platform.Promotions()) > 1 }) {
			w.notePromotions()
			w.note("no database was promoted after the second crash")
			w.end(0)
		}
		time.Sleep(time.Second)
		last = w.promoted()
	}
	w.notePromotions()
	time.Sleep(500 * time.Millisecond)
	w.note("%s leads, and its log has for k2: %q", last.ID, w.group.Writes("k2"))
	reader := w.open("caller 2", w.proxies[1], "fills")
	w.await(8*time.Second, func() bool { return w.query("caller 2", reader, "READ k2").Error == "" })
	if kept := len(w.group.Writes("k2")) > 0; promised && kept {
		w.note("REFUSED is broken: caller 1 was told %s, and the write is committed", answer.Code())
		w.end(1)
	}
	w.end(0)
}
