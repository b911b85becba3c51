// Package caller generates load in place of the customers' callers: bookings,
// transfers and stock reads. It records the outcome of every request and checks
// every answer against the session guarantees.
package caller

import (
	"sync"
	"time"
)

// outcome is what the answer to a request says about whether it ran.
type outcome uint8

const (
	outcomeAcknowledged outcome = iota + 1
	outcomeRefused
	outcomeUnknown
)

// Guarantee is a property that must always hold, with the number of times that
// it was checked and violated.
type Guarantee struct {
	Name    string `json:"name"`
	Checked int    `json:"checked"`
	Broken  int    `json:"broken"`
	// Example describes the first violation.
	Example string `json:"example,omitempty"`
}

// The guarantees that the load checks.
const (
	guaranteeReadYourWrites = iota
	guaranteeDurability
	guaranteeAtMostOnce
	guaranteeRefusedNotRun
	guaranteeMaxAge
	guaranteeOwnAnswer
	guaranteeAtomicity
	guaranteeCount
)

var guaranteeNames = [guaranteeCount]string{
	guaranteeReadYourWrites: "saved records are seen on later reads, at any proxy",
	guaranteeDurability:     "acknowledged writes are kept, once",
	guaranteeAtMostOnce:     "requests of unknown outcome ran at most once",
	guaranteeRefusedNotRun:  "refused requests did not run",
	guaranteeMaxAge:         "no read is older than it allows",
	guaranteeOwnAnswer:      "each caller receives its own whole answer",
	guaranteeAtomicity:      "transactions are whole and never mixed",
}

// record holds the outcomes of the load's requests and the state of the checks.
// It is safe for concurrent use.
type record struct {
	mu         sync.Mutex
	guarantees [guaranteeCount]Guarantee
	// requests maps the id of each write to its outcome.
	requests map[string]outcome
	// stock lists the acknowledged stock counts in ascending order.
	stock []stockEntry
	// acknowledged lists the start times of the acknowledged writes.
	acknowledged []time.Time
	// faults lists the times at which a primary failed.
	faults []time.Time
	counts Counts
	errors []string
}

// stockEntry is a stock count and the time at which its write was acknowledged.
type stockEntry struct {
	count int64
	at    time.Time
}

// Counts holds the numbers of requests by kind and outcome.
type Counts struct {
	Statements int `json:"statements"`
	Writes     int `json:"writes"`
	Reads      int `json:"reads"`
	Refused    int `json:"refused"`
	Unknown    int `json:"unknown"`
}

func newRecord() *record {
	r := &record{requests: make(map[string]outcome)}
	for i := range r.guarantees {
		r.guarantees[i].Name = guaranteeNames[i]
	}
	return r
}

// maxErrors is the number of errors kept for the report.
const maxErrors = 8

// noteError keeps err for the report unless maxErrors have been kept.
func (r *record) noteError(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.errors) < maxErrors {
		r.errors = append(r.errors, err.Error())
	}
}

// check counts one case of a guarantee. If the guarantee did not hold, it
// counts a violation and keeps the first example.
func (r *record) check(guarantee int, held bool, example func() string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := &r.guarantees[guarantee]
	g.Checked++
	if held {
		return
	}
	g.Broken++
	if g.Example == "" {
		g.Example = example()
	}
}

// noteWrite records the outcome of the write named id, which started at began.
func (r *record) noteWrite(id string, o outcome, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = o
	r.counts.Statements++
	r.counts.Writes++
	switch o {
	case outcomeAcknowledged:
		r.acknowledged = append(r.acknowledged, began)
	case outcomeRefused:
		r.counts.Refused++
	case outcomeUnknown:
		r.counts.Unknown++
	}
}

// noteRead counts a read by its outcome.
func (r *record) noteRead(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Statements++
	r.counts.Reads++
	switch o {
	case outcomeRefused:
		r.counts.Refused++
	case outcomeUnknown:
		r.counts.Unknown++
	}
}

// noteStock records that the write of a stock count was acknowledged now.
func (r *record) noteStock(count int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stock = append(r.stock, stockEntry{count: count, at: time.Now()})
}

// minStock returns the smallest stock count that a read started at began may
// return without being older than maxAge. It is the last count that was
// acknowledged more than maxAge before began, or 0 if there is none.
func (r *record) minStock(began time.Time, maxAge time.Duration) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := began.Add(-maxAge)
	for i := len(r.stock) - 1; i >= 0; i-- {
		if r.stock[i].at.Before(oldest) {
			return r.stock[i].count
		}
	}
	return 0
}

func (r *record) noteFault(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, at)
}

// failoverGaps returns, for each fault, the time until the first
// acknowledgement of a probe write that started after the fault. probeEnds maps
// the start of each acknowledged probe write to its end. A fault without such a
// write is left out.
func (r *record) failoverGaps(probeEnds map[time.Time]time.Time) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gaps []time.Duration
	for _, fault := range r.faults {
		var first time.Time
		for began, ended := range probeEnds {
			if began.After(fault) && (first.IsZero() || ended.Before(first)) {
				first = ended
			}
		}
		if !first.IsZero() {
			gaps = append(gaps, first.Sub(fault))
		}
	}
	return gaps
}
