//go:build review

package kit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// Position is a log position.
type Position struct{ Term, Number uint64 }

func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Term, p.Number) }

// Less reports whether p lies before q.
func (p Position) Less(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Number < q.Number
}

type entry struct {
	position Position
	item     string
	data     string
	// owner is the client that has sent the write.
	owner string
	// applyAt is when the database that holds the entry applies it.
	applyAt time.Time
}

// Service is a service of databases: a primary and the replicas of its log, which receive
// a commit after Network and apply it Lag later. Its ids of queries are OWNER/ANYTHING,
// which tells which client has sent them.
type Service struct {
	Name         string
	Network, Lag time.Duration
	PromoteDelay time.Duration
	Limit        int
	// Work is how long a read takes.
	Work      time.Duration
	Databases []*Database

	platform *standin.Platform
	record   *Record
	mu       sync.Mutex
	term     uint64
	closed   chan struct{}
	// Allows tells whether the configuration lets a client's statements run at this service,
	// nil for all clients.
	Allows func(owner string) bool
	// acknowledged has the session values by owner, as Acknowledge has set them.
	acknowledged map[string]map[string]string
	// runs has the log position that each delivered signature stands for.
	runs   map[string]Position
	run    int
	broken map[string]int
}

// Database is one database of a service. The fields without comment are as on the wire.
type Database struct {
	ID, Zone string
	service  *Service
	listener net.Listener

	primary  bool
	term     uint64
	held     uint64
	deaf     bool
	draining bool
	log      []entry
	sequence int
	conns    map[net.Conn]struct{}
	// answer returns the code of a failure that the database answers a request with
	// instead of running it, empty for none.
	answer func(word string) string
}

// NewService starts the databases of a service, one in each zone, the first of them as the
// primary of term 1, and registers them.
func NewService(record *Record, platform *standin.Platform, name string, zones []string) (*Service, error) {
	s := &Service{
		Name: name, Network: time.Millisecond, Lag: 50 * time.Millisecond, PromoteDelay: 300 * time.Millisecond, Limit: 47,
		platform: platform, record: record, term: 1, closed: make(chan struct{}),
		acknowledged: make(map[string]map[string]string), runs: make(map[string]Position), broken: make(map[string]int),
	}
	for i, zone := range zones {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d := &Database{ID: fmt.Sprintf("i-%s-%d", name, i+1), Zone: zone, service: s, listener: l, primary: i == 0, term: 1, conns: make(map[net.Conn]struct{})}
		s.Databases = append(s.Databases, d)
		go d.serve()
		d.register()
	}
	go s.beat()
	return s, nil
}

// Close ends all databases.
func (s *Service) Close() {
	close(s.closed)
	for _, d := range s.Databases {
		_ = d.listener.Close()
		s.mu.Lock()
		for c := range d.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
	}
}

// beat writes the entry of each database every 1.2 s.
func (s *Service) beat() {
	for {
		for _, d := range s.Databases {
			select {
			case <-s.closed:
				return
			case <-time.After(1200 * time.Millisecond / time.Duration(len(s.Databases))):
			}
			d.register()
		}
	}
}

// register writes the entry of the database.
func (d *Database) register() {
	s := d.service
	s.mu.Lock()
	role, state := "replica", "ready"
	if d.primary {
		role = "primary"
	}
	if d.draining {
		state = "draining"
	}
	d.sequence++
	value := map[string]any{
		"service": s.Name, "address": d.listener.Addr().String(), "zone": d.Zone, "version": "v1", "slots": 5, "state": state,
		"cold_remaining_ms": 0, "database_role": role, "sequence": d.sequence, "born": 1700000000000,
	}
	s.mu.Unlock()
	s.platform.Write("servers", d.ID, value)
}

// Drain makes the database report that it is draining.
func (d *Database) Drain() {
	d.service.mu.Lock()
	d.draining = true
	d.service.mu.Unlock()
	d.register()
	d.service.record.Add("%s reports draining", d.ID)
}

// SetDeaf sets whether the replica receives nothing.
func (d *Database) SetDeaf(on bool) {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	d.deaf = on
	d.service.record.Add("%s receives nothing: %v", d.ID, on)
	if !on {
		d.service.followLocked(d)
	}
}

// SetAnswer sets the failures that the database answers with, nil for none.
func (d *Database) SetAnswer(f func(word string) string) {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	d.answer = f
}

// Acknowledge records that a session value was acknowledged to its client, or all values
// were dropped with the session if name is empty.
func (s *Service) Acknowledge(owner, name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" || s.acknowledged[owner] == nil {
		s.acknowledged[owner] = make(map[string]string)
	}
	if name != "" {
		s.acknowledged[owner][name] = value
	}
}

