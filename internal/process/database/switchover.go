package database

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// catchUpInterval is the time between two status requests while a database
// catches up with the primary.
const catchUpInterval = 2 * time.Millisecond

// SwitchError reports a switchover requested by an operator that was not
// performed or not completed.
type SwitchError struct {
	// Step is the step that failed.
	Step   string
	Reason string
	// Fenced is set if databases have been fenced, so that the group may refuse
	// writes until a failover completes the switchover.
	Fenced bool
}

func (e *SwitchError) Error() string { return e.Step + ": " + e.Reason }

// SwitchResult is the result of a completed switchover.
type SwitchResult struct {
	Term    uint64
	Primary string
	// Reached is the new primary's log position at its promotion.
	Reached position.Position
	// Unreached names the databases that did not accept the fence for Term.
	Unreached []string
}

// AwaitCaughtUp waits until database target has received the whole log of the
// primary. Writes must have been paused. It returns a *SwitchError if the
// primary or target does not answer, or if ctx ends first.
func (d *FailoverDriver) AwaitCaughtUp(ctx context.Context, target int) error {
	for {
		statuses := d.statusAll(ctx)
		primary := findWritablePrimary(statuses)
		switch {
		case primary < 0:
			return &SwitchError{Step: "compare logs", Reason: "the primary does not answer"}
		case statuses[target] == nil:
			return &SwitchError{Step: "compare logs", Reason: "database " + d.name(target) + " does not answer"}
		case statuses[target].Received.AtLeast(statuses[primary].Received):
			return nil
		}
		timer := time.NewTimer(catchUpInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return &SwitchError{Step: "compare logs", Reason: fmt.Sprintf("database %s is at %v and the primary at %v",
				d.name(target), statuses[target].Received, statuses[primary].Received)}
		}
	}
}

// Switch makes target the primary in a new term, or the database with the
// longest log if target is negative. If fewer than a majority of the databases
// answer, or target lacks a part of the log, it acts only if acceptLoss is set,
// and may then lose acknowledged writes. Its errors are of type *SwitchError.
func (d *FailoverDriver) Switch(ctx context.Context, target int, acceptLoss bool) (SwitchResult, error) {
	statuses := d.statusAll(ctx)
	var term uint64
	for _, s := range statuses {
		if s != nil {
			term = max(term, s.Term, s.Fenced)
		}
	}
	term++
	if reached := countAnswers(statuses); reached < d.majority() && !acceptLoss {
		return SwitchResult{}, &SwitchError{Step: "ask the group", Reason: fmt.Sprintf(
			"only %d of %d databases answer; a promotion may lose acknowledged writes", reached, len(statuses))}
	}
	fenced := d.fenceAll(ctx, term)
	if n := countAnswers(fenced); n < d.majority() && !acceptLoss || n == 0 {
		return SwitchResult{}, &SwitchError{Step: "fence", Reason: fmt.Sprintf("only %d databases accepted term %d", n, term), Fenced: n > 0}
	}
	best := longestLog(fenced)
	switch {
	case target < 0:
		target = best
	case fenced[target] == nil:
		return SwitchResult{}, &SwitchError{Step: "fence", Reason: "database " + d.name(target) + " did not accept the term", Fenced: true}
	case !fenced[target].Received.AtLeast(fenced[best].Received) && !acceptLoss:
		return SwitchResult{}, &SwitchError{Step: "choose", Reason: "database " + d.name(target) + " lacks log that " + d.name(best) + " has", Fenced: true}
	}
	return d.completeSwitch(ctx, target, term, fenced)
}

func (d *FailoverDriver) completeSwitch(ctx context.Context, target int, term uint64, fenced []*Status) (SwitchResult, error) {
	report := Report{Database: target, SentSeq: d.sequence.Next(), SentAt: d.clock.Now()}
	status, err := d.operations[target].Promote(ctx, term, d.owner)
	d.logStep("promote for switchover", target, term, err)
	if err != nil {
		return SwitchResult{}, &SwitchError{Step: "promote", Reason: err.Error(), Fenced: true}
	}
	report.Status = status
	d.monitor.Observe(report)
	result := SwitchResult{Term: term, Primary: d.name(target), Reached: status.TermStart}
	for i := range d.operations {
		if fenced[i] == nil {
			result.Unreached = append(result.Unreached, d.name(i))
		}
		if i != target {
			d.workers.Submit(func() { d.follow(Follow{Database: i, Term: term, Primary: target}) })
		}
	}
	d.peers.AnnouncePrimary(d.monitor.Name(), term, result.Primary)
	d.log.Info("switchover: database promoted", zap.String("group", d.monitor.Name()),
		zap.String("database", result.Primary), zap.Uint64("term", term))
	return result, nil
}

func (d *FailoverDriver) name(i int) string { return d.monitor.Members()[i].Name }

func (d *FailoverDriver) majority() int { return len(d.operations)/2 + 1 }

// statusAll requests the status of all databases. Those that do not answer are
// nil in the result.
func (d *FailoverDriver) statusAll(ctx context.Context) []*Status {
	return d.callAll(ctx, func(ctx context.Context, o Operations) (Status, error) { return o.Status(ctx) })
}

// fenceAll fences all databases for term. Those that do not accept are nil in
// the result.
func (d *FailoverDriver) fenceAll(ctx context.Context, term uint64) []*Status {
	return d.callAll(ctx, func(ctx context.Context, o Operations) (Status, error) { return o.Fence(ctx, term, d.owner) })
}

// callAll runs call on all databases concurrently, within stepTimeout. Those for
// which it fails are nil in the result.
func (d *FailoverDriver) callAll(ctx context.Context, call func(context.Context, Operations) (Status, error)) []*Status {
	ctx, cancel := context.WithTimeout(ctx, d.stepTimeout.Std())
	defer cancel()
	statuses := make([]*Status, len(d.operations))
	var wg sync.WaitGroup
	for i, o := range d.operations {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if s, err := call(ctx, o); err == nil {
				statuses[i] = &s
			}
		}()
	}
	wg.Wait()
	return statuses
}

func countAnswers(statuses []*Status) int {
	n := 0
	for _, s := range statuses {
		if s != nil {
			n++
		}
	}
	return n
}

// findWritablePrimary returns the index of the primary with the highest term
// that accepts writes, or -1.
func findWritablePrimary(statuses []*Status) int {
	best := -1
	for i, s := range statuses {
		if s != nil && s.AcceptsWrites() && (best < 0 || s.Term > statuses[best].Term) {
			best = i
		}
	}
	return best
}

// longestLog returns the index of the database that has received the most log,
// or -1.
func longestLog(statuses []*Status) int {
	best := -1
	for i, s := range statuses {
		if s != nil && (best < 0 || s.Received.Compare(statuses[best].Received) > 0) {
			best = i
		}
	}
	return best
}
