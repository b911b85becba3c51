package front

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// reportInterval is the time between two updates of the exported metrics.
const reportInterval = 5 * time.Second

// latencyBounds are the upper bounds of the latency histogram buckets.
var latencyBounds = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
}

// Metrics holds the counters, gauges and histograms of one process.
type Metrics struct {
	scope         tally.Scope
	closer        io.Closer
	text          *textReporter
	statusQueries tally.Counter
	// workspaces returns the figures of the workspaces that are shown.
	workspaces func() workspaceStatuses

	mu         sync.Mutex
	routes     map[routeKey]routeMetrics
	storeCalls map[storeCall]tally.Counter
	waits      map[string]tally.Histogram
	noSlots    map[noSlot]tally.Counter
}

// noSlot is the class of requests that got no slot at a database, and the reason.
type noSlot struct {
	class  string
	reason backend.Reason
}

// storeCall is the kind of a call to the store, and its table.
type storeCall struct{ kind, table string }

type routeKey struct {
	kind    routes.Consistency
	outcome string
}

type routeMetrics struct {
	count   tally.Counter
	latency tally.Histogram
}

// NewMetrics returns metrics with all counters at zero.
func NewMetrics() *Metrics {
	text := &textReporter{values: make(map[string]float64), histograms: make(map[string]*histogram)}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "oleanderflow", Reporter: text, Separator: "_", OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		scope: scope, closer: closer, text: text, routes: make(map[routeKey]routeMetrics),
		statusQueries: scope.Counter("status_questions"), storeCalls: make(map[storeCall]tally.Counter),
		waits: make(map[string]tally.Histogram), noSlots: make(map[noSlot]tally.Counter),
	}
}

// CountStatusQuery counts one status query to a database.
func (m *Metrics) CountStatusQuery() { m.statusQueries.Inc(1) }

// CountStoreCall counts one call to the platform's store.
func (m *Metrics) CountStoreCall(kind, table string) {
	key := storeCall{kind, table}
	m.mu.Lock()
	counter, ok := m.storeCalls[key]
	if !ok {
		counter = m.scope.Tagged(map[string]string{"call": kind, "table": table}).Counter("store_calls")
		m.storeCalls[key] = counter
	}
	m.mu.Unlock()
	counter.Inc(1)
}

// CountRestore counts one return of a table to an older copy of the store.
func (m *Metrics) CountRestore(table string) {
	m.scope.Tagged(map[string]string{"table": table}).Counter("store_restores").Inc(1)
}

// Answered counts an answered request and records its latency by route kind and
// outcome. It implements session.Recorder.
func (m *Metrics) Answered(r *routes.Route, a *statement.Answer, took clock.Duration) {
	key := routeKey{kind: r.Consistency, outcome: "ok"}
	if a.Failure != nil {
		key.outcome = a.Failure.Code.String()
	}
	m.mu.Lock()
	rm, ok := m.routes[key]
	if !ok {
		scope := m.scope.Tagged(map[string]string{"kind": key.kind.String(), "outcome": key.outcome})
		rm = routeMetrics{count: scope.Counter("requests"), latency: scope.Histogram("latency", latencyBounds)}
		m.routes[key] = rm
	}
	m.mu.Unlock()
	rm.count.Inc(1)
	rm.latency.RecordDuration(took.Std())
}

// maxNamedClass is the highest class priority that metrics name, so that the number
// of names does not grow with what configurations declare.
const maxNamedClass = 7

func className(class int) string {
	if class < 0 || class > maxNamedClass {
		return "other"
	}
	return strconv.Itoa(class)
}

// Waited records for how long a request of a class waited for a slot at a database.
// It implements session.WaitRecorder.
func (m *Metrics) Waited(class int, waited clock.Duration) {
	name := className(class)
	m.mu.Lock()
	h, ok := m.waits[name]
	if !ok {
		h = m.scope.Tagged(map[string]string{"class": name}).Histogram("slot_wait", latencyBounds)
		m.waits[name] = h
	}
	m.mu.Unlock()
	h.RecordDuration(waited.Std())
}

