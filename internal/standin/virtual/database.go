package virtual

import (
	"time"

	"github.com/go-faster/errors"

	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	standin "github.com/oleanderflow/oleanderflow/internal/standin/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

const replicationInterval = 5 * time.Millisecond

// Response is a database's answer to a question or an operation.
type Response struct {
	Status process.Status
	// Accepted is false for an operation that the database refused.
	Accepted bool
	// Refused is set if the database's host refused the connection.
	Refused bool
	// Position is that of the commit, for a write.
	Position position.Position
}

// Database is one database of a virtual group.
type Database struct {
	Node  Node
	State *standin.State
	Index int
	// Stopped makes the host refuse connections.
	Stopped bool
	// ResponseDelay is added to every answer.
	ResponseDelay time.Duration
	// Lag delays the application of the log at a time.
	Lag func(now time.Duration) clock.Duration

	group *Group
}

// Group is a virtual database group.
type Group struct {
	World     *World
	Databases []*Database
}

// NewGroup returns a group with one database in each zone given, the first
// of which is primary in term 1.
func NewGroup(w *World, zones []string) *Group {
	g := &Group{World: w}
	for i, zone := range zones {
		name := string(rune('a' + i))
		d := &Database{Node: Node{Name: name, Zone: zone}, State: standin.NewState(name), Index: i, group: g}
		g.Databases = append(g.Databases, d)
		w.Every(&d.Node, replicationInterval, d.pull)
		w.Every(&d.Node, time.Millisecond, d.apply)
	}
	for _, d := range g.Databases {
		_, _ = d.State.Fence(1, "creation")
	}
	_, _ = g.Databases[0].State.Promote(1, "creation")
	for _, d := range g.Databases[1:] {
		_, _ = d.State.Follow(1, "a")
	}
	return g
}

// Leader returns the database that leads the highest term.
func (g *Group) Leader() *Database {
	var best *Database
	for _, d := range g.Databases {
		s := d.State.Status()
		if s.Role == standin.Primary && (best == nil || s.Term > best.State.Status().Term) {
			best = d
		}
	}
	return best
}

// pull copies the log of the followed primary, if it can be reached.
func (d *Database) pull() {
	source := d.group.find(d.State.Following())
	if source == nil || source.Stopped || d.Stopped || source.Node.Down {
		return
	}
	w := d.group.World
	w.Send(&d.Node, &source.Node, func() {
		transfer, _, ok := source.State.Transfer(d.State)
		if !ok || !d.State.NeedsTransfer(transfer) {
			return
		}
		w.Send(&source.Node, &d.Node, func() { d.accept(transfer) })
	})
}

func (d *Database) accept(t standin.Transfer) {
	if d.Stopped {
		return
	}
	if rebuild, ok := d.State.Accept(t); ok && rebuild {
		d.State.FinishRebuild()
	}
	d.apply()
}

func (d *Database) apply() {
	var lag clock.Duration
	if d.Lag != nil {
		lag = d.Lag(d.group.World.now)
	}
	for {
		e, due := d.State.NextToApply(d.group.World.Now(), lag)
		if !due {
			return
		}
		d.State.MarkApplied(e.Position)
	}
}

func (g *Group) find(name string) *Database {
	for _, d := range g.Databases {
		if d.State.Status().Name == name && name != "" {
			return d
		}
	}
	return nil
}

// Call sends a question to the database and its answer back.
func (d *Database) Call(from *Node, operation func(*standin.State) (standin.Status, error), reply func(Response)) {
	w := d.group.World
	w.Send(from, &d.Node, func() {
		if d.Stopped {
			w.Send(&d.Node, from, func() { reply(Response{Refused: true}) })
			return
		}
		status, err := operation(d.State)
		var refused *standin.TermError
		answer := Response{Status: ConvertStatus(status), Accepted: !errors.As(err, &refused)}
		w.AfterOn(&d.Node, d.ResponseDelay, func() { w.Send(&d.Node, from, func() { reply(answer) }) })
	})
}

// Write commits one statement and sends back its position. The replicas
// are sent the log at once. A write travels in a stream, so that the network
// itself does not repeat it.
func (d *Database) Write(from *Node, id string, reply func(Response)) {
	w := d.group.World
	w.SendOnce(from, &d.Node, func() {
		if d.Stopped {
			w.Send(&d.Node, from, func() { reply(Response{Refused: true}) })
			return
		}
		p, err := d.State.Commit(w.Now(), []standin.Statement{{SQL: id}}, func() error { return nil })
		answer := Response{Accepted: err == nil, Position: p, Status: ConvertStatus(d.State.Status())}
		w.AfterOn(&d.Node, d.ResponseDelay, func() { w.SendOnce(&d.Node, from, func() { reply(answer) }) })
		d.push()
	})
}

// push sends what the followers lack.
func (d *Database) push() {
	for _, other := range d.group.Databases {
		if other == d || other.State.Following() != d.State.Status().Name || other.Stopped {
			continue
		}
		transfer, _, ok := d.State.Transfer(other.State)
		if ok && d.State.Status().Role == standin.Primary {
			d.group.World.Send(&d.Node, &other.Node, func() { other.accept(transfer) })
		}
	}
}

// ConvertStatus turns the stand-in's status into the decisions' own.
func ConvertStatus(s standin.Status) process.Status {
	role := process.RoleReplica
	if s.Role == standin.Primary {
		role = process.RolePrimary
	}
	return process.Status{
		Role: role, Term: s.Term, Fenced: s.Fenced,
		Received: s.Received, Applied: s.Applied, TermStart: s.TermStart,
	}
}
