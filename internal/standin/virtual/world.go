// Package virtual is a stand-in for instances, their network and a database
// group in virtual time, for tests of the decisions. One seed gives one run.
package virtual

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Node is an instance in a zone.
type Node struct {
	Name string
	Zone string
	// Down drops all that reaches the node.
	Down bool
	// pausedUntil holds back all that the node does, without its notice.
	pausedUntil time.Duration
}

// Network is how messages fare between two nodes.
type Network struct {
	// InterZoneDelay is the time between two zones, and IntraZoneDelay within one.
	InterZoneDelay, IntraZoneDelay time.Duration
	// Jitter is added at random, up to itself.
	Jitter time.Duration
	// Drop and Duplicate are the chances that a message is lost or comes twice.
	Drop, Duplicate float64
	// Partitioned tells whether a partition separates two nodes.
	Partitioned func(from, to *Node) bool
}

// World runs events in the order of their virtual time.
type World struct {
	Network Network
	Rand    *rand.Rand

	now   time.Duration
	queue eventQueue
	order uint64
}

// NewWorld returns a world at time zero.
func NewWorld(seed uint64, n Network) *World {
	return &World{Network: n, Rand: rand.New(rand.NewPCG(seed, 0x6f6c65616e646572))}
}

// Now returns the virtual time as the decisions' clock shows it.
func (w *World) Now() clock.Time { return clock.Time(w.now.Milliseconds()) }

// Elapsed returns the virtual time since the start.
func (w *World) Elapsed() time.Duration { return w.now }

// After runs f when d has passed.
func (w *World) After(d time.Duration, f func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + d, order: w.order, run: f})
}

// AfterOn runs f on a node when d has passed, or as soon as the node is not
// paused any more. A node that is down drops it.
func (w *World) AfterOn(n *Node, d time.Duration, f func()) {
	w.After(d, func() { w.on(n, f) })
}

func (w *World) on(n *Node, f func()) {
	switch {
	case n.Down:
	case n.pausedUntil > w.now:
		w.After(n.pausedUntil-w.now, func() { w.on(n, f) })
	default:
		f()
	}
}

// Every runs f on a node at each interval, from a random moment on, until
// the node is down.
func (w *World) Every(n *Node, interval time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		w.AfterOn(n, interval, tick)
	}
	w.AfterOn(n, time.Duration(w.Rand.Int64N(int64(interval)+1)), tick)
}

// Pause stops a node for d. What it was about to do happens afterwards.
func (w *World) Pause(n *Node, d time.Duration) { n.pausedUntil = w.now + d }

// Send delivers f to another node, as the network allows.
func (w *World) Send(from, to *Node, f func()) {
	n := &w.Network
	if n.Drop > 0 && w.Rand.Float64() < n.Drop {
		return
	}
	w.deliver(from, to, f)
	if n.Duplicate > 0 && w.Rand.Float64() < n.Duplicate {
		w.deliver(from, to, f)
	}
}

// SendOnce delivers f as a stream does: it may be lost, but does not come
// twice.
func (w *World) SendOnce(from, to *Node, f func()) {
	if w.Network.Drop > 0 && w.Rand.Float64() < w.Network.Drop {
		return
	}
	w.deliver(from, to, f)
}

func (w *World) deliver(from, to *Node, f func()) {
	w.After(w.latency(from, to), func() {
		if w.Network.Partitioned == nil || !w.Network.Partitioned(from, to) {
			w.on(to, f)
		}
	})
}

func (w *World) latency(from, to *Node) time.Duration {
	d := w.Network.InterZoneDelay
	if from.Zone == to.Zone {
		d = w.Network.IntraZoneDelay
	}
	if w.Network.Jitter > 0 {
		d += time.Duration(w.Rand.Int64N(int64(w.Network.Jitter)))
	}
	return d
}

// Run runs all events up to a time. It calls check after each, if not nil.
func (w *World) Run(until time.Duration, check func()) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		if check != nil {
			check()
		}
	}
	w.now = until
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
