// Package latency provides the histogram of durations that the testbed's reports use. Callers measure the durations.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram holds durations from 0 to one hour, in microseconds with three significant digits. It is not safe for
// concurrent use; the owner must synchronize access.
type Histogram struct{ values *hdrhistogram.Histogram }

// New returns an empty histogram.
func New() *Histogram { return &Histogram{hdrhistogram.New(1, time.Hour.Microseconds(), 3)} }

// Record adds a duration. One outside the range of the histogram is recorded as the nearest bound.
func (h *Histogram) Record(d time.Duration) {
	us := min(max(d.Microseconds(), 0), time.Hour.Microseconds())
	if err := h.values.RecordValue(us); err != nil {
		panic(err) // cannot happen: us is within the bounds
	}
}

// Quantile returns the given percentile of the recorded durations, or 0 if h is empty.
func (h *Histogram) Quantile(percent float64) time.Duration {
	return time.Duration(h.values.ValueAtPercentile(percent)) * time.Microsecond
}

// Max returns the longest recorded duration, or 0 if h is empty.
func (h *Histogram) Max() time.Duration { return time.Duration(h.values.Max()) * time.Microsecond }

// Count returns the number of recorded durations.
func (h *Histogram) Count() int64 { return h.values.TotalCount() }

// Milliseconds returns d in milliseconds, truncated to microseconds, as reports print it.
func Milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
