package clock

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestVirtual_order(t *testing.T) {
	Convey("Timers fire by time, then in the order set, also one set by another; stopped ones do not", t, func() {
		var clk Virtual
		var fired []string
		record := func(name string) func() { return func() { fired = append(fired, name) } }
		clk.Set(2*time.Second, record("c"))
		clk.Set(time.Second, func() {
			fired = append(fired, "a")
			clk.Set(500*time.Millisecond, record("b"))
		})
		clk.Set(2*time.Second, record("d"))
		stopped := clk.Set(time.Second, record("never"))
		So(stopped.Stop(), ShouldBeTrue)
		So(stopped.Stop(), ShouldBeFalse)
		clk.Set(5*time.Second, record("later"))
		clk.Advance(3 * time.Second)
		So(fired, ShouldResemble, []string{"a", "b", "c", "d"})
		So(clk.Now(), ShouldEqual, 3*time.Second)
	})
}

func TestReal_neverGoesBack(t *testing.T) {
	Convey("Now of the machine's clock never decreases", t, func() {
		clk := Real{}
		before := clk.Now()
		for range 1000 {
			now := clk.Now()
			So(now, ShouldBeGreaterThanOrEqualTo, before)
			before = now
		}
	})
}
