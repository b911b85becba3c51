package backend

import (
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
)

// idleFences are fences outside a transaction. The states of one's answers are a word of T
// and I, and a second delivery of earlier answers passes it only if the word is among their
// states. So a connection does not use a word that its recent answers have.
type idleFences struct {
	// window is how many recent answers must not have the word.
	window int
	list   []idleFence
}

// idleFence is one of idleFences. Its word has no proper prefix that is a suffix too: where
// some of its answers are read for others of its requests, the word does not fit.
type idleFence struct {
	requests fence
	word     stateHistory
}

const (
	// maxIdleFenceSize is the number of requests of the longest fences. The windows are too
	// short to have all words of the longest size in a list.
	maxIdleFenceSize = maxFrequentFenceSize + 2
	// maxFrequentFenceSize is the number of requests of the longest of frequentFences.
	maxFrequentFenceSize = 8
)

var (
	// frequentFences go with other requests.
	frequentFences = newIdleFences(16, 2, maxFrequentFenceSize)
	// rareFences follow a failure that may be a repetition.
	rareFences = newIdleFences(32, maxFrequentFenceSize, maxIdleFenceSize)
)

// newIdleFences returns all fences of minSize to maxSize requests, the shortest first.
func newIdleFences(window, minSize, maxSize int) idleFences {
	f := idleFences{window: window}
	for size := minSize; size <= maxSize; size += 2 {
		for word := stateHistory(1)<<size - 1; word > 0; word-- {
			if requests := requestsOf(word, size); requests != nil && word.unbordered(size) {
				f.list = append(f.list, idleFence{requests: requests, word: word})
			}
		}
	}
	return f
}

// requestsOf returns requests that lead from Idle to the states of a word and end there, nil
// if there are none. Each PREPARE has its DEALLOCATE in the same transaction, or both are
// outside one.
func requestsOf(word stateHistory, size int) fence {
	var requests fence
	state, prepared := statement.Idle, false
	for i := size - 1; i >= 0; i-- {
		next := word.state(i)
		switch {
		case next != state && prepared:
			return nil
		case next == statement.InTransaction && state == statement.Idle:
			requests = append(requests, statement.Request{Operation: statement.Begin{ReadOnly: true}})
		case next != state:
			requests = append(requests, statement.Request{Operation: statement.Rollback{}})
		case prepared:
			requests, prepared = append(requests, deallocateFence), false
		default:
			requests, prepared = append(requests, prepareFence), true
		}
		state = next
	}
	if prepared || state != statement.Idle {
		return nil
	}
	return requests
}

// choose returns the first fence whose word is not among recent states.
func (f *idleFences) choose(recent stateHistory) fence {
	for i := range f.list {
		if e := &f.list[i]; !recent.contains(e.word, len(e.requests), f.window) {
			return e.requests
		}
	}
	return f.list[len(f.list)-1].requests
}

// stateHistory has the transaction states of the last 32 answers without a signature, rows
// and a failure, the last one in the lowest bit, which is set in a transaction.
type stateHistory uint32

func (h stateHistory) add(state statement.State) stateHistory {
	h <<= 1
	if state == statement.InTransaction {
		h |= 1
	}
	return h
}

// state returns the state of the answer that n others have followed.
func (h stateHistory) state(n int) statement.State {
	if h>>n&1 == 1 {
		return statement.InTransaction
	}
	return statement.Idle
}

// contains reports whether a word is among the last states.
func (h stateHistory) contains(word stateHistory, size, window int) bool {
	mask := stateHistory(1)<<size - 1
	for i := range window - size + 1 {
		if h>>i&mask == word {
			return true
		}
	}
	return false
}

// unbordered reports whether no proper prefix of a word is a suffix of it.
func (h stateHistory) unbordered(size int) bool {
	for n := 1; n < size; n++ {
		if mask := stateHistory(1)<<n - 1; h&mask == h>>(size-n) {
			return false
		}
	}
	return true
}

// statesAfter returns the states once requests have succeeded.
func (s *answerSequence) statesAfter(requests []statement.Request) stateHistory {
	h, state := s.states, s.state
	for i := range requests {
		o := requests[i].Operation
		switch o.(type) {
		case statement.Begin:
			state = statement.InTransaction
		case statement.Commit, statement.Rollback:
			state = statement.Idle
		}
		if rows, signed := expectation(o); rows == noRow && !signed {
			h = h.add(state)
		}
	}
	return h
}
