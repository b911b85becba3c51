package database

import (
	"sync"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Statement is one replicated SQL statement with its bound values.
type Statement struct {
	SQL  string
	Args []any
}

// Entry is one committed transaction in a database's log.
type Entry struct {
	Position   position.Position
	Statements []Statement
	At         clock.Time
}

// Role is what a database does in its group.
type Role string

// The roles of a database.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// State is a database's term, fence and log. Its mutex is taken before no
// other lock.
type State struct {
	mu        sync.Mutex
	name      string
	role      Role
	term      uint64
	fenced    uint64
	owner     string
	following string
	termStart position.Position
	entries   []Entry
	applied   int
	// rebuilding holds back the application of entries while the rows are
	// replaced.
	rebuilding bool
	appended   chan struct{}
}

// Status is a consistent view of a State.
type Status struct {
	Name      string
	Role      Role
	Term      uint64
	Fenced    uint64
	Received  position.Position
	Applied   position.Position
	TermStart position.Position
}

// TermError reports an operation refused because the database has seen a
// later term, or is not fenced for this one.
type TermError struct {
	Operation string
	Term      uint64
	Fenced    uint64
}

func (e *TermError) Error() string {
	return e.Operation + " refused: the database is fenced for another term"
}

func newState(name string) *State {
	return &State{name: name, role: Replica, appended: make(chan struct{})}
}

// Status returns the current status.
func (s *State) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statusLocked()
}

func (s *State) statusLocked() Status {
	return Status{
		Name:      s.name,
		Role:      s.role,
		Term:      s.term,
		Fenced:    s.fenced,
		Received:  s.positionAt(len(s.entries)),
		Applied:   s.positionAt(s.applied),
		TermStart: s.termStart,
	}
}

func (s *State) positionAt(count int) position.Position {
	if count == 0 {
		return position.Position{}
	}
	return s.entries[count-1].Position
}

// Fence makes the database refuse all writes and log of earlier terms. The
// term must be greater than any that the database has seen. The same owner
// may repeat a fence whose answer was lost.
func (s *State) Fence(term uint64, owner string) (Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	repeated := term == s.fenced && owner == s.owner && term > s.term
	if !repeated && (term <= s.fenced || term <= s.term) {
		return s.statusLocked(), &TermError{Operation: "fence", Term: term, Fenced: s.fenced}
	}
	s.fenced = term
	s.owner = owner
	s.role = Replica
	s.following = ""
	return s.statusLocked(), nil
}

// Promote makes a database that is fenced for term its group's primary. It
// is idempotent.
func (s *State) Promote(term uint64, owner string) (Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term == s.term && s.role == Primary {
		return s.statusLocked(), nil
	}
	if term != s.fenced || owner != s.owner || term <= s.term {
		return s.statusLocked(), &TermError{Operation: "promote", Term: term, Fenced: s.fenced}
	}
	if s.applied < len(s.entries) || s.rebuilding {
		return s.statusLocked(), &TermError{Operation: "promote before replay", Term: term, Fenced: s.fenced}
	}
	s.term = term
	s.role = Primary
	s.appendLocked(Entry{Position: position.Position{Term: term, Offset: s.nextOffset()}})
	s.applied = len(s.entries)
	s.termStart = s.positionAt(len(s.entries))
	return s.statusLocked(), nil
}

// Follow makes the database a replica of primary in term. It is idempotent.
func (s *State) Follow(term uint64, primary string) (Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.fenced || term < s.term || (term == s.term && s.role == Primary) {
		return s.statusLocked(), &TermError{Operation: "follow", Term: term, Fenced: s.fenced}
	}
	s.fenced = term
	s.role = Replica
	s.following = primary
	return s.statusLocked(), nil
}

func (s *State) nextOffset() uint64 { return s.positionAt(len(s.entries)).Offset + 1 }

func (s *State) appendLocked(e Entry) {
	s.entries = append(s.entries, e)
	close(s.appended)
	s.appended = make(chan struct{})
}

// commit runs apply and appends its statements as one entry, unless the
// database does not lead its term any more.
func (s *State) commit(now clock.Time, statements []Statement, apply func() error) (position.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != Primary || s.fenced > s.term {
		return position.Position{}, &TermError{Operation: "commit", Term: s.term, Fenced: s.fenced}
	}
	if err := apply(); err != nil {
		return position.Position{}, err
	}
	p := position.Position{Term: s.term, Offset: s.nextOffset()}
	s.appendLocked(Entry{Position: p, Statements: statements, At: now})
	s.applied = len(s.entries)
	return p, nil
}

// logAfter returns the entries after count and a channel closed at the next
// append. It returns false if the database does not lead term.
func (s *State) logAfter(term uint64, count int) ([]Entry, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != Primary || s.term != term {
		return nil, nil, false
	}
	if count > len(s.entries) {
		count = len(s.entries)
	}
	return s.entries[count:len(s.entries):len(s.entries)], s.appended, true
}

// commonPrefix returns how many leading entries of s are also in log.
func (s *State) commonPrefix(log []Entry) int {
	n := min(len(s.entries), len(log))
	for n > 0 && s.entries[n-1].Position != log[n-1].Position {
		n--
	}
	return n
}

// receive appends entries sent by the primary of term, after the first
// count entries. It drops entries that the primary does not have and
// reports whether an applied one was among them.
func (s *State) receive(term uint64, primary string, start position.Position, count int, entries []Entry) (rebuild, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != Replica || s.following != primary || term < s.fenced || count > len(s.entries) {
		return false, false
	}
	if count < len(s.entries) {
		s.entries = s.entries[:count:count]
		if s.applied > count {
			s.applied = 0
			s.rebuilding = true
			rebuild = true
		}
	}
	s.term = term
	s.fenced = max(s.fenced, term)
	s.termStart = start
	for _, e := range entries {
		s.appendLocked(e)
	}
	return rebuild, true
}

// nextToApply returns the first entry not yet applied, if it is older than
// lag.
func (s *State) nextToApply(now clock.Time, lag clock.Duration) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != Replica || s.rebuilding || s.applied >= len(s.entries) {
		return Entry{}, false
	}
	e := s.entries[s.applied]
	return e, lag == 0 || now.Sub(e.At) >= lag
}

func (s *State) markApplied(p position.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.applied < len(s.entries) && s.entries[s.applied].Position == p {
		s.applied++
	}
}
