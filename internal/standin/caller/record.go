// Package caller is a stand-in for the customers' callers: a load of
// bookings, transfers and stock pulls that keeps its own record and checks
// every answer against it.
package caller

import (
	"sync"
	"time"
)

// outcome is what a caller was told of a request.
type outcome uint8

const (
	outcomeAcknowledged outcome = iota + 1
	outcomeRefused
	outcomeUnknown
)

// Guarantee is one line of what must always hold, with its count of cases.
type Guarantee struct {
	Name    string `json:"name"`
	Checked int    `json:"checked"`
	Broken  int    `json:"broken"`
	// Example describes the first broken case.
	Example string `json:"example,omitempty"`
}

// The promises that the load checks.
const (
	promiseOwnWrites = iota
	promiseKept
	promiseOnce
	promiseRefused
	promiseAge
	promiseOwnAnswer
	promiseWhole
	promiseCount
)

var promiseNames = [promiseCount]string{
	promiseOwnWrites: "saved records are seen on later reads, at any proxy",
	promiseKept:      "acknowledged writes are kept, once",
	promiseOnce:      "requests of unknown outcome ran at most once",
	promiseRefused:   "refused requests did not run",
	promiseAge:       "no read is older than it allows",
	promiseOwnAnswer: "each caller receives its own whole answer",
	promiseWhole:     "transactions are whole and never mixed",
}

// record is what the load knows of its own requests. It is safe for
// concurrent use.
type record struct {
	mu       sync.Mutex
	promises [promiseCount]Guarantee
	requests map[string]outcome
	// stock holds when each stock count was acknowledged, in order.
	stock    []stockEntry
	accepted []time.Time
	faults   []time.Time
	counts   Counts
	errors   []string
}

type stockEntry struct {
	count int64
	at    time.Time
}

// Counts are the numbers of requests by outcome.
type Counts struct {
	Statements int `json:"statements"`
	Writes     int `json:"writes"`
	Reads      int `json:"reads"`
	Refused    int `json:"refused"`
	Unknown    int `json:"unknown"`
}

func newRecord() *record {
	r := &record{requests: make(map[string]outcome)}
	for i := range r.promises {
		r.promises[i].Name = promiseNames[i]
	}
	return r
}

// maxErrors bounds the errors that a report quotes.
const maxErrors = 8

// noteError keeps the first few errors, for the report.
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

// check counts one case of a promise.
func (r *record) check(promise int, held bool, example func() string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.promises[promise]
	p.Checked++
	if held {
		return
	}
	p.Broken++
	if p.Example == "" {
		p.Example = example()
	}
}

// note records the outcome of a writing request.
func (r *record) note(id string, o outcome, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = o
	r.counts.Statements++
	r.counts.Writes++
	switch o {
	case outcomeAcknowledged:
		r.accepted = append(r.accepted, began)
	case outcomeRefused:
		r.counts.Refused++
	case outcomeUnknown:
		r.counts.Unknown++
	}
}

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

func (r *record) noteStock(count int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stock = append(r.stock, stockEntry{count: count, at: time.Now()})
}

// leastStock returns the stock count that a read begun at began must show,
// for it to be no older than maxAge.
func (r *record) leastStock(began time.Time, maxAge time.Duration) int64 {
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

// gaps returns, for each primary lost, the time until a write that began
// after the loss was accepted. Acceptance counts from the write's end.
func (r *record) gaps(ends map[time.Time]time.Time) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gaps []time.Duration
	for _, fault := range r.faults {
		var first time.Time
		for began, ended := range ends {
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