// Broken returns how often each rule was broken at the databases.
func (s *Service) Broken() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.broken)
}

func (s *Service) breakLocked(rule, format string, arguments ...any) {
	s.broken[rule]++
	s.record.Add("BROKEN %s: %s", rule, fmt.Sprintf(format, arguments...))
}

// RanAt returns the log position that the database had applied when it ran the statement
// with a signature.
func (s *Service) RanAt(signature string) (Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.runs[signature]
	return p, ok
}

// CommittedAt returns the position of the commit that wrote data, in the log of the newest
// primary.
func (s *Service) CommittedAt(data string) (Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.Databases {
		if d.primary && d.term == s.term {
			for _, e := range d.log {
				if e.data == data {
					return e.position, true
				}
			}
		}
	}
	return Position{}, false
}

func (s *Service) primaryLocked() *Database {
	for _, d := range s.Databases {
		if d.primary && d.term == s.term {
			return d
		}
	}
	return nil
}

// Promote makes a database the primary of the next term after PromoteDelay.
func (s *Service) Promote(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.Databases, func(d *Database) bool { return d.ID == id })
	if i < 0 {
		return false
	}
	d := s.Databases[i]
	if d.primary && d.term == s.term {
		return true
	}
	s.record.Add("promotion of %s asked for", id)
	time.AfterFunc(s.PromoteDelay, func() { s.takeOver(d) })
	return true
}

func (s *Service) takeOver(d *Database) {
	s.mu.Lock()
	if d.primary && d.term == s.term {
		s.mu.Unlock()
		return
	}
	s.term++
	d.primary, d.term, d.held, d.deaf = true, s.term, 0, false
	for i := range d.log {
		d.log[i].applyAt = time.Time{}
	}
	s.record.Add("%s leads term %d from position %s", d.ID, d.term, d.endLocked())
	for _, other := range s.Databases {
		if other == d || other.deaf {
			continue
		}
		if other.primary {
			// It continues until STEPDOWN, or until a second after it can reach the new one.
			time.AfterFunc(time.Second, func() {
				s.mu.Lock()
				changed := other.primary && other.term < s.term
				if changed {
					other.primary = false
					s.followLocked(other)
				}
				s.mu.Unlock()
				if changed {
					other.register()
				}
			})
			continue
		}
		other.held = 0
		s.followLocked(other)
	}
	s.mu.Unlock()
	d.register()
}

// followLocked makes a replica receive the log of the newest primary.
func (s *Service) followLocked(d *Database) {
	p := s.primaryLocked()
	if p == nil || p == d || d.primary || d.deaf || d.held > p.term {
		return
	}
	d.term = p.term
	common := 0
	for common < len(d.log) && common < len(p.log) && d.log[common].position == p.log[common].position {
		common++
	}
	d.log = d.log[:common]
	for _, e := range p.log[common:] {
		e.applyAt = time.Now().Add(s.Lag)
		d.log = append(d.log, e)
	}
}

// commitLocked appends writes to the log of a primary, as one commit.
func (s *Service) commitLocked(d *Database, writes []entry) {
	for _, e := range writes {
		e.position = Position{d.term, uint64(len(d.log) + 1)}
		d.log = append(d.log, e)
	}
	term := d.term
	for _, other := range s.Databases {
		if other == d {
			continue
		}
		time.AfterFunc(s.Network, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if d.primary && d.term == term && other.term == term && !other.primary && !other.deaf && other.held <= term {
				for _, e := range d.log[len(other.log):] {
					e.applyAt = time.Now().Add(s.Lag)
					other.log = append(other.log, e)
				}
			}
		})
	}
}

func (d *Database) endLocked() Position {
	if len(d.log) == 0 {
		return Position{d.term, 0}
	}
	return d.log[len(d.log)-1].position
}

// appliedLocked returns how many entries of the log the database has applied.
func (d *Database) appliedLocked() int {
	now := time.Now()
	n := 0
	for n < len(d.log) && !d.log[n].applyAt.After(now) {
		n++
	}
	return n
}

func (d *Database) appliedPositionLocked() Position {
	if n := d.appliedLocked(); n > 0 {
		return d.log[n-1].position
	}
	return Position{1, 0}
}

func (d *Database) serve() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		go (&connection{Database: d, values: make(map[string]string), prepared: make(map[string]string)}).serve(c)
	}
}

