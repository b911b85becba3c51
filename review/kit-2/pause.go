//go:build review

package main

import (
	"fmt"
	"time"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// lostPause: the primary is partitioned from two of the five proxies, which replace it. A
// replica that they have paused starts again with its log before the promotion takes effect,
// and receives from the old primary again. The others still reach that one.
func lostPause(folder string) {
	w := newWorld(folder, standin.Timing{
		Network: 2 * time.Millisecond, Apply: 20 * time.Millisecond, Promote: time.Second, Demote: time.Second,
		Rejoin: 100 * time.Millisecond, Lapse: lapse,
	})
	w.startPlatform()
	w.configure(standin.Route{Name: "r1", Database: "fills", Kind: standin.Primary, Group: "shop", Timeout: 800, Target: 150, Priority: 1})
	w.startProxies(5)
	a := w.databases[0]
	caller := w.open("caller 1", w.proxies[0], "fills")
	if r := w.query("caller 1", caller, "WRITE k0 first"); r.Error != "" {
		w.impossible("the first write was not served")
	}
	w.readAlways("fills", "k0")
	time.Sleep(500 * time.Millisecond)
	until := time.Now().Add(2 * time.Second)
	if w.trouble {
		w.note("primary %s is partitioned from %s and %s", a.ID, w.proxies[1].name, w.proxies[2].name)
		w.links[a].cut(w.proxies[1].name, w.proxies[2].name)
		if !w.await(6*time.Second, func() bool { return w.promoted() != nil }) {
			w.note("no database was promoted")
			w.end(0)
		}
		until = time.Now().Add(2 * time.Second)
		for _, d := range w.databases[1:] {
			if d == w.promoted() {
				w.note("the platform has accepted the promotion of %s, which takes 1 s", d.ID)
				continue
			}
			go func() {
				w.note("replica %s crashes", d.ID)
				d.SetDown(true)
				time.Sleep(100 * time.Millisecond)
				w.note("replica %s is back with its log", d.ID)
				d.SetDown(false)
			}()
		}
	}
	acknowledged := []string{"k0"}
	for i := 1; time.Now().Before(until); i++ {
		key := fmt.Sprint("k", i)
		switch r := w.query("caller 1", caller, "WRITE "+key+" value"); r.Error {
		case "":
			acknowledged = append(acknowledged, key)
		case "none":
			caller.Close()
			caller = w.open("caller 1", w.proxies[0], "fills")
		}
		time.Sleep(50 * time.Millisecond)
	}
	if w.trouble {
		time.Sleep(2 * time.Second)
		w.note("the partition of %s ends", a.ID)
		w.links[a].heal()
		time.Sleep(2 * time.Second)
	}
	w.notePromotions()
	var lost []string
	for _, key := range acknowledged {
		if len(w.group.Writes(key)) == 0 {
			lost = append(lost, key)
		}
	}
	w.note("acknowledged writes that the log of the primary lacks: %q of %q", lost, acknowledged)
	if len(lost) > 0 {
		w.note("LOST is broken")
		w.end(1)
	}
	w.end(0)
}
