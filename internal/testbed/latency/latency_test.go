package latency

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestHistogram(t *testing.T) {
	Convey("All values of an empty histogram are zero", t, func() {
		h := New()
		So([]time.Duration{h.Quantile(50), h.Quantile(99), h.Max()}, ShouldResemble, []time.Duration{0, 0, 0})
		So(h.Count(), ShouldEqual, 0)
	})

	Convey("Quantiles are in whole microseconds; durations outside the range count as the nearest bound", t, func() {
		h := New()
		for _, d := range []time.Duration{-time.Second, 1500 * time.Microsecond, 2 * time.Hour} {
			h.Record(d)
		}
		So(h.Count(), ShouldEqual, 3)
		So(h.Quantile(50), ShouldEqual, 1500*time.Microsecond)
		So(Milliseconds(h.Quantile(50)), ShouldEqual, 1.5)
		So(h.Max(), ShouldBeGreaterThanOrEqualTo, time.Hour)
		So(h.Max(), ShouldBeLessThan, time.Hour+time.Minute)
	})
}
