package backend

import (
	"fmt"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// maxFaultLines is how many faults of a database's answers, and failures that were not
	// verified, are logged in faultLogPeriod.
	maxFaultLines  = 5
	faultLogPeriod = clock.Second
)

// faultCounts counts the faults of a database's answers and bounds their log lines.
type faultCounts struct {
	mu     sync.Mutex
	counts [answerFaults]int64
	// began is when the current period began, in which written lines were logged.
	began   clock.Time
	written int
	// skipped counts the faults without a line since the last line.
	skipped int
}

// add counts a fault, if it is one. It reports whether a line may be logged now, and how many
// were not since the last one that was.
func (f *faultCounts) add(now clock.Time, fault AnswerFault) (bool, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[fault]++
	if now.Sub(f.began) >= faultLogPeriod {
		f.began, f.written = now, 0
	}
	if f.written >= maxFaultLines {
		f.skipped++
		return false, 0
	}
	f.written++
	skipped := f.skipped
	f.skipped = 0
	return true, skipped
}

// recordFault counts and logs a fault of an answer that arrived on a connection, and what
// was done about it.
func (p *Pool) recordFault(c *PooledConn, fault AnswerFault, operation, action string, fields ...zap.Field) {
	now := p.clock.Now()
	admitted, skipped := p.faults.add(now, fault)
	if !admitted {
		return
	}
	fields = append(fields, zap.String("database", p.ID), zap.Stringer("fault", fault), zap.String("operation", operation), zap.String("action", action),
		zap.Int64("openedMillisAgo", int64(now.Sub(c.OpenedAt))), zap.Int64("usedMillisAgo", int64(now.Sub(c.UsedAt))))
	if skipped > 0 {
		fields = append(fields, zap.Int("skipped", skipped))
	}
	p.log.Warn("unexpected answer of a database", fields...)
}

// RecordUnverified logs that a failure, which may be a repetition of an earlier answer, was not
// verified because of err. An answer that shows a fault has its line already.
func (p *Pool) RecordUnverified(requestID string, err error) {
	var unexpected *UnexpectedAnswerError
	var notSent *NotSentError
	if errors.As(err, &unexpected) || errors.As(err, &notSent) && notSent.Unread > 0 {
		return
	}
	admitted, skipped := p.faults.add(p.clock.Now(), FaultNone)
	if !admitted {
		return
	}
	fields := []zap.Field{zap.String("database", p.ID), zap.String("request", requestID), logs.Error(err)}
	if skipped > 0 {
		fields = append(fields, zap.Int("skipped", skipped))
	}
	p.log.Info("failure not verified", fields...)
}

// AnswerFaults calls f with the number of answers with each fault.
func (p *Pool) AnswerFaults(f func(AnswerFault, int64)) {
	p.faults.mu.Lock()
	counts := p.faults.counts
	p.faults.mu.Unlock()
	for fault := FaultUnread; fault < answerFaults; fault++ {
		f(fault, counts[fault])
	}
}

// OperationName returns the name of an operation's type.
func OperationName(o statement.Operation) string {
	_, name, _ := strings.Cut(fmt.Sprintf("%T", o), ".")
	return name
}
