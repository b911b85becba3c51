//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// link passes connections on to a database. While it is down, its port refuses connections,
// like that of a database that has crashed.
type link struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]struct{}
}

// newLink returns a link that is up.
func newLink(address, target string) (*link, error) {
	l := &link{address: address, target: target, open: make(map[net.Conn]struct{})}
	return l, l.up()
}

func (l *link) up() error {
	listener, err := net.Listen("tcp4", l.address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(c)
		}
	}()
	return nil
}

func (l *link) down() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	l.listener = nil
	for c := range l.open {
		reset(c)
	}
	clear(l.open)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (l *link) pass(c net.Conn) {
	t, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	l.mu.Lock()
	if l.listener == nil {
		l.mu.Unlock()
		reset(c)
		reset(t)
		return
	}
	l.open[c], l.open[t] = struct{}{}, struct{}{}
	l.mu.Unlock()
	go copyUntilEnd(t, c)
	copyUntilEnd(c, t)
	l.mu.Lock()
	delete(l.open, c)
	delete(l.open, t)
	l.mu.Unlock()
}

// copyUntilEnd copies to one connection from another, and closes both at the end.
func copyUntilEnd(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// lapse is after how long without a report the platform removes the entry of a database:
// three intervals of heartbeat_ms.
const lapse = 3600 * time.Millisecond

// crash makes a database crash. It sends nothing any more, and its entry stays as it is until
// it lapses.
func (w *world) crash(d *standin.Database) {
	w.note("%s crashes", d.ID)
	w.links[d].down()
	// It hears of no other primary.
	d.SetDeaf(true)
	back := make(chan struct{})
	w.back[d] = back
	go func() {
		select {
		case <-back:
		case <-time.After(lapse):
			w.platform.Remove("servers", d.ID)
		}
	}()
}

// recoverWithLog makes a database that has crashed start again with its log: as a replica if
// another one was promoted meanwhile.
func (w *world) recoverWithLog(d *standin.Database) {
	w.note("%s is back with its log", d.ID)
	close(w.back[d])
	d.SetDown(true)
	d.SetDown(false)
	w.platform.Reregister(d.ID)
	if err := w.links[d].up(); err != nil {
		w.impossible("%v", err)
	}
}
