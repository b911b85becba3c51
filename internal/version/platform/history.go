// Package platform accepts versions of the declarations through the
// platform's table and object store, and reads them back.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/process/platform"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
)

const (
	headKey      = "declarations/head"
	contentKeys  = "declarations/content/"
	recordKeys   = "declarations/records/"
	maxAttempts  = 8
	firstBackoff = 100 * time.Millisecond
)

// Head names the accepted version.
type Head struct {
	Version uint64 `json:"version"`
	// Hash names the content.
	Hash string `json:"hash"`
	// ChangeID names the change, so that its operator knows it again.
	ChangeID string `json:"changeId"`
}

// Record is what is kept of each accepted version.
type Record struct {
	Head
	// Parent is the change id of the version before, "" for the first.
	Parent string `json:"parent,omitempty"`
	By     string `json:"by,omitempty"`
	Note   string `json:"note,omitempty"`
	At     string `json:"at,omitempty"`
}

// Change is what an operator wants accepted.
type Change struct {
	ID     string
	Bundle operator.Bundle
	// Onto is the version that the change was planned on.
	Onto uint64
	By   string
	Note string
	// At is the operator's own time, for people to read.
	At string
}

// StalePlanError reports a change that was planned on a version that is not
// the accepted one any more.
type StalePlanError struct {
	Planned uint64
	Head    Head
	By      string
	// Differences are what the other change has changed.
	Differences []operator.Difference
}

func (e *StalePlanError) Error() string {
	return fmt.Sprintf("version %d was accepted from %q after this change was planned on version %d; plan again", e.Head.Version, e.By, e.Planned)
}

// History keeps the accepted versions.
type History struct {
	table   platform.Table
	objects platform.Objects
	sleep   func(context.Context, time.Duration) error
}

// Option changes a History at its construction.
type Option func(*History)

// WithSleep replaces the wait between attempts.
func WithSleep(sleep func(context.Context, time.Duration) error) Option {
	return func(h *History) { h.sleep = sleep }
}

// NewHistory returns the history that the platform keeps.
func NewHistory(t platform.Table, o platform.Objects, options ...Option) *History {
	h := &History{table: t, objects: o, sleep: platform.Sleep}
	for _, option := range options {
		option(h)
	}
	return h
}

// Head returns the accepted version, version 0 before the first. It makes
// one attempt.
func (h *History) Head(ctx context.Context) (Head, error) {
	item, err := h.table.Get(ctx, headKey)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, err
	}
	var head Head
	if err := json.Unmarshal(item.Value, &head); err != nil {
		return Head{}, errors.Wrap(err, "decode the head")
	}
	if head.Version != item.Version {
		return Head{}, errors.Errorf("the head says version %d and is stored as %d", head.Version, item.Version)
	}
	return head, nil
}

// Content returns the encoded bundle that hash names. It refuses content
// of another hash, such as an object that was written by half.
func (h *History) Content(ctx context.Context, hash string) ([]byte, error) {
	content, err := h.objects.Get(ctx, contentKeys+hash)
	if err != nil {
		return nil, err
	}
	if got := operator.Hash(content); got != hash {
		return nil, &operator.HashError{Expected: hash, Actual: got}
	}
	return content, nil
}

// Bundle returns the declarations of a version.
func (h *History) Bundle(ctx context.Context, head Head) (operator.Bundle, error) {
	if head.Version == 0 {
		return operator.Bundle{}, nil
	}
	content, err := h.Content(ctx, head.Hash)
	if err != nil {
		return operator.Bundle{}, err
	}
	return operator.DecodeBundle(content, head.Hash)
}

// Apply has a change accepted. Repeating a change that was accepted has no
// effect. It returns an *operator.InvalidError, an *OvertakenError, or an
// *platform.UnavailableError after the service stayed away for all attempts.
func (h *History) Apply(ctx context.Context, c Change) (Head, error) {
	if err := c.Bundle.Check(); err != nil {
		return Head{}, err
	}
	content, err := c.Bundle.Encode()
	if err != nil {
		return Head{}, err
	}
	var accepted Head
	err = h.attempt(ctx, func() error {
		accepted, err = h.applyOnce(ctx, c, content)
		return err
	})
	return accepted, err
}