// connection is one connection to a database.
type connection struct {
	*Database
	out      *bufio.Writer
	values   map[string]string
	prepared map[string]string
	// owner is the client whose transaction is open, empty for none.
	inTransaction, readOnly, failed bool
	owner                           string
	began                           uint64
	writes                          []entry
}

func (c *connection) line(format string, arguments ...any) {
	fmt.Fprintf(c.out, format+"\r\n", arguments...)
}

func (c *connection) serve(conn net.Conn) {
	defer conn.Close()
	s := c.service
	reader := bufio.NewReaderSize(conn, 64<<10)
	c.out = bufio.NewWriter(conn)
	text, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(text)
	s.mu.Lock()
	full := len(c.conns) >= s.Limit
	if !full {
		c.conns[conn] = struct{}{}
	}
	s.mu.Unlock()
	refusal := ""
	switch {
	case full:
		refusal = "TOOMANY"
	case len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != s.Name || len(fields) > 3 && fields[3] != c.ID:
		refusal = "MISROUTED"
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !full {
			delete(c.conns, conn)
		}
	}()
	if refusal != "" {
		c.line("ERROR %s %s", refusal, c.ID)
		_ = c.out.Flush()
		return
	}
	// A new connection occupies a slot for some time.
	time.Sleep(12 * time.Millisecond)
	c.ready()
	for {
		if reader.Buffered() == 0 {
			_ = c.out.Flush()
		}
		text, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.SplitN(strings.TrimRight(text, "\r\n"), " ", 3)
		if parts[0] != "QUERY" || len(parts) < 3 {
			return
		}
		if words := strings.Fields(parts[2]); s.Work > 0 && len(words) > 0 && (words[0] == "READ" || words[0] == "AFTER") {
			time.Sleep(s.Work)
		}
		c.query(parts[1], parts[2])
		c.ready()
	}
}

func (c *connection) ready() {
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.inTransaction:
		state = "T"
	}
	c.service.mu.Lock()
	p := c.appliedPositionLocked()
	c.service.mu.Unlock()
	c.line("READY %s %s", state, p)
	if c.out.Buffered() > 0 {
		_ = c.out.Flush()
	}
}

func (c *connection) fail(code string) {
	c.failed = c.inTransaction
	c.line("ERROR %s %s", code, c.ID)
}

func (c *connection) query(id, text string) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, _, _ := strings.Cut(id, "/")
	if after, ok := strings.CutPrefix(text, "AFTER "); ok {
		word, rest, _ := strings.Cut(after, " ")
		text = rest
		var p Position
		_, _ = fmt.Sscanf(word, "%d.%d", &p.Term, &p.Number)
		n := c.appliedLocked()
		if p.Number > uint64(n) || p.Number > 0 && c.log[p.Number-1].position.Term != p.Term {
			c.fail("LAGGING")
			return
		}
	}
	fields := strings.SplitN(text, " ", 3)
	word := fields[0]
	if c.failed && word != "COMMIT" && word != "ROLLBACK" {
		c.line("ERROR MALFORMED the transaction failed")
		return
	}
	if c.answer != nil {
		if code := c.answer(word); code != "" {
			s.record.Add("%s answers %s %s with %s", c.ID, id, text, code)
			c.fail(code)
			return
		}
	}
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		c.command(fields)
		return
	case "RESET":
		clear(c.values)
		clear(c.prepared)
		c.line("COMPLETE -")
		return
	case "SET":
		if len(fields) == 3 {
			c.values[fields[1]] = fields[2]
		}
		c.line("COMPLETE -")
		return
	case "PREPARE":
		c.prepared[fields[1]] = fields[2]
		c.line("COMPLETE -")
		return
	case "DEALLOCATE":
		delete(c.prepared, fields[1])
		c.line("COMPLETE -")
		return
	}
	// What follows is sent by a client.
	if id != "-" {
		c.checkLocked(owner, id, text)
	}
	if word == "EXECUTE" {
		shape, ok := c.prepared[fields[1]]
		if !ok {
			c.fail("UNPREPARED")
			return
		}
		word, _, _ = strings.Cut(shape, " ")
		fields = append([]string{word}, strings.SplitN(strings.Join(fields[2:], " "), " ", 2)...)
	}
	switch word {
	case "BEGIN":
		readOnly := len(fields) > 1
		if !readOnly && !c.primary {
			c.fail("READONLY")
			return
		}
		c.inTransaction, c.readOnly, c.owner, c.began, c.writes = true, readOnly, owner, c.term, nil
		c.line("COMPLETE -")
	case "ROLLBACK":
		c.finish()
		c.line("COMPLETE -")
	case "COMMIT":
		if c.failed {
			c.finish()
			c.line("ERROR ABORTED %s", c.ID)
			return
		}
		if len(c.writes) > 0 {
			if !c.primary || c.term != c.began {
				c.finish()
				c.line("ERROR READONLY %s", c.ID)
				return
			}
			for _, e := range c.writes {
				if e.owner != owner {
					s.breakLocked("UNASKED", "%s %q of client %s at %s commits WRITE %s %s of client %s, which has not sent COMMIT", id, text, owner, c.ID, e.item, e.data, e.owner)
				}
			}
			s.commitLocked(c.Database, c.writes)
		}
		c.finish()
		c.line("COMPLETE %s", c.signLocked(id))
	case "READ":
		item := ""
		if len(fields) > 1 {
			item = fields[1]
		}
		value := "-"
		for _, e := range append(slices.Clone(c.log[:c.appliedLocked()]), c.writes...) {
			if e.item == item {
				value = e.data
			}
		}
		c.line("ROW %s", value)
		c.line("COMPLETE %s", c.signLocked(id))
	case "WRITE":
		if !c.primary || c.inTransaction && (c.readOnly || c.term != c.began) {
			c.fail("READONLY")
			return
		}
		e := entry{item: fields[1], data: strings.Join(fields[2:], " "), owner: owner}
		if c.inTransaction {
			c.writes = append(c.writes, e)
		} else {
			s.commitLocked(c.Database, []entry{e})
		}
		c.line("COMPLETE %s", c.signLocked(id))
	default:
		c.fail("MALFORMED")
	}
}

