// Package platform stores the accepted versions of the declarations in the
// platform's table and object store.
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
	headKey        = "declarations/head"
	contentPrefix  = "declarations/content/"
	recordPrefix   = "declarations/records/"
	maxAttempts    = 8
	initialBackoff = 100 * time.Millisecond
)

// Head identifies the accepted version.
type Head struct {
	Version uint64 `json:"version"`
	// Hash is the hash of the encoded bundle and part of its object's key.
	Hash string `json:"hash"`
	// ChangeID identifies the change, so that its operator can find or repeat it.
	ChangeID string `json:"changeId"`
}

// Record is the history entry of an accepted version.
type Record struct {
	Head
	// Parent is the change id of the previous version, "" for the first.
	Parent string `json:"parent,omitempty"`
	// By, Note and At are those of the Change.
	By   string `json:"by,omitempty"`
	Note string `json:"note,omitempty"`
	At   string `json:"at,omitempty"`
}

// Change is a new version of the declarations that an operator submits.
type Change struct {
	ID     string
	Bundle operator.Bundle
	// Onto is the version that the change is based on.
	Onto uint64
	// Above is a version that proxies have in force. It is above Onto if the table
	// was restored from an older copy. The change gets a higher version, since no
	// proxy goes back.
	Above uint64
	// By is the operator.
	By   string
	Note string
	// At is the time of the operator's machine. It is for display only.
	At string
}

// StalePlanError reports a change whose base version is not the accepted one.
type StalePlanError struct {
	// Planned is the version that the change is based on.
	Planned uint64
	// Head is the accepted version, and By the operator that submitted it.
	Head Head
	By   string
	// Differences are the differences between the planned version and the
	// accepted one.
	Differences []operator.Difference
}

func (e *StalePlanError) Error() string {
	return fmt.Sprintf("version %d was accepted from %q after this change was planned on version %d; plan again", e.Head.Version, e.By, e.Planned)
}

// History is the sequence of accepted versions.
type History struct {
	table   platform.Table
	objects platform.Objects
	sleep   func(context.Context, time.Duration) error
}

// Option configures a History in NewHistory.
type Option func(*History)

// WithSleep replaces the function that waits between attempts.
func WithSleep(sleep func(context.Context, time.Duration) error) Option {
	return func(h *History) { h.sleep = sleep }
}

// NewHistory returns the history that is stored in t and o.
func NewHistory(t platform.Table, o platform.Objects, options ...Option) *History {
	h := &History{table: t, objects: o, sleep: platform.Sleep}
	for _, option := range options {
		option(h)
	}
	return h
}

// Head returns the accepted version, or the zero Head before the first. It does
// not retry.
func (h *History) Head(ctx context.Context) (Head, error) {
	head, _, err := h.readHead(ctx)
	return head, err
}

// readHead returns the accepted version and that of its table item, which is lower
// once a change was accepted above the versions in force.
func (h *History) readHead(ctx context.Context) (Head, uint64, error) {
	item, err := h.table.Get(ctx, headKey)
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	var head Head
	if err := json.Unmarshal(item.Value, &head); err != nil {
		return Head{}, 0, errors.Wrapf(err, "decode head of version %d", item.Version)
	}
	if head.Version < item.Version {
		return Head{}, 0, errors.Errorf("head has version %d, expected at least %d, the version of its table item", head.Version, item.Version)
	}
	return head, item.Version, nil
}

// Content returns the encoded bundle with the given hash. It returns an
// *operator.HashError if the stored content does not match, for example because
// the object was only partially written.
func (h *History) Content(ctx context.Context, hash string) ([]byte, error) {
	content, err := h.objects.Get(ctx, contentPrefix+hash)
	if err != nil {
		return nil, err
	}
	if got := operator.Hash(content); got != hash {
		return nil, &operator.HashError{Expected: hash, Actual: got}
	}
	return content, nil
}

// Bundle returns the declarations of a version, an empty bundle for version 0.
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

// Apply validates a change and makes it the accepted version. Repeating a change
// that was already accepted has no effect. It returns an *operator.InvalidError, a
// *StalePlanError, or a *platform.UnavailableError if the service was unavailable
// in all attempts.
func (h *History) Apply(ctx context.Context, c Change) (Head, error) {
	if err := c.Bundle.Check(); err != nil {
		return Head{}, err
	}
	content, err := c.Bundle.Encode()
	if err != nil {
		return Head{}, err
	}
	var accepted Head
	err = h.retry(ctx, func() error {
		accepted, err = h.applyOnce(ctx, c, content)
		return err
	})
	return accepted, err
}

// retry calls f until it returns no *platform.UnavailableError, at most
// maxAttempts times, with exponential backoff.
func (h *History) retry(ctx context.Context, f func() error) error {
	backoff := initialBackoff
	for attempt := 1; ; attempt++ {
		err := f()
		var unavailable *platform.UnavailableError
		if err == nil || !errors.As(err, &unavailable) || attempt == maxAttempts {
			return err
		}
		if err := h.sleep(ctx, backoff); err != nil {
			return errors.Wrap(unavailable, "stopped retrying")
		}
		backoff *= 2
	}
}

