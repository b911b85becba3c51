package front

import (
	"math"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
)

// In the exposition format, each bucket of a histogram counts the samples of the
// buckets below it too.
func TestHistogramBucketsAreCumulative(t *testing.T) {
	r := &textReporter{values: make(map[string]float64), histograms: make(map[string]*histogram)}
	bounds := tally.DurationBuckets{10 * time.Millisecond, time.Second}
	tags := map[string]string{"kind": "primary"}
	r.ReportHistogramDurationSamples("latency", tags, bounds, 10*time.Millisecond, time.Second, 3)
	r.ReportHistogramDurationSamples("latency", tags, bounds, time.Second, time.Duration(math.MaxInt64), 2)
	r.ReportHistogramDurationSamples("latency", tags, bounds, 10*time.Millisecond, time.Second, 1)
	require.Equal(t, `latency_bucket{kind="primary",le="0.01"} 0
latency_bucket{kind="primary",le="1"} 4
latency_bucket{kind="primary",le="+Inf"} 6
latency_count{kind="primary"} 6
`, string(r.render()))
}

// A configuration with many priorities must not add a time series for each.
func TestSlotMetricsHaveABoundedSetOfNames(t *testing.T) {
	m := NewMetrics()
	for class := -5; class < 1000; class++ {
		m.Waited(class, 30)
		m.Refused(class, backend.Displaced)
	}
	m.Close()
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	text := w.Body.String()
	require.Contains(t, text, `oleanderflow_slot_refused{class="0",reason="displaced"} 1`)
	require.Contains(t, text, `oleanderflow_slot_refused{class="other",reason="displaced"} 997`)
	require.Contains(t, text, `oleanderflow_slot_wait_count{class="0"} 1`)
	require.Equal(t, maxNamedClass+2, strings.Count(text, "oleanderflow_slot_refused{"))
}

// One label that the exposition format does not know fails a whole scrape.
func TestLabelsWithAnyBytes(t *testing.T) {
	line := regexp.MustCompile(`^m\{(a|b)="([^"\\\n]|\\["\\n])*"(,(a|b)="([^"\\\n]|\\["\\n])*")*\}$`)
	values := []string{"", "shop", "a b", "\t", "\x00", "\x7f", "\r\n", "\n", `"`, `\`, `\n`, `"} 1`, "\xff", "\u2028", "\ufeff", "ä", `a",b="c`}
	seen := make(map[string]string)
	for _, value := range values {
		name := seriesName("m", map[string]string{"a": value})
		require.Regexp(t, line, name, "%q", value)
		require.True(t, utf8.ValidString(name), "%q", value)
		require.Empty(t, seen[name], "%q", value)
		seen[name] = value
		require.Regexp(t, line, seriesName("m", map[string]string{"b": "c"}, "a", value))
	}
}

// Two databases whose ids and groups have commas and equal signs shared a series.
func TestSeriesOfDatabasesStayApart(t *testing.T) {
	f, _ := newStatusFront(t, func(uint64) *routes.Version { return nil })
	f.host = session.NewHost(&session.Dependencies{})
	names := [][2]string{{"a", "b,group=c"}, {"a,group=b", "c"}, {"%2C", "="}, {",", "%3D"}}
	for _, n := range names {
		f.groupLocked(n[1]).Update(group.Entry{ID: n[0], Group: n[1], Address: "127.0.0.1:1", Slots: 1})
	}
	f.updateGauges(1)
	f.metrics.Close()
	w := httptest.NewRecorder()
	f.metrics.ServeHTTP(w, nil)
	for _, n := range names {
		require.Contains(t, w.Body.String(), seriesName("oleanderflow_connections", nil, "database", n[0], "group", n[1])+" 0\n")
	}
}
