package operator

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// binding connects a key with the setting that it changes.
type binding struct {
	key string
	// expected describes the valid values.
	expected string
	// set parses and stores a value, and returns whether it is valid.
	set func(text string) bool
}

// Check converts a merged document to a configuration. It returns an
// *InvalidError with every problem found.
func Check(d *Document) (*Configuration, error) {
	c := &checker{config: defaults()}
	for i := range d.Sections {
		c.checkSection(&d.Sections[i])
	}
	c.checkReferences()
	if len(c.problems) > 0 {
		return nil, &InvalidError{Problems: c.problems}
	}
	return c.config, nil
}

// Load parses, merges and checks a base file and an overlay. An empty
// overlayFile means that there is no overlay. It returns the configuration and
// the merged document, or an *InvalidError.
func Load(baseFile string, base []byte, overlayFile string, overlay []byte) (*Configuration, *Document, error) {
	return NewParser().Load(baseFile, base, overlayFile, overlay)
}

// Load is like the function Load, but takes unchanged sections of the base
// file from the parser's cache.
func (p *Parser) Load(baseFile string, base []byte, overlayFile string, overlay []byte) (*Configuration, *Document, error) {
	b, err := p.Parse(baseFile, base)
	if err != nil {
		return nil, nil, err
	}
	var o *Document
	if overlayFile != "" {
		// Overlays are short, and parsing one with p would evict the base
		// file's sections from the cache.
		if o, err = Parse(overlayFile, overlay); err != nil {
			return nil, nil, err
		}
	}
	merged, err := Merge(b, o)
	if err != nil {
		return nil, nil, err
	}
	config, err := Check(merged)
	return config, merged, err
}

// checker builds a configuration and collects the problems found.
type checker struct {
	config   *Configuration
	problems []Problem
	// databases are assigned to their groups after all sections are read, as
	// a group may be declared after its databases.
	databases []Database
	// workspaces has the sections of the workspaces by name, and holders the workspace
	// of each user.
	workspaces map[string]Source
	holders    map[string]string
}

var sectionKinds = []string{"site", "limits", "reads", "failover", "spread", "group", "database", "read", "class", workspaceKind}

func (c *checker) checkSection(s *Section) {
	switch s.Kind() {
	case "site":
		c.bind(s, []binding{{"name", "the site's name", text(&c.config.Site)}})
	case "limits":
		c.bind(s, limitBindings(&c.config.Limits))
	case "reads":
		c.bind(s, readsBindings(&c.config.Reads))
	case "failover":
		c.bind(s, append(failoverBindings(&c.config.Failover), binding{"watchers", "a whole number from 1 to 9", number(&c.config.Watchers, 1, 9)}))
	case "spread":
		c.bind(s, spreadBindings(&c.config.Spread))
	case "group":
		c.bindGroup(s)
	case "database":
		c.bindDatabase(s)
	case "read":
		c.bindReadRule(s)
	case "class":
		c.bindClass(s)
	case workspaceKind:
		c.bindWorkspace(s)
	default:
		c.addProblem(s.Source, s.Name, "", "unknown section", "one of "+strings.Join(sectionKinds, ", "), nearest(s.Kind(), sectionKinds))
	}
}

func (c *checker) addProblem(source Source, section, key, message, expected, suggestion string) {
	c.problems = append(c.problems, Problem{Source: source, Section: section, Key: key, Message: message, Expected: expected, Nearest: suggestion})
}

// bind stores the section's values through bindings, and reports unknown keys
// and invalid values.
func (c *checker) bind(s *Section, bindings []binding) {
	names := make([]string, len(bindings))
	for i, b := range bindings {
		names[i] = b.key
	}
	for _, v := range s.Values {
		b := findBinding(bindings, v.Key)
		if b == nil {
			c.addProblem(v.Source, s.Name, v.Key, "unknown key", "one of "+strings.Join(names, ", "), nearest(v.Key, names))
			continue
		}
		if !b.set(strings.TrimSpace(v.Text)) {
			c.addProblem(v.Source, s.Name, v.Key, "invalid value "+strconv.Quote(v.Text), b.expected, "")
		}
	}
}

func findBinding(bindings []binding, key string) *binding {
	for i := range bindings {
		if bindings[i].key == key {
			return &bindings[i]
		}
	}
	return nil
}

// checkName reports whether the section's object name is valid, and adds a
// problem if it is not.
func (c *checker) checkName(s *Section) bool {
	name := s.ObjectName()
	ok := name != "" && !strings.ContainsAny(name, " :'\"/\\") && len(name) <= 64
	if !ok {
		c.addProblem(s.Source, s.Name, "", "the section lacks a valid name", "["+s.Kind()+".name] with at most 64 letters, digits, dots and dashes", "")
	}
	return ok
}

// checkRequired adds a problem for each of the keys that the section lacks.
func (c *checker) checkRequired(s *Section, keys ...string) {
	for _, k := range keys {
		if s.find(k) == nil {
			c.addProblem(s.Source, s.Name, k, "required key is missing", "a value for "+k, "")
		}
	}
}

