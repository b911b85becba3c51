package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	dbconn "github.com/oleanderflow/oleanderflow/internal/connection/database"
	dbprocess "github.com/oleanderflow/oleanderflow/internal/process/database"
	dbrequest "github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
)

// group holds the connections, the monitor and the failover driver of one
// database group that this proxy serves or watches.
type group struct {
	declared *operator.Group
	serving  *dbrequest.ServedGroup
	monitor  *dbprocess.Monitor
	failover *dbprocess.FailoverDriver
	// watching is set while this proxy is one of the group's watchers. It is
	// guarded by groups.mu.
	watching bool
}

func (p *Proxy) newGroup(declared *operator.Group, config *operator.Configuration) *group {
	members := make([]dbprocess.Member, len(declared.Databases))
	probes := make([]dbprocess.Operations, len(members))
	zones := make([]string, len(members))
	pools := make([]*dbconn.Pool, len(members))
	requestClasses, poolClasses := classesForConfig(config)
	for i, d := range declared.Databases {
		members[i] = dbprocess.Member{Name: d.Name, Zone: d.Zone, Address: d.Address}
		probes[i] = dbconn.NewControlConn(p.target(declared, d))
		zones[i] = d.Zone
		pools[i] = dbconn.NewPool(p.target(declared, d), dbconn.PoolSettings{MaxConnections: minPoolConnections, MaxQueue: config.Limits.QueueLength}, poolClasses...)
	}
	monitor := dbprocess.NewMonitor(dbprocess.MonitorSettings{
		Group: declared.Name, Members: members, Durability: declared.Durability,
		ProbeTimeout: config.Reads.ProbeTimeout, SampleInterval: config.Reads.SampleInterval,
		IdleAfter: idleAfter, UnreachableAfter: unreachableAfter,
	}, p.clock, p.sequence, p.workers, probes, p.log)
	opened := &group{declared: declared, monitor: monitor}
	opened.serving = &dbrequest.ServedGroup{
		Name: declared.Name, Monitor: monitor, Pools: pools,
		Gate:         dbrequest.NewGate(),
		Retries:      dbrequest.NewRetryBudget(),
		Homes:        dbrequest.NewHomes(p.instance.Zone),
		Router:       dbrequest.NewRouter(zones, p.instance.Zone, config.Reads.ReplicaWait),
		Ages:         maxAgesForGroup(declared.Name, config),
		Classes:      requestClasses,
		Priorities:   prioritiesForConfig(config),
		QueueTimeout: config.Limits.QueueTimeout,
		Durability:   declared.Durability, CommitWait: declared.CommitWait, WriteWait: declared.WriteWait,
	}
	opened.failover = p.newFailoverDriver(opened, config)
	monitor.SetEventHandler(func(e dbprocess.Event) { handleGroupEvent(pools, e) })
	monitor.SetProbeHandler(opened.failover.HandleProbe)
	p.scheduler.Add(monitor)
	return opened
}

// handleGroupEvent closes connections after a change in a group. For an
// unreachable database or a replaced primary, it closes all of them, except that
// requests on a replaced primary may finish if it still answers. For a new
// primary, it closes the idle ones, since the database has changed its role.
func handleGroupEvent(pools []*dbconn.Pool, e dbprocess.Event) {
	switch e := e.(type) {
	case dbprocess.PrimaryChanged:
		switch {
		case e.From < 0 || e.From == e.To:
		case e.OldPrimaryResponds:
			pools[e.From].CloseIdle()
		default:
			pools[e.From].CloseAll()
		}
		pools[e.To].CloseIdle()
	case dbprocess.Unreachable:
		pools[e.Database].CloseAll()
	}
}

