// Package front runs one instance of the database proxy: it follows the
// configuration and the registry in the platform's store, serves the sessions
// of callers, and replaces failed or leaving primaries.
package front

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/internal/process/background"
	"github.com/oleanderflow/oleanderflow/internal/process/contain"
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
	// tickInterval is the time between two runs of the periodic work.
	tickInterval = 50 * clock.Millisecond
	// probeInterval is the time between two status queries for a primary that
	// could not be reached or does not respond.
	probeInterval = 150 * clock.Millisecond
	// discoverInterval is the time between two status queries to all databases
	// of a group without a known primary. The registry usually names the new
	// primary earlier.
	discoverInterval = 250 * clock.Millisecond
	// failingRetryInterval is the time between two status queries to databases
	// that could not be reached. They get no requests until they respond.
	failingRetryInterval = 700 * clock.Millisecond
	// stepDownInterval is the time between two step-down commands to a database
	// that is primary of an earlier term.
	stepDownInterval = 300 * clock.Millisecond
	// drainMargin is subtracted from the time for which a leaving database may
	// get requests, since the registry reports the departure with a delay.
	drainMargin = 1500 * clock.Millisecond
	// uncheckedPatience is how long a database may be suspected to have started again
	// before the store is asked for claims.
	uncheckedPatience = 2 * clock.Second
	// silenceThreshold is how long a primary may leave requests unanswered
	// before its status is queried.
	silenceThreshold = 250 * clock.Millisecond
)

// Platform holds the clients and decoders that connect an instance to the
// platform, to its databases and to callers.
type Platform struct {
	Store      store.Store
	Promotions promotion.Service
	Dialer     backend.Dialer
	// WrapCaller wraps a connection from a caller.
	WrapCaller func(net.Conn) session.Caller
	// DecodeVersion decodes a row of the configuration table. It returns nil
	// for a row without a configuration.
	DecodeVersion func(store.Row) (*routes.Version, error)
	// DecodeEntry decodes a row of the registry table.
	DecodeEntry func(store.Row) (group.Entry, error)
	// ConfigurationTable and RegistryTable are table names in the store.
	ConfigurationTable, RegistryTable string
	// Pacer hands out the pauses of long work, also to Store and DecodeVersion. It is nil
	// if that makes none.
	Pacer *background.Pacer
}

// Front is one instance of the proxy. Its lock is taken before the lock of a
// group, never after it.
type Front struct {
	settings Settings
	platform Platform
	clock    clock.Clock
	log      *zap.Logger
	metrics  *Metrics
	// droppedLines returns the number of dropped log lines; nil if they are not
	// counted.
	droppedLines func() uint64
	sessionDeps  session.Dependencies
	registry     registry
	self         proxy.Peer
	peerConns    *proxy.Peers
	homes        *peer.Homes
	host         *session.Host
	relays       *relays
	allowances   *allowances
	counts       *workspaceCounts
	keys         keysInForce
	outage       outage
	// replacementCheck has a lock of its own, under which no other is taken.
	replacementCheck replacementCheck
	eras             *eraTracker
	freshness        *freshnessDriver
	overload         overloadDetector
	gaugesUpdatedAt  clock.Time
	startedAt        clock.Time
	versions         routes.Current
	// versionsMu is held while a version is put in force, and guards inForce, the row
	// of that version. It is taken before the lock of homes.
	versionsMu sync.Mutex
	inForce    *store.Row

	// entriesMu is held while the registry or the stored databases are applied,
	// so that neither overtakes the other. It is taken before mu.
	entriesMu sync.Mutex

	// membersMu is held while the live proxies are passed on. It is taken before mu.
	membersMu sync.Mutex

	mu     sync.Mutex
	groups map[string]*groupState
	// groupOf maps the ID of a database to the name of its group.
	groupOf  map[string]string
	roster   *roster
	sessions map[uint64]*session.Session
	settled  settledEra
	// membersApplied is set once the members table has been read, and membersPassed once
	// its proxies were passed on. accountantAtStart is set if this proxy's row was there,
	// and no restore can have brought it back.
	membersApplied, membersPassed, accountantAtStart bool
	// agreementEra is the era of the agreement table, zero until it has been read,
	// and agreementEraAt is when this process first read it in that era.
	agreementEra   uint64
	agreementEraAt clock.Time

	// grace is Settings.ShutdownGrace, which Reload may change.
	grace          atomic.Int64
	registryLoaded atomic.Bool
	// registering is set while this instance writes its member row.
	// registeredVersion is the version of the last row that it wrote.
	registering       atomic.Bool
	registeredVersion atomic.Pointer[store.Version]
	stopping          atomic.Bool
	lastSessionID     atomic.Uint64
	// refusals counts the callers that are being refused.
	refusals atomic.Int64
	listener net.Listener
	done     chan struct{}
	// membersRead is closed once the members table has been read.
	membersRead     chan struct{}
	membersReadOnce sync.Once
	// membersKnown is closed once the list of live proxies includes this one or
	// is long enough for relays.
	membersKnown     chan struct{}
	membersKnownOnce sync.Once
}

