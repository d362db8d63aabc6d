// Package latency has the histogram of durations from which the testbed's reports are made. It measures nothing itself.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram holds durations from 0 to an hour, in microseconds at three significant digits. It is not safe for
// concurrent use: its owner's mutex guards it.
type Histogram struct{ values *hdrhistogram.Histogram }

// New returns an empty histogram.
func New() *Histogram { return &Histogram{hdrhistogram.New(1, time.Hour.Microseconds(), 3)} }

// Record adds a duration; one out of the bounds counts as the nearer bound.
func (h *Histogram) Record(d time.Duration) {
	us := min(max(d.Microseconds(), 0), time.Hour.Microseconds())
	if err := h.values.RecordValue(us); err != nil {
		panic(err) // us is within the bounds
	}
}

// Quantile returns the duration that percent of all are at most, and 0 without any.
func (h *Histogram) Quantile(percent float64) time.Duration {
	return time.Duration(h.values.ValueAtPercentile(percent)) * time.Microsecond
}

// Max returns the longest duration, and 0 without any.
func (h *Histogram) Max() time.Duration { return time.Duration(h.values.Max()) * time.Microsecond }

// Count returns how many durations were recorded.
func (h *Histogram) Count() int64 { return h.values.TotalCount() }

// Milliseconds returns d in milliseconds, rounded down to a microsecond, as reports print it.
func Milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
