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

// Response is a database's response to an operation.
type Response struct {
	Status process.Status
	// Accepted is false if the database refused the operation.
	Accepted bool
	// ConnectionRefused is set if the host refused the connection because the
	// database is stopped. The operation did not run.
	ConnectionRefused bool
	// Position is the position of a write's commit.
	Position position.Position
}

// Database is one database of a simulated group.
type Database struct {
	Node  Node
	State *standin.State
	// Index is the database's index in Group.Databases.
	Index int
	// Stopped makes the host refuse connections.
	Stopped bool
	// ResponseDelay is added to every response.
	ResponseDelay time.Duration
	// Lag returns the minimum age at which log entries are applied at the
	// virtual time now. Nil means no lag.
	Lag func(now time.Duration) clock.Duration

	group *Group
}

// Group is a simulated database group.
type Group struct {
	World     *World
	Databases []*Database
}

// NewGroup returns a group with one database in each of zones, named a, b and
// so on. The first is primary in term 1.
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

// Primary returns the primary with the highest term, or nil if there is none.
func (g *Group) Primary() *Database {
	var primary *Database
	for _, d := range g.Databases {
		s := d.State.Status()
		if s.Role == standin.Primary && (primary == nil || s.Term > primary.State.Status().Term) {
			primary = d
		}
	}
	return primary
}

// pull copies the log of the primary that the database follows, if it can be
// reached.
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

// Call runs operation on the database, then reply with the response on the
// calling node. As the network may lose or duplicate messages, each may run
// several times or not at all.
func (d *Database) Call(from *Node, operation func(*standin.State) (standin.Status, error), reply func(Response)) {
	w := d.group.World
	w.Send(from, &d.Node, func() {
		if d.Stopped {
			w.Send(&d.Node, from, func() { reply(Response{ConnectionRefused: true}) })
			return
		}
		status, err := operation(d.State)
		var refused *standin.TermError
		response := Response{Status: ConvertStatus(status), Accepted: !errors.As(err, &refused)}
		w.AfterOn(&d.Node, d.ResponseDelay, func() { w.Send(&d.Node, from, func() { reply(response) }) })
	})
}

// Write commits a statement whose text is id, runs reply with the position of
// the commit on the calling node, and sends the log to the replicas at once. A
// write is sent over a stream, so the network does not duplicate it.
func (d *Database) Write(from *Node, id string, reply func(Response)) {
	w := d.group.World
	w.SendOnce(from, &d.Node, func() {
		if d.Stopped {
			w.Send(&d.Node, from, func() { reply(Response{ConnectionRefused: true}) })
			return
		}
		p, err := d.State.Commit(w.Now(), []standin.Statement{{SQL: id}}, func() error { return nil })
		response := Response{Accepted: err == nil, Position: p, Status: ConvertStatus(d.State.Status())}
		w.AfterOn(&d.Node, d.ResponseDelay, func() { w.SendOnce(&d.Node, from, func() { reply(response) }) })
		d.push()
	})
}

// push sends the missing log entries to each replica that follows the database.
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

// ConvertStatus converts a stand-in's status to the type that the proxies use.
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