// groupState is a database group with the state that this process keeps for it.
type groupState struct {
	*backend.GroupClient
	replacement *replacement
	// databases is guarded by Front.mu.
	databases databasesRecord
	probedAt  clock.Time
	// uncheckedSince is since when replacements are to be checked, zero if they are not.
	uncheckedSince   clock.Time
	stepDownSentAt   clock.Time
	failingRetriedAt clock.Time
	// membersAskedAt is when the databases were last asked whether quorums may be counted
	// by the present membership.
	membersAskedAt clock.Time
}

// New returns an instance that is not started yet.
func New(s Settings, p Platform, c clock.Clock, log *zap.Logger, m *Metrics) *Front {
	f := &Front{
		settings: s, platform: p, clock: c, log: log, metrics: m,
		groups: make(map[string]*groupState), groupOf: make(map[string]string),
		roster: newRoster(), settled: settledEra{self: s.Name}, sessions: make(map[uint64]*session.Session), done: make(chan struct{}),
		registry:    registry{proof: group.NewRegistryProof(c)},
		membersRead: make(chan struct{}), membersKnown: make(chan struct{}), eras: newEraTracker(), counts: newWorkspaceCounts(),
	}
	f.sessionDeps = session.Dependencies{Clock: c, Configuration: &f.versions, Group: f.Group, Log: log, Recorder: m, Waits: m, Self: s.Name, Process: newProcessName(), Reads: &session.ReadLog{}}
	if f.freshness = newFreshnessDriver(s.RevocationLimit, c.Now()); f.freshness != nil {
		f.sessionDeps.Freshness = f.freshness.proof
	}
	f.platform.Store = trackedStore{Store: p.Store, metrics: m, eras: f.eras}
	f.platform.DecodeVersion = func(row store.Row) (v *routes.Version, err error) {
		err = contain.Call(log, "configuration row", func() error {
			v, err = p.DecodeVersion(row)
			return err
		})
		return v, err
	}
	f.platform.DecodeEntry = func(row store.Row) (e group.Entry, err error) {
		err = contain.Call(log, "registry entry", func() error {
			e, err = p.DecodeEntry(row)
			return err
		})
		return e, err
	}
	f.startedAt = c.Now()
	f.allowances = newAllowances(s.Name, s.Quota, &f.versions, systemTimers{c}, log)
	f.allowances.confirmed = func() bool { return f.freshness == nil || f.freshness.proof.Admits(c.Now()) }
	f.sessionDeps.Limits, f.sessionDeps.Usage = f.allowances, f.counts
	f.metrics.workspaces = func() workspaceStatuses { return f.workspaceStatuses("") }
	f.grace.Store(int64(s.ShutdownGrace))
	f.registeredVersion.Store(&store.Version{})
	f.self = proxy.Peer{Name: s.Name, Zone: s.Zone, Address: s.PeerAddress}
	if s.PlaceByCapacity {
		f.self.Capacity = s.ProcessorShare * s.ProcessorSpeed
	}
	return f
}