func (c *checker) bindGroup(s *Section) {
	if !c.checkName(s) {
		return
	}
	g := defaultGroup()
	g.Declaration = Declaration{Name: s.ObjectName(), Source: s.Source}
	c.checkRequired(s, "customer")
	c.bind(s, []binding{
		{"customer", "the customer's name", text(&g.Customer)},
		{"durability", "group or primary", durability(&g.Durability)},
		{"connections", "a whole number from 1 to 10000", number(&g.Connections, 1, 10000)},
		{"homes", "a whole number from 0 to 64, 0 for every proxy", number(&g.Homes, 0, 64)},
		{"user", "a user of the databases", text(&g.User)},
		{"passwordFile", "a file name", text(&g.PasswordFile)},
		{"tls", "off, require or the name of a file of root certificates", text(&g.TLS)},
		{"commitWait", "a time from 100ms to 60s", duration(&g.CommitWait, 100, clock.Minute)},
		{"writeWait", "a time from 0s to 60s", duration(&g.WriteWait, 0, clock.Minute)},
	})
	c.config.addGroup(g)
}

func (c *checker) bindDatabase(s *Section) {
	if !c.checkName(s) {
		return
	}
	d := Database{Declaration: Declaration{Name: s.ObjectName(), Source: s.Source}}
	c.checkRequired(s, "address", "zone")
	c.bind(s, []binding{
		{"address", "an IP number and port", address(&d.Address)},
		{"zone", "an availability zone", text(&d.Zone)},
	})
	c.databases = append(c.databases, d)
}

func (c *checker) bindReadRule(s *Section) {
	if !c.checkName(s) {
		return
	}
	r := ReadRule{Declaration: Declaration{Name: s.ObjectName(), Source: s.Source}}
	c.checkRequired(s, "maxAge")
	c.bind(s, []binding{
		{"group", "a declared group", text(&r.Group)},
		{"application", "an application name", text(&r.Application)},
		{"tag", "the value of the statement's read tag", text(&r.Tag)},
		{"maxAge", "a time from 1ms to 24h", duration(&r.MaxAge, 1, 24*clock.Hour)},
	})
	c.config.ReadRules = append(c.config.ReadRules, r)
}

func (c *checker) bindClass(s *Section) {
	if !c.checkName(s) {
		return
	}
	k := Class{Declaration: Declaration{Name: s.ObjectName(), Source: s.Source}}
	c.bind(s, []binding{
		{"application", "an application name", text(&k.Application)},
		{"tag", "the value of the statement's class tag", text(&k.Tag)},
		{"writes", "true or false", boolean(&k.Writes)},
		{"reserved", "a percentage from 0 to 90", number(&k.Reserved, 0, 90)},
		{"deadline", "a time from 1ms to 60s", duration(&k.Deadline, 1, clock.Minute)},
	})
	c.config.Classes = append(c.config.Classes, k)
}

// checkReferences runs the checks that involve more than one section or key.
// It also assigns the databases to their groups.
func (c *checker) checkReferences() {
	var groups []string
	for _, g := range c.config.Groups {
		groups = append(groups, g.Name)
	}
	for _, d := range c.databases {
		c.assignDatabase(d, groups)
	}
	for i := range c.config.Groups {
		c.checkGroup(&c.config.Groups[i])
	}
	for _, r := range c.config.ReadRules {
		if r.Group != "" && c.config.FindGroup(r.Group) == nil {
			c.addProblem(r.Source, "read."+r.Name, "group", "no such group: "+r.Group, "a declared group", nearest(r.Group, groups))
		}
	}
	reserved := 0
	for i := range c.config.Classes {
		k := &c.config.Classes[i]
		if k.Deadline == 0 {
			// [limits] may stand below the classes.
			k.Deadline = c.config.Limits.QueueTimeout
		}
		reserved += k.Reserved
		if reserved > 90 {
			c.addProblem(k.Source, "class."+k.Name, "reserved", fmt.Sprintf("the classes reserve %d percent in all", reserved), "at most 90", "")
		}
	}
	c.checkFailover()
}

// assignDatabase adds a database to the group that its section names.
func (c *checker) assignDatabase(d Database, groups []string) {
	group, name, ok := strings.Cut(d.Name, ".")
	if !ok || name == "" {
		c.addProblem(d.Source, "database."+d.Name, "", "the section does not name group and database", "[database.GROUP.NAME]", "")
		return
	}
	// Both names may have dots.
	var found []string
	for _, declared := range groups {
		if rest, ok := strings.CutPrefix(d.Name, declared+"."); ok && rest != "" {
			found = append(found, declared)
			group, name = declared, rest
		}
	}
	switch len(found) {
	case 0:
		c.addProblem(d.Source, "database."+d.Name, "", "no such group: "+group, "a declared group", nearest(group, groups))
	case 1:
		d.Name = name
		g := c.config.FindGroup(group)
		g.Databases = append(g.Databases, d)
	default:
		c.addProblem(d.Source, "database."+d.Name, "", "the section names databases of several groups: "+strings.Join(found, ", "), "groups whose names do not begin with that of another and a dot", "")
	}
}

