// Package front runs one instance of the proxy before the platform's
// databases: it follows the configuration and the registry in the platform's
// store, serves callers' sessions, and replaces primaries.
package front

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/promotion"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// tickEvery is the time between two looks at all groups.
	tickEvery = 50 * clock.Millisecond
	// probeEvery is the time between two questions to a database that could
	// not be reached.
	probeEvery = 150 * clock.Millisecond
	// leaderlessEvery is the time between two questions to all databases of a
	// group without a known primary. The registry usually tells sooner.
	leaderlessEvery = 250 * clock.Millisecond
	// tryEvery is the time between two questions to databases that could not
	// be reached, which get no requests until they answer.
	tryEvery = 700 * clock.Millisecond
	// stepDownEvery is the time between two orders to a database that leads
	// an earlier term.
	stepDownEvery = 300 * clock.Millisecond
	// drainMargin is left of the time for which a leaving database may get
	// requests, since the registry's news takes a while.
	drainMargin = 1500 * clock.Millisecond
	// silentAfter is how long a primary may leave requests unanswered before
	// it is asked for its status.
	silentAfter = 250 * clock.Millisecond
)

// Peers are how the process reaches the platform and its peers.
type Peers struct {
	Store      store.Store
	Promotions promotion.Service
	Dialer     backend.Dialer
	// Accept wraps a connection from a caller.
	Accept func(net.Conn) session.Caller
	// DecodeVersion reads a row of the configuration table; nil for a row that
	// holds none.
	DecodeVersion func(store.Row) (*routes.Version, error)
	// DecodeEntry reads a row of the registry.
	DecodeEntry func(store.Row) (group.Entry, error)
	// ConfigurationTable and RegistryTable are the tables' names.
	ConfigurationTable, RegistryTable string
}

// Front is one instance of the proxy. Its lock is taken before those of a
// group.
type Front struct {
	settings Settings
	peers    Peers
	clock    clock.Clock
	log      *zap.Logger
	metrics  *Metrics
	// dropped tells how many log lines were dropped; nil if nobody counts.
	dropped   func() uint64
	shared    session.Dependencies
	self      proxy.Peer
	peersConn *proxy.Peers
	homes     *peer.Homes
	host      *session.Host
	relays    *relays
	outage    outage
	strain    strain
	gaugedAt  clock.Time
	versions  routes.Current

	mu       sync.Mutex
	groups   map[string]*served
	groupOf  map[string]string
	members  map[string]proxy.Peer
	sessions map[uint64]*session.Session

	grace    atomic.Int64
	listed   atomic.Bool
	leaving  atomic.Bool
	lastID   atomic.Uint64
	listener net.Listener
	done     chan struct{}
	// membersSeen is closed once the live proxies are known, among them this
	// one or those that follow the store for others.
	membersSeen chan struct{}
	seeMembers  sync.Once
}

// served is a group with what this process does for it.
type served struct {
	*backend.Serving
	replacement *replacement
	probedAt    clock.Time
	steppedAt   clock.Time
	triedAt     clock.Time
}

// New returns an instance that is not started.
func New(s Settings, p Peers, c clock.Clock, log *zap.Logger, m *Metrics) *Front {
	f := &Front{
		settings: s, peers: p, clock: c, log: log, metrics: m,
		groups: make(map[string]*served), groupOf: make(map[string]string),
		members: make(map[string]proxy.Peer), sessions: make(map[uint64]*session.Session), done: make(chan struct{}),
		membersSeen: make(chan struct{}),
	}
	f.shared = session.Dependencies{Clock: c, Configuration: &f.versions, Group: f.Group, Log: log, Recorder: m, Self: s.Name}
	f.grace.Store(int64(s.Grace))
	f.self = proxy.Peer{Name: s.Name, Zone: s.Zone, Address: s.Peers}
	return f
}