// newProcessName returns a random name, which distinguishes this process from earlier ones
// of the instance.
func newProcessName() string { return strconv.FormatUint(rand.Uint64(), 36) }

// Start listens for callers and peers, and starts to follow the store in the
// background. It returns an error if one of the addresses cannot be used.
func (f *Front) Start() error {
	l, err := net.Listen("tcp4", f.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	f.listener = l
	f.host = session.NewHost(&f.sessionDeps)
	if err := f.startPeers(f.settings.PeerAddress); err != nil {
		return err
	}
	go f.followTables()
	go f.runTicks()
	go f.acceptCallers()
	return nil
}

// startPeers listens for other proxies.
func (f *Front) startPeers(address string) error {
	tables := []string{membersTable, f.platform.ConfigurationTable, f.platform.RegistryTable, agreementTable}
	f.relays = newRelays(f.self, tables, systemTimers{f.clock}, f.log, store.WithPacer(f.platform.Pacer))
	f.relays.followRoots = f.freshness != nil
	f.relays.registry, f.relays.registryTable = f.registry.proof, f.platform.RegistryTable
	handler := &peerHandler{
		relays: f.relays, host: f.host, registrar: &registrar{clock: systemTimers{f.clock}, put: f.putMembers},
		earlierClaims: f.handleEarlierClaims, inForce: f.handleInForce, freshness: f.handleFreshness, grant: f.allowances.handleGrant,
	}
	peers, err := proxy.NewPeers(address, handler, f.log)
	if err != nil {
		return err
	}
	f.peerConns = peers
	f.self.Address = f.peerConns.Address()
	f.relays.peers = f.peerConns
	f.homes = peer.NewHomes(f.settings.Name, f.settings.Zone, f.peerConns, f.clock, peer.WithPrimaryZone(f.primaryZone))
	f.allowances.call = f.callAccountant
	f.sessionDeps.Homes = f.homes
	return nil
}

// callAccountant sends a message to an accountant, which may have left the members.
func (f *Front) callAccountant(name string, limit clock.Duration, p grantParams) (grantResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit.Std())
	defer cancel()
	var result grantResult
	err := f.peerConns.Call(ctx, name, methodGrant, p, &result)
	var unknown *proxy.UnknownPeerError
	if address := f.allowances.addressOf(name); address != "" && errors.As(err, &unknown) {
		err = proxy.CallAddress(ctx, address, methodGrant, p, &result)
	}
	return result, err
}

// membersTimeout is the longest that an instance waits, once it has read the
// members table, for the list of live proxies, from which the relays are chosen,
// before it follows the other tables. Proxies that start at the same time have
// all registered within it.
const membersTimeout = 300 * clock.Millisecond

// followTables follows all tables, the members table first.
func (f *Front) followTables() {
	backend.Sleep(firstReadDelay(&f.settings))
	go f.follow(membersTable, f.membersPollInterval, f.applyMembers)
	select {
	case <-f.membersRead:
	case <-f.done:
		return
	}
	backend.WaitOrTimeout(f.membersKnown, membersTimeout)
	go f.follow(f.platform.ConfigurationTable, every(maxPollInterval), f.applyVersions)
	if f.freshness != nil {
		go f.runFreshness()
	}
	go f.follow(f.platform.RegistryTable, every(maxPollInterval), f.applyEntries)
	go f.follow(agreementTable, every(maxAgreementPollInterval), f.applyAgreement)
}

// Address returns the address that callers connect to.
func (f *Front) Address() string { return f.listener.Addr().String() }

// Ready reports whether callers can be served.
func (f *Front) Ready() bool {
	return !f.stopping.Load() && f.versions.Load() != nil && f.registryLoaded.Load()
}

// Group returns the client of a database group, or nil if the group is unknown.
func (f *Front) Group(name string) *backend.GroupClient {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g, ok := f.groups[name]; ok {
		return g.GroupClient
	}
	return nil
}

