//go:build review

package main

import (
	"fmt"
	"time"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// forgottenLog: one replica receives nothing for a while. The other one, which has received
// all acknowledged writes, starts again with nothing, and the primary crashes before that one
// has the log again. The primary is back with its log soon after.
func forgottenLog(folder string) {
	w := newWorld(folder, standin.Timing{
		Network: 2 * time.Millisecond, Apply: 8 * time.Millisecond, Promote: 300 * time.Millisecond, Demote: time.Second,
		Rejoin: time.Second, Lapse: 3600 * time.Millisecond,
	})
	w.startPlatform()
	w.configure(standin.Route{Name: "r1", Database: "fills", Kind: standin.Primary, Group: "shop", Timeout: 800, Target: 150, Priority: 1})
	w.startProxies(3)
	a, b, c := w.databases[0], w.databases[1], w.databases[2]
	caller := w.open("caller 1", w.proxies[0], "fills")
	if r := w.query("caller 1", caller, "WRITE k0 first"); r.Error != "" {
		w.impossible("the first write was not served")
	}
	w.readAlways("fills", "k0")
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.note("replica %s receives nothing from now on", c.ID)
		c.SetDeaf(true)
	}
	acknowledged := []string{"k0"}
	for i := 1; i <= 5; i++ {
		key := fmt.Sprint("k", i)
		if r := w.query("caller 1", caller, "WRITE "+key+" value"); r.Error == "" {
			acknowledged = append(acknowledged, key)
		}
	}
	if len(acknowledged) < 6 {
		w.impossible("the writes were not served")
	}
	time.Sleep(200 * time.Millisecond)
	if w.trouble {
		w.note("%s crashes", b.ID)
		b.SetDown(true)
		time.Sleep(500 * time.Millisecond)
		w.note("%s has started again under its identifier, and holds nothing", b.ID)
		b.Forget()
		time.Sleep(600 * time.Millisecond)
		w.crash(a)
		// There is nobody from whom it could receive the log.
		b.SetDeaf(true)
		promoted := func() bool { return len(w.platform.Promotions()) > 0 }
		if !w.await(6*time.Second, promoted) {
			w.note("no database was promoted while %s was down", a.ID)
		}
		time.Sleep(500 * time.Millisecond)
		b.SetDeaf(false)
		w.recoverWithLog(a)
		w.note("%s receives again", c.ID)
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
	w.query("caller 2", reader, "READ k5")
	w.note("acknowledged writes that the log of the primary lacks: %q of %q", lost, acknowledged)
	if len(lost) > 0 {
		w.note("LOST is broken")
		w.end(1)
	}
	w.end(0)
}
