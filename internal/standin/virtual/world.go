// Package virtual simulates instances, their network and a database group in
// virtual time, to test the proxies' decisions. The same seed gives the same
// run.
package virtual

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Node is a simulated instance or database host.
type Node struct {
	Name string
	Zone string
	// Down drops all messages to the node and all that it has scheduled.
	Down bool
	// pausedUntil delays all that the node does until this time, like a
	// suspended process.
	pausedUntil time.Duration
}

// Network sets the delays and faults of messages between nodes.
type Network struct {
	// InterZoneDelay is the one-way delay between zones, IntraZoneDelay that
	// within a zone.
	InterZoneDelay, IntraZoneDelay time.Duration
	// Jitter is the upper bound of a random extra delay.
	Jitter time.Duration
	// Drop and Duplicate are the probabilities, from 0 to 1, that a message is
	// lost or delivered twice.
	Drop, Duplicate float64
	// Partitioned reports whether a partition separates two nodes when a
	// message arrives. It may be nil.
	Partitioned func(from, to *Node) bool
}

// World runs events in the order of their virtual time. Events of the same time
// run in the order in which they were scheduled.
type World struct {
	Network Network
	Rand    *rand.Rand

	now      time.Duration
	queue    eventQueue
	sequence uint64
}

// NewWorld returns a world at time zero whose random choices depend on seed
// alone.
func NewWorld(seed uint64, n Network) *World {
	return &World{Network: n, Rand: rand.New(rand.NewPCG(seed, 0x6f6c65616e646572))}
}

// Now returns the virtual time in the unit of the proxies' clock.
func (w *World) Now() clock.Time { return clock.Time(w.now.Milliseconds()) }

// Elapsed returns the virtual time since the start.
func (w *World) Elapsed() time.Duration { return w.now }

// After runs f after d.
func (w *World) After(d time.Duration, f func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.now + d, sequence: w.sequence, run: f})
}

// AfterOn runs f on a node after d, or at the end of the node's pause if that
// is later. If the node is down, f does not run.
func (w *World) AfterOn(n *Node, d time.Duration, f func()) {
	w.After(d, func() { w.runOn(n, f) })
}

func (w *World) runOn(n *Node, f func()) {
	switch {
	case n.Down:
	case n.pausedUntil > w.now:
		w.After(n.pausedUntil-w.now, func() { w.runOn(n, f) })
	default:
		f()
	}
}

// Every runs f on a node at each interval until the node is down. The first run
// is after a random part of the interval.
func (w *World) Every(n *Node, interval time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		w.AfterOn(n, interval, tick)
	}
	w.AfterOn(n, time.Duration(w.Rand.Int64N(int64(interval)+1)), tick)
}

// Pause suspends a node for d. What was due in the meantime runs afterwards.
func (w *World) Pause(n *Node, d time.Duration) { n.pausedUntil = w.now + d }

// Send runs f on another node after the network delay. The message may be lost
// or duplicated.
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

// SendOnce is Send over a stream: the message may be lost, but is not
// duplicated.
func (w *World) SendOnce(from, to *Node, f func()) {
	if w.Network.Drop > 0 && w.Rand.Float64() < w.Network.Drop {
		return
	}
	w.deliver(from, to, f)
}

func (w *World) deliver(from, to *Node, f func()) {
	w.After(w.latency(from, to), func() {
		if w.Network.Partitioned == nil || !w.Network.Partitioned(from, to) {
			w.runOn(to, f)
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

// Run runs all events up to and including the time until. It calls check after
// each event, if not nil.
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
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
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
