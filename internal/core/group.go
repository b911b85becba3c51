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

// group is one database group that this proxy serves or watches.
type group struct {
	declared *operator.Group
	serving  *dbrequest.Serving
	monitor  *dbprocess.Monitor
	watch    *dbprocess.Watch
	watching bool
}

func (p *Proxy) newGroup(declared *operator.Group, config *operator.Configuration) *group {
	members := make([]dbprocess.Member, len(declared.Databases))
	probes := make([]dbprocess.Operations, len(members))
	zones := make([]string, len(members))
	pools := make([]*dbconn.Pool, len(members))
	matches, shares := declaredClasses(config)
	for i, d := range declared.Databases {
		members[i] = dbprocess.Member{Name: d.Name, Zone: d.Zone, Address: d.Address}
		probes[i] = dbconn.NewControl(p.target(declared, d))
		zones[i] = d.Zone
		pools[i] = dbconn.NewPool(p.target(declared, d), dbconn.PoolSettings{MaxConnections: minimumShare, MaxQueue: config.Limits.QueueLength}, shares...)
	}
	monitor := dbprocess.NewMonitor(dbprocess.MonitorSettings{
		Group: declared.Name, Members: members, Durability: declared.Durability,
		ProbeTimeout: config.Reads.ProbeTimeout, SampleInterval: config.Reads.SampleInterval,
		IdleAfter: idleAfter, UnreachableAfter: unreachableAfter,
	}, p.clock, p.sequence, p.workers, probes, p.log)
	opened := &group{declared: declared, monitor: monitor}
	opened.serving = &dbrequest.Serving{
		Name: declared.Name, Monitor: monitor, Pools: pools,
		Gate:         dbrequest.NewGate(),
		Retries:      dbrequest.NewRetryBudget(),
		Homes:        dbrequest.NewHomes(p.instance.Zone),
		Router:       dbrequest.NewRouter(zones, p.instance.Zone, config.Reads.ReplicaWait),
		Ages:         declaredAges(declared.Name, config),
		Classes:      matches,
		QueueTimeout: config.Limits.QueueTimeout,
		Durability:   declared.Durability, CommitWait: declared.CommitWait, WriteWait: declared.WriteWait,
	}
	opened.watch = p.newWatch(opened, config)
	monitor.SetEvents(func(e dbprocess.Event) { interrupt(pools, e) })
	monitor.SetObserver(opened.watch.HandleProbe)
	p.registry.Add(monitor)
	return opened
}

// interrupt gives up the connections to a primary that was replaced or a
// database that does not answer.
func interrupt(pools []*dbconn.Pool, e dbprocess.Event) {
	switch e := e.(type) {
	case dbprocess.PrimaryChanged:
		switch {
		case e.From < 0 || e.From == e.To:
		case e.Answers:
			pools[e.From].Reset()
		default:
			pools[e.From].Interrupt()
		}
		pools[e.To].Reset()
	case dbprocess.Unreachable:
		pools[e.Database].Interrupt()
	}
}

// target says how to connect to a database. One whose secrets cannot be read
// cannot be connected to.
func (p *Proxy) target(g *operator.Group, d operator.Database) dbconn.Target {
	t := dbconn.Target{Address: d.Address, Database: g.Name, User: g.User, Application: "oleanderflow/" + p.instance.Zone}
	var err error
	if t.TLS, err = dbconn.LoadTLS(g.TLS, d.Address); err != nil {
		p.log.Error("TLS for a database not set up", zap.String("group", g.Name), zap.Error(err))
		t.Unusable = err
	}
	if t.Password, err = dbconn.LoadPassword(g.PasswordFile); err != nil {
		p.log.Error("password for a database not read", zap.String("group", g.Name), zap.Error(err))
		t.Unusable = err
	}
	return t
}

func (p *Proxy) newWatch(opened *group, config *operator.Configuration) *dbprocess.Watch {
	operations := make([]dbprocess.Operations, len(opened.declared.Databases))
	for i, d := range opened.declared.Databases {
		operations[i] = dbconn.NewControl(p.target(opened.declared, d))
	}
	self := dbprocess.Watcher{Name: p.instance.Name, Zone: p.instance.Zone}
	source := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(proxyNumber(p.instance.Name))))
	failover := dbprocess.NewFailover(len(operations), self, []dbprocess.Watcher{self}, config.Failover, source)
	return dbprocess.NewWatch(opened.monitor, failover, operations, p.instance.Name, &colleagues{proxy: p}, p.log)
}

func sameDatabases(old, declared *operator.Group) bool {
	same := old.User == declared.User && old.TLS == declared.TLS && old.PasswordFile == declared.PasswordFile &&
		old.Durability == declared.Durability
	return same && slices.EqualFunc(old.Databases, declared.Databases, func(a, b operator.Database) bool {
		return a.Name == b.Name && a.Address == b.Address && a.Zone == b.Zone
	})
}

func declaredAges(name string, config *operator.Configuration) []dbrequest.Age {
	var ages []dbrequest.Age
	for _, r := range config.ReadRules {
		if r.Group == "" || r.Group == name {
			ages = append(ages, dbrequest.Age{Application: r.Application, Tag: r.Tag, MaxAge: r.MaxAge})
		}
	}
	return ages
}

// declaredClasses returns the classes as requests match them, and as pools
// admit them.
func declaredClasses(config *operator.Configuration) (matches []dbrequest.Class, shares []dbconn.Class) {
	for _, k := range config.Classes {
		matches = append(matches, dbrequest.Class{Application: k.Application, Tag: k.Tag, Writes: k.Writes, Deadline: k.Deadline})
		shares = append(shares, dbconn.Class{Name: k.Name, Reserved: k.Reserved})
	}
	return matches, shares
}

// sameFigures reports whether a group opened under one configuration works
// by the figures of another.
func sameFigures(a, b *operator.Configuration) bool {
	classes := slices.EqualFunc(a.Classes, b.Classes, func(x, y operator.Class) bool {
		return x.Name == y.Name && x.Reserved == y.Reserved
	})
	return classes && a.Reads == b.Reads && a.Failover == b.Failover
}
