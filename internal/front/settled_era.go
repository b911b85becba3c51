package front

import (
	"encoding/json"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// settleTime is how long a proxy has known an era of the store before it states it in its
// member row. A proxy that has not heard of the era grants nothing by then, since its proof
// of freshness is less than 5 s old while it does. One that has heard of it has written its
// row again, or is dropped after lostRowTTL.
const settleTime = 2 * lostRowTTL

// memberContent is the content of a row of the members table. Earlier builds read and write
// only the proxy.
type memberContent struct {
	proxy.Peer
	// SettledEra is the era of the store that the proxy had known for settleTime when the
	// row was written, zero in the first era and if it had not. The version of a row does
	// not tell its era: the store sends numbers only, which it gives out again.
	SettledEra uint64 `json:"settledEra,omitempty"`
}

// settledEra decides what a member row states of the store's era, and what a process that
// starts may conclude from its own row. If the row states the era of the table, no restore
// has brought it back, and the proxies that the latest restore has taken from the table are
// in it again. Only accountants write their rows again for this, five for each restore.
type settledEra struct {
	self string
	// era is that of the members table, known since a time, and zero until it was read.
	era   uint64
	since clock.Time
	// stated is the era that this proxy's row in the table states, zero if there was none.
	stated uint64
	// attemptedAt is when the row was last written because of the era.
	attemptedAt clock.Time
}

// apply takes in changes of the members table.
func (s *settledEra) apply(now clock.Time, changes store.Changes) {
	if era := max(changes.Era, store.FirstEra); era > s.era {
		s.era, s.since = era, now
	}
	for _, row := range changes.Rows {
		var m memberContent
		if row.Key == s.self && !row.Deleted && json.Unmarshal(row.Value, &m) == nil {
			s.stated = max(m.SettledEra, store.FirstEra)
		}
	}
}

// shown reports whether this proxy's row states the era of the table.
func (s *settledEra) shown() bool { return s.era != 0 && s.stated == s.era }

// toState returns the era that a row states which is written now.
func (s *settledEra) toState(now clock.Time) uint64 {
	if s.era > store.FirstEra && (s.shown() || now.Sub(s.since) >= settleTime) {
		return s.era
	}
	return 0
}

// due reports whether the row of an accountant is to be written again, and records that it
// is. A registrar of an earlier build may write it without the era after that.
func (s *settledEra) due(now clock.Time) bool {
	if s.shown() || s.toState(now) == 0 || s.attemptedAt != 0 && now.Sub(s.attemptedAt) < settleTime {
		return false
	}
	s.attemptedAt = now
	return true
}

// ownRow returns the content of this proxy's member row.
func (f *Front) ownRow() memberContent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return memberContent{Peer: f.self, SettledEra: f.settled.toState(f.clock.Now())}
}

// stateSettledEra writes the member row of an accountant again once it may state the era of
// the store. It writes it itself, since a registrar of an earlier build drops the era.
func (f *Front) stateSettledEra(now clock.Time) {
	v := f.versions.Load()
	if v == nil || v.Workspaces == nil || f.stopping.Load() || f.registering.Load() || !f.allowances.isAccountant() {
		return
	}
	f.mu.Lock()
	due := f.roster.listed[f.self.Name] == f.self && f.settled.due(now)
	f.mu.Unlock()
	if !due || !f.registering.CompareAndSwap(false, true) {
		return
	}
	go contain.Run(f.log, "member row", func() {
		defer f.registering.Store(false)
		row := f.ownRow()
		value, err := json.Marshal(row)
		if err != nil {
			f.log.Error("encode own member row failed", logs.Error(err))
			return
		}
		version, err := f.putMembers(map[string][]byte{row.Name: value})
		if err == nil {
			f.registeredVersion.Store(&version)
		}
		f.log.Info("era of the store stated in own member row", zap.Uint64("storeEra", row.SettledEra), logs.Error(err))
	})
}
