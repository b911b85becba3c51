// Package database is a stand-in for a database group: databases with
// terms, log positions and asynchronous replication, which answer real SQL
// over the PostgreSQL protocol.
package database

import (
	"context"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	applyInterval    = time.Millisecond
	reconnectBackoff = 20 * time.Millisecond
)

// Settings describe one database of a group.
type Settings struct {
	Name           string
	Zone           string
	Address        string
	MaxConnections int
	ConnectDelay   time.Duration
	// ReplicationDelay is the one-way time from the primary's log to a
	// replica's.
	ReplicationDelay time.Duration
}

// Database is one running stand-in database.
type Database struct {
	settings Settings
	state    *State
	engine   *engine
	group    *Group
	listener net.Listener
	log      *zap.Logger

	lag     atomic.Int64
	stopped atomic.Bool
	// replayAll ignores the lag while a promotion waits for the replay.
	replayAll atomic.Bool
	cutZones  atomic.Pointer[zoneSet]
	healed    atomic.Pointer[chan struct{}]

	mu       sync.Mutex
	sessions map[*session]struct{}
	nextPID  uint32
}

type zoneSet struct{ except string }

// Group is a running database group.
type Group struct {
	Name      string
	Databases []*Database
	clock     clock.Clock
	done      chan struct{}
	wait      sync.WaitGroup
}

// NewGroup starts a group whose first database is primary in term 1. The
// databases keep their rows below folder until Close.
func NewGroup(name string, folder string, c clock.Clock, log *zap.Logger, settings []Settings) (*Group, error) {
	g := &Group{Name: name, clock: c, done: make(chan struct{})}
	for _, s := range settings {
		d, err := newDatabase(g, filepath.Join(folder, name, s.Name), log, s)
		if err != nil {
			g.Close()
			return nil, err
		}
		g.Databases = append(g.Databases, d)
	}
	if err := g.elect(); err != nil {
		g.Close()
		return nil, err
	}
	for _, d := range g.Databases {
		g.wait.Add(3)
		go d.serve(d.listener)
		go d.replicate()
		go d.applyLog()
	}
	return g, nil
}

func (g *Group) elect() error {
	first := g.Databases[0]
	for _, d := range g.Databases {
		if _, err := d.state.Fence(1, "creation"); err != nil {
			return err
		}
	}
	if _, err := first.state.Promote(1, "creation"); err != nil {
		return err
	}
	for _, d := range g.Databases[1:] {
		if _, err := d.state.Follow(1, first.settings.Name); err != nil {
			return err
		}
	}
	return nil
}

func newDatabase(g *Group, folder string, log *zap.Logger, s Settings) (*Database, error) {
	e, err := newEngine(folder)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, errors.Wrap(errors.Join(err, e.close()), "listen for the stand-in database")
	}
	d := &Database{
		settings: s, state: NewState(s.Name), engine: e, group: g, listener: l,
		log: log, sessions: make(map[*session]struct{}),
	}
	healed := make(chan struct{})
	d.healed.Store(&healed)
	return d, nil
}

// Close stops all databases and removes their rows.
func (g *Group) Close() {
	select {
	case <-g.done:
		return
	default:
		close(g.done)
	}
	for _, d := range g.Databases {
		d.mu.Lock()
		d.listener.Close()
		d.mu.Unlock()
		d.closeSessions()
	}
	g.wait.Wait()
	for _, d := range g.Databases {
		if err := d.engine.close(); err != nil {
			d.log.Warn("stand-in rows not removed", zap.Error(err))
		}
	}
}

// Find returns the database of this name, or nil.
func (g *Group) Find(name string) *Database {
	for _, d := range g.Databases {
		if d.settings.Name == name {
			return d
		}
	}
	return nil
}

// Primary returns the database that leads the highest term.
func (g *Group) Primary() *Database {
	var best *Database
	var term uint64
	for _, d := range g.Databases {
		s := d.state.Status()
		if s.Role == Primary && s.Term > term {
			best, term = d, s.Term
		}
	}
	return best
}

// Address returns where the database listens.
func (d *Database) Address() string { return d.listener.Addr().String() }

// Name returns the database's name within its group.
func (d *Database) Name() string { return d.settings.Name }

// Zone returns the database's availability zone.
func (d *Database) Zone() string { return d.settings.Zone }

// Status returns the true status, past all faults.
func (d *Database) Status() Status { return d.state.Status() }

// SetLag delays the application of received log entries.
func (d *Database) SetLag(lag clock.Duration) { d.lag.Store(int64(lag)) }

