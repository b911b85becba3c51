package front

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
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