// Start listens for callers and begins to follow the store.
func (f *Front) Start() error {
	l, err := net.Listen("tcp4", f.settings.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	f.listener = l
	f.host = session.NewHost(&f.shared)
	tables := []string{membersTable, f.peers.ConfigurationTable, f.peers.RegistryTable, agreementTable}
	f.relays = newRelays(f.self, tables, f.clock, f.log)
	if f.peersConn, err = proxy.NewPeers(f.settings.Peers, &receiver{relays: f.relays, host: f.host}, f.log); err != nil {
		return err
	}
	f.self.Address = f.peersConn.Address()
	f.relays.peers = f.peersConn
	f.homes = peer.NewHomes(f.settings.Name, f.settings.Zone, f.peersConn, f.clock)
	f.shared.Homes = f.homes
	go f.follow(membersTable, membersSpacing, f.acceptMembers)
	go f.followOthers()
	go f.watch()
	go f.accept()
	return nil
}

// membersFirst is how long the other tables wait for the live proxies, among
// which are those to follow the store from. Proxies that start together have
// joined within it.
const membersFirst = 300 * clock.Millisecond

// followOthers follows all tables but the members'.
func (f *Front) followOthers() {
	backend.Pause(f.membersSeen, membersFirst)
	go f.follow(f.peers.ConfigurationTable, followSpacing, f.acceptVersions)
	go f.follow(f.peers.RegistryTable, followSpacing, f.acceptEntries)
	go f.follow(agreementTable, agreementSpacing, f.acceptAgreement)
}

// Address returns where callers connect.
func (f *Front) Address() string { return f.listener.Addr().String() }

// Ready reports whether callers can be served.
func (f *Front) Ready() bool {
	return !f.leaving.Load() && f.versions.Load() != nil && f.listed.Load()
}

// Group returns a database group, nil if none of its databases is known.
func (f *Front) Group(name string) *backend.Serving {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g, ok := f.groups[name]; ok {
		return g.Serving
	}
	return nil
}

// groupLocked returns a group, made at its first use.
func (f *Front) groupLocked(name string) *served {
	g, ok := f.groups[name]
	if !ok {
		s := backend.NewServing(name, f.settings.Zone, backend.DefaultSettings(), f.peers.Dialer, f.clock, f.log, f.metrics.Asked)
		s.DrainLimit = max(f.settings.DrainLimit-drainMargin, 0)
		g = &served{Serving: s, replacement: newReplacement(f, s)}
		f.groups[name] = g
	}
	return g
}

func (f *Front) allGroups() []*served {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*served, 0, len(f.groups))
	for _, g := range f.groups {
		list = append(list, g)
	}
	return list
}

// acceptVersions takes in rows of the configuration table.
func (f *Front) acceptVersions(rows []store.Row, _ bool) {
	for _, row := range rows {
		v, err := f.peers.DecodeVersion(row)
		switch {
		case err != nil:
			f.log.Error("configuration not understood", zap.Uint64("row", row.Version), logs.Error(err))
		case v != nil && f.versions.Accept(v):
			f.declare(v)
			f.log.Info("configuration in force", zap.Uint64("version", v.Number), zap.Int("routes", len(v.Routes)))
		}
	}
}

// declare hands the groups' connection limits to those that divide them.
func (f *Front) declare(v *routes.Version) {
	granted := make(map[string]int, len(v.Groups))
	for name, g := range v.Groups {
		granted[name] = g.ConnectionLimit
	}
	f.homes.SetConnectionLimits(granted)
}

// acceptEntries takes in rows of the registry. In a whole table, databases
// that are not in it have lapsed.
func (f *Front) acceptEntries(rows []store.Row, whole bool) {
	seen := make(map[string]struct{}, len(rows))
	for _, row := range rows {
		if row.Deleted {
			f.lapse(row.Key)
			continue
		}
		e, err := f.peers.DecodeEntry(row)
		if err != nil {
			f.log.Warn("entry of the registry names no database", zap.String("key", row.Key), logs.Error(err))
			f.lapse(row.Key)
			continue
		}
		seen[e.ID] = struct{}{}
		f.mu.Lock()
		old, moved := f.groupOf[e.ID]
		f.groupOf[e.ID] = e.Group
		g := f.groupLocked(e.Group)
		var from *served
		if moved && old != e.Group {
			from = f.groups[old]
		}
		f.mu.Unlock()
		if from != nil {
			from.Lapse(f.clock.Now(), e.ID)
		}
		g.Update(e)
	}
	if whole {
		f.lapseOthers(seen)
		f.listed.Store(true)
	}
}