// checkLocked checks the rule PINNED for a statement that a client has sent.
func (c *connection) checkLocked(owner, id, text string) {
	s := c.service
	if s.Allows != nil && !s.Allows(owner) {
		s.breakLocked("ROUTE", "%s %q of client %s runs at %s of service %s, to which no route allows it to go", id, text, owner, c.ID, s.Name)
	}
	if c.inTransaction && c.owner != owner {
		s.breakLocked("PINNED", "%s %q of client %s runs at %s inside the transaction of client %s", id, text, owner, c.ID, c.owner)
	}
	if want, ok := s.acknowledged[owner]; ok && !maps.Equal(want, c.values) {
		s.breakLocked("PINNED", "%s %q of client %s runs at %s with session values %v, acknowledged were %v", id, text, owner, c.ID, c.values, want)
	}
}

func (c *connection) finish() {
	c.inTransaction, c.failed, c.readOnly, c.owner, c.writes = false, false, false, "", nil
}

// signLocked returns a new signature, which stands for the applied position.
func (c *connection) signLocked(id string) string {
	s := c.service
	s.run++
	signature := fmt.Sprintf("%s.%d.%s", c.ID, s.run, id)
	s.runs[signature] = c.appliedPositionLocked()
	return signature
}

func (c *connection) command(fields []string) {
	s := c.service
	var term uint64
	if len(fields) > 1 {
		term, _ = strconv.ParseUint(fields[1], 10, 64)
	}
	d := c.Database
	switch fields[0] {
	case "PAUSE":
		if !d.primary && term > d.term {
			d.held = term
		}
	case "RESUME":
		d.held = 0
		s.followLocked(d)
	case "STEPDOWN":
		if d.primary && d.term < term {
			d.primary = false
			s.followLocked(d)
			go d.register()
		}
	}
	if fields[0] != "STATUS" {
		s.record.Add("%s gets %s", d.ID, strings.Join(fields, " "))
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	c.line("ROW %s %d %s %d 0 0 %d", role, d.term, d.endLocked(), d.held, len(d.conns))
	c.line("COMPLETE -")
}

// Promotions serves the promotion call for services.
func Promotions(record *Record, services ...*Service) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var call struct{ Service, Identifier string }
		if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		record.Add("POST /promotion %s %s from %s with token %s", call.Service, call.Identifier, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fencing-Token"))
		for _, s := range services {
			if s.Name == call.Service && s.Promote(call.Identifier) {
				return
			}
		}
		w.WriteHeader(http.StatusConflict)
	}))
}

// Configure writes the configuration, as the operator does.
func Configure(platform *standin.Platform, version, idleMillis int, services []*Service, routes ...standin.Route) {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s.Name, "health_path": "/health", "connection_limit": s.Limit, "protocol": "h1", "transport_security": false, "sync_replicas": 0})
	}
	platform.Write("op", "config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "transaction_idle_ms": idleMillis},
	})
}