// applyOnce makes one attempt. An earlier attempt may have taken effect although
// its response was lost.
func (h *History) applyOnce(ctx context.Context, c Change, content []byte) (Head, error) {
	current, item, err := h.readHead(ctx)
	if err != nil {
		return Head{}, err
	}
	next := Head{Version: max(c.Onto, c.Above) + 1, Hash: operator.Hash(content), ChangeID: c.ID}
	if current == next {
		return next, nil
	}
	if current.Version != c.Onto {
		return h.resolve(ctx, c, current)
	}
	if accepted, found, err := h.findAccepted(ctx, c.ID, current); found || err != nil {
		return accepted, err
	}
	if err := h.storeObjects(ctx, c, next, current.ChangeID, content); err != nil {
		return Head{}, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Head{}, err
	}
	err = h.table.Put(ctx, platform.Item{Key: headKey, Version: item + 1, Value: value})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return h.resolveConflict(ctx, c, next)
	}
	return next, err
}

// findAccepted returns the version that an accepted change made. The change must
// not be stored again: its record is part of the history, and records refer to
// their predecessors. A record without a version in the history is left from an
// attempt that was not accepted.
func (h *History) findAccepted(ctx context.Context, changeID string, current Head) (Head, bool, error) {
	stored, err := h.readRecord(ctx, changeID)
	var notFound *platform.NotFoundError
	var invalid *RecordFormatError
	switch {
	case errors.As(err, &notFound):
		return Head{}, false, nil
	case errors.As(err, &invalid):
		// It was stored in part. Only the whole history tells whether it belongs
		// to an accepted change.
	case err != nil:
		return Head{}, false, err
	}
	for r, err := range h.Records(ctx, current) {
		if err != nil {
			return Head{}, false, err
		}
		if r.ChangeID == changeID {
			return r.Head, true, nil
		}
		if r.Version < stored.Version {
			break
		}
	}
	return Head{}, false, nil
}

// storeObjects stores the content and the record. Both must exist before the head
// refers to them.
func (h *History) storeObjects(ctx context.Context, c Change, next Head, parent string, content []byte) error {
	record, err := json.Marshal(Record{Head: next, Parent: parent, By: c.By, Note: c.Note, At: c.At})
	if err != nil {
		return err
	}
	if err := h.objects.Put(ctx, contentPrefix+next.Hash, content); err != nil {
		return err
	}
	return h.objects.Put(ctx, recordPrefix+c.ID, record)
}

// resolveConflict handles a conflict when writing the head. Either another change
// was accepted first, or an earlier attempt of this change took effect.
func (h *History) resolveConflict(ctx context.Context, c Change, next Head) (Head, error) {
	current, err := h.Head(ctx)
	if err != nil {
		return Head{}, err
	}
	if current == next {
		return next, nil
	}
	return h.resolve(ctx, c, current)
}

// resolve handles a change that is not based on the accepted version. An earlier
// attempt may have been accepted and followed by other changes, so resolve looks
// for the change in the history. If it is not there, it returns a
// *StalePlanError.
func (h *History) resolve(ctx context.Context, c Change, current Head) (Head, error) {
	stale := &StalePlanError{Planned: c.Onto, Head: current}
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
	if err := h.addDetails(ctx, stale); err != nil {
		return Head{}, err
	}
	return Head{}, stale
}

// addDetails sets the operator of the accepted version and the differences from
// the planned version.
func (h *History) addDetails(ctx context.Context, stale *StalePlanError) error {
	record, err := h.readRecord(ctx, stale.Head.ChangeID)
	if err != nil {
		return err
	}
	stale.By = record.By
	var before operator.Bundle
	for r, err := range h.Records(ctx, stale.Head) {
		if err != nil {
			return err
		}
		if r.Version == stale.Planned {
			if before, err = h.Bundle(ctx, r.Head); err != nil {
				return err
			}
			break
		}
	}
	after, err := h.Bundle(ctx, stale.Head)
	if err != nil {
		return err
	}
	stale.Differences, err = operator.Compare(before, after)
	return err
}

func (h *History) readRecord(ctx context.Context, changeID string) (Record, error) {
	content, err := h.objects.Get(ctx, recordPrefix+changeID)
	if err != nil {
		return Record{}, err
	}
	var r Record
	if err := json.Unmarshal(content, &r); err != nil {
		return Record{}, &RecordFormatError{ChangeID: changeID, Cause: err}
	}
	return r, nil
}

// RecordFormatError reports a record that cannot be decoded.
type RecordFormatError struct {
	ChangeID string
	Cause    error
}

func (e *RecordFormatError) Error() string {
	return fmt.Sprintf("decode record of change %q: %s", e.ChangeID, e.Cause)
}

// Unwrap returns Cause.
func (e *RecordFormatError) Unwrap() error { return e.Cause }

// RecordOrderError reports a record whose version is not below that of its
// successor.
type RecordOrderError struct {
	ChangeID string
	Version  uint64
	// Successor is the version of the record that refers to this one.
	Successor uint64
}

func (e *RecordOrderError) Error() string {
	return fmt.Sprintf("record of change %q has version %d, expected one below %d", e.ChangeID, e.Version, e.Successor)
}

// Records yields the accepted versions from head back to the first. It stops
// after yielding the first error, which is a *RecordOrderError if the records do
// not lead back to the first version.
func (h *History) Records(ctx context.Context, head Head) func(yield func(Record, error) bool) {
	return func(yield func(Record, error) bool) {
		limit := head.Version + 1
		for id := head.ChangeID; id != ""; {
			r, err := h.readRecord(ctx, id)
			if err == nil && r.Version >= limit {
				err = &RecordOrderError{ChangeID: id, Version: r.Version, Successor: limit}
			}
			if !yield(r, err) || err != nil {
				return
			}
			id, limit = r.Parent, r.Version
		}
	}
}
