package database

import (
	"sync"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// Statement is a replicated SQL statement with its parameter values.
type Statement struct {
	SQL  string
	Args []any
}

// Entry is a committed transaction in a database's log. An entry without
// statements marks the start of a term.
type Entry struct {
	Position   position.Position
	Statements []Statement
	// At is the time of the commit on the primary, zero at the start of a term.
	At clock.Time
}

// Role is a database's role in its group.
type Role string

// The roles of a database.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// State holds a database's term, fence and log. No other mutex is locked while
// mu is held. The exported methods are safe for concurrent use.
type State struct {
	mu   sync.Mutex
	name string
	role Role
	term uint64
	// fenced is the highest term for which the database is fenced.
	fenced uint64
	// owner is who fenced the database. Only the owner may promote it.
	owner string
	// following is the name of the primary that a replica follows, "" for none.
	following string
	// termStart is the position of the current term's first entry.
	termStart position.Position
	entries   []Entry
	// applied is the number of entries that reads see.
	applied int
	// rebuilding is set while the rows are reset, when no entry may be
	// applied.
	rebuilding bool
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// Status is a consistent snapshot of a State.
type Status struct {
	Name      string
	Role      Role
	Term      uint64
	Fenced    uint64
	Received  position.Position
	Applied   position.Position
	TermStart position.Position
}

// TermError is the error of an operation that the database refuses: it has
// seen a later term, is not fenced for this one, or has not yet applied its
// log.
type TermError struct {
	Operation string
	Term      uint64
	Fenced    uint64
}

func (e *TermError) Error() string {
	return e.Operation + " refused: the database is fenced for another term"
}

// NewState returns the state of an empty replica that follows no primary.
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
		Received:  s.positionAtLocked(len(s.entries)),
		Applied:   s.positionAtLocked(s.applied),
		TermStart: s.termStart,
	}
}

func (s *State) positionAtLocked(count int) position.Position {
	if count == 0 {
		return position.Position{}
	}
	return s.entries[count-1].Position
}

// Fence makes the database refuse all writes and log entries of primaries of
// earlier terms. The term must be greater than any that the database has seen,
// or Fence returns a TermError. The same owner may repeat a fence, in case the
// response was lost.
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

// Promote makes a database that owner has fenced for term the primary of its
// group. It is idempotent. It returns a TermError if owner has not fenced the
// database for term or the log is not yet applied in full.
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
	s.appendLocked(Entry{Position: position.Position{Term: term, Offset: s.nextOffsetLocked()}})
	s.applied = len(s.entries)
	s.termStart = s.positionAtLocked(len(s.entries))
	return s.statusLocked(), nil
}

// Follow makes the database a replica of primary in term. It is idempotent. It
// returns a TermError if the database has seen a later term or is the primary
// of this one.
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

func (s *State) nextOffsetLocked() uint64 { return s.positionAtLocked(len(s.entries)).Offset + 1 }

func (s *State) appendLocked(e Entry) {
	s.entries = append(s.entries, e)
	close(s.appended)
	s.appended = make(chan struct{})
}

// Commit runs apply and appends statements to the log as one entry. It returns
// the error of apply, or a TermError if the database is no longer the primary.
func (s *State) Commit(now clock.Time, statements []Statement, apply func() error) (position.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != Primary || s.fenced > s.term {
		return position.Position{}, &TermError{Operation: "commit", Term: s.term, Fenced: s.fenced}
	}
	if err := apply(); err != nil {
		return position.Position{}, err
	}
	p := position.Position{Term: s.term, Offset: s.nextOffsetLocked()}
	s.appendLocked(Entry{Position: p, Statements: statements, At: now})
	s.applied = len(s.entries)
	return p, nil
}

// Transfer is the part of a primary's log that a replica lacks.
type Transfer struct {
	Term      uint64
	Primary   string
	TermStart position.Position
	// Keep is the number of leading entries that the replica keeps. Entries
	// follow after them.
	Keep    int
	Entries []Entry
}

// Following returns the name of the primary that the database follows, "" for
// none.
func (s *State) Following() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != Replica {
		return ""
	}
	return s.following
}

// Transfer returns the part of s's log that target lacks, and a channel that
// is closed at s's next append. It returns false if s is not primary or target
// is fenced for a later term.
func (s *State) Transfer(target *State) (Transfer, <-chan struct{}, bool) {
	s.mu.Lock()
	t := Transfer{Term: s.term, Primary: s.name, TermStart: s.termStart}
	isPrimary, log, appended := s.role == Primary, s.entries[:len(s.entries):len(s.entries)], s.appended
	s.mu.Unlock()
	if !isPrimary {
		return t, nil, false
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	if t.Term < target.fenced {
		return t, nil, false
	}
	t.Keep = target.commonPrefixLocked(log)
	t.Entries = log[t.Keep:]
	return t, appended, true
}

// commonPrefixLocked returns the number of leading entries that s and log
// have in common.
func (s *State) commonPrefixLocked(log []Entry) int {
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

// Accept appends a transfer to the log of a replica. Entries that the sender
// does not have are dropped. rebuild reports whether an applied entry was among
// them: then the rows must be reset, followed by FinishRebuild. ok is false if
// the replica does not follow the sender any more, has seen a later term, or
// the transfer does not fit its log.
func (s *State) Accept(t Transfer) (rebuild, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != Replica || s.following != t.Primary || t.Term < s.fenced || t.Term < s.term || t.Keep > len(s.entries) {
		return false, false
	}
	if t.Keep > 0 && len(t.Entries) > 0 && s.entries[t.Keep-1].Position.Compare(t.Entries[0].Position) >= 0 {
		return false, false
	}
	if t.Keep < len(s.entries) && s.containsTransferLocked(t) {
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

// containsTransferLocked reports whether the log already contains all entries
// of t, as when t arrives after a newer transfer.
func (s *State) containsTransferLocked(t Transfer) bool {
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

// FinishRebuild allows entries to be applied again after the rows are reset.
func (s *State) FinishRebuild() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rebuilding = false
}

// NextToApply returns a replica's first entry that is not applied yet, and
// whether its age has reached lag. It returns false if there is no such entry
// or the rows are being reset.
func (s *State) NextToApply(now clock.Time, lag clock.Duration) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != Replica || s.rebuilding || s.applied >= len(s.entries) {
		return Entry{}, false
	}
	e := s.entries[s.applied]
	return e, lag == 0 || now.Sub(e.At) >= lag
}

// MarkApplied marks the first unapplied entry as applied if its position is p.
func (s *State) MarkApplied(p position.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.applied < len(s.entries) && s.entries[s.applied].Position == p {
		s.applied++
	}
}

// Entries returns all entries of the log, which the caller must not change.
func (s *State) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[:len(s.entries):len(s.entries)]
}

// AppliedEntries returns the entries that reads see, which the caller must not
// change.
func (s *State) AppliedEntries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[:s.applied:s.applied]
}
