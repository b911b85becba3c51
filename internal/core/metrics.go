package core

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	callerrequest "github.com/oleanderflow/oleanderflow/internal/request/caller"
	dbrequest "github.com/oleanderflow/oleanderflow/internal/request/database"
)

// metricsInterval is the time between two reports to the Prometheus registry.
const metricsInterval = time.Second

type counterKey struct {
	group, database, outcome string
	reason                   dbrequest.Reason
}

// Metrics holds the counters and gauges of one proxy.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter

	replicaReads atomic.Int64
	primaryReads atomic.Int64

	sessions tally.Gauge

	mu       sync.RWMutex
	counters map[counterKey]tally.Counter
	groups   map[string]tally.Scope
}

// groupGauges holds the gauge values of one group.
type groupGauges struct {
	connections, waiting, term, writable, statusQueries float64
}

func (m *Metrics) updateGroupGauges(name string, g groupGauges) {
	m.mu.Lock()
	scope, ok := m.groups[name]
	if !ok {
		scope = m.scope.Tagged(map[string]string{"group": name})
		m.groups[name] = scope
	}
	m.mu.Unlock()
	scope.Gauge("group_connections").Update(g.connections)
	scope.Gauge("group_waiting").Update(g.waiting)
	scope.Gauge("group_term").Update(g.term)
	scope.Gauge("group_questions").Update(g.statusQueries)
	scope.Gauge("group_writable").Update(g.writable)
}

// NewMetrics returns empty metrics and starts to report them periodically. The
// caller must close them.
func NewMetrics() *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "oleanderflow", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return &Metrics{
		scope: scope, closer: closer, reporter: reporter, sessions: scope.Gauge("sessions"),
		counters: make(map[counterKey]tally.Counter), groups: make(map[string]tally.Scope),
	}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// CountDecision counts one routing decision.
func (m *Metrics) CountDecision(d callerrequest.Decision) {
	key := counterKey{group: d.Group, database: d.Database, outcome: d.Outcome, reason: d.Reason}
	m.mu.RLock()
	counter, ok := m.counters[key]
	m.mu.RUnlock()
	if !ok {
		counter = m.addCounter(key)
	}
	counter.Inc(1)
	m.countBoundedStalenessRead(d)
}

func (m *Metrics) countBoundedStalenessRead(d callerrequest.Decision) {
	if !d.MaxAgeSet || d.Outcome != "answered" {
		return
	}
	if d.Reason == dbrequest.ReasonReplica || d.Reason == dbrequest.ReasonReplicaWaited {
		m.replicaReads.Add(1)
		return
	}
	m.primaryReads.Add(1)
}

// BoundedStalenessReads returns how many reads with a maximum age were answered
// by replicas and by primaries.
func (m *Metrics) BoundedStalenessReads() (replica, primary int64) {
	return m.replicaReads.Load(), m.primaryReads.Load()
}

func (m *Metrics) addCounter(key counterKey) tally.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	counter := m.scope.Tagged(map[string]string{
		"group": key.group, "database": key.database, "reason": string(key.reason), "outcome": key.outcome,
	}).Counter("decisions")
	m.counters[key] = counter
	return counter
}

// Close stops the periodic reports.
func (m *Metrics) Close() { _ = m.closer.Close() }