// checkGroup checks that a group has an odd number of databases, at most 9, with
// distinct addresses.
func (c *checker) checkGroup(g *Group) {
	if n := len(g.Databases); n == 0 || n%2 == 0 || n > 9 {
		c.addProblem(g.Source, "group."+g.Name, "", fmt.Sprintf("the group has %d databases", n), "an odd number from 1 to 9", "")
	}
	addresses := make(map[string]string)
	for _, d := range g.Databases {
		if other, ok := addresses[d.Address]; ok && d.Address != "" {
			c.addProblem(d.Source, "database."+g.Name+"."+d.Name, "address", "the address is also that of "+other, "one address for each database", "")
		}
		addresses[d.Address] = d.Name
	}
}

func (c *checker) checkFailover() {
	f := c.config.Failover
	if f.SuspectAfter < 3*f.ProbeInterval {
		c.addProblem(Source{}, "failover", "suspectAfter", "a primary would be suspected after fewer than three missed probes", "at least three times probeInterval", "")
	}
}

func limitBindings(l *Limits) []binding {
	return []binding{
		{"sessions", "a whole number from 1 to 100000", number(&l.Sessions, 1, 100000)},
		{"startupTimeout", "a time from 100ms to 60s", duration(&l.StartupTimeout, 100, clock.Minute)},
		{"queueLength", "a whole number from 0 to 100000", number(&l.QueueLength, 0, 100000)},
		{"queueTimeout", "a time from 1ms to 60s", duration(&l.QueueTimeout, 1, clock.Minute)},
		{"shutdownLimit", "a time from 1s to 10m", duration(&l.ShutdownLimit, clock.Second, 10*clock.Minute)},
	}
}

func readsBindings(r *Reads) []binding {
	return []binding{
		{"replicaWait", "a time from 0s to 10s", duration(&r.ReplicaWait, 0, 10*clock.Second)},
		{"sampleInterval", "a time from 5ms to 10s", duration(&r.SampleInterval, 5, 10*clock.Second)},
		{"probeTimeout", "a time from 10ms to 10s", duration(&r.ProbeTimeout, 10, 10*clock.Second)},
	}
}

func failoverBindings(f *database.FailoverSettings) []binding {
	const expected = "a time from 10ms to 60s"
	return []binding{
		{"probeInterval", expected, duration(&f.ProbeInterval, 10, clock.Minute)},
		{"suspectAfter", expected, duration(&f.SuspectAfter, 10, clock.Minute)},
		{"refusedAfter", expected, duration(&f.RefusedAfter, 10, clock.Minute)},
		{"stepTimeout", expected, duration(&f.StepTimeout, 10, clock.Minute)},
		{"rankDelay", expected, duration(&f.RankDelay, 10, clock.Minute)},
		{"retryDelay", expected, duration(&f.RetryDelay, 10, clock.Minute)},
	}
}

func spreadBindings(s *Spread) []binding {
	return []binding{
		{"pollers", "a whole number from 1 to 50", number(&s.Pollers, 1, 50)},
		{"pollInterval", "a time from 100ms to 60s", duration(&s.PollInterval, 100, clock.Minute)},
		{"gossipInterval", "a time from 50ms to 60s", duration(&s.GossipInterval, 50, clock.Minute)},
		{"fanout", "a whole number from 1 to 20", number(&s.Fanout, 1, 20)},
	}
}

// text returns a setter for a text of 1 to 256 bytes.
func text(target *string) func(string) bool {
	return func(s string) bool {
		*target = s
		return s != "" && len(s) <= 256
	}
}

// number returns a setter for an integer from low to high.
func number(target *int, low, high int) func(string) bool {
	return func(s string) bool {
		n, err := strconv.Atoi(s)
		*target = n
		return err == nil && n >= low && n <= high
	}
}

// boolean returns a setter for the values that strconv.ParseBool accepts.
func boolean(target *bool) func(string) bool {
	return func(s string) bool {
		b, err := strconv.ParseBool(s)
		*target = b
		return err == nil
	}
}

// duration returns a setter for a duration with a unit, from low to high.
func duration(target *clock.Duration, low, high clock.Duration) func(string) bool {
	return func(s string) bool {
		d, err := time.ParseDuration(s)
		*target = clock.FromStd(d)
		return err == nil && *target >= low && *target <= high
	}
}

func durability(target *database.Durability) func(string) bool {
	return func(s string) bool {
		switch s {
		case "group":
			*target = database.DurabilityGroup
		case "primary":
			*target = database.DurabilityPrimary
		default:
			return false
		}
		return true
	}
}

// address returns a setter for an IP address with a port other than 0. Host
// names are invalid.
func address(target *string) func(string) bool {
	return func(s string) bool {
		a, err := netip.ParseAddrPort(s)
		*target = s
		return err == nil && a.Port() != 0
	}
}
