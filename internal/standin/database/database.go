// Package database is a stand-in for a database group, for development and
// tests. Its databases have terms, log positions and asynchronous
// replication. They speak the PostgreSQL protocol and run SQL in SQLite.
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

// Settings configures one database of a group.
type Settings struct {
	Name    string
	Zone    string
	Address string
	// MaxConnections is the connection limit, zero for none.
	MaxConnections int
	// ConnectDelay is added to each connection's startup.
	ConnectDelay time.Duration
	// ReplicationDelay is the one-way delay with which the database receives
	// the primary's log.
	ReplicationDelay time.Duration
}

// Database is one running database of a stand-in group.
type Database struct {
	settings Settings
	state    *State
	engine   *engine
	group    *Group
	listener net.Listener
	log      *zap.Logger

	// lag is a clock.Duration.
	lag     atomic.Int64
	stopped atomic.Bool
	// replayAll makes applyLog ignore the lag while a promotion waits for
	// the received log to be applied.
	replayAll atomic.Bool
	partition atomic.Pointer[zonePartition]
	// cancelDelay is a time.Duration.
	cancelDelay atomic.Int64
	answerFault atomic.Pointer[AnswerFault]
	// healed points to a channel that Heal closes and replaces.
	healed atomic.Pointer[chan struct{}]

	mu       sync.Mutex
	sessions map[*session]struct{}
	nextPID  uint32
}

// zonePartition isolates a database from all zones but one.
type zonePartition struct{ reachableZone string }

// Group is a running group of stand-in databases.
type Group struct {
	Name      string
	Databases []*Database
	clock     clock.Clock
	done      chan struct{}
	wg        sync.WaitGroup
}

// NewGroup starts a group whose first database is primary in term 1. The
// databases store their rows below folder until Close. It returns an error if
// a folder cannot be created or an address is not free.
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
	if err := g.startFirstTerm(); err != nil {
		g.Close()
		return nil, err
	}
	for _, d := range g.Databases {
		g.wg.Add(3)
		go d.serve(d.listener)
		go d.replicate()
		go d.applyLog()
	}
	return g, nil
}

func (g *Group) startFirstTerm() error {
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
		return nil, errors.Wrap(errors.Join(err, e.close()), "listen on the address of a stand-in database")
	}
	d := &Database{
		settings: s, state: NewState(s.Name), engine: e, group: g, listener: l,
		log: log, sessions: make(map[*session]struct{}),
	}
	healed := make(chan struct{})
	d.healed.Store(&healed)
	return d, nil
}

// Close stops all databases and deletes their rows.
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
	g.wg.Wait()
	for _, d := range g.Databases {
		if err := d.engine.close(); err != nil {
			d.log.Warn("cannot delete the rows of a stand-in database", zap.Error(err))
		}
	}
}

// Find returns the database called name, or nil if there is none.
func (g *Group) Find(name string) *Database {
	for _, d := range g.Databases {
		if d.settings.Name == name {
			return d
		}
	}
	return nil
}

// Primary returns the primary with the highest term, or nil if there is none.
func (g *Group) Primary() *Database {
	var primary *Database
	var term uint64
	for _, d := range g.Databases {
		s := d.state.Status()
		if s.Role == Primary && s.Term > term {
			primary, term = d, s.Term
		}
	}
	return primary
}

// Address returns the address on which the database listens.
func (d *Database) Address() string { return d.listener.Addr().String() }

// Name returns the database's name within its group.
func (d *Database) Name() string { return d.settings.Name }

// Zone returns the database's availability zone.
func (d *Database) Zone() string { return d.settings.Zone }

// Status returns the current status, even while the database is stopped or
// partitioned.
func (d *Database) Status() Status { return d.state.Status() }

// SetLag sets the minimum age at which a replica applies a log entry.
func (d *Database) SetLag(lag clock.Duration) { d.lag.Store(int64(lag)) }

// SetCancelDelay sets the time by which cancel requests are late.
func (d *Database) SetCancelDelay(delay time.Duration) { d.cancelDelay.Store(int64(delay)) }

// Stop closes all sessions and refuses connections until Heal, like a server
// process that has exited.
func (d *Database) Stop() {
	d.stopped.Store(true)
	d.mu.Lock()
	_ = d.listener.Close()
	d.mu.Unlock()
	d.closeSessions()
}

// Partition isolates the database from the databases and callers of other
// zones until Heal. Their connections stay open.
func (d *Database) Partition() {
	d.partition.Store(&zonePartition{reachableZone: d.settings.Zone})
}

// Heal ends all faults of the database: a stop, a partition and a lag.
func (d *Database) Heal() {
	if d.stopped.Swap(false) {
		d.listenAgain()
	}
	d.partition.Store(nil)
	d.SetLag(0)
	next := make(chan struct{})
	close(*d.healed.Swap(&next))
}

// listenAgain listens on the same address as before a stop.
func (d *Database) listenAgain() {
	l, err := net.Listen("tcp", d.listener.Addr().String())
	if err != nil {
		d.log.Error("a stopped stand-in database cannot listen again", zap.Error(err))
		return
	}
	d.mu.Lock()
	d.listener = l
	d.mu.Unlock()
	d.group.wg.Add(1)
	go d.serve(l)
}

func (d *Database) isPartitionedFrom(zone string) bool {
	p := d.partition.Load()
	return p != nil && p.reachableZone != zone
}

// awaitReachable blocks while a partition isolates the database from zone. It
// returns false if the group closes first.
func (d *Database) awaitReachable(zone string) bool {
	for d.isPartitionedFrom(zone) {
		healed := *d.healed.Load()
		if !d.isPartitionedFrom(zone) {
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

// replicate copies the log of the primary that the database follows, until
// the group closes.
func (d *Database) replicate() {
	defer d.group.wg.Done()
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

// copyFromPrimary copies the entries that the database's log lacks. It returns
// a channel that is closed when the primary appends to its log, or nil if there
// is no primary to copy from.
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

// promote waits until the received log is applied and then makes the database
// primary in term.
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

// connected reports whether both databases run and no partition separates
// them.
func (d *Database) connected(source *Database) bool {
	return !source.stopped.Load() && !d.stopped.Load() &&
		!source.isPartitionedFrom(d.settings.Zone) && !d.isPartitionedFrom(source.settings.Zone)
}

// sleep waits for duration, or until the group closes.
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

// rebuild closes all sessions and empties the database so that its whole log is
// applied again.
func (d *Database) rebuild() {
	d.closeSessions()
	if err := d.engine.reset(); err != nil {
		d.log.Error("cannot empty a stand-in database before its log is applied again", zap.Error(err))
	}
	d.state.FinishRebuild()
}

// applyLog applies the received entries in order, each as soon as its age
// reaches the lag.
func (d *Database) applyLog() {
	defer d.group.wg.Done()
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
			d.log.Error("cannot apply a log entry to a stand-in database", zap.String("database", d.settings.Name), zap.Error(err))
			d.sleep(reconnectBackoff)
			continue
		}
		d.state.MarkApplied(entry.Position)
	}
}

// awaitEntry waits until a log entry is appended. If received entries are
// still to be applied, it waits for applyInterval instead.
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
