//go:build review

// Package kit3 has stand-ins of the users' platform for the cases of the third review:
// databases, the metadata store, the promotion call and clients. They speak what PROTOCOL.md
// says, on loopback addresses.
package kit3

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Entry is a commit in the log of a database.
type Entry struct {
	Term, Number uint64
	Item, Data   string
}

// Group is a service: databases that replicate the log of a primary.
type Group struct {
	Name string
	// PromoteDelay is how long a promotion takes.
	PromoteDelay time.Duration
	// Sync is set if a commit is acknowledged once a replica has received it.
	Sync bool
	// Work returns how long a database runs a statement.
	Work   func(id, text string) time.Duration
	Record *Record

	mu        sync.Mutex
	databases []*Database
	// cuts has the pairs of names, databases and fronts, that cannot reach each other.
	cuts map[[2]string]bool
	// term is the newest term.
	term       uint64
	signatures uint64
	// commits has all commits, also those that were rolled back, and takenOverAt is when the
	// last promotion has taken effect.
	commits     []commit
	takenOverAt time.Time
	done        chan struct{}
}

// commit is a commit that a database has made.
type commit struct {
	Entry
	database string
	at       time.Time
}

// TakenOverAt returns when the last promotion has taken effect, and false if none has.
func (g *Group) TakenOverAt() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.takenOverAt, !g.takenOverAt.IsZero()
}

// CommittedAt returns when and by which database a write was committed first.
func (g *Group) CommittedAt(item, data string) (time.Time, string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.commits {
		if c.Item == item && c.Data == data {
			return c.at, c.database, true
		}
	}
	return time.Time{}, "", false
}

// Database is one database of a group. Its fields are guarded by the group's lock.
type Database struct {
	ID, Zone, Address string
	group             *Group
	listener          net.Listener
	primary           bool
	term              uint64
	// held is the term of the last PAUSE, zero if the replica receives.
	held uint64
	log  []Entry
	// dark is set while the database answers nobody.
	dark bool
	born int64
	// reachesSince is since when a replaced primary reaches the new one.
	reachesSince time.Time
	connections  map[net.Conn]bool
	// every is in which rounds of replication the database receives.
	every int
}

// ReceiveEvery sets that the database receives in each nth round of replication only, so that
// it is further behind than others.
func (d *Database) ReceiveEvery(n int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.every = n
}

const (
	replicationInterval = 4 * time.Millisecond
	// stepDownAfter is how long a replaced primary goes on that reaches the new one.
	stepDownAfter = time.Second
	// connectionLimit is how many connections a database accepts.
	connectionLimit = 47
)

// NewGroup starts a group without databases.
func NewGroup(name string, record *Record) *Group {
	g := &Group{Name: name, PromoteDelay: 300 * time.Millisecond, Record: record, cuts: make(map[[2]string]bool), term: 1, done: make(chan struct{})}
	go g.replicate()
	return g
}

// Add starts a database: the primary if it is the first, otherwise a replica with the log of
// the primary.
func (g *Group) Add(id, zone string) *Database {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d := &Database{ID: id, Zone: zone, Address: l.Addr().String(), group: g, listener: l, primary: len(g.databases) == 0, term: g.term, born: time.Now().UnixMilli(), every: 1, connections: make(map[net.Conn]bool)}
	for _, p := range g.databases {
		if p.primary && p.term == g.term {
			d.log = append([]Entry(nil), p.log...)
		}
	}
	g.databases = append(g.databases, d)
	go d.accept()
	g.Record.Add("database %s starts, primary %v", id, d.primary)
	return d
}

// Databases returns the databases.
func (g *Group) Databases() []*Database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Database(nil), g.databases...)
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Cut partitions each of some databases or fronts from each of others, or ends that.
func (g *Group) Cut(cut bool, some, others []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range some {
		for _, b := range others {
			g.cuts[pair(a, b)] = cut
		}
	}
	g.Record.Add("partition %v: %v and %v", cut, some, others)
}

func (g *Group) reachesLocked(a, b string) bool { return !g.cuts[pair(a, b)] }

