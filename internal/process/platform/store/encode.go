package store

import (
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderflow/oleanderflow/internal/process/background"
	"github.com/oleanderflow/oleanderflow/internal/process/patch"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// encodeLimit is how long the pauses may take that are made while one value is packed,
	// unpacked or compared. A configuration passes up to three tiers, and each of them
	// unpacks and packs it.
	encodeLimit = 150 * clock.Millisecond
	// smallPatchShare is the part of a value that a patch may take to be sent without
	// comparing it to the compressed value. Configurations are compressed to a fifteenth.
	smallPatchShare = 20
	// largeGrowthShare is the part of a value from which on its growth is compared to the
	// compressed value before a patch is made.
	largeGrowthShare = 8
)

// lazyPacked is a compressed value, made by the first follower that needs it without the
// lock of the cache: compressing a large value takes milliseconds.
type lazyPacked struct {
	once  sync.Once
	bytes []byte
}

// get returns the compressed value, or nil if it cannot be compressed to less than its
// length.
func (l *lazyPacked) get(value []byte, pause background.Pause) []byte {
	l.once.Do(func() {
		packed, err := pack(value, pause)
		// Writing to memory does not fail; otherwise the value would be sent as it is.
		if err == nil && len(packed) < len(value) {
			l.bytes = packed
		}
	})
	return l.bytes
}

// lazyPatch is a patch, made as a lazyPacked is.
type lazyPatch struct {
	once sync.Once
	made patch.Patch
}

func (l *lazyPatch) get(before, after []byte, pause background.Pause) *patch.Patch {
	l.once.Do(func() { l.made = patch.MakeInPieces(before, after, pause) })
	return &l.made
}

// encoding is what is needed to encode a row without the lock of the cache.
type encoding struct {
	packed *lazyPacked
	// patch is nil if the follower's value is not known.
	patch *lazyPatch
	// base is the follower's value, to which the patch is to be applied.
	base []byte
}

// Compact replaces the values of large rows in the result of Since by patches, where
// sums, the result of the follower's Sums, allows it, or by compressed values.
// The follower must expand them.
func (c *Cache) Compact(changes *Changes, sums map[string]uint64) {
	for i, r := range changes.Rows {
		if e, ok := c.encodingOf(r, sums[r.Key]); ok {
			changes.Rows[i] = c.encode(r, e, sums[r.Key])
		}
	}
}

// encodingOf returns how a row is encoded for a follower that has a value with the given
// checksum, or 0 for none. It returns false for a row that is sent as it is: it is short,
// has changed since, or no history is kept.
func (c *Cache) encodingOf(r Row, baseSum uint64) (encoding, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.rows[r.Key]
	if known.Version != r.Version || c.previous == nil || len(r.Value) < minPatchedLength {
		return encoding{}, false
	}
	if c.packed[r.Key] == nil {
		c.packed[r.Key] = &lazyPacked{}
	}
	e := encoding{packed: c.packed[r.Key]}
	// A follower of an earlier era may have the same value.
	bases := append(slices.Clone(c.previous[r.Key]), previousValue{sum: known.sum, value: r.Value})
	if i := slices.IndexFunc(bases, func(old previousValue) bool { return old.sum == baseSum }); i >= 0 {
		k := patchKey{r.Key, baseSum}
		if c.patches[k] == nil {
			c.patches[k] = &lazyPatch{}
		}
		e.patch, e.base = c.patches[k], bases[i].value
	}
	return e, true
}

// encode returns a row with a patch or the compressed value in place of its value,
// whichever is shorter.
func (c *Cache) encode(r Row, e encoding, baseSum uint64) Row {
	// A patch has all that was added, which is mostly new text.
	if growth := len(r.Value) - len(e.base); e.patch != nil && growth > len(r.Value)/largeGrowthShare {
		if packed := e.packed.get(r.Value, c.pacer.Begin(encodeLimit)); packed != nil && len(packed) <= growth {
			return Row{Key: r.Key, Version: r.Version, Packed: packed}
		}
	}
	var p *patch.Patch
	if e.patch != nil {
		p = e.patch.get(e.base, r.Value, c.pacer.Begin(encodeLimit))
	}
	patched := Row{Key: r.Key, Version: r.Version, Patch: p, BaseSum: baseSum}
	if p != nil && p.Size() < len(r.Value)/smallPatchShare {
		return patched
	}
	packed := e.packed.get(r.Value, c.pacer.Begin(encodeLimit))
	switch {
	case p != nil && (packed == nil || p.Size() < len(packed)):
		return patched
	case packed != nil:
		return Row{Key: r.Key, Version: r.Version, Packed: packed}
	default:
		return r
	}
}

// BaseError reports a patch for a value that the cache does not have.
type BaseError struct {
	Key string
	// BaseSum is the checksum of the value that the patch applies to, and KnownSum
	// that of the value in the cache.
	BaseSum, KnownSum uint64
}

func (e *BaseError) Error() string {
	return fmt.Sprintf("patch of row %q applies to the value with checksum %x, but the one with %x is known", e.Key, e.BaseSum, e.KnownSum)
}

// Expand replaces patches and compressed values in changes by the values that they
// stand for. It returns a *BaseError or a *patch.Error if the cache does not have
// the values that the patches apply to, and another error for a value that cannot
// be uncompressed. It leaves changes unusable then.
func (c *Cache) Expand(changes *Changes) error {
	for i := range changes.Rows {
		r := &changes.Rows[i]
		switch {
		case r.Packed != nil:
			value, err := unpack(r.Packed, c.pacer.Begin(encodeLimit))
			if err != nil {
				return err
			}
			r.Value, r.Packed = value, nil
		case r.Patch != nil:
			known, sum := c.valueOf(r.Key)
			if sum != r.BaseSum {
				return &BaseError{Key: r.Key, BaseSum: r.BaseSum, KnownSum: sum}
			}
			value, err := r.Patch.Apply(known)
			if err != nil {
				return err
			}
			r.Value, r.Patch, r.BaseSum = value, nil, 0
		}
	}
	return nil
}

// valueOf returns the value of a row and its checksum.
func (c *Cache) valueOf(key string) ([]byte, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rows[key]
	if r.sum == 0 {
		return r.Value, xxhash.Sum64(r.Value)
	}
	return r.Value, r.sum
}
