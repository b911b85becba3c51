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

// NewState returns the state of an empty database.
func NewState(name string) *State {
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

// Commit runs apply and appends its statements as one entry, unless the
// database does not lead its term any more.
func (s *State) Commit(now clock.Time, statements []Statement, apply func() error) (position.Position, error) {
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

// Transfer is the part of a primary's log that a replica lacks.
type Transfer struct {
	Term      uint64
	Primary   string
	TermStart position.Position
	// Keep is how many entries the replica keeps before Entries.
	Keep    int
	Entries []Entry
}

// Following returns the name of the primary that a replica follows, "" for
// none.
func (s *State) Following() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != Replica {
		return ""
	}
	return s.following
}

// Transfer returns what target lacks of s's log, and a channel closed at
// the next append. It returns false if s does not lead.
func (s *State) Transfer(target *State) (Transfer, <-chan struct{}, bool) {
	s.mu.Lock()
	t := Transfer{Term: s.term, Primary: s.name, TermStart: s.termStart}
	leads, log, appended := s.role == Primary, s.entries[:len(s.entries):len(s.entries)], s.appended
	s.mu.Unlock()
	if !leads {
		return t, nil, false
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	if t.Term < target.fenced {
		return t, nil, false
	}
	t.Keep = target.commonPrefix(log)
	t.Entries = log[t.Keep:]
	return t, appended, true
}

// commonPrefix returns how many leading entries of s are also in log.
func (s *State) commonPrefix(log []Entry) int {
	n := min(len(s.entries), len(log))
	for n > 0 && s.entries[n-1].Position != log[n-1].Position {
		n--
	}
	return n
}

// NeedsTransfer reports whether accepting t would change the log.
func (s *State) NeedsTransfer(t Transfer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(t.Entries) > 0 || t.Keep < len(s.entries) || s.term != t.Term
}

// Accept appends a transfer to the log of a replica that still follows its
// sender. Entries that the sender does not have are dropped. It reports
// whether an applied one was among them, so that the rows must be rebuilt.
func (s *State) Accept(t Transfer) (rebuild, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != Replica || s.following != t.Primary || t.Term < s.fenced || t.Term < s.term || t.Keep > len(s.entries) {
		return false, false
	}
	if t.Keep > 0 && len(t.Entries) > 0 && s.entries[t.Keep-1].Position.Compare(t.Entries[0].Position) >= 0 {
		return false, false
	}
	if t.Keep < len(s.entries) && s.sharesEntries(t) {
		return false, true
	}
	if t.Keep < len(s.entries) {
		s.entries = s.entries[:t.Keep:t.Keep]
		if s.applied > t.Keep {
			s.applied = 0
			s.rebuilding = true
			rebuild = true
		}
	}
	s.term = t.Term
	s.fenced = max(s.fenced, t.Term)
	s.termStart = t.TermStart
	for _, e := range t.Entries {
		s.appendLocked(e)
	}
	return rebuild, true
}

// sharesEntries reports whether the log holds all of a delayed transfer
// already.
func (s *State) sharesEntries(t Transfer) bool {
	if s.term != t.Term || t.Keep+len(t.Entries) > len(s.entries) {
		return false
	}
	for i, e := range t.Entries {
		if s.entries[t.Keep+i].Position != e.Position {
			return false
		}
	}
	return len(t.Entries) > 0
}

// FinishRebuild lets entries be applied again after the rows were reset.
func (s *State) FinishRebuild() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rebuilding = false
}

// NextToApply returns the first entry not yet applied, and whether it is
// older than lag.
func (s *State) NextToApply(now clock.Time, lag clock.Duration) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != Replica || s.rebuilding || s.applied >= len(s.entries) {
		return Entry{}, false
	}
	e := s.entries[s.applied]
	return e, lag == 0 || now.Sub(e.At) >= lag
}

// MarkApplied notes that the first unapplied entry, at p, is applied.
func (s *State) MarkApplied(p position.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.applied < len(s.entries) && s.entries[s.applied].Position == p {
		s.applied++
	}
}

// Entries returns the log.
func (s *State) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[:len(s.entries):len(s.entries)]
}

// AppliedEntries returns the part of the log that reads see.
func (s *State) AppliedEntries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[:s.applied:s.applied]
}
