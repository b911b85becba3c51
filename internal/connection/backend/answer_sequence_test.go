package backend

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

func signedAnswer(signature string, state statement.State) statement.Answer {
	return statement.Answer{Signature: []byte(signature), State: state}
}

func failedAnswer(code statement.Code, state statement.State) statement.Answer {
	return statement.Answer{Failure: &statement.Failure{Code: code, Text: "a"}, State: state}
}

// An answer that the request cannot have belongs to another one (MIXED).
func TestAnswersOfOtherRequestsAreTold(t *testing.T) {
	const idle, open, failed = statement.Idle, statement.InTransaction, statement.Failed
	done := func(state statement.State) statement.Answer { return statement.Answer{State: state} }
	row := statement.Answer{Rows: []byte("ROW x\r\n")}
	read, write, begin := statement.Read{Text: "READ a"}, statement.Write{Text: "WRITE a b"}, statement.Begin{}
	for _, c := range []struct {
		before statement.State
		o      statement.Operation
		a      statement.Answer
		fault  AnswerFault
	}{
		{idle, read, signedAnswer("1", idle), FaultNone},
		{idle, read, done(idle), FaultUnsigned},
		{idle, write, done(idle), FaultUnsigned},
		{idle, statement.Execute{Name: "p"}, done(idle), FaultUnsigned},
		{open, statement.Commit{}, done(idle), FaultUnsigned},
		{open, statement.Commit{}, signedAnswer("1", idle), FaultNone},
		{open, statement.Commit{}, signedAnswer("1", open), FaultState},
		{idle, statement.Reset{}, signedAnswer("1", idle), FaultSigned},
		{idle, statement.Set{Name: "a"}, signedAnswer("1", idle), FaultSigned},
		{idle, statement.Prepare{Name: "a"}, row, FaultRows},
		{idle, statement.Status{}, done(idle), FaultRows},
		{idle, statement.StepDown{Term: 2}, row, FaultNone},
		{idle, statement.Status{}, failedAnswer(statement.CodeBusy, idle), FaultNone},
		{idle, begin, done(open), FaultNone},
		{idle, begin, done(idle), FaultState},
		{open, begin, done(open), FaultState},
		{idle, begin, failedAnswer(statement.CodeReadOnly, idle), FaultNone},
		{open, statement.Rollback{}, done(idle), FaultNone},
		{open, statement.Rollback{}, done(open), FaultState},
		{open, read, signedAnswer("1", idle), FaultState},
		{idle, read, signedAnswer("1", open), FaultState},
		{open, read, failedAnswer(statement.CodeBusy, open), FaultNone},
		{open, read, failedAnswer(statement.CodeFailed, failed), FaultNone},
		{open, read, failedAnswer(statement.CodeFailed, idle), FaultState},
		{idle, read, failedAnswer(statement.CodeFailed, open), FaultState},
		{failed, read, failedAnswer(statement.CodeMalformed, failed), FaultNone},
		{idle, read, failedAnswer(statement.CodeReadOnly, idle), FaultCode},
		{open, read, failedAnswer(statement.CodeReadOnly, failed), FaultNone},
		{idle, read, failedAnswer(statement.CodeLagging, idle), FaultCode},
		{idle, read, failedAnswer(statement.CodeUnprepared, idle), FaultCode},
		{idle, statement.Execute{Name: "p"}, failedAnswer(statement.CodeUnprepared, idle), FaultNone},
	} {
		s := answerSequence{state: c.before}
		fault, ambiguous := s.observe(&statement.Request{Operation: c.o}, &c.a)
		require.Equal(t, c.fault, fault, "%T answered with %+v in state %d", c.o, c.a, c.before)
		require.False(t, ambiguous)
	}
}

// The second delivery of a signature is no answer, also after many others. An unsigned
// answer that equals an earlier one may be a second delivery.
func TestRepeatedAnswersAreTold(t *testing.T) {
	read := statement.Request{Operation: statement.Read{Text: "READ a"}}
	var s answerSequence
	for i := range 10 * rememberedSignatures {
		a := signedAnswer(fmt.Sprint(i), statement.Idle)
		fault, ambiguous := s.observe(&read, &a)
		require.Equal(t, FaultNone, fault)
		require.False(t, ambiguous)
		if i >= rememberedSignatures-1 {
			a = signedAnswer(fmt.Sprint(i-rememberedSignatures+1), statement.Idle)
			fault, _ = s.observe(&read, &a)
			require.Equal(t, FaultRepeated, fault)
		}
	}
	s = answerSequence{}
	for i, c := range []struct {
		code      statement.Code
		ambiguous bool
	}{
		{statement.CodeBusy, false}, {statement.CodeFailed, false}, {statement.CodeBusy, true},
		// This may be the answer to the request before.
		{statement.CodeTimeout, true},
	} {
		a := failedAnswer(c.code, statement.Idle)
		a.Position = position.Position{Term: 1, Offset: uint64(i)}
		fault, ambiguous := s.observe(&read, &a)
		require.Equal(t, FaultNone, fault)
		require.Equal(t, c.ambiguous, ambiguous, "failure %d", i)
	}
}

// After a success that may be a repetition, a failure may be the answer to the request
// before. A success that is none shows that it is not.
func TestFailureAfterAnAmbiguousSuccess(t *testing.T) {
	reset, read := statement.Request{Operation: statement.Reset{}}, statement.Request{Operation: statement.Read{Text: "READ a"}}
	for _, between := range []bool{false, true} {
		var s answerSequence
		for i := range 2 {
			fault, ambiguous := s.observe(&reset, &statement.Answer{})
			require.Equal(t, FaultNone, fault)
			require.Equal(t, i > 0, ambiguous)
		}
		if between {
			a := signedAnswer("1", statement.Idle)
			_, ambiguous := s.observe(&read, &a)
			require.False(t, ambiguous)
		}
		a := failedAnswer(statement.CodeFailed, statement.Idle)
		_, ambiguous := s.observe(&read, &a)
		require.Equal(t, !between, ambiguous)
	}
}

// A position that goes back is one of an earlier answer.
func TestPositionsDoNotGoBack(t *testing.T) {
	var s answerSequence
	for i, p := range []struct {
		at    position.Position
		fault AnswerFault
	}{
		{position.Position{Term: 3, Offset: 7}, FaultNone}, {position.Position{}, FaultNone}, {position.Position{Term: 3, Offset: 7}, FaultNone},
		{position.Position{Term: 3, Offset: 6}, FaultPosition}, {position.Position{Term: 4, Offset: 5}, FaultNone}, {position.Position{Term: 3, Offset: 9}, FaultPosition},
	} {
		a := signedAnswer(fmt.Sprint(i), statement.Idle)
		a.Position = p.at
		fault, _ := s.observe(&statement.Request{Operation: statement.Read{Text: "READ a"}}, &a)
		require.Equal(t, p.fault, fault, "%v", p.at)
	}
}