// Refused counts a request of a class that got no slot at a database. It implements
// session.WaitRecorder.
func (m *Metrics) Refused(class int, reason backend.Reason) {
	key := noSlot{className(class), reason}
	m.mu.Lock()
	counter, ok := m.noSlots[key]
	if !ok {
		counter = m.scope.Tagged(map[string]string{"class": key.class, "reason": reason.String()}).Counter("slot_refused")
		m.noSlots[key] = counter
	}
	m.mu.Unlock()
	counter.Inc(1)
}

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = 5 * clock.Second

// updateGauges sets the gauges of the process, its groups and their databases.
func (f *Front) updateGauges(now clock.Time) {
	root := f.metrics.scope
	root.Gauge("sessions").Update(float64(len(f.allSessions())))
	root.Gauge("hosted_transactions").Update(float64(f.host.Len()))
	root.Gauge("panics_contained").Update(float64(contain.Count()))
	if v := f.versions.Load(); v != nil {
		root.Gauge("configuration_version").Update(float64(v.Number))
	}
	if d := f.freshness; d != nil {
		root.Gauge("proof_refusals").Update(float64(d.proof.Refusals()))
		if d.proof.Proved() {
			root.Gauge("proof_age_ms").Update(float64(d.proof.Age(now)))
		}
	}
	if f.droppedLines != nil {
		root.Gauge("log_lines_dropped").Update(float64(f.droppedLines()))
	}
	for _, g := range f.allGroups() {
		scope := root.Tagged(map[string]string{"group": tagEscapes.Replace(g.Name)})
		scope.Gauge("term").Update(float64(g.Term()))
		if provenAt := g.PrimaryProvenAt(now); provenAt > 0 {
			scope.Gauge("evidence_age_ms").Update(float64(now.Sub(provenAt)))
		}
		if at := g.SampledAt(); at > 0 {
			scope.Gauge("sample_age_ms").Update(float64(now.Sub(at)))
		}
		for id, c := range g.Stats() {
			database := scope.Tagged(map[string]string{"database": tagEscapes.Replace(id)})
			database.Gauge("connections").Update(float64(c.Open))
			database.Gauge("connections_idle").Update(float64(c.Idle))
			database.Gauge("connections_awaited").Update(float64(c.Waiting))
			if p := g.Pool(id); p != nil {
				p.AnswerFaults(func(fault backend.AnswerFault, n int64) {
					database.Tagged(map[string]string{"fault": fault.String()}).Gauge("unexpected_answers").Update(float64(n))
				})
				limiter := p.Limiter.Stats()
				database.Gauge("limit").Update(limiter.Limit)
				database.Gauge("limit_latency_ms").Update(limiter.Latency)
				database.Gauge("limit_baseline_ms").Update(limiter.Baseline)
				database.Gauge("limit_state").Update(float64(limiter.State))
			}
		}
	}
}

// ServeHTTP writes all metrics in the Prometheus text exposition format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write(m.text.render())
	if m.workspaces != nil {
		list := m.workspaces()
		_, _ = w.Write(list.render())
	}
}

// Close stops the periodic updates.
func (m *Metrics) Close() { _ = m.closer.Close() }

// textReporter collects the metrics for ServeHTTP.
type textReporter struct {
	mu     sync.Mutex
	values map[string]float64
	// histograms maps the name and labels of a histogram, without the label of
	// the bucket, to its buckets.
	histograms map[string]*histogram
}

// histogram holds the number of samples in each bucket.
type histogram struct {
	metric string
	tags   map[string]string
	// bounds are the upper bounds of the buckets, in ascending order. counts
	// has the samples of each bucket alone.
	bounds []float64
	counts []float64
}

// add counts n samples in the bucket with the given upper bound.
func (h *histogram) add(bound float64, n int64) {
	i, found := slices.BinarySearch(h.bounds, bound)
	if !found {
		h.bounds, h.counts = slices.Insert(h.bounds, i, bound), slices.Insert(h.counts, i, 0)
	}
	h.counts[i] += float64(n)
}

// write writes the buckets in the exposition format, in which each bucket counts
// the samples of all buckets below it too, and the last one is unbounded.
func (h *histogram) write(b *bytes.Buffer) {
	total := 0.0
	for i, bound := range h.bounds {
		total += h.counts[i]
		if !math.IsInf(bound, 1) {
			fmt.Fprintf(b, "%s %g\n", seriesName(h.metric+"_bucket", h.tags, "le", fmt.Sprintf("%g", bound)), total)
		}
	}
	fmt.Fprintf(b, "%s %g\n", seriesName(h.metric+"_bucket", h.tags, "le", "+Inf"), total)
	fmt.Fprintf(b, "%s %g\n", seriesName(h.metric+"_count", h.tags), total)
}