func (f *Front) lapse(id string) {
	f.mu.Lock()
	g := f.groups[f.groupOf[id]]
	f.mu.Unlock()
	if g != nil {
		f.log.Info("entry of database is missing", zap.String("group", g.Name), zap.String("database", id))
		g.Lapse(f.clock.Now(), id)
	}
}

func (f *Front) lapseOthers(seen map[string]struct{}) {
	for _, g := range f.allGroups() {
		for _, m := range g.Members() {
			if _, ok := seen[m.ID]; !ok && m.LapsedAt == 0 {
				f.lapse(m.ID)
			}
		}
	}
}

// acceptAgreement takes in claims and votes.
func (f *Front) acceptAgreement(rows []store.Row, _ bool) {
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		name, isClaim := strings.CutPrefix(row.Key, claimPrefix)
		if !isClaim {
			var isVote bool
			if name, isVote = strings.CutPrefix(row.Key, votePrefix); !isVote {
				continue
			}
			name, _, _ = strings.Cut(name, "/")
		}
		f.mu.Lock()
		g := f.groupLocked(name)
		f.mu.Unlock()
		g.replacement.see(row)
	}
}

// watch looks at all groups at intervals.
func (f *Front) watch() {
	for !f.isDone() {
		before := f.clock.Now()
		backend.Sleep(tickEvery)
		now := f.clock.Now()
		if strained, changed := f.strain.observe(now, now.Sub(before)-tickEvery); changed {
			f.log.Info("processor time for others", zap.Bool("short", strained))
			f.host.SetOverloaded(strained)
		}
		f.host.Sweep(now)
		if now.Sub(f.gaugedAt) >= gaugeEvery {
			f.gaugedAt = now
			f.updateGauges(now)
		}
		for _, g := range f.allGroups() {
			own, connections := f.homes.ServesLocally(g.Name)
			g.SetLimit(connections)
			g.Drop()
			g.Sweep(now, own)
			if !own {
				continue
			}
			g.tick(now)
			if !f.leaving.Load() {
				g.replacement.tick(now)
			}
		}
	}
}

// tick asks the databases whose state is in doubt.
func (g *served) tick(now clock.Time) {
	if ids, term := g.Stale(); len(ids) > 0 && now.Sub(g.steppedAt) >= stepDownEvery {
		g.steppedAt = now
		for _, id := range ids {
			go g.stepDown(id, term)
		}
	}
	if ids := g.Failing(); len(ids) > 0 && now.Sub(g.triedAt) >= tryEvery {
		g.triedAt = now
		for _, id := range ids {
			g.Ask(id)
		}
	}
	m, ok := g.Primary()
	switch {
	case !ok:
		g.Discover(leaderlessEvery)
	case now.Sub(g.probedAt) >= probeEvery:
		if p := g.Pool(m.ID); p != nil && (m.FailingSince != 0 || p.Pace.Silent(now, silentAfter)) {
			// The others know if there is a new primary, also while the store is
			// away.
			g.probedAt = now
			g.AskAll()
		}
	}
}

func (g *served) stepDown(id string, term uint64) {
	if _, err := g.Command(id, statement.StepDown{Term: term}, fenceLimit); err == nil {
		g.Log().Info("earlier primary stepped down", zap.String("database", id), zap.Uint64("term", term))
	}
}

// accept serves callers until the listener is closed.
func (f *Front) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			if f.isDone() || errors.Is(err, net.ErrClosed) {
				return
			}
			f.log.Warn("caller not accepted", logs.Error(err))
			backend.Sleep(tickEvery)
			continue
		}
		f.serve(c)
	}
}

func (f *Front) serve(c net.Conn) {
	id := f.lastID.Add(1)
	s := session.New(&f.shared, id, f.peers.Accept(c))
	f.mu.Lock()
	f.sessions[id] = s
	f.mu.Unlock()
	go func() {
		s.Run()
		f.mu.Lock()
		delete(f.sessions, id)
		f.mu.Unlock()
	}()
}
