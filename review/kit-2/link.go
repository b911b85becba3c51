//go:build review

package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
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
	// silent has the names of the proxies from which the database is partitioned: what they
	// send is not passed on, and they are sent nothing.
	silent map[string]bool
}

// cut partitions the database from proxies, which it knows by the second field of CONNECT.
func (l *link) cut(names ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = make(map[string]bool)
	for _, n := range names {
		l.silent[n] = true
	}
}

// heal ends the partition. The connections on which bytes were dropped end.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = nil
}

func (l *link) isSilent(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent[name]
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
	reader := bufio.NewReader(c)
	connect, err := reader.ReadString('\n')
	fields := strings.Fields(connect)
	if err != nil || len(fields) < 3 {
		reset(c)
		return
	}
	name := fields[2]
	if l.isSilent(name) {
		l.swallow(c, name)
		return
	}
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
	_, _ = io.WriteString(t, connect)
	go func() {
		l.copyUntilEnd(t, reader, name)
		reset(t)
		reset(c)
	}()
	l.copyUntilEnd(c, t, name)
	reset(c)
	reset(t)
	l.mu.Lock()
	delete(l.open, c)
	delete(l.open, t)
	l.mu.Unlock()
}

// swallow keeps a connection open, without an answer, until the partition ends.
func (l *link) swallow(c net.Conn, name string) {
	for l.isSilent(name) {
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := c.Read(make([]byte, 4096)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	reset(c)
}

// copyUntilEnd copies until one side ends. Once the database was partitioned from the proxy,
// nothing more is passed on, and the connection ends with the partition.
func (l *link) copyUntilEnd(to io.Writer, from io.Reader, name string) {
	buffer := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if err != nil || lost && !l.isSilent(name) {
			return
		}
		if l.isSilent(name) {
			lost = true
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
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
