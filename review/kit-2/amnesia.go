//go:build review

package main

import (
	"fmt"
	"time"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// forgottenLog: all databases of a group crash at the same moment. The replicas start again
// first, and hold nothing. The primary is back two seconds later, with its log.
func forgottenLog(folder string) {
	w := newWorld(folder, standin.Timing{
		Network: 2 * time.Millisecond, Apply: 8 * time.Millisecond, Promote: 300 * time.Millisecond, Demote: time.Second,
		Rejoin: time.Second, Lapse: lapse,
	})
	w.startPlatform()
	w.configure(standin.Route{Name: "r1", Database: "fills", Kind: standin.Primary, Group: "shop", Timeout: 800, Target: 150, Priority: 1})
	w.startProxies(3)
	a, b, c := w.databases[0], w.databases[1], w.databases[2]
	caller := w.open("caller 1", w.proxies[0], "fills")
	w.readAlways("fills", "k0")
	var acknowledged []string
	for i := range 5 {
		key := fmt.Sprint("k", i)
		if r := w.query("caller 1", caller, "WRITE "+key+" value"); r.Error == "" {
			acknowledged = append(acknowledged, key)
		}
	}
	if len(acknowledged) < 5 {
		w.impossible("the writes were not served")
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.note("%s and %s crash", b.ID, c.ID)
		b.SetDown(true)
		c.SetDown(true)
		w.crash(a)
		time.Sleep(500 * time.Millisecond)
		for _, d := range []*standin.Database{b, c} {
			w.note("%s has started again under its identifier, and holds nothing", d.ID)
			d.Forget()
			// There is nobody from whom it could receive the log.
			d.SetDeaf(true)
		}
		time.Sleep(2 * time.Second)
		w.recoverWithLog(a)
		b.SetDeaf(false)
		c.SetDeaf(false)
		a.SetDeaf(false)
		time.Sleep(4 * time.Second)
	}
	w.notePromotions()
	var lost []string
	for _, key := range acknowledged {
		if len(w.group.Writes(key)) == 0 {
			lost = append(lost, key)
		}
	}
	reader := w.open("caller 2", w.proxies[1], "fills")
	w.query("caller 2", reader, "READ k4")
	w.note("acknowledged writes that the log of the primary lacks: %q of %q", lost, acknowledged)
	if len(lost) > 0 {
		w.note("LOST is broken")
		w.end(1)
	}
	w.end(0)
}