// SetDark sets whether the database answers nobody.
func (d *Database) SetDark(dark bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.dark = dark
	d.group.Record.Add("database %s dark: %v", d.ID, dark)
}

// Crash ends the process of the database and its connections. StartWithNothing starts it
// again.
func (d *Database) Crash() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.dark = true
	for c := range d.connections {
		_ = c.Close()
	}
	d.group.Record.Add("database %s crashes", d.ID)
}

// StartWithNothing starts a database that has crashed again under its identifier. It holds
// and knows nothing of before.
func (d *Database) StartWithNothing() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.dark, d.primary, d.term, d.held, d.log, d.born = false, false, 0, 0, nil, time.Now().UnixMilli()
	d.group.Record.Add("database %s starts again with nothing", d.ID)
}

// replicate sends the logs of primaries to replicas.
func (g *Group) replicate() {
	for round := 0; ; round++ {
		select {
		case <-g.done:
			return
		case <-time.After(replicationInterval):
		}
		g.mu.Lock()
		for _, p := range g.databases {
			if p.primary && !p.dark {
				for _, d := range g.databases {
					if d != p && !d.dark && round%d.every == 0 && g.reachesLocked(p.ID, d.ID) {
						d.hearLocked(p)
					}
				}
			}
		}
		g.mu.Unlock()
	}
}

// hearLocked lets a database receive from a primary.
func (d *Database) hearLocked(p *Database) {
	switch {
	case d.primary && d.term < p.term:
		if d.reachesSince.IsZero() {
			d.reachesSince = time.Now()
		}
		if time.Since(d.reachesSince) >= stepDownAfter {
			d.primary, d.held = false, 0
			d.group.Record.Add("database %s is a replica now, it has heard of term %d", d.ID, p.term)
			d.followLocked(p)
		}
	case d.primary || p.term < d.term || p.term < d.held || p.term == d.term && d.held > d.term:
	default:
		d.followLocked(p)
	}
}

func (d *Database) followLocked(p *Database) {
	if d.term < p.term {
		kept := 0
		for kept < len(d.log) && kept < len(p.log) && d.log[kept] == p.log[kept] {
			kept++
		}
		for _, e := range d.log[kept:] {
			d.group.Record.Add("database %s rolls back %d.%d %s=%s", d.ID, e.Term, e.Number, e.Item, e.Data)
		}
		d.log, d.term, d.held = d.log[:kept:kept], p.term, 0
	}
	if len(p.log) > len(d.log) {
		d.log = append(d.log, p.log[len(d.log):]...)
	}
}

// Promote makes a database the primary of the next term after PromoteDelay. It returns false
// if the database is not running.
func (g *Group) Promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.databases {
		if d.ID != id || d.dark {
			continue
		}
		if d.primary && d.term == g.term {
			return true
		}
		time.AfterFunc(g.PromoteDelay, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if d.dark || d.primary && d.term == g.term {
				return
			}
			g.term++
			d.primary, d.term, d.held = true, g.term, 0
			g.takenOverAt = time.Now()
			g.Record.Add("promotion has taken effect: database %s leads term %d from %s", d.ID, d.term, d.positionLocked())
		})
		return true
	}
	return false
}

// Primary returns the database that leads the newest term.
func (g *Group) Primary() *Database {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.databases {
		if d.primary && d.term == g.term {
			return d
		}
	}
	return nil
}

// Has reports whether the log of the database has a commit.
func (d *Database) Has(item, data string) bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	for _, e := range d.log {
		if e.Item == item && e.Data == data {
			return true
		}
	}
	return false
}

// Role returns what the database says of itself in the registry, and false while it says
// nothing.
func (d *Database) Role() (string, bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.primary {
		return "primary", !d.dark
	}
	return "replica", !d.dark
}

func (d *Database) positionLocked() string {
	if n := len(d.log); n > 0 {
		return fmt.Sprintf("%d.%d", d.log[n-1].Term, d.log[n-1].Number)
	}
	return fmt.Sprintf("%d.0", d.term)
}

func (d *Database) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(c)
	}
}