// attempt repeats f while the platform's service does not answer.
func (h *History) attempt(ctx context.Context, f func() error) error {
	backoff := firstBackoff
	for n := 1; ; n++ {
		err := f()
		var away *platform.UnavailableError
		if err == nil || !errors.As(err, &away) || n == maxAttempts {
			return err
		}
		if err := h.sleep(ctx, backoff); err != nil {
			return errors.Wrap(away, "stopped waiting")
		}
		backoff *= 2
	}
}

// applyOnce makes one attempt, which may follow one whose answer was lost.
func (h *History) applyOnce(ctx context.Context, c Change, content []byte) (Head, error) {
	current, err := h.Head(ctx)
	if err != nil {
		return Head{}, err
	}
	next := Head{Version: c.Onto + 1, Hash: operator.Hash(content), ChangeID: c.ID}
	if current == next {
		return next, nil
	}
	if current.Version != c.Onto {
		return h.settle(ctx, c, current)
	}
	if err := h.store(ctx, c, next, current.ChangeID, content); err != nil {
		return Head{}, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Head{}, err
	}
	err = h.table.Put(ctx, platform.Item{Key: headKey, Version: next.Version, Value: value})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return h.settleConflict(ctx, c, next)
	}
	return next, err
}

// store keeps the content and the record before the head names them.
func (h *History) store(ctx context.Context, c Change, next Head, parent string, content []byte) error {
	record, err := json.Marshal(Record{Head: next, Parent: parent, By: c.By, Note: c.Note, At: c.At})
	if err != nil {
		return err
	}
	if err := h.objects.Put(ctx, contentKeys+next.Hash, content); err != nil {
		return err
	}
	return h.objects.Put(ctx, recordKeys+c.ID, record)
}

// settleConflict tells a change that came second from one whose own first
// attempt took effect.
func (h *History) settleConflict(ctx context.Context, c Change, next Head) (Head, error) {
	current, err := h.Head(ctx)
	if err != nil {
		return Head{}, err
	}
	if current == next {
		return next, nil
	}
	return h.settle(ctx, c, current)
}

// settle looks for the change among the accepted ones, since a later change
// may have followed it, and else tells what overtook it.
func (h *History) settle(ctx context.Context, c Change, current Head) (Head, error) {
	overtaken := &StalePlanError{Planned: c.Onto, Head: current}
	for r, err := range h.Records(ctx, current) {
		if err != nil {
			return Head{}, err
		}
		if r.ChangeID == c.ID {
			return r.Head, nil
		}
		if r.Version <= c.Onto+1 {
			break
		}
	}
	if err := h.explain(ctx, overtaken); err != nil {
		return Head{}, err
	}
	return Head{}, overtaken
}

func (h *History) explain(ctx context.Context, o *StalePlanError) error {
	record, err := h.record(ctx, o.Head.ChangeID)
	if err != nil {
		return err
	}
	o.By = record.By
	var before operator.Bundle
	for r, err := range h.Records(ctx, o.Head) {
		if err != nil {
			return err
		}
		if r.Version == o.Planned {
			if before, err = h.Bundle(ctx, r.Head); err != nil {
				return err
			}
			break
		}
	}
	after, err := h.Bundle(ctx, o.Head)
	if err != nil {
		return err
	}
	o.Differences, err = operator.Compare(before, after)
	return err
}

func (h *History) record(ctx context.Context, changeID string) (Record, error) {
	content, err := h.objects.Get(ctx, recordKeys+changeID)
	if err != nil {
		return Record{}, err
	}
	var r Record
	if err := json.Unmarshal(content, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode a record")
	}
	return r, nil
}

// Records yields the accepted versions from head backwards.
func (h *History) Records(ctx context.Context, head Head) func(yield func(Record, error) bool) {
	return func(yield func(Record, error) bool) {
		for id := head.ChangeID; id != ""; {
			r, err := h.record(ctx, id)
			if !yield(r, err) || err != nil {
				return
			}
			id = r.Parent
		}
	}
}
