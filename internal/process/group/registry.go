package group

import (
	"sync/atomic"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// RegistryProof tells how old this process's knowledge of the registry may be. It is safe for
// concurrent use.
type RegistryProof struct {
	clock clock.Clock
	at    atomic.Int64
}

// NewRegistryProof returns the proof of a process that knows nothing of the registry yet.
func NewRegistryProof(c clock.Clock) *RegistryProof { return &RegistryProof{clock: c} }

// Prove records that all changes made before at have been applied.
func (p *RegistryProof) Prove(at clock.Time) {
	for {
		old := p.at.Load()
		if int64(at) <= old || p.at.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// At returns the time before which all changes have been applied, zero if it is not known.
func (p *RegistryProof) At() clock.Time { return clock.Time(p.at.Load()) }

// Age returns how old the knowledge may be, zero if nothing is known.
func (p *RegistryProof) Age() clock.Duration {
	at := p.At()
	if at == 0 {
		return 0
	}
	// An age of zero would say that nothing is known.
	return max(p.clock.Now().Sub(at), clock.Millisecond)
}

// expired reports whether a membership that was the present one at provenAt may not be
// counted by any more.
func (p *RegistryProof) expired(provenAt clock.Time) bool {
	return provenAt == 0 || p.clock.Now().Sub(provenAt) >= membershipTTL
}