// session is a connection to a database.
type session struct {
	*Database
	conn     net.Conn
	user     string
	state    byte
	readOnly bool
	term     uint64
	pending  []Entry
	prepared map[string]string
	// unsynced is the last commit of the session that a replica has to receive, if its Number
	// is not zero.
	unsynced Entry
}

// silentLocked reports whether the other end of the connection is cut off, or the database
// is dark.
func (s *session) silentLocked() bool {
	return s.dark || !s.group.reachesLocked(s.ID, s.user)
}

func (s *session) silent() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.silentLocked()
}

func (d *Database) serve(c net.Conn) {
	defer func() {
		d.group.mu.Lock()
		delete(d.connections, c)
		d.group.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReaderSize(c, 4<<10)
	line, err := readLine(r)
	if err != nil {
		return
	}
	s := &session{Database: d, conn: c, state: 'I', prepared: make(map[string]string)}
	fields := strings.Split(line, " ")
	if len(fields) > 2 {
		s.user = fields[2]
	}
	if s.silent() {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	d.group.mu.Lock()
	full := len(d.connections) >= connectionLimit
	d.connections[c] = true
	d.group.mu.Unlock()
	switch {
	case len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != d.group.Name || len(fields) > 3 && fields[3] != d.ID:
		_, _ = fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", d.ID)
		return
	case full:
		_, _ = fmt.Fprintf(c, "ERROR TOOMANY %s\r\n", d.ID)
		return
	}
	s.answer("")
	for {
		line, err := readLine(r)
		if err != nil {
			return
		}
		parts := strings.SplitN(line, " ", 3)
		if len(parts) < 3 || parts[0] != "QUERY" {
			return
		}
		if s.silent() {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		text := s.run(parts[1], parts[2])
		s.awaitReplica()
		if s.silent() {
			// The answer is lost.
			_, _ = io.Copy(io.Discard, c)
			return
		}
		s.answer(text)
	}
}

// awaitReplica waits, if the group is synchronous, until a replica has received the session's
// last commit, or it is too late for that.
func (s *session) awaitReplica() {
	const limit = 10 * time.Second
	for until := time.Now().Add(limit); s.group.Sync && s.unsynced.Number > 0 && time.Now().Before(until); time.Sleep(time.Millisecond) {
		s.group.mu.Lock()
		received := slices.ContainsFunc(s.group.databases, func(d *Database) bool {
			n := s.unsynced.Number
			return d != s.Database && n <= uint64(len(d.log)) && d.log[n-1] == s.unsynced
		})
		s.group.mu.Unlock()
		if received {
			break
		}
	}
	s.unsynced = Entry{}
}

// answer sends an answer and READY.
func (s *session) answer(text string) {
	s.group.mu.Lock()
	at := s.positionLocked()
	s.group.mu.Unlock()
	_, _ = fmt.Fprintf(s.conn, "%sREADY %c %s\r\n", text, s.state, at)
}

func (s *session) fail(code string) string {
	if s.state == 'T' {
		s.state = 'E'
	}
	return "ERROR " + code + " " + s.ID + "\r\n"
}

func (s *session) signedLocked(id string) string {
	s.group.signatures++
	return fmt.Sprintf("COMPLETE %s.%d.%s\r\n", s.ID, s.group.signatures, id)
}

// run runs a statement and returns its answer without READY.
func (s *session) run(id, text string) string {
	g := s.group
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		at, statement, _ := strings.Cut(rest, " ")
		g.mu.Lock()
		lacks := !s.hasLocked(at)
		g.mu.Unlock()
		if lacks {
			return s.fail("LAGGING")
		}
		text = statement
	}
	f := strings.SplitN(text, " ", 3)
	if s.state == 'E' && f[0] != "COMMIT" && f[0] != "ROLLBACK" {
		return s.fail("MALFORMED")
	}
	if f[0] == "EXECUTE" && len(f) > 1 {
		shape, ok := s.prepared[f[1]]
		if !ok {
			return s.fail("UNPREPARED")
		}
		word, _, _ := strings.Cut(shape, " ")
		f = append([]string{word}, strings.SplitN(strings.Join(f[2:], " "), " ", 2)...)
	}
	switch f[0] {
	case "READ", "WRITE", "COMMIT":
		if g.Work != nil {
			time.Sleep(g.Work(id, text))
		}
		if s.silent() {
			return ""
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch f[0] {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.commandLocked(f)
	case "RESET":
		clear(s.prepared)
		return "COMPLETE -\r\n"
	case "SET", "DEALLOCATE":
		return "COMPLETE -\r\n"
	case "PREPARE":
		s.prepared[f[1]] = f[2]
		return "COMPLETE -\r\n"
	case "BEGIN":
		s.readOnly = len(f) > 1
		if !s.readOnly && !s.primary {
			return s.fail("READONLY")
		}
		s.state, s.term, s.pending = 'T', s.Database.term, nil
		return "COMPLETE -\r\n"
	case "ROLLBACK":
		s.state, s.pending = 'I', nil
		return "COMPLETE -\r\n"
	case "COMMIT":
		failed, pending := s.state == 'E', s.pending
		s.state, s.pending = 'I', nil
		switch {
		case failed:
			return "COMPLETE -\r\n"
		case len(pending) > 0 && (!s.primary || s.Database.term != s.term):
			return s.fail("READONLY")
		}
		s.commitLocked(id, pending)
		return s.signedLocked(id)
	case "READ":
		if len(f) < 2 {
			return s.fail("MALFORMED")
		}
		if s.state == 'T' && !s.readOnly && (!s.primary || s.Database.term != s.term) {
			return s.fail("READONLY")
		}
		value := s.valueLocked(f[1])
		g.Record.Add("database %s runs read %s of %s, term %d, log %s, value %q", s.ID, id, f[1], s.Database.term, s.positionLocked(), short(value))
		return "ROW " + value + "\r\n" + s.signedLocked(id)
	case "WRITE":
		if len(f) < 3 {
			return s.fail("MALFORMED")
		}
		if !s.primary || s.state == 'T' && (s.readOnly || s.Database.term != s.term) {
			return s.fail("READONLY")
		}
		e := Entry{Item: f[1], Data: f[2]}
		if s.state == 'T' {
			s.pending = append(s.pending, e)
		} else {
			s.commitLocked(id, []Entry{e})
		}
		return s.signedLocked(id)
	default:
		return s.fail("MALFORMED")
	}
}

func (s *session) commitLocked(id string, pending []Entry) {
	for _, e := range pending {
		e.Term, e.Number = s.Database.term, uint64(len(s.log)+1)
		s.log = append(s.log, e)
		s.unsynced = e
		s.group.commits = append(s.group.commits, commit{e, s.ID, time.Now()})
		s.group.Record.Add("database %s commits %d.%d of %s, %s=%s", s.ID, e.Term, e.Number, id, e.Item, short(e.Data))
	}
}

func (s *session) valueLocked(item string) string {
	for _, list := range [][]Entry{s.pending, s.log} {
		for i := len(list) - 1; i >= 0; i-- {
			if list[i].Item == item {
				return list[i].Data
			}
		}
	}
	return ""
}

func (d *Database) hasLocked(at string) bool {
	term, number, _ := strings.Cut(at, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil || n > uint64(len(d.log)) {
		return false
	}
	return n == 0 || d.log[n-1].Term == t
}

func (s *session) commandLocked(f []string) string {
	d := s.Database
	var term uint64
	if len(f) > 1 {
		term, _ = strconv.ParseUint(f[1], 10, 64)
	}
	switch f[0] {
	case "PAUSE":
		if !d.primary && term > d.term {
			d.held = term
		}
	case "RESUME":
		d.held = 0
	case "STEPDOWN":
		if d.primary && term > d.term {
			d.primary = false
			s.group.Record.Add("database %s steps down, told by %s", d.ID, s.user)
		}
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\nCOMPLETE -\r\n", role, d.term, d.positionLocked(), d.held, len(d.connections))
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func short(text string) string {
	if len(text) > 40 {
		return text[:40] + "..."
	}
	return text
}