// tagEscapes escapes the value of a tag: tally keeps scopes by their "name=value" pairs with
// commas between them.
var (
	tagEscapes   = strings.NewReplacer("%", "%25", ",", "%2C", "=", "%3D")
	tagUnescapes = strings.NewReplacer("%25", "%", "%2C", ",", "%3D", "=")
)

// seriesName returns the name of a time series with its labels. tags have escaped values.
// extra has the alternating names and values of further labels.
func seriesName(metric string, tags map[string]string, extra ...string) string {
	pairs := make([]string, 0, len(tags)+len(extra)/2)
	for k, v := range tags {
		pairs = append(pairs, labelPair(k, tagUnescapes.Replace(v)))
	}
	for i := 0; i+1 < len(extra); i += 2 {
		pairs = append(pairs, labelPair(extra[i], extra[i+1]))
	}
	if len(pairs) == 0 {
		return metric
	}
	sort.Strings(pairs)
	return metric + "{" + strings.Join(pairs, ",") + "}"
}

// labelEscapes are the only escapes of the exposition format.
var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// labelPair returns a label with its value. Bytes that are not UTF-8 are replaced.
func labelPair(name, value string) string {
	return name + `="` + labelEscapes.Replace(strings.ToValidUTF8(value, "\ufffd")) + `"`
}

func (t *textReporter) add(key string, v float64) {
	t.mu.Lock()
	t.values[key] += v
	t.mu.Unlock()
}

func (t *textReporter) render() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := make([]string, 0, len(t.values))
	for k := range t.values {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var b bytes.Buffer
	for _, k := range keys {
		fmt.Fprintf(&b, "%s %g\n", k, t.values[k])
	}
	for _, k := range slices.Sorted(maps.Keys(t.histograms)) {
		t.histograms[k].write(&b)
	}
	return b.Bytes()
}

// addSamples counts n samples in the bucket of a histogram with the given upper
// bound.
func (t *textReporter) addSamples(metric string, tags map[string]string, bounds []float64, upper float64, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := seriesName(metric, tags)
	h, ok := t.histograms[key]
	if !ok {
		h = &histogram{metric: metric, tags: tags}
		for _, bound := range bounds {
			h.add(bound, 0)
		}
		t.histograms[key] = h
	}
	h.add(upper, n)
}

// ReportCounter implements tally.StatsReporter.
func (t *textReporter) ReportCounter(metric string, tags map[string]string, v int64) {
	t.add(seriesName(metric, tags), float64(v))
}

// ReportGauge implements tally.StatsReporter.
func (t *textReporter) ReportGauge(metric string, tags map[string]string, v float64) {
	t.mu.Lock()
	t.values[seriesName(metric, tags)] = v
	t.mu.Unlock()
}

// ReportTimer implements tally.StatsReporter.
func (t *textReporter) ReportTimer(metric string, tags map[string]string, d time.Duration) {
	t.add(seriesName(metric+"_seconds", tags), d.Seconds())
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (t *textReporter) ReportHistogramValueSamples(metric string, tags map[string]string, buckets tally.Buckets, _, upper float64, n int64) {
	if upper == math.MaxFloat64 {
		upper = math.Inf(1)
	}
	t.addSamples(metric, tags, buckets.AsValues(), upper, n)
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (t *textReporter) ReportHistogramDurationSamples(metric string, tags map[string]string, buckets tally.Buckets, _, upper time.Duration, n int64) {
	bound := math.Inf(1)
	if upper < time.Hour {
		bound = upper.Seconds()
	}
	var bounds []float64
	for _, d := range buckets.AsDurations() {
		bounds = append(bounds, d.Seconds())
	}
	t.addSamples(metric, tags, bounds, bound, n)
}

// Capabilities implements tally.BaseStatsReporter.
func (t *textReporter) Capabilities() tally.Capabilities { return t }

// Reporting implements tally.Capabilities.
func (t *textReporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (t *textReporter) Tagging() bool { return true }

// Flush implements tally.BaseStatsReporter.
func (t *textReporter) Flush() {}
