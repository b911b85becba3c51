package operator

import (
	"github.com/oleanderflow/oleanderflow/pkg/clock"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
)

// Declaration holds the name of an object and the place of its section heading.
// Every named object of a configuration embeds it.
type Declaration struct {
	Name   string
	Source Source
}

// Database is one database of a group, declared as [database.GROUP.NAME].
type Database struct {
	Declaration
	// Address is an IP address and port.
	Address string
	Zone    string
}

// Group is a customer's database group, declared as [group.NAME].
type Group struct {
	Declaration
	Customer   string
	Durability database.Durability
	// Connections is the limit of connections to each database, divided among
	// the proxies that serve the group.
	Connections int
	// Homes is the number of home proxies, to which the other proxies forward
	// the group's requests. At zero every proxy is a home proxy.
	Homes        int
	User         string
	PasswordFile string
	// TLS is "off", "require" or the name of a file of root certificates.
	TLS string
	// CommitWait bounds the wait for a commit's confirmation.
	CommitWait clock.Duration
	// WriteWait bounds a request's wait for a primary and a connection.
	WriteWait clock.Duration
	Databases []Database
}

// ReadRule bounds the staleness of matching reads, declared as [read.NAME].
// An empty Group, Application or Tag matches every read.
type ReadRule struct {
	Declaration
	Group       string
	Application string
	Tag         string
	// MaxAge is the largest accepted age of the data that a read returns.
	MaxAge clock.Duration
}

// Class is a class of requests for admission control, declared as
// [class.NAME]. An empty Application or Tag matches every request. A request
// belongs to the first class that matches it.
type Class struct {
	Declaration
	Application string
	Tag         string
	// Writes restricts the class to requests that write.
	Writes bool
	// Reserved is the share of each database's connections, in percent,
	// that other classes cannot take.
	Reserved int
	// Deadline bounds how long a request of the class may wait.
	Deadline clock.Duration
}

// Workspace is a customer's users, declared as [workspace NAME]. A user of no
// workspace is served like those of a workspace with priority 0.
type Workspace struct {
	Declaration
	// Users are roles that callers connect as. Each belongs to one workspace.
	Users []string
	// Priority orders waiting requests of the same class. 0 is the highest.
	Priority int
}

// Limits bounds the sessions and queues of one proxy, declared as [limits].
type Limits struct {
	// Sessions is the maximum number of sessions.
	Sessions int
	// StartupTimeout bounds the startup of a caller's connection.
	StartupTimeout clock.Duration
	// QueueLength is the maximum number of requests of each class that wait
	// for a connection to one database.
	QueueLength int
	// QueueTimeout bounds the wait for a connection of a request that belongs
	// to no class. It is also the default of Class.Deadline for the classes
	// that are declared below [limits].
	QueueTimeout clock.Duration
	// ShutdownLimit is the time that running requests get to finish at
	// shutdown.
	ShutdownLimit clock.Duration
}

// Reads holds the settings of replica reads, declared as [reads].
type Reads struct {
	// ReplicaWait bounds the wait for a replica that will soon qualify for a
	// read.
	ReplicaWait clock.Duration
	// SampleInterval is the time between two samples of a group's databases
	// while the group is in use.
	SampleInterval clock.Duration
	// ProbeTimeout bounds one status query to a database.
	ProbeTimeout clock.Duration
}

// Spread holds the settings for distributing accepted configuration versions
// to the proxies, declared as [spread].
type Spread struct {
	// Pollers is the number of proxies that poll the table service for the
	// head, the latest accepted version.
	Pollers int
	// PollInterval is the time between two polls by the same proxy.
	PollInterval clock.Duration
	// GossipInterval is the time between two gossip rounds of a proxy.
	GossipInterval clock.Duration
	// Fanout is the number of peers contacted in each gossip round.
	Fanout int
}

// Configuration is the validated result of merging a base file and an overlay.
type Configuration struct {
	Site     string
	Limits   Limits
	Reads    Reads
	Failover database.FailoverSettings
	// Watchers is the number of proxies that monitor each group and decide on
	// its failover.
	Watchers  int
	Spread    Spread
	Groups    []Group
	ReadRules []ReadRule
	Classes   []Class
	// Workspaces is in the order of the files.
	Workspaces []Workspace
	// byName maps a group's name to its index in Groups.
	byName map[string]int
}

func (c *Configuration) addGroup(g Group) {
	if c.byName == nil {
		c.byName = make(map[string]int)
	}
	c.byName[g.Name] = len(c.Groups)
	c.Groups = append(c.Groups, g)
}

// FindGroup returns the group with the given name, or nil if there is none.
func (c *Configuration) FindGroup(name string) *Group {
	if i, ok := c.byName[name]; ok {
		return &c.Groups[i]
	}
	return nil
}

// Default returns the configuration of a proxy that has not yet received an
// accepted version: default settings and no groups.
func Default() *Configuration { return defaults() }

// defaults returns the settings that apply where the files set none.
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

// defaultGroup returns the settings of a group whose section sets none.
func defaultGroup() Group {
	return Group{
		Connections: 50, Homes: 4, User: "oleanderflow", TLS: "off",
		CommitWait: 5 * clock.Second, WriteWait: 15 * clock.Second,
	}
}