// target returns the connection settings of a database. If its TLS files or its
// password cannot be read, ConfigError is set.
func (p *Proxy) target(g *operator.Group, d operator.Database) dbconn.Target {
	t := dbconn.Target{Address: d.Address, Database: g.Name, User: g.User, Application: "oleanderflow/" + p.instance.Zone}
	var err error
	if t.TLS, err = dbconn.LoadTLS(g.TLS, d.Address); err != nil {
		p.log.Error("cannot set up TLS for a database", zap.String("group", g.Name), zap.String("database", d.Name),
			zap.String("tls", g.TLS), zap.String("address", d.Address), zap.Error(err))
		t.ConfigError = err
	}
	if t.Password, err = dbconn.LoadPassword(g.PasswordFile); err != nil {
		p.log.Error("cannot read the password for a database", zap.String("group", g.Name), zap.String("database", d.Name),
			zap.String("passwordFile", g.PasswordFile), zap.Error(err))
		t.ConfigError = err
	}
	return t
}

func (p *Proxy) newFailoverDriver(opened *group, config *operator.Configuration) *dbprocess.FailoverDriver {
	operations := make([]dbprocess.Operations, len(opened.declared.Databases))
	for i, d := range opened.declared.Databases {
		operations[i] = dbconn.NewControlConn(p.target(opened.declared, d))
	}
	self := dbprocess.Watcher{Name: p.instance.Name, Zone: p.instance.Zone}
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(pidPrefix(p.instance.Name))))
	failover := dbprocess.NewFailover(len(operations), self, []dbprocess.Watcher{self}, config.Failover, rng)
	return dbprocess.NewFailoverDriver(opened.monitor, failover, operations, p.instance.Name, &peerMessenger{proxy: p}, p.log)
}

// sameDatabases reports whether two declarations of a group have the same
// databases, credentials and durability, so that connections can be kept.
func sameDatabases(old, declared *operator.Group) bool {
	same := old.User == declared.User && old.TLS == declared.TLS && old.PasswordFile == declared.PasswordFile &&
		old.Durability == declared.Durability
	return same && slices.EqualFunc(old.Databases, declared.Databases, func(a, b operator.Database) bool {
		return a.Name == b.Name && a.Address == b.Address && a.Zone == b.Zone
	})
}

// maxAgesForGroup returns the declared staleness bounds that apply to a group:
// its own and those that name no group.
func maxAgesForGroup(name string, config *operator.Configuration) []dbrequest.AgeRule {
	var ages []dbrequest.AgeRule
	for _, r := range config.ReadRules {
		if r.Group == "" || r.Group == name {
			ages = append(ages, dbrequest.AgeRule{Application: r.Application, Tag: r.Tag, MaxAge: r.MaxAge})
		}
	}
	return ages
}

// classesForConfig returns the request classes in two forms, in the same order:
// the rules that match requests, and the connections reserved in the pools.
func classesForConfig(config *operator.Configuration) (requestClasses []dbrequest.Class, poolClasses []dbconn.Class) {
	for _, c := range config.Classes {
		requestClasses = append(requestClasses, dbrequest.Class{Application: c.Application, Tag: c.Tag, Writes: c.Writes, Deadline: c.Deadline})
		poolClasses = append(poolClasses, dbconn.Class{Name: c.Name, Reserved: c.Reserved})
	}
	return requestClasses, poolClasses
}

// prioritiesForConfig returns the priorities of the workspaces' users.
func prioritiesForConfig(config *operator.Configuration) map[string]int {
	priorities := make(map[string]int)
	for _, w := range config.Workspaces {
		for _, user := range w.Users {
			priorities[user] = w.Priority
		}
	}
	return priorities
}

// sameGroupSettings reports whether two configurations agree in the settings that
// are fixed when a group is opened.
func sameGroupSettings(a, b *operator.Configuration) bool {
	classes := slices.EqualFunc(a.Classes, b.Classes, func(x, y operator.Class) bool {
		return x.Name == y.Name && x.Reserved == y.Reserved
	})
	return classes && a.Reads == b.Reads && a.Failover == b.Failover
}
