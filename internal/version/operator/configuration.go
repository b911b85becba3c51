package operator

import (
	"github.com/oleanderflow/oleanderflow/pkg/clock"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
)

// Declaration is what all declared things share: a name and where it stands.
type Declaration struct {
	Name   string
	Source Source
}

// Database is one declared database of a group.
type Database struct {
	Declaration
	Address string
	Zone    string
}

// Group is a declared database group of a customer.
type Group struct {
	Declaration
	Customer    string
	Durability  database.Durability
	Connections int
	// Homes is how many proxies serve the group for all others, zero for
	// every proxy.
	Homes        int
	User         string
	PasswordFile string
	TLS          string
	CommitWait   clock.Duration
	WriteWait    clock.Duration
	Databases    []Database
}

// ReadRule declares which reads accept data of a stated age. Empty fields match
// every read.
type ReadRule struct {
	Declaration
	Group       string
	Application string
	Tag         string
	MaxAge      clock.Duration
}

// Class declares how requests of one kind are admitted under load.
type Class struct {
	Declaration
	Application string
	Tag         string
	Writes      bool
	// Reserved is the share of each database's connections, in percent,
	// that other classes cannot take.
	Reserved int
	// Deadline bounds how long a request of the class may wait.
	Deadline clock.Duration
}

// Limits bound what one proxy holds.
type Limits struct {
	Sessions       int
	StartupTimeout clock.Duration
	QueueLength    int
	QueueTimeout   clock.Duration
	ShutdownLimit  clock.Duration
}

// Reads are the figures of replica reads.
type Reads struct {
	// ReplicaWait bounds the wait for a replica that will soon qualify.
	ReplicaWait clock.Duration
	// SampleInterval is the time between samples of a group in use.
	SampleInterval clock.Duration
	ProbeTimeout   clock.Duration
}

// Spread are the figures of how versions reach the proxies.
type Spread struct {
	// Pollers is how many proxies read the head from the table service.
	Pollers int
	// PollInterval is the time between two reads of the head by a poller.
	PollInterval clock.Duration
	// GossipInterval is the time between two exchanges with peers.
	GossipInterval clock.Duration
	// Fanout is how many peers each exchange reaches.
	Fanout int
}

// Configuration is one checked, merged declaration.
type Configuration struct {
	Site     string
	Limits   Limits
	Reads    Reads
	Failover database.FailoverSettings
	Watchers int
	Spread   Spread
	Groups   []Group
	ReadRules     []ReadRule
	Classes  []Class
	// byName holds each group's index.
	byName map[string]int
}

func (c *Configuration) addGroup(g Group) {
	if c.byName == nil {
		c.byName = make(map[string]int)
	}
	c.byName[g.Name] = len(c.Groups)
	c.Groups = append(c.Groups, g)
}

// FindGroup returns the group of this name, or nil.
func (c *Configuration) FindGroup(name string) *Group {
	if i, ok := c.byName[name]; ok {
		return &c.Groups[i]
	}
	return nil
}

// Default returns the configuration of a proxy that has no accepted version
// yet: the default figures, and no groups.
func Default() *Configuration { return defaults() }

// defaults returns the figures that hold where nothing is declared.
func defaults() *Configuration {
	return &Configuration{
		Limits: Limits{
			Sessions: 4000, StartupTimeout: 10 * clock.Second, QueueLength: 4096,
			QueueTimeout: 2 * clock.Second, ShutdownLimit: 30 * clock.Second,
		},
		Reads: Reads{
			ReplicaWait: 20 * clock.Millisecond, SampleInterval: 20 * clock.Millisecond,
			ProbeTimeout: 700 * clock.Millisecond,
		},
		Failover: database.DefaultFailoverSettings(),
		Watchers: 3,
		Spread: Spread{
			Pollers: 3, PollInterval: clock.Second, GossipInterval: 500 * clock.Millisecond, Fanout: 3,
		},
	}
}

func defaultGroup() Group {
	return Group{
		Connections: 50, Homes: 4, User: "oleanderflow", TLS: "off",
		CommitWait: 5 * clock.Second, WriteWait: 15 * clock.Second,
	}
}
