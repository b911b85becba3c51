package backend

import (
	"hash/maphash"
	"math/bits"
	"slices"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// AnswerFault is what shows that an answer does not belong to the request that it was
// read for, or that bytes have arrived that no request waits for.
type AnswerFault uint8

// Faults of answers.
const (
	FaultNone AnswerFault = iota
	// FaultUnread means that bytes were left to read where no answer is awaited.
	FaultUnread
	// FaultRepeated means that the connection has delivered the signature before.
	FaultRepeated
	// FaultUnsigned means that a request that needs a signature succeeded without one.
	FaultUnsigned
	// FaultSigned means that a request that has no signature was answered with one.
	FaultSigned
	// FaultRows means that there are rows where the request has none, or none where it
	// needs one.
	FaultRows
	// FaultState means that the request cannot lead to the transaction state.
	FaultState
	// FaultCode means that the request cannot fail with the code.
	FaultCode
	// FaultPosition means that the position is before that of an earlier answer.
	FaultPosition
	// FaultForm means that the bytes are not an answer.
	FaultForm
	// FaultFence means that the answers to a fence are not its own.
	FaultFence
	answerFaults
)

var answerFaultNames = [answerFaults]string{
	"none", "unread", "repeated", "unsigned", "signed", "rows", "state", "code", "position", "form", "fence",
}

// String returns the name of the fault as it appears in logs and metrics.
func (f AnswerFault) String() string {
	if f < answerFaults {
		return answerFaultNames[f]
	}
	return "invalid"
}

// How many answers of a connection are told from a repetition.
const (
	rememberedSignatures = 512
	rememberedUnsigned   = 64
)

var answerSeed = maphash.MakeSeed()

// alignment is how surely the next answer of a connection is that of the next request.
type alignment uint8

const (
	aligned alignment = iota
	// doubtful means that the last success may have been a repetition, so that an answer
	// without a signature may be still to come.
	doubtful
	// unknown means that a failure may have been a repetition, so that any answer may be
	// still to come. Only a fence tells.
	unknown
)

// answerSequence checks the answers that arrive on one connection, in their order.
type answerSequence struct {
	// state is the transaction state after the last answer.
	state statement.State
	// position is the highest position of an answer.
	position position.Position
	// signatures holds the hashes of the last signatures; the oldest is replaced at next.
	signatures [rememberedSignatures]uint64
	next       int
	// unsignedAnswers holds the hashes of the last different answers without a signature,
	// the last one first.
	unsignedAnswers [rememberedUnsigned]uint64
	// states has those of recent answers.
	states    stateHistory
	alignment alignment
	// unsigned is set once an answer without a signature was delivered.
	unsigned bool
}

// observe checks the next answer. It returns what shows that it belongs to another
// request, and whether it may be a repetition of an earlier answer: of one that it equals,
// or, if it is a failure, of the one that is still to come.
func (s *answerSequence) observe(r *statement.Request, a *statement.Answer) (fault AnswerFault, ambiguous bool) {
	signed := len(a.Signature) > 0
	fault = s.fault(r, a, signed)
	if fault == FaultNone {
		seen := s.deliver(fingerprint(a, signed), signed)
		if signed && seen {
			fault = FaultRepeated
		}
		ambiguous = seen || a.Failure != nil && s.alignment != aligned
		switch {
		case ambiguous && a.Failure != nil:
			s.alignment = unknown
		case ambiguous:
			s.alignment = max(s.alignment, doubtful)
		case s.alignment == doubtful:
			s.alignment = aligned
		}
		s.unsigned = s.unsigned || !signed
		if !signed && a.Failure == nil && len(a.Rows) == 0 {
			s.states = s.states.add(a.State)
		}
	}
	s.state = a.State
	s.position = s.position.Max(a.Position)
	return fault, ambiguous
}

func (s *answerSequence) fault(r *statement.Request, a *statement.Answer, signed bool) AnswerFault {
	rows, signs := expectation(r.Operation)
	hasRows := len(a.Rows) > 0
	switch {
	case a.Failure != nil && !s.mayFail(r, a.Failure.Code):
		return FaultCode
	case a.Failure == nil && signs && !signed:
		return FaultUnsigned
	case signed && !signs:
		return FaultSigned
	case hasRows && rows == noRow, !hasRows && rows == oneRow && a.Failure == nil:
		return FaultRows
	case !s.mayLeadTo(r.Operation, a):
		return FaultState
	case !a.Position.IsZero() && a.Position.Compare(s.position) < 0:
		return FaultPosition
	default:
		return FaultNone
	}
}

// rowCount is how many rows an answer may have.
type rowCount uint8

const (
	noRow rowCount = iota
	oneRow
	anyRows
)

// expectation returns which rows an operation has, and whether its success is signed.
func expectation(o statement.Operation) (rows rowCount, signed bool) {
	switch o.(type) {
	case statement.Read, statement.Write, statement.Execute:
		return anyRows, true
	case statement.Commit:
		return noRow, true
	case statement.Status, statement.Pause, statement.Resume, statement.StepDown:
		return oneRow, false
	default:
		return noRow, false
	}
}

// mayFail reports whether a request can fail with the code.
func (s *answerSequence) mayFail(r *statement.Request, code statement.Code) bool {
	switch code {
	case statement.CodeLagging:
		return !r.Floor.IsZero()
	case statement.CodeUnprepared:
		_, executes := r.Operation.(statement.Execute)
		return executes
	case statement.CodeReadOnly:
		switch r.Operation.(type) {
		case statement.Write, statement.Begin, statement.Execute, statement.Commit:
			return true
		default:
			return s.state != statement.Idle
		}
	default:
		return true
	}
}

// mayLeadTo reports whether an operation can lead to the state of its answer.
func (s *answerSequence) mayLeadTo(o statement.Operation, a *statement.Answer) bool {
	_, begins := o.(statement.Begin)
	_, commits := o.(statement.Commit)
	_, rollsBack := o.(statement.Rollback)
	switch {
	case a.Failure == nil && begins:
		return s.state == statement.Idle && a.State == statement.InTransaction
	case a.Failure == nil && (commits || rollsBack):
		return a.State == statement.Idle
	case a.Failure == nil:
		return a.State == s.state
	case s.state == statement.Idle:
		return a.State != statement.InTransaction
	case commits || rollsBack:
		return true
	case s.state == statement.InTransaction:
		return a.State != statement.Idle
	default:
		return a.State == statement.Failed
	}
}

// fingerprint returns a hash of what tells answers apart. The position of an unsigned
// answer is no part of it: it may stay the same or not.
func fingerprint(a *statement.Answer, signed bool) uint64 {
	if signed {
		return maphash.Bytes(answerSeed, a.Signature)
	}
	h := maphash.Bytes(answerSeed, a.Rows) + uint64(a.State) + 1
	if a.Failure != nil {
		h ^= bits.RotateLeft64(maphash.String(answerSeed, a.Failure.Text), 1) + uint64(a.Failure.Code) + 1
	}
	return h
}

// deliver remembers an answer and reports whether an equal one is remembered already.
func (s *answerSequence) deliver(h uint64, signed bool) bool {
	if signed {
		if slices.Contains(s.signatures[:], h) {
			return true
		}
		s.signatures[s.next] = h
		s.next = (s.next + 1) % rememberedSignatures
		return false
	}
	i := slices.Index(s.unsignedAnswers[:], h)
	seen := i >= 0
	if !seen {
		i = rememberedUnsigned - 1
	}
	copy(s.unsignedAnswers[1:i+1], s.unsignedAnswers[:i])
	s.unsignedAnswers[0] = h
	return seen
}