// groupLocked returns a group and creates it on first use.
func (f *Front) groupLocked(name string) *groupState {
	g, ok := f.groups[name]
	if !ok {
		settings := backend.DefaultSettings()
		settings.ProbeReturned = f.settings.ProbeReturned
		client := backend.NewGroupClient(name, f.settings.Zone, settings, f.platform.Dialer, f.clock, f.log, f.metrics.CountStatusQuery)
		client.CheckReplacements = f.checkReplacements
		client.Registry = f.registry.proof
		if f.settings.DrainLimit > 0 {
			client.DrainLimit = max(f.settings.DrainLimit-drainMargin, 1)
		}
		g = &groupState{GroupClient: client, replacement: newReplacement(f, client)}
		g.replacement.beginEra(f.agreementEra, f.agreementEraAt)
		f.groups[name] = g
	}
	return g
}

// primaryZone returns the availability zone of a group's primary, empty if no
// primary is known. A proxy that does not serve the group knows it by the
// registry only.
func (f *Front) primaryZone(name string) string {
	g := f.Group(name)
	if g == nil {
		return ""
	}
	return g.PrimaryZone()
}

func (f *Front) allGroups() []*groupState {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*groupState, 0, len(f.groups))
	for _, g := range f.groups {
		list = append(list, g)
	}
	return list
}

// applyEntries applies changed rows of the registry table. If they are the whole
// table, databases without a row are marked as lapsed.
func (f *Front) applyEntries(changes store.Changes) {
	f.entriesMu.Lock()
	defer f.entriesMu.Unlock()
	seen := make(map[string]struct{}, len(changes.Rows))
	defer f.observeMembers()
	for _, row := range changes.Rows {
		if row.Deleted {
			f.markLapsed(row.Key)
			continue
		}
		e, err := f.platform.DecodeEntry(row)
		if err == nil {
			err = e.Check(latestIncarnation())
		}
		if err != nil {
			f.log.Warn("invalid registry entry", zap.String("key", row.Key), logs.Error(err))
			f.markLapsed(row.Key)
			continue
		}
		seen[e.ID] = struct{}{}
		f.mu.Lock()
		old, moved := f.groupOf[e.ID]
		f.groupOf[e.ID] = e.Group
		g := f.groupLocked(e.Group)
		var previous *groupState
		if moved && old != e.Group {
			previous = f.groups[old]
		}
		f.mu.Unlock()
		if previous != nil {
			previous.MarkLapsed(f.clock.Now(), e.ID)
		}
		g.Update(e)
	}
	if changes.Whole {
		f.markLapsedExcept(seen)
		f.registryLoaded.Store(true)
	}
}

// maxClockError is more than the time of day of a database may differ from that of this
// machine.
const maxClockError = 24 * time.Hour

// latestIncarnation returns the highest incarnation that a database may have.
func latestIncarnation() int64 { return time.Now().Add(maxClockError).UnixMilli() }

func (f *Front) markLapsed(id string) {
	f.mu.Lock()
	g := f.groups[f.groupOf[id]]
	f.mu.Unlock()
	if g != nil {
		f.log.Info("database has no registry entry", zap.String("group", g.Name), zap.String("database", id))
		g.MarkLapsed(f.clock.Now(), id)
	}
}

// observeMembers tells all groups that the changes of the registry have been applied.
func (f *Front) observeMembers() {
	now := f.clock.Now()
	for _, g := range f.allGroups() {
		g.ObserveMembers(now)
		g.logMemberships()
	}
}

func (f *Front) markLapsedExcept(seen map[string]struct{}) {
	for _, g := range f.allGroups() {
		for _, m := range g.Members() {
			if _, ok := seen[m.ID]; !ok && m.LapsedAt == 0 {
				f.markLapsed(m.ID)
			}
		}
	}
}