// Stop ends all sessions and refuses connections until Heal, as a server
// process that has ended.
func (d *Database) Stop() {
	d.stopped.Store(true)
	d.mu.Lock()
	_ = d.listener.Close()
	d.mu.Unlock()
	d.closeSessions()
}

// Partition cuts the database from all peers and callers of other zones,
// without closing their connections.
func (d *Database) Partition() {
	d.cutZones.Store(&zoneSet{except: d.settings.Zone})
}

// Heal ends all faults of the database.
func (d *Database) Heal() {
	if d.stopped.Swap(false) {
		d.listenAgain()
	}
	d.cutZones.Store(nil)
	d.SetLag(0)
	fresh := make(chan struct{})
	close(*d.healed.Swap(&fresh))
}

// listenAgain serves on the same address as before a stop.
func (d *Database) listenAgain() {
	l, err := net.Listen("tcp", d.listener.Addr().String())
	if err != nil {
		d.log.Error("stand-in does not listen again", zap.Error(err))
		return
	}
	d.mu.Lock()
	d.listener = l
	d.mu.Unlock()
	d.group.wait.Add(1)
	go d.serve(l)
}

func (d *Database) isCutFrom(zone string) bool {
	z := d.cutZones.Load()
	return z != nil && z.except != zone
}

// awaitReachable blocks while a partition separates zone from the database.
// It returns false if the group closes first.
func (d *Database) awaitReachable(zone string) bool {
	for d.isCutFrom(zone) {
		healed := *d.healed.Load()
		if !d.isCutFrom(zone) {
			return true
		}
		select {
		case <-healed:
		case <-d.group.done:
			return false
		}
	}
	return true
}

func (d *Database) closeSessions() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for s := range d.sessions {
		s.conn.Close()
	}
}

// replicate copies the log of the followed primary until the group closes.
func (d *Database) replicate() {
	defer d.group.wait.Done()
	for {
		wake := d.copyFromPrimary()
		timer := time.NewTimer(reconnectBackoff)
		select {
		case <-wake:
		case <-timer.C:
		case <-d.group.done:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (d *Database) copyFromPrimary() <-chan struct{} {
	source := d.group.Find(d.state.Following())
	if source == nil || !d.connected(source) {
		return nil
	}
	transfer, appended, ok := source.state.Transfer(d.state)
	if !ok {
		return nil
	}
	if !d.state.NeedsTransfer(transfer) {
		return appended
	}
	d.sleep(d.settings.ReplicationDelay)
	if !d.connected(source) {
		return nil
	}
	if rebuild, ok := d.state.Accept(transfer); ok && rebuild {
		d.rebuild()
	}
	return appended
}

// promote replays the received log and then leads term.
func (d *Database) promote(term uint64, owner string) (Status, error) {
	d.replayAll.Store(true)
	defer d.replayAll.Store(false)
	for {
		status, err := d.state.Promote(term, owner)
		var refused *TermError
		if err == nil || !errors.As(err, &refused) || refused.Operation == "promote" {
			return status, err
		}
		d.sleep(applyInterval)
	}
}

func (d *Database) connected(source *Database) bool {
	return !source.stopped.Load() && !d.stopped.Load() &&
		!source.isCutFrom(d.settings.Zone) && !d.isCutFrom(source.settings.Zone)
}

func (d *Database) sleep(duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.group.done:
	}
}

func (d *Database) rebuild() {
	d.closeSessions()
	if err := d.engine.reset(); err != nil {
		d.log.Error("stand-in rows not reset", zap.Error(err))
	}
	d.state.FinishRebuild()
}

// applyLog applies received entries in order, each once it is older than
// the set lag.
func (d *Database) applyLog() {
	defer d.group.wait.Done()
	for {
		select {
		case <-d.group.done:
			return
		default:
		}
		lag := clock.Duration(d.lag.Load())
		if d.replayAll.Load() {
			lag = 0
		}
		entry, due := d.state.NextToApply(d.group.clock.Now(), lag)
		if !due {
			d.awaitEntry()
			continue
		}
		if err := d.engine.apply(context.Background(), entry); err != nil {
			d.log.Error("stand-in log entry not applied", zap.String("database", d.settings.Name), zap.Error(err))
			d.sleep(reconnectBackoff)
			continue
		}
		d.state.MarkApplied(entry.Position)
	}
}

// awaitEntry waits for a log entry to arrive, or shortly for one to become
// due.
func (d *Database) awaitEntry() {
	d.state.mu.Lock()
	appended := d.state.appended
	pending := d.state.role == Replica && d.state.applied < len(d.state.entries)
	d.state.mu.Unlock()
	if pending {
		d.sleep(applyInterval)
		return
	}
	select {
	case <-appended:
	case <-d.group.done:
	}
}