// runTicks does the periodic work of the instance every tickInterval: it
// detects overload, rolls back abandoned transactions, updates the gauges and
// checks the groups.
func (f *Front) runTicks() {
	for !f.isStopped() {
		before := f.clock.Now()
		backend.Sleep(tickInterval)
		now := f.clock.Now()
		if overloaded, changed := f.overload.observe(now, now.Sub(before)-tickInterval); changed {
			f.log.Info("processor time shortage changed", zap.Bool("short", overloaded))
			f.host.SetOverloaded(overloaded)
		}
		if f.Ready() {
			f.platform.Pacer.SetServing()
		}
		f.host.Sweep(now)
		f.expireMembers(now)
		f.stateSettledEra(now)
		if f.freshness != nil {
			f.allowances.setProof(f.freshness.proof.State().At)
		}
		if now.Sub(f.gaugesUpdatedAt) >= gaugeInterval {
			f.gaugesUpdatedAt = now
			f.updateGauges(now)
		}
		for _, g := range f.allGroups() {
			contain.Run(f.log, "group "+g.Name, func() { f.tickGroup(g, now) })
		}
	}
}

// tickGroup does the periodic work for one group.
func (f *Front) tickGroup(g *groupState, now clock.Time) {
	local, connections := f.homes.ServesLocally(g.Name)
	g.SetMaxOpen(connections)
	g.SetProcesses(f.homes.Processes(g.Name))
	g.RemoveExpired()
	g.Sweep(now, local)
	if !local {
		return
	}
	if g.checkDue(now) {
		f.checkReplacements()
	}
	g.tick(now)
	if !f.stopping.Load() {
		g.replacement.tick(now)
		f.storeDatabases(g, now)
	}
}

// checkDue reports whether the store is to be asked for claims. Mostly an older connection to
// a database answers soon, which shows that it has not started again.
func (g *groupState) checkDue(now clock.Time) bool {
	switch unchecked := g.ReplacementUnchecked(); {
	case !unchecked:
		g.uncheckedSince = 0
	case g.uncheckedSince == 0:
		g.uncheckedSince = now
	case now.Sub(g.uncheckedSince) >= uncheckedPatience:
		g.uncheckedSince = now
		return true
	}
	return false
}

// tick sends step-down commands to stale primaries and status queries to
// databases whose state is uncertain.
func (g *groupState) tick(now clock.Time) {
	if ids, term := g.StalePrimaries(); len(ids) > 0 && now.Sub(g.stepDownSentAt) >= stepDownInterval {
		g.stepDownSentAt = now
		for _, id := range ids {
			go g.stepDown(id, term)
		}
	}
	if ids := g.FailingIDs(); len(ids) > 0 && now.Sub(g.failingRetriedAt) >= failingRetryInterval {
		g.failingRetriedAt = now
		for _, id := range ids {
			g.RequestStatus(id)
		}
	}
	g.logMemberships()
	if g.StatusesNeeded(now) && now.Sub(g.membersAskedAt) >= discoverInterval {
		g.membersAskedAt = now
		g.RequestAllStatuses()
	}
	m, ok := g.Primary()
	switch {
	case !ok:
		g.DiscoverPrimary(discoverInterval)
	case now.Sub(g.probedAt) >= probeInterval:
		if p := g.Pool(m.ID); p != nil && (m.FailingSince != 0 || p.Latency.Unresponsive(now, silenceThreshold)) {
			// The other databases know whether there is a new primary, even
			// while the store is unreachable.
			g.probedAt = now
			g.RequestAllStatuses()
		}
	}
}

// logMemberships logs of which databases quorums are counted if that has changed.
func (g *groupState) logMemberships() {
	if m, changed := g.ChangedMemberships(); changed {
		g.Log().Info("memberships changed", zap.Strings("present", m.Present), zap.Strings("confirming", m.Confirming), zap.Any("earlier", m.Earlier))
	}
}

func (g *groupState) stepDown(id string, term uint64) {
	if _, err := g.Command(id, statement.StepDown{Term: term}, commandTimeout); err == nil {
		g.Log().Info("stale primary stepped down", zap.String("database", id), zap.Uint64("term", term))
	}
}
